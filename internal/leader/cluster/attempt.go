package cluster

import (
	"math"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Attempt is one start of a task that may be on its machine, or may still
// get there.
type Attempt struct {
	Job       *Job
	Chunk     *Chunk
	Index     int
	Number    wire.Attempt
	Machine   *Machine
	DecidedAt time.Time // when it was decided on

	Unstored     bool // not yet stored; must not be sent
	Inherited    bool // stored by an earlier leader, who may have sent it
	Observed     bool // was in a report in this term
	Phase        wire.TaskPhase
	RunningSince time.Time // first seen running
	ImageReadyAt time.Time // when it was first seen past its fetch

	// What of ours may still deliver its launch.
	LaunchSent            bool
	LaunchEpoch           wire.AgentEpoch
	LaunchInFlight        bool
	LaunchUnanswered      bool // a direct launch was never answered
	UnansweredLaunchToken wire.FencingToken
	ReplyEpoch            wire.AgentEpoch
	ReplySequence         wire.Sequence

	Stopping        bool
	StopRequestedAt time.Time // since when
	GracePeriod     wire.Seconds
	StopSentAt      time.Time
	StopReason      EvictionReason
}

func (a *Attempt) Task() wire.Task {
	return wire.Task{Job: a.Job.Spec.ID, Index: a.Chunk.Index*a.Job.TasksPerChunk + a.Index}
}

// LaunchMayTakeEffect tells whether a launch of the attempt may still take effect on
// the worker after it made this report.
func (s *State) LaunchMayTakeEffect(a *Attempt, rep *wire.Heartbeat, viaHello bool) bool {
	switch {
	case a.Unstored:
		return false
	case a.Inherited && rep.Token < s.FirstToken:
		// An earlier leader's launch dies only by a higher token.
		return true
	case a.LaunchInFlight && rep.Epoch <= a.LaunchEpoch:
		return true
	case a.LaunchUnanswered && rep.Token <= a.UnansweredLaunchToken && rep.Epoch <= a.LaunchEpoch:
		// Held up on its way, it may come minutes late.
		return true
	case a.ReplySequence > 0 && a.ReplyEpoch == rep.Epoch && !(viaHello && rep.Sequence > a.ReplySequence):
		// The worker has not yet done with the answer that carried it.
		return true
	}
	return false
}

// EndAttempt ends an attempt: nothing of it is on its machine, nor can get there.
func (s *State) EndAttempt(a *Attempt, state uint8) {
	c := a.Chunk
	if c.Attempts[a.Index] != a {
		return
	}
	a.Detach()
	if a.Unstored {
		a.Unstored = false
		c.UnstoredAttempts--
		a.Job.UnstoredAttempts--
	}
	c.TaskStates[a.Index] = state
	if state == TaskPending {
		c.FirstPending, a.Job.FirstPendingChunk = min(c.FirstPending, a.Index), min(a.Job.FirstPendingChunk, c.Index)
	}
	s.Unsaved.MarkDirty(c)
	if state == TaskPending && a.Job.Spec.Gang() {
		s.BrokenGangs[a.Job] = struct{}{}
	}
	if state == TaskDone {
		a.Job.DoneTasks++
	}
	a.Machine.LastUsedAt = time.Now()
	a.Job.lastActiveAt = a.Machine.LastUsedAt
	s.MarkIfFinished(a.Job)
	s.RequestCycle()
}

// Resources of the attempt.
func (a *Attempt) Resources() placement.Resources { return placement.ResourcesOf(&a.Job.Spec) }

// Detach takes an attempt off its chunk and machine.
func (a *Attempt) Detach() {
	delete(a.Chunk.Attempts, a.Index)
	a.Job.ActiveTasks--
	if a.Machine.Tasks[a.Task()] != a {
		return
	}
	delete(a.Machine.Tasks, a.Task())
	a.Machine.usedResources = a.Machine.usedResources.Minus(a.Resources())
	if len(a.Machine.Tasks) == 0 {
		a.Machine.usedResources = placement.Resources{} // sums of decimals drift
	}
}

// ActiveAttempt returns the attempt that holds a task; nil if none does.
func (s *State) ActiveAttempt(task wire.Task) *Attempt {
	j := s.Jobs[task.Job]
	if j == nil || j.Chunks[task.Index/j.TasksPerChunk] == nil {
		return nil
	}
	return j.Chunks[task.Index/j.TasksPerChunk].Attempts[task.Index%j.TasksPerChunk]
}

// ExpectedRemainingSeconds is in how many seconds a task is expected to end by itself. Until some of
// its job's tasks are done there is only its owner's word, which is often short.
func (a *Attempt) ExpectedRemainingSeconds(now time.Time) float64 {
	if a.RunningSince.IsZero() || a.Job.Spec.Service() {
		return math.Inf(1)
	}
	need := a.Job.ExpectedSeconds()
	if len(a.Job.RunTimes.Samples) == 0 {
		need *= 1.5
	}
	return max(need/10, need-now.Sub(a.RunningSince).Seconds())
}

// PlannedRemainingSeconds is in how many seconds the attempt is expected to end, one at least.
func (a *Attempt) PlannedRemainingSeconds(now time.Time) float64 {
	in := a.Job.ExpectedSeconds()
	if !a.RunningSince.IsZero() {
		in -= now.Sub(a.RunningSince).Seconds()
	}
	return max(in, 1)
}
