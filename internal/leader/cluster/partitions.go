package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// LatelyPartitioned tells whether a zone seems partitioned from this node, or did so
// lately: its machines need a while to report again.
func (s *State) LatelyPartitioned(z wire.Zone, now time.Time) bool {
	return s.ZoneDetector.LatelyPartitioned(z, now)
}

// Partitioned tells whether a zone seems partitioned from this node now.
func (s *State) Partitioned(z wire.Zone, now time.Time) bool {
	return s.ZoneDetector.Partitioned(z, now)
}

// BehindPartition tells whether a machine was not seen since its zone seemed
// partitioned. It takes nothing new, and its room is not counted on: what was placed
// there once waited for the end of the partition, and nothing was rented in its
// place.
func (s *State) BehindPartition(m *Machine, now time.Time) bool {
	return s.ZoneDetector.Behind(m.Zone, m.LastMessageAt, now)
}
