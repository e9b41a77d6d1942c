package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

const (
	// maxBackoffDoublings limits the backoff of a job that fails on several machines to 2^6
	// seconds, about a minute.
	maxBackoffDoublings = 6
	// singleMachineBackoff is the backoff of a job that failed on one machine only. The machine
	// may be at fault, so the job is soon retried on another one.
	singleMachineBackoff = 500 * time.Millisecond

	// faultyMachineJobs is how many jobs must have failed on a machine, with no success on it
	// in between, for the machine to be at fault.
	faultyMachineJobs = 2
	// faultyMachineFailures is how many task failures on a machine, with no success in between,
	// put it at fault if the failing job has ever completed a task, or has failed only on this
	// machine (singleMachineFailures).
	faultyMachineFailures = 2
	// singleMachineFailures is how many failures in a row of a job, all on one machine, put that
	// machine at fault although the job has never completed a task.
	singleMachineFailures = 3
	// suspectJobMachines is on how many machines a job must have failed for its backoff to grow
	// with each failure.
	suspectJobMachines = 2
	// faultyJobMachines is on how many machines a job must have failed, with no success in
	// between, for the job to be at fault.
	faultyJobMachines = 3
	// maxFailedMachines is how many machines on which a job failed are remembered, unless more
	// of them still exist.
	maxFailedMachines = 100
)

// faultDetector distinguishes faulty and slow machines from faulty and slow jobs.
type faultDetector struct {
	*drainer
}

// onTaskFailure records a failed task and decides whether the machine or the job is faulty. A
// job that fails on several machines is retried with a growing backoff. A machine is drained and
// scaled in if several jobs fail on it, or if its tasks fail repeatedly and the failing job has
// succeeded before or has failed on this machine only.
func (fd *faultDetector) onTaskFailure(attempt *cluster.Attempt, now time.Time) {
	job, machine := attempt.Job, attempt.Machine
	if job.FailedMachines == nil {
		job.FailedMachines = map[wire.MachineID]bool{}
	}
	job.FailedMachines[machine.ID] = true
	job.TaskFailures++
	machine.FailedJobs[job.Spec.ID] = true
	machine.TaskFailures++
	fd.Log.Info("task failed", "task", attempt.Task(), "attempt", attempt.Number, "machine", machine.ID,
		"job_machines", len(job.FailedMachines), "machine_jobs", len(machine.FailedJobs))
	if machineAtFault(machine, job) {
		fd.drainSuspect(machine, cluster.DrainFaulty)
	}
	backOff(job, now)
	if len(job.FailedMachines) >= faultyJobMachines {
		fd.clearFailuresOf(job)
	}
	fd.forgetRemovedMachines(job)
}

// forgetRemovedMachines bounds the memory that a job takes that fails on one machine after the
// other: of the machines on which it failed, it forgets some that no longer exist.
func (fd *faultDetector) forgetRemovedMachines(job *cluster.Job) {
	for id := range job.FailedMachines {
		if len(job.FailedMachines) <= maxFailedMachines {
			return
		}
		if fd.state.Machines[id] == nil {
			delete(job.FailedMachines, id)
		}
	}
}

// machineAtFault reports whether the machine on which a task of the job has just failed counts
// as the cause.
func machineAtFault(machine *cluster.Machine, job *cluster.Job) bool {
	severalJobsFail := len(machine.FailedJobs) >= faultyMachineJobs
	failsRepeatedly := machine.TaskFailures >= faultyMachineFailures
	failsHereOnly := len(job.FailedMachines) == 1 && job.TaskFailures >= singleMachineFailures
	return severalJobsFail || failsRepeatedly && (job.AnyTaskSucceeded || failsHereOnly)
}

// backOff sets when a job may start tasks again after one of its tasks has failed.
func backOff(job *cluster.Job, now time.Time) {
	if len(job.FailedMachines) < suspectJobMachines {
		job.StartNotBefore = now.Add(singleMachineBackoff)
		return
	}
	doublings := min(job.TaskFailures, maxBackoffDoublings)
	job.StartNotBefore = now.Add(time.Duration(1<<doublings) * time.Second)
}

// clearFailuresOf clears the failures of all machines on which a faulty job has failed, since
// the machines are not their cause.
func (fd *faultDetector) clearFailuresOf(job *cluster.Job) {
	for _, machine := range fd.state.Machines {
		if machine.FailedJobs[job.Spec.ID] {
			delete(machine.FailedJobs, job.Spec.ID)
			machine.TaskFailures = 0
		}
	}
}
