package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// runningSpotGang submits a gang for spot machines and waits until it has run for
// a while.
func runningSpotGang(t *testing.T, w *simulator.World, at func(time.Duration), ran time.Duration) simulator.Truth {
	t.Helper()
	j := gang(1, 4, 80)
	j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
	at(2 * time.Second)
	w.Submit(j, 0)
	runs(t, w, j, 60*time.Second)
	time.Sleep(ran)
	return j
}

// mustHaveSaved checks that a gang was stopped once, in order, with at least so
// many seconds of progress.
func mustHaveSaved(t *testing.T, w *simulator.World, j simulator.Truth, progress float64) {
	t.Helper()
	if g := w.Gang(j.Spec.ID); g.Saves != 1 || g.Falls != 0 || g.Saved < progress {
		t.Errorf("%+v, want one orderly stop after %g s", g, progress)
	}
}

// A spot notice on one member's machine, while another hears of its halt only
// shortly before gang_peer_s has passed: the stop begins early enough that all
// are told and have saved before the machine goes.
func TestGangNoticeWithALateHalt(t *testing.T) {
	playBoth(t, 820, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		j := runningSpotGang(t, w, at, 33*time.Second)
		on := w.Members(j.Spec.ID)
		if len(on) < 2 {
			t.Fatalf("all on %v", on)
		}
		holdFromNodes := func(hold bool) {
			for i := range 3 {
				w.Net.Hold(simulator.NodeIP(i), w.IP(on[1]), hold)
			}
		}
		w.Notice(on[0], 16*time.Second)
		holdFromNodes(true)
		shows(t, 16*time.Second, "first halt", func() bool { return w.Gang(j.Spec.ID).Saving > 0 })
		time.Sleep(6 * time.Second)
		holdFromNodes(false)
		shows(t, 90*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
		mustHaveSaved(t, w, j, 33)
		time.Sleep(70 * time.Second)
		mustFinish(t, w, j)
	})
}
