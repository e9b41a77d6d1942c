package scenarios_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead"
	"lilaclead/internal/admin"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// start makes real nodes for the stand-ins' world.
func start(cfg *config.Config, nw netio.Net) (func(context.Context) error, error) {
	opt := lilaclead.Options{Net: nw, Log: io.Discard}
	if os.Getenv("WORLD_LOG") != "" {
		opt.Log = os.Stderr
	}
	n, err := lilaclead.New(cfg, opt)
	if err != nil {
		return nil, err
	}
	return n.Run, nil
}

func array(n, parts int, run float64) simulator.Truth {
	return simulator.Truth{RunS: run, Spec: wire.Spec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: parts, CPUs: 2, MemoryGB: 4, Image: "img-a", ImageGB: 1, SpotAllowed: true, ExpectedRunTime: wire.Seconds(run)}}
}

func service(n, parts int) simulator.Truth {
	return simulator.Truth{Spec: wire.Spec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "portal", Team: "blue", Kind: wire.KindService, Priority: wire.PriorityProd,
		Tasks: parts, CPUs: 1, MemoryGB: 3, Image: "img-b", ImageGB: 1, Spread: true}}
}

// play runs a world in virtual time: all nodes up, some jobs, and then what
// the test does to it; at the end every rule must have held.
func play(t *testing.T, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	playAs(t, simulator.DefaultSettings(), seed, script)
}

// playBoth is play on the usual layout, and on the one where a zone has machines
// and no controller.
func playBoth(t *testing.T, seed uint64, script func(t *testing.T, w *simulator.World, at func(time.Duration))) {
	t.Helper()
	for name, run := range map[string]func(*testing.T, uint64, func(*simulator.World, func(time.Duration))){"usual layout": play, "odd layout": playOdd} {
		t.Run(name, func(t *testing.T) {
			run(t, seed, func(w *simulator.World, at func(time.Duration)) { script(t, w, at) })
		})
	}
}

// playAs is play with settings of the test's own.
func playAs(t *testing.T, set config.Settings, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	playIn(t, set, set.Zones, seed, script)
}

// playIn is playAs with controllers in some zones only.
func playIn(t *testing.T, set config.Settings, zones []wire.Zone, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := simulator.NewWorld(ctx, set, seed, start, nil)
		w.Nodes(zones...)
		begin := time.Now()
		for i := range set.Size {
			if err := w.Up(i); err != nil {
				t.Fatal(err)
			}
		}
		script(w, func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) })
		w.AskAll()
		w.Checked(func(c *simulator.Checker) {
			c.End(time.Now())
			if late, slow := c.LateStarts(), c.LateDone(); late+slow > 0 {
				t.Logf("%d starts after a confirmed cancellation, %d polls not told done in time", late, slow)
			}
			for _, b := range c.Breaks {
				t.Errorf("%6.1f s %s: %s", b.At.Sub(begin).Seconds(), b.Rule, b.What)
			}
		})
		cancel()
		w.Close()
	})
}

func mustFinish(t *testing.T, w *simulator.World, jobs ...simulator.Truth) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
		for _, j := range jobs {
			if !c.Complete(j.Spec.ID) {
				t.Errorf("%s is not complete", j.Spec.ID)
			}
		}
	})
}

func TestQuietDay(t *testing.T) {
	play(t, 1, func(w *simulator.World, at func(time.Duration)) {
		a, b, s := array(1, 10, 15), array(2, 6, 20), service(3, 3)
		gone := service(4, 2)
		at(2 * time.Second)
		w.Submit(a, 0)
		w.Submit(s, 0)
		w.Submit(gone, 60*time.Second)
		at(30 * time.Second)
		w.Submit(b, 0)
		at(150 * time.Second)
		mustFinish(t, w, a, b)
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 || c.On(gone.Spec.ID) != 0 {
				t.Errorf("service has %d of 3 replicas, the cancelled one %d of 0", c.On(s.Spec.ID), c.On(gone.Spec.ID))
			}
		})
		if keys := w.State.Keys("run/req-000001/"); len(keys) != 0 {
			t.Errorf("progress of a finished job is left: %v", keys)
		}
		// A repeat of a finished job's submission is answered with its state.
		status, raw, _ := w.Ask(1, "POST", "/v1/jobs", simulator.Submission(a.Spec))
		var brief wire.JobSummary
		if status != 200 || wire.Decode(raw, &brief) != nil || brief.Status != wire.Done {
			t.Errorf("repeat answered %d %+v", status, brief)
		}
	})
}

