package placement

import (
	"testing"

	"lilaclead/internal/wire"
)

// victimIn is a lower task that fills a machine, with so much work to lose.
func victimIn(index int, lost float64) Victim {
	return Victim{Task: wire.Task{Job: "req-9", Index: index}, Rank: 1, Uses: Resources{4, 0, 4}, RemainingS: 500, LostS: lost, Team: "t"}
}

// Room for a gang that must be in one zone is made in the one of two zones that hold
// it where least work is lost, whichever of them comes first.
func TestRoomForAGangIsMadeInTheCheaperZone(t *testing.T) {
	for _, first := range []wire.Zone{"dear", "cheap"} {
		dear := []Machine{inZone("d1", "dear", 0, victimIn(0, 30)), inZone("d2", "dear", 0, victimIn(1, 30))}
		// One of the cheaper zone's tasks alone has more to lose than any of the other's.
		cheap := []Machine{inZone("c1", "cheap", 0, victimIn(2, 35)), inZone("c2", "cheap", 0, victimIn(3, 5))}
		machines := append(dear, cheap...)
		if first == "cheap" {
			machines = append(cheap, dear...)
		}
		res := Place(snapOf(machines, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 4)}))
		if len(res.Preemptions) != 2 || len(res.Reservations) != 2 {
			t.Fatalf("%s first: stops %v for %v", first, res.Preemptions, res.Reservations)
		}
		for _, v := range res.Preemptions {
			if v.Task.Index < 2 {
				t.Errorf("%s first: stops %v, which costs 60, not 40", first, res.Preemptions)
			}
		}
	}
}

// For a gang that has claims no room is made once more: not for one that has all of
// its claims, nor for one of which a part is left, which lapses first.
func TestClaimsOfAGangAreNotMadeTwice(t *testing.T) {
	for claims, want := range map[int]int{0: 2, 1: 0, 2: 0} {
		machines := []Machine{inZone("m", "a", 0, victimIn(0, 5)), inZone("n", "a", 0, victimIn(1, 5)), inZone("o", "a", 0, victimIn(2, 5)), inZone("p", "a", 0, victimIn(3, 5))}
		for i := range claims {
			machines[i].Victims, machines[i].Stopping = nil, Resources{4, 0, 4}
			machines[i].Reservations = []Reservation{{"req-1", wire.PriorityUrgent.Rank(), Resources{4, 0, 4}}}
		}
		res := Place(snapOf(machines, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 4), Reservations: claims}))
		if len(res.Reservations) != want || len(res.Preemptions) != want {
			t.Errorf("with %d claims: stops %v for %v, want room for %d", claims, res.Preemptions, res.Reservations, want)
		}
	}
}

// What a gang's claims will take counts toward its team's limit as soon as they are
// made: for the team's next gang no room is made beyond the limit.
func TestClaimsOfAGangCountTowardTheLimit(t *testing.T) {
	for limit, want := range map[float64]int{12: 0, 16: 2} {
		machines := []Machine{inZone("m", "a", 0), inZone("n", "a", 0), inZone("o", "a", 0, victimIn(2, 5)), inZone("p", "a", 0, victimIn(3, 5))}
		for i := range 2 {
			machines[i].Stopping = Resources{4, 0, 4}
			machines[i].Reservations = []Reservation{{"req-1", wire.PriorityUrgent.Rank(), Resources{4, 0, 4}}}
		}
		s := snapOf(machines, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 4), Reservations: 2}, Job{Spec: gangSpec("req-2", wire.PriorityUrgent, 2, 4)})
		for i := range s.Machines {
			for v := range s.Machines[i].Victims {
				s.Machines[i].Victims[v].Team = "other"
			}
		}
		s.Teams["t"].Limit = Resources{CPUs: limit}
		if res := Place(s); len(res.Reservations) != want || len(res.Preemptions) != want {
			t.Errorf("limit %g: stops %v for %v, want room for %d", limit, res.Preemptions, res.Reservations, want)
		}
	}
}
