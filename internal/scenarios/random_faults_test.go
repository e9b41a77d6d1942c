package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Faults drawn at random, one at a time, with jobs all the while.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(100); seed < 108; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, seed, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				rng := rand.New(rand.NewPCG(seed, 1))
				var all []simulator.JobScript
				at(2 * time.Second)
				s := service(900, 3)
				sim.Submit(s, 0)
				n := 0
				for now := 3; now < 150; now += 5 + rng.IntN(10) {
					at(time.Duration(now) * time.Second)
					n++
					j := array(n, 1+rng.IntN(10), float64(5+rng.IntN(25)))
					cancel := time.Duration(0)
					if rng.IntN(5) == 0 {
						cancel = time.Duration(5+rng.IntN(30)) * time.Second
					} else {
						all = append(all, j)
					}
					sim.Submit(j, cancel)
					switch rng.IntN(9) {
					case 0, 1:
						i := rng.IntN(3)
						sim.KillController(i)
						time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
						startControllers(t, sim, i)
					case 2:
						sim.State.Outage(true)
						time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
						sim.State.Outage(false)
					case 3:
						sim.ReclaimMachines(1, func(bool, int) bool { return true })
					case 4:
						a, b := simulator.NodeIP(rng.IntN(3)), simulator.NodeIP(rng.IntN(3))
						sim.Net.Cut(a, b, true)
						time.Sleep(time.Duration(rng.IntN(15)) * time.Second)
						sim.Net.Cut(a, b, false)
					case 5:
						_, ip, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
						if i := rng.IntN(3); ok {
							sim.Net.Cut(simulator.NodeIP(i), ip, true)
							time.Sleep(time.Duration(rng.IntN(25)) * time.Second)
							sim.Net.Cut(simulator.NodeIP(i), ip, false)
						}
					case 6:
						if id, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 }); ok {
							sim.GiveSpotNotice(id, 8*time.Second)
						}
					case 7:
						sim.State.LoseAnswers(1)
					}
				}
				markFaultsOver(sim)
				time.Sleep(150 * time.Second)
				mustFinish(t, sim, all...)
			})
		})
	}
}

// Random partitions of a zone, from seconds to well over a lease and the time for
// cancellations, with the cloud or the key-value store away, leaders that end and
// jobs that are cancelled meanwhile. SCENARIO_SEEDS asks for more of them.
func TestRandomZonePartitions(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 2))
			runWithSettings(t, settingsOfSize(5), 300+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				seconds := randomDelay(rng)
				s, all := service(1, 4), []simulator.JobScript{}
				at(2 * time.Second)
				sim.Submit(s, 0)
				for n := range 30 {
					j := array(10+n, 1+rng.IntN(8), float64(5+rng.IntN(30)))
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					at(time.Duration(3+5*n)*time.Second + seconds(5))
					sim.Submit(j, cancel)
					if n%10 != 7 {
						continue
					}
					z := []wire.Zone{"a", "b"}[rng.IntN(2)]
					sim.IsolateZone(z, true)
					time.Sleep(seconds(6))
					cloud, state, leader := rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
					sim.CloudOutage(cloud)
					sim.State.Outage(state)
					if l := sim.Leader(); leader && l >= 0 {
						sim.KillController(l)
						time.Sleep(seconds(6))
						startControllers(t, sim, l)
					}
					time.Sleep(seconds(20))
					sim.State.Outage(false)
					time.Sleep(seconds(50))
					sim.IsolateZone(z, false)
					time.Sleep(seconds(10))
					sim.CloudOutage(false)
				}
				time.Sleep(150 * time.Second)
				mustFinish(t, sim, all...)
				mustRun(t, sim, s, "when all is over")
			})
		})
	}
}

// Random faults on this layout: any zone cut off, or any two from each other, for seconds
// to well over a lease and the time for cancellations, with controllers that
// end, one or all, and the cloud or the key-value store away meanwhile.
func TestRandomFaultsOnUnevenLayout(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			runOnUnevenLayout(t, 500+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				seconds := randomDelay(rng)
				zones := []wire.Zone{"a", "b", "c"}
				var all []simulator.JobScript
				for n := range 36 {
					j := array(10+n, 1+rng.IntN(9), float64(5+rng.IntN(30)))
					if rng.IntN(4) == 0 {
						j.Spec.Priority, j.Spec.CPUs, j.Spec.MemoryGB, j.Spec.Class, j.Spec.Team = wire.PriorityUrgent, 4, 14, "check", "blue"
					}
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					at(time.Duration(3+4*n)*time.Second + seconds(4))
					sim.Submit(j, cancel)
					if n%9 != 6 {
						continue
					}
					rng.Shuffle(3, func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
					split := func(on bool) { sim.IsolateZone(zones[0], on) }
					if rng.IntN(2) == 0 {
						split = func(on bool) { sim.PartitionZones(zones[0], zones[1], on) }
					}
					split(true)
					time.Sleep(seconds(8))
					sim.CloudOutage(rng.IntN(2) == 0)
					sim.State.Outage(rng.IntN(4) == 0)
					if end := rng.IntN(4); end < 3 {
						down := []int{end}
						if end == 2 {
							down = []int{0, 1, 2}
						}
						for _, i := range down {
							sim.KillController(i)
						}
						time.Sleep(seconds(5))
						for _, i := range down {
							if err := sim.StartController(i); err != nil {
								t.Error(err)
							}
						}
					}
					time.Sleep(seconds(15))
					sim.State.Outage(false)
					time.Sleep(seconds(60))
					split(false)
					time.Sleep(seconds(10))
					sim.CloudOutage(false)
				}
				markFaultsOver(sim)
				time.Sleep(240 * time.Second)
				mustFinish(t, sim, all...)
			})
		})
	}
}
