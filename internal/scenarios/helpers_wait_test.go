package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// until waits for something to come true, looking every few milliseconds.
func waitUntil(t *testing.T, most time.Duration, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Since(begin) > most {
			t.Fatalf("%s: not within %v", what, most)
		}
	}
}

// shows waits for something that the stand-ins show.
func eventually(t *testing.T, most time.Duration, what string, is func() bool) bool {
	t.Helper()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if is() {
			return true
		}
	}
	t.Errorf("not within %v: %s", most, what)
	return false
}

// runs waits until all of the gang runs.
func awaitGangRunning(t *testing.T, w *simulator.World, j simulator.Truth, most time.Duration) bool {
	t.Helper()
	return eventually(t, most, string(j.Spec.ID)+" runs whole", func() bool { return w.Gang(j.Spec.ID).Running == j.Spec.Tasks })
}

// another waits until some other node than this one leads.
func awaitOtherLeader(t *testing.T, w *simulator.World, than int, most time.Duration) int {
	t.Helper()
	waitUntil(t, most, "another leader", func() bool { l := w.Leader(); return l >= 0 && l != than })
	return w.Leader()
}

// nextLeader waits for the office to be taken anew and says by whom.
func awaitNewToken(t *testing.T, w *simulator.World, old wire.Token) (int, wire.Token) {
	t.Helper()
	for range 20_000 {
		if l, token := w.Holder(); l >= 0 && token > old {
			return l, token
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("nobody leads")
	return -1, 0
}

// followed waits until another leads than the one that was killed, and has that
// one back.
func awaitSuccessor(t *testing.T, w *simulator.World, l int) {
	t.Helper()
	begin := time.Now()
	for n := w.Leader(); n == l || n < 0; n = w.Leader() {
		if time.Since(begin) > 15*time.Second {
			t.Fatal("nobody followed the leader within 15 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := w.Up(l); err != nil {
		t.Fatal(err)
	}
}

// changeLeader ends the leader, waits until another leads, and has the old one
// back. It checks that the office did change hands.
func replaceLeader(t *testing.T, w *simulator.World) {
	t.Helper()
	l := w.Leader()
	if l < 0 {
		t.Fatal("nobody leads")
	}
	w.Kill(l)
	awaitSuccessor(t, w, l)
}

// leaderIn sees to it that the leader is in a zone.
func moveLeadershipTo(t *testing.T, w *simulator.World, z wire.Zone) {
	t.Helper()
	for range 10 {
		l := w.Leader()
		if l >= 0 && w.Config(l).Zone == z {
			return
		}
		if l >= 0 {
			w.Kill(l)
			time.Sleep(6 * time.Second)
			if err := w.Up(l); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
	}
	t.Fatalf("no leader in zone %s", z)
}

// leadersZone is the zone that the leader is in, or the other one of two.
func leaderZoneOrOther(w *simulator.World, in bool) wire.Zone {
	if (w.Config(w.Leader()).Zone == "a") == in {
		return "a"
	}
	return "b"
}

// hasRecovered tells whether a leader has read what is stored.
func hasRecovered(w *simulator.World, i int) bool {
	status, raw, _ := w.Operate(i, "GET", "/admin/view", nil)
	var v admin.View
	return status == 200 && wire.Decode(raw, &v) == nil && v.Term != nil && len(v.Term.Jobs) > 0
}

// leads tells whether a node itself says that it leads.
func saysItLeads(t *testing.T, w *simulator.World, i int) bool {
	t.Helper()
	var v admin.View
	status, raw, _ := w.Operate(i, "GET", "/admin/view", nil)
	if status != 200 || wire.Decode(raw, &v) != nil {
		t.Fatalf("view of node %d: %d", i, status)
	}
	return v.Leads
}
