// Package demand holds the rules that estimate the demand of a waiting job: when the job is
// due, how many of its tasks should run at a time, how long it will wait for the present
// capacity, and how much its machines may cost. Its functions depend only on their
// arguments: they read no clock and no state of machines.
package demand

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// QueuedJob is a job that waits for capacity.
type QueuedJob struct {
	ID             wire.JobID
	Weight         float64 // jobs with higher weights run first
	WorkCPUSeconds float64 // CPU seconds that its waiting tasks need
}

// PredictWaits predicts for how many seconds each job of the queue will wait for capacity. The
// wait is the work of the jobs before it and half of its own work, divided by the number of
// CPUs that work on the queue now or soon. It returns the waits by job, and the backlog: the
// number of seconds after which the work of the whole queue would be done. It sorts the queue.
//
// Machines that are added shorten the waits. Therefore a steady overload adds as many
// expensive machines as it needs, and a short burst adds none.
func PredictWaits(queue []QueuedJob, cpus float64) (map[wire.JobID]float64, float64) {
	slices.SortFunc(queue, func(a, b QueuedJob) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ID, b.ID))
	})
	cpus = max(1, cpus)
	waits := make(map[wire.JobID]float64, len(queue))
	workAhead := 0.0
	for _, job := range queue {
		waits[job.ID] = (workAhead + job.WorkCPUSeconds/2) / cpus
		workAhead += job.WorkCPUSeconds
	}
	return waits, workAhead / cpus
}
