package cluster

import (
	"slices"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withdrawnStartBackoff is how long no task of a job is started after an attempt has been
// withdrawn because it made the chunk's record too large to be stored.
const withdrawnStartBackoff = time.Second

// TaskState is the state of a task. See the package comment for the transitions.
type TaskState uint8

// The states of a task.
const (
	// TaskPending is the state of a task to be run that has no attempt.
	TaskPending TaskState = iota
	// TaskActive is the state of a task with an attempt that may be on a machine.
	TaskActive
	// TaskDone is the state of a task that has completed.
	TaskDone
)

// Chunk is the progress of a fixed number of a job's tasks, which is stored as one record.
type Chunk struct {
	Job               *Job
	Index             int                // in Job.Chunks
	NextAttempt       wire.AttemptNumber // number of the next attempt of any of the tasks
	TaskStates        []TaskState        // by index of the task in the chunk
	Attempts          map[int]*Attempt   // active ones by index of the task in the chunk
	FirstPendingIndex int                // index of a task; no task before it is pending
	// UnstoredAttempts is how many of the attempts are not stored yet.
	UnstoredAttempts int
	ChunkRecordState
	OutcomeQueue
}

// ChunkRecordState is the state of a chunk with regard to its record in the key-value store.
// The reader and the writer of progress records and MarkDirty write it.
type ChunkRecordState struct {
	Revision      wire.Revision // of the record; 0: there is none
	Dirty         bool          // the chunk differs from what is stored or being stored
	DirtySince    time.Time     // when it began to differ from what is stored
	WriteInFlight bool          // a transaction that writes the chunk is under way
	// WriteNotBefore: the chunk is not written before this time, because the store refused
	// to write it in a transaction of its own.
	WriteNotBefore time.Time
}

// AddAttempt registers an attempt with its chunk and its machine, and makes its task active.
func (c *Chunk) AddAttempt(a *Attempt) {
	c.TaskStates[a.Index] = TaskActive
	c.Attempts[a.Index] = a
	c.Job.ActiveTasks++
	a.Machine.addAttempt(a)
}

// Record returns the chunk in the form in which it is stored.
func (c *Chunk) Record() store.ChunkRecord {
	done := make([]bool, len(c.TaskStates))
	for i, state := range c.TaskStates {
		done[i] = state == TaskDone
	}
	rec := store.ChunkRecord{
		NextAttempt: c.NextAttempt,
		Done:        store.PackRanges(done),
		Active:      []store.ActiveAttempt{},
	}
	if c.Job.SubchunksPerChunk > 0 {
		rec.SubchunkTasks = c.Job.TasksPerChunk
	}
	for i, a := range c.Attempts {
		rec.Active = append(rec.Active, store.ActiveAttempt{Task: i, Attempt: a.Number, Machine: a.Machine.ID})
	}
	slices.SortFunc(rec.Active, func(a, b store.ActiveAttempt) int { return a.Task - b.Task })
	return rec
}

// ResetTasks detaches the attempts of the chunk and sets all of its tasks to pending.
func (c *Chunk) ResetTasks() {
	for _, a := range c.Attempts {
		a.Detach()
	}
	for i, state := range c.TaskStates {
		if state == TaskDone {
			c.Job.DoneTasks--
		}
		c.TaskStates[i] = TaskPending
	}
}

// WithdrawUnstoredAttempt ends one attempt that is not stored yet, because the chunk's record
// is too large to be stored. It reports whether there was such an attempt.
func (s *State) WithdrawUnstoredAttempt(c *Chunk, now time.Time) bool {
	for _, a := range c.Attempts {
		if a.Unstored {
			s.EndAttempt(a, TaskPending)
			c.Job.StartNotBefore = now.Add(withdrawnStartBackoff)
			return true
		}
	}
	return false
}
