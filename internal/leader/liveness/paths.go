package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// inboundProbeInterval is the time between probes of a machine that seems to receive nothing.
const inboundProbeInterval = 2 * time.Second

// checkInboundPath probes a machine that sends heartbeats but seems to receive nothing, and
// scales it in if that lasts: early if commands to it fail and it can't confirm a launch or a
// stop, otherwise when its lease must have expired.
//
// The caller skips this check when many machines seem to receive nothing, since a slow
// leader is then the likelier fault.
func (mo *Monitor) checkInboundPath(machine *cluster.Machine, now time.Time) {
	if machine.Inbound.Works() || machine.ScalingIn {
		return
	}
	if !mo.Lease.Deciding() || !mo.State.RecordsRead {
		return
	}
	if now.Sub(machine.LastVerifiedAt) > inboundProbeInterval {
		machine.LastVerifiedAt = now
		mo.Dispatcher.Probe(machine)
	}
	lostFor := machine.Inbound.LostFor(now)
	confirmationOverdue := lostFor > mo.State.HeartbeatInterval()/2+inboundProbeInterval && machine.Inbound.CommandUnanswered()
	leaseExpired := lostFor > mo.State.Settings.Workers.Lease.Duration()
	if leaseExpired || confirmationOverdue && hasUnconfirmedTask(machine) {
		mo.Scaler.ScaleIn(machine, cluster.DrainInboundConnectivityLost)
	}
}

// hasUnconfirmedTask reports whether no heartbeat has shown yet that an attempt on the machine
// was launched, or that it was stopped. A machine that receives nothing can't confirm either.
func hasUnconfirmedTask(machine *cluster.Machine) bool {
	for _, attempt := range machine.Attempts {
		if !attempt.Unstored && (!attempt.SeenInHeartbeat || attempt.Stopping) {
			return true
		}
	}
	return false
}

// checkOutboundPath scales in a machine that answers commands but whose heartbeats don't
// arrive. It waits until the lease must have expired, so that no running task is lost by it.
// If singleFault is false there are many such machines: the path from them is then the
// likelier fault and is expected back, so the wait is much longer.
func (mo *Monitor) checkOutboundPath(machine *cluster.Machine, now time.Time, singleFault bool) {
	if machine.ScalingIn || !mo.State.RecordsRead {
		return
	}
	missingFor := mo.State.HeartbeatsMissingFor(machine, now)
	if missingFor <= mo.limits().leaseExpiredAfter() {
		return
	}
	if singleFault || missingFor > mo.limits().maxPartitionWait() {
		mo.Scaler.ScaleIn(machine, cluster.DrainOutboundConnectivityLost)
	}
}
