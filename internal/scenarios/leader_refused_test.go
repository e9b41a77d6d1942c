package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Jobs are cancelled while the key-value store refuses the leader alone. Then the store has an
// outage for all controllers, in some cases for longer than a task of a cancelled job may run.
// Agents go on sending heartbeats to the leader, which can't read what was cancelled. It may
// renew their leases only while the other controllers send it all cancellations that they
// confirmed, and must stop the tasks of the cancelled jobs. Tasks of jobs whose cancellation no
// controller can send any more end by lease expiry.
func TestCancelWhileStoreRefusesLeader(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// refuse, if set, replaces the refusal of the leader by the key-value store.
		refuse func(sim *simulator.Simulation, leader int, on bool)
		// duringOutage, if set, is called when the outage has begun.
		duringOutage func(sim *simulator.Simulation, leader, confirmer int)
		outage       time.Duration
		// survives: the service that nobody cancelled must survive the outage, and no cancelled task may.
		survives bool
	}{
		{"outage as long as a lease", nil, nil, 16 * time.Second, true},
		{"outage as long as MaxCancelAge", nil, nil, 22 * time.Second, true},
		{"outage as long as the cancellation timeout", nil, nil, 41 * time.Second, true},
		{"outage as long as the cancellation timeout and a lease", nil, nil, 57 * time.Second, true},
		{"outage twice as long as OutageLimit", nil, nil, 120 * time.Second, false},
		// The leader gets no complete list of cancellations from a confirming controller that is
		// down, nor from one that has restarted and forgotten them.
		{"confirming controller killed", nil, func(sim *simulator.Simulation, _, confirmer int) { sim.KillController(confirmer) }, 57 * time.Second, false},
		{"confirming controller restarted", nil, func(sim *simulator.Simulation, _, confirmer int) {
			sim.KillController(confirmer)
			time.Sleep(200 * time.Millisecond)
			startControllers(t, sim, confirmer)
		}, 57 * time.Second, false},
		{"confirming controller cut off", nil, func(sim *simulator.Simulation, _, confirmer int) { sim.Net.Isolate(simulator.NodeIP(confirmer), true) }, 57 * time.Second, false},
		{"leader restarted", nil, func(sim *simulator.Simulation, leader, _ int) {
			sim.KillController(leader)
			time.Sleep(300 * time.Millisecond)
			startControllers(t, sim, leader)
		}, 57 * time.Second, false},
		// The packets between the leader and the key-value store are held up, and arrive late.
		{"requests held up", func(sim *simulator.Simulation, leader int, on bool) {
			sim.Net.HoldPackets(simulator.NodeIP(leader), "10.2.0.1", on)
		}, nil, 57 * time.Second, true},
		{"responses held up", func(sim *simulator.Simulation, leader int, on bool) {
			sim.Net.HoldPackets("10.2.0.1", simulator.NodeIP(leader), on)
		}, nil, 57 * time.Second, true},
		{"requests and responses held up", func(sim *simulator.Simulation, leader int, on bool) {
			sim.Net.Cut(simulator.NodeIP(leader), "10.2.0.1", on)
		}, nil, 57 * time.Second, true},
	}
	for caseNumber, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), uint64(200+caseNumber), func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				keptService, cancelledService, cancelledArray := service(1, 3), service(2, 4), array(3, 6, 300)
				for _, job := range []simulator.JobScript{keptService, cancelledService, cancelledArray} {
					sim.Submit(job, 0)
				}
				// The polls of other users can't be answered in the outage either. Without these
				// jobs most of the few polls would be about the two cancelled jobs, whose end the
				// controllers remember, and the third job would seem forgotten.
				for n := range 4 {
					sim.Submit(service(10+n, 1), 0)
				}
				sleepUntil(45 * time.Second)
				leader := sim.Leader()
				if leader < 0 || tasksOnMachines(sim, cancelledService.Spec.ID) != 4 || tasksOnMachines(sim, cancelledArray.Spec.ID) == 0 {
					t.Fatal("no leader, or the jobs do not run yet")
				}
				refuse := tc.refuse
				if refuse == nil {
					refuse = func(sim *simulator.Simulation, leader int, on bool) {
						sim.State.RefuseClient(simulator.NodeIP(leader), on)
					}
				}
				refuse(sim, leader, true)
				confirmer := (leader + 1) % 5
				for _, id := range []wire.JobID{cancelledService.Spec.ID, cancelledArray.Spec.ID} {
					if !cancelOnceAt(sim, confirmer, id) {
						t.Fatalf("%s was not cancelled while the leader was refused", id)
					}
				}
				time.Sleep(200 * time.Millisecond)
				sim.State.SetOutage(true)
				if sim.Leader() != leader {
					t.Fatal("another controller leads before the outage")
				}
				outageStart := time.Now()
				if tc.duringOutage != nil {
					tc.duringOutage(sim, leader, confirmer)
				}
				time.Sleep(14 * time.Second)
				refuse(sim, leader, false)
				time.Sleep(time.Until(outageStart.Add(tc.outage - time.Second)))
				if n := tasksOnMachines(sim, keptService.Spec.ID); tc.survives && n != 3 {
					t.Errorf("%d of 3 replicas that nobody cancelled survived the outage, want all", n)
				}
				if n := tasksOnMachines(sim, cancelledService.Spec.ID) + tasksOnMachines(sim, cancelledArray.Spec.ID); tc.survives && n != 0 {
					t.Errorf("%d tasks are on machines although the other controllers could send the cancellation of their jobs to the leader, want 0", n)
				}
				time.Sleep(time.Second)
				sim.State.SetOutage(false)
				sim.Net.Isolate(simulator.NodeIP(confirmer), false)
				startControllers(t, sim, confirmer)
				markFaultsOver(sim)
				time.Sleep(80 * time.Second)
				if n := tasksOnMachines(sim, keptService.Spec.ID); n != 3 {
					t.Errorf("%d of 3 replicas are on machines 80 s after the outage, want all", n)
				}
			})
		})
	}
}

