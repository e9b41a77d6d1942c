package placement

import (
	"lilaclead/internal/wire"
)

// gangRoom is a way to make room for units of a gang in a group of machines, found one
// unit after the other.
type gangRoom struct {
	s        *Snapshot
	j        *Job
	group    []int
	options  map[int]*roomOption // by machine, for the next unit; nil: no room
	changed  map[int]*Machine    // copies, as they would be with the units found so far
	inZone   map[wire.Zone]int
	machines []int // one for each unit
	cost     float64
}

// cheapestRoomForGang finds where room for all units of a gang costs least, and returns
// a machine for each unit; nil if it can't be made for all of them.
func cheapestRoomForGang(s *Snapshot, j *Job) []int {
	var best *gangRoom
	for _, group := range zoneGroups(s, j.Spec) {
		room := newGangRoom(s, j, group)
		room.addAllUnits()
		if len(room.machines) == j.PendingTasks && (best == nil || room.cost < best.cost) {
			best = room
		}
	}
	if best == nil {
		return nil
	}
	return best.machines
}

func newGangRoom(s *Snapshot, j *Job, group []int) *gangRoom {
	r := &gangRoom{
		s:       s,
		j:       j,
		group:   group,
		options: make(map[int]*roomOption, len(group)),
		changed: make(map[int]*Machine, len(group)),
		inZone:  map[wire.Zone]int{},
	}
	unit := ResourcesOf(j.Spec)
	for _, i := range group {
		if option := roomFor(j, &s.Machines[i], unit); option.feasible {
			r.options[i] = &option
		}
	}
	return r
}

// addAllUnits adds the gang's units, until all are added or one finds no room.
func (r *gangRoom) addAllUnits() {
	for len(r.machines) < r.j.PendingTasks {
		machine, ok := r.cheapest()
		if !ok {
			return
		}
		r.addUnit(machine)
	}
}

// cheapest returns the machine where room for the next unit costs least.
func (r *gangRoom) cheapest() (machine int, ok bool) {
	var best *roomOption
	for _, i := range r.group {
		option := r.options[i]
		if option != nil && option.cheaperThan(best) && r.zoneOpen(r.s.Machines[i].Zone) {
			best, machine = option, i
		}
	}
	return machine, best != nil
}

// zoneOpen reports whether one more unit may start in the zone.
func (r *gangRoom) zoneOpen(zone wire.Zone) bool {
	units := r.j.TasksByZone[zone] + r.inZone[zone]
	return zoneOpen(r.j, zone) && units < r.j.Spec.MaxTasksPerZone()
}

// addUnit makes room for the next unit on a copy of the machine.
func (r *gangRoom) addUnit(machine int) {
	m := r.changed[machine]
	if m == nil {
		unchanged := r.s.Machines[machine]
		m = &unchanged
		r.changed[machine] = m
	}
	option := r.options[machine]
	r.machines = append(r.machines, machine)
	r.cost += option.cost
	r.inZone[m.Zone]++
	m.reserve(reservationFor(r.j), option.victims)
	next := roomFor(r.j, m, ResourcesOf(r.j.Spec))
	r.options[machine] = &next
}
