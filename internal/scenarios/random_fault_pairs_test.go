package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Two faults drawn at random overlap, three times in each run. SCENARIO_SEEDS asks for more of them.
func TestRandomFaultPairs(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 700+seed, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				rng := rand.New(rand.NewPCG(seed, 5))
				seconds := randomDelay(rng)
				s, all := service(900, 4), []simulator.JobScript{}
				n := 0
				submit := func() simulator.JobScript {
					n++
					j := array(n, 1+rng.IntN(8), float64(5+rng.IntN(40)))
					if rng.IntN(4) == 0 {
						j.Spec.SameZone = true
					}
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					sim.Submit(j, cancel)
					return j
				}
				some := func() (id wire.MachineID, ip string) {
					id, ip, _ = sim.FirstMachine(func(n int) bool { return n > 0 })
					return id, ip
				}
				// Each begins a fault and returns what ends it.
				faults := []func() func(){
					func() func() { // a node ends, and is back at once or later
						i := rng.IntN(3)
						if l := sim.Leader(); l >= 0 && rng.IntN(2) == 0 {
							i = l
						}
						sim.KillController(i)
						return func() { startControllers(t, sim, i) }
					},
					func() func() { // all end
						killAll(sim)
						return func() { startControllers(t, sim, 0, 1, 2) }
					},
					func() func() { // the leader is back at once
						l := (sim.Leader() + 3) % 3
						sim.KillController(l)
						time.Sleep(time.Duration(50+rng.IntN(900)) * time.Millisecond)
						startControllers(t, sim, l)
						return func() {}
					},
					func() func() { // the key-value store refuses one node
						i := (sim.Leader() + 3 + rng.IntN(2)) % 3
						sim.State.RefuseClient(simulator.NodeIP(i), true)
						return func() { sim.State.RefuseClient(simulator.NodeIP(i), false) }
					},
					func() func() { // the leader is cut from key-value store and peers
						l, mode := (sim.Leader()+3)%3, simulator.CutModes[rng.IntN(3)]
						sim.IsolateController(l, mode, true)
						return func() { sim.IsolateController(l, mode, false) }
					},
					func() func() { sim.State.Outage(true); return func() { sim.State.Outage(false) } },
					func() func() {
						z := []wire.Zone{"a", "b"}[rng.IntN(2)]
						sim.IsolateZone(z, true)
						return func() { sim.IsolateZone(z, false) }
					},
					func() func() { // nothing reaches a machine
						_, ip := some()
						sim.Net.BlockInbound(ip, true)
						return func() { sim.Net.BlockInbound(ip, false) }
					},
					func() func() { sim.ReclaimMachines(2, func(_ bool, n int) bool { return n > 0 }); return func() {} },
					func() func() { sim.CloudOutage(true); return func() { sim.CloudOutage(false) } },
					func() func() { sim.State.LoseAnswers(1 + rng.IntN(4)); return func() {} },
					func() func() { // late copies
						id, _ := some()
						sim.ResendLastHeartbeat(id, seconds(10), seconds(20), seconds(40))
						return func() {}
					},
					func() func() { // a burst, half of it cancelled
						for range 4 {
							n++
							j := array(n, 2, 100)
							sim.Submit(j, time.Second+seconds(15))
						}
						return func() {}
					},
				}
				at(2 * time.Second)
				sim.Submit(s, 0)
				for range 3 {
					for range 4 {
						submit()
						time.Sleep(3*time.Second + seconds(5))
					}
					x := rng.IntN(len(faults))
					y := (x + 1 + rng.IntN(len(faults)-1)) % len(faults)
					endX := faults[x]()
					submit()
					time.Sleep(seconds(1 + 9*rng.IntN(2))) // sometimes close, sometimes seconds apart
					endY := faults[y]()
					submit()
					time.Sleep(seconds(1 + 29*rng.IntN(2)))
					first, second := endX, endY
					if rng.IntN(2) == 0 {
						first, second = endY, endX
					}
					first()
					time.Sleep(seconds(1 + 14*rng.IntN(2)))
					second()
				}
				mustRecover(t, sim, 3, append(all, s)...)
			})
		})
	}
}

