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
	runScenario(t, 5, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		warmUp, cancelledJob := array(1, 12, 200), array(2, 6, 10)
		sleepUntil(2 * time.Second)
		sim.Submit(warmUp, 0)
		sleepUntil(40 * time.Second)
		leader := sim.Leader()
		var blockedMachines []string
		for range 40 {
			_, ip, _ := sim.FirstMachine(func(int) bool { return len(blockedMachines) >= 0 })
			blockedMachines = append(blockedMachines, ip)
		}
		for _, ip := range blockedMachines {
			sim.Net.HoldPackets(simulator.NodeIP(leader), ip, true)
		}
		sim.Submit(cancelledJob, 12*time.Second)
		sleepUntil(150 * time.Second)
		for _, ip := range blockedMachines {
			sim.Net.HoldPackets(simulator.NodeIP(leader), ip, false)
		}
		sleepUntil(200 * time.Second)
	})
}

// Launches, stops and their responses, and heartbeat responses with orders to forget a task, are
// delayed for seconds, by the network or because the machine hangs and then resumes. Meanwhile jobs
// are cancelled, the leader is killed, or both.
func TestCommandsDelayed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		delay        simulator.CommandDelay
		machinesHang bool
		events       []string // cancel: jobs are cancelled; leader: the leader is killed; both
	}{
		{"commands delayed 2 s", simulator.CommandDelay{Command: 2 * time.Second}, false, []string{"cancel", "leader"}},
		{"commands delayed 9 s", simulator.CommandDelay{Command: 9 * time.Second}, false, []string{"leader", "both"}},
		{"responses delayed 9 s", simulator.CommandDelay{Answer: 9 * time.Second, HeartbeatResponse: 3500 * time.Millisecond}, false, []string{"cancel"}},
		{"commands, responses and heartbeat responses delayed", simulator.CommandDelay{Command: 4 * time.Second, Answer: 4 * time.Second, HeartbeatResponse: 3900 * time.Millisecond}, false, []string{"both"}},
		{"heartbeat responses delayed 3 s", simulator.CommandDelay{HeartbeatResponse: 3 * time.Second}, false, []string{"leader"}},
		{"machines hang", simulator.CommandDelay{}, true, []string{"cancel", "both"}},
	}
	for _, tc := range cases {
		for _, event := range tc.events {
			t.Run(tc.name+", "+event, func(t *testing.T) {
				t.Parallel()
				runScenario(t, 630, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					serviceJob, cancelledRunning, warmUp := service(1, 3), array(2, 4, 300), array(3, 8, 18)
					arrayJob, cancelledStarting, shortJob := array(4, 4, 20), array(5, 4, 300), array(6, 4, 3)
					sleepUntil(2 * time.Second)
					submitAll(sim, serviceJob, cancelledRunning, warmUp)
					sleepUntil(44 * time.Second)
					machines := sim.BusyMachines("")
					sim.DelayCommands(tc.delay)
					if tc.machinesHang {
						sim.HangMachines(true, machines...)
					}
					submitAll(sim, arrayJob, cancelledStarting, shortJob)
					time.Sleep(time.Second)
					if event == "cancel" || event == "both" {
						mustCancel(t, sim, cancelledRunning)
						mustCancel(t, sim, cancelledStarting)
					}
					if event == "leader" || event == "both" {
						leader, oldToken := sim.LeaderAndToken()
						sim.KillController(leader)
						awaitNewToken(t, sim, oldToken)
						time.Sleep(time.Second)
						startControllers(t, sim, leader)
					}
					if tc.machinesHang {
						time.Sleep(5 * time.Second)
						sim.HangMachines(false, machines...)
					}
					time.Sleep(20 * time.Second)
					if event == "leader" {
						if tc.machinesHang {
							sim.HangMachines(true, sim.BusyMachines("")...)
						}
						mustCancel(t, sim, cancelledRunning) // so that stops are delayed too
						mustCancel(t, sim, cancelledStarting)
						time.Sleep(6 * time.Second)
						if tc.machinesHang {
							sim.HangMachines(false, sim.RunningMachines()...)
						}
						time.Sleep(8 * time.Second)
					}
					mustHaveNoTasks(t, sim, cancelledRunning, "after the cancellation")
					mustHaveNoTasks(t, sim, cancelledStarting, "after the cancellation")
					sim.DelayCommands(simulator.CommandDelay{})
					for verb, want := range map[wire.Verb]bool{
						wire.VerbLaunch: tc.machinesHang || tc.delay.Command > 0, wire.VerbStop: tc.machinesHang || tc.delay.Command == 2*time.Second,
						simulator.LateAnswer: tc.delay.Answer > 0, wire.VerbForget: tc.delay.HeartbeatResponse > 0 && tc.delay.Answer == 0,
					} {
						if want && sim.LateCommands(verb) == 0 {
							t.Errorf("no late command was counted as %s", verb)
						}
					}
					time.Sleep(20 * time.Second)
					markFaultsOver(sim)
					time.Sleep(90 * time.Second)
					mustFinish(t, sim, warmUp, arrayJob, shortJob)
					mustRun(t, sim, serviceJob, "at the end")
				})
			})
		}
	}
}
