package simulator

import (
	"lilaclead/internal/wire"
)

// IsolateZone cuts a zone's controllers and machines off from everything else and holds the
// packets, or ends the cut and delivers them.
func (sim *Simulation) IsolateZone(z wire.Zone, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.isolatedZone = ""; on {
		sim.isolatedZone = z
	}
	for _, m := range sim.machines {
		if m.zone == z {
			sim.Net.Isolate(m.ip, on)
		}
	}
	for i, n := range sim.controllers {
		if n.cfg.Zone == z {
			sim.Net.Isolate(NodeIP(i), on)
		}
	}
}

// PartitionZones cuts two zones off from each other and holds the packets between them, or ends
// the cut and delivers them. Both still reach everything else.
func (sim *Simulation) PartitionZones(a, b wire.Zone, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.partitionedZones = [2]wire.Zone{}; on {
		sim.partitionedZones = [2]wire.Zone{a, b}
	}
	for i, n := range sim.controllers {
		for k, o := range sim.controllers {
			if n.cfg.Zone == a && o.cfg.Zone == b {
				sim.Net.Cut(NodeIP(i), NodeIP(k), on)
			}
		}
	}
	for _, m := range sim.machines {
		sim.partitionMachine(m, a, b, on)
	}
}

// partitionMachine cuts a machine off from the controllers of the other of two zones, or ends the
// cut; the caller holds the lock.
func (sim *Simulation) partitionMachine(m *worker, a, b wire.Zone, on bool) {
	for i, n := range sim.controllers {
		if z := n.cfg.Zone; z == a && m.zone == b || z == b && m.zone == a {
			sim.Net.Cut(m.ip, NodeIP(i), on)
		}
	}
}
