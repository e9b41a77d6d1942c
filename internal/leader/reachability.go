package leader

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// checkInbound compares a report with what the machine was told in the answer to
// an earlier one.
func (rc *reconciler) checkInbound(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) {
	evidence := detector.Evidence{
		KnownToken:    m.Token,
		RenewedLately: now.Sub(m.LastReplyAt) < rc.state.Settings.Workers.Lease.Duration()/2,
		MissesLaunch:  func() bool { return m.MissesLaunch(rep) },
	}
	rc.inboundChanged(m, m.Inbound.Reported(rep, evidence, now))
}

// inboundWorks notes that something of ours has reached the machine.
func (rc *reconciler) inboundWorks(m *cluster.Machine) { rc.inboundChanged(m, m.Inbound.Received()) }

func (rc *reconciler) inboundChanged(m *cluster.Machine, change detector.Change) {
	switch change {
	case detector.Lost:
		rc.Log.Info("machine reports but receives nothing", "machine", m.ID, "tasks", len(m.Tasks))
	case detector.Restored:
		rc.Log.Info("machine receives again", "machine", m.ID)
		rc.state.RequestCycle()
	}
}

// inboundProbeInterval is how often a machine that seems to receive nothing is probed.
const inboundProbeInterval = 2 * time.Second

// checkInboundPath returns a machine that reports but receives nothing: at once when
// something on it waits for a proof that it can't give, else when its lease
// must have run out. When many seem so it is rather this node that is slow.
func (mo *monitor) checkInboundPath(m *cluster.Machine, now time.Time) {
	if m.Inbound.Works() || m.ScalingIn || !mo.Lease.Deciding() || !mo.state.Recovered {
		return
	}
	if now.Sub(m.LastVerifiedAt) > inboundProbeInterval {
		m.LastVerifiedAt = now
		mo.dispatcher.probe(m)
	}
	stuck := false
	for _, a := range m.Tasks {
		stuck = stuck || !a.Unstored && (!a.Observed || a.Stopping)
	}
	lostFor := m.Inbound.LostFor(now)
	stuckFor := mo.state.HeartbeatInterval()/2 + inboundProbeInterval
	if stuck && lostFor > stuckFor && m.Inbound.CommandsFail() || lostFor > mo.state.Settings.Workers.Lease.Duration() {
		mo.scaler.scaleIn(m, cluster.DrainInboundLost)
	}
}

// checkOutboundPath returns a machine whose reports are lost when its lease must have
// run out, so that nothing is lost by it, or much later when they are many: then it
// is rather the way from them, which will be back.
func (mo *monitor) checkOutboundPath(m *cluster.Machine, now time.Time, few bool) {
	lease := mo.state.Settings.Workers.Lease.Duration()
	if m.ScalingIn || !mo.state.Recovered || mo.state.HeartbeatsMissingFor(m, now) <= lease*5/4 {
		return
	}
	if few || mo.state.HeartbeatsMissingFor(m, now) > max(lease*5/2, mo.state.Settings.Workers.CancelTimeout.Duration()*2) {
		mo.scaler.scaleIn(m, cluster.DrainOutboundLost)
	}
}

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
		if mo.state.ZoneDetector.Judge(zone, counts, now) {
			mo.Log.Info("zone partitioned", "zone", zone, "silent", counts.Lost, "of", up)
		}
	}
}
