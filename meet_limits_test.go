package lilaclead_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/standin"
	"lilaclead/internal/wire"
)

// Meetings of troubles about limits, zones and room. Each test brings its meeting
// about by itself, checks that the troubles did meet, and plays all rules.

// meetSeeds is how many seeds each meeting is played with; WORLD_SEEDS asks for
// more of them.
func meetSeeds(n int) uint64 {
	most, _ := strconv.Atoi(os.Getenv("WORLD_SEEDS"))
	return uint64(max(n, most))
}

// limited is a deployment whose teams both have a limit that tests can reach.
func limited() config.Settings {
	s := sized(5)
	s.Teams = []config.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 16, CPUsMax: 16}}
	return s
}

// cancelNow cancels a job as its user, at whichever node answers, and notes that
// the user was told. It tells whether that was within the time.
func cancelNow(t *testing.T, w *standin.World, id wire.JobID, within time.Duration) bool {
	t.Helper()
	w.Checked(func(c *standin.Checker) { c.CancelAsked(id) })
	for begin, i := time.Now(), 0; time.Since(begin) < within; i++ {
		status, raw, _ := w.Ask(i%w.Set.Size, "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
		var b wire.JobBrief
		if status == 200 && wire.Decode(raw, &b) == nil {
			w.Checked(func(c *standin.Checker) { c.Told(id, b.Status, time.Now()) })
			return b.Status == wire.Cancelled
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// changeLeader ends the leader, waits until another leads, and has the old one
// back. It checks that the office did change hands.
func changeLeader(t *testing.T, w *standin.World) {
	t.Helper()
	l := w.Leader()
	if l < 0 {
		t.Fatal("nobody leads")
	}
	w.Kill(l)
	begin := time.Now()
	for n := w.Leader(); n == l || n < 0; n = w.Leader() {
		if time.Since(begin) > 15*time.Second {
			t.Fatal("nobody followed the leader within 15 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := w.Up(l); err != nil {
		t.Fatal(err)
	}
}

// usage checks how many processors the tasks of a team use.
func usage(t *testing.T, w *standin.World, team wire.TeamID, want float64) {
	t.Helper()
	w.Checked(func(c *standin.Checker) {
		if n := c.Uses(team); n != want {
			t.Errorf("team %s uses %.0f processors, want %.0f", team, n, want)
		}
	})
}

// Every team is at its limit and has more that waits, when the machines at work
// are lost to sight, all that runs is cancelled meanwhile, and the leader changes:
// before the cancellation, so that it falls into the spell without one, or
// after. What may still run there counts: nothing that waits may start on top of
// it. And once it is known to be gone the rest runs, even if the machines never
// come back.
func TestLimitsWithCancelledBehindAFault(t *testing.T) {
	faults := map[string]func(w *standin.World, id wire.MachineID, on bool){
		"cut":  (*standin.World).Unlink,
		"hang": (*standin.World).Stall,
		"deaf": func(w *standin.World, id wire.MachineID, on bool) { w.Net.Deafen(w.IP(id), on) },
	}
	for _, c := range []struct {
		fault  string
		before bool          // the leader ends before the cancellation
		half   bool          // of the machines only
		cloud  bool          // is away too
		lasts  time.Duration // the fault; less than a lease, or more than all
	}{
		{"cut", true, false, false, 12 * time.Second},
		{"cut", false, true, true, 90 * time.Second},
		{"hang", true, true, false, 12 * time.Second},
		{"hang", false, false, false, 90 * time.Second},
		{"hang", true, false, true, 90 * time.Second},
		{"deaf", true, false, true, 90 * time.Second},
		{"deaf", false, true, false, 25 * time.Second},
	} {
		for seed := range meetSeeds(1) {
			t.Run(fmt.Sprintf("%s, leader ends first %v, half %v, cloud away %v, %v, seed %d", c.fault, c.before, c.half, c.cloud, c.lasts, seed), func(t *testing.T) {
				playAs(t, limited(), 400+seed, func(w *standin.World, at func(time.Duration)) {
					gone, goneS := array(1, 12, 400), service(2, 16)
					next, nextS := array(3, 12, 15), service(4, 16)
					at(2 * time.Second)
					w.Submit(gone, 0)
					w.Submit(goneS, 0)
					at(20 * time.Second)
					w.Submit(next, 0)
					w.Submit(nextS, 0)
					at(45 * time.Second)
					usage(t, w, "red", 24)
					usage(t, w, "blue", 16)
					var hit []wire.MachineID
					for i, id := range append(w.Holds(gone.Spec.ID), w.Holds(goneS.Spec.ID)...) {
						if !c.half || i%2 == 0 {
							hit = append(hit, id)
						}
					}
					fault := func(on bool) {
						for _, id := range hit {
							faults[c.fault](w, id, on)
						}
						if c.cloud {
							w.CloudOutage(on)
						}
					}
					fault(true)
					begin := time.Now()
					if c.before {
						l := w.Leader()
						w.Kill(l)
						defer func() {
							if w.Leader() == l {
								t.Error("the leader is the same again")
							}
						}()
						time.Sleep(300 * time.Millisecond)
					}
					for _, j := range []standin.Truth{gone, goneS} {
						if !cancelNow(t, w, j.Spec.ID, 3*time.Second) {
							t.Fatalf("%s was not cancelled while the fault was on", j.Spec.ID)
						}
						w.Checked(func(c *standin.Checker) {
							if c.On(j.Spec.ID) == 0 {
								t.Errorf("nothing of %s runs when it is cancelled", j.Spec.ID)
							}
						})
					}
					if !c.before {
						time.Sleep(time.Second)
						w.Checked(func(c *standin.Checker) {
							if c.On(gone.Spec.ID) == 0 || c.On(goneS.Spec.ID) == 0 {
								t.Error("nothing runs behind the fault when the leader ends")
							}
						})
						changeLeader(t, w)
					} else {
						time.Sleep(5 * time.Second)
						for i := range 5 {
							w.Up(i) //nolint:errcheck // those that are up
						}
					}
					if c.lasts > 60*time.Second {
						time.Sleep(time.Until(begin.Add(c.lasts)))
						w.Checked(func(c *standin.Checker) {
							if c.On(gone.Spec.ID) != 0 || c.On(goneS.Spec.ID) != 0 {
								t.Error("cancelled tasks outlive their time")
							}
						})
						if !c.cloud { // else there may be no room
							mustFinish(t, w, next)
							mustRun(t, w, nextS, "while the machines are still lost")
						}
					} else {
						time.Sleep(time.Until(begin.Add(c.lasts)))
					}
					fault(false)
					w.Checked(func(c *standin.Checker) { c.Calm(time.Now()) })
					time.Sleep(90 * time.Second)
					mustFinish(t, w, next)
					mustRun(t, w, nextS, "when all is over")
					usage(t, w, "blue", 16)
				})
			})
		}
	}
}

// Jobs that are bound to one zone, by name or by their own first task, lose the
// machines there, while that zone has nothing more to rent and others have. No
// task may start in another zone while one may still be in the first; and when
// those are known to be gone, by whatever proof there is, nothing waits for
// another. A service that is spread counts what may still run behind the fault.
func TestBoundToAZoneThatIsLost(t *testing.T) {
	some := func(ids []wire.MachineID, every int) (out []wire.MachineID) {
		for i, id := range ids {
			if i%every == 0 {
				out = append(out, id)
			}
		}
		return out
	}
	for _, c := range []struct {
		name   string
		leader bool // changes meanwhile
		cloud  bool // is away too, so that no list says where anything is
		moves  bool // all of the first zone is lost, so that jobs move while it lasts
		hit    func(w *standin.World, on bool, ids []wire.MachineID)
	}{
		{"half vanish, leader changes", true, false, false, func(w *standin.World, on bool, ids []wire.MachineID) {
			if on {
				w.Vanish(some(ids, 2)...)
			}
		}},
		{"all vanish, leader changes", true, false, true, func(w *standin.World, on bool, ids []wire.MachineID) {
			if on {
				w.Vanish(ids...)
			}
		}},
		{"all vanish, cloud away, leader changes", true, true, false, func(w *standin.World, on bool, ids []wire.MachineID) {
			if on {
				w.Vanish(ids...)
			}
		}},
		{"half cut, half vanish, leader changes", true, false, true, func(w *standin.World, on bool, ids []wire.MachineID) {
			for i, id := range ids {
				if i%2 == 0 {
					w.Unlink(id, on)
				} else if on {
					w.Vanish(id)
				}
			}
		}},
		{"cut off, leader changes", true, false, true, func(w *standin.World, on bool, ids []wire.MachineID) { w.CutZone("a", on) }},
		{"half hang", false, false, false, func(w *standin.World, on bool, ids []wire.MachineID) {
			for _, id := range some(ids, 2) {
				w.Stall(id, on)
			}
		}},
	} {
		for seed := range meetSeeds(1) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				playIn(t, standin.GasSettings(), []wire.Zone{"b", "c", "a"}, 420+seed, func(w *standin.World, at func(time.Duration)) {
					bound, same := array(1, 8, 70), array(2, 14, 50)
					bound.Spec.Site, same.Spec.SamePlace = "a", true
					boundS, sameS, spread := service(3, 3), service(4, 3), service(5, 4)
					boundS.Spec.Site, boundS.Spec.Apart = "a", false
					sameS.Spec.SamePlace, sameS.Spec.Apart = true, false
					w.SellOut("b", true)
					w.SellOut("c", true)
					at(2 * time.Second)
					for _, j := range []standin.Truth{same, sameS, boundS, spread, bound} {
						w.Submit(j, 0)
					}
					at(50 * time.Second)
					w.Checked(func(c *standin.Checker) {
						for _, j := range []standin.Truth{same, sameS, boundS, spread} {
							if z := c.Zones(j.Spec.ID); z["a"] == 0 || len(z) != 1 {
								t.Errorf("%s runs in %v before the fault", j.Spec.ID, z)
							}
						}
					})
					w.SellOut("b", false)
					w.SellOut("c", false)
					w.SellOut("a", true)
					w.CloudOutage(c.cloud)
					ids := w.In("a")
					c.hit(w, true, ids)
					if c.leader {
						time.Sleep(time.Second)
						changeLeader(t, w)
					}
					at(100 * time.Second)
					w.CloudOutage(false)
					at(190 * time.Second)
					if c.moves {
						w.Checked(func(c *standin.Checker) {
							if z := c.Zones(sameS.Spec.ID); len(z) != 1 || z["a"] > 0 {
								t.Errorf("the service in one place runs in %v while that is lost", z)
							}
							if z := c.Zones(same.Spec.ID); z["a"] > 0 || len(z) == 0 && !c.Complete(same.Spec.ID) {
								t.Errorf("the array in one place runs in %v while that is lost", z)
							}
						})
						mustRun(t, w, spread, "while a zone is lost")
					}
					w.SellOut("a", false)
					c.hit(w, false, ids)
					w.Checked(func(c *standin.Checker) { c.Calm(time.Now()) })
					at(300 * time.Second)
					mustFinish(t, w, same)
					for _, j := range []standin.Truth{sameS, boundS, spread} {
						mustRun(t, w, j, "of "+string(j.Spec.ID)+" when all is over")
					}
					w.Checked(func(c *standin.Checker) {
						if n := c.Waiting(bound.Spec.ID); n > 0 {
							t.Errorf("%d of the bound array's 8 tasks wait 110 s after the troubles", n)
						}
					})
				})
			})
		}
	}
}

// preempted is how many tasks the leader has had stopped to make room.
func preempted(t *testing.T, w *standin.World) float64 {
	t.Helper()
	_, raw, _ := w.Operate(w.Leader(), "GET", "/metrics", nil)
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "lilaclead_preemptions_total "); ok {
			if n, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil {
				return n
			}
		}
	}
	t.Fatal("the leader counts no preemptions")
	return 0
}

// There is more work than room, and nothing more to rent, when the links to all
// machines become slow, so that halts and launches take seconds, or are never
// answered in time though they are executed. Urgent arrays and replicas come and
// must get room soon, by stopping what is of less priority; what is stopped for
// them must not be stopped over and over; and at the end all is done.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	for _, slow := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond} {
		for seed := range meetSeeds(1) {
			t.Run(fmt.Sprintf("%v, seed %d", slow, seed), func(t *testing.T) {
				play(t, 440+seed, func(w *standin.World, at func(time.Duration)) {
					w.SlowSaves()
					job := func(n, parts int, run float64, u wire.Urgency, team wire.TeamID) standin.Truth {
						j := array(n, parts, run)
						j.Spec.Urgency, j.Spec.Owner = u, team
						j.Spec.SnapshotEveryS, j.Spec.SnapshotS = 10, 3
						return j
					}
					low := job(1, 200, 40, wire.BestEffort, "blue")
					low.Spec.Standby = false // where replicas may go too
					usual := job(2, 24, 20, wire.Standard, "red")
					urgent := []standin.Truth{job(3, 6, 15, wire.Urgent, "red"), job(4, 5, 15, wire.Urgent, "blue"), job(5, 12, 10, wire.Urgent, "red")}
					urgent[1].Spec.CPUs, urgent[1].Spec.RAM = 4, 8
					s := service(6, 4)
					s.Spec.Apart = false
					w.SellOut("b", true)
					at(2 * time.Second)
					w.Submit(low, 0)
					at(38 * time.Second)
					w.SellOut("a", true)
					w.Submit(usual, 0)
					at(45 * time.Second)
					w.Slow(slow)
					at(50 * time.Second)
					for _, j := range urgent[:2] {
						w.Submit(j, 0)
					}
					at(52 * time.Second)
					w.Submit(s, 0)
					w.Checked(func(c *standin.Checker) {
						if c.Waiting(low.Spec.ID) == 0 || c.Waiting(usual.Spec.ID) == 0 || c.On(low.Spec.ID) == 0 {
							t.Errorf("there is no more work than room: %d and %d wait, %d on", c.Waiting(low.Spec.ID), c.Waiting(usual.Spec.ID), c.On(low.Spec.ID))
						}
					})
					at(75 * time.Second)
					mustRun(t, w, s, "23 s after it was submitted over slow links")
					w.Submit(urgent[2], 0)
					at(120 * time.Second)
					mustFinish(t, w, urgent...)
					w.Checked(func(c *standin.Checker) {
						if n := c.Again(); n == 0 || n > 40 {
							t.Errorf("%d tasks were stopped and started again", n)
						}
					})
					at(180 * time.Second)
					w.Slow(0)
					w.SellOut("a", false)
					w.SellOut("b", false)
					w.Checked(func(c *standin.Checker) { c.Calm(time.Now()) })
					at(300 * time.Second)
					mustFinish(t, w, append(urgent, low, usual)...)
					mustRun(t, w, s, "when all is over")
				})
			})
		}
	}
}

