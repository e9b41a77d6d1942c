package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// reconcileTasks updates the recorded attempts by the task states in a heartbeat and
// marks in listed those that it contains. Anything else that runs on the machine is
// orphaned.
func (rc *Reconciler) reconcileTasks(machine *cluster.Machine, heartbeat *wire.Heartbeat, listed map[wire.TaskID]bool, now time.Time) {
	clear(machine.OrphanTasks)
	for i := range heartbeat.Tasks {
		state := &heartbeat.Tasks[i]
		task, err := wire.ParseTaskID(state.Task)
		if err != nil {
			continue
		}
		if attempt := machine.Tasks[task]; attempt != nil && attempt.Number == state.Attempt {
			listed[task] = true
			rc.reconcileAttempt(attempt, state, now)
		} else if state.Phase != wire.PhaseExited {
			machine.OrphanTasks[task] = true
		}
	}
}

// reconcileAttempt updates a recorded attempt by its state in a heartbeat.
func (rc *Reconciler) reconcileAttempt(attempt *cluster.Attempt, state *wire.TaskStatus, now time.Time) {
	if attempt.LaunchSent && !attempt.SeenInHeartbeat {
		rc.onReceived(attempt.Machine)
	}
	attempt.SeenInHeartbeat = true
	if hasImage(attempt, state) {
		rc.recordImage(attempt, now)
	}
	if state.Phase == wire.PhaseRunning && attempt.RunningSince.IsZero() {
		rc.onTaskRunning(attempt, now)
	}
	attempt.Phase = state.Phase
	rc.reconcileGang(attempt, state)
	if state.Phase == wire.PhaseExited {
		rc.onTaskExit(attempt, state, now)
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

// hasImage reports whether an attempt's state shows that its image is on the machine.
func hasImage(attempt *cluster.Attempt, state *wire.TaskStatus) bool {
	if state.Phase == wire.PhaseFetching {
		return false
	}
	switch state.Cause {
	case wire.CauseFull, wire.CauseBusy, wire.CauseNoSuch:
		return false
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		return state.Phase != wire.PhaseExited || attempt.Phase != wire.PhaseFetching
	}
	return true
}

// reconcileGang updates the attempt's gang, if it is of one, by the state of the attempt.
func (rc *Reconciler) reconcileGang(attempt *cluster.Attempt, state *wire.TaskStatus) {
	job, gang := attempt.Job, attempt.Job.Gang
	if gang == nil {
		return
	}
	if state.Phase == wire.PhaseRunning || state.Phase == wire.PhaseCheckpointing || state.Cause == wire.CauseGangBroken {
		gang.HasRun = true
	}
	stopKnown := gang.StopRequested || gang.Broken || job.Cancelled
	if state.Phase == wire.PhaseCheckpointing && attempt.Inherited && !stopKnown {
		// An earlier leader began to stop the gang, and may not have reached all of its
		// tasks. Those that don't learn of it in time don't write a checkpoint.
		rc.dispatcher.StopGang(job, rc.state.GracePeriodOf(job), cluster.EvictedByEarlierLeader)
	}
}

// onMissingAttempt handles an attempt that its machine's heartbeat lacks and that can't
// start there any more by any launch that was sent.
func (rc *Reconciler) onMissingAttempt(attempt *cluster.Attempt, heartbeat *wire.Heartbeat) {
	if rc.state.MayRelaunch(attempt) {
		attempt.Inherited, attempt.LaunchSent = false, false
		prepareRelaunch(attempt)
		return
	}
	epochEnded := attempt.LaunchSent && heartbeat.Epoch > attempt.LaunchEpoch
	startUnwanted := attempt.Stopping || attempt.Machine.DrainReason != "" || attempt.Job.Cancelled
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

// prepareRelaunch forgets the launches of an attempt that did not take effect, so that it
// is launched again.
func prepareRelaunch(attempt *cluster.Attempt) {
	attempt.LaunchUnanswered, attempt.ReplySequence = false, 0
}
