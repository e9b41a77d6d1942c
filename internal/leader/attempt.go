package leader

import (
	"math"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// attempt is one start of a task that may be on its machine, or may still
// get there.
type attempt struct {
	job       *job
	chunk     *chunk
	index     int
	number    wire.Attempt
	machine   *machine
	decidedAt time.Time // when it was decided on

	unstored     bool // not yet stored; must not be sent
	inherited    bool // stored by an earlier leader, who may have sent it
	observed     bool // was in a report in this term
	phase        wire.TaskPhase
	runningSince time.Time // first seen running
	imageReadyAt time.Time // when it was first seen past its fetch

	// What of ours may still deliver its launch.
	launchSent            bool
	launchEpoch           wire.AgentEpoch
	launchInFlight        bool
	launchUnanswered      bool // a direct launch was never answered
	unansweredLaunchToken wire.FencingToken
	replyEpoch            wire.AgentEpoch
	replySequence         wire.Sequence

	stopping        bool
	stopRequestedAt time.Time // since when
	gracePeriod     wire.Seconds
	stopSentAt      time.Time
	stopReason      EvictionReason
}

func (a *attempt) task() wire.Task {
	return wire.Task{Job: a.job.spec.ID, Index: a.chunk.index*a.job.tasksPerChunk + a.index}
}

// launchMayTakeEffect tells whether a launch of the attempt may still take effect on
// the worker after it made this report.
func (s *State) launchMayTakeEffect(a *attempt, rep *wire.Heartbeat, viaHello bool) bool {
	switch {
	case a.unstored:
		return false
	case a.inherited && rep.Token < s.firstToken:
		// An earlier leader's launch dies only by a higher token.
		return true
	case a.launchInFlight && rep.Epoch <= a.launchEpoch:
		return true
	case a.launchUnanswered && rep.Token <= a.unansweredLaunchToken && rep.Epoch <= a.launchEpoch:
		// Held up on its way, it may come minutes late.
		return true
	case a.replySequence > 0 && a.replyEpoch == rep.Epoch && !(viaHello && rep.Sequence > a.replySequence):
		// The worker has not yet done with the answer that carried it.
		return true
	}
	return false
}

// endAttempt ends an attempt: nothing of it is on its machine, nor can get there.
func (s *State) endAttempt(a *attempt, state uint8) {
	c := a.chunk
	if c.attempts[a.index] != a {
		return
	}
	a.detach()
	if a.unstored {
		a.unstored = false
		c.unstoredAttempts--
		a.job.unstoredAttempts--
	}
	c.taskStates[a.index] = state
	if state == TaskPending {
		c.firstPending, a.job.firstPendingChunk = min(c.firstPending, a.index), min(a.job.firstPendingChunk, c.index)
	}
	s.unsaved.markDirty(c)
	if state == TaskPending && a.job.spec.Gang() {
		s.brokenGangs[a.job] = struct{}{}
	}
	if state == TaskDone {
		a.job.doneTasks++
	}
	a.machine.lastUsedAt = time.Now()
	a.job.lastActiveAt = a.machine.lastUsedAt
	s.markIfFinished(a.job)
	s.requestCycle()
}

// resources of the attempt.
func (a *attempt) resources() placement.Resources { return placement.ResourcesOf(&a.job.spec) }

// detach takes an attempt off its chunk and machine.
func (a *attempt) detach() {
	delete(a.chunk.attempts, a.index)
	a.job.activeTasks--
	if a.machine.tasks[a.task()] != a {
		return
	}
	delete(a.machine.tasks, a.task())
	a.machine.usedResources = a.machine.usedResources.Minus(a.resources())
	if len(a.machine.tasks) == 0 {
		a.machine.usedResources = placement.Resources{} // sums of decimals drift
	}
}

// attempt that holds a task; nil if none does.
func (s *State) activeAttempt(task wire.Task) *attempt {
	j := s.jobs[task.Job]
	if j == nil || j.chunks[task.Index/j.tasksPerChunk] == nil {
		return nil
	}
	return j.chunks[task.Index/j.tasksPerChunk].attempts[task.Index%j.tasksPerChunk]
}

// expectedRemainingSeconds is in how many seconds a task is expected to end by itself. Until some of
// its job's tasks are done there is only its owner's word, which is often short.
func (a *attempt) expectedRemainingSeconds(now time.Time) float64 {
	if a.runningSince.IsZero() || a.job.spec.Service() {
		return math.Inf(1)
	}
	need := a.job.expectedSeconds()
	if len(a.job.runTimes.samples) == 0 {
		need *= 1.5
	}
	return max(need/10, need-now.Sub(a.runningSince).Seconds())
}

// plannedRemainingSeconds is in how many seconds the attempt is expected to end, one at least.
func (a *attempt) plannedRemainingSeconds(now time.Time) float64 {
	in := a.job.expectedSeconds()
	if !a.runningSince.IsZero() {
		in -= now.Sub(a.runningSince).Seconds()
	}
	return max(in, 1)
}
