package progress

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// onRejected handles a transaction that the store rejected as invalid and that was
// reverted. Whatever the cause is, it must hold up nothing else: the records that were in
// the transaction are written one by one. A chunk that is rejected by itself and is too
// large for the store's next limits shows that these are in force, which the store does
// not announce: from now on, progress that was accepted under the former limits is written
// in sub-chunks. (Nothing else shows it, and before all nodes support sub-chunks none may
// be written.) Any other record that is rejected by itself is not written for a while. For
// such a record onRejected reports true.
func (w *Writer) onRejected(b *batch, now time.Time) bool {
	if n := b.records(); n > 1 {
		w.log.Info("transaction rejected as invalid", "writes", len(b.txn.Writes), "single_record_retries", n)
		w.singleRecordTxns = n
		return false
	}
	if w.showsLoweredLimit(b) {
		w.log.Info("lowered value limit detected", "keys", b.keys(), "bytes", b.largestValue)
		w.ValueLimitLowered = true
		return false
	}
	w.log.Error("record rejected as invalid", "keys", b.keys(), "bytes", b.largestValue)
	w.holdBack(b, now)
	return true
}

// showsLoweredLimit reports whether a rejected transaction shows that the store's next
// limit on values is in force: its only chunk is within the former limit and over the next
// one.
func (w *Writer) showsLoweredLimit(b *batch) bool {
	former := valueBytes(w.limits().ValueKB)
	next := valueBytes(w.limits().Strictest().ValueKB)
	betweenLimits := next < b.largestValue && b.largestValue <= former
	return len(b.chunks) == 1 && !w.ValueLimitLowered && betweenLimits
}

// holdBack keeps the records of a rejected transaction from being written for a while.
// Orphans are given up: the next leader finds them again.
func (w *Writer) holdBack(b *batch, now time.Time) {
	until := now.Add(rejectedRecordPause)
	for _, j := range b.archived {
		j.WriteNotBefore = until
	}
	for _, c := range b.chunks {
		c.WriteNotBefore = until
	}
	w.Orphans = slices.DeleteFunc(w.Orphans, func(g wire.Guard) bool { return slices.Contains(b.orphans, g) })
}
