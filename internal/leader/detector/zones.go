// Package detector is a failure detector: it decides which zones and machines can be reached,
// by the messages that arrive from them and those that are missing. It reads no clock, sends
// nothing and knows no jobs. Its owner passes it every message and queries the result.
package detector

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// A zone counts as partitioned when no message has come from it for longer than
	// unresponsiveAfter and at least minMissedHeartbeats of its heartbeats were due in that
	// time. How many were due is estimated by the heartbeats that came from the other zones.
	// Without this rule a partition is noticed only when most machines of the zone are overdue,
	// and until then the leader scales in three quarters of a large zone one by one.
	unresponsiveAfter   = 1500 * time.Millisecond
	minMissedHeartbeats = 12
	// minMachines is how many machines a zone must have for its missed heartbeats to count, and
	// how many must be lost for the loss of most of its machines to count.
	minMachines = 4
	// These lower thresholds apply if the zone's controllers are lost as well.
	minMissedHeartbeatsNoController = minMissedHeartbeats / 6
	minMachinesNoController         = 2

	// partitionedFor is how long a zone counts as partitioned after a check last found it
	// unreachable.
	partitionedFor = 2 * unresponsiveAfter
	// recoveryHeartbeats is how many heartbeat intervals after that check the zone counts as
	// recently partitioned: the heartbeats of its machines need a while to arrive again.
	recoveryHeartbeats = 3
)

// contact is the last message from any machine of a zone.
type contact struct {
	at time.Time
	// heartbeatCount is how many heartbeats had come from all zones by then.
	heartbeatCount int
}

// Zones decides which zones are partitioned from this node. It is not safe for concurrent
// use.
type Zones struct {
	startedAt      time.Time
	recoveryPeriod time.Duration // for which a zone counts as recently partitioned
	heartbeatCount int           // heartbeats received so far, from all zones
	lastContact    map[wire.Zone]contact
	partitionedAt  map[wire.Zone]time.Time // when a check last found the zone unreachable
}

// NewZones returns a detector that has received no message yet. From now on the machines that
// are up are expected to send heartbeats at the given interval.
func NewZones(now time.Time, heartbeatInterval time.Duration) *Zones {
	return &Zones{
		startedAt:      now,
		recoveryPeriod: recoveryHeartbeats * heartbeatInterval,
		lastContact:    map[wire.Zone]contact{},
		partitionedAt:  map[wire.Zone]time.Time{},
	}
}

// RecordMessage records that a message came from a machine of a zone: a heartbeat, or the
// response to a command.
func (z *Zones) RecordMessage(zone wire.Zone, heartbeat bool, now time.Time) {
	if heartbeat {
		z.heartbeatCount++
	}
	z.lastContact[zone] = contact{now, z.heartbeatCount}
}

// KnownZones returns the zones from which a message has come, in no particular order.
func (z *Zones) KnownZones() []wire.Zone {
	zones := make([]wire.Zone, 0, len(z.lastContact))
	for zone := range z.lastContact {
		zones = append(zones, zone)
	}
	return zones
}

// ZoneCounts are the numbers of machines that should send heartbeats, and whether the zone's
// controllers are lost.
type ZoneCounts struct {
	// Machines is how many there are in the zone. LostMachines is how many of them are lost:
	// their heartbeats are long overdue.
	Machines, LostMachines int
	// AllMachines is how many there are in all zones.
	AllMachines int
	// ControllersLost reports that the zone's controllers can't be reached either.
	ControllersLost bool
}

// CheckZone checks a zone by its current counts and reports whether a partition of it begins:
// most of its machines are lost, or none of them has sent a message for a while. The time alone
// does not decide, and missed heartbeats are counted too: when this node itself is slow, nothing
// arrives from any zone.
func (z *Zones) CheckZone(zone wire.Zone, counts ZoneCounts, now time.Time) bool {
	if !z.unreachable(zone, counts, now) {
		return false
	}
	partitionBegins := !z.ZoneRecentlyPartitioned(zone, now)
	z.partitionedAt[zone] = now
	return partitionBegins
}

// unreachable reports whether a zone can't be reached now, by its counts and its last contact.
func (z *Zones) unreachable(zone wire.Zone, counts ZoneCounts, now time.Time) bool {
	missedThreshold, machineThreshold := minMissedHeartbeats, minMachines
	if counts.ControllersLost {
		missedThreshold, machineThreshold = minMissedHeartbeatsNoController, minMachinesNoController
	}
	mostMachinesLost := counts.LostMachines*2 > counts.Machines
	if mostMachinesLost && counts.LostMachines >= machineThreshold {
		return true
	}
	if counts.Machines < machineThreshold || z.sinceContact(zone, now) <= unresponsiveAfter {
		return false
	}
	// The zone's share of all machines, counts.Machines/counts.AllMachines, is also its share of
	// the heartbeats that were due since its last contact.
	heartbeatsSinceContact := z.heartbeatCount - z.lastContact[zone].heartbeatCount
	return heartbeatsSinceContact*counts.Machines >= missedThreshold*counts.AllMachines
}

// sinceContact returns the time since the last message from a zone, or since the start of the
// detector if that is shorter.
func (z *Zones) sinceContact(zone wire.Zone, now time.Time) time.Duration {
	silentSince := z.lastContact[zone].at
	if silentSince.Before(z.startedAt) {
		silentSince = z.startedAt
	}
	return now.Sub(silentSince)
}

// ZonePartitioned reports whether a zone counts as partitioned from this node now.
func (z *Zones) ZonePartitioned(zone wire.Zone, now time.Time) bool {
	at, ok := z.partitionedAt[zone]
	return ok && now.Sub(at) < partitionedFor
}

// ZoneRecentlyPartitioned reports whether a zone counts as partitioned, or did so recently: the
// heartbeats of its machines need a while to arrive again.
func (z *Zones) ZoneRecentlyPartitioned(zone wire.Zone, now time.Time) bool {
	at, ok := z.partitionedAt[zone]
	return ok && now.Sub(at) < z.recoveryPeriod
}

// UnseenSincePartition reports whether the zone is or was recently partitioned, and a machine
// of it that was last seen at seenAt has not been seen since a check last found the zone
// unreachable.
func (z *Zones) UnseenSincePartition(zone wire.Zone, seenAt, now time.Time) bool {
	return z.ZoneRecentlyPartitioned(zone, now) && seenAt.Before(z.partitionedAt[zone])
}
