package simulator

import (
	"net/http"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// Complete reports whether every task of a job has completed.
func (c *Checker) Complete(id wire.JobID) bool {
	j := c.jobs[id]
	return j != nil && len(j.completedTasks) == j.spec.Tasks
}

// Completed counts the tasks of a job that have completed.
func (c *Checker) Completed(id wire.JobID) int {
	if j := c.jobs[id]; j != nil {
		return len(j.completedTasks)
	}
	return 0
}

// Finished counts the jobs of which users were told a final status.
func (c *Checker) Finished() (done, cancelled int) {
	for _, j := range c.jobs {
		switch j.finalStatus {
		case wire.StatusDone:
			done++
		case wire.StatusCancelled:
			cancelled++
		}
	}
	return
}

// TasksOnMachines counts the tasks of a job that are on machines.
func (c *Checker) TasksOnMachines(id wire.JobID) int {
	n := 0
	for t := range c.placeOf {
		if t.Job == id {
			n++
		}
	}
	return n
}

// TasksByZone counts a job's tasks on machines by zone.
func (c *Checker) TasksByZone(id wire.JobID) map[wire.Zone]int {
	n := map[wire.Zone]int{}
	for t, p := range c.placeOf {
		if t.Job == id {
			n[p.Zone]++
		}
	}
	return n
}

// CPUsUsed returns the CPUs of a team's tasks that are on machines.
func (c *Checker) CPUsUsed(team wire.TeamID) float64 {
	n := 0.0
	for t := range c.placeOf {
		if j := c.jobs[t.Job]; j != nil && j.spec.Team == team {
			n += j.spec.CPUs
		}
	}
	return n
}

// Waiting counts the tasks of a job that are neither completed nor on a machine.
func (c *Checker) Waiting(id wire.JobID) int {
	j, n := c.jobs[id], 0
	for i := range j.spec.Tasks {
		if _, on := c.placeOf[wire.TaskID{Job: id, Index: i}]; !on && !j.completedTasks[i] {
			n++
		}
	}
	return n
}

// TimeToStart returns the time from the acceptance of a job to the start of its first task or, for
// a gang, of all its tasks; false if it has not started.
func (c *Checker) TimeToStart(id wire.JobID) (time.Duration, bool) {
	j := c.jobs[id]
	return j.startedAt.Sub(j.acceptedAt), !j.startedAt.IsZero()
}

// CompletedAt returns when a job's last task completed.
func (c *Checker) CompletedAt(id wire.JobID) time.Time { return c.jobs[id].completion.endedAt }

// FinalStatus returns the final status that users were told of a job, empty if none.
func (c *Checker) FinalStatus(id wire.JobID) wire.Status { return c.jobs[id].finalStatus }

// CancelConfirmedAt returns when a user was first told that the job is cancelled.
func (c *Checker) CancelConfirmedAt(id wire.JobID) (time.Time, bool) {
	j := c.jobs[id]
	if j == nil || j.finalStatus != wire.StatusCancelled {
		return time.Time{}, false
	}
	return j.cancelToldAt, true
}

// AcceptedAndNotCancelled lists the accepted jobs that nobody asked to cancel.
func (c *Checker) AcceptedAndNotCancelled() []wire.JobID {
	var out []wire.JobID
	for id, j := range c.jobs {
		if j.accepted && !j.cancelRequested {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// KnownStatus is how much users were told of a job; it only grows.
type KnownStatus int

// The values: nothing, that the job is accepted, and that it is done or cancelled.
const (
	KnownStatusNone KnownStatus = iota
	KnownStatusAccepted
	KnownStatusFinal
)

func (k KnownStatus) String() string {
	return [...]string{"nothing", "accepted", "final"}[k]
}

// KnownStatusOf returns how much a response to a poll tells, false if the poll was not
// answered.
func KnownStatusOf(httpStatus int, status wire.Status) (KnownStatus, bool) {
	switch {
	case httpStatus == http.StatusNotFound:
		return KnownStatusNone, true
	case httpStatus != http.StatusOK:
		return KnownStatusNone, false
	case status.IsFinal():
		return KnownStatusFinal, true
	}
	return KnownStatusAccepted, true
}

// KnownStatus returns how much users were told of a job so far.
func (c *Checker) KnownStatus(id wire.JobID) KnownStatus {
	switch j := c.jobs[id]; {
	case j == nil:
		return KnownStatusNone
	case j.finalStatus != "":
		return KnownStatusFinal
	case j.accepted:
		return KnownStatusAccepted
	}
	return KnownStatusNone
}

// LateStarts counts the starts of tasks after a user was told that the job is cancelled, also
// those within the cancel timeout.
func (c *Checker) LateStarts() int { return c.lateStarts }

// LatePolls counts the polls that were sent more than 3 s after a job's last task had
// completed and were not answered with a final status.
func (c *Checker) LatePolls() int { return c.latePolls }

// Starts returns how many starts of tasks there were.
func (c *Checker) Starts() int { return c.starts }

// Restarts counts the starts of tasks that had been started before.
func (c *Checker) Restarts() int { return c.restarts }
