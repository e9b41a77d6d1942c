package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// copiedShare is the share of the direct commands that random scenarios deliver again.
const copiedShare = 0.3

// attemptEnds are the ways in which attempts end before copies of their launches arrive. Each
// function has attempts end that way on machines that exist, and returns the jobs that must
// complete.
var attemptEnds = []struct {
	name     string
	minDelay time.Duration // of copies, so that most arrive after the end
	end      func(t *testing.T, sim *simulator.Simulation) []simulator.JobScript
}{
	{"failed", 300 * time.Millisecond, func(_ *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		for _, id := range sim.RunningMachines()[1:] {
			sim.MakeFaulty(id)
		}
		job := array(10, 8, 12)
		sim.Submit(job, 0)
		time.Sleep(6 * time.Second)
		sim.RepairMachines()
		return []simulator.JobScript{job}
	}},
	{"completed", 300 * time.Millisecond, func(_ *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		job := array(10, 12, 3)
		sim.Submit(job, 0)
		time.Sleep(8 * time.Second)
		return []simulator.JobScript{job}
	}},
	{"stopped for other work", 5 * time.Second, func(t *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		lowPriority, urgent := array(10, 40, 15), array(11, 8, 10)
		lowPriority.Spec.Priority, lowPriority.Spec.Team = wire.PriorityBestEffort, "blue"
		urgent.Spec.Priority = wire.PriorityUrgent
		sim.LimitCapacity(0)
		sim.Submit(lowPriority, 0)
		time.Sleep(8 * time.Second)
		sim.Submit(urgent, 0)
		time.Sleep(6 * time.Second)
		if preemptionCount(t, sim) == 0 {
			t.Error("no task was preempted, want some")
		}
		sim.LimitCapacity(6)
		return []simulator.JobScript{lowPriority, urgent}
	}},
	{"moved by a drain", 5 * time.Second, func(t *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		job := service(10, 4)
		sim.Submit(job, 0)
		waitUntil(t, 60*time.Second, "all replicas run", func() bool { return tasksOnMachines(sim, job.Spec.ID) == job.Spec.Tasks })
		sim.GiveSpotNotice(sim.MachinesRunning(job.Spec.ID)[0], 75*time.Second)
		time.Sleep(3 * time.Second)
		return nil
	}},
	{"refused as full", 300 * time.Millisecond, func(_ *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		return refuseLaunches(sim, wire.CauseFull)
	}},
	{"refused as busy", 300 * time.Millisecond, func(_ *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		return refuseLaunches(sim, wire.CauseBusy)
	}},
	{"cancelled", 5 * time.Second, func(t *testing.T, sim *simulator.Simulation) []simulator.JobScript {
		job := array(10, 8, 300)
		sim.Submit(job, 0)
		time.Sleep(6 * time.Second)
		mustCancel(t, sim, job)
		time.Sleep(3 * time.Second)
		return nil
	}},
}

// refuseLaunches has machines refuse the first launches of a job, and returns the job.
func refuseLaunches(sim *simulator.Simulation, cause wire.ExitCause) []simulator.JobScript {
	for _, id := range sim.RunningMachines() {
		sim.RefuseLaunchesBecause(id, 1, cause)
	}
	job := array(10, 8, 12)
	sim.Submit(job, 0)
	time.Sleep(6 * time.Second)
	return []simulator.JobScript{job}
}

// leaderEvents are what happens to the leader between the end of attempts and the copies.
var leaderEvents = []struct {
	name  string
	event func(t *testing.T, sim *simulator.Simulation)
}{
	{"leader unchanged", func(*testing.T, *simulator.Simulation) {}},
	{"leader back within a second", func(t *testing.T, sim *simulator.Simulation) {
		restartLeader(t, sim, 400*time.Millisecond)
	}},
	{"leader replaced", replaceLeader},
}

