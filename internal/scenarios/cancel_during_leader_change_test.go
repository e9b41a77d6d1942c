package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// Jobs are cancelled in the seconds in which the work of one controller changes
// hands, whether it is ended, resigns or is refused by the key-value store: before
// the election, in it, and just after it, always confirmed by another node. Some
// of them run, some are just being started.
func TestCancelDuringLeaderChange(t *testing.T) {
	t.Parallel()
	type way struct {
		name      string
		run       scenarioRunner
		vacant    bool // the cancellation waits for the end of the old one's grant
		lose, end func(t *testing.T, sim *simulator.Simulation, l int)
	}
	workers := func(on bool) func(t *testing.T, sim *simulator.Simulation, l int) {
		return func(t *testing.T, sim *simulator.Simulation, l int) {
			for i := 1; i <= 100; i++ {
				sim.Net.Cut(simulator.NodeIP(l), fmt.Sprintf("10.1.0.%d", i), on)
			}
		}
	}
	refuse := func(on bool) func(t *testing.T, sim *simulator.Simulation, l int) {
		return func(t *testing.T, sim *simulator.Simulation, l int) { sim.State.RefuseClient(simulator.NodeIP(l), on) }
	}
	for _, c := range []way{
		{"killed", runScenario, false, func(t *testing.T, sim *simulator.Simulation, l int) { sim.KillController(l) }, func(t *testing.T, sim *simulator.Simulation, l int) { startControllers(t, sim, l) }},
		{"resigns", runOnUnevenLayout, true, workers(true), workers(false)},
		{"refused", runScenario, true, refuse(true), refuse(false)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t, 66, func(sim *simulator.Simulation, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 10, 50)
				at(2 * time.Second)
				submitAll(sim, s, a)
				for round := range 3 {
					at(time.Duration(40+50*round) * time.Second)
					var ran, begins [3]simulator.JobScript
					for k := range 3 {
						ran[k], begins[k] = array(100*round+10+k, 2, 200), array(100*round+20+k, 2, 200)
						sim.Submit(ran[k], 0)
					}
					at(time.Duration(55+50*round) * time.Second)
					l := sim.Leader()
					for _, j := range begins {
						sim.Submit(j, 0)
					}
					time.Sleep(time.Duration(round*40) * time.Millisecond) // accepted, or just being started
					by := (l + 1 + round%2) % 3
					cancelAtController(t, sim, by, ran[0])
					cancelAtController(t, sim, by, begins[0])
					if sim.Leader() != l {
						t.Fatal("the leader changed too early")
					}
					c.lose(t, sim, l)
					if c.vacant {
						waitUntil(t, 15*time.Second, "a vacancy", func() bool { return sim.Leader() < 0 })
					} else {
						time.Sleep(time.Second)
					}
					since := time.Now()
					cancelAtController(t, sim, by, ran[1])
					cancelAtController(t, sim, by, begins[1])
					// The next one may have been elected meanwhile, but has read nothing yet.
					if n := sim.Leader(); n >= 0 && n != l && !c.vacant || time.Since(since) > 50*time.Millisecond {
						t.Errorf("elected before the cancellation, which took %v", time.Since(since))
					}
					awaitOtherLeader(t, sim, l, 10*time.Second)
					cancelAtController(t, sim, by, ran[2])
					cancelAtController(t, sim, by, begins[2])
					time.Sleep(5 * time.Second)
					c.end(t, sim, l)
					time.Sleep(15 * time.Second)
					sim.WithChecker(func(c *simulator.Checker) {
						for k := range 3 {
							if n := c.OnMachines(ran[k].Spec.ID) + c.OnMachines(begins[k].Spec.ID); n != 0 {
								t.Errorf("round %d: %d tasks are left of what was cancelled %s the election", round, n, [3]string{"before", "in", "after"}[k])
							}
						}
					})
				}
				mustRecover(t, sim, 3, s, a)
			})
		})
	}
}
