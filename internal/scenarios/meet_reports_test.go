package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// mustCancel has a user cancel a job at a node, again and again until it is
// confirmed.
func mustCancel(t *testing.T, w *simulator.World, j simulator.Truth) {
	t.Helper()
	if !cancelNow(t, w, j.Spec.ID, 10*time.Second) {
		t.Errorf("%s could not be cancelled", j.Spec.ID)
	}
}

// nextLeader waits for the office to be taken anew and says by whom.
func nextLeader(t *testing.T, w *simulator.World, old wire.Token) (int, wire.Token) {
	t.Helper()
	for range 20_000 {
		if l, token := w.Holder(); l >= 0 && token > old {
			return l, token
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("nobody leads")
	return -1, 0
}

// hasRecovered tells whether a leader has read what is stored.
func hasRecovered(w *simulator.World, i int) bool {
	status, raw, _ := w.Operate(i, "GET", "/admin/view", nil)
	var v admin.View
	return status == 200 && wire.Decode(raw, &v) == nil && v.Term != nil && len(v.Term.Jobs) > 0
}

// cancelledIsGone checks that nothing of a cancelled job is left.
func cancelledIsGone(t *testing.T, w *simulator.World, j simulator.Truth, when string) {
	t.Helper()
	if n := alive(w, j.Spec.ID); n != 0 {
		t.Errorf("%d tasks of the cancelled %s %s", n, j.Spec.ID, when)
	}
}

// Reports are held back on their way until a new leader has acted: it has asked
// the machines itself, has halted a cancelled job's tasks there, and has started
// others. Then they arrive there, before the machines' own next ones or after.
// What they lack is not gone, and what they list is not there any more.
func TestReportHeldUntilTheNextLeaderActed(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprint("before the next ones ", before), func(t *testing.T) {
			playBoth(t, 600, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				w.KeepReports()
				a, gone, late := array(1, 6, 60), array(2, 4, 300), array(3, 6, 40)
				at(2 * time.Second)
				w.Submit(a, 0)
				w.Submit(gone, 0)
				at(45 * time.Second)
				ms := w.Working("")
				if len(ms) == 0 || alive(w, gone.Spec.ID) != 4 {
					t.Fatalf("%d machines at work, %d tasks to cancel", len(ms), alive(w, gone.Spec.ID))
				}
				held := map[wire.MachineID]int{}
				for _, id := range ms {
					held[id] = len(w.Kept(id))
					w.HoldReports(id, true)
				}
				time.Sleep(w.Set.Workers.ReportS.Duration() * 3 / 2)
				l, old := w.Holder()
				w.Kill(l)
				_, token := nextLeader(t, w, old)
				var reps []wire.Report
				for _, id := range ms {
					if k := w.Kept(id); len(k) > held[id] {
						reps = append(reps, k[held[id]])
					}
				}
				mustCancel(t, w, gone)
				w.Submit(late, 0)
				time.Sleep(4 * time.Second)
				cancelledIsGone(t, w, gone, "while reports are held up")
				if !before {
					for _, id := range ms {
						w.HoldReports(id, false)
					}
					time.Sleep(6 * time.Second)
				}
				late200, listed := 0, 0
				for _, h := range w.Hand(reps...) {
					if !h.Newer || h.Report.Token >= token {
						t.Errorf("the report of %s is not old: tally %d, token %d of %d", h.Report.Machine, h.Report.Sequence, h.Report.Token, token)
					}
					if h.Status == 200 {
						late200++
					}
					for _, p := range h.Report.Tasks {
						if task, err := wire.ParseTask(p.Task); err == nil && task.Job == gone.Spec.ID {
							listed++
						}
					}
				}
				if len(reps) == 0 || listed == 0 {
					t.Errorf("%d reports were held, listing %d tasks that were cancelled meanwhile", len(reps), listed)
				}
				for _, id := range ms {
					w.HoldReports(id, false)
				}
				time.Sleep(3 * time.Second)
				w.Up(l)
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				at(200 * time.Second)
				mustFinish(t, w, a, late)
				cancelledIsGone(t, w, gone, "at the end")
			})
		})
	}
}

