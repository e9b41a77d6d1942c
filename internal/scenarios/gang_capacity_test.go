package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Gangs compete for machines that are always full: with arrays, with each other, and under
// their team's limit. Each gang must start within four minutes.
func TestGangsCompeteWithArrays(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 807, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		var gangs []simulator.JobScript
		sleepUntil(2 * time.Second)
		for n := range 12 {
			sim.Submit(array(100+n, 8, 20), 0)
		}
		sleepUntil(35 * time.Second)
		sim.SellOutEverything()
		startDelays := map[wire.JobID]time.Duration{}
		for n := range 45 {
			sleepUntil(time.Duration(36+5*n) * time.Second)
			arrayJob := array(200+n, 10, 30)
			if n%2 == 1 {
				arrayJob.Spec.Team = "blue"
			}
			sim.Submit(arrayJob, 0)
			if n%9 == 0 {
				for k, tasks := range []int{4, 6} {
					gangJob := gang(10+len(gangs), tasks, 25)
					gangJob.Spec.SpotAllowed = true
					if k == 1 {
						gangJob.Spec.Priority, gangJob.Spec.SameZone = wire.PriorityStandard, false
					}
					gangs = append(gangs, gangJob)
					sim.Submit(gangJob, 0)
				}
			}
		}
		submitTime := func(k int) time.Duration { return time.Duration(36+45*(k/2)) * time.Second }
		sleepUntil(520 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			for k, gangJob := range gangs {
				delay, ok := c.TimeToStart(gangJob.Spec.ID)
				startDelays[gangJob.Spec.ID] = delay
				if !ok || delay > 4*time.Minute {
					t.Errorf("%s with %d tasks, submitted at %v, started after %v (started: %v), want within 4 minutes", gangJob.Spec.ID, gangJob.Spec.Tasks, submitTime(k), delay, ok)
				}
			}
		})
		t.Logf("gangs started after %v", startDelays)
	})
}

// With the cloud sold out, free capacity is reserved for the next replicas of services. A
// gang that fits into it must not wait for ever; the same holds for arrays.
func TestGangUsesReservedCapacity(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.DefaultSettings(), 810, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, gangJob := service(1, 4), gang(2, 3, 20)
		serviceJob.Spec.Spread, serviceJob.Spec.MachineTypes, serviceJob.Spec.Zone = false, []wire.MachineType{"c16"}, "a"
		gangJob.Spec.CPUs, gangJob.Spec.Priority, gangJob.Spec.MachineTypes, gangJob.Spec.Zone = 4, wire.PriorityStandard, serviceJob.Spec.MachineTypes, "a" // needs 12 of a machine's 16 CPUs; 4 are used, 2 are reserved
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(40 * time.Second)
		mustRun(t, sim, serviceJob, "before the gang is submitted")
		if n := len(sim.MachinesHolding(serviceJob.Spec.ID)); n != 1 {
			t.Fatalf("the service runs on %d machines, want 1", n)
		}
		sim.SellOutEverything()
		sim.Submit(gangJob, 0)
		sleepUntil(240 * time.Second)
		mustFinish(t, sim, gangJob)
		mustRun(t, sim, serviceJob, "beside the gang")
	})
}

// An urgent gang needs several whole machines. Some are free at once, others only when their
// tasks have saved a checkpoint. The first must stay reserved until all of them are free.
func TestGangWaitsForCheckpoints(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.DefaultSettings(), 811, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sim.EnableSlowSaves()
		checkpointingArray, gangJob := array(1, 2, 300), gang(3, 4, 20)
		for _, spec := range []*wire.JobSpec{&checkpointingArray.Spec, &gangJob.Spec} {
			spec.CPUs, spec.MemoryGB, spec.MachineTypes, spec.SpotAllowed, spec.Zone = 4, 8, []wire.MachineType{"c4"}, false, "a"
		}
		checkpointingArray.Spec.Team = "blue"
		checkpointingArray.Spec.CheckpointInterval, checkpointingArray.Spec.CheckpointTime = 20, 14
		sleepUntil(2 * time.Second)
		sim.Submit(checkpointingArray, 0)
		submitShortArray := func(n int) {
			shortArray := array(n, 6, 25)
			shortArray.Spec.CPUs, shortArray.Spec.MemoryGB, shortArray.Spec.MachineTypes, shortArray.Spec.SpotAllowed, shortArray.Spec.Zone, shortArray.Spec.Team = 4, 8, gangJob.Spec.MachineTypes, false, "a", "blue"
			sim.Submit(shortArray, 0)
		}
		submitShortArray(100)
		sleepUntil(30 * time.Second)
		sim.SellOutEverything()
		for n := range 20 {
			submitShortArray(101 + n)
		}
		sleepUntil(60 * time.Second)
		sim.Submit(gangJob, 0)
		sim.WithChecker(func(c *simulator.Checker) {
			if c.TasksOnMachines(checkpointingArray.Spec.ID) != 2 {
				t.Errorf("%d tasks of the checkpointing array on machines, want 2", c.TasksOnMachines(checkpointingArray.Spec.ID))
			}
		})
		sleepUntil(250 * time.Second)
		mustFinish(t, sim, gangJob)
		sim.WithChecker(func(c *simulator.Checker) {
			delay, ok := c.TimeToStart(gangJob.Spec.ID)
			t.Logf("gang started after %v, %d tasks restarted", delay, c.Restarts())
			if !ok || delay > 22*time.Second || c.Restarts() > 4 {
				t.Errorf("gang of 4 started after %v (started: %v) with %d tasks restarted, want within 22 s and at most 4", delay, ok, c.Restarts())
			}
		})
	})
}

// A team's arrays keep it at its limit all the time, while machines have capacity enough. A
// gang of that team needs much of the limit at once and must start within four minutes.
func TestGangUnderTeamLimit(t *testing.T) {
	t.Parallel()
	for _, priority := range []wire.Priority{wire.PriorityUrgent, wire.PriorityStandard, wire.PriorityBestEffort} {
		t.Run(string(priority), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 816, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob := gang(1, 8, 25)
				gangJob.Spec.SameZone, gangJob.Spec.Priority = false, priority
				gangJob.Spec.MemoryGB = 4
				sleepUntil(2 * time.Second)
				for n := range 6 {
					sim.Submit(array(100+n, 8, 20), 0)
				}
				sleepUntil(40 * time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					if c.CPUsUsed("red") < 38 {
						t.Errorf("team red uses %v of 40 CPUs, want 38 or more", c.CPUsUsed("red"))
					}
				})
				sim.Submit(gangJob, 0)
				for n := range 52 {
					sleepUntil(time.Duration(41+5*n) * time.Second)
					sim.Submit(array(200+n, 8, 25), 0)
				}
				sleepUntil(320 * time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					delay, ok := c.TimeToStart(gangJob.Spec.ID)
					t.Logf("gang started after %v (started: %v)", delay, ok)
					if !ok || delay > 4*time.Minute {
						t.Errorf("gang started after %v (started: %v), want within 4 minutes", delay, ok)
					}
				})
			})
		})
	}
}