// A launch that was executed and answered arrives again after its attempt has ended.
func TestCopyOfAnsweredLaunchStartsNoEndedAttempt(t *testing.T) {
	t.Parallel()
	for _, attemptEnd := range attemptEnds {
		for _, leaderEvent := range leaderEvents {
			for _, hang := range []time.Duration{0, 5 * time.Second} {
				name := attemptEnd.name + ", " + leaderEvent.name
				if hang > 0 {
					name += ", machines hang"
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					runScenario(t, 640, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
						warmUp, serviceJob := array(1, 16, 25), service(2, 3)
						sleepUntil(2 * time.Second)
						submitAll(sim, warmUp, serviceJob)
						sleepUntil(30 * time.Second)
						sim.CopyCommands(simulator.CommandCopies{Share: 1, MinDelay: attemptEnd.minDelay, MaxDelay: 50 * time.Second, Most: 12})
						sim.SetCloudOutage(true) // so that no machine is returned before the copies arrive
						jobs := attemptEnd.end(t, sim)
						machines := sim.RunningMachines()
						if hang > 0 {
							sim.HangMachines(true, machines...)
						}
						leaderEvent.event(t, sim)
						time.Sleep(hang)
						sim.HangMachines(false, machines...)
						time.Sleep(55 * time.Second)
						mustHaveCopiedEndedLaunches(t, sim)
						sim.SetCloudOutage(false)
						markFaultsOver(sim)
						time.Sleep(100 * time.Second)
						mustFinish(t, sim, append(jobs, warmUp)...)
						mustRun(t, sim, serviceJob, "at the end")
					})
				})
			}
		}
	}
}

// mustHaveCopiedEndedLaunches checks that copies of launches arrived whose attempts had ended, and
// that none of them had an effect.
func mustHaveCopiedEndedLaunches(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	copied := sim.CopiedCommands()
	if copied.AfterEnd == 0 {
		t.Errorf("copies of commands: %+v, want some launches of attempts that had ended", copied)
	}
	if copied.Started > 0 {
		t.Errorf("copies of commands: %+v, want none that starts an attempt", copied)
	}
}

// mustHaveCopiedCommands checks that copies of commands were delivered in a run with random faults.
func mustHaveCopiedCommands(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	if copied := sim.CopiedCommands(); copied.Delivered == 0 {
		t.Errorf("copies of commands: %+v, want some delivered", copied)
	}
}

// A task failed on one machine and runs on another when copies of its first launch arrive.
func TestFailedTaskIsNotRunAgainByCopyOfItsLaunch(t *testing.T) {
	t.Parallel()
	runScenario(t, 641, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		warmUp, job := array(1, 12, 20), array(2, 6, 40)
		sleepUntil(2 * time.Second)
		sim.Submit(warmUp, 0)
		waitUntil(t, 90*time.Second, "the machines are free", func() bool { return allComplete(sim, []simulator.JobScript{warmUp}) })
		machines := sim.RunningMachines()
		for _, id := range machines[1:] {
			sim.MakeFaulty(id)
		}
		sim.SetCloudOutage(true) // so that the faulty machines are not returned
		sim.CopyCommands(simulator.CommandCopies{Share: 1, MinDelay: 3 * time.Second, MaxDelay: 30 * time.Second, Most: 6})
		sim.Submit(job, 0)
		time.Sleep(2500 * time.Millisecond)
		sim.RepairMachines()
		time.Sleep(30 * time.Second)
		mustHaveCopiedEndedLaunches(t, sim)
		sim.SetCloudOutage(false)
		time.Sleep(110 * time.Second)
		mustFinish(t, sim, warmUp, job)
	})
}

// A machine restarts within a second, and copies of the launches from before arrive there.
func TestCopyOfLaunchAfterMachineRestart(t *testing.T) {
	t.Parallel()
	for _, leaderEvent := range leaderEvents {
		t.Run(leaderEvent.name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 642, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				warmUp, job := array(1, 16, 25), array(2, 4, 60)
				sim.CopyCommands(simulator.CommandCopies{Share: 1, MinDelay: 8 * time.Second, MaxDelay: 40 * time.Second, Most: 6})
				sleepUntil(2 * time.Second)
				submitAll(sim, warmUp, job)
				waitUntil(t, 60*time.Second, "all tasks run", func() bool { return tasksOnMachines(sim, job.Spec.ID) == job.Spec.Tasks })
				time.Sleep(3 * time.Second)
				sim.SetCloudOutage(true) // so that the machine is not returned
				sim.RestartMachine(sim.MachinesRunning(job.Spec.ID)[0])
				leaderEvent.event(t, sim)
				time.Sleep(40 * time.Second)
				sim.SetCloudOutage(false)
				time.Sleep(150 * time.Second)
				mustHaveCopiedCommands(t, sim)
				mustFinish(t, sim, job)
			})
		})
	}
}
