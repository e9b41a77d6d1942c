package leader

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// runDueWork follows each event: it stops the remaining tasks of broken gangs, runs a
// scheduling cycle if one is due, and writes changed records. It does nothing without the
// lease, or before the records are read.
func (t *term) runDueWork(now time.Time) {
	if !t.state.RecordsRead || !t.Lease.Deciding() {
		return
	}
	t.dispatcher.StopBrokenGangs()
	if t.state.SchedulingEnabled && t.state.CycleTimer.Due(now, t.maxCycleInterval()) {
		t.runCycle(now)
	}
	t.committer.Flush(now)
}

// maxCycleInterval returns the longest time between two cycles: a cycle that nothing has
// requested runs after this time.
func (t *term) maxCycleInterval() time.Duration {
	return wire.Seconds(t.leader.Tuning.Get().CycleIntervalSeconds).Duration()
}

// runCycle runs a scheduling cycle: it assigns pending tasks to machines and preempts
// others for them.
func (t *term) runCycle(now time.Time) {
	cycle := t.scheduler.BeginCycle(now)
	if cycle == nil {
		return
	}
	for _, victim := range cycle.Preemptions {
		// Stopping one task of a gang stops the whole gang. The attempt is therefore looked up
		// only now: an earlier iteration may have ended it.
		if attempt := t.state.ActiveAttempt(victim.Task); attempt != nil {
			t.dispatcher.Stop(attempt, t.state.GracePeriodOf(attempt.Job), cluster.EvictedPreempted)
			t.scheduler.ExtendReservations(attempt, now)
		}
	}
	t.scheduler.FinishCycle(cycle)
	t.Metrics.SchedulingCycle(t.state.CycleTimer.LastDuration, cycle.Starts, len(cycle.Preemptions))
}
