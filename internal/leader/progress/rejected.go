package progress

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// onRejected handles a transaction that the store rejected as invalid and that was reverted.
// It reports whether a single record was found to be invalid. That record is then not written
// for rejectedRecordPause.
//
// An invalid record must not block the others. If the transaction held several records,
// each is next written in a transaction of its own.
//
// A chunk that is rejected by itself, and that is too large for the store's next limits,
// shows that these limits are in force. From then on, chunks that were accepted under the
// former limits are written in sub-chunks. The store does not announce when its next limits
// take effect, and nothing else shows it. Sub-chunks must not be written earlier, because
// some nodes may not support them yet.
func (w *Writer) onRejected(b *batch, now time.Time) bool {
	if n := b.recordCount(); n > 1 {
		w.log.Info("transaction rejected as invalid", "writes", len(b.txn.Writes), "single_record_retries", n)
		w.singleRecordTxns = n
		return false
	}
	if w.showsLoweredLimit(b) {
		w.log.Info("lowered value limit detected", "keys", b.writtenKeys(), "bytes", b.largestValueBytes)
		w.ValueLimitLowered = true
		return false
	}
	w.log.Error("record rejected as invalid", "keys", b.writtenKeys(), "bytes", b.largestValueBytes)
	w.holdBack(b, now)
	return true
}

// showsLoweredLimit reports whether a rejected transaction of a single record shows that the
// store's next limit on values is in force: the record is a chunk whose size is within the
// former limit and above the next one.
func (w *Writer) showsLoweredLimit(b *batch) bool {
	former := kibToBytes(w.limits().ValueKB)
	next := kibToBytes(w.limits().Strictest().ValueKB)
	betweenLimits := next < b.largestValueBytes && b.largestValueBytes <= former
	return len(b.chunks) == 1 && !w.ValueLimitLowered && betweenLimits
}

// holdBack delays the next write of a rejected transaction's records by rejectedRecordPause.
// The transaction's orphans are not deleted in this term: the next leader finds them again.
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
