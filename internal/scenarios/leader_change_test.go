package scenarios_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A leader's end must not touch services, and its successor must know what
// ran where.
func TestLeaderRestartsKeepServices(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 2, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		a, s := array(1, 12, 40), service(2, 3)
		at(2 * time.Second)
		submitAll(sim, a, s)
		at(45 * time.Second)
		for range 3 {
			l := sim.Leader()
			if l < 0 {
				t.Fatal("nobody leads")
			}
			sim.KillController(l)
			time.Sleep(6 * time.Second)
			if sim.Leader() < 0 {
				t.Error("a dead leader was not replaced within 6 s")
			}
			startControllers(t, sim, l)
			time.Sleep(6 * time.Second)
		}
		sim.WithChecker(func(c *simulator.Checker) {
			if c.OnMachines(s.Spec.ID) != 3 {
				t.Errorf("service has %d of 3 replicas", c.OnMachines(s.Spec.ID))
			}
		})
		mustRestartNoTask(t, sim)
		at(160 * time.Second)
		mustFinish(t, sim, a)
	})
}

// Nodes restart within a fraction of a second, also in the middle of an
// election.
func TestQuickRestarts(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 11, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		a, s := array(1, 10, 30), service(2, 3)
		at(2 * time.Second)
		submitAll(sim, a, s)
		at(30 * time.Second)
		for k := range 12 {
			i := (sim.Leader() + 3) % 3
			if k%3 == 2 {
				i = k % 3
			}
			sim.KillController(i)
			time.Sleep(time.Duration(50+k*60) * time.Millisecond)
			startControllers(t, sim, i)
			time.Sleep(time.Duration(k%4) * time.Second)
		}
		at(160 * time.Second)
		mustFinish(t, sim, a)
	})
}

// The leader changes ten times in two minutes, every other time inside an outage
// of the key-value store, with submissions and cancellations all the while.
func TestTenLeaderChangesInTwoMinutes(t *testing.T) {
	t.Parallel()
	runScenario(t, 64, func(sim *simulator.Simulation, at func(time.Duration)) {
		s := service(1, 4)
		all := []simulator.JobScript{s}
		at(2 * time.Second)
		sim.Submit(s, 0)
		at(35 * time.Second)
		begin := time.Now()
		inOutage := 0
		for n := range 10 {
			j, cancelledJob := array(10+n, 1+n%3, float64(10+5*n)), array(30+n, 2, 100)
			all = append(all, j)
			submitAll(sim, j, cancelledJob)
			time.Sleep(700 * time.Millisecond)
			l := sim.Leader()
			if n%2 == 0 {
				sim.KillController(l)
				cancelAtController(t, sim, (l+1)%3, cancelledJob)
				awaitOtherLeader(t, sim, l, 8*time.Second)
				startControllers(t, sim, l)
				time.Sleep(2 * time.Second)
				continue
			}
			sim.State.Outage(true)
			time.Sleep(1500 * time.Millisecond)
			if sim.Leader() == l && sim.State.InOutage() {
				inOutage++
			}
			sim.KillController(l)
			time.Sleep(2 * time.Second)
			sim.State.Outage(false)
			cancelAtController(t, sim, (l+1)%3, cancelledJob)
			awaitOtherLeader(t, sim, l, 8*time.Second)
			startControllers(t, sim, l)
			time.Sleep(time.Second)
		}
		if took := time.Since(begin); took > 2*time.Minute || inOutage != 5 {
			t.Errorf("ten changes took %v, %d of them in an outage", took, inOutage)
		}
		mustRecover(t, sim, 3, all...)
	})
}

