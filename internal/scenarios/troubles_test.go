package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// sized is the default deployment with another number of controllers.
func sized(n int) config.Settings {
	s := simulator.DefaultSettings()
	s.Size = n
	return s
}

// leadersZone is the zone that the leader is in, or the other one of two.
func leadersZone(w *simulator.World, in bool) wire.Zone {
	if (w.Config(w.Leader()).Zone == "a") == in {
		return "a"
	}
	return "b"
}

// mustRun checks that all replicas of a service run.
func mustRun(t *testing.T, w *simulator.World, s simulator.Truth, when string) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
		if n := c.On(s.Spec.ID); n != s.Spec.Tasks {
			t.Errorf("%d of %d replicas %s", n, s.Spec.Tasks, when)
		}
	})
}

// A machine's reports arrive, but answers and commands don't reach it. It
// looks alive, so only what it does not do tells. Its replicas must be back
// elsewhere soon after its lease has ended them, what is cancelled there must
// be gone in time, and a job that comes meanwhile must not wait for it.
func TestDeafMachine(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		t.Run(fmt.Sprint("inherited ", inherited), func(t *testing.T) {
			playBoth(t, 30, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, gone, a := service(1, 4), service(2, 4), array(3, 6, 10)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(gone, 55*time.Second)
				at(45 * time.Second)
				on := w.Holds(s.Spec.ID)
				if len(on) == 0 {
					t.Fatal("no replica runs")
				}
				w.Net.Deafen(w.IP(on[0]), true)
				if inherited {
					// The next leader can never show its token to the machine.
					l := w.Leader()
					w.Kill(l)
					time.Sleep(5 * time.Second)
					w.Up(l)
				}
				at(52 * time.Second)
				w.Submit(a, 0)
				at(90 * time.Second)
				mustRun(t, w, s, "while a machine does not hear")
				mustFinish(t, w, a)
				at(130 * time.Second)
				w.Net.Deafen(w.IP(on[0]), false)
				at(200 * time.Second)
				mustRun(t, w, s, "afterwards")
			})
		})
	}
}

// Copies of reports come late, from seconds to more than a lease: of live
// machines, of machines that are gone, and as the first that a new leader
// hears of a machine. They must free nothing, bring nothing back, and not
// make a dead machine seem alive.
func TestLateCopiesOfReports(t *testing.T) {
	playAs(t, sized(5), 31, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 12, 30)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		var late []time.Duration
		for d := 2; d < 60; d += 3 {
			late = append(late, time.Duration(d)*time.Second)
		}
		copies := func() {
			for _, id := range append(w.Holds(s.Spec.ID), w.Holds(a.Spec.ID)...) {
				w.Copy(id, late...)
			}
		}
		at(40 * time.Second)
		copies()
		at(50 * time.Second)
		// A machine with replicas dies while copies of its reports come in.
		on := w.Holds(s.Spec.ID)
		if w.Take(1, func(_ bool, tasks int) bool { return tasks > 0 }) != 1 || len(on) == 0 {
			t.Fatal("nothing to take")
		}
		at(80 * time.Second)
		mustRun(t, w, s, "30 s after a machine's end")
		copies()
		l := w.Leader()
		w.Kill(l)
		w.Take(1, func(_ bool, tasks int) bool { return tasks > 0 })
		time.Sleep(300 * time.Millisecond)
		w.Up(l)
		at(115 * time.Second)
		mustRun(t, w, s, "35 s after the leader's and a machine's end")
		at(200 * time.Second)
		mustFinish(t, w, a)
	})
}

// A machine is back within a moment and counts from the start again. Its
// reports must not be taken for late copies for ever: what it ran is started
// elsewhere well before its lease or anybody's patience ends.
func TestMachineBackAtOnce(t *testing.T) {
	playBoth(t, 32, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 8, 60)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(45 * time.Second)
		on := w.Holds(s.Spec.ID)
		for _, id := range on {
			w.Copy(id, 3*time.Second, 9*time.Second, 20*time.Second)
			w.Rebirth(id)
		}
		at(50 * time.Second)
		for _, id := range on {
			if w.IP(id) != "" {
				t.Errorf("%s was not noticed within 5 s", id)
			}
		}
		at(75 * time.Second)
		mustRun(t, w, s, "after 30 s")
		at(200 * time.Second)
		mustFinish(t, w, a)
	})
}

