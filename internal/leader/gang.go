package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// gang is the one attempt of a gang's tasks that may be on machines. All of them
// carry one number, by which they find each other, and start together when the
// last has its image.
type gang struct {
	number    wire.Attempt
	startedAt time.Time // when it was decided on, or inherited
	ran       bool      // a task of it ran: it was complete
	// inherited from an earlier leader: it may have run before any report of this
	// term shows it.
	inherited bool
	// broken: a task of it is gone, or was never there. The rest is stopped, and
	// the gang is queued again when nothing of it is left.
	broken bool
	// told: all were told to stop, with so much time to save; stopping: with any.
	stopRequested, stoppingGracefully bool
	gracePeriod                       wire.Seconds
}

// fullyStored tells whether every task of the gang has an attempt that is stored.
func (j *job) fullyStored() bool { return j.activeTasks == j.spec.Tasks && j.unstoredAttempts == 0 }

// mayLaunch tells whether the attempt's launch may be sent. A gang's may once all
// of the gang is stored, and no more once a task of it is lost.
func (a *attempt) mayLaunch() bool {
	g := a.job.gang
	return g == nil || a.job.fullyStored() && !g.broken && !g.stoppingGracefully
}

// mayRelaunch tells whether a gang's task that its machine surely does not have,
// nor can get any more, is to be sent there again: the others wait for it, and
// its record stands. A leader may have ended between the first launch and the
// last. Once the gang has run it is lost with that task.
func (s *State) mayRelaunch(a *attempt) bool {
	g := a.job.gang
	wait := s.settings.Workers.GangWait.Duration()
	return g != nil && !a.observed && !a.stopping && !g.ran && a.mayLaunch() && !a.job.cancelled && a.machine.drainReason == "" && !a.machine.scalingIn &&
		time.Since(g.startedAt) < wait
}

// completeGang notes that a task of a gang has completed: they complete together.
func (s *State) completeGang(j *job) {
	for _, a := range j.attempts() {
		s.endAttempt(a, TaskDone)
	}
	for n := range j.chunks {
		c := j.chunk(n)
		for i, state := range c.taskStates {
			if state != TaskDone {
				c.taskStates[i] = TaskDone
				j.doneTasks++
				s.unsaved.markDirty(c)
			}
		}
	}
	j.gang = nil
	s.markIfFinished(j)
}

// restoreGang finds out how the attempt of a gang stands that an earlier leader
// recorded: whole, in part, or completed in part of the record.
func (s *State) restoreGang(j *job) {
	if !j.spec.Gang() {
		return
	}
	if j.doneTasks > 0 && j.doneTasks < j.spec.Tasks {
		s.completeGang(j)
		return
	}
	if j.activeTasks == 0 {
		return
	}
	j.gang = &gang{startedAt: s.termStartedAt, inherited: true}
	for _, a := range j.attempts() {
		j.gang.number = max(j.gang.number, a.number)
	}
	for _, a := range j.attempts() {
		if (a.number != j.gang.number || !j.fullyStored()) && !s.quarantined(j.spec.ID) {
			s.brokenGangs[j] = struct{}{}
		}
	}
}
