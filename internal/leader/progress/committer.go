package progress

import (
	"context"
	"errors"
	"slices"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Committer has the writer's transactions executed, takes in their outcomes, and raises
// the fencing token.
type Committer struct {
	*core.Loop
	State      *cluster.State
	Store      *store.Client
	Mesh       *peer.Mesh
	Writer     *Writer
	Dispatcher *agents.Dispatcher
}

const (
	// outcomeRetry is the pause before a transaction's outcome is read again.
	outcomeRetry = 200 * time.Millisecond
)

// Flush has the writer's next transaction executed, or the token raised where
// somebody waits for that.
func (co *Committer) Flush(now time.Time) {
	if co.Fencing.Raising || !co.Writer.Ready(now) {
		return
	}
	if co.Fencing.RaiseRequested && now.After(co.Fencing.RaiseNotBefore) {
		co.raiseToken(nil)
		return
	}
	b := co.Writer.Next(co.Fencing.Token, now)
	if b == nil {
		return
	}
	co.Spawn(func(ctx context.Context) {
		revision, err := co.Store.Commit(ctx, b.Class(), b.Txn)
		co.Post(TxnAnswered{b, revision, err})
	})
}

// OnTxnResult takes in the outcome of a transaction.
func (co *Committer) OnTxnResult(b *Batch, revision wire.Revision, err error) {
	co.Writer.Answered()
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
		co.Writer.OutcomeOpen()
		co.raiseToken(b)
	case errors.Is(err, store.ErrInvalid):
		co.revertTxn(b)
		if now := time.Now(); co.Writer.Refused(b, now) {
			co.withdrawRefused(b, now)
		}
	default:
		co.revertTxn(b)
		co.Writer.RetryLater(time.Now())
	}
}

// onTxnConflict takes in that a transaction's guards failed.
func (co *Committer) onTxnConflict(b *Batch, conflict *store.ConflictError) {
	b.Orphans = slices.DeleteFunc(b.Orphans, func(g wire.Guard) bool { return conflict.Has(g.Key) }) // gone already
	co.revertTxn(b)
	for _, j := range co.State.Jobs {
		if conflict.Has(store.JobKey(j.Spec.ID)) {
			co.Reread(j)
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
func (co *Committer) withdrawRefused(b *Batch, now time.Time) {
	for _, c := range b.Chunks {
		for _, a := range c.Attempts {
			if a.Unstored {
				co.State.EndAttempt(a, cluster.TaskPending)
				c.Job.StartNotBefore = now.Add(RefusedPause)
			}
		}
	}
}

// onTxnCommitted takes in that a transaction was executed.
func (co *Committer) onTxnCommitted(b *Batch, revision wire.Revision) {
	co.Writer.Committed(b, revision)
	for _, j := range b.Finished {
		co.Log.Info("job over", "job", j.Spec.ID, "status", j.FinalStatus(), "took", time.Since(j.AcceptedAt))
		delete(co.State.Jobs, j.Spec.ID)
		delete(co.State.QuarantinedJobs, j.Spec.ID)
		if !j.RecordDeleted {
			co.State.ArchivedJobs[j.Spec.ID] = true
		}
	}
	co.sendStoredLaunches(b.Planned)
}

// sendStoredLaunches sends the launches that are stored now.
func (co *Committer) sendStoredLaunches(planned []*cluster.Attempt) {
	touched := map[*cluster.Machine]bool{}
	for _, a := range planned {
		if a.Chunk.Attempts[a.Index] != a {
			continue
		}
		a.Unstored = false
		a.Chunk.UnstoredAttempts--
		a.Job.UnstoredAttempts--
		if a.Stopping || a.Job.Cancelled || a.Machine.DrainReason != "" || a.Machine.ScalingIn || co.State.Machines[a.Machine.ID] != a.Machine {
			// Never sent by anyone: there is nothing to halt.
			co.State.EndAttempt(a, cluster.TaskPending)
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
		co.Dispatcher.Dispatch(m)
	}
}

// revertTxn marks all of a transaction that was not executed as still to be
// written.
func (co *Committer) revertTxn(b *Batch) {
	co.Writer.Undone(b)
	for _, a := range b.Planned {
		if a.Stopping && a.Chunk.Attempts[a.Index] == a {
			co.State.EndAttempt(a, cluster.TaskPending)
		}
	}
}

// Reread reads a job's record again after a guard on it failed.
func (co *Committer) Reread(j *cluster.Job) {
	j.RecordOutdated = true
	id := j.Spec.ID
	co.Spawn(func(ctx context.Context) {
		entry, err := co.Store.Get(ctx, store.Critical, store.JobKey(id))
		co.Post(JobRecordReread{j, entry, err})
	})
}

// raiseToken takes a higher token for this term by a guarded write. Nothing that
// was sent under the old one can take effect afterwards: transactions fail
// at their guard, and commands at every worker that has seen the new one. If
// b is given, its outcome is then looked up.
func (co *Committer) raiseToken(b *Batch) {
	co.Fencing.Raising = true
	co.Fencing.RaiseRequested, co.Fencing.RaiseNotBefore = false, time.Now().Add(co.State.Settings.Workers.Lease.Duration()/2)
	old := co.Fencing.Token
	co.Spawn(func(ctx context.Context) {
		token, err := co.Lease.RaiseToken(ctx, old)
		switch {
		case err == nil:
			co.Post(TokenRaised{token, b})
		case ctx.Err() == nil:
			co.End(err.Error())
		}
	})
}

func (co *Committer) OnTokenRaised(token wire.FencingToken, b *Batch) {
	co.Log.Info("token raised", "from", co.Fencing.Token, "to", token)
	co.Fencing.Token = token
	if co.State.Recovered {
		co.Published.DelegationToken.Store(uint64(token))
	}
	co.Mesh.ObserveToken(co.Context(), token)
	co.Fencing.Raising = false
	if b != nil {
		co.Spawn(func(ctx context.Context) { co.readOutcome(ctx, b) })
	}
}

// readOutcome finds out what became of a transaction that can't be executed any more.
func (co *Committer) readOutcome(ctx context.Context, b *Batch) {
	guard := b.TellingGuard()
	for {
		entry, err := co.Store.Get(ctx, store.Critical, guard.Key)
		if err == nil || errors.Is(err, store.ErrMissing) {
			co.Post(TxnOutcomeRead{b, guard, entry.Revision})
			return
		}
		if !core.Pause(ctx, outcomeRetry) {
			return
		}
	}
}

// OnOutcomeRead takes in whether a transaction without an answer was executed: not if
// the guarded key is as it was.
func (co *Committer) OnOutcomeRead(e TxnOutcomeRead) {
	co.Writer.OutcomeRead()
	if e.revision == e.guard.Revision {
		co.revertTxn(e.batch)
		return
	}
	co.onTxnCommitted(e.batch, e.revision)
}
