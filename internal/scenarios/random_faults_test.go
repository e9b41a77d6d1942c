package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Seeded schedules of troubles, alone and together.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(100); seed < 108; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, seed, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				rng := rand.New(rand.NewPCG(seed, 1))
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
				faultsAreOver(w)
				time.Sleep(150 * time.Second)
				mustFinish(t, w, all...)
			})
		})
	}
}

// Seeded cuts of a zone, from seconds to well over a lease and the time for
// cancellations, with the cloud or the state service away, leaders that end and
// jobs that are cancelled meanwhile. SCENARIO_SEEDS asks for more of them.
func TestRandomZonePartitions(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 2))
			runWithSettings(t, settingsOfSize(5), 300+seed, func(w *simulator.World, at func(time.Duration)) {
				seconds := randomDelay(rng)
				s, all := service(1, 4), []simulator.Truth{}
				at(2 * time.Second)
				w.Submit(s, 0)
				for n := range 30 {
					j := array(10+n, 1+rng.IntN(8), float64(5+rng.IntN(30)))
					cancel := randomCancelDelay(rng)
					if cancel == 0 {
						all = append(all, j)
					}
					at(time.Duration(3+5*n)*time.Second + seconds(5))
					w.Submit(j, cancel)
					if n%10 != 7 {
						continue
					}
					z := []wire.Zone{"a", "b"}[rng.IntN(2)]
					w.CutZone(z, true)
					time.Sleep(seconds(6))
					cloud, state, leader := rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
					w.CloudOutage(cloud)
					w.State.Outage(state)
					if l := w.Leader(); leader && l >= 0 {
						w.Kill(l)
						time.Sleep(seconds(6))
						w.Up(l)
					}
					time.Sleep(seconds(20))
					w.State.Outage(false)
					time.Sleep(seconds(50))
					w.CutZone(z, false)
					time.Sleep(seconds(10))
					w.CloudOutage(false)
				}
				time.Sleep(150 * time.Second)
				mustFinish(t, w, all...)
				mustRun(t, w, s, "when all is over")
			})
		})
	}
}

// Seeded days on this layout: any zone cut off or any two parted, from seconds
// to well over a lease and the time for cancellations, with controllers that
// end, one or all, and the cloud or the state service away meanwhile.
func TestRandomFaultsOnUnevenLayout(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			runOnUnevenLayout(t, 500+seed, func(w *simulator.World, at func(time.Duration)) {
				seconds := randomDelay(rng)
				zones := []wire.Zone{"a", "b", "c"}
				var all []simulator.Truth
				for n := range 36 {
					j := array(10+n, 1+rng.IntN(9), float64(5+rng.IntN(30)))
					if rng.IntN(4) == 0 {
						j.Spec.Priority, j.Spec.CPUs, j.Spec.MemoryGB, j.Spec.Class, j.Spec.Team = wire.PriorityUrgent, 4, 14, "check", "blue"
					}
					cancel := randomCancelDelay(rng)
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
				faultsAreOver(w)
				time.Sleep(240 * time.Second)
				mustFinish(t, w, all...)
			})
		})
	}
}