// Two or three faults drawn at random at a time, with teams at their limits,
// bound jobs and cancellations; when they are over nothing may wait any more.
func TestRandomFaultsLeaveNothingWaiting(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			runWithSettings(t, settingsWithTeamLimits(), 500+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				seconds := randomDelay(rng)
				zone := func() wire.Zone { return []wire.Zone{"a", "b"}[rng.IntN(2)] }
				s, sameS := service(1, 4), service(2, 3)
				sameS.Spec.SameZone, sameS.Spec.Spread = true, false
				at(2 * time.Second)
				submitAll(sim, s, sameS)
				var all []simulator.JobScript
				jobs := func(n int) {
					for range n {
						j := array(10+len(all), 1+rng.IntN(8), float64(4+rng.IntN(12)))
						j.Spec.Priority = []wire.Priority{wire.PriorityBestEffort, wire.PriorityStandard, wire.PriorityUrgent}[rng.IntN(3)]
						j.Spec.Team = []wire.TeamID{"red", "blue"}[rng.IntN(2)]
						switch rng.IntN(5) {
						case 0:
							j.Spec.SameZone = true
						case 1:
							j.Spec.Spread = true
						case 2:
							j.Spec.Zone = zone()
						}
						sim.Submit(j, randomCancelDelay(rng))
						all = append(all, j)
					}
				}
				some := func() (out []wire.MachineID) {
					bits := rng.Uint64()
					for i, id := range append(sim.RunningMachinesIn("a"), sim.RunningMachinesIn("b")...) {
						if bits>>(i%64)&1 == 1 {
							out = append(out, id)
						}
					}
					return out
				}
				jobs(4)
				met := 0
				at(30 * time.Second)
				for range 3 {
					jobs(2)
					time.Sleep(seconds(6))
					var endFaults []func()
					leaders := sim.Leader()
					for n := range 2 + rng.IntN(2) {
						ids, z := some(), zone()
						kind := rng.IntN(9)
						if n == 0 {
							kind %= 6 // one that lasts, for the others to meet
						}
						switch kind {
						case 0:
							sim.IsolateZone(z, true)
							endFaults = append(endFaults, func() { sim.IsolateZone(z, false) })
						case 1:
							for _, id := range ids {
								sim.StallMachine(id, true)
							}
							endFaults = append(endFaults, func() {
								for _, id := range ids {
									sim.StallMachine(id, false)
								}
							})
						case 2:
							sim.CloudOutage(true)
							endFaults = append(endFaults, func() { sim.CloudOutage(false) })
						case 3:
							sim.State.Outage(true)
							endFaults = append(endFaults, func() { sim.State.Outage(false) })
						case 4:
							sim.SlowMachineLinks(seconds(2) * 6 / 10)
							endFaults = append(endFaults, func() { sim.SlowMachineLinks(0) })
						case 5:
							for _, id := range ids {
								sim.Net.BlockInbound(sim.MachineIP(id), true)
							}
							endFaults = append(endFaults, func() {
								for _, id := range ids {
									sim.Net.BlockInbound(sim.MachineIP(id), false)
								}
							})
						case 6:
							sim.RemoveMachines(ids...)
						case 7:
							sim.State.LoseAnswers(1 + rng.IntN(4))
						case 8:
							sim.LoseScaleInAnswers(3)
							sim.LoseScaleOutAnswers(2)
						}
						if n > 0 && len(endFaults) > 0 {
							met++
						}
						time.Sleep(seconds(2))
					}
					jobs(2)
					if leaders >= 0 && rng.IntN(3) > 0 {
						sim.KillController(leaders)
						time.Sleep(seconds(8))
						startControllers(t, sim, leaders)
					}
					time.Sleep(seconds(40))
					for _, f := range endFaults {
						f()
						time.Sleep(seconds(3))
					}
				}
				markFaultsOver(sim)
				if met < 3 {
					t.Errorf("only %d faults fell into another one", met)
				}
				mustLeaveNothingWaiting(t, sim, 200*time.Second)
				mustRun(t, sim, s, "when all is over")
				mustRun(t, sim, sameS, "of the one in one place when all is over")
				mustLeaveNoKeys(t, sim, s, sameS)
			})
		})
	}
}
