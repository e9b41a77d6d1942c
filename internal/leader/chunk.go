package leader

import (
	"slices"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

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
	c.taskStates[a.index] = taskActive
	c.attempts[a.index] = a
	c.job.activeTasks++
	a.machine.tasks[a.task()] = a
	a.machine.usedResources = a.machine.usedResources.Plus(a.resources())
}

// record is the chunk as it is stored.
func (c *chunk) record() store.ChunkRecord {
	done := make([]bool, len(c.taskStates))
	for i, s := range c.taskStates {
		done[i] = s == taskDone
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
		if state == taskDone {
			c.job.doneTasks--
		}
		c.taskStates[i] = taskPending
	}
}
