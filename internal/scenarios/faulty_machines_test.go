package scenarios_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

const (
	// maxRecoveryTime is how long a job may wait for each faulty machine that it meets.
	maxRecoveryTime = 90 * time.Second
)

// jobKinds are jobs of each kind that one small machine can run, by the name of the kind.
func jobKinds() map[string]simulator.JobScript {
	return map[string]simulator.JobScript{"array": array(1, 2, 10), "service": service(1, 1), "gang": gang(1, 2, 10)}
}

// runsOrIsComplete reports whether all tasks of an array or a gang have completed, or all replicas of a
// service run on machines that are not faulty.
func runsOrIsComplete(sim *simulator.Simulation, job simulator.JobScript) (ok bool) {
	faulty := sim.FaultyMachines()
	onFaulty := func(id wire.MachineID) bool { return slices.Contains(faulty, id) }
	running := tasksOnMachines(sim, job.Spec.ID) == job.Spec.Tasks && !slices.ContainsFunc(sim.MachinesRunning(job.Spec.ID), onFaulty)
	sim.WithChecker(func(c *simulator.Checker) { ok = c.Complete(job.Spec.ID) || job.Spec.IsService() && running })
	return ok
}

// mustRunWithin checks that a job runs or is complete before a timeout.
func mustRunWithin(t *testing.T, sim *simulator.Simulation, job simulator.JobScript, timeout time.Duration) {
	t.Helper()
	if !poll(timeout, time.Second, func() bool { return runsOrIsComplete(sim, job) }) {
		t.Errorf("neither runs nor is complete after %v, with %d machines provisioned", timeout, sim.ProvisionedSoFar())
	}
}

// The first machines of an idle deployment fail every task. Their failures must not keep the
// only job from getting another machine: an accepted job must run.
func TestJobRunsAfterFirstMachinesFailEveryTask(t *testing.T) {
	t.Parallel()
	for kind, job := range jobKinds() {
		for faultyMachines := 1; faultyMachines <= 4; faultyMachines++ {
			t.Run(fmt.Sprintf("%s, %d faulty machines", kind, faultyMachines), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 530, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					sim.ProvisionFaulty(faultyMachines)
					sleepUntil(2 * time.Second)
					sim.Submit(job, 0)
					mustRunWithin(t, sim, job, time.Duration(1+faultyMachines)*maxRecoveryTime)
				})
			})
		}
	}
}

// The cloud can provide one machine at a time, and the first ones fail every task. Each must be
// returned for the job to get the next one.
func TestJobRunsAfterFaultyMachinesWhileCloudHasOneMachine(t *testing.T) {
	t.Parallel()
	for kind, job := range jobKinds() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 532, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				const faultyMachines = 3
				sim.LimitCapacity(1)
				sim.ProvisionFaulty(faultyMachines)
				job.Spec.MachineTypes, job.Spec.Zone, job.Spec.SpotAllowed, job.Spec.Spread = []wire.MachineType{"c4"}, "a", false, false
				sleepUntil(2 * time.Second)
				sim.Submit(job, 0)
				mustRunWithin(t, sim, job, (1+faultyMachines)*maxRecoveryTime)
			})
		})
	}
}

// An array is partly done when its machines are reclaimed, and the next machines fail every task.
// A leader that has seen tasks of the job succeed must not give it up either.
func TestPartlyDoneArrayRunsAfterFaultyMachines(t *testing.T) {
	t.Parallel()
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes %v", newLeader), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 533, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				const faultyMachines = 3
				job := array(1, 12, 20)
				job.RunTimes = []float64{5, 5}
				sleepUntil(2 * time.Second)
				sim.Submit(job, 0)
				eventually(t, maxRecoveryTime, "two tasks are done", func() (done bool) {
					sim.WithChecker(func(c *simulator.Checker) { done = c.Completed(job.Spec.ID) >= 2 })
					return done
				})
				sim.ProvisionFaulty(faultyMachines)
				sim.RemoveMachines(sim.RunningMachines()...)
				if newLeader {
					replaceLeader(t, sim)
				}
				mustRunWithin(t, sim, job, (1+faultyMachines)*maxRecoveryTime)
			})
		})
	}
}

// A job that fails on every machine gets a machine for a retry about once a minute, but never
// machines for all of its tasks. What others run goes on, on machines that do not count as faulty.
func TestJobThatFailsEverywhereGetsFewMachines(t *testing.T) {
	t.Parallel()
	const (
		failingFor       = 5 * time.Minute
		settledAfter     = 2 * time.Minute // until then retries are more frequent than paid minutes end
		maxMachines      = 4               // at a time: of the other job, tried last, being tried, to be tried next
		maxProvisioned   = 11              // one a minute, and those of the first retries
		healthyRunTime   = 420.0           // s
		healthyDoneAfter = 8 * time.Minute
	)
	failingJobs := jobKinds()
	failingJobs["large array"] = array(1, 20, 10)
	for kind, job := range failingJobs {
		job.AlwaysFails = true
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 531, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				healthyArray := array(2, 1, healthyRunTime)
				sleepUntil(2 * time.Second)
				sim.Submit(healthyArray, 0)
				sleepUntil(30 * time.Second)
				provisionedBefore, mostMachines := sim.ProvisionedSoFar(), 0
				sim.Submit(job, failingFor)
				time.Sleep(settledAfter)
				for range int((failingFor - settledAfter) / time.Second) {
					time.Sleep(time.Second)
					mostMachines = max(mostMachines, sim.Machines())
				}
				provisioned := sim.ProvisionedSoFar() - provisionedBefore
				t.Logf("%d machines provisioned for the failing job, at most %d machines at a time", provisioned, mostMachines)
				if mostMachines > maxMachines || provisioned > maxProvisioned {
					t.Errorf("%d machines provisioned and %d at a time, want at most %d and %d", provisioned, mostMachines, maxProvisioned, maxMachines)
				}
				laterArray := array(3, 4, 10)
				sim.Submit(laterArray, 0)
				time.Sleep(maxRecoveryTime)
				mustFinish(t, sim, laterArray)
				sleepUntil(healthyDoneAfter)
				mustFinish(t, sim, healthyArray) // not if it had been stopped
			})
		})
	}
}
