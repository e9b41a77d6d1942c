package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A machine's heartbeats arrive, but responses and commands don't reach it. It looks alive: the
// fault shows only in that it does not execute commands. Its replicas must run elsewhere soon
// after its lease has expired, tasks of a cancelled job must be gone in time, and a job that is
// submitted meanwhile must not wait for it.
func TestMachineReceivesNothing(t *testing.T) {
	t.Parallel()
	for _, leaderRestarts := range []bool{false, true} {
		t.Run(fmt.Sprint("leader restarts ", leaderRestarts), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 30, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, cancelledJob, arrayJob := service(1, 4), service(2, 4), array(3, 6, 10)
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				sim.Submit(cancelledJob, 55*time.Second)
				sleepUntil(45 * time.Second)
				machines := sim.MachinesRunning(serviceJob.Spec.ID)
				if len(machines) == 0 {
					t.Fatal("no replica of the service runs")
				}
				sim.Net.BlockInbound(sim.MachineIP(machines[0]), true)
				if leaderRestarts {
					// The machine never receives the next leader's token.
					restartLeader(t, sim, 5*time.Second)
				}
				sleepUntil(52 * time.Second)
				sim.Submit(arrayJob, 0)
				sleepUntil(90 * time.Second)
				mustRun(t, sim, serviceJob, "while a machine receives nothing")
				mustFinish(t, sim, arrayJob)
				sleepUntil(130 * time.Second)
				sim.Net.BlockInbound(sim.MachineIP(machines[0]), false)
				sleepUntil(200 * time.Second)
				mustRun(t, sim, serviceJob, "after the fault")
			})
		})
	}
}

// Agents can't connect to any controller, while requests to them arrive. This affects one
// machine, half of them, or most of a zone. The machines look alive, but their leases expire.
// The work that this ends must be done elsewhere, and tasks of a cancelled job must be gone in
// time.
func TestMachinesCannotConnect(t *testing.T) {
	t.Parallel()
	for name, choose := range map[string]func(sim *simulator.Simulation) []wire.MachineID{
		"one": func(sim *simulator.Simulation) []wire.MachineID { return sim.BusyMachines("")[:1] },
		"half": func(sim *simulator.Simulation) []wire.MachineID {
			machines := sim.BusyMachines("")
			return machines[:(len(machines)+1)/2]
		},
		"most of a zone": func(sim *simulator.Simulation) []wire.MachineID {
			machines := sim.BusyMachines("a")
			return machines[:(len(machines)*3+3)/4]
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := runOnBothLayouts
			if name == "one" {
				run = func(t *testing.T, seed uint64, script func(*testing.T, *simulator.Simulation, func(time.Duration))) {
					runOnUnevenLayout(t, seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) { script(t, sim, sleepUntil) })
				}
			}
			run(t, 640, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob, cancelledJob := service(1, 3), array(2, 12, 60), array(3, 4, 300)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, arrayJob, cancelledJob)
				sleepUntil(45 * time.Second)
				unconnected := choose(sim)
				sim.BlockOutbound(true, unconnected...)
				// Each agent has received no heartbeat response for a lease, but still answers requests.
				time.Sleep(sim.Settings.Workers.Lease.Duration() + time.Second)
				newEpochs := 0
				for _, id := range unconnected {
					if epoch, _, _ := sim.MachineEpoch(id); epoch > 1 {
						newEpochs++
					}
				}
				if newEpochs+lostMachines(sim, unconnected) != len(unconnected) || newEpochs == 0 {
					t.Errorf("%d of %d machines that can't connect have a new agent epoch, want all but those that are gone", newEpochs, len(unconnected))
				}
				mustCancel(t, sim, cancelledJob)
				time.Sleep(5 * time.Second)
				mustHaveNoTasks(t, sim, cancelledJob, "5 s later, on machines that can't connect")
				// Many such machines are kept for a while, and the cloud may have no more machines of
				// their cheap type.
				time.Sleep(170 * time.Second)
				mustFinish(t, sim, arrayJob)
				mustRun(t, sim, serviceJob, "while machines can't connect")
				sim.BlockOutbound(false, unconnected...)
				time.Sleep(30 * time.Second)
				mustRun(t, sim, serviceJob, "after the fault")
			})
		})
	}
}

