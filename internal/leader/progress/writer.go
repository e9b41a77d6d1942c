package progress

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// RoutineWriteEvery paces writes that start and end nothing, to spare the write
	// budget for submissions, launches and final states.
	RoutineWriteEvery = 300 * time.Millisecond
	// RoutineWriteWithin is how long routine writes may wait for launches: what is not stored is not
	// forgotten by the workers either, and their reports grow.
	RoutineWriteWithin = 6 * time.Second
	// RefusedPause is how long a record that is refused by itself is left alone.
	RefusedPause = 10 * time.Second
	// WriteRetry is the pause after a transaction that was surely not executed.
	WriteRetry = 150 * time.Millisecond
)

// Writer knows what is to be written and decides what goes into the next
// transaction, one at a time. It does no I/O itself: the term's loop executes the
// transactions and tells it of their outcome.
type Writer struct {
	State *cluster.State
	log   *slog.Logger
	// WriteBudget returns how many changes the rate limit leaves now.
	WriteBudget func() float64

	Orphans []wire.Guard // left over from jobs that were archived in several steps

	InFlight  bool      // a transaction is, or its outcome is not known yet
	startedAt time.Time // when the last one was sent
	retryAt   time.Time // no transaction before
	RoutineAt time.Time // no routine writes before
	// singles: so many transactions hold one record each, to find what is refused.
	singles int
	// limitLowered: the state service has refused what the former limits allowed.
	LimitLowered bool
}

func NewWriter(state *cluster.State, writeBudget func() float64, log *slog.Logger) *Writer {
	return &Writer{State: state, WriteBudget: writeBudget, log: log}
}

// limits returns the state service's limits.
func (w *Writer) limits() *config.State { return &w.State.Settings.State }

// AddOrphan notes what is left over and can be dropped.
func (w *Writer) AddOrphan(g wire.Guard) { w.Orphans = append(w.Orphans, g) }

// limitWasLowered notes that sub-chunks are stored, which are only written under
// lowered limits.
func (w *Writer) limitWasLowered() { w.LimitLowered = true }

// Ready tells whether a transaction may be sent now.
func (w *Writer) Ready(now time.Time) bool { return !w.InFlight && !now.Before(w.retryAt) }

// Next takes what has changed into a transaction, nil if there is nothing to
// write: final states and launches first, then routine writes at their own pace.
func (w *Writer) Next(token wire.FencingToken, now time.Time) *Batch {
	b := newBatch(token, w.limits().Least().TxnOps, w.singles > 0)
	w.addFinished(b, now)
	w.SplitLarge()
	launches, routine := w.due(now)
	w.addLaunches(b, launches, now)
	w.addRoutine(b, routine, now)
	w.dropOrphans(b)
	if len(b.Txn.Writes) == 0 {
		return nil
	}
	for _, c := range b.Chunks {
		c.Dirty, c.WriteInFlight = false, true
		delete(w.State.Unsaved.Chunks, c)
	}
	w.InFlight, w.startedAt = true, now
	return b
}

// addFinished archives the jobs that are over.
func (w *Writer) addFinished(b *Batch, now time.Time) {
	for j := range w.State.Unsaved.FinishedJobs {
		if !j.Archiving && !j.RecordOutdated && !now.Before(j.WriteNotBefore) {
			b.archive(j)
			b.Urgent = true
		}
	}
}

// due lists the chunks that may be written now, those with launches in the order
// of their jobs, and those that wait longest first.
func (w *Writer) due(now time.Time) (launches, routine []*cluster.Chunk) {
	for c := range w.State.Unsaved.Chunks {
		switch j := c.Job; {
		case j.Archiving || j.Finished || j.RecordOutdated || w.State.Quarantined(j.Spec.ID) || now.Before(c.WriteNotBefore):
		case c.UnstoredAttempts > 0:
			launches = append(launches, c)
		default:
			routine = append(routine, c)
		}
	}
	slices.SortFunc(launches, func(a, b *cluster.Chunk) int {
		return cmp.Or(b.Job.Spec.Priority.Rank()-a.Job.Spec.Priority.Rank(), a.Job.AcceptedAt.Compare(b.Job.AcceptedAt), a.Index-b.Index)
	})
	slices.SortFunc(routine, func(a, b *cluster.Chunk) int { return a.DirtySince.Compare(b.DirtySince) })
	return launches, routine
}

