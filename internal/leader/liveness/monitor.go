package liveness

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// Monitor judges from what arrives and what does not which machines are alive, whose
// leases have expired, and acts on it.
type Monitor struct {
	*core.Loop
	State      *cluster.State
	Mesh       *peer.Mesh
	Peers      []config.Peer
	Writer     *progress.Writer
	Dispatcher *agents.Dispatcher
	Scaler     *autoscaler.Scaler
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
func (mo *Monitor) unresponsiveAfter() time.Duration {
	return mo.State.HeartbeatInterval()*5/4 + heartbeatDelay
}

// lostAfter is when a silent machine is taken for lost: two probes without an answer
// tell its end.
func (mo *Monitor) lostAfter() time.Duration { return mo.unresponsiveAfter() + 2*agents.ProbeTimeout }

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

func (mo *Monitor) CountMachines(now time.Time) *machineCounts {
	c := &machineCounts{zoneUp: map[wire.Zone]int{}, zoneLost: map[wire.Zone]int{}}
	silentAfter, lostAfter := mo.unresponsiveAfter(), mo.lostAfter()
	for _, m := range mo.State.Machines {
		if m.Booting || m.ScalingIn {
			continue
		}
		silence := mo.State.SinceLastMessage(m, now)
		c.up++
		c.zoneUp[m.Zone]++
		if m.RelayedOnly {
			c.relayed++
		}
		if !m.Inbound.Works() {
			c.inboundLost++
		}
		if mo.State.OutboundLost(m, now) {
			c.outboundLost++
		}
		if silence > silentAfter {
			c.unresponsive++
		}
		if silence > lostAfter {
			c.lost++
			c.zoneLost[m.Zone]++
		}
		if !mo.State.HoldsReplicas(m) {
			continue
		}
		c.replicaHosts++
		if silence > replicaHostProbeAfter+2*agents.ProbeTimeout {
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

// CheckMachines looks for machines that are silent, late, or empty and
// unwanted.
func (mo *Monitor) CheckMachines(now time.Time) {
	for id, at := range mo.State.RemovedMachines {
		if now.Sub(at) > forgetRemovedAfter {
			delete(mo.State.RemovedMachines, id)
		}
	}
	c := mo.CountMachines(now)
	mo.Metrics.Machines(mo.State.MachineStateCounts())
	if node, ok := mo.betterConnectedPeer(c, now); ok {
		mo.Resign("workers reach " + string(node) + ", not this node")
		return
	}
	mo.State.DelegatesRenewedUntil = mo.anyDelegateAnswersUntil(now)
	if !c.isolated() {
		mo.judgePartitions(c, now)
	}
	for _, m := range mo.State.Machines {
		mo.checkReplicas(m, c, now)
		mo.CheckMachine(m, c, now)
		if fewEnoughForSingleFaults(c.inboundLost, c.up) {
			mo.checkInboundPath(m, now)
		}
		mo.checkOutboundPath(m, now, fewEnoughForSingleFaults(c.outboundLost, c.up))
	}
	mo.releaseUncancellable(now)
}

// betterConnectedPeer is a node that most workers reach, if they don't reach this one.
func (mo *Monitor) betterConnectedPeer(c *machineCounts, now time.Time) (wire.NodeID, bool) {
	settled := mo.lostAfter() + mo.State.Settings.Workers.Lease.Duration()/8
	if !c.unreachable() || !mo.Lease.Deciding() || now.Sub(mo.State.TermStartedAt) <= settled {
		return "", false
	}
	for name, o := range mo.Mesh.View().Peers {
		if o.Connected(now) && o.StateReachable && o.ReachableWorkers*2 > c.up {
			return name, true
		}
	}
	return "", false
}

// checkReplicas returns a machine in a partitioned zone whose replicas can be
// started elsewhere. They end with its lease, and nothing tells just when. The cloud
// can end them for sure. If the cloud is away too, the lease is waited out.
func (mo *Monitor) checkReplicas(m *cluster.Machine, c *machineCounts, now time.Time) {
	if mo.State.Partitioned(m.Zone, now) && !c.isolated() && mo.replicasMovable(m, now) {
		mo.Scaler.ScaleIn(m, cluster.DrainLeaseExpiring)
	}
}

// unresponsiveLimits is how long a machine may be silent before it is probed, and before it
// is taken for lost. A machine with replicas is not left alone for as long as
// reports may take: the replicas of one that has stopped are down until that is
// known. When many such are quiet it is rather the way to them.
func (mo *Monitor) unresponsiveLimits(m *cluster.Machine, c *machineCounts) (probeAfter, lostAfter time.Duration) {
	probeAfter, lostAfter = mo.unresponsiveAfter(), mo.lostAfter()
	if !mo.State.HoldsReplicas(m) {
		return probeAfter, lostAfter
	}
	probeAfter = min(probeAfter, replicaHostProbeAfter)
	if fewEnoughForSingleFaults(c.replicaHostsUnresponsive, c.replicaHosts) {
		lostAfter = min(lostAfter, probeAfter+3*agents.ProbeTimeout)
	}
	return probeAfter, lostAfter
}

// keptThoughUnresponsive tells whether a machine is not returned for its silence.
func (mo *Monitor) keptThoughUnresponsive(m *cluster.Machine, c *machineCounts, now time.Time) bool {
	// Before the first list nothing is known of a machine that an earlier
	// leader used and that has not reported, not even its zone.
	if m.Zone == "" && !mo.State.MachineListReceived {
		return true
	}
	if mo.unlisted(m) {
		return false
	}
	// Where the partition is over the machines need a while to report again.
	outlasted := max(mo.State.Settings.Workers.Lease.Duration()*5/2, mo.State.Settings.Workers.CancelTimeout.Duration()*2)
	return c.isolated() || mo.State.LatelyPartitioned(m.Zone, now) && mo.State.SinceLastMessage(m, now) < outlasted
}

// releaseUncancellable returns machines on which a cancelled task goes on.
func (mo *Monitor) releaseUncancellable(now time.Time) {
	if !mo.Lease.Deciding() || !mo.State.Recovered {
		return
	}
	for _, j := range mo.State.Jobs {
		if j.Cancelled && j.ActiveTasks > 0 && now.Sub(j.CancelledAt) > mo.State.Settings.Workers.CancelTimeout.Duration()*6/10 {
			for _, a := range j.Attempts() {
				mo.Scaler.ScaleIn(a.Machine, cluster.DrainUncancellable)
			}
		}
	}
}

// CheckMachine looks after one machine: its boot, its silence, its lease, and what
// it is still to be told.
func (mo *Monitor) CheckMachine(m *cluster.Machine, c *machineCounts, now time.Time) {
	switch {
	case m.ScalingIn:
		mo.ExpireLease(m, now)
		return
	case m.Booting:
		mo.checkBoot(m, now)
		return
	case !mo.State.Recovered:
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
		mo.Scaler.ScaleIn(m, cluster.DrainFailed)
		return
	}
	mo.probeUnresponsive(m, c, now)
	if mo.machineLost(m, c, now) {
		mo.Scaler.ScaleIn(m, cluster.DrainUnresponsive)
		return
	}
	mo.ExpireLease(m, now)
	idle := len(m.Tasks) == 0 && len(m.OrphanTasks) == 0 && mo.Writer.AllStored(m.LastUsedAt, time.Now())
	if m.DrainReason == cluster.DrainAdoptedScaleIn || m.DrainReason != "" && idle {
		mo.Scaler.ScaleIn(m, m.DrainReason)
		return
	}
	mo.checkTasks(m, now)
}

// checkBoot returns a machine that should have come up long ago.
func (mo *Monitor) checkBoot(m *cluster.Machine, now time.Time) {
	boot := defaultBootTime
	if spec := mo.State.MachineSpec(m.MachineType); spec != nil {
		boot = spec.BootTime.Duration()
	}
	if now.Sub(m.RequestedAt) > boot*11/4+5*time.Second && mo.Lease.Deciding() {
		mo.Scaler.ScaleIn(m, cluster.DrainNeverUp)
	}
}

// repeatStops sends halts again that have had no effect.
func (mo *Monitor) repeatStops(m *cluster.Machine, now time.Time) {
	for _, a := range m.Tasks {
		if a.Stopping && !a.Unstored && (a.StopSentAt.IsZero() || now.Sub(a.StopSentAt) > stopRepeat) {
			mo.Dispatcher.Dispatch(m)
			return
		}
	}
}

// probeUnresponsive probes a machine that is overdue.
func (mo *Monitor) probeUnresponsive(m *cluster.Machine, c *machineCounts, now time.Time) {
	probeAfter, _ := mo.unresponsiveLimits(m, c)
	if mo.State.SinceLastMessage(m, now) <= probeAfter || m.UnansweredProbes >= maxProbes || m.CommandInFlight {
		return
	}
	if m.UnansweredProbes > 0 && mo.State.BehindPartition(m, now) {
		return
	}
	mo.Dispatcher.Probe(m)
}

// machineLost tells whether a silent machine is to be given up.
func (mo *Monitor) machineLost(m *cluster.Machine, c *machineCounts, now time.Time) bool {
	_, lostAfter := mo.unresponsiveLimits(m, c)
	silence := mo.State.SinceLastMessage(m, now)
	probed := silence > lostAfter && m.UnansweredProbes > 1 && m.RelayUnanswered
	// A machine that an earlier leader used, that is in no list and says
	// nothing has no address to probe; it is as lost as one that was probed.
	late := silence > mo.State.HeartbeatInterval()*13/4+2*time.Second && (m.UnansweredProbes > 0 || m.Addr == "")
	taken := !m.ReclaimAt.IsZero() && now.After(m.ReclaimAt.Add(time.Second)) && silence > mo.State.HeartbeatInterval()+time.Second
	return (probed || late || taken) && !mo.keptThoughUnresponsive(m, c, now)
}

// checkTasks stops what runs on a machine that the cloud takes back, and ends
// launches that may still be on their way to one that takes nothing new.
func (mo *Monitor) checkTasks(m *cluster.Machine, now time.Time) {
	mo.checkpointBeforeReclaim(m, now)
	for _, a := range m.Tasks {
		if a.Unstored {
			continue
		}
		if !m.ReclaimAt.IsZero() && a.Job.Spec.Service() && !a.Stopping {
			mo.Dispatcher.Stop(a, 0, cluster.EvictedMachineReclaimed)
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
func (mo *Monitor) checkpointBeforeReclaim(m *cluster.Machine, now time.Time) {
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
			need += mo.State.Settings.Workers.GangPeerTimeout.Duration()
		}
		if m.ReclaimAt.Sub(now) < need {
			mo.Dispatcher.Stop(a, mo.State.GracePeriodOf(a.Job), "saves before its machine is taken")
		}
	}
}

// unlisted tells whether the lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no partition behind which it lives and
// is to be kept: asking for its release costs nothing and brings the proof. (When
// most machines had vanished at once it looked as if this node were cut off for as long
// as no more were rented than that, and none of them was ever asked for.)
func (mo *Monitor) unlisted(m *cluster.Machine) bool {
	return mo.State.MachineListRequestedAt.Sub(m.ListedAt) > 2*mo.State.Settings.Cloud.ListLag.Duration()+10*time.Second
}

// replicasMovable tells whether a machine in a zone that is cut off holds replicas that
// could be started elsewhere before long: their leases end about now, as no
// delegate in the zone can renew them any more, and other zones may have all
// that their service runs in this one. (With two zones a service that is spread
// has nowhere to go; to end its replicas early would gain nothing.)
func (mo *Monitor) replicasMovable(m *cluster.Machine, now time.Time) bool {
	answered := m.LastMessageAt
	if lost := mo.zoneControllersLastContact(m.Zone); !lost.IsZero() {
		answered = cluster.Latest(answered, lost.Add(mo.State.Delegation.Time-mo.State.HeartbeatInterval()*5/4))
	} else if answered.IsZero() {
		answered = mo.State.TermStartedAt
	}
	if now.Sub(answered) < mo.State.Settings.Workers.Lease.Duration()*95/100 {
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
		for _, z := range mo.State.Zones() {
			if z != m.Zone && !mo.State.LatelyPartitioned(z, now) {
				room += a.Job.Spec.ZoneCap() - held[z]
			}
		}
		if room >= held[m.Zone] {
			return true
		}
	}
	return false
}
