package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// leaseEndingPercent is after which part of a lease the lease of a machine behind a
// partition ends about now.
const leaseEndingPercent = 95

// checkReplicas scales in a machine in a partitioned zone whose replicas can be started
// elsewhere. They end with its lease, and nothing tells just when; the cloud can end them
// for sure. If the cloud can't be reached either, the lease expiry is waited for.
func (mo *Monitor) checkReplicas(machine *cluster.Machine, counts *machineCounts, now time.Time) {
	if !mo.State.ZonePartitioned(machine.Zone, now) || counts.isolated() {
		return
	}
	if mo.leaseEnding(machine, now) && mo.replicasMovable(machine, now) {
		mo.Scaler.ScaleIn(machine, cluster.DrainLeaseExpiring)
	}
}

// leaseEnding reports whether the lease of a machine behind a partition ends about now, as
// no delegate in its zone can renew it any more. When the zone's controllers were cut off
// is a guess.
func (mo *Monitor) leaseEnding(machine *cluster.Machine, now time.Time) bool {
	renewed := machine.LastMessageAt
	if cutOff := mo.zoneControllersLastContact(machine.Zone); !cutOff.IsZero() {
		renewed = cluster.LaterOf(renewed, cutOff.Add(mo.State.Delegation.MaxDelegationTime-mo.limits().maxHeartbeatGap()))
	} else if renewed.IsZero() {
		renewed = mo.State.TermStartedAt
	}
	lease := mo.State.Settings.Workers.Lease.Duration()
	return now.Sub(renewed) >= lease*leaseEndingPercent/100
}

// replicasMovable reports whether a machine in a partitioned zone holds replicas that could
// be started elsewhere: the other zones can take all that their service runs in this one.
// (With two zones a service that is spread has nowhere to go; to end its replicas early
// would gain nothing.)
func (mo *Monitor) replicasMovable(machine *cluster.Machine, now time.Time) bool {
	for _, attempt := range machine.Tasks {
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

// fitsOtherZones reports whether the zones that are not partitioned can take all replicas
// of a spread service that are in the given one.
func (mo *Monitor) fitsOtherZones(job *cluster.Job, from wire.Zone, now time.Time) bool {
	active, capacity := job.ActiveByZone(), 0
	for _, zone := range mo.State.Zones() {
		if zone != from && !mo.State.ZoneRecentlyPartitioned(zone, now) {
			capacity += job.Spec.MaxTasksPerZone() - active[zone]
		}
	}
	return capacity >= active[from]
}
