package scenarios_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Copies of heartbeats arrive late, by seconds up to more than a lease: from live machines, from
// machines that are gone, and as the first heartbeat of a machine that a new leader receives. They
// must not free resources, revive tasks, or make a dead machine seem alive.
func TestDuplicatedHeartbeatsArriveLate(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 31, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 12, 30)
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		var delays []time.Duration
		for seconds := 2; seconds < 60; seconds += 3 {
			delays = append(delays, time.Duration(seconds)*time.Second)
		}
		resendHeartbeats := func() {
			for _, id := range append(sim.MachinesRunning(serviceJob.Spec.ID), sim.MachinesRunning(arrayJob.Spec.ID)...) {
				sim.ResendLastHeartbeat(id, delays...)
			}
		}
		sleepUntil(40 * time.Second)
		resendHeartbeats()
		sleepUntil(50 * time.Second)
		// A machine with replicas dies while copies of its heartbeats come in.
		machines := sim.MachinesRunning(serviceJob.Spec.ID)
		if sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 }) != 1 || len(machines) == 0 {
			t.Fatal("no machine with replicas could be reclaimed")
		}
		sleepUntil(80 * time.Second)
		mustRun(t, sim, serviceJob, "30 s after a machine was reclaimed")
		resendHeartbeats()
		leader := sim.Leader()
		sim.KillController(leader)
		sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 })
		time.Sleep(300 * time.Millisecond)
		startControllers(t, sim, leader)
		sleepUntil(115 * time.Second)
		mustRun(t, sim, serviceJob, "35 s after the leader was killed and a machine was reclaimed")
		sleepUntil(200 * time.Second)
		mustFinish(t, sim, arrayJob)
	})
}

// Heartbeats are delayed until a new leader has acted: it has probed the machines itself, has stopped
// a cancelled job's tasks there, and has started others. Then the delayed heartbeats arrive at it,
// before the machines' next heartbeats or after them. Tasks that they lack must not count as gone,
// and tasks that they list must not count as running.
func TestHeartbeatDelayedUntilNewLeaderActed(t *testing.T) {
	t.Parallel()
	for _, beforeNext := range []bool{true, false} {
		t.Run(fmt.Sprint("before the next heartbeats ", beforeNext), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 600, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.RecordHeartbeats()
				arrayJob, cancelledJob, newJob := array(1, 6, 60), array(2, 4, 300), array(3, 6, 40)
				sleepUntil(2 * time.Second)
				submitAll(sim, arrayJob, cancelledJob)
				sleepUntil(45 * time.Second)
				machines := sim.BusyMachines("")
				if len(machines) == 0 || tasksOnMachines(sim, cancelledJob.Spec.ID) != 4 {
					t.Fatalf("%d machines run tasks, want some; %d tasks to cancel, want 4", len(machines), tasksOnMachines(sim, cancelledJob.Spec.ID))
				}
				recordedBefore := map[wire.MachineID]int{}
				for _, id := range machines {
					recordedBefore[id] = len(sim.RecordedHeartbeats(id))
					sim.DropHeartbeats(id, true)
				}
				time.Sleep(sim.Settings.Workers.HeartbeatInterval.Duration() * 3 / 2)
				leader, oldToken := sim.LeaderAndToken()
				sim.KillController(leader)
				_, token := awaitNewToken(t, sim, oldToken)
				var delayed []wire.Heartbeat
				for _, id := range machines {
					if recorded := sim.RecordedHeartbeats(id); len(recorded) > recordedBefore[id] {
						delayed = append(delayed, recorded[recordedBefore[id]])
					}
				}
				mustCancel(t, sim, cancelledJob)
				sim.Submit(newJob, 0)
				time.Sleep(4 * time.Second)
				mustHaveNoTasks(t, sim, cancelledJob, "while heartbeats are delayed")
				if !beforeNext {
					for _, id := range machines {
						sim.DropHeartbeats(id, false)
					}
					time.Sleep(6 * time.Second)
				}
				acceptedCount, listed := 0, 0
				for _, delivery := range sim.DeliverHeartbeats(delayed...) {
					if !delivery.Newer || delivery.Heartbeat.Token >= token {
						t.Errorf("heartbeat of %s is not old: sequence %d, token %d, want a lower token than %d", delivery.Heartbeat.Machine, delivery.Heartbeat.Sequence, delivery.Heartbeat.Token, token)
					}
					if delivery.Status == 200 {
						acceptedCount++
					}
					for _, taskStatus := range delivery.Heartbeat.Tasks {
						if task, err := wire.ParseTaskID(taskStatus.Task); err == nil && task.Job == cancelledJob.Spec.ID {
							listed++
						}
					}
				}
				if len(delayed) == 0 || listed == 0 {
					t.Errorf("%d heartbeats were delayed, which list %d tasks that were cancelled meanwhile, want some of both", len(delayed), listed)
				}
				for _, id := range machines {
					sim.DropHeartbeats(id, false)
				}
				time.Sleep(3 * time.Second)
				startControllers(t, sim, leader)
				markFaultsOver(sim)
				sleepUntil(200 * time.Second)
				mustFinish(t, sim, arrayJob, newJob)
				mustHaveNoTasks(t, sim, cancelledJob, "at the end")
			})
		})
	}
}

