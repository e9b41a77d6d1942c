package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A launch that was never answered arrives after its job was cancelled.
func TestLateLaunchOfCancelledJob(t *testing.T) {
	t.Parallel()
	runScenario(t, 5, func(sim *simulator.Simulation, at func(time.Duration)) {
		warm, late := array(1, 12, 200), array(2, 6, 10)
		at(2 * time.Second)
		sim.Submit(warm, 0)
		at(40 * time.Second)
		l := sim.Leader()
		var blockedMachines []string
		for range 40 {
			_, ip, _ := sim.FirstMachine(func(int) bool { return len(blockedMachines) >= 0 })
			blockedMachines = append(blockedMachines, ip)
		}
		for _, ip := range blockedMachines {
			sim.Net.Hold(simulator.NodeIP(l), ip, true)
		}
		sim.Submit(late, 12*time.Second)
		at(150 * time.Second)
		for _, ip := range blockedMachines {
			sim.Net.Hold(simulator.NodeIP(l), ip, false)
		}
		at(200 * time.Second)
	})
}

// Commands or their answers are held up for seconds, or wait for a machine that
// hangs, and the machine then goes on: launches, stops, and answers to reports
// that forget. Meanwhile a job is cancelled, the leader ends, or both.
func TestCommandsDelayed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		lag  simulator.CommandDelay
		hang bool
		then []string
	}{
		{"commands for 2 s", simulator.CommandDelay{Command: 2 * time.Second}, false, []string{"cancel", "leader"}},
		{"commands for 9 s", simulator.CommandDelay{Command: 9 * time.Second}, false, []string{"leader", "both"}},
		{"answers for 9 s", simulator.CommandDelay{Answer: 9 * time.Second, HeartbeatResponse: 3500 * time.Millisecond}, false, []string{"cancel"}},
		{"both, and the answers to reports", simulator.CommandDelay{Command: 4 * time.Second, Answer: 4 * time.Second, HeartbeatResponse: 3900 * time.Millisecond}, false, []string{"both"}},
		{"answers to reports for 3 s", simulator.CommandDelay{HeartbeatResponse: 3 * time.Second}, false, []string{"leader"}},
		{"the machines hang", simulator.CommandDelay{}, true, []string{"cancel", "both"}},
	}
	for _, c := range cases {
		for _, then := range c.then {
			t.Run(c.name+", "+then, func(t *testing.T) {
				t.Parallel()
				runScenario(t, 630, func(sim *simulator.Simulation, at func(time.Duration)) {
					s, cancelledJob, warm := service(1, 3), array(2, 4, 300), array(3, 8, 18)
					a, late, quick := array(4, 4, 20), array(5, 4, 300), array(6, 4, 3)
					at(2 * time.Second)
					submitAll(sim, s, cancelledJob, warm)
					at(44 * time.Second)
					ms := sim.BusyMachines("")
					sim.DelayCommands(c.lag)
					if c.hang {
						sim.HangMachines(true, ms...)
					}
					submitAll(sim, a, late, quick)
					time.Sleep(time.Second)
					if then == "cancel" || then == "both" {
						mustCancel(t, sim, cancelledJob)
						mustCancel(t, sim, late)
					}
					if then == "leader" || then == "both" {
						l, old := sim.LeaderAndToken()
						sim.KillController(l)
						awaitNewToken(t, sim, old)
						time.Sleep(time.Second)
						startControllers(t, sim, l)
					}
					if c.hang {
						time.Sleep(5 * time.Second)
						sim.HangMachines(false, ms...)
					}
					time.Sleep(20 * time.Second)
					if then == "leader" {
						if c.hang {
							sim.HangMachines(true, sim.BusyMachines("")...)
						}
						mustCancel(t, sim, cancelledJob) // so that stops are held up too
						mustCancel(t, sim, late)
						time.Sleep(6 * time.Second)
						if c.hang {
							sim.HangMachines(false, sim.RunningMachines()...)
						}
						time.Sleep(8 * time.Second)
					}
					mustBeGone(t, sim, cancelledJob, "20 s later")
					mustBeGone(t, sim, late, "20 s later")
					sim.DelayCommands(simulator.CommandDelay{})
					for verb, want := range map[wire.Verb]bool{
						wire.VerbLaunch: c.hang || c.lag.Command > 0, wire.VerbStop: c.hang || c.lag.Command == 2*time.Second,
						simulator.Answered: c.lag.Answer > 0, wire.VerbForget: c.lag.HeartbeatResponse > 0 && c.lag.Answer == 0,
					} {
						if want && sim.LateCommands(verb) == 0 {
							t.Errorf("no %s came late", verb)
						}
					}
					time.Sleep(20 * time.Second)
					markFaultsOver(sim)
					time.Sleep(90 * time.Second)
					mustFinish(t, sim, warm, a, quick)
					mustRun(t, sim, s, "at the end")
				})
			})
		}
	}
}
