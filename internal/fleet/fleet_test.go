package fleet

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Every plan returns only machines that have been idle for long enough and are no longer prepaid,
// cordons only machines in use that run no services, and adds only machines that are offered.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		plan := MakePlan(s)
		checkScaleOuts(t, s, plan)
		machines := map[wire.MachineID]Machine{}
		for _, m := range s.Machines {
			machines[m.ID] = m
		}
		for _, id := range plan.ScaleIns {
			if m := machines[id]; !m.Idle || m.Booting || m.IdleSeconds < m.KeepIdleSeconds || m.PrepaidSeconds > 0 {
				t.Fatalf("plan returns %+v, which must be kept", m)
			}
		}
		for _, id := range plan.Cordons {
			if m := machines[id]; m.ServiceTasks > 0 || m.Booting || m.Idle {
				t.Fatalf("plan cordons %+v, want only machines in use without services", m)
			}
		}
	})
}

// checkScaleOuts checks that a plan adds no more machines than are offered and than MaxMachinesAdded,
// and no spot machines unless a job allows them.
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
			t.Fatalf("more machines added than offered: %+v", r)
		}
		if r.Spot && !spotAllowed {
			t.Fatalf("spot machines added, although no job allows them: %+v", r)
		}
	}
	if total > s.MaxMachinesAdded || len(s.Demands) == 0 && total > 0 {
		t.Fatalf("%d machines added for %d demands, want at most %d and none without demand", total, len(s.Demands), s.MaxMachinesAdded)
	}
}

// No machine is added for demand that fits on the present machines. An idle machine that no demand
// needs is returned once it has been idle for long enough.
func TestFreeRoomIsUsedBeforeScaleOut(t *testing.T) {
	spec := &wire.JobSpec{Kind: wire.KindArray, CPUs: 2, MemoryGB: 4}
	idle := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true, IdleSeconds: 20, KeepIdleSeconds: 10}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], PricePerHour: 0.3, FetchGBPerSecond: 1, MaxCount: 9}
	for _, c := range []struct {
		name                   string
		units                  int
		wantAdded, wantScaleIn int
	}{
		{"fits", 2, 0, 0},
		{"three of the units do not fit", 5, 2, 0},
		{"no demand", 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{Machines: []Machine{idle}, MaxMachinesAdded: 9}
			if c.units > 0 {
				s.Offers, s.Demands = []Offer{offer}, []Demand{{Spec: spec, Units: c.units}}
			}
			plan := MakePlan(s)
			if got := machinesAdded(plan); got != c.wantAdded || len(plan.ScaleOuts) > 1 || len(plan.ScaleIns) != c.wantScaleIn {
				t.Errorf("plan %+v, want %d machines added in one request, %d returned", plan, c.wantAdded, c.wantScaleIn)
			}
		})
	}
}

// Free and soon released resources of machines on which a job has failed do not count for it: else
// no other machine would ever be added for it.
func TestMachinesOnWhichAJobFailedDoNotCountForIt(t *testing.T) {
	idle := Machine{ID: "n-1", Type: "c4", Zone: "a", Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true}
	busy := Machine{ID: "n-1", Type: "c4", Zone: "a", Total: machineTypes["c4"], LargestBatchTask: machineTypes["c4"],
		ExpectedReleases: []ExpectedRelease{{InSeconds: 5, Resources: machineTypes["c4"]}}}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], PricePerHour: 0.3, FetchGBPerSecond: 1, MaxCount: 9}
	for name, machine := range map[string]Machine{"idle": idle, "busy": busy} {
		for kind, allOrNothing := range map[wire.JobKind]bool{wire.KindArray: false, wire.KindGang: true} {
			for avoided, wantAdded := range map[wire.MachineID]int{"n-1": 1, "n-2": 0} {
				t.Run(fmt.Sprintf("%s of %s machine, failed on %s", kind, name, avoided), func(t *testing.T) {
					plan := MakePlan(&Snapshot{
						Machines: []Machine{machine},
						Offers:   []Offer{offer},
						Demands: []Demand{{
							Spec:          &wire.JobSpec{Kind: kind, Tasks: 2, CPUs: 2, MemoryGB: 4},
							Units:         2,
							SlackSeconds:  10,
							AllOrNothing:  allOrNothing,
							AvoidMachines: map[wire.MachineID]bool{avoided: true},
						}},
						MaxMachinesAdded: 9,
					})
					if got := machinesAdded(plan); got != wantAdded {
						t.Errorf("%d machines added, want %d", got, wantAdded)
					}
				})
			}
		}
	}
}

func machinesAdded(plan Plan) int {
	total := 0
	for _, r := range plan.ScaleOuts {
		total += r.Count
	}
	return total
}

