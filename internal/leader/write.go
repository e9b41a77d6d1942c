package leader

import (
	"errors"
	"slices"
	"time"

	"lilaclead/internal/leader/election"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// rereadRetry is the pause before a job's record is read again.
	rereadRetry = 300 * time.Millisecond
	// outcomeRetry is the pause before a transaction's outcome is read again.
	outcomeRetry = 200 * time.Millisecond
	// withdrawnFor is how long a job waits whose start had no room in its record.
	withdrawnFor = time.Second
)

// flush has the writer's next transaction executed, or the token raised where
// somebody waits for that.
func (t *term) flush(now time.Time) {
	if t.raising || !t.writer.ready(now) {
		return
	}
	if t.raiseWanted && now.After(t.raiseAt) {
		t.raise(nil)
		return
	}
	b := t.writer.next(t.token, now)
	if b == nil {
		return
	}
	go func() {
		revision, err := t.l.Store.Commit(t.ctx, b.class(), b.txn)
		t.post(func() { t.written(b, revision, err) })
	}()
}

// withdrawStart takes back a start that is not stored yet, as the chunk's record
// has no room for it.
func (t *term) withdrawStart(c *chunk, now time.Time) bool {
	for _, a := range c.attempts {
		if a.planned {
			t.drop(a, taskPending)
			c.job.notBefore = now.Add(withdrawnFor)
			return true
		}
	}
	return false
}

// written takes in the outcome of a transaction.
func (t *term) written(b *batch, revision wire.Revision, err error) {
	t.writer.answered()
	var conflict *store.ConflictError
	switch {
	case err == nil:
		t.committed(b, revision)
	case errors.As(err, &conflict) && conflict.Has(store.LeaderKey):
		t.end(election.ErrTaken.Error())
	case errors.As(err, &conflict):
		t.conflicted(b, conflict)
	case errors.Is(err, store.ErrUnknown):
		// It may be applied yet, minutes from now. A new token ends that;
		// then a read tells what was.
		t.log().Info("outcome of a write unknown", "writes", len(b.txn.Writes))
		t.writer.outcomeOpen()
		t.raise(b)
	case errors.Is(err, store.ErrInvalid):
		t.undo(b)
		if now := time.Now(); t.writer.refused(b, now) {
			t.withdrawRefused(b, now)
		}
	default:
		t.undo(b)
		t.writer.retryLater(time.Now())
	}
}

// conflicted takes in that a transaction's guards failed.
func (t *term) conflicted(b *batch, conflict *store.ConflictError) {
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
}

// withdrawRefused takes back the starts in chunks that are left alone for a while,
// having been refused: their room is of use to others meanwhile.
func (t *term) withdrawRefused(b *batch, now time.Time) {
	for _, c := range b.chunks {
		for _, a := range c.attempts {
			if a.planned {
				t.drop(a, taskPending)
				c.job.notBefore = now.Add(refusedPause)
			}
		}
	}
}

// committed takes in that a transaction was executed.
func (t *term) committed(b *batch, revision wire.Revision) {
	t.writer.committed(b, revision)
	for _, j := range b.finished {
		t.log().Info("job over", "job", j.spec.ID, "status", j.finalStatus(), "took", time.Since(j.acceptedAt))
		delete(t.jobs, j.spec.ID)
		delete(t.undecodable, j.spec.ID)
		if !j.recordGone {
			t.archived[j.spec.ID] = true
		}
	}
	t.sendStored(b.planned)
}

// sendStored sends the launches that are stored now.
func (t *term) sendStored(planned []*attempt) {
	touched := map[*machine]bool{}
	for _, a := range planned {
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
	t.writer.undone(b)
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
		e, err := t.l.Store.Get(t.ctx, store.Critical, store.JobKey(id))
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
				time.AfterFunc(rereadRetry, func() { t.post(func() { t.reread(j) }) })
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
	t.raiseWanted, t.raiseAt = false, time.Now().Add(t.settings.Workers.Lease.Duration()/2)
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

func (t *term) raised(token wire.FencingToken, b *batch) {
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
// more.
func (t *term) readOutcome(b *batch) {
	g := b.tellingGuard()
	for t.ctx.Err() == nil {
		e, err := t.l.Store.Get(t.ctx, store.Critical, g.Key)
		if err == nil || errors.Is(err, store.ErrMissing) {
			t.post(func() {
				t.writer.outcomeRead()
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
		case <-time.After(outcomeRetry):
		}
	}
}
