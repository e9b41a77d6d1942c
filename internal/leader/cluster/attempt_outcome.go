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
	// Cause is the cause in the agent's heartbeat; empty: no heartbeat showed the exit.
	Cause wire.ExitCause
}

// OutcomeQueue holds the outcomes of a chunk's attempts that are not known to be stored, for the
// log.
type OutcomeQueue struct {
	pending  []AttemptOutcome
	inFlight []AttemptOutcome // those in the transaction that is under way
}

// QueueOutcome adds the outcome of an attempt that has ended.
func (q *OutcomeQueue) QueueOutcome(a *Attempt) {
	q.pending = append(q.pending, AttemptOutcome{Task: a.Task(), Attempt: a.Number, Machine: a.Machine.ID, Cause: a.ExitCause})
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
