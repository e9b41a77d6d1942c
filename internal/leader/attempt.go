package leader

import (
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

	planned      bool // not yet stored; must not be sent
	inherited    bool // stored by an earlier leader, who may have sent it
	reported     bool // was in a report in this term
	phase        wire.TaskPhase
	runningSince time.Time // first seen running
	fetchedAt    time.Time // when it was first seen past its fetch

	// What of ours may still deliver its launch.
	sent             bool
	sentSession      wire.AgentEpoch
	launchInFlight   bool
	launchUnanswered bool // a direct launch was never answered
	unansweredToken  wire.FencingToken
	answerSession    wire.AgentEpoch
	answerSequence   wire.Sequence

	halting     bool
	haltAt      time.Time // since when
	gracePeriod wire.Seconds
	haltSent    time.Time
	haltReason  moveCause
}

func (a *attempt) task() wire.Task {
	return wire.Task{Job: a.job.spec.ID, Index: a.chunk.index*a.job.chunkTasks + a.index}
}

// canStart tells whether a launch of the attempt may still take effect on
// the worker after it made this report.
func (t *term) canStart(a *attempt, rep *wire.Heartbeat, viaHello bool) bool {
	switch {
	case a.planned:
		return false
	case a.inherited && rep.Token < t.firstToken:
		// An earlier leader's launch dies only by a higher token.
		return true
	case a.launchInFlight && rep.Epoch <= a.sentSession:
		return true
	case a.launchUnanswered && rep.Token <= a.unansweredToken && rep.Epoch <= a.sentSession:
		// Held up on its way, it may come minutes late.
		return true
	case a.answerSequence > 0 && a.answerSession == rep.Epoch && !(viaHello && rep.Sequence > a.answerSequence):
		// The worker has not yet done with the answer that carried it.
		return true
	}
	return false
}

// drop ends an attempt: nothing of it is on its machine, nor can get there.
func (t *term) drop(a *attempt, state uint8) {
	c := a.chunk
	if c.attempts[a.index] != a {
		return
	}
	a.release()
	if a.planned {
		a.planned = false
		c.unstored--
		a.job.unstored--
	}
	c.taskStates[a.index] = state
	if state == taskPending {
		c.firstPending, a.job.firstPendingChunk = min(c.firstPending, a.index), min(a.job.firstPendingChunk, c.index)
	}
	t.writer.markPending(c)
	if state == taskPending && a.job.spec.Gang() {
		t.incompleteGangs[a.job] = struct{}{}
	}
	if state == taskDone {
		a.job.done++
	}
	a.machine.usedAt = time.Now()
	a.job.lastHeldAt = a.machine.usedAt
	t.checkFinished(a.job)
	t.requestRound()
}

// halt wants the attempt stopped, and with a gang's task all of the gang.
func (t *term) halt(a *attempt, grace wire.Seconds, why moveCause) {
	if a.job.gang != nil {
		t.haltGang(a.job, grace, why)
		return
	}
	t.haltOne(a, grace, why)
}

func (t *term) haltOne(a *attempt, grace wire.Seconds, why moveCause) {
	if a.planned {
		if !a.chunk.beingWritten {
			t.drop(a, taskPending)
		} else {
			a.halting, a.gracePeriod, a.haltReason = true, grace, why
		}
		return
	}
	if a.halting && a.gracePeriod <= grace {
		return
	}
	if !a.halting {
		a.haltAt = time.Now()
	}
	a.halting, a.gracePeriod, a.haltReason, a.haltSent = true, grace, why, time.Time{}
	if why != moveCancelled {
		t.log().Info("stops", "task", a.task(), "attempt", a.number, "machine", a.machine.id, "why", why)
		t.l.Metrics.TaskMoved(string(why))
	}
	t.dispatch(a.machine)
}

// res of the attempt.
func (a *attempt) res() placement.Resources { return placement.ResourcesOf(&a.job.spec) }

// release takes an attempt off its chunk and machine.
func (a *attempt) release() {
	delete(a.chunk.attempts, a.index)
	a.job.held--
	if a.machine.tasks[a.task()] != a {
		return
	}
	delete(a.machine.tasks, a.task())
	a.machine.used = a.machine.used.Minus(a.res())
	if len(a.machine.tasks) == 0 {
		a.machine.used = placement.Resources{} // sums of decimals drift
	}
}
