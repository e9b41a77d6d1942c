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

// Faults drawn at random, with gangs beside arrays and services. SCENARIO_SEEDS asks for
// more of them.
func TestGangRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			set := []config.Settings{settingsOfSize(3), settingsOfSize(5), simulator.GasSettings()}[seed%3]
			runWithSettings(t, set, 820+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				seconds, size := randomDelay(rng), set.Size
				var all []simulator.JobScript
				at(2 * time.Second)
				sim.Submit(service(900, 3), 0)
				for n := range 24 {
					at(time.Duration(3+6*n)*time.Second + seconds(4))
					j := gang(10+n, 2+rng.IntN(4), float64(5+rng.IntN(50)))
					j.Spec.SameZone, j.Spec.SpotAllowed = rng.IntN(3) > 0, rng.IntN(2) == 0
					if rng.IntN(2) == 0 {
						j.Spec.Priority = wire.PriorityStandard
					}
					if n%3 == 2 {
						j = array(100+n, 1+rng.IntN(8), float64(5+rng.IntN(25)))
					}
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					sim.Submit(j, cancel)
					switch k := rng.IntN(11); k {
					case 0, 1:
						i := rng.IntN(size)
						if l := sim.Leader(); k == 1 && l >= 0 {
							i = l
						}
						sim.KillController(i)
						time.Sleep(seconds(5))
						startControllers(t, sim, i)
					case 2:
						sim.State.Outage(true)
						time.Sleep(seconds(20))
						sim.State.Outage(false)
					case 3, 4:
						if on := sim.MachinesHolding(j.Spec.ID); len(on) > 0 {
							sim.ReclaimMachine(on[0])
						} else {
							sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 })
						}
					case 5:
						if id, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 }); ok {
							sim.GiveSpotNotice(id, 8*time.Second+seconds(20))
						}
					case 6:
						if id, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 }); ok {
							sim.CountFault(true)
							sim.HangMachines(true, id)
							time.Sleep(seconds(30))
							sim.HangMachines(false, id)
							sim.CountFault(false)
						}
					case 7:
						sim.State.LoseAnswers(1)
					case 8:
						z := set.Zones[rng.IntN(len(set.Zones))]
						sim.IsolateZone(z, true)
						time.Sleep(seconds(40))
						sim.IsolateZone(z, false)
					case 9:
						_, ip, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
						if i := rng.IntN(size); ok {
							sim.Net.Hold(simulator.NodeIP(i), ip, true)
							time.Sleep(seconds(25))
							sim.Net.Hold(simulator.NodeIP(i), ip, false)
						}
					case 10:
						for _, id := range sim.RunningMachines() {
							sim.ResendLastHeartbeat(id, seconds(30))
						}
					}
				}
				markFaultsOver(sim)
				time.Sleep(220 * time.Second)
				mustFinish(t, sim, all...)
				starts, saves, falls, alone := 0, 0, 0, 0
				for _, j := range all {
					g := sim.GangState(j.Spec.ID)
					starts, saves, falls, alone = starts+g.Starts, saves+g.Saves, falls+g.Rollbacks, alone+g.Incomplete
				}
				t.Logf("%d jobs, %d starts of gangs, %d saved, %d fell back, %d tasks alone", len(all), starts, saves, falls, alone)
			})
		})
	}
}