// Old reports come after newer ones: of the session before, when the tasks had
// other attempts, and of the same one. A share of all reports comes again until
// well after a lease meanwhile, a leader ends, and a job is cancelled that the
// old ones list.
func TestOldReportsOfEarlierSessionsAndAttempts(t *testing.T) {
	playBoth(t, 610, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		lease := w.Set.Workers.LeaseS.Duration()
		w.KeepReports()
		a, gone, s := array(1, 6, 90), array(2, 4, 300), service(3, 3)
		at(2 * time.Second)
		w.Submit(a, 0)
		w.Submit(gone, 0)
		w.Submit(s, 0)
		at(45 * time.Second)
		w.CopyShare(0.3, 2*time.Second, lease*5/2)
		// Their leases run out although they answer all commands.
		ms := w.Holds(gone.Spec.ID)
		w.Mute(true, ms...)
		time.Sleep(lease + time.Second)
		w.Mute(false, ms...)
		time.Sleep(6 * time.Second)
		for _, id := range ms {
			if shift, _, _ := w.Life(id); shift == 1 {
				t.Errorf("%s is still in its first session", id)
			}
		}
		tries := map[wire.Attempt]bool{}
		for _, id := range ms {
			for _, r := range w.Kept(id) {
				for _, p := range r.Tasks {
					if task, err := wire.ParseTask(p.Task); err == nil && task.Job == gone.Spec.ID {
						tries[p.Attempt] = true
					}
				}
			}
		}
		if len(tries) < 2 {
			t.Errorf("the tasks had attempts %v only", tries)
		}
		old := func() (reps []wire.Report) {
			for _, id := range ms {
				k := w.Kept(id)
				if len(k) > 0 {
					// When its tasks ran, and its first.
					i := slices.IndexFunc(k, func(r wire.Report) bool { return r.Session == 1 && len(r.Tasks) > 0 })
					reps = append(reps, k[0], k[max(0, i)])
					if i = slices.IndexFunc(k, func(r wire.Report) bool { return r.Session > 1 }); i > 0 {
						reps = append(reps, k[i-1], k[i])
					}
				}
			}
			return reps
		}
		earlier := 0
		hand := func() {
			for _, h := range w.Hand(old()...) {
				if shift, _, _ := w.Life(h.Report.Machine); h.Newer && shift > h.Report.Session && len(h.Report.Tasks) > 0 {
					earlier++
				}
			}
		}
		hand()
		mustCancel(t, w, gone)
		hand()
		l, token := w.Holder()
		w.Kill(l)
		nextLeader(t, w, token)
		hand()
		time.Sleep(3 * time.Second)
		w.Up(l)
		hand()
		time.Sleep(5 * time.Second)
		cancelledIsGone(t, w, gone, "after old reports listed them")
		hand()
		if earlier == 0 {
			t.Error("no report of an earlier session came after newer ones")
		}
		if all, older := w.Copied(); older < all/2 || older < 10 {
			t.Errorf("%d of %d copies came after a newer report", older, all)
		}
		w.CopyShare(0, 0, 0)
		time.Sleep(lease * 5 / 2)
		w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
		time.Sleep(120 * time.Second)
		mustFinish(t, w, a)
		mustRun(t, w, s, "when all is over")
	})
}