// A leader's end must not touch services, and its successor must know what
// ran where.
func TestLeaderEndsAndRolls(t *testing.T) {
	playBoth(t, 2, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		a, s := array(1, 12, 40), service(2, 3)
		at(2 * time.Second)
		w.Submit(a, 0)
		w.Submit(s, 0)
		at(45 * time.Second)
		for range 3 {
			l := w.Leader()
			if l < 0 {
				t.Fatal("nobody leads")
			}
			w.Kill(l)
			time.Sleep(6 * time.Second)
			if w.Leader() < 0 {
				t.Error("a dead leader was not replaced within 6 s")
			}
			w.Up(l)
			time.Sleep(6 * time.Second)
		}
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 {
				t.Errorf("service has %d of 3 replicas", c.On(s.Spec.ID))
			}
			if c.Again() > 0 {
				t.Errorf("%d tasks were started again by changes of leader", c.Again())
			}
		})
		at(160 * time.Second)
		mustFinish(t, w, a)
	})
}

// A state outage longer than a worker's lease loses no task while a majority
// of nodes is linked.
func TestBlindService(t *testing.T) {
	play(t, 3, func(w *simulator.World, at func(time.Duration)) {
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
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 || c.Again() != 0 {
				t.Errorf("%d of 3 replicas, %d tasks started again", c.On(s.Spec.ID), c.Again())
			}
		})
	})
}

// All nodes end during an outage: leases run out, and nothing may run twice
// when the nodes come back.
func TestOutageWithAllNodesEnding(t *testing.T) {
	for seed := range uint64(3) {
		playBoth(t, 20+seed, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			a, s := array(1, 10, 30), service(2, 3)
			at(2 * time.Second)
			w.Submit(a, 0)
			w.Submit(s, 0)
			at(35 * time.Second)
			w.State.Outage(true)
			at(50 * time.Second)
			for i := range 3 {
				w.Kill(i)
			}
			at(time.Duration(54+4*seed) * time.Second)
			for i := range 3 {
				w.Up(i)
			}
			at(time.Duration(60+8*seed) * time.Second)
			w.State.Outage(false)
			at(220 * time.Second)
			mustFinish(t, w, a)
			w.Checked(func(c *simulator.Checker) {
				if c.On(s.Spec.ID) != 3 {
					t.Errorf("service has %d of 3 replicas", c.On(s.Spec.ID))
				}
			})
		})
	}
}

