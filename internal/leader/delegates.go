package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// DelegationToken returns the token under which this node certainly leads and under which
// others may renew leases as its delegates, 0 if there is none.
func (l *Leader) DelegationToken() wire.FencingToken {
	if t := l.term.Load(); t != nil && t.Lease.Deciding() {
		return t.delegationToken()
	}
	return 0
}

func (t *term) delegationToken() wire.FencingToken {
	return wire.FencingToken(t.Published.DelegationToken.Load())
}

// UnconfirmedCancelSince returns the time of the oldest cancellation of a job of which a
// launch may still be in flight: nobody can stop that by what a heartbeat shows. It
// returns the zero time if there is none.
func (l *Leader) UnconfirmedCancelSince() time.Time {
	if t := l.term.Load(); t != nil {
		return t.Published.OldestUnconfirmedCancel()
	}
	return time.Time{}
}

// onLeaseRenewed lets this node be its own delegate for a while after it has lost the
// leadership. The while counts from when the renewal was requested or, if that is earlier,
// from the oldest cancellation of a job of which a launch may still be in flight.
func (t *term) onLeaseRenewed(requestedAt time.Time) {
	token := t.delegationToken()
	if token == 0 {
		return
	}
	if at := t.Published.OldestUnconfirmedCancel(); !at.IsZero() && at.Before(requestedAt) {
		requestedAt = at
	}
	t.leader.delegate.GrantSelf(token, requestedAt)
}
