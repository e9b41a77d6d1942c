package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// All nodes end during an outage: leases run out, and nothing may run twice
// when the nodes come back.
func TestAllControllersRestartDuringOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runOnBothLayouts(t, 20+seed, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			a, s := array(1, 10, 30), service(2, 3)
			at(2 * time.Second)
			submitAll(sim, a, s)
			at(35 * time.Second)
			sim.State.Outage(true)
			at(50 * time.Second)
			killAll(sim)
			at(time.Duration(54+4*seed) * time.Second)
			startAll(t, sim)
			at(time.Duration(60+8*seed) * time.Second)
			sim.State.Outage(false)
			at(220 * time.Second)
			mustFinish(t, sim, a)
			mustRun(t, sim, s, "run")
		})
	}
}

// All controllers end within a burst while the key-value store is just back; the
// first is up again within a moment, and all end once more in the middle of its
// election, while copies of old heartbeats come in and submissions are repeated.
// The replicas must outlive it, and nothing may run twice or be forgotten.
func TestAllControllersRestartDuringElection(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 40, func(sim *simulator.Simulation, at func(time.Duration)) {
		all := func(f func(i int)) {
			for i := range 5 {
				f(i)
			}
		}
		up := func(i int) {
			if err := sim.StartController(i); err != nil {
				t.Error(err)
			}
		}
		s, burst := service(1, 4), []simulator.JobScript{}
		at(2 * time.Second)
		sim.Submit(s, 0)
		at(40 * time.Second)
		for n := range 12 {
			burst = append(burst, array(10+n, 6, 20))
			sim.Submit(burst[n], 0)
		}
		for _, id := range sim.MachinesRunning(s.Spec.ID) {
			sim.ResendLastHeartbeat(id, 3*time.Second, 8*time.Second, 12*time.Second, 25*time.Second)
		}
		sim.State.Outage(true)
		at(46 * time.Second)
		sim.State.Outage(false)
		all(sim.KillController)
		at(46300 * time.Millisecond)
		up(0)
		at(47 * time.Second)
		up(1)
		at(49500 * time.Millisecond) // about when the last leader's grant ends
		all(sim.KillController)
		at(49700 * time.Millisecond)
		all(up)
		at(58 * time.Second)
		if l := sim.Leader(); l < 0 {
			t.Error("nobody leads 8 s after the last end")
		}
		for _, j := range burst {
			if status, _, _ := sim.Ask(3, "POST", "/v1/jobs", simulator.Submission(j.Spec)); status != 200 && status != 201 && status != 503 {
				t.Errorf("repeated submission answered %d", status)
			}
		}
		at(70 * time.Second)
		mustRun(t, sim, s, "after all that")
		markFaultsOver(sim)
		at(240 * time.Second)
		mustFinish(t, sim, burst...)
	})
}

// All controllers are away for longer than a lease, one or all come back, and
// jobs were cancelled just before and are cancelled as soon as one is back: what
// ran has ended everywhere, is started again once, and the cancelled are not.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	t.Parallel()
	for first, run := range map[int]scenarioRunner{0: runScenario, 1: runOnUnevenLayout, 3: runScenario} { // how many are back first; 0: the last leader
		t.Run(fmt.Sprint("first back ", first), func(t *testing.T) {
			t.Parallel()
			run(t, 61, func(sim *simulator.Simulation, at func(time.Duration)) {
				s, a, b := service(1, 4), array(2, 8, 40), array(3, 3, 30)
				cancelledJob, late := service(4, 3), array(5, 4, 100)
				at(2 * time.Second)
				for _, j := range []simulator.JobScript{s, a, cancelledJob, late} {
					sim.Submit(j, 0)
				}
				at(45 * time.Second)
				mustRun(t, sim, s, "before")
				sim.Submit(b, 0)
				time.Sleep(100 * time.Millisecond)
				l := sim.Leader()
				confirmed := cancelAtController(t, sim, (l+1)%3, cancelledJob)
				killAll(sim)
				if time.Since(confirmed) > 20*time.Millisecond {
					t.Errorf("cancelled %v before the end of all", time.Since(confirmed))
				}
				away := time.Now()
				time.Sleep(sim.Settings.Workers.Lease.Duration() + 5*time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					for _, j := range []simulator.JobScript{s, a, cancelledJob, late} {
						if c.OnMachines(j.Spec.ID) != 0 {
							t.Errorf("%s is on a machine %v after the end of all", j.Spec.ID, time.Since(away))
						}
					}
				})
				back := []int{l}
				if first == 1 {
					back = []int{(l + 1) % 3}
				} else if first == 3 {
					back = []int{0, 1, 2}
				}
				startControllers(t, sim, back...)
				cancelAtController(t, sim, back[0], late)
				time.Sleep(10 * time.Second)
				startControllers(t, sim, 0, 1, 2)
				mustRecover(t, sim, 3, s, a, b)
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.OnMachines(cancelledJob.Spec.ID) + c.OnMachines(late.Spec.ID); n != 0 {
						t.Errorf("%d tasks of cancelled jobs", n)
					}
				})
			})
		})
	}
}

