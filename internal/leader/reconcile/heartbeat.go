package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Reconcile updates the state by a heartbeat, or by the response to a direct command, which has
// the same form. sentByAgent is true for a heartbeat that the agent sent by itself. Reconcile
// does nothing and returns false if the heartbeat is not newer than the last known one, or if the
// machine is marked as restarted.
func (rc *Reconciler) Reconcile(machine *cluster.Machine, heartbeat *wire.Heartbeat, sentByAgent bool, now time.Time) bool {
	if !machine.Precedes(heartbeat) || machine.Restarted {
		return false
	}
	rc.apply(machine, heartbeat, sentByAgent, now)
	return true
}

// apply updates the state by a heartbeat that is newer than the last known one.
func (rc *Reconciler) apply(machine *cluster.Machine, heartbeat *wire.Heartbeat, sentByAgent bool, now time.Time) {
	rc.state.ZoneDetector.RecordMessage(heartbeat.Zone, sentByAgent, now)
	if machine.FirstHeartbeatAt.IsZero() {
		machine.FirstHeartbeatAt = now
		rc.onMachineJoined(machine, now)
		rc.state.RequestCycle()
	}
	rc.updateMachine(machine, heartbeat, now)
	recordHeartbeatGap(machine, sentByAgent, now)
	rc.updateSpotNotice(machine, heartbeat, now)
	listed := make(map[wire.TaskID]bool, len(heartbeat.Tasks)) // allocated here, so that it does not escape to the heap
	rc.reconcileTasks(machine, heartbeat, listed, now)
	for task, attempt := range machine.Attempts {
		if listed[task] || attempt.Unstored {
			continue
		}
		if !rc.state.LaunchMayTakeEffect(attempt, heartbeat, sentByAgent) {
			rc.onMissingAttempt(attempt, heartbeat)
		}
	}
}

// recordHeartbeatGap records since when a machine has only answered direct commands, and sent
// no heartbeat by itself.
func recordHeartbeatGap(machine *cluster.Machine, sentByAgent bool, now time.Time) {
	if sentByAgent {
		machine.HeartbeatsMissingSince = time.Time{}
	} else if machine.HeartbeatsMissingSince.IsZero() {
		machine.HeartbeatsMissingSince = now
	}
}

// onMachineJoined handles the first heartbeat of a machine in this term.
func (rc *Reconciler) onMachineJoined(machine *cluster.Machine, now time.Time) {
	if !machine.Booting {
		return
	}
	rc.Log.Info("machine joined", "machine", machine.ID, "type", machine.MachineType, "zone", machine.Zone,
		"spot", machine.Spot, "duration", now.Sub(machine.RequestedAt))
	machine.LastUsedAt = now
}

// updateMachine records what a heartbeat says about the machine itself.
func (rc *Reconciler) updateMachine(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) {
	epochBegan := heartbeat.Epoch > machine.Epoch
	if epochBegan {
		// The images of the machine are kept: they survive the expiry of a lease. A restart,
		// which loses them, begins with the first epoch again.
		machine.EpochSince = now
	}
	machine.Addr, machine.MachineType = heartbeat.Addr, heartbeat.Type
	machine.Zone, machine.Spot = heartbeat.Zone, heartbeat.Spot
	machine.Epoch, machine.Sequence = heartbeat.Epoch, heartbeat.Sequence
	machine.LastMessageAt, machine.Booting, machine.UnansweredCommands = now, false, 0
	if machine.Token < rc.state.FirstToken && heartbeat.Token >= rc.state.FirstToken {
		machine.TokenSeenAt = now
	}
	if heartbeat.Token > rc.Fencing.Token && !machine.Restarted {
		rc.dispatcher.AwaitHigherToken(machine)
	}
	if heartbeat.Token > machine.Token || epochBegan {
		machine.Token = max(machine.Token, heartbeat.Token)
		machine.DropRefusedLaunches()
	}
}

// updateSpotNotice records when the cloud will reclaim the machine, if the heartbeat carries a
// spot notice.
func (rc *Reconciler) updateSpotNotice(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) {
	if heartbeat.SpotNotice == nil {
		return
	}
	remaining := heartbeat.SpotNotice.Duration()
	if machine.ReclaimAt.IsZero() {
		rc.Log.Info("spot notice received", "machine", machine.ID, "remaining", remaining, "tasks", len(machine.Attempts))
		rc.drain(machine, cluster.DrainSpotNotice)
	}
	machine.ReclaimAt = now.Add(remaining)
}