// A team is two processors short of its limit when ten urgent tasks of it come one
// by one over slow links, and all room is taken by others' work. Only one of them
// can run at a time, so room is made for one at a time: what was stopped for those
// that the limit keeps back was stopped for nothing.
func TestRoomIsMadeWithinTheLimit(t *testing.T) {
	for seed := range meetSeeds(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, 460+seed, func(w *standin.World, at func(time.Duration)) {
				most, low := array(1, 19, 400), array(2, 200, 60)
				low.Spec.Urgency, low.Spec.Owner, low.Spec.Standby, most.Spec.Standby = wire.BestEffort, "blue", false, false
				low.Spec.SnapshotEveryS, low.Spec.SnapshotS = 10, 3
				w.SlowSaves()
				w.SellOut("b", true)
				at(2 * time.Second)
				w.Submit(most, 0)
				at(20 * time.Second)
				w.Submit(low, 0)
				at(42 * time.Second)
				w.SellOut("a", true)
				usage(t, w, "red", 38)
				w.Slow(700 * time.Millisecond)
				at(45 * time.Second)
				var urgent []standin.Truth
				for n := range 10 {
					j := array(10+n, 1, 8)
					j.Spec.Urgency = wire.Urgent
					urgent = append(urgent, j)
					w.Submit(j, 0)
				}
				w.Checked(func(c *standin.Checker) {
					if c.Waiting(low.Spec.ID) == 0 {
						t.Error("there is no more work than room")
					}
				})
				at(170 * time.Second)
				mustFinish(t, w, urgent...)
				if n := preempted(t, w); n < 1 || n > 2 {
					t.Errorf("%.0f tasks were stopped for ten that run one by one", n)
				}
			})
		})
	}
}