// No machine above the price limit is added for an array; for a service it is. Without the limit,
// bursts of arrays would add machines of the largest type for a few tasks.
func TestPriceLimitHoldsForArraysButNotForServices(t *testing.T) {
	offer := Offer{Type: "c16", Zone: "a", Total: machineTypes["c16"], PricePerHour: 4, FetchGBPerSecond: 1, MaxCount: 1}
	for kind, want := range map[wire.JobKind]int{wire.KindArray: 0, wire.KindService: 1} {
		plan := MakePlan(&Snapshot{
			Offers:           []Offer{offer},
			Demands:          []Demand{{Spec: &wire.JobSpec{Kind: kind, CPUs: 2, MemoryGB: 4}, Units: 1}},
			MaxMachinesAdded: 9,
			MaxPriceRatio:    3,
			LowestUnitPrice:  func(*wire.JobSpec) float64 { return 0.05 },
		})
		if len(plan.ScaleOuts) != want {
			t.Errorf("%s: scale-outs %v, want %d", kind, plan.ScaleOuts, want)
		}
	}
}

// No machine is added for units that can run, within their slack, on resources that running tasks
// release. One is added if the release comes too late.
func TestRoomReleasedInTimeAvoidsScaleOut(t *testing.T) {
	machine := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], ExpectedReleases: []ExpectedRelease{{InSeconds: 10, Resources: machineTypes["c4"]}}, LargestBatchTask: machineTypes["c4"]}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], PricePerHour: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	for slackSeconds, want := range map[float64]int{15: 0, 5: 1} {
		plan := MakePlan(&Snapshot{
			Machines:         []Machine{machine},
			Offers:           []Offer{offer},
			Demands:          []Demand{{Spec: &wire.JobSpec{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4}, Units: 1, SlackSeconds: slackSeconds}},
			MaxMachinesAdded: 9,
		})
		if len(plan.ScaleOuts) != want {
			t.Errorf("release in 10 s, slack %g s: scale-outs %v, want %d", slackSeconds, plan.ScaleOuts, want)
		}
	}
}

// Small jobs that wait together share a machine that is too expensive for one of them.
func TestSmallArraysShareThePriceOfAMachine(t *testing.T) {
	smallJobs := func(n int) []Demand {
		var demands []Demand
		for range n {
			demands = append(demands, Demand{Spec: &wire.JobSpec{Kind: wire.KindArray, CPUs: 1, MemoryGB: 1, SpotAllowed: true}, Units: 1})
		}
		return demands
	}
	differentTypes := smallJobs(2)
	differentTypes[1].Spec.MachineTypes = []wire.MachineType{"c16"}
	for name, c := range map[string]struct {
		demands []Demand
		want    int
	}{
		"one":             {smallJobs(1), 0},
		"two":             {smallJobs(2), 1},
		"five":            {smallJobs(5), 1},
		"nine":            {smallJobs(9), 2},
		"different types": {differentTypes, 0},
	} {
		t.Run(name, func(t *testing.T) {
			plan := MakePlan(&Snapshot{
				MaxMachinesAdded: 8,
				MaxPriceRatio:    2.5,
				LowestUnitPrice:  func(*wire.JobSpec) float64 { return 0.025 },
				Offers:           []Offer{{Type: "c4", Zone: "a", Spot: true, Total: machineTypes["c4"], PricePerHour: 0.1, MaxCount: 9}},
				Demands:          c.demands,
			})
			if got := machinesAdded(plan); got != c.want {
				t.Errorf("%d demands: %d machines added, want %d", len(c.demands), got, c.want)
			}
		})
	}
}

