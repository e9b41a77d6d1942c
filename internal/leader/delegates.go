package leader

import (
	"time"

	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/wire"
)

// DelegationToken is the token with which this node surely leads, 0 if it does not.
func (l *Leader) DelegationToken() wire.FencingToken {
	if t := l.term.Load(); t != nil && t.lease.Deciding() {
		return wire.FencingToken(t.delegationToken.Load())
	}
	return 0
}

// leaseRenewed notes a renewal of the leadership that was asked for at sent: for a
// while after it this node may be its own delegate, once it leads no more.
func (t *term) leaseRenewed(sent time.Time) {
	if token := wire.FencingToken(t.delegationToken.Load()); token > 0 {
		if at := t.unconfirmedCancel(); !at.IsZero() && at.Before(sent) {
			sent = at
		}
		t.leader.delegate.GrantSelf(token, sent)
	}
}

// anyDelegateAnswersUntil is the latest time at which any other node can answer a
// worker as a leader's delegate, or can have.
func (t *term) anyDelegateAnswersUntil(now time.Time) time.Time {
	var at time.Time
	if t.leader.delegation.Time == 0 {
		return at
	}
	tenure := delegation.Tenure{Began: t.state.termStartedAt, FirstToken: t.state.firstToken, StateBack: t.state.storeAvailableSince}
	v := t.leader.Mesh.View()
	for _, o := range t.leader.Config.Peers {
		at = latest(at, t.leader.delegation.AnswersUntil(tenure, v.Peers[o.HostName], now))
	}
	return at
}

// zoneControllersLastContact is since when no node in a zone is heard, zero if none ever was: a
// guess at when those there were cut off, whoever led then. Nothing that has to
// be sure rests on it.
func (t *term) zoneControllersLastContact(zone wire.Zone) time.Time {
	var at time.Time
	v := t.leader.Mesh.View()
	for _, o := range t.leader.Config.Peers {
		if o.Zone == zone {
			at = latest(at, v.Peers[o.HostName].LastContact)
		}
	}
	return at
}
