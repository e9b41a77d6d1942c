package fleet

import (
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// bin is a machine, present or to be added, into which demands are packed.
type bin struct {
	machineType wire.MachineType
	zone        wire.Zone
	spot        bool
	free        placement.Resources
	services    bool
	used        bool
	freeing     []ExpectedRelease
}

// newBin returns the bin of a machine. A machine that boots or is idle is not used yet.
func (m *Machine) newBin() bin {
	return bin{
		machineType: m.Type,
		zone:        m.Zone,
		spot:        m.Spot,
		free:        m.Free,
		services:    m.ServiceTasks > 0,
		used:        !m.Idle && !m.Booting,
		freeing:     slices.Clone(m.ExpectedReleases),
	}
}

// newBin returns a machine of the offer with nothing on it.
func (o *Offer) newBin() bin {
	return bin{machineType: o.Type, zone: o.Zone, spot: o.Spot, free: o.Total}
}

// allowed reports whether the job may run in the bin.
func (b *bin) allowed(spec *wire.JobSpec) bool {
	m := placement.Machine{Type: b.machineType, Zone: b.zone, Spot: b.spot}
	return placement.MachineAllowed(spec, &m)
}

// freeWithin returns the room that is free, or will be within so many seconds.
func (b *bin) freeWithin(seconds float64) placement.Resources {
	free := b.free
	for _, f := range b.freeing {
		if f.InSeconds <= seconds {
			free = free.Plus(f.Resources)
		}
	}
	return free
}

// fill takes as much room as the demand may use of what is free, for so many units at
// most, and returns how many units that is.
func (b *bin) fill(d *Demand, most int) int {
	unit := placement.ResourcesOf(d.Spec)
	units := d.zoneUnits(b.zone, min(most, unit.UnitsIn(b.free)))
	if units <= 0 || !b.allowed(d.Spec) {
		return 0
	}
	b.take(unit, units)
	b.services = b.services || d.Spec.IsService()
	if d.ZoneCapacityLeft != nil {
		d.ZoneCapacityLeft[b.zone] -= units
	}
	return units
}

// take takes the room of so many units.
func (b *bin) take(unit placement.Resources, units int) {
	b.free = b.free.Minus(unit.Times(float64(units)))
	b.used = true
}

// freesInTime reports whether tasks there are expected to free room within the demand's
// slack.
func (b *bin) freesInTime(d *Demand) bool {
	return len(b.freeing) > 0 && b.freeing[0].InSeconds <= d.SlackSeconds && b.allowed(d.Spec)
}

// fillFreed takes room that running tasks will free within the demand's slack, for so
// many units at most, and returns how many units that is.
func (b *bin) fillFreed(d *Demand, most int) int {
	unit := placement.ResourcesOf(d.Spec)
	filled := 0
	// Neighbouring tasks of a machine may have to end together to make room for a larger
	// one.
	var room placement.Resources
	kept := b.freeing[:0]
	for _, f := range b.freeing {
		if f.InSeconds > d.SlackSeconds || filled == most {
			kept = append(kept, f)
			continue
		}
		room = room.Plus(f.Resources)
		if units := min(most-filled, unit.UnitsIn(room)); units > 0 {
			filled += units
			room = placement.Resources{}
		}
	}
	b.freeing = kept
	return filled
}

// zoneUnits returns how many of so many units the zone may still take of the demand.
func (d *Demand) zoneUnits(zone wire.Zone, units int) int {
	if d.ZoneCapacityLeft == nil {
		return units
	}
	return min(units, d.ZoneCapacityLeft[zone])
}
