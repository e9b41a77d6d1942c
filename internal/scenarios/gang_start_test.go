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
	runOnBothLayouts(t, 800, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sameZoneGang, singleTaskGang, anyZoneGang := gang(1, 4, 30), gang(2, 1, 10), gang(3, 8, 25)
		anyZoneGang.Spec.SameZone, anyZoneGang.Spec.CPUs, anyZoneGang.Spec.CheckpointInterval, anyZoneGang.Spec.CheckpointTime = false, 1, 0, 0
		sleepUntil(2 * time.Second)
		for _, j := range []simulator.JobScript{sameZoneGang, singleTaskGang, anyZoneGang} {
			sim.Submit(j, 0)
		}
		sleepUntil(120 * time.Second)
		mustFinish(t, sim, sameZoneGang, singleTaskGang, anyZoneGang)
		for _, j := range []simulator.JobScript{sameZoneGang, singleTaskGang, anyZoneGang} {
			if g := sim.GangState(j.Spec.ID); g.Starts != 1 || g.Rollbacks != 0 {
				t.Errorf("%s: %+v, want one start and no rollback", j.Spec.ID, g)
			}
			if n := storedChunks(sim, j); n != 0 {
				t.Errorf("%s: %d progress records are left, want 0", j.Spec.ID, n)
			}
		}
	})
}

// A gang loses a member before it has started, because the machine is reclaimed or refuses the
// launch. The gang must still run soon, well before the other members' wait times out.
func TestGangLosesMemberBeforeStart(t *testing.T) {
	t.Parallel()
	for _, cause := range []string{"machine reclaimed", "launch refused"} {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 801, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				warmUpArray, gangJob := array(1, 12, 60), gang(2, 4, 20)
				warmUpArray.Spec.CPUs = 1
				gangJob.Spec.ImageGB = 6 // takes a while to fetch
				sleepUntil(2 * time.Second)
				sim.Submit(warmUpArray, 0)
				sleepUntil(40 * time.Second)
				if cause == "launch refused" {
					for _, id := range sim.RunningMachines() {
						sim.RefuseLaunches(id, 1)
					}
				}
				sim.Submit(gangJob, 0)
				if cause == "machine reclaimed" {
					eventually(t, 30*time.Second, "all tasks fetch the image", func() bool { g := sim.GangState(gangJob.Spec.ID); return g.Fetching == 4 && g.Starts == 0 })
					sim.ReclaimMachine(sim.MachinesHolding(gangJob.Spec.ID)[0])
				}
				begin := time.Now()
				awaitGangRunning(t, sim, gangJob, 60*time.Second)
				t.Logf("gang runs after %v, %+v", time.Since(begin), sim.GangState(gangJob.Spec.ID))
				sleepUntil(160 * time.Second)
				mustFinish(t, sim, gangJob)
				if g := sim.GangState(gangJob.Spec.ID); g.WaitTimeouts != 0 {
					t.Errorf("%d waits for the other members timed out, want 0", g.WaitTimeouts)
				}
			})
		})
	}
}

// After a gang has started, a member's machine is reclaimed, hangs or restarts. The gang must
// start again as a whole from its last checkpoint.
func TestGangLosesMemberAfterStart(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"reclaimed", "hangs", "hangs for long", "restarted"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			runOnBothLayouts(t, 802, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				gangJob := gang(1, 4, 60)
				sleepUntil(2 * time.Second)
				sim.Submit(gangJob, 0)
				awaitGangRunning(t, sim, gangJob, 40*time.Second)
				time.Sleep(30 * time.Second)
				machines := sim.MachinesHolding(gangJob.Spec.ID)
				switch fault {
				case "reclaimed":
					sim.ReclaimMachine(machines[0])
				case "restarted":
					sim.RestartMachine(machines[0])
				default:
					sim.ReportFault(true)
					sim.HangMachines(true, machines[0])
					duration := 11 * time.Second
					if fault == "hangs for long" {
						duration = 60 * time.Second
					}
					time.Sleep(duration)
					sim.HangMachines(false, machines[0])
					sim.ReportFault(false)
				}
				awaitGangRestart(t, sim, gangJob, 100*time.Second)
				if g := sim.GangState(gangJob.Spec.ID); g.Rollbacks != 1 || g.SavedSeconds != 20 {
					t.Errorf("%+v, want one rollback to 20 s of progress", g)
				}
				time.Sleep(70 * time.Second)
				mustFinish(t, sim, gangJob)
			})
		})
	}
}

// setUnevenFetchSpeeds makes machines fetch images at different speeds, also machines that are
// yet to be provisioned.
func setUnevenFetchSpeeds(sim *simulator.Simulation) {
	for i := range 40 {
		sim.SetMachineSpeed(wire.MachineID(fmt.Sprintf("n-%06d", i)), 1/(1+0.5*float64(i%6)))
	}
}

