package leader

import (
	"time"
)

// runCycle places the tasks that wait and preempts others for them.
func (t *term) runCycle(now time.Time) {
	cycle := t.scheduler.beginCycle(now)
	if cycle == nil {
		return
	}
	for _, victim := range cycle.preemptions {
		// Stopping one task of a gang stops them all: look each up when it is its turn.
		if a := t.state.activeAttempt(victim.Task); a != nil {
			t.dispatcher.stop(a, t.state.gracePeriodOf(a.job), EvictedPreempted)
			t.scheduler.extendReservations(a, now)
		}
	}
	t.scheduler.finishCycle(cycle)
	t.leader.Metrics.SchedulingCycle(t.state.cycle.lastDuration, cycle.starts, len(cycle.preemptions))
}
