package recovery

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// ApplyCancellations cancels the jobs that the log of cancellations names, however this
// node learned of them. Their records are read when the key-value store is available.
func (r *Records) ApplyCancellations() {
	ids, cursor := r.Cancels.Since(r.cancellationCursor)
	r.cancellationCursor = cursor
	for _, id := range ids {
		j := r.State.Jobs[id]
		if j == nil || j.Cancelled {
			continue
		}
		confirmedAt, _ := r.Cancels.ConfirmedAt(id)
		r.Log.Info("cancellation received", "job", id, "deciding", r.Lease.Deciding())
		j.RecordOutdated = true
		r.cancelJob(j, confirmedAt)
	}
	r.publishUnconfirmedCancel()
}

// cancelJob marks a job as cancelled and, once all records are known, stops it.
func (r *Records) cancelJob(j *cluster.Job, at time.Time) {
	j.Cancelled = true
	j.CancelledAt = at
	if r.State.RecordsRead {
		r.Dispatcher.StopCancelledJob(j)
	}
}

// publishUnconfirmedCancel publishes the time of the oldest cancellation of a job of which
// a launch may be in flight, and forgets the cancelled jobs that have ended.
func (r *Records) publishUnconfirmedCancel() {
	var oldest time.Time
	for j := range r.State.CancelledJobs {
		if j.ActiveTasks == 0 {
			delete(r.State.CancelledJobs, j)
			continue
		}
		older := oldest.IsZero() || j.CancelledAt.Before(oldest)
		if older && anyLaunchMayBeInFlight(j) {
			oldest = j.CancelledAt
		}
	}
	r.Published.UnconfirmedCancelSince.Store(&oldest)
}

// anyLaunchMayBeInFlight reports whether an agent may still receive a launch of the job.
// What is not stored was never sent; what an agent has shown, and whose launch was
// answered, has arrived.
func anyLaunchMayBeInFlight(j *cluster.Job) bool {
	for _, a := range j.Attempts() {
		arrived := a.SeenInHeartbeat && !a.LaunchUnanswered && !a.LaunchInFlight
		if !a.Unstored && !arrived {
			return true
		}
	}
	return false
}
