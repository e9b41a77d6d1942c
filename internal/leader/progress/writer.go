// Package progress writes the progress of jobs to the key-value store and reads it back at
// the start of a term.
//
// The Writer selects what goes into the next transaction and does no I/O. The Committer
// sends these transactions to the store, one at a time, and applies their outcomes to the
// model. It has launches sent once they are stored, and raises the fencing token when the
// outcome of a transaction is unknown. The Reader restores the progress that earlier leaders
// stored.
package progress

import (
	"log/slog"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

const (
	// routineWriteInterval is the least time between transactions with routine writes, which
	// neither launch tasks nor end jobs. It leaves the write budget to submissions, launches
	// and final records.
	routineWriteInterval = 300 * time.Millisecond
	// maxRoutineWriteDelay is how long a routine write may wait for the write budget, which
	// launches use first. Then it is written regardless of the budget. Until the outcome of an
	// attempt is stored, the agents keep it in their heartbeats, which grow meanwhile.
	maxRoutineWriteDelay = 6 * time.Second
	// rejectedRecordPause is how long a record is not written again after the store rejected
	// it in a transaction of its own.
	rejectedRecordPause = 10 * time.Second
	// writeRetryPause is the pause before the next transaction after one that failed and was
	// certainly not executed.
	writeRetryPause = 150 * time.Millisecond
)

// txnState is the state of the Writer's latest transaction.
type txnState int

const (
	txnNone           txnState = iota // none is in flight
	txnInFlight                       // it was sent, and the request has not ended
	txnOutcomeUnknown                 // it got no response, and its outcome is not yet read
)

// Writer selects what is written in each transaction. Only the goroutine of the term's loop
// may use it.
type Writer struct {
	state *cluster.State
	log   *slog.Logger
	// remainingWrites returns how many writes the store's rate limit allows now.
	remainingWrites func() float64

	// Orphans are guards on records that are to be deleted. Archived jobs have left them
	// behind, because their deletion did not fit in the transaction that archived the job.
	Orphans []wire.Guard

	txn              txnState
	txnSentAt        time.Time // when the latest transaction was sent
	nextTxnNotBefore time.Time // the earliest time for the next transaction
	// NextRoutineWrite is the earliest time for the next routine write.
	NextRoutineWrite time.Time
	// singleRecordTxns is how many of the next transactions may hold only one record each.
	// It is above 0 after a rejected transaction of several records, to find the invalid one.
	singleRecordTxns int
	// ValueLimitLowered means that the store's next limit on values is known to be in force:
	// the store rejected a value that the former limit allowed, in this term or an earlier
	// one.
	ValueLimitLowered bool
}

// NewWriter returns a writer of the unsaved changes in a state. remainingWrites returns how
// many writes the store's rate limit allows now.
func NewWriter(state *cluster.State, remainingWrites func() float64, log *slog.Logger) *Writer {
	return &Writer{state: state, remainingWrites: remainingWrites, log: log}
}

// limits returns the limits of the key-value store.
func (w *Writer) limits() *config.StoreLimits { return &w.state.Settings.State }

// AddOrphan adds a record that an archived job has left behind and that can be deleted.
func (w *Writer) AddOrphan(g wire.Guard) { w.Orphans = append(w.Orphans, g) }

// InFlight reports whether there is a transaction whose outcome is not known yet.
func (w *Writer) InFlight() bool { return w.txn != txnNone }

func (w *Writer) ready(now time.Time) bool { return !w.InFlight() && !now.Before(w.nextTxnNotBefore) }

// onRequestEnded records that the request of the transaction in flight has ended, with or without
// a response.
func (w *Writer) onRequestEnded() {
	w.txn = txnNone
	w.singleRecordTxns = max(0, w.singleRecordTxns-1)
}

// awaitOutcome holds back further transactions until the outcome of the latest is read.
func (w *Writer) awaitOutcome() { w.txn = txnOutcomeUnknown }

// onOutcomeRead records that the outcome of the latest transaction was read.
func (w *Writer) onOutcomeRead() { w.txn = txnNone }

// onCommitted records that a transaction was committed at a revision.
func (w *Writer) onCommitted(b *batch, revision wire.Revision) {
	// Leftovers become orphans only now: until its final record is stored, a job needs all its
	// chunks.
	w.Orphans = append(w.Orphans, b.leftovers...)
	for _, c := range b.chunks {
		c.Revision, c.WriteInFlight = revision, false
	}
	for _, j := range b.archived {
		delete(w.state.UnsavedChanges.FinishedJobs, j)
		for _, c := range j.Chunks {
			delete(w.state.UnsavedChanges.Chunks, c)
		}
	}
}

// revert marks everything in a transaction that was not executed as still to be written.
func (w *Writer) revert(b *batch) {
	w.Orphans = append(w.Orphans, b.orphans...)
	for _, c := range b.chunks {
		c.WriteInFlight = false
		c.RevertOutcomes()
		w.state.UnsavedChanges.MarkDirty(c)
	}
	for _, j := range b.archived {
		j.Archiving = false
	}
}

// retryLater holds back further transactions for writeRetryPause.
func (w *Writer) retryLater(now time.Time) { w.nextTxnNotBefore = now.Add(writeRetryPause) }

// AllStored reports whether the end of every task that ran on a machine is stored, given the
// time when the machine was last used. Chunks that are held back are not considered. If the
// machine were removed earlier, the next leader would consider a task whose end is not stored
// as lost with it and start the task again.
func (w *Writer) AllStored(usedAt, now time.Time) bool {
	if w.InFlight() && !usedAt.After(w.txnSentAt) {
		return false
	}
	for c := range w.state.UnsavedChanges.Chunks {
		if !c.DirtySince.After(usedAt) && w.mayBeWrittenSoon(c, now) {
			return false
		}
	}
	return true
}

// mayBeWrittenSoon reports whether a chunk is not held back. A chunk is held back while its
// record or the final record of its job is not written after a rejection, and while the job
// is quarantined.
func (w *Writer) mayBeWrittenSoon(c *cluster.Chunk, now time.Time) bool {
	rejected := !now.After(c.WriteNotBefore) || !now.After(c.Job.WriteNotBefore)
	return !rejected && !w.state.IsQuarantined(c.Job.Spec.ID)
}
