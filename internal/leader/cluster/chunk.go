package cluster

import (
	"slices"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withdrawnStartBackoff is how long a job waits whose start had no room in its record.
const withdrawnStartBackoff = time.Second

// Chunk is the progress of a fixed number of a job's tasks, which is stored as one record.
type Chunk struct {
	Job              *Job
	Index            int
	Revision         wire.Revision
	NextAttempt      wire.Attempt
	TaskStates       []uint8
	FirstPending     int       // no earlier task is pending
	UnstoredAttempts int       // attempts held that are not yet stored
	DirtySince       time.Time // when it came to differ from what is stored
	Attempts         map[int]*Attempt
	Dirty            bool // differs from what is stored or being stored
	WriteInFlight    bool // being written
	// writeNotBefore: it is not written before, as it was refused by itself.
	WriteNotBefore time.Time
}

func (c *Chunk) Add(a *Attempt) {
	c.TaskStates[a.Index] = TaskActive
	c.Attempts[a.Index] = a
	c.Job.ActiveTasks++
	a.Machine.Tasks[a.Task()] = a
	a.Machine.usedResources = a.Machine.usedResources.Plus(a.Resources())
}

// Record is the chunk as it is stored.
func (c *Chunk) Record() store.ChunkRecord {
	done := make([]bool, len(c.TaskStates))
	for i, s := range c.TaskStates {
		done[i] = s == TaskDone
	}
	rec := store.ChunkRecord{NextAttempt: c.NextAttempt, Done: store.PackRanges(done), Active: []store.ActiveAttempt{}}
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

// WithdrawUnstoredStart takes back a start that is not stored yet, as the chunk's record
// has no room for it.
func (s *State) WithdrawUnstoredStart(c *Chunk, now time.Time) bool {
	for _, a := range c.Attempts {
		if a.Unstored {
			s.EndAttempt(a, TaskPending)
			c.Job.StartNotBefore = now.Add(withdrawnStartBackoff)
			return true
		}
	}
	return false
}
