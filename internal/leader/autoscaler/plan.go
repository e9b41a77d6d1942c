package autoscaler

import (
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// PlanFleet scales out for tasks that can't be placed, and scales in machines that are not needed.
func (s *Scaler) PlanFleet(now time.Time) {
	specs := s.state.Catalog.Get()
	s.recordScaleOuts(now)
	s.clearScaleIns(now)
	if !s.mayPlan(specs, now) {
		return
	}
	plan := s.scheduler.PlanCapacity(specs, s.mayScaleOut(), now)
	s.Metrics.ScaleOutHolds(plan.Holds.Counts())
	for _, scaleOut := range plan.ScaleOuts {
		s.requestMachinesInBatches(scaleOut)
	}
	s.recordScaleOuts(now)
	s.scheduler.ApplyCordons(plan)
	for _, id := range plan.ScaleIns {
		s.scaleInIfIdle(id)
	}
}

// mayPlan reports whether the cluster is known well enough to plan its capacity, and
// whether the cloud may be asked now.
func (s *Scaler) mayPlan(specs []wire.MachineSpec, now time.Time) bool {
	clusterKnown := s.state.RecordsRead && s.state.SchedulingEnabled && s.state.MachineListReceived
	return clusterKnown && s.Lease.Deciding() && specs != nil && !s.Tracker.Paused(now)
}

// requestMachinesInBatches requests the machines of one offer, in requests for at most
// scaling.MaxScaleOut machines.
func (s *Scaler) requestMachinesInBatches(scaleOut fleet.ScaleOut) {
	for left := scaleOut.Count; left > 0; left -= scaling.MaxScaleOut {
		scaleOut.Count = min(left, scaling.MaxScaleOut)
		s.requestScaleOut(scaleOut)
	}
}

// scaleInIfIdle returns an idle machine to the cloud, unless a task has been placed on it since the
// plan was made.
func (s *Scaler) scaleInIfIdle(id wire.MachineID) {
	if machine := s.state.Machines[id]; machine != nil && len(machine.Attempts) == 0 {
		s.ScaleIn(machine, cluster.DrainIdle)
	}
}
