package demand

import (
	"lilaclead/internal/config"
)

const (
	// defaultDueRuns and defaultDueSeconds: a job with neither a deadline nor an
	// objective is due after so many expected run times and so many seconds.
	defaultDueRuns    = 3
	defaultDueSeconds = 30
)

// Kinds of objectives that say when a job is due.
const (
	kindFinished = "finished" // within a time from its submission
	kindDeadline = "deadline" // within a multiple of its own deadline
)

// Work is what the rules need to know of a job. All times are in seconds.
type Work struct {
	Class     string
	DeadlineS float64 // of its owner, from its submission; 0: none
	AgeS      float64 // since its submission
	ExpectedS float64 // run time of one of its tasks
}

// earliestEnd returns when the job would be complete if its tasks started now, counted
// from its submission.
func (w *Work) earliestEnd() float64 { return w.AgeS + w.ExpectedS }

// dueSeconds returns when the job should be complete, counted from its submission: by
// its owner's deadline, else by the service-level objectives of its class, else a few
// times its expected run time. Objectives may name several times for a class: the
// earliest that can still be met counts, else the latest.
func dueSeconds(w Work, objectives []config.Objective) float64 {
	earliestEnd := w.earliestEnd()
	due, known := w.DeadlineS, w.DeadlineS > 0
	for i := range objectives {
		named, ok := objectiveSeconds(w, &objectives[i])
		if !ok {
			continue
		}
		missedButLater := due < earliestEnd && named > due
		earlierAndMeetable := named >= earliestEnd && named < due
		if !known || missedButLater || earlierAndMeetable {
			due, known = named, true
		}
	}
	if !known {
		return defaultDueRuns*w.ExpectedS + defaultDueSeconds
	}
	return due
}

// objectiveSeconds returns the time that an objective names for the job, if it names
// one.
func objectiveSeconds(w Work, objective *config.Objective) (seconds float64, ok bool) {
	if objective.Class != w.Class {
		return 0, false
	}
	switch objective.Kind {
	case kindFinished:
		seconds = float64(objective.Within)
	case kindDeadline:
		seconds = w.DeadlineS * objective.DeadlineMultiple
	}
	return seconds, seconds > 0
}

// SlackSeconds returns how many seconds the job's waiting tasks may still wait.
func SlackSeconds(w Work, objectives []config.Objective) float64 {
	return dueSeconds(w, objectives) - w.AgeS - w.ExpectedS
}

// ParallelTasks returns how many of the waiting tasks should run at a time if they may
// be spread over a share of the time that is left until the job is due.
func ParallelTasks(waiting int, w Work, objectives []config.Objective, share float64) int {
	window := (dueSeconds(w, objectives) - w.AgeS) * share
	rounds := max(1, int(window/max(1, w.ExpectedS)))
	return (waiting + rounds - 1) / rounds
}
