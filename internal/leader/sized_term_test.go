package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

var (
	testZones   = []wire.Zone{"a", "b", "c"}
	serviceSpec = wire.JobSpec{Class: "live", Kind: wire.KindService, Priority: wire.PriorityProd, CPUs: 1, MemoryGB: 4.8, Spread: true}
	arraySpec   = wire.JobSpec{Class: "recon", Kind: wire.KindArray, Priority: wire.PriorityStandard, CPUs: 3, MemoryGB: 25, SpotAllowed: true, ExpectedRunTime: 25, Deadline: 80}
)

// newSizedTerm returns a term with this number of machines, each with four CPUs, in three
// zones. Half of the machines are full of replicas, half run arrays, and some jobs are
// pending.
func newSizedTerm(tb testing.TB, machines int) *term {
	tb.Helper()
	tm := newEmptySizedTerm(tb, machines)
	b := &sizedTermBuilder{tm: tm, now: time.Now()}
	tm.state.TermStartedAt = b.now.Add(-time.Minute)
	for i := range machines {
		m := b.addMachine(i)
		if i%2 == 0 {
			for range 4 {
				b.replicas = b.startTask(b.replicas, m, 8, serviceSpec)
			}
		} else {
			b.arrayTasks = b.startTask(b.arrayTasks, m, 30, arraySpec)
		}
	}
	for range machines / 100 {
		b.addJob(30, arraySpec)
	}
	return tm
}

// newEmptySizedTerm returns a term without machines and jobs, whose settings are made for
// this number of machines.
func newEmptySizedTerm(tb testing.TB, machines int) *term {
	tb.Helper()
	tm, m, a := newTestTerm(tb)
	tm.state.EndAttempt(a, cluster.TaskDone)
	delete(tm.state.Machines, m.ID)
	delete(tm.state.Jobs, "req-1")
	clear(tm.state.UnsavedChanges.Chunks)
	clear(tm.state.UnsavedChanges.FinishedJobs)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	tm.Begin(ctx)
	disconnect(tm)
	setMesh(tm, peer.New("a", nil, func() peer.Status { return peer.Status{} }, newCurrentCancels(), simulator.NewNetwork(0).Host(localAddr), tm.leader.Log))
	tm.leader.Metrics.SchedulingCycle = func(time.Duration, int, int) {}
	tm.leader.Metrics.Heartbeat = func(string) {}
	settings := tm.state.Settings
	settings.Zones = testZones
	settings.Teams = []config.Team{{Name: "red", GuaranteedCPUs: float64(machines), MaxCPUs: 8 * float64(machines)}}
	settings.State.TxnOps = 12
	settings.Workers = config.Workers{HeartbeatInterval: 10, Lease: 45, CancelTimeout: 70}
	tm.leader.Catalog.Set([]wire.MachineSpec{{Name: "k4", CPUs: 4, MemoryGB: 32, DiskGB: 50, FetchGBPerSecond: 0.25, OnDemandPrice: 0.28, SpotPrice: 0.12, BootTime: 35, Zones: testZones}})
	tm.state.MachineListReceived, tm.state.SchedulingEnabled = true, true
	return tm
}

// sizedTermBuilder fills a term with machines and jobs.
type sizedTermBuilder struct {
	tm                   *term
	now                  time.Time
	jobs                 int               // number of jobs added
	replicas, arrayTasks *partlyStartedJob // of the current service and array job
}

// partlyStartedJob is a job whose tasks are started one after the other.
type partlyStartedJob struct {
	job            *cluster.Job
	remainingTasks int
}

