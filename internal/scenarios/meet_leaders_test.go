package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Meetings of two troubles of which one is a change of leader. Each brings its
// meeting about by itself and checks that both troubles really were there at
// once.

// layout plays a day on a layout of zones and controllers.
type layout = func(*testing.T, uint64, func(*simulator.World, func(time.Duration)))

// until waits for something to come true, looking every few milliseconds.
func until(t *testing.T, most time.Duration, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Since(begin) > most {
			t.Fatalf("%s: not within %v", what, most)
		}
	}
}

// another waits until some other node than this one leads.
func another(t *testing.T, w *simulator.World, than int, most time.Duration) int {
	t.Helper()
	until(t, most, "another leader", func() bool { l := w.Leader(); return l >= 0 && l != than })
	return w.Leader()
}

// up starts nodes.
func up(t *testing.T, w *simulator.World, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		if err := w.Up(i); err != nil {
			t.Error(err)
		}
	}
}

// cancelsAt asks a node to cancel a job, again and again until it is confirmed,
// and tells when it was.
func cancelsAt(t *testing.T, w *simulator.World, i int, j simulator.Truth) time.Time {
	t.Helper()
	id := j.Spec.ID
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		if status, ok := askCancel(w, i, id); ok {
			if status != wire.Cancelled {
				t.Errorf("%s is called %s when its user cancels it", id, status)
			}
			return time.Now()
		}
	}
	t.Fatalf("%s can't be cancelled at node %d", id, i)
	return time.Time{}
}

// polls has users ask one node about jobs, once a second, until the stop: what
// it answers is checked against what any node has told before.
func polls(w *simulator.World, i int, jobs ...simulator.Truth) (answered *int, stop func()) {
	n, done := 0, make(chan struct{})
	for _, j := range jobs {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
				status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
				var s wire.JobState
				if status == 404 || status == 200 && wire.Decode(raw, &s) == nil {
					w.Checked(func(c *simulator.Checker) { n++; c.Polled(j.Spec.ID, status, s.Status, time.Now()) })
				}
			}
		}()
	}
	return &n, func() { close(done) }
}

// leads tells whether a node itself says that it leads.
func leads(t *testing.T, w *simulator.World, i int) bool {
	t.Helper()
	var v admin.View
	status, raw, _ := w.Operate(i, "GET", "/admin/view", nil)
	if status != 200 || wire.Decode(raw, &v) != nil {
		t.Fatalf("view of node %d: %d", i, status)
	}
	return v.Leads
}

// endOfDay checks, once all troubles are over, that every accepted job which
// nobody cancelled is answered by every node within 75 s and runs or is done
// within 90 s, and that all of them, and those named, come to their end.
func endOfDay(t *testing.T, w *simulator.World, size int, all ...simulator.Truth) {
	t.Helper()
	calm := time.Now()
	var owed []wire.JobID
	w.Checked(func(c *simulator.Checker) { c.Calm(calm); owed = c.Owed() })
	for i := range size {
		for _, id := range owed {
			until(t, 75*time.Second-time.Since(calm), fmt.Sprintf("node %d answers about %s", i, id), func() bool {
				status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
				var s wire.JobState
				if status != 200 || wire.Decode(raw, &s) != nil {
					time.Sleep(time.Second)
					return false
				}
				w.Checked(func(c *simulator.Checker) { c.Polled(id, status, s.Status, time.Now()) })
				return true
			})
		}
	}
	time.Sleep(time.Until(calm.Add(90 * time.Second)))
	w.Checked(func(c *simulator.Checker) {
		for _, id := range c.Owed() {
			if !c.Complete(id) && c.On(id) == 0 {
				t.Errorf("%s neither runs nor is done 90 s after the troubles", id)
			}
		}
	})
	for until := time.Now().Add(100 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		left := 0
		w.Checked(func(c *simulator.Checker) {
			for _, j := range all {
				if !j.Spec.Service() && !c.Complete(j.Spec.ID) {
					left++
				}
			}
		})
		if left == 0 {
			break
		}
	}
	time.Sleep(4 * time.Second)
	for _, j := range all {
		id := j.Spec.ID
		if j.Spec.Service() {
			mustRun(t, w, j, "at the end of the day")
			continue
		}
		mustFinish(t, w, j)
		for i := range size {
			status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
			var s wire.JobState
			if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.Done {
				t.Errorf("node %d answers %d %+v about %s, which is done", i, status, s, id)
			}
		}
	}
}

