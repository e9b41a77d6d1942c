package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// refusedLaunchBackoff is for how long a machine that refused a launch gets no further
// one, nor a job whose image does not exist.
const refusedLaunchBackoff = 2 * time.Second

// onTaskExit handles the end of an attempt by its cause.
func (rc *Reconciler) onTaskExit(attempt *cluster.Attempt, state *wire.TaskStatus, now time.Time) {
	switch state.Cause {
	case wire.CauseDone:
		rc.onTaskDone(attempt, now)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	case wire.CauseError:
		rc.failures.onTaskFailure(attempt, now)
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	default:
		rc.onLaunchRefused(attempt, state.Cause, now)
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	}
}

// onTaskDone handles the completion of a task. It clears the failures of its job and of
// its machine, which both have shown to work.
func (rc *Reconciler) onTaskDone(attempt *cluster.Attempt, now time.Time) {
	machine, job := attempt.Machine, attempt.Job
	if !attempt.RunningSince.IsZero() && !job.Spec.IsGang() { // a gang runs at the speed of its slowest machine
		rc.failures.recordRunTime(attempt, now)
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
