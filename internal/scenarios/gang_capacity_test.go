package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Gangs compete with arrays for room that is always full, and with each other,
// also under their team's limit: each begins within four minutes.
func TestGangsCompeteWithArrays(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 807, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		var gangs []simulator.JobScript
		at(2 * time.Second)
		for n := range 12 {
			sim.Submit(array(100+n, 8, 20), 0)
		}
		at(35 * time.Second)
		sim.SellOutEverything()
		began := map[wire.JobID]time.Duration{}
		for n := range 45 {
			at(time.Duration(36+5*n) * time.Second)
			a := array(200+n, 10, 30)
			if n%2 == 1 {
				a.Spec.Team = "blue"
			}
			sim.Submit(a, 0)
			if n%9 == 0 {
				for k, tasks := range []int{4, 6} {
					j := gang(10+len(gangs), tasks, 25)
					j.Spec.SpotAllowed = true
					if k == 1 {
						j.Spec.Priority, j.Spec.SameZone = wire.PriorityStandard, false
					}
					gangs = append(gangs, j)
					sim.Submit(j, 0)
				}
			}
		}
		submitted := func(k int) time.Duration { return time.Duration(36+45*(k/2)) * time.Second }
		at(520 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			for k, j := range gangs {
				d, ok := c.TimeToStart(j.Spec.ID)
				began[j.Spec.ID] = d
				if !ok || d > 4*time.Minute {
					t.Errorf("%s of %d (submitted at %v) began after %v, %v", j.Spec.ID, j.Spec.Tasks, submitted(k), d, ok)
				}
			}
		})
		t.Logf("began after %v", began)
	})
}

// With the cloud sold out, the room that is free is kept for the next replicas. A
// gang that fits into it must not wait for ever, as an array must not.
func TestGangUsesReservedRoom(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.DefaultSettings(), 810, func(sim *simulator.Simulation, at func(time.Duration)) {
		s, j := service(1, 4), gang(2, 3, 20)
		s.Spec.Spread, s.Spec.MachineTypes, s.Spec.Zone = false, []wire.MachineType{"c16"}, "a"
		j.Spec.CPUs, j.Spec.Priority, j.Spec.MachineTypes, j.Spec.Zone = 4, wire.PriorityStandard, s.Spec.MachineTypes, "a" // 12 of 16 CPUs, 4 used, 2 kept
		at(2 * time.Second)
		sim.Submit(s, 0)
		at(40 * time.Second)
		mustRun(t, sim, s, "at first")
		if n := len(sim.MachinesHolding(s.Spec.ID)); n != 1 {
			t.Fatalf("%d machines", n)
		}
		sim.SellOutEverything()
		sim.Submit(j, 0)
		at(240 * time.Second)
		mustFinish(t, sim, j)
		mustRun(t, sim, s, "at last")
	})
}

// An urgent gang needs several whole machines, some of which are free at once and
// some only when their tasks have saved. What is free first must be kept until all
// of it is.
func TestGangWaitsForCheckpoints(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.DefaultSettings(), 811, func(sim *simulator.Simulation, at func(time.Duration)) {
		sim.EnableSlowSaves()
		saves, j := array(1, 2, 300), gang(3, 4, 20)
		for _, s := range []*wire.JobSpec{&saves.Spec, &j.Spec} {
			s.CPUs, s.MemoryGB, s.MachineTypes, s.SpotAllowed, s.Zone = 4, 8, []wire.MachineType{"c4"}, false, "a"
		}
		saves.Spec.Team = "blue"
		saves.Spec.CheckpointInterval, saves.Spec.CheckpointTime = 20, 14
		at(2 * time.Second)
		sim.Submit(saves, 0)
		quick := func(n int) {
			a := array(n, 6, 25)
			a.Spec.CPUs, a.Spec.MemoryGB, a.Spec.MachineTypes, a.Spec.SpotAllowed, a.Spec.Zone, a.Spec.Team = 4, 8, j.Spec.MachineTypes, false, "a", "blue"
			sim.Submit(a, 0)
		}
		quick(100)
		at(30 * time.Second)
		sim.SellOutEverything()
		for n := range 20 {
			quick(101 + n)
		}
		at(60 * time.Second)
		sim.Submit(j, 0)
		sim.WithChecker(func(c *simulator.Checker) {
			if c.OnMachines(saves.Spec.ID) != 2 {
				t.Errorf("%d of 2 tasks that save", c.OnMachines(saves.Spec.ID))
			}
		})
		at(250 * time.Second)
		mustFinish(t, sim, j)
		sim.WithChecker(func(c *simulator.Checker) {
			d, ok := c.TimeToStart(j.Spec.ID)
			t.Logf("began after %v, %d started again", d, c.Restarts())
			if !ok || d > 22*time.Second || c.Restarts() > 4 {
				t.Errorf("began after %v, %v, with %d tasks stopped for four", d, ok, c.Restarts())
			}
		})
	})
}

// A team's arrays keep it at its limit for ever, with room enough. Its gangs, which
// need much of the limit at once, must begin within four minutes all the same.
func TestGangUnderTeamLimit(t *testing.T) {
	t.Parallel()
	for _, u := range []wire.Priority{wire.PriorityUrgent, wire.PriorityStandard, wire.PriorityBestEffort} {
		t.Run(string(u), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 816, func(sim *simulator.Simulation, at func(time.Duration)) {
				j := gang(1, 8, 25)
				j.Spec.SameZone, j.Spec.Priority = false, u
				j.Spec.MemoryGB = 4
				at(2 * time.Second)
				for n := range 6 {
					sim.Submit(array(100+n, 8, 20), 0)
				}
				at(40 * time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					if c.CPUsUsed("red") < 38 {
						t.Errorf("red uses %v of 40", c.CPUsUsed("red"))
					}
				})
				sim.Submit(j, 0)
				for n := range 52 {
					at(time.Duration(41+5*n) * time.Second)
					sim.Submit(array(200+n, 8, 25), 0)
				}
				at(320 * time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					d, ok := c.TimeToStart(j.Spec.ID)
					t.Logf("began after %v, %v", d, ok)
					if !ok || d > 4*time.Minute {
						t.Errorf("began after %v, %v", d, ok)
					}
				})
			})
		})
	}
}
