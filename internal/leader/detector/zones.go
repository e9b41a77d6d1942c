// Package detector is a failure detector: it judges, from what arrives and what does
// not, which zones and machines can be reached. It is pure: it reads no clock, sends
// nothing and knows no jobs. Its owner passes it every message and asks for its
// verdict.
package detector

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// unresponsiveAfter is how long nothing must have come from a zone for it to count
	// as partitioned. In that time at least minMissedHeartbeats of its own must have
	// been due, by the rate at which the other zones' arrive. (Waiting until most of
	// its machines were overdue, the leader had scaled in three quarters of a large
	// zone one by one.)
	unresponsiveAfter   = 1500 * time.Millisecond
	minMissedHeartbeats = 12
	// minMachines is how many machines a zone must have, or have lost, to be judged.
	minMachines = 4
	// Less evidence is enough if the zone's controllers are lost as well.
	minMissedHeartbeatsNoController = minMissedHeartbeats / 6
	minMachinesNoController         = 2

	// partitionedFor is how long a zone counts as partitioned after it last seemed so.
	partitionedFor = 2 * unresponsiveAfter
	// recoveryHeartbeats is for how many heartbeat intervals it counts as recently so:
	// its machines need a while to be heard again.
	recoveryHeartbeats = 3
)

// contact is the last sign of life of a zone's machines.
type contact struct {
	at time.Time
	// heartbeats is how many had come from all zones by then.
	heartbeats int
}

// Zones judges which zones are partitioned from this node. It is not safe for
// concurrent use.
type Zones struct {
	startedAt     time.Time
	recoveryTime  time.Duration
	heartbeats    int // that arrived so far, of all zones
	lastContact   map[wire.Zone]contact
	partitionedAt map[wire.Zone]time.Time // when a zone last seemed partitioned
}

// NewZones returns a detector that knows no zone yet, from a time on at which machines
// that are up send heartbeats at the given interval.
func NewZones(now time.Time, heartbeatInterval time.Duration) *Zones {
	return &Zones{
		startedAt:     now,
		recoveryTime:  recoveryHeartbeats * heartbeatInterval,
		lastContact:   map[wire.Zone]contact{},
		partitionedAt: map[wire.Zone]time.Time{},
	}
}

// RecordMessage records that a message came from a machine of a zone: a heartbeat, or the
// answer to a command.
func (z *Zones) RecordMessage(zone wire.Zone, heartbeat bool, now time.Time) {
	if heartbeat {
		z.heartbeats++
	}
	z.lastContact[zone] = contact{now, z.heartbeats}
}

// Known returns the zones from which a message came, in no order.
func (z *Zones) Known() []wire.Zone {
	zones := make([]wire.Zone, 0, len(z.lastContact))
	for zone := range z.lastContact {
		zones = append(zones, zone)
	}
	return zones
}

// Counts are the numbers of machines that should send heartbeats.
type Counts struct {
	// Up and Lost are of the zone; lost machines are those that are long overdue.
	Up, Lost int
	// AllUp is of all zones.
	AllUp int
	// ControllersLost reports that the zone's controllers are lost as well.
	ControllersLost bool
}

// Judge takes in the counts of a zone. It reports whether the zone begins to seem
// partitioned: most of its machines are lost, or none was heard for a while. Heartbeats
// are counted, not time alone: when this node is slow nothing comes from any zone.
func (z *Zones) Judge(zone wire.Zone, counts Counts, now time.Time) bool {
	if !z.unresponsive(zone, counts, now) {
		return false
	}
	begins := !z.RecentlyPartitioned(zone, now)
	z.partitionedAt[zone] = now
	return begins
}

// unresponsive reports whether a zone seems partitioned by its counts now.
func (z *Zones) unresponsive(zone wire.Zone, counts Counts, now time.Time) bool {
	missedThreshold, machineThreshold := minMissedHeartbeats, minMachines
	if counts.ControllersLost {
		missedThreshold, machineThreshold = minMissedHeartbeatsNoController, minMachinesNoController
	}
	mostLost := counts.Lost*2 > counts.Up
	if mostLost && counts.Lost >= machineThreshold {
		return true
	}
	if counts.Up < machineThreshold || z.sinceContact(zone, now) <= unresponsiveAfter {
		return false
	}
	// Of the heartbeats since the last contact the zone's share was due from it.
	heartbeats := z.heartbeats - z.lastContact[zone].heartbeats
	return heartbeats*counts.Up >= missedThreshold*counts.AllUp
}

// sinceContact returns how long ago a zone was last heard, counted from the start at
// most.
func (z *Zones) sinceContact(zone wire.Zone, now time.Time) time.Duration {
	heardAt := z.lastContact[zone].at
	if heardAt.Before(z.startedAt) {
		heardAt = z.startedAt
	}
	return now.Sub(heardAt)
}

// Partitioned reports whether a zone seems partitioned from this node now.
func (z *Zones) Partitioned(zone wire.Zone, now time.Time) bool {
	at, ok := z.partitionedAt[zone]
	return ok && now.Sub(at) < partitionedFor
}

// RecentlyPartitioned reports whether a zone seems partitioned, or did so recently: its
// machines need a while to be heard again.
func (z *Zones) RecentlyPartitioned(zone wire.Zone, now time.Time) bool {
	at, ok := z.partitionedAt[zone]
	return ok && now.Sub(at) < z.recoveryTime
}

// UnseenSincePartition reports whether a machine that was last seen at the given time has not been
// seen since its zone seemed partitioned.
func (z *Zones) UnseenSincePartition(zone wire.Zone, seenAt, now time.Time) bool {
	return z.RecentlyPartitioned(zone, now) && seenAt.Before(z.partitionedAt[zone])
}