// A leader that only the state service refuses gives way, and its late
// commands, held up for minutes, start nothing twice.
func TestLeaderRefusedAndPacketsHeld(t *testing.T) {
	play(t, 4, func(w *simulator.World, at func(time.Duration)) {
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

// A launch that was never answered arrives after its job was cancelled.
func TestLateLaunchOfACancelledJob(t *testing.T) {
	play(t, 5, func(w *simulator.World, at func(time.Duration)) {
		warm, late := array(1, 12, 200), array(2, 6, 10)
		at(2 * time.Second)
		w.Submit(warm, 0)
		at(40 * time.Second)
		l := w.Leader()
		var held []string
		for range 40 {
			_, ip, _ := w.Some(func(int) bool { return len(held) >= 0 })
			held = append(held, ip)
		}
		for _, ip := range held {
			w.Net.Hold(simulator.NodeIP(l), ip, true)
		}
		w.Submit(late, 12*time.Second)
		at(150 * time.Second)
		for _, ip := range held {
			w.Net.Hold(simulator.NodeIP(l), ip, false)
		}
		at(200 * time.Second)
	})
}

// A job is cancelled while nobody leads: the next leader reads the job as
// cancelled and must still chase the tasks that it reads afterwards. (It once
// archived such a job before it had read them, and they ran on.)
func TestCancelWhileNobodyLeads(t *testing.T) {
	play(t, 14, func(w *simulator.World, at func(time.Duration)) {
		s := service(1, 3)
		at(2 * time.Second)
		w.Submit(s, 0)
		at(44 * time.Second)
		l := w.Leader()
		w.Kill(l)
		time.Sleep(300 * time.Millisecond)
		w.Checked(func(c *simulator.Checker) { c.CancelAsked(s.Spec.ID) })
		status, raw, _ := w.Ask((l+1)%3, "POST", "/v1/jobs/"+string(s.Spec.ID)+"/cancel", nil)
		var b wire.JobSummary
		if status != 200 || wire.Decode(raw, &b) != nil || b.Status != wire.Cancelled || w.Leader() == (l+1)%3 {
			t.Fatalf("cancel answered %d %+v, leader %d", status, b, w.Leader())
		}
		w.Checked(func(c *simulator.Checker) { c.Told(s.Spec.ID, b.Status, time.Now()) })
		at(60 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			if n := c.On(s.Spec.ID); n != 0 {
				t.Errorf("%d tasks left 15 s after the cancellation", n)
			}
		})
		at(120 * time.Second)
	})
}

// Cancelling races the last completions; whoever wins, one final state is
// told for ever.
func TestCancelRacesCompletion(t *testing.T) {
	play(t, 6, func(w *simulator.World, at func(time.Duration)) {
		at(2 * time.Second)
		for n := range 12 {
			j := array(100+n, 2, 10)
			w.Submit(j, time.Duration(18+n)*time.Second)
		}
		at(150 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 12 {
				t.Errorf("%d done, %d cancelled of 12", done, cancelled)
			}
		})
	})
}

// Transactions whose answers are lost are looked up, not guessed.
func TestLostAnswersOfTheStateService(t *testing.T) {
	play(t, 7, func(w *simulator.World, at func(time.Duration)) {
		a, b := array(1, 10, 10), array(2, 10, 10)
		at(2 * time.Second)
		w.Submit(a, 0)
		at(20 * time.Second)
		w.State.LoseAnswers(3)
		w.Submit(b, 0)
		at(35 * time.Second)
		w.State.LoseAnswers(2)
		at(150 * time.Second)
		mustFinish(t, w, a, b)
	})
}

// The answers of releases and bookings are lost, machines vanish silently,
// and the cloud's interface goes away.
func TestCloudTroubles(t *testing.T) {
	play(t, 8, func(w *simulator.World, at func(time.Duration)) {
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
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 {
				t.Errorf("service has %d of 3 replicas", c.On(s.Spec.ID))
			}
		})
		if n := w.Machines(); n > 8 {
			t.Errorf("%d machines are kept for three replicas", n)
		}
	})
}

// A machine that fails everything is returned; a job that fails everywhere
// condemns no machines.
func TestFaultyMachineAndFaultyJob(t *testing.T) {
	play(t, 9, func(w *simulator.World, at func(time.Duration)) {
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

// A leader cut off from all workers resigns in favour of a node that they
// reach.
func TestLeaderCutFromWorkers(t *testing.T) {
	playBoth(t, 10, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 30, 25)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(40 * time.Second)
		l := w.Leader()
		for i := 1; i <= 100; i++ {
			w.Net.Cut(simulator.NodeIP(l), fmt.Sprintf("10.1.0.%d", i), true)
		}
		at(75 * time.Second)
		if n := w.Leader(); n == l {
			t.Error("the leader that reaches no worker still leads")
		}
		for i := 1; i <= 100; i++ {
			w.Net.Cut(simulator.NodeIP(l), fmt.Sprintf("10.1.0.%d", i), false)
		}
		at(220 * time.Second)
		mustFinish(t, w, a)
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 {
				t.Errorf("service has %d of 3 replicas", c.On(s.Spec.ID))
			}
		})
	})
}

