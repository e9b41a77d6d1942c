package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Every team is at its limit and has more tasks waiting when the busy machines become
// unreachable. All running jobs are cancelled meanwhile, and the leader changes: after the
// cancellation, or before, so that there is no leader when the jobs are cancelled. Tasks that
// may still run there count towards the limit, and no waiting task may start beyond it. Once
// they are known to be gone, the waiting tasks must run, even if the machines never come back.
func TestTeamLimitsCountUnreachableCancelledTasks(t *testing.T) {
	t.Parallel()
	faults := map[string]func(sim *simulator.Simulation, id wire.MachineID, on bool){
		"cut":  (*simulator.Simulation).PartitionMachine,
		"hang": (*simulator.Simulation).StallMachine,
		"no inbound": func(sim *simulator.Simulation, id wire.MachineID, on bool) {
			sim.Net.BlockInbound(sim.MachineIP(id), on)
		},
	}
	for _, variant := range []struct {
		fault             string
		leaderKilledFirst bool          // before the cancellation
		halfOfMachines    bool          // only half of the machines are unreachable
		cloudDown         bool          // during the fault
		duration          time.Duration // of the fault: from below a lease to above any timeout
	}{
		{"cut", true, false, false, 12 * time.Second},
		{"cut", false, true, true, 75 * time.Second},
		{"hang", false, false, false, 75 * time.Second},
		{"hang", true, true, false, 25 * time.Second},
		{"no inbound", true, false, true, 75 * time.Second},
	} {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%s, leader killed first %v, half %v, cloud down %v, %v, seed %d", variant.fault, variant.leaderKilledFirst, variant.halfOfMachines, variant.cloudDown, variant.duration, seed), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsWithTeamLimits(), 400+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					cancelledJob, cancelledService := array(1, 12, 400), service(2, 16)
					nextArray, nextService := array(3, 12, 15), service(4, 16)
					sleepUntil(2 * time.Second)
					submitAll(sim, cancelledJob, cancelledService)
					sleepUntil(20 * time.Second)
					submitAll(sim, nextArray, nextService)
					sleepUntil(45 * time.Second)
					mustUseCPUs(t, sim, "red", 24)
					mustUseCPUs(t, sim, "blue", 16)
					var unreachableMachines []wire.MachineID
					for i, id := range append(sim.MachinesRunning(cancelledJob.Spec.ID), sim.MachinesRunning(cancelledService.Spec.ID)...) {
						if !variant.halfOfMachines || i%2 == 0 {
							unreachableMachines = append(unreachableMachines, id)
						}
					}
					setFault := func(on bool) {
						for _, id := range unreachableMachines {
							faults[variant.fault](sim, id, on)
						}
						if variant.cloudDown {
							sim.SetCloudOutage(on)
						}
					}
					setFault(true)
					begin := time.Now()
					leader := sim.Leader()
					if variant.leaderKilledFirst {
						sim.KillController(leader)
						time.Sleep(300 * time.Millisecond)
					}
					for _, j := range []simulator.JobScript{cancelledJob, cancelledService} {
						if !cancelWithin(t, sim, j.Spec.ID, 3*time.Second) {
							t.Fatalf("%s was not cancelled within 3 s during the fault", j.Spec.ID)
						}
						sim.WithChecker(func(c *simulator.Checker) {
							if c.TasksOnMachines(j.Spec.ID) == 0 {
								t.Errorf("no task of %s runs when it is cancelled, want some", j.Spec.ID)
							}
						})
					}
					if !variant.leaderKilledFirst {
						time.Sleep(time.Second)
						sim.WithChecker(func(c *simulator.Checker) {
							if c.TasksOnMachines(cancelledJob.Spec.ID) == 0 || c.TasksOnMachines(cancelledService.Spec.ID) == 0 {
								t.Error("no cancelled task runs on the unreachable machines when the leader is killed, want some of each job")
							}
						})
						replaceLeader(t, sim)
					} else {
						if newLeader := sim.Leader(); newLeader >= 0 && newLeader != leader {
							t.Errorf("controller %d leads before both jobs are cancelled, want no new leader yet", newLeader)
						}
						awaitSuccessor(t, sim, leader)
					}
					if variant.duration > 60*time.Second {
						time.Sleep(time.Until(begin.Add(variant.duration)))
						sim.WithChecker(func(c *simulator.Checker) {
							if c.TasksOnMachines(cancelledJob.Spec.ID) != 0 || c.TasksOnMachines(cancelledService.Spec.ID) != 0 {
								t.Error("cancelled tasks still run when the fault has outlasted any timeout, want none")
							}
						})
						if !variant.cloudDown { // without the cloud there may be no capacity
							mustFinish(t, sim, nextArray)
							mustRun(t, sim, nextService, "while the machines are still unreachable")
						}
					} else {
						time.Sleep(time.Until(begin.Add(variant.duration)))
					}
					setFault(false)
					markFaultsOver(sim)
					time.Sleep(75 * time.Second)
					mustFinish(t, sim, nextArray)
					mustRun(t, sim, nextService, "after all faults")
					mustUseCPUs(t, sim, "blue", 16)
				})
			})
		}
	}
}

