// Package progress writes the progress of jobs to the key-value store and reads it back at
// the start of a term.
//
// The Writer selects what goes into the next transaction and does no I/O. The Committer
// has its transactions executed, one at a time, applies their outcomes to the model, sends
// the launches that are stored, and raises the fencing token when the outcome of a
// transaction is unknown. The Reader restores the progress that earlier leaders stored.
package progress

import (
	"log/slog"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

const (
	// routineWriteInterval is the pause between transactions that start and end nothing.
	// It spares the write budget for submissions, launches and final states.
	routineWriteInterval = 300 * time.Millisecond
	// maxRoutineWriteDelay is how long routine writes may wait for launches. What is not
	// stored is not forgotten by the agents either, and their heartbeats grow.
	maxRoutineWriteDelay = 6 * time.Second
	// rejectedRecordPause is how long a record that was rejected by itself is not written.
	rejectedRecordPause = 10 * time.Second
	// writeRetryPause is the pause after a transaction that was certainly not executed.
	writeRetryPause = 150 * time.Millisecond
)

// txnState is the state of the Writer's latest transaction.
type txnState int

const (
	txnNone           txnState = iota // none is in flight
	txnInFlight                       // it was sent and is not answered
	txnOutcomeUnknown                 // it was not answered and its outcome is not yet read
)

// Writer selects what is written in each transaction. It belongs to the goroutine of the
// term's loop.
type Writer struct {
	state *cluster.State
	log   *slog.Logger
	// remainingWrites returns how many changes the store's rate limit allows now.
	remainingWrites func() float64

	// Orphans are records left by jobs that were archived in several steps.
	Orphans []wire.Guard

	txn       txnState
	txnSentAt time.Time // when the latest transaction was sent
	notBefore time.Time // the earliest time for the next transaction
	// NextRoutineWrite is the earliest time for the next routine write.
	NextRoutineWrite time.Time
	// singleRecordTxns is how many of the next transactions hold one record each, to find
	// the record that is rejected.
	singleRecordTxns int
	// ValueLimitLowered means that the store has rejected a value that its former limit
	// allowed.
	ValueLimitLowered bool
}

// NewWriter returns a writer of the changes in a state. The function returns how many
// changes the store's rate limit allows now.
func NewWriter(state *cluster.State, remainingWrites func() float64, log *slog.Logger) *Writer {
	return &Writer{state: state, remainingWrites: remainingWrites, log: log}
}

// limits returns the limits of the key-value store.
func (w *Writer) limits() *config.StoreLimits { return &w.state.Settings.State }

// AddOrphan adds a record that is left over and can be deleted.
func (w *Writer) AddOrphan(g wire.Guard) { w.Orphans = append(w.Orphans, g) }

// InFlight reports whether the outcome of a transaction is not known yet.
func (w *Writer) InFlight() bool { return w.txn != txnNone }

// ready reports whether a transaction may be sent now.
func (w *Writer) ready(now time.Time) bool { return !w.InFlight() && !now.Before(w.notBefore) }

// onAnswer records that the transaction in flight was answered, or will not be.
func (w *Writer) onAnswer() {
	w.txn = txnNone
	w.singleRecordTxns = max(0, w.singleRecordTxns-1)
}

// awaitOutcome holds back further transactions until the outcome of the latest is read.
func (w *Writer) awaitOutcome() { w.txn = txnOutcomeUnknown }

// onOutcomeRead records that the outcome of the latest transaction was read.
func (w *Writer) onOutcomeRead() { w.txn = txnNone }

// onCommitted records that a transaction was committed at a revision.
func (w *Writer) onCommitted(b *batch, revision wire.Revision) {
	// Not earlier: until its end is stored a job needs all of its chunks.
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
		w.state.UnsavedChanges.MarkDirty(c)
	}
	for _, j := range b.archived {
		j.Archiving = false
	}
}

// retryLater holds back further transactions for a moment.
func (w *Writer) retryLater(now time.Time) { w.notBefore = now.Add(writeRetryPause) }

// AllStored reports whether the end of everything that ran on a machine is stored, given
// when the machine was last used. Until then the next leader would take it for lost with
// the machine, and start it again.
func (w *Writer) AllStored(usedAt, now time.Time) bool {
	if w.InFlight() && !usedAt.After(w.txnSentAt) {
		return false
	}
	for c := range w.state.UnsavedChanges.Chunks {
		if !c.DirtySince.After(usedAt) && w.maySoonWrite(c, now) {
			return false
		}
	}
	return true
}

// maySoonWrite reports whether a chunk is not held back: nothing waits for a record that
// was rejected, or that belongs to a quarantined job.
func (w *Writer) maySoonWrite(c *cluster.Chunk, now time.Time) bool {
	rejected := !now.After(c.WriteNotBefore) || !now.After(c.Job.WriteNotBefore)
	return !rejected && !w.state.IsQuarantined(c.Job.Spec.ID)
}
