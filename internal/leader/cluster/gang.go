package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// Gang is the current attempt of a gang's tasks, some or all of which may be on machines.
// The attempts of all tasks carry one number, by which the tasks find each other. The tasks
// start together once the last of them has its image.
type Gang struct {
	AttemptNumber wire.AttemptNumber
	StartedAt     time.Time // when the scheduler decided on it, or the term inherited it
	// HasRun: a task of the gang has run, so all of its tasks were on machines. Reconciliation
	// sets it.
	HasRun bool
	// Inherited: an earlier leader started the gang, which may have run before any heartbeat
	// of this term shows it. RestoreGang sets it.
	Inherited bool
	// Broken: a task of the gang is lost, or never had an attempt. The other tasks are
	// stopped, and the gang is queued again when none of them is left. The dispatcher of
	// commands sets it.
	Broken bool
	// StopRequested: all tasks were told to stop, with GracePeriod to save a checkpoint.
	// StoppingGracefully: StopRequested is set and GracePeriod is above 0. The dispatcher of
	// commands sets all three.
	StopRequested, StoppingGracefully bool
	GracePeriod                       wire.Seconds
}

// ending reports whether no task of the gang may be started any more: the gang has lost a
// task, or its tasks are saving a checkpoint before they stop.
func (g *Gang) ending() bool { return g.Broken || g.StoppingGracefully }

// waitsForMembers reports whether the gang's tasks that are on machines still wait for the
// others: the gang has not run, and it was started less than gangWait ago.
func (g *Gang) waitsForMembers(gangWait time.Duration) bool {
	return !g.HasRun && time.Since(g.StartedAt) < gangWait
}

// GangFullyStored reports whether every task of the gang has an attempt that is stored.
func (j *Job) GangFullyStored() bool { return j.ActiveTasks == j.Spec.Tasks && j.UnstoredAttempts == 0 }

// MayLaunch reports whether the attempt's launch may be sent. For a task of a gang it may be
// once the whole gang is stored, until the gang is broken or stopping gracefully.
func (a *Attempt) MayLaunch() bool {
	g := a.Job.Gang
	return g == nil || a.Job.GangFullyStored() && !g.ending()
}

// MayRelaunch reports whether the launch of a gang's task is to be sent to its machine again.
// The caller must have proof that the machine does not have the task, nor can get it any
// more. The launch may be missing because a leader ended between the first launch of the
// gang and the last. The stored record still lists the attempt, so the launch is sent again
// while the other tasks wait for it. Once the gang has run, the loss of a task is the loss of
// the gang.
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

// CompleteGang marks all tasks of a gang as done after one of them has completed, since the
// tasks of a gang complete together.
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

// completeTasks marks the remaining tasks of a chunk as done. None of them has an attempt.
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

// RestoreGang restores the state of a gang from the records of an earlier leader. If only
// some of its tasks are recorded as done, the gang has completed, and all are marked as done.
// Otherwise, if any task has an attempt, every task must have one, all of the same number; if
// not, the gang is marked as broken, unless its job is quarantined.
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
	j.Gang = &Gang{AttemptNumber: highestAttemptNumber(attempts), StartedAt: s.TermStartedAt, Inherited: true}
	intact := j.GangFullyStored() && allHaveAttemptNumber(attempts, j.Gang.AttemptNumber)
	if !intact && !s.IsQuarantined(j.Spec.ID) {
		s.BrokenGangs[j] = struct{}{}
	}
}

func highestAttemptNumber(attempts []*Attempt) wire.AttemptNumber {
	var highest wire.AttemptNumber
	for _, a := range attempts {
		highest = max(highest, a.Number)
	}
	return highest
}

func allHaveAttemptNumber(attempts []*Attempt, number wire.AttemptNumber) bool {
	for _, a := range attempts {
		if a.Number != number {
			return false
		}
	}
	return true
}
