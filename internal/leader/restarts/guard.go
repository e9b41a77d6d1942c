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
//
// A copy may come before the first contact, as when the first report goes to a node that is down. The
// agent then has a token and a task, but has sent few messages yet. So has a machine that has just
// joined. The records tell them apart: an attempt that they do not have on that machine was not
// launched by a present leader, and is stopped.
package restarts

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

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
	// youngSequence is the highest sequence number of an agent that counts as just started: it covers a
	// copy and the reports of its first seconds.
	youngSequence = 6
	// maxCheckedTasks is how many tasks of one agent are looked up in the records.
	maxCheckedTasks = 8
	// checkTimeout bounds the look-up of one agent's tasks.
	checkTimeout = 1500 * time.Millisecond
	// rateDivisor gives the look-ups of one node this part of the key-value store's rate limit, so that
	// an election and its recovery have the rest.
	rateDivisor = 20
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
	AttemptIsActive(ctx context.Context, task wire.TaskID, attempt wire.AttemptNumber, machine wire.MachineID) (bool, error)
}

// Agents is the part of the agents' client that a guard uses.
type Agents interface {
	Send(ctx context.Context, addr string, commands wire.Commands, timeout time.Duration) (*wire.Heartbeat, int, error)
	Fence(ctx context.Context, addr string, token wire.FencingToken, heartbeat *wire.Heartbeat, mustStop func(*wire.TaskStatus) bool) (*wire.Heartbeat, error)
}

// Cancellations tells which jobs are known to be cancelled.
type Cancellations interface {
	ConfirmedAt(id wire.JobID) (time.Time, bool)
}

// Config holds what a guard uses.
type Config struct {
	Mesh    Mesh
	Store   Store
	Agents  Agents
	Cancels Cancellations
	// StoreRPS is the key-value store's limit of requests per second.
	StoreRPS float64
	Log      *slog.Logger
}

// Guard fences the agents of restarted machines that report to this node while no leader answers
// them. It is safe for concurrent use.
type Guard struct {
	Config
	queue chan wire.Heartbeat
	// lookups limits the rate of look-ups in the records, in requests.
	lookups *rate.Limiter

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
func NewGuard(c Config) *Guard {
	requestsPerSecond := max(1, c.StoreRPS/rateDivisor)
	burst := max(store.ReadsPerAttempt, int(requestsPerSecond))
	lastRead := make(chan vacancy, 1)
	lastRead <- vacancy{}
	return &Guard{
		Config:  c,
		vacancy: lastRead,
		queue:   make(chan wire.Heartbeat, queueLength),
		lookups: rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
		pending: map[wire.MachineID]bool{},
	}
}

// HasNoMemory reports whether a heartbeat is of an agent that has seen no token since it started. No
// leader has launched a task there since.
func HasNoMemory(heartbeat *wire.Heartbeat) bool { return heartbeat.Token == 0 }

// mayHaveRestarted reports whether a heartbeat may be of the agent of a restarted machine, and of
// interest: the agent has seen no token, or it has just started and runs tasks.
func mayHaveRestarted(heartbeat *wire.Heartbeat) bool {
	young := heartbeat.Epoch == 1 && heartbeat.Sequence <= youngSequence
	return HasNoMemory(heartbeat) || young && heartbeat.HasUnfinishedTask()
}

// Check has the sender of a heartbeat fenced, if its machine may have restarted. The heartbeat is one
// that no leader has answered. Check does not block.
func (g *Guard) Check(heartbeat *wire.Heartbeat) {
	if !mayHaveRestarted(heartbeat) || heartbeat.Addr == "" {
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

// Run fences agents until the context ends, up to workerCount at the same time.
func (g *Guard) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	slots := make(chan struct{}, workerCount)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case heartbeat := <-g.queue:
			workers.Go(func() {
				defer func() { <-slots }()
				g.examine(ctx, &heartbeat)
				g.mu.Lock()
				delete(g.pending, heartbeat.Machine)
				g.mu.Unlock()
			})
		}
	}
}

