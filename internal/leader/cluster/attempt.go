package cluster

import (
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Attempt is one start of a task that may be on its machine, or may still get there.
type Attempt struct {
	Job         *Job
	Chunk       *Chunk
	Index       int // of the task in its chunk
	Number      wire.AttemptNumber
	Machine     *Machine
	ScheduledAt time.Time // when the scheduler decided on it, or the term inherited it

	// Unstored: the attempt is not yet in its chunk's stored record, and its launch must
	// not be sent. The scheduler sets it; the committer clears it, and EndAttempt.
	Unstored bool
	// Inherited: an earlier leader stored the attempt and may have sent its launch. The
	// reader of progress records sets it; it is cleared when the launch is to be sent
	// again.
	Inherited bool

	// What the heartbeats of this term have shown of it. Reconciliation writes it.
	SeenInHeartbeat bool           // it was in a heartbeat
	Phase           wire.TaskPhase // in the last one
	RunningSince    time.Time      // when it was first seen running
	ImageReadyAt    time.Time      // when it was first seen past the fetch of its image

	// LaunchSent: a launch of this term was sent, the last one to LaunchEpoch of the agent.
	LaunchSent  bool
	LaunchEpoch wire.AgentEpoch
	LaunchDelivery
	StopRequest
}

// Task returns the task that the attempt is one of.
func (a *Attempt) Task() wire.TaskID {
	return wire.TaskID{Job: a.Job.Spec.ID, Index: a.Chunk.Index*a.Job.TasksPerChunk + a.Index}
}

// Resources returns what the attempt takes of its machine.
func (a *Attempt) Resources() placement.Resources { return placement.ResourcesOf(&a.Job.Spec) }

// ActiveAttempt returns the attempt of a task; nil if it has none.
func (t *JobTable) ActiveAttempt(task wire.TaskID) *Attempt {
	j := t.Jobs[task.Job]
	if j == nil {
		return nil
	}
	c := j.Chunks[task.Index/j.TasksPerChunk]
	if c == nil {
		return nil
	}
	return c.Attempts[task.Index%j.TasksPerChunk]
}

// EndAttempt ends an attempt and leaves its task pending or done. The caller has proof
// that nothing of the attempt is on its machine, nor can get there any more. An attempt
// that has ended already is ignored.
func (s *State) EndAttempt(a *Attempt, state TaskState) {
	c, j := a.Chunk, a.Job
	if c.Attempts[a.Index] != a {
		return
	}
	a.Detach()
	a.MarkStored()
	c.TaskStates[a.Index] = state
	s.UnsavedChanges.MarkDirty(c)
	switch state {
	case TaskPending:
		s.requeueTask(a)
	case TaskDone:
		j.DoneTasks++
	}
	a.Machine.LastUsedAt = time.Now()
	j.lastActiveAt = a.Machine.LastUsedAt
	s.MarkIfFinished(j)
	s.RequestCycle()
}

// MarkStored no longer counts the attempt as one that is not stored yet.
func (a *Attempt) MarkStored() {
	if !a.Unstored {
		return
	}
	a.Unstored = false
	a.Chunk.UnstoredAttempts--
	a.Job.UnstoredAttempts--
}

// requeueTask lets the next search for pending tasks find that of an ended attempt. A gang
// has lost it.
func (s *State) requeueTask(a *Attempt) {
	c, j := a.Chunk, a.Job
	c.FirstPending = min(c.FirstPending, a.Index)
	j.FirstPendingChunk = min(j.FirstPendingChunk, c.Index)
	if j.Spec.IsGang() {
		s.BrokenGangs[j] = struct{}{}
	}
}

// Detach takes an attempt off its chunk and its machine. The task's state is the caller's
// to set.
func (a *Attempt) Detach() {
	delete(a.Chunk.Attempts, a.Index)
	a.Job.ActiveTasks--
	a.Machine.removeAttempt(a)
}
