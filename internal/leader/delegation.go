package leader

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// Delegated lease renewal: a node that has lost the leader renews the leases of
// workers that turn to it on the leader's behalf, as its delegate. It answers with
// the leader's token and starts nothing, so that what runs in a zone that is cut
// off goes on. If the state service still says who leads, only the
// way to the leader is cut, from here and perhaps not from the worker: then it
// answers those that were sent to the leader and came back. It may do so for a while
// after it last asked the leader, by a beat that the leader answered while it
// surely held the leadership. The while is short enough for what a user cancels
// behind its back: with the lease that its last answer gives, the task is gone
// within the time for cancellations.

// delegationMargin covers what a leader takes to hear of a cancellation and to halt
// its tasks, and the clocks' drift.
const delegationMargin = 3 * time.Second

// delegationTime is how long a node may renew leases for a leader that it has lost.
func delegationTime(w config.Workers) time.Duration {
	if d := cancelTimeAfterLease(w); d > 2*peer.AckLifetime {
		return d
	}
	return 0
}

// cancelTimeAfterLease is what a lease leaves of the time for cancellations, less drift
// and margin.
func cancelTimeAfterLease(w config.Workers) time.Duration {
	lease := w.LeaseS.Duration()
	return w.CancelS.Duration() - lease - lease/500 - delegationMargin
}

// maxCancelAge is D of the rule in package cancels. Where a lease leaves next to
// nothing, it is the time in which halts themselves get there.
func maxCancelAge(w config.Workers) time.Duration {
	return max(cancelTimeAfterLease(w), 2*peer.AckLifetime)
}

// mayRenewLeases tells whether a worker's lease may be renewed now, by whoever
// answers it and whyever it may: every cancellation that any node confirmed
// before D ago is known here. (A leader that the state service refused alone
// and that went on serving in the outage after it renewed leases for B without
// knowing of what other nodes had confirmed in between.)
func (l *Leader) mayRenewLeases(now time.Time) bool {
	at := l.Cancels.Watermark()
	return !at.IsZero() && now.Sub(at) < l.maxCancelAge
}

// cancelledTaskHalts is what a node that may start nothing tells a worker with the
// renewal of its lease: to halt what is known to be cancelled.
func (l *Leader) cancelledTaskHalts(rep *wire.Report) []wire.Command {
	out := []wire.Command{}
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil || p.Phase == wire.PhaseExited || len(out) >= maxCommands {
			continue
		}
		if _, ok := l.Cancels.ConfirmedAt(task.Job); ok {
			zero := wire.Seconds(0)
			out = append(out, wire.Command{Verb: wire.Halt, Task: p.Task, Attempt: p.Attempt, GracePeriod: &zero})
		}
	}
	return out
}

// delegateToken tells whether this node may renew the lease of a worker that has
// seen the token on the leader's behalf, and with which token: the newest that it knows
// of, from a leader that it has not heard since.
func (l *Leader) delegateToken(baton wire.Token) (wire.Token, bool) {
	v, now := l.Mesh.View(), time.Now()
	g := v.Delegation
	if own := l.ownGrant.Load(); own != nil && own.Token >= g.Token {
		g = *own
	}
	ok := g.Token > 0 && g.Token == v.Token && baton <= g.Token && now.Sub(g.RequestedAt) < l.delegationTime && now.Sub(v.LeaderSeen) >= 2*peer.AckLifetime && l.mayRenewLeases(now)
	return g.Token, ok
}

// returnedHere tells whether a worker was sent to the leader from here a while ago
// and is here again, and notes that it was here now.
func (l *Leader) returnedHere(id wire.MachineID, now time.Time) bool {
	l.redirected.Lock()
	defer l.redirected.Unlock()
	at, ok := l.redirected.at[id]
	if len(l.redirected.at) > 2*max(l.Workers, 1000) {
		clear(l.redirected.at)
	}
	l.redirected.at[id] = now
	// It gives each node 4 s, and a second between two.
	return ok && now.Sub(at) < time.Duration(l.Config.Settings.Size)*5*time.Second
}

// delegateAnswer is the answer to a report for a lost leader, nil if there may be
// none.
func (l *Leader) delegateAnswer(rep *wire.Report) *wire.Commands {
	if _, ok := l.delegateToken(rep.Token); !ok {
		return nil
	}
	l.Mesh.RecordRenewal()
	token, ok := l.delegateToken(rep.Token) // again, now that others can know
	if !ok {
		return nil
	}
	return &wire.Commands{Token: token, Commands: l.cancelledTaskHalts(rep)}
}

// delegateLately tells whether workers stayed with this node as a delegate:
// they are not cut off from the leader that is back.
func (l *Leader) delegateLately() bool {
	ago := l.Mesh.SinceRenewal()
	return ago > 0 && ago < 2*l.Config.Settings.Workers.ReportS.Duration()+2*peer.AckLifetime
}

// DelegationToken is the token with which this node surely leads, 0 if it does not.
func (l *Leader) DelegationToken() wire.Token {
	if t := l.term.Load(); t != nil && t.lease.Deciding() {
		return wire.Token(t.delegationToken.Load())
	}
	return 0
}

// leaseRenewed notes a renewal of the leadership that was asked for at sent: for a
// while after it this node may be its own delegate, once it leads no more.
func (t *term) leaseRenewed(sent time.Time) {
	if token := wire.Token(t.delegationToken.Load()); token > 0 {
		if at := t.unprovenCancel(); !at.IsZero() && at.Before(sent) {
			sent = at
		}
		t.l.ownGrant.Store(&peer.Delegation{Token: token, RequestedAt: sent})
	}
}

// delegateAnswersUntil is the latest time at which another node can answer a
// worker as a leader's delegate, or can have. One that acknowledged a beat of ours of the
// last seconds has heard us lead too lately to be a delegate, unless we did not
// lead for a while; it says itself when it did last, and if that was just now
// it may be at it still. What its last process did it does not know: that may have
// been a delegate until this one began. Of one that never acknowledged our token, an earlier
// leader's grant may be in force: that leader's last was before this term.
func (t *term) delegateAnswersUntil(o peer.Peer, now time.Time) time.Time {
	at := latest(o.LastRenewal, o.StartedBy)
	if o.AckToken < t.firstToken {
		at = latest(at, t.startedAt.Add(t.l.delegationTime))
	}
	lost := now.Sub(o.AckSent) > 3*peer.AckLifetime/2 || now.Sub(o.LastRenewal) < 3*peer.AckLifetime || now.Sub(t.stateBackAt) < 3*peer.AckLifetime
	if lost && !o.DelegatedAt.IsZero() {
		at = latest(at, o.DelegatedAt.Add(t.l.delegationTime))
	}
	return at
}

// anyDelegateAnswersUntil is the latest of these times over all other nodes.
func (t *term) anyDelegateAnswersUntil(now time.Time) time.Time {
	var at time.Time
	if t.l.delegationTime == 0 {
		return at
	}
	v := t.l.Mesh.View()
	for _, o := range t.l.Config.Peers {
		at = latest(at, t.delegateAnswersUntil(v.Peers[o.HostName], now))
	}
	return at
}

// zoneSilentSince is since when no node in a zone is heard, zero if none ever was: a
// guess at when those there were cut off, whoever led then. Nothing that has to
// be sure rests on it.
func (t *term) zoneSilentSince(zone wire.Zone) time.Time {
	var at time.Time
	v := t.l.Mesh.View()
	for _, o := range t.l.Config.Peers {
		if o.Zone == zone {
			at = latest(at, v.Peers[o.HostName].LastContact)
		}
	}
	return at
}
