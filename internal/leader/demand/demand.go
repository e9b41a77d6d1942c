// Package demand holds the rules by which a waiting job's want of machines is
// judged: when it is due, how many of its tasks should run at a time, how long it
// will wait for the room there is, and how far the price of its room may go. It is
// pure; it knows no clock and no machines.
package demand

import (
	"cmp"
	"slices"

	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

const (
	// LatePriceStretch is how far beyond the limit a job may rent that would be
	// late otherwise, if its class's aim is above patientShare or it has waited for
	// half of StartWithinS.
	LatePriceStretch = 1.35
	patientShare     = 0.9
	// StartWithinS is when every job should have begun, whatever else waits, in
	// seconds. Half of it may pass before the exception is made that sees to it.
	StartWithinS = 4 * 60

	// defaultDueRuns and defaultDueS: a job with neither deadline nor aim is due
	// after so many expected run times and so many seconds.
	defaultDueRuns = 3
	defaultDueS    = 30

	aimFinished = "finished"
	aimDeadline = "deadline"
)

// Work is what the rules need to know of a job. All times are in seconds.
type Work struct {
	Class     string
	DeadlineS float64 // what its owner says, from its submission; 0: nothing
	AgeS      float64 // since its submission
	ExpectedS float64 // run time of one of its tasks
}

// DueS is when the job should be complete, counted from its submission: what
// its owner says, else what the users' aims say of its class, else a few times
// its expected run time. Aims may name several times for a class; the first
// that can still be met counts, else the last.
func DueS(w Work, aims []config.Objective) float64 {
	need := w.AgeS + w.ExpectedS
	due, ok := w.DeadlineS, w.DeadlineS > 0
	for i := range aims {
		at := aimS(w, &aims[i])
		switch {
		case at <= 0:
		case !ok, due < need && at > due, at >= need && at < due:
			due, ok = at, true
		}
	}
	if !ok {
		return defaultDueRuns*w.ExpectedS + defaultDueS
	}
	return due
}

// aimS is the time that an aim names for the job; 0 if it names none.
func aimS(w Work, aim *config.Objective) float64 {
	switch {
	case aim.Class != w.Class:
		return 0
	case aim.Kind == aimFinished:
		return float64(aim.Within)
	case aim.Kind == aimDeadline:
		return w.DeadlineS * aim.Times
	}
	return 0
}

// SlackS is how long the job's waiting tasks may still wait.
func SlackS(w Work, aims []config.Objective) float64 {
	return DueS(w, aims) - w.AgeS - w.ExpectedS
}

// ParallelTasks is how many of so many waiting tasks should run at a time, if they
// may be stretched over a share of what the deadline leaves.
func ParallelTasks(waiting int, w Work, aims []config.Objective, share float64) int {
	window := (DueS(w, aims) - w.AgeS) * share
	rounds := max(1, int(window/max(1, w.ExpectedS)))
	return (waiting + rounds - 1) / rounds
}

// PriceStretch tells how far a job may go beyond the limit on the price: it would
// be late if it waited for cheap room for waitS, and dear room, which is there
// after scheduler.bootSeconds, brings it home in time.
func PriceStretch(w Work, aims []config.Objective, waitS, bootS float64) float64 {
	if patient(w, aims) {
		return 1
	}
	due := DueS(w, aims)
	late := w.AgeS+waitS+w.ExpectedS > due
	inTime := w.AgeS+bootS+w.ExpectedS < due
	if late && inTime {
		return LatePriceStretch
	}
	return 1
}

// patient tells whether a job waits for cheap room first. A class that may miss its
// time more often does so, but not for ever: cheap room alone may never catch up.
// (With 24 cheap machines of 40 a backlog of 16 minutes grew, and no ordinary one
// was rented.)
func patient(w Work, aims []config.Objective) bool {
	share := 0.0
	for i := range aims {
		if a := &aims[i]; a.Class == w.Class && (a.Kind == aimFinished || a.Kind == aimDeadline) {
			share = max(share, a.Share)
		}
	}
	return share <= patientShare && w.AgeS < StartWithinS/2
}

// Queued is a job in the queue for room.
type Queued struct {
	ID     wire.JobID
	Weight float64 // the heavier goes first
	WorkS  float64 // processor seconds that it still needs
}

// WaitsS predicts how long each job of the queue will wait for the room there is:
// the work that goes before it, and half of its own, over the processors that work
// on the queue now or soon. Room that is rented shortens the wait, so that a steady
// overload rents as much dear room as it needs and a short rush none. It returns
// the waits by job, and in how many seconds all of the queue would be done.
func WaitsS(queue []Queued, processors float64) (map[wire.JobID]float64, float64) {
	slices.SortFunc(queue, func(a, b Queued) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ID, b.ID))
	})
	processors = max(1, processors)
	waits := make(map[wire.JobID]float64, len(queue))
	ahead := 0.0
	for _, q := range queue {
		waits[q.ID] = (ahead + q.WorkS/2) / processors
		ahead += q.WorkS
	}
	return waits, ahead / processors
}
