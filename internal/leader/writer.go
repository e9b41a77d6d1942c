package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// routineWriteEvery paces writes that start and end nothing, to spare the write
	// budget for submissions, launches and final states.
	routineWriteEvery = 300 * time.Millisecond
	// routineWriteWithin is how long routine writes may wait for launches: what is not stored is not
	// forgotten by the workers either, and their reports grow.
	routineWriteWithin = 6 * time.Second
	// refusedPause is how long a record that is refused by itself is left alone.
	refusedPause = 10 * time.Second
	// writeRetry is the pause after a transaction that was surely not executed.
	writeRetry = 150 * time.Millisecond
)

// writer knows what is to be written and decides what goes into the next
// transaction, one at a time. It does no I/O itself: the term's loop executes the
// transactions and tells it of their outcome.
type writer struct {
	state *State
	log   *slog.Logger
	// writeBudget returns how many changes the rate limit leaves now.
	writeBudget func() float64

	orphans []wire.Guard // left over from jobs that were archived in several steps

	inFlight  bool      // a transaction is, or its outcome is not known yet
	startedAt time.Time // when the last one was sent
	retryAt   time.Time // no transaction before
	routineAt time.Time // no routine writes before
	// singles: so many transactions hold one record each, to find what is refused.
	singles int
	// limitLowered: the state service has refused what the former limits allowed.
	limitLowered bool
}

func newWriter(state *State, writeBudget func() float64, log *slog.Logger) *writer {
	return &writer{state: state, writeBudget: writeBudget, log: log}
}

// limits returns the state service's limits.
func (w *writer) limits() *config.State { return &w.state.settings.State }

// addOrphan notes what is left over and can be dropped.
func (w *writer) addOrphan(g wire.Guard) { w.orphans = append(w.orphans, g) }

// limitWasLowered notes that sub-chunks are stored, which are only written under
// lowered limits.
func (w *writer) limitWasLowered() { w.limitLowered = true }

// ready tells whether a transaction may be sent now.
func (w *writer) ready(now time.Time) bool { return !w.inFlight && !now.Before(w.retryAt) }

// next takes what has changed into a transaction, nil if there is nothing to
// write: final states and launches first, then routine writes at their own pace.
func (w *writer) next(token wire.FencingToken, now time.Time) *batch {
	b := newBatch(token, w.limits().Least().TxnOps, w.singles > 0)
	w.addFinished(b, now)
	w.splitLarge()
	launches, routine := w.due(now)
	w.addLaunches(b, launches, now)
	w.addRoutine(b, routine, now)
	w.dropOrphans(b)
	if len(b.txn.Writes) == 0 {
		return nil
	}
	for _, c := range b.chunks {
		c.dirty, c.writeInFlight = false, true
		delete(w.state.unsaved.chunks, c)
	}
	w.inFlight, w.startedAt = true, now
	return b
}

// addFinished archives the jobs that are over.
func (w *writer) addFinished(b *batch, now time.Time) {
	for j := range w.state.unsaved.finishedJobs {
		if !j.archiving && !j.recordOutdated && !now.Before(j.writeNotBefore) {
			b.archive(j)
			b.urgent = true
		}
	}
}

// due lists the chunks that may be written now, those with launches in the order
// of their jobs, and those that wait longest first.
func (w *writer) due(now time.Time) (launches, routine []*chunk) {
	for c := range w.state.unsaved.chunks {
		switch j := c.job; {
		case j.archiving || j.finished || j.recordOutdated || w.state.quarantined(j.spec.ID) || now.Before(c.writeNotBefore):
		case c.unstoredAttempts > 0:
			launches = append(launches, c)
		default:
			routine = append(routine, c)
		}
	}
	slices.SortFunc(launches, func(a, b *chunk) int {
		return cmp.Or(b.job.spec.Priority.Rank()-a.job.spec.Priority.Rank(), a.job.acceptedAt.Compare(b.job.acceptedAt), a.index-b.index)
	})
	slices.SortFunc(routine, func(a, b *chunk) int { return a.dirtySince.Compare(b.dirtySince) })
	return launches, routine
}

// addLaunches adds chunks with starts that are not stored yet.
func (w *writer) addLaunches(b *batch, launches []*chunk, now time.Time) {
	limit := w.valueLimit()
	for _, c := range launches {
		rec := c.record()
		// Machines' names and attempts' numbers may be longer than was counted on. A
		// record over the limit would be refused again and again, and with it all
		// that is written beside it.
		for rec.JSONSize() > limit && w.state.withdrawUnstoredStart(c, now) {
			rec = c.record()
		}
		if b.full(1, rec.JSONSize()) {
			continue
		}
		b.putChunk(c, &rec)
		if key := store.JobKey(c.job.spec.ID); !b.guards(key) {
			// A job that was cancelled meanwhile starts nothing.
			b.guard(key, c.job.revision)
		}
		for _, a := range c.attempts {
			if a.unstored {
				b.planned = append(b.planned, a)
			}
		}
		b.urgent = true
	}
}

// addRoutine adds what the budget has room for, and what has waited too long.
func (w *writer) addRoutine(b *batch, routine []*chunk, now time.Time) {
	if len(routine) == 0 || !now.After(w.routineAt) {
		return
	}
	n := min(len(routine), max(0, int(w.writeBudget())-len(b.txn.Writes)))
	for n < len(routine) && now.Sub(routine[n].dirtySince) > routineWriteWithin {
		n++
		b.urgent = true
	}
	for _, c := range routine[:n] {
		if rec := c.record(); !b.full(1, rec.JSONSize()) {
			b.putChunk(c, &rec)
		}
	}
	w.routineAt = now.Add(routineWriteEvery)
}

