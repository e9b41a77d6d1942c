package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// cutFromMachines cuts a controller from the first 100 machines, or ends the cut.
func cutFromMachines(sim *simulator.Simulation, node int, on bool) {
	for i := 1; i <= 100; i++ {
		sim.Net.Cut(simulator.NodeIP(node), fmt.Sprintf("10.1.0.%d", i), on)
	}
}

// A leader cut off from all workers resigns in favour of a node that they
// reach.
func TestLeaderPartitionedFromWorkers(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 10, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 30, 25)
		at(2 * time.Second)
		submitAll(sim, s, a)
		at(40 * time.Second)
		l := sim.Leader()
		cutFromMachines(sim, l, true)
		at(75 * time.Second)
		if n := sim.Leader(); n == l {
			t.Error("the leader that reaches no worker still leads")
		}
		cutFromMachines(sim, l, false)
		at(220 * time.Second)
		mustFinish(t, sim, a)
		mustRun(t, sim, s, "run")
	})
}

// Workers that only the leader can't reach are served through another node,
// and their machines are kept. (A leader cut off from half of its workers
// once released them all.)
func TestWorkerPartitionedFromLeaderOnly(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 13, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 12, 20)
		at(2 * time.Second)
		submitAll(sim, s, a)
		at(40 * time.Second)
		l := sim.Leader()
		_, ip, ok := sim.FirstMachine(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine at work")
		}
		sim.Net.Cut(simulator.NodeIP(l), ip, true)
		at(100 * time.Second) // against a lease of 16 s
		mustRun(t, sim, s, "run")
		mustRestartNoTask(t, sim)
		sim.Net.Cut(simulator.NodeIP(l), ip, false)
		at(160 * time.Second)
		mustFinish(t, sim, a)
	})
}

// A leader cut off from its peers only goes on leading; in an outage on top it
// may answer for as long as a node may be delegate of a lost leader and must stop
// then, since no majority agrees, and nothing may run twice when the leases
// have run out.
func TestLeaderPartitionedFromPeers(t *testing.T) {
	t.Parallel()
	runScenario(t, 18, func(sim *simulator.Simulation, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 6, 30)
		at(2 * time.Second)
		submitAll(sim, s, a)
		at(40 * time.Second)
		l := sim.Leader()
		for i := range 3 {
			if i != l {
				sim.Net.Cut(simulator.NodeIP(l), simulator.NodeIP(i), true)
			}
		}
		at(70 * time.Second)
		mustRun(t, sim, s, "run")
		mustRestartNoTask(t, sim)
		if sim.Leader() != l {
			t.Error("the leader changed")
		}
		sim.State.Outage(true)
		at(95 * time.Second)
		mustRun(t, sim, s, "25 s after the state service is gone too")
		at(112 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.OnMachines(s.Spec.ID); n != 0 {
				t.Errorf("%d replicas outlive their leases without a majority", n)
			}
		})
		sim.State.Outage(false)
		at(180 * time.Second)
		mustFinish(t, sim, a)
	})
}

// A leader loses the key-value store and the other controllers, not its
// workers: it must stop answering them, and they must find the next leader
// before their leases end.
func TestLeaderPartitionedFromAllButWorkers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(size), 33, func(sim *simulator.Simulation, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 12, 40)
				at(2 * time.Second)
				submitAll(sim, s, a)
				at(40 * time.Second)
				l := sim.Leader()
				cut := func(on bool) {
					for i := range size {
						if i != l {
							sim.Net.Cut(simulator.NodeIP(l), simulator.NodeIP(i), on)
						}
					}
					sim.Net.Cut(simulator.NodeIP(l), "10.2.0.1", on)
				}
				cut(true)
				at(55 * time.Second)
				if n := sim.Leader(); n == l || n < 0 {
					t.Errorf("leader is %d, was %d", n, l)
				}
				if status, _, _ := sim.Ask(l, "GET", "/ready", nil); status != 503 {
					t.Errorf("/ready of a node that reaches neither state service nor peers answers %d", status)
				}
				at(70 * time.Second)
				mustRun(t, sim, s, "run")
				mustRestartNoTask(t, sim)
				cut(false)
				at(160 * time.Second)
				mustFinish(t, sim, a)
			})
		})
	}
}

