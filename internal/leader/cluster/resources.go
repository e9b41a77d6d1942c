package cluster

import (
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Reservation is room that is being made on a machine for a job.
type Reservation struct {
	placement.Reservation
	AwaitedTasks []wire.TaskID // expected to end by themselves
	ExpiresAt    time.Time     // until when it is kept
}

// MachineResources returns all the room of a machine of the type.
func MachineResources(spec *wire.MachineSpec) placement.Resources {
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

// TotalResources returns all the room of a machine. One of a type that the catalog lacks
// can hold nothing.
func (s *State) TotalResources(m *Machine) placement.Resources {
	if spec := s.MachineSpec(m.MachineType); spec != nil {
		return MachineResources(spec)
	}
	return placement.Resources{}
}

// FreeResources returns the room that neither attempts nor orphans take. A machine with an
// orphan of a job that is not known has none, as the orphan may be of any size.
func (s *State) FreeResources(m *Machine) placement.Resources {
	free := s.TotalResources(m).Minus(m.usedResources)
	for task := range m.OrphanTasks {
		j := s.Jobs[task.Job]
		if j == nil {
			return placement.Resources{}
		}
		counted := m.Tasks[task] != nil // with the attempt of the same task
		if !counted {
			free = free.Minus(placement.ResourcesOf(&j.Spec))
		}
	}
	return free
}
