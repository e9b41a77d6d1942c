package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

func TestGangRunsWithoutFailures(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 800, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
			if n := storedChunks(w, j); n != 0 {
				t.Errorf("%s: %d records of progress are left", j.Spec.ID, n)
			}
		}
	})
}

// A member is gone before its gang has started, by its machine's end or a
// refusal: the gang must run soon all the same, well before the others have
// waited in vain.
func TestGangLosesMemberBeforeStart(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"machine taken", "refused"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 801, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
					eventually(t, 30*time.Second, "fetches", func() bool { g := w.Gang(j.Spec.ID); return g.Pulling == 4 && g.Starts == 0 })
					w.TakeMachine(w.Members(j.Spec.ID)[0])
				}
				before := time.Now()
				awaitGangRunning(t, w, j, 60*time.Second)
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
func TestGangLosesMemberAfterStart(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"taken", "hangs", "hangs for long", "reborn"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 802, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				j := gang(1, 4, 60)
				at(2 * time.Second)
				w.Submit(j, 0)
				awaitGangRunning(t, w, j, 40*time.Second)
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
				eventually(t, 100*time.Second, "starts again", func() bool { return w.Gang(j.Spec.ID).Starts == 2 })
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
func setUnevenFetchSpeeds(w *simulator.World) {
	for i := range 40 {
		w.SlowMachine(wire.MachineID(fmt.Sprintf("n-%06d", i)), 1/(1+0.5*float64(i%6)))
	}
}

// The leader ends at each step between a gang's record and its start, and in its
// orderly stop: no half is left, and it starts soon.
func TestLeaderChangeDuringGangStart(t *testing.T) {
	t.Parallel()
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
				t.Parallel()
				runOnBothLayouts(t, 803, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
					j := id
					warm := array(9, 10, 15)
					warm.Spec.SpotAllowed, warm.Spec.MachineTypes = false, id.Spec.MachineTypes
					at(2 * time.Second)
					w.Submit(warm, 0)
					at(30 * time.Second)
					if name == "first waiting" {
						setUnevenFetchSpeeds(w)
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
					if !eventually(t, 40*time.Second, name, func() bool { return is(w.Gang(j.Spec.ID), storedChunks(w, j)) }) {
						return
					}
					l := w.Leader()
					w.Kill(l)
					w.LagCommands(simulator.Lag{})
					time.Sleep(down)
					w.Up(l)
					begin := time.Now()
					eventually(t, 60*time.Second, "runs", func() bool { return w.Gang(j.Spec.ID).Starts > 0 })
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

// One member's machine fails everything: the gang runs elsewhere. A gang that
// fails everywhere condemns no machines.
func TestGangOnFaultyMachineAndFaultyGang(t *testing.T) {
	t.Parallel()
	runScenario(t, 815, func(w *simulator.World, at func(time.Duration)) {
		good, bad := gang(1, 4, 40), gang(2, 4, 15)
		good.Spec.MachineTypes = []wire.MachineType{"c4"}
		bad.Fails = true
		warm := array(9, 10, 15)
		warm.Spec.MachineTypes, warm.Spec.SpotAllowed = good.Spec.MachineTypes, false
		at(2 * time.Second)
		w.Submit(warm, 0)
		at(25 * time.Second)
		w.Submit(good, 0)
		eventually(t, 30*time.Second, "fetches", func() bool { return w.Gang(good.Spec.ID).Pulling > 0 })
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
