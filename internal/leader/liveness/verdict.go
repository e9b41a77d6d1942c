package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// minFailedProbes is how many probes must have failed for a machine to be lost by
	// them, the last of them through another node.
	minFailedProbes = 2

	// listLags and unlistedMargin are for how long the lists of the cloud must have lacked
	// a machine: twice what they may lag, and a margin.
	listLags       = 2
	unlistedMargin = 10 * time.Second

	// reclaimedMargin is how late the cloud may reclaim a machine, and how late the
	// heartbeat of one that is still there may be.
	reclaimedMargin = time.Second
)

// verdict judges one machine that may have stopped responding. It acts on nothing.
type verdict struct {
	state        *cluster.State
	machine      *cluster.Machine
	counts       *machineCounts
	now          time.Time
	limits       limits
	sinceMessage time.Duration // since the last message of the machine
}

// verdictOn returns the verdict on a machine.
func (mo *Monitor) verdictOn(machine *cluster.Machine, counts *machineCounts, now time.Time) *verdict {
	return &verdict{
		state:        mo.State,
		machine:      machine,
		counts:       counts,
		now:          now,
		limits:       mo.limits(),
		sinceMessage: mo.State.SinceLastMessage(machine, now),
	}
}

// probeAfter returns after how long without a message the machine is probed. One with
// replicas is not left alone for as long as heartbeats may take: the replicas of a machine
// that has stopped are down until that is known.
func (v *verdict) probeAfter() time.Duration {
	if v.state.HoldsReplicas(v.machine) {
		return v.limits.replicaHostProbeAfter()
	}
	return v.limits.unresponsiveAfter()
}

// lostAfter returns after how long without a message, and with failed probes, the machine
// is lost: sooner with replicas, as they are down meanwhile. When many machines with
// replicas are unresponsive it is rather the path to them.
func (v *verdict) lostAfter() time.Duration {
	singleFault := plausibleSingleFaults(v.counts.replicaHostsUnresponsive, v.counts.replicaHosts)
	if singleFault && v.state.HoldsReplicas(v.machine) {
		return v.limits.replicaHostLostAfter()
	}
	return v.limits.lostAfter()
}

// unresponsive reports whether the machine's heartbeat is overdue.
func (v *verdict) unresponsive() bool { return v.sinceMessage > v.probeAfter() }

// lost reports whether the machine is to be scaled in as it does not respond.
func (v *verdict) lost() bool {
	return (v.probesFailed() || v.longOverdue() || v.reclaimed()) && !v.kept()
}

// probesFailed reports whether the machine has answered neither this node nor another one
// for long enough.
func (v *verdict) probesFailed() bool {
	probed := v.machine.UnansweredCommands >= minFailedProbes && v.machine.RelayUnanswered
	return probed && v.sinceMessage > v.lostAfter()
}

// longOverdue reports whether the machine is lost even if not all probes of it were tried.
// A machine that an earlier leader used, that is in no list and sends nothing has no
// address to probe; it is as lost as one that was probed.
func (v *verdict) longOverdue() bool {
	probed := v.machine.UnansweredCommands > 0 || v.machine.Addr == ""
	return probed && v.sinceMessage > v.limits.overdueAfter()
}

// reclaimed reports whether the cloud has reclaimed the machine, by its spot notice: the
// time of the notice is over and a heartbeat is missing.
func (v *verdict) reclaimed() bool {
	reclaimAt := v.machine.ReclaimAt
	noticeOver := !reclaimAt.IsZero() && v.now.After(reclaimAt.Add(reclaimedMargin))
	return noticeOver && v.sinceMessage > v.limits.heartbeatInterval+reclaimedMargin
}

// kept reports whether the machine is not scaled in although it does not respond.
func (v *verdict) kept() bool {
	// Before the first list nothing is known of a machine that an earlier leader used and
	// that has sent no heartbeat, not even its zone.
	if v.machine.Zone == "" && !v.state.MachineListReceived {
		return true
	}
	if v.unlisted() {
		return false
	}
	if v.counts.isolated() {
		return true
	}
	// When a partition is over the machines need a while to send heartbeats again.
	return v.state.ZoneRecentlyPartitioned(v.machine.Zone, v.now) && v.sinceMessage < v.limits.partitionOutlastedAfter()
}

// unlisted reports whether the cloud's lists have lacked the machine for longer than they
// may lag. That is no proof of its end, but there is no partition behind which it is alive
// and must be kept: asking the cloud to release it costs nothing and brings the proof.
// (When most machines had vanished at once it looked as if this node were isolated for as
// long as no more were added than that, and the release of none of them was ever asked
// for.)
func (v *verdict) unlisted() bool {
	listLag := v.state.Settings.Cloud.ListLag.Duration()
	return v.state.MachineListRequestedAt.Sub(v.machine.ListedAt) > listLags*listLag+unlistedMargin
}
