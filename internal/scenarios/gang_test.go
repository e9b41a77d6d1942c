package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// gang is a job whose tasks start together or never, and save.
func gang(n, parts int, run float64) simulator.Truth {
	return simulator.Truth{RunS: run, Spec: wire.Spec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent,
		Tasks: parts, CPUs: 2, MemoryGB: 6, Image: "img-g", ImageGB: 1, SameZone: true, ExpectedRunTime: wire.Seconds(run),
		CheckpointInterval: 20, CheckpointTime: 2}}
}

// shows waits for something that the stand-ins show.
func shows(t *testing.T, most time.Duration, what string, is func() bool) bool {
	t.Helper()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if is() {
			return true
		}
	}
	t.Errorf("not within %v: %s", most, what)
	return false
}

// recorded counts the chunks that are stored of a job's progress.
func recorded(w *simulator.World, j simulator.Truth) int {
	return len(w.State.Keys("run/" + string(j.Spec.ID) + "/"))
}

// runs waits until all of the gang runs.
func runs(t *testing.T, w *simulator.World, j simulator.Truth, most time.Duration) bool {
	t.Helper()
	return shows(t, most, string(j.Spec.ID)+" runs whole", func() bool { return w.Gang(j.Spec.ID).Running == j.Spec.Tasks })
}

func TestGangQuiet(t *testing.T) {
	playBoth(t, 800, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		a, b, c := gang(1, 4, 30), gang(2, 1, 10), gang(3, 8, 25)
		c.Spec.SameZone, c.Spec.CPUs, c.Spec.CheckpointInterval, c.Spec.CheckpointTime = false, 1, 0, 0
		at(2 * time.Second)
		for _, j := range []simulator.Truth{a, b, c} {
			w.Submit(j, 0)
		}
		at(120 * time.Second)
		mustFinish(t, w, a, b, c)
		for _, j := range []simulator.Truth{a, b, c} {
			if g := w.Gang(j.Spec.ID); g.Starts != 1 || g.Falls != 0 {
				t.Errorf("%s: %+v, want one start and no fall", j.Spec.ID, g)
			}
			if n := recorded(w, j); n != 0 {
				t.Errorf("%s: %d records of progress are left", j.Spec.ID, n)
			}
		}
	})
}

// A member is gone before its gang has started, by its machine's end or a
// refusal: the gang must run soon all the same, well before the others have
// waited in vain.
func TestGangLosesAMemberBeforeTheStart(t *testing.T) {
	for _, how := range []string{"machine taken", "refused"} {
		t.Run(how, func(t *testing.T) {
			playBoth(t, 801, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				warm, j := array(1, 12, 60), gang(2, 4, 20)
				warm.Spec.CPUs = 1
				j.Spec.ImageGB = 6 // it is fetched for a while
				at(2 * time.Second)
				w.Submit(warm, 0)
				at(40 * time.Second)
				if how == "refused" {
					for _, id := range w.All() {
						w.RefuseFull(id, 1)
					}
				}
				w.Submit(j, 0)
				if how == "machine taken" {
					shows(t, 30*time.Second, "fetches", func() bool { g := w.Gang(j.Spec.ID); return g.Pulling == 4 && g.Starts == 0 })
					w.TakeMachine(w.Members(j.Spec.ID)[0])
				}
				before := time.Now()
				runs(t, w, j, 60*time.Second)
				t.Logf("runs after %v, %+v", time.Since(before), w.Gang(j.Spec.ID))
				at(160 * time.Second)
				mustFinish(t, w, j)
				if g := w.Gang(j.Spec.ID); g.Alone != 0 {
					t.Errorf("%d tasks waited in vain", g.Alone)
				}
			})
		})
	}
}