// Old heartbeats arrive after newer ones: some of the previous agent epoch, in which the tasks had
// other attempts, and some of the same epoch. Meanwhile a share of all heartbeats is delivered again,
// up to well after a lease, the leader is killed, and a job is cancelled that the old heartbeats
// list.
func TestHeartbeatsOfEarlierEpochsAndAttempts(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 610, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		lease := sim.Settings.Workers.Lease.Duration()
		sim.RecordHeartbeats()
		arrayJob, cancelledJob, serviceJob := array(1, 6, 90), array(2, 4, 300), service(3, 3)
		sleepUntil(2 * time.Second)
		submitAll(sim, arrayJob, cancelledJob, serviceJob)
		sleepUntil(45 * time.Second)
		sim.DuplicateHeartbeats(0.3, 2*time.Second, lease*5/2)
		// The leases of these machines expire although they answer all commands.
		machines := sim.MachinesRunning(cancelledJob.Spec.ID)
		sim.BlockOutbound(true, machines...)
		time.Sleep(lease + time.Second)
		sim.BlockOutbound(false, machines...)
		time.Sleep(6 * time.Second)
		for _, id := range machines {
			if epoch, _, _ := sim.MachineEpoch(id); epoch == 1 {
				t.Errorf("%s is still in its first agent epoch", id)
			}
		}
		attempts := map[wire.AttemptNumber]bool{}
		for _, id := range machines {
			for _, heartbeat := range sim.RecordedHeartbeats(id) {
				for _, taskStatus := range heartbeat.Tasks {
					if task, err := wire.ParseTaskID(taskStatus.Task); err == nil && task.Job == cancelledJob.Spec.ID {
						attempts[taskStatus.Attempt] = true
					}
				}
			}
		}
		if len(attempts) < 2 {
			t.Errorf("the tasks had only the attempts %v, want at least two", attempts)
		}
		oldHeartbeats := func() (heartbeats []wire.Heartbeat) {
			for _, id := range machines {
				recorded := sim.RecordedHeartbeats(id)
				if len(recorded) > 0 {
					// The machine's first heartbeat, and its first one with tasks in its first epoch.
					i := slices.IndexFunc(recorded, func(r wire.Heartbeat) bool { return r.Epoch == 1 && len(r.Tasks) > 0 })
					heartbeats = append(heartbeats, recorded[0], recorded[max(0, i)])
					if i = slices.IndexFunc(recorded, func(r wire.Heartbeat) bool { return r.Epoch > 1 }); i > 0 {
						heartbeats = append(heartbeats, recorded[i-1], recorded[i])
					}
				}
			}
			return heartbeats
		}
		fromEarlierEpoch := 0
		deliverOld := func() {
			for _, delivery := range sim.DeliverHeartbeats(oldHeartbeats()...) {
				if epoch, _, _ := sim.MachineEpoch(delivery.Heartbeat.Machine); delivery.Newer && epoch > delivery.Heartbeat.Epoch && len(delivery.Heartbeat.Tasks) > 0 {
					fromEarlierEpoch++
				}
			}
		}
		deliverOld()
		mustCancel(t, sim, cancelledJob)
		deliverOld()
		leader, oldToken := sim.LeaderAndToken()
		sim.KillController(leader)
		awaitNewToken(t, sim, oldToken)
		deliverOld()
		time.Sleep(3 * time.Second)
		startControllers(t, sim, leader)
		deliverOld()
		time.Sleep(5 * time.Second)
		mustHaveNoTasks(t, sim, cancelledJob, "after old heartbeats that list it")
		deliverOld()
		if fromEarlierEpoch == 0 {
			t.Error("no heartbeat of an earlier agent epoch arrived after newer ones")
		}
		if copies, stale := sim.DuplicateCounts(); stale < copies/2 || stale < 10 {
			t.Errorf("%d of %d copies arrived after a newer heartbeat, want at least 10 and half of them", stale, copies)
		}
		sim.DuplicateHeartbeats(0, 0, 0)
		time.Sleep(lease * 5 / 2)
		markFaultsOver(sim)
		time.Sleep(120 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "after all faults")
	})
}

