package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Every team is at its limit and has more that waits, when the machines at work
// are lost to sight, all that runs is cancelled meanwhile, and the leader changes:
// before the cancellation, so that it falls into the spell without one, or
// after. What may still run there counts: nothing that waits may start on top of
// it. And once it is known to be gone the rest runs, even if the machines never
// come back.
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
		fault  string
		before bool          // the leader ends before the cancellation
		half   bool          // of the machines only
		cloud  bool          // is away too
		lasts  time.Duration // the fault; less than a lease, or more than all
	}{
		{"cut", true, false, false, 12 * time.Second},
		{"cut", false, true, true, 75 * time.Second},
		{"hang", false, false, false, 75 * time.Second},
		{"hang", true, true, false, 25 * time.Second},
		{"no inbound", true, false, true, 75 * time.Second},
	} {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%s, leader ends first %v, half %v, cloud away %v, %v, seed %d", variant.fault, variant.before, variant.half, variant.cloud, variant.lasts, seed), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsWithTeamLimits(), 400+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
					cancelledJob, cancelledService := array(1, 12, 400), service(2, 16)
					nextArray, nextService := array(3, 12, 15), service(4, 16)
					at(2 * time.Second)
					submitAll(sim, cancelledJob, cancelledService)
					at(20 * time.Second)
					submitAll(sim, nextArray, nextService)
					at(45 * time.Second)
					mustUseCPUs(t, sim, "red", 24)
					mustUseCPUs(t, sim, "blue", 16)
					var hitMachines []wire.MachineID
					for i, id := range append(sim.MachinesRunning(cancelledJob.Spec.ID), sim.MachinesRunning(cancelledService.Spec.ID)...) {
						if !variant.half || i%2 == 0 {
							hitMachines = append(hitMachines, id)
						}
					}
					setFault := func(on bool) {
						for _, id := range hitMachines {
							faults[variant.fault](sim, id, on)
						}
						if variant.cloud {
							sim.CloudOutage(on)
						}
					}
					setFault(true)
					begin := time.Now()
					leader := sim.Leader()
					if variant.before {
						sim.KillController(leader)
						time.Sleep(300 * time.Millisecond)
					}
					for _, j := range []simulator.JobScript{cancelledJob, cancelledService} {
						if !cancelWithin(t, sim, j.Spec.ID, 3*time.Second) {
							t.Fatalf("%s was not cancelled while the fault was on", j.Spec.ID)
						}
						sim.WithChecker(func(c *simulator.Checker) {
							if c.OnMachines(j.Spec.ID) == 0 {
								t.Errorf("nothing of %s runs when it is cancelled", j.Spec.ID)
							}
						})
					}
					if !variant.before {
						time.Sleep(time.Second)
						sim.WithChecker(func(c *simulator.Checker) {
							if c.OnMachines(cancelledJob.Spec.ID) == 0 || c.OnMachines(cancelledService.Spec.ID) == 0 {
								t.Error("nothing runs behind the fault when the leader ends")
							}
						})
						replaceLeader(t, sim)
					} else {
						if newLeader := sim.Leader(); newLeader >= 0 && newLeader != leader {
							t.Errorf("node %d leads already when all is cancelled", newLeader)
						}
						awaitSuccessor(t, sim, leader)
					}
					if variant.lasts > 60*time.Second {
						time.Sleep(time.Until(begin.Add(variant.lasts)))
						sim.WithChecker(func(c *simulator.Checker) {
							if c.OnMachines(cancelledJob.Spec.ID) != 0 || c.OnMachines(cancelledService.Spec.ID) != 0 {
								t.Error("cancelled tasks outlive their time")
							}
						})
						if !variant.cloud { // else there may be no room
							mustFinish(t, sim, nextArray)
							mustRun(t, sim, nextService, "while the machines are still lost")
						}
					} else {
						time.Sleep(time.Until(begin.Add(variant.lasts)))
					}
					setFault(false)
					markFaultsOver(sim)
					time.Sleep(75 * time.Second)
					mustFinish(t, sim, nextArray)
					mustRun(t, sim, nextService, "when all is over")
					mustUseCPUs(t, sim, "blue", 16)
				})
			})
		}
	}
}

