package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// The first machines of an idle deployment fail every task, and so may others that are in use. The
// few jobs are of all kinds, and some fail on every machine until they are cancelled. Meanwhile machines are lost, the cloud
// is unavailable or the leader is restarted. Once all faults are over, no job may be left waiting.
// SCENARIO_SEEDS asks for more seeds.
func TestRandomFaultyMachines(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 900+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				jobs := randomJobs{rng: rand.New(rand.NewPCG(seed, 9))}
				sleepUntil(2 * time.Second)
				sim.ProvisionFaulty(1 + jobs.rng.IntN(5))
				for range 1 + jobs.rng.IntN(2) {
					sim.Submit(jobs.next(), 0)
					time.Sleep(randomDelay(jobs.rng)(40))
				}
				for range jobs.rng.IntN(3) {
					injectMachineFault(t, sim, jobs.rng)
					time.Sleep(randomDelay(jobs.rng)(60))
				}
				sim.SetCloudOutage(false)
				sim.RepairMachines()
				for _, job := range jobs.mistaken {
					mustCancel(t, sim, job)
				}
				mustRecover(t, sim, sim.Settings.Size, jobs.correct...)
			})
		})
	}
}

// randomJobs draws jobs of all kinds.
type randomJobs struct {
	rng      *rand.Rand
	count    int
	correct  []simulator.JobScript
	mistaken []simulator.JobScript // those that fail on every machine
}

// next draws a job. After the first, one in six fails on every machine.
func (r *randomJobs) next() simulator.JobScript {
	r.count++
	var job simulator.JobScript
	switch r.rng.IntN(8) {
	case 0:
		job = service(r.count, 1+r.rng.IntN(3))
	case 1, 2, 3:
		job = gang(r.count, 2+r.rng.IntN(3), float64(10+r.rng.IntN(20)))
	default:
		job = array(r.count, 1+r.rng.IntN(4), float64(5+r.rng.IntN(30)))
	}
	if r.count > 1 && r.rng.IntN(6) == 0 {
		job.AlwaysFails = true
		r.mistaken = append(r.mistaken, job)
		return job
	}
	r.correct = append(r.correct, job)
	return job
}

// injectMachineFault injects one random fault.
func injectMachineFault(t *testing.T, sim *simulator.Simulation, rng *rand.Rand) {
	t.Helper()
	switch rng.IntN(5) {
	case 0:
		sim.ProvisionFaulty(1 + rng.IntN(4))
	case 1: // nothing is left but new machines
		sim.RemoveMachines(sim.RunningMachines()...)
	case 2:
		for _, id := range sim.RunningMachines() {
			if rng.IntN(2) == 0 {
				sim.MakeFaulty(id)
			}
		}
	case 3:
		restartLeader(t, sim, randomDelay(rng)(6))
	case 4:
		sim.SetCloudOutage(true)
	}
}
