package leader

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// known is a ledger of one node that has read the state service.
func known() *cancels.Log {
	l := cancels.New(nil, time.Minute)
	l.RecordRead(time.Now())
	return l
}

// leaseFor is a lease that was just taken and decides for so long.
func leaseFor(l *Leader, token wire.FencingToken, d time.Duration) *election.Lease {
	now := time.Now()
	return election.NewLease(l.candidate, election.Terms{Token: token, TakenAt: now, HeldUntil: now.Add(d)})
}

// setMesh gives a term another view of its peers.
func setMesh(tm *term, mesh *peer.Mesh) {
	tm.leader.Mesh, tm.dispatcher.Agents.Mesh, tm.monitor.Mesh, tm.committer.Mesh = mesh, mesh, mesh, mesh
}

// setStore gives a term another state service.
func setStore(tm *term, client *store.Client) {
	tm.leader.Store, tm.committer.Store, tm.records.store = client, client, client
}

// rig is a term without I/O, with one job of one task held on one machine.
func rig(tb testing.TB) (*term, *cluster.Machine, *cluster.Attempt) {
	tb.Helper()
	cfg := &config.Config{Settings: config.Settings{Size: 3, Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41}, State: config.State{ValueKB: 16}}}
	l := &Leader{Dependencies: Dependencies{Config: cfg, Cancels: known(), Tuning: tuning.NewCurrent(), Catalog: &cluster.MachineCatalog{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: core.Metrics{TaskMoved: func(string) {}, StartDelay: func(string, float64) {}, Fleet: func(string, int) {}, Machines: func(map[string]int) {}}}}
	l.delegationBounds.MaxCancelAge = delegation.BoundsOf(cfg.Settings.Workers).MaxCancelAge
	l.delegate = newDelegate(l.Dependencies, l.delegationBounds)
	l.agents = &agents.Client{}
	tm := newTerm(l, leaseFor(l, 50, time.Hour))
	tm.state.Recovered = true
	j := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1}, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
	tm.state.Jobs[j.Spec.ID] = j
	m := tm.state.GetOrAddMachine("n-1")
	m.Epoch, m.Sequence, m.Token, m.FirstHeartbeatAt = 1, 10, 50, time.Now()
	a := &cluster.Attempt{Job: j, Chunk: j.Chunk(0), Index: 0, Number: 7, Machine: m}
	a.Chunk.Add(a)
	return tm, m, a
}

func said(shift wire.AgentEpoch, tally wire.Sequence, baton wire.FencingToken, parts ...wire.TaskState) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Epoch: shift, Sequence: tally, Token: baton, Tasks: parts}
}

// When a task that a report lacks counts as gone: only when no launch of it
// can still take effect.
func TestAbsentIsNotGone(t *testing.T) {
	cases := []struct {
		name  string
		setup func(*cluster.Attempt)
		rep   *wire.Heartbeat
		hello bool
		gone  bool
	}{
		{"inherited, the worker has not seen our token", func(a *cluster.Attempt) { a.Inherited = true }, said(1, 11, 49), true, false},
		{"inherited, our token seen", func(a *cluster.Attempt) { a.Inherited = true }, said(1, 11, 50), true, true},
		{"an old report", func(a *cluster.Attempt) { a.Inherited = true }, said(1, 9, 50), true, false},
		{"stored, not yet written", func(a *cluster.Attempt) { a.Unstored = true }, said(1, 11, 50), true, false},
		{"stored, never sent", func(a *cluster.Attempt) {}, said(1, 11, 50), true, false},
		{"command under way", func(a *cluster.Attempt) { a.LaunchSent, a.LaunchEpoch, a.LaunchInFlight = true, 1, true }, said(1, 11, 50), true, false},
		{"command lost, token not raised", func(a *cluster.Attempt) {
			a.Observed, a.LaunchSent, a.LaunchEpoch, a.LaunchUnanswered, a.UnansweredLaunchToken = true, true, 1, true, 50
		}, said(1, 11, 50), true, false},
		{"command lost, token raised", func(a *cluster.Attempt) {
			a.Observed, a.LaunchSent, a.LaunchEpoch, a.LaunchUnanswered, a.UnansweredLaunchToken = true, true, 1, true, 50
		}, said(1, 11, 51), true, true},
		{"command lost, session over", func(a *cluster.Attempt) {
			a.Observed, a.LaunchSent, a.LaunchEpoch, a.LaunchUnanswered, a.UnansweredLaunchToken = true, true, 1, true, 50
		}, said(2, 1, 50), true, true},
		{"in an answer that the worker may still execute", func(a *cluster.Attempt) {
			a.Observed, a.LaunchSent, a.LaunchEpoch, a.ReplyEpoch, a.ReplySequence = true, true, 1, 1, 10
		}, said(1, 11, 50), false, false},
		{"in an answer, and the next report is here", func(a *cluster.Attempt) {
			a.Observed, a.LaunchSent, a.LaunchEpoch, a.ReplyEpoch, a.ReplySequence = true, true, 1, 1, 10
		}, said(1, 11, 50), true, true},
		{"the session is over", func(a *cluster.Attempt) { a.LaunchSent, a.LaunchEpoch = true, 1 }, said(2, 1, 50), true, true},
	}
	for _, c := range cases {
		tm, m, a := rig(t)
		c.setup(a)
		tm.reconciler.Reconcile(m, c.rep, c.hello, time.Now())
		if gone := a.Job.ActiveTasks == 0; gone != c.gone {
			t.Errorf("%s: gone %v, want %v", c.name, gone, c.gone)
		}
	}
}

