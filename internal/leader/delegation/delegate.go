// Package delegation is delegated lease renewal: a node that has lost the leader
// renews the leases of workers that turn to it on the leader's behalf, as its
// delegate. It answers with the leader's token and starts nothing, so that what
// runs in a zone that is cut off goes on. If the state service still says who
// leads, only the way to the leader is cut, from here and perhaps not from the
// worker: then it answers those that were sent to the leader and came back. It may
// do so for a while after it last asked the leader, by a beat that the leader
// answered while it surely held the leadership. The while is short enough for what
// a user cancels behind its back: with the lease that its last answer gives, the
// task is gone within the time for cancellations.
package delegation

import (
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

const (
	// cancelMargin covers what a leader takes to hear of a cancellation and to halt
	// its tasks, and the clocks' drift.
	cancelMargin = 3 * time.Second
	// returnWithin: a worker gives each node 4 s, and there is a second between two.
	returnWithin = 5 * time.Second
	// minRemembered is how many redirected workers are remembered at least.
	minRemembered = 1000
)

// Bounds limit how long leases may be renewed behind the back of those who cancel.
type Bounds struct {
	// Time is how long a node may renew leases for a leader that it has lost; 0:
	// never.
	Time time.Duration
	// MaxCancelAge is D of the rule in package cancels. Where a lease leaves next to
	// nothing, it is the time in which halts themselves get there.
	MaxCancelAge time.Duration
}

// BoundsOf follow from the leases and the time for cancellations.
func BoundsOf(w config.Workers) Bounds {
	lease := w.Lease.Duration()
	// What a lease leaves of the time for cancellations, less drift and margin.
	left := w.CancelTimeout.Duration() - lease - lease/500 - cancelMargin
	b := Bounds{MaxCancelAge: max(left, 2*peer.AckLifetime)}
	if left > 2*peer.AckLifetime {
		b.Time = left
	}
	return b
}

// Mesh is what a delegate needs of the links between the nodes.
type Mesh interface {
	View() *peer.View
	// RecordRenewal notes that this node is about to renew leases as a delegate, for others to know.
	RecordRenewal()
	// Stood is how long ago it last was; 0: never.
	SinceRenewal() time.Duration
}

// Config is what a delegate works with.
type Config struct {
	Bounds  Bounds
	Mesh    Mesh
	Cancels *cancels.Log
	// Nodes and Workers are how many there are; ReportEvery is the pace of reports.
	Nodes, Workers int
	ReportEvery    time.Duration
	// MaxCommands of one answer.
	MaxCommands int
}

// Delegate renews leases for a leader that was lost. It is safe for concurrent use.
type Delegate struct {
	Config
	// own is what this node granted itself while it led.
	own atomic.Pointer[peer.Delegation]
	// redirected is when workers were last here without being answered.
	mu         sync.Mutex
	redirected map[wire.MachineID]time.Time
}

// New makes the delegate of a node.
func New(c Config) *Delegate {
	return &Delegate{Config: c, redirected: map[wire.MachineID]time.Time{}}
}

// GrantSelf lets this node be its own delegate for a while after sent, when it
// surely led with the token, once it leads no more.
func (d *Delegate) GrantSelf(token wire.FencingToken, sent time.Time) {
	d.own.Store(&peer.Delegation{Token: token, RequestedAt: sent})
}

// MayRenew tells whether a worker's lease may be renewed now, by whoever
// answers it and whyever it may: every cancellation that any node confirmed
// before D ago is known here. (A leader that the state service refused alone
// and that went on serving in the outage after it renewed leases for B without
// knowing of what other nodes had confirmed in between.)
func (d *Delegate) MayRenew(now time.Time) bool {
	known := d.Cancels.Watermark()
	return !known.IsZero() && now.Sub(known) < d.Bounds.MaxCancelAge
}

// Halts is what a node that may start nothing tells a worker with the renewal of
// its lease: to halt what is known to be cancelled.
func (d *Delegate) Halts(rep *wire.Heartbeat) []wire.Command {
	out := []wire.Command{}
	for i := range rep.Tasks {
		state := &rep.Tasks[i]
		task, err := wire.ParseTask(state.Task)
		if err != nil || state.Phase == wire.PhaseExited || len(out) >= d.MaxCommands {
			continue
		}
		if _, cancelled := d.Cancels.ConfirmedAt(task.Job); cancelled {
			atOnce := wire.Seconds(0)
			out = append(out, wire.Command{Verb: wire.Stop, Task: state.Task, Attempt: state.Attempt, GracePeriod: &atOnce})
		}
	}
	return out
}

// token tells whether this node may renew the lease of a worker that has seen
// a token, and with which one: the newest that it knows of, from a leader that it
// has not heard since.
func (d *Delegate) token(seen wire.FencingToken) (wire.FencingToken, bool) {
	v, now := d.Mesh.View(), time.Now()
	g := v.Delegation
	if own := d.own.Load(); own != nil && own.Token >= g.Token {
		g = *own
	}
	newest := g.Token > 0 && g.Token == v.Token && seen <= g.Token
	recent := now.Sub(g.RequestedAt) < d.Bounds.Time
	leaderLost := now.Sub(v.LeaderSeen) >= 2*peer.AckLifetime
	return g.Token, newest && recent && leaderLost && d.MayRenew(now)
}

// Answer to a report for a lost leader, nil if there may be none.
func (d *Delegate) Answer(rep *wire.Heartbeat) *wire.Commands {
	if _, ok := d.token(rep.Token); !ok {
		return nil
	}
	d.Mesh.RecordRenewal()
	token, ok := d.token(rep.Token) // again, now that others can know
	if !ok {
		return nil
	}
	return &wire.Commands{Token: token, Commands: d.Halts(rep)}
}

// Returned tells whether a worker was sent to the leader from here a while ago
// and is here again, and notes that it was here now.
func (d *Delegate) Returned(id wire.MachineID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.redirected[id]
	if len(d.redirected) > 2*max(d.Workers, minRemembered) {
		clear(d.redirected)
	}
	d.redirected[id] = now
	return ok && now.Sub(at) < time.Duration(d.Nodes)*returnWithin
}

// Lately tells whether workers stayed with this node as a delegate: they are not
// cut off from the leader that is back.
func (d *Delegate) Lately() bool {
	ago := d.Mesh.SinceRenewal()
	return ago > 0 && ago < 2*d.ReportEvery+2*peer.AckLifetime
}
