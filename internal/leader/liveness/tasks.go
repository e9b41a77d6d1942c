package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// stopRepeatInterval is how long after a stop that has had no effect it is sent again.
	stopRepeatInterval = 2 * time.Second
	// unansweredLaunchWait is how long after the decision an unanswered launch of an
	// attempt that must not start any more is waited for, before a higher token ends it.
	unansweredLaunchWait = 6 * time.Second
	// uncancellableTenths is for how many tenths of the time for cancellations the stops of
	// a cancelled job may go on; the rest is for scaling in the machines.
	uncancellableTenths = 6
)

// repeatStops sends stops again that have had no effect.
func (mo *Monitor) repeatStops(machine *cluster.Machine, now time.Time) {
	for _, attempt := range machine.Tasks {
		stopDue := attempt.StopSentAt.IsZero() || now.Sub(attempt.StopSentAt) > stopRepeatInterval
		if attempt.Stopping && !attempt.Unstored && stopDue {
			mo.Dispatcher.Dispatch(machine)
			return
		}
	}
}

// launchMustEnd reports whether an unanswered launch of an attempt that must not start any
// more has to be ended by a higher token.
func launchMustEnd(attempt *cluster.Attempt, now time.Time) bool {
	mayArrive := attempt.LaunchUnanswered && !attempt.SeenInHeartbeat
	startUnwanted := attempt.Stopping || attempt.Machine.DrainReason != ""
	return mayArrive && startUnwanted && now.Sub(attempt.ScheduledAt) > unansweredLaunchWait
}

// scaleInUncancellable scales in machines on which a cancelled task goes on.
func (mo *Monitor) scaleInUncancellable(now time.Time) {
	if !mo.Lease.Deciding() || !mo.State.RecordsRead {
		return
	}
	limit := mo.State.Settings.Workers.CancelTimeout.Duration() * uncancellableTenths / 10
	for _, job := range mo.State.Jobs {
		if !job.Cancelled || job.ActiveTasks == 0 || now.Sub(job.CancelledAt) <= limit {
			continue
		}
		for _, attempt := range job.Attempts() {
			mo.Scaler.ScaleIn(attempt.Machine, cluster.DrainCancelFailed)
		}
	}
}