// A member is gone, hangs or fails after the start: the gang starts again as a
// whole from its last checkpoint.
func TestGangLosesAMemberAfterTheStart(t *testing.T) {
	for _, how := range []string{"taken", "hangs", "hangs for long", "reborn"} {
		t.Run(how, func(t *testing.T) {
			playBoth(t, 802, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				j := gang(1, 4, 60)
				at(2 * time.Second)
				w.Submit(j, 0)
				runs(t, w, j, 40*time.Second)
				time.Sleep(30 * time.Second)
				on := w.Members(j.Spec.ID)
				switch how {
				case "taken":
					w.TakeMachine(on[0])
				case "reborn":
					w.Rebirth(on[0])
				default:
					w.Unrest(true)
					w.Hang(true, on[0])
					d := 11 * time.Second
					if how == "hangs for long" {
						d = 60 * time.Second
					}
					time.Sleep(d)
					w.Hang(false, on[0])
					w.Unrest(false)
				}
				shows(t, 100*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
				if g := w.Gang(j.Spec.ID); g.Falls != 1 || g.Saved != 20 {
					t.Errorf("%+v, want one fall to 20 s", g)
				}
				time.Sleep(70 * time.Second)
				mustFinish(t, w, j)
			})
		})
	}
}

// uneven makes machines fetch at different speeds, also those yet to come.
func uneven(w *simulator.World) {
	for i := range 40 {
		w.SlowMachine(wire.MachineID(fmt.Sprintf("n-%06d", i)), 1/(1+0.5*float64(i%6)))
	}
}

// The leader ends at each step between a gang's record and its start, and in its
// orderly stop: no half is left, and it starts soon.
func TestGangLosesTheLeader(t *testing.T) {
	id := gang(1, 4, 40)
	id.Spec.MachineTypes = []wire.MachineType{"c4"}
	step := map[string]func(g simulator.Gang, recorded int) bool{
		"recorded": func(g simulator.Gang, n int) bool { return n > 0 && g.Pulling+g.Waiting+g.Running == 0 },
		"first launched": func(g simulator.Gang, _ int) bool {
			n := g.Pulling + g.Waiting
			return n > 0 && n < 4 && g.Running == 0
		},
		"all launched":  func(g simulator.Gang, _ int) bool { return g.Pulling == 4 },
		"first waiting": func(g simulator.Gang, _ int) bool { return g.Waiting > 0 && g.Running == 0 },
		"running":       func(g simulator.Gang, _ int) bool { return g.Running == 4 },
	}
	for name, is := range step {
		for _, down := range []time.Duration{200 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(name, " ", down), func(t *testing.T) {
				playBoth(t, 803, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
					j := id
					warm := array(9, 10, 15)
					warm.Spec.SpotAllowed, warm.Spec.MachineTypes = false, id.Spec.MachineTypes
					at(2 * time.Second)
					w.Submit(warm, 0)
					at(30 * time.Second)
					if name == "first waiting" {
						uneven(w)
					}
					if name == "recorded" || name == "first launched" {
						w.LagCommands(simulator.Lag{Command: 300 * time.Millisecond})
						l := w.Leader()
						if name == "first launched" { // one of the machines gets its command later
							for i := range 40 { // also those that are yet to come
								w.Net.SlowLink(simulator.NodeIP(l), fmt.Sprintf("10.1.0.%d", i+1), time.Duration(i%6)*500*time.Millisecond)
							}
						}
					}
					w.Submit(j, 0)
					if !shows(t, 40*time.Second, name, func() bool { return is(w.Gang(j.Spec.ID), recorded(w, j)) }) {
						return
					}
					l := w.Leader()
					w.Kill(l)
					w.LagCommands(simulator.Lag{})
					time.Sleep(down)
					w.Up(l)
					begin := time.Now()
					shows(t, 60*time.Second, "runs", func() bool { return w.Gang(j.Spec.ID).Starts > 0 })
					t.Logf("%s: runs %v after, %+v", name, time.Since(begin), w.Gang(j.Spec.ID))
					time.Sleep(260 * time.Second)
					mustFinish(t, w, j)
					if g := w.Gang(j.Spec.ID); g.Starts != 1 || g.Alone > 0 {
						t.Errorf("%+v: want one start, nobody alone", g)
					}
				})
			})
		}
	}
}

