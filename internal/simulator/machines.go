package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// Machines counts the machines that exist.
func (sim *Simulation) Machines() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return len(sim.machines)
}

// FaultyMachines returns the machines on which all tasks fail.
func (sim *Simulation) FaultyMachines() []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machinesWhere(func(m *worker) bool { return m.faulty })
}

// ProvisionedSoFar counts all machines that were ever provisioned.
func (sim *Simulation) ProvisionedSoFar() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.provisionedCount
}

// machinesWhere returns the machines for which passes returns true, sorted; the caller
// holds the lock.
func (sim *Simulation) machinesWhere(passes func(*worker) bool) []wire.MachineID {
	var out []wire.MachineID
	for id, m := range sim.machines {
		if passes(m) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// FirstMachine returns the name and IP address of the first machine that is up and for whose
// number of tasks passes returns true.
func (sim *Simulation) FirstMachine(passes func(tasks int) bool) (wire.MachineID, string, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	ids := sim.machinesWhere(func(m *worker) bool { return m.up && passes(len(m.tasks)) })
	if len(ids) == 0 {
		return "", "", false
	}
	return ids[0], sim.machines[ids[0]].ip, true
}

// RunningMachines returns the machines that are up.
func (sim *Simulation) RunningMachines() []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machinesWhere(func(m *worker) bool { return m.up })
}

// RunningMachinesIn returns the machines of a zone that are up.
func (sim *Simulation) RunningMachinesIn(z wire.Zone) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machinesWhere(func(m *worker) bool { return m.zone == z && m.up })
}

// BusyMachines returns the machines of a zone (empty: of all) that run tasks.
func (sim *Simulation) BusyMachines(z wire.Zone) []wire.MachineID {
	return sim.machinesOfTasks(func(_ wire.TaskID, p Place) bool { return z == "" || p.Zone == z })
}

// MachinesRunning returns the machines that run tasks of a job.
func (sim *Simulation) MachinesRunning(id wire.JobID) []wire.MachineID {
	return sim.machinesOfTasks(func(t wire.TaskID, _ Place) bool { return t.Job == id })
}

// TaskMachines returns the machine of each running task of a job.
func (sim *Simulation) TaskMachines(id wire.JobID) map[wire.TaskID]wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machines := map[wire.TaskID]wire.MachineID{}
	for task, place := range sim.checker.placeOf {
		if task.Job == id {
			machines[task] = place.Machine
		}
	}
	return machines
}

// machinesOfTasks returns the machines of the running tasks for which passes returns true,
// sorted.
func (sim *Simulation) machinesOfTasks(passes func(wire.TaskID, Place) bool) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []wire.MachineID
	for t, p := range sim.checker.placeOf {
		if passes(t, p) && !slices.Contains(out, p.Machine) {
			out = append(out, p.Machine)
		}
	}
	slices.Sort(out)
	return out
}

// MachinesHolding returns the machines that have tasks of a job in any phase before exited.
func (sim *Simulation) MachinesHolding(id wire.JobID) []wire.MachineID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machinesWhere(func(m *worker) bool {
		for t, run := range m.tasks {
			if t.Job == id && run.phase != wire.PhaseExited {
				return true
			}
		}
		return false
	})
}

// MachineIP returns the IP address of a machine, empty if the machine is gone.
func (sim *Simulation) MachineIP(id wire.MachineID) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		return m.ip
	}
	return ""
}

// MachineZone returns the zone of a machine, empty if the machine is gone.
func (sim *Simulation) MachineZone(id wire.MachineID) wire.Zone {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		return m.zone
	}
	return ""
}

// MachineEpoch returns a machine's agent epoch, the sequence number of its last message and
// the highest token that it has seen; zeros if the machine is gone.
func (sim *Simulation) MachineEpoch(id wire.MachineID) (wire.AgentEpoch, wire.Sequence, wire.FencingToken) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		return m.epoch, m.sequence, m.token
	}
	return 0, 0, 0
}

// NewestMachine returns the age of the machine that was provisioned last among those that
// are up, and how long it took to boot; zeros if no machine is up.
func (sim *Simulation) NewestMachine() (age, boot time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range sim.machines {
		if sinceProvisioned := time.Since(m.provisionedAt); m.up && (boot == 0 || sinceProvisioned < age) {
			age, boot = sinceProvisioned, m.upAt.Sub(m.provisionedAt)
		}
	}
	return
}

// JobsWithCapacity returns the number of waiting tasks of each job that could start one now:
// some machine has enough free capacity for the task, the placement of the job's other tasks
// allows that machine, and the job's team is below its limit.
func (sim *Simulation) JobsWithCapacity() map[wire.JobID]int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := map[wire.JobID]int{}
	for id, job := range sim.checker.jobs {
		waiting := sim.checker.Waiting(id)
		spec, limit := &job.spec, sim.checker.Limits[job.spec.Team]
		if !job.accepted || job.cancelRequested || job.finalStatus != "" || waiting == 0 || limit.CPUs > 0 && sim.checker.CPUsUsed(spec.Team)+spec.CPUs > limit.CPUs+wire.AmountTolerance {
			continue
		}
		zones := sim.checker.TasksByZone(id)
		for _, m := range sim.machines {
			free := m.capacity()
			if m.up && m.reclaimAt.IsZero() && free.fits(spec, zones) {
				out[id] = waiting
			}
		}
	}
	return out
}

// capacity returns the machine with its free capacity and its tasks; the caller holds the
// lock.
func (m *worker) capacity() MachineCapacity {
	capacity := MachineCapacity{
		Place:  Place{m.id, m.machineType, m.zone, m.spot},
		Usable: m.up && !m.faulty && m.reclaimAt.IsZero(),
		CPUs:   m.spec.CPUs, GPUs: m.spec.GPUs, MemoryGB: m.spec.MemoryGB, DiskGB: m.spec.DiskGB,
	}
	for task, run := range m.tasks {
		script := m.sim.scripts[task.Job]
		if script == nil || run.phase == wire.PhaseExited {
			continue
		}
		capacity.CPUs -= script.Spec.CPUs
		capacity.GPUs -= script.Spec.GPUs
		capacity.MemoryGB -= script.Spec.MemoryGB
		capacity.Tasks = append(capacity.Tasks, task)
	}
	return capacity
}
