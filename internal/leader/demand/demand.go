// Package demand holds the rules by which the demand of a waiting job is judged: when it
// is due, how many of its tasks should run at a time, how long it will wait for the
// capacity there is, and how much its machines may cost. It is pure: it reads no clock
// and knows no machines.
package demand

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// QueuedJob is a job that waits for capacity.
type QueuedJob struct {
	ID     wire.JobID
	Weight float64 // the heavier goes first
	WorkS  float64 // processor seconds that it still needs
}

// PredictWaits predicts how many seconds each job of the queue will wait for the capacity
// there is: the work that goes before it, and half of its own, over the processors that
// work on the queue now or soon. Machines that are added shorten the wait, so that a
// steady overload adds as many expensive machines as it needs and a short burst none.
// It returns the waits by job, and in how many seconds all of the queue would be done.
func PredictWaits(queue []QueuedJob, processors float64) (map[wire.JobID]float64, float64) {
	slices.SortFunc(queue, func(a, b QueuedJob) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ID, b.ID))
	})
	processors = max(1, processors)
	waits := make(map[wire.JobID]float64, len(queue))
	ahead := 0.0
	for _, job := range queue {
		waits[job.ID] = (ahead + job.WorkS/2) / processors
		ahead += job.WorkS
	}
	return waits, ahead / processors
}
