package placement

import (
	"testing"

	"lilaclead/internal/wire"
)

func TestServiceHeadroomIsWithheldFromArrays(t *testing.T) {
	for _, c := range []struct {
		kind       wire.JobKind
		wantStarts int
	}{
		// One unit stays free in each zone. With both units in one zone, a spread service
		// would have only half of its replicas until a machine has booted.
		{wire.KindArray, 6},
		{wire.KindService, 8},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			s := &Snapshot{
				Teams:         map[wire.TeamID]*Team{"t": {}},
				Factors:       testFactors,
				HeadroomUnits: 2,
				HeadroomUnit:  Resources{CPUs: 1, MemoryGB: 4},
				Machines: []Machine{
					{ID: "m", Zone: "a", Free: Resources{CPUs: 4, MemoryGB: 16}, Total: Resources{CPUs: 4, MemoryGB: 16}},
					{ID: "n", Zone: "b", Free: Resources{CPUs: 4, MemoryGB: 16}, Total: Resources{CPUs: 4, MemoryGB: 16}},
				},
				Jobs: []Job{{Spec: &wire.JobSpec{Team: "t", Kind: c.kind, Tasks: 9, CPUs: 1, MemoryGB: 4}, PendingTasks: 9, TasksByZone: map[wire.Zone]int{}, Weight: 1}},
			}
			if got := len(Place(s).Starts); got != c.wantStarts {
				t.Errorf("%d starts where 8 units fit, of which 2 are headroom, want %d", got, c.wantStarts)
			}
		})
	}
}

// One unit of an array whose start is overdue may use the headroom, but takes any other free
// resources first. Without this, an array never starts while the cloud has no capacity and
// only the headroom is free.
func TestOverdueArrayUsesHeadroomLast(t *testing.T) {
	snapshot := func(extra ...Machine) *Snapshot {
		machines := []Machine{
			{ID: "m", Zone: "a", Free: Resources{CPUs: 1, MemoryGB: 4}, Total: Resources{CPUs: 4, MemoryGB: 16}},
			{ID: "n", Zone: "b", Free: Resources{CPUs: 1, MemoryGB: 4}, Total: Resources{CPUs: 4, MemoryGB: 16}},
		}
		return &Snapshot{
			Teams:         map[wire.TeamID]*Team{"t": {}},
			Factors:       testFactors,
			HeadroomUnits: 2,
			HeadroomUnit:  Resources{CPUs: 1, MemoryGB: 4},
			Machines:      append(machines, extra...),
			Jobs: []Job{{
				Spec:           &wire.JobSpec{Team: "t", Kind: wire.KindArray, Tasks: 9, CPUs: 1, MemoryGB: 4, SpotAllowed: true},
				PendingTasks:   9,
				TasksByZone:    map[wire.Zone]int{},
				Weight:         1,
				MayUseHeadroom: true,
			}},
		}
	}
	if starts := Place(snapshot()).Starts; len(starts) != 1 {
		t.Errorf("headroom only: starts %+v, want one", starts)
	}
	other := Machine{ID: "o", Zone: "a", Spot: true, Free: Resources{CPUs: 1, MemoryGB: 4}, Total: Resources{CPUs: 16, MemoryGB: 64}}
	if starts := Place(snapshot(other)).Starts; len(starts) != 1 || starts[0].MachineIndex != 2 {
		t.Errorf("headroom and other free resources: starts %+v, want one on machine 2", starts)
	}
}

