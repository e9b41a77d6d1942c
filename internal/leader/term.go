package leader

import (
	"context"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/liveness"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/leader/reconcile"
	"lilaclead/internal/leader/recovery"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling"
)

// term is one term of leadership. The goroutine of run owns its fields; the goroutines
// that do I/O post their results to it as events.
type term struct {
	*core.Loop
	leader         *Leader
	heartbeatCalls chan reconcile.HeartbeatCall
	ticks          int // since the term began
	// storeUnavailableSince is when this node stopped being sure of its lease, which it
	// renews in the key-value store. It is zero while the node is sure of it.
	storeUnavailableSince time.Time

	state      *cluster.State
	scheduler  *scheduling.Scheduler
	writer     *progress.Writer
	dispatcher *agents.Dispatcher
	scaler     *autoscaler.Scaler
	reconciler *reconcile.Reconciler
	monitor    *liveness.Monitor
	committer  *progress.Committer
	records    *recovery.Records
	inventory  *inventory
}

const (
	// heartbeatBacklog is how many heartbeats are buffered for the loop.
	heartbeatBacklog = 32

	// tickInterval is the interval of the loop's periodic checks. The less urgent ones run
	// once in the number of ticks that the constants below give.
	tickInterval           = 100 * time.Millisecond
	ticksPerMachineCheck   = 5
	ticksPerFleetPlan      = 10
	ticksPerStatusLogEntry = 100
)

// newTerm returns the term of a lease. It does nothing before run.
func newTerm(l *Leader, lease *election.Lease) *term {
	t := &term{
		Loop:           core.NewLoop(lease, l.Log, &l.Metrics),
		leader:         l,
		heartbeatCalls: make(chan reconcile.HeartbeatCall, heartbeatBacklog),
		state:          cluster.NewState(&l.Config.Settings, l.Catalog, lease.AcquiredAt(), lease.Token()),
	}
	t.state.Delegation = l.delegationBounds
	tracker := scaling.NewTracker(lease.Token())
	t.scheduler = scheduling.NewScheduler(t.state, l.Tuning, tracker, l.Log)
	t.writer = progress.NewWriter(t.state, l.remainingWrites, l.Log)
	t.dispatcher = &agents.Dispatcher{Loop: t.Loop, State: t.state, Client: l.agents}
	t.scaler = autoscaler.NewScaler(t.Loop, t.state, t.scheduler, tracker, autoscaler.Options{
		Cloud:         l.Cloud,
		RecordIntents: l.RecordIntents,
		Versioned:     l.Versions != nil,
	})
	t.reconciler = reconcile.NewReconciler(t.Loop, t.state, l.delegate, t.dispatcher, t.scaler)
	t.monitor = t.newMonitor()
	t.committer = t.newCommitter()
	t.records = t.newRecords()
	t.inventory = &inventory{Loop: t.Loop, state: t.state, cloud: l.Cloud, dispatcher: t.dispatcher}
	return t
}

func (t *term) newMonitor() *liveness.Monitor {
	return &liveness.Monitor{
		Loop:       t.Loop,
		State:      t.state,
		Mesh:       t.leader.Mesh,
		Peers:      t.leader.Config.Peers,
		Writer:     t.writer,
		Dispatcher: t.dispatcher,
		Scaler:     t.scaler,
	}
}

func (t *term) newCommitter() *progress.Committer {
	return &progress.Committer{
		Loop:       t.Loop,
		State:      t.state,
		Store:      t.leader.Store,
		Mesh:       t.leader.Mesh,
		Writer:     t.writer,
		Dispatcher: t.dispatcher,
	}
}

func (t *term) newRecords() *recovery.Records {
	return &recovery.Records{
		Loop:           t.Loop,
		State:          t.state,
		Store:          t.leader.Store,
		Cancels:        t.leader.Cancels,
		UndecodableLog: t.leader.UndecodableLog,
		Progress:       progress.NewReader(t.state, t.writer, t.leader.UndecodableLog),
		Dispatcher:     t.dispatcher,
		Reconciler:     t.reconciler,
		Versions:       t.leader.Versions,
		Intents:        t.scaler.Intents,
	}
}

// remainingWrites returns how many writes the key-value store's rate limit allows now.
func (l *Leader) remainingWrites() float64 {
	_, writes := l.Store.RemainingBudget()
	return writes
}

// run serves the term until it is over, and returns why it ended.
func (t *term) run(parent context.Context) string {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	defer func() { t.Attempts.Flush(t.Fencing.Token) }()
	t.startBackgroundWork(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.Done:
			return t.EndReason()
		case <-parent.Done():
			t.End("stopped")
			return t.EndReason()
		case call := <-t.heartbeatCalls:
			t.reconciler.OnHeartbeat(call)
		case event := <-t.Events:
			t.handle(event)
		case now := <-tick.C:
			t.onTick(now)
		}
		t.runDueWork(time.Now())
	}
}

// startBackgroundWork starts the goroutines that run until the term ends.
func (t *term) startBackgroundWork(ctx context.Context) {
	t.Begin(ctx)
	t.Spawn(t.keepLease)
	t.Spawn(t.records.Run)
	t.Spawn(t.inventory.pollMachineList)
	t.Spawn(t.inventory.pollMachineSpecs)
	t.Spawn(t.advanceVersion)
}

// onTick runs the periodic checks that are due.
func (t *term) onTick(now time.Time) {
	t.ticks++
	t.Attempts.Flush(t.Fencing.Token)
	t.checkLeadership(now)
	t.dispatcher.AnnounceToken()
	if t.ticks%ticksPerMachineCheck == 0 {
		t.monitor.CheckMachines(now)
	}
	if t.ticks%ticksPerFleetPlan == 0 {
		t.scaler.PlanFleet(now)
	}
	if t.ticks%ticksPerStatusLogEntry == 0 {
		t.logStatus(now)
	}
}