// The leader is killed at each step from the gang's record to its start. No part of a gang may
// be left over, and the gang must start soon.
func TestLeaderChangeDuringGangStart(t *testing.T) {
	t.Parallel()
	template := gang(1, 4, 40)
	template.Spec.MachineTypes = []wire.MachineType{"c4"}
	steps := map[string]func(g simulator.GangState, recorded int) bool{
		"recorded": func(g simulator.GangState, n int) bool { return n > 0 && g.Fetching+g.Waiting+g.Running == 0 },
		"first launched": func(g simulator.GangState, _ int) bool {
			n := g.Fetching + g.Waiting
			return n > 0 && n < 4 && g.Running == 0
		},
		"all launched":  func(g simulator.GangState, _ int) bool { return g.Fetching == 4 },
		"first waiting": func(g simulator.GangState, _ int) bool { return g.Waiting > 0 && g.Running == 0 },
		"running":       func(g simulator.GangState, _ int) bool { return g.Running == 4 },
	}
	for step, reached := range steps {
		for _, downtime := range []time.Duration{200 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(step, " ", downtime), func(t *testing.T) {
				t.Parallel()
				runOnBothLayouts(t, 803, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					gangJob := template
					warmUpArray := array(9, 10, 15)
					warmUpArray.Spec.SpotAllowed, warmUpArray.Spec.MachineTypes = false, template.Spec.MachineTypes
					sleepUntil(2 * time.Second)
					sim.Submit(warmUpArray, 0)
					sleepUntil(30 * time.Second)
					if step == "first waiting" {
						setUnevenFetchSpeeds(sim)
					}
					if step == "recorded" || step == "first launched" {
						sim.DelayCommands(simulator.CommandDelay{Command: 300 * time.Millisecond})
						leader := sim.Leader()
						if step == "first launched" { // machines get their commands at different times
							for i := range 40 { // also machines yet to be provisioned
								sim.Net.SlowLink(simulator.NodeIP(leader), fmt.Sprintf("10.1.0.%d", i+1), time.Duration(i%6)*500*time.Millisecond)
							}
						}
					}
					sim.Submit(gangJob, 0)
					if !eventually(t, 40*time.Second, step, func() bool { return reached(sim.GangState(gangJob.Spec.ID), storedChunks(sim, gangJob)) }) {
						return
					}
					leader := sim.Leader()
					sim.KillController(leader)
					sim.DelayCommands(simulator.CommandDelay{})
					time.Sleep(downtime)
					startControllers(t, sim, leader)
					restarted := time.Now()
					eventually(t, 60*time.Second, "the gang starts", func() bool { return sim.GangState(gangJob.Spec.ID).Starts > 0 })
					t.Logf("%s: gang started %v after the controller, %+v", step, time.Since(restarted), sim.GangState(gangJob.Spec.ID))
					time.Sleep(260 * time.Second)
					mustFinish(t, sim, gangJob)
					if g := sim.GangState(gangJob.Spec.ID); g.Starts != 1 || g.WaitTimeouts > 0 {
						t.Errorf("%+v, want one start and no timed-out wait", g)
					}
				})
			})
		}
	}
}

// The machine of one member fails every task: the gang must run elsewhere. A gang that fails on
// every machine must not make the machines count as faulty.
func TestGangOnFaultyMachineAndFaultyGang(t *testing.T) {
	t.Parallel()
	runScenario(t, 815, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		goodGang, failingGang := gang(1, 4, 40), gang(2, 4, 15)
		goodGang.Spec.MachineTypes = []wire.MachineType{"c4"}
		failingGang.AlwaysFails = true
		warmUpArray := array(9, 10, 15)
		warmUpArray.Spec.MachineTypes, warmUpArray.Spec.SpotAllowed = goodGang.Spec.MachineTypes, false
		sleepUntil(2 * time.Second)
		sim.Submit(warmUpArray, 0)
		sleepUntil(25 * time.Second)
		sim.Submit(goodGang, 0)
		eventually(t, 30*time.Second, "a task fetches the image", func() bool { return sim.GangState(goodGang.Spec.ID).Fetching > 0 })
		sim.MakeFaulty(sim.MachinesHolding(goodGang.Spec.ID)[0])
		sleepUntil(130 * time.Second)
		mustFinish(t, sim, goodGang)
		t.Logf("%+v", sim.GangState(goodGang.Spec.ID))
		machinesBefore := sim.ProvisionedSoFar()
		sim.Submit(failingGang, 90*time.Second)
		sleepUntil(230 * time.Second)
		if n := sim.ProvisionedSoFar() - machinesBefore; n > 8 {
			t.Errorf("%d machines provisioned for a gang that always fails, want at most 8", n)
		}
		laterGang := gang(3, 4, 10)
		sim.Submit(laterGang, 0)
		sleepUntil(290 * time.Second)
		mustFinish(t, sim, laterGang)
	})
}
