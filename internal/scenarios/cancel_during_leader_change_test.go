package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// Jobs are cancelled while the leader changes, because it is killed, resigns or is refused by the
// key-value store: before the election, during it, and just after it. A controller other than the
// leader confirms each cancellation. Some of the jobs run, others are just being started. No task of
// them may remain.
func TestCancelDuringLeaderChange(t *testing.T) {
	t.Parallel()
	type leaderFault struct {
		name string
		run  scenarioRunner
		// awaitNoLeader: the cancellation during the election waits until the old leader's grant has
		// ended.
		awaitNoLeader bool
		begin, end    func(t *testing.T, sim *simulator.Simulation, leader int)
	}
	cutFromAgents := func(on bool) func(t *testing.T, sim *simulator.Simulation, leader int) {
		return func(t *testing.T, sim *simulator.Simulation, leader int) {
			for i := 1; i <= 100; i++ {
				sim.Net.Cut(simulator.NodeIP(leader), fmt.Sprintf("10.1.0.%d", i), on)
			}
		}
	}
	refuseByStore := func(on bool) func(t *testing.T, sim *simulator.Simulation, leader int) {
		return func(t *testing.T, sim *simulator.Simulation, leader int) {
			sim.State.RefuseClient(simulator.NodeIP(leader), on)
		}
	}
	for _, fault := range []leaderFault{
		{"killed", runScenario, false, func(t *testing.T, sim *simulator.Simulation, leader int) { sim.KillController(leader) }, func(t *testing.T, sim *simulator.Simulation, leader int) { startControllers(t, sim, leader) }},
		{"resigns", runOnUnevenLayout, true, cutFromAgents(true), cutFromAgents(false)},
		{"refused", runScenario, true, refuseByStore(true), refuseByStore(false)},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			fault.run(t, 66, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob := service(1, 4), array(2, 10, 50)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, arrayJob)
				for round := range 3 {
					sleepUntil(time.Duration(40+50*round) * time.Second)
					var running, starting [3]simulator.JobScript
					for k := range 3 {
						running[k], starting[k] = array(100*round+10+k, 2, 200), array(100*round+20+k, 2, 200)
						sim.Submit(running[k], 0)
					}
					sleepUntil(time.Duration(55+50*round) * time.Second)
					leader := sim.Leader()
					for _, j := range starting {
						sim.Submit(j, 0)
					}
					time.Sleep(time.Duration(round*40) * time.Millisecond) // the jobs are accepted, or just being started
					confirmer := (leader + 1 + round%2) % 3
					cancelAtController(t, sim, confirmer, running[0])
					cancelAtController(t, sim, confirmer, starting[0])
					if sim.Leader() != leader {
						t.Fatal("the leader changed before the fault")
					}
					fault.begin(t, sim, leader)
					if fault.awaitNoLeader {
						waitUntil(t, 15*time.Second, "no leader", func() bool { return sim.Leader() < 0 })
					} else {
						time.Sleep(time.Second)
					}
					cancelStart := time.Now()
					cancelAtController(t, sim, confirmer, running[1])
					cancelAtController(t, sim, confirmer, starting[1])
					// With awaitNoLeader the next leader may be elected by now, but has read nothing yet.
					if n := sim.Leader(); n >= 0 && n != leader && !fault.awaitNoLeader || time.Since(cancelStart) > 50*time.Millisecond {
						t.Errorf("the next leader was elected before the cancellations, or they took %v, want at most 50ms", time.Since(cancelStart))
					}
					awaitOtherLeader(t, sim, leader, 10*time.Second)
					cancelAtController(t, sim, confirmer, running[2])
					cancelAtController(t, sim, confirmer, starting[2])
					time.Sleep(5 * time.Second)
					fault.end(t, sim, leader)
					time.Sleep(15 * time.Second)
					sim.WithChecker(func(c *simulator.Checker) {
						for k := range 3 {
							if n := c.TasksOnMachines(running[k].Spec.ID) + c.TasksOnMachines(starting[k].Spec.ID); n != 0 {
								t.Errorf("round %d: %d tasks on machines of jobs cancelled %s the election, want 0", round, n, [3]string{"before", "during", "after"}[k])
							}
						}
					})
				}
				mustRecover(t, sim, 3, serviceJob, arrayJob)
			})
		})
	}
}
