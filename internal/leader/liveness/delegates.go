package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/wire"
)

// anyDelegateAnswersUntil returns the latest time at which any other controller can answer
// a heartbeat, or can have answered one, as a delegate of a leader.
func (mo *Monitor) anyDelegateAnswersUntil(now time.Time) time.Time {
	var latest time.Time
	if mo.State.Delegation.MaxDelegationTime == 0 {
		return latest
	}
	tenure := delegation.Tenure{
		StartedAt:           mo.State.TermStartedAt,
		FirstToken:          mo.State.FirstToken,
		StoreAvailableSince: mo.State.StoreAvailableSince,
	}
	view := mo.Mesh.View()
	for _, node := range mo.Peers {
		latest = cluster.LaterOf(latest, mo.State.Delegation.AnswersUntil(tenure, view.Peers[node.HostName], now))
	}
	return latest
}

// zoneControllersLastContact returns when a controller in a zone was last in contact, zero
// if none ever was: a guess at when those there were cut off, whoever led then. Nothing
// that has to be certain rests on it.
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
