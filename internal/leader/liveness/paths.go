package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// inboundProbeInterval is how often a machine that seems to receive nothing is probed.
const inboundProbeInterval = 2 * time.Second

// checkInboundPath scales in a machine that sends heartbeats but receives nothing: soon
// when something on it waits for a proof that it can't give, else when its lease must have
// expired. When many seem so it is rather this node that is slow.
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
	proofOverdue := lostFor > mo.State.HeartbeatInterval()/2+inboundProbeInterval && machine.Inbound.CommandsFail()
	leaseExpired := lostFor > mo.State.Settings.Workers.Lease.Duration()
	if leaseExpired || proofOverdue && awaitsProof(machine) {
		mo.Scaler.ScaleIn(machine, cluster.DrainInboundConnectivityLost)
	}
}

// awaitsProof reports whether an attempt on the machine can't be accounted for until the
// machine receives something: its launch, or its stop.
func awaitsProof(machine *cluster.Machine) bool {
	for _, attempt := range machine.Tasks {
		if !attempt.Unstored && (!attempt.SeenInHeartbeat || attempt.Stopping) {
			return true
		}
	}
	return false
}

// checkOutboundPath scales in a machine whose heartbeats are lost: when its lease must have
// expired, so that nothing is lost by it, if it may be faulty by itself, or much later when
// such machines are many. Then it is rather the path from them, which will be back.
func (mo *Monitor) checkOutboundPath(machine *cluster.Machine, now time.Time, singleFault bool) {
	if machine.ScalingIn || !mo.State.RecordsRead {
		return
	}
	missingFor := mo.State.HeartbeatsMissingFor(machine, now)
	if missingFor <= mo.limits().leaseExpiredAfter() {
		return
	}
	if singleFault || missingFor > mo.limits().partitionOutlastedAfter() {
		mo.Scaler.ScaleIn(machine, cluster.DrainOutboundConnectivityLost)
	}
}