// A leader loses the state service and the other controllers, not its
// workers: it must stop answering them, and they must find the next leader
// before their leases end.
func TestLeaderCutFromAllButItsWorkers(t *testing.T) {
	for _, size := range []int{5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playAs(t, sized(size), 33, func(w *simulator.World, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 12, 40)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				at(40 * time.Second)
				l := w.Leader()
				cut := func(on bool) {
					for i := range size {
						if i != l {
							w.Net.Cut(simulator.NodeIP(l), simulator.NodeIP(i), on)
						}
					}
					w.Net.Cut(simulator.NodeIP(l), "10.2.0.1", on)
				}
				cut(true)
				at(55 * time.Second)
				if n := w.Leader(); n == l || n < 0 {
					t.Errorf("leader is %d, was %d", n, l)
				}
				if status, _, _ := w.Ask(l, "GET", "/ready", nil); status != 503 {
					t.Errorf("/ready of a node that reaches neither state service nor peers answers %d", status)
				}
				at(70 * time.Second)
				w.Checked(func(c *simulator.Checker) {
					if c.On(s.Spec.ID) != 4 || c.Again() != 0 {
						t.Errorf("%d of 4 replicas, %d tasks started again", c.On(s.Spec.ID), c.Again())
					}
				})
				cut(false)
				at(160 * time.Second)
				mustFinish(t, w, a)
			})
		})
	}
}

// A zone is cut off with its controllers for longer than a lease. They stand in
// for the leader that they have lost, so its replicas go on; with two zones
// those of a service that is spread could be nowhere else. It must not matter
// whether the leader is in that zone.
func TestZoneCutOff(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("leader inside ", leads), func(t *testing.T) {
			playAs(t, sized(5), 37, func(w *simulator.World, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 12, 30)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				at(45 * time.Second)
				z := leadersZone(w, leads)
				w.CutZone(z, true)
				at(78 * time.Second)
				mustRun(t, w, s, "33 s after their zone was cut off")
				if l := w.Leader(); l < 0 || w.Config(l).Zone == z {
					t.Errorf("the leader is %d", l)
				}
				w.CutZone(z, false)
				at(95 * time.Second)
				mustRun(t, w, s, "when the zone is back")
				w.Checked(func(c *simulator.Checker) {
					if c.Again() != 0 {
						t.Errorf("%d tasks were started again", c.Again())
					}
				})
				at(200 * time.Second)
				mustFinish(t, w, a)
			})
		})
	}
}

// A job is cancelled just after its zone was cut off, for longer than the time
// for cancellations, while the cloud is away: nobody can stop its tasks, and
// those who stand in there don't know. They must stop answering in time.
func TestCancelledBehindACut(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("leader inside ", leads), func(t *testing.T) {
			playAs(t, sized(5), 38, func(w *simulator.World, at func(time.Duration)) {
				s, gone := service(1, 4), service(2, 6)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(gone, 44*time.Second)
				at(45 * time.Second)
				z := leadersZone(w, leads)
				w.CloudOutage(true)
				w.CutZone(z, true)
				at(115 * time.Second)
				w.Checked(func(c *simulator.Checker) {
					if n := c.On(gone.Spec.ID); n != 0 {
						t.Errorf("%d tasks of the cancelled job run behind the cut", n)
					}
				})
				w.CutZone(z, false)
				w.CloudOutage(false)
				at(160 * time.Second)
				mustRun(t, w, s, "when all is over")
			})
		})
	}
}