// Old reports reach every node just as a new leader begins, as the first that
// it hears of a machine: before it has read what is stored, and after. It
// inherits tasks on those machines, some of which the old reports lack, and a
// job is cancelled while nobody leads.
func TestOldReportsAsALeaderBegins(t *testing.T) {
	for _, recovered := range []bool{false, true} {
		for _, first := range []bool{false, true} {
			play := play
			if first {
				play = playOdd
			}
			t.Run(fmt.Sprintf("recovered %v, first reports %v", recovered, first), func(t *testing.T) {
				play(t, 620, func(w *simulator.World, at func(time.Duration)) {
					w.KeepReports()
					a, gone, s, b := array(1, 8, 60), array(2, 4, 300), service(3, 3), array(4, 4, 20)
					at(2 * time.Second)
					w.Submit(a, 0)
					w.Submit(gone, 0)
					w.Submit(s, 0)
					at(45 * time.Second)
					ms := w.Working("")
					var reps []wire.Report
					for _, id := range ms {
						k := w.Kept(id)
						if first {
							reps = append(reps, k[0]) // lacks all that runs there now
						} else {
							reps = append(reps, k[len(k)-2])
						}
					}
					l, old := w.Holder()
					w.Kill(l)
					time.Sleep(300 * time.Millisecond)
					mustCancel(t, w, gone)
					if n, _ := w.Holder(); n >= 0 && n != l {
						t.Error("somebody leads before the job is cancelled")
					}
					// A slow state service makes the recovery take a while.
					slow := func(d time.Duration) {
						for i := range w.Set.Size {
							w.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), d)
						}
					}
					if !recovered {
						slow(200 * time.Millisecond)
					}
					n, token := nextLeader(t, w, old)
					if recovered {
						for range 1000 {
							if hasRecovered(w, n) {
								break
							}
							time.Sleep(time.Millisecond)
						}
					} else {
						time.Sleep(250 * time.Millisecond) // the answer to its taking is on its way
					}
					is := hasRecovered(w, n)
					taken := 0
					for _, h := range w.Hand(reps...) {
						if h.Node == n && h.Status == 200 && h.Baton >= token {
							taken++
						}
					}
					if is != recovered || !recovered && hasRecovered(w, n) {
						t.Errorf("recovered before %v and after %v", is, hasRecovered(w, n))
					}
					if taken == 0 {
						t.Error("the new leader took none of the old reports")
					}
					slow(0)
					w.Submit(b, 0)
					time.Sleep(2 * time.Second)
					w.Hand(reps...)
					time.Sleep(5 * time.Second)
					w.Up(l)
					cancelledIsGone(t, w, gone, "some seconds after the new leader began")
					w.Checked(func(c *simulator.Checker) {
						if c.Again() != 0 {
							t.Errorf("%d tasks were started again", c.Again())
						}
						c.Calm(time.Now())
					})
					at(170 * time.Second)
					mustFinish(t, w, a, b)
					mustRun(t, w, s, "at the end")
				})
			})
		}
	}
}