// The tasks of small jobs end far apart, with a change of leader between two
// ends, at different moments after the first: just as it ends, when its report
// is on its way, when it is being stored, and later. No task is lost, run twice,
// or called done early, and none that was done is started again.
func TestTasksEndAcrossAChangeOfLeader(t *testing.T) {
	type way struct {
		name   string
		afters [3]time.Duration // since an end
		change func(t *testing.T, w *simulator.World, l int, end func())
	}
	for k, c := range []way{
		{"killed", [3]time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond}, func(t *testing.T, w *simulator.World, l int, end func()) {
			w.Kill(l)
			another(t, w, l, 10*time.Second)
			end()
			up(t, w, l)
		}},
		{"back at once", [3]time.Duration{4 * time.Millisecond, 0, 3 * time.Second}, func(t *testing.T, w *simulator.World, l int, end func()) {
			old := w.LeadStamp()
			w.Kill(l)
			time.Sleep(200 * time.Millisecond)
			up(t, w, l)
			until(t, 10*time.Second, "a new term", func() bool { o := w.LeadStamp(); return o > old })
			end()
		}},
		{"refused by the state service", [3]time.Duration{400 * time.Millisecond, 4 * time.Millisecond, 0}, func(t *testing.T, w *simulator.World, l int, end func()) {
			w.State.Refuse(simulator.NodeIP(l), true)
			another(t, w, l, 10*time.Second)
			end()
			time.Sleep(5 * time.Second)
			w.State.Refuse(simulator.NodeIP(l), false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			playAs(t, sized(3), 60+uint64(k), func(w *simulator.World, at func(time.Duration)) {
				two, three := array(1, 2, 0), array(2, 3, 0)
				two.EachS, three.EachS = []float64{14, 75}, []float64{16, 48, 80}
				at(2 * time.Second)
				w.Submit(two, 0)
				w.Submit(three, 0)
				ended := func() (n int) {
					w.Checked(func(c *simulator.Checker) { n = c.Completed(two.Spec.ID) + c.Completed(three.Spec.ID) })
					return n
				}
				// Three of the five ends are met by a change each.
				for n := 1; n <= 3; n++ {
					until(t, 80*time.Second, "an end", func() bool { return ended() >= n })
					time.Sleep(c.afters[n-1])
					c.change(t, w, w.Leader(), func() {
						if k := ended(); k != n && !(n == 1 && k == 2) {
							t.Errorf("%d tasks had ended when the next one led, not %d", k, n)
						}
					})
					if ended() == 5 {
						t.Error("all tasks had ended before the change was over")
					}
					time.Sleep(time.Second)
				}
				endOfDay(t, w, 3, two, three)
				w.Checked(func(c *simulator.Checker) {
					if c.Again() != 0 {
						t.Errorf("%d tasks were started again", c.Again())
					}
				})
			})
		})
	}
}

