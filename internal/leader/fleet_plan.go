package leader

import (
	"time"

	"lilaclead/internal/leader/scaling"
)

// planFleet rents for what can't be placed and returns what is not needed.
func (t *term) planFleet(now time.Time) {
	specs := t.leader.Catalog.Get()
	t.recordScaleOuts(now)
	t.clearScaleIns(now)
	if !t.recovered || !t.schedulingEnabled || !t.machineListReceived || !t.lease.Deciding() || specs == nil || t.scaling.Paused(now) {
		return
	}
	plan := t.scheduler.planCapacity(specs, t.mayScaleOut(), now)
	for _, r := range plan.ScaleOuts {
		for left := r.Count; left > 0; left -= scaling.MaxScaleOut {
			r.Count = min(left, scaling.MaxScaleOut)
			t.requestScaleOut(r)
		}
	}
	t.recordScaleOuts(now)
	t.scheduler.applyCordons(plan)
	for _, id := range plan.ScaleIns {
		if m := t.state.machines[id]; m != nil && len(m.tasks) == 0 {
			t.scaleIn(m, drainIdle)
		}
	}
}
