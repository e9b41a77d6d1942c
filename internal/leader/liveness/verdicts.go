package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// maxProbes is how often an unresponsive machine is probed.
	maxProbes = 4
	// minFailedProbes is how many probes must have failed for a machine to be lost by
	// them, the last of them through another node.
	minFailedProbes = 2

	// defaultBootTime is the boot time of a machine type that the cloud no longer names.
	defaultBootTime = 30 * time.Second
	// A machine has failed to boot after bootLimitQuarters quarters of the boot time of
	// its type, 2.75 boot times, and bootMargin. It is not counted on after two.
	bootLimitQuarters = 11
	bootMargin        = 5 * time.Second

	// listLags and unlistedMargin are for how long the lists of the cloud must have lacked
	// a machine: twice what they may lag, and a margin.
	listLags       = 2
	unlistedMargin = 10 * time.Second

	// reclaimedMargin is how late the cloud may reclaim a machine, and how late the
	// heartbeat of one that is still there may be.
	reclaimedMargin = time.Second
)

// checkBoot scales in a machine that should have come up long ago.
func (mo *Monitor) checkBoot(machine *cluster.Machine, now time.Time) {
	bootTime := defaultBootTime
	if spec := mo.State.MachineSpec(machine.MachineType); spec != nil {
		bootTime = spec.BootTime.Duration()
	}
	limit := bootTime*bootLimitQuarters/4 + bootMargin
	if now.Sub(machine.RequestedAt) > limit && mo.Lease.Deciding() {
		mo.Scaler.ScaleIn(machine, cluster.DrainNeverUp)
	}
}

// probeUnresponsive probes a machine whose heartbeat is overdue.
func (mo *Monitor) probeUnresponsive(machine *cluster.Machine, counts *machineCounts, now time.Time) {
	probeAfter, _ := mo.unresponsiveLimits(machine, counts)
	overdue := mo.State.SinceLastMessage(machine, now) > probeAfter
	if !overdue || machine.UnansweredProbes >= maxProbes || machine.CommandInFlight {
		return
	}
	if machine.UnansweredProbes > 0 && mo.State.BehindPartition(machine, now) {
		return
	}
	mo.Dispatcher.Probe(machine)
}

// machineLost reports whether an unresponsive machine is to be scaled in.
func (mo *Monitor) machineLost(machine *cluster.Machine, counts *machineCounts, now time.Time) bool {
	sinceMessage := mo.State.SinceLastMessage(machine, now)
	_, lostAfter := mo.unresponsiveLimits(machine, counts)
	probesFailed := sinceMessage > lostAfter && machine.UnansweredProbes >= minFailedProbes && machine.RelayUnanswered
	lost := probesFailed || mo.longOverdue(machine, sinceMessage) || mo.reclaimed(machine, sinceMessage, now)
	return lost && !mo.keptThoughUnresponsive(machine, counts, now)
}

// longOverdue reports whether a machine without a message for so long is lost even if not
// all probes of it were tried. A machine that an earlier leader used, that is in no list
// and sends nothing has no address to probe; it is as lost as one that was probed.
func (mo *Monitor) longOverdue(machine *cluster.Machine, sinceMessage time.Duration) bool {
	probed := machine.UnansweredProbes > 0 || machine.Addr == ""
	return probed && sinceMessage > mo.overdueAfter()
}

// reclaimed reports whether the cloud has reclaimed a machine, by its spot notice: the time
// of the notice is over and a heartbeat is missing.
func (mo *Monitor) reclaimed(machine *cluster.Machine, sinceMessage time.Duration, now time.Time) bool {
	noticeOver := !machine.ReclaimAt.IsZero() && now.After(machine.ReclaimAt.Add(reclaimedMargin))
	return noticeOver && sinceMessage > mo.State.HeartbeatInterval()+reclaimedMargin
}

// keptThoughUnresponsive reports whether a machine is not scaled in although it is
// unresponsive.
func (mo *Monitor) keptThoughUnresponsive(machine *cluster.Machine, counts *machineCounts, now time.Time) bool {
	// Before the first list nothing is known of a machine that an earlier leader used and
	// that has sent no heartbeat, not even its zone.
	if machine.Zone == "" && !mo.State.MachineListReceived {
		return true
	}
	if mo.unlisted(machine) {
		return false
	}
	if counts.isolated() {
		return true
	}
	// When a partition is over the machines need a while to send heartbeats again.
	return mo.State.LatelyPartitioned(machine.Zone, now) && mo.State.SinceLastMessage(machine, now) < mo.partitionOutlastedAfter()
}

// unlisted reports whether the cloud's lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no partition behind which it is alive and
// must be kept: asking the cloud to release it costs nothing and brings the proof. (When
// most machines had vanished at once it looked as if this node were isolated for as long as
// no more were added than that, and the release of none of them was ever asked for.)
func (mo *Monitor) unlisted(machine *cluster.Machine) bool {
	listLag := mo.State.Settings.Cloud.ListLag.Duration()
	return mo.State.MachineListRequestedAt.Sub(machine.ListedAt) > listLags*listLag+unlistedMargin
}
