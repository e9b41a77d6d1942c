package fleet

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// What must hold of every plan, whatever the demand.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		plan := MakePlan(s)
		checkScaleOuts(t, s, plan)
		machines := map[wire.MachineID]Machine{}
		for _, m := range s.Machines {
			machines[m.ID] = m
		}
		for _, id := range plan.ScaleIns {
			if m := machines[id]; !m.Idle || m.Booting || m.IdleSeconds < m.KeepIdleSeconds || m.PrepaidSeconds > 0 {
				t.Fatalf("scales in %+v", m)
			}
		}
		for _, id := range plan.Cordons {
			if m := machines[id]; m.ServiceTasks > 0 || m.Booting || m.Idle {
				t.Fatalf("cordons %+v", m)
			}
		}
	})
}

// checkScaleOuts checks that a plan adds no more than is offered and may be added, and
// nothing that no job may run on.
func checkScaleOuts(t *rapid.T, s *Snapshot, plan Plan) {
	type offerKey struct {
		machineType wire.MachineType
		zone        wire.Zone
		spot        bool
	}
	offered := map[offerKey]int{}
	for _, o := range s.Offers {
		offered[offerKey{o.Type, o.Zone, o.Spot}] += o.MaxCount
	}
	spotAllowed := false
	for _, d := range s.Demands {
		spotAllowed = spotAllowed || d.Spec.SpotAllowed
	}
	total := 0
	for _, r := range plan.ScaleOuts {
		total += r.Count
		if r.Count > offered[offerKey{r.Type, r.Zone, r.Spot}] {
			t.Fatalf("adds more than is offered: %+v", r)
		}
		if r.Spot && !spotAllowed {
			t.Fatalf("adds spot machines for jobs that don't allow them: %+v", r)
		}
	}
	if total > s.MaxMachinesAdded || len(s.Demands) == 0 && total > 0 {
		t.Fatalf("adds %d machines for %d demands, may add %d", total, len(s.Demands), s.MaxMachinesAdded)
	}
}

// Demand that fits into the room there is adds nothing, and an idle machine that no
// demand needs is returned once it is paid for no longer.
func TestPresentRoomIsUsedBeforeScaleOut(t *testing.T) {
	spec := &wire.JobSpec{Kind: wire.KindArray, CPUs: 2, MemoryGB: 4}
	idle := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true, IdleSeconds: 20, KeepIdleSeconds: 10}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], Price: 0.3, FetchGBPerSecond: 1, MaxCount: 9}
	for _, c := range []struct {
		name                   string
		units                  int
		wantAdded, wantScaleIn int
	}{
		{"fits", 2, 0, 0},
		{"three units do not fit", 5, 2, 0},
		{"no demand", 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{Machines: []Machine{idle}, MaxMachinesAdded: 9}
			if c.units > 0 {
				s.Offers, s.Demands = []Offer{offer}, []Demand{{Spec: spec, Units: c.units}}
			}
			plan := MakePlan(s)
			if got := machinesAdded(plan); got != c.wantAdded || len(plan.ScaleOuts) > 1 || len(plan.ScaleIns) != c.wantScaleIn {
				t.Errorf("plan %+v, want %d machines by one request, %d scaled in", plan, c.wantAdded, c.wantScaleIn)
			}
		})
	}
}

func machinesAdded(plan Plan) int {
	total := 0
	for _, r := range plan.ScaleOuts {
		total += r.Count
	}
	return total
}

// An array adds no machine at a price at which it is better late; a service does.
// (Bursts once added the largest type for a few tasks.)
func TestDearLimit(t *testing.T) {
	offer := Offer{Type: "c16", Zone: "a", Total: machineTypes["c16"], Price: 4, FetchGBPerSecond: 1, MaxCount: 1}
	for kind, want := range map[wire.JobKind]int{wire.KindArray: 0, wire.KindService: 1} {
		plan := MakePlan(&Snapshot{
			Offers:           []Offer{offer},
			Demands:          []Demand{{Spec: &wire.JobSpec{Kind: kind, CPUs: 2, MemoryGB: 4}, Units: 1}},
			MaxMachinesAdded: 9,
			PriceLimit:       3,
			LowestPrice:      func(*wire.JobSpec) float64 { return 0.05 },
		})
		if len(plan.ScaleOuts) != want {
			t.Errorf("%s: scale-outs %v, want %d", kind, plan.ScaleOuts, want)
		}
	}
}

