package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

const (
	// maxBackoffDoublings bounds the backoff of a job that fails on several machines:
	// 2^6 seconds, about a minute.
	maxBackoffDoublings = 6
	// singleMachineBackoff is the backoff of a job that failed on one machine only: the
	// machine may be at fault, and the job is tried on another one soon.
	singleMachineBackoff = 500 * time.Millisecond

	// faultyMachineJobs is how many jobs must have failed on a machine in a row for the
	// machine to be at fault.
	faultyMachineJobs = 2
	// faultyMachineFailures is how many failures make a machine faulty if the job
	// runs on others.
	faultyMachineFailures = 2
	// singleMachineFailures is how many failures in a row of a job, all on one machine,
	// make that machine faulty although the job has never completed a task.
	singleMachineFailures = 3
	// suspectJobMachines is on how many machines a job must have failed for it to be
	// retried ever more rarely.
	suspectJobMachines = 2
	// faultyJobMachines is on how many machines a job must have failed in a row for the
	// job to be at fault.
	faultyJobMachines = 3
)

// faultDetector distinguishes faulty and slow machines from faulty and slow jobs.
type faultDetector struct {
	*drainer
}

// onTaskFailure distinguishes a faulty machine from a faulty job. A job that fails wherever
// it runs is retried ever more rarely; a machine on which several jobs fail, or a job that
// other machines run well, is drained and scaled in.
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
}

// machineAtFault reports whether a machine on which a task of the job has just failed is
// taken to be the cause.
func machineAtFault(machine *cluster.Machine, job *cluster.Job) bool {
	severalJobsFail := len(machine.FailedJobs) >= faultyMachineJobs
	failsRepeatedly := machine.TaskFailures >= faultyMachineFailures
	failsHereOnly := len(job.FailedMachines) == 1 && job.TaskFailures >= singleMachineFailures
	return severalJobsFail || failsRepeatedly && (job.AnyTaskSucceeded || failsHereOnly)
}

// backOff sets when a job of which a task has just failed may start tasks again.
func backOff(job *cluster.Job, now time.Time) {
	if len(job.FailedMachines) < suspectJobMachines {
		job.StartNotBefore = now.Add(singleMachineBackoff)
		return
	}
	doublings := min(job.TaskFailures, maxBackoffDoublings)
	job.StartNotBefore = now.Add(time.Duration(1<<doublings) * time.Second)
}

// clearFailuresOf clears the failures of all machines on which a faulty job has failed.
func (fd *faultDetector) clearFailuresOf(job *cluster.Job) {
	for _, machine := range fd.state.Machines {
		if machine.FailedJobs[job.Spec.ID] {
			delete(machine.FailedJobs, job.Spec.ID)
			machine.TaskFailures = 0
		}
	}
}