// A service of prod preempts a gang: all of its tasks are stopped together, and
// what they have done is saved, also when some hear of it later. The leader may
// end in the middle; then a save may fail, and the gang goes on from its last
// checkpoint.
func TestGangIsPreempted(t *testing.T) {
	for _, how := range []string{"quiet", "a halt is late", "leader ends at the first halt", "and the service is cancelled"} {
		t.Run(how, func(t *testing.T) {
			playAs(t, simulator.DefaultSettings(), 804, func(w *simulator.World, at func(time.Duration)) {
				j, s := gang(1, 4, 50), service(2, 4)
				j.Spec.Priority, j.Spec.MachineTypes = wire.PriorityStandard, []wire.MachineType{"c4"}
				s.Spec.Spread, s.Spec.MemoryGB = false, 6
				at(2 * time.Second)
				// Room kept for the next gang would be room for the service.
				if status, raw, _ := w.Operate(0, "PUT", "/admin/settings", map[string]any{"version": 0, "set": map[string]any{"gangs.spare": 0}}); status != 200 {
					t.Fatalf("settings answer %d %s", status, raw)
				}
				w.Submit(j, 0)
				runs(t, w, j, 60*time.Second)
				w.NoMore()
				time.Sleep(25 * time.Second) // 5 s past its checkpoint
				l := w.Leader()
				if on := w.Members(j.Spec.ID); len(on) < 2 {
					t.Fatalf("all on %v", on)
				} else if how == "leader ends at the first halt" || how == "and the service is cancelled" {
					w.Net.Hold(simulator.NodeIP(l), w.IP(on[1]), true)
					defer w.Net.Hold(simulator.NodeIP(l), w.IP(on[1]), false)
				} else if how != "quiet" {
					w.Net.SlowLink(simulator.NodeIP(l), w.IP(on[1]), 2500*time.Millisecond)
				}
				w.Submit(s, 0)
				if !shows(t, 20*time.Second, "is stopped", func() bool { return w.Gang(j.Spec.ID).Saving > 0 }) {
					return
				}
				g := w.Gang(j.Spec.ID)
				if how != "quiet" && g.Running == 0 {
					t.Errorf("%+v: nobody hears of it late", g)
				}
				if how == "leader ends at the first halt" || how == "and the service is cancelled" {
					w.Kill(l)
					if how == "and the service is cancelled" { // then only what is saving tells the next leader
						shows(t, 5*time.Second, "cancelled", func() bool {
							status, _, _ := w.Ask((l+1)%3, "POST", "/v1/jobs/"+string(s.Spec.ID)+"/cancel", nil)
							return status == 200
						})
					}
					time.Sleep(time.Second)
					w.Up(l)
				}
				time.Sleep(30 * time.Second)
				if g = w.Gang(j.Spec.ID); g.Saves+g.Falls != 1 || g.Saved < 20 || how != "leader ends at the first halt" && (g.Falls != 0 || g.Saved < 24) {
					t.Errorf("%+v, want one orderly stop", g)
				}
				t.Logf("%+v", g)
				if how != "and the service is cancelled" {
					mustRun(t, w, s, "with room made")
				}
			})
		})
	}
}

// A spot notice on one member's machine: all of the gang saves.
func TestGangSpotNotice(t *testing.T) {
	for _, left := range []time.Duration{25 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			playBoth(t, 805, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				j := gang(1, 4, 60)
				j.Spec.SpotAllowed = true
				at(2 * time.Second)
				w.Submit(j, 0)
				runs(t, w, j, 60*time.Second)
				time.Sleep(33 * time.Second)
				w.Notice(w.Members(j.Spec.ID)[0], left)
				shows(t, 60*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
				if g := w.Gang(j.Spec.ID); g.Saves != 1 || g.Falls != 0 || g.Saved < 33 {
					t.Errorf("%+v, want one orderly stop", g)
				}
				time.Sleep(60 * time.Second)
				mustFinish(t, w, j)
			})
		})
	}
}

