package scenarios_test

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// raiseTokenByLostResponse makes the leader raise its token, as it does after a write without a
// response, and waits until all machines can have seen the higher one.
func raiseTokenByLostResponse(t *testing.T, sim *simulator.Simulation, number int) {
	t.Helper()
	_, before := sim.LeaderAndToken()
	sim.State.InjectTxnFaults(1, simulator.TxnFault{Prefix: store.ProgressPrefix, MaxCount: 1, Hang: true})
	sim.Submit(array(number, 1, 5), 0)
	awaitNewToken(t, sim, before)
	time.Sleep(2 * sim.Settings.Workers.HeartbeatInterval.Duration())
}

// Guards against ran_twice: a copy of a heartbeat from before its machine restarted, unnoticed in an
// election, has the larger sequence number and must not count as the newest.
func TestLateHeartbeatFromBeforeUnnoticedRestartLosesNoTask(t *testing.T) {
	t.Parallel()
	runScenario(t, 643, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		job := array(1, 8, 90)
		sim.RecordHeartbeats()
		sleepUntil(2 * time.Second)
		sim.Submit(job, 0)
		waitUntil(t, 60*time.Second, "all tasks run", func() bool { return tasksOnMachines(sim, job.Spec.ID) == job.Spec.Tasks })
		time.Sleep(30 * time.Second)
		machine := sim.MachinesRunning(job.Spec.ID)[0]
		leader := sim.Leader()
		sim.KillController(leader)
		recorded := sim.RecordedHeartbeats(machine)
		old := recorded[len(recorded)-1]
		sim.RestartMachine(machine)
		time.Sleep(300 * time.Millisecond)
		startControllers(t, sim, leader)
		waitUntil(t, 30*time.Second, "all tasks run again", func() bool { return tasksOnMachines(sim, job.Spec.ID) == job.Spec.Tasks })
		raiseTokenByLostResponse(t, sim, 2)
		if _, sequence, token := sim.MachineEpoch(machine); sequence >= old.Sequence || token <= old.Token {
			t.Fatalf("the old heartbeat has sequence %d and token %d, the machine %d and %d; want a larger sequence and a lower token", old.Sequence, old.Token, sequence, token)
		}
		if !runsTaskOf(sim, machine, job) {
			t.Fatalf("%s runs no task of the job again", machine)
		}
		sim.DeliverHeartbeats(old)
		markFaultsOver(sim)
		time.Sleep(120 * time.Second)
		mustFinish(t, sim, job)
	})
}

// movedTask has urgent tasks displace tasks of a job on machines that are all in use, and waits until one
// of these runs on another machine, which a cancelled job has left. It returns the job and the machine
// that the task was on. Nothing else is to be run on that machine, once the urgent tasks have ended.
func movedTask(t *testing.T, sim *simulator.Simulation, displacingSeconds float64) (job simulator.JobScript, from wire.MachineID) {
	t.Helper()
	cancelled, job, displacing := array(10, 4, 300), array(11, 8, 120), array(12, 4, displacingSeconds)
	cancelled.Spec.Priority, displacing.Spec.Priority = wire.PriorityUrgent, wire.PriorityUrgent
	job.Spec.ImageGB = slowImageGB
	submitAll(sim, cancelled, job)
	waitUntil(t, 90*time.Second, "all tasks run", func() bool {
		return tasksOnMachines(sim, job.Spec.ID) == job.Spec.Tasks && tasksOnMachines(sim, cancelled.Spec.ID) == cancelled.Spec.Tasks
	})
	before := sim.TaskMachines(job.Spec.ID)
	sim.LimitCapacity(0)
	sim.Submit(displacing, 0)
	waitUntil(t, 30*time.Second, "the urgent tasks run", func() bool { return tasksOnMachines(sim, displacing.Spec.ID) == displacing.Spec.Tasks })
	mustCancel(t, sim, cancelled)
	waitUntil(t, 30*time.Second, "a displaced task runs on another machine", func() bool {
		for task, machine := range sim.TaskMachines(job.Spec.ID) {
			if before[task] != machine {
				from = before[task]
				return true
			}
		}
		return false
	})
	return job, from
}

// deliverLaunchesAgain delivers copies of all direct launches that a machine has executed.
func deliverLaunchesAgain(t *testing.T, sim *simulator.Simulation, machine wire.MachineID) {
	t.Helper()
	if sim.DeliverRecordedLaunches(machine) == 0 {
		t.Errorf("%s was sent no direct launches, want some to copy", machine)
	}
}

