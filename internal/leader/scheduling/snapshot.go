package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/capacity"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// cycleSnapshot is what a cycle places from, with the machines and jobs that the indexes in
// the snapshot stand for.
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
	// reservedUnits is for how many tasks of each job resources are reserved.
	reservedUnits map[wire.JobID]int
	// victimsNeeded means that tasks may be preempted or awaited for some waiting job. A
	// gang that does not preempt waits for others to end.
	victimsNeeded bool
}

// snapshot returns what a cycle places the waiting jobs from. It sorts them.
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
	builder.snapshot.HeadroomUnits, builder.snapshot.HeadroomUnit = spare.Count, spare.Takes
	builder.addMachines(waiting)
	builder.addJobs(waiting)
	builder.reserveTeamLimits()
	return &cycleSnapshot{placement: builder.snapshot, machines: builder.machines, jobs: builder.jobs}
}
