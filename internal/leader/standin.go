package leader

import (
	"slices"
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
	if d := leaseLeaves(w); d > 2*peer.X {
		return d
	}
	return 0
}

// leaseLeaves is what a lease leaves of the time for cancellations, less drift
// and margin.
func leaseLeaves(w config.Workers) time.Duration {
	lease := w.LeaseS.Duration()
	return w.CancelS.Duration() - lease - lease/500 - standMargin
}

// renewFor is D of the rule in package cancels. Where a lease leaves next to
// nothing, it is the time in which halts themselves get there.
func renewFor(w config.Workers) time.Duration { return max(leaseLeaves(w), 2*peer.X) }

// mayRenew tells whether a worker's lease may be renewed now, by whoever
// answers it and whyever it may: every cancellation that any node confirmed
// before D ago is known here. (A leader that the state service refused alone
// and that went on serving in the outage after it renewed leases for B without
// knowing of what other nodes had confirmed in between.)
func (l *Leader) mayRenew(now time.Time) bool {
	at := l.Cancels.Known()
	return !at.IsZero() && now.Sub(at) < l.renewFor
}

// haltsFor is what a node that may start nothing tells a worker with the
// renewal of its lease: to halt what is known to be cancelled.
func (l *Leader) haltsFor(rep *wire.Report) []wire.Command {
	out := []wire.Command{}
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil || p.Phase == wire.PhaseExited || len(out) >= mostOrders {
			continue
		}
		if _, ok := l.Cancels.At(task.Job); ok {
			zero := wire.Seconds(0)
			out = append(out, wire.Command{Verb: wire.Halt, Task: p.Task, Attempt: p.Attempt, GracePeriod: &zero})
		}
	}
	return out
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
	ok := g.Token > 0 && g.Token == v.Token && baton <= g.Token && now.Sub(g.Sent) < l.standFor && now.Sub(v.Led) >= 2*peer.X && l.mayRenew(now)
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
func (l *Leader) standIn(rep *wire.Report) *wire.Commands {
	if _, ok := l.mayStandIn(rep.Token); !ok {
		return nil
	}
	l.Mesh.StandsIn()
	token, ok := l.mayStandIn(rep.Token) // again, now that others can know
	if !ok {
		return nil
	}
	return &wire.Commands{Token: token, Commands: l.haltsFor(rep)}
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

// Unproven is since when there are cancellations of which a launch may still be
// on its way unseen: nobody can halt that by what a report shows. Zero: none.
func (l *Leader) Unproven() time.Time {
	if t := l.term.Load(); t != nil {
		return t.unprovenAt()
	}
	return time.Time{}
}

func (t *term) unprovenAt() time.Time {
	if at := t.unproven.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// learnCancels takes in cancellations that were heard of by whatever way. The
// record itself is read when the state service is there.
func (t *term) learnCancels() {
	var ids []wire.JobID
	ids, t.noted = t.l.Cancels.Since(t.noted)
	for _, id := range ids {
		j := t.jobs[id]
		if j == nil || j.cancelled {
			continue
		}
		j.cancelled, j.stale = true, true
		j.cancelAt, _ = t.l.Cancels.At(id)
		t.log().Info("hears of a cancellation", "job", id, "deciding", t.deciding())
		if t.recovered {
			t.chase(j)
		}
	}
	t.proveCancels()
}

// proveCancels finds the cancelled jobs of which a launch may be on its way.
func (t *term) proveCancels() {
	var first time.Time
	for j := range t.chasing {
		if j.held == 0 {
			delete(t.chasing, j)
			continue
		}
		if first.IsZero() || j.cancelAt.Before(first) {
			for _, a := range j.attempts() {
				if !a.planned && (!a.seen || a.lost || a.directBusy) {
					first = j.cancelAt
					break
				}
			}
		}
	}
	t.unproven.Store(&first)
}

// withheld tells whether a machine's lease must not be renewed any more: a
// launch of a cancelled task may be on its way there that its report does not
// show, and that only the end of the session, or a token above the launch's,
// can keep from starting too late.
func (t *term) withheld(m *machine, rep *wire.Report, now time.Time) bool {
	for task, a := range m.tasks {
		if !a.job.cancelled || a.planned || now.Sub(a.job.cancelAt) < t.l.renewFor || !a.directBusy && !(a.lost && t.token <= a.lostToken) {
			continue
		}
		name := task.String()
		if !slices.ContainsFunc(rep.Tasks, func(p wire.TaskState) bool { return p.Task == name && p.Attempt == a.try }) {
			return true
		}
	}
	return false
}

// renewed notes a renewal of the office that was asked for at sent: until a
// while after it this node may stand in for itself.
func (t *term) renewed(sent time.Time) {
	t.until.Store(int64(lease(sent).Sub(t.born)))
	if token := wire.Token(t.grants.Load()); token > 0 {
		if at := t.unprovenAt(); !at.IsZero() && at.Before(sent) {
			sent = at
		}
		t.l.own.Store(&peer.Grant{Token: token, Sent: sent})
	}
}

// standsUntil is the latest time at which another node can answer a worker in
// a leader's stead, or can have. One that acknowledged a beat of ours of the
// last seconds has heard us lead too lately to stand in, unless we did not
// lead for a while; it says itself when it did last, and if that was just now
// it may be at it still. What its last life did it does not know: that may have
// stood in until this one began. Of one that never acknowledged our token, an earlier
// leader's word may be in force: that leader's last was before this term.
func (t *term) standsUntil(o peer.Other, now time.Time) time.Time {
	at := later(o.Stood, o.Born)
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
