package election

import (
	"sync/atomic"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/peer"
)

// Why a lease is lost.
var (
	ErrGrantGone = duty.ErrGrantExpired
	ErrVacant    = duty.ErrNoHolder
	ErrTaken     = duty.ErrHeldByOther
)

// Terms are the terms on which a lease was taken.
type Terms = duty.Tenure

// Lease is the leadership as its holder knows it. It may be asked from any
// goroutine whether it still holds.
type Lease struct {
	*duty.Lease
	// answersUntil is a time since the lease was taken, which no step of the wall
	// clock changes.
	answersUntil atomic.Int64
}

// DecidesUntil is until when a holder may decide that sent the request for its
// grant, or for the grant's renewal, at the given time. The grant can't end sooner
// than its life after that.
func DecidesUntil(sent time.Time) time.Time { return sent.Add(grantTTL - margin) }

// NewLease is a lease that was taken on these terms.
func NewLease(c *Candidate, terms Terms) *Lease {
	if c == nil {
		return &Lease{Lease: duty.NewLease(nil, terms)}
	}
	return &Lease{Lease: duty.NewLease(c.Candidate, terms)}
}

// Deciding tells whether this node surely holds the leadership.
func (l *Lease) Deciding() bool { return l.Held() }

// Answering tells whether reports may be answered: as long as the lease
// surely runs, or, with the state service away, as long as a majority of the
// nodes acknowledged our token lately and B has not passed.
func (l *Lease) Answering() bool {
	return l.Deciding() || int64(time.Since(l.TakenAt())) < l.answersUntil.Load()
}

// Acknowledged bounds for how long reports may be answered without the state
// service: until the majority's acknowledgements of the token are too old, and
// no longer than outageLimit allows. The oldest acknowledgement of any other
// node is counted by when it was asked for.
func (l *Lease) Acknowledged(majorityUntil, oldest time.Time, delegationTime time.Duration) {
	until := min(majorityUntil.Sub(l.TakenAt()), l.outageLimit(oldest, delegationTime))
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
	decidesUntil := l.HeldFor()
	limit := decidesUntil + peer.OutageLimit - margin
	if delegationTime == 0 {
		return limit
	}
	renewalSent := decidesUntil - (grantTTL - margin)
	alone := renewalSent + delegationTime
	return min(limit, max(alone, oldest.Add(2*peer.AckLifetime).Sub(l.TakenAt())))
}
