package liveness

import (
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// systemicFaultThreshold is how many machines must be unresponsive or relayed for a fault of
// this node or its network to be inferred. Up to this many machines may have separate faults,
// whatever their share of all machines.
const systemicFaultThreshold = 3

// singleFaultDivisor bounds the number of machines that may have separate faults to a quarter
// of all, where that is more than systemicFaultThreshold.
const singleFaultDivisor = 4

// machineCounts counts the machines that should send heartbeats, by how they can be reached.
type machineCounts struct {
	up                       int // should send heartbeats
	unresponsive             int // the last message is older than limits.unresponsiveAfter
	lost                     int // the last message is older than limits.lostAfter
	relayed                  int // reach this node only through another one
	inboundPathLost          int // send heartbeats, but receive nothing
	outboundPathLost         int // answer commands, but their heartbeats don't arrive
	replicaHosts             int // run replicas of services
	replicaHostsUnresponsive int // of these, silent for maxReplicaHostProbeDelay plus two probes
	upByZone                 map[wire.Zone]int
	lostByZone               map[wire.Zone]int
}

// CountMachines counts the machines that should send heartbeats.
func (mo *Monitor) CountMachines(now time.Time) *machineCounts {
	counts := &machineCounts{upByZone: map[wire.Zone]int{}, lostByZone: map[wire.Zone]int{}}
	for _, machine := range mo.State.Machines {
		if !machine.Booting && !machine.ScalingIn {
			mo.countMachine(counts, machine, now)
		}
	}
	return counts
}

func (mo *Monitor) countMachine(counts *machineCounts, machine *cluster.Machine, now time.Time) {
	limits := mo.limits()
	sinceMessage := mo.State.SinceLastMessage(machine, now)
	counts.up++
	counts.upByZone[machine.Zone]++
	if machine.RelayedOnly {
		counts.relayed++
	}
	if !machine.Inbound.Works() {
		counts.inboundPathLost++
	}
	if mo.State.OutboundConnectivityLost(machine, now) {
		counts.outboundPathLost++
	}
	if sinceMessage > limits.unresponsiveAfter() {
		counts.unresponsive++
	}
	if sinceMessage > limits.lostAfter() {
		counts.lost++
		counts.lostByZone[machine.Zone]++
	}
	if !mo.State.HoldsReplicas(machine) {
		return
	}
	counts.replicaHosts++
	if sinceMessage > maxReplicaHostProbeDelay+2*agents.ProbeTimeout {
		counts.replicaHostsUnresponsive++
	}
}

// isolated reports whether this node, rather than the machines, is probably cut off: most
// machines are unresponsive, and at least systemicFaultThreshold are.
func (c *machineCounts) isolated() bool {
	return c.unresponsive >= systemicFaultThreshold && c.unresponsive*2 > c.up
}

// mostOutOfDirectContact reports whether most machines are lost, or most reach this node only
// through other nodes. Fewer than systemicFaultThreshold machines do not count as most.
func (c *machineCounts) mostOutOfDirectContact() bool {
	majorityLost := c.isolated() && c.lost*2 > c.up
	majorityRelayed := c.relayed >= systemicFaultThreshold && c.relayed*2 > c.up
	return majorityLost || majorityRelayed
}

// plausibleSingleFaults reports whether the faulty machines are so few that each may have a
// fault of its own. More of them suggest a common cause, such as the network.
func plausibleSingleFaults(faulty, total int) bool {
	return faulty <= max(systemicFaultThreshold, total/singleFaultDivisor)
}
