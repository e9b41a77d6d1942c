package progress

import (
	"context"
	"errors"
	"time"

	"lilaclead/internal/leader/core"
	"lilaclead/internal/store"
)

// outcomeRetry is the pause before a transaction's outcome is read again.
const outcomeRetry = 200 * time.Millisecond

// raiseToken takes a higher fencing token for this term by a compare-and-swap. Nothing
// that was sent under the old token can take effect afterwards: transactions fail at their
// guard, and commands at every agent that has seen the new token. The outcome of the
// unresolved transaction, if there is one, is read then.
func (co *Committer) raiseToken(unresolved *batch) {
	co.Fencing.Raising = true
	co.Fencing.RaiseRequested = false
	co.Fencing.RaiseNotBefore = time.Now().Add(co.State.Settings.Workers.Lease.Duration() / 2)
	old := co.Fencing.Token
	co.Spawn(func(ctx context.Context) {
		token, err := co.Lease.RaiseToken(ctx, old)
		switch {
		case err == nil:
			co.Post(TokenRaised{token, unresolved})
		case ctx.Err() == nil:
			co.End(err.Error())
		}
	})
}

// OnTokenRaised has the term act under a higher token.
func (co *Committer) OnTokenRaised(e TokenRaised) {
	co.Log.Info("token raised", "token", e.token, "previous", co.Fencing.Token)
	co.Fencing.Token = e.token
	if co.State.RecordsRead {
		co.Published.DelegationToken.Store(uint64(e.token))
	}
	co.Mesh.ObserveToken(co.Context(), e.token)
	co.Fencing.Raising = false
	if e.unresolved != nil {
		co.Spawn(func(ctx context.Context) { co.readOutcome(ctx, e.unresolved) })
	}
}

// readOutcome reads whether a transaction was committed that can't be executed any more.
func (co *Committer) readOutcome(ctx context.Context, b *batch) {
	guard := b.outcomeGuard()
	for {
		entry, err := co.Store.Get(ctx, store.ClassCritical, guard.Key)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			co.Post(TxnOutcomeRead{b, guard, entry.Revision})
			return
		}
		if !core.Pause(ctx, outcomeRetry) {
			return
		}
	}
}

// OnOutcomeRead applies the outcome of a transaction without an answer: it was committed
// if the guarded key has changed.
func (co *Committer) OnOutcomeRead(e TxnOutcomeRead) {
	co.Writer.onOutcomeRead()
	if e.revision == e.guard.Revision {
		co.revert(e.batch)
		return
	}
	co.onCommitted(e.batch, e.revision)
}
