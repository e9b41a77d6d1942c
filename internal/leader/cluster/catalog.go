package cluster

import (
	"sync/atomic"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// MachineCatalog shares the machine types between the actors of a node.
type MachineCatalog struct {
	p atomic.Pointer[[]wire.MachineSpec]
}

// Get is the types last seen, nil if none ever were.
func (b *MachineCatalog) Get() []wire.MachineSpec {
	if f := b.p.Load(); f != nil {
		return *f
	}
	return nil
}

// Set replaces them.
func (b *MachineCatalog) Set(f []wire.MachineSpec) { b.p.Store(&f) }

// MachineResources is all the room of a machine of the type.
func MachineResources(spec *wire.MachineSpec) placement.Resources {
	return placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}
