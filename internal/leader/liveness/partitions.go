package liveness

import (
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// judgePartitions detects partitioned zones: most of their machines are lost, or none of them
// has sent a message for a while. These machines are expected back, and run their tasks until
// their leases expire. They are therefore scaled in only if the partition lasts much longer than
// that.
func (mo *Monitor) judgePartitions(counts *machineCounts, now time.Time) {
	for zone, up := range counts.upByZone {
		if zone == "" {
			continue
		}
		lastContact := mo.zoneControllersLastContact(zone)
		zoneCounts := detector.ZoneCounts{
			Machines:        up,
			LostMachines:    counts.lostByZone[zone],
			AllMachines:     counts.up,
			ControllersLost: !lastContact.IsZero() && now.Sub(lastContact) > peer.AckLifetime,
		}
		if mo.State.ZoneDetector.CheckZone(zone, zoneCounts, now) {
			mo.Log.Info("zone partitioned", "zone", zone, "lost", zoneCounts.LostMachines, "up", up)
		}
	}
}

// settlingLeaseDivisor defines how long machines have to reach a new leader before it may
// resign for a lack of contact: limits.lostAfter plus an eighth of the lease.
const settlingLeaseDivisor = 8

// betterConnectedPeer returns a controller that most machines reach, if most don't reach this
// one directly and the term has lasted long enough to tell.
func (mo *Monitor) betterConnectedPeer(counts *machineCounts, now time.Time) (wire.NodeID, bool) {
	settlingTime := mo.limits().lostAfter() + mo.State.Settings.Workers.Lease.Duration()/settlingLeaseDivisor
	settled := now.Sub(mo.State.TermStartedAt) > settlingTime
	if !counts.mostOutOfDirectContact() || !mo.Lease.Deciding() || !settled {
		return "", false
	}
	for id, node := range mo.Mesh.View().Peers {
		canLead := node.Connected(now) && node.StateReachable
		if canLead && node.ReachableAgents*2 > counts.up {
			return id, true
		}
	}
	return "", false
}
