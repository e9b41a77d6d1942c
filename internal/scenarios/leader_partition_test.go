package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// cutFromMachines cuts a controller off from the first 100 machines, or ends the cut.
func cutFromMachines(sim *simulator.Simulation, controller int, on bool) {
	for i := 1; i <= 100; i++ {
		sim.Net.Cut(simulator.NodeIP(controller), fmt.Sprintf("10.1.0.%d", i), on)
	}
}

// A leader cut off from all agents resigns in favour of a controller that they reach.
func TestLeaderPartitionedFromAgents(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 10, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 3), array(2, 30, 25)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(40 * time.Second)
		leader := sim.Leader()
		cutFromMachines(sim, leader, true)
		sleepUntil(75 * time.Second)
		if n := sim.Leader(); n == leader {
			t.Error("the leader that reaches no agent still leads, want it to resign")
		}
		cutFromMachines(sim, leader, false)
		sleepUntil(220 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "at the end")
	})
}

// Agents that only the leader can't reach are served through another controller, and their machines
// are kept. Without this, a leader cut off from half of its agents would release all their machines.
func TestAgentPartitionedFromLeaderOnly(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 13, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 3), array(2, 12, 20)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(40 * time.Second)
		leader := sim.Leader()
		_, ip, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine runs tasks")
		}
		sim.Net.Cut(simulator.NodeIP(leader), ip, true)
		sleepUntil(100 * time.Second) // far longer than the lease of 16 s
		mustRun(t, sim, serviceJob, "while an agent is cut off from the leader")
		mustRestartNoTask(t, sim)
		sim.Net.Cut(simulator.NodeIP(leader), ip, false)
		sleepUntil(160 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// A leader cut off only from its peers goes on leading. If the key-value store then becomes
// unavailable too, the leader may answer agents only for as long as a controller may act as the
// delegate of a lost leader. After that it must stop, since no majority agrees, and no task may
// run twice when the leases have expired.
func TestLeaderPartitionedFromPeers(t *testing.T) {
	t.Parallel()
	runScenario(t, 18, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 3), array(2, 6, 30)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(40 * time.Second)
		leader := sim.Leader()
		for i := range 3 {
			if i != leader {
				sim.Net.Cut(simulator.NodeIP(leader), simulator.NodeIP(i), true)
			}
		}
		sleepUntil(70 * time.Second)
		mustRun(t, sim, serviceJob, "while the leader is cut off from its peers")
		mustRestartNoTask(t, sim)
		if sim.Leader() != leader {
			t.Error("the leader changed while it was cut off from its peers")
		}
		sim.State.SetOutage(true)
		sleepUntil(95 * time.Second)
		mustRun(t, sim, serviceJob, "25 s after the outage of the key-value store began")
		sleepUntil(112 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.TasksOnMachines(serviceJob.Spec.ID); n != 0 {
				t.Errorf("%d replicas outlive their leases without a majority, want 0", n)
			}
		})
		sim.State.SetOutage(false)
		sleepUntil(180 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// A leader is cut off from the key-value store and the other controllers, but not from its agents. It
// must stop answering them, and they must find the next leader before their leases expire.
func TestLeaderPartitionedFromAllButAgents(t *testing.T) {
	t.Parallel()
	for _, size := range []int{5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(size), 33, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob := service(1, 4), array(2, 12, 40)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, arrayJob)
				sleepUntil(40 * time.Second)
				leader := sim.Leader()
				cut := func(on bool) {
					for i := range size {
						if i != leader {
							sim.Net.Cut(simulator.NodeIP(leader), simulator.NodeIP(i), on)
						}
					}
					sim.Net.Cut(simulator.NodeIP(leader), "10.2.0.1", on)
				}
				cut(true)
				sleepUntil(55 * time.Second)
				if n := sim.Leader(); n == leader || n < 0 {
					t.Errorf("the leader is controller %d, want one other than controller %d", n, leader)
				}
				if status, _, _ := sim.Ask(leader, "GET", "/ready", nil); status != 503 {
					t.Errorf("/ready of a controller that reaches neither key-value store nor peers answers %d, want 503", status)
				}
				sleepUntil(70 * time.Second)
				mustRun(t, sim, serviceJob, "while the old leader is cut off")
				mustRestartNoTask(t, sim)
				cut(false)
				sleepUntil(160 * time.Second)
				mustFinish(t, sim, arrayJob)
			})
		})
	}
}

