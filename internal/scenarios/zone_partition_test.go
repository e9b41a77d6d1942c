package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A zone is cut off with its controllers for longer than a lease. They stand in
// for the leader that they have lost, so its replicas go on; with two zones
// those of a service that is spread could be nowhere else. It must not matter
// whether the leader is in that zone.
func TestZonePartitionedWithItsControllers(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("leader inside ", leads), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), 37, func(w *simulator.World, at func(time.Duration)) {
				s, a := service(1, 4), array(2, 12, 30)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				at(45 * time.Second)
				z := leaderZoneOrOther(w, leads)
				w.CutZone(z, true)
				at(78 * time.Second)
				mustRun(t, w, s, "33 s after their zone was cut off")
				if l := w.Leader(); l < 0 || w.Config(l).Zone == z {
					t.Errorf("the leader is %d", l)
				}
				w.CutZone(z, false)
				at(95 * time.Second)
				mustRun(t, w, s, "when the zone is back")
				mustRestartNoTask(t, w)
				at(200 * time.Second)
				mustFinish(t, w, a)
			})
		})
	}
}

// Any zone is cut off: the one with most of the controllers, the one with one,
// and the one with none, whose workers reach nobody. What ran there is done
// elsewhere while the cut lasts, never twice, wherever the leader was.
func TestAnyZonePartitioned(t *testing.T) {
	t.Parallel()
	for _, c := range [][2]wire.Zone{{"a", "a"}, {"a", "b"}, {"b", "a"}, {"b", "b"}, {"c", "a"}} {
		t.Run(fmt.Sprintf("%s, leader in %s", c[0], c[1]), func(t *testing.T) {
			t.Parallel()
			runOnUnevenLayout(t, 50, func(w *simulator.World, at func(time.Duration)) {
				a, b := array(1, 18, 40), array(2, 6, 20)
				at(2 * time.Second)
				moveLeadershipTo(t, w, c[1])
				w.Submit(a, 0)
				at(45 * time.Second)
				w.CutZone(c[0], true)
				time.Sleep(8 * time.Second)
				w.Submit(b, 0)
				time.Sleep(160 * time.Second)
				mustFinish(t, w, a, b)
				w.CutZone(c[0], false)
				time.Sleep(60 * time.Second)
			})
		})
	}
}

// Two zones can't reach each other for longer than a lease; both still reach the
// state service. The workers of one reach no node that reaches the leader, and
// the node there stands in for it: what runs goes on. It must not matter in
// which zone the leader is, and the office must not change hands.
func TestTwoZonesPartitionedFromEachOther(t *testing.T) {
	t.Parallel()
	for _, leader := range []wire.Zone{"a", "b"} {
		t.Run("leader in "+string(leader), func(t *testing.T) {
			t.Parallel()
			runOnUnevenLayout(t, 51, func(w *simulator.World, at func(time.Duration)) {
				a := array(1, 18, 70)
				at(2 * time.Second)
				moveLeadershipTo(t, w, leader)
				w.Submit(a, 0)
				at(60 * time.Second)
				l := w.Leader()
				w.Part("a", "b", true)
				time.Sleep(20 * time.Second)
				for i := range 3 {
					if status, _, _ := w.Ask(i, "GET", "/ready", nil); status != 200 {
						t.Errorf("/ready of node %d answers %d", i, status)
					}
				}
				time.Sleep(16 * time.Second)
				w.Part("a", "b", false)
				if w.Leader() != l {
					t.Error("the office changed hands")
				}
				time.Sleep(80 * time.Second)
				mustFinish(t, w, a)
				mustRestartNoTask(t, w)
			})
		})
	}
}

// A job is cancelled just after its zone was cut off, for longer than the time
// for cancellations, while the cloud is away: nobody can stop its tasks, and
// those who stand in there don't know. They must stop answering in time.
func TestCancelInPartitionedZone(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("leader inside ", leads), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), 38, func(w *simulator.World, at func(time.Duration)) {
				s, gone := service(1, 4), service(2, 6)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(gone, 44*time.Second)
				at(45 * time.Second)
				z := leaderZoneOrOther(w, leads)
				w.CloudOutage(true)
				w.CutZone(z, true)
				at(115 * time.Second)
				w.Checked(func(c *simulator.Checker) {
					if n := c.On(gone.Spec.ID); n != 0 {
						t.Errorf("%d tasks of the cancelled job run behind the cut", n)
					}
				})
				w.CutZone(z, false)
				w.CloudOutage(false)
				at(160 * time.Second)
				mustRun(t, w, s, "when all is over")
			})
		})
	}
}