// Commands or their answers are held up for seconds, or wait for a machine that
// hangs, and the machine then goes on: launches, halts, and answers to reports
// that forget. Meanwhile a job is cancelled, the leader ends, or both.
func TestCommandsHeldUp(t *testing.T) {
	cases := []struct {
		name string
		lag  simulator.Lag
		hang bool
		then []string
	}{
		{"commands for 2 s", simulator.Lag{Command: 2 * time.Second}, false, []string{"cancel", "leader"}},
		{"commands for 9 s", simulator.Lag{Command: 9 * time.Second}, false, []string{"leader", "both"}},
		{"answers for 9 s", simulator.Lag{Answer: 9 * time.Second, Hello: 3500 * time.Millisecond}, false, []string{"cancel"}},
		{"both, and the answers to reports", simulator.Lag{Command: 4 * time.Second, Answer: 4 * time.Second, Hello: 3900 * time.Millisecond}, false, []string{"both"}},
		{"answers to reports for 3 s", simulator.Lag{Hello: 3 * time.Second}, false, []string{"leader"}},
		{"the machines hang", simulator.Lag{}, true, []string{"cancel", "both"}},
	}
	for _, c := range cases {
		for _, then := range c.then {
			t.Run(c.name+", "+then, func(t *testing.T) {
				play(t, 630, func(w *simulator.World, at func(time.Duration)) {
					s, gone, warm := service(1, 3), array(2, 4, 300), array(3, 8, 18)
					a, late, quick := array(4, 4, 20), array(5, 4, 300), array(6, 4, 3)
					at(2 * time.Second)
					w.Submit(s, 0)
					w.Submit(gone, 0)
					w.Submit(warm, 0)
					at(44 * time.Second)
					ms := w.Working("")
					w.LagCommands(c.lag)
					if c.hang {
						w.Hang(true, ms...)
					}
					w.Submit(a, 0)
					w.Submit(late, 0)
					w.Submit(quick, 0)
					time.Sleep(time.Second)
					if then == "cancel" || then == "both" {
						mustCancel(t, w, gone)
						mustCancel(t, w, late)
					}
					if then == "leader" || then == "both" {
						l, old := w.Holder()
						w.Kill(l)
						nextLeader(t, w, old)
						time.Sleep(time.Second)
						w.Up(l)
					}
					if c.hang {
						time.Sleep(5 * time.Second)
						w.Hang(false, ms...)
					}
					time.Sleep(20 * time.Second)
					if then == "leader" {
						if c.hang {
							w.Hang(true, w.Working("")...)
						}
						mustCancel(t, w, gone) // so that halts are held up too
						mustCancel(t, w, late)
						time.Sleep(6 * time.Second)
						if c.hang {
							w.Hang(false, w.All()...)
						}
						time.Sleep(8 * time.Second)
					}
					cancelledIsGone(t, w, gone, "20 s later")
					cancelledIsGone(t, w, late, "20 s later")
					w.LagCommands(simulator.Lag{})
					for verb, want := range map[wire.Verb]bool{
						wire.Launch: c.hang || c.lag.Command > 0, wire.Halt: c.hang || c.lag.Command == 2*time.Second,
						simulator.Answered: c.lag.Answer > 0, wire.Forget: c.lag.Hello > 0 && c.lag.Answer == 0,
					} {
						if want && w.Late(verb) == 0 {
							t.Errorf("no %s came late", verb)
						}
					}
					time.Sleep(20 * time.Second)
					w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
					time.Sleep(90 * time.Second)
					mustFinish(t, w, warm, a, quick)
					mustRun(t, w, s, "at the end")
				})
			})
		}
	}
}

// The leader ends while machines with long tasks can't be reached, or hear none
// of the new leader's answers, for less than a lease or more. Their tasks are
// neither started twice nor given up for ever.
func TestLeaderEndsWhileMachinesCantBeReached(t *testing.T) {
	for _, how := range []string{"cut", "deaf", "deaf to the next", "hang"} {
		for _, long := range []bool{false, true} {
			play := play
			if long {
				play = playOdd
			}
			if how == "deaf" && !long {
				continue // as deaf to the next
			}
			t.Run(fmt.Sprintf("%s, longer than a lease %v", how, long), func(t *testing.T) {
				play(t, 650, func(w *simulator.World, at func(time.Duration)) {
					s, a := service(1, 3), array(2, 12, 70)
					at(2 * time.Second)
					w.Submit(s, 0)
					w.Submit(a, 0)
					at(45 * time.Second)
					ms := w.Holds(a.Spec.ID)
					ms = ms[:(len(ms)+1)/2]
					l, old := w.Holder()
					off := func(on bool) {
						for _, id := range ms {
							ip := w.IP(id)
							for i := range w.Set.Size {
								switch {
								case ip == "":
								case how == "cut":
									w.Net.Cut(simulator.NodeIP(i), ip, on)
								case how == "deaf", how == "deaf to the next" && i != l:
									w.Net.Hold(simulator.NodeIP(i), ip, on)
								}
							}
						}
						if how == "hang" {
							w.Hang(on, ms...)
						}
					}
					off(true)
					time.Sleep(500 * time.Millisecond)
					w.Kill(l)
					_, token := nextLeader(t, w, old)
					time.Sleep(2 * time.Second)
					unheard := 0
					for _, id := range ms {
						if _, _, baton := w.Life(id); baton < token {
							unheard++
						}
					}
					if unheard != len(ms) {
						t.Errorf("%d of %d machines have not heard the new leader", unheard, len(ms))
					}
					if how != "deaf to the next" {
						w.Up(l)
					}
					time.Sleep(3 * time.Second)
					if long {
						time.Sleep(w.Set.Workers.LeaseS.Duration() + 10*time.Second)
					}
					off(false)
					w.Up(l)
					w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
					time.Sleep(130 * time.Second)
					mustFinish(t, w, a)
					mustRun(t, w, s, "at the end")
				})
			})
		}
	}
}

