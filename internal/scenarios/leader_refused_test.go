package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Jobs are cancelled at the moment at which the key-value store refuses the
// leader alone, and then it is out for everybody, for longer than a cancelled
// task may last. Workers go on reporting to the leader, which can't read what
// was cancelled. It may renew their leases only while the other controllers tell
// it of all that they confirmed, and must stop what they tell of; what none can
// tell of any more ends with the leases.
func TestCancelWhileStoreRefusesLeader(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		refuse func(sim *simulator.Simulation, leader int, on bool)
		// after the outage began
		then func(sim *simulator.Simulation, leader, confirmer int)
		out  time.Duration
		// lives: the service that nobody cancelled lives through the outage.
		lives bool
	}{
		{"a lease", nil, nil, 16 * time.Second, true},
		{"D", nil, nil, 22 * time.Second, true},
		{"cancel_s", nil, nil, 41 * time.Second, true},
		{"longer", nil, nil, 57 * time.Second, true},
		{"twice B", nil, nil, 120 * time.Second, false},
		// No list of cancellations of a node that has ended, nor of one that is back and has
		// forgotten.
		{"who confirmed it ends", nil, func(sim *simulator.Simulation, _, c int) { sim.KillController(c) }, 57 * time.Second, false},
		{"who confirmed it is back at once", nil, func(sim *simulator.Simulation, _, c int) {
			sim.KillController(c)
			time.Sleep(200 * time.Millisecond)
			startControllers(t, sim, c)
		}, 57 * time.Second, false},
		{"who confirmed it is cut off", nil, func(sim *simulator.Simulation, _, c int) { sim.Net.Isolate(simulator.NodeIP(c), true) }, 57 * time.Second, false},
		{"the leader ends", nil, func(sim *simulator.Simulation, l, _ int) {
			sim.KillController(l)
			time.Sleep(300 * time.Millisecond)
			startControllers(t, sim, l)
		}, 57 * time.Second, false},
		// The leader's packets to the key-value store are held, and come late.
		{"its packets are held", func(sim *simulator.Simulation, l int, on bool) { sim.Net.Hold(simulator.NodeIP(l), "10.2.0.1", on) }, nil, 57 * time.Second, true},
		{"the answers are held", func(sim *simulator.Simulation, l int, on bool) { sim.Net.Hold("10.2.0.1", simulator.NodeIP(l), on) }, nil, 57 * time.Second, true},
		{"both", func(sim *simulator.Simulation, l int, on bool) { sim.Net.Cut(simulator.NodeIP(l), "10.2.0.1", on) }, nil, 57 * time.Second, true},
	}
	for k, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), uint64(200+k), func(sim *simulator.Simulation, at func(time.Duration)) {
				keep, cancelledJob, long := service(1, 3), service(2, 4), array(3, 6, 300)
				for _, s := range []simulator.JobScript{keep, cancelledJob, long} {
					sim.Submit(s, 0)
				}
				// Other users, who can't be answered in the outage either. (Without
				// them most of the few polls were those of the two cancelled jobs,
				// whose end nodes remember, and the third seemed forgotten.)
				for n := range 4 {
					sim.Submit(service(10+n, 1), 0)
				}
				at(45 * time.Second)
				l := sim.Leader()
				if l < 0 || tasksOnMachines(sim, cancelledJob.Spec.ID) != 4 || tasksOnMachines(sim, long.Spec.ID) == 0 {
					t.Fatal("nothing runs yet")
				}
				refuse := c.refuse
				if refuse == nil {
					refuse = func(sim *simulator.Simulation, l int, on bool) { sim.State.RefuseClient(simulator.NodeIP(l), on) }
				}
				refuse(sim, l, true)
				confirmer := (l + 1) % 5
				for _, id := range []wire.JobID{cancelledJob.Spec.ID, long.Spec.ID} {
					if !cancelOnceAt(sim, confirmer, id) {
						t.Fatalf("%s was not cancelled while the leader was refused", id)
					}
				}
				time.Sleep(200 * time.Millisecond)
				sim.State.Outage(true)
				if sim.Leader() != l {
					t.Fatal("another leads already")
				}
				out := time.Now()
				if c.then != nil {
					c.then(sim, l, confirmer)
				}
				time.Sleep(14 * time.Second)
				refuse(sim, l, false)
				time.Sleep(time.Until(out.Add(c.out - time.Second)))
				if n := tasksOnMachines(sim, keep.Spec.ID); c.lives && n != 3 {
					t.Errorf("%d of 3 replicas that nobody cancelled live through the outage", n)
				}
				if n := tasksOnMachines(sim, cancelledJob.Spec.ID) + tasksOnMachines(sim, long.Spec.ID); c.lives && n != 0 {
					t.Errorf("%d cancelled tasks are left, of which the leader could hear from the others", n)
				}
				time.Sleep(time.Second)
				sim.State.Outage(false)
				sim.Net.Isolate(simulator.NodeIP(confirmer), false)
				startControllers(t, sim, confirmer)
				markFaultsOver(sim)
				time.Sleep(80 * time.Second)
				if n := tasksOnMachines(sim, keep.Spec.ID); n != 3 {
					t.Errorf("%d of 3 replicas after the outage", n)
				}
			})
		})
	}
}

