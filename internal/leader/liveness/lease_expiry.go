package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
)

const (
	// clockDriftDivisor defines the allowance for clock drift, a five-hundredth of the lease:
	// twice the drift of two clocks that are each off by 0.05 %.
	clockDriftDivisor = 500
	// leaseExpiryMargin covers rounding to a full second, plus a safety margin.
	leaseExpiryMargin = 1500 * time.Millisecond
	// emptyAckLifetimes bounds, in units of peer.AckLifetime, how long acknowledgements without
	// a token may keep an earlier leader answering. A process that has just started sends them
	// for one lifetime, and each counts for two more from when it was requested.
	emptyAckLifetimes = 3
	// earlierLeaderMargin is added to that bound.
	earlierLeaderMargin = time.Second
)

// ExpireLease ends the tasks of a machine whose lease has certainly expired: nobody can have
// answered its heartbeats for the length of the lease, plus the clock drift and a margin.
func (mo *Monitor) ExpireLease(machine *cluster.Machine, now time.Time) {
	if len(machine.Attempts) == 0 || !mo.State.RecordsRead {
		return
	}
	lease := mo.State.Settings.Workers.Lease.Duration()
	expiredAfter := lease + lease/clockDriftDivisor + leaseExpiryMargin
	if now.Sub(mo.lastPossibleRenewal(machine)) < expiredAfter {
		return
	}
	for _, attempt := range machine.Attempts {
		// A direct launch in flight may still arrive after the lease has expired, and the agent
		// accepts it unless the agent has entered a new epoch by then.
		if attempt.Unstored || attempt.LaunchInFlight {
			continue
		}
		mo.Log.Info("lease expired", "task", attempt.Task(), "attempt", attempt.Number, "machine", machine.ID)
		mo.Metrics.TaskInterrupted(string(cluster.EvictedLeaseExpired))
		mo.State.EndAttempt(attempt, cluster.TaskPending)
	}
}

// lastPossibleRenewal returns the latest time at which anybody can have renewed the lease of a
// machine, or at which the lease can have begun.
func (mo *Monitor) lastPossibleRenewal(machine *cluster.Machine) time.Time {
	// An earlier leader may have answered the machine until the machine first showed a token of
	// this term. After that, only this leader or a delegate can have.
	lastRenewal := cluster.LaterOf(machine.LastResponseAt, machine.TokenSeenAt)
	// A new epoch has a full lease even if none of its heartbeats was answered, as a task
	// launched into it may run that long. Without this, tasks launched right after a lease has
	// expired are given up at once, and started a second time.
	lastRenewal = cluster.LaterOf(lastRenewal, machine.EpochSince)
	lastRenewal = cluster.LaterOf(lastRenewal, mo.State.DelegatesRenewedUntil)
	if machine.Token < mo.State.FirstToken {
		lastRenewal = cluster.LaterOf(lastRenewal, mo.EarlierLeaderAnswersUntil())
	}
	return lastRenewal
}

// EarlierLeaderAnswersUntil returns until when an earlier leader can have answered a machine
// that has not seen a token of this term. The bound is peer.AckLifetime after a quorum
// acknowledged this term's token, and peer.OutageLimit after the term began at the latest.
//
// With delegation the second bound is usually shorter. An earlier leader that never acknowledged
// a token of this term has received no acknowledgement from this node either since the term
// began, except the empty ones of a process that has just started. It then stops answering early,
// like any leader that lacks acknowledgements (see election.Lease.RecordAcks). Without the
// shorter bound, when the zone that holds most controllers is cut off and no quorum is left, the
// tasks there count as running for all of peer.OutageLimit.
func (mo *Monitor) EarlierLeaderAnswersUntil() time.Time {
	until := mo.State.TermStartedAt.Add(peer.OutageLimit)
	if mo.State.Delegation.MaxDelegationTime > 0 {
		emptyAcksValidFor := emptyAckLifetimes*peer.AckLifetime + earlierLeaderMargin
		until = mo.State.TermStartedAt.Add(max(mo.State.Delegation.MaxDelegationTime, emptyAcksValidFor))
	}
	if mo.State.QuorumAckedAt.IsZero() {
		return until
	}
	acksExpireAt := mo.State.QuorumAckedAt.Add(peer.AckLifetime)
	if acksExpireAt.Before(until) {
		return acksExpireAt
	}
	return until
}
