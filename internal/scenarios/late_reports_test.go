package scenarios_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Copies of heartbeats come late, from seconds to more than a lease: of live
// machines, of machines that are gone, and as the first that a new leader
// hears of a machine. They must free nothing, bring nothing back, and not
// make a dead machine seem alive.
func TestDuplicatedHeartbeatsArriveLate(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 31, func(sim *simulator.Simulation, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 12, 30)
		at(2 * time.Second)
		submitAll(sim, s, a)
		var late []time.Duration
		for d := 2; d < 60; d += 3 {
			late = append(late, time.Duration(d)*time.Second)
		}
		copies := func() {
			for _, id := range append(sim.MachinesRunning(s.Spec.ID), sim.MachinesRunning(a.Spec.ID)...) {
				sim.ResendLastHeartbeat(id, late...)
			}
		}
		at(40 * time.Second)
		copies()
		at(50 * time.Second)
		// A machine with replicas dies while copies of its heartbeats come in.
		on := sim.MachinesRunning(s.Spec.ID)
		if sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 }) != 1 || len(on) == 0 {
			t.Fatal("nothing to take")
		}
		at(80 * time.Second)
		mustRun(t, sim, s, "30 s after a machine's end")
		copies()
		l := sim.Leader()
		sim.KillController(l)
		sim.ReclaimMachines(1, func(_ bool, tasks int) bool { return tasks > 0 })
		time.Sleep(300 * time.Millisecond)
		startControllers(t, sim, l)
		at(115 * time.Second)
		mustRun(t, sim, s, "35 s after the leader's and a machine's end")
		at(200 * time.Second)
		mustFinish(t, sim, a)
	})
}

// Reports are held back on their way until a new leader has acted: it has asked
// the machines itself, has halted a cancelled job's tasks there, and has started
// others. Then they arrive there, before the machines' own next ones or after.
// What they lack is not gone, and what they list is not there any more.
func TestHeartbeatDelayedUntilNewLeaderActed(t *testing.T) {
	t.Parallel()
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprint("before the next ones ", before), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 600, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				sim.RecordHeartbeats()
				a, cancelledJob, late := array(1, 6, 60), array(2, 4, 300), array(3, 6, 40)
				at(2 * time.Second)
				submitAll(sim, a, cancelledJob)
				at(45 * time.Second)
				ms := sim.BusyMachines("")
				if len(ms) == 0 || tasksOnMachines(sim, cancelledJob.Spec.ID) != 4 {
					t.Fatalf("%d machines at work, %d tasks to cancel", len(ms), tasksOnMachines(sim, cancelledJob.Spec.ID))
				}
				recordedBefore := map[wire.MachineID]int{}
				for _, id := range ms {
					recordedBefore[id] = len(sim.RecordedHeartbeats(id))
					sim.DropHeartbeats(id, true)
				}
				time.Sleep(sim.Settings.Workers.HeartbeatInterval.Duration() * 3 / 2)
				l, old := sim.LeaderAndToken()
				sim.KillController(l)
				_, token := awaitNewToken(t, sim, old)
				var reps []wire.Heartbeat
				for _, id := range ms {
					if k := sim.RecordedHeartbeats(id); len(k) > recordedBefore[id] {
						reps = append(reps, k[recordedBefore[id]])
					}
				}
				mustCancel(t, sim, cancelledJob)
				sim.Submit(late, 0)
				time.Sleep(4 * time.Second)
				mustBeGone(t, sim, cancelledJob, "while reports are held up")
				if !before {
					for _, id := range ms {
						sim.DropHeartbeats(id, false)
					}
					time.Sleep(6 * time.Second)
				}
				late200, listed := 0, 0
				for _, h := range sim.DeliverHeartbeats(reps...) {
					if !h.Newer || h.Heartbeat.Token >= token {
						t.Errorf("the report of %s is not old: tally %d, token %d of %d", h.Heartbeat.Machine, h.Heartbeat.Sequence, h.Heartbeat.Token, token)
					}
					if h.Status == 200 {
						late200++
					}
					for _, p := range h.Heartbeat.Tasks {
						if task, err := wire.ParseTaskID(p.Task); err == nil && task.Job == cancelledJob.Spec.ID {
							listed++
						}
					}
				}
				if len(reps) == 0 || listed == 0 {
					t.Errorf("%d reports were held, listing %d tasks that were cancelled meanwhile", len(reps), listed)
				}
				for _, id := range ms {
					sim.DropHeartbeats(id, false)
				}
				time.Sleep(3 * time.Second)
				startControllers(t, sim, l)
				markFaultsOver(sim)
				at(200 * time.Second)
				mustFinish(t, sim, a, late)
				mustBeGone(t, sim, cancelledJob, "at the end")
			})
		})
	}
}

