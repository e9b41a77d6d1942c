package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// refusedLaunchBackoff is how long a machine that refused a launch gets no further one. A
// job whose image does not exist starts no task for the same time.
const refusedLaunchBackoff = 2 * time.Second

// replicaSuccessTime is how long a replica of a service must have run to count as a success.
// Replicas never complete, and tasks that fail do so soon after their start.
const replicaSuccessTime = 30 * time.Second

// onTaskExit handles the end of an attempt by its cause.
func (rc *Reconciler) onTaskExit(attempt *cluster.Attempt, status *wire.TaskStatus, now time.Time) {
	switch status.Cause {
	case wire.CauseDone:
		rc.onTaskDone(attempt, now)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	case wire.CauseError:
		rc.faults.onTaskFailure(attempt, now)
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	default:
		rc.onLaunchRefused(attempt, status.Cause, now)
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	}
}

// onTaskDone handles the completion of a task.
func (rc *Reconciler) onTaskDone(attempt *cluster.Attempt, now time.Time) {
	machine, job := attempt.Machine, attempt.Job
	if !attempt.RunningSince.IsZero() && !job.Spec.IsGang() { // a gang runs at the speed of its slowest machine
		rc.faults.recordRunTime(attempt, now)
	}
	recordSuccess(job, machine)
	if job.Spec.IsGang() {
		rc.state.CompleteGang(job)
		return
	}
	rc.state.EndAttempt(attempt, cluster.TaskDone)
}

// recordReplicaSuccess records the success of a replica once it has run for long enough.
func recordReplicaSuccess(attempt *cluster.Attempt, now time.Time) {
	running := attempt.Phase == wire.PhaseRunning && !attempt.RunningSince.IsZero()
	if attempt.Succeeded || !running || !attempt.Job.Spec.IsService() || now.Sub(attempt.RunningSince) < replicaSuccessTime {
		return
	}
	attempt.Succeeded = true
	recordSuccess(attempt.Job, attempt.Machine)
}

// recordSuccess clears the failures of a job and of the machine on which a task of it has
// succeeded, since both have just been shown to work.
func recordSuccess(job *cluster.Job, machine *cluster.Machine) {
	job.AnyTaskSucceeded, job.TaskFailures = true, 0
	clear(job.FailedMachines)
	clear(machine.FailedJobs)
	machine.TaskFailures = 0
}

// onLaunchRefused handles an attempt that its machine did not start.
func (rc *Reconciler) onLaunchRefused(attempt *cluster.Attempt, cause wire.ExitCause, now time.Time) {
	rc.Log.Info("launch refused", "task", attempt.Task(), "attempt", attempt.Number, "machine", attempt.Machine.ID, "reason", cause)
	attempt.Machine.StartNotBefore = now.Add(refusedLaunchBackoff)
	if cause == wire.CauseNoSuch {
		attempt.Job.StartNotBefore = now.Add(refusedLaunchBackoff)
	}
}
