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

// The responses to scale-in and scale-out requests are lost, machines vanish without notice,
// and the cloud's API is unavailable for a while.
func TestCloudFaults(t *testing.T) {
	t.Parallel()
	runScenario(t, 8, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		arrayJob, serviceJob := array(1, 20, 20), service(2, 3)
		sleepUntil(time.Second)
		sim.LoseScaleOutResponses(2)
		sleepUntil(2 * time.Second)
		submitAll(sim, arrayJob, serviceJob)
		sleepUntil(40 * time.Second)
		sim.LoseScaleInResponses(2)
		if sim.ReclaimMachines(2, func(_ bool, tasks int) bool { return tasks > 0 }) == 0 {
			t.Error("no busy machine was reclaimed, want some")
		}
		sleepUntil(60 * time.Second)
		sim.SetCloudOutage(true)
		sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 })
		sleepUntil(110 * time.Second)
		sim.SetCloudOutage(false)
		sleepUntil(220 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "at the end")
		if n := sim.Machines(); n > 8 {
			t.Errorf("%d machines are kept for three replicas, want at most 8", n)
		}
	})
}

// A machine that fails every task must be returned. A job that fails on every machine must not
// make the machines count as faulty.
func TestFaultyMachineAndFaultyJob(t *testing.T) {
	t.Parallel()
	runScenario(t, 9, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		goodArray, failingArray := array(1, 16, 15), array(2, 4, 15)
		failingArray.AlwaysFails = true
		sleepUntil(2 * time.Second)
		sim.Submit(goodArray, 0)
		sleepUntil(25 * time.Second)
		faultyMachine, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine has a task")
		}
		sim.MakeFaulty(faultyMachine)
		sleepUntil(70 * time.Second)
		mustFinish(t, sim, goodArray)
		sim.Submit(failingArray, 90*time.Second)
		machinesBefore := sim.ProvisionedSoFar()
		sleepUntil(150 * time.Second)
		if n := sim.ProvisionedSoFar() - machinesBefore; n > 6 {
			t.Errorf("%d machines provisioned for a job that always fails, want at most 6", n)
		}
		laterArray := array(3, 4, 10)
		sim.Submit(laterArray, 0)
		sleepUntil(210 * time.Second)
		mustFinish(t, sim, laterArray)
	})
}

// A machine restarts within a moment and numbers its heartbeats from the start again. They must
// not be taken for delayed copies for ever: its tasks must be started elsewhere well before its
// lease or any timeout ends.
func TestQuickMachineRestartDetected(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 32, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 8, 60)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(45 * time.Second)
		machines := sim.MachinesRunning(serviceJob.Spec.ID)
		for _, id := range machines {
			sim.ResendLastHeartbeat(id, 3*time.Second, 9*time.Second, 20*time.Second)
			sim.RestartMachine(id)
		}
		sleepUntil(50 * time.Second)
		for _, id := range machines {
			if sim.MachineIP(id) != "" {
				t.Errorf("the restart of %s was not detected within 5 s", id)
			}
		}
		sleepUntil(75 * time.Second)
		mustRun(t, sim, serviceJob, "30 s after the restarts")
		sleepUntil(200 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// Machines boot quickly, get tasks before any list shows them, and vanish when the leader is
// killed. The next leader knows only their names, from the stored records, and no list will ever
// show their zones. Jobs that are bound to one zone must not wait for that.
func TestMachinesNeverListedByCloud(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsWithTeamLimits(), 480+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.SetBootFactor(0.05)
				sameZoneArray, sameZoneService := array(1, 12, 30), service(2, 4)
				sameZoneArray.Spec.SameZone, sameZoneService.Spec.SameZone, sameZoneService.Spec.Spread = true, true, false
				sameZoneArray.Spec.Deadline = 40
				sim.SetUnlisted(true)
				sleepUntil(10 * time.Second)
				submitAll(sim, sameZoneArray, sameZoneService)
				for n := 0; len(sim.MachinesRunning(sameZoneArray.Spec.ID)) == 0 || len(sim.MachinesRunning(sameZoneService.Spec.ID)) == 0; n++ {
					if n > 60 {
						t.Fatalf("the array runs on %v and the service on %v, want both on some machine within 6 s", sim.MachinesRunning(sameZoneArray.Spec.ID), sim.MachinesRunning(sameZoneService.Spec.ID))
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
					t.Fatalf("leader is controller %d, was controller %d, want another", newLeader, leader)
				}
				mustHaveTaskInUnknownZone(t, sim)
				startControllers(t, sim, leader)
				markFaultsOver(sim)
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, sameZoneArray)
				mustRun(t, sim, sameZoneService, "after all faults")
				mustLeaveNoKeys(t, sim, sameZoneService)
			})
		})
	}
}

