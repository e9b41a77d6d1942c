package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// reconcileTasks updates the recorded attempts of a machine by the task statuses in its
// heartbeat, and adds the tasks of those attempts to listed. Any other task that runs on the
// machine is recorded as orphaned.
func (rc *Reconciler) reconcileTasks(machine *cluster.Machine, heartbeat *wire.Heartbeat, listed map[wire.TaskID]bool, now time.Time) {
	clear(machine.OrphanTasks)
	machine.ListedExits = 0
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.Phase == wire.PhaseExited {
			machine.ListedExits++
		}
		task, err := wire.ParseTaskID(status.Task)
		if err != nil {
			continue
		}
		if attempt := machine.Attempts[task]; attempt != nil && attempt.Number == status.Attempt {
			listed[task] = true
			rc.reconcileAttempt(attempt, status, now)
		} else if status.Phase != wire.PhaseExited {
			machine.OrphanTasks[task] = true
		}
	}
}

// reconcileAttempt updates a recorded attempt by its status in a heartbeat.
func (rc *Reconciler) reconcileAttempt(attempt *cluster.Attempt, status *wire.TaskStatus, now time.Time) {
	if attempt.LaunchSent && !attempt.SeenInHeartbeat {
		rc.onDelivery(attempt.Machine)
	}
	attempt.SeenInHeartbeat = true
	if hasImage(attempt, status) {
		rc.recordImage(attempt, now)
	}
	if status.Phase == wire.PhaseRunning && attempt.RunningSince.IsZero() {
		rc.onTaskRunning(attempt, now)
	}
	attempt.Phase = status.Phase
	recordReplicaSuccess(attempt, now)
	rc.reconcileGang(attempt, status)
	if status.Phase == wire.PhaseExited {
		attempt.ExitCause = status.Cause
		rc.onTaskExit(attempt, status, now)
	}
}

// recordImage records that the attempt's image is on its machine.
func (rc *Reconciler) recordImage(attempt *cluster.Attempt, now time.Time) {
	machine, spec := attempt.Machine, &attempt.Job.Spec
	machine.Images.RecordUse(spec.Image, spec.ImageGB, rc.state.ImageCacheGB(machine.MachineType), now)
	if attempt.ImageReadyAt.IsZero() {
		attempt.ImageReadyAt = now
	}
}

// onTaskRunning handles the first heartbeat that shows the attempt running.
func (rc *Reconciler) onTaskRunning(attempt *cluster.Attempt, now time.Time) {
	attempt.RunningSince = now
	job := attempt.Job
	if !job.HasRun {
		job.HasRun = true
		rc.Metrics.StartDelay(job.Spec.Class, now.Sub(job.AcceptedAt).Seconds())
	}
}

// hasImage reports whether the status of an attempt shows that its image is on the machine.
func hasImage(attempt *cluster.Attempt, status *wire.TaskStatus) bool {
	if status.Phase == wire.PhaseFetching {
		return false
	}
	switch status.Cause {
	case wire.CauseFull, wire.CauseBusy, wire.CauseNoSuch:
		return false
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		return status.Phase != wire.PhaseExited || attempt.Phase != wire.PhaseFetching
	}
	return true
}

// reconcileGang updates the gang to which an attempt belongs, if any, by the attempt's status.
func (rc *Reconciler) reconcileGang(attempt *cluster.Attempt, status *wire.TaskStatus) {
	job, gang := attempt.Job, attempt.Job.Gang
	if gang == nil {
		return
	}
	if status.Phase == wire.PhaseRunning || status.Phase == wire.PhaseCheckpointing || status.Cause == wire.CauseGangBroken {
		gang.HasRun = true
	}
	stopInProgress := gang.StopRequested || gang.Broken || job.Cancelled
	if status.Phase == wire.PhaseCheckpointing && attempt.Inherited && !stopInProgress {
		// An earlier leader began to stop the gang, and may not have reached all of its
		// tasks. A task that learns of the stop too late writes no checkpoint.
		rc.dispatcher.StopGang(job, rc.state.GracePeriodOf(job), cluster.EvictedByEarlierLeader)
	}
}

// onMissingAttempt handles an attempt that is missing: its machine's heartbeat lacks it, and
// no launch that was sent can start it there any more.
func (rc *Reconciler) onMissingAttempt(attempt *cluster.Attempt, heartbeat *wire.Heartbeat) {
	if rc.state.MayRelaunch(attempt) {
		attempt.Inherited, attempt.LaunchSent = false, false
		prepareRelaunch(attempt)
		return
	}
	epochEnded := attempt.LaunchSent && heartbeat.Epoch > attempt.LaunchEpoch
	startUnwanted := attempt.Stopping || attempt.Machine.DrainReason != "" || attempt.Job.Cancelled
	ended := attempt.SeenInHeartbeat || attempt.Inherited || epochEnded || startUnwanted
	if ended && rc.copyMayStart(attempt, heartbeat) {
		return
	}
	switch {
	case attempt.SeenInHeartbeat, attempt.Inherited, epochEnded:
		rc.Log.Info("task lost", "task", attempt.Task(), "attempt", attempt.Number, "machine", attempt.Machine.ID, "epoch", heartbeat.Epoch)
		rc.Metrics.TaskInterrupted(string(cluster.EvictedMissing))
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	case startUnwanted:
		rc.state.EndAttempt(attempt, cluster.TaskPending)
	default: // stored, but not delivered
		prepareRelaunch(attempt)
	}
}

// copyMayStart reports whether a copy of a direct launch could start an attempt on the agent that
// made this heartbeat. If the agent accepts it under the present token too, a higher one is
// requested, unless the machine has restarted and is fenced instead.
func (rc *Reconciler) copyMayStart(attempt *cluster.Attempt, heartbeat *wire.Heartbeat) bool {
	task, machine := attempt.Task(), attempt.Machine
	if !machine.DirectLaunchAcceptedWith(task, heartbeat.Token, heartbeat.Epoch) {
		return false
	}
	if !machine.Restarted && machine.DirectLaunchAcceptedWith(task, rc.Fencing.Token, heartbeat.Epoch) {
		rc.Fencing.RaiseRequested = true
	}
	return true
}

// prepareRelaunch clears the record of those launches of an attempt that did not take effect,
// so that the attempt is launched again.
func prepareRelaunch(attempt *cluster.Attempt) {
	attempt.LaunchUnanswered, attempt.ResponseSequence = false, 0
}
