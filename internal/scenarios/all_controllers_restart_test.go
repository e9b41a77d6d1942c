package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// All controllers are killed during an outage of the key-value store, in which leases expire. No
// task may run twice when the controllers restart.
func TestAllControllersRestartDuringOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runOnBothLayouts(t, 20+seed, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			arrayJob, serviceJob := array(1, 10, 30), service(2, 3)
			sleepUntil(2 * time.Second)
			submitAll(sim, arrayJob, serviceJob)
			sleepUntil(35 * time.Second)
			sim.State.SetOutage(true)
			sleepUntil(50 * time.Second)
			killAll(sim)
			sleepUntil(time.Duration(54+4*seed) * time.Second)
			startAll(t, sim)
			sleepUntil(time.Duration(60+8*seed) * time.Second)
			sim.State.SetOutage(false)
			sleepUntil(220 * time.Second)
			mustFinish(t, sim, arrayJob)
			mustRun(t, sim, serviceJob, "at the end")
		})
	}
}

// All controllers are killed after a burst of submissions, just as an outage of the key-value store
// ends. The first one restarts a moment later, and all are killed again in the middle of its
// election. Meanwhile copies of old heartbeats arrive, and users repeat their submissions. The
// replicas must survive, no task may run twice, and no job may be forgotten.
func TestAllControllersRestartDuringElection(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 40, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		forAllControllers := func(action func(node int)) {
			for node := range 5 {
				action(node)
			}
		}
		start := func(i int) {
			if err := sim.StartController(i); err != nil {
				t.Error(err)
			}
		}
		serviceJob, burst := service(1, 4), []simulator.JobScript{}
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(40 * time.Second)
		for n := range 12 {
			burst = append(burst, array(10+n, 6, 20))
			sim.Submit(burst[n], 0)
		}
		for _, id := range sim.MachinesRunning(serviceJob.Spec.ID) {
			sim.ResendLastHeartbeat(id, 3*time.Second, 8*time.Second, 12*time.Second, 25*time.Second)
		}
		sim.State.SetOutage(true)
		sleepUntil(46 * time.Second)
		sim.State.SetOutage(false)
		forAllControllers(sim.KillController)
		sleepUntil(46300 * time.Millisecond)
		start(0)
		sleepUntil(47 * time.Second)
		start(1)
		sleepUntil(49500 * time.Millisecond) // about when the last leader's grant expires
		forAllControllers(sim.KillController)
		sleepUntil(49700 * time.Millisecond)
		forAllControllers(start)
		sleepUntil(58 * time.Second)
		if l := sim.Leader(); l < 0 {
			t.Error("no controller leads 8 s after the controllers were killed for the second time")
		}
		for _, j := range burst {
			if status, _, _ := sim.Ask(3, "POST", "/v1/jobs", simulator.Submission(j.Spec)); status != 200 && status != 201 && status != 503 {
				t.Errorf("repeated submission answered %d, want 200, 201 or 503", status)
			}
		}
		sleepUntil(70 * time.Second)
		mustRun(t, sim, serviceJob, "after both restarts")
		markFaultsOver(sim)
		sleepUntil(240 * time.Second)
		mustFinish(t, sim, burst...)
	})
}

// All controllers are down for longer than a lease, then one or all of them restart. One job is
// cancelled just before they are killed, another one as soon as a controller is back. Every task
// must have ended when the controllers restart. The tasks of live jobs are started again once, those
// of cancelled jobs are not.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	t.Parallel()
	for restartedFirst, run := range map[int]scenarioRunner{0: runScenario, 1: runOnUnevenLayout, 3: runScenario} { // which restart first: 0 the last leader, 1 another one, 3 all
		t.Run(fmt.Sprint("restarted first ", restartedFirst), func(t *testing.T) {
			t.Parallel()
			run(t, 61, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob, lateArrayJob := service(1, 4), array(2, 8, 40), array(3, 3, 30)
				cancelledBefore, cancelledAfter := service(4, 3), array(5, 4, 100)
				sleepUntil(2 * time.Second)
				for _, j := range []simulator.JobScript{serviceJob, arrayJob, cancelledBefore, cancelledAfter} {
					sim.Submit(j, 0)
				}
				sleepUntil(45 * time.Second)
				mustRun(t, sim, serviceJob, "before the controllers are killed")
				sim.Submit(lateArrayJob, 0)
				time.Sleep(100 * time.Millisecond)
				leader := sim.Leader()
				confirmed := cancelAtController(t, sim, (leader+1)%3, cancelledBefore)
				killAll(sim)
				if time.Since(confirmed) > 20*time.Millisecond {
					t.Errorf("cancellation confirmed %v before all controllers were killed, want at most 20ms", time.Since(confirmed))
				}
				killedAt := time.Now()
				time.Sleep(sim.Settings.Workers.Lease.Duration() + 5*time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					for _, j := range []simulator.JobScript{serviceJob, arrayJob, cancelledBefore, cancelledAfter} {
						if c.TasksOnMachines(j.Spec.ID) != 0 {
							t.Errorf("%s has tasks on machines %v after all controllers were killed, want none", j.Spec.ID, time.Since(killedAt))
						}
					}
				})
				restarted := []int{leader}
				if restartedFirst == 1 {
					restarted = []int{(leader + 1) % 3}
				} else if restartedFirst == 3 {
					restarted = []int{0, 1, 2}
				}
				startControllers(t, sim, restarted...)
				cancelAtController(t, sim, restarted[0], cancelledAfter)
				time.Sleep(10 * time.Second)
				startControllers(t, sim, 0, 1, 2)
				mustRecover(t, sim, 3, serviceJob, arrayJob, lateArrayJob)
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.TasksOnMachines(cancelledBefore.Spec.ID) + c.TasksOnMachines(cancelledAfter.Spec.ID); n != 0 {
						t.Errorf("%d tasks of cancelled jobs on machines, want 0", n)
					}
				})
			})
		})
	}
}

