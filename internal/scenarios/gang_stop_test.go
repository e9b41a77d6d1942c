package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A prod service preempts a gang. All tasks of the gang must be stopped together and save their
// progress, also when some receive the stop command later. The leader may be killed meanwhile.
// In that case a save may fail, and the gang continues from its last checkpoint.
func TestGangPreempted(t *testing.T) {
	t.Parallel()
	for _, variant := range []string{"no fault", "late stop command", "leader killed at first stop", "leader killed and service cancelled"} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 804, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob, serviceJob := gang(1, 4, 50), service(2, 4)
				gangJob.Spec.Priority, gangJob.Spec.MachineTypes = wire.PriorityStandard, []wire.MachineType{"c4"}
				serviceJob.Spec.Spread, serviceJob.Spec.MemoryGB = false, 6
				sleepUntil(2 * time.Second)
				// The service would fit into capacity reserved for the next gang and preempt nothing.
				if status, raw, _ := sim.AskAsOperator(0, "PUT", "/admin/settings", map[string]any{"version": 0, "set": map[string]any{"gangs.spare": 0}}); status != 200 {
					t.Fatalf("setting gangs.spare answered %d %s, want 200", status, raw)
				}
				sim.Submit(gangJob, 0)
				awaitGangRunning(t, sim, gangJob, 60*time.Second)
				sim.SellOutEverything()
				time.Sleep(25 * time.Second) // 5 s past its checkpoint
				leader := sim.Leader()
				if machines := sim.MachinesHolding(gangJob.Spec.ID); len(machines) < 2 {
					t.Fatalf("all tasks are on %v, want two or more machines", machines)
				} else if variant == "leader killed at first stop" || variant == "leader killed and service cancelled" {
					sim.Net.HoldPackets(simulator.NodeIP(leader), sim.MachineIP(machines[1]), true)
					defer sim.Net.HoldPackets(simulator.NodeIP(leader), sim.MachineIP(machines[1]), false)
				} else if variant != "no fault" {
					sim.Net.SlowLink(simulator.NodeIP(leader), sim.MachineIP(machines[1]), 2500*time.Millisecond)
				}
				sim.Submit(serviceJob, 0)
				if !eventually(t, 20*time.Second, "the first task saves", func() bool { return sim.GangState(gangJob.Spec.ID).Saving > 0 }) {
					return
				}
				state := sim.GangState(gangJob.Spec.ID)
				if variant != "no fault" && state.Running == 0 {
					t.Errorf("%+v, want a task that has not received its stop command", state)
				}
				if variant == "leader killed at first stop" || variant == "leader killed and service cancelled" {
					sim.KillController(leader)
					if variant == "leader killed and service cancelled" { // the next leader then learns of the stop only from the tasks that save
						eventually(t, 5*time.Second, "the cancellation is confirmed", func() bool {
							status, _, _ := sim.Ask((leader+1)%3, "POST", "/v1/jobs/"+string(serviceJob.Spec.ID)+"/cancel", nil)
							return status == 200
						})
					}
					time.Sleep(time.Second)
					startControllers(t, sim, leader)
				}
				time.Sleep(30 * time.Second)
				if state = sim.GangState(gangJob.Spec.ID); state.Saves+state.Rollbacks != 1 || state.SavedSeconds < 20 || variant != "leader killed at first stop" && (state.Rollbacks != 0 || state.SavedSeconds < 24) {
					t.Errorf("%+v, want one stop that loses no checkpoint, and a rollback only if the leader was killed at the first stop", state)
				}
				t.Logf("%+v", state)
				if variant != "leader killed and service cancelled" {
					mustRun(t, sim, serviceJob, "after the preemption")
				}
			})
		})
	}
}

// One member's machine gets a spot notice: all tasks of the gang must save.
func TestGangSpotNotice(t *testing.T) {
	t.Parallel()
	for _, notice := range []time.Duration{25 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint(notice), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 805, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob := gang(1, 4, 60)
				gangJob.Spec.SpotAllowed = true
				sleepUntil(2 * time.Second)
				sim.Submit(gangJob, 0)
				awaitGangRunning(t, sim, gangJob, 60*time.Second)
				time.Sleep(33 * time.Second)
				sim.GiveSpotNotice(sim.MachinesHolding(gangJob.Spec.ID)[0], notice)
				awaitGangRestart(t, sim, gangJob, 60*time.Second)
				mustHaveSaved(t, sim, gangJob, 33)
				time.Sleep(60 * time.Second)
				mustFinish(t, sim, gangJob)
			})
		})
	}
}