// Guards against ran_twice: a machine restarts while it can't be returned, and copies of launches
// arrive whose attempts had ended there before. The leader that has recognised the restart fences it.
func TestCopyOfLaunchAfterRecognisedRestartStartsNothing(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name              string
		displacingSeconds float64
		fault             func(sim *simulator.Simulation, on bool)
	}{
		{"cloud down", 120, func(sim *simulator.Simulation, on bool) { sim.SetCloudOutage(on) }},
		{"key-value store down", 120, func(sim *simulator.Simulation, on bool) { sim.State.SetOutage(on) }},
		{"idle and being returned already", 20, func(sim *simulator.Simulation, on bool) {
			sim.SetCloudOutage(on)
			if on {
				time.Sleep(47 * time.Second) // an idle machine is returned a minute after it was requested
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 644, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.RecordLaunches()
				sleepUntil(2 * time.Second)
				job, machine := movedTask(t, sim, tc.displacingSeconds)
				tc.fault(sim, true)
				time.Sleep(time.Second)
				sim.RestartMachine(machine)
				time.Sleep(1500 * time.Millisecond)
				deliverLaunchesAgain(t, sim, machine)
				time.Sleep(10 * time.Second)
				tc.fault(sim, false)
				sim.SetCapacity(8)
				markFaultsOver(sim)
				time.Sleep(400 * time.Second)
				mustFinish(t, sim, job)
			})
		})
	}
}

// followerOf returns a controller that does not lead.
func followerOf(sim *simulator.Simulation, leader int) int { return (leader + 1) % sim.Settings.Size }

// Guards against ran_twice: a machine restarts in the middle of an election, and copies of launches
// arrive whose attempts had ended there before. The controller that hears the machine first fences it.
func TestCopyOfLaunchAfterRestartInElectionStartsNothing(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		restart func(t *testing.T, sim *simulator.Simulation, machine wire.MachineID) (recover func())
	}{
		{"leader down", func(t *testing.T, sim *simulator.Simulation, machine wire.MachineID) func() {
			leader := sim.Leader()
			sim.KillController(leader)
			time.Sleep(200 * time.Millisecond)
			sim.RestartMachineAt(machine, followerOf(sim, leader))
			return func() { startControllers(t, sim, leader) }
		}},
		{"leader silent", func(_ *testing.T, sim *simulator.Simulation, machine wire.MachineID) func() {
			leader := sim.Leader()
			sim.IsolateController(leader, simulator.CutModes[0], true)
			sim.Net.Cut(simulator.NodeIP(leader), sim.MachineIP(machine), true)
			time.Sleep(200 * time.Millisecond)
			sim.RestartMachineAt(machine, followerOf(sim, leader))
			time.Sleep(600 * time.Millisecond) // the controller waits for the leader's answer first
			return func() {
				sim.Net.Cut(simulator.NodeIP(leader), sim.MachineIP(machine), false)
				sim.IsolateController(leader, simulator.CutModes[0], false)
			}
		}},
		{"leader cut off from the controller", func(_ *testing.T, sim *simulator.Simulation, machine wire.MachineID) func() {
			leader := sim.Leader()
			follower := followerOf(sim, leader)
			sim.Net.Cut(simulator.NodeIP(leader), simulator.NodeIP(follower), true)
			time.Sleep(3 * time.Second)
			sim.RestartMachineAt(machine, follower)
			return func() { sim.Net.Cut(simulator.NodeIP(leader), simulator.NodeIP(follower), false) }
		}},
		{"all controllers down for longer than a grant", func(t *testing.T, sim *simulator.Simulation, machine wire.MachineID) func() {
			killAll(sim)
			time.Sleep(4 * time.Second)
			sim.RestartMachineAt(machine, 1)
			time.Sleep(100 * time.Millisecond)
			startControllers(t, sim, 0, 1, 2)
			waitUntil(t, 5*time.Second, "a controller has heard the machine", func() bool { _, _, token := sim.MachineEpoch(machine); return token > 0 })
			return func() {}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 645, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.RecordLaunches()
				sleepUntil(2 * time.Second)
				job, machine := movedTask(t, sim, 120)
				recoverFromFault := tc.restart(t, sim, machine)
				time.Sleep(200 * time.Millisecond)
				deliverLaunchesAgain(t, sim, machine)
				time.Sleep(6 * time.Second)
				recoverFromFault()
				sim.SetCapacity(8)
				markFaultsOver(sim)
				time.Sleep(400 * time.Second)
				mustFinish(t, sim, job)
			})
		})
	}
}