// A gang is cancelled in each phase: all of it is gone within cancel_s.
func TestGangCancelled(t *testing.T) {
	phases := map[string]func(g simulator.Gang) bool{
		"queued":  func(g simulator.Gang) bool { return true },
		"pulling": func(g simulator.Gang) bool { return g.Pulling > 0 },
		"waiting": func(g simulator.Gang) bool { return g.Waiting > 0 },
		"running": func(g simulator.Gang) bool { return g.Running == 4 },
		"saving":  func(g simulator.Gang) bool { return g.Saving > 0 },
	}
	for name, is := range phases {
		t.Run(name, func(t *testing.T) {
			playBoth(t, 806, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				j, warm := gang(1, 4, 60), array(9, 10, 15)
				j.Spec.SpotAllowed, j.Spec.CheckpointTime, j.Spec.MachineTypes = true, 4, []wire.MachineType{"c4"}
				warm.Spec.MachineTypes = j.Spec.MachineTypes
				at(2 * time.Second)
				w.Submit(warm, 0)
				at(30 * time.Second)
				uneven(w)
				w.Submit(j, 0)
				time.Sleep(time.Second)
				if name == "saving" {
					runs(t, w, j, 60*time.Second)
					w.Notice(w.Members(j.Spec.ID)[0], 30*time.Second)
				}
				if !shows(t, 60*time.Second, name, func() bool { return is(w.Gang(j.Spec.ID)) }) {
					return
				}
				shows(t, 10*time.Second, "cancelled", func() bool {
					status, _, _ := w.Ask(0, "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil)
					return status == 200
				})
				time.Sleep(12 * time.Second)
				if g := w.Gang(j.Spec.ID); g.Pulling+g.Waiting+g.Running+g.Saving != 0 {
					t.Errorf("12 s after its cancellation: %+v", g)
				}
				time.Sleep(60 * time.Second)
				w.Submit(array(5, 1, 1), 0)
				time.Sleep(40 * time.Second)
			})
		})
	}
}

// Gangs compete with arrays for room that is always full, and with each other,
// also under their team's limit: each begins within four minutes.
func TestGangsCompete(t *testing.T) {
	playBoth(t, 807, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		var gangs []simulator.Truth
		at(2 * time.Second)
		for n := range 12 {
			w.Submit(array(100+n, 8, 20), 0)
		}
		at(35 * time.Second)
		w.NoMore()
		began := map[wire.JobID]time.Duration{}
		for n := range 45 {
			at(time.Duration(36+5*n) * time.Second)
			a := array(200+n, 10, 30)
			if n%2 == 1 {
				a.Spec.Team = "blue"
			}
			w.Submit(a, 0)
			if n%9 == 0 {
				for k, parts := range []int{4, 6} {
					j := gang(10+len(gangs), parts, 25)
					j.Spec.SpotAllowed = true
					if k == 1 {
						j.Spec.Priority, j.Spec.SameZone = wire.PriorityStandard, false
					}
					gangs = append(gangs, j)
					w.Submit(j, 0)
				}
			}
		}
		submitted := func(k int) time.Duration { return time.Duration(36+45*(k/2)) * time.Second }
		at(520 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			for k, j := range gangs {
				d, ok := c.Waited(j.Spec.ID)
				began[j.Spec.ID] = d
				if !ok || d > 4*time.Minute {
					t.Errorf("%s of %d (submitted at %v) began after %v, %v", j.Spec.ID, j.Spec.Tasks, submitted(k), d, ok)
				}
			}
		})
		t.Logf("began after %v", began)
	})
}

// A zone is cut off with a gang inside, shorter and longer than its lease, while
// copies of its old reports come in.
func TestGangBehindACut(t *testing.T) {
	for _, d := range []time.Duration{5 * time.Second, 30 * time.Second, 70 * time.Second} {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprint(d, " leader inside ", leads), func(t *testing.T) {
				playAs(t, sized(5), 808, func(w *simulator.World, at func(time.Duration)) {
					at(2 * time.Second)
					time.Sleep(3 * time.Second)
					z := leadersZone(w, leads)
					in, other := gang(1, 4, 50), gang(2, 4, 50)
					across := gang(3, 6, 50)
					in.Spec.Zone, across.Spec.SameZone, across.Spec.Spread = z, false, true
					w.Submit(in, 0)
					w.Submit(other, 0)
					w.Submit(across, 0)
					runs(t, w, in, 40*time.Second)
					time.Sleep(10 * time.Second)
					for _, id := range w.Members(in.Spec.ID) {
						w.Copy(id, 3*time.Second, 20*time.Second, 60*time.Second, 100*time.Second)
					}
					w.CutZone(z, true)
					time.Sleep(d)
					w.CutZone(z, false)
					time.Sleep(180 * time.Second)
					mustFinish(t, w, in, other, across)
					t.Logf("in %+v\nother %+v\nacross %+v", w.Gang(in.Spec.ID), w.Gang(other.Spec.ID), w.Gang(across.Spec.ID))
				})
			})
		}
	}
}

