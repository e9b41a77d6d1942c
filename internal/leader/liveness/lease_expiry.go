package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
)

const (
	// clockDriftDivisor of a lease covers two clocks that are each off by 0.05 %, twice
	// over: a five-hundredth.
	clockDriftDivisor = 500
	// leaseRounding covers the rounding to a full second, and a margin.
	leaseRounding = 1500 * time.Millisecond
	// emptyAckLifetimes is for how many lifetimes of an acknowledgement those of a fresh
	// process, which acknowledge no token, may keep an earlier leader answering: one in
	// which it says no token, and two more in which it counts as asked.
	emptyAckLifetimes = 3
	// earlierLeaderMargin is added to these.
	earlierLeaderMargin = time.Second
)

// ExpireLease ends the tasks of a machine whose lease has surely expired: nobody can have
// answered it within the lease, the drift of the clocks and a margin.
func (mo *Monitor) ExpireLease(machine *cluster.Machine, now time.Time) {
	if len(machine.Tasks) == 0 || !mo.State.RecordsRead {
		return
	}
	lease := mo.State.Settings.Workers.Lease.Duration()
	expiredAfter := lease + lease/clockDriftDivisor + leaseRounding
	if now.Sub(mo.lastPossibleRenewal(machine)) < expiredAfter {
		return
	}
	for _, attempt := range machine.Tasks {
		// A direct launch in flight may still arrive, even after the lease expired; and a
		// machine in a new epoch could accept it only with that epoch.
		if attempt.Unstored || attempt.LaunchInFlight {
			continue
		}
		mo.Log.Info("lease expired", "task", attempt.Task(), "attempt", attempt.Number, "machine", machine.ID)
		mo.Metrics.TaskInterrupted(string(cluster.EvictedLeaseExpired))
		mo.State.EndAttempt(attempt, cluster.TaskPending)
	}
}

// lastPossibleRenewal returns the latest time at which the lease of a machine can have been
// renewed by anybody, or can have begun.
func (mo *Monitor) lastPossibleRenewal(machine *cluster.Machine) time.Time {
	// Until it first showed a token of this term, an earlier leader may have answered the
	// machine; from then on only this one can have.
	last := cluster.LaterOf(machine.LastReplyAt, machine.TokenSeenAt)
	// A new epoch has its full time even if no heartbeat of it was answered: a launch that
	// was sent into it may run that long. (Tasks that were started right after a lease had
	// expired were once given up at once, and started again.)
	last = cluster.LaterOf(last, machine.EpochSince)
	last = cluster.LaterOf(last, mo.State.DelegatesRenewedUntil)
	if machine.Token < mo.State.FirstToken {
		last = cluster.LaterOf(last, mo.EarlierLeaderRepliesUntil())
	}
	return last
}

// EarlierLeaderRepliesUntil returns until when an earlier leader can have answered a
// machine that has not seen a token of this term: for the lifetime of an acknowledgement
// after a quorum acknowledged this term's token, and for peer.OutageLimit at most. Where
// controllers may be delegates the bound is shorter: an earlier leader that never
// acknowledged a token of this term has had no acknowledgement from this node either since
// the term began, except the empty ones of a fresh process, and then stops as one that is
// alone. (Where one zone holds most controllers no quorum is left when it is cut off, and
// what ran there once counted for all of peer.OutageLimit.)
func (mo *Monitor) EarlierLeaderRepliesUntil() time.Time {
	until := mo.State.TermStartedAt.Add(peer.OutageLimit)
	if mo.State.Delegation.MaxDelegationTime > 0 {
		emptyAcksLast := emptyAckLifetimes*peer.AckLifetime + earlierLeaderMargin
		until = mo.State.TermStartedAt.Add(max(mo.State.Delegation.MaxDelegationTime, emptyAcksLast))
	}
	if mo.State.QuorumAckedAt.IsZero() {
		return until
	}
	acksExpired := mo.State.QuorumAckedAt.Add(peer.AckLifetime)
	if acksExpired.Before(until) {
		return acksExpired
	}
	return until
}
