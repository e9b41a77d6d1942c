package scenarios_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// The answers of scale-in requests and scale-out requests are lost, machines vanish silently,
// and the cloud's interface goes away.
func TestCloudFaults(t *testing.T) {
	t.Parallel()
	runScenario(t, 8, func(sim *simulator.Simulation, at func(time.Duration)) {
		arrayJob, serviceJob := array(1, 20, 20), service(2, 3)
		at(time.Second)
		sim.LoseScaleOutAnswers(2)
		at(2 * time.Second)
		submitAll(sim, arrayJob, serviceJob)
		at(40 * time.Second)
		sim.LoseScaleInAnswers(2)
		if sim.ReclaimMachines(2, func(_ bool, tasks int) bool { return tasks > 0 }) == 0 {
			t.Error("nothing to take")
		}
		at(60 * time.Second)
		sim.CloudOutage(true)
		sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 })
		at(110 * time.Second)
		sim.CloudOutage(false)
		at(220 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "run")
		if n := sim.Machines(); n > 8 {
			t.Errorf("%d machines are kept for three replicas", n)
		}
	})
}

// A machine that fails everything is returned; a job that fails everywhere
// condemns no machines.
func TestFaultyMachineAndFaultyJob(t *testing.T) {
	t.Parallel()
	runScenario(t, 9, func(sim *simulator.Simulation, at func(time.Duration)) {
		goodArray, failingArray := array(1, 16, 15), array(2, 4, 15)
		failingArray.AlwaysFails = true
		at(2 * time.Second)
		sim.Submit(goodArray, 0)
		at(25 * time.Second)
		faultyMachine, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine at work")
		}
		sim.MakeFaulty(faultyMachine)
		at(70 * time.Second)
		mustFinish(t, sim, goodArray)
		sim.Submit(failingArray, 90*time.Second)
		machinesBefore := sim.ProvisionedSoFar()
		at(150 * time.Second)
		if n := sim.ProvisionedSoFar() - machinesBefore; n > 6 {
			t.Errorf("a faulty job cost %d machines", n)
		}
		laterArray := array(3, 4, 10)
		sim.Submit(laterArray, 0)
		at(210 * time.Second)
		mustFinish(t, sim, laterArray)
	})
}

// A machine is back within a moment and counts from the start again. Its
// reports must not be taken for late copies for ever: what it ran is started
// elsewhere well before its lease or anybody's patience ends.
func TestMachineRestartsAtOnce(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 32, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 8, 60)
		at(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		at(45 * time.Second)
		machines := sim.MachinesRunning(serviceJob.Spec.ID)
		for _, id := range machines {
			sim.ResendLastHeartbeat(id, 3*time.Second, 9*time.Second, 20*time.Second)
			sim.RestartMachine(id)
		}
		at(50 * time.Second)
		for _, id := range machines {
			if sim.MachineIP(id) != "" {
				t.Errorf("%s was not noticed within 5 s", id)
			}
		}
		at(75 * time.Second)
		mustRun(t, sim, serviceJob, "after 30 s")
		at(200 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// Machines come up at once, take tasks before any list has them, and vanish when
// the leader ends: the next one knows their names only, from the stored records, and no
// list will ever say where they were. What is bound to one place must not wait
// for that.
func TestMachinesNeverListedByCloud(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsWithTeamLimits(), 480+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				sim.SetBootFactor(0.05)
				sameZoneArray, sameZoneService := array(1, 12, 30), service(2, 4)
				sameZoneArray.Spec.SameZone, sameZoneService.Spec.SameZone, sameZoneService.Spec.Spread = true, true, false
				sameZoneArray.Spec.Deadline = 40
				sim.SetUnlisted(true)
				at(10 * time.Second)
				submitAll(sim, sameZoneArray, sameZoneService)
				for n := 0; len(sim.MachinesRunning(sameZoneArray.Spec.ID)) == 0 || len(sim.MachinesRunning(sameZoneService.Spec.ID)) == 0; n++ {
					if n > 60 {
						t.Fatalf("tasks on %v and %v", sim.MachinesRunning(sameZoneArray.Spec.ID), sim.MachinesRunning(sameZoneService.Spec.ID))
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				leader := sim.Leader()
				sim.KillController(leader)
				sim.RemoveMachines(append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...)...)
				sim.SetUnlisted(false)
				time.Sleep(5 * time.Second)
				if newLeader := sim.Leader(); newLeader == leader || newLeader < 0 {
					t.Fatalf("leader is %d, was %d", newLeader, leader)
				}
				mustHaveTaskInUnknownZone(t, sim)
				startControllers(t, sim, leader)
				markFaultsOver(sim)
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, sameZoneArray)
				mustRun(t, sim, sameZoneService, "when all is over")
				mustLeaveNoKeys(t, sim, sameZoneService)
			})
		})
	}
}

