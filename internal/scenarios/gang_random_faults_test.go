package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Random faults while gangs, arrays and a service run. SCENARIO_SEEDS asks for more seeds.
func TestGangRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			settings := []config.Settings{settingsOfSize(3), settingsOfSize(5), simulator.ThreeZoneSettings()}[seed%3]
			runWithSettings(t, settings, 820+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				randomSeconds, size := randomDelay(rng), settings.Size
				var uncancelled []simulator.JobScript
				sim.CopyCommandsAtRandom(copiedShare)
				sleepUntil(2 * time.Second)
				sim.Submit(service(900, 3), 0)
				for n := range 24 {
					sleepUntil(time.Duration(3+6*n)*time.Second + randomSeconds(4))
					job := gang(10+n, 2+rng.IntN(4), float64(5+rng.IntN(50)))
					job.Spec.SameZone, job.Spec.SpotAllowed = rng.IntN(3) > 0, rng.IntN(2) == 0
					if rng.IntN(2) == 0 {
						job.Spec.Priority = wire.PriorityStandard
					}
					if n%3 == 2 {
						job = array(100+n, 1+rng.IntN(8), float64(5+rng.IntN(25)))
					}
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						uncancelled = append(uncancelled, job)
					}
					sim.Submit(job, cancel)
					switch fault := rng.IntN(11); fault {
					case 0, 1:
						controller := rng.IntN(size)
						if leader := sim.Leader(); fault == 1 && leader >= 0 {
							controller = leader
						}
						sim.KillController(controller)
						time.Sleep(randomSeconds(5))
						startControllers(t, sim, controller)
					case 2:
						sim.State.SetOutage(true)
						time.Sleep(randomSeconds(20))
						sim.State.SetOutage(false)
					case 3, 4:
						if machines := sim.MachinesHolding(job.Spec.ID); len(machines) > 0 {
							sim.ReclaimMachine(machines[0])
						} else {
							sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 })
						}
					case 5:
						if id, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 }); ok {
							sim.GiveSpotNotice(id, 8*time.Second+randomSeconds(20))
						}
					case 6:
						if id, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 }); ok {
							sim.ReportFault(true)
							sim.HangMachines(true, id)
							time.Sleep(randomSeconds(30))
							sim.HangMachines(false, id)
							sim.ReportFault(false)
						}
					case 7:
						sim.State.LoseResponses(1)
					case 8:
						zone := settings.Zones[rng.IntN(len(settings.Zones))]
						sim.IsolateZone(zone, true)
						time.Sleep(randomSeconds(40))
						sim.IsolateZone(zone, false)
					case 9:
						_, ip, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
						if controller := rng.IntN(size); ok {
							sim.Net.HoldPackets(simulator.NodeIP(controller), ip, true)
							time.Sleep(randomSeconds(25))
							sim.Net.HoldPackets(simulator.NodeIP(controller), ip, false)
						}
					case 10:
						for _, id := range sim.RunningMachines() {
							sim.ResendLastHeartbeat(id, randomSeconds(30))
						}
					}
				}
				markFaultsOver(sim)
				time.Sleep(220 * time.Second)
				mustFinish(t, sim, uncancelled...)
				starts, saves, rollbacks, timedOutWaits := 0, 0, 0, 0
				for _, job := range uncancelled {
					g := sim.GangState(job.Spec.ID)
					starts, saves, rollbacks, timedOutWaits = starts+g.Starts, saves+g.Saves, rollbacks+g.Rollbacks, timedOutWaits+g.WaitTimeouts
				}
				t.Logf("%d jobs that were not cancelled: gangs started %d times, saved %d times, rolled back %d times, %d waits timed out", len(uncancelled), starts, saves, rollbacks, timedOutWaits)
			})
		})
	}
}
