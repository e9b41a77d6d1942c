package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

// preempt picks tasks to stop so that what still waits with a higher
// priority finds room: the machine where the least work is lost.
func preempt(s *Snapshot) ([]Victim, []MachineReservation) {
	waiting := waitingForRoom(s)
	if len(waiting) == 0 {
		return nil, nil
	}
	if s.FullMachines != nil {
		s.Machines = append(s.Machines, s.FullMachines()...)
	}
	p := preemption{s: s, claimed: claimedByTeam(s), offers: make([]clearing, len(s.Machines))}
	for _, ji := range waiting {
		j := &s.Jobs[ji]
		if j.Spec.Gang() {
			p.clearGang(j)
		} else {
			p.clearTasks(j)
		}
	}
	return p.halts, p.clearances
}

// waitingForRoom lists the jobs for which room may be made, the highest priority
// first.
func waitingForRoom(s *Snapshot) []int {
	var waiting []int
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if s.Teams[j.Spec.Team] == nil || j.Pending <= j.Reservations {
			continue
		}
		wants := MayPreempt(j.Spec)
		if j.Spec.Gang() {
			// Room is made for all of it or for none.
			wants = j.Reservations == 0 && j.Pending == j.Spec.Tasks && (wants || j.PatienceS > 0)
		}
		if wants {
			waiting = append(waiting, i)
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int {
		return cmp.Compare(s.Jobs[b].Spec.Priority.Rank(), s.Jobs[a].Spec.Priority.Rank())
	})
	return waiting
}

// preemption is the making of room in one round.
type preemption struct {
	s          *Snapshot
	claimed    map[wire.TeamID]*[4]Resources
	offers     []clearing // a buffer, by machine
	halts      []Victim
	clearances []MachineReservation
}

// allows tells whether the team's limit allows so much more for the job beside
// what is claimed already.
func (p *preemption) allows(j *Job, take Resources) bool {
	return p.s.Teams[j.Spec.Team].allows(j, take.Plus(p.claimed[j.Spec.Team][j.Spec.Priority.Rank()]))
}

// clearGang makes room for all of a gang, or for nothing of it.
func (p *preemption) clearGang(j *Job) {
	if !p.allows(j, ResourcesOf(j.Spec).Times(float64(j.Pending))) {
		return
	}
	for _, mi := range clearingsForGang(p.s, j) {
		p.clearUnit(j, mi, clearForUnit(&p.s.Machines[mi], j, ResourcesOf(j.Spec)))
	}
}

// maxClearedUnits bounds for how many units of a job one round makes room.
const maxClearedUnits = 8

// clearTasks makes room for units of a job where that costs least.
func (p *preemption) clearTasks(j *Job) {
	take := ResourcesOf(j.Spec)
	for mi := range p.s.Machines {
		p.offers[mi] = clearForUnit(&p.s.Machines[mi], j, take)
	}
	for range min(j.Pending-j.Reservations, maxClearedUnits) {
		if !p.allows(j, take) {
			return
		}
		best := -1
		for mi, offer := range p.offers {
			if offer.ok && (best < 0 || offer.lost < p.offers[best].lost) && zoneOpen(j, p.s.Machines[mi].Zone) {
				best = mi
			}
		}
		if best < 0 {
			return
		}
		p.clearUnit(j, best, p.offers[best])
		p.offers[best] = clearForUnit(&p.s.Machines[best], j, take)
	}
}

// clearUnit makes room for one unit on a machine.
func (p *preemption) clearUnit(j *Job, mi int, c clearing) {
	m := &p.s.Machines[mi]
	claim := Reservation{j.Spec.ID, j.Spec.Priority.Rank(), ResourcesOf(j.Spec)}
	clearance := MachineReservation{Machine: m.ID, Reservation: claim}
	for _, v := range m.clear(c, claim) {
		if endsInTime(j, &v) {
			clearance.AwaitedTasks = append(clearance.AwaitedTasks, v.Task)
		} else {
			p.halts = append(p.halts, v)
		}
	}
	p.clearances = append(p.clearances, clearance)
	team := p.s.Teams[j.Spec.Team]
	team.Used = team.Used.Plus(claim.Takes)
	j.TasksByZone[m.Zone]++
}

// claimedByTeam is what each team will use once the room that is being made for its
// jobs of a rank or above it is used. The team's limit must hold for that too:
// ten urgent tasks of a team that had room for one once had others' work stopped
// for all ten, one after the other, before the first of them had started.
func claimedByTeam(s *Snapshot) map[wire.TeamID]*[4]Resources {
	out := make(map[wire.TeamID]*[4]Resources, len(s.Teams))
	for id := range s.Teams {
		out[id] = &[4]Resources{}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		n := min(j.Reservations, j.Pending)
		if n <= 0 || out[j.Spec.Team] == nil {
			continue
		}
		for r := 0; r <= j.Spec.Priority.Rank(); r++ {
			c := &out[j.Spec.Team][r]
			*c = c.Plus(ResourcesOf(j.Spec).Times(float64(n)))
		}
	}
	return out
}

// clearingsForGang finds where room for all units of a gang costs least, a machine
// for each unit; nil if it can't be made for all of them.
func clearingsForGang(s *Snapshot, j *Job) []int {
	var best []int
	bestLost := 0.0
	for _, group := range zoneGroups(s, j) {
		picks, lost := clearingsIn(s, j, group)
		if len(picks) == j.Pending && (best == nil || lost < bestLost) {
			best, bestLost = picks, lost
		}
	}
	return best
}

// clearingsIn picks machines of a group one by one, each where the next unit costs
// least, and sums up what is lost.
func clearingsIn(s *Snapshot, j *Job, group []int) (picks []int, lost float64) {
	take := ResourcesOf(j.Spec)
	machines := make(map[int]*Machine, len(group)) // as they would be with what is picked so far
	offers := make(map[int]clearing, len(group))
	for _, mi := range group {
		if offer := clearForUnit(&s.Machines[mi], j, take); offer.ok {
			offers[mi] = offer
		}
	}
	inZone := map[wire.Zone]int{}
	for len(picks) < j.Pending {
		best := -1
		for _, mi := range group {
			offer, zone := offers[mi], s.Machines[mi].Zone
			if offer.ok && (best < 0 || offer.lost < offers[best].lost) && zoneOpen(j, zone) && j.TasksByZone[zone]+inZone[zone] < j.Spec.ZoneCap() {
				best = mi
			}
		}
		if best < 0 {
			return picks, lost
		}
		m := machines[best]
		if m == nil {
			c := s.Machines[best]
			m = &c
			machines[best] = m
		}
		picks = append(picks, best)
		lost += offers[best].lost
		inZone[m.Zone]++
		m.clear(offers[best], Reservation{j.Spec.ID, j.Spec.Priority.Rank(), take})
		offers[best] = clearForUnit(m, j, take)
	}
	return picks, lost
}
