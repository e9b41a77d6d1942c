package leader

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// stopCancelledJob stops what is left of a cancelled job. For a job that is read
// during recovery this comes only once its attempts have been read too: before, it
// looks as if nothing of it were left.
func (t *term) stopCancelledJob(j *job) {
	t.log().Info("cancels", "job", j.spec.ID, "held", j.activeTasks)
	t.state.cancelledJobs[j] = struct{}{}
	for _, a := range j.attempts() {
		t.stopAttempt(a, 0, EvictedCancelled)
	}
	t.state.markIfFinished(j)
}

// UnconfirmedCancelSince is since when there are cancellations of which a launch may still be
// on its way unseen: nobody can halt that by what a report shows. Zero: none.
func (l *Leader) UnconfirmedCancelSince() time.Time {
	if t := l.term.Load(); t != nil {
		return t.unconfirmedCancel()
	}
	return time.Time{}
}

func (t *term) unconfirmedCancel() time.Time {
	if at := t.unconfirmedCancelSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// applyCancellations takes in cancellations that were heard of by whatever way. The
// record itself is read when the state service is there.
func (t *term) applyCancellations() {
	var ids []wire.JobID
	ids, t.cancellationCursor = t.leader.Cancels.Since(t.cancellationCursor)
	for _, id := range ids {
		j := t.state.jobs[id]
		if j == nil || j.cancelled {
			continue
		}
		j.cancelled, j.recordOutdated = true, true
		j.cancelledAt, _ = t.leader.Cancels.ConfirmedAt(id)
		t.log().Info("hears of a cancellation", "job", id, "deciding", t.lease.Deciding())
		if t.recovered {
			t.stopCancelledJob(j)
		}
	}
	t.findUnconfirmedCancels()
}

// findUnconfirmedCancels finds the cancelled jobs of which a launch may be on its way.
func (t *term) findUnconfirmedCancels() {
	var first time.Time
	for j := range t.state.cancelledJobs {
		if j.activeTasks == 0 {
			delete(t.state.cancelledJobs, j)
			continue
		}
		if first.IsZero() || j.cancelledAt.Before(first) {
			for _, a := range j.attempts() {
				if !a.unstored && (!a.observed || a.launchUnanswered || a.launchInFlight) {
					first = j.cancelledAt
					break
				}
			}
		}
	}
	t.unconfirmedCancelSince.Store(&first)
}

// renewalWithheld tells whether a machine's lease must not be renewed any more: a
// launch of a cancelled task may be on its way there that its report does not
// show, and that only the end of the session, or a token above the launch's,
// can keep from starting too late.
func (t *term) renewalWithheld(m *machine, rep *wire.Heartbeat, now time.Time) bool {
	for task, a := range m.tasks {
		if !a.job.cancelled || a.unstored || now.Sub(a.job.cancelledAt) < t.leader.delegation.MaxCancelAge || !a.launchInFlight && !(a.launchUnanswered && t.token <= a.unansweredLaunchToken) {
			continue
		}
		name := task.String()
		if !slices.ContainsFunc(rep.Tasks, func(p wire.TaskState) bool { return p.Task == name && p.Attempt == a.number }) {
			return true
		}
	}
	return false
}
