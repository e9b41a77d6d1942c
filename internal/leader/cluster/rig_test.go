package cluster

import (
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// testToken is the fencing token of the term in these tests.
const testToken wire.FencingToken = 50

// newTestState returns the empty state of a term that began a minute ago.
func newTestState(t *testing.T) *State {
	t.Helper()
	settings := &config.Settings{
		Size:    3,
		Zones:   []wire.Zone{"a", "b"},
		Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, GangWait: 30, GangPeerTimeout: 4},
	}
	return NewState(settings, &MachineCatalog{}, time.Now().Add(-time.Minute), testToken)
}

// addTestJob adds a job of one-CPU tasks, with chunks of chunkTasks tasks each.
func addTestJob(s *State, kind wire.JobKind, tasks, chunkTasks int) *Job {
	rec := store.JobRecord{
		Spec:          wire.JobSpec{ID: "req-1", Team: "red", Kind: kind, Tasks: tasks, CPUs: 1, MemoryGB: 2},
		AcceptedAt:    wire.TimestampOf(time.Now()),
		TasksPerChunk: chunkTasks,
	}
	j := NewJob(rec, 1)
	s.Jobs[j.Spec.ID] = j
	return j
}

// addTestAttempt adds a stored attempt of one of the job's tasks on a machine.
func addTestAttempt(j *Job, task int, m *Machine, number wire.AttemptNumber) *Attempt {
	c := j.Chunk(task / j.TasksPerChunk)
	a := &Attempt{Job: j, Chunk: c, Index: task % j.TasksPerChunk, Number: number, Machine: m, ScheduledAt: time.Now()}
	c.AddAttempt(a)
	return a
}

// markUnstored makes an attempt one that is not in its chunk's stored record yet.
func markUnstored(a *Attempt) {
	a.Unstored = true
	a.Chunk.UnstoredAttempts++
	a.Job.UnstoredAttempts++
}

// addTestGang adds a gang of tasks, each with a stored attempt on a machine of its own.
func addTestGang(s *State, tasks int) *Job {
	j := addTestJob(s, wire.KindGang, tasks, tasks)
	for i := range tasks {
		addTestAttempt(j, i, s.GetOrAddMachine(wire.MachineID(rune('a'+i))), 3)
	}
	j.Gang = &Gang{AttemptNumber: 3, StartedAt: time.Now()}
	return j
}
