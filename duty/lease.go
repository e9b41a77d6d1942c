package duty

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// raiseRetry is the pause before a try to raise the token is repeated.
const raiseRetry = 200 * time.Millisecond

// Tenure are the terms on which a lease was taken.
type Tenure struct {
	Grant     GrantID
	Token     FencingToken // the revision of the lease's key
	TakenAt   time.Time
	HeldUntil time.Time
}

// Lease is a lease as its holder knows it. It may be asked from any goroutine
// whether it is still held.
type Lease struct {
	candidate *Candidate
	terms     Tenure
	token     atomic.Uint64
	// heldUntil is a time since the lease was taken, which no step of the wall clock
	// changes.
	heldUntil atomic.Int64
}

// resigned stands in heldUntil once the lease was given up: no renewal changes it.
const resigned = math.MinInt64 / 2

// NewLease is a lease that was taken on these terms, for whoever takes or restores
// leases by other means than Campaign.
func NewLease(c *Candidate, terms Tenure) *Lease {
	l := &Lease{candidate: c, terms: terms}
	l.token.Store(uint64(terms.Token))
	l.heldUntil.Store(int64(terms.HeldUntil.Sub(terms.TakenAt)))
	return l
}

func (l *Lease) clock() Clock {
	if l.candidate == nil {
		return SystemClock{}
	}
	return l.candidate.Clock
}

func (l *Lease) event(kind EventKind, duty Name, why string) {
	if l.candidate != nil {
		l.candidate.Observe(Event{At: l.clock().Now(), Kind: kind, Duty: duty, Token: l.Token(), Reason: why})
	}
}

// FirstToken is the token with which the lease was taken.
func (l *Lease) FirstToken() FencingToken { return l.terms.Token }

// Token is the token now; it only grows.
func (l *Lease) Token() FencingToken { return FencingToken(l.token.Load()) }

// TakenAt is when the lease was taken.
func (l *Lease) TakenAt() time.Time { return l.terms.TakenAt }

// HeldFor is until when the lease is surely held, as a time since it was taken.
func (l *Lease) HeldFor() time.Duration { return time.Duration(l.heldUntil.Load()) }

// Held tells whether this process surely holds the lease: no other can have it yet.
func (l *Lease) Held() bool { return l.since() < l.HeldFor() }

// since is how long ago the lease was taken.
func (l *Lease) since() time.Duration { return l.clock().Now().Sub(l.terms.TakenAt) }

// extend counts a renewal that was sent then.
func (l *Lease) extend(sent time.Time) {
	next := int64(sent.Add(l.candidate.Timing.SafeTTL()).Sub(l.terms.TakenAt))
	for {
		now := l.heldUntil.Load()
		if now == resigned || now >= next || l.heldUntil.CompareAndSwap(now, next) {
			return
		}
	}
}

// Context is a context that ends before the lease can have, with ErrNotHeld as its
// cause, or with its parent.
func (l *Lease) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		for {
			left := l.HeldFor() - l.since()
			if left <= 0 {
				cancel(ErrNotHeld)
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-l.clock().After(left):
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// Keep renews the lease until the context ends, nil, or the lease is lost. It tells
// renewed when each renewal that succeeded was sent, once the lease counts it.
func (l *Lease) Keep(ctx context.Context, renewed func(sent time.Time)) error {
	timing := l.candidate.Timing
	wait := timing.RenewEvery
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock().After(wait):
		}
		sent := l.clock().Now()
		err := l.candidate.Store.Renew(ctx, l.terms.Grant, timing.RenewTimeout)
		switch {
		case err == nil:
			l.extend(sent)
			renewed(sent)
			wait = timing.RenewEvery
		case errors.Is(err, ErrMissing):
			l.event(Lost, "", ErrGrantExpired.Error())
			return ErrGrantExpired
		default:
			wait = timing.RenewEvery / 3
		}
	}
}

// RaiseToken takes a higher token than the old one by a guarded write, however
// long it takes. Nothing that was sent under the old one can take effect
// afterwards: transactions fail at their guard, and commands at every receiver that
// has seen the new one.
func (l *Lease) RaiseToken(ctx context.Context, old FencingToken) (FencingToken, error) {
	for {
		token, err := l.tryRaise(ctx, old)
		if err == nil && token > old {
			l.token.Store(uint64(token))
			l.event(Raised, "", "")
		}
		if err != nil || token > old {
			return token, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-l.clock().After(raiseRetry):
		}
	}
}

// tryRaise tries once; without an error and without a token the outcome is open.
func (l *Lease) tryRaise(ctx context.Context, old FencingToken) (FencingToken, error) {
	c := l.candidate
	revision, err := c.Store.Commit(ctx, store.Critical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: Revision(old)}},
		Writes: []Write{{Put: c.Key, Value: wire.Encode(c.Record()), Grant: l.terms.Grant}},
	})
	if err == nil {
		return FencingToken(revision), nil
	}
	// Executed, perhaps by an earlier try: then the key is ours with a new revision.
	e, err := c.Store.Get(ctx, store.Critical, c.Key)
	var rec store.LeaderRecord
	switch {
	case errors.Is(err, ErrMissing):
		return 0, ErrNoHolder
	case err != nil || wire.Decode(e.Value, &rec) != nil:
		return 0, nil
	case !c.wrote(e, l.terms.Grant):
		return 0, ErrHeldByOther
	}
	return FencingToken(e.Revision), nil
}

// Resign gives the lease up and leaves it to others until then. No act is permitted
// from now on, before the state service is told: a successor may act at once. If the
// state service is not reached the grant runs out by itself.
func (l *Lease) Resign(ctx context.Context, until time.Time) {
	l.heldUntil.Store(resigned)
	l.event(Resigned, "", "")
	l.candidate.BackOffUntil(until)
	go l.candidate.Store.EndGrant(context.WithoutCancel(ctx), l.terms.Grant) //nolint:errcheck // else it runs out by itself
}