// Leadership moves to another controller and back, then all controllers are killed. One restarts
// after a pause and is killed in the middle of its election, when it has written the leader's key
// and read nothing yet. Then another one restarts.
func TestLeadershipReturnsThenAllControllersRestart(t *testing.T) {
	t.Parallel()
	for caseNumber, pause := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 950 * time.Millisecond, 3 * time.Second} {
		lastLeaderFirst := caseNumber%2 == 0
		t.Run(fmt.Sprintf("restart after %v, last leader first %v", pause, lastLeaderFirst), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, simulator.DefaultSettings(), 63, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob, lateArrayJob := service(1, 4), array(2, 6, 50), array(3, 4, 20)
				cancelledBefore, cancelledDuring := array(4, 4, 200), array(5, 4, 200)
				sleepUntil(2 * time.Second)
				for _, j := range []simulator.JobScript{serviceJob, arrayJob, cancelledBefore, cancelledDuring} {
					sim.Submit(j, 0)
				}
				sleepUntil(40 * time.Second)
				first := sim.Leader()
				sim.State.RefuseClient(simulator.NodeIP(first), true)
				second := awaitOtherLeader(t, sim, first, 10*time.Second)
				sim.State.RefuseClient(simulator.NodeIP(first), false)
				time.Sleep(500 * time.Millisecond)
				third := 3 - first - second
				sim.KillController(third) // so that leadership can only return
				sim.State.RefuseClient(simulator.NodeIP(second), true)
				if awaitOtherLeader(t, sim, second, 10*time.Second) != first {
					t.Fatal("leadership did not return to the first leader")
				}
				sim.State.RefuseClient(simulator.NodeIP(second), false)
				sim.Submit(lateArrayJob, 0)
				time.Sleep(150 * time.Millisecond)
				cancelAtController(t, sim, second, cancelledBefore)
				sim.KillController(first)
				sim.KillController(second)
				oldRevision := sim.LeaderKeyRevision()
				time.Sleep(pause)
				firstBack, secondBack := first, second
				if !lastLeaderFirst {
					firstBack, secondBack = second, first
				}
				startControllers(t, sim, firstBack)
				waitUntil(t, 8*time.Second, "an election", func() bool { return sim.LeaderKeyRevision() > oldRevision })
				oldRevision = sim.LeaderKeyRevision()
				sim.KillController(firstBack) // it has just been elected
				if sim.Leader() != firstBack {
					t.Errorf("controller %d leads, want %d", sim.Leader(), firstBack)
				}
				time.Sleep(pause)
				startControllers(t, sim, secondBack)
				// Nobody leads yet, since the grant of the killed controller has not expired.
				cancelAtController(t, sim, secondBack, cancelledDuring)
				if pause < time.Second && sim.LeaderKeyRevision() != oldRevision {
					t.Error("the next leader was elected before the cancellation")
				}
				waitUntil(t, 8*time.Second, "the last election", func() bool { return sim.LeaderKeyRevision() > oldRevision })
				time.Sleep(time.Second)
				startControllers(t, sim, 0, 1, 2)
				mustRecover(t, sim, 3, serviceJob, arrayJob, lateArrayJob)
				sim.WithChecker(func(c *simulator.Checker) {
					if c.TasksOnMachines(serviceJob.Spec.ID) != 4 || c.TasksOnMachines(cancelledBefore.Spec.ID)+c.TasksOnMachines(cancelledDuring.Spec.ID) != 0 {
						t.Errorf("%d replicas, %d and %d tasks of cancelled jobs on machines, want 4, 0 and 0", c.TasksOnMachines(serviceJob.Spec.ID), c.TasksOnMachines(cancelledBefore.Spec.ID), c.TasksOnMachines(cancelledDuring.Spec.ID))
					}
				})
			})
		})
	}
}
