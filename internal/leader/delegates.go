package leader

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/wire"
)

// DelegationToken is the token with which this node surely leads, 0 if it does not.
func (l *Leader) DelegationToken() wire.FencingToken {
	if t := l.term.Load(); t != nil && t.Lease.Deciding() {
		return wire.FencingToken(t.Published.DelegationToken.Load())
	}
	return 0
}

// leaseRenewed notes a renewal of the leadership that was asked for at sent: for a
// while after it this node may be its own delegate, once it leads no more.
func (t *term) leaseRenewed(sent time.Time) {
	if token := wire.FencingToken(t.Published.DelegationToken.Load()); token > 0 {
		if at := t.records.unconfirmedCancel(); !at.IsZero() && at.Before(sent) {
			sent = at
		}
		t.leader.delegate.GrantSelf(token, sent)
	}
}

// anyDelegateAnswersUntil is the latest time at which any other node can answer a
// worker as a leader's delegate, or can have.
func (mo *monitor) anyDelegateAnswersUntil(now time.Time) time.Time {
	var at time.Time
	if mo.state.Delegation.Time == 0 {
		return at
	}
	tenure := delegation.Tenure{Began: mo.state.TermStartedAt, FirstToken: mo.state.FirstToken, StateBack: mo.state.StoreAvailableSince}
	v := mo.mesh.View()
	for _, o := range mo.peers {
		at = cluster.Latest(at, mo.state.Delegation.AnswersUntil(tenure, v.Peers[o.HostName], now))
	}
	return at
}

// zoneControllersLastContact is since when no node in a zone is heard, zero if none ever was: a
// guess at when those there were cut off, whoever led then. Nothing that has to
// be sure rests on it.
func (mo *monitor) zoneControllersLastContact(zone wire.Zone) time.Time {
	var at time.Time
	v := mo.mesh.View()
	for _, o := range mo.peers {
		if o.Zone == zone {
			at = cluster.Latest(at, v.Peers[o.HostName].LastContact)
		}
	}
	return at
}
