package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

const (
	// minFailedProbes is how many probes in a row must fail before a machine counts as lost.
	// The last of them must have gone through another node.
	minFailedProbes = 2

	// A machine is unlisted after it has been missing from the cloud's machine lists for
	// unlistedListLags times the lag of these lists, plus unlistedMargin.
	unlistedListLags = 2
	unlistedMargin   = 10 * time.Second

	// reclaimDelayMargin is how long after the announced time the cloud may reclaim a machine,
	// and how late the heartbeat of a machine that still runs may be.
	reclaimDelayMargin = time.Second
)

// verdict judges whether one machine has stopped responding. It has no side effects.
type verdict struct {
	state        *cluster.State
	machine      *cluster.Machine
	counts       *machineCounts
	now          time.Time
	limits       limits
	sinceMessage time.Duration // since the last message of the machine
}

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

// probeAfter returns the time without a message after which the machine is probed. A machine
// with replicas may be probed before its heartbeat is overdue, since the replicas of a failed
// machine are down until the failure is detected.
func (v *verdict) probeAfter() time.Duration {
	if v.state.HoldsReplicas(v.machine) {
		return v.limits.replicaHostProbeAfter()
	}
	return v.limits.unresponsiveAfter()
}

// lostAfter returns the time without a message after which a machine with failed probes is
// lost. The time may be shorter for a machine with replicas, since they are down until they are
// replaced. It is not shortened when many machines with replicas are unresponsive, since the
// path to them is then the likelier fault.
func (v *verdict) lostAfter() time.Duration {
	singleFault := plausibleSingleFaults(v.counts.replicaHostsUnresponsive, v.counts.replicaHosts)
	if singleFault && v.state.HoldsReplicas(v.machine) {
		return v.limits.replicaHostLostAfter()
	}
	return v.limits.lostAfter()
}

// unresponsive reports whether the machine has been silent for long enough to be probed.
func (v *verdict) unresponsive() bool { return v.sinceMessage > v.probeAfter() }

// lost reports whether the machine is to be scaled in because it does not respond.
func (v *verdict) lost() bool {
	return (v.probesFailed() || v.longOverdue() || v.reclaimed()) && !v.scaleInWithheld()
}

// probesFailed reports whether probes from this node and through another one failed, and the
// machine has been silent for lostAfter.
func (v *verdict) probesFailed() bool {
	probed := v.machine.UnansweredCommands >= minFailedProbes && v.machine.LastRelayUnanswered
	return probed && v.sinceMessage > v.lostAfter()
}

// longOverdue reports whether the machine has been silent for so long that it is lost even if
// not all probes were tried. One failed probe is enough, or none if the address is unknown:
// a machine that an earlier leader used, that is in no list and sends nothing can't be probed.
func (v *verdict) longOverdue() bool {
	probed := v.machine.UnansweredCommands > 0 || v.machine.Addr == ""
	return probed && v.sinceMessage > v.limits.longOverdueAfter()
}

// reclaimed reports whether the cloud has probably reclaimed the machine: the time in its spot
// notice has passed and a heartbeat is missing.
func (v *verdict) reclaimed() bool {
	reclaimAt := v.machine.ReclaimAt
	noticeOver := !reclaimAt.IsZero() && v.now.After(reclaimAt.Add(reclaimDelayMargin))
	return noticeOver && v.sinceMessage > v.limits.heartbeatInterval+reclaimDelayMargin
}

// scaleInWithheld reports whether the machine must not be scaled in even if it does not respond.
func (v *verdict) scaleInWithheld() bool {
	// A machine that an earlier leader used may have sent no heartbeat to this one. Its zone is
	// then unknown until the first machine list arrives.
	if v.machine.Zone == "" && !v.state.MachineListReceived {
		return true
	}
	if v.unlisted() {
		return false
	}
	if v.counts.isolated() {
		return true
	}
	// After a partition the machines need a while to send heartbeats again.
	return v.state.ZoneRecentlyPartitioned(v.machine.Zone, v.now) && v.sinceMessage < v.limits.maxPartitionWait()
}

// unlisted reports whether the machine has been missing from the cloud's lists for longer than
// they may lag. That does not prove its end, but a machine that is only behind a partition
// would still be listed. Asking the cloud to release it costs nothing and yields the proof.
// Without this rule, when most machines vanish at once, this node counts as isolated until at
// least as many others respond, and does not ask for the release of any until then.
func (v *verdict) unlisted() bool {
	listLag := v.state.Settings.Cloud.ListLag.Duration()
	return v.state.MachineListRequestedAt.Sub(v.machine.ListedAt) > unlistedListLags*listLag+unlistedMargin
}
