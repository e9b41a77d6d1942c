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
	runOnBothLayouts(t, 800, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		a, b, c := gang(1, 4, 30), gang(2, 1, 10), gang(3, 8, 25)
		c.Spec.SameZone, c.Spec.CPUs, c.Spec.CheckpointInterval, c.Spec.CheckpointTime = false, 1, 0, 0
		at(2 * time.Second)
		for _, j := range []simulator.JobScript{a, b, c} {
			sim.Submit(j, 0)
		}
		at(120 * time.Second)
		mustFinish(t, sim, a, b, c)
		for _, j := range []simulator.JobScript{a, b, c} {
			if g := sim.GangState(j.Spec.ID); g.Starts != 1 || g.Rollbacks != 0 {
				t.Errorf("%s: %+v, want one start and no fall", j.Spec.ID, g)
			}
			if n := storedChunks(sim, j); n != 0 {
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
			runOnBothLayouts(t, 801, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				warm, j := array(1, 12, 60), gang(2, 4, 20)
				warm.Spec.CPUs = 1
				j.Spec.ImageGB = 6 // it is fetched for a while
				at(2 * time.Second)
				sim.Submit(warm, 0)
				at(40 * time.Second)
				if how == "refused" {
					for _, id := range sim.RunningMachines() {
						sim.RefuseLaunches(id, 1)
					}
				}
				sim.Submit(j, 0)
				if how == "machine taken" {
					eventually(t, 30*time.Second, "fetches", func() bool { g := sim.GangState(j.Spec.ID); return g.Fetching == 4 && g.Starts == 0 })
					sim.ReclaimMachine(sim.MachinesHolding(j.Spec.ID)[0])
				}
				before := time.Now()
				awaitGangRunning(t, sim, j, 60*time.Second)
				t.Logf("runs after %v, %+v", time.Since(before), sim.GangState(j.Spec.ID))
				at(160 * time.Second)
				mustFinish(t, sim, j)
				if g := sim.GangState(j.Spec.ID); g.Incomplete != 0 {
					t.Errorf("%d tasks waited in vain", g.Incomplete)
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
			runOnBothLayouts(t, 802, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				j := gang(1, 4, 60)
				at(2 * time.Second)
				sim.Submit(j, 0)
				awaitGangRunning(t, sim, j, 40*time.Second)
				time.Sleep(30 * time.Second)
				on := sim.MachinesHolding(j.Spec.ID)
				switch how {
				case "taken":
					sim.ReclaimMachine(on[0])
				case "reborn":
					sim.RestartMachine(on[0])
				default:
					sim.CountFault(true)
					sim.HangMachines(true, on[0])
					d := 11 * time.Second
					if how == "hangs for long" {
						d = 60 * time.Second
					}
					time.Sleep(d)
					sim.HangMachines(false, on[0])
					sim.CountFault(false)
				}
				awaitGangRestart(t, sim, j, 100*time.Second)
				if g := sim.GangState(j.Spec.ID); g.Rollbacks != 1 || g.Saved != 20 {
					t.Errorf("%+v, want one fall to 20 s", g)
				}
				time.Sleep(70 * time.Second)
				mustFinish(t, sim, j)
			})
		})
	}
}

// uneven makes machines fetch at different speeds, also those yet to come.
func setUnevenFetchSpeeds(sim *simulator.Simulation) {
	for i := range 40 {
		sim.SetMachineSpeed(wire.MachineID(fmt.Sprintf("n-%06d", i)), 1/(1+0.5*float64(i%6)))
	}
}

// The leader ends at each step between a gang's record and its start, and in its
// orderly stop: no half is left, and it starts soon.
func TestLeaderChangeDuringGangStart(t *testing.T) {
	t.Parallel()
	id := gang(1, 4, 40)
	id.Spec.MachineTypes = []wire.MachineType{"c4"}
	step := map[string]func(g simulator.GangState, recorded int) bool{
		"recorded": func(g simulator.GangState, n int) bool { return n > 0 && g.Fetching+g.Waiting+g.Running == 0 },
		"first launched": func(g simulator.GangState, _ int) bool {
			n := g.Fetching + g.Waiting
			return n > 0 && n < 4 && g.Running == 0
		},
		"all launched":  func(g simulator.GangState, _ int) bool { return g.Fetching == 4 },
		"first waiting": func(g simulator.GangState, _ int) bool { return g.Waiting > 0 && g.Running == 0 },
		"running":       func(g simulator.GangState, _ int) bool { return g.Running == 4 },
	}
	for name, is := range step {
		for _, down := range []time.Duration{200 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(name, " ", down), func(t *testing.T) {
				t.Parallel()
				runOnBothLayouts(t, 803, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
					j := id
					warm := array(9, 10, 15)
					warm.Spec.SpotAllowed, warm.Spec.MachineTypes = false, id.Spec.MachineTypes
					at(2 * time.Second)
					sim.Submit(warm, 0)
					at(30 * time.Second)
					if name == "first waiting" {
						setUnevenFetchSpeeds(sim)
					}
					if name == "recorded" || name == "first launched" {
						sim.DelayCommands(simulator.CommandDelay{Command: 300 * time.Millisecond})
						l := sim.Leader()
						if name == "first launched" { // one of the machines gets its command later
							for i := range 40 { // also those that are yet to come
								sim.Net.SlowLink(simulator.NodeIP(l), fmt.Sprintf("10.1.0.%d", i+1), time.Duration(i%6)*500*time.Millisecond)
							}
						}
					}
					sim.Submit(j, 0)
					if !eventually(t, 40*time.Second, name, func() bool { return is(sim.GangState(j.Spec.ID), storedChunks(sim, j)) }) {
						return
					}
					l := sim.Leader()
					sim.KillController(l)
					sim.DelayCommands(simulator.CommandDelay{})
					time.Sleep(down)
					startControllers(t, sim, l)
					begin := time.Now()
					eventually(t, 60*time.Second, "runs", func() bool { return sim.GangState(j.Spec.ID).Starts > 0 })
					t.Logf("%s: runs %v after, %+v", name, time.Since(begin), sim.GangState(j.Spec.ID))
					time.Sleep(260 * time.Second)
					mustFinish(t, sim, j)
					if g := sim.GangState(j.Spec.ID); g.Starts != 1 || g.Incomplete > 0 {
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
	runScenario(t, 815, func(sim *simulator.Simulation, at func(time.Duration)) {
		good, bad := gang(1, 4, 40), gang(2, 4, 15)
		good.Spec.MachineTypes = []wire.MachineType{"c4"}
		bad.AlwaysFails = true
		warm := array(9, 10, 15)
		warm.Spec.MachineTypes, warm.Spec.SpotAllowed = good.Spec.MachineTypes, false
		at(2 * time.Second)
		sim.Submit(warm, 0)
		at(25 * time.Second)
		sim.Submit(good, 0)
		eventually(t, 30*time.Second, "fetches", func() bool { return sim.GangState(good.Spec.ID).Fetching > 0 })
		sim.MakeFaulty(sim.MachinesHolding(good.Spec.ID)[0])
		at(130 * time.Second)
		mustFinish(t, sim, good)
		t.Logf("%+v", sim.GangState(good.Spec.ID))
		before := sim.ProvisionedSoFar()
		sim.Submit(bad, 90*time.Second)
		at(230 * time.Second)
		if n := sim.ProvisionedSoFar() - before; n > 8 {
			t.Errorf("a faulty gang cost %d machines", n)
		}
		after := gang(3, 4, 10)
		sim.Submit(after, 0)
		at(290 * time.Second)
		mustFinish(t, sim, after)
	})
}
