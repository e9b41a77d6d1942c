package fleet

import (
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// bin is a machine, present or to be added, into which demands are packed. Its fields change as
// units are assigned to it.
type bin struct {
	id               wire.MachineID // empty for a machine to be added
	machineType      wire.MachineType
	zone             wire.Zone
	spot             bool
	free             placement.Resources
	runsServices     bool
	used             bool              // a task or a unit of this plan is on it
	expectedReleases []ExpectedRelease // not yet assigned to units, the earliest first
}

// newBin returns the bin of a present machine. It counts as used unless the machine boots or is idle.
func (m *Machine) newBin() bin {
	return bin{
		id:               m.ID,
		machineType:      m.Type,
		zone:             m.Zone,
		spot:             m.Spot,
		free:             m.Free,
		runsServices:     m.ServiceTasks > 0,
		used:             !m.Idle && !m.Booting,
		expectedReleases: slices.Clone(m.ExpectedReleases),
	}
}

// newBin returns the empty bin of a machine of the offer.
func (o *Offer) newBin() bin {
	return bin{machineType: o.Type, zone: o.Zone, spot: o.Spot, free: o.Total}
}

// allowed reports whether the job may run in the bin.
func (b *bin) allowed(spec *wire.JobSpec) bool {
	m := placement.Machine{Type: b.machineType, Zone: b.zone, Spot: b.spot}
	return placement.MachineAllowed(spec, &m)
}

// usable reports whether units of the demand may be packed into the bin.
func (b *bin) usable(d *Demand) bool {
	return !d.AvoidMachines[b.id] && b.allowed(d.Spec)
}

// freeWithin returns the resources that are free now or are expected to be within the given time.
func (b *bin) freeWithin(seconds float64) placement.Resources {
	free := b.free
	for _, release := range b.expectedReleases {
		if release.InSeconds <= seconds {
			free = free.Plus(release.Resources)
		}
	}
	return free
}

// fill reserves free resources for up to maxUnits units of the demand, as far as the job may run
// here and the zone's limit allows. It returns the number of units.
func (b *bin) fill(d *Demand, maxUnits int) int {
	unit := placement.ResourcesOf(d.Spec)
	units := d.zoneUnits(b.zone, min(maxUnits, unit.UnitsIn(b.free)))
	if units <= 0 || !b.usable(d) {
		return 0
	}
	b.reserve(unit, units)
	b.runsServices = b.runsServices || d.Spec.IsService()
	if d.ZoneCapacityLeft != nil {
		d.ZoneCapacityLeft[b.zone] -= units
	}
	return units
}

// reserve subtracts the resources of a number of units from what is free.
func (b *bin) reserve(unit placement.Resources, units int) {
	b.free = b.free.Minus(unit.Times(float64(units)))
	b.used = true
}

// releasesInTime reports whether the demand's job may run here and a task is expected to release
// its resources within the demand's slack.
func (b *bin) releasesInTime(d *Demand) bool {
	return len(b.expectedReleases) > 0 && b.expectedReleases[0].InSeconds <= d.SlackSeconds && b.usable(d)
}

// fillExpectedReleases assigns resources that running tasks are expected to release within the
// demand's slack to up to maxUnits units of it. It returns the number of units.
func (b *bin) fillExpectedReleases(d *Demand, maxUnits int) int {
	unit := placement.ResourcesOf(d.Spec)
	filled := 0
	// The releases of several tasks add up, because a unit may need more than one task releases.
	var released placement.Resources
	remaining := b.expectedReleases[:0]
	for _, release := range b.expectedReleases {
		if release.InSeconds > d.SlackSeconds || filled == maxUnits {
			remaining = append(remaining, release)
			continue
		}
		released = released.Plus(release.Resources)
		if units := min(maxUnits-filled, unit.UnitsIn(released)); units > 0 {
			filled += units
			released = placement.Resources{}
		}
	}
	b.expectedReleases = remaining
	return filled
}

// zoneUnits limits a number of units to what the zone may still take of the demand.
func (d *Demand) zoneUnits(zone wire.Zone, units int) int {
	if d.ZoneCapacityLeft == nil {
		return units
	}
	return min(units, d.ZoneCapacityLeft[zone])
}
