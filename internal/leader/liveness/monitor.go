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
// Only the goroutine of the term's loop may use it.
type Monitor struct {
	*core.Loop
	State      *cluster.State
	Mesh       *peer.Mesh
	Peers      []config.Peer
	Writer     *progress.Writer
	Dispatcher *agents.Dispatcher
	Scaler     *autoscaler.Scaler
}

// removedMachineRetention is how long a removed machine is remembered, so that late copies of
// its heartbeats are not mistaken for heartbeats of a new machine.
const removedMachineRetention = 10 * time.Minute

// CheckMachines checks every machine's boot, responsiveness, lease, drain and tasks, and the
// network between the machines and this node. If another controller is better connected, it
// makes this leader resign instead.
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
		if plausibleSingleFaults(counts.inboundPathLost, counts.up) {
			mo.checkInboundPath(machine, now)
		}
		mo.checkOutboundPath(machine, now, plausibleSingleFaults(counts.outboundPathLost, counts.up))
	}
	mo.scaleInUncancellable(now)
}

func (mo *Monitor) forgetRemovedMachines(now time.Time) {
	for id, removedAt := range mo.State.RemovedMachines {
		if now.Sub(removedAt) > removedMachineRetention {
			delete(mo.State.RemovedMachines, id)
		}
	}
}

// CheckMachine checks one machine: its boot, whether it responds, its lease and drain, and the
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
	if machine.Restarted { // recognised without the key-value store
		mo.Scaler.ScaleIn(machine, cluster.DrainRestarted)
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

// checkTasks stops the tasks on a machine that the cloud is about to reclaim. It requests a
// higher token if a launch that must no longer take effect may still arrive.
func (mo *Monitor) checkTasks(machine *cluster.Machine, now time.Time) {
	mo.checkpointBeforeReclaim(machine, now)
	for _, attempt := range machine.Attempts {
		if attempt.Unstored {
			continue
		}
		mo.stopReplicaBeforeReclaim(attempt)
		if launchMustBeFenced(attempt, now) {
			mo.Fencing.RaiseRequested = true
		}
	}
}
