package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// SinceLastMessage returns for how long a machine has sent nothing to this term.
func (s *State) SinceLastMessage(m *Machine, now time.Time) time.Duration {
	return now.Sub(LaterOf(m.LastMessageAt, s.TermStartedAt))
}

// HeartbeatsMissingFor returns for how long a machine has answered direct commands while
// no heartbeat of it came: neither to this node nor through another, nor to a delegate.
func (s *State) HeartbeatsMissingFor(m *Machine, now time.Time) time.Duration {
	if m.HeartbeatsMissingSince.IsZero() {
		return 0
	}
	return now.Sub(LaterOf(m.HeartbeatsMissingSince, LaterOf(s.StoreAvailableSince, s.DelegatesRenewedUntil)))
}

// OutboundConnectivityLost reports whether a machine looks alive but can't reach any controller: its
// lease expires again and again, with all that is started there. It takes nothing new, and
// its room is not counted on. (Tasks longer than a lease were once started on such machines
// for ever and never completed.)
func (s *State) OutboundConnectivityLost(m *Machine, now time.Time) bool {
	halfLease := s.Settings.Workers.Lease.Duration() / 2
	return s.HeartbeatsMissingFor(m, now) > max(halfLease, 2*s.HeartbeatInterval())
}

// ZonePartitioned reports whether a zone seems partitioned from this node now.
func (t *MachineTable) ZonePartitioned(zone wire.Zone, now time.Time) bool {
	return t.ZoneDetector.Partitioned(zone, now)
}

// ZoneRecentlyPartitioned reports whether a zone seems partitioned from this node, or did so
// lately: its machines need a while until their heartbeats come again.
func (t *MachineTable) ZoneRecentlyPartitioned(zone wire.Zone, now time.Time) bool {
	return t.ZoneDetector.RecentlyPartitioned(zone, now)
}

// UnseenSincePartition reports whether a machine has sent nothing since its zone began to seem
// partitioned. It takes nothing new, and its room is not counted on: what was placed there
// once waited for the end of the partition, and nothing was scaled out in its place.
func (t *MachineTable) UnseenSincePartition(m *Machine, now time.Time) bool {
	return t.ZoneDetector.UnseenSincePartition(m.Zone, m.LastMessageAt, now)
}