// The leader ends in an outage of the state service that outlasts a lease. The
// others stand in for it; before, every replica was lost.
func TestLeaderEndsInALongOutage(t *testing.T) {
	playAs(t, sized(5), 39, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 8, 50)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(40 * time.Second)
		w.State.Outage(true)
		at(44 * time.Second)
		l := w.Leader()
		w.Kill(l)
		at(50 * time.Second)
		w.Up(l)
		at(70 * time.Second)
		mustRun(t, w, s, "30 s into the outage")
		w.State.Outage(false)
		at(90 * time.Second)
		mustRun(t, w, s, "after the outage")
		w.Checked(func(c *simulator.Checker) {
			if c.Again() != 0 {
				t.Errorf("%d tasks were started again", c.Again())
			}
		})
		at(200 * time.Second)
		mustFinish(t, w, a)
	})
}

// All controllers end within a burst while the state service is just back; the
// first is up again within a moment, and all end once more in the middle of its
// election, while copies of old reports come in and submissions are repeated.
// The replicas must outlive it, and nothing may run twice or be forgotten.
func TestAllEndAgainInTheElection(t *testing.T) {
	playAs(t, sized(5), 40, func(w *simulator.World, at func(time.Duration)) {
		all := func(f func(i int)) {
			for i := range 5 {
				f(i)
			}
		}
		up := func(i int) {
			if err := w.Up(i); err != nil {
				t.Error(err)
			}
		}
		s, burst := service(1, 4), []simulator.Truth{}
		at(2 * time.Second)
		w.Submit(s, 0)
		at(40 * time.Second)
		for n := range 12 {
			burst = append(burst, array(10+n, 6, 20))
			w.Submit(burst[n], 0)
		}
		for _, id := range w.Holds(s.Spec.ID) {
			w.Copy(id, 3*time.Second, 8*time.Second, 12*time.Second, 25*time.Second)
		}
		w.State.Outage(true)
		at(46 * time.Second)
		w.State.Outage(false)
		all(w.Kill)
		at(46300 * time.Millisecond)
		up(0)
		at(47 * time.Second)
		up(1)
		at(49500 * time.Millisecond) // about when the last leader's grant ends
		all(w.Kill)
		at(49700 * time.Millisecond)
		all(up)
		at(58 * time.Second)
		if l := w.Leader(); l < 0 {
			t.Error("nobody leads 8 s after the last end")
		}
		for _, j := range burst {
			if status, _, _ := w.Ask(3, "POST", "/v1/jobs", simulator.Submission(j.Spec)); status != 200 && status != 201 && status != 503 {
				t.Errorf("repeated submission answered %d", status)
			}
		}
		at(70 * time.Second)
		mustRun(t, w, s, "after all that")
		w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
		at(240 * time.Second)
		mustFinish(t, w, burst...)
	})
}

// within draws times of up to so many seconds.
func within(rng *rand.Rand) func(seconds int) time.Duration {
	return func(most int) time.Duration { return time.Duration(rng.IntN(1000*most)) * time.Millisecond }
}

// mayCancel draws when a job is cancelled; 0: it is not.
func mayCancel(rng *rand.Rand) time.Duration {
	if rng.IntN(3) != 0 {
		return 0
	}
	return time.Second + within(rng)(40)
}