// Headroom for services can't be reserved for a gang. Otherwise, the gang reserves resources
// that it may not use, and waits for ever. A gang whose start is overdue may use the headroom.
func TestServiceHeadroomIsNotReservedForGang(t *testing.T) {
	victim := Victim{Task: wire.TaskID{Job: "req-9"}, Rank: 0, Resources: Resources{CPUs: 4, MemoryGB: 4}, LostWorkSeconds: 9, RemainingSeconds: 99, Team: "t"}
	snapshot := func(gang Job, extra ...Machine) *Snapshot {
		machines := []Machine{machineIn("a", "m", 4), machineIn("a", "n", 0, victim)}
		s := snapshotOf(append(machines, extra...), gang)
		s.HeadroomUnits, s.HeadroomUnit = 1, Resources{CPUs: 4, MemoryGB: 4}
		return s
	}
	urgent := Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 1, 4)}
	res := Place(snapshot(urgent))
	if len(res.Starts) != 0 || len(res.Reservations) != 1 || res.Reservations[0].Machine != "n" || len(res.Preemptions) != 1 {
		t.Errorf("urgent gang: %+v, want a reservation on n with one victim", res)
	}
	standard := Job{Spec: gangSpec("req-1", wire.PriorityStandard, 1, 4), PreemptionDelaySeconds: 5}
	if res := Place(snapshot(standard)); len(res.Starts) != 0 || len(res.Reservations) != 0 {
		t.Errorf("standard gang: %+v, want nothing", res)
	}
	standard.MayUseHeadroom = true
	if res := Place(snapshot(standard)); len(res.Starts) != 1 {
		t.Errorf("overdue standard gang: %+v, want a start", res)
	}
	if res := Place(snapshot(standard, machineIn("a", "o", 4))); len(res.Starts) != 1 || res.Starts[0].MachineIndex != 2 {
		t.Errorf("overdue standard gang with other free resources: %+v, want a start on machine 2", res)
	}
}

// Headroom for an expected gang that must be in one zone is in the zone that has the gang's
// image. It is withheld from arrays, except for one whose start is overdue. Services and
// gangs may use it.
func TestGangHeadroomIsWithheldFromArrays(t *testing.T) {
	place := func(spec *wire.JobSpec, mayUseHeadroom bool, machines ...Machine) map[wire.MachineID]int {
		s := snapshotOf(machines, Job{Spec: spec, MayUseHeadroom: mayUseHeadroom})
		s.AllowPreemption, s.ExpectedGangs = false, []*wire.JobSpec{gangSpec("req-9", wire.PriorityStandard, 3, 2)}
		return startsByMachine(s)
	}
	spec := func(kind wire.JobKind, tasks int) *wire.JobSpec {
		return &wire.JobSpec{ID: "req-1", Team: "t", Kind: kind, Tasks: tasks, CPUs: 2, MemoryGB: 2, SpotAllowed: true}
	}
	withImage := func() Machine {
		m := machineIn("b", "n", 4)
		m.Images = map[wire.ImageID]ImageState{"i": ImagePresent}
		return m
	}
	cluster := func() []Machine {
		return []Machine{machineIn("a", "m", 4), withImage(), machineIn("a", "o", 2), machineIn("b", "p", 4)}
	}
	// Of the three units of headroom two are on n, which has the image, and one is on p.
	if got := place(spec(wire.KindArray, 9), false, cluster()...); got["n"] != 0 || got["p"] != 1 || got["m"] != 2 || got["o"] != 1 {
		t.Errorf("starts of an array: %v, want 2 on m, none on n, 1 on o, 1 on p", got)
	}
	// Headroom is withheld also if only a part of the gang fits. One unit of an array whose
	// start is overdue uses it if nothing else is free.
	for mayUseHeadroom, want := range map[bool]int{false: 0, true: 1} {
		if got := place(spec(wire.KindArray, 9), mayUseHeadroom, withImage()); got["n"] != want {
			t.Errorf("may use headroom %v: starts of an array: %v, want %d on n", mayUseHeadroom, got, want)
		}
	}
	for _, kind := range []wire.JobKind{wire.KindService, wire.KindGang} {
		if got := place(spec(kind, 7), false, cluster()...); got["n"] != 2 || got["p"] != 2 || got["m"] != 2 || got["o"] != 1 {
			t.Errorf("starts of a %s: %v, want 2 on m, 2 on n, 1 on o, 2 on p", kind, got)
		}
	}
}

