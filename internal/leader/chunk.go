package leader

import (
	"slices"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withdrawnStartBackoff is how long a job waits whose start had no room in its record.
const withdrawnStartBackoff = time.Second

// chunk is the progress of a fixed number of a job's tasks, which is stored as one record.
type chunk struct {
	job              *job
	index            int
	revision         wire.Revision
	nextAttempt      wire.Attempt
	taskStates       []uint8
	firstPending     int       // no earlier task is pending
	unstoredAttempts int       // attempts held that are not yet stored
	dirtySince       time.Time // when it came to differ from what is stored
	attempts         map[int]*attempt
	dirty            bool // differs from what is stored or being stored
	writeInFlight    bool // being written
	// writeNotBefore: it is not written before, as it was refused by itself.
	writeNotBefore time.Time
}

func (c *chunk) add(a *attempt) {
	c.taskStates[a.index] = TaskActive
	c.attempts[a.index] = a
	c.job.activeTasks++
	a.machine.tasks[a.task()] = a
	a.machine.usedResources = a.machine.usedResources.Plus(a.resources())
}

// record is the chunk as it is stored.
func (c *chunk) record() store.ChunkRecord {
	done := make([]bool, len(c.taskStates))
	for i, s := range c.taskStates {
		done[i] = s == TaskDone
	}
	rec := store.ChunkRecord{NextAttempt: c.nextAttempt, Done: store.PackRanges(done), Active: []store.ActiveAttempt{}}
	if c.job.subchunksPerChunk > 0 {
		rec.SubchunkTasks = c.job.tasksPerChunk
	}
	for i, a := range c.attempts {
		rec.Active = append(rec.Active, store.ActiveAttempt{Task: i, Attempt: a.number, Machine: a.machine.id})
	}
	slices.SortFunc(rec.Active, func(a, b store.ActiveAttempt) int { return a.Task - b.Task })
	return rec
}

// reset forgets all that is known of the chunk's tasks.
func (c *chunk) reset() {
	for _, a := range c.attempts {
		a.detach()
	}
	for i, state := range c.taskStates {
		if state == TaskDone {
			c.job.doneTasks--
		}
		c.taskStates[i] = TaskPending
	}
}

// withdrawUnstoredStart takes back a start that is not stored yet, as the chunk's record
// has no room for it.
func (s *State) withdrawUnstoredStart(c *chunk, now time.Time) bool {
	for _, a := range c.attempts {
		if a.unstored {
			s.endAttempt(a, TaskPending)
			c.job.startNotBefore = now.Add(withdrawnStartBackoff)
			return true
		}
	}
	return false
}
