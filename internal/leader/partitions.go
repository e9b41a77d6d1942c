package leader

import (
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// judgePartitions looks for zones that are silent as a whole. Their machines will be
// back, and what runs on them goes on until their leases end: they are kept, and
// returned only if the partition outlasts that by far.
func (mo *monitor) judgePartitions(c *machineCounts, now time.Time) {
	for zone, up := range c.zoneUp {
		if zone == "" {
			continue
		}
		silentSince := mo.zoneControllersLastContact(zone)
		counts := detector.Counts{Up: up, Lost: c.zoneLost[zone], AllUp: c.up,
			ControllersLost: !silentSince.IsZero() && now.Sub(silentSince) > peer.AckLifetime}
		if mo.state.zoneDetector.Judge(zone, counts, now) {
			mo.log().Info("zone partitioned", "zone", zone, "silent", counts.Lost, "of", up)
		}
	}
}

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
