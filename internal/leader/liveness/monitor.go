package liveness

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/peer"
)

// Monitor decides which machines are alive and whose leases have expired, and acts on it.
// It is used by the goroutine of the term's loop alone.
type Monitor struct {
	*core.Loop
	State      *cluster.State
	Mesh       *peer.Mesh
	Peers      []config.Peer
	Writer     *progress.Writer
	Dispatcher *agents.Dispatcher
	Scaler     *autoscaler.Scaler
}

// forgetRemovedAfter is for how long late copies of the heartbeats of a removed machine are
// told apart from heartbeats of a new one.
const forgetRemovedAfter = 10 * time.Minute

// CheckMachines checks all machines: those that are unresponsive, late to boot, or empty
// and draining.
func (mo *Monitor) CheckMachines(now time.Time) {
	mo.forgetRemovedMachines(now)
	counts := mo.CountMachines(now)
	mo.Metrics.Machines(mo.State.LifecycleCounts())
	if node, ok := mo.betterConnectedPeer(counts, now); ok {
		mo.Resign("workers reach " + string(node) + ", not this node")
		return
	}
	mo.State.DelegatesRenewedUntil = mo.anyDelegateAnswersUntil(now)
	if !counts.isolated() {
		mo.judgePartitions(counts, now)
	}
	for _, machine := range mo.State.Machines {
		mo.checkReplicas(machine, counts, now)
		mo.CheckMachine(machine, counts, now)
		if plausibleSingleFaults(counts.inboundLost, counts.up) {
			mo.checkInboundPath(machine, now)
		}
		mo.checkOutboundPath(machine, now, plausibleSingleFaults(counts.outboundLost, counts.up))
	}
	mo.scaleInUncancellable(now)
}

func (mo *Monitor) forgetRemovedMachines(now time.Time) {
	for id, removedAt := range mo.State.RemovedMachines {
		if now.Sub(removedAt) > forgetRemovedAfter {
			delete(mo.State.RemovedMachines, id)
		}
	}
}

// CheckMachine checks one machine: its boot, whether it responds, its lease, and the
// commands that have had no effect yet.
func (mo *Monitor) CheckMachine(machine *cluster.Machine, counts *machineCounts, now time.Time) {
	switch {
	case machine.ScalingIn:
		mo.ExpireLease(machine, now)
		return
	case machine.Booting:
		mo.checkBoot(machine, now)
		return
	case !mo.State.RecordsRead:
		return
	}
	mo.repeatStops(machine, now)
	if !mo.Lease.Deciding() {
		if mo.Lease.MayAnswerHeartbeats() {
			mo.checkpointBeforeReclaim(machine, now)
		}
		return
	}
	if machine.FailedInCloud {
		mo.Scaler.ScaleIn(machine, cluster.DrainFailedInCloud)
		return
	}
	verdict := mo.verdictOn(machine, counts, now)
	if verdict.unresponsive() {
		mo.probeUnresponsive(machine, now)
	}
	if verdict.lost() {
		mo.Scaler.ScaleIn(machine, cluster.DrainUnresponsive)
		return
	}
	mo.ExpireLease(machine, now)
	if mo.drainCompleted(machine) {
		mo.Scaler.ScaleIn(machine, machine.DrainReason)
		return
	}
	mo.checkTasks(machine, now)
}

// checkTasks stops what runs on a machine that the cloud reclaims, and ends launches that
// may still be on their way to a machine that takes nothing new.
func (mo *Monitor) checkTasks(machine *cluster.Machine, now time.Time) {
	mo.checkpointBeforeReclaim(machine, now)
	for _, attempt := range machine.Tasks {
		if attempt.Unstored {
			continue
		}
		mo.stopReplicaBeforeReclaim(attempt)
		if launchMustEnd(attempt, now) {
			mo.Fencing.RaiseRequested = true
		}
	}
}
