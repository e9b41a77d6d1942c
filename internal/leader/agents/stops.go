package agents

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Stop requests that an attempt is stopped, and with a task of a gang all of the gang.
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
	dp.Dispatch(attempt.Machine)
}

// stopUnstored ends an attempt that is not stored, and so was never sent; if it is being
// written it is stopped once that has an outcome.
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

// StopGang stops all tasks of a gang at once: those that are stopped late don't write a
// checkpoint.
func (dp *Dispatcher) StopGang(job *cluster.Job, gracePeriod wire.Seconds, reason cluster.EvictionReason) {
	gang := job.Gang
	if !gang.HasRun && !gang.Inherited {
		gracePeriod = 0 // there is nothing to save
	}
	if gang.StopRequested && gang.GracePeriod <= gracePeriod {
		return
	}
	gang.StopRequested, gang.GracePeriod, gang.StoppingGracefully = true, gracePeriod, gracePeriod > 0
	for _, attempt := range job.Attempts() {
		dp.stopAttempt(attempt, gracePeriod, reason)
	}
}

// StopBrokenGangs handles the gangs that have lost a task: the rest of such a gang can do
// nothing, and is stopped. A gang that is being stopped gracefully ends by itself.
func (dp *Dispatcher) StopBrokenGangs() {
	for job := range dp.State.BrokenGangs {
		delete(dp.State.BrokenGangs, job)
		switch {
		case job.Gang == nil:
		case job.ActiveTasks == 0:
			job.Gang = nil
			dp.State.RequestCycle()
		case !job.Gang.Broken:
			dp.breakGang(job)
		}
	}
}

// breakGang marks a gang as broken and stops what is left of it.
func (dp *Dispatcher) breakGang(job *cluster.Job) {
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

// StopCancelledJob stops what is left of a cancelled job. For a job that is read during
// recovery it must be called only once its attempts have been read too: before, nothing of
// the job seems to be left.
func (dp *Dispatcher) StopCancelledJob(job *cluster.Job) {
	dp.Log.Info("job stop requested", "job", job.Spec.ID, "reason", cluster.EvictedCancelled, "tasks", job.ActiveTasks)
	dp.State.CancelledJobs[job] = struct{}{}
	for _, attempt := range job.Attempts() {
		dp.stopAttempt(attempt, 0, cluster.EvictedCancelled)
	}
	dp.State.MarkIfFinished(job)
}