// Jobs are cancelled whose machines hang, are deaf or mute, while the cloud may
// be away and the leader may end. The tasks must be gone in time, also when the
// machines go on later.
func TestCancelledOnMachinesThatDontAnswer(t *testing.T) {
	for _, how := range []string{"hang", "deaf", "mute"} {
		for _, cloud := range []bool{false, true} {
			for _, leader := range []bool{false, true} {
				if !cloud && (leader || how != "hang") {
					continue // easier than with the cloud away
				}
				play := play
				if leader {
					play = playOdd
				}
				t.Run(fmt.Sprintf("%s, cloud away %v, leader ends %v", how, cloud, leader), func(t *testing.T) {
					rng := rand.New(rand.NewPCG(660, 1))
					play(t, 660, func(w *simulator.World, at func(time.Duration)) {
						s, gone, a := service(1, 3), array(2, 10, 300), array(3, 6, 20)
						kept := service(4, 2)
						at(2 * time.Second)
						w.Submit(s, 0)
						w.Submit(gone, 0)
						w.Submit(kept, 0)
						at(45 * time.Second)
						ms := w.Working("")
						off := func(on bool) {
							switch how {
							case "hang":
								w.Hang(on, ms...)
							case "deaf":
								w.Deafen(on, ms...)
							default:
								w.Mute(on, ms...)
							}
						}
						w.CloudOutage(cloud)
						off(true)
						time.Sleep(within(rng)(3))
						if n := alive(w, gone.Spec.ID); n != 10 {
							t.Errorf("%d of 10 tasks run when they are cancelled", n)
						}
						mustCancel(t, w, gone)
						mustCancel(t, w, kept)
						if how == "mute" {
							time.Sleep(4 * time.Second)
							cancelledIsGone(t, w, gone, "on mute machines")
						}
						if leader {
							l, old := w.Holder()
							w.Kill(l)
							nextLeader(t, w, old)
							time.Sleep(time.Second)
							w.Up(l)
						}
						w.Submit(a, 0)
						time.Sleep(within(rng)(8))
						if how == "hang" && alive(w, gone.Spec.ID) == 0 && cloud {
							t.Error("the hanging machines lost their tasks before they went on")
						}
						if how != "mute" {
							off(false) // within the lease
							time.Sleep(6 * time.Second)
							cancelledIsGone(t, w, gone, "when the machines go on")
							off(true)
						}
						time.Sleep(w.Set.Workers.LeaseS.Duration() + 4*time.Second)
						cancelledIsGone(t, w, gone, "after a lease")
						off(false)
						time.Sleep(20 * time.Second)
						w.CloudOutage(false)
						w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
						time.Sleep(80 * time.Second)
						mustFinish(t, w, a)
						mustRun(t, w, s, "at the end")
						cancelledIsGone(t, w, gone, "at the end")
						cancelledIsGone(t, w, kept, "at the end")
					})
				})
			}
		}
	}
}

