package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// runningSpotGang submits a gang for spot machines and waits until it has run for
// a while.
func runningSpotGang(t *testing.T, sim *simulator.Simulation, at func(time.Duration), ran time.Duration) simulator.JobScript {
	t.Helper()
	j := gang(1, 4, 80)
	j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
	at(2 * time.Second)
	sim.Submit(j, 0)
	awaitGangRunning(t, sim, j, 60*time.Second)
	time.Sleep(ran)
	return j
}

// mustHaveSaved checks that a gang was stopped once, in order, with at least so
// many seconds of progress.
func mustHaveSaved(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, progress float64) {
	t.Helper()
	if g := sim.GangState(j.Spec.ID); g.Saves != 1 || g.Rollbacks != 0 || g.Saved < progress {
		t.Errorf("%+v, want one orderly stop after %g s", g, progress)
	}
}

// A spot notice on one member's machine, while another hears of its stop only
// shortly before gang_peer_s has passed: the stop begins early enough that all
// are told and have saved before the machine goes.
func TestGangSpotNoticeWithDelayedStop(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 820, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		j := runningSpotGang(t, sim, at, 33*time.Second)
		on := sim.MachinesHolding(j.Spec.ID)
		if len(on) < 2 {
			t.Fatalf("all on %v", on)
		}
		holdFromNodes := func(hold bool) {
			for i := range 3 {
				sim.Net.Hold(simulator.NodeIP(i), sim.MachineIP(on[1]), hold)
			}
		}
		sim.GiveSpotNotice(on[0], 16*time.Second)
		holdFromNodes(true)
		eventually(t, 16*time.Second, "first stop", func() bool { return sim.GangState(j.Spec.ID).Saving > 0 })
		time.Sleep(6 * time.Second)
		holdFromNodes(false)
		awaitGangRestart(t, sim, j, 90*time.Second)
		mustHaveSaved(t, sim, j, 33)
		time.Sleep(70 * time.Second)
		mustFinish(t, sim, j)
	})
}

// A spot notice comes while the key-value store is away: the leader, whom a
// majority acknowledges, stops the gang in order all the same. It starts again
// from there once the service is back, also under another leader.
func TestGangSavesInAnOutage(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"the same leader", "another leader"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 821, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				j := runningSpotGang(t, sim, at, 30*time.Second)
				sim.State.Outage(true)
				time.Sleep(5 * time.Second)
				sim.GiveSpotNotice(sim.MachinesHolding(j.Spec.ID)[0], 20*time.Second)
				time.Sleep(25 * time.Second)
				mustHaveSaved(t, sim, j, 35)
				leader := sim.Leader()
				if how == "another leader" {
					sim.KillController(leader)
				}
				sim.State.Outage(false)
				awaitGangRestart(t, sim, j, 60*time.Second)
				if how == "another leader" {
					startControllers(t, sim, leader)
				}
				mustHaveSaved(t, sim, j, 35)
				time.Sleep(60 * time.Second)
				mustFinish(t, sim, j)
			})
		})
	}
}

// The leader alone loses the key-value store, and another takes over while the
// first stops a gang under a notice, and may no more be able to tell all of it.
// No rule breaks, and the gang loses no more than what it did since its last
// checkpoint.
func TestGangSpotNoticeBetweenTwoLeaders(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 7 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 822, func(sim *simulator.Simulation, at func(time.Duration)) {
				j := runningSpotGang(t, sim, at, 33*time.Second)
				on := sim.MachinesHolding(j.Spec.ID)
				leader := sim.Leader()
				sim.State.RefuseClient(simulator.NodeIP(leader), true)
				time.Sleep(after)
				sim.Net.Hold(simulator.NodeIP(leader), sim.MachineIP(on[len(on)-1]), true)
				sim.GiveSpotNotice(on[0], 12*time.Second)
				time.Sleep(30 * time.Second)
				sim.Net.Hold(simulator.NodeIP(leader), sim.MachineIP(on[len(on)-1]), false)
				sim.State.RefuseClient(simulator.NodeIP(leader), false)
				awaitGangRestart(t, sim, j, 90*time.Second)
				if g := sim.GangState(j.Spec.ID); g.Saved < 20 {
					t.Errorf("%+v, want at least the checkpoint at 20 s", g)
				}
				t.Logf("%+v", sim.GangState(j.Spec.ID))
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, j)
			})
		})
	}
}
