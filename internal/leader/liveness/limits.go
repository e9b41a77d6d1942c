package liveness

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
)

const (
	// maxHeartbeatGapQuarters is the longest time between two heartbeats, in quarters of the
	// heartbeat interval: agents vary the interval by up to a quarter.
	maxHeartbeatGapQuarters = 5
	// heartbeatDelay is the longest time that a heartbeat takes to arrive.
	heartbeatDelay = 600 * time.Millisecond
	// maxReplicaHostProbeDelay is the time without a message after which a machine with
	// replicas is probed, even if its next heartbeat is due later.
	maxReplicaHostProbeDelay = 4 * time.Second

	// A machine is lost, even if not all probes were tried, once it has sent no message for
	// longOverdueQuarters quarters of the heartbeat interval plus longOverdueMargin. The
	// quarters are three intervals and the quarter by which a heartbeat may be late. The margin
	// is for messages under way.
	longOverdueQuarters = 13
	longOverdueMargin   = 2 * time.Second

	// expiredLeaseQuarters is the time after a machine's last heartbeat, in quarters of the
	// lease, by which its lease must have expired despite any delay.
	expiredLeaseQuarters = 5
	// A machine that may be behind a partition is not scaled in before it has sent no message for
	// the longer of partitionWaitLeaseHalves halves of a lease and partitionWaitCancelTimeouts
	// cancellation timeouts. By then every lease behind the partition has long expired. If the
	// partition is over, the machines have had time to send heartbeats again.
	partitionWaitLeaseHalves    = 5
	partitionWaitCancelTimeouts = 2
)

// limits derives from the settings the times after which a machine is judged.
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

// limits returns the limits that follow from the current settings.
func (mo *Monitor) limits() limits { return limitsOf(&mo.State.Settings.Workers) }

// maxHeartbeatGap returns the longest time between sending two heartbeats.
func (l limits) maxHeartbeatGap() time.Duration {
	return l.heartbeatInterval * maxHeartbeatGapQuarters / 4
}

// unresponsiveAfter returns the time without a message after which a machine's heartbeat is
// overdue and the machine is probed.
func (l limits) unresponsiveAfter() time.Duration { return l.maxHeartbeatGap() + heartbeatDelay }

// lostAfter returns the time without a message after which a machine with failed probes is
// lost. It leaves time for two probes to fail.
func (l limits) lostAfter() time.Duration { return l.unresponsiveAfter() + 2*agents.ProbeTimeout }

// longOverdueAfter returns the time without a message after which a machine is lost even if
// not all probes of it were tried.
func (l limits) longOverdueAfter() time.Duration {
	return l.heartbeatInterval*longOverdueQuarters/4 + longOverdueMargin
}

// replicaHostProbeAfter returns the time without a message after which a machine with replicas
// is probed.
func (l limits) replicaHostProbeAfter() time.Duration {
	return min(l.unresponsiveAfter(), maxReplicaHostProbeDelay)
}

// replicaHostLostAfter returns the time without a message after which a machine with replicas
// and failed probes is lost, unless many such machines are unresponsive. It leaves time for
// three probes to fail, or for two where lostAfter is shorter.
func (l limits) replicaHostLostAfter() time.Duration {
	return min(l.lostAfter(), l.replicaHostProbeAfter()+3*agents.ProbeTimeout)
}

// leaseExpiredAfter returns the time without a heartbeat after which a machine's lease must
// have expired.
func (l limits) leaseExpiredAfter() time.Duration { return l.lease * expiredLeaseQuarters / 4 }

// maxPartitionWait returns the time without a message after which a machine is scaled in even
// if it may be behind a partition.
func (l limits) maxPartitionWait() time.Duration {
	return max(l.lease*partitionWaitLeaseHalves/2, l.cancelTimeout*partitionWaitCancelTimeouts)
}
