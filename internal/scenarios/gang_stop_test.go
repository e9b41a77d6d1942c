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
	for _, how := range []string{"quiet", "a stop is late", "leader ends at the first stop", "and the service is cancelled"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 804, func(sim *simulator.Simulation, at func(time.Duration)) {
				j, s := gang(1, 4, 50), service(2, 4)
				j.Spec.Priority, j.Spec.MachineTypes = wire.PriorityStandard, []wire.MachineType{"c4"}
				s.Spec.Spread, s.Spec.MemoryGB = false, 6
				at(2 * time.Second)
				// Room kept for the next gang would be room for the service.
				if status, raw, _ := sim.AskAsOperator(0, "PUT", "/admin/settings", map[string]any{"version": 0, "set": map[string]any{"gangs.spare": 0}}); status != 200 {
					t.Fatalf("settings answer %d %s", status, raw)
				}
				sim.Submit(j, 0)
				awaitGangRunning(t, sim, j, 60*time.Second)
				sim.SellOutEverything()
				time.Sleep(25 * time.Second) // 5 s past its checkpoint
				l := sim.Leader()
				if on := sim.MachinesHolding(j.Spec.ID); len(on) < 2 {
					t.Fatalf("all on %v", on)
				} else if how == "leader ends at the first stop" || how == "and the service is cancelled" {
					sim.Net.Hold(simulator.NodeIP(l), sim.MachineIP(on[1]), true)
					defer sim.Net.Hold(simulator.NodeIP(l), sim.MachineIP(on[1]), false)
				} else if how != "quiet" {
					sim.Net.SlowLink(simulator.NodeIP(l), sim.MachineIP(on[1]), 2500*time.Millisecond)
				}
				sim.Submit(s, 0)
				if !eventually(t, 20*time.Second, "is stopped", func() bool { return sim.GangState(j.Spec.ID).Saving > 0 }) {
					return
				}
				g := sim.GangState(j.Spec.ID)
				if how != "quiet" && g.Running == 0 {
					t.Errorf("%+v: nobody hears of it late", g)
				}
				if how == "leader ends at the first stop" || how == "and the service is cancelled" {
					sim.KillController(l)
					if how == "and the service is cancelled" { // then only what is saving tells the next leader
						eventually(t, 5*time.Second, "cancelled", func() bool {
							status, _, _ := sim.Ask((l+1)%3, "POST", "/v1/jobs/"+string(s.Spec.ID)+"/cancel", nil)
							return status == 200
						})
					}
					time.Sleep(time.Second)
					startControllers(t, sim, l)
				}
				time.Sleep(30 * time.Second)
				if g = sim.GangState(j.Spec.ID); g.Saves+g.Rollbacks != 1 || g.Saved < 20 || how != "leader ends at the first stop" && (g.Rollbacks != 0 || g.Saved < 24) {
					t.Errorf("%+v, want one orderly stop", g)
				}
				t.Logf("%+v", g)
				if how != "and the service is cancelled" {
					mustRun(t, sim, s, "with room made")
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
			runOnBothLayouts(t, 805, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				j := gang(1, 4, 60)
				j.Spec.SpotAllowed = true
				at(2 * time.Second)
				sim.Submit(j, 0)
				awaitGangRunning(t, sim, j, 60*time.Second)
				time.Sleep(33 * time.Second)
				sim.GiveSpotNotice(sim.MachinesHolding(j.Spec.ID)[0], left)
				awaitGangRestart(t, sim, j, 60*time.Second)
				mustHaveSaved(t, sim, j, 33)
				time.Sleep(60 * time.Second)
				mustFinish(t, sim, j)
			})
		})
	}
}

