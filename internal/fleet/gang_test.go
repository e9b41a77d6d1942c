package fleet

import (
	"testing"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// A whole demand rents for all of it in one zone or nothing, and what it lacks is
// judged by the price of all of it. (A gang of four of which three had room was
// never rented for: its last task alone was too dear for any machine.)
func TestWholeDemand(t *testing.T) {
	spec := &wire.JobSpec{ID: "req-1", Kind: wire.KindGang, Tasks: 4, CPUs: 1, MemoryGB: 4, SameZone: true}
	free := func(z wire.Zone, cpus float64) Machine {
		return Machine{ID: "n", Type: "c4", Zone: z, Total: types["c4"], Free: placement.Resources{CPUs: cpus, MemoryGB: 16}}
	}
	soon := free("a", 0)
	soon.Freeing = []Freeing{{InS: 10, Room: types["c4"]}}
	offer := func(z wire.Zone, price float64, room int) Offer {
		return Offer{Type: "c4", Zone: z, Total: types["c4"], Price: price, FetchGBPerS: 1, Room: room}
	}
	big := *spec
	big.Tasks = 8
	spread := big
	spread.SameZone, spread.Spread = false, true
	for _, c := range []struct {
		name  string
		s     Snapshot
		d     Demand
		zones map[wire.Zone]int
	}{
		{"room in one zone", Snapshot{Machines: []Machine{free("a", 2), free("a", 2)}, Offers: []Offer{offer("a", 0.26, 9)}}, Demand{Spec: spec, Units: 4}, nil},
		{"room in two zones is none", Snapshot{Machines: []Machine{free("a", 2), free("b", 2)}, Offers: []Offer{offer("a", 0.26, 9)}}, Demand{Spec: spec, Units: 4}, map[wire.Zone]int{"a": 1}},
		{"the last task", Snapshot{Machines: []Machine{free("a", 3)}, Offers: []Offer{offer("a", 0.26, 9)}}, Demand{Spec: spec, Units: 4}, map[wire.Zone]int{"a": 1}},
		{"too dear", Snapshot{Offers: []Offer{offer("a", 1.2, 9)}}, Demand{Spec: spec, Units: 4}, nil},
		{"too dear, but allowed", Snapshot{Offers: []Offer{offer("a", 1.2, 9)}}, Demand{Spec: spec, Units: 4, PriceStretch: 10}, map[wire.Zone]int{"a": 1}},
		{"frees in time", Snapshot{Machines: []Machine{soon}, Offers: []Offer{offer("b", 0.26, 9)}}, Demand{Spec: spec, Units: 4, SlackS: 15}, nil},
		{"frees too late", Snapshot{Machines: []Machine{soon}, Offers: []Offer{offer("b", 0.26, 9)}}, Demand{Spec: spec, Units: 4, SlackS: 5}, map[wire.Zone]int{"b": 1}},
		{"half can be had in each zone", Snapshot{Offers: []Offer{offer("a", 0.26, 1), offer("b", 0.26, 1)}}, Demand{Spec: &big, Units: 8}, nil},
		{"the other zone", Snapshot{Offers: []Offer{offer("a", 0.20, 1), offer("b", 0.26, 2)}}, Demand{Spec: &big, Units: 8}, map[wire.Zone]int{"b": 2}},
		{"apart", Snapshot{Offers: []Offer{offer("a", 0.20, 9), offer("b", 0.26, 9)}}, Demand{Spec: &spread, Units: 8, ZoneLeft: map[wire.Zone]int{"a": 4, "b": 4}}, map[wire.Zone]int{"a": 1, "b": 1}},
		{"more than a plan rents", Snapshot{Offers: []Offer{offer("a", 0.20, 9)}, MaxScaleOuts: 1}, Demand{Spec: &big, Units: 8}, nil},
	} {
		c.d.AllOrNothing = true
		c.s.Demands, c.s.PriceLimit, c.s.Cheapest = []Demand{c.d}, 2.3, func(*wire.JobSpec) float64 { return 0.065 }
		if c.s.MaxScaleOuts == 0 {
			c.s.MaxScaleOuts = 9
		}
		got := map[wire.Zone]int{}
		for _, r := range MakePlan(&c.s).ScaleOuts {
			got[r.Zone] += r.Count
		}
		if len(got) != len(c.zones) || got["a"] != c.zones["a"] || got["b"] != c.zones["b"] {
			t.Errorf("%s: rents %v, want %v", c.name, got, c.zones)
		}
	}
}