// A leader is cut off from the key-value store and the other controllers while agents and users still
// reach it, and jobs are cancelled through the next leader. In the worst case agents reach only the
// old leader and the cloud is unavailable, so that their tasks end only because the old leader stops
// answering. No response of the old leader may be older than what the new leader has answered.
func TestCancelWhileLeaderIsPartitioned(t *testing.T) {
	t.Parallel()
	for _, mode := range simulator.CutModes {
		for _, onlyOldLeader := range []bool{true, false} {
			if !onlyOldLeader && mode != simulator.CutRefused {
				continue
			}
			t.Run(fmt.Sprintf("%s, agents reach only the old leader %v", mode, onlyOldLeader), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(3), 65, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					serviceJob, arrayJob := service(1, 4), array(2, 4, 60)
					cancelledSoon, cancelledLater := service(3, 4), array(4, 4, 300)
					sleepUntil(2 * time.Second)
					for _, j := range []simulator.JobScript{serviceJob, arrayJob, cancelledSoon, cancelledLater} {
						sim.Submit(j, 0)
					}
					sleepUntil(45 * time.Second)
					oldLeader := sim.Leader()
					newJob := array(5, 3, 20)
					polls := startBackgroundPolls(sim, oldLeader, serviceJob, arrayJob, cancelledSoon, cancelledLater, newJob)
					defer polls.stopPolling()
					cancelledMachineIPs := map[string]bool{}
					for _, id := range append(sim.MachinesRunning(cancelledSoon.Spec.ID), sim.MachinesRunning(cancelledLater.Spec.ID)...) {
						cancelledMachineIPs[sim.MachineIP(id)] = true
					}
					partition := func(on bool) {
						sim.IsolateController(oldLeader, mode, on)
						for ip := range cancelledMachineIPs {
							for i := range 3 {
								if onlyOldLeader && i != oldLeader {
									sim.Net.Cut(simulator.NodeIP(i), ip, on)
								}
							}
						}
					}
					sim.SetCloudOutage(onlyOldLeader)
					cutAt := time.Now()
					partition(true)
					newLeader := awaitOtherLeader(t, sim, oldLeader, 10*time.Second)
					answeredBefore := polls.answered()
					sim.Submit(newJob, 0) // at any controller; one that can't accept it refuses
					if confirmedAt := cancelAtController(t, sim, newLeader, cancelledSoon); confirmedAt.Sub(cutAt) > 8*time.Second {
						t.Errorf("cancellation confirmed %v after the cut, want at most 8s", confirmedAt.Sub(cutAt))
					}
					sim.WithChecker(func(c *simulator.Checker) {
						if !onlyOldLeader && c.TasksOnMachines(cancelledLater.Spec.ID) == 0 || onlyOldLeader && c.TasksOnMachines(cancelledSoon.Spec.ID) == 0 {
							t.Error("no task of the jobs to cancel runs when they are cancelled, want some")
						}
					})
					time.Sleep(4 * time.Second)
					cancelAtController(t, sim, newLeader, cancelledLater)
					if considersItselfLeader(t, sim, oldLeader) {
						t.Errorf("the old leader still says that it leads %v after the cut", time.Since(cutAt))
					}
					if status, _, _ := sim.Ask(oldLeader, "GET", "/ready", nil); status != 503 {
						t.Errorf("/ready of the old leader answers %d, want 503", status)
					}
					for i := range 3 {
						if i != oldLeader && !sim.Net.IsCut(simulator.NodeIP(oldLeader), simulator.NodeIP(i)) {
							t.Error("the old leader can reach another controller before the end of the cut")
						}
					}
					if oldLeader == sim.Leader() {
						t.Error("the old leader leads again before the end of the cut")
					}
					time.Sleep(45 * time.Second)
					if onlyOldLeader {
						sim.WithChecker(func(c *simulator.Checker) {
							if n := c.TasksOnMachines(cancelledSoon.Spec.ID) + c.TasksOnMachines(cancelledLater.Spec.ID); n != 0 {
								t.Errorf("%d tasks of cancelled jobs on machines that reach only the old leader, want 0", n)
							}
						})
					}
					partition(false)
					sim.SetCloudOutage(false)
					time.Sleep(5 * time.Second)
					if polls.answered() == answeredBefore {
						t.Error("the old leader has answered no poll since the next leader was elected")
					}
					mustRecover(t, sim, 3, serviceJob, arrayJob, newJob)
				})
			})
		}
	}
}
