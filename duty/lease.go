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

// raiseRetryDelay is the pause between attempts to raise the token.
const raiseRetryDelay = 200 * time.Millisecond

// validForResigned is the value of Lease.validFor once the lease was resigned: no renewal
// changes it. It is half the minimum so that subtracting an age from it doesn't overflow.
const validForResigned = math.MinInt64 / 2

// Acquisition describes how a lease was acquired.
type Acquisition struct {
	Grant      GrantID
	Token      FencingToken // the revision of the lease's key at its acquisition
	AcquiredAt time.Time    // by the candidate's clock
	ValidUntil time.Time    // the lease is certainly held until then, even if it isn't renewed
}

// Lease is the holder's view of a lease that it has acquired. Held and Token may be
// called from any goroutine.
type Lease struct {
	// candidate is nil for a lease that is only checked against the system's clock. Such a
	// lease emits no events, and no operation that uses the store may be called on it.
	candidate   *Candidate
	acquisition Acquisition
	token       atomic.Uint64
	// validFor is how long after its acquisition the lease is certainly held, as a
	// time.Duration; or validForResigned. Being relative to the acquisition, it isn't changed
	// by a step of the wall clock.
	validFor atomic.Int64
}

// NewLease returns the lease for an acquisition that the caller made without Campaign, or
// that it restores.
func NewLease(c *Candidate, acquisition Acquisition) *Lease {
	l := &Lease{candidate: c, acquisition: acquisition}
	l.token.Store(uint64(acquisition.Token))
	l.validFor.Store(int64(acquisition.ValidUntil.Sub(acquisition.AcquiredAt)))
	return l
}

func (l *Lease) clock() Clock {
	if l.candidate == nil {
		return SystemClock{}
	}
	return l.candidate.Clock
}

// emit passes an event of this lease, or of an act under it, to the candidate's observer,
// with the current token.
func (l *Lease) emit(kind EventKind, duty Name, reason string) {
	if l.candidate != nil {
		l.candidate.emit(Event{At: l.clock().Now(), Kind: kind, Duty: duty, Token: l.Token(), Reason: reason})
	}
}

// leaseError returns a LeaseError that names this lease and the reason.
func (l *Lease) leaseError(reason error) error {
	err := &LeaseError{Token: l.Token(), Err: reason}
	if l.candidate != nil {
		err.Key = l.candidate.Key
	}
	return err
}

// FirstToken returns the fencing token with which the lease was acquired, before any
// RaiseToken.
func (l *Lease) FirstToken() FencingToken { return l.acquisition.Token }

// Token returns the current fencing token, which only grows.
func (l *Lease) Token() FencingToken { return FencingToken(l.token.Load()) }

// AcquiredAt returns when the lease was acquired, by the clock of this process.
func (l *Lease) AcquiredAt() time.Time { return l.acquisition.AcquiredAt }

// ValidFor returns how long after its acquisition the lease is certainly held. Renewals
// prolong it; it is negative once the lease was resigned.
func (l *Lease) ValidFor() time.Duration { return time.Duration(l.validFor.Load()) }

// Held reports whether this process certainly holds the lease: no other process can have
// acquired it yet.
func (l *Lease) Held() bool { return l.age() < l.ValidFor() }

// age returns the time since the lease was acquired.
func (l *Lease) age() time.Duration { return l.clock().Now().Sub(l.acquisition.AcquiredAt) }

// extend prolongs the lease after a successful renewal, whose request was sent at the given
// time. It never shortens the lease, and a resigned lease stays resigned.
func (l *Lease) extend(sentAt time.Time) {
	extended := int64(sentAt.Add(l.candidate.Timing.SafeTTL()).Sub(l.acquisition.AcquiredAt))
	for {
		current := l.validFor.Load()
		if current == validForResigned || current >= extended {
			return
		}
		if l.validFor.CompareAndSwap(current, extended) {
			return
		}
	}
}

// Context returns a context that ends with its parent or before the lease can expire. In
// the latter case its cause is ErrNotHeld. Resign doesn't end the context at once: it ends
// no later than it would have without the resignation. The caller must call the cancel
// function.
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

// KeepAlive renews the lease. It returns nil once the context has ended, or an error that
// is ErrGrantExpired once a renewal finds that the store has ended the grant. After each
// successful renewal it calls renewed with the time at which the request was sent.
func (l *Lease) KeepAlive(ctx context.Context, renewed func(sentAt time.Time)) error {
	timing := l.candidate.Timing
	delay := timing.RenewEvery
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock().After(delay):
		}
		sentAt := l.clock().Now()
		err := l.candidate.Store.RenewGrant(ctx, l.acquisition.Grant, timing.RenewTimeout)
		switch {
		case err == nil:
			l.extend(sentAt)
			renewed(sentAt)
			delay = timing.RenewEvery
		case errors.Is(err, ErrNotFound):
			l.emit(LeaseLost, "", ErrGrantExpired.Error())
			return l.leaseError(ErrGrantExpired)
		default:
			delay = timing.RenewEvery / 3
		}
	}
}

// RaiseToken replaces the token old by a higher one. It retries until it succeeds, the
// context ends, or the store shows that this process doesn't hold the lease any more.
//
// A transaction that was sent under the old token fails at its guard afterwards. A request
// under the old token is refused by every receiver that checks fencing tokens and has seen
// the new one.
func (l *Lease) RaiseToken(ctx context.Context, old FencingToken) (FencingToken, error) {
	for {
		token, err := l.tryRaiseToken(ctx, old)
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
		case <-l.clock().After(raiseRetryDelay):
		}
	}
}

// tryRaiseToken makes one attempt to raise the token. It returns a token that is not above
// old, and no error, if the attempt failed or its outcome is unknown: the caller retries.
func (l *Lease) tryRaiseToken(ctx context.Context, old FencingToken) (FencingToken, error) {
	c := l.candidate
	revision, err := c.Store.Commit(ctx, store.ClassCritical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: Revision(old)}},
		Writes: []Write{{PutKey: c.Key, Value: wire.Encode(c.LeaseRecord()), Grant: l.acquisition.Grant}},
	})
	if err == nil {
		return FencingToken(revision), nil
	}
	// This attempt, or an earlier one without a response, may have been executed after all.
	// Then the key still holds this process's record, with a new revision.
	entry, err := c.Store.Get(ctx, store.ClassCritical, c.Key)
	var record store.LeaseRecord
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, l.leaseError(ErrNoHolder)
	case err != nil || wire.Decode(entry.Value, &record) != nil:
		return 0, nil
	case !c.isOwnRecord(entry, l.acquisition.Grant):
		return 0, l.leaseError(ErrHeldByOther)
	}
	return FencingToken(entry.Revision), nil
}

// Resign gives the lease up and keeps this process from acquiring it again until the given
// time. No act is permitted from now on, even before the store revokes the grant, because a
// successor may act right after that. If the store can't be reached the grant expires by
// itself.
func (l *Lease) Resign(ctx context.Context, until time.Time) {
	l.validFor.Store(validForResigned)
	l.emit(LeaseResigned, "", "")
	l.candidate.BackOffUntil(until)
	// If this fails, the grant expires by itself.
	go func() { _ = l.candidate.Store.RevokeGrant(context.WithoutCancel(ctx), l.acquisition.Grant) }()
}