// addMachine adds the i-th machine, which has just sent a heartbeat.
func (b *sizedTermBuilder) addMachine(i int) *cluster.Machine {
	m := b.tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprintf("n-%06d", i)))
	m.MachineType = "k4"
	m.Zone = testZones[i%3]
	m.Spot = i%2 == 1
	m.Addr = fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+1)
	m.Epoch, m.Sequence, m.Token = 1, 10, b.tm.Fencing.Token
	m.FirstHeartbeatAt, m.LastMessageAt, m.DirectHeartbeatAt, m.LastResponseAt = b.now, b.now, b.now, b.now
	m.RequestedAt = b.now.Add(-2 * time.Minute)
	return m
}

// addJob adds a job that was accepted 20 s ago.
func (b *sizedTermBuilder) addJob(tasks int, spec wire.JobSpec) *cluster.Job {
	b.jobs++
	spec.ID, spec.Team, spec.Tasks = wire.JobID(fmt.Sprintf("req-%06d", b.jobs)), "red", tasks
	spec.Image, spec.ImageGB = wire.ImageID(fmt.Sprint("img-", b.jobs%24)), 1
	j := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(b.now.Add(-20 * time.Second))}, wire.Revision(b.jobs))
	b.tm.state.Jobs[spec.ID] = j
	return j
}

// startTask puts the next task of a job on a machine. If there is no job or all of its tasks
// are placed, it adds a new job and puts its first task there. It returns the job.
func (b *sizedTermBuilder) startTask(current *partlyStartedJob, m *cluster.Machine, tasks int, spec wire.JobSpec) *partlyStartedJob {
	if current == nil || current.remainingTasks == 0 {
		current = &partlyStartedJob{b.addJob(tasks, spec), tasks}
	}
	i := current.job.Spec.Tasks - current.remainingTasks
	current.remainingTasks--
	current.job.Chunk(0).AddAttempt(&cluster.Attempt{
		Job:             current.job,
		Chunk:           current.job.Chunk(0),
		Index:           i,
		Number:          wire.AttemptNumber(i + 1),
		Machine:         m,
		ScheduledAt:     b.now,
		LaunchSent:      true,
		LaunchEpoch:     1,
		SeenInHeartbeat: true,
		Phase:           wire.PhaseRunning,
		RunningSince:    b.now,
		ImageReadyAt:    b.now,
	})
	m.Images.RecordUse(current.job.Spec.Image, 1, 50, b.now)
	return current
}

// heartbeatOf returns a machine's next heartbeat, with all that runs on it.
func heartbeatOf(m *cluster.Machine) wire.Heartbeat {
	heartbeat := wire.Heartbeat{Machine: m.ID, Addr: m.Addr, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Epoch: m.Epoch, Sequence: m.Sequence + 1, Token: m.Token}
	for task, a := range m.Attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task.String(), Attempt: a.Number, Phase: a.Phase})
	}
	return heartbeat
}

// runHeartbeatLoop answers the term's heartbeats in the background until the returned
// function is called.
func runHeartbeatLoop(tm *term) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for call := range tm.heartbeatCalls {
			tm.reconciler.OnHeartbeat(call)
		}
	}()
	return func() {
		close(tm.heartbeatCalls)
		<-done
	}
}

// recordsOf returns the job and chunk records of a term's jobs, each of which has one chunk.
func recordsOf(tm *term) (jobs, chunks []wire.Entry) {
	for _, j := range tm.state.Jobs {
		record := store.JobRecord{Spec: j.Spec, Status: wire.StatusQueued, AcceptedAt: wire.TimestampOf(j.AcceptedAt)}
		jobs = append(jobs, wire.Entry{Key: store.JobKey(j.Spec.ID), Revision: j.Revision, Value: wire.Encode(record)})
		chunks = append(chunks, wire.Entry{Key: store.ChunkKey(j.Spec.ID, 0), Revision: j.Revision, Value: wire.Encode(j.Chunk(0).Record())})
	}
	return jobs, chunks
}

// countActiveTasks counts the active tasks of all jobs.
func countActiveTasks(tm *term) int {
	n := 0
	for _, j := range tm.state.Jobs {
		n += j.ActiveTasks
	}
	return n
}