// The same, and the machines of the cancelled tasks receive nothing, or the stops to
// them are held up on their way: what can't be halted must end with its lease,
// or with its machine.
func TestCancelOnUnreachableMachinesWhileLeaderIsRefused(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"no inbound", "no commands", "answers held"} {
		for _, cloud := range []bool{true, false} {
			t.Run(fmt.Sprint(how, ", cloud there: ", cloud), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(5), 230, func(sim *simulator.Simulation, at func(time.Duration)) {
					keep, cancelledJob := service(1, 3), service(2, 4)
					submitAll(sim, keep, cancelledJob)
					at(45 * time.Second)
					l := sim.Leader()
					on := sim.MachinesRunning(cancelledJob.Spec.ID)
					if l < 0 || len(on) == 0 {
						t.Fatal("nothing runs yet")
					}
					setFault := func(b bool) {
						for _, id := range on {
							ip := sim.MachineIP(id)
							switch how {
							case "no inbound":
								sim.Net.BlockInbound(ip, b)
							case "no commands":
								sim.Net.Hold(simulator.NodeIP(l), ip, b)
							case "answers held":
								for i := range 5 {
									sim.Net.Hold(ip, simulator.NodeIP(i), b)
								}
							}
						}
					}
					setFault(true)
					sim.CloudOutage(!cloud)
					sim.State.RefuseClient(simulator.NodeIP(l), true)
					if !cancelOnceAt(sim, (l+1)%5, cancelledJob.Spec.ID) {
						t.Fatal("not cancelled")
					}
					sim.State.Outage(true)
					time.Sleep(14 * time.Second)
					sim.State.RefuseClient(simulator.NodeIP(l), false)
					time.Sleep(43 * time.Second)
					sim.State.Outage(false)
					time.Sleep(20 * time.Second)
					setFault(false)
					sim.CloudOutage(false)
					markFaultsOver(sim)
					time.Sleep(90 * time.Second)
					if tasksOnMachines(sim, keep.Spec.ID) != 3 || tasksOnMachines(sim, cancelledJob.Spec.ID) != 0 {
						t.Errorf("%d of 3 replicas run, %d of 0 cancelled ones", tasksOnMachines(sim, keep.Spec.ID), tasksOnMachines(sim, cancelledJob.Spec.ID))
					}
				})
			})
		}
	}
}

// The key-value store answers slowly while users cancel and ask, then refuses the
// leader alone while they go on to cancel, and then everybody, for longer than a
// cancelled task may last: after the leader alone was refused for a moment, or
// just when the next one has come and has read nothing yet.
func TestSlowStoreThenLeaderRefusedThenOutage(t *testing.T) {
	t.Parallel()
	for i, kind := range []string{"cancelled while slow", "cancelled while the leader is refused", "the next leader is new"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(670+i), func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				s, a := service(900, 3), array(901, 4, 60)
				first, second, third := service(1, 2), service(2, 2), service(3, 2)
				at(2 * time.Second)
				submitAll(sim, s, a)
				for _, j := range []simulator.JobScript{first, second, third} {
					j.Spec.Team = "red"
					sim.RegisterJob(j)
					go requestUntilAnswered(t, sim, j, false, 0)
				}
				at(35 * time.Second)
				l := sim.Leader()
				if l < 0 {
					t.Fatal("nobody leads")
				}
				sim.State.DelayAnswers("", 600*time.Millisecond)
				r := startReader(t, sim, first.Spec.ID)
				at(40 * time.Second)
				cancelled := []time.Time{}
				cancel := func(j simulator.JobScript) {
					for n := l + 1; ; n++ {
						if n%sim.Settings.Size == l {
							continue
						}
						if requestOnce(sim, j, true, n%sim.Settings.Size) == 200 {
							cancelled = append(cancelled, time.Now())
							sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(j.Spec.ID, wire.StatusCancelled, time.Now()) })
							return
						}
						if time.Sleep(100 * time.Millisecond); n > l+20 {
							t.Errorf("%s is not cancelled", j.Spec.ID)
							return
						}
					}
				}
				cancel(first)
				for begin := time.Now(); r.firstSeen(simulator.ToldFinal).IsZero() && time.Since(begin) < 10*time.Second; {
					time.Sleep(50 * time.Millisecond)
				}
				var refused, outage time.Time
				if kind != "cancelled while slow" {
					sim.State.RefuseClient(simulator.NodeIP(l), true)
					refused = time.Now()
					cancel(second)
				} else {
					cancel(second)
					sim.State.RefuseClient(simulator.NodeIP(l), true)
					refused = time.Now()
				}
				if kind == "the next leader is new" {
					for time.Since(refused) < 20*time.Second && (sim.Leader() < 0 || sim.Leader() == l) {
						time.Sleep(5 * time.Millisecond)
					}
					if n := sim.Leader(); n < 0 || n == l {
						t.Error("no other node leads")
					}
				} else if sim.Leader() != l {
					t.Error("another node leads before the outage")
				}
				sim.State.Outage(true)
				outage = time.Now()
				time.Sleep(65 * time.Second)
				sim.State.Outage(false)
				sim.State.RefuseClient(simulator.NodeIP(l), false)
				sim.State.DelayAnswers("", 0)
				if len(cancelled) != 2 || r.firstSeen(simulator.ToldFinal).IsZero() || r.firstSeen(simulator.ToldFinal).After(outage) || cancelled[1].After(outage) || (kind != "cancelled while slow") != cancelled[1].After(refused) {
					t.Errorf("cancelled at %v, read to be at %v, the leader refused at %v and everybody at %v", cancelled, r.firstSeen(simulator.ToldFinal), refused, outage)
				}
				endFaultsAndWait(sim, 15*time.Second)
				b := array(5, 4, 10)
				sim.Submit(b, 0)
				cancel(third)
				time.Sleep(60 * time.Second)
				r.stopReading()
				mustFinish(t, sim, a, b)
				mustRun(t, sim, s, "afterwards")
			})
		})
	}
}
