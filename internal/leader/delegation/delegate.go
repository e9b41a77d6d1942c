// Package delegation implements delegated lease renewal: a node that has lost contact with the
// leader renews, as the leader's delegate, the leases of agents that send it heartbeats. It
// answers with the leader's fencing token and starts nothing. This keeps the tasks in a
// partitioned zone running.
//
// If the key-value store still names the leader, only the path to the leader is cut. The agent
// may still reach the leader where this node can't. The delegate then answers only agents that
// were redirected to the leader and came back.
//
// A delegation is valid for a limited time. That time counts from when the node sent the last
// heartbeat that the leader answered while it certainly held the leadership. Bounds makes it
// short enough for cancellations that the delegate can't learn of: a task ends within the
// cancellation timeout even if its lease was renewed at the last moment.
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
	// leaderLostAfter is the time without contact to the leader after which a node may act as
	// its delegate.
	leaderLostAfter = 2 * peer.AckLifetime
	// agentTimePerNode is the time that an agent spends on one node before it tries the next:
	// a request timeout of 4 s, and a pause of 1 s.
	agentTimePerNode = 5 * time.Second
	// minRedirectCapacity bounds the limit on remembered redirects from below. The limit is
	// twice the number of agents, or twice minRedirectCapacity if that is more.
	minRedirectCapacity = 1000
)

// Mesh is the part of the connections between the nodes that a delegate uses.
type Mesh interface {
	View() *peer.View
	// RecordRenewal records that this node is about to renew leases as a delegate, so that the
	// other nodes learn of it.
	RecordRenewal()
	// SinceRenewal returns the time since this node last renewed a lease as a delegate; 0 if it
	// never did.
	SinceRenewal() time.Duration
}

// Config holds the dependencies and limits of a delegate.
type Config struct {
	Bounds  Bounds
	Mesh    Mesh
	Cancels *cancels.Log
	// Nodes and Workers are the numbers of controllers and of agents.
	Nodes, Workers int
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration
	// MaxCommands bounds the number of commands in one response.
	MaxCommands int
}

// Delegate renews leases on behalf of a leader that this node has lost contact with. It is safe
// for concurrent use.
type Delegate struct {
	Config
	// ownDelegation is the delegation that this node granted itself while it led.
	ownDelegation atomic.Pointer[peer.Delegation]

	mu sync.Mutex
	// redirectedAt is when each agent was last recorded by ReturnedAfterRedirect.
	redirectedAt map[wire.MachineID]time.Time
}

// New returns the delegate of a node.
func New(c Config) *Delegate {
	return &Delegate{Config: c, redirectedAt: map[wire.MachineID]time.Time{}}
}

// GrantSelf makes this node its own delegate for when it no longer leads. The delegation counts
// from requestedAt. The node certainly led with the token at that time or later.
func (d *Delegate) GrantSelf(token wire.FencingToken, requestedAt time.Time) {
	d.ownDelegation.Store(&peer.Delegation{Token: token, RequestedAt: requestedAt})
}

// MayRenew reports whether this node, as leader or as delegate, may renew agents' leases now:
// it must know every cancellation that any node confirmed more than Bounds.MaxCancelAge ago.
// Suppose that the key-value store refuses the leader alone, and that an outage of the store
// follows. Without this rule, the leader keeps serving in the outage, and renews leases for
// peer.OutageLimit without knowing the cancellations that other nodes confirmed in between.
func (d *Delegate) MayRenew(now time.Time) bool {
	knownUntil := d.Cancels.Watermark()
	return !knownUntil.IsZero() && now.Sub(knownUntil) < d.Bounds.MaxCancelAge
}

// StopCommands returns the commands that a node which must not start tasks sends to an agent
// with the renewal of its lease. They stop the tasks that are known to be cancelled.
func (d *Delegate) StopCommands(heartbeat *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(stops) >= d.MaxCommands {
			break
		}
		if state := &heartbeat.Tasks[i]; d.mustStop(state) {
			stops = append(stops, state.StopAtOnce())
		}
	}
	return stops
}

// mustStop reports whether a task has not exited although its job is known to be cancelled.
func (d *Delegate) mustStop(state *wire.TaskStatus) bool {
	task, err := wire.ParseTaskID(state.Task)
	if err != nil || state.Phase == wire.PhaseExited {
		return false
	}
	_, cancelled := d.Cancels.ConfirmedAt(task.Job)
	return cancelled
}

// renewalToken returns the token with which this node may renew the lease of an agent that has
// seen the given token, and whether it may. The delegation must be recent and carry the newest
// token that the node or the agent knows, the node must have lost contact with the leader, and
// MayRenew must allow it.
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

// Answer answers a heartbeat on behalf of a leader that this node has lost contact with. It
// returns nil if the node may not renew the lease.
func (d *Delegate) Answer(heartbeat *wire.Heartbeat) *wire.Commands {
	if _, ok := d.renewalToken(heartbeat.Token); !ok {
		return nil
	}
	d.Mesh.RecordRenewal()
	// The check is repeated after the renewal is recorded. A node whose heartbeat arrives later
	// learns of the renewal; a heartbeat that arrived before is seen by this check.
	token, ok := d.renewalToken(heartbeat.Token)
	if !ok {
		return nil
	}
	return &wire.Commands{Token: token, Commands: d.StopCommands(heartbeat)}
}

// ReturnedAfterRedirect reports whether an agent has come back to this node soon after this
// node redirected it to the leader. It also records the agent as redirected now.
func (d *Delegate) ReturnedAfterRedirect(id wire.MachineID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	redirectedAt, ok := d.redirectedAt[id]
	if len(d.redirectedAt) > 2*max(d.Workers, minRedirectCapacity) {
		clear(d.redirectedAt)
	}
	d.redirectedAt[id] = now
	timeForAllNodes := time.Duration(d.Nodes) * agentTimePerNode
	return ok && now.Sub(redirectedAt) < timeForAllNodes
}

// RenewedRecently reports whether this node recently renewed agents' leases as a delegate. The
// caller then relays no heartbeats to the leader: now that it can be reached again, those agents
// can reach it themselves.
func (d *Delegate) RenewedRecently() bool {
	sinceRenewal := d.Mesh.SinceRenewal()
	return sinceRenewal > 0 && sinceRenewal < 2*d.HeartbeatInterval+2*peer.AckLifetime
}
