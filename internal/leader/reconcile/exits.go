package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// refusedLaunchBackoff is how long a machine that refused a launch gets no further one. A
// job whose image does not exist starts no task for the same time.
const refusedLaunchBackoff = 2 * time.Second

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

// onTaskDone handles the completion of a task. It clears the failures of the job and of the
// machine, since both have just been shown to work.
func (rc *Reconciler) onTaskDone(attempt *cluster.Attempt, now time.Time) {
	machine, job := attempt.Machine, attempt.Job
	if !attempt.RunningSince.IsZero() && !job.Spec.IsGang() { // a gang runs at the speed of its slowest machine
		rc.faults.recordRunTime(attempt, now)
	}
	job.AnyTaskSucceeded, job.TaskFailures = true, 0
	clear(job.FailedMachines)
	clear(machine.FailedJobs)
	machine.TaskFailures = 0
	if job.Spec.IsGang() {
		rc.state.CompleteGang(job)
		return
	}
	rc.state.EndAttempt(attempt, cluster.TaskDone)
}

// onLaunchRefused handles an attempt that its machine did not start.
func (rc *Reconciler) onLaunchRefused(attempt *cluster.Attempt, cause wire.ExitCause, now time.Time) {
	rc.Log.Info("launch refused", "task", attempt.Task(), "attempt", attempt.Number, "machine", attempt.Machine.ID, "reason", cause)
	attempt.Machine.StartNotBefore = now.Add(refusedLaunchBackoff)
	if cause == wire.CauseNoSuch {
		attempt.Job.StartNotBefore = now.Add(refusedLaunchBackoff)
	}
}
