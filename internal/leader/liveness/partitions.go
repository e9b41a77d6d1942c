package liveness

import (
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// judgePartitions looks for zones that are unresponsive as a whole. Their machines will
// come back, and what runs on them goes on until their leases expire: they are kept, and
// scaled in only if the partition outlasts that by far.
func (mo *Monitor) judgePartitions(counts *machineCounts, now time.Time) {
	for zone, up := range counts.zoneUp {
		if zone == "" {
			continue
		}
		lastContact := mo.zoneControllersLastContact(zone)
		zoneCounts := detector.Counts{
			Up:              up,
			Lost:            counts.zoneLost[zone],
			AllUp:           counts.up,
			ControllersLost: !lastContact.IsZero() && now.Sub(lastContact) > peer.AckLifetime,
		}
		if mo.State.ZoneDetector.Judge(zone, zoneCounts, now) {
			mo.Log.Info("zone partitioned", "zone", zone, "lost", zoneCounts.Lost, "up", up)
		}
	}
}

// settlingLeaseDivisor: the machines have an eighth of a lease, beyond the time after which
// an unresponsive one is lost, to reach a new leader.
const settlingLeaseDivisor = 8

// betterConnectedPeer returns a controller that most machines reach, if they don't reach
// this one.
func (mo *Monitor) betterConnectedPeer(counts *machineCounts, now time.Time) (wire.NodeID, bool) {
	settlingTime := mo.limits().lostAfter() + mo.State.Settings.Workers.Lease.Duration()/settlingLeaseDivisor
	settled := now.Sub(mo.State.TermStartedAt) > settlingTime
	if !counts.unreachable() || !mo.Lease.Deciding() || !settled {
		return "", false
	}
	for id, node := range mo.Mesh.View().Peers {
		mayLead := node.Connected(now) && node.StateReachable
		if mayLead && node.ReachableWorkers*2 > counts.up {
			return id, true
		}
	}
	return "", false
}
