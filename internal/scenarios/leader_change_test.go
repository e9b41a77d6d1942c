package scenarios_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// The leader is killed and restarted three times. Services must not be affected, and each new leader
// must know which tasks run on which machines.
func TestLeaderRestartsKeepServices(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 2, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		arrayJob, serviceJob := array(1, 12, 40), service(2, 3)
		sleepUntil(2 * time.Second)
		submitAll(sim, arrayJob, serviceJob)
		sleepUntil(45 * time.Second)
		for range 3 {
			leader := sim.Leader()
			if leader < 0 {
				t.Fatal("no controller leads")
			}
			sim.KillController(leader)
			time.Sleep(6 * time.Second)
			if sim.Leader() < 0 {
				t.Error("no new leader 6 s after the leader was killed")
			}
			startControllers(t, sim, leader)
			time.Sleep(6 * time.Second)
		}
		sim.WithChecker(func(c *simulator.Checker) {
			if c.TasksOnMachines(serviceJob.Spec.ID) != 3 {
				t.Errorf("service has %d of 3 replicas", c.TasksOnMachines(serviceJob.Spec.ID))
			}
		})
		mustRestartNoTask(t, sim)
		sleepUntil(160 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// Controllers, mostly the leader, are killed and restart within a second, also in the middle of an
// election. The array must still finish.
func TestControllersRestartQuickly(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 11, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		arrayJob, serviceJob := array(1, 10, 30), service(2, 3)
		sleepUntil(2 * time.Second)
		submitAll(sim, arrayJob, serviceJob)
		sleepUntil(30 * time.Second)
		for round := range 12 {
			controller := (sim.Leader() + 3) % 3
			if round%3 == 2 {
				controller = round % 3
			}
			sim.KillController(controller)
			time.Sleep(time.Duration(50+round*60) * time.Millisecond)
			startControllers(t, sim, controller)
			time.Sleep(time.Duration(round%4) * time.Second)
		}
		sleepUntil(160 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// The leader changes ten times in two minutes, every other time inside an outage
// of the key-value store, with submissions and cancellations all the while.
func TestTenLeaderChangesInTwoMinutes(t *testing.T) {
	t.Parallel()
	runScenario(t, 64, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob := service(1, 4)
		jobs := []simulator.JobScript{serviceJob}
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(35 * time.Second)
		begin := time.Now()
		changesInOutage := 0
		for round := range 10 {
			arrayJob, cancelledJob := array(10+round, 1+round%3, float64(10+5*round)), array(30+round, 2, 100)
			jobs = append(jobs, arrayJob)
			submitAll(sim, arrayJob, cancelledJob)
			time.Sleep(700 * time.Millisecond)
			leader := sim.Leader()
			if round%2 == 0 {
				sim.KillController(leader)
				cancelAtController(t, sim, (leader+1)%3, cancelledJob)
				awaitOtherLeader(t, sim, leader, 8*time.Second)
				startControllers(t, sim, leader)
				time.Sleep(2 * time.Second)
				continue
			}
			sim.State.SetOutage(true)
			time.Sleep(1500 * time.Millisecond)
			if sim.Leader() == leader && sim.State.InOutage() {
				changesInOutage++
			}
			sim.KillController(leader)
			time.Sleep(2 * time.Second)
			sim.State.SetOutage(false)
			cancelAtController(t, sim, (leader+1)%3, cancelledJob)
			awaitOtherLeader(t, sim, leader, 8*time.Second)
			startControllers(t, sim, leader)
			time.Sleep(time.Second)
		}
		if took := time.Since(begin); took > 2*time.Minute || changesInOutage != 5 {
			t.Errorf("ten changes of leader took %v, %d of them in an outage, want 5 in an outage and at most 2m0s", took, changesInOutage)
		}
		mustRecover(t, sim, 3, jobs...)
	})
}

// The tasks of small jobs end far apart, and the leader changes after each of the first three
// ends. The change comes at different moments after an end: at once, while the heartbeat that
// reports it is on its way, while it is being stored, and later. No task may be lost, run twice
// or be reported done early, and no task that was done may be started again.
func TestTasksEndAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	type leaderChange struct {
		name   string
		delays [3]time.Duration // from the end of a task to the change
		change func(t *testing.T, sim *simulator.Simulation, leader int, onElected func())
	}
	for caseNumber, tc := range []leaderChange{
		{"killed", [3]time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond}, func(t *testing.T, sim *simulator.Simulation, leader int, onElected func()) {
			sim.KillController(leader)
			awaitOtherLeader(t, sim, leader, 10*time.Second)
			onElected()
			startControllers(t, sim, leader)
		}},
		{"restarted at once", [3]time.Duration{4 * time.Millisecond, 0, 3 * time.Second}, func(t *testing.T, sim *simulator.Simulation, leader int, onElected func()) {
			oldRevision := sim.LeaderKeyRevision()
			sim.KillController(leader)
			time.Sleep(200 * time.Millisecond)
			startControllers(t, sim, leader)
			waitUntil(t, 10*time.Second, "a new term", func() bool { revision := sim.LeaderKeyRevision(); return revision > oldRevision })
			onElected()
		}},
		{"refused by the key-value store", [3]time.Duration{400 * time.Millisecond, 4 * time.Millisecond, 0}, func(t *testing.T, sim *simulator.Simulation, leader int, onElected func()) {
			sim.State.RefuseClient(simulator.NodeIP(leader), true)
			awaitOtherLeader(t, sim, leader, 10*time.Second)
			onElected()
			time.Sleep(5 * time.Second)
			sim.State.RefuseClient(simulator.NodeIP(leader), false)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(3), 60+uint64(caseNumber), func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				twoTasks, threeTasks := array(1, 2, 0), array(2, 3, 0)
				twoTasks.RunTimes, threeTasks.RunTimes = []float64{14, 75}, []float64{16, 48, 80}
				sleepUntil(2 * time.Second)
				submitAll(sim, twoTasks, threeTasks)
				endedCount := func() (n int) {
					sim.WithChecker(func(c *simulator.Checker) { n = c.Completed(twoTasks.Spec.ID) + c.Completed(threeTasks.Spec.ID) })
					return n
				}
				// The leader changes after three of the five ends.
				for n := 1; n <= 3; n++ {
					waitUntil(t, 80*time.Second, "the next end of a task", func() bool { return endedCount() >= n })
					time.Sleep(tc.delays[n-1])
					tc.change(t, sim, sim.Leader(), func() {
						if ended := endedCount(); ended != n && !(n == 1 && ended == 2) {
							t.Errorf("%d tasks had ended when the next leader was elected, want %d", ended, n)
						}
					})
					if endedCount() == 5 {
						t.Error("all tasks had ended before the change of leader was over, want some running")
					}
					time.Sleep(time.Second)
				}
				mustRecover(t, sim, 3, twoTasks, threeTasks)
				mustRestartNoTask(t, sim)
			})
		})
	}
}