// The tasks of small jobs end far apart, with a change of leader between two
// ends, at different moments after the first: just as it ends, when its report
// is on its way, when it is being stored, and later. No task is lost, run twice,
// or called done early, and none that was done is started again.
func TestTasksEndAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	type way struct {
		name   string
		afters [3]time.Duration // since an end
		change func(t *testing.T, sim *simulator.Simulation, l int, end func())
	}
	for k, c := range []way{
		{"killed", [3]time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond}, func(t *testing.T, sim *simulator.Simulation, l int, end func()) {
			sim.KillController(l)
			awaitOtherLeader(t, sim, l, 10*time.Second)
			end()
			startControllers(t, sim, l)
		}},
		{"back at once", [3]time.Duration{4 * time.Millisecond, 0, 3 * time.Second}, func(t *testing.T, sim *simulator.Simulation, l int, end func()) {
			old := sim.LeaderKeyRevision()
			sim.KillController(l)
			time.Sleep(200 * time.Millisecond)
			startControllers(t, sim, l)
			waitUntil(t, 10*time.Second, "a new term", func() bool { o := sim.LeaderKeyRevision(); return o > old })
			end()
		}},
		{"refused by the state service", [3]time.Duration{400 * time.Millisecond, 4 * time.Millisecond, 0}, func(t *testing.T, sim *simulator.Simulation, l int, end func()) {
			sim.State.RefuseClient(simulator.NodeIP(l), true)
			awaitOtherLeader(t, sim, l, 10*time.Second)
			end()
			time.Sleep(5 * time.Second)
			sim.State.RefuseClient(simulator.NodeIP(l), false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(3), 60+uint64(k), func(sim *simulator.Simulation, at func(time.Duration)) {
				two, three := array(1, 2, 0), array(2, 3, 0)
				two.RunTimes, three.RunTimes = []float64{14, 75}, []float64{16, 48, 80}
				at(2 * time.Second)
				submitAll(sim, two, three)
				ended := func() (n int) {
					sim.WithChecker(func(c *simulator.Checker) { n = c.Completed(two.Spec.ID) + c.Completed(three.Spec.ID) })
					return n
				}
				// Three of the five ends are met by a change each.
				for n := 1; n <= 3; n++ {
					waitUntil(t, 80*time.Second, "an end", func() bool { return ended() >= n })
					time.Sleep(c.afters[n-1])
					c.change(t, sim, sim.Leader(), func() {
						if k := ended(); k != n && !(n == 1 && k == 2) {
							t.Errorf("%d tasks had ended when the next one led, not %d", k, n)
						}
					})
					if ended() == 5 {
						t.Error("all tasks had ended before the change was over")
					}
					time.Sleep(time.Second)
				}
				mustRecover(t, sim, 3, two, three)
				mustRestartNoTask(t, sim)
			})
		})
	}
}

// New machines are up within two seconds and get work at once while the leader's
// writes lag (their answers are slow, or lost, or they are carried out late), and
// the leader ends just then, before it knows what is stored; the machine list does
// not show the machines yet.
func TestLeaderChangeAsNewMachinesGetTasks(t *testing.T) {
	t.Parallel()
	for i, kind := range []string{"slow", "lost", "late", "late, soon"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(660+i), func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				s, near, a := service(1, 4), array(2, 4, 12), array(3, 14, 10)
				near.Spec.SameZone = true
				sim.SetQuickBoots(true)
				at(3 * time.Second)
				met := 0
				for k, jobs := range [][]simulator.JobScript{{s, a}, {near, array(4, 10, 9)}, {array(5, 16, 8)}} {
					l := sim.Leader()
					if l < 0 {
						t.Fatal("nobody leads")
					}
					host := simulator.NodeIP(l)
					fault := simulator.TxnFault{Prefix: store.ProgressPrefix, Hosts: []string{host}, Hang: true}
					switch kind {
					case "slow":
						sim.State.DelayAnswers(host, 400*time.Millisecond)
					case "lost":
						sim.State.InjectTxnFaults(uint64(k), fault)
					case "late":
						fault.Late = [2]time.Duration{2 * time.Second, 12 * time.Second}
						sim.State.InjectTxnFaults(uint64(k), fault)
					case "late, soon":
						fault.Late = [2]time.Duration{time.Second, 2 * time.Second}
						sim.State.InjectTxnFaults(uint64(k), fault)
					}
					before := len(sim.State.TxnOutcomes())
					for _, j := range jobs {
						sim.Submit(j, 0)
					}
					// A machine was up within two seconds, is not listed yet, and a launch
					// is on its way into the service or its answer on its way back.
					for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(5 * time.Millisecond) {
						under := sim.State.UnansweredWrites(host, store.ProgressPrefix) > 0
						for _, f := range sim.State.TxnOutcomes()[before:] {
							under = under || time.Since(f.Sent) < time.Second
						}
						if age, boot := sim.NewestMachine(); boot > 0 && boot < 2*time.Second && age < sim.Settings.Cloud.ListLag.Duration() && under {
							met++
							break
						}
					}
					time.Sleep(time.Duration(k*120) * time.Millisecond)
					sim.KillController(l)
					time.Sleep(7 * time.Second)
					sim.State.InjectTxnFaults(0)
					sim.State.DelayAnswers(host, 0)
					startControllers(t, sim, l)
					time.Sleep(8 * time.Second)
				}
				if met == 0 {
					t.Error("the leader never ended while a new machine was up and a launch under way")
				}
				endFaultsAndWait(sim, 75*time.Second)
				mustFinish(t, sim, near, a, array(4, 10, 9), array(5, 16, 8))
				mustRun(t, sim, s, "afterwards")
			})
		})
	}
}