// A leader is cut from the key-value store and the other controllers while workers
// and users still reach it, and jobs are cancelled through the next one. In the
// worst case workers reach the old one only and the cloud is away, so that
// nothing but its silence ends their tasks. Users at the old one get no older
// answer than the new one's.
func TestCancelWhileLeaderIsPartitioned(t *testing.T) {
	t.Parallel()
	for _, mode := range simulator.CutModes {
		for _, only := range []bool{true, false} {
			if !only && mode != simulator.CutRefused {
				continue
			}
			t.Run(fmt.Sprintf("%s, workers reach the old one only %v", mode, only), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(3), 65, func(sim *simulator.Simulation, at func(time.Duration)) {
					s, a := service(1, 4), array(2, 4, 60)
					cancelledJob, late := service(3, 4), array(4, 4, 300)
					at(2 * time.Second)
					for _, j := range []simulator.JobScript{s, a, cancelledJob, late} {
						sim.Submit(j, 0)
					}
					at(45 * time.Second)
					l := sim.Leader()
					fresh := array(5, 3, 20)
					polls := startBackgroundPolls(sim, l, s, a, cancelledJob, late, fresh)
					defer polls.stopPolling()
					behind := map[string]bool{}
					for _, id := range append(sim.MachinesRunning(cancelledJob.Spec.ID), sim.MachinesRunning(late.Spec.ID)...) {
						behind[sim.MachineIP(id)] = true
					}
					split := func(on bool) {
						sim.IsolateController(l, mode, on)
						for ip := range behind {
							for i := range 3 {
								if only && i != l {
									sim.Net.Cut(simulator.NodeIP(i), ip, on)
								}
							}
						}
					}
					sim.CloudOutage(only)
					begin := time.Now()
					split(true)
					next := awaitOtherLeader(t, sim, l, 10*time.Second)
					answeredBefore := polls.answered()
					sim.Submit(fresh, 0) // by any node; those that can't will refuse
					if got := cancelAtController(t, sim, next, cancelledJob); got.Sub(begin) > 8*time.Second {
						t.Errorf("cancelled only %v after the cut", got.Sub(begin))
					}
					sim.WithChecker(func(c *simulator.Checker) {
						if !only && c.OnMachines(late.Spec.ID) == 0 || only && c.OnMachines(cancelledJob.Spec.ID) == 0 {
							t.Error("nothing of the cancelled jobs runs any more when they are cancelled")
						}
					})
					time.Sleep(4 * time.Second)
					cancelAtController(t, sim, next, late)
					if saysItLeads(t, sim, l) {
						t.Errorf("the old leader thinks that it leads %v after the cut", time.Since(begin))
					}
					if status, _, _ := sim.Ask(l, "GET", "/ready", nil); status != 503 {
						t.Errorf("/ready of the old leader answers %d", status)
					}
					for i := range 3 {
						if i != l && !sim.Net.IsCut(simulator.NodeIP(l), simulator.NodeIP(i)) {
							t.Error("the cut is over too early")
						}
					}
					if l == sim.Leader() {
						t.Error("the old leader leads")
					}
					time.Sleep(45 * time.Second)
					if only {
						sim.WithChecker(func(c *simulator.Checker) {
							if n := c.OnMachines(cancelledJob.Spec.ID) + c.OnMachines(late.Spec.ID); n != 0 {
								t.Errorf("%d tasks of cancelled jobs behind the old leader", n)
							}
						})
					}
					split(false)
					sim.CloudOutage(false)
					time.Sleep(5 * time.Second)
					if polls.answered() == answeredBefore {
						t.Error("the old leader has answered no user after the cut")
					}
					mustRecover(t, sim, 3, s, a, fresh)
				})
			})
		}
	}
}
