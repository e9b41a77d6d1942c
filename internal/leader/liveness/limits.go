package liveness

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
)

const (
	// maxHeartbeatGapQuarters: agents send a heartbeat every interval, give or take a
	// quarter, so that two are at most five quarters of it apart.
	maxHeartbeatGapQuarters = 5
	// heartbeatDelay is for how long a heartbeat may be on its way.
	heartbeatDelay = 600 * time.Millisecond
	// maxReplicaHostWait is after how long without a message a machine with replicas is
	// probed, where heartbeats come more rarely than that.
	maxReplicaHostWait = 4 * time.Second

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

// limits are the times after which a machine is judged, as they follow from the settings.
type limits struct {
	heartbeatInterval time.Duration
	lease             time.Duration
	cancelTimeout     time.Duration
}

func limitsOf(workers *config.Workers) limits {
	return limits{
		heartbeatInterval: workers.HeartbeatInterval.Duration(),
		lease:             workers.Lease.Duration(),
		cancelTimeout:     workers.CancelTimeout.Duration(),
	}
}

// limits returns the limits of the present settings.
func (mo *Monitor) limits() limits { return limitsOf(&mo.State.Settings.Workers) }

// maxHeartbeatGap returns the longest time between two heartbeats of a machine.
func (l limits) maxHeartbeatGap() time.Duration {
	return l.heartbeatInterval * maxHeartbeatGapQuarters / 4
}

// unresponsiveAfter returns after how long without a message a machine is probed.
func (l limits) unresponsiveAfter() time.Duration { return l.maxHeartbeatGap() + heartbeatDelay }

// lostAfter returns after how long without a message a machine is lost: when two probes
// had the time to fail.
func (l limits) lostAfter() time.Duration { return l.unresponsiveAfter() + 2*agents.ProbeTimeout }

// overdueAfter returns after how long without a message a machine is lost even if not all
// probes of it were tried.
func (l limits) overdueAfter() time.Duration {
	return l.heartbeatInterval*overdueQuarters/4 + overdueMargin
}

// replicaHostProbeAfter returns after how long without a message a machine with replicas is
// probed.
func (l limits) replicaHostProbeAfter() time.Duration {
	return min(l.unresponsiveAfter(), maxReplicaHostWait)
}

// replicaHostLostAfter returns after how long without a message a machine with replicas is
// lost, if it may be faulty by itself: when three probes had the time to fail.
func (l limits) replicaHostLostAfter() time.Duration {
	return min(l.lostAfter(), l.replicaHostProbeAfter()+3*agents.ProbeTimeout)
}

// leaseExpiredAfter returns after how long without a heartbeat the lease of a machine must
// have expired.
func (l limits) leaseExpiredAfter() time.Duration { return l.lease * expiredLeaseQuarters / 4 }

// partitionOutlastedAfter returns after how long without a message machines are no longer
// kept because they may be behind a partition that ends.
func (l limits) partitionOutlastedAfter() time.Duration {
	return max(l.lease*outlastedLeaseHalves/2, l.cancelTimeout*outlastedCancelTimeouts)
}
