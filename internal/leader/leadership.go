package leader

import (
	"context"
	"time"

	"lilaclead/internal/peer"
)

// keepLease renews the leader's lease and ends the term when it is lost.
func (t *term) keepLease(ctx context.Context) {
	if err := t.Lease.KeepAlive(ctx, t.onLeaseRenewed); err != nil {
		t.End(err.Error())
	}
}

// checkLeadership ends the term if a higher token is known, limits for how long heartbeats
// are answered while the key-value store is unavailable, and enables scheduling once
// enough of the cluster is known.
func (t *term) checkLeadership(now time.Time) {
	view := t.leader.Mesh.View()
	if t.superseded(view) {
		t.End("a higher token is known")
		return
	}
	quorumAcked := t.recordAcks(view, now)
	t.records.ApplyCancellations()
	t.recordStoreAvailability(quorumAcked, now)
	t.enableScheduling(now)
}

// superseded reports whether another node has taken a higher token. The token that this
// term raises itself comes back through the peers only after the term knows of it, or
// while Raising is set.
func (t *term) superseded(view *peer.View) bool {
	return view.Token > t.Fencing.Token && !t.Fencing.Raising
}

// recordAcks updates the lease with the peers' acknowledgements of the fencing token, and
// reports whether a quorum acknowledges it now.
func (t *term) recordAcks(view *peer.View, now time.Time) bool {
	quorum := t.state.Settings.Size/2 + 1
	until := view.AckedUntil(t.Fencing.Token, quorum)
	acked := now.Before(until)
	if acked && t.state.QuorumAckedAt.IsZero() {
		t.state.QuorumAckedAt = now
	}
	t.Lease.RecordAcks(until, t.oldestAck(view, now), t.state.Delegation.MaxDelegationTime)
	return acked
}

// oldestAck returns when the oldest of the other nodes' last acknowledgements was
// requested.
func (t *term) oldestAck(view *peer.View, now time.Time) time.Time {
	oldest := now
	for _, node := range t.leader.Config.Peers {
		if at := view.Peers[node.HostName].AckRequestedAt; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// recordStoreAvailability records since when this node can't renew its lease with the
// key-value store, or that it can again.
func (t *term) recordStoreAvailability(quorumAcked bool, now time.Time) {
	available := t.Lease.Deciding()
	wasAvailable := t.storeUnavailableSince.IsZero()
	switch {
	case available && !wasAvailable:
		t.Log.Info("key-value store available", "token", t.Fencing.Token, "duration", now.Sub(t.storeUnavailableSince))
		t.storeUnavailableSince = time.Time{}
		t.state.StoreAvailableSince = now
		t.state.RequestCycle()
	case !available && wasAvailable:
		t.storeUnavailableSince = now
		t.Log.Info("key-value store unavailable", "token", t.Fencing.Token, "quorum_acked", quorumAcked)
	}
}

// firstHeartbeatMargin is the time that the first heartbeats of a term may be late.
const firstHeartbeatMargin = 1500 * time.Millisecond

// firstHeartbeatsTimeout returns how long after its start a term waits for the machines'
// first heartbeats. An agent's interval varies by a quarter.
func (t *term) firstHeartbeatsTimeout() time.Duration {
	return t.state.Settings.Workers.HeartbeatInterval.Duration()*5/4 + firstHeartbeatMargin
}

// enableScheduling starts scheduling once the records are read and the first heartbeats
// have come in.
func (t *term) enableScheduling(now time.Time) {
	if t.state.SchedulingEnabled || !t.state.RecordsRead {
		return
	}
	age := now.Sub(t.state.TermStartedAt)
	if !t.enoughMachinesHeard(now) && age <= t.firstHeartbeatsTimeout() {
		return
	}
	t.state.SchedulingEnabled = true
	t.Log.Info("scheduling enabled", "machines", len(t.state.Machines), "jobs", len(t.state.Jobs), "duration", age)
	t.state.RequestCycle()
}
