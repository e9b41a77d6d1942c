package scenarios_test

import (
	"sync"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// poll waits until a condition is true. It checks the condition at once and then after every
// interval of virtual time, and reports whether the condition was true before the timeout.
func poll(timeout, interval time.Duration, condition func() bool) bool {
	for begin := time.Now(); !condition(); {
		time.Sleep(interval)
		if time.Since(begin) >= timeout {
			return false
		}
	}
	return true
}

// waitUntil waits for a condition. At the timeout the test fails and ends.
func waitUntil(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	if !poll(timeout, 2*time.Millisecond, condition) {
		t.Fatalf("%s: not within %v", what, timeout)
	}
}

// eventually waits for a condition and reports whether it became true. At the timeout the test
// fails but goes on.
func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) bool {
	t.Helper()
	if poll(timeout, 5*time.Millisecond, condition) {
		return true
	}
	t.Errorf("not within %v: %s", timeout, what)
	return false
}

// signal is an event that happens once and that other goroutines wait for.
type signal struct {
	once sync.Once
	done chan struct{} // closed when the event has happened
}

func newSignal() *signal { return &signal{done: make(chan struct{})} }

// fire signals the event and reports whether this call was the first to do so.
func (s *signal) fire() (first bool) {
	s.once.Do(func() { close(s.done); first = true })
	return first
}

// wait waits for the event and reports whether it happened before the timeout.
func (s *signal) wait(timeout time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// awaitGangRunning waits until all tasks of a gang run.
func awaitGangRunning(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, timeout time.Duration) bool {
	t.Helper()
	return eventually(t, timeout, string(j.Spec.ID)+" has all its tasks running", func() bool { return sim.GangState(j.Spec.ID).Running == j.Spec.Tasks })
}

// awaitGangRestart waits until a gang has been started for the second time.
func awaitGangRestart(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, timeout time.Duration) bool {
	t.Helper()
	return eventually(t, timeout, string(j.Spec.ID)+" starts again", func() bool { return sim.GangState(j.Spec.ID).Starts == 2 })
}

// awaitOtherLeader waits until a controller other than the former leader leads, and returns it.
func awaitOtherLeader(t *testing.T, sim *simulator.Simulation, former int, timeout time.Duration) int {
	t.Helper()
	waitUntil(t, timeout, "another leader", func() bool { l := sim.Leader(); return l >= 0 && l != former })
	return sim.Leader()
}

// awaitNewToken waits for an election after the one that raised the fencing token to old, and
// returns the new leader and its token.
func awaitNewToken(t *testing.T, sim *simulator.Simulation, old wire.FencingToken) (leader int, token wire.FencingToken) {
	t.Helper()
	if !poll(20*time.Second, time.Millisecond, func() bool { leader, token = sim.LeaderAndToken(); return leader >= 0 && token > old }) {
		t.Fatal("no controller leads with a newer token within 20 s")
	}
	return leader, token
}

// awaitSuccessor waits until a controller other than the killed one leads, and then starts the
// killed one again.
func awaitSuccessor(t *testing.T, sim *simulator.Simulation, killed int) {
	t.Helper()
	if !poll(15*time.Second, 100*time.Millisecond, func() bool { l := sim.Leader(); return l >= 0 && l != killed }) {
		t.Fatal("no other controller leads within 15 s after the leader was killed")
	}
	if err := sim.StartController(killed); err != nil {
		t.Fatal(err)
	}
}

// replaceLeader kills the leader, waits until another controller leads, and starts the killed one
// again.
func replaceLeader(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	killed := sim.Leader()
	if killed < 0 {
		t.Fatal("no controller leads")
	}
	sim.KillController(killed)
	awaitSuccessor(t, sim, killed)
}

// moveLeadershipTo makes a controller in the given zone the leader, unless one is already. All
// controllers in other zones are down until one in this zone leads. Killing one leader after the
// other until the next one is in this zone would take up to 48 s, too long for jobs that a script
// expects to run by then.
func moveLeadershipTo(t *testing.T, sim *simulator.Simulation, zone wire.Zone) {
	t.Helper()
	leaderInZone := func() bool { l := sim.Leader(); return l >= 0 && sim.Config(l).Zone == zone }
	if leaderInZone() {
		return
	}
	var killed []int
	for i := range sim.Settings.Size {
		if sim.Config(i).Zone != zone {
			sim.KillController(i)
			killed = append(killed, i)
		}
	}
	waitUntil(t, 15*time.Second, "a leader in zone "+string(zone), leaderInZone)
	startControllers(t, sim, killed...)
	time.Sleep(3 * time.Second)
}

// leaderZoneOrOther returns the leader's zone if ofLeader is true, and otherwise the other one of
// the zones a and b.
func leaderZoneOrOther(sim *simulator.Simulation, ofLeader bool) wire.Zone {
	if (sim.Config(sim.Leader()).Zone == "a") == ofLeader {
		return "a"
	}
	return "b"
}

// adminView returns the view that a controller shows to operators; false: there was no readable
// response.
func adminView(sim *simulator.Simulation, node int) (admin.View, bool) {
	status, raw, _ := sim.AskAsOperator(node, "GET", "/admin/view", nil)
	var v admin.View
	return v, status == 200 && wire.Decode(raw, &v) == nil
}

// hasRecovered reports whether a controller leads and has read the stored jobs.
func hasRecovered(sim *simulator.Simulation, node int) bool {
	view, ok := adminView(sim, node)
	return ok && view.Cluster != nil && len(view.Cluster.Jobs) > 0
}

// considersItselfLeader reports whether a controller considers itself the leader, according to
// its admin view.
func considersItselfLeader(t *testing.T, sim *simulator.Simulation, node int) bool {
	t.Helper()
	view, ok := adminView(sim, node)
	if !ok {
		t.Fatalf("no readable admin view of controller %d", node)
	}
	return view.Leads
}