// As in TestCancelWhileStoreRefusesLeader. In addition, the machines of the cancelled tasks
// receive nothing, or the leader's packets to them or their packets to the controllers are held
// up. Tasks that can't be stopped must end by lease expiry, or with their machine.
func TestCancelOnUnreachableMachinesWhileLeaderIsRefused(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"no inbound", "no commands", "no outbound"} {
		for _, cloudAvailable := range []bool{true, false} {
			t.Run(fmt.Sprint(fault, ", cloud available: ", cloudAvailable), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(5), 230, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					keptService, cancelledJob := service(1, 3), service(2, 4)
					submitAll(sim, keptService, cancelledJob)
					sleepUntil(45 * time.Second)
					leader := sim.Leader()
					machines := sim.MachinesRunning(cancelledJob.Spec.ID)
					if leader < 0 || len(machines) == 0 {
						t.Fatal("no leader, or the jobs do not run yet")
					}
					setFault := func(on bool) {
						for _, id := range machines {
							ip := sim.MachineIP(id)
							switch fault {
							case "no inbound":
								sim.Net.BlockInbound(ip, on)
							case "no commands":
								sim.Net.HoldPackets(simulator.NodeIP(leader), ip, on)
							case "no outbound":
								for i := range 5 {
									sim.Net.HoldPackets(ip, simulator.NodeIP(i), on)
								}
							}
						}
					}
					setFault(true)
					sim.SetCloudOutage(!cloudAvailable)
					sim.State.RefuseClient(simulator.NodeIP(leader), true)
					if !cancelOnceAt(sim, (leader+1)%5, cancelledJob.Spec.ID) {
						t.Fatal("the job was not cancelled while the leader was refused")
					}
					sim.State.SetOutage(true)
					time.Sleep(14 * time.Second)
					sim.State.RefuseClient(simulator.NodeIP(leader), false)
					time.Sleep(43 * time.Second)
					sim.State.SetOutage(false)
					time.Sleep(20 * time.Second)
					setFault(false)
					sim.SetCloudOutage(false)
					markFaultsOver(sim)
					time.Sleep(90 * time.Second)
					if tasksOnMachines(sim, keptService.Spec.ID) != 3 || tasksOnMachines(sim, cancelledJob.Spec.ID) != 0 {
						t.Errorf("%d replicas and %d cancelled tasks on machines, want 3 and 0", tasksOnMachines(sim, keptService.Spec.ID), tasksOnMachines(sim, cancelledJob.Spec.ID))
					}
				})
			})
		}
	}
}

