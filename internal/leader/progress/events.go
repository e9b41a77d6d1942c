package progress

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// TxnAnswered is an event: the request to commit a transaction has ended, with or without a
// response from the key-value store.
type TxnAnswered struct {
	batch    *batch
	revision wire.Revision // at which it was committed; only if err is nil
	err      error
}

// TokenRaised is an event: the term has acquired a higher fencing token.
type TokenRaised struct {
	token  wire.FencingToken
	reason raiseReason
	// unresolved is the transaction whose outcome is unknown and must be read now, nil if
	// there is none.
	unresolved *batch
}

// TxnOutcomeRead is an event: after a transaction got no response, one of the keys that it
// writes has been read. The key's revision shows whether the transaction was committed.
type TxnOutcomeRead struct {
	batch *batch
	// guard is the transaction's guard on the key, with the revision from before the write.
	guard wire.Guard
	// revision is the key's current revision, 0 if the key does not exist.
	revision wire.Revision
}

// JobRecordReread is an event: the request to read a job's record again has ended.
type JobRecordReread struct {
	Job   *cluster.Job
	Entry wire.Entry
	Err   error
}

// RereadDue is an event: a read of a job's record failed and must be retried now.
type RereadDue struct{ Job *cluster.Job }
