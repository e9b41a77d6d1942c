package fleet

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// wholeDemand is a gang of a few tasks.
func wholeDemand(t *rapid.T) Demand {
	spec := &wire.JobSpec{ID: "req-77", Kind: wire.KindGang, Tasks: rapid.IntRange(1, 10).Draw(t, "gang's tasks"), CPUs: float64(rapid.IntRange(1, 5).Draw(t, "gang's cpus")),
		MemoryGB: 4, SpotAllowed: rapid.Bool().Draw(t, "gang on spot"), SameZone: rapid.Bool().Draw(t, "same zone"), ImageGB: 1}
	d := Demand{Spec: spec, Units: spec.Tasks, SlackS: float64(rapid.IntRange(-10, 60).Draw(t, "gang's slack")), Rank: float64(rapid.IntRange(0, 1).Draw(t, "gang's rank")), AllOrNothing: true}
	if spec.Spread = !spec.SameZone && rapid.Bool().Draw(t, "spread"); spec.Spread {
		d.ZoneLeft = map[wire.Zone]int{"a": spec.ZoneCap(), "b": spec.ZoneCap()}
	}
	return d
}

// roomFor counts, by plain sums, the units of a demand that have room in each zone
// on the machines, those to rent among them.
func roomFor(d *Demand, machines []Machine, rents []ScaleOut) map[wire.Zone]int {
	take, units := placement.ResourcesOf(d.Spec), map[wire.Zone]int{}
	for _, m := range machines {
		if m.Spot && !d.Spec.SpotAllowed {
			continue
		}
		room := m.Free
		for _, s := range m.Freeing {
			if s.InS <= d.SlackS {
				room = room.Plus(s.Room)
			}
		}
		units[m.Zone] += take.Units(room)
	}
	for _, r := range rents {
		if !r.Spot || d.Spec.SpotAllowed {
			units[r.Zone] += r.Count * take.Units(types[r.Type])
		}
	}
	return units
}

// holds tells whether all of a demand has its place in so much room.
func holds(d *Demand, units map[wire.Zone]int) bool {
	all := 0
	for z, n := range units {
		if d.ZoneLeft != nil {
			n = min(n, d.ZoneLeft[z])
		}
		if all += n; d.Spec.SameZone && n >= d.Units {
			return true
		}
	}
	return !d.Spec.SameZone && all >= d.Units
}

// A gang's demand is rented for whole or not at all, in one zone where it wants
// that: what is rented and what there is hold all of it, none is rented where there
// is room, and none in another zone. Where neither price nor number stands in the
// way it is rented for whenever the offers hold it.
func TestWholeDemandsAreRentedForWhole(t *testing.T) {
	rented, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		d := wholeDemand(t)
		s.Demands = []Demand{d}
		limited := rapid.Bool().Draw(t, "limited")
		if !limited {
			s.Cheapest, s.MaxScaleOuts = nil, 1000
		}
		rents := MakePlan(s).ScaleOuts
		zones, total := map[wire.Zone]bool{}, 0
		for _, r := range rents {
			zones[r.Zone] = true
			total += r.Count
		}
		there := roomFor(&d, s.Machines, nil)
		switch {
		case total > s.MaxScaleOuts:
			t.Fatalf("%d machines rented", total)
		case total > 0 && holds(&d, there):
			t.Fatalf("rents %+v although %v has room for it", rents, there)
		case total > 0 && !holds(&d, roomFor(&d, s.Machines, rents)):
			t.Fatalf("rents %+v, which with %v is not enough for %d", rents, there, d.Units)
		case total > 0 && d.Spec.SameZone && len(zones) != 1:
			t.Fatalf("rents in %v", zones)
		}
		if total > 0 {
			rented++
			return
		}
		if limited || holds(&d, there) {
			return
		}
		var all []ScaleOut
		for _, o := range s.Offers {
			all = append(all, ScaleOut{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.Room})
		}
		if holds(&d, roomFor(&d, s.Machines, all)) {
			t.Fatalf("rents nothing, although %v and the offers hold it", there)
		}
		refused++
	})
	if rented < 10 || refused < 10 {
		t.Errorf("rented for %d gangs, and not for %d: too few to tell", rented, refused)
	}
}

// Beside other demands too nothing is rented for a gang unless what is rented and
// what there is would hold all of it. (What others take of that comes off only in the
// plan.)
func TestWholeDemandsBesideOthers(t *testing.T) {
	rented := 0
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		d := wholeDemand(t)
		s.Demands, s.MaxScaleOuts = append(s.Demands, d), 20
		s.Offers = append(s.Offers, Offer{Type: "c4", Zone: "b", Total: types["c4"], Price: 0.1, FetchGBPerS: 1, Room: 3})
		rents := MakePlan(s).ScaleOuts
		if !slices.ContainsFunc(rents, func(r ScaleOut) bool { return r.For == d.Spec.ID }) {
			return
		}
		rented++
		if !holds(&d, roomFor(&d, s.Machines, rents)) {
			t.Fatalf("rents %+v for a gang that finds no whole room there", rents)
		}
	})
	if rented < 10 {
		t.Errorf("rented for %d gangs: too few to tell", rented)
	}
}