// Copies of reports that show an older attempt come while the next one waits and
// runs, also to a new leader.
func TestGangLateCopies(t *testing.T) {
	playAs(t, sized(5), 809, func(w *simulator.World, at func(time.Duration)) {
		j := gang(1, 4, 60)
		at(2 * time.Second)
		w.Submit(j, 0)
		runs(t, w, j, 40*time.Second)
		on := w.Members(j.Spec.ID)
		var late []time.Duration
		for d := 1; d < 70; d += 2 {
			late = append(late, time.Duration(d)*time.Second)
		}
		time.Sleep(2 * time.Second)
		for _, id := range on {
			w.Copy(id, late...)
		}
		w.TakeMachine(on[0])
		time.Sleep(15 * time.Second)
		l := w.Leader()
		w.Kill(l)
		time.Sleep(time.Second)
		w.Up(l)
		time.Sleep(150 * time.Second)
		mustFinish(t, w, j)
		if g := w.Gang(j.Spec.ID); g.Starts != 2 || g.Falls != 1 {
			t.Errorf("%+v, want two starts", g)
		}
	})
}

// Seeded troubles, with gangs beside arrays and services. WORLD_SEEDS asks for
// more of them.
func TestGangSeededTroubles(t *testing.T) {
	most, _ := strconv.Atoi(os.Getenv("WORLD_SEEDS"))
	for seed := range uint64(max(6, most)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			set := []config.Settings{sized(3), sized(5), simulator.GasSettings()}[seed%3]
			playAs(t, set, 820+seed, func(w *simulator.World, at func(time.Duration)) {
				seconds, size := within(rng), set.Size
				var all []simulator.Truth
				at(2 * time.Second)
				w.Submit(service(900, 3), 0)
				for n := range 24 {
					at(time.Duration(3+6*n)*time.Second + seconds(4))
					j := gang(10+n, 2+rng.IntN(4), float64(5+rng.IntN(50)))
					j.Spec.SameZone, j.Spec.SpotAllowed = rng.IntN(3) > 0, rng.IntN(2) == 0
					if rng.IntN(2) == 0 {
						j.Spec.Priority = wire.PriorityStandard
					}
					if n%3 == 2 {
						j = array(100+n, 1+rng.IntN(8), float64(5+rng.IntN(25)))
					}
					cancel := mayCancel(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					w.Submit(j, cancel)
					switch k := rng.IntN(11); k {
					case 0, 1:
						i := rng.IntN(size)
						if l := w.Leader(); k == 1 && l >= 0 {
							i = l
						}
						w.Kill(i)
						time.Sleep(seconds(5))
						w.Up(i)
					case 2:
						w.State.Outage(true)
						time.Sleep(seconds(20))
						w.State.Outage(false)
					case 3, 4:
						if on := w.Members(j.Spec.ID); len(on) > 0 {
							w.TakeMachine(on[0])
						} else {
							w.Take(1, func(_ bool, tasks int) bool { return tasks > 0 })
						}
					case 5:
						if id, _, ok := w.Some(func(n int) bool { return n > 0 }); ok {
							w.Notice(id, 8*time.Second+seconds(20))
						}
					case 6:
						if id, _, ok := w.Some(func(n int) bool { return n > 0 }); ok {
							w.Unrest(true)
							w.Hang(true, id)
							time.Sleep(seconds(30))
							w.Hang(false, id)
							w.Unrest(false)
						}
					case 7:
						w.State.LoseAnswers(1)
					case 8:
						z := set.Zones[rng.IntN(len(set.Zones))]
						w.CutZone(z, true)
						time.Sleep(seconds(40))
						w.CutZone(z, false)
					case 9:
						_, ip, ok := w.Some(func(n int) bool { return n > 0 })
						if i := rng.IntN(size); ok {
							w.Net.Hold(simulator.NodeIP(i), ip, true)
							time.Sleep(seconds(25))
							w.Net.Hold(simulator.NodeIP(i), ip, false)
						}
					case 10:
						for _, id := range w.All() {
							w.Copy(id, seconds(30))
						}
					}
				}
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(220 * time.Second)
				mustFinish(t, w, all...)
				starts, saves, falls, alone := 0, 0, 0, 0
				for _, j := range all {
					g := w.Gang(j.Spec.ID)
					starts, saves, falls, alone = starts+g.Starts, saves+g.Saves, falls+g.Falls, alone+g.Alone
				}
				t.Logf("%d jobs, %d starts of gangs, %d saved, %d fell back, %d tasks alone", len(all), starts, saves, falls, alone)
			})
		})
	}
}

