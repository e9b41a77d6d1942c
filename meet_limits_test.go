package lilaclead_test

import (
	"fmt"
	"os"
	"strconv"
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
