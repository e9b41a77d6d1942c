package leader

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// gangAttemptNumber is the number of all attempts of newGangTerm's gang.
const gangAttemptNumber wire.AttemptNumber = 4

// newGangTerm returns a term without I/O with a gang of three tasks that checkpoints. Each
// task has a stored attempt on a machine of its own. A chunk has up to two tasks.
func newGangTerm(t *testing.T) (*term, *cluster.Job) {
	t.Helper()
	const tasks = 3
	tm, _, single := newTestTerm(t)
	tm.state.EndAttempt(single, cluster.TaskPending)
	delete(tm.state.Jobs, single.Job.Spec.ID)
	tm.state.Settings.Workers.GangWait, tm.state.Settings.Workers.GangPeerTimeout = 40, 8
	j := addGangJob(tm, "req-2", tasks)
	j.Spec.CheckpointInterval, j.Spec.CheckpointTime = 20, 3
	j.TasksPerChunk = 2
	j.Chunks = make([]*cluster.Chunk, (tasks+1)/2)
	j.Gang = &cluster.Gang{AttemptNumber: gangAttemptNumber, StartedAt: time.Now()}
	for i := range tasks {
		c := j.Chunk(i / j.TasksPerChunk)
		c.AddAttempt(&cluster.Attempt{Job: j, Chunk: c, Index: i % j.TasksPerChunk, Number: gangAttemptNumber, Machine: addMachineWithHeartbeat(tm, i), ScheduledAt: time.Now()})
		c.NextAttempt = gangAttemptNumber + 1
	}
	return tm, j
}

// addMachineWithHeartbeat adds machine n-(i+1), which has just sent heartbeat 10 of epoch 1.
func addMachineWithHeartbeat(tm *term, i int) *cluster.Machine {
	now := time.Now()
	m := tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprint("n-", i+1)))
	m.Epoch, m.Sequence, m.Token = 1, 10, tm.state.FirstToken
	m.FirstHeartbeatAt, m.LastMessageAt, m.LastResponseAt = now, now, now
	return m
}

// memberAttempt returns the active attempt of a gang's i-th task, nil if there is none.
func memberAttempt(j *cluster.Job, i int) *cluster.Attempt {
	return j.Chunk(i / j.TasksPerChunk).Attempts[i%j.TasksPerChunk]
}

// countLaunches counts the launches among commands.
func countLaunches(commands []wire.Command) int {
	n := 0
	for _, command := range commands {
		if command.Verb == wire.VerbLaunch {
			n++
		}
	}
	return n
}

const (
	notStopped wire.Seconds = -1 // the attempt has not been told to stop
	notActive  wire.Seconds = -2 // the task has no attempt
)

// gracePeriods returns the grace period of each task of a gang, or notStopped or notActive.
func gracePeriods(j *cluster.Job) []wire.Seconds {
	var periods []wire.Seconds
	for i := range j.Spec.Tasks {
		switch a := memberAttempt(j, i); {
		case a == nil:
			periods = append(periods, notActive)
		case !a.Stopping:
			periods = append(periods, notStopped)
		default:
			periods = append(periods, a.GracePeriod)
		}
	}
	return periods
}

// equalGracePeriods returns what gracePeriods returns if all tasks of a gang have this period.
func equalGracePeriods(j *cluster.Job, period wire.Seconds) []wire.Seconds {
	periods := make([]wire.Seconds, j.Spec.Tasks)
	for i := range periods {
		periods[i] = period
	}
	return periods
}

// gangChunkRecords returns the chunk records of a gang, given the number of the active
// attempt of each task, 0 if the task has none. The i-th task is on machine n-(i+1).
func gangChunkRecords(numbers ...wire.AttemptNumber) []store.ChunkRecord {
	var records []store.ChunkRecord
	for i, number := range numbers {
		if i%2 == 0 {
			records = append(records, store.ChunkRecord{NextAttempt: 1, Active: []store.ActiveAttempt{}})
		}
		if record := &records[i/2]; number > 0 {
			record.NextAttempt = max(record.NextAttempt, number+1)
			record.Active = append(record.Active, store.ActiveAttempt{Task: i % 2, Attempt: number, Machine: wire.MachineID(fmt.Sprint("n-", i+1))})
		}
	}
	return records
}

// newTermFromRecords returns a term that has restored a gang of three tasks from its chunk
// records.
func newTermFromRecords(t *testing.T, records []store.ChunkRecord) (*term, *cluster.Job) {
	t.Helper()
	tm, j := newGangTerm(t)
	for _, a := range j.Attempts() {
		a.Detach()
		a.Chunk.TaskStates[a.Index] = cluster.TaskPending
	}
	j.Gang = nil
	for n := range records {
		tm.records.Progress.ReadChunk(j.Chunk(n), wire.Revision(40+n), &records[n])
	}
	tm.state.RestoreGang(j)
	return tm, j
}

// checkGangDone checks that all tasks of a gang are done and that none of its attempts is
// left in the model, in a record or on a machine.
func checkGangDone(t *testing.T, tm *term, j *cluster.Job) {
	t.Helper()
	if j.DoneTasks != j.Spec.Tasks || j.ActiveTasks != 0 || j.Gang != nil || !j.Finished {
		t.Errorf("got %d tasks done, %d active, gang %+v, finished %v, want %d, 0, none, true", j.DoneTasks, j.ActiveTasks, j.Gang, j.Finished, j.Spec.Tasks)
	}
	for n := range j.Chunks {
		c := j.Chunk(n)
		if record := c.Record(); len(record.Active) > 0 || !c.Dirty {
			t.Errorf("chunk %d: got active attempts %v, dirty %v, want none, true", n, record.Active, c.Dirty)
		}
		for i, state := range c.TaskStates {
			if state != cluster.TaskDone {
				t.Errorf("task %d of chunk %d: got state %d, want %d", i, n, state, cluster.TaskDone)
			}
		}
	}
	for _, m := range tm.state.Machines {
		if len(m.Attempts) > 0 {
			t.Errorf("machine %s: got tasks %v, want none", m.ID, m.Attempts)
		}
	}
}
