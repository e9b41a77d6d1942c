package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// Gang is the one attempt of a gang's tasks that may be on machines. All of them
// carry one number, by which they find each other, and start together when the
// last has its image.
type Gang struct {
	Number    wire.Attempt
	StartedAt time.Time // when it was decided on, or inherited
	Ran       bool      // a task of it ran: it was complete
	// Inherited from an earlier leader: it may have run before any report of this
	// term shows it.
	Inherited bool
	// broken: a task of it is gone, or was never there. The rest is stopped, and
	// the gang is queued again when nothing of it is left.
	Broken bool
	// told: all were told to stop, with so much time to save; stopping: with any.
	StopRequested, StoppingGracefully bool
	GracePeriod                       wire.Seconds
}

// FullyStored tells whether every task of the gang has an attempt that is stored.
func (j *Job) FullyStored() bool { return j.ActiveTasks == j.Spec.Tasks && j.UnstoredAttempts == 0 }

// MayLaunch tells whether the attempt's launch may be sent. A gang's may once all
// of the gang is stored, and no more once a task of it is lost.
func (a *Attempt) MayLaunch() bool {
	g := a.Job.Gang
	return g == nil || a.Job.FullyStored() && !g.Broken && !g.StoppingGracefully
}

// MayRelaunch tells whether a gang's task that its machine surely does not have,
// nor can get any more, is to be sent there again: the others wait for it, and
// its record stands. A leader may have ended between the first launch and the
// last. Once the gang has run it is lost with that task.
func (s *State) MayRelaunch(a *Attempt) bool {
	g := a.Job.Gang
	wait := s.Settings.Workers.GangWait.Duration()
	return g != nil && !a.Observed && !a.Stopping && !g.Ran && a.MayLaunch() && !a.Job.Cancelled && a.Machine.DrainReason == "" && !a.Machine.ScalingIn &&
		time.Since(g.StartedAt) < wait
}

// CompleteGang notes that a task of a gang has completed: they complete together.
func (s *State) CompleteGang(j *Job) {
	for _, a := range j.Attempts() {
		s.EndAttempt(a, TaskDone)
	}
	for n := range j.Chunks {
		c := j.Chunk(n)
		for i, state := range c.TaskStates {
			if state != TaskDone {
				c.TaskStates[i] = TaskDone
				j.DoneTasks++
				s.Unsaved.MarkDirty(c)
			}
		}
	}
	j.Gang = nil
	s.MarkIfFinished(j)
}

// RestoreGang finds out how the attempt of a gang stands that an earlier leader
// recorded: whole, in part, or completed in part of the record.
func (s *State) RestoreGang(j *Job) {
	if !j.Spec.Gang() {
		return
	}
	if j.DoneTasks > 0 && j.DoneTasks < j.Spec.Tasks {
		s.CompleteGang(j)
		return
	}
	if j.ActiveTasks == 0 {
		return
	}
	j.Gang = &Gang{StartedAt: s.TermStartedAt, Inherited: true}
	for _, a := range j.Attempts() {
		j.Gang.Number = max(j.Gang.Number, a.Number)
	}
	for _, a := range j.Attempts() {
		if (a.Number != j.Gang.Number || !j.FullyStored()) && !s.Quarantined(j.Spec.ID) {
			s.BrokenGangs[j] = struct{}{}
		}
	}
}
