package progress

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// nextBatch returns a transaction with unsaved changes and marks it as in flight. It returns
// nil if there is nothing to write now. Final records go first, then launches, routine writes
// and the deletion of orphans. At most one transaction every routineWriteInterval has routine
// writes.
func (w *Writer) nextBatch(token wire.FencingToken, now time.Time) *batch {
	b := newBatch(token, w.limits().Strictest().TxnOps, w.singleRecordTxns > 0)
	w.addFinishedJobs(b, now)
	w.SplitOversizedChunks()
	launches, routine := w.writableChunks(now)
	w.addLaunches(b, launches, now)
	w.addRoutineWrites(b, routine, now)
	w.addOrphanDeletions(b)
	if b.isEmpty() {
		return nil
	}
	for _, c := range b.chunks {
		c.Dirty, c.WriteInFlight = false, true
		c.SendOutcomes()
		delete(w.state.UnsavedChanges.Chunks, c)
	}
	w.txn, w.txnSentAt = txnInFlight, now
	return b
}

// addFinishedJobs archives the finished jobs whose records may be written now.
func (w *Writer) addFinishedJobs(b *batch, now time.Time) {
	for j := range w.state.UnsavedChanges.FinishedJobs {
		if !j.Archiving && !j.RecordOutdated && !now.Before(j.WriteNotBefore) {
			b.archive(j)
			b.urgent = true
		}
	}
}

// writableChunks returns the changed chunks that may be written now. Those with launches are
// ordered by compareLaunchPriority, the others by how long they have waited.
func (w *Writer) writableChunks(now time.Time) (launches, routine []*cluster.Chunk) {
	for c := range w.state.UnsavedChanges.Chunks {
		switch {
		case !w.mayWriteChunk(c, now):
		case c.UnstoredAttempts > 0:
			launches = append(launches, c)
		default:
			routine = append(routine, c)
		}
	}
	slices.SortFunc(launches, compareLaunchPriority)
	slices.SortFunc(routine, func(a, b *cluster.Chunk) int { return a.DirtySince.Compare(b.DirtySince) })
	return launches, routine
}

// mayWriteChunk reports whether a chunk may be written now: its job is neither ending nor
// quarantined, the known record of the job is not outdated, and the chunk is not held back.
func (w *Writer) mayWriteChunk(c *cluster.Chunk, now time.Time) bool {
	j := c.Job
	ending := j.Archiving || j.Finished
	return !ending && !j.RecordOutdated && !w.state.IsQuarantined(j.Spec.ID) && !now.Before(c.WriteNotBefore)
}

// compareLaunchPriority orders chunks with launches by the priority of their jobs, highest
// first, then by the acceptance of the jobs, earliest first, then by the chunk's index.
func compareLaunchPriority(a, b *cluster.Chunk) int {
	return cmp.Or(
		b.Job.Spec.Priority.Rank()-a.Job.Spec.Priority.Rank(),
		a.Job.AcceptedAt.Compare(b.Job.AcceptedAt),
		a.Index-b.Index)
}

// addLaunches adds those of the given chunks with unstored attempts that fit.
func (w *Writer) addLaunches(b *batch, chunks []*cluster.Chunk, now time.Time) {
	for _, c := range chunks {
		record := w.recordWithinLimit(c, now)
		if !b.hasRoom(1, record.MaxJSONSize()) {
			continue
		}
		b.putChunk(c, &record)
		if key := store.JobKey(c.Job.Spec.ID); !b.hasGuard(key) {
			// The guard fails if the job was cancelled meanwhile, so nothing of it is launched.
			b.addGuard(key, c.Job.Revision)
		}
		for _, a := range c.Attempts {
			if a.Unstored {
				b.launches = append(b.launches, a)
			}
		}
		b.urgent = true
	}
}

// recordWithinLimit returns a chunk's record. While the record is over the limit on values,
// it withdraws unstored attempts. A record can exceed the limit because machine names and
// attempt numbers may be longer than estimated when the chunk's size was chosen. The store
// would reject such a record every time, together with everything in the same transaction.
func (w *Writer) recordWithinLimit(c *cluster.Chunk, now time.Time) store.ChunkRecord {
	limit := w.ValueLimitBytes()
	record := c.Record()
	for record.MaxJSONSize() > limit && w.state.WithdrawUnstoredAttempt(c, now) {
		record = c.Record()
	}
	return record
}

// addRoutineWrites adds the chunks that the write budget allows, and beyond the budget those
// that have waited for longer than maxRoutineWriteDelay. The chunks must be ordered by how
// long they have waited.
func (w *Writer) addRoutineWrites(b *batch, chunks []*cluster.Chunk, now time.Time) {
	if len(chunks) == 0 || !now.After(w.NextRoutineWrite) {
		return
	}
	budget := max(0, int(w.remainingWrites())-len(b.txn.Writes))
	n := min(len(chunks), budget)
	for n < len(chunks) && now.Sub(chunks[n].DirtySince) > maxRoutineWriteDelay {
		n++
		b.urgent = true
	}
	for _, c := range chunks[:n] {
		if record := c.Record(); b.hasRoom(1, record.MaxJSONSize()) {
			b.putChunk(c, &record)
		}
	}
	w.NextRoutineWrite = now.Add(routineWriteInterval)
}

// addOrphanDeletions adds deletions of orphans if the transaction writes nothing else.
func (w *Writer) addOrphanDeletions(b *batch) {
	if b.urgent || len(b.chunks) > 0 {
		return
	}
	for len(w.Orphans) > 0 && b.hasRoom(1, 0) {
		orphan := w.Orphans[0]
		w.Orphans = w.Orphans[1:]
		b.deleteRecord(orphan)
		b.orphans = append(b.orphans, orphan)
	}
}
