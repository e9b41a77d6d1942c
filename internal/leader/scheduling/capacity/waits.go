package capacity

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/wire"
)

// predictWaits returns for how many seconds each waiting array and gang is expected to wait
// for the present resources. It also sets BacklogSeconds.
func (e *Estimator) predictWaits(jobs []*cluster.Job, now time.Time) map[wire.JobID]float64 {
	guaranteed := e.valuer.Guaranteed()
	// A wait of this length doubles a job's weight.
	waitDoublingSeconds := max(1, e.tuning.Get().WaitDoublingSeconds)
	queue := make([]demand.QueuedJob, 0, len(jobs))
	for _, job := range jobs {
		if job.Spec.IsService() {
			continue
		}
		weight := e.valuer.UtilityWeight(job, guaranteed[job.Spec.ID], now)
		queue = append(queue, demand.QueuedJob{
			ID:             job.Spec.ID,
			Weight:         weight * (1 + now.Sub(job.AcceptedAt).Seconds()/waitDoublingSeconds),
			WorkCPUSeconds: float64(plannedTasks(job)) * job.Spec.CPUs * max(1, job.ExpectedRunSeconds()),
		})
	}
	waits, backlogSeconds := demand.PredictWaits(queue, e.batchCPUs())
	e.BacklogSeconds = backlogSeconds
	return waits
}

// batchCPUs returns the number of CPUs that work on arrays and gangs now or soon: those of
// machines and of pending scale-outs, without what services take.
func (e *Estimator) batchCPUs() float64 {
	cpus := 0.0
	for _, machine := range e.state.Machines {
		if !machine.ScalingIn && machine.DrainReason == "" {
			cpus += e.state.TotalResources(machine).CPUs
		}
	}
	for _, request := range e.tracker.PendingScaleOuts() {
		if spec := e.state.MachineSpec(request.Type); spec != nil {
			cpus += float64(request.Count) * spec.CPUs
		}
	}
	for _, job := range e.state.Jobs {
		if job.Spec.IsService() {
			cpus -= float64(job.Spec.Tasks) * job.Spec.CPUs
		}
	}
	return cpus
}
