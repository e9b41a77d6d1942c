package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// stopRetryInterval is the time after which a stop that has had no effect is sent again.
	stopRetryInterval = 2 * time.Second
	// unansweredLaunchTimeout is the time, from the decision to schedule the attempt, after
	// which a higher token is requested against an unanswered launch that is no longer wanted.
	unansweredLaunchTimeout = 6 * time.Second
	// cancelStopTenths is the part of the cancellation timeout, in tenths, during which the
	// tasks of a cancelled job are sent stops. The rest is for scaling in their machines.
	cancelStopTenths = 6
)

// repeatStops sends the machine's due commands if one of its attempts is to stop, and the stop
// was never sent or has had no effect for stopRetryInterval.
func (mo *Monitor) repeatStops(machine *cluster.Machine, now time.Time) {
	for _, attempt := range machine.Attempts {
		stopDue := attempt.StopSentAt.IsZero() || now.Sub(attempt.StopSentAt) > stopRetryInterval
		if attempt.Stopping && !attempt.Unstored && stopDue {
			mo.Dispatcher.SendDueCommands(machine)
			return
		}
	}
}

// launchMustBeFenced reports whether a higher token is needed to keep an unanswered launch from
// taking effect: the launch may still arrive, but the attempt must no longer start.
func launchMustBeFenced(attempt *cluster.Attempt, now time.Time) bool {
	mayArrive := attempt.LaunchUnanswered && !attempt.SeenInHeartbeat
	startUnwanted := attempt.Stopping || attempt.Machine.DrainReason != ""
	return mayArrive && startUnwanted && now.Sub(attempt.ScheduledAt) > unansweredLaunchTimeout
}

// scaleInUncancellable scales in the machines on which tasks of a cancelled job still run after
// the time for stopping them.
func (mo *Monitor) scaleInUncancellable(now time.Time) {
	if !mo.Lease.Deciding() || !mo.State.RecordsRead {
		return
	}
	limit := mo.State.Settings.Workers.CancelTimeout.Duration() * cancelStopTenths / 10
	for _, job := range mo.State.Jobs {
		if !job.Cancelled || job.ActiveTasks == 0 || now.Sub(job.CancelledAt) <= limit {
			continue
		}
		for _, attempt := range job.Attempts() {
			mo.Scaler.ScaleIn(attempt.Machine, cluster.DrainCancelFailed)
		}
	}
}
