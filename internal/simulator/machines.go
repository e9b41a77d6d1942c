package simulator

import (
	"slices"
	"sort"
	"time"

	"lilaclead/internal/wire"
)

// Machines counts the machines that exist.
func (sim *Simulation) Machines() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return len(sim.machines)
}

// ProvisionedSoFar counts all the machines that were ever provisioned.
func (sim *Simulation) ProvisionedSoFar() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.provisionedCount
}

// FirstMachine picks a live machine that passes the test.
func (sim *Simulation) FirstMachine(which func(tasks int) bool) (wire.MachineID, string, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var ids []string
	for id, m := range sim.machines {
		if m.up && which(len(m.tasks)) {
			ids = append(ids, string(id))
		}
	}
	if len(ids) == 0 {
		return "", "", false
	}
	sort.Strings(ids)
	m := sim.machines[wire.MachineID(ids[0])]
	return m.id, m.ip, true
}

// RunningMachines lists the machines that are up.
func (sim *Simulation) RunningMachines() []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []wire.MachineID
	for id, m := range sim.machines {
		if m.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RunningMachinesIn lists the machines that are up in a zone.
func (sim *Simulation) RunningMachinesIn(z wire.Zone) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []wire.MachineID
	for id, m := range sim.machines {
		if m.zone == z && m.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// BusyMachines lists the machines of a zone (empty: of all) that run tasks.
func (sim *Simulation) BusyMachines(z wire.Zone) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []wire.MachineID
	for _, p := range sim.checker.on {
		if (z == "" || p.Zone == z) && !slices.Contains(out, p.Machine) {
			out = append(out, p.Machine)
		}
	}
	slices.Sort(out)
	return out
}

// MachinesRunning lists the machines that run tasks of a job.
func (sim *Simulation) MachinesRunning(id wire.JobID) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []wire.MachineID
	for t, p := range sim.checker.on {
		if t.Job == id && !slices.Contains(out, p.Machine) {
			out = append(out, p.Machine)
		}
	}
	slices.Sort(out)
	return out
}

// MachinesHolding lists the machines that have tasks of a job, whatever they do.
func (sim *Simulation) MachinesHolding(id wire.JobID) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []wire.MachineID
	for _, m := range sim.machines {
		for t, x := range m.tasks {
			if t.Job == id && x.phase != wire.PhaseExited && !slices.Contains(out, m.id) {
				out = append(out, m.id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// MachineIP returns the address of a machine, empty if it is gone.
func (sim *Simulation) MachineIP(id wire.MachineID) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		return m.ip
	}
	return ""
}

// MachineZone returns the zone of a machine, empty if it is gone.
func (sim *Simulation) MachineZone(id wire.MachineID) wire.Zone {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		return m.zone
	}
	return ""
}

// MachineEpoch returns a machine's agent epoch, the number of its last message and the highest
// token it has seen; zero if it is gone.
func (sim *Simulation) MachineEpoch(id wire.MachineID) (wire.AgentEpoch, wire.Sequence, wire.FencingToken) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		return m.epoch, m.sequence, m.token
	}
	return 0, 0, 0
}

// NewestMachine tells of the newest machine that is up how long ago it was provisioned and how
// long after that it was up; zero if there is none.
func (sim *Simulation) NewestMachine() (age, boot time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range sim.machines {
		if old := time.Since(m.provisionedAt); m.up && (boot == 0 || old < age) {
			age, boot = old, m.upAt.Sub(m.provisionedAt)
		}
	}
	return
}

// JobsWithRoom lists the jobs that have a task waiting for which a machine has room
// now where the job's other tasks let it be, with their team under its limit, and
// how many tasks of each wait.
func (sim *Simulation) JobsWithRoom() map[wire.JobID]int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := map[wire.JobID]int{}
	for id, j := range sim.checker.jobs {
		n := sim.checker.Waiting(id)
		s, l := &j.spec, sim.checker.Limits[j.spec.Team]
		if !j.accepted || j.cancelRequested || j.finalStatus != "" || n == 0 || l.CPUs > 0 && sim.checker.CPUsUsed(s.Team)+s.CPUs > l.CPUs+wire.Eps {
			continue
		}
		zones := sim.checker.TasksByZone(id)
		for _, m := range sim.machines {
			cpus, ram := m.freeRoom()
			elsewhere := len(zones) > 1 || len(zones) == 1 && zones[m.zone] == 0
			if m.up && m.reclaimAt.IsZero() && cpus+wire.Eps >= s.CPUs && ram+wire.Eps >= s.MemoryGB && (s.SpotAllowed || !m.spot) && (s.Zone == "" || s.Zone == m.zone) &&
				(s.MachineTypes == nil || slices.Contains(s.MachineTypes, m.machineType)) && !(s.SameZone && elsewhere) && !(s.Spread && zones[m.zone] >= (s.Tasks+1)/2) {
				out[id] = n
			}
		}
	}
	return out
}

// freeRoom returns the free capacity of a machine; the caller holds the lock.
func (m *worker) freeRoom() (cpus, ram float64) {
	cpus, ram = m.spec.CPUs, m.spec.MemoryGB
	for t, x := range m.tasks {
		if x.phase != wire.PhaseExited {
			cpus -= m.sim.scripts[t.Job].Spec.CPUs
			ram -= m.sim.scripts[t.Job].Spec.MemoryGB
		}
	}
	return cpus, ram
}