// addLaunches adds chunks with starts that are not stored yet.
func (w *Writer) addLaunches(b *Batch, launches []*cluster.Chunk, now time.Time) {
	limit := w.ValueLimit()
	for _, c := range launches {
		rec := c.Record()
		// Machines' names and attempts' numbers may be longer than was counted on. A
		// record over the limit would be refused again and again, and with it all
		// that is written beside it.
		for rec.JSONSize() > limit && w.State.WithdrawUnstoredStart(c, now) {
			rec = c.Record()
		}
		if b.full(1, rec.JSONSize()) {
			continue
		}
		b.putChunk(c, &rec)
		if key := store.JobKey(c.Job.Spec.ID); !b.guards(key) {
			// A job that was cancelled meanwhile starts nothing.
			b.guard(key, c.Job.Revision)
		}
		for _, a := range c.Attempts {
			if a.Unstored {
				b.Planned = append(b.Planned, a)
			}
		}
		b.Urgent = true
	}
}

// addRoutine adds what the budget has room for, and what has waited too long.
func (w *Writer) addRoutine(b *Batch, routine []*cluster.Chunk, now time.Time) {
	if len(routine) == 0 || !now.After(w.RoutineAt) {
		return
	}
	n := min(len(routine), max(0, int(w.WriteBudget())-len(b.Txn.Writes)))
	for n < len(routine) && now.Sub(routine[n].DirtySince) > RoutineWriteWithin {
		n++
		b.Urgent = true
	}
	for _, c := range routine[:n] {
		if rec := c.Record(); !b.full(1, rec.JSONSize()) {
			b.putChunk(c, &rec)
		}
	}
	w.RoutineAt = now.Add(RoutineWriteEvery)
}

// dropOrphans fills a transaction with nothing else in it.
func (w *Writer) dropOrphans(b *Batch) {
	for len(w.Orphans) > 0 && !b.Urgent && len(b.Chunks) == 0 && !b.full(1, 0) {
		orphan := w.Orphans[0]
		w.Orphans = w.Orphans[1:]
		b.drop(orphan)
		b.Orphans = append(b.Orphans, orphan)
	}
}

// Answered notes that a transaction is under way no more.
func (w *Writer) Answered() {
	w.InFlight = false
	w.singles = max(0, w.singles-1)
}

// OutcomeOpen keeps anything else from being written until the outcome of a
// transaction is read.
func (w *Writer) OutcomeOpen() { w.InFlight = true }

// OutcomeRead notes that it was.
func (w *Writer) OutcomeRead() { w.InFlight = false }

// Committed takes in that a transaction was executed.
func (w *Writer) Committed(b *Batch, revision wire.Revision) {
	// Not before: until its end is stored a job needs all of its chunks.
	w.Orphans = append(w.Orphans, b.dropAfter...)
	for _, c := range b.Chunks {
		c.Revision, c.WriteInFlight = revision, false
	}
	for _, j := range b.Finished {
		delete(w.State.Unsaved.FinishedJobs, j)
		for _, c := range j.Chunks {
			delete(w.State.Unsaved.Chunks, c)
		}
	}
}

// Undone marks all of a transaction that was not executed as still to be
// written.
func (w *Writer) Undone(b *Batch) {
	w.Orphans = append(w.Orphans, b.Orphans...)
	for _, c := range b.Chunks {
		c.WriteInFlight = false
		w.State.Unsaved.MarkDirty(c)
	}
	for _, j := range b.Finished {
		j.Archiving = false
	}
}

// RetryLater pauses after a transaction that was not executed.
func (w *Writer) RetryLater(now time.Time) { w.retryAt = now.Add(WriteRetry) }

