package leader

import (
	"context"
	"time"

	"lilaclead/internal/peer"
)

// keepLease keeps renewing the leader's lease, and ends the term when the lease is lost.
func (t *term) keepLease(ctx context.Context) {
	if err := t.Lease.KeepAlive(ctx, t.onLeaseRenewed); err != nil {
		t.End(err.Error())
	}
}

// checkLeadership ends the term if a higher token is known. Otherwise it records the peers'
// acknowledgements, which limit how long heartbeats are answered while the key-value store
// is unavailable. It then applies new cancellations, records whether the store is available,
// and enables scheduling once enough of the cluster is known.
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

// superseded reports whether another node has acquired a higher token. A higher token that
// this term requested itself is no sign of that: the peers report it only while Raising is
// set, or after Fencing.Token has been updated.
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

// oldestAck returns the time at which the oldest of the peers' latest acknowledgements was
// requested, now if there are no peers.
func (t *term) oldestAck(view *peer.View, now time.Time) time.Time {
	oldest := now
	for _, node := range t.leader.Config.Peers {
		if at := view.Peers[node.HostName].AckRequestedAt; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// recordStoreAvailability records and logs when the key-value store becomes unavailable or
// available again. It counts as unavailable while this node is not sure of its lease.
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

// firstHeartbeatMargin is how late the first heartbeats of a term may be.
const firstHeartbeatMargin = 1500 * time.Millisecond

// firstHeartbeatsTimeout returns how long after its start a term waits for the machines'
// first heartbeats. An agent's heartbeat interval may be a quarter longer than configured.
func (t *term) firstHeartbeatsTimeout() time.Duration {
	return t.state.Settings.Workers.HeartbeatInterval.Duration()*5/4 + firstHeartbeatMargin
}

// enableScheduling enables scheduling once the records are read and enough machines have
// sent their first heartbeat, or the wait for that has timed out.
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