// The safe wait after a silence, at its edge: a machine's tasks count until
// its lease has run out by the slowest clock, from when anybody could have
// answered it last.
func TestLeaseRunsOutAtItsEdge(t *testing.T) {
	life := 16*time.Second + 16*time.Second/500 + 1500*time.Millisecond
	cases := []struct {
		name  string
		setup func(tm *term, m *cluster.Machine)
		from  func(tm *term, m *cluster.Machine) time.Time
	}{
		{"answered by us", func(tm *term, m *cluster.Machine) { m.LastReplyAt = tm.state.TermStartedAt.Add(5 * time.Second) },
			func(_ *term, m *cluster.Machine) time.Time { return m.LastReplyAt }},
		{"only probed: an earlier leader may have answered until it saw our token", func(tm *term, m *cluster.Machine) { m.TokenSeenAt = tm.state.TermStartedAt.Add(time.Second) },
			func(_ *term, m *cluster.Machine) time.Time { return m.TokenSeenAt }},
		{"in a new session, which may have begun just before we heard of it", func(tm *term, m *cluster.Machine) {
			m.LastReplyAt, m.EpochSince = tm.state.TermStartedAt, tm.state.TermStartedAt.Add(15*time.Second)
		},
			func(_ *term, m *cluster.Machine) time.Time { return m.EpochSince }},
		{"never heard, a majority holds our token", func(tm *term, m *cluster.Machine) {
			m.Token, tm.state.QuorumAckedAt = 0, tm.state.TermStartedAt.Add(time.Second)
		},
			func(tm *term, _ *cluster.Machine) time.Time { return tm.state.QuorumAckedAt.Add(peer.AckLifetime) }},
		{"never heard, no majority", func(tm *term, m *cluster.Machine) { m.Token = 0 },
			func(tm *term, _ *cluster.Machine) time.Time { return tm.state.TermStartedAt.Add(peer.OutageLimit) }},
	}
	for _, c := range cases {
		tm, m, a := rig(t)
		c.setup(tm, m)
		edge := c.from(tm, m).Add(life)
		tm.monitor.ExpireLease(m, edge.Add(-time.Millisecond))
		if a.Job.ActiveTasks != 1 {
			t.Errorf("%s: gone before the lease ends", c.name)
		}
		tm.monitor.ExpireLease(m, edge)
		if a.Job.ActiveTasks != 0 {
			t.Errorf("%s: still held after the lease", c.name)
		}
	}
}

