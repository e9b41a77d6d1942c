package delegation

import (
	"time"

	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// Tenure is what of a leader's time bounds the delegates of leaders before it, and
// its own.
type Tenure struct {
	Began time.Time
	// FirstToken is the one with which it began.
	FirstToken wire.FencingToken
	// StateBack is when the state service was last back after an outage.
	StateBack time.Time
}

// AnswersUntil is the latest time at which another node can answer a worker as a
// leader's delegate, or can have. One that acknowledged a beat of ours of the last
// seconds has heard us lead too lately to be a delegate, unless we did not lead
// for a while; it says itself when it did last, and if that was just now it may be
// at it still. What its last process did it does not know: that may have been a
// delegate until this one began. Of one that never acknowledged our token, an
// earlier leader's grant may be in force: that leader's last was before this term.
func (b Bounds) AnswersUntil(t Tenure, o peer.Peer, now time.Time) time.Time {
	at := latest(o.LastRenewal, o.StartedBefore)
	if o.AckToken < t.FirstToken {
		at = latest(at, t.Began.Add(b.Time))
	}
	unheard := now.Sub(o.AckSent) > 3*peer.AckLifetime/2
	stillAtIt := now.Sub(o.LastRenewal) < 3*peer.AckLifetime
	justBack := now.Sub(t.StateBack) < 3*peer.AckLifetime
	if (unheard || stillAtIt || justBack) && !o.DelegatedAt.IsZero() {
		at = latest(at, o.DelegatedAt.Add(b.Time))
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
