package leader

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// A task that is missing from a heartbeat counts as ended only if no launch of it can still
// take effect.
func TestMissingTaskEndsOnlyWhenNoLaunchCanTakeEffect(t *testing.T) {
	unanswered := func(a *cluster.Attempt) {
		a.SeenInHeartbeat, a.LaunchSent, a.LaunchEpoch, a.LaunchUnanswered, a.UnansweredLaunchToken = true, true, 1, true, 50
	}
	inResponse := func(a *cluster.Attempt) {
		a.SeenInHeartbeat, a.LaunchSent, a.LaunchEpoch, a.ResponseEpoch, a.ResponseSequence = true, true, 1, 1, 10
	}
	inherited := func(a *cluster.Attempt) { a.Inherited = true }
	cases := []struct {
		name      string
		setup     func(*cluster.Attempt)
		heartbeat *wire.Heartbeat
		direct    bool // sent by the agent itself, not the response to a command
		wantEnded bool
	}{
		{"inherited, the agent has not seen the term's token", inherited, heartbeatFrom(1, 11, 49), true, false},
		{"inherited, the term's token seen", inherited, heartbeatFrom(1, 11, 50), true, true},
		{"an old heartbeat", inherited, heartbeatFrom(1, 9, 50), true, false},
		{"not yet stored", func(a *cluster.Attempt) { a.Unstored = true }, heartbeatFrom(1, 11, 50), true, false},
		{"stored, never sent", func(a *cluster.Attempt) {}, heartbeatFrom(1, 11, 50), true, false},
		{"command in flight", func(a *cluster.Attempt) { a.LaunchSent, a.LaunchEpoch, a.LaunchInFlight = true, 1, true }, heartbeatFrom(1, 11, 50), true, false},
		{"command unanswered, token not raised", unanswered, heartbeatFrom(1, 11, 50), true, false},
		{"command unanswered, token raised", unanswered, heartbeatFrom(1, 11, 51), true, true},
		{"command unanswered, epoch over", unanswered, heartbeatFrom(2, 1, 50), true, true},
		{"in a response that the agent may still execute", inResponse, heartbeatFrom(1, 11, 50), false, false},
		{"in a response, and the next heartbeat has come", inResponse, heartbeatFrom(1, 11, 50), true, true},
		{"epoch over", func(a *cluster.Attempt) { a.LaunchSent, a.LaunchEpoch = true, 1 }, heartbeatFrom(2, 1, 50), true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, m, a := newTestTerm(t)
			c.setup(a)
			tm.reconciler.Reconcile(m, c.heartbeat, c.direct, time.Now())
			if ended := a.Job.ActiveTasks == 0; ended != c.wantEnded {
				t.Errorf("ended: got %v, want %v", ended, c.wantEnded)
			}
		})
	}
}

// An agent is told to forget an attempt only when its outcome is stored and no launch of it
// can still arrive. If one can, the term requests a higher token, which invalidates it.
func TestAttemptIsForgottenOnceItsOutcomeIsStored(t *testing.T) {
	exited := wire.TaskStatus{Task: "req-1/0", Attempt: 7, Phase: wire.PhaseExited, Cause: wire.CauseStopped}
	unansweredUnder := func(token wire.FencingToken) func(*cluster.Machine, *cluster.Attempt) {
		return func(m *cluster.Machine, _ *cluster.Attempt) {
			m.UnansweredLaunch = cluster.UnansweredCommand{Token: token, Epoch: 1}
		}
	}
	cases := []struct {
		name       string
		setup      func(*cluster.Machine, *cluster.Attempt)
		wantForget bool
		wantRaise  bool
	}{
		{"stored", func(*cluster.Machine, *cluster.Attempt) {}, true, false},
		{"not yet stored", func(_ *cluster.Machine, a *cluster.Attempt) { a.Chunk.Dirty = true }, false, false},
		{"being stored", func(_ *cluster.Machine, a *cluster.Attempt) { a.Chunk.WriteInFlight = true }, false, false},
		{"a launch may still arrive", unansweredUnder(50), false, true},
		{"the launch's token is outdated", unansweredUnder(49), true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, m, a := newTestTerm(t)
			heartbeat := heartbeatFrom(1, 11, 50, exited)
			tm.reconciler.Reconcile(m, heartbeat, true, time.Now())
			a.Chunk.Dirty = false
			c.setup(m, a)
			forget := false
			for _, command := range tm.dispatcher.HeartbeatResponseCommands(m, heartbeat, time.Now()) {
				forget = forget || command.Verb == wire.VerbForget && command.Attempt == 7
			}
			if raise := tm.Fencing.RaiseRequested; forget != c.wantForget || raise != c.wantRaise {
				t.Errorf("got forget %v and raise %v, want %v and %v", forget, raise, c.wantForget, c.wantRaise)
			}
		})
	}
}

func TestUnknownTaskIsStoppedAndItsResourcesKept(t *testing.T) {
	tm, m, _ := newTestTerm(t)
	tm.leader.Catalog.Set([]wire.MachineSpec{{Name: "c4", CPUs: 4, MemoryGB: 16}})
	heartbeat := heartbeatFrom(1, 11, 50,
		wire.TaskStatus{Task: "req-1/0", Attempt: 7, Phase: wire.PhaseRunning},
		wire.TaskStatus{Task: "req-77/0", Attempt: 1, Phase: wire.PhaseRunning})
	heartbeat.Type = "c4"
	tm.reconciler.Reconcile(m, heartbeat, true, time.Now())
	if free := tm.state.FreeResources(m); free.CPUs != 0 {
		t.Errorf("free CPUs beside a task of unknown size: got %g, want 0", free.CPUs)
	}
	stops := 0
	for _, command := range tm.dispatcher.HeartbeatResponseCommands(m, heartbeat, time.Now()) {
		if command.Verb == wire.VerbStop && command.Task == "req-77/0" {
			stops++
		}
	}
	if stops != 1 {
		t.Errorf("stops of the unknown task: got %d, want 1", stops)
	}
}

// The leader infers from the tasks that have fetched an image which images a machine has
// cached. It assumes that the least recently used ones are evicted.
func TestLeastRecentlyUsedImageIsEvicted(t *testing.T) {
	var cache cluster.ImageCache
	start := time.Unix(0, 0)
	for i, id := range []wire.ImageID{"a", "b", "a", "c"} {
		cache.RecordUse(id, 4, 10, start.Add(time.Duration(i)*time.Second))
	}
	if _, cached := cache.Images["a"]; !cached {
		t.Error("image a, used after b: got evicted, want cached")
	}
	if _, cached := cache.Images["b"]; cached {
		t.Error("image b, least recently used: got cached, want evicted")
	}
}

// At most a quarter of the machines is drained on suspicion. If more of them look
// faulty, the cause is not in the machines, and the leader's suspicion is wrong.
func TestSuspectsAreLimitedToAQuarterOfTheMachines(t *testing.T) {
	tm, m, _ := newTestTerm(t)
	m.DrainReason = "faulty"
	for _, c := range []struct {
		added    []wire.MachineID
		machines int
		want     bool
	}{
		{[]wire.MachineID{"n-2", "n-3", "n-4"}, 4, false},
		{[]wire.MachineID{"n-5", "n-6", "n-7", "n-8"}, 8, true},
	} {
		for _, id := range c.added {
			tm.state.GetOrAddMachine(id)
		}
		if got := tm.reconciler.MayDrainSuspectMachine(); got != c.want {
			t.Errorf("second suspect of %d machines may be drained: got %v, want %v", c.machines, got, c.want)
		}
	}
}