// A team is two processors short of its limit when ten urgent tasks of it come one
// by one over slow links, and all room is taken by others' work. Only one of them
// can run at a time, so room is made for one at a time: what was stopped for those
// that the limit keeps back was stopped for nothing.
func TestPreemptionWithinTeamLimit(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 460+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				fillingArray, lowPriorityArray := array(1, 19, 400), array(2, 200, 60)
				lowPriorityArray.Spec.Priority, lowPriorityArray.Spec.Team, lowPriorityArray.Spec.SpotAllowed, fillingArray.Spec.SpotAllowed = wire.PriorityBestEffort, "blue", false, false
				lowPriorityArray.Spec.CheckpointInterval, lowPriorityArray.Spec.CheckpointTime = 10, 3
				sim.EnableSlowSaves()
				sim.SetSoldOut("b", true)
				at(2 * time.Second)
				sim.Submit(fillingArray, 0)
				at(20 * time.Second)
				sim.Submit(lowPriorityArray, 0)
				at(42 * time.Second)
				sim.SetSoldOut("a", true)
				mustUseCPUs(t, sim, "red", 38)
				sim.SlowMachineLinks(700 * time.Millisecond)
				at(45 * time.Second)
				var urgent []simulator.JobScript
				for n := range 10 {
					j := array(10+n, 1, 8)
					j.Spec.Priority = wire.PriorityUrgent
					urgent = append(urgent, j)
					sim.Submit(j, 0)
				}
				sim.WithChecker(func(c *simulator.Checker) {
					if c.Waiting(lowPriorityArray.Spec.ID) == 0 {
						t.Error("there is no more work than room")
					}
				})
				at(170 * time.Second)
				mustFinish(t, sim, urgent...)
				if n := preemptionCount(t, sim); n < 1 || n > 2 {
					t.Errorf("%.0f tasks were stopped for ten that run one by one", n)
				}
			})
		})
	}
}

// There is more work than room, and nothing more to rent, when the links to all
// machines become slow, so that stops and launches take seconds, or are never
// answered in time though they are executed. Urgent arrays and replicas come and
// must get room soon, by stopping what is of less priority; what is stopped for
// them must not be stopped over and over; and at the end all is done.
func TestPreemptionOverSlowLinks(t *testing.T) {
	t.Parallel()
	for _, linkDelay := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond} {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%v, seed %d", linkDelay, seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 440+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
					sim.EnableSlowSaves()
					newArray := func(n, tasks int, run float64, priority wire.Priority, team wire.TeamID) simulator.JobScript {
						j := array(n, tasks, run)
						j.Spec.Priority, j.Spec.Team = priority, team
						j.Spec.CheckpointInterval, j.Spec.CheckpointTime = 10, 3
						return j
					}
					lowPriorityArray := newArray(1, 200, 40, wire.PriorityBestEffort, "blue")
					lowPriorityArray.Spec.SpotAllowed = false // where replicas may go too
					standardArray := newArray(2, 24, 20, wire.PriorityStandard, "red")
					urgent := []simulator.JobScript{newArray(3, 6, 15, wire.PriorityUrgent, "red"), newArray(4, 5, 15, wire.PriorityUrgent, "blue"), newArray(5, 12, 10, wire.PriorityUrgent, "red")}
					urgent[1].Spec.CPUs, urgent[1].Spec.MemoryGB = 4, 8
					serviceJob := service(6, 4)
					serviceJob.Spec.Spread = false
					sim.SetSoldOut("b", true)
					at(2 * time.Second)
					sim.Submit(lowPriorityArray, 0)
					at(38 * time.Second)
					sim.SetSoldOut("a", true)
					sim.Submit(standardArray, 0)
					at(45 * time.Second)
					sim.SlowMachineLinks(linkDelay)
					at(50 * time.Second)
					for _, j := range urgent[:2] {
						sim.Submit(j, 0)
					}
					at(52 * time.Second)
					sim.Submit(serviceJob, 0)
					sim.WithChecker(func(c *simulator.Checker) {
						if c.Waiting(lowPriorityArray.Spec.ID) == 0 || c.Waiting(standardArray.Spec.ID) == 0 || c.OnMachines(lowPriorityArray.Spec.ID) == 0 {
							t.Errorf("there is no more work than room: %d and %d wait, %d on", c.Waiting(lowPriorityArray.Spec.ID), c.Waiting(standardArray.Spec.ID), c.OnMachines(lowPriorityArray.Spec.ID))
						}
					})
					at(75 * time.Second)
					mustRun(t, sim, serviceJob, "23 s after it was submitted over slow links")
					sim.Submit(urgent[2], 0)
					at(120 * time.Second)
					mustFinish(t, sim, urgent...)
					sim.WithChecker(func(c *simulator.Checker) {
						if n := c.Restarts(); n == 0 || n > 40 {
							t.Errorf("%d tasks were stopped and started again", n)
						}
					})
					at(180 * time.Second)
					sim.SlowMachineLinks(0)
					sim.SetSoldOut("a", false)
					sim.SetSoldOut("b", false)
					markFaultsOver(sim)
					at(300 * time.Second)
					mustFinish(t, sim, append(urgent, lowPriorityArray, standardArray)...)
					mustRun(t, sim, serviceJob, "when all is over")
				})
			})
		}
	}
}

// The cloud has no more machines, and what is free is kept for the next replicas
// of a service: an array that fits there must not wait for ever.
func TestReservedRoomIsGivenUp(t *testing.T) {
	t.Parallel()
	runScenario(t, 60, func(sim *simulator.Simulation, at func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 2, 10)
		at(2 * time.Second)
		sim.Submit(serviceJob, 0)
		at(60 * time.Second)
		sim.SellOutEverything()
		sim.Submit(arrayJob, 0)
		at(220 * time.Second)
		mustRun(t, sim, serviceJob, "beside an array")
		mustFinish(t, sim, arrayJob)
	})
}
