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

// raiseRetry is the pause before an attempt to raise the token is repeated.
const raiseRetry = 200 * time.Millisecond

// resigned replaces Lease.validFor once the lease was given up: no renewal changes it.
const resigned = math.MinInt64 / 2

// Acquisition describes how a lease was acquired.
type Acquisition struct {
	Grant      GrantID
	Token      FencingToken // the revision of the lease's key
	AcquiredAt time.Time    // when the lease was acquired
	ValidUntil time.Time    // until when it is certainly held unless it is renewed
}

// Lease is a lease as its holder knows it. Any goroutine may ask whether it is still held.
type Lease struct {
	candidate *Candidate // nil for a lease that only tells the time
	tenure    Acquisition
	token     atomic.Uint64
	// validFor is a time.Duration since the lease was acquired, which no step of the wall
	// clock changes; or resigned.
	validFor atomic.Int64
}

// NewLease returns a lease that was acquired by other means than Campaign, or that is
// restored.
func NewLease(c *Candidate, tenure Acquisition) *Lease {
	l := &Lease{candidate: c, tenure: tenure}
	l.token.Store(uint64(tenure.Token))
	l.validFor.Store(int64(tenure.ValidUntil.Sub(tenure.AcquiredAt)))
	return l
}

func (l *Lease) clock() Clock {
	if l.candidate == nil {
		return SystemClock{}
	}
	return l.candidate.Clock
}

// emit reports an event of this lease, or of an act under it, with the current token.
func (l *Lease) emit(kind EventKind, duty Name, reason string) {
	if l.candidate != nil {
		l.candidate.emit(Event{At: l.clock().Now(), Kind: kind, Duty: duty, Token: l.Token(), Reason: reason})
	}
}

// failure wraps a reason with what identifies the lease.
func (l *Lease) failure(reason error) error {
	err := &LeaseError{Token: l.Token(), Err: reason}
	if l.candidate != nil {
		err.Key = l.candidate.Key
	}
	return err
}

// FirstToken returns the token with which the lease was acquired.
func (l *Lease) FirstToken() FencingToken { return l.tenure.Token }

// Token returns the current token; it only grows.
func (l *Lease) Token() FencingToken { return FencingToken(l.token.Load()) }

// AcquiredAt returns when the lease was acquired.
func (l *Lease) AcquiredAt() time.Time { return l.tenure.AcquiredAt }

// ValidFor returns until when the lease is certainly held, as a duration since it was
// acquired.
func (l *Lease) ValidFor() time.Duration { return time.Duration(l.validFor.Load()) }

// Held reports whether this process certainly holds the lease: no other can have acquired
// it yet.
func (l *Lease) Held() bool { return l.age() < l.ValidFor() }

// age returns how long ago the lease was acquired.
func (l *Lease) age() time.Duration { return l.clock().Now().Sub(l.tenure.AcquiredAt) }

// extend prolongs the lease by a renewal that was sent at the given time. It never
// shortens it, and a resigned lease stays resigned.
func (l *Lease) extend(sentAt time.Time) {
	extended := int64(sentAt.Add(l.candidate.Timing.SafeTTL()).Sub(l.tenure.AcquiredAt))
	for {
		current := l.validFor.Load()
		if current == resigned || current >= extended {
			return
		}
		if l.validFor.CompareAndSwap(current, extended) {
			return
		}
	}
}

// Context returns a context that ends with its parent, or before the lease can expire,
// then with ErrNotHeld as its cause. The caller must call the cancel function.
func (l *Lease) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go l.cancelAtExpiry(ctx, cancel)
	return ctx, func() { cancel(context.Canceled) }
}

// cancelAtExpiry cancels the context once the lease may have expired. It returns when the
// context has ended.
func (l *Lease) cancelAtExpiry(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		remaining := l.ValidFor() - l.age()
		if remaining <= 0 {
			cancel(ErrNotHeld)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-l.clock().After(remaining):
		}
	}
}

// KeepAlive renews the lease until the context ends, which returns nil, or until the store has
// ended the grant, which returns an error that is ErrGrantExpired. After each successful
// renewal that is counted, renewed receives the time at which its request was sent.
func (l *Lease) KeepAlive(ctx context.Context, renewed func(sentAt time.Time)) error {
	timing := l.candidate.Timing
	wait := timing.RenewEvery
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock().After(wait):
		}
		sentAt := l.clock().Now()
		err := l.candidate.Store.Renew(ctx, l.tenure.Grant, timing.RenewTimeout)
		switch {
		case err == nil:
			l.extend(sentAt)
			renewed(sentAt)
			wait = timing.RenewEvery
		case errors.Is(err, ErrNotFound):
			l.emit(LeaseLost, "", ErrGrantExpired.Error())
			return l.failure(ErrGrantExpired)
		default:
			wait = timing.RenewEvery / 3
		}
	}
}

// RaiseToken replaces the token old by a higher one, and retries until it succeeds, the
// context ends or the lease is lost. Nothing that was sent under the old token can take
// effect afterwards: transactions fail at their guard, and commands at every receiver that
// has seen the new token.
func (l *Lease) RaiseToken(ctx context.Context, old FencingToken) (FencingToken, error) {
	for {
		token, err := l.tryRaise(ctx, old)
		if err != nil {
			return 0, err
		}
		if token > old {
			l.token.Store(uint64(token))
			l.emit(TokenRaised, "", "")
			return token, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-l.clock().After(raiseRetry):
		}
	}
}

// tryRaise makes one attempt. A token that is not above the old one, without an error,
// means that the outcome is open.
func (l *Lease) tryRaise(ctx context.Context, old FencingToken) (FencingToken, error) {
	c := l.candidate
	revision, err := c.Store.Commit(ctx, store.ClassCritical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: Revision(old)}},
		Writes: []Write{{PutKey: c.Key, Value: wire.Encode(c.LeaseRecord()), Grant: l.tenure.Grant}},
	})
	if err == nil {
		return FencingToken(revision), nil
	}
	// It may have been executed, perhaps by an earlier attempt: then the key is still this
	// holder's, with a new revision.
	entry, err := c.Store.Get(ctx, store.ClassCritical, c.Key)
	var record store.LeaderRecord
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, l.failure(ErrNoHolder)
	case err != nil || wire.Decode(entry.Value, &record) != nil:
		return 0, nil
	case !c.isOwnRecord(entry, l.tenure.Grant):
		return 0, l.failure(ErrHeldByOther)
	}
	return FencingToken(entry.Revision), nil
}

// Resign gives the lease up and leaves it to others until the given time. No act is
// permitted from now on, before the store is told: a successor may act at once. If the
// store can't be reached the grant expires by itself.
func (l *Lease) Resign(ctx context.Context, until time.Time) {
	l.validFor.Store(resigned)
	l.emit(LeaseResigned, "", "")
	l.candidate.BackOffUntil(until)
	go func() { _ = l.candidate.Store.RevokeGrant(context.WithoutCancel(ctx), l.tenure.Grant) }() // else it expires by itself
}