// Guards against ran_cancelled: after the time in which a cancelled job's tasks must be gone, one of its
// machines restarts in the middle of an election and a copy of the launch arrives, before the machine's
// first contact with a live controller or after it.
func TestCopyOfCancelledLaunchAfterRestartInElectionStartsNothing(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		deadFirst  bool // the first report goes to the dead leader, so that the copy comes before the first contact
		storeIsOut bool
	}{
		{"first report to a live controller", false, false},
		{"first report to the dead leader", true, false},
		{"first report to the dead leader, key-value store down", true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 647, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.RecordLaunches()
				cancelled, others := array(1, 6, 300), service(2, 4)
				cancelled.Spec.ImageGB = slowImageGB
				sleepUntil(2 * time.Second)
				submitAll(sim, cancelled, others)
				waitUntil(t, 60*time.Second, "all tasks run", func() bool { return tasksOnMachines(sim, cancelled.Spec.ID) == cancelled.Spec.Tasks })
				machine := sim.MachinesRunning(cancelled.Spec.ID)[0]
				time.Sleep(2 * time.Second)
				sim.SetCloudOutage(true) // so that idle machines are not returned
				mustCancel(t, sim, cancelled)
				time.Sleep(sim.Settings.Workers.CancelTimeout.Duration() + time.Second)
				leader := sim.Leader()
				sim.KillController(leader)
				sim.State.SetOutage(tc.storeIsOut)
				time.Sleep(200 * time.Millisecond)
				first := followerOf(sim, leader)
				if tc.deadFirst {
					first = leader
				}
				sim.RestartMachineAt(machine, first)
				time.Sleep(200 * time.Millisecond)
				deliverLaunchesAgain(t, sim, machine)
				time.Sleep(6 * time.Second)
				sim.State.SetOutage(false)
				sim.SetCloudOutage(false)
				startControllers(t, sim, leader)
				markFaultsOver(sim)
				time.Sleep(60 * time.Second)
				mustHaveNoTasks(t, sim, cancelled, "at the end")
				mustRun(t, sim, others, "at the end")
			})
		})
	}
}

// slowImageGB is the size of an image whose fetch takes longer than an agent's pause after a failed
// report, which is a second.
const slowImageGB = 2

// Guards against ran_twice: a copy comes before the first contact of a restarted machine with a live
// controller. The controller that hears of the attempt finds no record of it and stops it.
func TestCopyOfLaunchBeforeFirstContactInElectionIsStopped(t *testing.T) {
	t.Parallel()
	runScenario(t, 648, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sim.RecordLaunches()
		sleepUntil(2 * time.Second)
		job, machine := movedTask(t, sim, 120)
		leader := sim.Leader()
		sim.KillController(leader)
		time.Sleep(200 * time.Millisecond)
		sim.RestartMachineAt(machine, leader)
		time.Sleep(200 * time.Millisecond)
		deliverLaunchesAgain(t, sim, machine)
		time.Sleep(6 * time.Second)
		startControllers(t, sim, leader)
		sim.SetCapacity(8)
		markFaultsOver(sim)
		time.Sleep(400 * time.Second)
		mustFinish(t, sim, job)
	})
}

// Guards against machines that no leader can use: an agent was fenced although its leader is alive, and
// drops its commands until it raises its token.
func TestNewMachinesServeWhileControllersCannotReachEachOther(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 646, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		job := array(1, 24, 20)
		sleepUntil(5 * time.Second)
		if sim.Leader() == 0 { // new machines contact controller 0 first, which must not lead
			replaceLeader(t, sim)
			time.Sleep(5 * time.Second)
		}
		leader, before := sim.LeaderAndToken()
		for i := range sim.Settings.Size {
			for k := range i {
				sim.Net.Cut(simulator.NodeIP(i), simulator.NodeIP(k), true)
			}
		}
		time.Sleep(4 * time.Second)
		sim.Submit(job, 0)
		time.Sleep(80 * time.Second)
		if now, token := sim.LeaderAndToken(); now != leader || token == before {
			t.Errorf("controller %d leads with token %d, want %d with a higher token than %d", now, token, leader, before)
		}
		mustFinish(t, sim, job)
	})
}

// runsTaskOf reports whether a machine runs a task of a job.
func runsTaskOf(sim *simulator.Simulation, machine wire.MachineID, job simulator.JobScript) bool {
	return slices.Contains(sim.MachinesRunning(job.Spec.ID), machine)
}