// A zone with workers and a controller is cut off for longer than a lease. Jobs
// that may run in that zone only are cancelled just before, early and late in the
// cut; one is submitted and cancelled in it; others wait for its end. With the
// cloud away nobody but those behind the cut can end what runs there.
func TestSingleZoneJobsInPartitionedZone(t *testing.T) {
	t.Parallel()
	for _, inside := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader inside %v", inside), func(t *testing.T) {
			t.Parallel()
			runOnUnevenLayout(t, 62, func(w *simulator.World, at func(time.Duration)) {
				z := wire.Zone("b") // node 1
				in := func(j simulator.Truth) simulator.Truth { j.Spec.Zone = z; return j }
				stays, same := in(array(1, 4, 120)), array(2, 3, 60)
				same.Spec.SameZone = true
				whole := func(j simulator.Truth) simulator.Truth { j.Spec.Spread = false; return in(j) }
				before, early, late, unborn := whole(service(3, 2)), whole(service(4, 2)), whole(service(5, 2)), whole(service(6, 2))
				free := array(7, 6, 30)
				at(2 * time.Second)
				if moveLeadershipTo(t, w, "a"); inside {
					moveLeadershipTo(t, w, z)
				}
				for _, j := range []simulator.Truth{stays, same, before, early, late} {
					w.Submit(j, 0)
				}
				time.Sleep(40 * time.Second)
				w.Submit(free, 0)
				time.Sleep(5 * time.Second)
				cancelAtController(t, w, 0, before)
				cut := time.Now()
				w.CloudOutage(true)
				w.CutZone(z, true)
				w.Checked(func(c *simulator.Checker) {
					if c.On(early.Spec.ID) != 2 || c.On(late.Spec.ID) != 2 || c.On(stays.Spec.ID) == 0 {
						t.Error("not all that should runs in the zone when it is cut off")
					}
				})
				time.Sleep(3 * time.Second)
				cancelAtController(t, w, 0, early)
				w.Submit(unborn, 0)
				time.Sleep(15 * time.Second)
				cancelAtController(t, w, 0, unborn)
				confirmed := cancelAtController(t, w, 0, late)
				if time.Since(cut) > w.Set.Workers.LeaseS.Duration() || !confirmed.After(cut) {
					t.Errorf("cancelled %v after the cut", confirmed.Sub(cut))
				}
				time.Sleep(50 * time.Second)
				if time.Since(cut) < w.Set.Workers.LeaseS.Duration()*2 {
					t.Error("the cut was too short")
				}
				w.CutZone(z, false)
				time.Sleep(2 * time.Second)
				w.CloudOutage(false)
				mustRecover(t, w, 3, stays, same, free)
			})
		})
	}
}

// The controller of a zone that is cut off has stood in for the leader there, and
// ends and is back at once just as the cut is over: its new life does not know
// what its last one answered. The leases that it gave are waited for all the same.
func TestDelegateRestartsAsPartitionHeals(t *testing.T) {
	t.Parallel()
	// With elected the leader is another one than before the cut.
	for elected, cut := range map[bool]time.Duration{false: 21 * time.Second, true: 28 * time.Second} {
		t.Run(fmt.Sprintf("cut for %v, another leader %v", cut, elected), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(3), 68, func(w *simulator.World, at func(time.Duration)) {
				a, s, room := array(1, 14, 120), service(2, 4), array(3, 6, 300)
				room.Spec.Zone = "a"
				at(2 * time.Second)
				moveLeadershipTo(t, w, "a")
				w.Submit(a, 0)
				w.Submit(s, 0)
				w.Submit(room, 0)
				time.Sleep(60 * time.Second)
				l := w.Leader()
				w.CutZone("b", true)
				w.CloudOutage(true) // nothing is returned
				if elected {
					w.Kill(l)
					awaitOtherLeader(t, w, l, 10*time.Second)
					startControllers(t, w, l)
				}
				time.Sleep(cut - 300*time.Millisecond)
				there := 0
				w.Checked(func(c *simulator.Checker) { there = c.InZones(a.Spec.ID)["b"] })
				if there == 0 {
					t.Error("nothing runs behind the cut")
				}
				cancelAtController(t, w, w.Leader(), room) // now there is room to start it elsewhere
				w.Kill(1)
				time.Sleep(200 * time.Millisecond)
				startControllers(t, w, 1)
				time.Sleep(100 * time.Millisecond)
				// Machines take some seconds longer to be heard than controllers.
				var silent []string
				for _, id := range append(w.Holds(a.Spec.ID), w.Holds(s.Spec.ID)...) {
					if w.Zone(id) == "b" {
						silent = append(silent, w.IP(id))
					}
				}
				hold := func(on bool) {
					for _, ip := range silent {
						for i := range 3 {
							w.Net.Cut(simulator.NodeIP(i), ip, on)
						}
					}
				}
				hold(true)
				w.CutZone("b", false)
				time.Sleep(2500 * time.Millisecond)
				hold(false)
				time.Sleep(8 * time.Second)
				w.CloudOutage(false)
				mustRecover(t, w, 3, a, s)
			})
		})
	}
}
