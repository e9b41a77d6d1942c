package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// watchMachines looks for machines that are silent, late, or empty and
// unwanted.
func (t *term) watchMachines(now time.Time) {
	for id, at := range t.gone {
		if now.Sub(at) > 10*time.Minute {
			delete(t.gone, id)
		}
	}
	// Reports come every report_s, give or take a quarter. A machine that is
	// overdue is asked directly; two asks without an answer tell its end.
	report := t.settings.Workers.ReportS.Duration()
	silentAfter := report*5/4 + 600*time.Millisecond
	lostAfter := silentAfter + 2*probeTimeout
	up, silent, lost, relayed, deaf, mute, serving, quietServing := 0, 0, 0, 0, 0, 0, 0, 0
	zoneUp, zoneLost := map[wire.Zone]int{}, map[wire.Zone]int{}
	for _, m := range t.machines {
		if m.booting || m.releasing {
			continue
		}
		up++
		if m.relayed {
			relayed++
		}
		if !m.inbound.unreachableSince.IsZero() {
			deaf++
		}
		if t.outboundLost(m, now) {
			mute++
		}
		zoneUp[m.zone]++
		if t.silence(m, now) > silentAfter {
			silent++
		}
		if t.holdsReplicas(m) {
			if serving++; t.silence(m, now) > servingSilence+2*probeTimeout {
				quietServing++
			}
		}
		if t.silence(m, now) > lostAfter {
			lost++
			zoneLost[m.zone]++
		}
	}
	t.l.Metrics.Machines(t.states())
	// When many are silent it is rather this node that is cut off from them.
	cutOff := silent >= 3 && silent*2 > up
	if (cutOff && lost*2 > up || relayed >= 3 && relayed*2 > up) && t.lease.Deciding() && now.Sub(t.startedAt) > lostAfter+t.settings.Workers.LeaseS.Duration()/8 {
		for name, o := range t.l.Mesh.View().Peers {
			if o.Connected(now) && o.StateReachable && o.ReachableWorkers*2 > up {
				t.resign("workers reach " + string(name) + ", not this node")
				return
			}
		}
	}
	// A zone most of whose machines are silent is cut off as a whole. They
	// will be back, and what runs on them goes on until their leases end: they
	// are kept, and returned only if the cut outlasts that by far.
	lease := t.settings.Workers.LeaseS.Duration()
	t.delegatesAnsweredUntil = t.anyDelegateAnswersUntil(now)
	for z, n := range zoneUp {
		if z != "" && !cutOff && t.zoneSilent(z, n, zoneLost[z], up, now) {
			if !t.latelyPartitioned(z, now) {
				t.log().Info("zone partitioned", "zone", z, "silent", zoneLost[z], "of", n)
			}
			t.partitionedAt[z] = now
		}
	}
	// A machine with replicas is not left alone for as long as reports may take:
	// the replicas of one that has stopped are down until that is known. When
	// many such are quiet it is rather the way to them.
	fewQuiet := quietServing <= max(3, serving/4)
	for _, m := range t.machines {
		// Where the cut is over the machines need a while to be heard again.
		cut := t.latelyPartitioned(m.zone, now)
		quiet := t.silence(m, now)
		if t.partitioned(m.zone, now) && !cutOff && t.replicasMovable(m, now) {
			// Its replicas end with its lease, and nothing tells just when. The
			// cloud can end them for sure, and they are started elsewhere. If
			// the cloud is away too, its lease is waited out below.
			t.release(m, "its lease ends while its zone is cut off")
		}
		// Before the first list nothing is known of a machine that an earlier
		// leader used and that has not reported, not even its zone.
		unknown := m.zone == "" && !t.listReceived
		ask, gone := silentAfter, lostAfter
		if t.holdsReplicas(m) {
			if ask = min(ask, servingSilence); fewQuiet {
				gone = min(gone, ask+3*probeTimeout)
			}
		}
		kept := cutOff || cut && quiet < max(lease*5/2, t.settings.Workers.CancelS.Duration()*2)
		t.watchMachine(m, now, ask, gone, kept && !t.unlisted(m) || unknown)
		if deaf <= max(3, up/4) {
			t.watchInbound(m, now)
		}
		t.watchOutbound(m, now, mute <= max(3, up/4))
	}
	if !t.lease.Deciding() || !t.recovered {
		return
	}
	for _, j := range t.jobs {
		if j.cancelled && j.held > 0 && now.Sub(j.cancelledAt) > t.settings.Workers.CancelS.Duration()*6/10 {
			for _, a := range j.attempts() {
				t.release(a.machine, "a cancelled task could not be stopped")
			}
		}
	}
}