// All controllers are away for longer than a lease, one or all come back, and
// jobs were cancelled just before and are cancelled as soon as one is back: what
// ran has ended everywhere, is started again once, and the cancelled are not.
func TestAllControllersAwayBeyondTheLease(t *testing.T) {
	for first, run := range map[int]layout{0: play, 1: playOdd, 3: play} { // how many are back first; 0: the last leader
		t.Run(fmt.Sprint("first back ", first), func(t *testing.T) {
			run(t, 61, func(w *simulator.World, at func(time.Duration)) {
				s, a, b := service(1, 4), array(2, 8, 40), array(3, 3, 30)
				gone, late := service(4, 3), array(5, 4, 100)
				at(2 * time.Second)
				for _, j := range []simulator.Truth{s, a, gone, late} {
					w.Submit(j, 0)
				}
				at(45 * time.Second)
				mustRun(t, w, s, "before")
				w.Submit(b, 0)
				time.Sleep(100 * time.Millisecond)
				l := w.Leader()
				confirmed := cancelsAt(t, w, (l+1)%3, gone)
				for i := range 3 {
					w.Kill(i)
				}
				if time.Since(confirmed) > 20*time.Millisecond {
					t.Errorf("cancelled %v before the end of all", time.Since(confirmed))
				}
				away := time.Now()
				time.Sleep(w.Set.Workers.LeaseS.Duration() + 5*time.Second)
				w.Checked(func(c *simulator.Checker) {
					for _, j := range []simulator.Truth{s, a, gone, late} {
						if c.On(j.Spec.ID) != 0 {
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
				up(t, w, back...)
				cancelsAt(t, w, back[0], late)
				time.Sleep(10 * time.Second)
				up(t, w, 0, 1, 2)
				endOfDay(t, w, 3, s, a, b)
				w.Checked(func(c *simulator.Checker) {
					if n := c.On(gone.Spec.ID) + c.On(late.Spec.ID); n != 0 {
						t.Errorf("%d tasks of cancelled jobs", n)
					}
				})
			})
		})
	}
}

// A zone with workers and a controller is cut off for longer than a lease. Jobs
// that may run in that zone only are cancelled just before, early and late in the
// cut; one is submitted and cancelled in it; others wait for its end. With the
// cloud away nobody but those behind the cut can end what runs there.
func TestOneZoneJobsBehindACut(t *testing.T) {
	for _, inside := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader inside %v", inside), func(t *testing.T) {
			playOdd(t, 62, func(w *simulator.World, at func(time.Duration)) {
				z := wire.Zone("b") // node 1
				in := func(j simulator.Truth) simulator.Truth { j.Spec.Zone = z; return j }
				stays, same := in(array(1, 4, 120)), array(2, 3, 60)
				same.Spec.SameZone = true
				whole := func(j simulator.Truth) simulator.Truth { j.Spec.Spread = false; return in(j) }
				before, early, late, unborn := whole(service(3, 2)), whole(service(4, 2)), whole(service(5, 2)), whole(service(6, 2))
				free := array(7, 6, 30)
				at(2 * time.Second)
				if leaderIn(t, w, "a"); inside {
					leaderIn(t, w, z)
				}
				for _, j := range []simulator.Truth{stays, same, before, early, late} {
					w.Submit(j, 0)
				}
				time.Sleep(40 * time.Second)
				w.Submit(free, 0)
				time.Sleep(5 * time.Second)
				cancelsAt(t, w, 0, before)
				cut := time.Now()
				w.CloudOutage(true)
				w.CutZone(z, true)
				w.Checked(func(c *simulator.Checker) {
					if c.On(early.Spec.ID) != 2 || c.On(late.Spec.ID) != 2 || c.On(stays.Spec.ID) == 0 {
						t.Error("not all that should runs in the zone when it is cut off")
					}
				})
				time.Sleep(3 * time.Second)
				cancelsAt(t, w, 0, early)
				w.Submit(unborn, 0)
				time.Sleep(15 * time.Second)
				cancelsAt(t, w, 0, unborn)
				confirmed := cancelsAt(t, w, 0, late)
				if time.Since(cut) > w.Set.Workers.LeaseS.Duration() || !confirmed.After(cut) {
					t.Errorf("cancelled %v after the cut", confirmed.Sub(cut))
				}
				time.Sleep(50 * time.Second)
				if time.Since(cut) < w.Set.Workers.LeaseS.Duration()*2 {
					t.Error("the cut was too short")
				}
				w.CutZone(z, false)
				time.Sleep(2 * time.Second)
				w.CloudOutage(false)
				endOfDay(t, w, 3, stays, same, free)
			})
		})
	}
}

// The office is handed over and back, all controllers end, and one returns
// within a second, is ended in the middle of its election (its key is written,
// nothing is read yet), and another one returns.
func TestHandedOverAllEndOneReturns(t *testing.T) {
	for k, back := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 950 * time.Millisecond, 3 * time.Second} {
		same := k%2 == 0
		t.Run(fmt.Sprintf("back after %v, the same one %v", back, same), func(t *testing.T) {
			playAs(t, simulator.DefaultSettings(), 63, func(w *simulator.World, at func(time.Duration)) {
				s, a, b := service(1, 4), array(2, 6, 50), array(3, 4, 20)
				gone, fresh := array(4, 4, 200), array(5, 4, 200)
				at(2 * time.Second)
				for _, j := range []simulator.Truth{s, a, gone, fresh} {
					w.Submit(j, 0)
				}
				at(40 * time.Second)
				one := w.Leader()
				w.State.Refuse(simulator.NodeIP(one), true)
				two := another(t, w, one, 10*time.Second)
				w.State.Refuse(simulator.NodeIP(one), false)
				time.Sleep(500 * time.Millisecond)
				third := 3 - one - two
				w.Kill(third) // so that it goes back
				w.State.Refuse(simulator.NodeIP(two), true)
				if another(t, w, two, 10*time.Second) != one {
					t.Fatal("not handed back")
				}
				w.State.Refuse(simulator.NodeIP(two), false)
				w.Submit(b, 0)
				time.Sleep(150 * time.Millisecond)
				cancelsAt(t, w, two, gone)
				w.Kill(one)
				w.Kill(two)
				old := w.LeadStamp()
				time.Sleep(back)
				i, k := one, two
				if !same {
					i, k = two, one
				}
				up(t, w, i)
				until(t, 8*time.Second, "an election", func() bool { return w.LeadStamp() > old })
				old = w.LeadStamp()
				w.Kill(i) // it has taken the office just now
				if w.Leader() != i {
					t.Errorf("node %d leads, not %d", w.Leader(), i)
				}
				time.Sleep(back)
				up(t, w, k)
				// Cancelled while nobody leads: the grant of the one that ended is not over.
				cancelsAt(t, w, k, fresh)
				if back < time.Second && w.LeadStamp() != old {
					t.Error("cancelled after the election, not in it")
				}
				until(t, 8*time.Second, "the last election", func() bool { return w.LeadStamp() > old })
				time.Sleep(time.Second)
				up(t, w, 0, 1, 2)
				endOfDay(t, w, 3, s, a, b)
				w.Checked(func(c *simulator.Checker) {
					if c.On(s.Spec.ID) != 4 || c.On(gone.Spec.ID)+c.On(fresh.Spec.ID) != 0 {
						t.Errorf("%d of 4 replicas, %d and %d tasks of cancelled jobs", c.On(s.Spec.ID), c.On(gone.Spec.ID), c.On(fresh.Spec.ID))
					}
				})
			})
		})
	}
}

