package leader

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// forgetGoneAfter is how long late copies of a released machine's reports are
	// still told apart from those of a new one.
	forgetGoneAfter = 10 * time.Minute
	// reportDelay is how late a report may be on its way.
	reportDelay = 600 * time.Millisecond
	// servingSilence is how long a machine with replicas may be silent before it is
	// asked itself, where reports come more rarely than that.
	servingSilence = 4 * time.Second
	// maxProbes is how often a silent machine is probed.
	maxProbes = 4
	// haltRepeat is after how long a halt that has had no effect is sent again.
	haltRepeat = 2 * time.Second
	// defaultBootTime is that of a type that the cloud no longer names.
	defaultBootTime = 30 * time.Second
	// manyMachines: so many silent or relayed ones are not taken for single faults.
	manyMachines = 3
)

// silentAfter is how long a machine may be silent before it is asked directly:
// reports come every report_s, give or take a quarter.
func (t *term) silentAfter() time.Duration { return reportInterval(t)*5/4 + reportDelay }

// lostAfter is when a silent machine is taken for lost: two probes without an answer
// tell its end.
func (t *term) lostAfter() time.Duration { return t.silentAfter() + 2*probeTimeout }

// census counts the machines that should report, by how they can be reached.
type census struct {
	up           int
	silent       int // overdue
	lost         int // long overdue
	relayed      int // reach this node only through another one
	inboundLost  int // report, and receive nothing
	outboundLost int // answer, and no report of theirs comes
	serving      int // hold replicas
	servingQuiet int // and are silent
	zoneUp       map[wire.Zone]int
	zoneLost     map[wire.Zone]int
}

func (t *term) takeCensus(now time.Time) *census {
	c := &census{zoneUp: map[wire.Zone]int{}, zoneLost: map[wire.Zone]int{}}
	silentAfter, lostAfter := t.silentAfter(), t.lostAfter()
	for _, m := range t.machines {
		if m.booting || m.releasing {
			continue
		}
		silence := t.silence(m, now)
		c.up++
		c.zoneUp[m.zone]++
		if m.relayed {
			c.relayed++
		}
		if !m.inbound.Works() {
			c.inboundLost++
		}
		if t.outboundLost(m, now) {
			c.outboundLost++
		}
		if silence > silentAfter {
			c.silent++
		}
		if silence > lostAfter {
			c.lost++
			c.zoneLost[m.zone]++
		}
		if !t.holdsReplicas(m) {
			continue
		}
		c.serving++
		if silence > servingSilence+2*probeTimeout {
			c.servingQuiet++
		}
	}
	return c
}

// isolated tells whether it is rather this node that is cut off: many are silent.
func (c *census) isolated() bool { return c.silent >= manyMachines && c.silent*2 > c.up }

// unreachable tells whether most machines are lost, or come through other nodes.
func (c *census) unreachable() bool {
	return c.isolated() && c.lost*2 > c.up || c.relayed >= manyMachines && c.relayed*2 > c.up
}

// few tells whether so many machines of all may be faulty each by itself.
func few(n, all int) bool { return n <= max(manyMachines, all/4) }

// watchMachines looks for machines that are silent, late, or empty and
// unwanted.
func (t *term) watchMachines(now time.Time) {
	for id, at := range t.gone {
		if now.Sub(at) > forgetGoneAfter {
			delete(t.gone, id)
		}
	}
	c := t.takeCensus(now)
	t.l.Metrics.Machines(t.states())
	if node, ok := t.betterReached(c, now); ok {
		t.resign("workers reach " + string(node) + ", not this node")
		return
	}
	t.delegatesAnsweredUntil = t.anyDelegateAnswersUntil(now)
	if !c.isolated() {
		t.judgePartitions(c, now)
	}
	for _, m := range t.machines {
		t.watchReplicas(m, c, now)
		t.watchMachine(m, c, now)
		if few(c.inboundLost, c.up) {
			t.watchInbound(m, now)
		}
		t.watchOutbound(m, now, few(c.outboundLost, c.up))
	}
	t.releaseUncancellable(now)
}

// betterReached is a node that most workers reach, if they don't reach this one.
func (t *term) betterReached(c *census, now time.Time) (wire.NodeID, bool) {
	settled := t.lostAfter() + t.settings.Workers.Lease.Duration()/8
	if !c.unreachable() || !t.lease.Deciding() || now.Sub(t.startedAt) <= settled {
		return "", false
	}
	for name, o := range t.l.Mesh.View().Peers {
		if o.Connected(now) && o.StateReachable && o.ReachableWorkers*2 > c.up {
			return name, true
		}
	}
	return "", false
}

