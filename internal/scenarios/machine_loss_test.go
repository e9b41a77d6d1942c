package scenarios_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// The answers of releases and bookings are lost, machines vanish silently,
// and the cloud's interface goes away.
func TestCloudFaults(t *testing.T) {
	t.Parallel()
	runScenario(t, 8, func(w *simulator.World, at func(time.Duration)) {
		a, s := array(1, 20, 20), service(2, 3)
		at(time.Second)
		w.LoseRents(2)
		at(2 * time.Second)
		w.Submit(a, 0)
		w.Submit(s, 0)
		at(40 * time.Second)
		w.LoseReleases(2)
		if w.Take(2, func(_ bool, tasks int) bool { return tasks > 0 }) == 0 {
			t.Error("nothing to take")
		}
		at(60 * time.Second)
		w.CloudOutage(true)
		w.Take(1, func(_ bool, tasks int) bool { return tasks > 0 })
		at(110 * time.Second)
		w.CloudOutage(false)
		at(220 * time.Second)
		mustFinish(t, w, a)
		mustRun(t, w, s, "run")
		if n := w.Machines(); n > 8 {
			t.Errorf("%d machines are kept for three replicas", n)
		}
	})
}

// A machine that fails everything is returned; a job that fails everywhere
// condemns no machines.
func TestFaultyMachineAndFaultyJob(t *testing.T) {
	t.Parallel()
	runScenario(t, 9, func(w *simulator.World, at func(time.Duration)) {
		good, bad := array(1, 16, 15), array(2, 4, 15)
		bad.Fails = true
		at(2 * time.Second)
		w.Submit(good, 0)
		at(25 * time.Second)
		sick, _, ok := w.Some(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine at work")
		}
		w.Sick(sick)
		at(70 * time.Second)
		mustFinish(t, w, good)
		w.Submit(bad, 90*time.Second)
		before := w.Rented()
		at(150 * time.Second)
		if n := w.Rented() - before; n > 6 {
			t.Errorf("a faulty job cost %d machines", n)
		}
		after := array(3, 4, 10)
		w.Submit(after, 0)
		at(210 * time.Second)
		mustFinish(t, w, after)
	})
}

// A machine is back within a moment and counts from the start again. Its
// reports must not be taken for late copies for ever: what it ran is started
// elsewhere well before its lease or anybody's patience ends.
func TestMachineRestartsAtOnce(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 32, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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

// Machines come up at once, take tasks before any list has them, and vanish when
// the leader ends: the next one knows their names only, from its own books, and no
// list will ever say where they were. What is bound to one place must not wait
// for that.
func TestMachinesNeverListedByCloud(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsWithTeamLimits(), 480+seed, func(w *simulator.World, at func(time.Duration)) {
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
				mustHaveTaskInUnknownZone(t, w)
				w.Up(l) //nolint:errcheck // it was killed above
				faultsAreOver(w)
				time.Sleep(90 * time.Second)
				mustFinish(t, w, same)
				mustRun(t, w, sameS, "when all is over")
				mustLeaveNoKeys(t, w, sameS)
			})
		})
	}
}

// A release takes effect and is never answered, since the leader that asked for it
// ends: tasks of a team at its limit were on that machine, some of them cancelled
// meanwhile, and lists go on showing it for a while.
func TestReleaseUnansweredAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsWithTeamLimits(), 490+seed, func(w *simulator.World, at func(time.Duration)) {
				gone, next, s := array(1, 12, 300), array(2, 12, 15), service(3, 4)
				at(2 * time.Second)
				w.Submit(gone, 0)
				w.Submit(s, 0)
				at(30 * time.Second)
				w.Submit(next, 0)
				at(45 * time.Second)
				mustUseCPUs(t, w, "red", 24)
				hit := w.Holds(gone.Spec.ID)
				hit = hit[:1]
				w.LoseReleases(1000)
				for _, id := range hit {
					w.Unlink(id, true)
				}
				if !cancelWithin(t, w, gone.Spec.ID, 2*time.Second) {
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
				replaceLeader(t, w)
				w.LoseReleases(0)
				faultsAreOver(w)
				time.Sleep(90 * time.Second)
				mustFinish(t, w, next)
				mustRun(t, w, s, "when all is over")
				mustLeaveNoKeys(t, w, s)
			})
		})
	}
}

// Most machines are gone at once and without a trace when the leader ends: to the
// next it looks as if it were itself cut off from them, and it keeps them. It must
// not do so for ever: they are in no list any more.
func TestMostMachinesLostAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 510+seed, func(w *simulator.World, at func(time.Duration)) {
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
				awaitSuccessor(t, w, l)
				w.SellOut("a", true)
				w.SellOut("b", true)
				faultsAreOver(w)
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
func TestSpotCapacityLostDuringArray(t *testing.T) {
	t.Parallel()
	for _, site := range []wire.Zone{"", "a"} {
		t.Run("bound to "+string(site), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 520, func(w *simulator.World, at func(time.Duration)) {
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
				replaceLeader(t, w)
				faultsAreOver(w)
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
