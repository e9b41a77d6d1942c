package demand

import (
	"lilaclead/internal/config"
)

const (
	// LatePriceStretch is how far beyond the price limit machines may cost for a job
	// that would be late otherwise, if the objective of its class is above patientShare
	// or the job has waited for patienceSeconds.
	LatePriceStretch = 1.35
	// patientShare is the share of a class's jobs up to which an objective lets it
	// wait for cheap machines first.
	patientShare = 0.9

	// StartWithinSeconds is in how many seconds every job should have started, whatever else
	// waits.
	StartWithinSeconds = 4 * 60
	// patienceSeconds is how long a patient job waits for cheap machines alone: the
	// other half of the time is left for what gets it started.
	patienceSeconds = StartWithinSeconds / 2
)

// PriceStretch returns how far beyond the price limit machines for the job may cost. It
// is above 1 for a job that would be late if it waited waitS seconds for cheap
// machines, and that expensive ones, which are up after bootS seconds, complete in time.
func PriceStretch(w Work, objectives []config.Objective, waitS, bootS float64) float64 {
	if patient(w, objectives) {
		return 1
	}
	due := dueSeconds(w, objectives)
	late := w.AgeS+waitS+w.ExpectedS > due
	inTime := w.AgeS+bootS+w.ExpectedS < due
	if late && inTime {
		return LatePriceStretch
	}
	return 1
}

// patient reports whether a job waits for cheap machines first. A class that may be
// late more often does, but not for ever: cheap machines alone may never catch up. (With
// 24 cheap machines of 40 a backlog of 16 minutes grew, and no ordinary one was
// requested.)
func patient(w Work, objectives []config.Objective) bool {
	return strictestShare(w.Class, objectives) <= patientShare && w.AgeS < patienceSeconds
}

// strictestShare returns the largest share of a class's jobs that an objective wants
// in time; 0 if none says.
func strictestShare(class string, objectives []config.Objective) float64 {
	share := 0.0
	for i := range objectives {
		o := &objectives[i]
		if o.Class == class && (o.Kind == kindFinished || o.Kind == kindDeadline) {
			share = max(share, o.Share)
		}
	}
	return share
}