// watchReplicas returns a machine in a partitioned zone whose replicas can be
// started elsewhere. They end with its lease, and nothing tells just when. The cloud
// can end them for sure. If the cloud is away too, the lease is waited out.
func (t *term) watchReplicas(m *machine, c *census, now time.Time) {
	if t.partitioned(m.zone, now) && !c.isolated() && t.replicasMovable(m, now) {
		t.release(m, drainLeaseEnds)
	}
}

// silenceLimits is how long a machine may be silent before it is probed, and before it
// is taken for lost. A machine with replicas is not left alone for as long as
// reports may take: the replicas of one that has stopped are down until that is
// known. When many such are quiet it is rather the way to them.
func (t *term) silenceLimits(m *machine, c *census) (probeAfter, lostAfter time.Duration) {
	probeAfter, lostAfter = t.silentAfter(), t.lostAfter()
	if !t.holdsReplicas(m) {
		return probeAfter, lostAfter
	}
	probeAfter = min(probeAfter, servingSilence)
	if few(c.servingQuiet, c.serving) {
		lostAfter = min(lostAfter, probeAfter+3*probeTimeout)
	}
	return probeAfter, lostAfter
}

// keptThoughSilent tells whether a machine is not returned for its silence.
func (t *term) keptThoughSilent(m *machine, c *census, now time.Time) bool {
	// Before the first list nothing is known of a machine that an earlier
	// leader used and that has not reported, not even its zone.
	if m.zone == "" && !t.listReceived {
		return true
	}
	if t.unlisted(m) {
		return false
	}
	// Where the partition is over the machines need a while to report again.
	outlasted := max(t.settings.Workers.Lease.Duration()*5/2, t.settings.Workers.CancelTimeout.Duration()*2)
	return c.isolated() || t.latelyPartitioned(m.zone, now) && t.silence(m, now) < outlasted
}

// releaseUncancellable returns machines on which a cancelled task goes on.
func (t *term) releaseUncancellable(now time.Time) {
	if !t.lease.Deciding() || !t.recovered {
		return
	}
	for _, j := range t.jobs {
		if j.cancelled && j.held > 0 && now.Sub(j.cancelledAt) > t.settings.Workers.CancelTimeout.Duration()*6/10 {
			for _, a := range j.attempts() {
				t.release(a.machine, drainUncancellable)
			}
		}
	}
}

// watchMachine looks after one machine: its boot, its silence, its lease, and what
// it is still to be told.
func (t *term) watchMachine(m *machine, c *census, now time.Time) {
	switch {
	case m.releasing:
		t.expire(m, now)
		return
	case m.booting:
		t.watchBoot(m, now)
		return
	case !t.recovered:
		return
	}
	t.repeatHalts(m, now)
	if !t.lease.Deciding() {
		if t.lease.Answering() {
			t.saveBeforeNotice(m, now)
		}
		return
	}
	if m.failed {
		t.release(m, drainFailed)
		return
	}
	t.probeSilent(m, c, now)
	if t.lost(m, c, now) {
		t.release(m, drainSilent)
		return
	}
	t.expire(m, now)
	idle := len(m.tasks) == 0 && len(m.orphans) == 0 && t.writer.allStored(m.usedAt, time.Now())
	if m.drainReason == drainReturning || m.drainReason != "" && idle {
		t.release(m, m.drainReason)
		return
	}
	t.watchTasks(m, now)
}

// watchBoot returns a machine that should have come up long ago.
func (t *term) watchBoot(m *machine, now time.Time) {
	boot := defaultBootTime
	if spec := t.machineSpec(m.machineType); spec != nil {
		boot = spec.BootTime.Duration()
	}
	if now.Sub(m.rentedAt) > boot*11/4+5*time.Second && t.lease.Deciding() {
		t.release(m, drainNeverUp)
	}
}

// repeatHalts sends halts again that have had no effect.
func (t *term) repeatHalts(m *machine, now time.Time) {
	for _, a := range m.tasks {
		if a.halting && !a.planned && (a.haltSent.IsZero() || now.Sub(a.haltSent) > haltRepeat) {
			t.dispatch(m)
			return
		}
	}
}

// probeSilent probes a machine that is overdue.
func (t *term) probeSilent(m *machine, c *census, now time.Time) {
	probeAfter, _ := t.silenceLimits(m, c)
	if t.silence(m, now) <= probeAfter || m.unansweredProbes >= maxProbes || m.commandInFlight {
		return
	}
	if m.unansweredProbes > 0 && t.behindPartition(m, now) {
		return
	}
	t.probe(m)
}

