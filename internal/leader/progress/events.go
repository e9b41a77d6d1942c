package progress

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// TxnAnswered is the outcome of a transaction.
type TxnAnswered struct {
	Batch    *Batch
	Revision wire.Revision
	Err      error
}

// TokenRaised is a higher fencing token that the term has taken; batch is the
// transaction whose outcome is to be read then, nil if there is none.
type TokenRaised struct {
	Token wire.FencingToken
	Batch *Batch
}

// TxnOutcomeRead tells what became of a transaction without an answer: revision is the
// current one of the key that guard names, 0 if there is no such key.
type TxnOutcomeRead struct {
	batch    *Batch
	guard    wire.Guard
	revision wire.Revision
}

// JobRecordReread is the outcome of reading one job's record again.
type JobRecordReread struct {
	Job   *cluster.Job
	Entry wire.Entry
	Err   error
}

// RereadDue says that a job's record is to be read once more.
type RereadDue struct{ Job *cluster.Job }
