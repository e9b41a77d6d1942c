package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// arrayOfTinyTasks returns an array of which thousands of tasks fit on one machine by their
// resources.
func arrayOfTinyTasks(number, tasks int, seconds float64) simulator.JobScript {
	j := array(number, tasks, seconds)
	j.Spec.CPUs, j.Spec.MemoryGB, j.Spec.ImageGB = 0.001, 0.002, 0.1
	return j
}

// mustKeepHeartbeatsSmall checks that the heartbeat with the most tasks is within the protocol's
// limit, and that the scenario came close to the limit.
func mustKeepHeartbeatsSmall(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	bytes, tasks := sim.LargestHeartbeat()
	t.Logf("largest heartbeat: %d bytes, %d tasks", bytes, tasks)
	if bytes > wire.MaxBodyBytes {
		t.Errorf("largest heartbeat: got %d bytes with %d tasks, want at most %d bytes", bytes, tasks, wire.MaxBodyBytes)
	}
	if tasks < 300 {
		t.Errorf("largest heartbeat: got %d tasks, want some hundred", tasks)
	}
}

// Many small tasks end on few machines, and nothing changes the leader for an hour.
func TestHeartbeatsStayWithinLimitWhileManySmallTasksEnd(t *testing.T) {
	t.Parallel()
	runScenario(t, 650, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		var jobs []simulator.JobScript
		token := wire.FencingToken(0)
		for n := range 6 {
			sleepUntil(time.Duration(n)*10*time.Minute + 2*time.Second)
			job := arrayOfTinyTasks(1+n, 2400, 4)
			jobs = append(jobs, job)
			sim.Submit(job, 0)
			if n == 1 {
				_, token = sim.LeaderAndToken()
			}
		}
		sleepUntil(time.Hour)
		mustFinish(t, sim, jobs...)
		mustKeepHeartbeatsSmall(t, sim)
		if _, last := sim.LeaderAndToken(); last <= token {
			t.Errorf("token after an hour: got %d, want above %d", last, token)
		}
	})
}

// One machine could hold all of these replicas by their resources, but not list them.
func TestReplicasThatOneMachineCannotListRunOnSeveral(t *testing.T) {
	t.Parallel()
	runScenario(t, 651, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		job := service(1, 1200)
		job.Spec.CPUs, job.Spec.MemoryGB, job.Spec.ImageGB, job.Spec.Spread = 0.001, 0.002, 0.1, false
		sleepUntil(2 * time.Second)
		sim.Submit(job, 0)
		sleepUntil(3 * time.Minute)
		mustRun(t, sim, job, "after three minutes")
		mustKeepHeartbeatsSmall(t, sim)
		mustRestartNoTask(t, sim)
	})
}

// Arrays of small tasks use machines on which a service runs, whose replicas go on.
func TestSmallTasksDoNotEndOtherTasksOfTheirMachine(t *testing.T) {
	t.Parallel()
	runScenario(t, 652, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, job := service(1, 3), arrayOfTinyTasks(2, 2400, 60)
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(40 * time.Second)
		sim.Submit(job, 0)
		sleepUntil(10 * time.Minute)
		mustFinish(t, sim, job)
		mustRun(t, sim, serviceJob, "at the end")
		mustRestartNoTask(t, sim)
		mustKeepHeartbeatsSmall(t, sim)
	})
}