// With the cloud sold out, the room that is free is kept for the next replicas. A
// gang that fits into it must not wait for ever, as an array must not.
func TestGangInKeptRoom(t *testing.T) {
	playAs(t, simulator.DefaultSettings(), 810, func(w *simulator.World, at func(time.Duration)) {
		s, j := service(1, 4), gang(2, 3, 20)
		s.Spec.Spread, s.Spec.MachineTypes, s.Spec.Zone = false, []wire.MachineType{"c16"}, "a"
		j.Spec.CPUs, j.Spec.Priority, j.Spec.MachineTypes, j.Spec.Zone = 4, wire.PriorityStandard, s.Spec.MachineTypes, "a" // 12 of 16 CPUs, 4 used, 2 kept
		at(2 * time.Second)
		w.Submit(s, 0)
		at(40 * time.Second)
		mustRun(t, w, s, "at first")
		if n := len(w.Members(s.Spec.ID)); n != 1 {
			t.Fatalf("%d machines", n)
		}
		w.NoMore()
		w.Submit(j, 0)
		at(240 * time.Second)
		mustFinish(t, w, j)
		mustRun(t, w, s, "at last")
	})
}

// An urgent gang needs several whole machines, some of which are free at once and
// some only when their tasks have saved. What is free first must be kept until all
// of it is.
func TestGangWaitsForThoseWhoSave(t *testing.T) {
	playAs(t, simulator.DefaultSettings(), 811, func(w *simulator.World, at func(time.Duration)) {
		w.SlowSaves()
		saves, j := array(1, 2, 300), gang(3, 4, 20)
		for _, s := range []*wire.Spec{&saves.Spec, &j.Spec} {
			s.CPUs, s.MemoryGB, s.MachineTypes, s.SpotAllowed, s.Zone = 4, 8, []wire.MachineType{"c4"}, false, "a"
		}
		saves.Spec.Team = "blue"
		saves.Spec.CheckpointInterval, saves.Spec.CheckpointTime = 20, 14
		at(2 * time.Second)
		w.Submit(saves, 0)
		quick := func(n int) {
			a := array(n, 6, 25)
			a.Spec.CPUs, a.Spec.MemoryGB, a.Spec.MachineTypes, a.Spec.SpotAllowed, a.Spec.Zone, a.Spec.Team = 4, 8, j.Spec.MachineTypes, false, "a", "blue"
			w.Submit(a, 0)
		}
		quick(100)
		at(30 * time.Second)
		w.NoMore()
		for n := range 20 {
			quick(101 + n)
		}
		at(60 * time.Second)
		w.Submit(j, 0)
		w.Checked(func(c *simulator.Checker) {
			if c.On(saves.Spec.ID) != 2 {
				t.Errorf("%d of 2 tasks that save", c.On(saves.Spec.ID))
			}
		})
		at(250 * time.Second)
		mustFinish(t, w, j)
		w.Checked(func(c *simulator.Checker) {
			d, ok := c.Waited(j.Spec.ID)
			t.Logf("began after %v, %d started again", d, c.Again())
			if !ok || d > 22*time.Second || c.Again() > 4 {
				t.Errorf("began after %v, %v, with %d tasks stopped for four", d, ok, c.Again())
			}
		})
	})
}

// A spot notice is in the first report that a new leader hears of a gang: it
// stops all of it in order.
func TestGangNoticeToANewLeader(t *testing.T) {
	playBoth(t, 812, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		j := gang(1, 4, 60)
		j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		at(2 * time.Second)
		w.Submit(j, 0)
		runs(t, w, j, 60*time.Second)
		time.Sleep(33 * time.Second)
		l := w.Leader()
		w.Kill(l)
		for _, id := range w.Members(j.Spec.ID) {
			w.Notice(id, 25*time.Second)
		}
		time.Sleep(4 * time.Second)
		w.Up(l)
		shows(t, 60*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
		if g := w.Gang(j.Spec.ID); g.Saves != 1 || g.Falls != 0 || g.Saved < 33 {
			t.Errorf("%+v, want one orderly stop", g)
		}
		time.Sleep(60 * time.Second)
		mustFinish(t, w, j)
	})
}

