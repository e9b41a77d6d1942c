package agents

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	testToken   wire.FencingToken  = 50
	testAttempt wire.AttemptNumber = 7
)

// fixture is a dispatcher with one machine that has one stored attempt of an array. Its
// requests fail because their context has ended.
type fixture struct {
	*Dispatcher
	machine *cluster.Machine
	job     *cluster.Job
	attempt *cluster.Attempt
	evicted []string // reasons passed to Metrics.TaskInterrupted
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	now := time.Now()
	f := &fixture{}
	metrics := &core.Metrics{TaskInterrupted: func(reason string) { f.evicted = append(f.evicted, reason) }}
	lease := election.NewLease(nil, election.Acquisition{Token: testToken, AcquiredAt: now, ValidUntil: now.Add(time.Hour)})
	loop := core.NewLoop(lease, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	loop.Begin(cancelled)
	t.Cleanup(func() {
		loop.End("the test is over")
		loop.Wait()
	})
	settings := &config.Settings{Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41}}
	state := cluster.NewState(settings, &cluster.MachineCatalog{}, now, testToken)
	state.RecordsRead = true
	f.Dispatcher = &Dispatcher{Loop: loop, State: state, Client: &Client{}}
	f.machine = f.addMachine("n-1")
	f.job = f.addJob("req-1", wire.KindArray, 2)
	f.attempt = f.addAttempt(f.job, 0, f.machine)
	return f
}

// expireLease makes the lease expire, as without the key-value store. mayAnswerHeartbeats is
// whether heartbeats may still be answered.
func (f *fixture) expireLease(mayAnswerHeartbeats bool) {
	now := time.Now()
	f.Lease = election.NewLease(nil, election.Acquisition{Token: testToken, AcquiredAt: now, ValidUntil: now.Add(-time.Millisecond)})
	if mayAnswerHeartbeats {
		f.Lease.RecordAcks(now.Add(time.Hour), now, 0)
	}
}

func (f *fixture) addMachine(id wire.MachineID) *cluster.Machine {
	machine := f.State.GetOrAddMachine(id)
	machine.Addr, machine.Epoch, machine.Sequence, machine.Token = "10.0.0.9:9000", 1, 10, testToken
	machine.FirstHeartbeatAt = time.Now()
	return machine
}

func (f *fixture) addJob(id wire.JobID, kind wire.JobKind, tasks int) *cluster.Job {
	job := cluster.NewJob(store.JobRecord{
		Spec:       wire.JobSpec{ID: id, Team: "red", Kind: kind, Tasks: tasks, CPUs: 1},
		AcceptedAt: wire.TimestampOf(time.Now()),
	}, 1)
	f.State.Jobs[id] = job
	return job
}

func (f *fixture) addAttempt(job *cluster.Job, index int, machine *cluster.Machine) *cluster.Attempt {
	attempt := &cluster.Attempt{Job: job, Chunk: job.Chunk(0), Index: index, Number: testAttempt, Machine: machine}
	attempt.Chunk.AddAttempt(attempt)
	return attempt
}

// heartbeat returns a heartbeat of the fixture's machine with the term's token.
func heartbeat(sequence wire.Sequence, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Epoch: 1, Sequence: sequence, Token: testToken, Tasks: tasks}
}

func verbs(commands []wire.Command) []wire.Verb {
	var out []wire.Verb
	for _, command := range commands {
		out = append(out, command.Verb)
	}
	return out
}
