package leader

import (
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// checkInbound compares a report with what the machine was told in the answer to
// an earlier one.
func (rc *reconciler) checkInbound(m *machine, rep *wire.Heartbeat, now time.Time) {
	evidence := detector.Evidence{
		KnownToken:    m.token,
		RenewedLately: now.Sub(m.lastReplyAt) < rc.state.settings.Workers.Lease.Duration()/2,
		MissesLaunch:  func() bool { return m.missesLaunch(rep) },
	}
	rc.inboundChanged(m, m.inbound.Reported(rep, evidence, now))
}

// inboundWorks notes that something of ours has reached the machine.
func (rc *reconciler) inboundWorks(m *machine) { rc.inboundChanged(m, m.inbound.Received()) }

func (rc *reconciler) inboundChanged(m *machine, change detector.Change) {
	switch change {
	case detector.Lost:
		rc.log().Info("machine reports but receives nothing", "machine", m.id, "tasks", len(m.tasks))
	case detector.Restored:
		rc.log().Info("machine receives again", "machine", m.id)
		rc.state.requestCycle()
	}
}

// inboundProbeInterval is how often a machine that seems to receive nothing is probed.
const inboundProbeInterval = 2 * time.Second

// checkInboundPath returns a machine that reports but receives nothing: at once when
// something on it waits for a proof that it can't give, else when its lease
// must have run out. When many seem so it is rather this node that is slow.
func (mo *monitor) checkInboundPath(m *machine, now time.Time) {
	if m.inbound.Works() || m.scalingIn || !mo.lease.Deciding() || !mo.state.recovered {
		return
	}
	if now.Sub(m.lastVerifiedAt) > inboundProbeInterval {
		m.lastVerifiedAt = now
		mo.dispatcher.probe(m)
	}
	stuck := false
	for _, a := range m.tasks {
		stuck = stuck || !a.unstored && (!a.observed || a.stopping)
	}
	lostFor := m.inbound.LostFor(now)
	stuckFor := mo.state.heartbeatInterval()/2 + inboundProbeInterval
	if stuck && lostFor > stuckFor && m.inbound.CommandsFail() || lostFor > mo.state.settings.Workers.Lease.Duration() {
		mo.scaler.scaleIn(m, DrainInboundLost)
	}
}

// checkOutboundPath returns a machine whose reports are lost when its lease must have
// run out, so that nothing is lost by it, or much later when they are many: then it
// is rather the way from them, which will be back.
func (mo *monitor) checkOutboundPath(m *machine, now time.Time, few bool) {
	lease := mo.state.settings.Workers.Lease.Duration()
	if m.scalingIn || !mo.state.recovered || mo.state.heartbeatsMissingFor(m, now) <= lease*5/4 {
		return
	}
	if few || mo.state.heartbeatsMissingFor(m, now) > max(lease*5/2, mo.state.settings.Workers.CancelTimeout.Duration()*2) {
		mo.scaler.scaleIn(m, DrainOutboundLost)
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
		if mo.state.zoneDetector.Judge(zone, counts, now) {
			mo.log().Info("zone partitioned", "zone", zone, "silent", counts.Lost, "of", up)
		}
	}
}
