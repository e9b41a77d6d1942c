package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Two random faults overlap, three times in each run. SCENARIO_SEEDS asks for more seeds.
func TestRandomFaultPairs(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 700+seed, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				rng := rand.New(rand.NewPCG(seed, 5))
				randomSeconds := randomDelay(rng)
				serviceJob, uncancelled := service(900, 4), []simulator.JobScript{}
				jobNumber := 0
				submit := func() simulator.JobScript {
					jobNumber++
					job := array(jobNumber, 1+rng.IntN(8), float64(5+rng.IntN(40)))
					if rng.IntN(4) == 0 {
						job.Spec.SameZone = true
					}
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						uncancelled = append(uncancelled, job)
					}
					sim.Submit(job, cancel)
					return job
				}
				busyMachine := func() (id wire.MachineID, ip string) {
					id, ip, _ = sim.FirstMachine(func(n int) bool { return n > 0 })
					return id, ip
				}
				// Each function begins a fault and returns the function that ends it.
				faults := []func() func(){
					func() func() { // a controller is killed until the fault ends
						controller := rng.IntN(3)
						if leader := sim.Leader(); leader >= 0 && rng.IntN(2) == 0 {
							controller = leader
						}
						sim.KillController(controller)
						return func() { startControllers(t, sim, controller) }
					},
					func() func() { // all controllers are killed
						killAll(sim)
						return func() { startControllers(t, sim, 0, 1, 2) }
					},
					func() func() { // the leader is killed and soon restarted
						leader := (sim.Leader() + 3) % 3
						sim.KillController(leader)
						time.Sleep(time.Duration(50+rng.IntN(900)) * time.Millisecond)
						startControllers(t, sim, leader)
						return func() {}
					},
					func() func() { // the key-value store refuses one controller
						controller := (sim.Leader() + 3 + rng.IntN(2)) % 3
						sim.State.RefuseClient(simulator.NodeIP(controller), true)
						return func() { sim.State.RefuseClient(simulator.NodeIP(controller), false) }
					},
					func() func() { // the leader reaches neither the key-value store nor its peers
						leader, mode := (sim.Leader()+3)%3, simulator.CutModes[rng.IntN(3)]
						sim.IsolateController(leader, mode, true)
						return func() { sim.IsolateController(leader, mode, false) }
					},
					func() func() { sim.State.SetOutage(true); return func() { sim.State.SetOutage(false) } },
					func() func() {
						zone := []wire.Zone{"a", "b"}[rng.IntN(2)]
						sim.IsolateZone(zone, true)
						return func() { sim.IsolateZone(zone, false) }
					},
					func() func() { // a machine receives nothing
						_, ip := busyMachine()
						sim.Net.BlockInbound(ip, true)
						return func() { sim.Net.BlockInbound(ip, false) }
					},
					func() func() { sim.ReclaimMachines(2, func(_ bool, n int) bool { return n > 0 }); return func() {} },
					func() func() { sim.SetCloudOutage(true); return func() { sim.SetCloudOutage(false) } },
					func() func() { sim.State.LoseResponses(1 + rng.IntN(4)); return func() {} },
					func() func() { // delayed copies of a heartbeat arrive
						id, _ := busyMachine()
						sim.ResendLastHeartbeat(id, randomSeconds(10), randomSeconds(20), randomSeconds(40))
						return func() {}
					},
					func() func() { // a burst of jobs that are soon cancelled
						for range 4 {
							jobNumber++
							job := array(jobNumber, 2, 100)
							sim.Submit(job, time.Second+randomSeconds(15))
						}
						return func() {}
					},
				}
				sim.CopyCommandsAtRandom(copiedShare)
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				for range 3 {
					for range 4 {
						submit()
						time.Sleep(3*time.Second + randomSeconds(5))
					}
					firstFault := rng.IntN(len(faults))
					secondFault := (firstFault + 1 + rng.IntN(len(faults)-1)) % len(faults)
					endFirst := faults[firstFault]()
					submit()
					time.Sleep(randomSeconds(1 + 9*rng.IntN(2))) // the faults begin close together or seconds apart
					endSecond := faults[secondFault]()
					submit()
					time.Sleep(randomSeconds(1 + 29*rng.IntN(2)))
					endEarlier, endLater := endFirst, endSecond
					if rng.IntN(2) == 0 {
						endEarlier, endLater = endSecond, endFirst
					}
					endEarlier()
					time.Sleep(randomSeconds(1 + 14*rng.IntN(2)))
					endLater()
				}
				mustRecover(t, sim, 3, append(uncancelled, serviceJob)...)
				mustHaveCopiedCommands(t, sim)
			})
		})
	}
}

