package fleet

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// unitsByZone returns how many units of a demand fit in each zone on the machines, the added ones
// included. It computes this for each machine on its own, without the packer.
func unitsByZone(d *Demand, machines []Machine, added []ScaleOut) map[wire.Zone]int {
	unit, units := placement.ResourcesOf(d.Spec), map[wire.Zone]int{}
	for _, m := range machines {
		if m.Spot && !d.Spec.SpotAllowed {
			continue
		}
		available := m.Free
		for _, release := range m.ExpectedReleases {
			if release.InSeconds <= d.SlackSeconds {
				available = available.Plus(release.Resources)
			}
		}
		units[m.Zone] += unit.UnitsIn(available)
	}
	for _, r := range added {
		if !r.Spot || d.Spec.SpotAllowed {
			units[r.Zone] += r.Count * unit.UnitsIn(machineTypes[r.Type])
		}
	}
	return units
}

// holdsAll reports whether all units of a demand fit, given the number of units that fit in each
// zone.
func holdsAll(d *Demand, units map[wire.Zone]int) bool {
	total := 0
	for zone, n := range units {
		if d.ZoneCapacityLeft != nil {
			n = min(n, d.ZoneCapacityLeft[zone])
		}
		if total += n; d.Spec.SameZone && n >= d.Units {
			return true
		}
	}
	return !d.Spec.SameZone && total >= d.Units
}

// offeredMachines returns all machines that can be added from the offers.
func offeredMachines(offers []Offer) []ScaleOut {
	var all []ScaleOut
	for _, o := range offers {
		all = append(all, ScaleOut{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.MaxCount})
	}
	return all
}

// Machines are added only if, together with the present ones, they hold all units of a gang. None
// are added if the present ones hold all units already. If the gang requires one zone, they are all
// in that zone. Without a limit on price and number of machines, they are added whenever the offers
// can hold what is missing.
func TestMachinesAreAddedForAllOfGangOrNone(t *testing.T) {
	added, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		d := drawGangDemand(t)
		s.Demands = []Demand{d}
		limited := rapid.Bool().Draw(t, "limited")
		if !limited {
			s.LowestUnitPrice, s.MaxMachinesAdded = nil, 1000
		}
		plan := MakePlan(s)
		checkGangScaleOuts(t, s, &d, plan)
		if machinesAdded(plan) > 0 {
			added++
			return
		}
		present := unitsByZone(&d, s.Machines, nil)
		if limited || holdsAll(&d, present) {
			return
		}
		if holdsAll(&d, unitsByZone(&d, s.Machines, offeredMachines(s.Offers))) {
			t.Fatalf("no machines added, although the free units by zone %v and the offers hold the whole gang", present)
		}
		refused++
	})
	if added < 10 || refused < 10 {
		t.Errorf("machines added for %d gangs and refused for %d, want at least 10 of each", added, refused)
	}
}

// checkGangScaleOuts checks that the machines that are added for a gang, the only demand, are needed
// and sufficient, and are in one zone if the gang requires that.
func checkGangScaleOuts(t *rapid.T, s *Snapshot, d *Demand, plan Plan) {
	total := machinesAdded(plan)
	if total == 0 {
		return
	}
	zones := map[wire.Zone]bool{}
	for _, r := range plan.ScaleOuts {
		zones[r.Zone] = true
	}
	present := unitsByZone(d, s.Machines, nil)
	switch {
	case total > s.MaxMachinesAdded:
		t.Fatalf("%d machines added, want at most %d", total, s.MaxMachinesAdded)
	case holdsAll(d, present):
		t.Fatalf("%+v added, although the free units by zone %v hold the whole gang", plan.ScaleOuts, present)
	case !holdsAll(d, unitsByZone(d, s.Machines, plan.ScaleOuts)):
		t.Fatalf("%+v added, which with the free units by zone %v is not enough for %d units", plan.ScaleOuts, present, d.Units)
	case d.Spec.SameZone && len(zones) != 1:
		t.Fatalf("machines added in zones %v, want one zone", zones)
	}
}

// With other demands in the plan, too, machines are added for a gang only if they and the present
// ones hold all its units. The check doesn't subtract what the other demands use of them.
func TestGangBesideOtherDemandsGetsAllOrNothing(t *testing.T) {
	added := 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		d := drawGangDemand(t)
		s.Demands, s.MaxMachinesAdded = append(s.Demands, d), 20
		s.Offers = append(s.Offers, Offer{Type: "c4", Zone: "b", Total: machineTypes["c4"], PricePerHour: 0.1, FetchGBPerSecond: 1, MaxCount: 3})
		scaleOuts := MakePlan(s).ScaleOuts
		if !slices.ContainsFunc(scaleOuts, func(r ScaleOut) bool { return r.ForJob == d.Spec.ID }) {
			return
		}
		added++
		if !holdsAll(&d, unitsByZone(&d, s.Machines, scaleOuts)) {
			t.Fatalf("%+v added for a gang, although they and the present machines don't hold all of it", scaleOuts)
		}
	})
	if added < 10 {
		t.Errorf("machines added for %d gangs, want at least 10", added)
	}
}

