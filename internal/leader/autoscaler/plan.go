package autoscaler

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
)

// PlanFleet rents for what can't be placed and returns what is not needed.
func (sl *Scaler) PlanFleet(now time.Time) {
	specs := sl.state.Catalog.Get()
	sl.recordScaleOuts(now)
	sl.clearScaleIns(now)
	if !sl.state.Recovered || !sl.state.SchedulingEnabled || !sl.state.MachineListReceived || !sl.Lease.Deciding() || specs == nil || sl.Tracker.Paused(now) {
		return
	}
	plan := sl.scheduler.PlanCapacity(specs, sl.mayScaleOut(), now)
	for _, r := range plan.ScaleOuts {
		for left := r.Count; left > 0; left -= scaling.MaxScaleOut {
			r.Count = min(left, scaling.MaxScaleOut)
			sl.requestScaleOut(r)
		}
	}
	sl.recordScaleOuts(now)
	sl.scheduler.ApplyCordons(plan)
	for _, id := range plan.ScaleIns {
		if m := sl.state.Machines[id]; m != nil && len(m.Tasks) == 0 {
			sl.ScaleIn(m, cluster.DrainIdle)
		}
	}
}
