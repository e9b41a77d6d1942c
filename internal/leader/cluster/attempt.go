package cluster

import (
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Attempt is one start of a task on a machine. It is active while the task may be on the
// machine or a launch may still get there.
type Attempt struct {
	Job         *Job
	Chunk       *Chunk
	Index       int // of the task within its chunk
	Number      wire.AttemptNumber
	Machine     *Machine
	ScheduledAt time.Time // when the scheduler decided on it, or the term inherited it

	// Unstored: the attempt is not yet in its chunk's stored record, and its launch must
	// not be sent. The scheduler sets it; the committer and EndAttempt clear it.
	Unstored bool
	// Inherited: an earlier leader stored the attempt and may have sent its launch. The
	// reader of progress records sets it. It is cleared when this term is to send the
	// launch again.
	Inherited bool

	// The next six fields are what heartbeats of this term have shown of the attempt.
	// Reconciliation writes them.
	SeenInHeartbeat bool           // a heartbeat has listed it
	Phase           wire.TaskPhase // in the last heartbeat that listed it
	RunningSince    time.Time      // when it was first seen running
	ImageReadyAt    time.Time      // when it was first seen past the fetch of its image
	Succeeded       bool           // it is a replica that has run for long enough to count as a success
	ExitCause       wire.ExitCause // once a heartbeat has shown its exit

	// LaunchSent: this term has sent a launch. LaunchEpoch is the epoch of the agent that
	// the last one was sent to.
	LaunchSent  bool
	LaunchEpoch wire.AgentEpoch
	LaunchDelivery
	StopRequest
}

// Task returns the ID of the task that the attempt runs.
func (a *Attempt) Task() wire.TaskID {
	return wire.TaskID{Job: a.Job.Spec.ID, Index: a.Chunk.Index*a.Job.TasksPerChunk + a.Index}
}

// Resources returns the resources that the attempt uses on its machine.
func (a *Attempt) Resources() placement.Resources { return placement.ResourcesOf(&a.Job.Spec) }

// ActiveAttempt returns the active attempt of a task; nil if it has none.
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

// EndAttempt ends an attempt and sets its task to state, which is pending or done. The
// caller must have proof that nothing of the attempt is on its machine, nor can get there
// any more. An attempt that has ended already is ignored.
func (s *State) EndAttempt(a *Attempt, state TaskState) {
	c, j := a.Chunk, a.Job
	if c.Attempts[a.Index] != a {
		return
	}
	a.Detach()
	if !a.Unstored {
		c.QueueOutcome(a, state)
	}
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

// MarkStored records that the attempt is in the stored record of its chunk, or no longer
// needs to be: it clears Unstored and lowers the counts of unstored attempts.
func (a *Attempt) MarkStored() {
	if !a.Unstored {
		return
	}
	a.Unstored = false
	a.Chunk.UnstoredAttempts--
	a.Job.UnstoredAttempts--
}

// requeueTask makes the next search for pending tasks find the task of an ended attempt.
// For a gang the task is lost, which breaks the gang.
func (s *State) requeueTask(a *Attempt) {
	c, j := a.Chunk, a.Job
	c.FirstPendingIndex = min(c.FirstPendingIndex, a.Index)
	j.FirstPendingChunk = min(j.FirstPendingChunk, c.Index)
	if j.Spec.IsGang() {
		s.BrokenGangs[j] = struct{}{}
	}
}

// Detach removes an attempt from its chunk and its machine. The caller sets the state of
// the task.
func (a *Attempt) Detach() {
	delete(a.Chunk.Attempts, a.Index)
	a.Job.ActiveTasks--
	a.Machine.removeAttempt(a)
}