// Machines are added for all missing units of a gang or for none, in one zone if it requires that.
// The price limit applies to their cost divided by all units of the gang. Divided by the missing
// units alone, a gang of four of which three fit would never get a machine: any machine is too
// expensive for its last task alone.
func TestGangScaleOutByZoneAndPrice(t *testing.T) {
	four := &wire.JobSpec{ID: "req-1", Kind: wire.KindGang, Tasks: 4, CPUs: 1, MemoryGB: 4, SameZone: true}
	eight := *four
	eight.Tasks = 8
	spread := eight
	spread.SameZone, spread.Spread = false, true
	free := func(zone wire.Zone, cpus float64) Machine {
		return Machine{ID: "n", Type: "c4", Zone: zone, Total: machineTypes["c4"], Free: placement.Resources{CPUs: cpus, MemoryGB: 16}}
	}
	freeIn10 := free("a", 0)
	freeIn10.ExpectedReleases = []ExpectedRelease{{InSeconds: 10, Resources: machineTypes["c4"]}}
	offer := func(zone wire.Zone, price float64, maxCount int) Offer {
		return Offer{Type: "c4", Zone: zone, Total: machineTypes["c4"], PricePerHour: price, FetchGBPerSecond: 1, MaxCount: maxCount}
	}
	for _, c := range []struct {
		name             string
		machines         []Machine
		offers           []Offer
		demand           Demand
		maxMachinesAdded int               // 0: the default of 9
		want             map[wire.Zone]int // machines added
	}{
		{"all fit in one zone", []Machine{free("a", 2), free("a", 2)}, []Offer{offer("a", 0.26, 9)}, Demand{Spec: four, Units: 4}, 0, nil},
		{"all fit only in two zones together", []Machine{free("a", 2), free("b", 2)}, []Offer{offer("a", 0.26, 9)}, Demand{Spec: four, Units: 4}, 0, map[wire.Zone]int{"a": 1}},
		{"all but the last task fit", []Machine{free("a", 3)}, []Offer{offer("a", 0.26, 9)}, Demand{Spec: four, Units: 4}, 0, map[wire.Zone]int{"a": 1}},
		{"too expensive", nil, []Offer{offer("a", 1.2, 9)}, Demand{Spec: four, Units: 4}, 0, nil},
		{"expensive, but the price limit is raised", nil, []Offer{offer("a", 1.2, 9)}, Demand{Spec: four, Units: 4, PriceLimitFactor: 10}, 0, map[wire.Zone]int{"a": 1}},
		{"resources are released in time", []Machine{freeIn10}, []Offer{offer("b", 0.26, 9)}, Demand{Spec: four, Units: 4, SlackSeconds: 15}, 0, nil},
		{"resources are released too late", []Machine{freeIn10}, []Offer{offer("b", 0.26, 9)}, Demand{Spec: four, Units: 4, SlackSeconds: 5}, 0, map[wire.Zone]int{"b": 1}},
		{"offers for half the gang in each zone", nil, []Offer{offer("a", 0.26, 1), offer("b", 0.26, 1)}, Demand{Spec: &eight, Units: 8}, 0, nil},
		{"offers for the whole gang only in the expensive zone", nil, []Offer{offer("a", 0.20, 1), offer("b", 0.26, 2)}, Demand{Spec: &eight, Units: 8}, 0, map[wire.Zone]int{"b": 2}},
		{"spread over two zones", nil, []Offer{offer("a", 0.20, 9), offer("b", 0.26, 9)}, Demand{Spec: &spread, Units: 8, ZoneCapacityLeft: map[wire.Zone]int{"a": 4, "b": 4}}, 0, map[wire.Zone]int{"a": 1, "b": 1}},
		{"more machines than a plan may add", nil, []Offer{offer("a", 0.20, 9)}, Demand{Spec: &eight, Units: 8}, 1, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.demand.AllOrNothing = true
			s := &Snapshot{
				Machines:         c.machines,
				Offers:           c.offers,
				Demands:          []Demand{c.demand},
				MaxPriceRatio:    2.3,
				LowestUnitPrice:  func(*wire.JobSpec) float64 { return 0.065 },
				MaxMachinesAdded: 9,
			}
			if c.maxMachinesAdded > 0 {
				s.MaxMachinesAdded = c.maxMachinesAdded
			}
			got := map[wire.Zone]int{}
			for _, r := range MakePlan(s).ScaleOuts {
				got[r.Zone] += r.Count
			}
			if !maps.Equal(got, c.want) {
				t.Errorf("machines added by zone: %v, want %v", got, c.want)
			}
		})
	}
}
