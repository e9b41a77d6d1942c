package leader

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// A node that has lost the leader answers the workers that turn to it in the
// leader's stead: with its token and without orders, so that what runs in a zone
// that is cut off goes on. If the state service still says who leads, only the
// way to the leader is cut, from here and perhaps not from the worker: then it
// answers those that were sent to the leader and came back. It may do so for a while
// after it last asked the leader, by a beat that the leader answered while it
// surely held the office. The while is short enough for what a user cancels
// behind its back: with the lease that its last answer gives, the task is gone
// within the time for cancellations.

// standMargin covers what a leader takes to hear of a cancellation and to halt
// its tasks, and the clocks' drift.
const standMargin = 3 * time.Second

// standFor is how long a node may stand in for a leader that it has lost.
func standFor(w config.Workers) time.Duration {
	lease := w.LeaseS.Duration()
	if d := w.CancelS.Duration() - lease - lease/500 - standMargin; d > 2*peer.X {
		return d
	}
	return 0
}

// mayStandIn tells whether this node may answer a worker that has seen the
// token in the leader's stead, and with which token: the newest that it knows
// of, from a leader that it has not heard since.
func (l *Leader) mayStandIn(baton wire.Token) (wire.Token, bool) {
	v, now := l.Mesh.View(), time.Now()
	g := v.Grant
	if own := l.own.Load(); own != nil && own.Token >= g.Token {
		g = *own
	}
	ok := g.Token > 0 && g.Token == v.Token && baton <= g.Token && now.Sub(g.Sent) < l.standFor && now.Sub(v.Led) >= 2*peer.X
	return g.Token, ok
}

// cameBack tells whether a worker was sent to the leader from here a while ago
// and is here again, and notes that it was here now.
func (l *Leader) cameBack(id wire.MachineID, now time.Time) bool {
	l.sentOn.Lock()
	defer l.sentOn.Unlock()
	at, ok := l.sentOn.at[id]
	if len(l.sentOn.at) > 2*max(l.Workers, 1000) {
		clear(l.sentOn.at)
	}
	l.sentOn.at[id] = now
	// It gives each node 4 s, and a second between two.
	return ok && now.Sub(at) < time.Duration(l.Config.Settings.Size)*5*time.Second
}

// standIn answers a report in the lost leader's stead, nil if it may not.
func (l *Leader) standIn(rep *wire.Report) *wire.Orders {
	if _, ok := l.mayStandIn(rep.Baton); !ok {
		return nil
	}
	l.Mesh.StandsIn()
	token, ok := l.mayStandIn(rep.Baton) // again, now that others can know
	if !ok {
		return nil
	}
	return &wire.Orders{Baton: token, Orders: []wire.Order{}}
}

// stoodLately tells whether workers stayed with this node because it stood in:
// they are not cut off from the leader that is back.
func (l *Leader) stoodLately() bool {
	ago := l.Mesh.Stood()
	return ago > 0 && ago < 2*l.Config.Settings.Workers.ReportS.Duration()+2*peer.X
}

// Grants is the token with which this node surely leads, 0 if it does not.
func (l *Leader) Grants() wire.Token {
	if t := l.term.Load(); t != nil && t.deciding() {
		return wire.Token(t.grants.Load())
	}
	return 0
}

// renewed notes a renewal of the office that was asked for at sent: until a
// while after it this node may stand in for itself.
func (t *term) renewed(sent time.Time) {
	t.until.Store(int64(lease(sent).Sub(t.born)))
	if token := wire.Token(t.grants.Load()); token > 0 {
		t.l.own.Store(&peer.Grant{Token: token, Sent: sent})
	}
}

// standsUntil is the latest time at which another node can answer a worker in
// a leader's stead, or can have. One that acknowledged a beat of ours of the
// last seconds has heard us lead too lately to stand in, unless we did not
// lead for a while; it says itself when it did last, and if that was just now
// it may be at it still. Of one that never acknowledged our token, an earlier
// leader's word may be in force: that leader's last was before this term.
func (t *term) standsUntil(o peer.Other, now time.Time) time.Time {
	at := o.Stood
	if o.AckToken < t.first {
		at = later(at, t.born.Add(t.l.standFor))
	}
	lost := now.Sub(o.AckSent) > 3*peer.X/2 || now.Sub(o.Stood) < 3*peer.X || now.Sub(t.backAt) < 3*peer.X
	if lost && !o.Granted.IsZero() {
		at = later(at, o.Granted.Add(t.l.standFor))
	}
	return at
}

// stoodIn is the latest of these times over all other nodes.
func (t *term) stoodIn(now time.Time) time.Time {
	var at time.Time
	if t.l.standFor == 0 {
		return at
	}
	v := t.l.Mesh.View()
	for _, o := range t.l.Config.Others {
		at = later(at, t.standsUntil(v.Others[o.HostName], now))
	}
	return at
}

// lostSince is since when no node in a zone is heard, zero if none ever was: a
// guess at when those there were cut off, whoever led then. Nothing that has to
// be sure rests on it.
func (t *term) lostSince(zone wire.Zone) time.Time {
	var at time.Time
	v := t.l.Mesh.View()
	for _, o := range t.l.Config.Others {
		if o.Zone == zone {
			at = later(at, v.Others[o.HostName].Heard)
		}
	}
	return at
}
