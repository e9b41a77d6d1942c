package delegation

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

const (
	// cancelMargin covers the time that a leader takes to learn of a cancellation and to stop
	// the job's tasks, and scheduling delays.
	cancelMargin = 3 * time.Second
	// clockDriftDivisor defines the allowance for clock drift, a five-hundredth of the lease:
	// twice the difference in rate that two clocks can have.
	clockDriftDivisor = 500
	// minCancelAge is the least Bounds.MaxCancelAge. Stop commands take this long to arrive.
	minCancelAge = 2 * peer.AckLifetime
)

// Bounds limit how long leases may be renewed without contact to the nodes that confirm
// cancellations.
type Bounds struct {
	// MaxDelegationTime is how long a node may renew leases on behalf of a leader that it has
	// lost contact with; 0 disables delegation.
	MaxDelegationTime time.Duration
	// MaxCancelAge is D in the renewal rule of package cancels: a node may renew leases only
	// while it knows every cancellation that was confirmed longer ago than this. It is at least
	// minCancelAge, even where the lease takes up most of the cancellation timeout.
	MaxCancelAge time.Duration
}

// BoundsOf derives the bounds from the lease and the cancellation timeout.
func BoundsOf(workers config.Workers) Bounds {
	lease := workers.Lease.Duration()
	drift := lease / clockDriftDivisor
	maxAge := workers.CancelTimeout.Duration() - lease - drift - cancelMargin
	bounds := Bounds{MaxCancelAge: max(maxAge, minCancelAge)}
	// A node becomes a delegate only after leaderLostAfter without contact to the leader, so a
	// delegation that is no longer than that could never be used.
	if maxAge > leaderLostAfter {
		bounds.MaxDelegationTime = maxAge
	}
	return bounds
}

// LeadershipTerm describes a leader's term, as far as it bounds how long the delegates of this
// leader and of earlier ones can answer agents.
type LeadershipTerm struct {
	StartedAt time.Time
	// FirstToken is the fencing token with which the term began.
	FirstToken wire.FencingToken
	// StoreAvailableSince is when the last outage of the key-value store ended.
	StoreAvailableSince time.Time
}

const (
	// maxAckAge is the age up to which an acknowledgement shows that a node heard from this
	// leader too recently to be a delegate.
	maxAckAge = 3 * peer.AckLifetime / 2
	// unreportedRenewalWindow is how long after its last reported renewal, or after an outage
	// of this leader's store ended, a node may still act as a delegate without having reported
	// it.
	unreportedRenewalWindow = 3 * peer.AckLifetime
)

// DelegateAnswersUntil returns the latest time, past or future, at which another node can answer
// an agent as a leader's delegate.
//
// A node that recently acknowledged this leader's heartbeat heard from it too recently to be a
// delegate, unless the leader's store has only just become available again. The node reports
// when it last renewed a lease, and if that was recent it may still be renewing.
//
// The node does not know what its previous process did. That process may have been a delegate
// until the present one started.
//
// If the node has not acknowledged a token of this term, the delegation of an earlier leader may
// still be valid. The last such delegation was granted before this term.
func (b Bounds) DelegateAnswersUntil(leadership LeadershipTerm, node peer.Peer, now time.Time) time.Time {
	until := laterOf(node.LastDelegatedRenewal, node.LatestProcessStart)
	if node.AckToken < leadership.FirstToken {
		until = laterOf(until, leadership.StartedAt.Add(b.MaxDelegationTime))
	}
	if !node.DelegationGrantedAt.IsZero() && mayBeDelegate(leadership, node, now) {
		until = laterOf(until, node.DelegationGrantedAt.Add(b.MaxDelegationTime))
	}
	return until
}

// mayBeDelegate reports whether a node that holds a delegation of this leader may be renewing
// leases now.
func mayBeDelegate(leadership LeadershipTerm, node peer.Peer, now time.Time) bool {
	outOfContact := now.Sub(node.AckRequestedAt) > maxAckAge
	renewedRecently := now.Sub(node.LastDelegatedRenewal) < unreportedRenewalWindow
	storeOutageJustEnded := now.Sub(leadership.StoreAvailableSince) < unreportedRenewalWindow
	return outOfContact || renewedRecently || storeOutageJustEnded
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