// The leader changes ten times in two minutes, every other time inside an outage
// of the state service, with submissions and cancellations all the while.
func TestTenLeadersInTwoMinutes(t *testing.T) {
	play(t, 64, func(w *simulator.World, at func(time.Duration)) {
		s := service(1, 4)
		all := []simulator.Truth{s}
		at(2 * time.Second)
		w.Submit(s, 0)
		at(35 * time.Second)
		begin := time.Now()
		inOutage := 0
		for n := range 10 {
			j, gone := array(10+n, 1+n%3, float64(10+5*n)), array(30+n, 2, 100)
			all = append(all, j)
			w.Submit(j, 0)
			w.Submit(gone, 0)
			time.Sleep(700 * time.Millisecond)
			l := w.Leader()
			if n%2 == 0 {
				w.Kill(l)
				cancelsAt(t, w, (l+1)%3, gone)
				another(t, w, l, 8*time.Second)
				up(t, w, l)
				time.Sleep(2 * time.Second)
				continue
			}
			w.State.Outage(true)
			time.Sleep(1500 * time.Millisecond)
			if w.Leader() == l && w.State.Out() {
				inOutage++
			}
			w.Kill(l)
			time.Sleep(2 * time.Second)
			w.State.Outage(false)
			cancelsAt(t, w, (l+1)%3, gone)
			another(t, w, l, 8*time.Second)
			up(t, w, l)
			time.Sleep(time.Second)
		}
		if took := time.Since(begin); took > 2*time.Minute || inOutage != 5 {
			t.Errorf("ten changes took %v, %d of them in an outage", took, inOutage)
		}
		endOfDay(t, w, 3, all...)
	})
}

