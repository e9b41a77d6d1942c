package agents

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Stop requests the stop of an attempt or, if its job is a gang, of the whole gang. A repeated
// request takes effect only if it shortens the grace period.
func (dp *Dispatcher) Stop(attempt *cluster.Attempt, gracePeriod wire.Seconds, reason cluster.EvictionReason) {
	if attempt.Job.Gang != nil {
		dp.StopGang(attempt.Job, gracePeriod, reason)
		return
	}
	dp.stopAttempt(attempt, gracePeriod, reason)
}

func (dp *Dispatcher) stopAttempt(attempt *cluster.Attempt, gracePeriod wire.Seconds, reason cluster.EvictionReason) {
	if attempt.Unstored {
		dp.stopUnstored(attempt, gracePeriod, reason)
		return
	}
	if attempt.Stopping && attempt.GracePeriod <= gracePeriod {
		return
	}
	if !attempt.Stopping {
		attempt.StopRequestedAt = time.Now()
	}
	markStopping(attempt, gracePeriod, reason)
	attempt.StopSentAt = time.Time{}
	if reason != cluster.EvictedCancelled {
		dp.Log.Info("task stop requested", "task", attempt.Task(), "attempt", attempt.Number, "machine", attempt.Machine.ID, "reason", reason)
		dp.Metrics.TaskInterrupted(string(reason))
	}
	dp.SendDueCommands(attempt.Machine)
}

// stopUnstored ends an attempt that is not stored, so that its launch was never sent. An attempt that
// is being written is only marked, and stopped once the outcome of the write is known.
func (dp *Dispatcher) stopUnstored(attempt *cluster.Attempt, gracePeriod wire.Seconds, reason cluster.EvictionReason) {
	if attempt.Chunk.WriteInFlight {
		markStopping(attempt, gracePeriod, reason)
		return
	}
	dp.State.EndAttempt(attempt, cluster.TaskPending)
}

func markStopping(attempt *cluster.Attempt, gracePeriod wire.Seconds, reason cluster.EvictionReason) {
	attempt.Stopping, attempt.GracePeriod, attempt.StopReason = true, gracePeriod, reason
}

// StopGang stops all tasks of a gang at the same time, because a task that is stopped later
// than the others does not write a checkpoint.
func (dp *Dispatcher) StopGang(job *cluster.Job, gracePeriod wire.Seconds, reason cluster.EvictionReason) {
	gang := job.Gang
	if !gang.HasRun && !gang.Inherited {
		gracePeriod = 0 // there is no progress to checkpoint
	}
	if gang.StopRequested && gang.GracePeriod <= gracePeriod {
		return
	}
	gang.StopRequested, gang.GracePeriod, gang.StoppingGracefully = true, gracePeriod, gracePeriod > 0
	for _, attempt := range job.Attempts() {
		dp.stopAttempt(attempt, gracePeriod, reason)
	}
}

// StopBrokenGangs stops the remaining tasks of each gang that has lost a task, since they can
// do nothing without it. A gang that is being stopped gracefully ends by itself. A gang with
// no tasks left is queued again.
func (dp *Dispatcher) StopBrokenGangs() {
	for job := range dp.State.BrokenGangs {
		delete(dp.State.BrokenGangs, job)
		switch {
		case job.Gang == nil:
		case job.ActiveTasks == 0:
			job.Gang = nil
			dp.State.RequestCycle()
		case !job.Gang.Broken:
			dp.stopBrokenGang(job)
		}
	}
}

// stopBrokenGang marks a gang as broken. It stops the remaining tasks unless they are being
// stopped gracefully.
func (dp *Dispatcher) stopBrokenGang(job *cluster.Job) {
	gang := job.Gang
	gang.Broken = true
	dp.Log.Info("gang broken", "job", job.Spec.ID, "attempt", gang.AttemptNumber, "ran", gang.HasRun, "stopping", gang.StoppingGracefully,
		"age", time.Since(gang.StartedAt), "remaining_tasks", job.ActiveTasks)
	if gang.StoppingGracefully {
		return
	}
	for _, attempt := range job.Attempts() {
		dp.stopAttempt(attempt, 0, cluster.EvictedGangIncomplete)
	}
}

// StopCancelledJob stops the remaining attempts of a cancelled job, and marks the job as
// finished if none remain. During recovery it must not be called before the job's attempts
// have been read: until then the job seems to have none.
func (dp *Dispatcher) StopCancelledJob(job *cluster.Job) {
	dp.Log.Info("job stop requested", "job", job.Spec.ID, "reason", cluster.EvictedCancelled, "tasks", job.ActiveTasks)
	dp.State.CancelledJobs[job] = struct{}{}
	for _, attempt := range job.Attempts() {
		dp.stopAttempt(attempt, 0, cluster.EvictedCancelled)
	}
	dp.State.MarkIfFinished(job)
}
