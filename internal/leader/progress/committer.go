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

// Committer sends the Writer's transactions to the key-value store, applies their outcomes
// to the model and raises the fencing token.
type Committer struct {
	*core.Loop
	State      *cluster.State
	Store      *store.Client
	Mesh       *peer.Mesh
	Writer     *Writer
	Dispatcher *agents.Dispatcher
}

// Flush sends the next transaction, or raises the token if that was requested. It does
// nothing while a transaction or a raise is in flight, or during the pause after a failed
// transaction.
func (co *Committer) Flush(now time.Time) {
	if co.Fencing.Raising || !co.Writer.ready(now) {
		return
	}
	if co.Fencing.RaiseDue(now) {
		co.raiseToken(raiseForCommand, nil)
		return
	}
	b := co.Writer.nextBatch(co.Fencing.Token, now)
	if b == nil {
		return
	}
	co.Spawn(func(ctx context.Context) {
		revision, err := co.Store.Commit(ctx, b.requestClass(), b.txn)
		co.Post(TxnAnswered{b, revision, err})
	})
}

// OnTxnAnswered applies the outcome of a transaction.
func (co *Committer) OnTxnAnswered(e TxnAnswered) {
	co.Writer.onRequestEnded()
	var conflict *store.ConflictError
	switch {
	case e.err == nil:
		co.onCommitted(e.batch, e.revision)
	case errors.As(e.err, &conflict):
		co.onConflict(e.batch, conflict)
	case errors.Is(e.err, store.ErrOutcomeUnknown):
		co.onOutcomeUnknown(e.batch)
	case errors.Is(e.err, store.ErrInvalidRequest):
		co.onRejected(e.batch, time.Now())
	default:
		co.revert(e.batch)
		co.Writer.retryLater(time.Now())
	}
}

// onCommitted applies a transaction that was committed at a revision.
func (co *Committer) onCommitted(b *batch, revision wire.Revision) {
	co.Writer.onCommitted(b, revision)
	co.logStoredOutcomes(b)
	for _, j := range b.archived {
		co.removeArchivedJob(j)
	}
	co.sendStoredLaunches(b.launches)
}

// logStoredOutcomes logs the outcomes of attempts that a committed transaction holds. The final
// record of a job stands for the outcomes of all its attempts.
func (co *Committer) logStoredOutcomes(b *batch) {
	for _, c := range b.chunks {
		co.logOutcomesOf(c)
	}
	for _, j := range b.archived {
		for _, c := range j.Chunks {
			if c != nil {
				c.SendOutcomes()
				co.logOutcomesOf(c)
			}
		}
	}
}

func (co *Committer) logOutcomesOf(c *cluster.Chunk) {
	for _, outcome := range c.TakeStoredOutcomes() {
		co.Attempts.OutcomeStored(outcome.Task, outcome.Attempt, outcome.Machine, outcome.String())
	}
}

// removeArchivedJob removes a job from the model. It remembers the job's ID, so that late
// events about the job are ignored. The last of them is the deletion of the job's record; if
// that has already arrived, the ID is not needed.
func (co *Committer) removeArchivedJob(j *cluster.Job) {
	id := j.Spec.ID
	co.Log.Info("job finished", "job", id, "status", j.FinalStatus(), "duration", time.Since(j.AcceptedAt))
	delete(co.State.Jobs, id)
	delete(co.State.QuarantinedJobs, id)
	if !j.RecordDeleted {
		co.State.ArchivedJobs[id] = true
	}
}

// onConflict handles a transaction whose guards failed. It ends the term if another process
// has written a key that only the leader writes.
func (co *Committer) onConflict(b *batch, conflict *store.ConflictError) {
	if conflict.HasKey(store.LeaderKey) {
		co.End(election.ErrHeldByOther.Error())
		return
	}
	alreadyDeleted := func(orphan wire.Guard) bool { return conflict.HasKey(orphan.Key) }
	b.orphans = slices.DeleteFunc(b.orphans, alreadyDeleted)
	co.revert(b)
	for _, j := range co.State.Jobs {
		if conflict.HasKey(store.JobKey(j.Spec.ID)) {
			co.Reread(j)
		}
	}
	for _, c := range b.chunks {
		if conflict.HasKey(c.Key()) {
			co.End("a chunk was written by another process: " + c.Key())
		}
	}
}

// onOutcomeUnknown handles a transaction without a response. The store may still execute it,
// even minutes later. Raising the token rules that out; a read then shows whether the
// transaction was executed before.
func (co *Committer) onOutcomeUnknown(b *batch) {
	co.Log.Info("write outcome unknown", "writes", len(b.txn.Writes))
	co.Writer.awaitOutcome()
	co.raiseToken(raiseForWrite, b)
}

// onRejected handles a transaction that the store rejected as invalid. If a single record is
// to blame, it withdraws the unstored attempts in that record.
func (co *Committer) onRejected(b *batch, now time.Time) {
	co.revert(b)
	if co.Writer.onRejected(b, now) {
		co.withdrawUnstoredAttempts(b, now)
	}
}

// withdrawUnstoredAttempts ends the unstored attempts in the chunks of a rejected
// transaction. For rejectedRecordPause these chunks are not written, and the jobs of the ended
// attempts start no tasks, so that other jobs can use the attempts' resources.
func (co *Committer) withdrawUnstoredAttempts(b *batch, now time.Time) {
	for _, c := range b.chunks {
		for _, a := range c.Attempts {
			if a.Unstored {
				co.State.EndAttempt(a, cluster.TaskPending)
				c.Job.StartNotBefore = now.Add(rejectedRecordPause)
			}
		}
	}
}

// revert marks everything in a transaction that was not executed as still to be written. Of
// the attempts that the transaction was to launch, it ends those that are to be stopped.
func (co *Committer) revert(b *batch) {
	co.Writer.revert(b)
	for _, a := range b.launches {
		if a.Stopping && isCurrent(a) {
			co.State.EndAttempt(a, cluster.TaskPending)
		}
	}
}

// isCurrent reports whether the attempt is still its task's active attempt.
func isCurrent(a *cluster.Attempt) bool { return a.Chunk.Attempts[a.Index] == a }

// Reread reads a job's record again after a guard on it failed, and posts a
// JobRecordReread.
func (co *Committer) Reread(j *cluster.Job) {
	j.RecordOutdated = true
	id := j.Spec.ID
	co.Spawn(func(ctx context.Context) {
		entry, err := co.Store.Get(ctx, store.ClassCritical, store.JobKey(id))
		co.Post(JobRecordReread{j, entry, err})
	})
}
