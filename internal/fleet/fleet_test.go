package fleet

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// The same cases every time.
func init() { flag.Set("rapid.seed", "20261201") } //nolint:errcheck // rapid defines the flag

var types = map[wire.MachineType]placement.Resources{"c4": {CPUs: 4, MemoryGB: 16}, "c16": {CPUs: 16, MemoryGB: 64}}

func snapshots(t *rapid.T) *Snapshot {
	s := &Snapshot{MaxScaleOuts: 8, PriceLimit: 3, Cheapest: func(*wire.JobSpec) float64 { return 0.02 }}
	kit := func() wire.MachineType { return rapid.SampledFrom([]wire.MachineType{"c4", "c16"}).Draw(t, "kit") }
	zone := func() wire.Zone { return rapid.SampledFrom([]wire.Zone{"a", "b"}).Draw(t, "zone") }
	for i := range rapid.IntRange(0, 5).Draw(t, "machines") {
		k := kit()
		m := Machine{ID: wire.MachineID(fmt.Sprint("n-", i)), Type: k, Zone: zone(), Spot: rapid.Bool().Draw(t, "spot"), Total: types[k], Free: types[k], Price: 0.3, KeepS: 10}
		switch rapid.IntRange(0, 2).Draw(t, "what") {
		case 0:
			m.Booting = true
		case 1:
			m.Idle, m.IdleS, m.PaidS = true, float64(rapid.IntRange(0, 30).Draw(t, "idle")), float64(rapid.IntRange(-20, 20).Draw(t, "paid"))
		default:
			used := placement.Resources{CPUs: float64(rapid.IntRange(1, 4).Draw(t, "used")), MemoryGB: 4}
			m.Free, m.Unit = m.Free.Minus(used), used
			m.Freeing = []Freeing{{InS: float64(rapid.IntRange(1, 40).Draw(t, "in")), Room: used}}
		}
		s.Machines = append(s.Machines, m)
	}
	for range rapid.IntRange(0, 5).Draw(t, "offers") {
		k := kit()
		s.Offers = append(s.Offers, Offer{Type: k, Zone: zone(), Spot: rapid.Bool().Draw(t, "spot"), Total: types[k],
			Price: float64(rapid.IntRange(1, 90).Draw(t, "price")) / 100, FetchGBPerS: 1, Room: rapid.IntRange(0, 4).Draw(t, "room")})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "demands") {
		shape := rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService}).Draw(t, "shape")
		s.Demands = append(s.Demands, Demand{Units: rapid.IntRange(1, 20).Draw(t, "units"), Rank: float64(i % 2), SlackS: float64(rapid.IntRange(-10, 60).Draw(t, "slack")),
			Spec: &wire.JobSpec{ID: wire.JobID(fmt.Sprint("req-", i)), Kind: shape, CPUs: float64(rapid.IntRange(1, 5).Draw(t, "cpus")), MemoryGB: 4,
				SpotAllowed: rapid.Bool().Draw(t, "standby"), ImageGB: 1}})
	}
	return s
}

// What must hold of every plan, whatever the demand.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		plan := MakePlan(s)
		room := map[string]int{}
		for _, o := range s.Offers {
			room[fmt.Sprint(o.Type, o.Zone, o.Spot)] += o.Room
		}
		spotless := true
		total := 0
		for _, d := range s.Demands {
			spotless = spotless && !d.Spec.SpotAllowed
		}
		for _, r := range plan.ScaleOuts {
			total += r.Count
			if r.Count > room[fmt.Sprint(r.Type, r.Zone, r.Spot)] {
				t.Fatalf("rents more than is offered: %+v", r)
			}
			if r.Spot && spotless {
				t.Fatalf("rents spot for jobs that don't allow it: %+v", r)
			}
		}
		if total > s.MaxScaleOuts || len(s.Demands) == 0 && total > 0 {
			t.Fatalf("rents %d machines", total)
		}
		by := map[wire.MachineID]Machine{}
		for _, m := range s.Machines {
			by[m.ID] = m
		}
		for _, id := range plan.ScaleIns {
			if m := by[id]; !m.Idle || m.Booting || m.IdleS < m.KeepS || m.PaidS > 0 {
				t.Fatalf("releases %+v", m)
			}
		}
		for _, id := range plan.Cordons {
			if m := by[id]; m.Services > 0 || m.Booting || m.Idle {
				t.Fatalf("cordons %+v", m)
			}
		}
	})
}

