package liveness

import (
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// manyMachines is how many unresponsive or relayed machines are not taken for single
// faults.
const manyMachines = 3

// singleFaultDivisor bounds the machines that may be faulty each by itself to a quarter of
// all, where that is more than manyMachines.
const singleFaultDivisor = 4

// machineCounts counts the machines that should send heartbeats, by how they can be
// reached.
type machineCounts struct {
	up                       int
	unresponsive             int // their heartbeats are overdue
	lost                     int // their heartbeats are long overdue
	relayed                  int // reach this node only through another one
	inboundLost              int // send heartbeats, and receive nothing
	outboundLost             int // answer, and none of their heartbeats arrives
	replicaHosts             int // hold replicas
	replicaHostsUnresponsive int // hold replicas and are unresponsive
	zoneUp                   map[wire.Zone]int
	zoneLost                 map[wire.Zone]int
}

// CountMachines counts the machines that should send heartbeats.
func (mo *Monitor) CountMachines(now time.Time) *machineCounts {
	counts := &machineCounts{zoneUp: map[wire.Zone]int{}, zoneLost: map[wire.Zone]int{}}
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
	counts.zoneUp[machine.Zone]++
	if machine.RelayedOnly {
		counts.relayed++
	}
	if !machine.Inbound.Works() {
		counts.inboundLost++
	}
	if mo.State.OutboundConnectivityLost(machine, now) {
		counts.outboundLost++
	}
	if sinceMessage > limits.unresponsiveAfter() {
		counts.unresponsive++
	}
	if sinceMessage > limits.lostAfter() {
		counts.lost++
		counts.zoneLost[machine.Zone]++
	}
	if !mo.State.HoldsReplicas(machine) {
		return
	}
	counts.replicaHosts++
	if sinceMessage > maxReplicaHostWait+2*agents.ProbeTimeout {
		counts.replicaHostsUnresponsive++
	}
}

// isolated reports whether it is rather this node that is cut off: most machines are
// unresponsive.
func (c *machineCounts) isolated() bool {
	return c.unresponsive >= manyMachines && c.unresponsive*2 > c.up
}

// unreachable reports whether this node is isolated and most machines are lost, or most
// machines come through other nodes.
func (c *machineCounts) unreachable() bool {
	mostLost := c.isolated() && c.lost*2 > c.up
	mostRelayed := c.relayed >= manyMachines && c.relayed*2 > c.up
	return mostLost || mostRelayed
}

// plausibleSingleFaults reports whether so many machines of all may be faulty each by
// itself.
func plausibleSingleFaults(faulty, total int) bool {
	return faulty <= max(manyMachines, total/singleFaultDivisor)
}
