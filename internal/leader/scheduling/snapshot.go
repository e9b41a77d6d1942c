package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/capacity"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// cycleSnapshot is the placement input of a cycle, with the machines and jobs that the
// indexes in the placement result refer to.
type cycleSnapshot struct {
	placement *placement.Snapshot
	machines  []*cluster.Machine
	jobs      []*cluster.Job
}

// snapshotBuilder builds the snapshot of one cycle.
type snapshotBuilder struct {
	scheduler *Scheduler
	state     *cluster.State
	now       time.Time
	snapshot  *placement.Snapshot
	machines  []*cluster.Machine
	jobs      []*cluster.Job
	// reservedUnits is the number of tasks of each job for which resources are reserved.
	reservedUnits map[wire.JobID]int
	// victimsNeeded reports that some waiting job may preempt other tasks or wait for them
	// to end. A gang that may not preempt waits.
	victimsNeeded bool
}

// snapshot returns the placement input for the waiting jobs. It sorts waiting in place, by
// acceptance.
func (s *Scheduler) snapshot(waiting []*cluster.Job, now time.Time) *cycleSnapshot {
	values := s.tuning.Get()
	builder := &snapshotBuilder{scheduler: s, state: s.state, now: now}
	builder.snapshot = &placement.Snapshot{
		Teams:           teamUsage(s.state),
		Factors:         placement.UtilityFactors{Preferred: values.PreferredFactor, Fallback: values.FallbackFactor, WaitDoublingSeconds: values.WaitDoublingSeconds},
		AllowPreemption: true,
		ExpectedGangs:   s.ExpectedGangs(values.SpareGangs, now),
	}
	spare := capacity.SpareReplicasOf(s.state, values.SpareReplicas)
	builder.snapshot.HeadroomUnits, builder.snapshot.HeadroomUnit = spare.Count, spare.ReplicaResources
	builder.addMachines(waiting)
	builder.addJobs(waiting)
	builder.reserveTeamLimits()
	return &cycleSnapshot{placement: builder.snapshot, machines: builder.machines, jobs: builder.jobs}
}
