package scenarios_test

import (
	"net/http"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// A state outage longer than a worker's lease loses no task while a majority
// of nodes is linked.
func TestServiceSurvivesStateServiceOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 3, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 4, 60)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(40 * time.Second)
		w.State.Outage(true)
		at(48 * time.Second)
		status, _, h := w.Ask(0, "POST", "/v1/jobs", simulator.Submission(array(9, 1, 1).Spec))
		if status != 503 || h.Get("Retry-After") == "" {
			t.Errorf("submission in an outage answered %d, Retry-After %q", status, h.Get("Retry-After"))
		}
		if status, _, _ := w.Ask(0, "GET", "/ready", nil); status != 200 {
			t.Errorf("in an outage that all share /ready answers %d", status)
		}
		at(75 * time.Second) // 35 s against a lease of 16 s
		w.State.Outage(false)
		at(140 * time.Second)
		mustFinish(t, w, a)
		mustRun(t, w, s, "run")
		mustRestartNoTask(t, w)
	})
}

// The leader ends in the middle of an outage.
func TestLeaderRestartsDuringOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 19, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 6, 30)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(40 * time.Second)
		w.State.Outage(true)
		at(45 * time.Second)
		l := w.Leader()
		w.Kill(l)
		at(51 * time.Second)
		w.Up(l)
		at(58 * time.Second)
		w.State.Outage(false)
		at(180 * time.Second)
		mustFinish(t, w, a)
		mustRun(t, w, s, "run")
	})
}

// The leader ends in an outage of the state service that outlasts a lease. The
// others stand in for it; before, every replica was lost.
func TestLeaderRestartsDuringLongOutage(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 39, func(w *simulator.World, at func(time.Duration)) {
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
		mustRestartNoTask(t, w)
		at(200 * time.Second)
		mustFinish(t, w, a)
	})
}

// A user's connection is at a node that the state service refuses while it
// serves others: the node says so at once and leaves the load balancer's set.
func TestPollAtControllerRefusedByStateService(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 34, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
		faultsAreOver(w)
		at(200 * time.Second)
		mustFinish(t, w, a)
	})
}

// A leader that only the state service refuses gives way, and its late
// commands, held up for minutes, start nothing twice.
func TestStateServiceRefusesLeaderWithDelayedCommands(t *testing.T) {
	t.Parallel()
	runScenario(t, 4, func(w *simulator.World, at func(time.Duration)) {
		a, b := array(1, 8, 30), array(2, 8, 30)
		at(2 * time.Second)
		w.Submit(a, 0)
		at(25 * time.Second)
		l := w.Leader()
		_, ip, ok := w.Some(func(int) bool { return true })
		if !ok {
			t.Fatal("no machine")
		}
		// Commands from the leader to one worker hang from now on.
		w.Net.Hold(simulator.NodeIP(l), ip, true)
		w.Submit(b, 0)
		at(27 * time.Second)
		w.State.Refuse(simulator.NodeIP(l), true)
		at(60 * time.Second)
		if n := w.Leader(); n == l || n < 0 {
			t.Errorf("leader is %d, was %d", n, l)
		}
		if status, _, _ := w.Ask(l, "GET", "/ready", nil); status != 503 {
			t.Errorf("/ready of the refused node answers %d while others serve", status)
		}
		w.State.Refuse(simulator.NodeIP(l), false)
		at(90 * time.Second)
		w.Net.Hold(simulator.NodeIP(l), ip, false)
		at(200 * time.Second)
		mustFinish(t, w, a, b)
	})
}

// The state service goes out in the middle of an election, for longer than the
// time for cancellations: the new leader holds the office, and has not read what
// was cancelled while nobody led. It must not keep alive what it knows nothing of.
func TestOutageDuringElectionAfterCancel(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		run  scenarioRunner
		back bool // the last leader is back at once and takes the office again
	}{{"another leads", runScenario, false}, {"the same one is back", runOnUnevenLayout, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t, 69, func(w *simulator.World, at func(time.Duration)) {
				s, gone, a := service(1, 4), service(2, 4), array(3, 6, 60)
				at(2 * time.Second)
				for _, j := range []simulator.Truth{s, gone, a} {
					w.Submit(j, 0)
				}
				at(45 * time.Second)
				l, old := w.Leader(), w.LeadStamp()
				w.Kill(l)
				confirmed := cancelAtController(t, w, (l+1)%3, gone)
				if c.back {
					startControllers(t, w, l)
				}
				waitUntil(t, 10*time.Second, "an election", func() bool { return w.LeadStamp() > old })
				w.State.Outage(true)
				if n := w.Leader(); n < 0 || (n == l) != c.back {
					t.Errorf("node %d leads", n)
				}
				if !c.back {
					startControllers(t, w, l)
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
				mustRecover(t, w, 3, s, a)
			})
		})
	}
}

// A job is cancelled, and before its tasks are halted the state service goes
// away for longer than the time for cancellations, while a majority of the nodes
// goes on answering reports: the machines hang just then, or the next leader has
// not yet read what is stored. The tasks must be gone in time all the same.
func TestCancelJustBeforeOutage(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"hang", "deaf", "not recovered"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 670, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
					n, _ := awaitNewToken(t, w, old)
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
				if tasksOnMachines(w, gone.Spec.ID) == 0 {
					t.Error("no cancelled task runs when the state service is away")
				}
				w.Hang(false, ms...)
				w.Deafen(false, ms...)
				time.Sleep(w.Set.Workers.CancelS.Duration() + 5*time.Second)
				mustBeGone(t, w, gone, "although their time is up")
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
