package simulator

import (
	"time"

	"lilaclead/internal/wire"
)

// Submitted records a user's attempt to submit a job.
func (c *Checker) Submitted(spec wire.JobSpec) {
	if c.jobs[spec.ID] == nil {
		c.jobs[spec.ID] = &jobHistory{spec: spec, completedTasks: map[int]bool{}, submittedAt: c.latestTime}
	}
}

// Accepted records that a submission was answered 200 or 201.
func (c *Checker) Accepted(id wire.JobID, now time.Time) {
	c.observeTime(now)
	j := c.jobs[id]
	if j == nil {
		if !c.submittedIDs[id] {
			c.violated(now, Invented, "%s accepted", id)
		}
		return
	}
	if why := c.cannotRun(&j.spec); why != "" && !j.accepted {
		c.violated(now, AcceptedWrongly, "%s accepted, but %s", id, why)
	}
	c.recordAccepted(j, now)
	j.unansweredSince = time.Time{}
}

// recordAccepted records that a user was told that the job is accepted.
func (c *Checker) recordAccepted(j *jobHistory, now time.Time) {
	if !j.accepted {
		j.accepted, j.acceptedAt = true, now
		if j.submittedAt.IsZero() {
			j.submittedAt = now
		}
	}
}

// Refused checks a refusal of a submission. Only a final one (400 or 422) can violate a rule.
func (c *Checker) Refused(id wire.JobID, status int, now time.Time) {
	c.observeTime(now)
	j := c.jobs[id]
	if j == nil || status != 400 && status != 422 {
		return
	}
	if j.accepted {
		c.violated(now, Forgotten, "repeated submission of %s answered %d", id, status)
	} else if c.MachineSpecs != nil && c.cannotRun(&j.spec) == "" {
		c.violated(now, RefusedWrongly, "%s answered %d", id, status)
	}
}

// CancelRequested records that a user sends a request to cancel a job.
func (c *Checker) CancelRequested(id wire.JobID) {
	if j := c.jobs[id]; j != nil && !j.cancelRequested {
		j.cancelRequested, j.cancelRequestedAt = true, c.latestTime
	}
}

// SubmissionAnswered checks the response to a submission that was sent at sentAt.
func (c *Checker) SubmissionAnswered(body []byte, status int, response []byte, sentAt, now time.Time) {
	var sent, got wire.JobSummary
	if wire.Decode(body, &sent) != nil || c.jobs[sent.ID] == nil {
		return
	}
	j := c.jobs[sent.ID]
	switch {
	case status != 200 && status != 201:
		c.Refused(sent.ID, status, now)
		return
	case status == 201 && j.accepted && !sentAt.Before(j.acceptedAt):
		c.violated(now, Forgotten, "%s accepted anew", sent.ID)
	}
	c.Accepted(sent.ID, now)
	if wire.Decode(response, &got) == nil && got.ID == sent.ID {
		c.StatusTold(sent.ID, got.Status, sentAt, now)
	}
}

// CancelAnswered checks the response to a cancellation that was sent at sentAt.
func (c *Checker) CancelAnswered(id wire.JobID, status int, response []byte, sentAt, now time.Time) {
	c.observeTime(now)
	j := c.jobs[id]
	switch {
	case status == 404 && j != nil && j.accepted && !sentAt.Before(j.acceptedAt):
		c.violated(now, Forgotten, "cancellation of %s answered 404", id)
	case status == 200 && j == nil && !c.submittedIDs[id]:
		c.violated(now, Invented, "cancellation of %s answered 200", id)
	case status == 200 && j != nil:
		var got wire.JobSummary
		if wire.Decode(response, &got) == nil {
			c.StatusTold(id, got.Status, sentAt, now)
		}
	}
}

// PollAnsweredNow checks the response to a poll that was sent now; status 0 means no response.
func (c *Checker) PollAnsweredNow(id wire.JobID, status int, st wire.Status, now time.Time) {
	c.PollAnswered(id, status, st, now, now)
}

// PollAnswered checks the response to a poll that was sent at sentAt; status 0 means no response.
func (c *Checker) PollAnswered(id wire.JobID, status int, st wire.Status, sentAt, now time.Time) {
	c.observeTime(now)
	j := c.jobs[id]
	if status == 200 || status == 404 {
		c.polls.answered++
	} else {
		c.polls.failed++
	}
	switch {
	case status == 200 && j == nil:
		if !c.submittedIDs[id] {
			c.violated(now, Invented, "%s answered %s", id, st)
		}
	case status == 404 && j != nil && j.accepted:
		// A poll sent before the acceptance was reported may be answered 404.
		if !sentAt.Before(j.acceptedAt) {
			c.violated(now, Forgotten, "%s answered 404", id)
		}
	case status == 200:
		c.pollSucceeded(id, j, st, sentAt, now)
	case j != nil && j.accepted:
		c.pollFailed(id, j, sentAt, now)
	}
}

// doneReportedWithin is how soon after the end of a job's last task polls must be answered with
// the final status.
const doneReportedWithin = 3 * time.Second

