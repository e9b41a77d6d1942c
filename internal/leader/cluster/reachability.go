package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// SinceLastMessage returns for how long a machine has sent nothing to this term.
func (s *State) SinceLastMessage(m *Machine, now time.Time) time.Duration {
	return now.Sub(LaterOf(m.LastMessageAt, s.TermStartedAt))
}

// HeartbeatsMissingFor returns for how long a machine has answered direct commands while no
// heartbeat of it arrived: neither at this node, directly or relayed, nor at a delegate. Time
// before the end of a store outage, or before a delegate can last have renewed leases, does
// not count.
func (s *State) HeartbeatsMissingFor(m *Machine, now time.Time) time.Duration {
	if m.HeartbeatsMissingSince.IsZero() {
		return 0
	}
	return now.Sub(LaterOf(m.HeartbeatsMissingSince, LaterOf(s.StoreAvailableSince, s.DelegatesRenewedUntil)))
}

// OutboundConnectivityLost reports whether a machine looks alive but can't reach any
// controller: its lease expires again and again, which ends all tasks there. Such a machine
// takes no new tasks, and its resources are not counted as available. Without this, tasks
// longer than a lease are started on such machines again and again and never complete.
func (s *State) OutboundConnectivityLost(m *Machine, now time.Time) bool {
	halfLease := s.Settings.Workers.Lease.Duration() / 2
	return s.HeartbeatsMissingFor(m, now) > max(halfLease, 2*s.HeartbeatInterval())
}

// ZonePartitioned reports whether a zone seems partitioned from this node now.
func (t *MachineTable) ZonePartitioned(zone wire.Zone, now time.Time) bool {
	return t.ZoneDetector.ZonePartitioned(zone, now)
}

// ZoneRecentlyPartitioned reports whether a zone seems partitioned from this node, or did so
// until recently: it takes a while until the heartbeats of its machines arrive again.
func (t *MachineTable) ZoneRecentlyPartitioned(zone wire.Zone, now time.Time) bool {
	return t.ZoneDetector.ZoneRecentlyPartitioned(zone, now)
}

// UnseenSincePartition reports whether a machine has sent nothing since its zone began to
// seem partitioned. Such a machine takes no new tasks, and its resources are not counted as
// available. Without this, tasks placed there wait for the end of the partition, and no
// machine is scaled out in its place.
func (t *MachineTable) UnseenSincePartition(m *Machine, now time.Time) bool {
	return t.ZoneDetector.UnseenSincePartition(m.Zone, m.LastMessageAt, now)
}
