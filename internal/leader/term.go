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
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// term is one period of leadership. Its loop owns its parts; the goroutines that do I/O
// hand their results back as events.
type term struct {
	*core.Loop
	leader                *Leader
	heartbeatCalls        chan reconcile.Call
	storeUnavailableSince time.Time // zero: the state service is available

	state      *cluster.State
	scheduler  *scheduling.Scheduler
	writer     *progress.Writer
	dispatcher *agents.Dispatcher
	scaler     *autoscaler.Scaler
	reconciler *reconcile.Reconciler
	monitor    *liveness.Monitor
	committer  *progress.Committer
	records    *records
	inventory  *inventory
}

// heartbeatBacklog is how many heartbeats may wait for the loop.
const heartbeatBacklog = 32

func newTerm(l *Leader, lease *election.Lease) *term {
	loop := core.NewLoop(lease, l.Log, &l.Metrics)
	state := cluster.NewState(&l.Config.Settings, l.Catalog, lease.TakenAt(), lease.Token())
	state.Delegation = l.delegationBounds
	tracker := scaling.New(lease.Token())
	scheduler := scheduling.NewScheduler(state, l.Tuning, tracker, l.Log)
	writer := progress.NewWriter(state, l.writeBudget, l.Log)
	dispatcher := &agents.Dispatcher{Loop: loop, State: state, Agents: l.agents}
	scaler := autoscaler.NewScaler(loop, state, scheduler, tracker,
		autoscaler.Options{Cloud: l.Cloud, RecordIntents: l.RecordIntents, Versioned: l.Versions != nil})
	reconciler := reconcile.NewReconciler(loop, state, l.delegate, dispatcher, scaler)
	return &term{
		Loop: loop, leader: l, heartbeatCalls: make(chan reconcile.Call, heartbeatBacklog),
		state: state, scheduler: scheduler, writer: writer, dispatcher: dispatcher, scaler: scaler, reconciler: reconciler,
		monitor:   &liveness.Monitor{Loop: loop, State: state, Mesh: l.Mesh, Peers: l.Config.Peers, Writer: writer, Dispatcher: dispatcher, Scaler: scaler},
		committer: &progress.Committer{Loop: loop, State: state, Store: l.Store, Mesh: l.Mesh, Writer: writer, Dispatcher: dispatcher},
		records: &records{Loop: loop, state: state, store: l.Store, cancels: l.Cancels, versions: l.Versions, undecodable: l.Undecodable,
			progress: progress.NewReader(state, writer, l.Undecodable), dispatcher: dispatcher, reconciler: reconciler, intents: scaler.Intents},
		inventory: &inventory{Loop: loop, state: state, cloud: l.Cloud, dispatcher: dispatcher},
	}
}

// writeBudget returns how many changes the state service's rate limit leaves now.
func (l *Leader) writeBudget() float64 {
	_, writes := l.Store.Budget()
	return writes
}

// run serves the term until it is over and says why.
func (t *term) run(parent context.Context) string {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	t.Begin(ctx)
	t.Spawn(t.keepLease)
	t.Spawn(t.records.readRecords)
	t.Spawn(t.inventory.pollMachineList)
	t.Spawn(t.inventory.pollMachineSpecs)
	t.Spawn(t.advanceVersion)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	slow := 0
	for {
		select {
		case <-t.Done:
			return t.EndReason()
		case <-parent.Done():
			t.End("stopped")
			return t.EndReason()
		case h := <-t.heartbeatCalls:
			t.reconciler.OnHeartbeat(h)
		case e := <-t.Events:
			t.handle(e)
		case now := <-tick.C:
			t.checkLeadership(now)
			t.dispatcher.AnnounceToken()
			if slow++; slow%5 == 0 {
				t.monitor.CheckMachines(now)
			}
			if slow%10 == 0 {
				t.scaler.PlanFleet(now)
			}
			if slow%100 == 0 {
				t.logStatus(now)
			}
		}
		t.runDueWork(time.Now())
	}
}

