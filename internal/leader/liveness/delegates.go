package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/wire"
)

// anyDelegateAnswersUntil is the latest time at which any other node can answer a
// worker as a leader's delegate, or can have.
func (mo *Monitor) anyDelegateAnswersUntil(now time.Time) time.Time {
	var at time.Time
	if mo.State.Delegation.Time == 0 {
		return at
	}
	tenure := delegation.Tenure{Began: mo.State.TermStartedAt, FirstToken: mo.State.FirstToken, StateBack: mo.State.StoreAvailableSince}
	v := mo.Mesh.View()
	for _, o := range mo.Peers {
		at = cluster.Latest(at, mo.State.Delegation.AnswersUntil(tenure, v.Peers[o.HostName], now))
	}
	return at
}

// zoneControllersLastContact is since when no node in a zone is heard, zero if none ever was: a
// guess at when those there were cut off, whoever led then. Nothing that has to
// be sure rests on it.
func (mo *Monitor) zoneControllersLastContact(zone wire.Zone) time.Time {
	var at time.Time
	v := mo.Mesh.View()
	for _, o := range mo.Peers {
		if o.Zone == zone {
			at = cluster.Latest(at, v.Peers[o.HostName].LastContact)
		}
	}
	return at
}
