package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
)

const (
	// clockDriftPart of a lease covers two clocks that are each off by 0.05 %,
	// twice over: a five-hundredth.
	clockDriftPart = 500
	// leaseRounding is the step to a full second, and a margin.
	leaseRounding = 1500 * time.Millisecond
)

// ExpireLease ends the tasks of a machine whose lease has surely run out: nobody
// can have answered it within the lease, the clocks' drift and a margin.
func (mo *Monitor) ExpireLease(m *cluster.Machine, now time.Time) {
	if len(m.Tasks) == 0 || !mo.State.Recovered {
		return
	}
	lease := mo.State.Settings.Workers.Lease.Duration()
	surelyOver := lease + lease/clockDriftPart + leaseRounding
	// Up to when it first showed our token an earlier leader may have answered
	// it; from then on only we can have.
	// A new session has its full time even if no report of it was answered: a
	// launch sent into it may run that long. (Tasks started right after a
	// lease had run out were once given up at once, and started again.)
	last := cluster.Latest(cluster.Latest(m.LastReplyAt, m.TokenSeenAt), cluster.Latest(m.EpochSince, mo.State.DelegatesRenewedUntil))
	if m.Token < mo.State.FirstToken {
		last = cluster.Latest(last, mo.EarlierLeaderRepliesUntil())
	}
	if now.Sub(last) < surelyOver {
		return
	}
	for _, a := range m.Tasks {
		if a.Unstored {
			continue
		}
		// A direct launch of ours may still come, even after the lease; and
		// a machine in a new session could take it only with that session.
		if a.LaunchInFlight {
			continue
		}
		mo.Log.Info("lease of a silent machine has run out", "task", a.Task(), "attempt", a.Number, "machine", m.ID)
		mo.Metrics.TaskMoved(string(cluster.EvictedLeaseExpired))
		mo.State.EndAttempt(a, cluster.TaskPending)
	}
}

// EarlierLeaderRepliesUntil is until when an earlier leader can have answered a worker that
// has not seen our token: X after a majority took our token, or B at most. One
// that never acknowledged a token of ours has had no acknowledgement from us
// since this term began either, but for a fresh process's empty ones, which say no
// token for X and count as asked for another 2X; then it stops as if alone. (Where
// one zone holds most controllers no majority is left when it is cut off, and what
// ran there was once counted for B.)
func (mo *Monitor) EarlierLeaderRepliesUntil() time.Time {
	other := mo.State.TermStartedAt.Add(peer.OutageLimit)
	if mo.State.Delegation.Time > 0 {
		other = mo.State.TermStartedAt.Add(max(mo.State.Delegation.Time, 3*peer.AckLifetime+time.Second))
	}
	if !mo.State.QuorumAckedAt.IsZero() && mo.State.QuorumAckedAt.Add(peer.AckLifetime).Before(other) {
		other = mo.State.QuorumAckedAt.Add(peer.AckLifetime)
	}
	return other
}