// A leader is cut from the state service and the other controllers while workers
// and users still reach it, and jobs are cancelled through the next one. In the
// worst case workers reach the old one only and the cloud is away, so that
// nothing but its silence ends their tasks. Users at the old one get no older
// answer than the new one's.
func TestLeaderCutWhileJobsAreCancelled(t *testing.T) {
	for _, mode := range simulator.CutModes {
		for _, only := range []bool{true, false} {
			if !only && mode != simulator.CutRefused {
				continue
			}
			t.Run(fmt.Sprintf("%s, workers reach the old one only %v", mode, only), func(t *testing.T) {
				playAs(t, sized(3), 65, func(w *simulator.World, at func(time.Duration)) {
					s, a := service(1, 4), array(2, 4, 60)
					gone, late := service(3, 4), array(4, 4, 300)
					at(2 * time.Second)
					for _, j := range []simulator.Truth{s, a, gone, late} {
						w.Submit(j, 0)
					}
					at(45 * time.Second)
					l := w.Leader()
					fresh := array(5, 3, 20)
					answered, stop := polls(w, l, s, a, gone, late, fresh)
					defer stop()
					behind := map[string]bool{}
					for _, id := range append(w.Holds(gone.Spec.ID), w.Holds(late.Spec.ID)...) {
						behind[w.IP(id)] = true
					}
					split := func(on bool) {
						w.CutNode(l, mode, on)
						for ip := range behind {
							for i := range 3 {
								if only && i != l {
									w.Net.Cut(simulator.NodeIP(i), ip, on)
								}
							}
						}
					}
					w.CloudOutage(only)
					begin := time.Now()
					split(true)
					next := another(t, w, l, 10*time.Second)
					was := *answered
					w.Submit(fresh, 0) // by any node; those that can't will refuse
					if got := cancelsAt(t, w, next, gone); got.Sub(begin) > 8*time.Second {
						t.Errorf("cancelled only %v after the cut", got.Sub(begin))
					}
					w.Checked(func(c *simulator.Checker) {
						if !only && c.On(late.Spec.ID) == 0 || only && c.On(gone.Spec.ID) == 0 {
							t.Error("nothing of the cancelled jobs runs any more when they are cancelled")
						}
					})
					time.Sleep(4 * time.Second)
					cancelsAt(t, w, next, late)
					if leads(t, w, l) {
						t.Errorf("the old leader thinks that it leads %v after the cut", time.Since(begin))
					}
					if status, _, _ := w.Ask(l, "GET", "/ready", nil); status != 503 {
						t.Errorf("/ready of the old leader answers %d", status)
					}
					for i := range 3 {
						if i != l && !w.Net.NodeCut(simulator.NodeIP(l), simulator.NodeIP(i)) {
							t.Error("the cut is over too early")
						}
					}
					if l == w.Leader() {
						t.Error("the old leader leads")
					}
					time.Sleep(45 * time.Second)
					if only {
						w.Checked(func(c *simulator.Checker) {
							if n := c.On(gone.Spec.ID) + c.On(late.Spec.ID); n != 0 {
								t.Errorf("%d tasks of cancelled jobs behind the old leader", n)
							}
						})
					}
					split(false)
					w.CloudOutage(false)
					time.Sleep(5 * time.Second)
					if *answered == was {
						t.Error("the old leader has answered no user after the cut")
					}
					endOfDay(t, w, 3, s, a, fresh)
				})
			})
		}
	}
}

// Jobs are cancelled in the seconds in which the work of one controller changes
// hands, whether it is ended, resigns or is refused by the state service: before
// the election, in it, and just after it, always confirmed by another node. Some
// of them run, some are just being started.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	type way struct {
		name      string
		run       layout
		vacant    bool // the cancellation waits for the end of the old one's grant
		lose, end func(t *testing.T, w *simulator.World, l int)
	}
	workers := func(on bool) func(t *testing.T, w *simulator.World, l int) {
		return func(t *testing.T, w *simulator.World, l int) {
			for i := 1; i <= 100; i++ {
				w.Net.Cut(simulator.NodeIP(l), fmt.Sprintf("10.1.0.%d", i), on)
			}
		}
	}
	refuse := func(on bool) func(t *testing.T, w *simulator.World, l int) {
		return func(t *testing.T, w *simulator.World, l int) { w.State.Refuse(simulator.NodeIP(l), on) }
	}
	for _, c := range []way{
		{"killed", play, false, func(t *testing.T, w *simulator.World, l int) { w.Kill(l) }, func(t *testing.T, w *simulator.World, l int) { up(t, w, l) }},
		{"resigns", playOdd, true, workers(true), workers(false)},
		{"refused", play, true, refuse(true), refuse(false)},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.run(t, 66, func(w *simulator.World, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 10, 50)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				for round := range 3 {
					at(time.Duration(40+50*round) * time.Second)
					var ran, begins [3]simulator.Truth
					for k := range 3 {
						ran[k], begins[k] = array(100*round+10+k, 2, 200), array(100*round+20+k, 2, 200)
						w.Submit(ran[k], 0)
					}
					at(time.Duration(55+50*round) * time.Second)
					l := w.Leader()
					for _, j := range begins {
						w.Submit(j, 0)
					}
					time.Sleep(time.Duration(round*40) * time.Millisecond) // accepted, or just being started
					by := (l + 1 + round%2) % 3
					cancelsAt(t, w, by, ran[0])
					cancelsAt(t, w, by, begins[0])
					if w.Leader() != l {
						t.Fatal("the leader changed too early")
					}
					c.lose(t, w, l)
					if c.vacant {
						until(t, 15*time.Second, "a vacancy", func() bool { return w.Leader() < 0 })
					} else {
						time.Sleep(time.Second)
					}
					since := time.Now()
					cancelsAt(t, w, by, ran[1])
					cancelsAt(t, w, by, begins[1])
					// The next one may have taken the office meanwhile, but has read nothing yet.
					if n := w.Leader(); n >= 0 && n != l && !c.vacant || time.Since(since) > 50*time.Millisecond {
						t.Errorf("elected before the cancellation, which took %v", time.Since(since))
					}
					another(t, w, l, 10*time.Second)
					cancelsAt(t, w, by, ran[2])
					cancelsAt(t, w, by, begins[2])
					time.Sleep(5 * time.Second)
					c.end(t, w, l)
					time.Sleep(15 * time.Second)
					w.Checked(func(c *simulator.Checker) {
						for k := range 3 {
							if n := c.On(ran[k].Spec.ID) + c.On(begins[k].Spec.ID); n != 0 {
								t.Errorf("round %d: %d tasks are left of what was cancelled %s the election", round, n, [3]string{"before", "in", "after"}[k])
							}
						}
					})
				}
				endOfDay(t, w, 3, s, a)
			})
		})
	}
}

