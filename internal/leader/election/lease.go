package election

import (
	"sync/atomic"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/peer"
)

// Why a lease is lost.
var (
	// ErrGrantExpired reports that the key-value store has ended the lease's grant.
	ErrGrantExpired = duty.ErrGrantExpired
	// ErrNoHolder reports that nobody holds the leadership.
	ErrNoHolder = duty.ErrNoHolder
	// ErrHeldByOther reports that another process holds the leadership.
	ErrHeldByOther = duty.ErrHeldByOther
)

// Tenure are the terms on which a lease was taken.
type Tenure = duty.Acquisition

// Lease is the leadership as its holder knows it. It is safe for concurrent use.
type Lease struct {
	*duty.Lease
	// answersUntil counts from when the lease was taken, so that no step of the wall
	// clock changes it.
	answersUntil atomic.Int64
}

// NewLease returns a lease that was taken on these terms.
func NewLease(c *Candidate, terms Tenure) *Lease {
	if c == nil {
		return &Lease{Lease: duty.NewLease(nil, terms)}
	}
	return &Lease{Lease: duty.NewLease(c.Candidate, terms)}
}

// Deciding reports whether this node surely holds the leadership.
func (l *Lease) Deciding() bool { return l.Held() }

// MayAnswerHeartbeats reports whether workers' heartbeats may be answered: while the lease surely
// has not expired or, with the key-value store unavailable, while a majority of the
// nodes acknowledged this node's token recently and peer.OutageLimit has not passed.
func (l *Lease) MayAnswerHeartbeats() bool {
	return l.Deciding() || int64(time.Since(l.AcquiredAt())) < l.answersUntil.Load()
}

// RecordAcks sets how long heartbeats may be answered without the key-value store:
// until the majority's acknowledgements of the token are too old, and no longer than
// outageLimit allows. The age of the oldest acknowledgement of any other node counts
// from when it was asked for.
func (l *Lease) RecordAcks(majorityUntil, oldest time.Time, delegationTime time.Duration) {
	until := min(majorityUntil.Sub(l.AcquiredAt()), l.outageLimit(oldest, delegationTime))
	l.answersUntil.Store(int64(until))
}

// outageLimit returns, as a time since the lease was taken, until when heartbeats may
// be answered without the key-value store. It counts peer.OutageLimit from the end of
// the grant, so that a successor knows when this node answered last, at the latest.
//
// While not all nodes acknowledge the token this may be no outage of the store but a
// network partition, on whose other side another node leads and users cancel jobs. Then
// the limit is no longer than a node may be a delegate. A successor relies on that: a
// node that never acknowledged the successor's token has not acknowledged this node's
// since either. (Acknowledgements count from when they were asked for, not from when
// they arrived: one that was delayed on its way says nothing about the present.)
func (l *Lease) outageLimit(oldestAck time.Time, delegationTime time.Duration) time.Duration {
	decidesUntil := l.ValidFor()
	limit := decidesUntil + peer.OutageLimit - safetyMargin
	if delegationTime == 0 {
		return limit
	}
	lastRenewalSent := decidesUntil - safeTTL
	withoutAcks := lastRenewalSent + delegationTime
	withAcks := oldestAck.Add(2 * peer.AckLifetime).Sub(l.AcquiredAt())
	return min(limit, max(withoutAcks, withAcks))
}
