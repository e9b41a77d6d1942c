package reconcile

import (
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// onRestart handles a response which shows that the machine has restarted, before its absence
// was noticed, and numbers its heartbeats from the start again. The tasks that the response
// lacks are lost. The machine is fenced, since it would execute late copies of launches from before
// the restart, and scaled in, since from now on its heartbeats can't be told from late copies.
func (rc *Reconciler) onRestart(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) {
	rc.Log.Info("machine restarted", "machine", machine.ID, "tasks", len(machine.Attempts),
		"epoch", heartbeat.Epoch, "sequence", heartbeat.Sequence, "token", heartbeat.Token,
		"previous_epoch", machine.Epoch, "previous_sequence", machine.Sequence, "previous_token", machine.Token)
	machine.HeartbeatPosition, machine.Images = wire.HeartbeatPosition{}, cluster.ImageCache{}
	for _, attempt := range machine.Attempts {
		attempt.ResponseSequence = 0 // the response that carried the launch went to the machine before its restart
	}
	rc.drain(machine, cluster.DrainRestarted)
	machine.Restarted = true
	rc.apply(machine, heartbeat, false, now)
	rc.dispatcher.Fence(machine, heartbeat)
	rc.scaler.ScaleIn(machine, cluster.DrainRestarted)
}

// rejectRestarted rejects a heartbeat of a machine that has restarted. It fences the machine once
// more if the heartbeat shows that this did not succeed, or that the machine has restarted again.
func (rc *Reconciler) rejectRestarted(machine *cluster.Machine, heartbeat *wire.Heartbeat) HeartbeatResponse {
	if heartbeat.Token <= rc.Fencing.Token || heartbeat.HasUnfinishedTask() {
		rc.dispatcher.Fence(machine, heartbeat)
	}
	return HeartbeatResponse{Rejected: errMachineRestarted}
}

// OnFenceOutcome handles the outcome of fencing a restarted machine. Once it is fenced, no copy of a
// launch can start the attempts that it lacks, so that they are lost.
func (rc *Reconciler) OnFenceOutcome(outcome agents.FenceOutcome) {
	machine, now := outcome.Machine, time.Now()
	machine.FenceInFlight = false
	if outcome.Err != nil {
		rc.Log.Info("machine not fenced", "machine", machine.ID, "err", outcome.Err)
		return
	}
	rc.Log.Info("machine fenced", "machine", machine.ID, "token", outcome.Heartbeat.Token, "tasks", len(outcome.Heartbeat.Tasks))
	rc.apply(machine, outcome.Heartbeat, false, now)
}