// Demand that the room there is takes rents nothing, and an idle machine
// that no demand needs is returned once it is paid up.
func TestRoomFirst(t *testing.T) {
	spec := &wire.JobSpec{Kind: wire.KindArray, CPUs: 2, MemoryGB: 4}
	m := Machine{ID: "n", Type: "c4", Zone: "a", Total: types["c4"], Free: types["c4"], Idle: true, IdleS: 20, KeepS: 10}
	o := Offer{Type: "c4", Zone: "a", Total: types["c4"], Price: 0.3, FetchGBPerS: 1, Room: 9}
	plan := MakePlan(&Snapshot{Machines: []Machine{m}, Offers: []Offer{o}, Demands: []Demand{{Spec: spec, Units: 2}}, MaxScaleOuts: 9})
	if len(plan.ScaleOuts) != 0 || len(plan.ScaleIns) != 0 {
		t.Fatalf("plan %+v", plan)
	}
	plan = MakePlan(&Snapshot{Machines: []Machine{m}, Offers: []Offer{o}, Demands: []Demand{{Spec: spec, Units: 5}}, MaxScaleOuts: 9})
	if len(plan.ScaleOuts) != 1 || plan.ScaleOuts[0].Count != 2 {
		t.Fatalf("plan %+v", plan)
	}
	plan = MakePlan(&Snapshot{Machines: []Machine{m}})
	if len(plan.ScaleIns) != 1 {
		t.Fatalf("plan %+v", plan)
	}
}

// An array doesn't rent at a price at which it is better late; a service
// does. (Bursts once rented the largest type for a few tasks.)
func TestDearLimit(t *testing.T) {
	o := Offer{Type: "c16", Zone: "a", Total: types["c16"], Price: 4, FetchGBPerS: 1, Room: 1}
	for shape, want := range map[wire.JobKind]int{wire.KindArray: 0, wire.KindService: 1} {
		plan := MakePlan(&Snapshot{Offers: []Offer{o}, Demands: []Demand{{Spec: &wire.JobSpec{Kind: shape, CPUs: 2, MemoryGB: 4}, Units: 1}},
			MaxScaleOuts: 9, PriceLimit: 3, Cheapest: func(*wire.JobSpec) float64 { return 0.05 }})
		if len(plan.ScaleOuts) != want {
			t.Errorf("%s rents %v", shape, plan.ScaleOuts)
		}
	}
}

// Room that frees in time spares a rental; room that frees too late doesn't.
func TestRoomThatFrees(t *testing.T) {
	m := Machine{ID: "n", Type: "c4", Zone: "a", Total: types["c4"], Freeing: []Freeing{{InS: 10, Room: types["c4"]}}, Unit: types["c4"]}
	o := Offer{Type: "c4", Zone: "a", Total: types["c4"], Price: 0.1, FetchGBPerS: 1, Room: 9}
	for slack, want := range map[float64]int{15: 0, 5: 1} {
		plan := MakePlan(&Snapshot{Machines: []Machine{m}, Offers: []Offer{o}, Demands: []Demand{{Spec: &wire.JobSpec{Kind: wire.KindArray, CPUs: 4, MemoryGB: 4}, Units: 1, SlackS: slack}}, MaxScaleOuts: 9})
		if len(plan.ScaleOuts) != want {
			t.Errorf("slack %g: rents %v", slack, plan.ScaleOuts)
		}
	}
}

// Small jobs that wait together share a machine that is too dear for one of them.
func TestSmallDemandsShareAPrice(t *testing.T) {
	small := func(n int, cpus float64) []Demand {
		var out []Demand
		for range n {
			out = append(out, Demand{Spec: &wire.JobSpec{Kind: wire.KindArray, CPUs: cpus, MemoryGB: 1, SpotAllowed: true}, Units: 1})
		}
		return out
	}
	s := Snapshot{MaxScaleOuts: 8, PriceLimit: 2.5, Cheapest: func(*wire.JobSpec) float64 { return 0.025 },
		Offers: []Offer{{Type: "c4", Zone: "a", Spot: true, Total: types["c4"], Price: 0.1, Room: 9}}}
	rents := func(d []Demand) (n int) {
		s.Demands = d
		for _, r := range MakePlan(&s).ScaleOuts {
			n += r.Count
		}
		return
	}
	apart := small(2, 1)
	apart[1].Spec.MachineTypes = []wire.MachineType{"c16"}
	for name, c := range map[string]struct {
		d    []Demand
		want int
	}{"one": {small(1, 1), 0}, "two": {small(2, 1), 1}, "five": {small(5, 1), 1}, "nine": {small(9, 1), 2}, "of other types": {apart, 0}} {
		if n := rents(c.d); n != c.want {
			t.Errorf("%s: %d machines, want %d", name, n, c.want)
		}
	}
}