// A machine with little load is cordoned if its tasks fit on others; the one whose unused part costs
// most comes first. Machines with services are not cordoned, and tasks can't be moved to machines
// that boot.
func TestLightlyLoadedMachineIsCordonedIfItsTasksFitOnOthers(t *testing.T) {
	unit := placement.Resources{CPUs: 1, MemoryGB: 4}
	machine := func(id wire.MachineID, freeCPUs, price float64) Machine {
		return Machine{
			ID:               id,
			Type:             "c4",
			Zone:             "a",
			Total:            machineTypes["c4"],
			Free:             placement.Resources{CPUs: freeCPUs, MemoryGB: freeCPUs * 4},
			LargestBatchTask: unit,
			PricePerHour:     price,
		}
	}
	machineWithService := machine("s", 3, 9)
	machineWithService.ServiceTasks = 1
	large := machine("l", 6, 0.1) // takes the tasks of two machines
	large.Total = machineTypes["c16"]
	busy := machine("o", 2, 0.1) // takes the tasks of one machine
	busy.Total = machineTypes["c16"]
	booting := machine("b", 4, 0.1)
	booting.Booting = true
	for _, c := range []struct {
		name     string
		machines []Machine
		want     []wire.MachineID
	}{
		{"others have resources to spare", []Machine{machine("m", 3, 0.2), machine("n", 2, 0.1)}, []wire.MachineID{"m"}},
		{"most expensive unused part first", []Machine{machine("m", 3, 0.1), machine("n", 3, 0.2)}, []wire.MachineID{"n"}},
		{"others would be full", []Machine{machine("m", 3, 0.2), machine("n", 1, 0.1)}, nil},
		{"load too high", []Machine{machine("m", 1, 0.2), machine("n", 1, 0.1)}, nil},
		{"the others still boot", []Machine{machine("m", 3, 0.2), booting}, nil},
		{"a machine with services is not cordoned", []Machine{machineWithService, large}, nil},
		{"the tasks of one machine fit", []Machine{machine("m", 3, 0.2), machine("n", 3, 0.2), busy}, []wire.MachineID{"m"}},
		{"the tasks of two machines fit", []Machine{machine("m", 3, 0.2), machine("n", 3, 0.2), large}, []wire.MachineID{"m", "n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := MakePlan(&Snapshot{Machines: c.machines}).Cordons; !slices.Equal(got, c.want) {
				t.Errorf("cordons %v, want %v", got, c.want)
			}
		})
	}
}

// No more units of a service are placed in a zone than ZoneCapacityLeft allows.
func TestServiceUnitsStayWithinZoneCapacity(t *testing.T) {
	idle := func(id wire.MachineID, zone wire.Zone) Machine {
		return Machine{ID: id, Type: "c4", Zone: zone, Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true, KeepIdleSeconds: 10}
	}
	offer := Offer{Type: "c4", Zone: "b", Total: machineTypes["c4"], PricePerHour: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
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

// The releases of several tasks of a machine add up to the resources of one unit, and each is
// counted for one unit only.
func TestTasksOfOneMachineReleaseRoomTogether(t *testing.T) {
	half := placement.Resources{CPUs: 2, MemoryGB: 8}
	machine := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], ExpectedReleases: []ExpectedRelease{{InSeconds: 5, Resources: half}, {InSeconds: 10, Resources: half}, {InSeconds: 20, Resources: half}}, LargestBatchTask: half}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], PricePerHour: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	for _, c := range []struct {
		name         string
		units        int
		slackSeconds float64
		want         int // machines added
	}{
		{"two halves released in time", 1, 15, 0},
		{"one half released in time", 1, 7, 1},
		{"three halves hold one unit", 2, 30, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := MakePlan(&Snapshot{
				Machines:         []Machine{machine},
				Offers:           []Offer{offer},
				Demands:          []Demand{{Spec: &wire.JobSpec{ID: "req-1", Kind: wire.KindArray, CPUs: 4, MemoryGB: 16}, Units: c.units, SlackSeconds: c.slackSeconds}},
				MaxMachinesAdded: 9,
			})
			if got := machinesAdded(plan); got != c.want {
				t.Errorf("%d units, slack %g s: %d machines added, want %d", c.units, c.slackSeconds, got, c.want)
			}
		})
	}
}

// Resources that are reserved for a gang are not available to the demands after it.
func TestRoomReservedForGangIsNotGivenToLaterDemands(t *testing.T) {
	machine := Machine{ID: "n", Type: "c4", Zone: "a", Total: machineTypes["c4"], Free: machineTypes["c4"], Idle: true, KeepIdleSeconds: 10}
	offer := Offer{Type: "c4", Zone: "a", Total: machineTypes["c4"], PricePerHour: 0.1, FetchGBPerSecond: 1, MaxCount: 9}
	gang := Demand{Spec: &wire.JobSpec{ID: "req-1", Kind: wire.KindGang, Tasks: 2, CPUs: 2, MemoryGB: 4}, Units: 2, Rank: 1, AllOrNothing: true}
	array := Demand{Spec: &wire.JobSpec{ID: "req-2", Kind: wire.KindArray, CPUs: 4, MemoryGB: 4}, Units: 1}
	plan := MakePlan(&Snapshot{Machines: []Machine{machine}, Offers: []Offer{offer}, Demands: []Demand{array, gang}, MaxMachinesAdded: 9})
	if len(plan.ScaleOuts) != 1 || plan.ScaleOuts[0].ForJob != "req-2" || plan.ScaleOuts[0].Count != 1 {
		t.Errorf("scale-outs %+v, want one machine for the array", plan.ScaleOuts)
	}
}
