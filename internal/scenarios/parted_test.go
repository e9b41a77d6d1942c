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

// Three zones with machines; of three controllers two are in the first and one
// is in the second.
var oddZones = []wire.Zone{"a", "b", "a"}

// playOdd plays a day on that layout.
func playOdd(t *testing.T, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	playIn(t, simulator.GasSettings(), oddZones, seed, script)
}

// leaderIn sees to it that the leader is in a zone.
func leaderIn(t *testing.T, w *simulator.World, z wire.Zone) {
	t.Helper()
	for range 10 {
		l := w.Leader()
		if l >= 0 && w.Config(l).Zone == z {
			return
		}
		if l >= 0 {
			w.Kill(l)
			time.Sleep(6 * time.Second)
			if err := w.Up(l); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
	}
	t.Fatalf("no leader in zone %s", z)
}

// Any zone is cut off: the one with most of the controllers, the one with one,
// and the one with none, whose workers reach nobody. What ran there is done
// elsewhere while the cut lasts, never twice, wherever the leader was.
func TestAnyZoneCutOff(t *testing.T) {
	for _, c := range [][2]wire.Zone{{"a", "a"}, {"a", "b"}, {"b", "a"}, {"b", "b"}, {"c", "a"}} {
		t.Run(fmt.Sprintf("%s, leader in %s", c[0], c[1]), func(t *testing.T) {
			playOdd(t, 50, func(w *simulator.World, at func(time.Duration)) {
				a, b := array(1, 18, 40), array(2, 6, 20)
				at(2 * time.Second)
				leaderIn(t, w, c[1])
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
func TestZonesParted(t *testing.T) {
	for _, leader := range []wire.Zone{"a", "b"} {
		t.Run("leader in "+string(leader), func(t *testing.T) {
			playOdd(t, 51, func(w *simulator.World, at func(time.Duration)) {
				a := array(1, 18, 70)
				at(2 * time.Second)
				leaderIn(t, w, leader)
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
				w.Checked(func(c *simulator.Checker) {
					if c.Again() != 0 {
						t.Errorf("%d tasks were started again", c.Again())
					}
				})
			})
		})
	}
}

// Seeded days on this layout: any zone cut off or any two parted, from seconds
// to well over a lease and the time for cancellations, with controllers that
// end, one or all, and the cloud or the state service away meanwhile.
func TestSeededOddLayout(t *testing.T) {
	most, _ := strconv.Atoi(os.Getenv("WORLD_SEEDS"))
	for seed := range uint64(max(6, most)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			playOdd(t, 500+seed, func(w *simulator.World, at func(time.Duration)) {
				seconds := within(rng)
				zones := []wire.Zone{"a", "b", "c"}
				var all []simulator.Truth
				for n := range 36 {
					j := array(10+n, 1+rng.IntN(9), float64(5+rng.IntN(30)))
					if rng.IntN(4) == 0 {
						j.Spec.Priority, j.Spec.CPUs, j.Spec.MemoryGB, j.Spec.Class, j.Spec.Team = wire.PriorityUrgent, 4, 14, "check", "blue"
					}
					cancel := mayCancel(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					at(time.Duration(3+4*n)*time.Second + seconds(4))
					w.Submit(j, cancel)
					if n%9 != 6 {
						continue
					}
					rng.Shuffle(3, func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
					split := func(on bool) { w.CutZone(zones[0], on) }
					if rng.IntN(2) == 0 {
						split = func(on bool) { w.Part(zones[0], zones[1], on) }
					}
					split(true)
					time.Sleep(seconds(8))
					w.CloudOutage(rng.IntN(2) == 0)
					w.State.Outage(rng.IntN(4) == 0)
					if end := rng.IntN(4); end < 3 {
						down := []int{end}
						if end == 2 {
							down = []int{0, 1, 2}
						}
						for _, i := range down {
							w.Kill(i)
						}
						time.Sleep(seconds(5))
						for _, i := range down {
							if err := w.Up(i); err != nil {
								t.Error(err)
							}
						}
					}
					time.Sleep(seconds(15))
					w.State.Outage(false)
					time.Sleep(seconds(60))
					split(false)
					time.Sleep(seconds(10))
					w.CloudOutage(false)
				}
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(240 * time.Second)
				mustFinish(t, w, all...)
			})
		})
	}
}

// Values of 4 KiB: the progress of an array whose tasks are all on machines at
// once stays within them, and starts again after a change of leader. (One record
// over the limit was refused again and again, and nothing else was written.)
func TestSmallRecords(t *testing.T) {
	playOdd(t, 52, func(w *simulator.World, at func(time.Duration)) {
		wide, other := array(1, 300, 60), array(2, 3, 10)
		wide.Spec.CPUs, wide.Spec.MemoryGB = 0.1, 0.1
		at(2 * time.Second)
		w.Submit(wide, 0)
		at(45 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			if n := c.On(wide.Spec.ID); n != 300 {
				t.Errorf("%d of 300 tasks run", n)
			}
		})
		w.Submit(other, 0)
		w.Kill(w.Leader())
		at(140 * time.Second)
		mustFinish(t, w, wide, other)
	})
}

// The smallest state service that can work: two changes a transaction, values of
// 1 KiB, a few requests a second, and leases that leave no time to stand in. It
// starts and serves.
func TestTightDeployment(t *testing.T) {
	set := simulator.GasSettings()
	set.State = config.State{RPS: 12, WriteRPS: 8, ValueKB: 1, TxnOps: 2}
	set.Workers = config.Workers{ReportS: 4, LeaseS: 8, CancelS: 12}
	set.Limits = config.Limits{Cores: 0.1, MemoryMB: 40, FDLimit: 100}
	playIn(t, set, oddZones, 53, func(w *simulator.World, at func(time.Duration)) {
		a, b, gone := array(1, 40, 20), array(2, 6, 10), array(3, 10, 60)
		at(3 * time.Second)
		w.Submit(a, 0)
		w.Submit(gone, 45*time.Second)
		at(30 * time.Second)
		w.Submit(b, 0)
		at(60 * time.Second)
		w.Kill(w.Leader())
		at(240 * time.Second)
		mustFinish(t, w, a, b)
	})
}
