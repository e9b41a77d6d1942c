package liveness

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/peer"
)

// inboundProbeInterval is how often a machine that seems to receive nothing is probed.
const inboundProbeInterval = 2 * time.Second

// checkInboundPath returns a machine that reports but receives nothing: at once when
// something on it waits for a proof that it can't give, else when its lease
// must have run out. When many seem so it is rather this node that is slow.
func (mo *Monitor) checkInboundPath(m *cluster.Machine, now time.Time) {
	if m.Inbound.Works() || m.ScalingIn || !mo.Lease.Deciding() || !mo.State.Recovered {
		return
	}
	if now.Sub(m.LastVerifiedAt) > inboundProbeInterval {
		m.LastVerifiedAt = now
		mo.Dispatcher.Probe(m)
	}
	stuck := false
	for _, a := range m.Tasks {
		stuck = stuck || !a.Unstored && (!a.Observed || a.Stopping)
	}
	lostFor := m.Inbound.LostFor(now)
	stuckFor := mo.State.HeartbeatInterval()/2 + inboundProbeInterval
	if stuck && lostFor > stuckFor && m.Inbound.CommandsFail() || lostFor > mo.State.Settings.Workers.Lease.Duration() {
		mo.Scaler.ScaleIn(m, cluster.DrainInboundLost)
	}
}

// checkOutboundPath returns a machine whose reports are lost when its lease must have
// run out, so that nothing is lost by it, or much later when they are many: then it
// is rather the way from them, which will be back.
func (mo *Monitor) checkOutboundPath(m *cluster.Machine, now time.Time, few bool) {
	lease := mo.State.Settings.Workers.Lease.Duration()
	if m.ScalingIn || !mo.State.Recovered || mo.State.HeartbeatsMissingFor(m, now) <= lease*5/4 {
		return
	}
	if few || mo.State.HeartbeatsMissingFor(m, now) > max(lease*5/2, mo.State.Settings.Workers.CancelTimeout.Duration()*2) {
		mo.Scaler.ScaleIn(m, cluster.DrainOutboundLost)
	}
}

// judgePartitions looks for zones that are silent as a whole. Their machines will be
// back, and what runs on them goes on until their leases end: they are kept, and
// returned only if the partition outlasts that by far.
func (mo *Monitor) judgePartitions(c *machineCounts, now time.Time) {
	for zone, up := range c.zoneUp {
		if zone == "" {
			continue
		}
		silentSince := mo.zoneControllersLastContact(zone)
		counts := detector.Counts{Up: up, Lost: c.zoneLost[zone], AllUp: c.up,
			ControllersLost: !silentSince.IsZero() && now.Sub(silentSince) > peer.AckLifetime}
		if mo.State.ZoneDetector.Judge(zone, counts, now) {
			mo.Log.Info("zone partitioned", "zone", zone, "silent", counts.Lost, "of", up)
		}
	}
}
