package cluster

import (
	"slices"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withdrawnStartBackoff is how long a job waits whose start had no room in its record.
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
	Job          *Job
	Index        int                // in Job.Chunks
	NextAttempt  wire.AttemptNumber // number of the next attempt of one of the tasks
	TaskStates   []TaskState        // by task of the chunk
	Attempts     map[int]*Attempt   // by task of the chunk, those that may be on machines
	FirstPending int                // no earlier task is pending
	// UnstoredAttempts is how many of the attempts are not stored yet.
	UnstoredAttempts int
	ChunkRecordState
}

// ChunkRecordState is the state of a chunk with regard to its record in the key-value store.
// The reader and the writer of progress records write it, and MarkDirty.
type ChunkRecordState struct {
	Revision      wire.Revision // of the record; 0: there is none
	Dirty         bool          // differs from what is stored or being stored
	DirtySince    time.Time     // when it came to differ from what is stored
	WriteInFlight bool          // being written
	// WriteNotBefore: the chunk is not written before, as the store refused to write it in
	// a transaction of its own.
	WriteNotBefore time.Time
}

// AddAttempt makes an attempt the one of its task, on its machine.
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

// Reset forgets all that is known of the chunk's tasks.
func (c *Chunk) Reset() {
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

// WithdrawUnstoredAttempt ends one attempt that is not stored yet, as the chunk's record has
// no room for it. It reports whether there was one.
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
