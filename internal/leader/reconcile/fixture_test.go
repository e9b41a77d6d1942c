package reconcile

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	testToken    wire.FencingToken  = 50
	maxCancelAge                    = 20 * time.Second
	testTask                        = "req-1/0"
	testAttempt  wire.AttemptNumber = 7
)

// fixture is a reconciler whose commands are never sent, with one machine that has one attempt
// of a job array.
type fixture struct {
	*Reconciler
	machine *cluster.Machine
	job     *cluster.Job
	attempt *cluster.Attempt
	cancels *cancels.Log

	evictionReasons []string // label values of the metric of interrupted tasks
	drainCount      int
	commandOutcomes []string // label values of the metric of commands
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	now := time.Now()
	f := &fixture{cancels: cancels.New(nil, time.Minute)}
	f.cancels.RecordRead(now)
	metrics := &core.Metrics{
		TaskInterrupted: func(reason string) { f.evictionReasons = append(f.evictionReasons, reason) },
		Command:         func(outcome string) { f.commandOutcomes = append(f.commandOutcomes, outcome) },
		FleetChange:     func(_ string, machines int) { f.drainCount += machines },
		StartDelay:      func(string, float64) {},
	}
	lease := election.NewLease(nil, election.Acquisition{Token: testToken, AcquiredAt: now, ValidUntil: now.Add(time.Hour)})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	loop := core.NewLoop(lease, log, metrics)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	loop.Begin(cancelled)
	t.Cleanup(func() {
		loop.End("the test is over")
		loop.Wait()
	})
	settings := &config.Settings{Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41, GangWait: 60}}
	state := cluster.NewState(settings, &cluster.MachineCatalog{}, now, testToken)
	state.RecordsRead = true
	state.Delegation.MaxCancelAge = maxCancelAge
	dispatcher := &agents.Dispatcher{Loop: loop, State: state, Client: &agents.Client{}}
	scaler := autoscaler.NewScaler(loop, state, nil, scaling.NewTracker(testToken), autoscaler.Options{})
	delegate := delegation.New(delegation.Config{Bounds: state.Delegation, Cancels: f.cancels, MaxCommands: agents.MaxCommands})
	f.Reconciler = NewReconciler(loop, state, delegate, dispatcher, scaler)
	f.machine = f.addMachine("n-1")
	f.job = f.addJob("req-1", wire.KindArray, 1)
	f.attempt = f.addAttempt(f.job, 0, f.machine)
	return f
}

func (f *fixture) addMachine(id wire.MachineID) *cluster.Machine {
	machine := f.state.GetOrAddMachine(id)
	machine.Epoch, machine.Sequence, machine.Token = 1, 10, testToken
	machine.FirstHeartbeatAt, machine.LastMessageAt = time.Now(), time.Now()
	return machine
}

func (f *fixture) addJob(id wire.JobID, kind wire.JobKind, tasks int) *cluster.Job {
	job := cluster.NewJob(store.JobRecord{
		Spec:       wire.JobSpec{ID: id, Team: "red", Kind: kind, Tasks: tasks, CPUs: 1, Image: "image-1"},
		AcceptedAt: wire.TimestampOf(time.Now()),
	}, 1)
	f.state.Jobs[id] = job
	return job
}

func (f *fixture) addAttempt(job *cluster.Job, index int, machine *cluster.Machine) *cluster.Attempt {
	attempt := &cluster.Attempt{Job: job, Chunk: job.Chunk(0), Index: index, Number: testAttempt, Machine: machine}
	attempt.Chunk.AddAttempt(attempt)
	return attempt
}

// heartbeat returns a heartbeat of the fixture's machine.
func heartbeat(epoch wire.AgentEpoch, sequence wire.Sequence, token wire.FencingToken, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Epoch: epoch, Sequence: sequence, Token: token, Tasks: tasks}
}

// attemptStatus returns the status of the fixture's attempt in a heartbeat.
func attemptStatus(phase wire.TaskPhase, cause wire.ExitCause) wire.TaskStatus {
	return wire.TaskStatus{Task: testTask, Attempt: testAttempt, Phase: phase, Cause: cause}
}
