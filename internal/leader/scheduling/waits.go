package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/wire"
)

// predictWaits returns for how many seconds each waiting array and gang is expected to wait
// for the present resources, and sets the backlog.
func (d *DemandEstimator) predictWaits(jobs []*cluster.Job, now time.Time) map[wire.JobID]float64 {
	guaranteed := d.valuation.guaranteed()
	doublingS := max(1, d.tuning.Get().WaitRaiseS) // a wait as long as this doubles a weight
	queue := make([]demand.Queued, 0, len(jobs))
	for _, job := range jobs {
		if job.Spec.Service() {
			continue
		}
		weight := d.valuation.utilityWeight(job, guaranteed[job.Spec.ID], now)
		queue = append(queue, demand.Queued{
			ID:     job.Spec.ID,
			Weight: weight * (1 + now.Sub(job.AcceptedAt).Seconds()/doublingS),
			WorkS:  float64(job.Pending()) * job.Spec.CPUs * max(1, job.ExpectedSeconds()),
		})
	}
	waits, backlogS := demand.WaitsS(queue, d.batchCPUs())
	d.BacklogS = backlogS
	return waits
}

// batchCPUs returns the number of CPUs that work on arrays and gangs now or soon: those of
// machines and of pending scale-outs, without what services take.
func (d *DemandEstimator) batchCPUs() float64 {
	cpus := 0.0
	for _, machine := range d.state.Machines {
		if !machine.ScalingIn && machine.DrainReason == "" {
			cpus += d.state.TotalResources(machine).CPUs
		}
	}
	for _, request := range d.tracker.PendingScaleOuts() {
		if spec := d.state.MachineSpec(request.Type); spec != nil {
			cpus += float64(request.Count) * spec.CPUs
		}
	}
	for _, job := range d.state.Jobs {
		if job.Spec.Service() {
			cpus -= float64(job.Spec.Tasks) * job.Spec.CPUs
		}
	}
	return cpus
}
