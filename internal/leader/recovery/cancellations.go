package recovery

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// ApplyCancellations cancels the jobs that the log of cancellations names after
// cancellationCursor, however this node learned of them. Their records are read once the
// key-value store is available.
func (r *Records) ApplyCancellations() {
	ids, cursor := r.Cancels.Since(r.cancellationCursor)
	r.cancellationCursor = cursor
	for _, id := range ids {
		job := r.State.Jobs[id]
		if job == nil || job.Cancelled {
			continue
		}
		confirmedAt, _ := r.Cancels.ConfirmedAt(id)
		r.Log.Info("cancellation received", "job", id, "deciding", r.Lease.Deciding())
		job.RecordOutdated = true
		r.cancelJob(job, confirmedAt)
	}
	r.publishInFlightLaunchCancel()
}

// cancelJob marks a job as cancelled, and stops it if the records have been read. Before that,
// LoadRecords stops it.
func (r *Records) cancelJob(job *cluster.Job, cancelledAt time.Time) {
	job.Cancelled = true
	job.CancelledAt = cancelledAt
	if r.State.RecordsRead {
		r.Dispatcher.StopCancelledJob(job)
	}
}

// publishInFlightLaunchCancel publishes the oldest cancellation time among the cancelled jobs with
// a launch that may still be in flight, or the zero time if there is no such job. It removes the
// jobs without active tasks from CancelledJobs.
func (r *Records) publishInFlightLaunchCancel() {
	var oldest time.Time
	for job := range r.State.CancelledJobs {
		if job.ActiveTasks == 0 {
			delete(r.State.CancelledJobs, job)
			continue
		}
		older := oldest.IsZero() || job.CancelledAt.Before(oldest)
		if older && anyLaunchMayBeInFlight(job) {
			oldest = job.CancelledAt
		}
	}
	r.Published.InFlightLaunchCancelSince.Store(&oldest)
}

// anyLaunchMayBeInFlight reports whether an agent may still receive a launch of the job. An
// attempt that is not stored was never sent. The launch of an attempt has arrived if a
// heartbeat has shown the attempt and every direct launch of it was answered.
func anyLaunchMayBeInFlight(job *cluster.Job) bool {
	for _, attempt := range job.Attempts() {
		arrived := attempt.SeenInHeartbeat && !attempt.LaunchUnanswered && !attempt.LaunchInFlight
		if !attempt.Unstored && !arrived {
			return true
		}
	}
	return false
}
