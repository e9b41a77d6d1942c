package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A machine's heartbeats arrive, but answers and commands don't reach it. It
// looks alive, so only what it does not do tells. Its replicas must be back
// elsewhere soon after its lease has ended them, what is cancelled there must
// be gone in time, and a job that comes meanwhile must not wait for it.
func TestMachineReceivesNothing(t *testing.T) {
	t.Parallel()
	for _, inherited := range []bool{false, true} {
		t.Run(fmt.Sprint("inherited ", inherited), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 30, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				s, cancelledJob, a := service(1, 4), service(2, 4), array(3, 6, 10)
				at(2 * time.Second)
				sim.Submit(s, 0)
				sim.Submit(cancelledJob, 55*time.Second)
				at(45 * time.Second)
				on := sim.MachinesRunning(s.Spec.ID)
				if len(on) == 0 {
					t.Fatal("no replica runs")
				}
				sim.Net.BlockInbound(sim.MachineIP(on[0]), true)
				if inherited {
					// The next leader can never show its token to the machine.
					restartLeader(t, sim, 5*time.Second)
				}
				at(52 * time.Second)
				sim.Submit(a, 0)
				at(90 * time.Second)
				mustRun(t, sim, s, "while a machine does not hear")
				mustFinish(t, sim, a)
				at(130 * time.Second)
				sim.Net.BlockInbound(sim.MachineIP(on[0]), false)
				at(200 * time.Second)
				mustRun(t, sim, s, "afterwards")
			})
		})
	}
}

// Workers can open no connection to any controller, while what is sent to them
// arrives: one machine, some, or most of a zone. They look alive, and their
// leases run out all the same. What can't live there must be done elsewhere, and
// what is cancelled there must be gone in time.
func TestMachinesCannotConnect(t *testing.T) {
	t.Parallel()
	for name, some := range map[string]func(sim *simulator.Simulation) []wire.MachineID{
		"one": func(sim *simulator.Simulation) []wire.MachineID { return sim.BusyMachines("")[:1] },
		"some": func(sim *simulator.Simulation) []wire.MachineID {
			ms := sim.BusyMachines("")
			return ms[:(len(ms)+1)/2]
		},
		"most a zone": func(sim *simulator.Simulation) []wire.MachineID {
			ms := sim.BusyMachines("a")
			return ms[:(len(ms)*3+3)/4]
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := runOnBothLayouts
			if name == "one" {
				both = func(t *testing.T, seed uint64, script func(*testing.T, *simulator.Simulation, func(time.Duration))) {
					runOnUnevenLayout(t, seed, func(sim *simulator.Simulation, at func(time.Duration)) { script(t, sim, at) })
				}
			}
			both(t, 640, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				s, a, cancelledJob := service(1, 3), array(2, 12, 60), array(3, 4, 300)
				at(2 * time.Second)
				submitAll(sim, s, a, cancelledJob)
				at(45 * time.Second)
				unconnected := some(sim)
				sim.BlockOutbound(true, unconnected...)
				// Each has outlived a lease without a heartbeat, and yet answers.
				time.Sleep(sim.Settings.Workers.Lease.Duration() + time.Second)
				n := 0
				for _, id := range unconnected {
					if epoch, _, _ := sim.MachineEpoch(id); epoch > 1 {
						n++
					}
				}
				if n+lostMachines(sim, unconnected) != len(unconnected) || n == 0 {
					t.Errorf("%d of %d machines that can't connect are there in a new session", n, len(unconnected))
				}
				mustCancel(t, sim, cancelledJob)
				time.Sleep(5 * time.Second)
				mustBeGone(t, sim, cancelledJob, "5 s later, on machines that can't connect")
				// Where they are many they are kept for a while, and the cloud may
				// have no more of their cheap type.
				time.Sleep(170 * time.Second)
				mustFinish(t, sim, a)
				mustRun(t, sim, s, "while machines can't connect")
				sim.BlockOutbound(false, unconnected...)
				time.Sleep(30 * time.Second)
				mustRun(t, sim, s, "afterwards")
			})
		})
	}
}

