package cluster

import (
	"slices"

	"lilaclead/internal/wire"
)

// AttemptOutcome is how an attempt whose launch may have been sent ended.
type AttemptOutcome struct {
	Task    wire.TaskID
	Attempt wire.AttemptNumber
	Machine wire.MachineID
	State   TaskState // of the task after the attempt: pending or done
	// Cause is the cause in the agent's heartbeat; empty: no heartbeat showed the exit.
	Cause wire.ExitCause
}

// String returns the cause of the end, for the log.
func (o AttemptOutcome) String() string {
	switch {
	case o.Cause != "":
		return string(o.Cause)
	case o.State == TaskDone:
		return string(wire.CauseDone)
	}
	return "lost or not started"
}

// OutcomeQueue holds the outcomes of a chunk's attempts that are not known to be stored, for the
// log.
type OutcomeQueue struct {
	pending  []AttemptOutcome
	inFlight []AttemptOutcome // those in the transaction that is under way
}

// QueueOutcome adds the outcome of an attempt that has ended, with the state of its task.
func (q *OutcomeQueue) QueueOutcome(a *Attempt, state TaskState) {
	q.pending = append(q.pending, AttemptOutcome{Task: a.Task(), Attempt: a.Number, Machine: a.Machine.ID, State: state, Cause: a.ExitCause})
}

// SendOutcomes records that the outcomes are in a transaction that is being sent.
func (q *OutcomeQueue) SendOutcomes() {
	q.inFlight = append(q.inFlight, q.pending...)
	q.pending = nil
}

// TakeStoredOutcomes returns and removes the outcomes in the transaction, which was committed.
func (q *OutcomeQueue) TakeStoredOutcomes() []AttemptOutcome {
	stored := q.inFlight
	q.inFlight = nil
	return stored
}

// RevertOutcomes records that the transaction was not executed.
func (q *OutcomeQueue) RevertOutcomes() {
	q.pending = slices.Concat(q.inFlight, q.pending)
	q.inFlight = nil
}