// All teams' work after a day on which everything above has happened: whatever
// was accepted and not cancelled is answered by every node, and done or running.
func TestAllTeamsWorkAfterSuchDays(t *testing.T) {
	playBoth(t, 67, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		rng := rand.New(rand.NewPCG(67, 4))
		var all []simulator.Truth
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
				w.Submit(j, cancel)
			}
		}
		at(2 * time.Second)
		s := service(900, 4)
		w.Submit(s, 0)
		submit()
		at(35 * time.Second)
		// Handed over while the cloud is away.
		w.CloudOutage(true)
		submit()
		l := w.Leader()
		w.CutNode(l, simulator.CutRefused, true)
		another(t, w, l, 10*time.Second)
		submit()
		time.Sleep(10 * time.Second)
		w.CutNode(l, simulator.CutRefused, false)
		w.CloudOutage(false)
		// A zone is cut off, and all outside it end for longer than a lease.
		time.Sleep(10 * time.Second)
		submit()
		w.CutZone("b", true)
		time.Sleep(2 * time.Second)
		w.Kill(0)
		w.Kill(2)
		time.Sleep(w.Set.Workers.LeaseS.Duration() + 6*time.Second)
		up(t, w, 2)
		submit()
		time.Sleep(4 * time.Second)
		w.CutZone("b", false)
		up(t, w, 0)
		time.Sleep(10 * time.Second)
		// All end in an outage, and come back one by one.
		submit()
		w.State.Outage(true)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			w.Kill(i)
		}
		time.Sleep(time.Second)
		up(t, w, 1)
		w.State.Outage(false)
		submit()
		time.Sleep(5 * time.Second)
		up(t, w, 0, 2)
		endOfDay(t, w, 3, append(all, s)...)
	})
}