// Room that becomes free in time spares a scale-out; room that becomes free too late
// doesn't.
func TestRoomThatFreesInTimeSparesScaleOut(t *testing.T) {
	machine := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], ExpectedReleases: []ExpectedRelease{{InSeconds: 10, Resources: machineTypes["c4"]}}, LargestArrayTask: machineTypes["c4"]}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], Price: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	for slackS, want := range map[float64]int{15: 0, 5: 1} {
		plan := MakePlan(&Snapshot{
			Machines:         []Machine{machine},
			Offers:           []Offer{offer},
			Demands:          []Demand{{Spec: &wire.JobSpec{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4}, Units: 1, SlackSeconds: slackS}},
			MaxMachinesAdded: 9,
		})
		if len(plan.ScaleOuts) != want {
			t.Errorf("free in 10 s, slack %g s: scale-outs %v, want %d", slackS, plan.ScaleOuts, want)
		}
	}
}

// Small jobs that wait together share a machine that is too expensive for one of them.
func TestSmallDemandsShareAPrice(t *testing.T) {
	smallJobs := func(n int) []Demand {
		var demands []Demand
		for range n {
			demands = append(demands, Demand{Spec: &wire.JobSpec{Kind: wire.KindArray, CPUs: 1, MemoryGB: 1, SpotAllowed: true}, Units: 1})
		}
		return demands
	}
	ofOtherTypes := smallJobs(2)
	ofOtherTypes[1].Spec.MachineTypes = []wire.MachineType{"c16"}
	for name, c := range map[string]struct {
		demands []Demand
		want    int
	}{
		"one":            {smallJobs(1), 0},
		"two":            {smallJobs(2), 1},
		"five":           {smallJobs(5), 1},
		"nine":           {smallJobs(9), 2},
		"of other types": {ofOtherTypes, 0},
	} {
		t.Run(name, func(t *testing.T) {
			plan := MakePlan(&Snapshot{
				MaxMachinesAdded: 8,
				PriceLimit:       2.5,
				LowestPrice:      func(*wire.JobSpec) float64 { return 0.025 },
				Offers:           []Offer{{Type: "c4", Zone: "a", Spot: true, Total: machineTypes["c4"], Price: 0.1, MaxCount: 9}},
				Demands:          c.demands,
			})
			if got := machinesAdded(plan); got != c.want {
				t.Errorf("%d demands: %d machines, want %d", len(c.demands), got, c.want)
			}
		})
	}
}

// A machine with little load is cordoned if its tasks fit on others, the most wasteful
// first. One with services is not, and machines that boot are no room.
func TestLittleUsedMachineIsCordonedIfOthersTakeItsTasks(t *testing.T) {
	unit := placement.Resources{CPUs: 1, MemoryGB: 4}
	machine := func(id wire.MachineID, freeCPUs, price float64) Machine {
		return Machine{
			ID:               id,
			Type:             "c4",
			Zone:             "a",
			Total:            machineTypes["c4"],
			Free:             placement.Resources{CPUs: freeCPUs, MemoryGB: freeCPUs * 4},
			LargestArrayTask: unit,
			Price:            price,
		}
	}
	withService := machine("s", 3, 9)
	withService.ServiceTasks = 1
	large := machine("l", 6, 0.1)
	large.Total = machineTypes["c16"]
	busy := machine("o", 2, 0.1)
	busy.Total = machineTypes["c16"]
	booting := machine("b", 4, 0.1)
	booting.Booting = true
	for _, c := range []struct {
		name     string
		machines []Machine
		want     []wire.MachineID
	}{
		{"others have room to spare", []Machine{machine("m", 3, 0.2), machine("n", 2, 0.1)}, []wire.MachineID{"m"}},
		{"the most wasteful goes first", []Machine{machine("m", 3, 0.1), machine("n", 3, 0.2)}, []wire.MachineID{"n"}},
		{"others would be full", []Machine{machine("m", 3, 0.2), machine("n", 1, 0.1)}, nil},
		{"much load", []Machine{machine("m", 1, 0.2), machine("n", 1, 0.1)}, nil},
		{"the others still boot", []Machine{machine("m", 3, 0.2), booting}, nil},
		{"a machine with services stays", []Machine{withService, large}, nil},
		{"others take the tasks of one", []Machine{machine("m", 3, 0.2), machine("n", 3, 0.2), busy}, []wire.MachineID{"m"}},
		{"others take the tasks of two", []Machine{machine("m", 3, 0.2), machine("n", 3, 0.2), large}, []wire.MachineID{"m", "n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := MakePlan(&Snapshot{Machines: c.machines}).Cordons; !slices.Equal(got, c.want) {
				t.Errorf("cordons %v, want %v", got, c.want)
			}
		})
	}
}