// New machines boot within two seconds and get tasks at once, while the leader's writes lag: their
// responses are slow or lost, or the writes are executed late. The leader is killed just then, before
// it knows what is stored. The machine list does not show the new machines yet.
func TestLeaderChangeAsNewMachinesGetTasks(t *testing.T) {
	t.Parallel()
	for caseNumber, kind := range []string{"slow responses", "lost responses", "executed 2 to 12 s late", "executed 1 to 2 s late"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(660+caseNumber), func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, sameZoneJob, arrayJob := service(1, 4), array(2, 4, 12), array(3, 14, 10)
				sameZoneJob.Spec.SameZone = true
				sim.SetQuickBoots(true)
				sleepUntil(3 * time.Second)
				matchedRounds := 0
				for round, jobs := range [][]simulator.JobScript{{serviceJob, arrayJob}, {sameZoneJob, array(4, 10, 9)}, {array(5, 16, 8)}} {
					leader := sim.Leader()
					if leader < 0 {
						t.Fatal("no controller leads")
					}
					host := simulator.NodeIP(leader)
					fault := simulator.TxnFault{Prefix: store.ProgressPrefix, Hosts: []string{host}, Hang: true}
					switch kind {
					case "slow responses":
						sim.State.DelayResponses(host, 400*time.Millisecond)
					case "lost responses":
						sim.State.InjectTxnFaults(uint64(round), fault)
					case "executed 2 to 12 s late":
						fault.Delay = [2]time.Duration{2 * time.Second, 12 * time.Second}
						sim.State.InjectTxnFaults(uint64(round), fault)
					case "executed 1 to 2 s late":
						fault.Delay = [2]time.Duration{time.Second, 2 * time.Second}
						sim.State.InjectTxnFaults(uint64(round), fault)
					}
					outcomesBefore := len(sim.State.TxnOutcomes())
					for _, j := range jobs {
						sim.Submit(j, 0)
					}
					// Wait until a machine has booted within two seconds and is not listed yet, and
					// the write of a launch or its response is on its way.
					for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(5 * time.Millisecond) {
						underWay := sim.State.UnansweredWrites(host, store.ProgressPrefix) > 0
						for _, outcome := range sim.State.TxnOutcomes()[outcomesBefore:] {
							underWay = underWay || time.Since(outcome.Sent) < time.Second
						}
						if age, boot := sim.NewestMachine(); boot > 0 && boot < 2*time.Second && age < sim.Settings.Cloud.ListLag.Duration() && underWay {
							matchedRounds++
							break
						}
					}
					time.Sleep(time.Duration(round*120) * time.Millisecond)
					sim.KillController(leader)
					time.Sleep(7 * time.Second)
					sim.State.InjectTxnFaults(0)
					sim.State.DelayResponses(host, 0)
					startControllers(t, sim, leader)
					time.Sleep(8 * time.Second)
				}
				if matchedRounds == 0 {
					t.Error("the leader was never killed while a new machine was up and the write of a launch under way")
				}
				endFaultsAndWait(sim, 75*time.Second)
				mustFinish(t, sim, sameZoneJob, arrayJob, array(4, 10, 9), array(5, 16, 8))
				mustRun(t, sim, serviceJob, "afterwards")
			})
		})
	}
}

