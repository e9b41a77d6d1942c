package scenarios_test

import (
	"net/http"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// An outage of the key-value store that is longer than an agent's lease must lose no task while
// a majority of the controllers is connected.
func TestServiceSurvivesStoreOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 3, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 3), array(2, 4, 60)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(40 * time.Second)
		sim.State.SetOutage(true)
		sleepUntil(48 * time.Second)
		status, _, header := sim.Ask(0, "POST", "/v1/jobs", simulator.Submission(array(9, 1, 1).Spec))
		if status != 503 || header.Get("Retry-After") == "" {
			t.Errorf("submission during an outage answered %d with Retry-After %q, want 503 with a Retry-After", status, header.Get("Retry-After"))
		}
		if status, _, _ := sim.Ask(0, "GET", "/ready", nil); status != 200 {
			t.Errorf("/ready answers %d during an outage for all controllers, want 200", status)
		}
		sleepUntil(75 * time.Second) // 35 s against a lease of 16 s
		sim.State.SetOutage(false)
		sleepUntil(140 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "at the end")
		mustRestartNoTask(t, sim)
	})
}

// The leader is killed and restarted during an outage of the key-value store.
func TestLeaderRestartsDuringOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 19, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 3), array(2, 6, 30)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(40 * time.Second)
		sim.State.SetOutage(true)
		sleepUntil(45 * time.Second)
		leader := sim.Leader()
		sim.KillController(leader)
		sleepUntil(51 * time.Second)
		startControllers(t, sim, leader)
		sleepUntil(58 * time.Second)
		sim.State.SetOutage(false)
		sleepUntil(180 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "at the end")
	})
}

// The leader is killed during an outage of the key-value store that lasts longer than a lease.
// The other controllers must renew leases as its delegates: without this, every replica is lost.
func TestLeaderRestartsDuringLongOutage(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 39, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 8, 50)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(40 * time.Second)
		sim.State.SetOutage(true)
		sleepUntil(44 * time.Second)
		leader := sim.Leader()
		sim.KillController(leader)
		sleepUntil(50 * time.Second)
		startControllers(t, sim, leader)
		sleepUntil(70 * time.Second)
		mustRun(t, sim, serviceJob, "30 s into the outage")
		sim.State.SetOutage(false)
		sleepUntil(90 * time.Second)
		mustRun(t, sim, serviceJob, "after the outage")
		mustRestartNoTask(t, sim)
		sleepUntil(200 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// A user polls a controller that the key-value store refuses while it serves the others. The
// controller must answer 503 at once, and its /ready must take it out of the load balancer.
func TestPollAtControllerRefusedByStore(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 34, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		arrayJob := array(1, 2, 100)
		sleepUntil(2 * time.Second)
		sim.Submit(arrayJob, 0)
		sleepUntil(20 * time.Second)
		controller := (sim.Leader() + 1) % 3
		sim.State.RefuseClient(simulator.NodeIP(controller), true)
		sleepUntil(24 * time.Second)
		begin := time.Now()
		status, _, header := sim.Ask(controller, "GET", "/v1/jobs/req-000001", nil)
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "1" || time.Since(begin) > time.Second {
			t.Errorf("poll answered %d, header %v, after %v, want 503 with Retry-After 1 within 1 s", status, header, time.Since(begin))
		}
		if status, _, _ := sim.Ask(controller, "GET", "/ready", nil); status != 503 {
			t.Errorf("/ready answers %d, want 503", status)
		}
		sleepUntil(40 * time.Second)
		sim.State.RefuseClient(simulator.NodeIP(controller), false)
		markFaultsOver(sim)
		sleepUntil(200 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// The key-value store refuses only the leader, which must give up its leadership. Its commands
// to one agent are held up, arrive long after that and must not start a task twice.
func TestStoreRefusesLeaderWithDelayedCommands(t *testing.T) {
	t.Parallel()
	runScenario(t, 4, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		firstArray, secondArray := array(1, 8, 30), array(2, 8, 30)
		sleepUntil(2 * time.Second)
		sim.Submit(firstArray, 0)
		sleepUntil(25 * time.Second)
		leader := sim.Leader()
		_, machineIP, ok := sim.FirstMachine(func(int) bool { return true })
		if !ok {
			t.Fatal("no machine is up")
		}
		// Commands from the leader to one agent are held up from now on.
		sim.Net.HoldPackets(simulator.NodeIP(leader), machineIP, true)
		sim.Submit(secondArray, 0)
		sleepUntil(27 * time.Second)
		sim.State.RefuseClient(simulator.NodeIP(leader), true)
		sleepUntil(60 * time.Second)
		if newLeader := sim.Leader(); newLeader == leader || newLeader < 0 {
			t.Errorf("leader is controller %d, was controller %d, want another", newLeader, leader)
		}
		if status, _, _ := sim.Ask(leader, "GET", "/ready", nil); status != 503 {
			t.Errorf("/ready of the refused controller answers %d while others serve, want 503", status)
		}
		sim.State.RefuseClient(simulator.NodeIP(leader), false)
		sleepUntil(90 * time.Second)
		sim.Net.HoldPackets(simulator.NodeIP(leader), machineIP, false)
		sleepUntil(200 * time.Second)
		mustFinish(t, sim, firstArray, secondArray)
	})
}

// The key-value store becomes unavailable right after an election, for longer than cancel_s. The
// new leader has not read yet which job was cancelled while there was no leader. It must not
// renew the leases of tasks that it knows nothing of.
func TestOutageDuringElectionAfterCancel(t *testing.T) {
	t.Parallel()
	for _, variant := range []struct {
		name           string
		run            scenarioRunner
		restartsAtOnce bool // the killed leader restarts at once and is elected again
	}{{"another controller is elected", runScenario, false}, {"the old leader is elected again", runOnUnevenLayout, true}} {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			variant.run(t, 69, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, cancelledJob, arrayJob := service(1, 4), service(2, 4), array(3, 6, 60)
				sleepUntil(2 * time.Second)
				for _, j := range []simulator.JobScript{serviceJob, cancelledJob, arrayJob} {
					sim.Submit(j, 0)
				}
				sleepUntil(45 * time.Second)
				leader, oldRevision := sim.Leader(), sim.LeaderKeyRevision()
				sim.KillController(leader)
				confirmed := cancelAtController(t, sim, (leader+1)%3, cancelledJob)
				if variant.restartsAtOnce {
					startControllers(t, sim, leader)
				}
				waitUntil(t, 10*time.Second, "a new leader key", func() bool { return sim.LeaderKeyRevision() > oldRevision })
				sim.State.SetOutage(true)
				if newLeader := sim.Leader(); newLeader < 0 || (newLeader == leader) != variant.restartsAtOnce {
					t.Errorf("controller %d leads, want the killed leader only if it restarted at once", newLeader)
				}
				if !variant.restartsAtOnce {
					startControllers(t, sim, leader)
				}
				sim.WithChecker(func(c *simulator.Checker) {
					if c.TasksOnMachines(cancelledJob.Spec.ID) != 4 {
						t.Error("tasks of the cancelled job were stopped before the outage, want all 4 on machines")
					}
				})
				time.Sleep(time.Until(confirmed.Add(sim.Settings.Workers.CancelTimeout.Duration() + 10*time.Second)))
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.TasksOnMachines(cancelledJob.Spec.ID); n != 0 {
						t.Errorf("%d tasks of the cancelled job on machines 10 s after cancel_s, want 0", n)
					}
				})
				sim.State.SetOutage(false)
				mustRecover(t, sim, 3, serviceJob, arrayJob)
			})
		})
	}
}