// examine asks the sender of a heartbeat for its present state, since the heartbeat may be a late copy,
// and fences it if its machine has restarted.
func (g *Guard) examine(ctx context.Context, heartbeat *wire.Heartbeat) {
	// An agent that has seen a token refuses this probe, and shows the token.
	probe := wire.Commands{Token: wire.MinToken, Epoch: heartbeat.Epoch}
	present, _, err := g.Agents.Send(ctx, heartbeat.Addr, probe, agents.ProbeTimeout)
	switch {
	case err != nil || present.Machine != heartbeat.Machine:
	case present.Token <= wire.MinToken && !present.HasUnfinishedTask():
		// What it lists from now on is the work of late copies, or of a leader that starts it again.
		g.fence(ctx, present, agents.AnyTask)
	case mayHaveRestarted(present):
		g.fenceIfStale(ctx, present)
	}
}

// fenceIfStale fences an agent that runs an attempt which the records do not have on its machine. It
// stops such attempts, and those that the agent has started since.
func (g *Guard) fenceIfStale(ctx context.Context, present *wire.Heartbeat) {
	checked, stale := 0, 0
	spared := map[attempt]bool{}
	for i := range present.Tasks {
		status := &present.Tasks[i]
		if status.Phase == wire.PhaseExited {
			continue
		}
		if checked++; checked <= maxCheckedTasks && g.recordOf(ctx, status, present.Machine) == recordNone {
			stale++
			continue
		}
		spared[attemptOf(status)] = true
	}
	if stale > 0 {
		g.fence(ctx, present, func(status *wire.TaskStatus) bool { return !spared[attemptOf(status)] })
	}
}

// attempt identifies an attempt in a heartbeat.
type attempt struct {
	task   string
	number wire.AttemptNumber
}

func attemptOf(status *wire.TaskStatus) attempt { return attempt{status.Task, status.Attempt} }

// recordState is what the records say of an attempt on a machine.
type recordState int

const (
	recordUnknown recordState = iota // the records could not be read
	recordActive                     // the attempt may be on the machine
	recordNone                       // it has no business there, or its job is cancelled
)

// recordOf looks an attempt up, unless its job is known to be cancelled.
func (g *Guard) recordOf(ctx context.Context, status *wire.TaskStatus, machine wire.MachineID) recordState {
	task, err := wire.ParseTaskID(status.Task)
	if err != nil {
		return recordUnknown
	}
	if _, cancelled := g.Cancels.ConfirmedAt(task.Job); cancelled {
		return recordNone
	}
	if !g.lookups.AllowN(time.Now(), store.ReadsPerAttempt) {
		return recordUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	active, err := g.Store.AttemptIsActive(ctx, task, status.Attempt, machine)
	switch {
	case err != nil:
		return recordUnknown
	case active:
		return recordActive
	}
	return recordNone
}

// fence fences an agent and stops the tasks that mustStop selects. If no higher token may be shown, it
// only stops them, with the token that the agent has.
func (g *Guard) fence(ctx context.Context, present *wire.Heartbeat, mustStop func(*wire.TaskStatus) bool) {
	token, ok := g.token(ctx)
	if !ok && present.Token <= wire.MinToken {
		return
	}
	fenced, err := g.Agents.Fence(ctx, present.Addr, max(token, present.Token), present, mustStop)
	if err != nil {
		g.Log.Info("agent not fenced", "machine", present.Machine, "err", err)
		return
	}
	g.Log.Info("agent fenced", "machine", present.Machine, "token", fenced.Token, "tasks", len(fenced.Tasks))
}

// token returns the token to show to a restarted agent, and whether one may be shown.
func (g *Guard) token(ctx context.Context) (wire.FencingToken, bool) {
	if view := g.Mesh.View(); view.Token > 0 && view.LeaderRaisesToken {
		return view.Token + 1, true
	}
	if revision := g.vacantAt(ctx); revision > 0 {
		return wire.FencingToken(revision) + 1, true
	}
	return 0, false
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
		entries, revision, err := g.Store.List(ctx, store.ClassCritical, store.LeaderKey)
		if err == nil && len(entries) == 0 {
			last.revision = revision
		}
	}
	g.vacancy <- last
	return last.revision
}
