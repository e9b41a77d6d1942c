package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// minRunTimeSamples is how many run times of a job must be known before another one is
	// compared with them.
	minRunTimeSamples = 3
	// A run is slow when it takes longer than slowFactor times the median run time of its job
	// plus slowMarginSeconds.
	slowFactor        = 1.6
	slowMarginSeconds = 2
	// A machine is slow when it has had at least minSlowRuns slow runs, and more than
	// slowRunsPerNormal times as many slow runs as normal ones.
	minSlowRuns       = 3
	slowRunsPerNormal = 3
)

// recordRunTime compares the run time of a completed attempt with the others of its job, and
// drains the machine if it is slow.
func (fd *faultDetector) recordRunTime(attempt *cluster.Attempt, now time.Time) {
	runSeconds := now.Sub(attempt.RunningSince).Seconds()
	job, machine := attempt.Job, attempt.Machine
	if len(job.RunTimes.Samples) >= minRunTimeSamples {
		if runSeconds > slowFactor*job.RunTimes.Median()+slowMarginSeconds {
			machine.RunSpeedCounts.Slow++
		} else {
			machine.RunSpeedCounts.Normal++
		}
		if isSlow(machine) {
			fd.drainSuspect(machine, cluster.DrainSlow)
		}
	}
	job.RunTimes.Add(runSeconds)
}

// isSlow reports whether a machine counts as slow by its numbers of slow and normal runs.
func isSlow(machine *cluster.Machine) bool {
	runs := machine.RunSpeedCounts
	return runs.Slow >= minSlowRuns && runs.Slow > slowRunsPerNormal*runs.Normal
}
