package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// startSpotGang submits a gang that may use spot machines, and returns it when all its tasks
// have run for runTime.
func startSpotGang(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration), runTime time.Duration) simulator.JobScript {
	t.Helper()
	gangJob := gang(1, 4, 80)
	gangJob.Spec.SpotAllowed, gangJob.Spec.MachineTypes = true, []wire.MachineType{"c4"}
	sleepUntil(2 * time.Second)
	sim.Submit(gangJob, 0)
	awaitGangRunning(t, sim, gangJob, 60*time.Second)
	time.Sleep(runTime)
	return gangJob
}

// mustHaveSaved checks that a gang was stopped once, that all its tasks saved, and that at
// least minSeconds of progress were saved.
func mustHaveSaved(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, minSeconds float64) {
	t.Helper()
	if g := sim.GangState(j.Spec.ID); g.Saves != 1 || g.Rollbacks != 0 || g.SavedSeconds < minSeconds {
		t.Errorf("%+v, want one save, no rollback and at least %g s of progress", g, minSeconds)
	}
}

// One member's machine gets a spot notice, while another member receives its stop command only
// shortly before gang_peer_s has passed. The leader must begin the stop so early that all
// members receive it and have saved before the machine with the notice is reclaimed.
func TestGangSpotNoticeWithDelayedStop(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 820, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		gangJob := startSpotGang(t, sim, sleepUntil, 33*time.Second)
		machines := sim.MachinesHolding(gangJob.Spec.ID)
		if len(machines) < 2 {
			t.Fatalf("all tasks are on %v, want two or more machines", machines)
		}
		holdCommands := func(hold bool) {
			for i := range 3 {
				sim.Net.HoldPackets(simulator.NodeIP(i), sim.MachineIP(machines[1]), hold)
			}
		}
		sim.GiveSpotNotice(machines[0], 16*time.Second)
		holdCommands(true)
		eventually(t, 16*time.Second, "the first task saves", func() bool { return sim.GangState(gangJob.Spec.ID).Saving > 0 })
		time.Sleep(6 * time.Second)
		holdCommands(false)
		awaitGangRestart(t, sim, gangJob, 90*time.Second)
		mustHaveSaved(t, sim, gangJob, 33)
		time.Sleep(70 * time.Second)
		mustFinish(t, sim, gangJob)
	})
}

// A spot notice arrives during an outage of the key-value store. A leader that a majority
// acknowledges must still stop the gang so that it saves. Once the store is back, the gang must
// start again from the saved progress, also under another leader.
func TestGangSavesDuringOutage(t *testing.T) {
	t.Parallel()
	for _, nextLeader := range []string{"the same leader", "another leader"} {
		t.Run(nextLeader, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 821, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob := startSpotGang(t, sim, sleepUntil, 30*time.Second)
				sim.State.SetOutage(true)
				time.Sleep(5 * time.Second)
				sim.GiveSpotNotice(sim.MachinesHolding(gangJob.Spec.ID)[0], 20*time.Second)
				time.Sleep(25 * time.Second)
				mustHaveSaved(t, sim, gangJob, 35)
				leader := sim.Leader()
				if nextLeader == "another leader" {
					sim.KillController(leader)
				}
				sim.State.SetOutage(false)
				awaitGangRestart(t, sim, gangJob, 60*time.Second)
				if nextLeader == "another leader" {
					startControllers(t, sim, leader)
				}
				mustHaveSaved(t, sim, gangJob, 35)
				time.Sleep(60 * time.Second)
				mustFinish(t, sim, gangJob)
			})
		})
	}
}

// Only the leader loses its connection to the key-value store. Another controller takes over
// while the first still stops a gang after a spot notice, and possibly can't reach all members
// any more. No rule may break, and the gang may lose only its work since its last checkpoint.
func TestGangSpotNoticeBetweenTwoLeaders(t *testing.T) {
	t.Parallel()
	for _, refusedFor := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 7 * time.Second} {
		t.Run(fmt.Sprint(refusedFor), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 822, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob := startSpotGang(t, sim, sleepUntil, 33*time.Second)
				machines := sim.MachinesHolding(gangJob.Spec.ID)
				leader := sim.Leader()
				sim.State.RefuseClient(simulator.NodeIP(leader), true)
				time.Sleep(refusedFor)
				sim.Net.HoldPackets(simulator.NodeIP(leader), sim.MachineIP(machines[len(machines)-1]), true)
				sim.GiveSpotNotice(machines[0], 12*time.Second)
				time.Sleep(30 * time.Second)
				sim.Net.HoldPackets(simulator.NodeIP(leader), sim.MachineIP(machines[len(machines)-1]), false)
				sim.State.RefuseClient(simulator.NodeIP(leader), false)
				awaitGangRestart(t, sim, gangJob, 90*time.Second)
				if g := sim.GangState(gangJob.Spec.ID); g.SavedSeconds < 20 {
					t.Errorf("%+v, want at least the progress of the checkpoint at 20 s", g)
				}
				t.Logf("%+v", sim.GangState(gangJob.Spec.ID))
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, gangJob)
			})
		})
	}
}
