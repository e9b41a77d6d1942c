package election

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Why a lease is lost.
var (
	ErrGrantGone = errors.New("the grant is gone")
	ErrVacant    = errors.New("the leadership is vacant")
	ErrTaken     = errors.New("another node leads")
)

// Terms are the terms on which a lease was taken.
type Terms struct {
	Grant        wire.GrantID
	Token        wire.Token // the revision of the leader's key
	TakenAt      time.Time
	DecidesUntil time.Time
}

// Lease is the leadership as its holder knows it. It may be asked from any
// goroutine whether it still holds.
type Lease struct {
	candidate *Candidate
	terms     Terms
	// Both as a time since the lease was taken, which no step of the wall clock
	// changes.
	decidesUntil atomic.Int64
	answersUntil atomic.Int64
}

// DecidesUntil is until when a holder may decide that sent the request for its
// grant, or for the grant's renewal, at the given time. The grant can't end sooner
// than its life after that.
func DecidesUntil(sent time.Time) time.Time { return sent.Add(grantTTL - margin) }

// NewLease is a lease that was taken on these terms.
func NewLease(c *Candidate, terms Terms) *Lease {
	l := &Lease{candidate: c, terms: terms}
	l.decidesUntil.Store(int64(terms.DecidesUntil.Sub(terms.TakenAt)))
	return l
}

// Token with which the lease was taken.
func (l *Lease) Token() wire.Token { return l.terms.Token }

// TakenAt is when the lease was taken.
func (l *Lease) TakenAt() time.Time { return l.terms.TakenAt }

// Deciding tells whether this node surely holds the leadership.
func (l *Lease) Deciding() bool { return int64(time.Since(l.terms.TakenAt)) < l.decidesUntil.Load() }

// Answering tells whether reports may be answered: as long as the lease
// surely runs, or, with the state service away, as long as a majority of the
// nodes acknowledged our token lately and B has not passed.
func (l *Lease) Answering() bool {
	return l.Deciding() || int64(time.Since(l.terms.TakenAt)) < l.answersUntil.Load()
}

// Acknowledged bounds for how long reports may be answered without the state
// service: until the majority's acknowledgements of the token are too old, and
// no longer than outageLimit allows. The oldest acknowledgement of any other
// node is counted by when it was asked for.
func (l *Lease) Acknowledged(majorityUntil, oldest time.Time, delegationTime time.Duration) {
	until := min(majorityUntil.Sub(l.terms.TakenAt), l.outageLimit(oldest, delegationTime))
	l.answersUntil.Store(int64(until))
}

// outageLimit bounds, since the lease was taken, for how long reports may be
// answered without the state service, by B from the end of the grant, so that a
// successor knows when this node answered last, at the latest. While not all nodes
// acknowledge it may be no outage but a cut, behind which another leads and users
// cancel jobs: then it is no longer than a node may be a delegate. A
// successor counts on that, since one that it never had acknowledged its token
// has had no acknowledgement from it either. (Counted by when they were asked,
// not heard: what was held up on its way says nothing of now.)
func (l *Lease) outageLimit(oldest time.Time, delegationTime time.Duration) time.Duration {
	decidesUntil := time.Duration(l.decidesUntil.Load())
	limit := decidesUntil + peer.OutageLimit - margin
	if delegationTime == 0 {
		return limit
	}
	renewalSent := decidesUntil - (grantTTL - margin)
	alone := renewalSent + delegationTime
	return min(limit, max(alone, oldest.Add(2*peer.AckLifetime).Sub(l.terms.TakenAt)))
}

// Keep renews the grant until the context ends, nil, or the lease is lost. It
// tells renewed when each renewal that succeeded was sent, once the lease counts it.
func (l *Lease) Keep(ctx context.Context, renewed func(sent time.Time)) error {
	wait := renewEvery
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		sent := time.Now()
		err := l.candidate.store.Renew(ctx, l.terms.Grant, renewTimeout)
		switch {
		case err == nil:
			l.decidesUntil.Store(int64(DecidesUntil(sent).Sub(l.terms.TakenAt)))
			renewed(sent)
			wait = renewEvery
		case errors.Is(err, store.ErrMissing):
			return ErrGrantGone
		default:
			wait = renewEvery / 3
		}
	}
}

// RaiseToken takes a higher token than the old one by a guarded write, however
// long it takes. Nothing that was sent under the old one can take effect
// afterwards: transactions fail at their guard, and commands at every worker that
// has seen the new one.
func (l *Lease) RaiseToken(ctx context.Context, old wire.Token) (wire.Token, error) {
	for {
		token, err := l.tryRaise(ctx, old)
		if err != nil || token > old {
			return token, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(raiseRetry):
		}
	}
}

// tryRaise tries once; without an error and without a token the outcome is open.
func (l *Lease) tryRaise(ctx context.Context, old wire.Token) (wire.Token, error) {
	c := l.candidate
	revision, err := c.store.Commit(ctx, store.Vital, wire.Txn{
		Guards: []wire.Guard{{Key: store.LeadKey, Revision: wire.Revision(old)}},
		Writes: []wire.Write{{Put: store.LeadKey, Value: wire.Encode(c.Record()), Grant: l.terms.Grant}},
	})
	if err == nil {
		return wire.Token(revision), nil
	}
	// Executed, perhaps by an earlier try: then the key is ours with a new revision.
	e, err := c.store.Get(ctx, store.Vital, store.LeadKey)
	var rec store.LeadRecord
	switch {
	case errors.Is(err, store.ErrMissing):
		return 0, ErrVacant
	case err != nil || wire.Decode(e.Value, &rec) != nil:
		return 0, nil
	case !c.wrote(e, l.terms.Grant):
		return 0, ErrTaken
	}
	return wire.Token(e.Revision), nil
}

// Resign gives the leadership up and leaves it to others until then. If the state
// service is not reached the grant runs out by itself.
func (l *Lease) Resign(ctx context.Context, until time.Time) {
	l.candidate.StandAside(until)
	go l.candidate.store.End(context.WithoutCancel(ctx), l.terms.Grant) //nolint:errcheck // else it runs out by itself
}
