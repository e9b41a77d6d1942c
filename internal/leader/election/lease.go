package election

import (
	"sync/atomic"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/peer"
)

// Errors that tell why a lease was lost.
var (
	// ErrGrantExpired reports that the key-value store has ended the lease's grant.
	ErrGrantExpired = duty.ErrGrantExpired
	// ErrNoHolder reports that nobody holds the leadership.
	ErrNoHolder = duty.ErrNoHolder
	// ErrHeldByOther reports that another process holds the leadership.
	ErrHeldByOther = duty.ErrHeldByOther
)

// Acquisition describes how a lease was acquired.
type Acquisition = duty.Acquisition

// Lease is the leadership as its holder knows it. It is safe for concurrent use.
type Lease struct {
	*duty.Lease
	// mayAnswerFor is the duration since AcquiredAt during which heartbeats may be answered
	// without the key-value store. As a duration it does not depend on the wall clock.
	mayAnswerFor atomic.Int64
}

// NewLease returns a lease that was acquired as described by acquisition. The candidate may be
// nil.
func NewLease(c *Candidate, acquisition Acquisition) *Lease {
	if c == nil {
		return &Lease{Lease: duty.NewLease(nil, acquisition)}
	}
	return &Lease{Lease: duty.NewLease(c.Candidate, acquisition)}
}

// Deciding reports whether this node certainly holds the leadership.
func (l *Lease) Deciding() bool { return l.Held() }

// MayAnswerHeartbeats reports whether agents' heartbeats may be answered. They may while the
// lease certainly has not expired. After that, with the key-value store unavailable, they may
// until the time set by RecordAcks.
func (l *Lease) MayAnswerHeartbeats() bool {
	return l.Deciding() || int64(time.Since(l.AcquiredAt())) < l.mayAnswerFor.Load()
}

// RecordAcks sets how long heartbeats may be answered without the key-value store: until
// majorityUntil, when a majority's acknowledgements of this node's token become too old, and no
// longer than outageLimit allows. oldestAck is the oldest of the other nodes' latest
// acknowledgements, timed from when each was requested.
func (l *Lease) RecordAcks(majorityUntil, oldestAck time.Time, delegationTime time.Duration) {
	limit := min(majorityUntil.Sub(l.AcquiredAt()), l.outageLimit(oldestAck, delegationTime))
	l.mayAnswerFor.Store(int64(limit))
}

// outageLimit returns, as a duration since AcquiredAt, how long heartbeats may be answered
// without the key-value store. At the latest that ends shortly before peer.OutageLimit has
// passed since the end of the grant, so that a successor knows the latest time at which this
// node can have answered.
//
// If some node does not acknowledge the token, the cause may be a network partition rather than
// an outage of the store: another node may lead on the other side, and users may cancel jobs
// there. The limit then ends delegationTime after the last renewal was sent, like a delegation,
// or 2*peer.AckLifetime after the oldest acknowledgement was requested, whichever is later. A
// successor relies on that, since a node that never acknowledged the successor's token has not
// acknowledged this node's token since the successor's term began either.
//
// An acknowledgement counts from when it was requested, not from when it arrived: one that was
// delayed in the network says nothing about the present.
func (l *Lease) outageLimit(oldestAck time.Time, delegationTime time.Duration) time.Duration {
	decidesFor := l.ValidFor()
	limit := decidesFor + peer.OutageLimit - safetyMargin
	if delegationTime == 0 {
		return limit
	}
	lastRenewalSent := decidesFor - safeTTL
	limitByRenewal := lastRenewalSent + delegationTime
	limitByOldestAck := oldestAck.Add(2 * peer.AckLifetime).Sub(l.AcquiredAt())
	return min(limit, max(limitByRenewal, limitByOldestAck))
}