// Old heartbeats reach every controller just after a new leader was elected, before or after it has
// read what is stored. They are the first heartbeats that it receives from these machines. It
// inherits tasks there, some of which the old heartbeats lack. A job is cancelled while no
// controller leads. No task may be started again.
func TestOldHeartbeatsDuringLeaderRecovery(t *testing.T) {
	t.Parallel()
	for _, recovered := range []bool{false, true} {
		for _, firstHeartbeats := range []bool{false, true} {
			run := runScenario
			if firstHeartbeats {
				run = runOnUnevenLayout
			}
			t.Run(fmt.Sprintf("recovered %v, first heartbeats %v", recovered, firstHeartbeats), func(t *testing.T) {
				t.Parallel()
				run(t, 620, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					sim.RecordHeartbeats()
					arrayJob, cancelledJob, serviceJob, nextJob := array(1, 8, 60), array(2, 4, 300), service(3, 3), array(4, 4, 20)
					sleepUntil(2 * time.Second)
					submitAll(sim, arrayJob, cancelledJob, serviceJob)
					sleepUntil(45 * time.Second)
					machines := sim.BusyMachines("")
					var oldHeartbeats []wire.Heartbeat
					for _, id := range machines {
						recorded := sim.RecordedHeartbeats(id)
						if firstHeartbeats {
							oldHeartbeats = append(oldHeartbeats, recorded[0]) // lists none of the tasks that run there now
						} else {
							oldHeartbeats = append(oldHeartbeats, recorded[len(recorded)-2])
						}
					}
					leader, oldToken := sim.LeaderAndToken()
					sim.KillController(leader)
					time.Sleep(300 * time.Millisecond)
					mustCancel(t, sim, cancelledJob)
					if elected, _ := sim.LeaderAndToken(); elected >= 0 && elected != leader {
						t.Error("a new leader was elected before the job was cancelled")
					}
					// A slow key-value store makes the recovery take a while.
					slowStore := func(d time.Duration) {
						for i := range sim.Settings.Size {
							sim.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), d)
						}
					}
					if !recovered {
						slowStore(200 * time.Millisecond)
					}
					newLeader, token := awaitNewToken(t, sim, oldToken)
					if recovered {
						for range 1000 {
							if hasRecovered(sim, newLeader) {
								break
							}
							time.Sleep(time.Millisecond)
						}
					} else {
						time.Sleep(250 * time.Millisecond) // its write of the leader's key is being answered
					}
					recoveredBefore := hasRecovered(sim, newLeader)
					acceptedCount := 0
					for _, delivery := range sim.DeliverHeartbeats(oldHeartbeats...) {
						if delivery.Node == newLeader && delivery.Status == 200 && delivery.Token >= token {
							acceptedCount++
						}
					}
					if recoveredBefore != recovered || !recovered && hasRecovered(sim, newLeader) {
						t.Errorf("the new leader had recovered before the heartbeats arrived: %v, after that: %v", recoveredBefore, hasRecovered(sim, newLeader))
					}
					if acceptedCount == 0 {
						t.Error("the new leader accepted none of the old heartbeats")
					}
					slowStore(0)
					sim.Submit(nextJob, 0)
					time.Sleep(2 * time.Second)
					sim.DeliverHeartbeats(oldHeartbeats...)
					time.Sleep(5 * time.Second)
					startControllers(t, sim, leader)
					mustHaveNoTasks(t, sim, cancelledJob, "some seconds after the election")
					sim.WithChecker(func(c *simulator.Checker) {
						if c.Restarts() != 0 {
							t.Errorf("%d tasks were started again, want 0", c.Restarts())
						}
						c.FaultsOver(time.Now())
					})
					sleepUntil(170 * time.Second)
					mustFinish(t, sim, arrayJob, nextJob)
					mustRun(t, sim, serviceJob, "at the end")
				})
			})
		}
	}
}
