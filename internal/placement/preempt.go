package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// preempt reserves room for what still waits with a higher priority, on the machines
// where least work is lost, and returns the tasks to stop for it.
func preempt(s *Snapshot) ([]Victim, []MachineReservation) {
	waiting := jobsToReserveFor(s)
	if len(waiting) == 0 {
		return nil, nil
	}
	if s.FullMachines != nil {
		s.Machines = append(s.Machines, s.FullMachines()...)
	}
	p := preemption{s: s, reservedByTeam: reservedByTeam(s), options: make([]roomOption, len(s.Machines))}
	for _, i := range waiting {
		j := &s.Jobs[i]
		if j.Spec.IsGang() {
			p.reserveForGang(j)
		} else {
			p.reserveForTasks(j)
		}
	}
	return p.victims, p.reservations
}

// jobsToReserveFor returns the jobs for which room may be reserved, the highest priority
// first.
func jobsToReserveFor(s *Snapshot) []int {
	var waiting []int
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if s.Teams[j.Spec.Team] != nil && mayReserve(j) {
			waiting = append(waiting, i)
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int {
		return cmp.Compare(s.Jobs[b].Spec.Priority.Rank(), s.Jobs[a].Spec.Priority.Rank())
	})
	return waiting
}

// mayReserve reports whether room may be reserved for the job.
func mayReserve(j *Job) bool {
	if j.PendingTasks <= j.ReservedUnits {
		return false
	}
	if !j.Spec.IsGang() {
		return MayPreempt(j.Spec)
	}
	// Room is reserved for all of a gang or for none of it.
	untouched := j.ReservedUnits == 0 && j.PendingTasks == j.Spec.Tasks
	return untouched && (MayPreempt(j.Spec) || j.PreemptionDelaySeconds > 0)
}

// preemption is the state of reserving room in one cycle.
type preemption struct {
	s              *Snapshot
	reservedByTeam map[wire.TeamID]*resourcesByRank
	options        []roomOption // a buffer, by machine
	victims        []Victim
	reservations   []MachineReservation
}

// allows reports whether the team's limit leaves so much more for the job beside what is
// reserved already.
func (p *preemption) allows(j *Job, more Resources) bool {
	reserved := p.reservedByTeam[j.Spec.Team][j.Spec.Priority.Rank()]
	return p.s.Teams[j.Spec.Team].allows(j, more.Plus(reserved))
}

// reserveForGang reserves room for all of a gang, or for nothing of it.
func (p *preemption) reserveForGang(j *Job) {
	unit := ResourcesOf(j.Spec)
	if !p.allows(j, unit.Times(float64(j.PendingTasks))) {
		return
	}
	for _, i := range cheapestRoomForGang(p.s, j) {
		p.reserveUnit(j, i, roomFor(j, &p.s.Machines[i], unit))
	}
}

// maxReservedUnits bounds for how many units of a job one cycle reserves room.
const maxReservedUnits = 8

// reserveForTasks reserves room for units of an array or a service where that costs
// least.
func (p *preemption) reserveForTasks(j *Job) {
	unit := ResourcesOf(j.Spec)
	for i := range p.s.Machines {
		p.options[i] = roomFor(j, &p.s.Machines[i], unit)
	}
	for range min(j.PendingTasks-j.ReservedUnits, maxReservedUnits) {
		if !p.allows(j, unit) {
			return
		}
		machine, ok := p.cheapestRoom(j)
		if !ok {
			return
		}
		p.reserveUnit(j, machine, p.options[machine])
		p.options[machine] = roomFor(j, &p.s.Machines[machine], unit)
	}
}

// cheapestRoom returns the machine where room for a unit of the job costs least.
func (p *preemption) cheapestRoom(j *Job) (machine int, ok bool) {
	var best *roomOption
	for i := range p.options {
		option := &p.options[i]
		if option.cheaperThan(best) && zoneOpen(j, p.s.Machines[i].Zone) {
			best, machine = option, i
		}
	}
	return machine, best != nil
}

// reserveUnit reserves room for one unit on a machine.
func (p *preemption) reserveUnit(j *Job, machine int, option roomOption) {
	m := &p.s.Machines[machine]
	reservation := reservationFor(j)
	reserved := MachineReservation{Machine: m.ID, Reservation: reservation}
	for _, v := range m.reserve(reservation, option.victims) {
		if endsInTime(j, &v) {
			reserved.AwaitedTasks = append(reserved.AwaitedTasks, v.Task)
		} else {
			p.victims = append(p.victims, v)
		}
	}
	p.reservations = append(p.reservations, reserved)
	team := p.s.Teams[j.Spec.Team]
	team.Used = team.Used.Plus(reservation.Resources)
	j.TasksByZone[m.Zone]++
}

func reservationFor(j *Job) Reservation {
	return Reservation{j.Spec.ID, j.Spec.Priority.Rank(), ResourcesOf(j.Spec)}
}

// resourcesByRank is an amount for each rank of a priority.
type resourcesByRank [4]Resources

// reservedByTeam returns what each team will use once the room is used that is reserved
// for its jobs of a rank or above it. The team's limit must hold for that too: ten
// urgent tasks of a team that had room for one once had others' work stopped for all
// ten, one after the other, before the first of them had started.
func reservedByTeam(s *Snapshot) map[wire.TeamID]*resourcesByRank {
	reserved := make(map[wire.TeamID]*resourcesByRank, len(s.Teams))
	for id := range s.Teams {
		reserved[id] = &resourcesByRank{}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		ofTeam, units := reserved[j.Spec.Team], min(j.ReservedUnits, j.PendingTasks)
		if units <= 0 || ofTeam == nil {
			continue
		}
		more := ResourcesOf(j.Spec).Times(float64(units))
		for rank := range j.Spec.Priority.Rank() + 1 {
			ofTeam[rank] = ofTeam[rank].Plus(more)
		}
	}
	return reserved
}
