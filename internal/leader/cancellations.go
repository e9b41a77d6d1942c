package leader

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// UnconfirmedCancelSince returns the time of the oldest cancellation of a job of which a
// launch may still be in flight: nobody can stop that by what a heartbeat shows. It
// returns the zero time if there is none.
func (l *Leader) UnconfirmedCancelSince() time.Time {
	if t := l.term.Load(); t != nil {
		return t.records.unconfirmedCancel()
	}
	return time.Time{}
}

func (rd *records) unconfirmedCancel() time.Time {
	if at := rd.Published.UnconfirmedCancelSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// applyCancellations cancels the jobs that the log of cancellations names, however this
// node learned of them. Their records are read when the key-value store is available.
func (rd *records) applyCancellations() {
	ids, cursor := rd.cancels.Since(rd.cancellationCursor)
	rd.cancellationCursor = cursor
	for _, id := range ids {
		j := rd.state.Jobs[id]
		if j == nil || j.Cancelled {
			continue
		}
		confirmedAt, _ := rd.cancels.ConfirmedAt(id)
		rd.Log.Info("cancellation received", "job", id, "deciding", rd.Lease.Deciding())
		j.RecordOutdated = true
		rd.cancelJob(j, confirmedAt)
	}
	rd.publishUnconfirmedCancel()
}

// cancelJob marks a job as cancelled and, once all records are known, stops it.
func (rd *records) cancelJob(j *cluster.Job, at time.Time) {
	j.Cancelled = true
	j.CancelledAt = at
	if rd.state.Recovered {
		rd.dispatcher.StopCancelledJob(j)
	}
}

// publishUnconfirmedCancel publishes the time of the oldest cancellation of a job of which
// a launch may be in flight, and forgets the cancelled jobs that have ended.
func (rd *records) publishUnconfirmedCancel() {
	var oldest time.Time
	for j := range rd.state.CancelledJobs {
		if j.ActiveTasks == 0 {
			delete(rd.state.CancelledJobs, j)
			continue
		}
		older := oldest.IsZero() || j.CancelledAt.Before(oldest)
		if older && anyLaunchMayBeInFlight(j) {
			oldest = j.CancelledAt
		}
	}
	rd.Published.UnconfirmedCancelSince.Store(&oldest)
}

// anyLaunchMayBeInFlight reports whether an agent may still receive a launch of the job.
// What is not stored was never sent; what an agent has shown, and whose launch was
// answered, has arrived.
func anyLaunchMayBeInFlight(j *cluster.Job) bool {
	for _, a := range j.Attempts() {
		arrived := a.Observed && !a.LaunchUnanswered && !a.LaunchInFlight
		if !a.Unstored && !arrived {
			return true
		}
	}
	return false
}
