package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// defaultBootTime is the boot time of a machine type that the cloud no longer names.
	defaultBootTime = 30 * time.Second
	// A machine has failed to boot after bootLimitQuarters quarters of the boot time of
	// its type, 2.75 boot times, and bootMargin. It is not counted on after two.
	bootLimitQuarters = 11
	bootMargin        = 5 * time.Second

	// maxProbes is how often an unresponsive machine is probed.
	maxProbes = 4
)

// checkBoot scales in a machine that should have come up long ago.
func (mo *Monitor) checkBoot(machine *cluster.Machine, now time.Time) {
	bootTime := defaultBootTime
	if spec := mo.State.MachineSpec(machine.MachineType); spec != nil {
		bootTime = spec.BootTime.Duration()
	}
	limit := bootTime*bootLimitQuarters/4 + bootMargin
	if now.Sub(machine.RequestedAt) > limit && mo.Lease.Deciding() {
		mo.Scaler.ScaleIn(machine, cluster.DrainBootTimeout)
	}
}

// probeUnresponsive probes a machine whose heartbeat is overdue, but only once while it is
// behind a partition.
func (mo *Monitor) probeUnresponsive(machine *cluster.Machine, now time.Time) {
	if machine.UnansweredCommands >= maxProbes || machine.CommandInFlight {
		return
	}
	if machine.UnansweredCommands > 0 && mo.State.UnseenSincePartition(machine, now) {
		return
	}
	mo.Dispatcher.Probe(machine)
}

// drainCompleted reports whether a draining machine can be scaled in: it is empty and the
// outcomes of its tasks are stored, or an earlier leader had begun to scale it in.
func (mo *Monitor) drainCompleted(machine *cluster.Machine) bool {
	if machine.DrainReason == cluster.DrainAdoptedScaleIn {
		return true
	}
	empty := len(machine.Tasks) == 0 && len(machine.OrphanTasks) == 0
	return machine.DrainReason != "" && empty && mo.Writer.AllStored(machine.LastUsedAt, time.Now())
}
