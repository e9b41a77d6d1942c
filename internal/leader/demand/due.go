package demand

import (
	"lilaclead/internal/config"
)

const (
	// A job with neither a deadline nor an objective is due defaultDueRunTimes times its
	// expected run time plus defaultDueSeconds after its submission.
	defaultDueRunTimes = 3
	defaultDueSeconds  = 30
)

// The kinds of objectives that determine when a job is due.
const (
	kindFinished = "finished" // within a fixed time from its submission
	kindDeadline = "deadline" // within a multiple of the deadline that its owner set
)

// JobTiming holds the properties of a job that the rules depend on. All times are in seconds.
type JobTiming struct {
	Class              string
	DeadlineSeconds    float64 // set by the job's owner, counted from the submission; 0: none
	AgeSeconds         float64 // time since the submission
	ExpectedRunSeconds float64 // expected run time of one task
}

// earliestEnd returns when the job would be complete if all its tasks started now, in seconds
// from its submission.
func (t *JobTiming) earliestEnd() float64 { return t.AgeSeconds + t.ExpectedRunSeconds }

// dueSeconds returns when the job should be complete, in seconds from its submission. The
// owner's deadline and the service-level objectives of the job's class may each set a time.
// Of these the earliest that can still be met counts, or the latest if none can. If no time
// is set, the job is due some time after its expected run time; see defaultDueRunTimes.
func dueSeconds(timing JobTiming, objectives []config.Objective) float64 {
	earliestEnd := timing.earliestEnd()
	due, known := timing.DeadlineSeconds, timing.DeadlineSeconds > 0
	for i := range objectives {
		objectiveDue, ok := objectiveSeconds(timing, &objectives[i])
		if !ok {
			continue
		}
		missedButLater := due < earliestEnd && objectiveDue > due
		earlierAndMeetable := objectiveDue >= earliestEnd && objectiveDue < due
		if !known || missedButLater || earlierAndMeetable {
			due, known = objectiveDue, true
		}
	}
	if !known {
		return defaultDueRunTimes*timing.ExpectedRunSeconds + defaultDueSeconds
	}
	return due
}

// objectiveSeconds returns when the job is due by an objective, in seconds from its
// submission. It reports false if the objective sets no time for the job.
func objectiveSeconds(timing JobTiming, objective *config.Objective) (seconds float64, ok bool) {
	if objective.Class != timing.Class {
		return 0, false
	}
	switch objective.Kind {
	case kindFinished:
		seconds = float64(objective.Within)
	case kindDeadline:
		seconds = timing.DeadlineSeconds * objective.DeadlineMultiple
	}
	return seconds, seconds > 0
}

// SlackSeconds returns for how many seconds the job's waiting tasks may still wait if the job is
// to be complete when it is due. It is negative if the job will be late.
func SlackSeconds(timing JobTiming, objectives []config.Objective) float64 {
	return dueSeconds(timing, objectives) - timing.AgeSeconds - timing.ExpectedRunSeconds
}

// ParallelTasks returns how many of the job's waiting tasks should run at a time so that, one
// round of tasks after the other, all are done within the given share of the time that is left
// until the job is due. If that is too short for two rounds, it returns all of them.
func ParallelTasks(waitingTasks int, timing JobTiming, objectives []config.Objective, share float64) int {
	window := (dueSeconds(timing, objectives) - timing.AgeSeconds) * share
	rounds := max(1, int(window/max(1, timing.ExpectedRunSeconds)))
	return (waitingTasks + rounds - 1) / rounds
}