// An attempt is forgotten only when its outcome is stored and no launch of
// it can still arrive; a blocked one asks for a higher token.
func TestForget(t *testing.T) {
	exited := wire.TaskState{Task: "req-1/0", Attempt: 7, Phase: wire.PhaseExited, Cause: wire.CauseStopped}
	for name, c := range map[string]struct {
		setup  func(tm *term, m *cluster.Machine, a *cluster.Attempt)
		forget bool
		raise  bool
	}{
		"stored":         {func(*term, *cluster.Machine, *cluster.Attempt) {}, true, false},
		"not yet stored": {func(_ *term, _ *cluster.Machine, a *cluster.Attempt) { a.Chunk.Dirty = true }, false, false},
		"being stored":   {func(_ *term, _ *cluster.Machine, a *cluster.Attempt) { a.Chunk.WriteInFlight = true }, false, false},
		"a launch is on its way": {func(_ *term, m *cluster.Machine, _ *cluster.Attempt) {
			m.UnansweredLaunch = cluster.UnansweredCommand{Token: 50, Epoch: 1}
		}, false, true},
		"it died with its token": {func(_ *term, m *cluster.Machine, _ *cluster.Attempt) {
			m.UnansweredLaunch = cluster.UnansweredCommand{Token: 49, Epoch: 1}
		}, true, false},
	} {
		tm, m, a := rig(t)
		rep := said(1, 11, 50, exited)
		tm.reconciler.Reconcile(m, rep, true, time.Now())
		a.Chunk.Dirty = false
		c.setup(tm, m, a)
		got := false
		for _, o := range tm.dispatcher.CommandsFor(m, rep, time.Now()) {
			got = got || o.Verb == wire.Forget && o.Attempt == 7
		}
		if got != c.forget || tm.Fencing.RaiseRequested != c.raise {
			t.Errorf("%s: forget %v, raise %v", name, got, tm.Fencing.RaiseRequested)
		}
	}
}

// A task that is on a machine without being wanted there is stopped, and its
// room is not given away.
func TestStray(t *testing.T) {
	tm, m, _ := rig(t)
	tm.leader.Catalog.Set([]wire.MachineSpec{{Name: "c4", CPUs: 4, MemoryGB: 16}})
	rep := said(1, 11, 50, wire.TaskState{Task: "req-1/0", Attempt: 7, Phase: wire.PhaseRunning}, wire.TaskState{Task: "req-77/0", Attempt: 1, Phase: wire.PhaseRunning})
	rep.Type = "c4"
	tm.reconciler.Reconcile(m, rep, true, time.Now())
	if f := tm.state.FreeResources(m); f.CPUs != 0 {
		t.Errorf("%g cpus free beside a task of unknown size", f.CPUs)
	}
	halts := 0
	for _, o := range tm.dispatcher.CommandsFor(m, rep, time.Now()) {
		if o.Verb == wire.Stop && o.Task == "req-77/0" {
			halts++
		}
	}
	if halts != 1 {
		t.Errorf("%d halts", halts)
	}
}

// Images are inferred from tasks past their fetch, and the least recently
// used are taken to be pushed out.
func TestImagesInferred(t *testing.T) {
	var c cluster.ImageCache
	t0 := time.Unix(0, 0)
	for i, id := range []wire.ImageID{"a", "b", "a", "c"} {
		c.Touch(id, 4, 10, t0.Add(time.Duration(i)*time.Second))
	}
	if _, a := c.Images["a"]; !a {
		t.Error("a was used after b and is gone")
	}
	if _, b := c.Images["b"]; b {
		t.Error("b does not fit any more and is still there")
	}
}

// A leader that suspects many machines suspects wrongly: what shows on a
// quarter of them is not the machines' fault.
func TestSuspicionIsBounded(t *testing.T) {
	tm, m, _ := rig(t)
	m.DrainReason = "faulty"
	for _, id := range []wire.MachineID{"n-2", "n-3", "n-4"} {
		tm.state.GetOrAddMachine(id)
	}
	if tm.reconciler.MayDrainSuspect() {
		t.Error("a second of four machines may be condemned")
	}
	for _, id := range []wire.MachineID{"n-5", "n-6", "n-7", "n-8"} {
		tm.state.GetOrAddMachine(id)
	}
	if !tm.reconciler.MayDrainSuspect() {
		t.Error("a second of eight machines may not be condemned")
	}
}
