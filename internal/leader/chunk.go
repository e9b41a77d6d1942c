package leader

import (
	"slices"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

type chunk struct {
	job          *job
	index        int
	revision     wire.Revision
	nextAttempt  wire.Attempt
	taskStates   []uint8
	firstPending int       // no earlier task is pending
	unstored     int       // attempts held that are not yet stored
	changedAt    time.Time // when it came to differ from what is stored
	attempts     map[int]*attempt
	changed      bool // differs from what is stored or being stored
	beingWritten bool // being written
	// writeAfter: it is not written before, as it was refused by itself.
	writeAfter time.Time
}

func (c *chunk) hold(a *attempt) {
	c.taskStates[a.index] = taskHeld
	c.attempts[a.index] = a
	c.job.held++
	a.machine.tasks[a.task()] = a
	a.machine.used = a.machine.used.Plus(a.res())
}

// record is the chunk as it is stored.
func (c *chunk) record() store.ChunkRecord {
	done := make([]bool, len(c.taskStates))
	for i, s := range c.taskStates {
		done[i] = s == taskDone
	}
	rec := store.ChunkRecord{NextAttempt: c.nextAttempt, Done: store.PackRanges(done), Active: []store.ActiveAttempt{}}
	if c.job.subChunks > 0 {
		rec.SubchunkTasks = c.job.chunkTasks
	}
	for i, a := range c.attempts {
		rec.Active = append(rec.Active, store.ActiveAttempt{Task: i, Attempt: a.number, Machine: a.machine.id})
	}
	slices.SortFunc(rec.Active, func(a, b store.ActiveAttempt) int { return a.Task - b.Task })
	return rec
}

// clear forgets all that is known of the chunk's tasks.
func (c *chunk) clear() {
	for _, a := range c.attempts {
		a.release()
	}
	for i, state := range c.taskStates {
		if state == taskDone {
			c.job.done--
		}
		c.taskStates[i] = taskPending
	}
}
