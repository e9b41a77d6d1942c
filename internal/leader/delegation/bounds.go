package delegation

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

const (
	// cancelMargin covers how long a leader takes to learn of a cancellation and to
	// stop its tasks, and scheduling delays.
	cancelMargin = 3 * time.Second
	// clockDriftDivisor: a lease is taken to be longer by one part in so many, twice
	// what two clocks can differ in rate.
	clockDriftDivisor = 500
	// minCancelAge is the time in which stop commands themselves arrive.
	minCancelAge = 2 * peer.AckLifetime
)

// Bounds limit how long leases may be renewed without contact to those who cancel jobs.
type Bounds struct {
	// MaxDelegationTime is how long a node may renew leases for a leader that it has lost; 0:
	// never.
	MaxDelegationTime time.Duration
	// MaxCancelAge is D of the rule in package cancels. Where a lease leaves next to
	// nothing of the cancellation timeout, it is minCancelAge.
	MaxCancelAge time.Duration
}

// BoundsOf derives the bounds from the lease and the cancellation timeout.
func BoundsOf(workers config.Workers) Bounds {
	lease := workers.Lease.Duration()
	drift := lease / clockDriftDivisor
	left := workers.CancelTimeout.Duration() - lease - drift - cancelMargin
	bounds := Bounds{MaxCancelAge: max(left, minCancelAge)}
	// A delegate must not have heard from the leader for leaderLostAfter: a shorter
	// time would permit nothing.
	if left > leaderLostAfter {
		bounds.MaxDelegationTime = left
	}
	return bounds
}

// Tenure is what of a leader's term bounds the delegates of the leaders before it, and
// its own.
type Tenure struct {
	StartedAt time.Time
	// FirstToken is the fencing token with which the term began.
	FirstToken wire.FencingToken
	// StoreAvailableSince is when the key-value store was last available again after an outage.
	StoreAvailableSince time.Time
}

const (
	// maxAckAge is the age up to which an acknowledgement shows that a node heard this
	// leader too recently to be a delegate.
	maxAckAge = 3 * peer.AckLifetime / 2
	// recentDelegation is how long after its last renewal, or after this leader's store
	// was available again, a node may still be a delegate without having said so.
	recentDelegation = 3 * peer.AckLifetime
)

// AnswersUntil returns the latest time at which another node can answer a worker as a
// leader's delegate, or can have answered one.
//
// A node that acknowledged a heartbeat of the last seconds heard this node lead too
// recently to be a delegate, unless this node did not lead for a while. It says itself
// when it last renewed a lease, and if that was just now it may be doing so still. It
// does not know what its former process did, which may have been a delegate until the
// present one started. If it never acknowledged a token of this term, an earlier
// leader's delegation may be in force: the last of those was given before this term.
func (b Bounds) AnswersUntil(tenure Tenure, node peer.Peer, now time.Time) time.Time {
	until := latest(node.LastDelegatedRenewal, node.LatestStart)
	if node.AckToken < tenure.FirstToken {
		until = latest(until, tenure.StartedAt.Add(b.MaxDelegationTime))
	}
	if !node.DelegationGrantedAt.IsZero() && mayStillBeDelegate(tenure, node, now) {
		until = latest(until, node.DelegationGrantedAt.Add(b.MaxDelegationTime))
	}
	return until
}

// mayStillBeDelegate reports whether a node that this leader delegated to may be
// renewing leases now.
func mayStillBeDelegate(tenure Tenure, node peer.Peer, now time.Time) bool {
	outOfContact := now.Sub(node.AckRequestedAt) > maxAckAge
	renewedRecently := now.Sub(node.LastDelegatedRenewal) < recentDelegation
	storeJustBack := now.Sub(tenure.StoreAvailableSince) < recentDelegation
	return outOfContact || renewedRecently || storeJustBack
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
