package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A service of prod preempts a gang: all of its tasks are stopped together, and
// what they have done is saved, also when some hear of it later. The leader may
// end in the middle; then a save may fail, and the gang goes on from its last
// checkpoint.
func TestGangPreempted(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"quiet", "a halt is late", "leader ends at the first halt", "and the service is cancelled"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 804, func(w *simulator.World, at func(time.Duration)) {
				j, s := gang(1, 4, 50), service(2, 4)
				j.Spec.Priority, j.Spec.MachineTypes = wire.PriorityStandard, []wire.MachineType{"c4"}
				s.Spec.Spread, s.Spec.MemoryGB = false, 6
				at(2 * time.Second)
				// Room kept for the next gang would be room for the service.
				if status, raw, _ := w.Operate(0, "PUT", "/admin/settings", map[string]any{"version": 0, "set": map[string]any{"gangs.spare": 0}}); status != 200 {
					t.Fatalf("settings answer %d %s", status, raw)
				}
				w.Submit(j, 0)
				awaitGangRunning(t, w, j, 60*time.Second)
				w.NoMore()
				time.Sleep(25 * time.Second) // 5 s past its checkpoint
				l := w.Leader()
				if on := w.Members(j.Spec.ID); len(on) < 2 {
					t.Fatalf("all on %v", on)
				} else if how == "leader ends at the first halt" || how == "and the service is cancelled" {
					w.Net.Hold(simulator.NodeIP(l), w.IP(on[1]), true)
					defer w.Net.Hold(simulator.NodeIP(l), w.IP(on[1]), false)
				} else if how != "quiet" {
					w.Net.SlowLink(simulator.NodeIP(l), w.IP(on[1]), 2500*time.Millisecond)
				}
				w.Submit(s, 0)
				if !eventually(t, 20*time.Second, "is stopped", func() bool { return w.Gang(j.Spec.ID).Saving > 0 }) {
					return
				}
				g := w.Gang(j.Spec.ID)
				if how != "quiet" && g.Running == 0 {
					t.Errorf("%+v: nobody hears of it late", g)
				}
				if how == "leader ends at the first halt" || how == "and the service is cancelled" {
					w.Kill(l)
					if how == "and the service is cancelled" { // then only what is saving tells the next leader
						eventually(t, 5*time.Second, "cancelled", func() bool {
							status, _, _ := w.Ask((l+1)%3, "POST", "/v1/jobs/"+string(s.Spec.ID)+"/cancel", nil)
							return status == 200
						})
					}
					time.Sleep(time.Second)
					w.Up(l)
				}
				time.Sleep(30 * time.Second)
				if g = w.Gang(j.Spec.ID); g.Saves+g.Falls != 1 || g.Saved < 20 || how != "leader ends at the first halt" && (g.Falls != 0 || g.Saved < 24) {
					t.Errorf("%+v, want one orderly stop", g)
				}
				t.Logf("%+v", g)
				if how != "and the service is cancelled" {
					mustRun(t, w, s, "with room made")
				}
			})
		})
	}
}

// A spot notice on one member's machine: all of the gang saves.
func TestGangSpotNotice(t *testing.T) {
	t.Parallel()
	for _, left := range []time.Duration{25 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 805, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				j := gang(1, 4, 60)
				j.Spec.SpotAllowed = true
				at(2 * time.Second)
				w.Submit(j, 0)
				awaitGangRunning(t, w, j, 60*time.Second)
				time.Sleep(33 * time.Second)
				w.Notice(w.Members(j.Spec.ID)[0], left)
				eventually(t, 60*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
				if g := w.Gang(j.Spec.ID); g.Saves != 1 || g.Falls != 0 || g.Saved < 33 {
					t.Errorf("%+v, want one orderly stop", g)
				}
				time.Sleep(60 * time.Second)
				mustFinish(t, w, j)
			})
		})
	}
}

