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
		a, s := array(1, 20, 20), service(2, 3)
		at(time.Second)
		sim.LoseScaleOutAnswers(2)
		at(2 * time.Second)
		submitAll(sim, a, s)
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
		mustFinish(t, sim, a)
		mustRun(t, sim, s, "run")
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
		good, bad := array(1, 16, 15), array(2, 4, 15)
		bad.AlwaysFails = true
		at(2 * time.Second)
		sim.Submit(good, 0)
		at(25 * time.Second)
		sick, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine at work")
		}
		sim.MakeFaulty(sick)
		at(70 * time.Second)
		mustFinish(t, sim, good)
		sim.Submit(bad, 90*time.Second)
		before := sim.ProvisionedSoFar()
		at(150 * time.Second)
		if n := sim.ProvisionedSoFar() - before; n > 6 {
			t.Errorf("a faulty job cost %d machines", n)
		}
		after := array(3, 4, 10)
		sim.Submit(after, 0)
		at(210 * time.Second)
		mustFinish(t, sim, after)
	})
}

// A machine is back within a moment and counts from the start again. Its
// reports must not be taken for late copies for ever: what it ran is started
// elsewhere well before its lease or anybody's patience ends.
func TestMachineRestartsAtOnce(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 32, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 8, 60)
		at(2 * time.Second)
		submitAll(sim, s, a)
		at(45 * time.Second)
		on := sim.MachinesRunning(s.Spec.ID)
		for _, id := range on {
			sim.ResendLastHeartbeat(id, 3*time.Second, 9*time.Second, 20*time.Second)
			sim.RestartMachine(id)
		}
		at(50 * time.Second)
		for _, id := range on {
			if sim.MachineIP(id) != "" {
				t.Errorf("%s was not noticed within 5 s", id)
			}
		}
		at(75 * time.Second)
		mustRun(t, sim, s, "after 30 s")
		at(200 * time.Second)
		mustFinish(t, sim, a)
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
				same, sameS := array(1, 12, 30), service(2, 4)
				same.Spec.SameZone, sameS.Spec.SameZone, sameS.Spec.Spread = true, true, false
				same.Spec.Deadline = 40
				sim.SetUnlisted(true)
				at(10 * time.Second)
				submitAll(sim, same, sameS)
				for n := 0; len(sim.MachinesRunning(same.Spec.ID)) == 0 || len(sim.MachinesRunning(sameS.Spec.ID)) == 0; n++ {
					if n > 60 {
						t.Fatalf("tasks on %v and %v", sim.MachinesRunning(same.Spec.ID), sim.MachinesRunning(sameS.Spec.ID))
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				l := sim.Leader()
				sim.KillController(l)
				sim.RemoveMachines(append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...)...)
				sim.SetUnlisted(false)
				time.Sleep(5 * time.Second)
				if n := sim.Leader(); n == l || n < 0 {
					t.Fatalf("leader is %d, was %d", n, l)
				}
				mustHaveTaskInUnknownZone(t, sim)
				startControllers(t, sim, l)
				markFaultsOver(sim)
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, same)
				mustRun(t, sim, sameS, "when all is over")
				mustLeaveNoKeys(t, sim, sameS)
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
				cancelledJob, next, s := array(1, 12, 300), array(2, 12, 15), service(3, 4)
				at(2 * time.Second)
				submitAll(sim, cancelledJob, s)
				at(30 * time.Second)
				sim.Submit(next, 0)
				at(45 * time.Second)
				mustUseCPUs(t, sim, "red", 24)
				hit := sim.MachinesRunning(cancelledJob.Spec.ID)
				hit = hit[:1]
				sim.LoseScaleInAnswers(1000)
				for _, id := range hit {
					sim.PartitionMachine(id, true)
				}
				if !cancelWithin(t, sim, cancelledJob.Spec.ID, 2*time.Second) {
					t.Fatal("not cancelled")
				}
				time.Sleep(3 * time.Second)
				lost := 0
				sim.WithChecker(func(c *simulator.Checker) {
					if lost = c.OnMachines(cancelledJob.Spec.ID); lost == 0 {
						t.Error("nothing of the cancelled job runs where it can't be stopped")
					}
				})
				for n := 0; slices.ContainsFunc(hit, func(id wire.MachineID) bool { return sim.MachineIP(id) != "" }); n++ {
					if n > 100 {
						t.Fatal("the machines were not released")
					}
					time.Sleep(100 * time.Millisecond)
				}
				// They are gone, and the leader can't know: they count.
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.OnMachines(next.Spec.ID); c.OnMachines(cancelledJob.Spec.ID) > 0 || n > 12-lost {
						t.Errorf("%d tasks of the next job run before the release of %d is answered", n, lost)
					}
				})
				replaceLeader(t, sim)
				sim.LoseScaleInAnswers(0)
				markFaultsOver(sim)
				time.Sleep(90 * time.Second)
				mustFinish(t, sim, next)
				mustRun(t, sim, s, "when all is over")
				mustLeaveNoKeys(t, sim, s)
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
				j, s := array(1, 12, 300), service(2, 4)
				at(2 * time.Second)
				sim.Submit(j, 90*time.Second)
				sim.Submit(s, 0)
				at(45 * time.Second)
				mustRun(t, sim, s, "before the fault")
				all := append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...)
				keep := sim.MachinesRunning(s.Spec.ID)
				lost := slices.DeleteFunc(all, func(id wire.MachineID) bool { return slices.Contains(keep, id) })
				if len(lost) < 3 || len(lost) <= len(keep) {
					t.Fatalf("%v hold replicas, %v don't", keep, lost)
				}
				l := sim.Leader()
				sim.KillController(l)
				sim.RemoveMachines(lost...)
				awaitSuccessor(t, sim, l)
				sim.SetSoldOut("a", true)
				sim.SetSoldOut("b", true)
				markFaultsOver(sim)
				time.Sleep(60 * time.Second)
				_, raw, _ := sim.AskAsOperator(sim.Leader(), "GET", "/admin/view", nil)
				var v admin.View
				if wire.Decode(raw, &v) != nil || v.Term == nil {
					t.Fatal("no view")
				}
				for _, m := range v.Term.Machines {
					if sim.MachineIP(m.Name) == "" {
						t.Errorf("%s is gone and still kept, silent for %.0f s", m.Name, m.SecondsSinceMessage)
					}
				}
				mustRun(t, sim, s, "when all is over")
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
				j := array(1, 12, 20)
				j.Spec.Zone = zone
				at(2 * time.Second)
				sim.Submit(j, 0)
				done := 0
				for done == 0 {
					time.Sleep(100 * time.Millisecond)
					sim.WithChecker(func(c *simulator.Checker) { done = j.Spec.Tasks - c.OnMachines(j.Spec.ID) - c.Waiting(j.Spec.ID) })
				}
				sim.SetSpotSoldOut(true)
				if sim.ReclaimMachines(100, func(spot bool, _ int) bool { return spot }) == 0 {
					t.Error("no spot machine to take")
				}
				replaceLeader(t, sim)
				markFaultsOver(sim)
				if done == j.Spec.Tasks {
					t.Error("the array was done already")
				}
				for n := 0; n < 400 && sim.State.Keys("job/") != nil; n++ {
					time.Sleep(time.Second)
				}
				mustFinish(t, sim, j)
			})
		})
	}
}