// A team is two CPUs below its limit when it submits ten urgent tasks. Links are slow, and
// another team's work takes all capacity. The limit lets only one urgent task run at a time, so
// tasks must be preempted for one at a time: a preemption for the others is of no use.
func TestPreemptionWithinTeamLimit(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 460+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				fillingArray, lowPriorityArray := array(1, 19, 400), array(2, 200, 60)
				lowPriorityArray.Spec.Priority, lowPriorityArray.Spec.Team, lowPriorityArray.Spec.SpotAllowed, fillingArray.Spec.SpotAllowed = wire.PriorityBestEffort, "blue", false, false
				lowPriorityArray.Spec.CheckpointInterval, lowPriorityArray.Spec.CheckpointTime = 10, 3
				sim.EnableSlowSaves()
				sim.SetSoldOut("b", true)
				sleepUntil(2 * time.Second)
				sim.Submit(fillingArray, 0)
				sleepUntil(20 * time.Second)
				sim.Submit(lowPriorityArray, 0)
				sleepUntil(42 * time.Second)
				sim.SetSoldOut("a", true)
				mustUseCPUs(t, sim, "red", 38)
				sim.SlowMachineLinks(700 * time.Millisecond)
				sleepUntil(45 * time.Second)
				var urgent []simulator.JobScript
				for n := range 10 {
					j := array(10+n, 1, 8)
					j.Spec.Priority = wire.PriorityUrgent
					urgent = append(urgent, j)
					sim.Submit(j, 0)
				}
				sim.WithChecker(func(c *simulator.Checker) {
					if c.Waiting(lowPriorityArray.Spec.ID) == 0 {
						t.Error("no task of the low-priority array waits, want more work than capacity")
					}
				})
				sleepUntil(170 * time.Second)
				mustFinish(t, sim, urgent...)
				if n := preemptionCount(t, sim); n < 1 || n > 2 {
					t.Errorf("%.0f tasks preempted for ten urgent tasks that run one by one, want 1 or 2", n)
				}
			})
		})
	}
}

// There is more work than capacity and no machine left to provision when the links to all
// machines become slow. Stop and launch commands then take seconds, or time out although they
// are executed. Urgent arrays and replicas that are submitted must get capacity soon, by
// preempting lower priorities. The preempted tasks must not be preempted over and over, and in
// the end all jobs must finish.
func TestPreemptionOverSlowLinks(t *testing.T) {
	t.Parallel()
	for _, linkDelay := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond} {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%v, seed %d", linkDelay, seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 440+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					sim.EnableSlowSaves()
					newArray := func(n, tasks int, runSeconds float64, priority wire.Priority, team wire.TeamID) simulator.JobScript {
						j := array(n, tasks, runSeconds)
						j.Spec.Priority, j.Spec.Team = priority, team
						j.Spec.CheckpointInterval, j.Spec.CheckpointTime = 10, 3
						return j
					}
					lowPriorityArray := newArray(1, 200, 40, wire.PriorityBestEffort, "blue")
					lowPriorityArray.Spec.SpotAllowed = false // so that it runs where replicas may run too
					standardArray := newArray(2, 24, 20, wire.PriorityStandard, "red")
					urgent := []simulator.JobScript{newArray(3, 6, 15, wire.PriorityUrgent, "red"), newArray(4, 5, 15, wire.PriorityUrgent, "blue"), newArray(5, 12, 10, wire.PriorityUrgent, "red")}
					urgent[1].Spec.CPUs, urgent[1].Spec.MemoryGB = 4, 8
					serviceJob := service(6, 4)
					serviceJob.Spec.Spread = false
					sim.SetSoldOut("b", true)
					sleepUntil(2 * time.Second)
					sim.Submit(lowPriorityArray, 0)
					sleepUntil(38 * time.Second)
					sim.SetSoldOut("a", true)
					sim.Submit(standardArray, 0)
					sleepUntil(45 * time.Second)
					sim.SlowMachineLinks(linkDelay)
					sleepUntil(50 * time.Second)
					for _, j := range urgent[:2] {
						sim.Submit(j, 0)
					}
					sleepUntil(52 * time.Second)
					sim.Submit(serviceJob, 0)
					sim.WithChecker(func(c *simulator.Checker) {
						if c.Waiting(lowPriorityArray.Spec.ID) == 0 || c.Waiting(standardArray.Spec.ID) == 0 || c.TasksOnMachines(lowPriorityArray.Spec.ID) == 0 {
							t.Errorf("%d low-priority and %d standard tasks wait, %d low-priority tasks on machines, want some of each", c.Waiting(lowPriorityArray.Spec.ID), c.Waiting(standardArray.Spec.ID), c.TasksOnMachines(lowPriorityArray.Spec.ID))
						}
					})
					sleepUntil(75 * time.Second)
					mustRun(t, sim, serviceJob, "23 s after it was submitted over slow links")
					sim.Submit(urgent[2], 0)
					sleepUntil(120 * time.Second)
					mustFinish(t, sim, urgent...)
					sim.WithChecker(func(c *simulator.Checker) {
						if n := c.Restarts(); n == 0 || n > 40 {
							t.Errorf("%d tasks restarted, want 1 to 40", n)
						}
					})
					sleepUntil(180 * time.Second)
					sim.SlowMachineLinks(0)
					sim.SetSoldOut("a", false)
					sim.SetSoldOut("b", false)
					markFaultsOver(sim)
					sleepUntil(300 * time.Second)
					mustFinish(t, sim, append(urgent, lowPriorityArray, standardArray)...)
					mustRun(t, sim, serviceJob, "after all faults")
				})
			})
		}
	}
}

// With the cloud sold out, free capacity is reserved for the next replicas of a service. An
// array that fits into it must not wait for ever.
func TestArrayUsesReservedCapacity(t *testing.T) {
	t.Parallel()
	runScenario(t, 60, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 2, 10)
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(60 * time.Second)
		sim.SellOutEverything()
		sim.Submit(arrayJob, 0)
		sleepUntil(220 * time.Second)
		mustRun(t, sim, serviceJob, "beside the array")
		mustFinish(t, sim, arrayJob)
	})
}