// The leader ends while machines with long tasks can't be reached, or hear none
// of the new leader's answers, for less than a lease or more. Their tasks are
// neither started twice nor given up for ever.
func TestLeaderChangeWhileMachinesAreUnreachable(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"cut", "no inbound", "no inbound from the next", "hang"} {
		for _, long := range []bool{false, true} {
			play := runScenario
			if long {
				play = runOnUnevenLayout
			}
			if how == "no inbound" && !long {
				continue // as with no inbound from the next
			}
			t.Run(fmt.Sprintf("%s, longer than a lease %v", how, long), func(t *testing.T) {
				t.Parallel()
				play(t, 650, func(sim *simulator.Simulation, at func(time.Duration)) {
					s, a := service(1, 3), array(2, 12, 70)
					at(2 * time.Second)
					submitAll(sim, s, a)
					at(45 * time.Second)
					ms := sim.MachinesRunning(a.Spec.ID)
					ms = ms[:(len(ms)+1)/2]
					l, old := sim.LeaderAndToken()
					off := func(on bool) {
						for _, id := range ms {
							ip := sim.MachineIP(id)
							for i := range sim.Settings.Size {
								switch {
								case ip == "":
								case how == "cut":
									sim.Net.Cut(simulator.NodeIP(i), ip, on)
								case how == "no inbound", how == "no inbound from the next" && i != l:
									sim.Net.Hold(simulator.NodeIP(i), ip, on)
								}
							}
						}
						if how == "hang" {
							sim.HangMachines(on, ms...)
						}
					}
					off(true)
					time.Sleep(500 * time.Millisecond)
					sim.KillController(l)
					_, token := awaitNewToken(t, sim, old)
					time.Sleep(2 * time.Second)
					unheard := 0
					for _, id := range ms {
						if _, _, seenToken := sim.MachineEpoch(id); seenToken < token {
							unheard++
						}
					}
					if unheard != len(ms) {
						t.Errorf("%d of %d machines have not heard the new leader", unheard, len(ms))
					}
					if how != "no inbound from the next" {
						startControllers(t, sim, l)
					}
					time.Sleep(3 * time.Second)
					if long {
						time.Sleep(sim.Settings.Workers.Lease.Duration() + 10*time.Second)
					}
					off(false)
					startControllers(t, sim, l)
					markFaultsOver(sim)
					time.Sleep(130 * time.Second)
					mustFinish(t, sim, a)
					mustRun(t, sim, s, "at the end")
				})
			})
		}
	}
}

// Jobs are cancelled whose machines hang, receive nothing or can't connect, while the cloud may
// be away and the leader may end. The tasks must be gone in time, also when the
// machines go on later.
func TestCancelOnUnresponsiveMachines(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"hang", "no inbound", "no outbound"} {
		for _, cloud := range []bool{false, true} {
			for _, leader := range []bool{false, true} {
				if !cloud && (leader || how != "hang") {
					continue // easier than with the cloud away
				}
				play := runScenario
				if leader {
					play = runOnUnevenLayout
				}
				t.Run(fmt.Sprintf("%s, cloud away %v, leader ends %v", how, cloud, leader), func(t *testing.T) {
					t.Parallel()
					rng := rand.New(rand.NewPCG(660, 1))
					play(t, 660, func(sim *simulator.Simulation, at func(time.Duration)) {
						s, cancelledJob, a := service(1, 3), array(2, 10, 300), array(3, 6, 20)
						kept := service(4, 2)
						at(2 * time.Second)
						submitAll(sim, s, cancelledJob, kept)
						at(45 * time.Second)
						ms := sim.BusyMachines("")
						off := func(on bool) {
							switch how {
							case "hang":
								sim.HangMachines(on, ms...)
							case "no inbound":
								sim.BlockInbound(on, ms...)
							default:
								sim.BlockOutbound(on, ms...)
							}
						}
						sim.CloudOutage(cloud)
						off(true)
						time.Sleep(randomDelay(rng)(3))
						if n := tasksOnMachines(sim, cancelledJob.Spec.ID); n != 10 {
							t.Errorf("%d of 10 tasks run when they are cancelled", n)
						}
						mustCancel(t, sim, cancelledJob)
						mustCancel(t, sim, kept)
						if how == "no outbound" {
							time.Sleep(4 * time.Second)
							mustBeGone(t, sim, cancelledJob, "on machines that can't connect")
						}
						if leader {
							l, old := sim.LeaderAndToken()
							sim.KillController(l)
							awaitNewToken(t, sim, old)
							time.Sleep(time.Second)
							startControllers(t, sim, l)
						}
						sim.Submit(a, 0)
						time.Sleep(randomDelay(rng)(8))
						if how == "hang" && tasksOnMachines(sim, cancelledJob.Spec.ID) == 0 && cloud {
							t.Error("the hanging machines lost their tasks before they went on")
						}
						if how != "no outbound" {
							off(false) // within the lease
							time.Sleep(6 * time.Second)
							mustBeGone(t, sim, cancelledJob, "when the machines go on")
							off(true)
						}
						time.Sleep(sim.Settings.Workers.Lease.Duration() + 4*time.Second)
						mustBeGone(t, sim, cancelledJob, "after a lease")
						off(false)
						time.Sleep(20 * time.Second)
						sim.CloudOutage(false)
						markFaultsOver(sim)
						time.Sleep(80 * time.Second)
						mustFinish(t, sim, a)
						mustRun(t, sim, s, "at the end")
						mustBeGone(t, sim, cancelledJob, "at the end")
						mustBeGone(t, sim, kept, "at the end")
					})
				})
			}
		}
	}
}
