package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// reclaimMargin is how much earlier than the tasks on a machine with a spot notice need to
// write their checkpoints they are stopped: two tries of a command, and the time until the
// machine is checked.
const reclaimMargin = 3 * time.Second

// checkpointBeforeReclaim stops the tasks that write checkpoints on a machine with a spot
// notice while they still have the time for it. All of a gang is stopped, and a task that
// has written its checkpoint waits for the others for gang_peer_s, on this machine too.
//
// A leader that answers heartbeats without the key-value store does so as well: stops start
// nothing, and agents that have seen a successor's token drop them.
func (mo *Monitor) checkpointBeforeReclaim(machine *cluster.Machine, now time.Time) {
	if machine.ReclaimAt.IsZero() {
		return
	}
	remaining := machine.ReclaimAt.Sub(now)
	for _, attempt := range machine.Tasks {
		writesCheckpoints := attempt.Job.Spec.CheckpointInterval != 0
		if attempt.Unstored || attempt.Stopping || !writesCheckpoints {
			continue
		}
		if remaining < mo.checkpointLeadTime(attempt.Job) {
			mo.Dispatcher.Stop(attempt, mo.State.GracePeriodOf(attempt.Job), cluster.EvictedBeforeReclaim)
		}
	}
}

// checkpointLeadTime returns how long before its machine is reclaimed a task of the job has
// to be stopped to write its checkpoint.
func (mo *Monitor) checkpointLeadTime(job *cluster.Job) time.Duration {
	leadTime := job.Spec.CheckpointTime.Duration() + reclaimMargin
	if job.Spec.IsGang() {
		leadTime += mo.State.Settings.Workers.GangPeerTimeout.Duration()
	}
	return leadTime
}

// stopReplicaBeforeReclaim stops a replica of a service on a machine with a spot notice at
// once, so that it is started elsewhere.
func (mo *Monitor) stopReplicaBeforeReclaim(attempt *cluster.Attempt) {
	reclaiming := !attempt.Machine.ReclaimAt.IsZero()
	if reclaiming && attempt.Job.Spec.IsService() && !attempt.Stopping {
		mo.Dispatcher.Stop(attempt, 0, cluster.EvictedMachineReclaimed)
	}
}