// pollSucceeded checks the status in the response to a poll.
func (c *Checker) pollSucceeded(id wire.JobID, j *jobHistory, st wire.Status, sentAt, now time.Time) {
	c.lastAnswered = now
	j.unansweredSince = time.Time{}
	c.StatusTold(id, st, sentAt, now)
	completedBefore := !j.completionSeenAt.IsZero() && sentAt.Sub(j.completionSeenAt) > doneReportedWithin
	if completedBefore && !st.IsFinal() && !j.cancelRequested {
		c.latePolls++
		j.notDoneToldAt = now
	}
}

// Limits of how long all polls for a job may fail.
const (
	// unansweredLimit applies while polls for other jobs are answered: most of them,
	// or one within recentAnswerWindow.
	unansweredLimit    = 90 * time.Second
	recentAnswerWindow = 10 * time.Second
	// unansweredLimitWithoutFault applies once all faults have been over for as long.
	unansweredLimitWithoutFault = 75 * time.Second
)

// pollFailed checks for how long all polls for an accepted job have failed.
func (c *Checker) pollFailed(id wire.JobID, j *jobHistory, sentAt, now time.Time) {
	if j.unansweredSince.IsZero() {
		j.unansweredSince, j.pollsBaseline = sentAt, pollCount{c.polls.answered, c.polls.failed - 1}
	}
	j.pollsBaseline.failed++ // excludes the job's own polls from the comparison
	unanswered := now.Sub(j.unansweredSince)
	mostAnswered := c.polls.answered-j.pollsBaseline.answered > c.polls.failed-j.pollsBaseline.failed
	othersAnswered := mostAnswered || now.Sub(c.lastAnswered) < recentAnswerWindow
	withoutFault := c.faultsOverFor(now, unansweredLimitWithoutFault) && unanswered > unansweredLimitWithoutFault
	if unanswered > unansweredLimit && othersAnswered || withoutFault {
		c.violated(now, Forgotten, "every poll for %s fails", id)
		j.unansweredSince = time.Time{}
	}
}

// StatusToldNow checks a status that a response to a request sent now reports to a user.
func (c *Checker) StatusToldNow(id wire.JobID, st wire.Status, now time.Time) {
	c.StatusTold(id, st, now, now)
}

// StatusTold checks a status that a user was told in answer to a request that was sent at
// sentAt. A response to a request that was sent before a final status was reported may be
// older and not final. Two different final statuses are a violation in any order.
func (c *Checker) StatusTold(id wire.JobID, st wire.Status, sentAt, now time.Time) {
	c.observeTime(now)
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.recordAccepted(j, now)
	if j.finalStatus != "" && st != j.finalStatus && (st.IsFinal() || !sentAt.Before(j.finalToldAt)) {
		c.violated(now, WentBack, "%s was %s and is called %s", id, j.finalStatus, st)
	}
	switch st {
	case wire.StatusDone:
		if len(j.completedTasks) < j.spec.Tasks || j.spec.IsService() {
			c.violated(now, NotDone, "%s called done with %d of %d tasks", id, len(j.completedTasks), j.spec.Tasks)
		}
	case wire.StatusCancelled:
		if !j.cancelRequested {
			c.violated(now, WentBack, "%s called cancelled, which nobody asked for", id)
		}
		if j.finalStatus == "" {
			j.cancelToldAt = now
		}
	}
	if st.IsFinal() && j.finalStatus != st {
		j.finalStatus, j.finalToldAt = st, now
	}
}

// completionHistory is what the checker records of a job's completion, and when BurstReaders were
// told a newer status.
type completionHistory struct {
	done            chan struct{} // closed when the last task has completed; may be nil
	endedAt         time.Time     // when the last task completed
	statusChangedAt time.Time     // when a response to BurstReaders last brought a newer status
}

// toldStatus is what users were told of a job until some moment.
type toldStatus struct {
	accepted bool
	final    wire.Status
}

func (k toldStatus) String() string {
	switch {
	case k.final != "":
		return string(k.final)
	case k.accepted:
		return "accepted"
	}
	return "new"
}

// checkBurstResponse checks a response to BurstReaders against what users had been told when the
// request was sent. Responses to concurrent requests may come in any order, but a job has one final
// status.
func (c *Checker) checkBurstResponse(id wire.JobID, before toldStatus, op Operation, status int, st wire.Status, now time.Time) {
	j := c.jobs[id]
	switch {
	case j == nil:
		if status == 200 || status == 201 {
			c.violated(now, Invented, "%s answered %d to %s", id, status, op)
		}
		return
	case status == 404 && before.accepted, (status == 400 || status == 422) && before.accepted:
		c.violated(now, Forgotten, "%s was %s and %s is answered %d", id, before, op, status)
	case status == 201 && before.accepted:
		c.violated(now, WentBack, "%s was %s and is accepted again", id, before)
	case status == 200 && before.final != "" && st != before.final:
		c.violated(now, WentBack, "%s was %s and %s is answered %s", id, before, op, st)
	case status == 200 && st.IsFinal():
		c.StatusToldNow(id, st, now)
	}
	if status == 200 || status == 201 {
		if op != CancelOperation {
			c.Accepted(id, now)
		}
		c.lastAnswered, j.unansweredSince = now, time.Time{}
	}
}