// Workers can open no connection to any controller, while what is sent to them
// arrives: one machine, some, or most of a zone. They look alive, and their
// leases run out all the same. What can't live there must be done elsewhere, and
// what is cancelled there must be gone in time.
func TestMuteMachines(t *testing.T) {
	for name, some := range map[string]func(w *simulator.World) []wire.MachineID{
		"one":         func(w *simulator.World) []wire.MachineID { return w.Working("")[:1] },
		"some":        func(w *simulator.World) []wire.MachineID { ms := w.Working(""); return ms[:(len(ms)+1)/2] },
		"most a zone": func(w *simulator.World) []wire.MachineID { ms := w.Working("a"); return ms[:(len(ms)*3+3)/4] },
	} {
		t.Run(name, func(t *testing.T) {
			both := playBoth
			if name == "one" {
				both = func(t *testing.T, seed uint64, script func(*testing.T, *simulator.World, func(time.Duration))) {
					playOdd(t, seed, func(w *simulator.World, at func(time.Duration)) { script(t, w, at) })
				}
			}
			both(t, 640, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, a, gone := service(1, 3), array(2, 12, 60), array(3, 4, 300)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				w.Submit(gone, 0)
				at(45 * time.Second)
				mute := some(w)
				w.Mute(true, mute...)
				// Each has outlived a lease without a report, and yet answers.
				time.Sleep(w.Set.Workers.LeaseS.Duration() + time.Second)
				n := 0
				for _, id := range mute {
					if shift, _, _ := w.Life(id); shift > 1 {
						n++
					}
				}
				if n+countGone(w, mute) != len(mute) || n == 0 {
					t.Errorf("%d of %d mute machines are there in a new session", n, len(mute))
				}
				mustCancel(t, w, gone)
				time.Sleep(5 * time.Second)
				cancelledIsGone(t, w, gone, "5 s later, on mute machines")
				// Where they are many they are kept for a while, and the cloud may
				// have no more of their cheap type.
				time.Sleep(170 * time.Second)
				mustFinish(t, w, a)
				mustRun(t, w, s, "while machines are mute")
				w.Mute(false, mute...)
				time.Sleep(30 * time.Second)
				mustRun(t, w, s, "afterwards")
			})
		})
	}
}

func countGone(w *simulator.World, ids []wire.MachineID) (n int) {
	for _, id := range ids {
		if w.IP(id) == "" {
			n++
		}
	}
	return n
}

// A job is cancelled, and before its tasks are halted the state service goes
// away for longer than the time for cancellations, while a majority of the nodes
// goes on answering reports: the machines hang just then, or the next leader has
// not yet read what is stored. The tasks must be gone in time all the same.
func TestCancelledJustBeforeAnOutage(t *testing.T) {
	for _, how := range []string{"hang", "deaf", "not recovered"} {
		t.Run(how, func(t *testing.T) {
			playBoth(t, 670, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, gone, a := service(1, 3), array(2, 6, 300), array(3, 6, 20)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(gone, 0)
				at(45 * time.Second)
				ms := w.Working("")
				l, old := w.Holder()
				switch how {
				case "hang":
					w.Hang(true, ms...)
				case "deaf":
					w.Deafen(true, ms...)
				default:
					// It reads of no change any more, and goes on answering reports
					// until its grant ends. What the others tell it of it can't
					// halt: the machines hang as well.
					w.State.Refuse(simulator.NodeIP(l), true)
					w.Hang(true, ms...)
					time.Sleep(2 * time.Second)
				}
				mustCancel(t, w, gone)
				if how == "not recovered" {
					for i := range w.Set.Size {
						w.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), 300*time.Millisecond)
					}
					n, _ := nextLeader(t, w, old)
					w.State.Refuse(simulator.NodeIP(l), false)
					time.Sleep(320 * time.Millisecond)
					w.State.Outage(true)
					time.Sleep(time.Second)
					if hasRecovered(w, n) {
						t.Error("the new leader has read what is stored")
					}
				} else {
					time.Sleep(300 * time.Millisecond)
					w.State.Outage(true)
				}
				time.Sleep(4 * time.Second)
				if alive(w, gone.Spec.ID) == 0 {
					t.Error("no cancelled task runs when the state service is away")
				}
				w.Hang(false, ms...)
				w.Deafen(false, ms...)
				time.Sleep(w.Set.Workers.CancelS.Duration() + 5*time.Second)
				cancelledIsGone(t, w, gone, "although their time is up")
				for i := range w.Set.Size {
					w.Net.SlowLink("10.2.0.1", simulator.NodeIP(i), 0)
				}
				w.State.Outage(false)
				w.Submit(a, 0)
				time.Sleep(80 * time.Second)
				mustFinish(t, w, a)
				mustRun(t, w, s, "at the end")
			})
		})
	}
}