// The largest job that users may submit runs across a change of leader. Its progress records must
// stay within the limits of the key-value store, and a small job submitted later must still finish.
func TestLargestJobAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	runScenario(t, 17, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		largestJob, smallJob := array(1, wire.MaxTasks, 3), array(2, 4, 5)
		largestJob.Spec.CPUs, largestJob.Spec.MemoryGB = 0.5, 1
		sleepUntil(2 * time.Second)
		sim.Submit(largestJob, 0)
		sleepUntil(40 * time.Second)
		sim.KillController(sim.Leader())
		sleepUntil(50 * time.Second)
		sim.Submit(smallJob, 0)
		sleepUntil(90 * time.Second)
		mustFinish(t, sim, smallJob)
		status, raw, _ := sim.Ask(sim.Leader(), "GET", "/v1/jobs/req-000001", nil)
		var state wire.JobState
		if status != 200 || wire.Decode(raw, &state) != nil || state.Status != wire.StatusRunning || state.Done < 500 {
			t.Errorf("poll answered %d %+v, want 200, running and at least 500 tasks done", status, state)
		}
	})
}

// All teams submit jobs during several kinds of faults, one after the other. Then every controller
// must answer about each job that was accepted and not cancelled, and the job must be done or
// running.
func TestAllJobsFinishAfterManyFaults(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 67, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		rng := rand.New(rand.NewPCG(67, 4))
		var jobs []simulator.JobScript
		jobNumber := 0
		submitThree := func() {
			for range 3 {
				jobNumber++
				j := array(jobNumber, 1+rng.IntN(4), float64(5+rng.IntN(40)))
				switch jobNumber % 4 {
				case 1:
					j.Spec.Team, j.Spec.Priority, j.Spec.Class = "blue", wire.PriorityUrgent, "check"
				case 2:
					j.Spec.SameZone, j.Spec.Class = true, "near"
				case 3:
					j.Spec.SpotAllowed, j.Spec.Priority, j.Spec.Class = false, wire.PriorityBestEffort, "low"
				}
				cancelDelay := time.Duration(0)
				if rng.IntN(4) == 0 {
					cancelDelay = time.Duration(5+rng.IntN(20)) * time.Second
				} else {
					jobs = append(jobs, j)
				}
				sim.Submit(j, cancelDelay)
			}
		}
		sleepUntil(2 * time.Second)
		serviceJob := service(900, 4)
		sim.Submit(serviceJob, 0)
		submitThree()
		sleepUntil(35 * time.Second)
		// The leader changes while the cloud is unavailable.
		sim.SetCloudOutage(true)
		submitThree()
		leader := sim.Leader()
		sim.IsolateController(leader, simulator.CutRefused, true)
		awaitOtherLeader(t, sim, leader, 10*time.Second)
		submitThree()
		time.Sleep(10 * time.Second)
		sim.IsolateController(leader, simulator.CutRefused, false)
		sim.SetCloudOutage(false)
		// A zone is cut off, and all controllers outside it are down for longer than a lease.
		time.Sleep(10 * time.Second)
		submitThree()
		sim.IsolateZone("b", true)
		time.Sleep(2 * time.Second)
		sim.KillController(0)
		sim.KillController(2)
		time.Sleep(sim.Settings.Workers.Lease.Duration() + 6*time.Second)
		startControllers(t, sim, 2)
		submitThree()
		time.Sleep(4 * time.Second)
		sim.IsolateZone("b", false)
		startControllers(t, sim, 0)
		time.Sleep(10 * time.Second)
		// All controllers are killed in an outage, and restart one after the other.
		submitThree()
		sim.State.SetOutage(true)
		time.Sleep(3 * time.Second)
		killAll(sim)
		time.Sleep(time.Second)
		startControllers(t, sim, 1)
		sim.State.SetOutage(false)
		submitThree()
		time.Sleep(5 * time.Second)
		startControllers(t, sim, 0, 2)
		mustRecover(t, sim, 3, append(jobs, serviceJob)...)
	})
}