// dropOrphans fills a transaction with nothing else in it.
func (w *writer) dropOrphans(b *batch) {
	for len(w.orphans) > 0 && !b.urgent && len(b.chunks) == 0 && !b.full(1, 0) {
		orphan := w.orphans[0]
		w.orphans = w.orphans[1:]
		b.drop(orphan)
		b.orphans = append(b.orphans, orphan)
	}
}

// answered notes that a transaction is under way no more.
func (w *writer) answered() {
	w.inFlight = false
	w.singles = max(0, w.singles-1)
}

// outcomeOpen keeps anything else from being written until the outcome of a
// transaction is read.
func (w *writer) outcomeOpen() { w.inFlight = true }

// outcomeRead notes that it was.
func (w *writer) outcomeRead() { w.inFlight = false }

// committed takes in that a transaction was executed.
func (w *writer) committed(b *batch, revision wire.Revision) {
	// Not before: until its end is stored a job needs all of its chunks.
	w.orphans = append(w.orphans, b.dropAfter...)
	for _, c := range b.chunks {
		c.revision, c.writeInFlight = revision, false
	}
	for _, j := range b.finished {
		delete(w.state.unsaved.finishedJobs, j)
		for _, c := range j.chunks {
			delete(w.state.unsaved.chunks, c)
		}
	}
}

// undone marks all of a transaction that was not executed as still to be
// written.
func (w *writer) undone(b *batch) {
	w.orphans = append(w.orphans, b.orphans...)
	for _, c := range b.chunks {
		c.writeInFlight = false
		w.state.unsaved.markDirty(c)
	}
	for _, j := range b.finished {
		j.archiving = false
	}
}

// retryLater pauses after a transaction that was not executed.
func (w *writer) retryLater(now time.Time) { w.retryAt = now.Add(writeRetry) }

// refused finds out what the service does not take of a transaction, which is
// undone: whatever it is, it must hold up nothing else. What was in it is written
// one by one. A chunk that is refused by itself and too large for the limits to
// come shows that these are in force, without notice: what was accepted under the
// former ones is from now on written in sub-chunks. (Only that shows it: before all
// nodes know of sub-chunks none may be written.) Anything else that is refused by
// itself is left alone for a while: then it is true.
func (w *writer) refused(b *batch, now time.Time) bool {
	if n := b.records(); n > 1 {
		w.log.Info("a transaction is refused as invalid; its records go one by one", "writes", len(b.txn.Writes))
		w.singles = n
		return false
	}
	former, next := int(w.limits().ValueKB*1024), int(w.limits().Least().ValueKB*1024)
	if len(b.chunks) == 1 && !w.limitLowered && b.largest > next && b.largest <= former {
		w.log.Info("the state service takes less than it did", "refused", b.keys(), "bytes", b.largest)
		w.limitLowered = true
		return false
	}
	w.log.Error("a record is refused as invalid", "keys", b.keys(), "bytes", b.largest)
	for _, j := range b.finished {
		j.writeNotBefore = now.Add(refusedPause)
	}
	for _, c := range b.chunks {
		c.writeNotBefore = now.Add(refusedPause)
	}
	// The next leader reads it again.
	w.orphans = slices.DeleteFunc(w.orphans, func(g wire.Guard) bool { return slices.Contains(b.orphans, g) })
	return true
}

// allStored tells whether the end of all that was on a machine is stored, which was
// used last at lastUsedAt. Before, the next leader would take it for lost with the
// machine, and start it again.
func (w *writer) allStored(usedAt, now time.Time) bool {
	if w.inFlight && !usedAt.After(w.startedAt) {
		return false
	}
	for c := range w.state.unsaved.chunks {
		if !c.dirtySince.After(usedAt) && now.After(c.writeNotBefore) && now.After(c.job.writeNotBefore) && !w.state.quarantined(c.job.spec.ID) {
			return false
		}
	}
	return true
}

// valueLimit is the size in bytes that a value may have.
func (w *writer) valueLimit() int {
	if w.limitLowered {
		return int(w.limits().Least().ValueKB * 1024)
	}
	return int(w.limits().ValueKB * 1024)
}

// splitLarge splits the chunks of jobs of which one is to be written that has
// become too large. It is called while nothing is being written.
func (w *writer) splitLarge() {
	if !w.limitLowered {
		return
	}
	most, small := w.valueLimit(), store.ChunkTasksFor(w.limits().Least().ValueKB)
	for c := range w.state.unsaved.chunks {
		if j := c.job; j.subchunksPerChunk == 0 && j.tasksPerChunk > small && !j.finished && !j.archiving {
			if rec := c.record(); rec.JSONSize() > most {
				w.splitChunks(j, small)
			}
		}
	}
}

// splitChunks splits all chunks of a job, so that they fit under the limits to
// come.
func (w *writer) splitChunks(j *job, small int) {
	n := (j.tasksPerChunk + small - 1) / small
	for j.tasksPerChunk%n != 0 {
		n++
	}
	old := j.chunks
	j.split(j.tasksPerChunk / n)
	for _, c := range old {
		if c == nil {
			continue
		}
		if _, dirty := w.state.unsaved.chunks[c]; dirty {
			delete(w.state.unsaved.chunks, c)
			for k := range n {
				if i := c.index*n + k; i < len(j.chunks) && j.chunks[i] != nil {
					w.state.unsaved.markDirty(j.chunks[i])
					j.chunks[i].dirtySince = c.dirtySince
				}
			}
		}
	}
	w.log.Info("splits progress", "job", j.spec.ID, "tasks", j.tasksPerChunk)
}
