package leader

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// heartbeatCall is a report with the channel for its answer.
type heartbeatCall struct {
	heartbeat wire.Heartbeat
	relayed   bool // by another node
	reply     chan heartbeatReply
}

// heartbeatReply to a report.
type heartbeatReply struct {
	commands *wire.Commands // the answer; nil: none
	redirect bool           // the worker should come to this node itself
	rejected rejection      // why the report is not answered
}

// term is one period of leadership. Its loop owns everything below the line; the
// goroutines that do I/O hand their results back through the inbox.
type term struct {
	leader          *Leader
	lease           *election.Lease
	startedAt       time.Time
	delegationToken atomic.Uint64 // the token under which others may renew leases; 0: none yet
	// unconfirmedCancelSince: see Leader.UnconfirmedCancelSince.
	unconfirmedCancelSince atomic.Pointer[time.Time]
	heartbeatCalls         chan heartbeatCall
	inbox                  chan func()
	done                   chan struct{}
	endOnce                sync.Once
	endReason              string

	// ---- owned by the loop ----
	ctx                    context.Context
	state                  *State
	token                  wire.FencingToken // also the revision of the leader's key
	raisingToken           bool
	recovered              bool
	schedulingEnabled      bool      // the first round of heartbeats is over
	machineListReceived    bool      // a machine list has come in
	machineListRequestedAt time.Time // when the last one was asked for
	earlyHeartbeats        map[wire.MachineID]wire.Heartbeat
	tokenAnnounced         bool      // every machine of the first list has been asked
	storeUnavailableSince  time.Time // zero: the state service is available
	quorumAckedAt          time.Time // when a quorum first held our token

	writer              *writer // of the jobs' progress
	cancellationCursor  uint64  // how much of the log of cancellations has been applied
	raiseNotBefore      time.Time
	tokenRaiseRequested bool

	scheduler *scheduler
	scaling   *scaling.Tracker
	intents   *cloudIntents   // nil: they are not recorded
	version   upgrade.Version // that is active, as far as this leader acts by it
}

func newTerm(l *Leader, lease *election.Lease) *term {
	state := newState(&l.Config.Settings, l.Catalog, lease.TakenAt(), lease.Token())
	t := &term{
		leader: l, lease: lease, token: lease.Token(), state: state,
		heartbeatCalls: make(chan heartbeatCall, 32), inbox: make(chan func(), 32), done: make(chan struct{}),
		earlyHeartbeats: map[wire.MachineID]wire.Heartbeat{},
		scaling:         scaling.New(lease.Token()),
	}
	if l.RecordIntents {
		t.intents = newCloudIntents(t)
	}
	t.scheduler = newScheduler(state, l.Tuning, t.scaling, l.Log)
	t.writer = newWriter(state, t.writeBudget, l.Log)
	return t
}

// writeBudget returns how many changes the state service's rate limit leaves now.
func (t *term) writeBudget() float64 {
	_, writes := t.leader.Store.Budget()
	return writes
}

// end ends the term; safe from any goroutine.
func (t *term) end(why string) {
	t.endOnce.Do(func() {
		t.endReason = why
		close(t.done)
	})
}

// post hands a result to the loop.
func (t *term) post(f func()) {
	select {
	case t.inbox <- f:
	case <-t.done:
	}
}

func (t *term) log() *slog.Logger { return t.leader.Log }

// run serves the term until it is over and says why.
func (t *term) run(parent context.Context) string {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	t.ctx = ctx
	go t.keepLease(ctx)
	go t.readRecords(ctx)
	go t.pollMachineList(ctx)
	go t.pollMachineSpecs(ctx)
	go t.advanceVersion(ctx)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	slow := 0
	for {
		select {
		case <-t.done:
			return t.endReason
		case <-parent.Done():
			t.end("stopped")
			return t.endReason
		case h := <-t.heartbeatCalls:
			t.onHeartbeat(h)
		case f := <-t.inbox:
			f()
		case now := <-tick.C:
			t.checkLeadership(now)
			t.announceToken()
			if slow++; slow%5 == 0 {
				t.checkMachines(now)
			}
			if slow%10 == 0 {
				t.planFleet(now)
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
	if !t.recovered || !t.lease.Deciding() {
		return
	}
	t.stopBrokenGangs()
	v := t.leader.Tuning.Get()
	if t.schedulingEnabled && t.state.cycle.due(now, wire.Seconds(v.RoundS).Duration()) {
		t.runCycle(now)
	}
	t.flush(now)
}

// checkLeadership yields to a higher token and bounds the service without the
// state service.
func (t *term) checkLeadership(now time.Time) {
	v := t.leader.Mesh.View()
	if v.Token > t.token && !t.raisingToken {
		// Our own raised token comes back through the peers only after we
		// know of it, or while raising is set.
		t.end("a higher token is known")
		return
	}
	until := v.AckedUntil(t.token, t.state.settings.Size/2+1)
	acked := now.Before(until)
	if acked && t.quorumAckedAt.IsZero() {
		t.quorumAckedAt = now
	}
	t.lease.Acknowledged(until, t.oldestAck(v, now), t.leader.delegation.Time)
	t.applyCancellations()
	if t.lease.Deciding() {
		if !t.storeUnavailableSince.IsZero() {
			t.log().Info("state service back", "token", t.token, "away", now.Sub(t.storeUnavailableSince))
			t.storeUnavailableSince, t.state.storeAvailableSince = time.Time{}, now
			t.state.requestCycle()
		}
	} else {
		if t.storeUnavailableSince.IsZero() {
			t.storeUnavailableSince = now
			t.log().Info("state service away; keeps answering reports while a majority agrees", "token", t.token, "agrees", acked)
		}
	}
	if !t.schedulingEnabled && t.recovered {
		bound := t.state.settings.Workers.HeartbeatInterval.Duration()*5/4 + 1500*time.Millisecond
		if t.enoughMachinesHeard(now) || now.Sub(t.state.termStartedAt) > bound {
			t.schedulingEnabled = true
			t.log().Info("places", "machines", len(t.state.machines), "jobs", len(t.state.jobs), "after", now.Sub(t.state.termStartedAt))
			t.state.requestCycle()
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
	if err := t.lease.Keep(ctx, t.leaseRenewed); err != nil {
		t.end(err.Error())
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
	if !t.machineListReceived && now.Sub(t.state.termStartedAt) < time.Second {
		return false
	}
	heard, missing := 0, 0
	for _, m := range t.state.machines {
		switch {
		case m.booting, m.drainReason == drainAdoptedScaleIn:
		case m.token >= t.state.firstToken:
			heard++
		case m.unansweredProbes == 0 && (m.addr != "" || !t.machineListReceived):
			missing++
		}
	}
	return missing == 0 || missing <= heard && heard > 4*maxProbesPerTick
}
