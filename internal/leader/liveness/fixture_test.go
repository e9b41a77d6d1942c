package liveness

import (
	"context"
	"fmt"
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
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const testToken wire.FencingToken = 50

// fixture is a monitor whose commands and requests are not delivered, in a term that began a
// minute ago.
type fixture struct {
	*Monitor
	now     time.Time
	evicted []string // reasons of evictions, as counted in the metrics
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{now: time.Now()}
	termStartedAt := f.now.Add(-time.Minute)
	metrics := &core.Metrics{
		TaskInterrupted: func(reason string) { f.evicted = append(f.evicted, reason) },
		FleetChange:     func(string, int) {},
		Machines:        func(map[string]int) {},
	}
	lease := election.NewLease(nil, election.Acquisition{Token: testToken, AcquiredAt: termStartedAt, ValidUntil: termStartedAt.Add(time.Hour)})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	loop := core.NewLoop(lease, log, metrics)
	ended, end := context.WithCancel(t.Context())
	end()
	loop.Begin(ended)
	t.Cleanup(func() {
		loop.End("the test is over")
		loop.Wait()
	})
	settings := &config.Settings{
		Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41, GangPeerTimeout: 8},
		Cloud:   config.CloudLimits{ListLag: 10},
	}
	catalog := &cluster.MachineCatalog{}
	catalog.Set([]wire.MachineSpec{{Name: "c4", CPUs: 4, MemoryGB: 16, BootTime: 10}})
	state := cluster.NewState(settings, catalog, termStartedAt, testToken)
	state.RecordsRead, state.MachineListReceived, state.MachineListRequestedAt = true, true, f.now
	network := simulator.NewNetwork(0).Host("10.0.0.1")
	mesh := peer.New("a", nil, func() peer.Status { return peer.Status{} }, cancels.New(nil, time.Minute), network, log)
	f.Monitor = &Monitor{
		Loop:       loop,
		State:      state,
		Mesh:       mesh,
		Writer:     progress.NewWriter(state, func() float64 { return 0 }, log),
		Dispatcher: &agents.Dispatcher{Loop: loop, State: state, Client: &agents.Client{Mesh: mesh}},
		Scaler:     autoscaler.NewScaler(loop, state, nil, scaling.NewTracker(testToken), autoscaler.Options{}),
	}
	return f
}

// expireLease makes the leader's lease expire, as if the key-value store had become
// unavailable. If answering is set, the leader may still answer heartbeats.
func (f *fixture) expireLease(answering bool) {
	f.Lease = election.NewLease(nil, election.Acquisition{Token: testToken, AcquiredAt: f.now, ValidUntil: f.now.Add(-time.Millisecond)})
	if answering {
		f.Lease.RecordAcks(f.now.Add(time.Hour), f.now, 0)
	}
}

// partition makes the zone detector judge a zone as partitioned at f.now.
func (f *fixture) partition(zone wire.Zone) {
	f.State.ZoneDetector.CheckZone(zone, detector.ZoneCounts{Machines: 10, LostMachines: 10, AllMachines: 20}, f.now)
}

// addMachine adds a machine in zone a whose last message is sinceMessage old.
func (f *fixture) addMachine(sinceMessage time.Duration) *cluster.Machine {
	machine := f.State.GetOrAddMachine(wire.MachineID(fmt.Sprintf("n-%d", len(f.State.Machines)+1)))
	machine.Addr, machine.MachineType, machine.Zone = "10.0.0.9:9000", "c4", "a"
	machine.Epoch, machine.Sequence, machine.Token = 1, 10, testToken
	machine.FirstHeartbeatAt, machine.ListedAt = f.State.TermStartedAt, f.now
	machine.LastMessageAt = f.now.Add(-sinceMessage)
	machine.LastResponseAt = machine.LastMessageAt
	return machine
}

// addJob adds a job of the given kind and number of tasks.
func (f *fixture) addJob(kind wire.JobKind, tasks int) *cluster.Job {
	id := wire.JobID(fmt.Sprintf("req-%d", len(f.State.Jobs)+1))
	job := cluster.NewJob(store.JobRecord{
		Spec:       wire.JobSpec{ID: id, Team: "red", Kind: kind, Tasks: tasks, CPUs: 1},
		AcceptedAt: wire.TimestampOf(f.now),
	}, 1)
	f.State.Jobs[id] = job
	return job
}

// addAttempt adds a running attempt of the job's task with the given index.
func (f *fixture) addAttempt(job *cluster.Job, index int, machine *cluster.Machine) *cluster.Attempt {
	attempt := &cluster.Attempt{Job: job, Chunk: job.Chunk(0), Index: index, Number: 7, Machine: machine,
		ScheduledAt: f.now.Add(-time.Minute), LaunchSent: true, SeenInHeartbeat: true}
	attempt.Chunk.AddAttempt(attempt)
	return attempt
}