// Workers that only the leader can't reach are served through another node,
// and their machines are kept. (A leader cut off from half of its workers
// once released them all.)
func TestWorkersCutFromLeaderOnly(t *testing.T) {
	playBoth(t, 13, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 12, 20)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(40 * time.Second)
		l := w.Leader()
		_, ip, ok := w.Some(func(n int) bool { return n > 0 })
		if !ok {
			t.Fatal("no machine at work")
		}
		w.Net.Cut(simulator.NodeIP(l), ip, true)
		at(100 * time.Second) // against a lease of 16 s
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 || c.Again() != 0 {
				t.Errorf("%d of 3 replicas, %d tasks started again", c.On(s.Spec.ID), c.Again())
			}
		})
		w.Net.Cut(simulator.NodeIP(l), ip, false)
		at(160 * time.Second)
		mustFinish(t, w, a)
	})
}

// Nodes restart within a fraction of a second, also in the middle of an
// election.
func TestQuickRestarts(t *testing.T) {
	playBoth(t, 11, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		a, s := array(1, 10, 30), service(2, 3)
		at(2 * time.Second)
		w.Submit(a, 0)
		w.Submit(s, 0)
		at(30 * time.Second)
		for k := range 12 {
			i := (w.Leader() + 3) % 3
			if k%3 == 2 {
				i = k % 3
			}
			w.Kill(i)
			time.Sleep(time.Duration(50+k*60) * time.Millisecond)
			w.Up(i)
			time.Sleep(time.Duration(k%4) * time.Second)
		}
		at(160 * time.Second)
		mustFinish(t, w, a)
	})
}

// Seeded schedules of troubles, alone and together.
func TestSeededTroubles(t *testing.T) {
	for seed := uint64(100); seed < 108; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			playBoth(t, seed, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				var all []simulator.Truth
				at(2 * time.Second)
				s := service(900, 3)
				w.Submit(s, 0)
				n := 0
				for now := 3; now < 150; now += 5 + rng.IntN(10) {
					at(time.Duration(now) * time.Second)
					n++
					j := array(n, 1+rng.IntN(10), float64(5+rng.IntN(25)))
					cancel := time.Duration(0)
					if rng.IntN(5) == 0 {
						cancel = time.Duration(5+rng.IntN(30)) * time.Second
					} else {
						all = append(all, j)
					}
					w.Submit(j, cancel)
					switch rng.IntN(9) {
					case 0, 1:
						i := rng.IntN(3)
						w.Kill(i)
						time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
						w.Up(i)
					case 2:
						w.State.Outage(true)
						time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
						w.State.Outage(false)
					case 3:
						w.Take(1, func(bool, int) bool { return true })
					case 4:
						a, b := simulator.NodeIP(rng.IntN(3)), simulator.NodeIP(rng.IntN(3))
						w.Net.Cut(a, b, true)
						time.Sleep(time.Duration(rng.IntN(15)) * time.Second)
						w.Net.Cut(a, b, false)
					case 5:
						_, ip, ok := w.Some(func(n int) bool { return n > 0 })
						if i := rng.IntN(3); ok {
							w.Net.Cut(simulator.NodeIP(i), ip, true)
							time.Sleep(time.Duration(rng.IntN(25)) * time.Second)
							w.Net.Cut(simulator.NodeIP(i), ip, false)
						}
					case 6:
						if id, _, ok := w.Some(func(n int) bool { return n > 0 }); ok {
							w.Notice(id, 8*time.Second)
						}
					case 7:
						w.State.LoseAnswers(1)
					}
				}
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(150 * time.Second)
				mustFinish(t, w, all...)
			})
		})
	}
}

