package liveness

import (
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
)

const (
	// maxHeartbeatGapQuarters: agents send a heartbeat every interval, give or take a
	// quarter, so that two are at most five quarters of it apart.
	maxHeartbeatGapQuarters = 5
	// heartbeatDelay is for how long a heartbeat may be on its way.
	heartbeatDelay = 600 * time.Millisecond
	// replicaHostProbeAfter is after how long without a message a machine with replicas
	// is probed, where heartbeats come more rarely than that.
	replicaHostProbeAfter = 4 * time.Second

	// overdueQuarters and overdueMargin are the time without a message, three intervals
	// and the quarter by which a heartbeat may be late, and two seconds for what is on its
	// way, after which a machine is lost even if not all probes of it were tried.
	overdueQuarters = 13
	overdueMargin   = 2 * time.Second

	// expiredLeaseQuarters is after how many quarters of a lease from a machine's last
	// heartbeat its lease must have expired, by any delay.
	expiredLeaseQuarters = 5
	// A partition is outlasted after outlastedLeaseHalves halves of a lease and
	// outlastedCancelTimeouts times the time for cancellations: every lease behind it has
	// expired long ago, and the machines have had time to send heartbeats again if it is
	// over.
	outlastedLeaseHalves    = 5
	outlastedCancelTimeouts = 2
)

// maxHeartbeatGap returns the longest time between two heartbeats of a machine.
func (mo *Monitor) maxHeartbeatGap() time.Duration {
	return mo.State.HeartbeatInterval() * maxHeartbeatGapQuarters / 4
}

// unresponsiveAfter returns after how long without a message a machine is probed.
func (mo *Monitor) unresponsiveAfter() time.Duration { return mo.maxHeartbeatGap() + heartbeatDelay }

// lostAfter returns after how long without a message a machine is lost: when two probes
// had the time to fail.
func (mo *Monitor) lostAfter() time.Duration { return mo.unresponsiveAfter() + 2*agents.ProbeTimeout }

// overdueAfter returns after how long without a message a machine is lost whatever was
// probed.
func (mo *Monitor) overdueAfter() time.Duration {
	return mo.State.HeartbeatInterval()*overdueQuarters/4 + overdueMargin
}

// leaseExpiredAfter returns after how long without a heartbeat the lease of a machine must
// have expired.
func (mo *Monitor) leaseExpiredAfter() time.Duration {
	return mo.State.Settings.Workers.Lease.Duration() * expiredLeaseQuarters / 4
}

// partitionOutlastedAfter returns after how long without a message machines are no longer
// kept because they may be behind a partition that ends.
func (mo *Monitor) partitionOutlastedAfter() time.Duration {
	workers := &mo.State.Settings.Workers
	return max(workers.Lease.Duration()*outlastedLeaseHalves/2, workers.CancelTimeout.Duration()*outlastedCancelTimeouts)
}

// unresponsiveLimits returns after how long without a message a machine is probed, and
// after how long it is lost. A machine with replicas is not left alone for as long as
// heartbeats may take: the replicas of one that has stopped are down until that is known.
// When many such machines are unresponsive it is rather the path to them.
func (mo *Monitor) unresponsiveLimits(machine *cluster.Machine, counts *machineCounts) (probeAfter, lostAfter time.Duration) {
	probeAfter, lostAfter = mo.unresponsiveAfter(), mo.lostAfter()
	if !mo.State.HoldsReplicas(machine) {
		return probeAfter, lostAfter
	}
	probeAfter = min(probeAfter, replicaHostProbeAfter)
	if plausibleSingleFaults(counts.replicaHostsUnresponsive, counts.replicaHosts) {
		lostAfter = min(lostAfter, probeAfter+3*agents.ProbeTimeout)
	}
	return probeAfter, lostAfter
}
