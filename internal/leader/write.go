package leader

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"lilaclead/internal/leader/election"
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
	// maxTxnBytes keeps a transaction below the service's 64 KiB, with room
	// for guards.
	maxTxnBytes = 48 << 10
)

// batch is one transaction under way, with what it stands for.
type batch struct {
	txn       wire.Txn
	chunks    []*chunk
	planned   []*attempt
	finished  []*job       // archived by it
	orphans   []wire.Guard // what it drops of jobs that are archived
	dropAfter []wire.Guard // what is to be dropped once it is executed
	largest   int          // size of the largest value in it
}

// records is how many records it holds that can be written one by one.
func (b *batch) records() int { return len(b.chunks) + len(b.finished) + len(b.orphans) }

// keys that it writes, for the log.
func (b *batch) keys() (out []string) {
	for _, w := range b.txn.Writes {
		out = append(out, w.Put+w.Delete)
	}
	return
}

// refusedPause is how long a record that is refused by itself is left alone.
const refusedPause = 10 * time.Second

// flush writes what has changed, in one transaction at a time: final states
// and launches first, then routine writes at their own pace.
func (t *term) flush(now time.Time) {
	if t.writing || t.raising || now.Before(t.retryAt) {
		return
	}
	if t.raiseWanted && now.After(t.raiseAt) {
		t.raise(nil)
		return
	}
	b := &batch{txn: wire.Txn{Guards: []wire.Guard{{Key: store.LeadKey, Revision: wire.Revision(t.token)}}}}
	ops, size := t.settings.State.Least().TxnOps, 0
	guards := 4 * ops
	full := func(n, bytes int) bool {
		return t.singleWrites > 0 && b.records() > 0 || len(b.txn.Writes)+n > ops || len(b.txn.Guards)+2*n > guards || size+bytes > maxTxnBytes
	}
	put := func(c *chunk, rec *store.ChunkRecord) {
		size += rec.JSONSize()
		b.largest = max(b.largest, rec.JSONSize())
		b.txn.Guards = append(b.txn.Guards, wire.Guard{Key: c.key(), Revision: c.revision})
		b.txn.Writes = append(b.txn.Writes, wire.Write{Put: c.key(), Value: wire.Encode(rec)})
		b.chunks = append(b.chunks, c)
	}
	urgent := false
	for j := range t.finishedJobs {
		if !j.archiving && !j.stale && !now.Before(j.writeAfter) {
			t.archive(b, j, full)
			urgent = true
		}
	}
	t.splitLarge()
	var launches, routine []*chunk
	for c := range t.pendingWrites {
		switch j := c.job; {
		case j.archiving || j.finished || j.stale || t.isAside(j.spec.ID) || now.Before(c.writeAfter):
		case c.unstored > 0:
			launches = append(launches, c)
		default:
			routine = append(routine, c)
		}
	}
	slices.SortFunc(launches, func(a, b *chunk) int {
		return cmp.Or(b.job.spec.Priority.Rank()-a.job.spec.Priority.Rank(), a.job.acceptedAt.Compare(b.job.acceptedAt), a.index-b.index)
	})
	most := t.valueLimit()
	for _, c := range launches {
		rec := c.record()
		for rec.JSONSize() > most && t.withdrawStart(c, now) {
			rec = c.record()
		}
		if full(1, rec.JSONSize()) {
			continue
		}
		put(c, &rec)
		key := store.JobKey(c.job.spec.ID)
		if !slices.ContainsFunc(b.txn.Guards, func(g wire.Guard) bool { return g.Key == key }) {
			// A job that was cancelled meanwhile starts nothing.
			b.txn.Guards = append(b.txn.Guards, wire.Guard{Key: key, Revision: c.job.revision})
		}
		for _, a := range c.attempts {
			if a.planned {
				b.planned = append(b.planned, a)
			}
		}
		urgent = true
	}
	if len(routine) > 0 && now.After(t.routineWriteAt) {
		// Routine writes take what the budget has left; those that wait longest go
		// first.
		slices.SortFunc(routine, func(a, b *chunk) int { return a.changedAt.Compare(b.changedAt) })
		_, left := t.l.Store.Left()
		n := min(len(routine), max(0, int(left)-len(b.txn.Writes)))
		for n < len(routine) && now.Sub(routine[n].changedAt) > routineWriteWithin {
			n++
			urgent = true
		}
		for _, c := range routine[:n] {
			rec := c.record()
			if full(1, rec.JSONSize()) {
				continue
			}
			put(c, &rec)
		}
		t.routineWriteAt = now.Add(routineWriteEvery)
	}
	for len(t.orphanedRecords) > 0 && !urgent && len(b.chunks) == 0 && !full(1, 0) {
		o := t.orphanedRecords[0]
		t.orphanedRecords = t.orphanedRecords[1:]
		b.txn.Guards = append(b.txn.Guards, o)
		b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: o.Key})
		b.orphans = append(b.orphans, o)
	}
	if len(b.txn.Writes) == 0 {
		return
	}
	for _, c := range b.chunks {
		c.changed, c.beingWritten = false, true
		delete(t.pendingWrites, c)
	}
	class := store.Background
	if urgent {
		class = store.Vital
	}
	t.writing, t.writeStartedAt = true, now
	go func() {
		rev, err := t.l.Store.Commit(t.ctx, class, b.txn)
		t.post(func() { t.written(b, rev, err) })
	}()
}