// Operators' settings: checked, guarded by their version, applied by all
// nodes without a restart, and kept when all nodes end.
func TestOperatorsSettings(t *testing.T) {
	play(t, 15, func(w *simulator.World, at func(time.Duration)) {
		at(3 * time.Second)
		ask := func(i int, method string, body any, out any) int {
			status, raw, _ := w.Operate(i, method, "/admin/settings", body)
			if out != nil && wire.Decode(raw, out) != nil {
				t.Errorf("unreadable answer to %s (%d)", method, status)
			}
			return status
		}
		set := func(version uint64, k string, v any) map[string]any {
			return map[string]any{"version": version, "set": map[string]any{k: v}}
		}
		var l admin.Listing
		if status := ask(0, "GET", nil, &l); status != 200 || len(l.Settings) != len(tuning.Fields) || l.Version != 0 {
			t.Fatalf("listing %d %+v", status, l)
		}
		var why wire.Reason
		if status := ask(0, "PUT", set(0, "round.period_s", 99.0), &why); status != 400 || why.Field != "round.period_s" || why.Error != "must be 0.2 to 30" {
			t.Errorf("out of range: %d %+v", status, why)
		}
		for name, body := range map[string]any{"unknown": set(0, "round.colour", 1), "type": set(0, "round.period_s", "fast"), "no version": map[string]any{"set": map[string]any{"log.level": "info"}}, "no map": 7} {
			if status := ask(0, "PUT", body, nil); status != 400 {
				t.Errorf("%s: %d", name, status)
			}
		}
		if status := ask(1, "PUT", set(0, "round.period_s", 2), nil); status != 200 {
			t.Errorf("set: %d", status)
		}
		if status := ask(2, "PUT", set(0, "round.period_s", 3), nil); status != 409 {
			t.Errorf("set with an old version: %d", status)
		}
		for i := range 3 {
			w.Kill(i)
		}
		for i := range 3 {
			w.Up(i)
		}
		time.Sleep(8 * time.Second)
		for i := range 3 {
			if ask(i, "GET", nil, &l); l.Settings[3].Name != "round.period_s" || fmt.Sprint(l.Settings[3].Value) != "2" {
				t.Errorf("node %d has %+v", i, l.Settings[3])
			}
		}
		w.State.Outage(true)
		if status := ask(0, "PUT", set(uint64(l.Version), "round.period_s", 4), nil); status != 503 {
			t.Errorf("set in an outage: %d", status)
		}
		w.State.Outage(false)
		w.Submit(array(1, 1, 100), 0)
		at(80 * time.Second)
		status, raw, _ := w.Operate(w.Leader(), "GET", "/metrics", nil)
		if status != 200 || !bytes.Contains(raw, []byte("lilaclead_terms_total 1")) || !bytes.Contains(raw, []byte(`lilaclead_machines{state="up"}`)) {
			t.Errorf("metrics: %d\n%s", status, raw)
		}
		var v admin.View
		status, raw, _ = w.Operate(w.Leader(), "GET", "/admin/view", nil)
		if status != 200 || wire.Decode(raw, &v) != nil || !v.Leads || v.Term == nil || len(v.Term.Machines) == 0 {
			t.Errorf("view: %d %+v", status, v)
		}
	})
}

// A leader cut off from its peers only goes on leading; in an outage on top it
// may answer for as long as a node may stand in for a lost leader and must stop
// then, since no majority agrees, and nothing may run twice when the leases
// have run out.
func TestLeaderCutFromPeers(t *testing.T) {
	play(t, 18, func(w *simulator.World, at func(time.Duration)) {
		s, a := service(1, 3), array(2, 6, 30)
		at(2 * time.Second)
		w.Submit(s, 0)
		w.Submit(a, 0)
		at(40 * time.Second)
		l := w.Leader()
		for i := range 3 {
			if i != l {
				w.Net.Cut(simulator.NodeIP(l), simulator.NodeIP(i), true)
			}
		}
		at(70 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 || c.Again() != 0 {
				t.Errorf("%d of 3 replicas, %d tasks started again", c.On(s.Spec.ID), c.Again())
			}
		})
		if w.Leader() != l {
			t.Error("the leader changed")
		}
		w.State.Outage(true)
		at(95 * time.Second)
		mustRun(t, w, s, "25 s after the state service is gone too")
		at(112 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			if n := c.On(s.Spec.ID); n != 0 {
				t.Errorf("%d replicas outlive their leases without a majority", n)
			}
		})
		w.State.Outage(false)
		at(180 * time.Second)
		mustFinish(t, w, a)
	})
}

