package leader

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// runCycle places the tasks that wait and preempts others for them.
func (t *term) runCycle(now time.Time) {
	cycle := t.scheduler.BeginCycle(now)
	if cycle == nil {
		return
	}
	for _, victim := range cycle.Preemptions {
		// Stopping one task of a gang stops them all: look each up when it is its turn.
		if a := t.state.ActiveAttempt(victim.Task); a != nil {
			t.dispatcher.Stop(a, t.state.GracePeriodOf(a.Job), cluster.EvictedPreempted)
			t.scheduler.ExtendReservations(a, now)
		}
	}
	t.scheduler.FinishCycle(cycle)
	t.Metrics.SchedulingCycle(t.state.Cycle.LastDuration, cycle.Starts, len(cycle.Preemptions))
}