// A spot notice is in the first report that a new leader hears of a gang: it
// stops all of it in order.
func TestGangSpotNoticeToNewLeader(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 812, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		j := gang(1, 4, 60)
		j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		at(2 * time.Second)
		w.Submit(j, 0)
		awaitGangRunning(t, w, j, 60*time.Second)
		time.Sleep(33 * time.Second)
		l := w.Leader()
		w.Kill(l)
		for _, id := range w.Members(j.Spec.ID) {
			w.Notice(id, 25*time.Second)
		}
		time.Sleep(4 * time.Second)
		w.Up(l)
		eventually(t, 60*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
		if g := w.Gang(j.Spec.ID); g.Saves != 1 || g.Falls != 0 || g.Saved < 33 {
			t.Errorf("%+v, want one orderly stop", g)
		}
		time.Sleep(60 * time.Second)
		mustFinish(t, w, j)
	})
}

// A spot notice comes in an outage of the state service.
func TestGangSpotNoticeDuringOutage(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 813, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		j := gang(1, 4, 80)
		j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		at(2 * time.Second)
		w.Submit(j, 0)
		awaitGangRunning(t, w, j, 60*time.Second)
		time.Sleep(30 * time.Second)
		w.State.Outage(true)
		time.Sleep(5 * time.Second)
		w.Notice(w.Members(j.Spec.ID)[0], 20*time.Second)
		time.Sleep(25 * time.Second)
		t.Logf("in the outage %+v", w.Gang(j.Spec.ID))
		w.State.Outage(false)
		eventually(t, 60*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
		time.Sleep(90 * time.Second)
		mustFinish(t, w, j)
	})
}

// A gang is cancelled in each phase: all of it is gone within cancel_s.
func TestGangCancelled(t *testing.T) {
	t.Parallel()
	phases := map[string]func(g simulator.Gang) bool{
		"queued":  func(g simulator.Gang) bool { return true },
		"pulling": func(g simulator.Gang) bool { return g.Pulling > 0 },
		"waiting": func(g simulator.Gang) bool { return g.Waiting > 0 },
		"running": func(g simulator.Gang) bool { return g.Running == 4 },
		"saving":  func(g simulator.Gang) bool { return g.Saving > 0 },
	}
	for name, is := range phases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 806, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				j, warm := gang(1, 4, 60), array(9, 10, 15)
				j.Spec.SpotAllowed, j.Spec.CheckpointTime, j.Spec.MachineTypes = true, 4, []wire.MachineType{"c4"}
				warm.Spec.MachineTypes = j.Spec.MachineTypes
				at(2 * time.Second)
				w.Submit(warm, 0)
				at(30 * time.Second)
				setUnevenFetchSpeeds(w)
				w.Submit(j, 0)
				time.Sleep(time.Second)
				if name == "saving" {
					awaitGangRunning(t, w, j, 60*time.Second)
					w.Notice(w.Members(j.Spec.ID)[0], 30*time.Second)
				}
				if !eventually(t, 60*time.Second, name, func() bool { return is(w.Gang(j.Spec.ID)) }) {
					return
				}
				eventually(t, 10*time.Second, "cancelled", func() bool {
					status, _, _ := w.Ask(0, "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil)
					return status == 200
				})
				time.Sleep(12 * time.Second)
				if g := w.Gang(j.Spec.ID); g.Pulling+g.Waiting+g.Running+g.Saving != 0 {
					t.Errorf("12 s after its cancellation: %+v", g)
				}
				time.Sleep(60 * time.Second)
				w.Submit(array(5, 1, 1), 0)
				time.Sleep(40 * time.Second)
			})
		})
	}
}

// Cancelling races the end of gangs.
func TestGangCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	runScenario(t, 814, func(w *simulator.World, at func(time.Duration)) {
		at(2 * time.Second)
		for n := range 14 {
			j := gang(100+n, 2, 10)
			j.Spec.CPUs, j.Spec.MemoryGB = 1, 3
			w.Submit(j, time.Duration(18+n)*time.Second)
		}
		at(150 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 14 || done == 0 || cancelled == 0 {
				t.Errorf("%d done, %d cancelled of 14", done, cancelled)
			}
		})
	})
}