// Old heartbeats come after newer ones: of the epoch before, when the tasks had
// other attempts, and of the same one. A share of all heartbeats comes again until
// well after a lease meanwhile, a leader ends, and a job is cancelled that the
// old ones list.
func TestHeartbeatsOfEarlierEpochsAndAttempts(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 610, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		lease := sim.Settings.Workers.Lease.Duration()
		sim.RecordHeartbeats()
		a, cancelledJob, s := array(1, 6, 90), array(2, 4, 300), service(3, 3)
		at(2 * time.Second)
		submitAll(sim, a, cancelledJob, s)
		at(45 * time.Second)
		sim.DuplicateHeartbeats(0.3, 2*time.Second, lease*5/2)
		// Their leases run out although they answer all commands.
		ms := sim.MachinesRunning(cancelledJob.Spec.ID)
		sim.BlockOutbound(true, ms...)
		time.Sleep(lease + time.Second)
		sim.BlockOutbound(false, ms...)
		time.Sleep(6 * time.Second)
		for _, id := range ms {
			if epoch, _, _ := sim.MachineEpoch(id); epoch == 1 {
				t.Errorf("%s is still in its first session", id)
			}
		}
		tries := map[wire.AttemptNumber]bool{}
		for _, id := range ms {
			for _, r := range sim.RecordedHeartbeats(id) {
				for _, p := range r.Tasks {
					if task, err := wire.ParseTaskID(p.Task); err == nil && task.Job == cancelledJob.Spec.ID {
						tries[p.Attempt] = true
					}
				}
			}
		}
		if len(tries) < 2 {
			t.Errorf("the tasks had attempts %v only", tries)
		}
		old := func() (reps []wire.Heartbeat) {
			for _, id := range ms {
				k := sim.RecordedHeartbeats(id)
				if len(k) > 0 {
					// When its tasks ran, and its first.
					i := slices.IndexFunc(k, func(r wire.Heartbeat) bool { return r.Epoch == 1 && len(r.Tasks) > 0 })
					reps = append(reps, k[0], k[max(0, i)])
					if i = slices.IndexFunc(k, func(r wire.Heartbeat) bool { return r.Epoch > 1 }); i > 0 {
						reps = append(reps, k[i-1], k[i])
					}
				}
			}
			return reps
		}
		earlier := 0
		hand := func() {
			for _, h := range sim.DeliverHeartbeats(old()...) {
				if epoch, _, _ := sim.MachineEpoch(h.Heartbeat.Machine); h.Newer && epoch > h.Heartbeat.Epoch && len(h.Heartbeat.Tasks) > 0 {
					earlier++
				}
			}
		}
		hand()
		mustCancel(t, sim, cancelledJob)
		hand()
		l, token := sim.LeaderAndToken()
		sim.KillController(l)
		awaitNewToken(t, sim, token)
		hand()
		time.Sleep(3 * time.Second)
		startControllers(t, sim, l)
		hand()
		time.Sleep(5 * time.Second)
		mustBeGone(t, sim, cancelledJob, "after old reports listed them")
		hand()
		if earlier == 0 {
			t.Error("no report of an earlier session came after newer ones")
		}
		if all, older := sim.DuplicateCounts(); older < all/2 || older < 10 {
			t.Errorf("%d of %d copies came after a newer report", older, all)
		}
		sim.DuplicateHeartbeats(0, 0, 0)
		time.Sleep(lease * 5 / 2)
		markFaultsOver(sim)
		time.Sleep(120 * time.Second)
		mustFinish(t, sim, a)
		mustRun(t, sim, s, "when all is over")
	})
}

