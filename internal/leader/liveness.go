package leader

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// monitor judges from what arrives and what does not which machines are alive, whose
// leases have expired, and acts on it.
type monitor struct {
	*Loop
	state      *cluster.State
	mesh       *peer.Mesh
	peers      []config.Peer
	writer     *progress.Writer
	dispatcher *dispatcher
	scaler     *scaler
}

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
func (mo *monitor) unresponsiveAfter() time.Duration {
	return mo.state.HeartbeatInterval()*5/4 + heartbeatDelay
}

// lostAfter is when a silent machine is taken for lost: two probes without an answer
// tell its end.
func (mo *monitor) lostAfter() time.Duration { return mo.unresponsiveAfter() + 2*probeTimeout }

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

func (mo *monitor) countMachines(now time.Time) *machineCounts {
	c := &machineCounts{zoneUp: map[wire.Zone]int{}, zoneLost: map[wire.Zone]int{}}
	silentAfter, lostAfter := mo.unresponsiveAfter(), mo.lostAfter()
	for _, m := range mo.state.Machines {
		if m.Booting || m.ScalingIn {
			continue
		}
		silence := mo.state.SinceLastMessage(m, now)
		c.up++
		c.zoneUp[m.Zone]++
		if m.RelayedOnly {
			c.relayed++
		}
		if !m.Inbound.Works() {
			c.inboundLost++
		}
		if mo.state.OutboundLost(m, now) {
			c.outboundLost++
		}
		if silence > silentAfter {
			c.unresponsive++
		}
		if silence > lostAfter {
			c.lost++
			c.zoneLost[m.Zone]++
		}
		if !mo.state.HoldsReplicas(m) {
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
func (mo *monitor) checkMachines(now time.Time) {
	for id, at := range mo.state.RemovedMachines {
		if now.Sub(at) > forgetRemovedAfter {
			delete(mo.state.RemovedMachines, id)
		}
	}
	c := mo.countMachines(now)
	mo.Metrics.Machines(mo.state.MachineStateCounts())
	if node, ok := mo.betterConnectedPeer(c, now); ok {
		mo.Resign("workers reach " + string(node) + ", not this node")
		return
	}
	mo.state.DelegatesRenewedUntil = mo.anyDelegateAnswersUntil(now)
	if !c.isolated() {
		mo.judgePartitions(c, now)
	}
	for _, m := range mo.state.Machines {
		mo.checkReplicas(m, c, now)
		mo.checkMachine(m, c, now)
		if fewEnoughForSingleFaults(c.inboundLost, c.up) {
			mo.checkInboundPath(m, now)
		}
		mo.checkOutboundPath(m, now, fewEnoughForSingleFaults(c.outboundLost, c.up))
	}
	mo.releaseUncancellable(now)
}

// betterConnectedPeer is a node that most workers reach, if they don't reach this one.
func (mo *monitor) betterConnectedPeer(c *machineCounts, now time.Time) (wire.NodeID, bool) {
	settled := mo.lostAfter() + mo.state.Settings.Workers.Lease.Duration()/8
	if !c.unreachable() || !mo.Lease.Deciding() || now.Sub(mo.state.TermStartedAt) <= settled {
		return "", false
	}
	for name, o := range mo.mesh.View().Peers {
		if o.Connected(now) && o.StateReachable && o.ReachableWorkers*2 > c.up {
			return name, true
		}
	}
	return "", false
}

// checkReplicas returns a machine in a partitioned zone whose replicas can be
// started elsewhere. They end with its lease, and nothing tells just when. The cloud
// can end them for sure. If the cloud is away too, the lease is waited out.
func (mo *monitor) checkReplicas(m *cluster.Machine, c *machineCounts, now time.Time) {
	if mo.state.Partitioned(m.Zone, now) && !c.isolated() && mo.replicasMovable(m, now) {
		mo.scaler.scaleIn(m, cluster.DrainLeaseExpiring)
	}
}

// unresponsiveLimits is how long a machine may be silent before it is probed, and before it
// is taken for lost. A machine with replicas is not left alone for as long as
// reports may take: the replicas of one that has stopped are down until that is
// known. When many such are quiet it is rather the way to them.
func (mo *monitor) unresponsiveLimits(m *cluster.Machine, c *machineCounts) (probeAfter, lostAfter time.Duration) {
	probeAfter, lostAfter = mo.unresponsiveAfter(), mo.lostAfter()
	if !mo.state.HoldsReplicas(m) {
		return probeAfter, lostAfter
	}
	probeAfter = min(probeAfter, replicaHostProbeAfter)
	if fewEnoughForSingleFaults(c.replicaHostsUnresponsive, c.replicaHosts) {
		lostAfter = min(lostAfter, probeAfter+3*probeTimeout)
	}
	return probeAfter, lostAfter
}

// keptThoughUnresponsive tells whether a machine is not returned for its silence.
func (mo *monitor) keptThoughUnresponsive(m *cluster.Machine, c *machineCounts, now time.Time) bool {
	// Before the first list nothing is known of a machine that an earlier
	// leader used and that has not reported, not even its zone.
	if m.Zone == "" && !mo.state.MachineListReceived {
		return true
	}
	if mo.unlisted(m) {
		return false
	}
	// Where the partition is over the machines need a while to report again.
	outlasted := max(mo.state.Settings.Workers.Lease.Duration()*5/2, mo.state.Settings.Workers.CancelTimeout.Duration()*2)
	return c.isolated() || mo.state.LatelyPartitioned(m.Zone, now) && mo.state.SinceLastMessage(m, now) < outlasted
}

// releaseUncancellable returns machines on which a cancelled task goes on.
func (mo *monitor) releaseUncancellable(now time.Time) {
	if !mo.Lease.Deciding() || !mo.state.Recovered {
		return
	}
	for _, j := range mo.state.Jobs {
		if j.Cancelled && j.ActiveTasks > 0 && now.Sub(j.CancelledAt) > mo.state.Settings.Workers.CancelTimeout.Duration()*6/10 {
			for _, a := range j.Attempts() {
				mo.scaler.scaleIn(a.Machine, cluster.DrainUncancellable)
			}
		}
	}
}

// checkMachine looks after one machine: its boot, its silence, its lease, and what
// it is still to be told.
func (mo *monitor) checkMachine(m *cluster.Machine, c *machineCounts, now time.Time) {
	switch {
	case m.ScalingIn:
		mo.expireLease(m, now)
		return
	case m.Booting:
		mo.checkBoot(m, now)
		return
	case !mo.state.Recovered:
		return
	}
	mo.repeatStops(m, now)
	if !mo.Lease.Deciding() {
		if mo.Lease.Answering() {
			mo.checkpointBeforeReclaim(m, now)
		}
		return
	}
	if m.FailedInCloud {
		mo.scaler.scaleIn(m, cluster.DrainFailed)
		return
	}
	mo.probeUnresponsive(m, c, now)
	if mo.machineLost(m, c, now) {
		mo.scaler.scaleIn(m, cluster.DrainUnresponsive)
		return
	}
	mo.expireLease(m, now)
	idle := len(m.Tasks) == 0 && len(m.OrphanTasks) == 0 && mo.writer.AllStored(m.LastUsedAt, time.Now())
	if m.DrainReason == cluster.DrainAdoptedScaleIn || m.DrainReason != "" && idle {
		mo.scaler.scaleIn(m, m.DrainReason)
		return
	}
	mo.checkTasks(m, now)
}

// checkBoot returns a machine that should have come up long ago.
func (mo *monitor) checkBoot(m *cluster.Machine, now time.Time) {
	boot := defaultBootTime
	if spec := mo.state.MachineSpec(m.MachineType); spec != nil {
		boot = spec.BootTime.Duration()
	}
	if now.Sub(m.RequestedAt) > boot*11/4+5*time.Second && mo.Lease.Deciding() {
		mo.scaler.scaleIn(m, cluster.DrainNeverUp)
	}
}

// repeatStops sends halts again that have had no effect.
func (mo *monitor) repeatStops(m *cluster.Machine, now time.Time) {
	for _, a := range m.Tasks {
		if a.Stopping && !a.Unstored && (a.StopSentAt.IsZero() || now.Sub(a.StopSentAt) > stopRepeat) {
			mo.dispatcher.dispatch(m)
			return
		}
	}
}

// probeUnresponsive probes a machine that is overdue.
func (mo *monitor) probeUnresponsive(m *cluster.Machine, c *machineCounts, now time.Time) {
	probeAfter, _ := mo.unresponsiveLimits(m, c)
	if mo.state.SinceLastMessage(m, now) <= probeAfter || m.UnansweredProbes >= maxProbes || m.CommandInFlight {
		return
	}
	if m.UnansweredProbes > 0 && mo.state.BehindPartition(m, now) {
		return
	}
	mo.dispatcher.probe(m)
}

// machineLost tells whether a silent machine is to be given up.
func (mo *monitor) machineLost(m *cluster.Machine, c *machineCounts, now time.Time) bool {
	_, lostAfter := mo.unresponsiveLimits(m, c)
	silence := mo.state.SinceLastMessage(m, now)
	probed := silence > lostAfter && m.UnansweredProbes > 1 && m.RelayUnanswered
	// A machine that an earlier leader used, that is in no list and says
	// nothing has no address to probe; it is as lost as one that was probed.
	late := silence > mo.state.HeartbeatInterval()*13/4+2*time.Second && (m.UnansweredProbes > 0 || m.Addr == "")
	taken := !m.ReclaimAt.IsZero() && now.After(m.ReclaimAt.Add(time.Second)) && silence > mo.state.HeartbeatInterval()+time.Second
	return (probed || late || taken) && !mo.keptThoughUnresponsive(m, c, now)
}

// checkTasks stops what runs on a machine that the cloud takes back, and ends
// launches that may still be on their way to one that takes nothing new.
func (mo *monitor) checkTasks(m *cluster.Machine, now time.Time) {
	mo.checkpointBeforeReclaim(m, now)
	for _, a := range m.Tasks {
		if a.Unstored {
			continue
		}
		if !m.ReclaimAt.IsZero() && a.Job.Spec.Service() && !a.Stopping {
			mo.dispatcher.stop(a, 0, cluster.EvictedMachineReclaimed)
		}
		if a.LaunchUnanswered && !a.Observed && (a.Stopping || m.DrainReason != "") && now.Sub(a.DecidedAt) > 6*time.Second {
			mo.Fencing.RaiseRequested = true
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
func (mo *monitor) checkpointBeforeReclaim(m *cluster.Machine, now time.Time) {
	if m.ReclaimAt.IsZero() {
		return
	}
	for _, a := range m.Tasks {
		spec := &a.Job.Spec
		if a.Unstored || a.Stopping || spec.CheckpointInterval == 0 {
			continue
		}
		need := spec.CheckpointTime.Duration() + reclaimMargin
		if spec.Gang() {
			need += mo.state.Settings.Workers.GangPeerTimeout.Duration()
		}
		if m.ReclaimAt.Sub(now) < need {
			mo.dispatcher.stop(a, mo.state.GracePeriodOf(a.Job), "saves before its machine is taken")
		}
	}
}

// unlisted tells whether the lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no partition behind which it lives and
// is to be kept: asking for its release costs nothing and brings the proof. (When
// most machines had vanished at once it looked as if this node were cut off for as long
// as no more were rented than that, and none of them was ever asked for.)
func (mo *monitor) unlisted(m *cluster.Machine) bool {
	return mo.state.MachineListRequestedAt.Sub(m.ListedAt) > 2*mo.state.Settings.Cloud.ListLag.Duration()+10*time.Second
}

// replicasMovable tells whether a machine in a zone that is cut off holds replicas that
// could be started elsewhere before long: their leases end about now, as no
// delegate in the zone can renew them any more, and other zones may have all
// that their service runs in this one. (With two zones a service that is spread
// has nowhere to go; to end its replicas early would gain nothing.)
func (mo *monitor) replicasMovable(m *cluster.Machine, now time.Time) bool {
	answered := m.LastMessageAt
	if lost := mo.zoneControllersLastContact(m.Zone); !lost.IsZero() {
		answered = cluster.Latest(answered, lost.Add(mo.state.Delegation.Time-mo.state.HeartbeatInterval()*5/4))
	} else if answered.IsZero() {
		answered = mo.state.TermStartedAt
	}
	if now.Sub(answered) < mo.state.Settings.Workers.Lease.Duration()*95/100 {
		return false
	}
	for _, a := range m.Tasks {
		if !a.Job.Spec.Service() || a.Job.Spec.Zone != "" {
			continue
		}
		if !a.Job.Spec.Spread {
			return true
		}
		held, room := a.Job.ActiveByZone(), 0
		for _, z := range mo.state.Zones() {
			if z != m.Zone && !mo.state.LatelyPartitioned(z, now) {
				room += a.Job.Spec.ZoneCap() - held[z]
			}
		}
		if room >= held[m.Zone] {
			return true
		}
	}
	return false
}