// A service's units fill a zone no further than the demand allows.
func TestUnitsOfServiceKeepToZoneLimits(t *testing.T) {
	idle := func(id wire.MachineID, zone wire.Zone) Machine {
		return Machine{ID: id, Type: "c4", Zone: zone, Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true, KeepIdleSeconds: 10}
	}
	offer := Offer{Type: "c4", Zone: "b", Total: machineTypes["c4"], Price: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	plan := MakePlan(&Snapshot{
		Machines: []Machine{idle("m", "a"), idle("n", "a")},
		Offers:   []Offer{offer},
		Demands: []Demand{{
			Spec:             &wire.JobSpec{ID: "req-1", Kind: wire.KindService, Tasks: 4, CPUs: 4, MemoryGB: 4, Spread: true},
			Units:            2,
			ZoneCapacityLeft: map[wire.Zone]int{"a": 1, "b": 2},
		}},
		MaxMachinesAdded: 9,
	})
	if len(plan.ScaleOuts) != 1 || plan.ScaleOuts[0].Zone != "b" || plan.ScaleOuts[0].Count != 1 {
		t.Errorf("scale-outs %+v, want one machine in zone b", plan.ScaleOuts)
	}
}

// Tasks that end one after the other on a machine make room together, each room for one
// unit only.
func TestNeighbouringTasksFreeRoomTogether(t *testing.T) {
	half := placement.Resources{CPUs: 2, MemoryGB: 8}
	machine := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], ExpectedReleases: []ExpectedRelease{{InSeconds: 5, Resources: half}, {InSeconds: 10, Resources: half}, {InSeconds: 20, Resources: half}}, LargestArrayTask: half}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], Price: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	for _, c := range []struct {
		name   string
		units  int
		slackS float64
		want   int // machines added
	}{
		{"both halves in time", 1, 15, 0},
		{"one half in time", 1, 7, 1},
		{"three halves hold one unit", 2, 30, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := MakePlan(&Snapshot{
				Machines:         []Machine{machine},
				Offers:           []Offer{offer},
				Demands:          []Demand{{Spec: &wire.JobSpec{ID: "req-1", Kind: wire.KindArray, CPUs: 4, MemoryGB: 16}, Units: c.units, SlackSeconds: c.slackS}},
				MaxMachinesAdded: 9,
			})
			if got := machinesAdded(plan); got != c.want {
				t.Errorf("%d units, slack %g s: %d machines added, want %d", c.units, c.slackS, got, c.want)
			}
		})
	}
}

// Room that a gang takes is none for the demands after it.
func TestRoomOfGangIsNotGivenTwice(t *testing.T) {
	machine := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true, KeepIdleSeconds: 10}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], Price: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	gang := Demand{Spec: &wire.JobSpec{ID: "req-1", Kind: wire.KindGang, Tasks: 2, CPUs: 2, MemoryGB: 4}, Units: 2, Rank: 1, AllOrNothing: true}
	array := Demand{Spec: &wire.JobSpec{ID: "req-2", Kind: wire.KindArray, CPUs: 4, MemoryGB: 4}, Units: 1}
	plan := MakePlan(&Snapshot{Machines: []Machine{machine}, Offers: []Offer{offer}, Demands: []Demand{array, gang}, MaxMachinesAdded: 9})
	if len(plan.ScaleOuts) != 1 || plan.ScaleOuts[0].ForJob != "req-2" || plan.ScaleOuts[0].Count != 1 {
		t.Errorf("scale-outs %+v, want one machine for the array", plan.ScaleOuts)
	}
}
