package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// committer has the writer's transactions executed, takes in their outcomes, and raises
// the fencing token.
type committer struct {
	*Loop
	state      *cluster.State
	store      *store.Client
	mesh       *peer.Mesh
	writer     *progress.Writer
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
	if co.Fencing.Raising || !co.writer.Ready(now) {
		return
	}
	if co.Fencing.RaiseRequested && now.After(co.Fencing.RaiseNotBefore) {
		co.raiseToken(nil)
		return
	}
	b := co.writer.Next(co.Fencing.Token, now)
	if b == nil {
		return
	}
	co.Spawn(func(ctx context.Context) {
		revision, err := co.store.Commit(ctx, b.Class(), b.Txn)
		co.Post(txnAnswered{b, revision, err})
	})
}

// onTxnResult takes in the outcome of a transaction.
func (co *committer) onTxnResult(b *progress.Batch, revision wire.Revision, err error) {
	co.writer.Answered()
	var conflict *store.ConflictError
	switch {
	case err == nil:
		co.onTxnCommitted(b, revision)
	case errors.As(err, &conflict) && conflict.Has(store.LeaderKey):
		co.End(election.ErrTaken.Error())
	case errors.As(err, &conflict):
		co.onTxnConflict(b, conflict)
	case errors.Is(err, store.ErrUnknown):
		// It may be applied yet, minutes from now. A new token ends that;
		// then a read tells what was.
		co.Log.Info("outcome of a write unknown", "writes", len(b.Txn.Writes))
		co.writer.OutcomeOpen()
		co.raiseToken(b)
	case errors.Is(err, store.ErrInvalid):
		co.revertTxn(b)
		if now := time.Now(); co.writer.Refused(b, now) {
			co.withdrawRefused(b, now)
		}
	default:
		co.revertTxn(b)
		co.writer.RetryLater(time.Now())
	}
}

// onTxnConflict takes in that a transaction's guards failed.
func (co *committer) onTxnConflict(b *progress.Batch, conflict *store.ConflictError) {
	b.Orphans = slices.DeleteFunc(b.Orphans, func(g wire.Guard) bool { return conflict.Has(g.Key) }) // gone already
	co.revertTxn(b)
	for _, j := range co.state.Jobs {
		if conflict.Has(store.JobKey(j.Spec.ID)) {
			co.reread(j)
		}
	}
	for _, c := range b.Chunks {
		if conflict.Has(c.Key()) {
			co.End("a chunk was written by another process: " + c.Key())
		}
	}
}

// withdrawRefused takes back the starts in chunks that are left alone for a while,
// having been refused: their room is of use to others meanwhile.
func (co *committer) withdrawRefused(b *progress.Batch, now time.Time) {
	for _, c := range b.Chunks {
		for _, a := range c.Attempts {
			if a.Unstored {
				co.state.EndAttempt(a, cluster.TaskPending)
				c.Job.StartNotBefore = now.Add(progress.RefusedPause)
			}
		}
	}
}

// onTxnCommitted takes in that a transaction was executed.
func (co *committer) onTxnCommitted(b *progress.Batch, revision wire.Revision) {
	co.writer.Committed(b, revision)
	for _, j := range b.Finished {
		co.Log.Info("job over", "job", j.Spec.ID, "status", j.FinalStatus(), "took", time.Since(j.AcceptedAt))
		delete(co.state.Jobs, j.Spec.ID)
		delete(co.state.QuarantinedJobs, j.Spec.ID)
		if !j.RecordDeleted {
			co.state.ArchivedJobs[j.Spec.ID] = true
		}
	}
	co.sendStoredLaunches(b.Planned)
}

// sendStoredLaunches sends the launches that are stored now.
func (co *committer) sendStoredLaunches(planned []*cluster.Attempt) {
	touched := map[*cluster.Machine]bool{}
	for _, a := range planned {
		if a.Chunk.Attempts[a.Index] != a {
			continue
		}
		a.Unstored = false
		a.Chunk.UnstoredAttempts--
		a.Job.UnstoredAttempts--
		if a.Stopping || a.Job.Cancelled || a.Machine.DrainReason != "" || a.Machine.ScalingIn || co.state.Machines[a.Machine.ID] != a.Machine {
			// Never sent by anyone: there is nothing to halt.
			co.state.EndAttempt(a, cluster.TaskPending)
			continue
		}
		touched[a.Machine] = true
		if a.Job.Gang != nil && a.Job.FullyStored() {
			for _, other := range a.Job.Attempts() {
				touched[other.Machine] = true
			}
		}
	}
	for m := range touched {
		co.dispatcher.dispatch(m)
	}
}

// revertTxn marks all of a transaction that was not executed as still to be
// written.
func (co *committer) revertTxn(b *progress.Batch) {
	co.writer.Undone(b)
	for _, a := range b.Planned {
		if a.Stopping && a.Chunk.Attempts[a.Index] == a {
			co.state.EndAttempt(a, cluster.TaskPending)
		}
	}
}

// reread reads a job's record again after a guard on it failed.
func (co *committer) reread(j *cluster.Job) {
	j.RecordOutdated = true
	id := j.Spec.ID
	co.Spawn(func(ctx context.Context) {
		entry, err := co.store.Get(ctx, store.Critical, store.JobKey(id))
		co.Post(jobRecordReread{j, entry, err})
	})
}

// raiseToken takes a higher token for this term by a guarded write. Nothing that
// was sent under the old one can take effect afterwards: transactions fail
// at their guard, and commands at every worker that has seen the new one. If
// b is given, its outcome is then looked up.
func (co *committer) raiseToken(b *progress.Batch) {
	co.Fencing.Raising = true
	co.Fencing.RaiseRequested, co.Fencing.RaiseNotBefore = false, time.Now().Add(co.state.Settings.Workers.Lease.Duration()/2)
	old := co.Fencing.Token
	co.Spawn(func(ctx context.Context) {
		token, err := co.Lease.RaiseToken(ctx, old)
		switch {
		case err == nil:
			co.Post(tokenRaised{token, b})
		case ctx.Err() == nil:
			co.End(err.Error())
		}
	})
}

func (co *committer) onTokenRaised(token wire.FencingToken, b *progress.Batch) {
	co.Log.Info("token raised", "from", co.Fencing.Token, "to", token)
	co.Fencing.Token = token
	if co.state.Recovered {
		co.Published.DelegationToken.Store(uint64(token))
	}
	co.mesh.ObserveToken(co.Context(), token)
	co.Fencing.Raising = false
	if b != nil {
		co.Spawn(func(ctx context.Context) { co.readOutcome(ctx, b) })
	}
}

// readOutcome finds out what became of a transaction that can't be executed any more.
func (co *committer) readOutcome(ctx context.Context, b *progress.Batch) {
	guard := b.TellingGuard()
	for {
		entry, err := co.store.Get(ctx, store.Critical, guard.Key)
		if err == nil || errors.Is(err, store.ErrMissing) {
			co.Post(txnOutcomeRead{b, guard, entry.Revision})
			return
		}
		if !Pause(ctx, outcomeRetry) {
			return
		}
	}
}

// onOutcomeRead takes in whether a transaction without an answer was executed: not if
// the guarded key is as it was.
func (co *committer) onOutcomeRead(e txnOutcomeRead) {
	co.writer.OutcomeRead()
	if e.revision == e.guard.Revision {
		co.revertTxn(e.batch)
		return
	}
	co.onTxnCommitted(e.batch, e.revision)
}