// A job is cancelled. Before its tasks are stopped, the key-value store becomes unavailable for
// longer than cancel_s, while a majority of the controllers keeps answering heartbeats. The
// machines hang or receive nothing at that moment, or the next leader has not read the stored
// records yet. The tasks must still be gone in time.
func TestCancelJustBeforeOutage(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"hang", "no inbound", "not recovered"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 670, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, cancelledJob, arrayJob := service(1, 3), array(2, 6, 300), array(3, 6, 20)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, cancelledJob)
				sleepUntil(45 * time.Second)
				machines := sim.BusyMachines("")
				leader, oldToken := sim.LeaderAndToken()
				switch fault {
				case "hang":
					sim.HangMachines(true, machines...)
				case "no inbound":
					sim.BlockInbound(true, machines...)
				default:
					// The leader reads no more changes and answers heartbeats until its grant
					// ends. The machines hang too, so that it can't stop the tasks when another
					// controller tells it of the cancellation.
					sim.State.RefuseClient(simulator.NodeIP(leader), true)
					sim.HangMachines(true, machines...)
					time.Sleep(2 * time.Second)
				}
				mustCancel(t, sim, cancelledJob)
				if fault == "not recovered" {
					for i := range sim.Settings.Size {
						sim.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), 300*time.Millisecond)
					}
					newLeader, _ := awaitNewToken(t, sim, oldToken)
					sim.State.RefuseClient(simulator.NodeIP(leader), false)
					time.Sleep(320 * time.Millisecond)
					sim.State.SetOutage(true)
					time.Sleep(time.Second)
					if hasRecovered(sim, newLeader) {
						t.Error("the new leader has read the stored records before the outage")
					}
				} else {
					time.Sleep(300 * time.Millisecond)
					sim.State.SetOutage(true)
				}
				time.Sleep(4 * time.Second)
				if tasksOnMachines(sim, cancelledJob.Spec.ID) == 0 {
					t.Error("no cancelled task runs during the outage, want some")
				}
				sim.HangMachines(false, machines...)
				sim.BlockInbound(false, machines...)
				time.Sleep(sim.Settings.Workers.CancelTimeout.Duration() + 5*time.Second)
				mustHaveNoTasks(t, sim, cancelledJob, "5 s after cancel_s")
				for i := range sim.Settings.Size {
					sim.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), 0)
				}
				sim.State.SetOutage(false)
				sim.Submit(arrayJob, 0)
				time.Sleep(80 * time.Second)
				mustFinish(t, sim, arrayJob)
				mustRun(t, sim, serviceJob, "at the end")
			})
		})
	}
}