func (t *term) watchMachine(m *machine, now time.Time, silentAfter, lostAfter time.Duration, cutOff bool) {
	if m.releasing {
		t.expire(m, now)
		return
	}
	if m.booting {
		ready := 30 * time.Second
		if f := t.machineSpec(m.machineType); f != nil {
			ready = f.BootTime.Duration()
		}
		if now.Sub(m.rentedAt) > ready*11/4+5*time.Second && t.lease.Deciding() {
			t.release(m, "never came up")
		}
		return
	}
	if !t.recovered {
		return
	}
	for _, a := range m.tasks {
		if a.halting && !a.planned && (a.haltSent.IsZero() || now.Sub(a.haltSent) > 2*time.Second) {
			t.dispatch(m)
			break
		}
	}
	if !t.lease.Deciding() {
		return
	}
	if m.failed {
		t.release(m, "failed")
		return
	}
	quiet := t.silence(m, now)
	if quiet > silentAfter && m.unansweredProbes < 4 && !m.commandInFlight && !(m.unansweredProbes > 0 && t.behindPartition(m, now)) {
		t.probe(m)
	}
	gone := !m.takenBackAt.IsZero() && now.After(m.takenBackAt.Add(time.Second)) && quiet > reportInterval(t)+time.Second
	// A machine that an earlier leader used, that is in no list and says
	// nothing has no address to probe; it is as lost as one that was probed.
	late := reportInterval(t)*13/4 + 2*time.Second
	if (quiet > lostAfter && m.unansweredProbes > 1 && m.peerUnanswered || quiet > late && (m.unansweredProbes > 0 || m.addr == "") || gone) && !cutOff {
		t.release(m, "silent")
		return
	}
	t.expire(m, now)
	if m.drainReason != "" && len(m.tasks) == 0 && len(m.orphans) == 0 && t.allStored(m) {
		t.release(m, m.drainReason)
		return
	}
	for _, a := range m.tasks {
		if a.planned {
			continue
		}
		spec := &a.job.spec
		if !m.takenBackAt.IsZero() && spec.CheckpointInterval > 0 && !a.halting && m.takenBackAt.Sub(now) < spec.CheckpointTime.Duration()+3*time.Second {
			t.halt(a, max(spec.CheckpointTime+1, t.windDownOf(a.job)), "saves before its machine is taken")
		}
		if !m.takenBackAt.IsZero() && spec.Service() && !a.halting {
			t.halt(a, 0, "its machine is taken")
		}
		if a.launchUnanswered && !a.reported && (a.halting || m.drainReason != "") && now.Sub(a.decidedAt) > 6*time.Second {
			t.raiseWanted = true
		}
	}
}

// silence is how long a machine has said nothing to this term.
func (t *term) silence(m *machine, now time.Time) time.Duration {
	return now.Sub(latest(m.seenAt, t.startedAt))
}

// unlisted tells whether the lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no cut behind which it lives and
// is to be kept: asking for its release costs nothing and brings the proof. (When
// most machines had vanished at once it looked like a cut of this node for as long
// as no more were rented than that, and none of them was ever asked for.)
func (t *term) unlisted(m *machine) bool {
	return t.listAskedAt.Sub(m.listedAt) > 2*t.settings.Cloud.ListLagS.Duration()+10*time.Second
}

// servingSilence is how long a machine with replicas may be silent before it is
// asked itself, where reports come more rarely than that.
const servingSilence = 4 * time.Second

func reportInterval(t *term) time.Duration { return t.settings.Workers.ReportS.Duration() }

// replicasMovable tells whether a machine in a zone that is cut off holds replicas that
// could be started elsewhere before long: their leases end about now, as no
// controller in the zone can stand in any more, and other zones may have all
// that their service runs in this one. (With two zones a service that is spread
// has nowhere to go; to end its replicas early would gain nothing.)
func (t *term) replicasMovable(m *machine, now time.Time) bool {
	answered := m.seenAt
	if lost := t.zoneSilentSince(m.zone); !lost.IsZero() {
		answered = latest(answered, lost.Add(t.l.delegationTime-reportInterval(t)*5/4))
	} else if answered.IsZero() {
		answered = t.startedAt
	}
	if now.Sub(answered) < t.settings.Workers.LeaseS.Duration()*95/100 {
		return false
	}
	for _, a := range m.tasks {
		if !a.job.spec.Service() || a.job.spec.Zone != "" {
			continue
		}
		if !a.job.spec.Spread {
			return true
		}
		held, room := a.job.zones(), 0
		for _, z := range t.zones() {
			if z != m.zone && !t.latelyPartitioned(z, now) {
				room += a.job.spec.ZoneCap() - held[z]
			}
		}
		if room >= held[m.zone] {
			return true
		}
	}
	return false
}

// resign gives the leadership up to a node that the workers reach.
func (t *term) resign(why string) {
	t.log().Info("resigns", "why", why)
	t.lease.Resign(t.ctx, time.Now().Add(15*time.Second))
	t.end(why)
}
