package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// defaultBootTime is used for a machine type that the cloud no longer lists.
	defaultBootTime = 30 * time.Second
	// A machine has failed to boot after bootLimitQuarters quarters of its type's boot time
	// (2.75 boot times) plus bootMargin. The capacity planner already stops counting on it after
	// two boot times.
	bootLimitQuarters = 11
	bootMargin        = 5 * time.Second

	// maxUnansweredCommands is the number of unanswered commands, probes included, after which
	// an unresponsive machine is not probed again.
	maxUnansweredCommands = 4
)

// checkBoot scales in a machine that has failed to boot in time.
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

// probeUnresponsive probes a machine whose heartbeat is overdue, unless a command is under way
// or maxUnansweredCommands are unanswered. A machine that has sent nothing since its zone was
// partitioned is not probed again after one unanswered command.
func (mo *Monitor) probeUnresponsive(machine *cluster.Machine, now time.Time) {
	if machine.UnansweredCommands >= maxUnansweredCommands || machine.CommandInFlight {
		return
	}
	if machine.UnansweredCommands > 0 && mo.State.UnseenSincePartition(machine, now) {
		return
	}
	mo.Dispatcher.Probe(machine)
}

// drainCompleted reports whether a draining machine can be scaled in: it runs no tasks and
// the outcomes of those it ran are stored, or an earlier leader had already begun to scale it in.
func (mo *Monitor) drainCompleted(machine *cluster.Machine) bool {
	if machine.DrainReason == cluster.DrainAdoptedScaleIn {
		return true
	}
	empty := len(machine.Attempts) == 0 && len(machine.OrphanTasks) == 0
	return machine.DrainReason != "" && empty && mo.Writer.AllStored(machine.LastUsedAt, time.Now())
}