// The first heartbeats that a new leader receives from a gang's machines carry spot notices.
// The leader must stop all tasks of the gang so that they save.
func TestGangSpotNoticeToNewLeader(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 812, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		gangJob := gang(1, 4, 60)
		gangJob.Spec.SpotAllowed, gangJob.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		sleepUntil(2 * time.Second)
		sim.Submit(gangJob, 0)
		awaitGangRunning(t, sim, gangJob, 60*time.Second)
		time.Sleep(33 * time.Second)
		leader := sim.Leader()
		sim.KillController(leader)
		for _, id := range sim.MachinesHolding(gangJob.Spec.ID) {
			sim.GiveSpotNotice(id, 25*time.Second)
		}
		time.Sleep(4 * time.Second)
		startControllers(t, sim, leader)
		awaitGangRestart(t, sim, gangJob, 60*time.Second)
		mustHaveSaved(t, sim, gangJob, 33)
		time.Sleep(60 * time.Second)
		mustFinish(t, sim, gangJob)
	})
}

// A spot notice arrives during an outage of the key-value store. The gang must start again and finish
// after the outage.
func TestGangSpotNoticeDuringOutage(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 813, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		gangJob := gang(1, 4, 80)
		gangJob.Spec.SpotAllowed, gangJob.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		sleepUntil(2 * time.Second)
		sim.Submit(gangJob, 0)
		awaitGangRunning(t, sim, gangJob, 60*time.Second)
		time.Sleep(30 * time.Second)
		sim.State.SetOutage(true)
		time.Sleep(5 * time.Second)
		sim.GiveSpotNotice(sim.MachinesHolding(gangJob.Spec.ID)[0], 20*time.Second)
		time.Sleep(25 * time.Second)
		t.Logf("during the outage %+v", sim.GangState(gangJob.Spec.ID))
		sim.State.SetOutage(false)
		awaitGangRestart(t, sim, gangJob, 60*time.Second)
		time.Sleep(90 * time.Second)
		mustFinish(t, sim, gangJob)
	})
}

// A gang is cancelled in each phase. All its tasks must be gone within cancel_s.
func TestGangCancelled(t *testing.T) {
	t.Parallel()
	phases := map[string]func(g simulator.GangState) bool{
		"queued":   func(g simulator.GangState) bool { return true },
		"fetching": func(g simulator.GangState) bool { return g.Fetching > 0 },
		"waiting":  func(g simulator.GangState) bool { return g.Waiting > 0 },
		"running":  func(g simulator.GangState) bool { return g.Running == 4 },
		"saving":   func(g simulator.GangState) bool { return g.Saving > 0 },
	}
	for phase, reached := range phases {
		t.Run(phase, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 806, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob, warmUpArray := gang(1, 4, 60), array(9, 10, 15)
				gangJob.Spec.SpotAllowed, gangJob.Spec.CheckpointTime, gangJob.Spec.MachineTypes = true, 4, []wire.MachineType{"c4"}
				warmUpArray.Spec.MachineTypes = gangJob.Spec.MachineTypes
				sleepUntil(2 * time.Second)
				sim.Submit(warmUpArray, 0)
				sleepUntil(30 * time.Second)
				setUnevenFetchSpeeds(sim)
				sim.Submit(gangJob, 0)
				time.Sleep(time.Second)
				if phase == "saving" {
					awaitGangRunning(t, sim, gangJob, 60*time.Second)
					sim.GiveSpotNotice(sim.MachinesHolding(gangJob.Spec.ID)[0], 30*time.Second)
				}
				if !eventually(t, 60*time.Second, phase, func() bool { return reached(sim.GangState(gangJob.Spec.ID)) }) {
					return
				}
				eventually(t, 10*time.Second, "the cancellation is confirmed", func() bool {
					status, _, _ := sim.Ask(0, "POST", "/v1/jobs/"+string(gangJob.Spec.ID)+"/cancel", nil)
					return status == 200
				})
				time.Sleep(12 * time.Second)
				if g := sim.GangState(gangJob.Spec.ID); g.Fetching+g.Waiting+g.Running+g.Saving != 0 {
					t.Errorf("12 s after the cancellation: %+v, want no tasks on machines", g)
				}
				time.Sleep(60 * time.Second)
				sim.Submit(array(5, 1, 1), 0)
				time.Sleep(40 * time.Second)
			})
		})
	}
}

// Users cancel gangs at about the time these complete.
func TestGangCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	runScenario(t, 814, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		for n := range 14 {
			gangJob := gang(100+n, 2, 10)
			gangJob.Spec.CPUs, gangJob.Spec.MemoryGB = 1, 3
			sim.Submit(gangJob, time.Duration(18+n)*time.Second)
		}
		sleepUntil(150 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 14 || done == 0 || cancelled == 0 {
				t.Errorf("%d done, %d cancelled, want some of both and 14 in all", done, cancelled)
			}
		})
	})
}
