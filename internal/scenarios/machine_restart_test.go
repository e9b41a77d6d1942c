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

// runsTaskOf reports whether a machine runs a task of a job.
func runsTaskOf(sim *simulator.Simulation, machine wire.MachineID, job simulator.JobScript) bool {
	return slices.Contains(sim.MachinesRunning(job.Spec.ID), machine)
}
