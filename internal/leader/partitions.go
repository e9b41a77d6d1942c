package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// latelyPartitioned tells whether a zone seems partitioned from this node, or did so
// lately: its machines need a while to report again.
func (s *State) latelyPartitioned(z wire.Zone, now time.Time) bool {
	return s.zoneDetector.LatelyPartitioned(z, now)
}

// partitioned tells whether a zone seems partitioned from this node now.
func (s *State) partitioned(z wire.Zone, now time.Time) bool {
	return s.zoneDetector.Partitioned(z, now)
}

// behindPartition tells whether a machine was not seen since its zone seemed
// partitioned. It takes nothing new, and its room is not counted on: what was placed
// there once waited for the end of the partition, and nothing was rented in its
// place.
func (s *State) behindPartition(m *machine, now time.Time) bool {
	return s.zoneDetector.Behind(m.zone, m.lastMessageAt, now)
}
