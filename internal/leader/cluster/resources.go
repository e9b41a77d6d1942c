package cluster

import (
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Reservation is capacity that is being freed on a machine for a job.
type Reservation struct {
	placement.Reservation
	AwaitedTasks []wire.TaskID // tasks on the machine that are expected to end by themselves
	ExpiresAt    time.Time
}

// ResourcesOfMachineType returns the total resources of a machine of the type.
func ResourcesOfMachineType(spec *wire.MachineSpec) placement.Resources {
	return placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// MachineSpec returns a machine type of the catalog; nil if the catalog lacks it.
func (s *State) MachineSpec(machineType wire.MachineType) *wire.MachineSpec {
	specs := s.Catalog.Get()
	for i := range specs {
		if specs[i].Name == machineType {
			return &specs[i]
		}
	}
	return nil
}

// ImageCacheGB returns the size of a machine type's image cache; 0 if it is unknown.
func (s *State) ImageCacheGB(machineType wire.MachineType) float64 {
	if spec := s.MachineSpec(machineType); spec != nil {
		return spec.DiskGB
	}
	return 0
}

// TotalResources returns the total resources of a machine; none if the catalog lacks its
// type.
func (s *State) TotalResources(m *Machine) placement.Resources {
	if spec := s.MachineSpec(m.MachineType); spec != nil {
		return ResourcesOfMachineType(spec)
	}
	return placement.Resources{}
}

// noResources is free on a machine on which nothing may be started.
var noResources = placement.Resources{Tasks: -placement.MaxTasksPerMachine}

// FreeResources returns the resources that neither attempts nor orphans use. The exits that the
// machine lists count as tasks. A machine with an orphan of an unknown job has none free, because
// the orphan may be of any size.
func (s *State) FreeResources(m *Machine) placement.Resources {
	free := s.TotalResources(m).Minus(m.usedResources)
	free.Tasks -= float64(m.ListedExits)
	for task := range m.OrphanTasks {
		j := s.Jobs[task.Job]
		if j == nil {
			return noResources
		}
		counted := m.Attempts[task] != nil // in usedResources, by another attempt of the task
		if !counted {
			free = free.Minus(placement.ResourcesOf(&j.Spec))
		}
	}
	return free
}
