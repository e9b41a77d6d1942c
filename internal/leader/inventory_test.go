package leader

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestMachineListUpdatesTheModel(t *testing.T) {
	listed := func(state wire.ListedState) wire.ListedMachine {
		return wire.ListedMachine{Name: "n-2", Addr: "10.1.0.2:9000", Type: "c4", Zone: "a", Spot: true, State: state, Age: 30}
	}
	heard := func(tm *term) {
		m := tm.state.GetOrAddMachine("n-2")
		m.FirstHeartbeatAt, m.MachineType, m.Zone = time.Now(), "c8", "b"
	}
	probeUnanswered := func(tm *term) { tm.state.GetOrAddMachine("n-2").UnansweredCommands = 1 }
	removed := func(tm *term) { tm.state.RemovedMachines["n-2"] = time.Now() }
	cases := []struct {
		name        string
		setup       func(tm *term)
		state       wire.ListedState
		wantNone    bool
		wantType    wire.MachineType
		wantBooting bool
		wantFailed  bool
		// wantAnnounced means that the token still counts as announced to all machines.
		wantAnnounced bool
	}{
		{name: "new and starting", state: wire.ListedStarting, wantType: "c4", wantBooting: true, wantAnnounced: true},
		{name: "new and running", state: wire.ListedRunning, wantType: "c4"},
		{name: "new and failed", state: wire.ListedFailed, wantType: "c4", wantFailed: true, wantAnnounced: true},
		{name: "known by its heartbeats", setup: heard, state: wire.ListedRunning, wantType: "c8", wantAnnounced: true},
		{name: "known by its heartbeats and failed", setup: heard, state: wire.ListedFailed, wantType: "c8", wantFailed: true, wantAnnounced: true},
		{name: "running but a probe was unanswered", setup: probeUnanswered, state: wire.ListedRunning, wantType: "c4", wantAnnounced: true},
		{name: "removed", setup: removed, state: wire.ListedRunning, wantNone: true, wantAnnounced: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, _, _ := newTestTerm(t)
			tm.dispatcher.TokenAnnounced = true
			if c.setup != nil {
				c.setup(tm)
			}
			now := time.Now()
			tm.inventory.onMachineList([]wire.ListedMachine{listed(c.state)}, now)
			if got := tm.dispatcher.TokenAnnounced; got != c.wantAnnounced || !tm.state.MachineListReceived {
				t.Errorf("got token announced %v, list received %v, want %v, true", got, tm.state.MachineListReceived, c.wantAnnounced)
			}
			m := tm.state.Machines["n-2"]
			if (m == nil) != c.wantNone {
				t.Fatalf("machine: got %+v, want none: %v", m, c.wantNone)
			}
			if m != nil {
				checkListedMachine(t, m, now, c.wantType, c.wantBooting, c.wantFailed)
			}
		})
	}
}

func checkListedMachine(t *testing.T, m *cluster.Machine, now time.Time, wantType wire.MachineType, wantBooting, wantFailed bool) {
	t.Helper()
	if !m.ListedAt.Equal(now) || m.MachineType != wantType || m.Booting != wantBooting || m.FailedInCloud != wantFailed {
		t.Errorf("got listed at %v, type %q, booting %v, failed %v, want %v, %q, %v, %v",
			m.ListedAt, m.MachineType, m.Booting, m.FailedInCloud, now, wantType, wantBooting, wantFailed)
	}
	if wantType == "c4" && m.RequestedAt.After(now.Add(-30*time.Second)) {
		t.Errorf("requested at: got %v, want at least 30 s before %v", m.RequestedAt, now)
	}
}
