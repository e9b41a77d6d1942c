package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

// checkInboundPath compares a heartbeat with the response to an earlier one, to find out
// whether messages from this node reach the machine.
func (rc *Reconciler) checkInboundPath(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) {
	evidence := detector.HeartbeatEvidence{
		KnownToken:      machine.Token,
		RecentlyRenewed: now.Sub(machine.LastResponseAt) < rc.state.Settings.Workers.Lease.Duration()/2,
		LacksLaunch:     func() bool { return machine.LacksLaunch(heartbeat) },
	}
	rc.onInboundPathChange(machine, machine.Inbound.ObserveHeartbeat(heartbeat, evidence, now))
}

// onDelivery records that a message from this node has reached the machine.
func (rc *Reconciler) onDelivery(machine *cluster.Machine) {
	rc.onInboundPathChange(machine, machine.Inbound.RecordDelivery())
}

func (rc *Reconciler) onInboundPathChange(machine *cluster.Machine, change detector.PathChange) {
	switch change {
	case detector.PathLost:
		rc.Log.Info("inbound path lost", "machine", machine.ID, "tasks", len(machine.Attempts))
	case detector.PathRestored:
		rc.Log.Info("inbound path restored", "machine", machine.ID)
		rc.state.RequestCycle()
	}
}