// The key-value store answers slowly while users cancel jobs and poll. Then it refuses the leader
// alone while users go on cancelling jobs, and then all controllers, for longer than a task of a
// cancelled job may run. The outage for all begins when the leader alone has been refused for a
// moment, or just when the next leader has been elected and has read nothing yet.
func TestSlowStoreThenLeaderRefusedThenOutage(t *testing.T) {
	t.Parallel()
	for caseNumber, kind := range []string{"cancelled while slow", "cancelled while the leader is refused", "the next leader is new"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(670+caseNumber), func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob := service(900, 3), array(901, 4, 60)
				first, second, third := service(1, 2), service(2, 2), service(3, 2)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, arrayJob)
				for _, j := range []simulator.JobScript{first, second, third} {
					j.Spec.Team = "red"
					sim.RegisterJob(j)
					go requestUntilAnswered(t, sim, j, false, 0)
				}
				sleepUntil(35 * time.Second)
				leader := sim.Leader()
				if leader < 0 {
					t.Fatal("no controller leads")
				}
				sim.State.DelayResponses("", 600*time.Millisecond)
				reader := startReader(t, sim, first.Spec.ID)
				sleepUntil(40 * time.Second)
				confirmedAt := []time.Time{}
				cancel := func(j simulator.JobScript) {
					for n := leader + 1; ; n++ {
						if n%sim.Settings.Size == leader {
							continue
						}
						if requestOnce(sim, j, true, n%sim.Settings.Size) == 200 {
							confirmedAt = append(confirmedAt, time.Now())
							sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(j.Spec.ID, wire.StatusCancelled, time.Now()) })
							return
						}
						if time.Sleep(100 * time.Millisecond); n > leader+20 {
							t.Errorf("%s: no controller confirmed the cancellation", j.Spec.ID)
							return
						}
					}
				}
				cancel(first)
				for begin := time.Now(); reader.firstSeen(simulator.KnownStatusFinal).IsZero() && time.Since(begin) < 10*time.Second; {
					time.Sleep(50 * time.Millisecond)
				}
				var refusedAt, outageAt time.Time
				if kind != "cancelled while slow" {
					sim.State.RefuseClient(simulator.NodeIP(leader), true)
					refusedAt = time.Now()
					cancel(second)
				} else {
					cancel(second)
					sim.State.RefuseClient(simulator.NodeIP(leader), true)
					refusedAt = time.Now()
				}
				if kind == "the next leader is new" {
					for time.Since(refusedAt) < 20*time.Second && (sim.Leader() < 0 || sim.Leader() == leader) {
						time.Sleep(5 * time.Millisecond)
					}
					if n := sim.Leader(); n < 0 || n == leader {
						t.Error("no other controller leads before the outage")
					}
				} else if sim.Leader() != leader {
					t.Error("another controller leads before the outage")
				}
				sim.State.SetOutage(true)
				outageAt = time.Now()
				time.Sleep(65 * time.Second)
				sim.State.SetOutage(false)
				sim.State.RefuseClient(simulator.NodeIP(leader), false)
				sim.State.DelayResponses("", 0)
				if len(confirmedAt) != 2 || reader.firstSeen(simulator.KnownStatusFinal).IsZero() || reader.firstSeen(simulator.KnownStatusFinal).After(outageAt) || confirmedAt[1].After(outageAt) || (kind != "cancelled while slow") != confirmedAt[1].After(refusedAt) {
					t.Errorf("cancellations confirmed at %v, the first one seen in a poll at %v, leader refused at %v, outage began at %v: want two, in the right order", confirmedAt, reader.firstSeen(simulator.KnownStatusFinal), refusedAt, outageAt)
				}
				endFaultsAndWait(sim, 15*time.Second)
				nextJob := array(5, 4, 10)
				sim.Submit(nextJob, 0)
				cancel(third)
				time.Sleep(60 * time.Second)
				reader.stopReading()
				mustFinish(t, sim, arrayJob, nextJob)
				mustRun(t, sim, serviceJob, "afterwards")
			})
		})
	}
}
