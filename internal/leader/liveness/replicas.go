package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// leaseEndingPercent is the share of a lease after which the lease of a machine behind a
// partition counts as about to end.
const leaseEndingPercent = 95

// checkReplicas scales in a machine in a partitioned zone if its lease is about to end and one of
// its replicas can be started elsewhere. The replicas stop when the lease ends, but this node
// can't observe when that is. Scaling in the machine makes their end certain. If the cloud can't
// be reached either, the replicas are replaced after the lease has expired.
func (mo *Monitor) checkReplicas(machine *cluster.Machine, counts *machineCounts, now time.Time) {
	if !mo.State.ZonePartitioned(machine.Zone, now) || counts.isolated() {
		return
	}
	if mo.leaseEnding(machine, now) && mo.replicasMovable(machine, now) {
		mo.Scaler.ScaleIn(machine, cluster.DrainLeaseExpiring)
	}
}

// leaseEnding reports whether the lease of a machine behind a partition is about to end. A
// delegate in the zone may have renewed the lease until its delegation ended. The time of the
// last renewal is an estimate, since it is not known exactly when the zone's controllers were
// cut off.
func (mo *Monitor) leaseEnding(machine *cluster.Machine, now time.Time) bool {
	renewedAt := machine.LastMessageAt
	if cutOffAt := mo.zoneControllersLastContact(machine.Zone); !cutOffAt.IsZero() {
		renewedAt = cluster.LaterOf(renewedAt, cutOffAt.Add(mo.State.Delegation.MaxDelegationTime-mo.limits().maxHeartbeatGap()))
	} else if renewedAt.IsZero() {
		renewedAt = mo.State.TermStartedAt
	}
	lease := mo.State.Settings.Workers.Lease.Duration()
	return now.Sub(renewedAt) >= lease*leaseEndingPercent/100
}

// replicasMovable reports whether a machine in a partitioned zone holds a replica that can be
// started elsewhere. A service bound to its zone can't move. One that is spread over zones can
// move only if the other zones may take all its replicas in this zone. (With two zones the
// other may not, and ending the replicas early would gain nothing.)
func (mo *Monitor) replicasMovable(machine *cluster.Machine, now time.Time) bool {
	for _, attempt := range machine.Attempts {
		job := attempt.Job
		if !job.Spec.IsService() || job.Spec.Zone != "" {
			continue
		}
		if !job.Spec.Spread || mo.fitsOtherZones(job, machine.Zone, now) {
			return true
		}
	}
	return false
}

// fitsOtherZones reports whether the other zones that are not partitioned may take all replicas
// of a spread service that are in the given zone.
func (mo *Monitor) fitsOtherZones(job *cluster.Job, from wire.Zone, now time.Time) bool {
	active, capacity := job.ActiveByZone(), 0
	for _, zone := range mo.State.Zones() {
		if zone != from && !mo.State.ZoneRecentlyPartitioned(zone, now) {
			capacity += job.Spec.MaxTasksPerZone() - active[zone]
		}
	}
	return capacity >= active[from]
}
