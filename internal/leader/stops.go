package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// stop wants the attempt stopped, and with a gang's task all of the gang.
func (dp *dispatcher) stop(a *attempt, grace wire.Seconds, why EvictionReason) {
	if a.job.gang != nil {
		dp.stopGang(a.job, grace, why)
		return
	}
	dp.stopAttempt(a, grace, why)
}

func (dp *dispatcher) stopAttempt(a *attempt, grace wire.Seconds, why EvictionReason) {
	if a.unstored {
		if !a.chunk.writeInFlight {
			dp.state.endAttempt(a, TaskPending)
		} else {
			a.stopping, a.gracePeriod, a.stopReason = true, grace, why
		}
		return
	}
	if a.stopping && a.gracePeriod <= grace {
		return
	}
	if !a.stopping {
		a.stopRequestedAt = time.Now()
	}
	a.stopping, a.gracePeriod, a.stopReason, a.stopSentAt = true, grace, why, time.Time{}
	if why != EvictedCancelled {
		dp.log().Info("stops", "task", a.task(), "attempt", a.number, "machine", a.machine.id, "why", why)
		dp.leader.Metrics.TaskMoved(string(why))
	}
	dp.dispatch(a.machine)
}

// stopGang stops all tasks of a gang, all of them at once: those that are told
// late don't save.
func (dp *dispatcher) stopGang(j *job, grace wire.Seconds, why EvictionReason) {
	g := j.gang
	if !g.ran && !g.inherited {
		grace = 0 // there is nothing to save
	}
	if g.stopRequested && g.gracePeriod <= grace {
		return
	}
	g.stopRequested, g.gracePeriod, g.stoppingGracefully = true, grace, grace > 0
	for _, a := range j.attempts() {
		dp.stopAttempt(a, grace, why)
	}
}

// stopBrokenGangs looks after the gangs that have lost a task: what is left of one can
// do nothing, and is stopped. Those that were told to stop in order end by
// themselves.
func (dp *dispatcher) stopBrokenGangs() {
	for j := range dp.state.brokenGangs {
		delete(dp.state.brokenGangs, j)
		g := j.gang
		switch {
		case g == nil:
		case j.activeTasks == 0:
			j.gang = nil
			dp.state.requestCycle()
		case !g.broken:
			g.broken = true
			dp.log().Info("gang lost a task", "job", j.spec.ID, "try", g.number, "ran", g.ran, "stopping", g.stoppingGracefully, "age", time.Since(g.startedAt), "left", j.activeTasks)
			if !g.stoppingGracefully {
				for _, a := range j.attempts() {
					dp.stopAttempt(a, 0, EvictedGangIncomplete)
				}
			}
		}
	}
}

// stopCancelledJob stops what is left of a cancelled job. For a job that is read
// during recovery this comes only once its attempts have been read too: before, it
// looks as if nothing of it were left.
func (dp *dispatcher) stopCancelledJob(j *job) {
	dp.log().Info("cancels", "job", j.spec.ID, "held", j.activeTasks)
	dp.state.cancelledJobs[j] = struct{}{}
	for _, a := range j.attempts() {
		dp.stopAttempt(a, 0, EvictedCancelled)
	}
	dp.state.markIfFinished(j)
}
