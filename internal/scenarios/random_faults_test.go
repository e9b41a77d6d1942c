package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Random faults, one at a time, while jobs are submitted.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(100); seed < 108; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, seed, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				rng := rand.New(rand.NewPCG(seed, 1))
				var uncancelled []simulator.JobScript
				sim.CopyCommandsAtRandom(copiedShare)
				sleepUntil(2 * time.Second)
				serviceJob := service(900, 3)
				sim.Submit(serviceJob, 0)
				jobNumber := 0
				for second := 3; second < 150; second += 5 + rng.IntN(10) {
					sleepUntil(time.Duration(second) * time.Second)
					jobNumber++
					job := array(jobNumber, 1+rng.IntN(10), float64(5+rng.IntN(25)))
					cancel := time.Duration(0)
					if rng.IntN(5) == 0 {
						cancel = time.Duration(5+rng.IntN(30)) * time.Second
					} else {
						uncancelled = append(uncancelled, job)
					}
					sim.Submit(job, cancel)
					switch rng.IntN(9) {
					case 0, 1:
						controller := rng.IntN(3)
						sim.KillController(controller)
						time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
						startControllers(t, sim, controller)
					case 2:
						sim.State.SetOutage(true)
						time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
						sim.State.SetOutage(false)
					case 3:
						sim.ReclaimMachines(1, func(bool, int) bool { return true })
					case 4:
						a, b := simulator.NodeIP(rng.IntN(3)), simulator.NodeIP(rng.IntN(3))
						sim.Net.Cut(a, b, true)
						time.Sleep(time.Duration(rng.IntN(15)) * time.Second)
						sim.Net.Cut(a, b, false)
					case 5:
						_, ip, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
						if controller := rng.IntN(3); ok {
							sim.Net.Cut(simulator.NodeIP(controller), ip, true)
							time.Sleep(time.Duration(rng.IntN(25)) * time.Second)
							sim.Net.Cut(simulator.NodeIP(controller), ip, false)
						}
					case 6:
						if id, _, ok := sim.FirstMachine(func(n int) bool { return n > 0 }); ok {
							sim.GiveSpotNotice(id, 8*time.Second)
						}
					case 7:
						sim.State.LoseResponses(1)
					}
				}
				markFaultsOver(sim)
				time.Sleep(150 * time.Second)
				mustFinish(t, sim, uncancelled...)
				mustHaveCopiedCommands(t, sim)
			})
		})
	}
}

// A random zone is partitioned, from a few seconds to well over a lease and cancel_s. Meanwhile the
// cloud or the key-value store may be unavailable, leaders are killed and jobs are cancelled.
// SCENARIO_SEEDS asks for more seeds.
func TestRandomZonePartitions(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 2))
			runWithSettings(t, settingsOfSize(5), 300+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				randomSeconds := randomDelay(rng)
				serviceJob, uncancelled := service(1, 4), []simulator.JobScript{}
				sim.CopyCommandsAtRandom(copiedShare)
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				for n := range 30 {
					job := array(10+n, 1+rng.IntN(8), float64(5+rng.IntN(30)))
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						uncancelled = append(uncancelled, job)
					}
					sleepUntil(time.Duration(3+5*n)*time.Second + randomSeconds(5))
					sim.Submit(job, cancel)
					if n%10 != 7 {
						continue
					}
					zone := []wire.Zone{"a", "b"}[rng.IntN(2)]
					sim.IsolateZone(zone, true)
					time.Sleep(randomSeconds(6))
					cloudDown, storeDown, killLeader := rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
					sim.SetCloudOutage(cloudDown)
					sim.State.SetOutage(storeDown)
					if leader := sim.Leader(); killLeader && leader >= 0 {
						sim.KillController(leader)
						time.Sleep(randomSeconds(6))
						startControllers(t, sim, leader)
					}
					time.Sleep(randomSeconds(20))
					sim.State.SetOutage(false)
					time.Sleep(randomSeconds(50))
					sim.IsolateZone(zone, false)
					time.Sleep(randomSeconds(10))
					sim.SetCloudOutage(false)
				}
				time.Sleep(150 * time.Second)
				mustFinish(t, sim, uncancelled...)
				mustRun(t, sim, serviceJob, "after all faults")
				mustHaveCopiedCommands(t, sim)
			})
		})
	}
}

// Random faults on a layout with a zone without controllers. One zone is partitioned, or two
// zones from each other, from a few seconds to well over a lease and cancel_s. Meanwhile one or all
// controllers may be killed, and the cloud or the key-value store may be unavailable.
func TestRandomFaultsOnUnevenLayout(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			runOnUnevenLayout(t, 500+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				randomSeconds := randomDelay(rng)
				zones := []wire.Zone{"a", "b", "c"}
				var uncancelled []simulator.JobScript
				sim.CopyCommandsAtRandom(copiedShare)
				for n := range 36 {
					job := array(10+n, 1+rng.IntN(9), float64(5+rng.IntN(30)))
					if rng.IntN(4) == 0 {
						job.Spec.Priority, job.Spec.CPUs, job.Spec.MemoryGB, job.Spec.Class, job.Spec.Team = wire.PriorityUrgent, 4, 14, "check", "blue"
					}
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						uncancelled = append(uncancelled, job)
					}
					sleepUntil(time.Duration(3+4*n)*time.Second + randomSeconds(4))
					sim.Submit(job, cancel)
					if n%9 != 6 {
						continue
					}
					rng.Shuffle(3, func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
					partition := func(on bool) { sim.IsolateZone(zones[0], on) }
					if rng.IntN(2) == 0 {
						partition = func(on bool) { sim.PartitionZones(zones[0], zones[1], on) }
					}
					partition(true)
					time.Sleep(randomSeconds(8))
					sim.SetCloudOutage(rng.IntN(2) == 0)
					sim.State.SetOutage(rng.IntN(4) == 0)
					if choice := rng.IntN(4); choice < 3 { // 0 or 1: that controller is killed, 2: all, 3: none
						killed := []int{choice}
						if choice == 2 {
							killed = []int{0, 1, 2}
						}
						for _, i := range killed {
							sim.KillController(i)
						}
						time.Sleep(randomSeconds(5))
						for _, i := range killed {
							if err := sim.StartController(i); err != nil {
								t.Error(err)
							}
						}
					}
					time.Sleep(randomSeconds(15))
					sim.State.SetOutage(false)
					time.Sleep(randomSeconds(60))
					partition(false)
					time.Sleep(randomSeconds(10))
					sim.SetCloudOutage(false)
				}
				markFaultsOver(sim)
				time.Sleep(240 * time.Second)
				mustFinish(t, sim, uncancelled...)
				mustHaveCopiedCommands(t, sim)
			})
		})
	}
}