// Seeded cuts of a zone, from seconds to well over a lease and the time for
// cancellations, with the cloud or the state service away, leaders that end and
// jobs that are cancelled meanwhile. WORLD_SEEDS asks for more of them.
func TestSeededCuts(t *testing.T) {
	most, _ := strconv.Atoi(os.Getenv("WORLD_SEEDS"))
	for seed := range uint64(max(6, most)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			playAs(t, sized(5), 300+seed, func(w *simulator.World, at func(time.Duration)) {
				seconds := within(rng)
				s, all := service(1, 4), []simulator.Truth{}
				at(2 * time.Second)
				w.Submit(s, 0)
				for n := range 30 {
					j := array(10+n, 1+rng.IntN(8), float64(5+rng.IntN(30)))
					cancel := mayCancel(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					at(time.Duration(3+5*n)*time.Second + seconds(5))
					w.Submit(j, cancel)
					if n%10 != 7 {
						continue
					}
					z := []wire.Zone{"a", "b"}[rng.IntN(2)]
					w.CutZone(z, true)
					time.Sleep(seconds(6))
					cloud, state, leader := rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
					w.CloudOutage(cloud)
					w.State.Outage(state)
					if l := w.Leader(); leader && l >= 0 {
						w.Kill(l)
						time.Sleep(seconds(6))
						w.Up(l)
					}
					time.Sleep(seconds(20))
					w.State.Outage(false)
					time.Sleep(seconds(50))
					w.CutZone(z, false)
					time.Sleep(seconds(10))
					w.CloudOutage(false)
				}
				time.Sleep(150 * time.Second)
				mustFinish(t, w, all...)
				mustRun(t, w, s, "when all is over")
			})
		})
	}
}

// A user's connection is at a node that the state service refuses while it
// serves others: the node says so at once and leaves the load balancer's set.
func TestUserAtANodeThatCannotAnswer(t *testing.T) {
	playBoth(t, 34, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		a := array(1, 2, 100)
		at(2 * time.Second)
		w.Submit(a, 0)
		at(20 * time.Second)
		i := (w.Leader() + 1) % 3
		w.State.Refuse(simulator.NodeIP(i), true)
		at(24 * time.Second)
		begin := time.Now()
		status, _, h := w.Ask(i, "GET", "/v1/jobs/req-000001", nil)
		if status != http.StatusServiceUnavailable || h.Get("Retry-After") != "1" || time.Since(begin) > time.Second {
			t.Errorf("poll answered %d, %v, after %v", status, h, time.Since(begin))
		}
		if status, _, _ := w.Ask(i, "GET", "/ready", nil); status != 503 {
			t.Errorf("/ready answers %d", status)
		}
		at(40 * time.Second)
		w.State.Refuse(simulator.NodeIP(i), false)
		w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
		at(200 * time.Second)
		mustFinish(t, w, a)
	})
}

// Under a steady overload of small arrays a large one and one of the lowest
// priority must begin within four minutes all the same.
func TestLargestBeginsUnderOverload(t *testing.T) {
	playAs(t, sized(3), 35, func(w *simulator.World, at func(time.Duration)) {
		big, low := array(1, 90, 30), array(2, 4, 20)
		big.Spec.CPUs, big.Spec.MemoryGB, big.Spec.Class = 4, 16, "big"
		low.Spec.Priority, low.Spec.Class = wire.PriorityBestEffort, "low"
		at(2 * time.Second)
		for n := range 10 {
			w.Submit(array(100+n, 8, 20), 0)
		}
		at(5 * time.Second)
		w.Submit(big, 0)
		w.Submit(low, 0)
		for n := range 60 {
			at(time.Duration(6+5*n) * time.Second)
			w.Submit(array(200+n, 10, 30), 0)
		}
		at(310 * time.Second)
	})
}

// The largest array that the protocol allows is stored, run, polled and
// cancelled within the limits of the state service.
func TestHundredThousandTasks(t *testing.T) {
	play(t, 36, func(w *simulator.World, at func(time.Duration)) {
		j, s := array(1, wire.MaxTasks, 20), service(2, 3)
		j.Spec.ExpectedRunTime = 2
		at(2 * time.Second)
		w.Submit(j, 100*time.Second)
		w.Submit(s, 0)
		at(60 * time.Second)
		status, raw, _ := w.Ask(1, "GET", "/v1/jobs/req-000001", nil)
		var st wire.JobState
		if status != 200 || wire.Decode(raw, &st) != nil || st.Running == 0 {
			t.Errorf("poll answered %d %+v", status, st)
		}
		at(150 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			if n, r := c.On(j.Spec.ID), c.On(s.Spec.ID); n != 0 || r != 3 {
				t.Errorf("%d tasks of the cancelled array, %d of 3 replicas", n, r)
			}
		})
	})
}
