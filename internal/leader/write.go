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
	// withdrawnStartBackoff is how long a job waits whose start had no room in its record.
	withdrawnStartBackoff = time.Second
)

// flush has the writer's next transaction executed, or the token raised where
// somebody waits for that.
func (t *term) flush(now time.Time) {
	if t.raisingToken || !t.writer.ready(now) {
		return
	}
	if t.tokenRaiseRequested && now.After(t.raiseNotBefore) {
		t.raiseToken(nil)
		return
	}
	b := t.writer.next(t.token, now)
	if b == nil {
		return
	}
	go func() {
		revision, err := t.leader.Store.Commit(t.ctx, b.class(), b.txn)
		t.post(func() { t.onTxnResult(b, revision, err) })
	}()
}

// withdrawUnstoredStart takes back a start that is not stored yet, as the chunk's record
// has no room for it.
func (s *State) withdrawUnstoredStart(c *chunk, now time.Time) bool {
	for _, a := range c.attempts {
		if a.unstored {
			s.endAttempt(a, taskPending)
			c.job.startNotBefore = now.Add(withdrawnStartBackoff)
			return true
		}
	}
	return false
}

// onTxnResult takes in the outcome of a transaction.
func (t *term) onTxnResult(b *batch, revision wire.Revision, err error) {
	t.writer.answered()
	var conflict *store.ConflictError
	switch {
	case err == nil:
		t.onTxnCommitted(b, revision)
	case errors.As(err, &conflict) && conflict.Has(store.LeaderKey):
		t.end(election.ErrTaken.Error())
	case errors.As(err, &conflict):
		t.onTxnConflict(b, conflict)
	case errors.Is(err, store.ErrUnknown):
		// It may be applied yet, minutes from now. A new token ends that;
		// then a read tells what was.
		t.log().Info("outcome of a write unknown", "writes", len(b.txn.Writes))
		t.writer.outcomeOpen()
		t.raiseToken(b)
	case errors.Is(err, store.ErrInvalid):
		t.revertTxn(b)
		if now := time.Now(); t.writer.refused(b, now) {
			t.withdrawRefused(b, now)
		}
	default:
		t.revertTxn(b)
		t.writer.retryLater(time.Now())
	}
}

// onTxnConflict takes in that a transaction's guards failed.
func (t *term) onTxnConflict(b *batch, conflict *store.ConflictError) {
	b.orphans = slices.DeleteFunc(b.orphans, func(g wire.Guard) bool { return conflict.Has(g.Key) }) // gone already
	t.revertTxn(b)
	for _, j := range t.state.jobs {
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
			if a.unstored {
				t.state.endAttempt(a, taskPending)
				c.job.startNotBefore = now.Add(refusedPause)
			}
		}
	}
}

// onTxnCommitted takes in that a transaction was executed.
func (t *term) onTxnCommitted(b *batch, revision wire.Revision) {
	t.writer.committed(b, revision)
	for _, j := range b.finished {
		t.log().Info("job over", "job", j.spec.ID, "status", j.finalStatus(), "took", time.Since(j.acceptedAt))
		delete(t.state.jobs, j.spec.ID)
		delete(t.state.quarantinedJobs, j.spec.ID)
		if !j.recordDeleted {
			t.state.archivedJobs[j.spec.ID] = true
		}
	}
	t.sendStoredLaunches(b.planned)
}

// sendStoredLaunches sends the launches that are stored now.
func (t *term) sendStoredLaunches(planned []*attempt) {
	touched := map[*machine]bool{}
	for _, a := range planned {
		if a.chunk.attempts[a.index] != a {
			continue
		}
		a.unstored = false
		a.chunk.unstoredAttempts--
		a.job.unstoredAttempts--
		if a.stopping || a.job.cancelled || a.machine.drainReason != "" || a.machine.scalingIn || t.state.machines[a.machine.id] != a.machine {
			// Never sent by anyone: there is nothing to halt.
			t.state.endAttempt(a, taskPending)
			continue
		}
		touched[a.machine] = true
		if a.job.gang != nil && a.job.fullyStored() {
			for _, other := range a.job.attempts() {
				touched[other.machine] = true
			}
		}
	}
	for m := range touched {
		t.dispatch(m)
	}
}

// revertTxn marks all of a transaction that was not executed as still to be
// written.
func (t *term) revertTxn(b *batch) {
	t.writer.undone(b)
	for _, a := range b.planned {
		if a.stopping && a.chunk.attempts[a.index] == a {
			t.state.endAttempt(a, taskPending)
		}
	}
}

// reread reads a job's record again after a guard on it failed.
func (t *term) reread(j *job) {
	j.recordOutdated = true
	id := j.spec.ID
	go func() {
		e, err := t.leader.Store.Get(t.ctx, store.Critical, store.JobKey(id))
		t.post(func() {
			switch {
			case t.state.jobs[id] != j: // the watch told of it meanwhile, and it is archived
			case err == nil:
				t.applyJobRecord(store.JobKey(id), e.Value, e.Revision)
			case errors.Is(err, store.ErrMissing):
				if j.recordOutdated { // else it is being archived
					t.end("a live job's record is gone: " + string(id))
				}
			case j.recordOutdated:
				time.AfterFunc(rereadRetry, func() { t.post(func() { t.reread(j) }) })
			}
		})
	}()
}

// raiseToken takes a higher token for this term by a guarded write. Nothing that
// was sent under the old one can take effect afterwards: transactions fail
// at their guard, and commands at every worker that has seen the new one. If
// b is given, its outcome is then looked up.
func (t *term) raiseToken(b *batch) {
	t.raisingToken = true
	t.tokenRaiseRequested, t.raiseNotBefore = false, time.Now().Add(t.state.settings.Workers.Lease.Duration()/2)
	old := t.token
	go func() {
		token, err := t.lease.RaiseToken(t.ctx, old)
		switch {
		case err == nil:
			t.post(func() { t.onTokenRaised(token, b) })
		case t.ctx.Err() == nil:
			t.end(err.Error())
		}
	}()
}

func (t *term) onTokenRaised(token wire.FencingToken, b *batch) {
	t.log().Info("token raised", "from", t.token, "to", token)
	t.token = token
	if t.recovered {
		t.delegationToken.Store(uint64(token))
	}
	t.leader.Mesh.ObserveToken(t.ctx, token)
	t.raisingToken = false
	if b != nil {
		go t.readOutcome(b)
	}
}

// readOutcome finds out what became of a transaction that can't be executed any
// more.
func (t *term) readOutcome(b *batch) {
	g := b.tellingGuard()
	for t.ctx.Err() == nil {
		e, err := t.leader.Store.Get(t.ctx, store.Critical, g.Key)
		if err == nil || errors.Is(err, store.ErrMissing) {
			t.post(func() {
				t.writer.outcomeRead()
				switch {
				case e.Revision == g.Revision: // 0: still missing
					t.revertTxn(b)
				default:
					t.onTxnCommitted(b, e.Revision)
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