// withdrawStart takes back a start that is not stored yet, as the chunk's record has no
// room for it: machines' names and attempts' numbers may be longer than was
// counted on. A record over the limit would be refused again and again, and with
// it all that is written beside it.
func (t *term) withdrawStart(c *chunk, now time.Time) bool {
	for _, a := range c.attempts {
		if a.planned {
			t.drop(a, taskPending)
			c.job.notBefore = now.Add(time.Second)
			return true
		}
	}
	return false
}

// archive replaces a job that is over by its final record. Chunks beyond
// what one transaction takes are dropped later, as orphans, but not before it is
// executed: a job that is cancelled meanwhile is archived by another one, whose
// guards on chunks that are gone would fail for ever.
func (t *term) archive(b *batch, j *job, full func(n, bytes int) bool) {
	for _, c := range j.chunks {
		if c != nil && c.beingWritten {
			return
		}
	}
	if full(2, 200) {
		return
	}
	status := wire.Done
	if j.cancelled {
		status = wire.Cancelled
	}
	id := j.spec.ID
	b.txn.Guards = append(b.txn.Guards,
		wire.Guard{Key: store.JobKey(id), Revision: j.revision}, wire.Guard{Key: store.PastKey(id), Revision: 0})
	b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: store.JobKey(id)},
		wire.Write{Put: store.PastKey(id), Value: wire.Encode(store.PastRecord{Status: status, Done: j.done})})
	for _, g := range j.stored() {
		if full(1, 0) {
			b.dropAfter = append(b.dropAfter, g)
			continue
		}
		b.txn.Guards = append(b.txn.Guards, g)
		b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: g.Key})
	}
	j.archiving = true
	b.finished = append(b.finished, j)
}

// written takes in the outcome of a transaction.
func (t *term) written(b *batch, rev wire.Revision, err error) {
	t.writing = false
	t.singleWrites = max(0, t.singleWrites-1)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		t.committed(b, rev)
	case errors.As(err, &conflict) && conflict.Has(store.LeadKey):
		t.end(election.ErrTaken.Error())
	case errors.As(err, &conflict):
		b.orphans = slices.DeleteFunc(b.orphans, func(g wire.Guard) bool { return conflict.Has(g.Key) }) // gone already
		t.undo(b)
		for _, j := range t.jobs {
			if conflict.Has(store.JobKey(j.spec.ID)) {
				t.reread(j)
			}
		}
		for _, c := range b.chunks {
			if conflict.Has(c.key()) {
				t.end("a chunk was written by another process: " + c.key())
			}
		}
	case errors.Is(err, store.ErrUnknown):
		// It may be applied yet, minutes from now. A new token ends that;
		// then a read tells what was.
		t.log().Info("outcome of a write unknown", "writes", len(b.txn.Writes))
		t.writing = true
		t.raise(b)
	case errors.Is(err, store.ErrInvalid):
		t.undo(b)
		t.isolateRefused(b, time.Now())
	default:
		t.undo(b)
		t.retryAt = time.Now().Add(150 * time.Millisecond)
	}
}

// allStored tells whether the end of all that was on a machine is stored. Before,
// the next leader would take it for lost with the machine, and start it again.
func (t *term) allStored(m *machine) bool {
	if t.writing && !m.usedAt.After(t.writeStartedAt) {
		return false
	}
	for c := range t.pendingWrites {
		if !c.changedAt.After(m.usedAt) && time.Now().After(c.writeAfter) && time.Now().After(c.job.writeAfter) && !t.isAside(c.job.spec.ID) {
			return false
		}
	}
	return true
}

// isolateRefused finds out what the service does not take of a transaction, which is
// undone: whatever it is, it must hold up nothing else. What was in it is written
// one by one. A chunk that is refused by itself and too large for the limits to
// come shows that these are in force, without notice: what was accepted under the
// former ones is from now on written in sub-chunks. (Only that shows it: before all
// nodes know of sub-chunks none may be written.) Anything else that is refused by
// itself is left alone for a while.
func (t *term) isolateRefused(b *batch, now time.Time) {
	if n := b.records(); n > 1 {
		t.log().Info("a transaction is refused as invalid; its parts go one by one", "writes", len(b.txn.Writes))
		t.singleWrites = n
		return
	}
	if now, next := t.settings.State.ValueKB, t.settings.State.Least().ValueKB; len(b.chunks) == 1 && !t.valueLimitLowered && b.largest > int(next*1024) && b.largest <= int(now*1024) {
		t.log().Info("the state service takes less than it did", "refused", b.keys(), "bytes", b.largest)
		t.valueLimitLowered = true
		return
	}
	t.log().Error("a record is refused as invalid", "keys", b.keys(), "bytes", b.largest)
	for _, j := range b.finished {
		j.writeAfter = now.Add(refusedPause)
	}
	for _, c := range b.chunks {
		c.writeAfter = now.Add(refusedPause)
		for _, a := range c.attempts {
			if a.planned { // its room is of use to others meanwhile
				t.drop(a, taskPending)
				c.job.notBefore = now.Add(refusedPause)
			}
		}
	}
	// The next leader reads it again.
	t.orphanedRecords = slices.DeleteFunc(t.orphanedRecords, func(g wire.Guard) bool { return slices.Contains(b.orphans, g) })
}