// Resources that are reserved for a gang do not become headroom for services once they are
// free. Other free resources of the machine do.
func TestReservedRoomIsNotHeadroom(t *testing.T) {
	for freeCPUs, want := range map[float64]int{4: 0, 5: 1, 9: 2} {
		m := machineIn("a", "m", freeCPUs)
		reservation := Reservation{"req-1", wire.PriorityUrgent.Rank(), Resources{CPUs: 2, MemoryGB: 2}}
		m.Reservations = []Reservation{reservation, reservation}
		s := snapshotOf([]Machine{m}, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 2), ReservedUnits: 2})
		s.HeadroomUnits, s.HeadroomUnit = 4, Resources{CPUs: 1, MemoryGB: 1} // half of it in one zone at most
		if got := len(Place(s).Starts); got != 2 {
			t.Errorf("%g CPUs free: %d of 2 tasks start on the resources reserved for them", freeCPUs, got)
		}
		if got := s.Machines[0].serviceHeadroomUnits; got != want {
			t.Errorf("%g CPUs free: %d units of headroom, want %d", freeCPUs, got, want)
		}
	}
}

// A gang whose start is overdue may use the headroom for services. Arrays up to the gang's
// rank may not use the part of the team's limit that is reserved for it; services may.
func TestOverdueGangIsNotStarved(t *testing.T) {
	spec := func(id wire.JobID, kind wire.JobKind, priority wire.Priority, tasks int) *wire.JobSpec {
		return &wire.JobSpec{ID: id, Team: "red", Kind: kind, Priority: priority, Tasks: tasks, CPUs: 2, MemoryGB: 1}
	}
	for name, c := range map[string]struct {
		mayUseHeadroom bool
		other          *wire.JobSpec
		headroomUnits  int
		freeCPUs       float64
		wantStarts     int
	}{
		"headroom, not overdue":                      {false, nil, 2, 8, 0},
		"headroom, overdue":                          {true, nil, 2, 8, 4},
		"reserved limit, array":                      {true, spec("a", wire.KindArray, wire.PriorityStandard, 2), 0, 6, 0},
		"reserved limit, service":                    {true, spec("s", wire.KindService, wire.PriorityProd, 2), 0, 6, 2},
		"reserved limit, service of the gang's rank": {true, spec("s", wire.KindService, wire.PriorityStandard, 2), 0, 6, 2},
		"reserved limit, array of a higher rank":     {true, spec("u", wire.KindArray, wire.PriorityUrgent, 2), 0, 6, 2},
	} {
		t.Run(name, func(t *testing.T) {
			gang := Job{Spec: spec("g", wire.KindGang, wire.PriorityStandard, 4), PendingTasks: 4, TasksByZone: map[wire.Zone]int{}, Weight: 1, MayUseHeadroom: c.mayUseHeadroom}
			s := &Snapshot{
				Machines:      []Machine{{ID: "m", Zone: "a", Total: Resources{CPUs: 16, MemoryGB: 16}, Free: Resources{CPUs: c.freeCPUs, MemoryGB: 16}}},
				Teams:         map[wire.TeamID]*Team{"red": {Limit: Resources{CPUs: 9}, Reserved: Resources{CPUs: 8, MemoryGB: 4}, ReservedFor: "g", ReservedRank: wire.PriorityStandard.Rank()}},
				Factors:       UtilityFactors{Preferred: 1, Fallback: 0.5, WaitDoublingSeconds: 30},
				HeadroomUnits: c.headroomUnits,
				HeadroomUnit:  Resources{CPUs: 1, MemoryGB: 1},
				Jobs:          []Job{gang},
			}
			if c.other != nil {
				s.Jobs = append(s.Jobs, Job{Spec: c.other, PendingTasks: c.other.Tasks, TasksByZone: map[wire.Zone]int{}, Weight: 1})
			}
			if got := len(Place(s).Starts); got != c.wantStarts {
				t.Errorf("%d starts, want %d", got, c.wantStarts)
			}
		})
	}
}
