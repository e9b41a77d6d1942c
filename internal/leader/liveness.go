package leader

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// forgetRemovedAfter is how long late copies of a released machine's reports are
	// still told apart from those of a new one.
	forgetRemovedAfter = 10 * time.Minute
	// heartbeatDelay is how late a report may be on its way.
	heartbeatDelay = 600 * time.Millisecond
	// replicaHostProbeAfter is how long a machine with replicas may be silent before it is
	// asked itself, where reports come more rarely than that.
	replicaHostProbeAfter = 4 * time.Second
	// maxProbes is how often a silent machine is probed.
	maxProbes = 4
	// stopRepeat is after how long a halt that has had no effect is sent again.
	stopRepeat = 2 * time.Second
	// defaultBootTime is that of a type that the cloud no longer names.
	defaultBootTime = 30 * time.Second
	// manyMachines: so many silent or relayed ones are not taken for single faults.
	manyMachines = 3
)

// unresponsiveAfter is how long a machine may be silent before it is asked directly:
// reports come every report_s, give or take a quarter.
func (t *term) unresponsiveAfter() time.Duration {
	return t.state.heartbeatInterval()*5/4 + heartbeatDelay
}

// lostAfter is when a silent machine is taken for lost: two probes without an answer
// tell its end.
func (t *term) lostAfter() time.Duration { return t.unresponsiveAfter() + 2*probeTimeout }

// machineCounts counts the machines that should report, by how they can be reached.
type machineCounts struct {
	up                       int
	unresponsive             int // overdue
	lost                     int // long overdue
	relayed                  int // reach this node only through another one
	inboundLost              int // report, and receive nothing
	outboundLost             int // answer, and no report of theirs comes
	replicaHosts             int // hold replicas
	replicaHostsUnresponsive int // and are silent
	zoneUp                   map[wire.Zone]int
	zoneLost                 map[wire.Zone]int
}

func (t *term) countMachines(now time.Time) *machineCounts {
	c := &machineCounts{zoneUp: map[wire.Zone]int{}, zoneLost: map[wire.Zone]int{}}
	silentAfter, lostAfter := t.unresponsiveAfter(), t.lostAfter()
	for _, m := range t.state.machines {
		if m.booting || m.scalingIn {
			continue
		}
		silence := t.state.sinceLastMessage(m, now)
		c.up++
		c.zoneUp[m.zone]++
		if m.relayedOnly {
			c.relayed++
		}
		if !m.inbound.Works() {
			c.inboundLost++
		}
		if t.state.outboundLost(m, now) {
			c.outboundLost++
		}
		if silence > silentAfter {
			c.unresponsive++
		}
		if silence > lostAfter {
			c.lost++
			c.zoneLost[m.zone]++
		}
		if !t.state.holdsReplicas(m) {
			continue
		}
		c.replicaHosts++
		if silence > replicaHostProbeAfter+2*probeTimeout {
			c.replicaHostsUnresponsive++
		}
	}
	return c
}

// isolated tells whether it is rather this node that is cut off: many are silent.
func (c *machineCounts) isolated() bool {
	return c.unresponsive >= manyMachines && c.unresponsive*2 > c.up
}

// unreachable tells whether most machines are lost, or come through other nodes.
func (c *machineCounts) unreachable() bool {
	return c.isolated() && c.lost*2 > c.up || c.relayed >= manyMachines && c.relayed*2 > c.up
}

// fewEnoughForSingleFaults tells whether so many machines of all may be faulty each by itself.
func fewEnoughForSingleFaults(n, all int) bool { return n <= max(manyMachines, all/4) }

// checkMachines looks for machines that are silent, late, or empty and
// unwanted.
func (t *term) checkMachines(now time.Time) {
	for id, at := range t.state.removedMachines {
		if now.Sub(at) > forgetRemovedAfter {
			delete(t.state.removedMachines, id)
		}
	}
	c := t.countMachines(now)
	t.leader.Metrics.Machines(t.state.machineStateCounts())
	if node, ok := t.betterConnectedPeer(c, now); ok {
		t.resign("workers reach " + string(node) + ", not this node")
		return
	}
	t.state.delegatesRenewedUntil = t.anyDelegateAnswersUntil(now)
	if !c.isolated() {
		t.judgePartitions(c, now)
	}
	for _, m := range t.state.machines {
		t.checkReplicas(m, c, now)
		t.checkMachine(m, c, now)
		if fewEnoughForSingleFaults(c.inboundLost, c.up) {
			t.checkInboundPath(m, now)
		}
		t.checkOutboundPath(m, now, fewEnoughForSingleFaults(c.outboundLost, c.up))
	}
	t.releaseUncancellable(now)
}

// betterConnectedPeer is a node that most workers reach, if they don't reach this one.
func (t *term) betterConnectedPeer(c *machineCounts, now time.Time) (wire.NodeID, bool) {
	settled := t.lostAfter() + t.state.settings.Workers.Lease.Duration()/8
	if !c.unreachable() || !t.lease.Deciding() || now.Sub(t.state.termStartedAt) <= settled {
		return "", false
	}
	for name, o := range t.leader.Mesh.View().Peers {
		if o.Connected(now) && o.StateReachable && o.ReachableWorkers*2 > c.up {
			return name, true
		}
	}
	return "", false
}

