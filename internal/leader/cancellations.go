package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// UnconfirmedCancelSince is since when there are cancellations of which a launch may still be
// on its way unseen: nobody can halt that by what a report shows. Zero: none.
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

// applyCancellations takes in cancellations that were heard of by whatever way. The
// record itself is read when the state service is there.
func (rd *records) applyCancellations() {
	var ids []wire.JobID
	ids, rd.cancellationCursor = rd.cancels.Since(rd.cancellationCursor)
	for _, id := range ids {
		j := rd.state.Jobs[id]
		if j == nil || j.Cancelled {
			continue
		}
		j.Cancelled, j.RecordOutdated = true, true
		j.CancelledAt, _ = rd.cancels.ConfirmedAt(id)
		rd.Log.Info("hears of a cancellation", "job", id, "deciding", rd.Lease.Deciding())
		if rd.state.Recovered {
			rd.dispatcher.StopCancelledJob(j)
		}
	}
	rd.findUnconfirmedCancels()
}

// findUnconfirmedCancels finds the cancelled jobs of which a launch may be on its way.
func (rd *records) findUnconfirmedCancels() {
	var first time.Time
	for j := range rd.state.CancelledJobs {
		if j.ActiveTasks == 0 {
			delete(rd.state.CancelledJobs, j)
			continue
		}
		if first.IsZero() || j.CancelledAt.Before(first) {
			for _, a := range j.Attempts() {
				if !a.Unstored && (!a.Observed || a.LaunchUnanswered || a.LaunchInFlight) {
					first = j.CancelledAt
					break
				}
			}
		}
	}
	rd.Published.UnconfirmedCancelSince.Store(&first)
}