// A spot notice comes in an outage of the state service.
func TestGangNoticeInAnOutage(t *testing.T) {
	playBoth(t, 813, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		j := gang(1, 4, 80)
		j.Spec.SpotAllowed, j.Spec.MachineTypes = true, []wire.MachineType{"c4"}
		at(2 * time.Second)
		w.Submit(j, 0)
		runs(t, w, j, 60*time.Second)
		time.Sleep(30 * time.Second)
		w.State.Outage(true)
		time.Sleep(5 * time.Second)
		w.Notice(w.Members(j.Spec.ID)[0], 20*time.Second)
		time.Sleep(25 * time.Second)
		t.Logf("in the outage %+v", w.Gang(j.Spec.ID))
		w.State.Outage(false)
		shows(t, 60*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
		time.Sleep(90 * time.Second)
		mustFinish(t, w, j)
	})
}

// Cancelling races the end of gangs.
func TestGangCancelRacesCompletion(t *testing.T) {
	play(t, 814, func(w *simulator.World, at func(time.Duration)) {
		at(2 * time.Second)
		for n := range 14 {
			j := gang(100+n, 2, 10)
			j.Spec.CPUs, j.Spec.MemoryGB = 1, 3
			w.Submit(j, time.Duration(18+n)*time.Second)
		}
		at(150 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 14 || done == 0 || cancelled == 0 {
				t.Errorf("%d done, %d cancelled of 14", done, cancelled)
			}
		})
	})
}

// One member's machine fails everything: the gang runs elsewhere. A gang that
// fails everywhere condemns no machines.
func TestGangFails(t *testing.T) {
	play(t, 815, func(w *simulator.World, at func(time.Duration)) {
		good, bad := gang(1, 4, 40), gang(2, 4, 15)
		good.Spec.MachineTypes = []wire.MachineType{"c4"}
		bad.Fails = true
		warm := array(9, 10, 15)
		warm.Spec.MachineTypes, warm.Spec.SpotAllowed = good.Spec.MachineTypes, false
		at(2 * time.Second)
		w.Submit(warm, 0)
		at(25 * time.Second)
		w.Submit(good, 0)
		shows(t, 30*time.Second, "fetches", func() bool { return w.Gang(good.Spec.ID).Pulling > 0 })
		w.Sick(w.Members(good.Spec.ID)[0])
		at(130 * time.Second)
		mustFinish(t, w, good)
		t.Logf("%+v", w.Gang(good.Spec.ID))
		before := w.Rented()
		w.Submit(bad, 90*time.Second)
		at(230 * time.Second)
		if n := w.Rented() - before; n > 8 {
			t.Errorf("a faulty gang cost %d machines", n)
		}
		after := gang(3, 4, 10)
		w.Submit(after, 0)
		at(290 * time.Second)
		mustFinish(t, w, after)
	})
}

// A team's arrays keep it at its limit for ever, with room enough. Its gangs, which
// need much of the limit at once, must begin within four minutes all the same.
func TestGangUnderItsTeamsLimit(t *testing.T) {
	for _, u := range []wire.Priority{wire.PriorityUrgent, wire.PriorityStandard, wire.PriorityBestEffort} {
		t.Run(string(u), func(t *testing.T) {
			play(t, 816, func(w *simulator.World, at func(time.Duration)) {
				j := gang(1, 8, 25)
				j.Spec.SameZone, j.Spec.Priority = false, u
				j.Spec.MemoryGB = 4
				at(2 * time.Second)
				for n := range 6 {
					w.Submit(array(100+n, 8, 20), 0)
				}
				at(40 * time.Second)
				w.Checked(func(c *simulator.Checker) {
					if c.Uses("red") < 38 {
						t.Errorf("red uses %v of 40", c.Uses("red"))
					}
				})
				w.Submit(j, 0)
				for n := range 52 {
					at(time.Duration(41+5*n) * time.Second)
					w.Submit(array(200+n, 8, 25), 0)
				}
				at(320 * time.Second)
				w.Checked(func(c *simulator.Checker) {
					d, ok := c.Waited(j.Spec.ID)
					t.Logf("began after %v, %v", d, ok)
					if !ok || d > 4*time.Minute {
						t.Errorf("began after %v, %v", d, ok)
					}
				})
			})
		})
	}
}
