package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/wire"
)

// anyDelegateAnswersUntil returns the latest time, past or future, at which another controller
// can answer a heartbeat as a delegate of this leader or an earlier one.
func (mo *Monitor) anyDelegateAnswersUntil(now time.Time) time.Time {
	var latest time.Time
	if mo.State.Delegation.MaxDelegationTime == 0 {
		return latest
	}
	leadership := delegation.LeadershipTerm{
		StartedAt:           mo.State.TermStartedAt,
		FirstToken:          mo.State.FirstToken,
		StoreAvailableSince: mo.State.StoreAvailableSince,
	}
	view := mo.Mesh.View()
	for _, node := range mo.Peers {
		latest = cluster.LaterOf(latest, mo.State.Delegation.DelegateAnswersUntil(leadership, view.Peers[node.HostName], now))
	}
	return latest
}

// zoneControllersLastContact returns when any controller in a zone was last in contact with
// this node, or zero if none ever was. It estimates when the zone's controllers were cut off
// from the leader, whichever node led then, and must not be used where certainty is needed.
func (mo *Monitor) zoneControllersLastContact(zone wire.Zone) time.Time {
	var latest time.Time
	view := mo.Mesh.View()
	for _, node := range mo.Peers {
		if node.Zone == zone {
			latest = cluster.LaterOf(latest, view.Peers[node.HostName].LastContact)
		}
	}
	return latest
}
