package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// keepServiceHeadroom marks the headroom for services on the ordinary machines where a
// service would go first.
func keepServiceHeadroom(s *Snapshot) {
	if s.HeadroomUnits <= 0 {
		return
	}
	left := s.HeadroomUnits
	// Half of it in one zone at most, as services that are spread need.
	zoneCap := (s.HeadroomUnits + 1) / 2
	inZone := map[wire.Zone]int{}
	for _, i := range headroomOrder(s) {
		m := &s.Machines[i]
		units := min(left, m.headroomUnits(s.HeadroomUnit), zoneCap-inZone[m.Zone])
		m.serviceHeadroomUnits, m.serviceHeadroom = units, s.HeadroomUnit.Times(float64(units))
		left -= units
		inZone[m.Zone] += units
	}
}

// headroomOrder returns the ordinary machines, those first where a service would go.
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

// headroomUnits returns for how many units of headroom the machine has room.
func (m *Machine) headroomUnits(unit Resources) int {
	units := unit.UnitsIn(m.Free)
	if len(m.Reservations) > 0 {
		// Not in room that is reserved for others: what urgent gangs had preempted tasks
		// for was kept from them as soon as it was free, for as long as their
		// reservations held.
		units = min(units, unit.UnitsIn(m.unreservedRoom()))
	}
	return units
}

// keepGangHeadroom marks room for a gang, where most of it fits: what it lacks is kept as
// it becomes free. Machines that have its image go first, then the fullest.
func keepGangHeadroom(s *Snapshot, spec *wire.JobSpec) {
	var best gangHeadroom
	for _, group := range zoneGroups(s, spec) {
		if room := gangHeadroomIn(s, spec, group); room.better(&best) {
			best = room
		}
	}
	for i, units := range best.units {
		m := &s.Machines[i]
		m.gangHeadroom = m.gangHeadroom.Plus(ResourcesOf(spec).Times(float64(units)))
	}
}

// gangHeadroom is room for units of a gang.
type gangHeadroom struct {
	units     map[int]int // by machine
	total     int
	withImage int // units on machines that have the image
}

func (h *gangHeadroom) better(than *gangHeadroom) bool {
	return h.total > than.total || h.total == than.total && h.withImage > than.withImage
}

// gangHeadroomIn finds room for as many units of a gang as there is in a group of
// machines.
func gangHeadroomIn(s *Snapshot, spec *wire.JobSpec, group []int) gangHeadroom {
	available := map[int]int{}
	var order []int
	for _, i := range group {
		if units := unreservedUnits(&s.Machines[i], spec); units > 0 {
			available[i] = units
			order = append(order, i)
		}
	}
	sortForGangHeadroom(s, spec, order)
	room := gangHeadroom{units: map[int]int{}}
	inZone := map[wire.Zone]int{}
	for _, i := range order {
		m := &s.Machines[i]
		units := min(spec.Tasks-room.total, available[i], spec.MaxTasksPerZone()-inZone[m.Zone])
		room.units[i] = units
		room.total += units
		inZone[m.Zone] += units
		if m.Images[spec.Image] == ImagePresent {
			room.withImage += units
		}
	}
	return room
}

// sortForGangHeadroom puts the machines first that have the gang's image, then the
// fullest.
func sortForGangHeadroom(s *Snapshot, spec *wire.JobSpec, machines []int) {
	fetches := func(m *Machine) int {
		if m.Images[spec.Image] == ImagePresent {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(machines, func(x, y int) int {
		a, b := &s.Machines[x], &s.Machines[y]
		return cmp.Or(cmp.Compare(fetches(a), fetches(b)), cmp.Compare(a.Free.CPUs, b.Free.CPUs))
	})
}

// unreservedUnits returns how many units of a gang a machine has room for that is
// neither headroom nor reserved.
func unreservedUnits(m *Machine, spec *wire.JobSpec) int {
	if m.Cordoned || !MachineAllowed(spec, m) {
		return 0
	}
	unit, headroom := ResourcesOf(spec), m.serviceHeadroom.Plus(m.gangHeadroom)
	units := unit.UnitsIn(m.Free.Minus(headroom))
	if len(m.Reservations) > 0 {
		units = min(units, unit.UnitsIn(m.unreservedRoom().Minus(headroom)))
	}
	return units
}

// usesHeadroom reports whether a unit of the job would take room that is kept from it.
func (m *Machine) usesHeadroom(j *Job, unit Resources) bool {
	kept := m.headroomKeptFrom(j.Spec)
	return kept != (Resources{}) && !unit.Plus(kept).FitsIn(m.Free)
}

// headroomKeptFrom returns the headroom that a job may not use.
func (m *Machine) headroomKeptFrom(spec *wire.JobSpec) Resources {
	switch {
	case spec.IsService():
		return Resources{}
	case spec.IsGang():
		return m.serviceHeadroom
	}
	return m.serviceHeadroom.Plus(m.gangHeadroom)
}
