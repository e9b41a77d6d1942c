package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// markServiceHeadroom marks the headroom for services on the on-demand machines, in the order
// of headroomOrder.
func markServiceHeadroom(s *Snapshot) {
	if s.HeadroomUnits <= 0 {
		return
	}
	remainingUnits := s.HeadroomUnits
	// A zone has at most half of the headroom, rounded up, so that a service that must be
	// spread over zones can use all of it.
	maxUnitsPerZone := (s.HeadroomUnits + 1) / 2
	unitsByZone := map[wire.Zone]int{}
	for _, i := range headroomOrder(s) {
		m := &s.Machines[i]
		units := min(remainingUnits, m.headroomUnits(s.HeadroomUnit), maxUnitsPerZone-unitsByZone[m.Zone])
		m.serviceHeadroomUnits, m.serviceHeadroom = units, s.HeadroomUnit.Times(float64(units))
		remainingUnits -= units
		unitsByZone[m.Zone] += units
	}
}

// headroomOrder returns the indexes of the on-demand machines. Those with the most tasks of
// services come first, then those with the fewest free CPUs, as a service prefers them too.
func headroomOrder(s *Snapshot) []int {
	order := make([]int, 0, len(s.Machines))
	for i := range s.Machines {
		if !s.Machines[i].Spot {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := &s.Machines[x], &s.Machines[y]
		return cmp.Or(cmp.Compare(b.ServiceTasks, a.ServiceTasks), cmp.Compare(a.Free.CPUs, b.Free.CPUs))
	})
	return order
}

// headroomUnits returns how many units of headroom fit on the machine.
func (m *Machine) headroomUnits(unit Resources) int {
	units := unit.UnitsIn(m.Free)
	if len(m.Reservations) > 0 {
		// Headroom may not overlap with reservations. Otherwise, resources that are freed by
		// preempting tasks for urgent gangs are withheld from these gangs as headroom, for
		// as long as their reservations last.
		units = min(units, unit.UnitsIn(m.unreservedResources()))
	}
	return units
}

// markGangHeadroom marks headroom for a gang in the group of machines where most of its
// units fit. If not all of them fit, later cycles mark more as resources become free.
func markGangHeadroom(s *Snapshot, spec *wire.JobSpec) {
	var best gangHeadroomOption
	for _, group := range zoneGroups(s, spec) {
		if option := gangHeadroomIn(s, spec, group); option.betterThan(&best) {
			best = option
		}
	}
	for i, units := range best.unitsByMachine {
		m := &s.Machines[i]
		m.gangHeadroom = m.gangHeadroom.Plus(ResourcesOf(spec).Times(float64(units)))
	}
}

// gangHeadroomOption is possible headroom for units of a gang in a group of machines.
type gangHeadroomOption struct {
	unitsByMachine map[int]int // by index of the machine
	totalUnits     int
	unitsWithImage int // units on machines that have its image
}

func (h *gangHeadroomOption) betterThan(other *gangHeadroomOption) bool {
	return h.totalUnits > other.totalUnits || h.totalUnits == other.totalUnits && h.unitsWithImage > other.unitsWithImage
}

// gangHeadroomIn finds headroom for as many units of a gang as fit in a group of machines.
func gangHeadroomIn(s *Snapshot, spec *wire.JobSpec, group []int) gangHeadroomOption {
	availableUnits := map[int]int{}
	var order []int
	for _, i := range group {
		if units := availableGangUnits(&s.Machines[i], spec); units > 0 {
			availableUnits[i] = units
			order = append(order, i)
		}
	}
	sortForGangHeadroom(s, spec, order)
	option := gangHeadroomOption{unitsByMachine: map[int]int{}}
	unitsByZone := map[wire.Zone]int{}
	for _, i := range order {
		m := &s.Machines[i]
		units := min(spec.Tasks-option.totalUnits, availableUnits[i], spec.MaxTasksPerZone()-unitsByZone[m.Zone])
		option.unitsByMachine[i] = units
		option.totalUnits += units
		unitsByZone[m.Zone] += units
		if m.Images[spec.Image] == ImagePresent {
			option.unitsWithImage += units
		}
	}
	return option
}

// sortForGangHeadroom puts the machines that have the gang's image first. Both those and the
// others are sorted by free CPUs, the fewest first.
func sortForGangHeadroom(s *Snapshot, spec *wire.JobSpec, machines []int) {
	fetchesNeeded := func(m *Machine) int {
		if m.Images[spec.Image] == ImagePresent {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(machines, func(x, y int) int {
		a, b := &s.Machines[x], &s.Machines[y]
		return cmp.Or(cmp.Compare(fetchesNeeded(a), fetchesNeeded(b)), cmp.Compare(a.Free.CPUs, b.Free.CPUs))
	})
}

// availableGangUnits returns how many units of a gang fit on a machine beside its headroom
// and its reservations.
func availableGangUnits(m *Machine, spec *wire.JobSpec) int {
	if m.Cordoned || !MachineAllowed(spec, m) {
		return 0
	}
	unit, headroom := ResourcesOf(spec), m.serviceHeadroom.Plus(m.gangHeadroom)
	units := unit.UnitsIn(m.Free.Minus(headroom))
	if len(m.Reservations) > 0 {
		units = min(units, unit.UnitsIn(m.unreservedResources().Minus(headroom)))
	}
	return units
}

// usesHeadroom reports whether a unit of the job would use headroom that is withheld from it.
func (m *Machine) usesHeadroom(j *Job, unit Resources) bool {
	withheld := m.withheldHeadroom(j.Spec)
	return withheld != (Resources{}) && !unit.Plus(withheld).FitsIn(m.Free)
}

// withheldHeadroom returns the headroom that a job may use only once its start is overdue.
func (m *Machine) withheldHeadroom(spec *wire.JobSpec) Resources {
	switch {
	case spec.IsService():
		return Resources{}
	case spec.IsGang():
		return m.serviceHeadroom
	}
	return m.serviceHeadroom.Plus(m.gangHeadroom)
}
