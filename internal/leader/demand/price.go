package demand

import (
	"lilaclead/internal/config"
)

const (
	// LatePriceLimitFactor is the multiple of the price limit that machines may cost for a job
	// that would be late otherwise. It applies if an objective of the job's class is for a share
	// above maxLenientShare, or if the job has waited for cheapOnlySeconds.
	LatePriceLimitFactor = 1.35
	// A class is lenient if no objective wants more than maxLenientShare of its jobs in time.
	// Jobs of a lenient class first wait for machines within the price limit.
	maxLenientShare = 0.9

	// StartWithinSeconds is the time from its submission within which every job should start,
	// whatever other jobs wait.
	StartWithinSeconds = 4 * 60
	// cheapOnlySeconds is the time from its submission in which a job of a lenient class gets
	// only machines within the price limit. The other half of StartWithinSeconds is left to
	// start the job by other means.
	cheapOnlySeconds = StartWithinSeconds / 2
)

// PriceLimitFactor returns the multiple of the price limit that machines for the job may cost.
// It is 1 for a job that must wait for cheap machines. For other jobs it is above 1 if the job
// would be late after a wait of waitSeconds for machines within the limit, but in time on more
// expensive machines, which can run its tasks after bootSeconds.
func PriceLimitFactor(timing JobTiming, objectives []config.Objective, waitSeconds, bootSeconds float64) float64 {
	if mustWaitForCheapMachines(timing, objectives) {
		return 1
	}
	due := dueSeconds(timing, objectives)
	late := timing.AgeSeconds+waitSeconds+timing.ExpectedRunSeconds > due
	inTime := timing.AgeSeconds+bootSeconds+timing.ExpectedRunSeconds < due
	if late && inTime {
		return LatePriceLimitFactor
	}
	return 1
}

// mustWaitForCheapMachines reports whether a job may get only cheap machines, which are those
// within the price limit. Jobs of a lenient class must wait for these, but only for
// cheapOnlySeconds, because cheap machines alone may never catch up with the demand. Without
// this bound, a backlog of 16 minutes builds up with 24 cheap machines out of 40, and no
// ordinary machine is requested.
func mustWaitForCheapMachines(timing JobTiming, objectives []config.Objective) bool {
	return strictestShare(timing.Class, objectives) <= maxLenientShare && timing.AgeSeconds < cheapOnlySeconds
}

// strictestShare returns the largest share of a class's jobs that any objective wants in time,
// 0 if the class has no such objective.
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
