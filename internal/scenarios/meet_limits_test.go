package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/config"
	"lilaclead/internal/leader"
	"lilaclead/internal/simulator"
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
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 16, CPUsMax: 16}}
	return s
}

// cancelNow cancels a job as its user, at whichever node answers, and notes that
// the user was told. It tells whether that was within the time.
func cancelNow(t *testing.T, w *simulator.World, id wire.JobID, within time.Duration) bool {
	t.Helper()
	for begin, i := time.Now(), 0; time.Since(begin) < within; i++ {
		if status, ok := askCancel(w, i%w.Set.Size, id); ok {
			return status == wire.Cancelled
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// changeLeader ends the leader, waits until another leads, and has the old one
// back. It checks that the office did change hands.
func changeLeader(t *testing.T, w *simulator.World) {
	t.Helper()
	l := w.Leader()
	if l < 0 {
		t.Fatal("nobody leads")
	}
	w.Kill(l)
	followed(t, w, l)
}

// followed waits until another leads than the one that was killed, and has that
// one back.
func followed(t *testing.T, w *simulator.World, l int) {
	t.Helper()
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
func usage(t *testing.T, w *simulator.World, team wire.TeamID, want float64) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
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
	faults := map[string]func(w *simulator.World, id wire.MachineID, on bool){
		"cut":  (*simulator.World).Unlink,
		"hang": (*simulator.World).Stall,
		"deaf": func(w *simulator.World, id wire.MachineID, on bool) { w.Net.Deafen(w.IP(id), on) },
	}
	for _, c := range []struct {
		fault  string
		before bool          // the leader ends before the cancellation
		half   bool          // of the machines only
		cloud  bool          // is away too
		lasts  time.Duration // the fault; less than a lease, or more than all
	}{
		{"cut", true, false, false, 12 * time.Second},
		{"cut", false, true, true, 75 * time.Second},
		{"hang", false, false, false, 75 * time.Second},
		{"hang", true, true, false, 25 * time.Second},
		{"deaf", true, false, true, 75 * time.Second},
	} {
		for seed := range meetSeeds(1) {
			t.Run(fmt.Sprintf("%s, leader ends first %v, half %v, cloud away %v, %v, seed %d", c.fault, c.before, c.half, c.cloud, c.lasts, seed), func(t *testing.T) {
				playAs(t, limited(), 400+seed, func(w *simulator.World, at func(time.Duration)) {
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
					l := w.Leader()
					if c.before {
						w.Kill(l)
						time.Sleep(300 * time.Millisecond)
					}
					for _, j := range []simulator.Truth{gone, goneS} {
						if !cancelNow(t, w, j.Spec.ID, 3*time.Second) {
							t.Fatalf("%s was not cancelled while the fault was on", j.Spec.ID)
						}
						w.Checked(func(c *simulator.Checker) {
							if c.On(j.Spec.ID) == 0 {
								t.Errorf("nothing of %s runs when it is cancelled", j.Spec.ID)
							}
						})
					}
					if !c.before {
						time.Sleep(time.Second)
						w.Checked(func(c *simulator.Checker) {
							if c.On(gone.Spec.ID) == 0 || c.On(goneS.Spec.ID) == 0 {
								t.Error("nothing runs behind the fault when the leader ends")
							}
						})
						changeLeader(t, w)
					} else {
						if n := w.Leader(); n >= 0 && n != l {
							t.Errorf("node %d leads already when all is cancelled", n)
						}
						followed(t, w, l)
					}
					if c.lasts > 60*time.Second {
						time.Sleep(time.Until(begin.Add(c.lasts)))
						w.Checked(func(c *simulator.Checker) {
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
					w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
					time.Sleep(75 * time.Second)
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
		hit    func(w *simulator.World, on bool, ids []wire.MachineID)
	}{
		{"all vanish, cloud away, leader changes", true, true, false, func(w *simulator.World, on bool, ids []wire.MachineID) {
			if on {
				w.Vanish(ids...)
			}
		}},
		{"half cut, half vanish, leader changes", true, false, true, func(w *simulator.World, on bool, ids []wire.MachineID) {
			for i, id := range ids {
				if i%2 == 0 {
					w.Unlink(id, on)
				} else if on {
					w.Vanish(id)
				}
			}
		}},
		{"cut off, leader changes", true, false, true, func(w *simulator.World, on bool, ids []wire.MachineID) { w.CutZone("a", on) }},
		{"half hang", false, false, false, func(w *simulator.World, on bool, ids []wire.MachineID) {
			for _, id := range some(ids, 2) {
				w.Stall(id, on)
			}
		}},
	} {
		for seed := range meetSeeds(1) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				playIn(t, simulator.GasSettings(), []wire.Zone{"b", "c", "a"}, 420+seed, func(w *simulator.World, at func(time.Duration)) {
					bound, same := array(1, 8, 70), array(2, 14, 50)
					bound.Spec.Zone, same.Spec.SameZone = "a", true
					boundS, sameS, spread := service(3, 3), service(4, 3), service(5, 4)
					boundS.Spec.Zone, boundS.Spec.Spread = "a", false
					sameS.Spec.SameZone, sameS.Spec.Spread = true, false
					w.SellOut("b", true)
					w.SellOut("c", true)
					at(2 * time.Second)
					for _, j := range []simulator.Truth{same, sameS, boundS, spread, bound} {
						w.Submit(j, 0)
					}
					at(50 * time.Second)
					w.Checked(func(c *simulator.Checker) {
						for _, j := range []simulator.Truth{same, sameS, boundS, spread} {
							if z := c.InZones(j.Spec.ID); z["a"] == 0 || len(z) != 1 {
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
						time.Sleep(time.Second)
					}
					// The next leader meets what still runs there, or what it can't
					// even place.
					if c.cloud {
						_, raw, _ := w.Operate(w.Leader(), "GET", "/admin/view", nil)
						var v admin.View
						if wire.Decode(raw, &v) != nil || v.Term == nil || !slices.ContainsFunc(v.Term.Machines, func(m leader.MachineView) bool { return m.Zone == "" && m.Tasks > 0 }) {
							t.Errorf("no task is on a machine of unknown zone: %+v", v.Term)
						}
					} else {
						w.Checked(func(c *simulator.Checker) {
							n := 0
							for _, j := range []simulator.Truth{same, sameS, spread, bound, boundS} {
								n += c.InZones(j.Spec.ID)["a"]
							}
							if n == 0 {
								t.Error("nothing runs in the zone that is lost")
							}
						})
					}
					at(100 * time.Second)
					w.CloudOutage(false)
					at(190 * time.Second)
					if c.moves {
						w.Checked(func(c *simulator.Checker) {
							if z := c.InZones(sameS.Spec.ID); len(z) != 1 || z["a"] > 0 {
								t.Errorf("the service in one place runs in %v while that is lost", z)
							}
							if z := c.InZones(same.Spec.ID); z["a"] > 0 || len(z) == 0 && !c.Complete(same.Spec.ID) {
								t.Errorf("the array in one place runs in %v while that is lost", z)
							}
						})
						mustRun(t, w, spread, "while a zone is lost")
					}
					w.SellOut("a", false)
					c.hit(w, false, ids)
					w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
					at(300 * time.Second)
					mustFinish(t, w, same)
					for _, j := range []simulator.Truth{sameS, boundS, spread} {
						mustRun(t, w, j, "of "+string(j.Spec.ID)+" when all is over")
					}
					w.Checked(func(c *simulator.Checker) {
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
func preempted(t *testing.T, w *simulator.World) float64 {
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
				play(t, 440+seed, func(w *simulator.World, at func(time.Duration)) {
					w.SlowSaves()
					job := func(n, parts int, run float64, u wire.Priority, team wire.TeamID) simulator.Truth {
						j := array(n, parts, run)
						j.Spec.Priority, j.Spec.Team = u, team
						j.Spec.CheckpointInterval, j.Spec.CheckpointTime = 10, 3
						return j
					}
					low := job(1, 200, 40, wire.PriorityBestEffort, "blue")
					low.Spec.SpotAllowed = false // where replicas may go too
					usual := job(2, 24, 20, wire.PriorityStandard, "red")
					urgent := []simulator.Truth{job(3, 6, 15, wire.PriorityUrgent, "red"), job(4, 5, 15, wire.PriorityUrgent, "blue"), job(5, 12, 10, wire.PriorityUrgent, "red")}
					urgent[1].Spec.CPUs, urgent[1].Spec.MemoryGB = 4, 8
					s := service(6, 4)
					s.Spec.Spread = false
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
					w.Checked(func(c *simulator.Checker) {
						if c.Waiting(low.Spec.ID) == 0 || c.Waiting(usual.Spec.ID) == 0 || c.On(low.Spec.ID) == 0 {
							t.Errorf("there is no more work than room: %d and %d wait, %d on", c.Waiting(low.Spec.ID), c.Waiting(usual.Spec.ID), c.On(low.Spec.ID))
						}
					})
					at(75 * time.Second)
					mustRun(t, w, s, "23 s after it was submitted over slow links")
					w.Submit(urgent[2], 0)
					at(120 * time.Second)
					mustFinish(t, w, urgent...)
					w.Checked(func(c *simulator.Checker) {
						if n := c.Again(); n == 0 || n > 40 {
							t.Errorf("%d tasks were stopped and started again", n)
						}
					})
					at(180 * time.Second)
					w.Slow(0)
					w.SellOut("a", false)
					w.SellOut("b", false)
					w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
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
			play(t, 460+seed, func(w *simulator.World, at func(time.Duration)) {
				most, low := array(1, 19, 400), array(2, 200, 60)
				low.Spec.Priority, low.Spec.Team, low.Spec.SpotAllowed, most.Spec.SpotAllowed = wire.PriorityBestEffort, "blue", false, false
				low.Spec.CheckpointInterval, low.Spec.CheckpointTime = 10, 3
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
				var urgent []simulator.Truth
				for n := range 10 {
					j := array(10+n, 1, 8)
					j.Spec.Priority = wire.PriorityUrgent
					urgent = append(urgent, j)
					w.Submit(j, 0)
				}
				w.Checked(func(c *simulator.Checker) {
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

// leftOver lists the jobs that the state service still has as not over, but for
// those named, and progress of others.
func leftOver(w *simulator.World, live ...simulator.Truth) []string {
	var out []string
	for _, k := range append(w.State.Keys("job/"), w.State.Keys("run/")...) {
		if !slices.ContainsFunc(live, func(j simulator.Truth) bool { return strings.Contains(k, string(j.Spec.ID)) }) {
			out = append(out, k)
		}
	}
	return out
}

// noneLeftWaiting lets time pass, after which no job may have waited for 90 s
// without a start while a machine had room for it and its team was under its limit.
func noneLeftWaiting(t *testing.T, w *simulator.World, d time.Duration) {
	t.Helper()
	type wait struct {
		n     int
		since time.Time
	}
	waits := map[wire.JobID]wait{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		could := w.CouldRun()
		for id, x := range waits {
			if could[id] != x.n {
				delete(waits, id)
			}
		}
		for id, n := range could {
			x, ok := waits[id]
			if !ok {
				waits[id] = wait{n, time.Now()}
			} else if time.Since(x.since) > 90*time.Second {
				t.Errorf("%d tasks of %s wait for 90 s although there is room", n, id)
				waits[id] = wait{n, time.Now()}
			}
		}
	}
}

// Machines come up at once, take tasks before any list has them, and vanish when
// the leader ends: the next one knows their names only, from its own books, and no
// list will ever say where they were. What is bound to one place must not wait
// for that.
func TestMachinesThatNoListEverHad(t *testing.T) {
	for seed := range meetSeeds(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			playAs(t, limited(), 480+seed, func(w *simulator.World, at func(time.Duration)) {
				w.Boots(0.05)
				same, sameS := array(1, 12, 30), service(2, 4)
				same.Spec.SameZone, sameS.Spec.SameZone, sameS.Spec.Spread = true, true, false
				same.Spec.Deadline = 40
				w.Unlisted(true)
				at(10 * time.Second)
				w.Submit(same, 0)
				w.Submit(sameS, 0)
				for n := 0; len(w.Holds(same.Spec.ID)) == 0 || len(w.Holds(sameS.Spec.ID)) == 0; n++ {
					if n > 60 {
						t.Fatalf("tasks on %v and %v", w.Holds(same.Spec.ID), w.Holds(sameS.Spec.ID))
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				l := w.Leader()
				w.Kill(l)
				w.Vanish(append(w.In("a"), w.In("b")...)...)
				w.Unlisted(false)
				time.Sleep(5 * time.Second)
				if n := w.Leader(); n == l || n < 0 {
					t.Fatalf("leader is %d, was %d", n, l)
				}
				_, raw, _ := w.Operate(w.Leader(), "GET", "/admin/view", nil)
				var v admin.View
				if wire.Decode(raw, &v) != nil || v.Term == nil || !slices.ContainsFunc(v.Term.Machines, func(m leader.MachineView) bool { return m.Zone == "" && m.Tasks > 0 }) {
					t.Errorf("no task is on a machine of unknown zone: %+v", v.Term)
				}
				w.Up(l) //nolint:errcheck // it was killed above
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(90 * time.Second)
				mustFinish(t, w, same)
				mustRun(t, w, sameS, "when all is over")
				if k := leftOver(w, sameS); len(k) > 0 {
					t.Errorf("left over: %v", k)
				}
			})
		})
	}
}

// A release takes effect and is never answered, since the leader that asked for it
// ends: tasks of a team at its limit were on that machine, some of them cancelled
// meanwhile, and lists go on showing it for a while.
func TestReleaseUnansweredWhenTheLeaderEnds(t *testing.T) {
	for seed := range meetSeeds(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			playAs(t, limited(), 490+seed, func(w *simulator.World, at func(time.Duration)) {
				gone, next, s := array(1, 12, 300), array(2, 12, 15), service(3, 4)
				at(2 * time.Second)
				w.Submit(gone, 0)
				w.Submit(s, 0)
				at(30 * time.Second)
				w.Submit(next, 0)
				at(45 * time.Second)
				usage(t, w, "red", 24)
				hit := w.Holds(gone.Spec.ID)
				hit = hit[:1]
				w.LoseReleases(1000)
				for _, id := range hit {
					w.Unlink(id, true)
				}
				if !cancelNow(t, w, gone.Spec.ID, 2*time.Second) {
					t.Fatal("not cancelled")
				}
				time.Sleep(3 * time.Second)
				lost := 0
				w.Checked(func(c *simulator.Checker) {
					if lost = c.On(gone.Spec.ID); lost == 0 {
						t.Error("nothing of the cancelled job runs where it can't be stopped")
					}
				})
				for n := 0; slices.ContainsFunc(hit, func(id wire.MachineID) bool { return w.IP(id) != "" }); n++ {
					if n > 100 {
						t.Fatal("the machines were not released")
					}
					time.Sleep(100 * time.Millisecond)
				}
				// They are gone, and the leader can't know: they count.
				w.Checked(func(c *simulator.Checker) {
					if n := c.On(next.Spec.ID); c.On(gone.Spec.ID) > 0 || n > 12-lost {
						t.Errorf("%d tasks of the next job run before the release of %d is answered", n, lost)
					}
				})
				changeLeader(t, w)
				w.LoseReleases(0)
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(90 * time.Second)
				mustFinish(t, w, next)
				mustRun(t, w, s, "when all is over")
				if k := leftOver(w, s); len(k) > 0 {
					t.Errorf("left over: %v", k)
				}
			})
		})
	}
}

// Seeded meetings of two or three troubles at a time, with teams at their limits,
// bound jobs and cancellations; when they are over nothing may wait any more.
func TestSeededMeetingsLeaveNothingWaiting(t *testing.T) {
	for seed := range meetSeeds(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			playAs(t, limited(), 500+seed, func(w *simulator.World, at func(time.Duration)) {
				seconds := within(rng)
				zone := func() wire.Zone { return []wire.Zone{"a", "b"}[rng.IntN(2)] }
				s, sameS := service(1, 4), service(2, 3)
				sameS.Spec.SameZone, sameS.Spec.Spread = true, false
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(sameS, 0)
				var all []simulator.Truth
				jobs := func(n int) {
					for range n {
						j := array(10+len(all), 1+rng.IntN(8), float64(4+rng.IntN(12)))
						j.Spec.Priority = []wire.Priority{wire.PriorityBestEffort, wire.PriorityStandard, wire.PriorityUrgent}[rng.IntN(3)]
						j.Spec.Team = []wire.TeamID{"red", "blue"}[rng.IntN(2)]
						switch rng.IntN(5) {
						case 0:
							j.Spec.SameZone = true
						case 1:
							j.Spec.Spread = true
						case 2:
							j.Spec.Zone = zone()
						}
						w.Submit(j, mayCancel(rng))
						all = append(all, j)
					}
				}
				some := func() (out []wire.MachineID) {
					bits := rng.Uint64()
					for i, id := range append(w.In("a"), w.In("b")...) {
						if bits>>(i%64)&1 == 1 {
							out = append(out, id)
						}
					}
					return out
				}
				jobs(4)
				met := 0
				at(30 * time.Second)
				for range 3 {
					jobs(2)
					time.Sleep(seconds(6))
					var over []func()
					leaders := w.Leader()
					for n := range 2 + rng.IntN(2) {
						ids, z := some(), zone()
						kind := rng.IntN(9)
						if n == 0 {
							kind %= 6 // one that lasts, for the others to meet
						}
						switch kind {
						case 0:
							w.CutZone(z, true)
							over = append(over, func() { w.CutZone(z, false) })
						case 1:
							for _, id := range ids {
								w.Stall(id, true)
							}
							over = append(over, func() {
								for _, id := range ids {
									w.Stall(id, false)
								}
							})
						case 2:
							w.CloudOutage(true)
							over = append(over, func() { w.CloudOutage(false) })
						case 3:
							w.State.Outage(true)
							over = append(over, func() { w.State.Outage(false) })
						case 4:
							w.Slow(seconds(2) * 6 / 10)
							over = append(over, func() { w.Slow(0) })
						case 5:
							for _, id := range ids {
								w.Net.Deafen(w.IP(id), true)
							}
							over = append(over, func() {
								for _, id := range ids {
									w.Net.Deafen(w.IP(id), false)
								}
							})
						case 6:
							w.Vanish(ids...)
						case 7:
							w.State.LoseAnswers(1 + rng.IntN(4))
						case 8:
							w.LoseReleases(3)
							w.LoseRents(2)
						}
						if n > 0 && len(over) > 0 {
							met++
						}
						time.Sleep(seconds(2))
					}
					jobs(2)
					if leaders >= 0 && rng.IntN(3) > 0 {
						w.Kill(leaders)
						time.Sleep(seconds(8))
						w.Up(leaders) //nolint:errcheck // it was killed above
					}
					time.Sleep(seconds(40))
					for _, f := range over {
						f()
						time.Sleep(seconds(3))
					}
				}
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				if met < 3 {
					t.Errorf("only %d troubles fell into another one", met)
				}
				noneLeftWaiting(t, w, 200*time.Second)
				mustRun(t, w, s, "when all is over")
				mustRun(t, w, sameS, "of the one in one place when all is over")
				if k := leftOver(w, s, sameS); len(k) > 0 {
					t.Errorf("left over: %v", k)
				}
			})
		})
	}
}

// Most machines are gone at once and without a trace when the leader ends: to the
// next it looks as if it were itself cut off from them, and it keeps them. It must
// not do so for ever: they are in no list any more.
func TestMostMachinesGoneWhenTheLeaderEnds(t *testing.T) {
	for seed := range meetSeeds(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, 510+seed, func(w *simulator.World, at func(time.Duration)) {
				j, s := array(1, 12, 300), service(2, 4)
				at(2 * time.Second)
				w.Submit(j, 90*time.Second)
				w.Submit(s, 0)
				at(45 * time.Second)
				mustRun(t, w, s, "before the fault")
				all := append(w.In("a"), w.In("b")...)
				keep := w.Holds(s.Spec.ID)
				lost := slices.DeleteFunc(all, func(id wire.MachineID) bool { return slices.Contains(keep, id) })
				if len(lost) < 3 || len(lost) <= len(keep) {
					t.Fatalf("%v hold replicas, %v don't", keep, lost)
				}
				l := w.Leader()
				w.Kill(l)
				w.Vanish(lost...)
				followed(t, w, l)
				w.SellOut("a", true)
				w.SellOut("b", true)
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(60 * time.Second)
				_, raw, _ := w.Operate(w.Leader(), "GET", "/admin/view", nil)
				var v admin.View
				if wire.Decode(raw, &v) != nil || v.Term == nil {
					t.Fatal("no view")
				}
				for _, m := range v.Term.Machines {
					if w.IP(m.Name) == "" {
						t.Errorf("%s is gone and still kept, silent for %.0f s", m.Name, m.SilentS)
					}
				}
				mustRun(t, w, s, "when all is over")
			})
		})
	}
}

// All spot machines are taken at once while an array that may use them is half
// done, the cloud has no more of them for good, and the leader changes. The rest
// of the array must run on ordinary machines in the end, whatever they cost.
func TestSpotTakenForGoodInTheMiddleOfAnArray(t *testing.T) {
	for _, site := range []wire.Zone{"", "a"} {
		t.Run("bound to "+string(site), func(t *testing.T) {
			play(t, 520, func(w *simulator.World, at func(time.Duration)) {
				j := array(1, 12, 20)
				j.Spec.Zone = site
				at(2 * time.Second)
				w.Submit(j, 0)
				done := 0
				for done == 0 {
					time.Sleep(100 * time.Millisecond)
					w.Checked(func(c *simulator.Checker) { done = j.Spec.Tasks - c.On(j.Spec.ID) - c.Waiting(j.Spec.ID) })
				}
				w.NoSpot(true)
				if w.Take(100, func(spot bool, _ int) bool { return spot }) == 0 {
					t.Error("no spot machine to take")
				}
				changeLeader(t, w)
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				if done == j.Spec.Tasks {
					t.Error("the array was done already")
				}
				for n := 0; n < 400 && w.State.Keys("job/") != nil; n++ {
					time.Sleep(time.Second)
				}
				mustFinish(t, w, j)
			})
		})
	}
}