// A scale-in request takes effect and is never answered, since the leader that asked for it
// ends: tasks of a team at its limit were on that machine, some of them cancelled
// meanwhile, and lists go on showing it for a while.
func TestScaleInUnansweredAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsWithTeamLimits(), 490+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				cancelledJob, waitingArray, serviceJob := array(1, 12, 300), array(2, 12, 15), service(3, 4)
				at(2 * time.Second)
				submitAll(sim, cancelledJob, serviceJob)
				at(30 * time.Second)
				sim.Submit(waitingArray, 0)
				at(45 * time.Second)
				mustUseCPUs(t, sim, "red", 24)
				partitioned := sim.MachinesRunning(cancelledJob.Spec.ID)
				partitioned = partitioned[:1]
				sim.LoseScaleInAnswers(1000)
				for _, id := range partitioned {
					sim.PartitionMachine(id, true)
				}
				if !cancelWithin(t, sim, cancelledJob.Spec.ID, 2*time.Second) {
					t.Fatal("not cancelled")
				}
				time.Sleep(3 * time.Second)
				unreachableTasks := 0
				sim.WithChecker(func(c *simulator.Checker) {
					if unreachableTasks = c.OnMachines(cancelledJob.Spec.ID); unreachableTasks == 0 {
						t.Error("nothing of the cancelled job runs where it can't be stopped")
					}
				})
				for n := 0; slices.ContainsFunc(partitioned, func(id wire.MachineID) bool { return sim.MachineIP(id) != "" }); n++ {
					if n > 100 {
						t.Fatal("the machines were not released")
					}
					time.Sleep(100 * time.Millisecond)
				}
				// They are gone, and the leader can't know: they count.
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.OnMachines(waitingArray.Spec.ID); c.OnMachines(cancelledJob.Spec.ID) > 0 || n > 12-unreachableTasks {
						t.Errorf("%d tasks of the next job run before the release of %d is answered", n, unreachableTasks)
					}
				})
				replaceLeader(t, sim)
				sim.LoseScaleInAnswers(0)
				markFaultsOver(sim)
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, waitingArray)
				mustRun(t, sim, serviceJob, "when all is over")
				mustLeaveNoKeys(t, sim, serviceJob)
			})
		})
	}
}

// Most machines are gone at once and without a trace when the leader ends: to the
// next it looks as if it were itself cut off from them, and it keeps them. It must
// not do so for ever: they are in no list any more.
func TestMostMachinesLostAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 510+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				arrayJob, serviceJob := array(1, 12, 300), service(2, 4)
				at(2 * time.Second)
				sim.Submit(arrayJob, 90*time.Second)
				sim.Submit(serviceJob, 0)
				at(45 * time.Second)
				mustRun(t, sim, serviceJob, "before the fault")
				machines := append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...)
				replicaMachines := sim.MachinesRunning(serviceJob.Spec.ID)
				removed := slices.DeleteFunc(machines, func(id wire.MachineID) bool { return slices.Contains(replicaMachines, id) })
				if len(removed) < 3 || len(removed) <= len(replicaMachines) {
					t.Fatalf("%v hold replicas, %v don't", replicaMachines, removed)
				}
				leader := sim.Leader()
				sim.KillController(leader)
				sim.RemoveMachines(removed...)
				awaitSuccessor(t, sim, leader)
				sim.SetSoldOut("a", true)
				sim.SetSoldOut("b", true)
				markFaultsOver(sim)
				time.Sleep(60 * time.Second)
				_, raw, _ := sim.AskAsOperator(sim.Leader(), "GET", "/admin/view", nil)
				var view admin.View
				if wire.Decode(raw, &view) != nil || view.Term == nil {
					t.Fatal("no view")
				}
				for _, machine := range view.Term.Machines {
					if sim.MachineIP(machine.Name) == "" {
						t.Errorf("%s is gone and still kept, silent for %.0f s", machine.Name, machine.SecondsSinceMessage)
					}
				}
				mustRun(t, sim, serviceJob, "when all is over")
			})
		})
	}
}

// All spot machines are taken at once while an array that may use them is half
// done, the cloud has no more of them for good, and the leader changes. The rest
// of the array must run on ordinary machines in the end, whatever they cost.
func TestSpotCapacityLostDuringArray(t *testing.T) {
	t.Parallel()
	for _, zone := range []wire.Zone{"", "a"} {
		t.Run("bound to "+string(zone), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 520, func(sim *simulator.Simulation, at func(time.Duration)) {
				arrayJob := array(1, 12, 20)
				arrayJob.Spec.Zone = zone
				at(2 * time.Second)
				sim.Submit(arrayJob, 0)
				doneTasks := 0
				for doneTasks == 0 {
					time.Sleep(100 * time.Millisecond)
					sim.WithChecker(func(c *simulator.Checker) {
						doneTasks = arrayJob.Spec.Tasks - c.OnMachines(arrayJob.Spec.ID) - c.Waiting(arrayJob.Spec.ID)
					})
				}
				sim.SetSpotSoldOut(true)
				if sim.ReclaimMachines(100, func(spot bool, _ int) bool { return spot }) == 0 {
					t.Error("no spot machine to take")
				}
				replaceLeader(t, sim)
				markFaultsOver(sim)
				if doneTasks == arrayJob.Spec.Tasks {
					t.Error("the array was done already")
				}
				for n := 0; n < 400 && sim.State.Keys("job/") != nil; n++ {
					time.Sleep(time.Second)
				}
				mustFinish(t, sim, arrayJob)
			})
		})
	}
}
