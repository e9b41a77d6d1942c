package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// reserveSpareRoom marks the spare room: Spare times SpareTakes, on the ordinary
// machines where a service would go first.
func reserveSpareRoom(s *Snapshot) {
	if s.SpareUnits <= 0 {
		return
	}
	order := make([]int, 0, len(s.Machines))
	for i := range s.Machines {
		if !s.Machines[i].Spot {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ma, mb := &s.Machines[a], &s.Machines[b]
		return cmp.Or(cmp.Compare(mb.Services, ma.Services), cmp.Compare(ma.Free.CPUs, mb.Free.CPUs))
	})
	left := s.SpareUnits
	zones := map[wire.Zone]int{}
	for _, i := range order {
		m := &s.Machines[i]
		// Half of it in one zone at most, as services that are spread need.
		n := min(left, s.SpareUnit.Units(m.Free), (s.SpareUnits+1)/2-zones[m.Zone])
		if len(m.Reservations) > 0 {
			// Not what was made for others: room that urgent gangs had tasks stopped for
			// was kept from them as soon as it was free, for as long as their claims held.
			n = min(n, s.SpareUnit.Units(m.roomLeft(func(*Reservation) bool { return false })))
		}
		m.spareUnits, m.spareRoom = n, s.SpareUnit.Times(float64(n))
		left -= n
		zones[m.Zone] += n
	}
}

// reserveGangRoom marks room for a gang, where most of it fits: what it lacks is
// reserved as it becomes free. Machines with its image go first, then the fullest.
func reserveGangRoom(s *Snapshot, spec *wire.JobSpec) {
	var best gangRoom
	for _, group := range zoneGroups(s, &Job{Spec: spec}) {
		room := gangRoomIn(s, spec, group)
		if room.total > best.total || room.total == best.total && room.warm > best.warm {
			best = room
		}
	}
	for mi, units := range best.units {
		m := &s.Machines[mi]
		m.gangRoom = m.gangRoom.Plus(ResourcesOf(spec).Times(float64(units)))
	}
}

// gangRoom is room for units of a gang, by machine; warm counts those where the
// image is.
type gangRoom struct {
	units       map[int]int
	total, warm int
}

// gangRoomIn finds room for as many units of a gang as there is in a group of
// machines.
func gangRoomIn(s *Snapshot, spec *wire.JobSpec, group []int) gangRoom {
	room := gangRoom{units: map[int]int{}}
	var order []int
	for _, mi := range group {
		if n := unreservedUnits(&s.Machines[mi], spec); n > 0 {
			room.units[mi] = n
			order = append(order, mi)
		}
	}
	cold := func(mi int) int {
		if s.Machines[mi].Images[spec.Image] == Present {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cold(a)-cold(b), cmp.Compare(s.Machines[a].Free.CPUs, s.Machines[b].Free.CPUs))
	})
	inZone := map[wire.Zone]int{}
	for _, mi := range order {
		zone := s.Machines[mi].Zone
		n := min(spec.Tasks-room.total, room.units[mi], spec.ZoneCap()-inZone[zone])
		room.units[mi] = n
		room.total += n
		inZone[zone] += n
		room.warm += n * (1 - cold(mi))
	}
	return room
}

// unreservedUnits is how many units of a gang a machine has room for that is
// neither reserved nor claimed.
func unreservedUnits(m *Machine, spec *wire.JobSpec) int {
	if m.Cordoned || !Allowed(spec, m) {
		return 0
	}
	take, reserved := ResourcesOf(spec), m.spareRoom.Plus(m.gangRoom)
	n := take.Units(m.Free.Minus(reserved))
	if len(m.Reservations) > 0 {
		n = min(n, take.Units(m.roomLeft(func(*Reservation) bool { return false }).Minus(reserved)))
	}
	return n
}

// usesReserved tells whether a task would take room that is kept from it.
func usesReserved(m *Machine, take, keep Resources) bool {
	return keep != (Resources{}) && !take.Plus(keep).Fits(m.Free)
}
