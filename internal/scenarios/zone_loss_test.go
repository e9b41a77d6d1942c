package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Jobs that are bound to one zone, by name or by their own first task, lose their machines there.
// That zone has no more machines to provision while others have. No task of such a job may start
// in another zone while one may still run in the first. Once those are proven to be gone, in
// whatever way, no task may wait for a further proof. A spread service must count the tasks that
// may still run on unreachable machines.
func TestSingleZoneJobsLoseTheirZone(t *testing.T) {
	t.Parallel()
	everyNth := func(ids []wire.MachineID, every int) (out []wire.MachineID) {
		for i, id := range ids {
			if i%every == 0 {
				out = append(out, id)
			}
		}
		return out
	}
	for _, variant := range []struct {
		name          string
		leaderChanges bool // during the fault
		cloudDown     bool // during the fault, so that no list shows the zones of machines
		jobsMove      bool // during the fault, since all of the first zone is lost
		setFault      func(sim *simulator.Simulation, on bool, ids []wire.MachineID)
	}{
		{"all vanish, cloud down, leader changes", true, true, false, func(sim *simulator.Simulation, on bool, ids []wire.MachineID) {
			if on {
				sim.RemoveMachines(ids...)
			}
		}},
		{"half cut, half vanish, leader changes", true, false, true, func(sim *simulator.Simulation, on bool, ids []wire.MachineID) {
			for i, id := range ids {
				if i%2 == 0 {
					sim.PartitionMachine(id, on)
				} else if on {
					sim.RemoveMachines(id)
				}
			}
		}},
		{"cut off, leader changes", true, false, true, func(sim *simulator.Simulation, on bool, ids []wire.MachineID) { sim.IsolateZone("a", on) }},
		{"half hang", false, false, false, func(sim *simulator.Simulation, on bool, ids []wire.MachineID) {
			for _, id := range everyNth(ids, 2) {
				sim.StallMachine(id, on)
			}
		}},
	} {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%s, seed %d", variant.name, seed), func(t *testing.T) {
				t.Parallel()
				runWithControllersIn(t, simulator.ThreeZoneSettings(), []wire.Zone{"b", "c", "a"}, 420+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					boundArray, sameZoneArray := array(1, 8, 70), array(2, 14, 50)
					boundArray.Spec.Zone, sameZoneArray.Spec.SameZone = "a", true
					boundService, sameZoneService, spreadService := service(3, 3), service(4, 3), service(5, 4)
					boundService.Spec.Zone, boundService.Spec.Spread = "a", false
					sameZoneService.Spec.SameZone, sameZoneService.Spec.Spread = true, false
					sim.SetSoldOut("b", true)
					sim.SetSoldOut("c", true)
					sleepUntil(2 * time.Second)
					for _, j := range []simulator.JobScript{sameZoneArray, sameZoneService, boundService, spreadService, boundArray} {
						sim.Submit(j, 0)
					}
					sleepUntil(50 * time.Second)
					sim.WithChecker(func(c *simulator.Checker) {
						for _, j := range []simulator.JobScript{sameZoneArray, sameZoneService, boundService, spreadService} {
							if z := c.TasksByZone(j.Spec.ID); z["a"] == 0 || len(z) != 1 {
								t.Errorf("%s runs in %v before the fault, want zone a only", j.Spec.ID, z)
							}
						}
					})
					sim.SetSoldOut("b", false)
					sim.SetSoldOut("c", false)
					sim.SetSoldOut("a", true)
					sim.SetCloudOutage(variant.cloudDown)
					machines := sim.RunningMachinesIn("a")
					variant.setFault(sim, true, machines)
					if variant.leaderChanges {
						time.Sleep(time.Second)
						replaceLeader(t, sim)
						time.Sleep(time.Second)
					}
					// Tasks must still run there, or the new leader must know of tasks whose zone it
					// can't tell.
					if variant.cloudDown {
						mustHaveTaskInUnknownZone(t, sim)
					} else {
						sim.WithChecker(func(c *simulator.Checker) {
							tasksInside := 0
							for _, j := range []simulator.JobScript{sameZoneArray, sameZoneService, spreadService, boundArray, boundService} {
								tasksInside += c.TasksByZone(j.Spec.ID)["a"]
							}
							if tasksInside == 0 {
								t.Error("no task runs in the lost zone, want some")
							}
						})
					}
					sleepUntil(100 * time.Second)
					sim.SetCloudOutage(false)
					sleepUntil(190 * time.Second)
					if variant.jobsMove {
						sim.WithChecker(func(c *simulator.Checker) {
							if z := c.TasksByZone(sameZoneService.Spec.ID); len(z) != 1 || z["a"] > 0 {
								t.Errorf("the single-zone service runs in %v while zone a is lost, want one other zone", z)
							}
							if z := c.TasksByZone(sameZoneArray.Spec.ID); z["a"] > 0 || len(z) == 0 && !c.Complete(sameZoneArray.Spec.ID) {
								t.Errorf("the single-zone array runs in %v while zone a is lost, want other zones only, or a complete array", z)
							}
						})
						mustRun(t, sim, spreadService, "while a zone is lost")
					}
					sim.SetSoldOut("a", false)
					variant.setFault(sim, false, machines)
					markFaultsOver(sim)
					sleepUntil(300 * time.Second)
					mustFinish(t, sim, sameZoneArray)
					for _, j := range []simulator.JobScript{sameZoneService, boundService, spreadService} {
						mustRun(t, sim, j, "of "+string(j.Spec.ID)+" after all faults")
					}
					// The zone's cheap machines may be sold out by then. The last tasks of the bound array
					// may wait for the earlier ones, but not while a machine has capacity for them.
					if n := sim.JobsWithCapacity()[boundArray.Spec.ID]; n > 0 {
						t.Errorf("%d of the bound array's 8 tasks wait 110 s after the faults although a machine has capacity for them", n)
					}
					sleepUntil(420 * time.Second)
					mustFinish(t, sim, boundArray)
				})
			})
		}
	}
}