// Two or three random faults at a time, with teams at their limits, jobs bound to one zone and
// cancellations. Once all faults are over, no job may be left waiting.
func TestRandomFaultsLeaveNothingWaiting(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			runWithSettings(t, settingsWithTeamLimits(), 500+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				randomSeconds := randomDelay(rng)
				randomZone := func() wire.Zone { return []wire.Zone{"a", "b"}[rng.IntN(2)] }
				serviceJob, sameZoneService := service(1, 4), service(2, 3)
				sameZoneService.Spec.SameZone, sameZoneService.Spec.Spread = true, false
				sim.CopyCommandsAtRandom(copiedShare)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, sameZoneService)
				var submitted []simulator.JobScript
				submitArrays := func(n int) {
					for range n {
						job := array(10+len(submitted), 1+rng.IntN(8), float64(4+rng.IntN(12)))
						job.Spec.Priority = []wire.Priority{wire.PriorityBestEffort, wire.PriorityStandard, wire.PriorityUrgent}[rng.IntN(3)]
						job.Spec.Team = []wire.TeamID{"red", "blue"}[rng.IntN(2)]
						switch rng.IntN(5) {
						case 0:
							job.Spec.SameZone = true
						case 1:
							job.Spec.Spread = true
						case 2:
							job.Spec.Zone = randomZone()
						}
						sim.Submit(job, randomCancelDelay(rng))
						submitted = append(submitted, job)
					}
				}
				randomMachines := func() (out []wire.MachineID) {
					bits := rng.Uint64()
					for i, id := range append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...) {
						if bits>>(i%64)&1 == 1 {
							out = append(out, id)
						}
					}
					return out
				}
				submitArrays(4)
				overlaps := 0
				sleepUntil(30 * time.Second)
				for range 3 {
					submitArrays(2)
					time.Sleep(randomSeconds(6))
					var endFaults []func()
					leader := sim.Leader()
					for n := range 2 + rng.IntN(2) {
						machines, zone := randomMachines(), randomZone()
						kind := rng.IntN(9)
						if n == 0 {
							kind %= 6 // a fault that lasts, so that the others overlap it
						}
						switch kind {
						case 0:
							sim.IsolateZone(zone, true)
							endFaults = append(endFaults, func() { sim.IsolateZone(zone, false) })
						case 1:
							for _, id := range machines {
								sim.StallMachine(id, true)
							}
							endFaults = append(endFaults, func() {
								for _, id := range machines {
									sim.StallMachine(id, false)
								}
							})
						case 2:
							sim.SetCloudOutage(true)
							endFaults = append(endFaults, func() { sim.SetCloudOutage(false) })
						case 3:
							sim.State.SetOutage(true)
							endFaults = append(endFaults, func() { sim.State.SetOutage(false) })
						case 4:
							sim.SlowMachineLinks(randomSeconds(2) * 6 / 10)
							endFaults = append(endFaults, func() { sim.SlowMachineLinks(0) })
						case 5:
							for _, id := range machines {
								sim.Net.BlockInbound(sim.MachineIP(id), true)
							}
							endFaults = append(endFaults, func() {
								for _, id := range machines {
									sim.Net.BlockInbound(sim.MachineIP(id), false)
								}
							})
						case 6:
							sim.RemoveMachines(machines...)
						case 7:
							sim.State.LoseResponses(1 + rng.IntN(4))
						case 8:
							sim.LoseScaleInResponses(3)
							sim.LoseScaleOutResponses(2)
						}
						if n > 0 && len(endFaults) > 0 {
							overlaps++
						}
						time.Sleep(randomSeconds(2))
					}
					submitArrays(2)
					if leader >= 0 && rng.IntN(3) > 0 {
						sim.KillController(leader)
						time.Sleep(randomSeconds(8))
						startControllers(t, sim, leader)
					}
					time.Sleep(randomSeconds(40))
					for _, endFault := range endFaults {
						endFault()
						time.Sleep(randomSeconds(3))
					}
				}
				markFaultsOver(sim)
				if overlaps < 3 {
					t.Errorf("%d faults overlapped an earlier one, want at least 3", overlaps)
				}
				mustLeaveNothingWaiting(t, sim, 200*time.Second)
				mustRun(t, sim, serviceJob, "after all faults")
				mustRun(t, sim, sameZoneService, "of the single-zone service after all faults")
				mustLeaveNoKeys(t, sim, serviceJob, sameZoneService)
				mustHaveCopiedCommands(t, sim)
			})
		})
	}
}
