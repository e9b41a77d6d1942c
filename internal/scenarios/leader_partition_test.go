package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// A leader cut off from all workers resigns in favour of a node that they
// reach.
func TestLeaderPartitionedFromWorkers(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 10, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
		mustRun(t, w, s, "run")
	})
}

// Workers that only the leader can't reach are served through another node,
// and their machines are kept. (A leader cut off from half of its workers
// once released them all.)
func TestWorkerPartitionedFromLeaderOnly(t *testing.T) {
	t.Parallel()
	runOnBothLayouts(t, 13, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
		mustRun(t, w, s, "run")
		mustRestartNoTask(t, w)
		w.Net.Cut(simulator.NodeIP(l), ip, false)
		at(160 * time.Second)
		mustFinish(t, w, a)
	})
}

// A leader cut off from its peers only goes on leading; in an outage on top it
// may answer for as long as a node may stand in for a lost leader and must stop
// then, since no majority agrees, and nothing may run twice when the leases
// have run out.
func TestLeaderPartitionedFromPeers(t *testing.T) {
	t.Parallel()
	runScenario(t, 18, func(w *simulator.World, at func(time.Duration)) {
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
		mustRun(t, w, s, "run")
		mustRestartNoTask(t, w)
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

// A leader loses the state service and the other controllers, not its
// workers: it must stop answering them, and they must find the next leader
// before their leases end.
func TestLeaderPartitionedFromAllButWorkers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(size), 33, func(w *simulator.World, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 12, 40)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				at(40 * time.Second)
				l := w.Leader()
				cut := func(on bool) {
					for i := range size {
						if i != l {
							w.Net.Cut(simulator.NodeIP(l), simulator.NodeIP(i), on)
						}
					}
					w.Net.Cut(simulator.NodeIP(l), "10.2.0.1", on)
				}
				cut(true)
				at(55 * time.Second)
				if n := w.Leader(); n == l || n < 0 {
					t.Errorf("leader is %d, was %d", n, l)
				}
				if status, _, _ := w.Ask(l, "GET", "/ready", nil); status != 503 {
					t.Errorf("/ready of a node that reaches neither state service nor peers answers %d", status)
				}
				at(70 * time.Second)
				mustRun(t, w, s, "run")
				mustRestartNoTask(t, w)
				cut(false)
				at(160 * time.Second)
				mustFinish(t, w, a)
			})
		})
	}
}

// A leader is cut from the state service and the other controllers while workers
// and users still reach it, and jobs are cancelled through the next one. In the
// worst case workers reach the old one only and the cloud is away, so that
// nothing but its silence ends their tasks. Users at the old one get no older
// answer than the new one's.
func TestCancelWhileLeaderIsPartitioned(t *testing.T) {
	t.Parallel()
	for _, mode := range simulator.CutModes {
		for _, only := range []bool{true, false} {
			if !only && mode != simulator.CutRefused {
				continue
			}
			t.Run(fmt.Sprintf("%s, workers reach the old one only %v", mode, only), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(3), 65, func(w *simulator.World, at func(time.Duration)) {
					s, a := service(1, 4), array(2, 4, 60)
					gone, late := service(3, 4), array(4, 4, 300)
					at(2 * time.Second)
					for _, j := range []simulator.Truth{s, a, gone, late} {
						w.Submit(j, 0)
					}
					at(45 * time.Second)
					l := w.Leader()
					fresh := array(5, 3, 20)
					answered, stop := pollInBackground(w, l, s, a, gone, late, fresh)
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
					next := awaitOtherLeader(t, w, l, 10*time.Second)
					was := *answered
					w.Submit(fresh, 0) // by any node; those that can't will refuse
					if got := cancelAtController(t, w, next, gone); got.Sub(begin) > 8*time.Second {
						t.Errorf("cancelled only %v after the cut", got.Sub(begin))
					}
					w.Checked(func(c *simulator.Checker) {
						if !only && c.On(late.Spec.ID) == 0 || only && c.On(gone.Spec.ID) == 0 {
							t.Error("nothing of the cancelled jobs runs any more when they are cancelled")
						}
					})
					time.Sleep(4 * time.Second)
					cancelAtController(t, w, next, late)
					if saysItLeads(t, w, l) {
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
					mustRecover(t, w, 3, s, a, fresh)
				})
			})
		}
	}
}
