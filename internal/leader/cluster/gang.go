package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// Gang is the one attempt of a gang's tasks that may be on machines. All of them carry
// one number, by which they find each other, and start together when the last has its
// image.
type Gang struct {
	AttemptNumber wire.AttemptNumber
	StartedAt     time.Time // when the scheduler decided on it, or the term inherited it
	// HasRun: a task of it ran, so that it was complete. Reconciliation sets it.
	HasRun bool
	// Inherited from an earlier leader: it may have run before any heartbeat of this term
	// shows it. RestoreGang sets it.
	Inherited bool
	// Broken: a task of it is lost, or was never there. The rest is stopped, and the gang
	// is queued again when nothing of it is left. The dispatcher of commands sets it.
	Broken bool
	// StopRequested: all tasks were told to stop, with GracePeriod to save a checkpoint;
	// StoppingGracefully: with any. The dispatcher of commands sets them.
	StopRequested, StoppingGracefully bool
	GracePeriod                       wire.Seconds
}

// ending reports whether the gang does not start any more: it has lost a task, or its
// tasks are saving a checkpoint before they stop.
func (g *Gang) ending() bool { return g.Broken || g.StoppingGracefully }

// waitsForMembers reports whether those of the gang's tasks that are on machines wait for
// the others: the gang has not run, and the time that a task waits is not over.
func (g *Gang) waitsForMembers(gangWait time.Duration) bool {
	return !g.HasRun && time.Since(g.StartedAt) < gangWait
}

// GangFullyStored reports whether every task of the gang has an attempt that is stored.
func (j *Job) GangFullyStored() bool { return j.ActiveTasks == j.Spec.Tasks && j.UnstoredAttempts == 0 }

// MayLaunch reports whether the attempt's launch may be sent. A gang's may once all of the
// gang is stored, and no more once a task of it is lost.
func (a *Attempt) MayLaunch() bool {
	g := a.Job.Gang
	return g == nil || a.Job.GangFullyStored() && !g.ending()
}

// MayRelaunch reports whether a gang's task that its machine surely does not have, nor can
// get any more, is to be sent there again: the others wait for it, and its record stands.
// A leader may have ended between the first launch and the last. Once the gang has run it
// is lost with that task.
func (s *State) MayRelaunch(a *Attempt) bool {
	g := a.Job.Gang
	if g == nil || !a.MayLaunch() {
		return false
	}
	if a.SeenInHeartbeat || a.Stopping || a.Job.Cancelled {
		return false
	}
	return a.Machine.staying() && g.waitsForMembers(s.Settings.Workers.GangWait.Duration())
}

// CompleteGang ends a gang of which a task has completed: they complete together.
func (s *State) CompleteGang(j *Job) {
	for _, a := range j.Attempts() {
		s.EndAttempt(a, TaskDone)
	}
	for n := range j.Chunks {
		s.completeTasks(j.Chunk(n))
	}
	j.Gang = nil
	s.MarkIfFinished(j)
}

// completeTasks marks those tasks of a chunk as done that are not yet. They have no attempt.
func (s *State) completeTasks(c *Chunk) {
	for i, state := range c.TaskStates {
		if state == TaskDone {
			continue
		}
		c.TaskStates[i] = TaskDone
		c.Job.DoneTasks++
		s.UnsavedChanges.MarkDirty(c)
	}
}

// RestoreGang finds out how the attempt of a gang stands that an earlier leader recorded:
// complete, with a task missing, or with its end written in some of the records only.
func (s *State) RestoreGang(j *Job) {
	if !j.Spec.IsGang() {
		return
	}
	if j.DoneTasks > 0 && j.DoneTasks < j.Spec.Tasks {
		s.CompleteGang(j)
		return
	}
	if j.ActiveTasks == 0 {
		return
	}
	attempts := j.Attempts()
	j.Gang = &Gang{AttemptNumber: highestNumber(attempts), StartedAt: s.TermStartedAt, Inherited: true}
	intact := j.GangFullyStored() && sameNumber(attempts, j.Gang.AttemptNumber)
	if !intact && !s.IsQuarantined(j.Spec.ID) {
		s.BrokenGangs[j] = struct{}{}
	}
}

func highestNumber(attempts []*Attempt) wire.AttemptNumber {
	var highest wire.AttemptNumber
	for _, a := range attempts {
		highest = max(highest, a.Number)
	}
	return highest
}

func sameNumber(attempts []*Attempt, number wire.AttemptNumber) bool {
	for _, a := range attempts {
		if a.Number != number {
			return false
		}
	}
	return true
}
