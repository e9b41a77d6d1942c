package scenarios_test

import (
	"sync"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// poll waits until a condition holds, looking at once and then after every step of
// virtual time, and reports whether that was within the time.
func poll(most, step time.Duration, holds func() bool) bool {
	for begin := time.Now(); !holds(); {
		time.Sleep(step)
		if time.Since(begin) >= most {
			return false
		}
	}
	return true
}

// waitUntil waits for a condition and ends the test if it does not come in time.
func waitUntil(t *testing.T, most time.Duration, what string, holds func() bool) {
	t.Helper()
	if !poll(most, 2*time.Millisecond, holds) {
		t.Fatalf("%s: not within %v", what, most)
	}
}

// eventually waits for a condition. If it does not come in time the test has failed
// and goes on.
func eventually(t *testing.T, most time.Duration, what string, holds func() bool) bool {
	t.Helper()
	if poll(most, 5*time.Millisecond, holds) {
		return true
	}
	t.Errorf("not within %v: %s", most, what)
	return false
}

// signal is an event that happens once and that others wait for.
type signal struct {
	once  sync.Once
	given chan struct{}
}

func newSignal() *signal { return &signal{given: make(chan struct{})} }

// give reports the event and whether this call was the first to do so.
func (s *signal) give() (first bool) {
	s.once.Do(func() { close(s.given); first = true })
	return first
}

// await waits for the event and reports whether it came in time.
func (s *signal) await(most time.Duration) bool {
	select {
	case <-s.given:
		return true
	case <-time.After(most):
		return false
	}
}

// awaitGangRunning waits until all tasks of a gang run.
func awaitGangRunning(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, most time.Duration) bool {
	t.Helper()
	return eventually(t, most, string(j.Spec.ID)+" runs whole", func() bool { return sim.GangState(j.Spec.ID).Running == j.Spec.Tasks })
}

// awaitGangRestart waits until a gang has started for the second time.
func awaitGangRestart(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, most time.Duration) bool {
	t.Helper()
	return eventually(t, most, string(j.Spec.ID)+" starts again", func() bool { return sim.GangState(j.Spec.ID).Starts == 2 })
}

// awaitOtherLeader waits until another controller than this one leads.
func awaitOtherLeader(t *testing.T, sim *simulator.Simulation, than int, most time.Duration) int {
	t.Helper()
	waitUntil(t, most, "another leader", func() bool { l := sim.Leader(); return l >= 0 && l != than })
	return sim.Leader()
}

// awaitNewToken waits for an election after the one with the old token, and tells
// who leads then.
func awaitNewToken(t *testing.T, sim *simulator.Simulation, old wire.FencingToken) (leader int, token wire.FencingToken) {
	t.Helper()
	if !poll(20*time.Second, time.Millisecond, func() bool { leader, token = sim.LeaderAndToken(); return leader >= 0 && token > old }) {
		t.Fatal("nobody leads")
	}
	return leader, token
}

// awaitSuccessor waits until another controller leads than the one that was killed,
// and starts that one again.
func awaitSuccessor(t *testing.T, sim *simulator.Simulation, killed int) {
	t.Helper()
	if !poll(15*time.Second, 100*time.Millisecond, func() bool { l := sim.Leader(); return l >= 0 && l != killed }) {
		t.Fatal("nobody followed the leader within 15 s")
	}
	if err := sim.StartController(killed); err != nil {
		t.Fatal(err)
	}
}

// replaceLeader kills the leader, waits until another one leads, and starts the
// killed one again.
func replaceLeader(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	l := sim.Leader()
	if l < 0 {
		t.Fatal("nobody leads")
	}
	sim.KillController(l)
	awaitSuccessor(t, sim, l)
}

// moveLeadershipTo makes a controller of a zone the leader, if none is: all others are
// down until one there leads. (They were killed in turn until it was one of the zone:
// that took up to 48 s, and what was to run by then did not.)
func moveLeadershipTo(t *testing.T, sim *simulator.Simulation, z wire.Zone) {
	t.Helper()
	inZone := func() bool { l := sim.Leader(); return l >= 0 && sim.Config(l).Zone == z }
	if inZone() {
		return
	}
	var killed []int
	for i := range sim.Settings.Size {
		if sim.Config(i).Zone != z {
			sim.KillController(i)
			killed = append(killed, i)
		}
	}
	waitUntil(t, 15*time.Second, "a leader in zone "+string(z), inZone)
	startControllers(t, sim, killed...)
	time.Sleep(3 * time.Second)
}

// leaderZoneOrOther is the zone that the leader is in, or the other one of two.
func leaderZoneOrOther(sim *simulator.Simulation, in bool) wire.Zone {
	if (sim.Config(sim.Leader()).Zone == "a") == in {
		return "a"
	}
	return "b"
}

// adminView is what a controller shows its operators; false: nothing readable.
func adminView(sim *simulator.Simulation, i int) (admin.View, bool) {
	status, raw, _ := sim.AskAsOperator(i, "GET", "/admin/view", nil)
	var v admin.View
	return v, status == 200 && wire.Decode(raw, &v) == nil
}

// hasRecovered reports whether a leader has read what is stored.
func hasRecovered(sim *simulator.Simulation, i int) bool {
	v, ok := adminView(sim, i)
	return ok && v.Term != nil && len(v.Term.Jobs) > 0
}

// saysItLeads reports whether a controller itself says that it leads.
func saysItLeads(t *testing.T, sim *simulator.Simulation, i int) bool {
	t.Helper()
	v, ok := adminView(sim, i)
	if !ok {
		t.Fatalf("no view of controller %d", i)
	}
	return v.Leads
}