func (t *term) committed(b *batch, rev wire.Revision) {
	// Not before: until its end is stored a job needs all of its chunks.
	t.orphanedRecords = append(t.orphanedRecords, b.dropAfter...)
	for _, c := range b.chunks {
		c.revision, c.beingWritten = rev, false
	}
	for _, j := range b.finished {
		status := wire.Done
		if j.cancelled {
			status = wire.Cancelled
		}
		t.log().Info("job over", "job", j.spec.ID, "status", status, "took", time.Since(j.acceptedAt))
		delete(t.jobs, j.spec.ID)
		delete(t.undecodable, j.spec.ID)
		delete(t.finishedJobs, j)
		if !j.recordGone {
			t.archived[j.spec.ID] = true
		}
		for _, c := range j.chunks {
			delete(t.pendingWrites, c)
		}
	}
	touched := map[*machine]bool{}
	for _, a := range b.planned {
		if a.chunk.attempts[a.index] != a {
			continue
		}
		a.planned = false
		a.chunk.unstored--
		a.job.unstored--
		if a.halting || a.job.cancelled || a.machine.drainReason != "" || a.machine.releasing || t.machines[a.machine.id] != a.machine {
			// Never sent by anyone: there is nothing to halt.
			t.drop(a, taskPending)
			continue
		}
		touched[a.machine] = true
		if a.job.gang != nil && a.job.complete() {
			for _, other := range a.job.attempts() {
				touched[other.machine] = true
			}
		}
	}
	for m := range touched {
		t.dispatch(m)
	}
}

// undo marks all of a transaction that was not executed as still to be
// written.
func (t *term) undo(b *batch) {
	t.orphanedRecords = append(t.orphanedRecords, b.orphans...)
	for _, c := range b.chunks {
		c.beingWritten = false
		t.markPending(c)
	}
	for _, j := range b.finished {
		j.archiving = false
	}
	for _, a := range b.planned {
		if a.halting && a.chunk.attempts[a.index] == a {
			t.drop(a, taskPending)
		}
	}
}

// reread reads a job's record again after a guard on it failed.
func (t *term) reread(j *job) {
	j.stale = true
	id := j.spec.ID
	go func() {
		e, err := t.l.Store.Get(t.ctx, store.Vital, store.JobKey(id))
		t.post(func() {
			switch {
			case t.jobs[id] != j: // the watch told of it meanwhile, and it is archived
			case err == nil:
				t.applyJobRecord(store.JobKey(id), e.Value, e.Revision)
			case errors.Is(err, store.ErrMissing):
				if j.stale { // else it is being archived
					t.end("a live job's record is gone: " + string(id))
				}
			case j.stale:
				time.AfterFunc(300*time.Millisecond, func() { t.post(func() { t.reread(j) }) })
			}
		})
	}()
}

// raise takes a higher token for this term by a guarded write. Nothing that
// was sent under the old one can take effect afterwards: transactions fail
// at their guard, and commands at every worker that has seen the new one. If
// b is given, its outcome is then looked up.
func (t *term) raise(b *batch) {
	t.raising = true
	t.raiseWanted, t.raiseAt = false, time.Now().Add(t.settings.Workers.LeaseS.Duration()/2)
	old := t.token
	go func() {
		token, err := t.lease.RaiseToken(t.ctx, old)
		switch {
		case err == nil:
			t.post(func() { t.raised(token, b) })
		case t.ctx.Err() == nil:
			t.end(err.Error())
		}
	}()
}

func (t *term) raised(token wire.Token, b *batch) {
	t.log().Info("token raised", "from", t.token, "to", token)
	t.token = token
	if t.recovered {
		t.delegationToken.Store(uint64(token))
	}
	t.l.Mesh.ObserveToken(t.ctx, token)
	t.raising = false
	if b != nil {
		go t.readOutcome(b)
	}
}

// readOutcome finds out what became of a transaction that can't be executed any
// more. All its writes share one fate, so one key tells.
func (t *term) readOutcome(b *batch) {
	for t.ctx.Err() == nil {
		g := b.txn.Guards[len(b.txn.Guards)-1]
		for _, x := range b.txn.Guards[1:] {
			for _, w := range b.txn.Writes {
				if w.Put == x.Key || w.Delete == x.Key {
					g = x
				}
			}
		}
		e, err := t.l.Store.Get(t.ctx, store.Vital, g.Key)
		if err == nil || errors.Is(err, store.ErrMissing) {
			t.post(func() {
				t.writing = false
				switch {
				case e.Revision == g.Revision: // 0: still missing
					t.undo(b)
				default:
					t.committed(b, e.Revision)
				}
			})
			return
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
