package leader

import (
	"time"

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