// The largest job that users may submit: its progress stays within the
// limits of the key-value store, across a change of leader.
func TestLargestJobAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	runScenario(t, 17, func(sim *simulator.Simulation, at func(time.Duration)) {
		big, small := array(1, wire.MaxTasks, 3), array(2, 4, 5)
		big.Spec.CPUs, big.Spec.MemoryGB = 0.5, 1
		at(2 * time.Second)
		sim.Submit(big, 0)
		at(40 * time.Second)
		sim.KillController(sim.Leader())
		at(50 * time.Second)
		sim.Submit(small, 0)
		at(90 * time.Second)
		mustFinish(t, sim, small)
		status, raw, _ := sim.Ask(sim.Leader(), "GET", "/v1/jobs/req-000001", nil)
		var s wire.JobState
		if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.StatusRunning || s.Done < 500 {
			t.Errorf("%d %+v", status, s)
		}
	})
}

// All teams' work after several kinds of faults one after the other: whatever
// was accepted and not cancelled is answered by every node, and done or running.
func TestAllJobsFinishAfterManyFaults(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 67, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		rng := rand.New(rand.NewPCG(67, 4))
		var all []simulator.JobScript
		n := 0
		submit := func() {
			for range 3 {
				n++
				j := array(n, 1+rng.IntN(4), float64(5+rng.IntN(40)))
				switch n % 4 {
				case 1:
					j.Spec.Team, j.Spec.Priority, j.Spec.Class = "blue", wire.PriorityUrgent, "check"
				case 2:
					j.Spec.SameZone, j.Spec.Class = true, "near"
				case 3:
					j.Spec.SpotAllowed, j.Spec.Priority, j.Spec.Class = false, wire.PriorityBestEffort, "low"
				}
				cancel := time.Duration(0)
				if rng.IntN(4) == 0 {
					cancel = time.Duration(5+rng.IntN(20)) * time.Second
				} else {
					all = append(all, j)
				}
				sim.Submit(j, cancel)
			}
		}
		at(2 * time.Second)
		s := service(900, 4)
		sim.Submit(s, 0)
		submit()
		at(35 * time.Second)
		// Handed over while the cloud is away.
		sim.CloudOutage(true)
		submit()
		l := sim.Leader()
		sim.IsolateController(l, simulator.CutRefused, true)
		awaitOtherLeader(t, sim, l, 10*time.Second)
		submit()
		time.Sleep(10 * time.Second)
		sim.IsolateController(l, simulator.CutRefused, false)
		sim.CloudOutage(false)
		// A zone is cut off, and all outside it end for longer than a lease.
		time.Sleep(10 * time.Second)
		submit()
		sim.IsolateZone("b", true)
		time.Sleep(2 * time.Second)
		sim.KillController(0)
		sim.KillController(2)
		time.Sleep(sim.Settings.Workers.Lease.Duration() + 6*time.Second)
		startControllers(t, sim, 2)
		submit()
		time.Sleep(4 * time.Second)
		sim.IsolateZone("b", false)
		startControllers(t, sim, 0)
		time.Sleep(10 * time.Second)
		// All end in an outage, and come back one by one.
		submit()
		sim.State.Outage(true)
		time.Sleep(3 * time.Second)
		killAll(sim)
		time.Sleep(time.Second)
		startControllers(t, sim, 1)
		sim.State.Outage(false)
		submit()
		time.Sleep(5 * time.Second)
		startControllers(t, sim, 0, 2)
		mustRecover(t, sim, 3, append(all, s)...)
	})
}
