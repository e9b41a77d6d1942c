package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// preempt reserves resources for jobs that the pass did not start, where that costs least
// work. It returns the tasks to stop and the new reservations.
func preempt(s *Snapshot) ([]Victim, []MachineReservation) {
	waiting := jobsToReserveFor(s)
	if len(waiting) == 0 {
		return nil, nil
	}
	if s.FullMachines != nil {
		s.Machines = append(s.Machines, s.FullMachines()...)
	}
	p := preemption{snapshot: s, reservedByTeam: reservedByTeam(s), optionByMachine: make([]roomOption, len(s.Machines))}
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

// jobsToReserveFor returns the indexes of the jobs for which resources may be reserved, the
// highest priority first.
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

func mayReserve(j *Job) bool {
	if j.PendingTasks <= j.ReservedUnits {
		return false
	}
	if !j.Spec.IsGang() {
		return MayPreempt(j.Spec)
	}
	// Resources are reserved for all units of a gang or for none.
	noneReservedOrStarted := j.ReservedUnits == 0 && j.PendingTasks == j.Spec.Tasks
	return noneReservedOrStarted && (MayPreempt(j.Spec) || j.PreemptionDelaySeconds > 0)
}

// preemption collects the reservations of one cycle and the victims that they need.
type preemption struct {
	snapshot        *Snapshot
	reservedByTeam  map[wire.TeamID]*resourcesByRank
	optionByMachine []roomOption // buffer of reserveForTasks
	victims         []Victim
	reservations    []MachineReservation
}

// allows reports whether the team stays within its limit if the job gets the requested
// resources in addition to those reserved for the team's jobs of its rank or above.
func (p *preemption) allows(j *Job, requested Resources) bool {
	reserved := p.reservedByTeam[j.Spec.Team][j.Spec.Priority.Rank()]
	return p.snapshot.Teams[j.Spec.Team].allows(j, requested.Plus(reserved))
}

// reserveForGang reserves resources for all units of a gang or for none.
func (p *preemption) reserveForGang(j *Job) {
	unit := ResourcesOf(j.Spec)
	if !p.allows(j, unit.Times(float64(j.PendingTasks))) {
		return
	}
	for _, i := range cheapestRoomForGang(p.snapshot, j) {
		p.reserveUnit(j, i, roomFor(j, &p.snapshot.Machines[i], unit))
	}
}

// maxReservedUnits is the largest number of a job's units that one cycle reserves resources
// for. It does not apply to gangs.
const maxReservedUnits = 8

// reserveForTasks reserves resources for units of an array or a service, each on the machine
// where that costs least.
func (p *preemption) reserveForTasks(j *Job) {
	unit := ResourcesOf(j.Spec)
	for i := range p.snapshot.Machines {
		p.optionByMachine[i] = roomFor(j, &p.snapshot.Machines[i], unit)
	}
	for range min(j.PendingTasks-j.ReservedUnits, maxReservedUnits) {
		if !p.allows(j, unit) {
			return
		}
		machine, ok := p.cheapestMachine(j)
		if !ok {
			return
		}
		p.reserveUnit(j, machine, p.optionByMachine[machine])
		p.optionByMachine[machine] = roomFor(j, &p.snapshot.Machines[machine], unit)
	}
}

// cheapestMachine returns the machine where making room for a unit of the job costs least.
func (p *preemption) cheapestMachine(j *Job) (machine int, ok bool) {
	var best *roomOption
	for i := range p.optionByMachine {
		option := &p.optionByMachine[i]
		if option.cheaperThan(best) && zoneOpen(j, p.snapshot.Machines[i].Zone) {
			best, machine = option, i
		}
	}
	return machine, best != nil
}

// reserveUnit reserves resources for one unit of the job on a machine. Of the option's
// victims, those that end in time are awaited, and the others are preempted.
func (p *preemption) reserveUnit(j *Job, machine int, option roomOption) {
	m := &p.snapshot.Machines[machine]
	reservation := reservationFor(j)
	reserved := MachineReservation{Machine: m.ID, Reservation: reservation}
	for _, v := range m.addReservation(reservation, option.victims) {
		if endsInTime(j, &v) {
			reserved.AwaitedTasks = append(reserved.AwaitedTasks, v.Task)
		} else {
			p.victims = append(p.victims, v)
		}
	}
	p.reservations = append(p.reservations, reserved)
	team := p.snapshot.Teams[j.Spec.Team]
	team.Used = team.Used.Plus(reservation.Resources)
	j.TasksByZone[m.Zone]++
}

func reservationFor(j *Job) Reservation {
	return Reservation{j.Spec.ID, j.Spec.Priority.Rank(), ResourcesOf(j.Spec)}
}

// resourcesByRank is an amount of resources for each rank of a priority.
type resourcesByRank [4]Resources

// reservedByTeam returns, for each team and rank, the resources that are reserved for the
// team's jobs of that rank or above. They count toward the team's limit before they are
// used. Otherwise, if ten urgent tasks wait and their team's limit allows only one, other
// tasks are stopped for all ten, one after the other, before the first has started.
func reservedByTeam(s *Snapshot) map[wire.TeamID]*resourcesByRank {
	reserved := make(map[wire.TeamID]*resourcesByRank, len(s.Teams))
	for id := range s.Teams {
		reserved[id] = &resourcesByRank{}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		teamReserved, units := reserved[j.Spec.Team], min(j.ReservedUnits, j.PendingTasks)
		if units <= 0 || teamReserved == nil {
			continue
		}
		reservedForJob := ResourcesOf(j.Spec).Times(float64(units))
		for rank := range j.Spec.Priority.Rank() + 1 {
			teamReserved[rank] = teamReserved[rank].Plus(reservedForJob)
		}
	}
	return reserved
}