// A scale-in request takes effect but its response is lost, and the leader that sent it is killed.
// Tasks of a cancelled job were on that machine. Their team is at its limit, and lists still show the
// machine for a while.
func TestScaleInUnansweredAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsWithTeamLimits(), 490+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				cancelledJob, waitingArray, serviceJob := array(1, 12, 300), array(2, 12, 15), service(3, 4)
				sleepUntil(2 * time.Second)
				submitAll(sim, cancelledJob, serviceJob)
				sleepUntil(30 * time.Second)
				sim.Submit(waitingArray, 0)
				sleepUntil(45 * time.Second)
				mustUseCPUs(t, sim, "red", 24)
				partitioned := sim.MachinesRunning(cancelledJob.Spec.ID)
				partitioned = partitioned[:1]
				sim.LoseScaleInResponses(1000)
				for _, id := range partitioned {
					sim.PartitionMachine(id, true)
				}
				if !cancelWithin(t, sim, cancelledJob.Spec.ID, 2*time.Second) {
					t.Fatal("the job was not cancelled within 2 s")
				}
				time.Sleep(3 * time.Second)
				unreachableTasks := 0
				sim.WithChecker(func(c *simulator.Checker) {
					if unreachableTasks = c.TasksOnMachines(cancelledJob.Spec.ID); unreachableTasks == 0 {
						t.Error("no task of the cancelled job is on the partitioned machine, want some")
					}
				})
				for n := 0; slices.ContainsFunc(partitioned, func(id wire.MachineID) bool { return sim.MachineIP(id) != "" }); n++ {
					if n > 100 {
						t.Fatal("the partitioned machine was not released within 10 s")
					}
					time.Sleep(100 * time.Millisecond)
				}
				// The machine is gone, but the leader can't know: its tasks still count towards the limit.
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.TasksOnMachines(waitingArray.Spec.ID); c.TasksOnMachines(cancelledJob.Spec.ID) > 0 || n > 12-unreachableTasks {
						t.Errorf("%d tasks of the waiting array run while %d unreachable tasks count towards the limit of 12", n, unreachableTasks)
					}
				})
				replaceLeader(t, sim)
				sim.LoseScaleInResponses(0)
				markFaultsOver(sim)
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, waitingArray)
				mustRun(t, sim, serviceJob, "after all faults")
				mustLeaveNoKeys(t, sim, serviceJob)
			})
		})
	}
}

// Most machines vanish at once and without notice when the leader is killed. To the next leader
// it looks as if it were itself partitioned from them, so it keeps them. It must not do so for
// ever: no list shows them any more.
func TestMostMachinesLostAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 510+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				arrayJob, serviceJob := array(1, 12, 300), service(2, 4)
				sleepUntil(2 * time.Second)
				sim.Submit(arrayJob, 90*time.Second)
				sim.Submit(serviceJob, 0)
				sleepUntil(45 * time.Second)
				mustRun(t, sim, serviceJob, "before the fault")
				machines := append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...)
				replicaMachines := sim.MachinesRunning(serviceJob.Spec.ID)
				removed := slices.DeleteFunc(machines, func(id wire.MachineID) bool { return slices.Contains(replicaMachines, id) })
				if len(removed) < 3 || len(removed) <= len(replicaMachines) {
					t.Fatalf("machines %v hold replicas, %v don't: want at least 3 of the latter, and more than of the former", replicaMachines, removed)
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
				if wire.Decode(raw, &view) != nil || view.Cluster == nil {
					t.Fatal("admin view of the leader: not readable or without a term")
				}
				for _, machine := range view.Cluster.Machines {
					if sim.MachineIP(machine.Name) == "" {
						t.Errorf("machine %s is gone but still kept, silent for %.0f s", machine.Name, machine.SecondsSinceMessage)
					}
				}
				mustRun(t, sim, serviceJob, "after all faults")
			})
		})
	}
}

// All spot machines are reclaimed at once while an array that may use them is partly done. The
// cloud has no more of them from then on, and the leader changes. The rest of the array must
// run on ordinary machines in the end, whatever they cost.
func TestSpotCapacityLostDuringArray(t *testing.T) {
	t.Parallel()
	for _, zone := range []wire.Zone{"", "a"} {
		t.Run("bound to "+string(zone), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 520, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				arrayJob := array(1, 12, 20)
				arrayJob.Spec.Zone = zone
				sleepUntil(2 * time.Second)
				sim.Submit(arrayJob, 0)
				doneTasks := 0
				for doneTasks == 0 {
					time.Sleep(100 * time.Millisecond)
					sim.WithChecker(func(c *simulator.Checker) {
						doneTasks = arrayJob.Spec.Tasks - c.TasksOnMachines(arrayJob.Spec.ID) - c.Waiting(arrayJob.Spec.ID)
					})
				}
				sim.SetSpotSoldOut(true)
				if sim.ReclaimMachines(100, func(spot bool, _ int) bool { return spot }) == 0 {
					t.Error("no spot machine was reclaimed, want some")
				}
				replaceLeader(t, sim)
				markFaultsOver(sim)
				if doneTasks == arrayJob.Spec.Tasks {
					t.Error("the array completed before the spot machines were reclaimed")
				}
				for n := 0; n < 400 && sim.State.Keys("job/") != nil; n++ {
					time.Sleep(time.Second)
				}
				mustFinish(t, sim, arrayJob)
			})
		})
	}
}
