package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

// checkInbound compares a heartbeat with what the machine was sent in the answer to an
// earlier one.
func (rc *Reconciler) checkInbound(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) {
	evidence := detector.Evidence{
		KnownToken:      machine.Token,
		RecentlyRenewed: now.Sub(machine.LastReplyAt) < rc.state.Settings.Workers.Lease.Duration()/2,
		MissesLaunch:    func() bool { return machine.MissesLaunch(heartbeat) },
	}
	rc.onInboundChange(machine, machine.Inbound.ObserveHeartbeat(heartbeat, evidence, now))
}

// onReceived records that something sent by this node has reached the machine.
func (rc *Reconciler) onReceived(machine *cluster.Machine) {
	rc.onInboundChange(machine, machine.Inbound.RecordDelivery())
}

func (rc *Reconciler) onInboundChange(machine *cluster.Machine, change detector.Change) {
	switch change {
	case detector.Lost:
		rc.Log.Info("inbound path lost", "machine", machine.ID, "tasks", len(machine.Tasks))
	case detector.Restored:
		rc.Log.Info("inbound path restored", "machine", machine.ID)
		rc.state.RequestCycle()
	}
}