// A spot notice is in the first report that a new leader hears of a gang: it
// stops all of it in order.
func TestGangSpotNoticeToNewLeader(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 812, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		j := gang(1, 4, 60)
		j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		at(2 * time.Second)
		sim.Submit(j, 0)
		awaitGangRunning(t, sim, j, 60*time.Second)
		time.Sleep(33 * time.Second)
		l := sim.Leader()
		sim.KillController(l)
		for _, id := range sim.MachinesHolding(j.Spec.ID) {
			sim.GiveSpotNotice(id, 25*time.Second)
		}
		time.Sleep(4 * time.Second)
		startControllers(t, sim, l)
		awaitGangRestart(t, sim, j, 60*time.Second)
		mustHaveSaved(t, sim, j, 33)
		time.Sleep(60 * time.Second)
		mustFinish(t, sim, j)
	})
}

// A spot notice comes in an outage of the key-value store.
func TestGangSpotNoticeDuringOutage(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 813, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		j := gang(1, 4, 80)
		j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		at(2 * time.Second)
		sim.Submit(j, 0)
		awaitGangRunning(t, sim, j, 60*time.Second)
		time.Sleep(30 * time.Second)
		sim.State.Outage(true)
		time.Sleep(5 * time.Second)
		sim.GiveSpotNotice(sim.MachinesHolding(j.Spec.ID)[0], 20*time.Second)
		time.Sleep(25 * time.Second)
		t.Logf("in the outage %+v", sim.GangState(j.Spec.ID))
		sim.State.Outage(false)
		awaitGangRestart(t, sim, j, 60*time.Second)
		time.Sleep(90 * time.Second)
		mustFinish(t, sim, j)
	})
}

// A gang is cancelled in each phase: all of it is gone within cancel_s.
func TestGangCancelled(t *testing.T) {
	t.Parallel()
	phases := map[string]func(g simulator.GangState) bool{
		"queued":  func(g simulator.GangState) bool { return true },
		"pulling": func(g simulator.GangState) bool { return g.Fetching > 0 },
		"waiting": func(g simulator.GangState) bool { return g.Waiting > 0 },
		"running": func(g simulator.GangState) bool { return g.Running == 4 },
		"saving":  func(g simulator.GangState) bool { return g.Saving > 0 },
	}
	for name, is := range phases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 806, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				j, warm := gang(1, 4, 60), array(9, 10, 15)
				j.Spec.SpotAllowed, j.Spec.CheckpointTime, j.Spec.MachineTypes = true, 4, []wire.MachineType{"c4"}
				warm.Spec.MachineTypes = j.Spec.MachineTypes
				at(2 * time.Second)
				sim.Submit(warm, 0)
				at(30 * time.Second)
				setUnevenFetchSpeeds(sim)
				sim.Submit(j, 0)
				time.Sleep(time.Second)
				if name == "saving" {
					awaitGangRunning(t, sim, j, 60*time.Second)
					sim.GiveSpotNotice(sim.MachinesHolding(j.Spec.ID)[0], 30*time.Second)
				}
				if !eventually(t, 60*time.Second, name, func() bool { return is(sim.GangState(j.Spec.ID)) }) {
					return
				}
				eventually(t, 10*time.Second, "cancelled", func() bool {
					status, _, _ := sim.Ask(0, "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil)
					return status == 200
				})
				time.Sleep(12 * time.Second)
				if g := sim.GangState(j.Spec.ID); g.Fetching+g.Waiting+g.Running+g.Saving != 0 {
					t.Errorf("12 s after its cancellation: %+v", g)
				}
				time.Sleep(60 * time.Second)
				sim.Submit(array(5, 1, 1), 0)
				time.Sleep(40 * time.Second)
			})
		})
	}
}

// Cancelling races the end of gangs.
func TestGangCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	runScenario(t, 814, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		for n := range 14 {
			j := gang(100+n, 2, 10)
			j.Spec.CPUs, j.Spec.MemoryGB = 1, 3
			sim.Submit(j, time.Duration(18+n)*time.Second)
		}
		at(150 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 14 || done == 0 || cancelled == 0 {
				t.Errorf("%d done, %d cancelled of 14", done, cancelled)
			}
		})
	})
}
