package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// checkpointStopMargin is added to the time that a task needs to write its checkpoint before
// its machine is reclaimed. It covers sending the stop twice, and the time until the machine is
// next checked.
const checkpointStopMargin = 3 * time.Second

// checkpointBeforeReclaim stops the tasks that write checkpoints on a machine with a spot
// notice, while there is time to write them. Stopping one task of a gang stops the whole gang,
// and a task that has written its checkpoint waits up to gang_peer_s for the others. That wait
// must fit before the reclaim, too.
//
// A leader that only answers heartbeats, without the key-value store, does this as well: a stop
// starts nothing, and agents that have seen a successor's token ignore it.
func (mo *Monitor) checkpointBeforeReclaim(machine *cluster.Machine, now time.Time) {
	if machine.ReclaimAt.IsZero() {
		return
	}
	remaining := machine.ReclaimAt.Sub(now)
	for _, attempt := range machine.Attempts {
		writesCheckpoints := attempt.Job.Spec.CheckpointInterval != 0
		if attempt.Unstored || attempt.Stopping || !writesCheckpoints {
			continue
		}
		if remaining < mo.checkpointLeadTime(attempt.Job) {
			mo.Dispatcher.Stop(attempt, mo.State.GracePeriodOf(attempt.Job), cluster.EvictedBeforeReclaim)
		}
	}
}

// checkpointLeadTime returns how long before the reclaim a task of the job must be stopped so
// that it can write its checkpoint.
func (mo *Monitor) checkpointLeadTime(job *cluster.Job) time.Duration {
	leadTime := job.Spec.CheckpointTime.Duration() + checkpointStopMargin
	if job.Spec.IsGang() {
		leadTime += mo.State.Settings.Workers.GangPeerTimeout.Duration()
	}
	return leadTime
}

// stopReplicaBeforeReclaim immediately stops a replica of a service on a machine with a spot
// notice, so that it is started elsewhere.
func (mo *Monitor) stopReplicaBeforeReclaim(attempt *cluster.Attempt) {
	reclaiming := !attempt.Machine.ReclaimAt.IsZero()
	if reclaiming && attempt.Job.Spec.IsService() && !attempt.Stopping {
		mo.Dispatcher.Stop(attempt, 0, cluster.EvictedMachineReclaimed)
	}
}
