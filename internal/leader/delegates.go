package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// DelegationToken returns the token under which other nodes may renew leases as delegates
// of this one. It is 0 if there is none yet or this node is not sure that it leads.
func (l *Leader) DelegationToken() wire.FencingToken {
	if t := l.term.Load(); t != nil && t.Lease.Deciding() {
		return t.delegationToken()
	}
	return 0
}

func (t *term) delegationToken() wire.FencingToken {
	return wire.FencingToken(t.Published.DelegationToken.Load())
}

// InFlightLaunchCancelSince returns the time of the oldest cancellation of a job of which a
// launch may still be in flight. No heartbeat shows such a launch yet, so no node can stop it
// in a heartbeat response. It returns the zero time if there is no such cancellation.
func (l *Leader) InFlightLaunchCancelSince() time.Time {
	if t := l.term.Load(); t != nil {
		return t.Published.OldestInFlightLaunchCancel()
	}
	return time.Time{}
}

// onLeaseRenewed lets this node be its own delegate for a limited time after it has lost
// the leadership. That time is counted from the request for the renewal or, if that is
// earlier, from the oldest cancellation of a job of which a launch may still be in flight.
func (t *term) onLeaseRenewed(requestedAt time.Time) {
	token := t.delegationToken()
	if token == 0 {
		return
	}
	if at := t.Published.OldestInFlightLaunchCancel(); !at.IsZero() && at.Before(requestedAt) {
		requestedAt = at
	}
	t.leader.delegate.GrantSelf(token, requestedAt)
}