// runDueWork does what has become due after an event: a round, a write.
func (t *term) runDueWork(now time.Time) {
	if !t.state.Recovered || !t.Lease.Deciding() {
		return
	}
	t.dispatcher.StopBrokenGangs()
	v := t.leader.Tuning.Get()
	if t.state.SchedulingEnabled && t.state.Cycle.Due(now, wire.Seconds(v.RoundS).Duration()) {
		t.runCycle(now)
	}
	t.committer.Flush(now)
}

// checkLeadership yields to a higher token and bounds the service without the
// state service.
func (t *term) checkLeadership(now time.Time) {
	v := t.leader.Mesh.View()
	if v.Token > t.Fencing.Token && !t.Fencing.Raising {
		// Our own raised token comes back through the peers only after we
		// know of it, or while raising is set.
		t.End("a higher token is known")
		return
	}
	until := v.AckedUntil(t.Fencing.Token, t.state.Settings.Size/2+1)
	acked := now.Before(until)
	if acked && t.state.QuorumAckedAt.IsZero() {
		t.state.QuorumAckedAt = now
	}
	t.Lease.Acknowledged(until, t.oldestAck(v, now), t.state.Delegation.Time)
	t.records.applyCancellations()
	if t.Lease.Deciding() {
		if !t.storeUnavailableSince.IsZero() {
			t.Log.Info("state service back", "token", t.Fencing.Token, "away", now.Sub(t.storeUnavailableSince))
			t.storeUnavailableSince, t.state.StoreAvailableSince = time.Time{}, now
			t.state.RequestCycle()
		}
	} else {
		if t.storeUnavailableSince.IsZero() {
			t.storeUnavailableSince = now
			t.Log.Info("state service away; keeps answering reports while a majority agrees", "token", t.Fencing.Token, "agrees", acked)
		}
	}
	if !t.state.SchedulingEnabled && t.state.Recovered {
		bound := t.state.Settings.Workers.HeartbeatInterval.Duration()*5/4 + 1500*time.Millisecond
		if t.enoughMachinesHeard(now) || now.Sub(t.state.TermStartedAt) > bound {
			t.state.SchedulingEnabled = true
			t.Log.Info("places", "machines", len(t.state.Machines), "jobs", len(t.state.Jobs), "after", now.Sub(t.state.TermStartedAt))
			t.state.RequestCycle()
		}
	}
}

// oldestAck is when the oldest of the other nodes' last acknowledgements was asked
// for.
func (t *term) oldestAck(v *peer.View, now time.Time) time.Time {
	oldest := now
	for _, o := range t.leader.Config.Peers {
		if at := v.Peers[o.HostName].AckSent; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// keepLease renews the leadership and ends the term when it is lost.
func (t *term) keepLease(ctx context.Context) {
	if err := t.Lease.Keep(ctx, t.onLeaseRenewed); err != nil {
		t.End(err.Error())
	}
}

// enoughMachinesHeard tells whether the machines that should be up have reported with
// our token: all of a small deployment, and half of a large one, where
// showing the token to the last takes seconds. One that is in no list or did
// not answer a probe is not waited for. What was not heard takes nothing new,
// and its tasks count until it is known to be gone. Without a list (the
// cloud's interface may be down for minutes) it is the machines of which
// something is stored that are waited for.
func (t *term) enoughMachinesHeard(now time.Time) bool {
	if !t.state.MachineListReceived && now.Sub(t.state.TermStartedAt) < time.Second {
		return false
	}
	heard, missing := 0, 0
	for _, m := range t.state.Machines {
		switch {
		case m.Booting, m.DrainReason == cluster.DrainAdoptedScaleIn:
		case m.Token >= t.state.FirstToken:
			heard++
		case m.UnansweredProbes == 0 && (m.Addr != "" || !t.state.MachineListReceived):
			missing++
		}
	}
	return missing == 0 || missing <= heard && heard > 4*agents.MaxProbesPerTick
}
