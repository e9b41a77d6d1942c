package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// maxLinger is how long a job may start nothing because the free resources are kept for the
// next replicas. Without this bound it waited for ever while the cloud had no capacity.
const maxLinger = time.Minute

// maxSuspectTasks is how many tasks of a job whose last attempt failed should be active at a
// time. One more is tried also when more are active already.
const maxSuspectTasks = 2

// addJobs adds the waiting jobs in the order in which they were accepted.
func (b *snapshotBuilder) addJobs(waiting []*cluster.Job) {
	valuation.SortByAcceptance(waiting)
	guaranteed, zones := b.scheduler.valuer.Guaranteed(), b.state.Zones()
	for _, job := range waiting {
		view := b.jobView(job, guaranteed[job.Spec.ID])
		if job.Spec.Spread || job.Spec.SameZone {
			view.TasksByZone = job.ActiveByZone()
			unknown := view.TasksByZone[""]
			if unknown > 0 && job.Spec.SameZone {
				continue // the zone that its tasks are in is not known yet
			}
			// Each of these may be in any zone, so it counts in all.
			for _, zone := range zones {
				view.TasksByZone[zone] += unknown
			}
		}
		b.snapshot.Jobs = append(b.snapshot.Jobs, view)
		b.jobs = append(b.jobs, job)
	}
}

// jobView describes a waiting job.
func (b *snapshotBuilder) jobView(job *cluster.Job, guaranteed bool) placement.Job {
	waitedS := b.now.Sub(job.AcceptedAt).Seconds()
	view := placement.Job{
		Spec:                   &job.Spec,
		PendingTasks:           job.PendingTasks(),
		TasksByZone:            map[wire.Zone]int{},
		WaitedSeconds:          waitedS,
		AvoidMachines:          job.FailedMachines,
		WithinGuarantee:        guaranteed,
		ReservedUnits:          b.reservedUnits[job.Spec.ID],
		PreemptionDelaySeconds: b.scheduler.PatienceSeconds(job, b.now),
		StartSlackSeconds:      max(0, b.scheduler.startObjectiveSeconds(job.Spec.Class)-waitedS),
		Weight:                 b.scheduler.valuer.UtilityWeight(job, guaranteed, b.now),
		StartOverdue:           b.state.SinceLastStart(job, b.now) > maxLinger,
	}
	if b.state.StartOverdue(job, b.now) {
		view.Weight = valuation.StarvingWeight
		if !job.Spec.IsGang() {
			view.PendingTasks = 1
		}
	}
	if job.TaskFailures > 0 && !job.Spec.IsGang() {
		view.PendingTasks = min(view.PendingTasks, max(1, maxSuspectTasks-job.ActiveTasks))
	}
	return view
}
