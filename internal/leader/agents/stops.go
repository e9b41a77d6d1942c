package agents

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Stop wants the attempt stopped, and with a gang's task all of the gang.
func (dp *Dispatcher) Stop(a *cluster.Attempt, grace wire.Seconds, why cluster.EvictionReason) {
	if a.Job.Gang != nil {
		dp.StopGang(a.Job, grace, why)
		return
	}
	dp.stopAttempt(a, grace, why)
}

func (dp *Dispatcher) stopAttempt(a *cluster.Attempt, grace wire.Seconds, why cluster.EvictionReason) {
	if a.Unstored {
		if !a.Chunk.WriteInFlight {
			dp.State.EndAttempt(a, cluster.TaskPending)
		} else {
			a.Stopping, a.GracePeriod, a.StopReason = true, grace, why
		}
		return
	}
	if a.Stopping && a.GracePeriod <= grace {
		return
	}
	if !a.Stopping {
		a.StopRequestedAt = time.Now()
	}
	a.Stopping, a.GracePeriod, a.StopReason, a.StopSentAt = true, grace, why, time.Time{}
	if why != cluster.EvictedCancelled {
		dp.Log.Info("stops", "task", a.Task(), "attempt", a.Number, "machine", a.Machine.ID, "why", why)
		dp.Metrics.TaskMoved(string(why))
	}
	dp.Dispatch(a.Machine)
}

// StopGang stops all tasks of a gang, all of them at once: those that are told
// late don't save.
func (dp *Dispatcher) StopGang(j *cluster.Job, grace wire.Seconds, why cluster.EvictionReason) {
	g := j.Gang
	if !g.Ran && !g.Inherited {
		grace = 0 // there is nothing to save
	}
	if g.StopRequested && g.GracePeriod <= grace {
		return
	}
	g.StopRequested, g.GracePeriod, g.StoppingGracefully = true, grace, grace > 0
	for _, a := range j.Attempts() {
		dp.stopAttempt(a, grace, why)
	}
}

// StopBrokenGangs looks after the gangs that have lost a task: what is left of one can
// do nothing, and is stopped. Those that were told to stop in order end by
// themselves.
func (dp *Dispatcher) StopBrokenGangs() {
	for j := range dp.State.BrokenGangs {
		delete(dp.State.BrokenGangs, j)
		g := j.Gang
		switch {
		case g == nil:
		case j.ActiveTasks == 0:
			j.Gang = nil
			dp.State.RequestCycle()
		case !g.Broken:
			g.Broken = true
			dp.Log.Info("gang lost a task", "job", j.Spec.ID, "try", g.Number, "ran", g.Ran, "stopping", g.StoppingGracefully, "age", time.Since(g.StartedAt), "left", j.ActiveTasks)
			if !g.StoppingGracefully {
				for _, a := range j.Attempts() {
					dp.stopAttempt(a, 0, cluster.EvictedGangIncomplete)
				}
			}
		}
	}
}

// StopCancelledJob stops what is left of a cancelled job. For a job that is read
// during recovery this comes only once its attempts have been read too: before, it
// looks as if nothing of it were left.
func (dp *Dispatcher) StopCancelledJob(j *cluster.Job) {
	dp.Log.Info("cancels", "job", j.Spec.ID, "held", j.ActiveTasks)
	dp.State.CancelledJobs[j] = struct{}{}
	for _, a := range j.Attempts() {
		dp.stopAttempt(a, 0, cluster.EvictedCancelled)
	}
	dp.State.MarkIfFinished(j)
}
