package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Machines restart as the leader or all controllers end, three times in each run, while late copies of
// heartbeats arrive and, in every other run, of direct commands. SCENARIO_SEEDS asks for more seeds.
func TestRandomMachineRestartsInElections(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			layouts[seed%2].run(t, 900+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				rng := rand.New(rand.NewPCG(seed, 17))
				randomSeconds := randomDelay(rng)
				sim.DuplicateHeartbeats(0.4, 2*time.Second, 2*sim.Settings.Workers.Lease.Duration())
				if seed%4 >= 2 { // on both layouts
					sim.CopyCommandsAtRandom(copiedShare)
				}
				serviceJob, uncancelled, jobNumber := service(900, 4), []simulator.JobScript{}, 0
				submit := func() {
					jobNumber++
					job := array(jobNumber, 2+rng.IntN(8), float64(10+rng.IntN(40)))
					job.Spec.ImageGB = slowImageGB
					job.Spec.Priority = []wire.Priority{wire.PriorityStandard, wire.PriorityUrgent}[rng.IntN(2)]
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						uncancelled = append(uncancelled, job)
					}
					sim.Submit(job, cancel)
				}
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				for range 3 {
					for range 5 {
						submit()
						time.Sleep(3*time.Second + randomSeconds(4))
					}
					endControllers := randomEndOfControllers(sim, rng)
					time.Sleep(randomSeconds(2))
					for range 1 + rng.IntN(3) {
						if machines := sim.RunningMachines(); len(machines) > 0 {
							sim.RestartMachine(machines[rng.IntN(len(machines))])
						}
					}
					time.Sleep(randomSeconds(5))
					endControllers(t)
					time.Sleep(5 * time.Second)
				}
				sim.DuplicateHeartbeats(0, 0, 0)
				mustRecover(t, sim, 3, append(uncancelled, serviceJob)...)
			})
		})
	}
}

// randomEndOfControllers ends the leader or all controllers, and returns the function that starts them
// again.
func randomEndOfControllers(sim *simulator.Simulation, rng *rand.Rand) (restart func(t *testing.T)) {
	leader := sim.Leader()
	if leader < 0 || rng.IntN(3) == 0 {
		killAll(sim)
		return func(t *testing.T) { t.Helper(); startControllers(t, sim, 0, 1, 2) }
	}
	sim.KillController(leader)
	return func(t *testing.T) { t.Helper(); startControllers(t, sim, leader) }
}
