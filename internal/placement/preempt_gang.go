package placement

import (
	"lilaclead/internal/wire"
)

// gangRoom is a way to make room for units of a gang in a group of machines. Units are
// added one after the other.
type gangRoom struct {
	snapshot         *Snapshot
	job              *Job
	group            []int
	optionByMachine  map[int]*roomOption // for the next unit, by machine; nil or not feasible: no room
	modifiedMachines map[int]*Machine    // copies with the units added so far
	unitsByZone      map[wire.Zone]int
	machines         []int // index of the machine of each unit
	costSeconds      float64
}

// cheapestRoomForGang returns a machine for each unit of a gang, in the group of machines
// where making room for all of them costs least. It returns nil if no group can hold all of
// them.
func cheapestRoomForGang(s *Snapshot, j *Job) []int {
	var best *gangRoom
	for _, group := range zoneGroups(s, j.Spec) {
		room := newGangRoom(s, j, group)
		room.addAllUnits()
		if len(room.machines) == j.PendingTasks && (best == nil || room.costSeconds < best.costSeconds) {
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
		snapshot:         s,
		job:              j,
		group:            group,
		optionByMachine:  make(map[int]*roomOption, len(group)),
		modifiedMachines: make(map[int]*Machine, len(group)),
		unitsByZone:      map[wire.Zone]int{},
	}
	unit := ResourcesOf(j.Spec)
	for _, i := range group {
		if option := roomFor(j, &s.Machines[i], unit); option.feasible {
			r.optionByMachine[i] = &option
		}
	}
	return r
}

// addAllUnits adds units until the gang is complete or no room can be made for the next.
func (r *gangRoom) addAllUnits() {
	for len(r.machines) < r.job.PendingTasks {
		machine, ok := r.cheapestMachine()
		if !ok {
			return
		}
		r.addUnit(machine)
	}
}

// cheapestMachine returns the machine where making room for the next unit costs least.
func (r *gangRoom) cheapestMachine() (machine int, ok bool) {
	var best *roomOption
	for _, i := range r.group {
		option := r.optionByMachine[i]
		if option != nil && option.cheaperThan(best) && r.zoneOpenForUnit(r.snapshot.Machines[i].Zone) {
			best, machine = option, i
		}
	}
	return machine, best != nil
}

// zoneOpenForUnit reports whether the zone can take one more unit in addition to those added
// so far.
func (r *gangRoom) zoneOpenForUnit(zone wire.Zone) bool {
	units := r.job.TasksByZone[zone] + r.unitsByZone[zone]
	return zoneOpen(r.job, zone) && units < r.job.Spec.MaxTasksPerZone()
}

// addUnit adds a unit and reserves its resources on a copy of the machine.
func (r *gangRoom) addUnit(machine int) {
	m := r.modifiedMachines[machine]
	if m == nil {
		machineCopy := r.snapshot.Machines[machine]
		m = &machineCopy
		r.modifiedMachines[machine] = m
	}
	option := r.optionByMachine[machine]
	r.machines = append(r.machines, machine)
	r.costSeconds += option.costSeconds
	r.unitsByZone[m.Zone]++
	m.addReservation(reservationFor(r.job), option.victims)
	next := roomFor(r.job, m, ResourcesOf(r.job.Spec))
	r.optionByMachine[machine] = &next
}
