// Package restarts fences agents of restarted machines that no leader answers: in an election, or
// when the leader can't be reached from this node.
//
// A restarted machine has a new agent, which has seen no token and would execute late copies of
// earlier launches. The first contact of such an agent may be a node that does not lead. That node
// shows the agent one more than the last leader's token. A token is the revision of the leader's
// key, so this is above all tokens under which launches were sent, and not above that of the next
// leader.
//
// The last leader may still lead. It then has to raise its token, since the agent drops its commands.
// It is known to do so if it says so in its heartbeats to the other nodes. Otherwise an agent is
// fenced only while the key-value store has no leader's key.
package restarts

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// workerCount is how many agents are asked at the same time.
	workerCount = 8
	// queueLength is how many agents may wait to be asked. Further ones are left out; they report
	// again within seconds.
	queueLength = 256
	// vacancyLifetime is how long a read of the key-value store serves all agents.
	vacancyLifetime = 500 * time.Millisecond
)

// Mesh is the part of the connections between the nodes that a guard uses.
type Mesh interface {
	View() *peer.View
}

// Store is the part of the key-value store's client that a guard uses.
type Store interface {
	List(ctx context.Context, class store.RequestClass, prefix string) ([]wire.Entry, wire.Revision, error)
}

// Agents is the part of the agents' client that a guard uses.
type Agents interface {
	Send(ctx context.Context, addr string, commands wire.Commands, timeout time.Duration) (*wire.Heartbeat, int, error)
	Fence(ctx context.Context, addr string, token wire.FencingToken, heartbeat *wire.Heartbeat, mustStop func(*wire.TaskStatus) bool) (*wire.Heartbeat, error)
}

// Guard fences the agents of restarted machines that report to this node while no leader answers
// them. It is safe for concurrent use.
type Guard struct {
	mesh   Mesh
	store  Store
	agents Agents
	log    *slog.Logger
	queue  chan wire.Heartbeat

	mu sync.Mutex
	// pending are the machines whose agents are in the queue or being asked.
	pending map[wire.MachineID]bool

	// vacancy is the last read of the leader's key. Who receives it owns it until it is sent back.
	vacancy chan vacancy
}

// vacancy is what a read of the leader's key showed.
type vacancy struct {
	readAt time.Time
	// revision is the revision of the key-value store at which it had no leader's key; 0: it had one,
	// or the read failed.
	revision wire.Revision
}

// NewGuard returns a guard, which does nothing before Run.
func NewGuard(mesh Mesh, keys Store, client Agents, log *slog.Logger) *Guard {
	lastRead := make(chan vacancy, 1)
	lastRead <- vacancy{}
	return &Guard{
		vacancy: lastRead,
		mesh:    mesh,
		store:   keys,
		agents:  client,
		log:     log,
		queue:   make(chan wire.Heartbeat, queueLength),
		pending: map[wire.MachineID]bool{},
	}
}

// HasNoMemory reports whether a heartbeat is of an agent that has seen no token since it started. No
// leader has launched a task there since.
func HasNoMemory(heartbeat *wire.Heartbeat) bool { return heartbeat.Token == 0 }

// Check has the sender of a heartbeat fenced, if its machine may have restarted. The heartbeat is one
// that no leader has answered. Check does not block.
func (g *Guard) Check(heartbeat *wire.Heartbeat) {
	if !HasNoMemory(heartbeat) || heartbeat.Addr == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pending[heartbeat.Machine] {
		return
	}
	select {
	case g.queue <- *heartbeat:
		g.pending[heartbeat.Machine] = true
	default:
	}
}

// Run fences agents until the context ends.
func (g *Guard) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range workerCount {
		workers.Go(func() { g.work(ctx) })
	}
	workers.Wait()
}

func (g *Guard) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case heartbeat := <-g.queue:
			g.fence(ctx, &heartbeat)
			g.mu.Lock()
			delete(g.pending, heartbeat.Machine)
			g.mu.Unlock()
		}
	}
}

// fence fences the sender of a heartbeat, if it still has seen no token: the heartbeat may be a late
// copy.
func (g *Guard) fence(ctx context.Context, heartbeat *wire.Heartbeat) {
	token, ok := g.token(ctx)
	if !ok {
		return
	}
	// An agent that has seen a token refuses this probe, and shows the token.
	probe := wire.Commands{Token: wire.MinToken, Epoch: heartbeat.Epoch}
	answer, _, err := g.agents.Send(ctx, heartbeat.Addr, probe, agents.ProbeTimeout)
	if err != nil || answer.Machine != heartbeat.Machine || answer.Token > wire.MinToken {
		return
	}
	// What it lists from now on is the work of late copies, or of a leader that starts it again.
	fenced, err := g.agents.Fence(ctx, heartbeat.Addr, token, answer, agents.AnyTask)
	if err != nil {
		g.log.Info("agent not fenced", "machine", heartbeat.Machine, "err", err)
		return
	}
	g.log.Info("agent fenced", "machine", heartbeat.Machine, "token", fenced.Token, "tasks", len(fenced.Tasks))
}

// token returns the token to show to a restarted agent, and whether one may be shown.
func (g *Guard) token(ctx context.Context) (wire.FencingToken, bool) {
	if view := g.mesh.View(); view.Token > 0 && view.LeaderRaisesToken {
		return view.Token + 1, true
	}
	revision := g.vacantAt(ctx)
	return wire.FencingToken(revision) + 1, revision > 0
}

// vacantAt returns a revision at which the key-value store had no leader's key, 0 if none is known.
// All leaders up to then had lower tokens, and all later ones have higher ones.
func (g *Guard) vacantAt(ctx context.Context) wire.Revision {
	var last vacancy
	select {
	case last = <-g.vacancy:
	case <-ctx.Done():
		return 0
	}
	if now := time.Now(); now.Sub(last.readAt) >= vacancyLifetime {
		last = vacancy{readAt: now}
		entries, revision, err := g.store.List(ctx, store.ClassCritical, store.LeaderKey)
		if err == nil && len(entries) == 0 {
			last.revision = revision
		}
	}
	g.vacancy <- last
	return last.revision
}
