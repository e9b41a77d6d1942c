// Package delegation implements delegated lease renewal: a node that has lost contact
// with the leader renews, as the leader's delegate, the leases of workers that turn to
// it. It answers with the leader's fencing token and starts nothing, so that what runs
// in a partitioned zone keeps running.
//
// If the key-value store still names the leader, only the path to the leader is cut,
// from here and perhaps not from the worker. Then the delegate answers only workers
// that were redirected to the leader and came back.
//
// A node may be a delegate for a limited time after it last asked the leader, by a
// heartbeat that the leader answered while it surely held the leadership. Bounds makes
// that time short enough for cancellations that the delegate can't learn of: a task
// ends within the cancellation timeout even if its lease was renewed at the last
// moment.
package delegation

import (
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

const (
	// leaderLostAfter is how long a delegate must not have heard from the leader.
	leaderLostAfter = 2 * peer.AckLifetime
	// returnTimePerNode is how long a worker takes to try one node: it gives each 4 s,
	// and pauses for a second between two.
	returnTimePerNode = 5 * time.Second
	// minRedirectsKept is how many workers' redirects are kept at least.
	minRedirectsKept = 1000
)

// Mesh is what a delegate needs of the connections between the nodes.
type Mesh interface {
	View() *peer.View
	// RecordRenewal records, for others to learn, that this node is about to renew
	// leases as a delegate.
	RecordRenewal()
	// SinceRenewal returns how long ago this node last renewed a lease as a delegate;
	// 0: never.
	SinceRenewal() time.Duration
}

// Config is what a delegate works with.
type Config struct {
	Bounds  Bounds
	Mesh    Mesh
	Cancels *cancels.Log
	// Nodes and Workers are how many there are.
	Nodes, Workers int
	// HeartbeatInterval is the interval of workers' heartbeats.
	HeartbeatInterval time.Duration
	// MaxCommands bounds the commands of one answer.
	MaxCommands int
}

// Delegate renews leases for a leader that this node has lost contact with. It is safe
// for concurrent use.
type Delegate struct {
	Config
	// ownDelegation is what this node granted itself while it led.
	ownDelegation atomic.Pointer[peer.Delegation]

	mu sync.Mutex
	// redirectedAt is when workers last turned to this node without being answered.
	redirectedAt map[wire.MachineID]time.Time
}

// New returns the delegate of a node.
func New(c Config) *Delegate {
	return &Delegate{Config: c, redirectedAt: map[wire.MachineID]time.Time{}}
}

// GrantSelf lets this node be its own delegate once it leads no more, for a while after
// sent, at which it surely led with the token.
func (d *Delegate) GrantSelf(token wire.FencingToken, sent time.Time) {
	d.ownDelegation.Store(&peer.Delegation{Token: token, RequestedAt: sent})
}

// MayRenew reports whether a worker's lease may be renewed now, whoever answers it and
// on whatever grounds: every cancellation that any node confirmed before
// Bounds.MaxCancelAge ago is known here. (A leader that the key-value store refused
// alone, and that went on serving in the outage that followed, renewed leases for
// peer.OutageLimit without knowing what other nodes had confirmed in between.)
func (d *Delegate) MayRenew(now time.Time) bool {
	knownUntil := d.Cancels.Watermark()
	return !knownUntil.IsZero() && now.Sub(knownUntil) < d.Bounds.MaxCancelAge
}

// StopCommands returns the commands that a node which may start nothing sends a worker with
// the renewal of its lease: to stop the tasks that are known to be cancelled.
func (d *Delegate) StopCommands(heartbeat *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(stops) >= d.MaxCommands {
			break
		}
		if state := &heartbeat.Tasks[i]; d.mustStop(state) {
			stops = append(stops, stopAtOnce(state))
		}
	}
	return stops
}

// mustStop reports whether a task runs although its job is known to be cancelled.
func (d *Delegate) mustStop(state *wire.TaskStatus) bool {
	task, err := wire.ParseTaskID(state.Task)
	if err != nil || state.Phase == wire.PhaseExited {
		return false
	}
	_, cancelled := d.Cancels.ConfirmedAt(task.Job)
	return cancelled
}

func stopAtOnce(state *wire.TaskStatus) wire.Command {
	noGracePeriod := wire.Seconds(0)
	return wire.Command{Verb: wire.VerbStop, Task: state.Task, Attempt: state.Attempt, GracePeriod: &noGracePeriod}
}

// renewalToken returns the token with which this node may renew the lease of a worker
// that has seen a token, and whether it may: the delegation must be the newest that the
// node knows of, from a leader that it has not heard from since.
func (d *Delegate) renewalToken(seen wire.FencingToken) (wire.FencingToken, bool) {
	view, now := d.Mesh.View(), time.Now()
	delegation := d.newestDelegation(view)
	token := delegation.Token
	newest := token > 0 && token == view.Token && seen <= token
	recent := now.Sub(delegation.RequestedAt) < d.Bounds.MaxDelegationTime
	leaderLost := now.Sub(view.LeaderSeenAt) >= leaderLostAfter
	return token, newest && recent && leaderLost && d.MayRenew(now)
}

func (d *Delegate) newestDelegation(view *peer.View) peer.Delegation {
	if own := d.ownDelegation.Load(); own != nil && own.Token >= view.Delegation.Token {
		return *own
	}
	return view.Delegation
}

// Answer returns the answer to a heartbeat for a lost leader, nil if this node may not
// give one.
func (d *Delegate) Answer(heartbeat *wire.Heartbeat) *wire.Commands {
	if _, ok := d.renewalToken(heartbeat.Token); !ok {
		return nil
	}
	d.Mesh.RecordRenewal()
	// Checked again now that others can learn of the renewal: see Mesh.RecordRenewal.
	token, ok := d.renewalToken(heartbeat.Token)
	if !ok {
		return nil
	}
	return &wire.Commands{Token: token, Commands: d.StopCommands(heartbeat)}
}

// Returned reports whether a worker was redirected to the leader from here recently and
// is here again, and records that it was here now.
func (d *Delegate) Returned(id wire.MachineID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	redirectedAt, ok := d.redirectedAt[id]
	if len(d.redirectedAt) > 2*max(d.Workers, minRedirectsKept) {
		clear(d.redirectedAt)
	}
	d.redirectedAt[id] = now
	timeForAllNodes := time.Duration(d.Nodes) * returnTimePerNode
	return ok && now.Sub(redirectedAt) < timeForAllNodes
}

// RenewedRecently reports whether this node renewed workers' leases as a delegate recently: those
// workers are not cut off from the leader that is back.
func (d *Delegate) RenewedRecently() bool {
	sinceRenewal := d.Mesh.SinceRenewal()
	return sinceRenewal > 0 && sinceRenewal < 2*d.HeartbeatInterval+2*peer.AckLifetime
}