// Refused finds out what the service does not take of a transaction, which is
// undone: whatever it is, it must hold up nothing else. What was in it is written
// one by one. A chunk that is refused by itself and too large for the limits to
// come shows that these are in force, without notice: what was accepted under the
// former ones is from now on written in sub-chunks. (Only that shows it: before all
// nodes know of sub-chunks none may be written.) Anything else that is refused by
// itself is left alone for a while: then it is true.
func (w *Writer) Refused(b *Batch, now time.Time) bool {
	if n := b.records(); n > 1 {
		w.log.Info("a transaction is refused as invalid; its records go one by one", "writes", len(b.Txn.Writes))
		w.singles = n
		return false
	}
	former, next := int(w.limits().ValueKB*1024), int(w.limits().Least().ValueKB*1024)
	if len(b.Chunks) == 1 && !w.LimitLowered && b.largest > next && b.largest <= former {
		w.log.Info("the state service takes less than it did", "refused", b.keys(), "bytes", b.largest)
		w.LimitLowered = true
		return false
	}
	w.log.Error("a record is refused as invalid", "keys", b.keys(), "bytes", b.largest)
	for _, j := range b.Finished {
		j.WriteNotBefore = now.Add(RefusedPause)
	}
	for _, c := range b.Chunks {
		c.WriteNotBefore = now.Add(RefusedPause)
	}
	// The next leader reads it again.
	w.Orphans = slices.DeleteFunc(w.Orphans, func(g wire.Guard) bool { return slices.Contains(b.Orphans, g) })
	return true
}

// AllStored tells whether the end of all that was on a machine is stored, which was
// used last at lastUsedAt. Before, the next leader would take it for lost with the
// machine, and start it again.
func (w *Writer) AllStored(usedAt, now time.Time) bool {
	if w.InFlight && !usedAt.After(w.startedAt) {
		return false
	}
	for c := range w.State.Unsaved.Chunks {
		if !c.DirtySince.After(usedAt) && now.After(c.WriteNotBefore) && now.After(c.Job.WriteNotBefore) && !w.State.Quarantined(c.Job.Spec.ID) {
			return false
		}
	}
	return true
}

// ValueLimit is the size in bytes that a value may have.
func (w *Writer) ValueLimit() int {
	if w.LimitLowered {
		return int(w.limits().Least().ValueKB * 1024)
	}
	return int(w.limits().ValueKB * 1024)
}

// SplitLarge splits the chunks of jobs of which one is to be written that has
// become too large. It is called while nothing is being written.
func (w *Writer) SplitLarge() {
	if !w.LimitLowered {
		return
	}
	most, small := w.ValueLimit(), store.ChunkTasksFor(w.limits().Least().ValueKB)
	for c := range w.State.Unsaved.Chunks {
		if j := c.Job; j.SubchunksPerChunk == 0 && j.TasksPerChunk > small && !j.Finished && !j.Archiving {
			if rec := c.Record(); rec.JSONSize() > most {
				w.splitChunks(j, small)
			}
		}
	}
}

// splitChunks splits all chunks of a job, so that they fit under the limits to
// come.
func (w *Writer) splitChunks(j *cluster.Job, small int) {
	n := (j.TasksPerChunk + small - 1) / small
	for j.TasksPerChunk%n != 0 {
		n++
	}
	old := j.Chunks
	j.Split(j.TasksPerChunk / n)
	for _, c := range old {
		if c == nil {
			continue
		}
		if _, dirty := w.State.Unsaved.Chunks[c]; dirty {
			delete(w.State.Unsaved.Chunks, c)
			for k := range n {
				if i := c.Index*n + k; i < len(j.Chunks) && j.Chunks[i] != nil {
					w.State.Unsaved.MarkDirty(j.Chunks[i])
					j.Chunks[i].DirtySince = c.DirtySince
				}
			}
		}
	}
	w.log.Info("splits progress", "job", j.Spec.ID, "tasks", j.TasksPerChunk)
}
