package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"lilaclead/internal/leader/election"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// committer has the writer's transactions executed, takes in their outcomes, and raises
// the fencing token.
type committer struct {
	*eventLoop
	state      *State
	fencing    *fencing
	published  *published
	writer     *writer
	dispatcher *dispatcher
}

const (
	// rereadRetry is the pause before a job's record is read again.
	rereadRetry = 300 * time.Millisecond
	// outcomeRetry is the pause before a transaction's outcome is read again.
	outcomeRetry = 200 * time.Millisecond
)

// flush has the writer's next transaction executed, or the token raised where
// somebody waits for that.
func (co *committer) flush(now time.Time) {
	if co.fencing.raising || !co.writer.ready(now) {
		return
	}
	if co.fencing.raiseRequested && now.After(co.fencing.raiseNotBefore) {
		co.raiseToken(nil)
		return
	}
	b := co.writer.next(co.fencing.token, now)
	if b == nil {
		return
	}
	co.spawn(func(ctx context.Context) {
		revision, err := co.leader.Store.Commit(ctx, b.class(), b.txn)
		co.post(txnAnswered{b, revision, err})
	})
}

// onTxnResult takes in the outcome of a transaction.
func (co *committer) onTxnResult(b *batch, revision wire.Revision, err error) {
	co.writer.answered()
	var conflict *store.ConflictError
	switch {
	case err == nil:
		co.onTxnCommitted(b, revision)
	case errors.As(err, &conflict) && conflict.Has(store.LeaderKey):
		co.end(election.ErrTaken.Error())
	case errors.As(err, &conflict):
		co.onTxnConflict(b, conflict)
	case errors.Is(err, store.ErrUnknown):
		// It may be applied yet, minutes from now. A new token ends that;
		// then a read tells what was.
		co.log().Info("outcome of a write unknown", "writes", len(b.txn.Writes))
		co.writer.outcomeOpen()
		co.raiseToken(b)
	case errors.Is(err, store.ErrInvalid):
		co.revertTxn(b)
		if now := time.Now(); co.writer.refused(b, now) {
			co.withdrawRefused(b, now)
		}
	default:
		co.revertTxn(b)
		co.writer.retryLater(time.Now())
	}
}

// onTxnConflict takes in that a transaction's guards failed.
func (co *committer) onTxnConflict(b *batch, conflict *store.ConflictError) {
	b.orphans = slices.DeleteFunc(b.orphans, func(g wire.Guard) bool { return conflict.Has(g.Key) }) // gone already
	co.revertTxn(b)
	for _, j := range co.state.jobs {
		if conflict.Has(store.JobKey(j.spec.ID)) {
			co.reread(j)
		}
	}
	for _, c := range b.chunks {
		if conflict.Has(c.key()) {
			co.end("a chunk was written by another process: " + c.key())
		}
	}
}

// withdrawRefused takes back the starts in chunks that are left alone for a while,
// having been refused: their room is of use to others meanwhile.
func (co *committer) withdrawRefused(b *batch, now time.Time) {
	for _, c := range b.chunks {
		for _, a := range c.attempts {
			if a.unstored {
				co.state.endAttempt(a, TaskPending)
				c.job.startNotBefore = now.Add(refusedPause)
			}
		}
	}
}

// onTxnCommitted takes in that a transaction was executed.
func (co *committer) onTxnCommitted(b *batch, revision wire.Revision) {
	co.writer.committed(b, revision)
	for _, j := range b.finished {
		co.log().Info("job over", "job", j.spec.ID, "status", j.finalStatus(), "took", time.Since(j.acceptedAt))
		delete(co.state.jobs, j.spec.ID)
		delete(co.state.quarantinedJobs, j.spec.ID)
		if !j.recordDeleted {
			co.state.archivedJobs[j.spec.ID] = true
		}
	}
	co.sendStoredLaunches(b.planned)
}

// sendStoredLaunches sends the launches that are stored now.
func (co *committer) sendStoredLaunches(planned []*attempt) {
	touched := map[*machine]bool{}
	for _, a := range planned {
		if a.chunk.attempts[a.index] != a {
			continue
		}
		a.unstored = false
		a.chunk.unstoredAttempts--
		a.job.unstoredAttempts--
		if a.stopping || a.job.cancelled || a.machine.drainReason != "" || a.machine.scalingIn || co.state.machines[a.machine.id] != a.machine {
			// Never sent by anyone: there is nothing to halt.
			co.state.endAttempt(a, TaskPending)
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
		co.dispatcher.dispatch(m)
	}
}

// revertTxn marks all of a transaction that was not executed as still to be
// written.
func (co *committer) revertTxn(b *batch) {
	co.writer.undone(b)
	for _, a := range b.planned {
		if a.stopping && a.chunk.attempts[a.index] == a {
			co.state.endAttempt(a, TaskPending)
		}
	}
}

// reread reads a job's record again after a guard on it failed.
func (co *committer) reread(j *job) {
	j.recordOutdated = true
	id := j.spec.ID
	co.spawn(func(ctx context.Context) {
		entry, err := co.leader.Store.Get(ctx, store.Critical, store.JobKey(id))
		co.post(jobRecordReread{j, entry, err})
	})
}

// raiseToken takes a higher token for this term by a guarded write. Nothing that
// was sent under the old one can take effect afterwards: transactions fail
// at their guard, and commands at every worker that has seen the new one. If
// b is given, its outcome is then looked up.
func (co *committer) raiseToken(b *batch) {
	co.fencing.raising = true
	co.fencing.raiseRequested, co.fencing.raiseNotBefore = false, time.Now().Add(co.state.settings.Workers.Lease.Duration()/2)
	old := co.fencing.token
	co.spawn(func(ctx context.Context) {
		token, err := co.lease.RaiseToken(ctx, old)
		switch {
		case err == nil:
			co.post(tokenRaised{token, b})
		case ctx.Err() == nil:
			co.end(err.Error())
		}
	})
}

func (co *committer) onTokenRaised(token wire.FencingToken, b *batch) {
	co.log().Info("token raised", "from", co.fencing.token, "to", token)
	co.fencing.token = token
	if co.state.recovered {
		co.published.delegationToken.Store(uint64(token))
	}
	co.leader.Mesh.ObserveToken(co.ctx, token)
	co.fencing.raising = false
	if b != nil {
		co.spawn(func(ctx context.Context) { co.readOutcome(ctx, b) })
	}
}

// readOutcome finds out what became of a transaction that can't be executed any more.
func (co *committer) readOutcome(ctx context.Context, b *batch) {
	guard := b.tellingGuard()
	for {
		entry, err := co.leader.Store.Get(ctx, store.Critical, guard.Key)
		if err == nil || errors.Is(err, store.ErrMissing) {
			co.post(txnOutcomeRead{b, guard, entry.Revision})
			return
		}
		if !pause(ctx, outcomeRetry) {
			return
		}
	}
}

// onOutcomeRead takes in whether a transaction without an answer was executed: not if
// the guarded key is as it was.
func (co *committer) onOutcomeRead(e txnOutcomeRead) {
	co.writer.outcomeRead()
	if e.revision == e.guard.Revision {
		co.revertTxn(e.batch)
		return
	}
	co.onTxnCommitted(e.batch, e.revision)
}
