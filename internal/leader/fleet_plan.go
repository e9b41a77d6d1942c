package leader

import (
	"time"

	"lilaclead/internal/leader/scaling"
)

// planFleet rents for what can't be placed and returns what is not needed.
func (sl *scaler) planFleet(now time.Time) {
	specs := sl.leader.Catalog.Get()
	sl.recordScaleOuts(now)
	sl.clearScaleIns(now)
	if !sl.state.recovered || !sl.state.schedulingEnabled || !sl.state.machineListReceived || !sl.lease.Deciding() || specs == nil || sl.tracker.Paused(now) {
		return
	}
	plan := sl.scheduler.planCapacity(specs, sl.mayScaleOut(), now)
	for _, r := range plan.ScaleOuts {
		for left := r.Count; left > 0; left -= scaling.MaxScaleOut {
			r.Count = min(left, scaling.MaxScaleOut)
			sl.requestScaleOut(r)
		}
	}
	sl.recordScaleOuts(now)
	sl.scheduler.applyCordons(plan)
	for _, id := range plan.ScaleIns {
		if m := sl.state.machines[id]; m != nil && len(m.tasks) == 0 {
			sl.scaleIn(m, DrainIdle)
		}
	}
}
