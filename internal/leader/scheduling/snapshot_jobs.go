package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// maxHeadroomWait is how long a job may go without a start because the free resources are
// kept for the next replicas. After that its next task may use them. Without this bound, the
// job waits forever while the cloud has no capacity.
const maxHeadroomWait = time.Minute

// addJobs adds the waiting jobs in the order in which they were accepted.
func (b *snapshotBuilder) addJobs(waiting []*cluster.Job) {
	valuation.SortByAcceptance(waiting)
	guaranteed, zones := b.scheduler.valuer.Guaranteed(), b.state.Zones()
	for _, job := range waiting {
		view := b.jobView(job, guaranteed[job.Spec.ID])
		if job.Spec.Spread || job.Spec.SameZone {
			view.TasksByZone = job.ActiveByZone()
			unknownZoneTasks := view.TasksByZone[""]
			if unknownZoneTasks > 0 && job.Spec.SameZone {
				continue // the zone that its tasks are in is not known yet
			}
			// A task in an unknown zone may be in any of them, so it counts in all.
			for _, zone := range zones {
				view.TasksByZone[zone] += unknownZoneTasks
			}
		}
		b.snapshot.Jobs = append(b.snapshot.Jobs, view)
		b.jobs = append(b.jobs, job)
	}
}

// jobView returns the placement view of a waiting job.
func (b *snapshotBuilder) jobView(job *cluster.Job, guaranteed bool) placement.Job {
	waitedSeconds := b.now.Sub(job.AcceptedAt).Seconds()
	view := placement.Job{
		Spec:                   &job.Spec,
		PendingTasks:           job.StartableTasks(),
		TasksByZone:            map[wire.Zone]int{},
		WaitedSeconds:          waitedSeconds,
		AvoidMachines:          job.FailedMachines,
		WithinGuarantee:        guaranteed,
		ReservedUnits:          b.reservedUnits[job.Spec.ID],
		PreemptionDelaySeconds: b.scheduler.PreemptionDelaySeconds(job, b.now),
		StartSlackSeconds:      max(0, b.scheduler.startObjectiveSeconds(job.Spec.Class)-waitedSeconds),
		Weight:                 b.scheduler.valuer.UtilityWeight(job, guaranteed, b.now),
		MayUseHeadroom:         b.state.SinceLastStart(job, b.now) > maxHeadroomWait,
	}
	if b.state.StartOverdue(job, b.now) {
		view.Weight = valuation.StarvingWeight
		if !job.Spec.IsGang() {
			view.PendingTasks = 1
		}
	}
	return view
}
