package progress

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// TxnAnswered is an event: the key-value store has answered a transaction, or has not.
type TxnAnswered struct {
	batch    *batch
	revision wire.Revision // if it was committed
	err      error
}

// TokenRaised is an event: the term has taken a higher fencing token.
type TokenRaised struct {
	token wire.FencingToken
	// unresolved is the transaction whose outcome is to be read now, nil if there is none.
	unresolved *batch
}

// TxnOutcomeRead is an event: the key that shows whether an unanswered transaction was
// committed has been read.
type TxnOutcomeRead struct {
	batch *batch
	// guard is the transaction's guard on the key.
	guard wire.Guard
	// revision is the key's current revision, 0 if there is no such key.
	revision wire.Revision
}

// JobRecordReread is an event: a job's record was read again, or could not be.
type JobRecordReread struct {
	Job   *cluster.Job
	Entry wire.Entry
	Err   error
}

// RereadDue is an event: a job's record must be read once more.
type RereadDue struct{ Job *cluster.Job }