// The leader ends in the middle of an outage.
func TestLeaderEndsInAnOutage(t *testing.T) {
	play(t, 19, func(w *simulator.World, at func(time.Duration)) {
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
		w.Checked(func(c *simulator.Checker) {
			if c.On(s.Spec.ID) != 3 {
				t.Errorf("%d of 3 replicas", c.On(s.Spec.ID))
			}
		})
	})
}

// The largest job that users may submit: its progress stays within the
// limits of the state service, across a change of leader.
func TestLargestJob(t *testing.T) {
	play(t, 17, func(w *simulator.World, at func(time.Duration)) {
		big, small := array(1, wire.MaxTasks, 3), array(2, 4, 5)
		big.Spec.CPUs, big.Spec.MemoryGB = 0.5, 1
		at(2 * time.Second)
		w.Submit(big, 0)
		at(40 * time.Second)
		w.Kill(w.Leader())
		at(50 * time.Second)
		w.Submit(small, 0)
		at(90 * time.Second)
		mustFinish(t, w, small)
		status, raw, _ := w.Ask(w.Leader(), "GET", "/v1/jobs/req-000001", nil)
		var s wire.JobState
		if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.Running || s.Done < 500 {
			t.Errorf("%d %+v", status, s)
		}
	})
}

// What a node can't take it refuses as the page says.
func TestBadInput(t *testing.T) {
	play(t, 12, func(w *simulator.World, at func(time.Duration)) {
		at(3 * time.Second)
		ok := simulator.Submission(array(1, 1, 1).Spec)
		with := func(k string, v any) map[string]any {
			m := map[string]any{}
			for a, b := range ok {
				m[a] = b
			}
			m[k] = v
			if v == "missing" {
				delete(m, k)
			}
			return m
		}
		over := gang(3, 21, 10)
		gangOver := simulator.Submission(over.Spec) // 42 CPUs of 40
		cases := []struct {
			name, method, path string
			body               any
			want               int
		}{
			{"not CBOR", "POST", "/v1/jobs", []byte{0xff, 0x01}, 400},
			{"not a map", "POST", "/v1/jobs", []string{"a"}, 400},
			{"trailing bytes", "POST", "/v1/jobs", append(wire.Encode(ok), 0), 400},
			{"field missing", "POST", "/v1/jobs", with("cpus", "missing"), 400},
			{"wrong type", "POST", "/v1/jobs", with("cpus", "many"), 400},
			{"no parts", "POST", "/v1/jobs", with("parts", 0), 400},
			{"too many parts", "POST", "/v1/jobs", with("parts", 100001), 400},
			{"negative", "POST", "/v1/jobs", with("ramGb", -1.0), 400},
			{"unknown shape", "POST", "/v1/jobs", with("shape", "choir"), 400},
			{"a gang over the limit", "POST", "/v1/jobs", gangOver, 422},
			{"unknown urgency", "POST", "/v1/jobs", with("urgency", "now"), 400},
			{"malformed id", "POST", "/v1/jobs", with("nameId", "job-1"), 400},
			{"unknown team", "POST", "/v1/jobs", with("owner", "green"), 422},
			{"fits nothing", "POST", "/v1/jobs", with("cpus", 32.0), 422},
			{"unknown type", "POST", "/v1/jobs", with("kits", []string{"huge"}), 422},
			{"over the limit", "POST", "/v1/jobs", with("cpus", 41.0), 422},
			{"too large", "POST", "/v1/jobs", bytes.Repeat([]byte{0x60}, 65<<10), 413},
			{"unknown path", "GET", "/v2", nil, 404},
			{"wrong method", "DELETE", "/v1/jobs", nil, 405},
			{"never submitted", "GET", "/v1/jobs/req-999999", nil, 404},
			{"not an id", "GET", "/v1/jobs/zzz", nil, 404},
			{"cancel of nothing", "POST", "/v1/jobs/req-999999/cancel", nil, 404},
			{"not a report", "POST", "/hello", []byte{0x01}, 400},
		}
		for i, c := range cases {
			if status, _, _ := w.Ask(i%3, c.method, c.path, c.body); status != c.want {
				t.Errorf("%s: %d, want %d", c.name, status, c.want)
			}
		}
		w.Submit(array(2, 1, 1), 0)
		at(60 * time.Second)
	})
}