// Seeded meetings: two troubles drawn at random that overlap, three times a day.
// WORLD_SEEDS asks for more of them.
func TestSeededMeetings(t *testing.T) {
	most, _ := strconv.Atoi(os.Getenv("WORLD_SEEDS"))
	for seed := range uint64(max(2, most)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			playBoth(t, 700+seed, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				seconds := within(rng)
				s, all := service(900, 4), []simulator.Truth{}
				n := 0
				submit := func() simulator.Truth {
					n++
					j := array(n, 1+rng.IntN(8), float64(5+rng.IntN(40)))
					if rng.IntN(4) == 0 {
						j.Spec.SameZone = true
					}
					cancel := mayCancel(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					w.Submit(j, cancel)
					return j
				}
				some := func() (id wire.MachineID, ip string) {
					id, ip, _ = w.Some(func(n int) bool { return n > 0 })
					return id, ip
				}
				// Each begins a trouble and returns what ends it.
				troubles := []func() func(){
					func() func() { // a node ends, and is back at once or later
						i := rng.IntN(3)
						if l := w.Leader(); l >= 0 && rng.IntN(2) == 0 {
							i = l
						}
						w.Kill(i)
						return func() { up(t, w, i) }
					},
					func() func() { // all end
						for i := range 3 {
							w.Kill(i)
						}
						return func() { up(t, w, 0, 1, 2) }
					},
					func() func() { // the leader is back at once
						l := (w.Leader() + 3) % 3
						w.Kill(l)
						time.Sleep(time.Duration(50+rng.IntN(900)) * time.Millisecond)
						up(t, w, l)
						return func() {}
					},
					func() func() { // the state service refuses one node
						i := (w.Leader() + 3 + rng.IntN(2)) % 3
						w.State.Refuse(simulator.NodeIP(i), true)
						return func() { w.State.Refuse(simulator.NodeIP(i), false) }
					},
					func() func() { // the leader is cut from state service and peers
						l, mode := (w.Leader()+3)%3, simulator.CutModes[rng.IntN(3)]
						w.CutNode(l, mode, true)
						return func() { w.CutNode(l, mode, false) }
					},
					func() func() { w.State.Outage(true); return func() { w.State.Outage(false) } },
					func() func() {
						z := []wire.Zone{"a", "b"}[rng.IntN(2)]
						w.CutZone(z, true)
						return func() { w.CutZone(z, false) }
					},
					func() func() { // a machine is deaf
						_, ip := some()
						w.Net.Deafen(ip, true)
						return func() { w.Net.Deafen(ip, false) }
					},
					func() func() { w.Take(2, func(_ bool, n int) bool { return n > 0 }); return func() {} },
					func() func() { w.CloudOutage(true); return func() { w.CloudOutage(false) } },
					func() func() { w.State.LoseAnswers(1 + rng.IntN(4)); return func() {} },
					func() func() { // late copies
						id, _ := some()
						w.Copy(id, seconds(10), seconds(20), seconds(40))
						return func() {}
					},
					func() func() { // a burst, half of it cancelled
						for range 4 {
							n++
							j := array(n, 2, 100)
							w.Submit(j, time.Second+seconds(15))
						}
						return func() {}
					},
				}
				at(2 * time.Second)
				w.Submit(s, 0)
				for range 3 {
					for range 4 {
						submit()
						time.Sleep(3*time.Second + seconds(5))
					}
					x := rng.IntN(len(troubles))
					y := (x + 1 + rng.IntN(len(troubles)-1)) % len(troubles)
					endX := troubles[x]()
					submit()
					time.Sleep(seconds(1 + 9*rng.IntN(2))) // sometimes close, sometimes seconds apart
					endY := troubles[y]()
					submit()
					time.Sleep(seconds(1 + 29*rng.IntN(2)))
					first, second := endX, endY
					if rng.IntN(2) == 0 {
						first, second = endY, endX
					}
					first()
					time.Sleep(seconds(1 + 14*rng.IntN(2)))
					second()
				}
				endOfDay(t, w, 3, append(all, s)...)
			})
		})
	}
}

// The controller of a zone that is cut off has stood in for the leader there, and
// ends and is back at once just as the cut is over: its new life does not know
// what its last one answered. The leases that it gave are waited for all the same.
func TestStandInEndsAsItsCutEnds(t *testing.T) {
	// With elected the leader is another one than before the cut.
	for elected, cut := range map[bool]time.Duration{false: 21 * time.Second, true: 28 * time.Second} {
		t.Run(fmt.Sprintf("cut for %v, another leader %v", cut, elected), func(t *testing.T) {
			playAs(t, sized(3), 68, func(w *simulator.World, at func(time.Duration)) {
				a, s, room := array(1, 14, 120), service(2, 4), array(3, 6, 300)
				room.Spec.Zone = "a"
				at(2 * time.Second)
				leaderIn(t, w, "a")
				w.Submit(a, 0)
				w.Submit(s, 0)
				w.Submit(room, 0)
				time.Sleep(60 * time.Second)
				l := w.Leader()
				w.CutZone("b", true)
				w.CloudOutage(true) // nothing is returned
				if elected {
					w.Kill(l)
					another(t, w, l, 10*time.Second)
					up(t, w, l)
				}
				time.Sleep(cut - 300*time.Millisecond)
				there := 0
				w.Checked(func(c *simulator.Checker) { there = c.InZones(a.Spec.ID)["b"] })
				if there == 0 {
					t.Error("nothing runs behind the cut")
				}
				cancelsAt(t, w, w.Leader(), room) // now there is room to start it elsewhere
				w.Kill(1)
				time.Sleep(200 * time.Millisecond)
				up(t, w, 1)
				time.Sleep(100 * time.Millisecond)
				// Machines take some seconds longer to be heard than controllers.
				var silent []string
				for _, id := range append(w.Holds(a.Spec.ID), w.Holds(s.Spec.ID)...) {
					if w.Zone(id) == "b" {
						silent = append(silent, w.IP(id))
					}
				}
				hold := func(on bool) {
					for _, ip := range silent {
						for i := range 3 {
							w.Net.Cut(simulator.NodeIP(i), ip, on)
						}
					}
				}
				hold(true)
				w.CutZone("b", false)
				time.Sleep(2500 * time.Millisecond)
				hold(false)
				time.Sleep(8 * time.Second)
				w.CloudOutage(false)
				endOfDay(t, w, 3, a, s)
			})
		})
	}
}