// The leader is killed while machines with long tasks are unreachable, or receive nothing from
// the new leader, for less than a lease or more. Their tasks must neither run twice nor be lost.
func TestLeaderChangeWhileMachinesAreUnreachable(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"cut", "no inbound", "no inbound from next leader", "hang"} {
		for _, outlastsLease := range []bool{false, true} {
			run := runScenario
			if outlastsLease {
				run = runOnUnevenLayout
			}
			if fault == "no inbound" && !outlastsLease {
				continue // much the same as no inbound from the next leader
			}
			t.Run(fmt.Sprintf("%s, longer than a lease %v", fault, outlastsLease), func(t *testing.T) {
				t.Parallel()
				run(t, 650, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					serviceJob, arrayJob := service(1, 3), array(2, 12, 70)
					sleepUntil(2 * time.Second)
					submitAll(sim, serviceJob, arrayJob)
					sleepUntil(45 * time.Second)
					machines := sim.MachinesRunning(arrayJob.Spec.ID)
					machines = machines[:(len(machines)+1)/2]
					leader, oldToken := sim.LeaderAndToken()
					setFault := func(on bool) {
						for _, id := range machines {
							ip := sim.MachineIP(id)
							for i := range sim.Settings.Size {
								switch {
								case ip == "":
								case fault == "cut":
									sim.Net.Cut(simulator.NodeIP(i), ip, on)
								case fault == "no inbound", fault == "no inbound from next leader" && i != leader:
									sim.Net.HoldPackets(simulator.NodeIP(i), ip, on)
								}
							}
						}
						if fault == "hang" {
							sim.HangMachines(on, machines...)
						}
					}
					setFault(true)
					time.Sleep(500 * time.Millisecond)
					sim.KillController(leader)
					_, token := awaitNewToken(t, sim, oldToken)
					time.Sleep(2 * time.Second)
					withoutToken := 0
					for _, id := range machines {
						if _, _, seenToken := sim.MachineEpoch(id); seenToken < token {
							withoutToken++
						}
					}
					if withoutToken != len(machines) {
						t.Errorf("%d of %d machines have not seen the new leader's token, want all", withoutToken, len(machines))
					}
					if fault != "no inbound from next leader" {
						startControllers(t, sim, leader)
					}
					time.Sleep(3 * time.Second)
					if outlastsLease {
						time.Sleep(sim.Settings.Workers.Lease.Duration() + 10*time.Second)
					}
					setFault(false)
					startControllers(t, sim, leader)
					markFaultsOver(sim)
					time.Sleep(130 * time.Second)
					mustFinish(t, sim, arrayJob)
					mustRun(t, sim, serviceJob, "at the end")
				})
			})
		}
	}
}

// Jobs are cancelled whose machines hang, receive nothing or can't connect. Meanwhile the cloud
// may be unavailable and the leader may be killed. The tasks must be gone in time, also when the
// machines resume later.
func TestCancelOnUnresponsiveMachines(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"hang", "no inbound", "no outbound"} {
		for _, cloudDown := range []bool{false, true} {
			for _, leaderKilled := range []bool{false, true} {
				if !cloudDown && (leaderKilled || fault != "hang") {
					continue // less demanding than with the cloud unavailable
				}
				run := runScenario
				if leaderKilled {
					run = runOnUnevenLayout
				}
				t.Run(fmt.Sprintf("%s, cloud down %v, leader killed %v", fault, cloudDown, leaderKilled), func(t *testing.T) {
					t.Parallel()
					rng := rand.New(rand.NewPCG(660, 1))
					run(t, 660, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
						serviceJob, cancelledJob, arrayJob := service(1, 3), array(2, 10, 300), array(3, 6, 20)
						cancelledService := service(4, 2)
						sleepUntil(2 * time.Second)
						submitAll(sim, serviceJob, cancelledJob, cancelledService)
						sleepUntil(45 * time.Second)
						machines := sim.BusyMachines("")
						setFault := func(on bool) {
							switch fault {
							case "hang":
								sim.HangMachines(on, machines...)
							case "no inbound":
								sim.BlockInbound(on, machines...)
							default:
								sim.BlockOutbound(on, machines...)
							}
						}
						sim.SetCloudOutage(cloudDown)
						setFault(true)
						time.Sleep(randomDelay(rng)(3))
						if n := tasksOnMachines(sim, cancelledJob.Spec.ID); n != 10 {
							t.Errorf("%d of 10 tasks run before the cancellation, want all", n)
						}
						mustCancel(t, sim, cancelledJob)
						mustCancel(t, sim, cancelledService)
						if fault == "no outbound" {
							time.Sleep(4 * time.Second)
							mustHaveNoTasks(t, sim, cancelledJob, "on machines that can't connect")
						}
						if leaderKilled {
							leader, oldToken := sim.LeaderAndToken()
							sim.KillController(leader)
							awaitNewToken(t, sim, oldToken)
							time.Sleep(time.Second)
							startControllers(t, sim, leader)
						}
						sim.Submit(arrayJob, 0)
						time.Sleep(randomDelay(rng)(8))
						if fault == "hang" && tasksOnMachines(sim, cancelledJob.Spec.ID) == 0 && cloudDown {
							t.Error("no cancelled task is left on the hanging machines before they resume, want some")
						}
						if fault != "no outbound" {
							setFault(false) // within the lease
							time.Sleep(6 * time.Second)
							mustHaveNoTasks(t, sim, cancelledJob, "after the machines resumed")
							setFault(true)
						}
						time.Sleep(sim.Settings.Workers.Lease.Duration() + 4*time.Second)
						mustHaveNoTasks(t, sim, cancelledJob, "after the end of the lease")
						setFault(false)
						time.Sleep(20 * time.Second)
						sim.SetCloudOutage(false)
						markFaultsOver(sim)
						time.Sleep(80 * time.Second)
						mustFinish(t, sim, arrayJob)
						mustRun(t, sim, serviceJob, "at the end")
						mustHaveNoTasks(t, sim, cancelledJob, "at the end")
						mustHaveNoTasks(t, sim, cancelledService, "at the end")
					})
				})
			}
		}
	}
}
