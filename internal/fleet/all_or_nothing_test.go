package fleet

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// unitsByZone counts, by plain sums, the units of a demand that have room in each zone on
// the machines, those to be added among them.
func unitsByZone(d *Demand, machines []Machine, added []ScaleOut) map[wire.Zone]int {
	unit, units := placement.ResourcesOf(d.Spec), map[wire.Zone]int{}
	for _, m := range machines {
		if m.Spot && !d.Spec.SpotAllowed {
			continue
		}
		room := m.Free
		for _, f := range m.ExpectedReleases {
			if f.InSeconds <= d.SlackSeconds {
				room = room.Plus(f.Resources)
			}
		}
		units[m.Zone] += unit.UnitsIn(room)
	}
	for _, r := range added {
		if !r.Spot || d.Spec.SpotAllowed {
			units[r.Zone] += r.Count * unit.UnitsIn(machineTypes[r.Type])
		}
	}
	return units
}

// holdsAll reports whether all of a demand finds room in so many units by zone.
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

// offeredMachines are all machines that the offers allow to add.
func offeredMachines(offers []Offer) []ScaleOut {
	var all []ScaleOut
	for _, o := range offers {
		all = append(all, ScaleOut{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.MaxCount})
	}
	return all
}

// Machines are added for all of a gang's demand or for none of it, in one zone where it
// requires that: what is added and what there is hold all of it, none is added where
// there is room, and none in another zone. Where neither price nor number stands in the
// way, machines are added whenever the offers hold all of it.
func TestMachinesAreAddedForAllOfGangOrNone(t *testing.T) {
	added, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		d := drawGangDemand(t)
		s.Demands = []Demand{d}
		limited := rapid.Bool().Draw(t, "limited")
		if !limited {
			s.LowestPrice, s.MaxMachinesAdded = nil, 1000
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
			t.Fatalf("adds nothing, although %v and the offers hold all of it", present)
		}
		refused++
	})
	if added < 10 || refused < 10 {
		t.Errorf("added machines for %d gangs, and not for %d: too few to tell", added, refused)
	}
}

// checkGangScaleOuts checks that the machines that are added for a gang alone are needed
// and enough, and in one zone where it requires that.
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
		t.Fatalf("%d machines added, may be %d", total, s.MaxMachinesAdded)
	case holdsAll(d, present):
		t.Fatalf("adds %+v although %v has room for it", plan.ScaleOuts, present)
	case !holdsAll(d, unitsByZone(d, s.Machines, plan.ScaleOuts)):
		t.Fatalf("adds %+v, which with %v is not enough for %d", plan.ScaleOuts, present, d.Units)
	case d.Spec.SameZone && len(zones) != 1:
		t.Fatalf("adds machines in %v, want one zone", zones)
	}
}

// Beside other demands too nothing is added for a gang unless what is added and what
// there is would hold all of it. (What others use of that comes off only in the plan.)
func TestGangBesideOtherDemandsGetsAllOrNothing(t *testing.T) {
	added := 0
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		d := drawGangDemand(t)
		s.Demands, s.MaxMachinesAdded = append(s.Demands, d), 20
		s.Offers = append(s.Offers, Offer{Type: "c4", Zone: "b", Total: machineTypes["c4"], Price: 0.1, FetchGBPerSecond: 1, MaxCount: 3})
		scaleOuts := MakePlan(s).ScaleOuts
		if !slices.ContainsFunc(scaleOuts, func(r ScaleOut) bool { return r.ForJob == d.Spec.ID }) {
			return
		}
		added++
		if !holdsAll(&d, unitsByZone(&d, s.Machines, scaleOuts)) {
			t.Fatalf("adds %+v for a gang that does not find room for all of it there", scaleOuts)
		}
	})
	if added < 10 {
		t.Errorf("added machines for %d gangs: too few to tell", added)
	}
}

// A gang adds machines for all of it in one zone or none, and what it lacks is judged by
// the price of all of it. (For a gang of four of which three had room no machine was ever
// added: its last task alone was too expensive on any.)
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
	offer := func(zone wire.Zone, price float64, room int) Offer {
		return Offer{Type: "c4", Zone: zone, Total: machineTypes["c4"], Price: price, FetchGBPerSecond: 1, MaxCount: room}
	}
	for _, c := range []struct {
		name         string
		machines     []Machine
		offers       []Offer
		demand       Demand
		maxScaleOuts int // 0: plenty
		want         map[wire.Zone]int
	}{
		{"room in one zone", []Machine{free("a", 2), free("a", 2)}, []Offer{offer("a", 0.26, 9)}, Demand{Spec: four, Units: 4}, 0, nil},
		{"room in two zones is none", []Machine{free("a", 2), free("b", 2)}, []Offer{offer("a", 0.26, 9)}, Demand{Spec: four, Units: 4}, 0, map[wire.Zone]int{"a": 1}},
		{"the last task", []Machine{free("a", 3)}, []Offer{offer("a", 0.26, 9)}, Demand{Spec: four, Units: 4}, 0, map[wire.Zone]int{"a": 1}},
		{"too expensive", nil, []Offer{offer("a", 1.2, 9)}, Demand{Spec: four, Units: 4}, 0, nil},
		{"expensive, but allowed", nil, []Offer{offer("a", 1.2, 9)}, Demand{Spec: four, Units: 4, PriceLimitFactor: 10}, 0, map[wire.Zone]int{"a": 1}},
		{"frees in time", []Machine{freeIn10}, []Offer{offer("b", 0.26, 9)}, Demand{Spec: four, Units: 4, SlackSeconds: 15}, 0, nil},
		{"frees too late", []Machine{freeIn10}, []Offer{offer("b", 0.26, 9)}, Demand{Spec: four, Units: 4, SlackSeconds: 5}, 0, map[wire.Zone]int{"b": 1}},
		{"half can be had in each zone", nil, []Offer{offer("a", 0.26, 1), offer("b", 0.26, 1)}, Demand{Spec: &eight, Units: 8}, 0, nil},
		{"the other zone", nil, []Offer{offer("a", 0.20, 1), offer("b", 0.26, 2)}, Demand{Spec: &eight, Units: 8}, 0, map[wire.Zone]int{"b": 2}},
		{"spread", nil, []Offer{offer("a", 0.20, 9), offer("b", 0.26, 9)}, Demand{Spec: &spread, Units: 8, ZoneCapacityLeft: map[wire.Zone]int{"a": 4, "b": 4}}, 0, map[wire.Zone]int{"a": 1, "b": 1}},
		{"more than a plan may add", nil, []Offer{offer("a", 0.20, 9)}, Demand{Spec: &eight, Units: 8}, 1, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.demand.AllOrNothing = true
			s := &Snapshot{
				Machines:         c.machines,
				Offers:           c.offers,
				Demands:          []Demand{c.demand},
				PriceLimit:       2.3,
				LowestPrice:      func(*wire.JobSpec) float64 { return 0.065 },
				MaxMachinesAdded: 9,
			}
			if c.maxScaleOuts > 0 {
				s.MaxMachinesAdded = c.maxScaleOuts
			}
			got := map[wire.Zone]int{}
			for _, r := range MakePlan(s).ScaleOuts {
				got[r.Zone] += r.Count
			}
			if !maps.Equal(got, c.want) {
				t.Errorf("adds %v, want %v", got, c.want)
			}
		})
	}
}