// checkReplicas returns a machine in a partitioned zone whose replicas can be
// started elsewhere. They end with its lease, and nothing tells just when. The cloud
// can end them for sure. If the cloud is away too, the lease is waited out.
func (t *term) checkReplicas(m *machine, c *machineCounts, now time.Time) {
	if t.state.partitioned(m.zone, now) && !c.isolated() && t.replicasMovable(m, now) {
		t.scaleIn(m, drainLeaseExpiring)
	}
}

// unresponsiveLimits is how long a machine may be silent before it is probed, and before it
// is taken for lost. A machine with replicas is not left alone for as long as
// reports may take: the replicas of one that has stopped are down until that is
// known. When many such are quiet it is rather the way to them.
func (t *term) unresponsiveLimits(m *machine, c *machineCounts) (probeAfter, lostAfter time.Duration) {
	probeAfter, lostAfter = t.unresponsiveAfter(), t.lostAfter()
	if !t.state.holdsReplicas(m) {
		return probeAfter, lostAfter
	}
	probeAfter = min(probeAfter, replicaHostProbeAfter)
	if fewEnoughForSingleFaults(c.replicaHostsUnresponsive, c.replicaHosts) {
		lostAfter = min(lostAfter, probeAfter+3*probeTimeout)
	}
	return probeAfter, lostAfter
}

// keptThoughUnresponsive tells whether a machine is not returned for its silence.
func (t *term) keptThoughUnresponsive(m *machine, c *machineCounts, now time.Time) bool {
	// Before the first list nothing is known of a machine that an earlier
	// leader used and that has not reported, not even its zone.
	if m.zone == "" && !t.machineListReceived {
		return true
	}
	if t.unlisted(m) {
		return false
	}
	// Where the partition is over the machines need a while to report again.
	outlasted := max(t.state.settings.Workers.Lease.Duration()*5/2, t.state.settings.Workers.CancelTimeout.Duration()*2)
	return c.isolated() || t.state.latelyPartitioned(m.zone, now) && t.state.sinceLastMessage(m, now) < outlasted
}

// releaseUncancellable returns machines on which a cancelled task goes on.
func (t *term) releaseUncancellable(now time.Time) {
	if !t.lease.Deciding() || !t.recovered {
		return
	}
	for _, j := range t.state.jobs {
		if j.cancelled && j.activeTasks > 0 && now.Sub(j.cancelledAt) > t.state.settings.Workers.CancelTimeout.Duration()*6/10 {
			for _, a := range j.attempts() {
				t.scaleIn(a.machine, drainUncancellable)
			}
		}
	}
}

// checkMachine looks after one machine: its boot, its silence, its lease, and what
// it is still to be told.
func (t *term) checkMachine(m *machine, c *machineCounts, now time.Time) {
	switch {
	case m.scalingIn:
		t.expireLease(m, now)
		return
	case m.booting:
		t.checkBoot(m, now)
		return
	case !t.recovered:
		return
	}
	t.repeatStops(m, now)
	if !t.lease.Deciding() {
		if t.lease.Answering() {
			t.checkpointBeforeReclaim(m, now)
		}
		return
	}
	if m.failedInCloud {
		t.scaleIn(m, drainFailed)
		return
	}
	t.probeUnresponsive(m, c, now)
	if t.machineLost(m, c, now) {
		t.scaleIn(m, drainUnresponsive)
		return
	}
	t.expireLease(m, now)
	idle := len(m.tasks) == 0 && len(m.orphanTasks) == 0 && t.writer.allStored(m.lastUsedAt, time.Now())
	if m.drainReason == drainAdoptedScaleIn || m.drainReason != "" && idle {
		t.scaleIn(m, m.drainReason)
		return
	}
	t.checkTasks(m, now)
}

// checkBoot returns a machine that should have come up long ago.
func (t *term) checkBoot(m *machine, now time.Time) {
	boot := defaultBootTime
	if spec := t.state.machineSpec(m.machineType); spec != nil {
		boot = spec.BootTime.Duration()
	}
	if now.Sub(m.requestedAt) > boot*11/4+5*time.Second && t.lease.Deciding() {
		t.scaleIn(m, drainNeverUp)
	}
}

// repeatStops sends halts again that have had no effect.
func (t *term) repeatStops(m *machine, now time.Time) {
	for _, a := range m.tasks {
		if a.stopping && !a.unstored && (a.stopSentAt.IsZero() || now.Sub(a.stopSentAt) > stopRepeat) {
			t.dispatch(m)
			return
		}
	}
}