// Leadership moves to another controller and back, all controllers end, and one returns
// within a second, is ended in the middle of its election (its key is written,
// nothing is read yet), and another one returns.
func TestLeadershipReturnsThenAllControllersRestart(t *testing.T) {
	t.Parallel()
	for k, back := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 950 * time.Millisecond, 3 * time.Second} {
		same := k%2 == 0
		t.Run(fmt.Sprintf("back after %v, the same one %v", back, same), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 63, func(sim *simulator.Simulation, at func(time.Duration)) {
				s, a, b := service(1, 4), array(2, 6, 50), array(3, 4, 20)
				cancelledJob, fresh := array(4, 4, 200), array(5, 4, 200)
				at(2 * time.Second)
				for _, j := range []simulator.JobScript{s, a, cancelledJob, fresh} {
					sim.Submit(j, 0)
				}
				at(40 * time.Second)
				one := sim.Leader()
				sim.State.RefuseClient(simulator.NodeIP(one), true)
				two := awaitOtherLeader(t, sim, one, 10*time.Second)
				sim.State.RefuseClient(simulator.NodeIP(one), false)
				time.Sleep(500 * time.Millisecond)
				third := 3 - one - two
				sim.KillController(third) // so that it goes back
				sim.State.RefuseClient(simulator.NodeIP(two), true)
				if awaitOtherLeader(t, sim, two, 10*time.Second) != one {
					t.Fatal("not handed back")
				}
				sim.State.RefuseClient(simulator.NodeIP(two), false)
				sim.Submit(b, 0)
				time.Sleep(150 * time.Millisecond)
				cancelAtController(t, sim, two, cancelledJob)
				sim.KillController(one)
				sim.KillController(two)
				old := sim.LeaderKeyRevision()
				time.Sleep(back)
				i, k := one, two
				if !same {
					i, k = two, one
				}
				startControllers(t, sim, i)
				waitUntil(t, 8*time.Second, "an election", func() bool { return sim.LeaderKeyRevision() > old })
				old = sim.LeaderKeyRevision()
				sim.KillController(i) // it has been elected just now
				if sim.Leader() != i {
					t.Errorf("node %d leads, not %d", sim.Leader(), i)
				}
				time.Sleep(back)
				startControllers(t, sim, k)
				// Cancelled while nobody leads: the grant of the one that ended is not over.
				cancelAtController(t, sim, k, fresh)
				if back < time.Second && sim.LeaderKeyRevision() != old {
					t.Error("cancelled after the election, not in it")
				}
				waitUntil(t, 8*time.Second, "the last election", func() bool { return sim.LeaderKeyRevision() > old })
				time.Sleep(time.Second)
				startControllers(t, sim, 0, 1, 2)
				mustRecover(t, sim, 3, s, a, b)
				sim.WithChecker(func(c *simulator.Checker) {
					if c.OnMachines(s.Spec.ID) != 4 || c.OnMachines(cancelledJob.Spec.ID)+c.OnMachines(fresh.Spec.ID) != 0 {
						t.Errorf("%d of 4 replicas, %d and %d tasks of cancelled jobs", c.OnMachines(s.Spec.ID), c.OnMachines(cancelledJob.Spec.ID), c.OnMachines(fresh.Spec.ID))
					}
				})
			})
		})
	}
}