// lost tells whether a silent machine is to be given up.
func (t *term) lost(m *machine, c *census, now time.Time) bool {
	_, lostAfter := t.silenceLimits(m, c)
	silence := t.silence(m, now)
	probed := silence > lostAfter && m.unansweredProbes > 1 && m.peerUnanswered
	// A machine that an earlier leader used, that is in no list and says
	// nothing has no address to probe; it is as lost as one that was probed.
	late := silence > reportInterval(t)*13/4+2*time.Second && (m.unansweredProbes > 0 || m.addr == "")
	taken := !m.takenBackAt.IsZero() && now.After(m.takenBackAt.Add(time.Second)) && silence > reportInterval(t)+time.Second
	return (probed || late || taken) && !t.keptThoughSilent(m, c, now)
}

// watchTasks stops what runs on a machine that the cloud takes back, and ends
// launches that may still be on their way to one that takes nothing new.
func (t *term) watchTasks(m *machine, now time.Time) {
	t.saveBeforeNotice(m, now)
	for _, a := range m.tasks {
		if a.planned {
			continue
		}
		if !m.takenBackAt.IsZero() && a.job.spec.Service() && !a.halting {
			t.halt(a, 0, moveMachineTaken)
		}
		if a.launchUnanswered && !a.reported && (a.halting || m.drainReason != "") && now.Sub(a.decidedAt) > 6*time.Second {
			t.raiseWanted = true
		}
	}
}

// noticeMargin is how much earlier than they need to save tasks are told of a spot
// notice: two tries of a command, and the time until the machine is looked at.
const noticeMargin = 3 * time.Second

// saveBeforeNotice stops what can save on a machine with a spot notice while it
// still has the time. All of a gang is told, and who has saved waits for the
// others for gang_peer_s, on this machine too.
//
// A leader that answers reports without the state service does so as well: halts
// start nothing, and workers that have seen a successor's token drop them.
func (t *term) saveBeforeNotice(m *machine, now time.Time) {
	if m.takenBackAt.IsZero() {
		return
	}
	for _, a := range m.tasks {
		spec := &a.job.spec
		if a.planned || a.halting || spec.CheckpointInterval == 0 {
			continue
		}
		need := spec.CheckpointTime.Duration() + noticeMargin
		if spec.Gang() {
			need += t.settings.Workers.GangPeerTimeout.Duration()
		}
		if m.takenBackAt.Sub(now) < need {
			t.halt(a, t.gracePeriodOf(a.job), "saves before its machine is taken")
		}
	}
}

// silence is how long a machine has said nothing to this term.
func (t *term) silence(m *machine, now time.Time) time.Duration {
	return now.Sub(latest(m.seenAt, t.startedAt))
}

// unlisted tells whether the lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no partition behind which it lives and
// is to be kept: asking for its release costs nothing and brings the proof. (When
// most machines had vanished at once it looked as if this node were cut off for as long
// as no more were rented than that, and none of them was ever asked for.)
func (t *term) unlisted(m *machine) bool {
	return t.listAskedAt.Sub(m.listedAt) > 2*t.settings.Cloud.ListLag.Duration()+10*time.Second
}

// reportInterval is how often a worker reports, give or take a quarter.
func reportInterval(t *term) time.Duration { return t.settings.Workers.HeartbeatInterval.Duration() }

// replicasMovable tells whether a machine in a zone that is cut off holds replicas that
// could be started elsewhere before long: their leases end about now, as no
// delegate in the zone can renew them any more, and other zones may have all
// that their service runs in this one. (With two zones a service that is spread
// has nowhere to go; to end its replicas early would gain nothing.)
func (t *term) replicasMovable(m *machine, now time.Time) bool {
	answered := m.seenAt
	if lost := t.zoneSilentSince(m.zone); !lost.IsZero() {
		answered = latest(answered, lost.Add(t.l.delegation.Time-reportInterval(t)*5/4))
	} else if answered.IsZero() {
		answered = t.startedAt
	}
	if now.Sub(answered) < t.settings.Workers.Lease.Duration()*95/100 {
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

// resignFor is how long this node then leaves the leadership to others.
const resignFor = 15 * time.Second

// resign gives the leadership up to a node that the workers reach.
func (t *term) resign(why string) {
	t.log().Info("resigns", "why", why)
	t.lease.Resign(t.ctx, time.Now().Add(resignFor))
	t.end(why)
}