// probeUnresponsive probes a machine that is overdue.
func (t *term) probeUnresponsive(m *machine, c *machineCounts, now time.Time) {
	probeAfter, _ := t.unresponsiveLimits(m, c)
	if t.state.sinceLastMessage(m, now) <= probeAfter || m.unansweredProbes >= maxProbes || m.commandInFlight {
		return
	}
	if m.unansweredProbes > 0 && t.state.behindPartition(m, now) {
		return
	}
	t.probe(m)
}

// machineLost tells whether a silent machine is to be given up.
func (t *term) machineLost(m *machine, c *machineCounts, now time.Time) bool {
	_, lostAfter := t.unresponsiveLimits(m, c)
	silence := t.state.sinceLastMessage(m, now)
	probed := silence > lostAfter && m.unansweredProbes > 1 && m.relayUnanswered
	// A machine that an earlier leader used, that is in no list and says
	// nothing has no address to probe; it is as lost as one that was probed.
	late := silence > t.state.heartbeatInterval()*13/4+2*time.Second && (m.unansweredProbes > 0 || m.addr == "")
	taken := !m.reclaimAt.IsZero() && now.After(m.reclaimAt.Add(time.Second)) && silence > t.state.heartbeatInterval()+time.Second
	return (probed || late || taken) && !t.keptThoughUnresponsive(m, c, now)
}

// checkTasks stops what runs on a machine that the cloud takes back, and ends
// launches that may still be on their way to one that takes nothing new.
func (t *term) checkTasks(m *machine, now time.Time) {
	t.checkpointBeforeReclaim(m, now)
	for _, a := range m.tasks {
		if a.unstored {
			continue
		}
		if !m.reclaimAt.IsZero() && a.job.spec.Service() && !a.stopping {
			t.stop(a, 0, EvictedMachineReclaimed)
		}
		if a.launchUnanswered && !a.observed && (a.stopping || m.drainReason != "") && now.Sub(a.decidedAt) > 6*time.Second {
			t.tokenRaiseRequested = true
		}
	}
}

// reclaimMargin is how much earlier than they need to save tasks are told of a spot
// notice: two tries of a command, and the time until the machine is looked at.
const reclaimMargin = 3 * time.Second

// checkpointBeforeReclaim stops what can save on a machine with a spot notice while it
// still has the time. All of a gang is told, and who has saved waits for the
// others for gang_peer_s, on this machine too.
//
// A leader that answers reports without the state service does so as well: halts
// start nothing, and workers that have seen a successor's token drop them.
func (t *term) checkpointBeforeReclaim(m *machine, now time.Time) {
	if m.reclaimAt.IsZero() {
		return
	}
	for _, a := range m.tasks {
		spec := &a.job.spec
		if a.unstored || a.stopping || spec.CheckpointInterval == 0 {
			continue
		}
		need := spec.CheckpointTime.Duration() + reclaimMargin
		if spec.Gang() {
			need += t.state.settings.Workers.GangPeerTimeout.Duration()
		}
		if m.reclaimAt.Sub(now) < need {
			t.stop(a, t.state.gracePeriodOf(a.job), "saves before its machine is taken")
		}
	}
}

// sinceLastMessage is how long a machine has said nothing to this term.
func (s *State) sinceLastMessage(m *machine, now time.Time) time.Duration {
	return now.Sub(latest(m.lastMessageAt, s.termStartedAt))
}

// unlisted tells whether the lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no partition behind which it lives and
// is to be kept: asking for its release costs nothing and brings the proof. (When
// most machines had vanished at once it looked as if this node were cut off for as long
// as no more were rented than that, and none of them was ever asked for.)
func (t *term) unlisted(m *machine) bool {
	return t.machineListRequestedAt.Sub(m.listedAt) > 2*t.state.settings.Cloud.ListLag.Duration()+10*time.Second
}

// heartbeatInterval is how often a worker reports, give or take a quarter.
func (s *State) heartbeatInterval() time.Duration {
	return s.settings.Workers.HeartbeatInterval.Duration()
}

// replicasMovable tells whether a machine in a zone that is cut off holds replicas that
// could be started elsewhere before long: their leases end about now, as no
// delegate in the zone can renew them any more, and other zones may have all
// that their service runs in this one. (With two zones a service that is spread
// has nowhere to go; to end its replicas early would gain nothing.)
func (t *term) replicasMovable(m *machine, now time.Time) bool {
	answered := m.lastMessageAt
	if lost := t.zoneControllersLastContact(m.zone); !lost.IsZero() {
		answered = latest(answered, lost.Add(t.leader.delegation.Time-t.state.heartbeatInterval()*5/4))
	} else if answered.IsZero() {
		answered = t.state.termStartedAt
	}
	if now.Sub(answered) < t.state.settings.Workers.Lease.Duration()*95/100 {
		return false
	}
	for _, a := range m.tasks {
		if !a.job.spec.Service() || a.job.spec.Zone != "" {
			continue
		}
		if !a.job.spec.Spread {
			return true
		}
		held, room := a.job.activeByZone(), 0
		for _, z := range t.state.zones() {
			if z != m.zone && !t.state.latelyPartitioned(z, now) {
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
