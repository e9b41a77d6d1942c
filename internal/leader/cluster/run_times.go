package cluster

import (
	"math"
	"slices"
	"time"
)

const (
	// runTimeSamples is how many of the last run times of a job's tasks are kept.
	runTimeSamples = 15
	// ownerEstimateFactor multiplies the owner's estimate of a run time, which is often too
	// short, until a run time of the job's tasks has been measured.
	ownerEstimateFactor = 1.5
	// minRemainingDivisor divides the expected run time of a task into the least remaining
	// time: a task is always expected to need at least another tenth of its expected run time.
	minRemainingDivisor = 10
	// minPlannedSeconds is the least remaining time that capacity planning assumes.
	minPlannedSeconds = 1
)

// runTimeStats keeps the last run times of a job's tasks, in seconds.
type runTimeStats struct {
	Samples       []float64 // in the order of completion
	medianSeconds float64
}

// Add records the run time of a task that has completed.
func (r *runTimeStats) Add(seconds float64) {
	r.Samples = append(r.Samples, seconds)
	if len(r.Samples) > runTimeSamples {
		r.Samples = r.Samples[1:]
	}
	sorted := slices.Clone(r.Samples)
	slices.Sort(sorted)
	r.medianSeconds = sorted[len(sorted)/2]
}

// Median returns the median of the run times; 0 if there are none.
func (r *runTimeStats) Median() float64 { return r.medianSeconds }

// measured reports whether there are run times.
func (r *runTimeStats) measured() bool { return len(r.Samples) > 0 }

// slowRunCounts counts the tasks that completed on a machine: those that ran slowly, compared
// with the run times of their job's other tasks, and the others.
type slowRunCounts struct{ Slow, Normal int }

// ExpectedRunSeconds returns the expected run time of a task: the median of the measured run
// times, or the owner's estimate if there are none.
func (j *Job) ExpectedRunSeconds() float64 {
	if j.RunTimes.measured() {
		return j.RunTimes.Median()
	}
	return float64(j.Spec.ExpectedRunTime)
}

// ExpectedRemainingSeconds returns in how many seconds a task is expected to end by itself;
// infinity for a replica of a service, and for a task that does not run yet. Until a run time
// of its job's tasks has been measured, the owner's estimate counts ownerEstimateFactor times.
func (a *Attempt) ExpectedRemainingSeconds(now time.Time) float64 {
	if a.RunningSince.IsZero() || a.Job.Spec.IsService() {
		return math.Inf(1)
	}
	expected := a.Job.ExpectedRunSeconds()
	if !a.Job.RunTimes.measured() {
		expected *= ownerEstimateFactor
	}
	return max(expected/minRemainingDivisor, expected-now.Sub(a.RunningSince).Seconds())
}

// PlannedRemainingSeconds returns how many seconds of its expected run time the attempt has
// left, and at least one. Unlike ExpectedRemainingSeconds it is finite also for a replica of
// a service and for a task that does not run yet.
func (a *Attempt) PlannedRemainingSeconds(now time.Time) float64 {
	remaining := a.Job.ExpectedRunSeconds()
	if !a.RunningSince.IsZero() {
		remaining -= now.Sub(a.RunningSince).Seconds()
	}
	return max(remaining, minPlannedSeconds)
}
