package cluster

import (
	"sync/atomic"

	"lilaclead/internal/wire"
)

// MachineCatalog shares the machine types that the cloud offers between the goroutines of
// a node. Unlike the rest of the package it is safe for concurrent use.
type MachineCatalog struct {
	specs atomic.Pointer[[]wire.MachineSpec]
}

// Get returns the types that were last set; nil if none ever were. The caller must not
// change them.
func (c *MachineCatalog) Get() []wire.MachineSpec {
	if specs := c.specs.Load(); specs != nil {
		return *specs
	}
	return nil
}

// Set replaces the types. The caller must not change them afterwards.
func (c *MachineCatalog) Set(specs []wire.MachineSpec) { c.specs.Store(&specs) }