// Old reports reach every node just as a new leader begins, as the first that
// it hears of a machine: before it has read what is stored, and after. It
// inherits tasks on those machines, some of which the old heartbeats lack, and a
// job is cancelled while nobody leads.
func TestOldHeartbeatsDuringLeaderRecovery(t *testing.T) {
	t.Parallel()
	for _, recovered := range []bool{false, true} {
		for _, first := range []bool{false, true} {
			play := runScenario
			if first {
				play = runOnUnevenLayout
			}
			t.Run(fmt.Sprintf("recovered %v, first reports %v", recovered, first), func(t *testing.T) {
				t.Parallel()
				play(t, 620, func(sim *simulator.Simulation, at func(time.Duration)) {
					sim.RecordHeartbeats()
					a, cancelledJob, s, b := array(1, 8, 60), array(2, 4, 300), service(3, 3), array(4, 4, 20)
					at(2 * time.Second)
					submitAll(sim, a, cancelledJob, s)
					at(45 * time.Second)
					ms := sim.BusyMachines("")
					var reps []wire.Heartbeat
					for _, id := range ms {
						k := sim.RecordedHeartbeats(id)
						if first {
							reps = append(reps, k[0]) // lacks all that runs there now
						} else {
							reps = append(reps, k[len(k)-2])
						}
					}
					l, old := sim.LeaderAndToken()
					sim.KillController(l)
					time.Sleep(300 * time.Millisecond)
					mustCancel(t, sim, cancelledJob)
					if n, _ := sim.LeaderAndToken(); n >= 0 && n != l {
						t.Error("somebody leads before the job is cancelled")
					}
					// A slow key-value store makes the recovery take a while.
					slow := func(d time.Duration) {
						for i := range sim.Settings.Size {
							sim.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), d)
						}
					}
					if !recovered {
						slow(200 * time.Millisecond)
					}
					n, token := awaitNewToken(t, sim, old)
					if recovered {
						for range 1000 {
							if hasRecovered(sim, n) {
								break
							}
							time.Sleep(time.Millisecond)
						}
					} else {
						time.Sleep(250 * time.Millisecond) // the answer to its taking is on its way
					}
					is := hasRecovered(sim, n)
					taken := 0
					for _, h := range sim.DeliverHeartbeats(reps...) {
						if h.Node == n && h.Status == 200 && h.Token >= token {
							taken++
						}
					}
					if is != recovered || !recovered && hasRecovered(sim, n) {
						t.Errorf("recovered before %v and after %v", is, hasRecovered(sim, n))
					}
					if taken == 0 {
						t.Error("the new leader took none of the old reports")
					}
					slow(0)
					sim.Submit(b, 0)
					time.Sleep(2 * time.Second)
					sim.DeliverHeartbeats(reps...)
					time.Sleep(5 * time.Second)
					startControllers(t, sim, l)
					mustBeGone(t, sim, cancelledJob, "some seconds after the new leader began")
					sim.WithChecker(func(c *simulator.Checker) {
						if c.Restarts() != 0 {
							t.Errorf("%d tasks were started again", c.Restarts())
						}
						c.FaultsOver(time.Now())
					})
					at(170 * time.Second)
					mustFinish(t, sim, a, b)
					mustRun(t, sim, s, "at the end")
				})
			})
		}
	}
}
