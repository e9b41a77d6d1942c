package progress

import (
	"context"
	"errors"
	"time"

	"lilaclead/internal/leader/core"
	"lilaclead/internal/store"
)

// outcomeRetryPause is the pause before a failed read of a transaction's outcome is retried.
const outcomeRetryPause = 200 * time.Millisecond

// raiseReason says for the log why the token is raised.
type raiseReason string

const (
	raiseForWrite   raiseReason = "write outcome unknown"
	raiseForCommand raiseReason = "a launch may still arrive"
)

// raiseToken acquires a higher fencing token for this term by a compare-and-swap. Then
// nothing that was sent under the old token can take effect: transactions fail at their
// guard on the leader's key, and every agent that has seen the new token rejects commands
// with the old one. If there is an unresolved transaction, its outcome is read after that.
func (co *Committer) raiseToken(reason raiseReason, unresolved *batch) {
	co.Fencing.BeginRaise(time.Now(), co.State.Settings.Workers.Lease.Duration()/2)
	old := co.Fencing.Token
	co.Spawn(func(ctx context.Context) {
		token, err := co.Lease.RaiseToken(ctx, old)
		switch {
		case err == nil:
			co.Post(TokenRaised{token, reason, unresolved})
		case ctx.Err() == nil:
			co.End(err.Error())
		}
	})
}

// OnTokenRaised makes the term act under the higher token and starts the read of the outcome
// of an unresolved transaction.
func (co *Committer) OnTokenRaised(e TokenRaised) {
	co.Attempts.Flush(co.Fencing.Token)
	co.Log.Info("token raised", "token", e.token, "previous", co.Fencing.Token, "reason", e.reason)
	co.Fencing.Token = e.token
	if co.State.RecordsRead {
		co.Published.DelegationToken.Store(uint64(e.token))
	}
	co.Mesh.ObserveToken(co.Context(), e.token)
	co.Fencing.Raising = false
	co.Dispatcher.ContactWaitingMachines()
	if e.unresolved != nil {
		co.Spawn(func(ctx context.Context) { co.readOutcome(ctx, e.unresolved) })
	}
}

// readOutcome reads whether a transaction was committed, and posts a TxnOutcomeRead. The
// token must have been raised, so that the transaction can no longer be executed.
func (co *Committer) readOutcome(ctx context.Context, b *batch) {
	guard := b.outcomeGuard()
	for {
		entry, err := co.Store.Get(ctx, store.ClassCritical, guard.Key)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			co.Post(TxnOutcomeRead{b, guard, entry.Revision})
			return
		}
		if !core.Pause(ctx, outcomeRetryPause) {
			return
		}
	}
}

// OnOutcomeRead applies the outcome of a transaction without a response: it was committed if
// the revision of the guarded key has changed.
func (co *Committer) OnOutcomeRead(e TxnOutcomeRead) {
	co.Writer.onOutcomeRead()
	if e.revision == e.guard.Revision {
		co.revert(e.batch)
		return
	}
	co.onCommitted(e.batch, e.revision)
}