// The state service goes out in the middle of an election, for longer than the
// time for cancellations: the new leader holds the office, and has not read what
// was cancelled while nobody led. It must not keep alive what it knows nothing of.
func TestOutageInTheElectionAfterACancellation(t *testing.T) {
	for _, c := range []struct {
		name string
		run  layout
		back bool // the last leader is back at once and takes the office again
	}{{"another leads", play, false}, {"the same one is back", playOdd, true}} {
		t.Run(c.name, func(t *testing.T) {
			c.run(t, 69, func(w *simulator.World, at func(time.Duration)) {
				s, gone, a := service(1, 4), service(2, 4), array(3, 6, 60)
				at(2 * time.Second)
				for _, j := range []simulator.Truth{s, gone, a} {
					w.Submit(j, 0)
				}
				at(45 * time.Second)
				l, old := w.Leader(), w.LeadStamp()
				w.Kill(l)
				confirmed := cancelsAt(t, w, (l+1)%3, gone)
				if c.back {
					up(t, w, l)
				}
				until(t, 10*time.Second, "an election", func() bool { return w.LeadStamp() > old })
				w.State.Outage(true)
				if n := w.Leader(); n < 0 || (n == l) != c.back {
					t.Errorf("node %d leads", n)
				}
				if !c.back {
					up(t, w, l)
				}
				w.Checked(func(c *simulator.Checker) {
					if c.On(gone.Spec.ID) != 4 {
						t.Error("the cancelled job was stopped before the outage")
					}
				})
				time.Sleep(time.Until(confirmed.Add(w.Set.Workers.CancelS.Duration() + 10*time.Second)))
				w.Checked(func(c *simulator.Checker) {
					if n := c.On(gone.Spec.ID); n != 0 {
						t.Errorf("%d tasks of the cancelled job", n)
					}
				})
				w.State.Outage(false)
				endOfDay(t, w, 3, s, a)
			})
		})
	}
}

// Jobs are cancelled while they are being started and the leader's watch lags: it
// finds out by a write that fails, closes them, and only then hears of them from
// the watch. That must not cost it the office.
func TestCancellationsHeardTwice(t *testing.T) {
	play(t, 70, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 10, 60)
		a.Spec.CPUs = 1.5 // with room beside them
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(45 * time.Second)
		l, old := w.Leader(), w.LeadStamp()
		w.State.LagWatches(300 * time.Millisecond)
		for n := range 8 {
			gone := array(10+n, 2, 100)
			gone.Spec.CPUs, gone.Spec.MemoryGB = 0.1, 0.1
			w.Submit(gone, 0)
			time.Sleep(time.Duration(100+40*n) * time.Millisecond)
			cancelsAt(t, w, (l+1)%3, gone)
			time.Sleep(1500 * time.Millisecond)
			if keys := w.State.Keys("job/" + string(gone.Spec.ID)); len(keys) != 0 {
				t.Errorf("%s is not closed", gone.Spec.ID)
			}
		}
		if w.LeadStamp() != old {
			t.Errorf("the office has changed hands: node %d leads, was %d", w.Leader(), l)
		}
		w.State.LagWatches(0)
		endOfDay(t, w, 3, s, a)
	})
}
