package placement

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// The same cases every time, and enough of them that gangs meet all else.
func init() {
	flag.Set("rapid.seed", "20261201") //nolint:errcheck // rapid defines the flag
	flag.Set("rapid.checks", "2000")   //nolint:errcheck // here too
}

// slow is the plain model, straight from the design's text: again and again
// it evaluates the tree of every waiting job for one more unit on every
// machine, over plain lists, and takes the largest gain. It returns each
// step's gain; among equals the real pass may choose freely.
func slow(s *Snapshot) (gains []float64, starts map[int]int) {
	starts = map[int]int{}
	left := make([]int, len(s.Jobs))
	for i := range s.Jobs {
		left[i] = s.Jobs[i].Pending
	}
	for {
		best, bj, bm := 0.0, -1, -1
		var bw []int // where all of a gang goes
		for ji := range s.Jobs {
			if j := &s.Jobs[ji]; j.Spec.Gang() {
				if left[ji] != j.Spec.Tasks || left[ji] == 0 {
					continue
				}
				if u, where := slowWhole(s, ji); where != nil {
					if g := u * j.Weight * (1 + j.WaitedS/max(1, s.Factors.WaitRaiseS)); g > best+1e-12 {
						best, bj, bw = g, ji, where
					}
				}
				continue
			}
			for mi := range s.Machines {
				if left[ji] == 0 || !legal(s, ji, mi) {
					continue
				}
				j, m := &s.Jobs[ji], &s.Machines[mi]
				class := withoutImage
				if m.Images[j.Spec.Image] == Present {
					class = withImage
				}
				u := taskTree(s.Factors).Value(utility.Grant{class: 1})
				if g := u * j.Weight * (1 + j.WaitedS/max(1, s.Factors.WaitRaiseS)); g > best+1e-12 {
					best, bj, bm, bw = g, ji, mi, nil
				}
			}
		}
		if bj < 0 {
			return
		}
		if bw != nil {
			for _, mi := range bw {
				apply(s, bj, mi)
			}
			left[bj] = 0
			starts[bj] += len(bw)
			gains = append(gains, best)
			continue
		}
		apply(s, bj, bm)
		left[bj]--
		starts[bj]++
		gains = append(gains, best)
	}
}

// slowWhole evaluates the tree of a gang for all that can be had at once: the
// machines with its image alone, then all, each of one zone where the job wants
// that, one unit after the other until a unit is illegal. It returns the utility
// of a unit, and where they go; nil if not all of it fits.
func slowWhole(s *Snapshot, ji int) (unit float64, where []int) {
	n := s.Jobs[ji].Spec.Tasks
	if sp := s.Jobs[ji].Spec; s.Teams[sp.Team].Limit.CPUs > 0 && s.Teams[sp.Team].Used.CPUs+float64(n)*sp.CPUs > s.Teams[sp.Team].Limit.CPUs+wire.Eps {
		return 0, nil
	}
	for _, class := range []utility.Class{withImage, withoutImage} {
		for _, z := range []wire.Zone{"a", "b", ""} {
			if (z == "") == s.Jobs[ji].Spec.SameZone {
				continue
			}
			here := clone(s)
			var got []int
			for mi := range here.Machines {
				m := &here.Machines[mi]
				if z != "" && m.Zone != z || class == withImage && m.Images[s.Jobs[ji].Spec.Image] != Present {
					continue
				}
				for len(got) < n && legal(here, ji, mi) {
					apply(here, ji, mi)
					got = append(got, mi)
				}
			}
			if len(got) < n {
				continue
			}
			if u := gangTree(s.Factors, n).Value(utility.Grant{class: n}) / float64(n); u > unit {
				unit, where = u, got
			}
		}
	}
	return unit, where
}

// legal is the page's hard checks, written out once more.
func legal(s *Snapshot, ji, mi int) bool {
	j, m := &s.Jobs[ji], &s.Machines[mi]
	sp := j.Spec
	team := s.Teams[sp.Team]
	if team.Limit.CPUs > 0 && team.Used.CPUs+sp.CPUs > team.Limit.CPUs+wire.Eps {
		return false
	}
	// Nothing takes the room that is made for others of its rank or above.
	left, claimed := m.Free.Plus(m.Stopping), false
	for _, c := range m.Reservations {
		if c.Job != sp.ID && c.Rank >= sp.Priority.Rank() {
			left, claimed = left.Minus(c.Takes), true
		}
	}
	if claimed && (sp.CPUs > left.CPUs+wire.Eps || sp.MemoryGB > left.MemoryGB+wire.Eps) {
		return false
	}
	if sp.CPUs > m.Free.CPUs+wire.Eps || sp.GPUs > m.Free.GPUs+wire.Eps || sp.MemoryGB > m.Free.MemoryGB+wire.Eps {
		return false
	}
	if m.Spot && !sp.SpotAllowed || sp.Zone != "" && sp.Zone != m.Zone || sp.MachineTypes != nil && !slices.Contains(sp.MachineTypes, m.Type) {
		return false
	}
	if sp.Spread && j.TasksByZone[m.Zone]+1 > (sp.Tasks+1)/2 {
		return false
	}
	if sp.SameZone {
		for z, n := range j.TasksByZone {
			if z != m.Zone && n > 0 {
				return false
			}
		}
	}
	return true
}

func apply(s *Snapshot, ji, mi int) {
	j, m := &s.Jobs[ji], &s.Machines[mi]
	m.Free = m.Free.Minus(ResourcesOf(j.Spec))
	s.Teams[j.Spec.Team].Used = s.Teams[j.Spec.Team].Used.Plus(ResourcesOf(j.Spec))
	j.TasksByZone[m.Zone]++
	for i, c := range m.Reservations {
		if c.Job == j.Spec.ID {
			m.Reservations = slices.Delete(slices.Clone(m.Reservations), i, i+1)
			break
		}
	}
}

func clone(s *Snapshot) *Snapshot {
	c := *s
	c.Machines = slices.Clone(s.Machines)
	for i := range c.Machines {
		c.Machines[i].Images = maps.Clone(s.Machines[i].Images)
		c.Machines[i].Victims = slices.Clone(s.Machines[i].Victims)
		c.Machines[i].Reservations = slices.Clone(s.Machines[i].Reservations)
	}
	c.Jobs = slices.Clone(s.Jobs)
	for i := range c.Jobs {
		c.Jobs[i].TasksByZone = maps.Clone(s.Jobs[i].TasksByZone)
	}
	c.Teams = map[wire.TeamID]*Team{}
	for k, v := range s.Teams {
		t := *v
		c.Teams[k] = &t
	}
	return &c
}

func snapshots(t *rapid.T) *Snapshot {
	zones := []wire.Zone{"a", "b"}
	s := &Snapshot{
		Teams: map[wire.TeamID]*Team{
			"red":  {Limit: Resources{CPUs: float64(rapid.IntRange(0, 24).Draw(t, "limit"))}},
			"blue": {},
		},
		Factors: Factors{Preferred: 1, Fallback: 0.5, WaitRaiseS: 60},
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		cpus := float64(rapid.SampledFrom([]int{4, 16}).Draw(t, "cpus"))
		used := float64(rapid.IntRange(0, 4).Draw(t, "used"))
		s.Machines = append(s.Machines, Machine{
			ID: wire.MachineID(fmt.Sprint("n-", i)), Type: wire.MachineType(fmt.Sprint("c", cpus)), Zone: rapid.SampledFrom(zones).Draw(t, "zone"),
			Spot: rapid.Bool().Draw(t, "spot"), Total: Resources{CPUs: cpus, MemoryGB: cpus * 4}, Free: Resources{CPUs: cpus - used, MemoryGB: cpus*4 - used},
			FetchGBPerS: 1, Images: map[wire.ImageID]Image{wire.ImageID(fmt.Sprint("img-", i%2)): Image(rapid.IntRange(0, 2).Draw(t, "image"))},
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "jobs") {
		parts := rapid.IntRange(1, 7).Draw(t, "parts")
		sp := &wire.JobSpec{ID: wire.JobID(fmt.Sprint("req-", i)), Team: rapid.SampledFrom([]wire.TeamID{"red", "blue"}).Draw(t, "team"),
			Kind: rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService, wire.KindGang}).Draw(t, "shape"), Priority: rapid.SampledFrom([]wire.Priority{wire.PriorityStandard, wire.PriorityUrgent}).Draw(t, "urgency"), Tasks: parts,
			CPUs: float64(rapid.IntRange(1, 5).Draw(t, "take")), MemoryGB: float64(rapid.IntRange(1, 9).Draw(t, "ram")), Image: wire.ImageID(fmt.Sprint("img-", i%3)), ImageGB: 1,
			Spread: rapid.Bool().Draw(t, "apart"), SameZone: rapid.IntRange(0, 3).Draw(t, "same") == 0, SpotAllowed: rapid.Bool().Draw(t, "standby")}
		if rapid.IntRange(0, 3).Draw(t, "sited") == 0 {
			sp.Zone = "a"
		}
		if rapid.IntRange(0, 3).Draw(t, "typed") == 0 {
			sp.MachineTypes = []wire.MachineType{"c16"}
		}
		held := map[wire.Zone]int{}
		if !sp.SameZone && parts > 1 && !sp.Gang() {
			held["b"] = rapid.IntRange(0, 1).Draw(t, "held")
		}
		// Weights differ by job, so that the order of jobs is decided.
		s.Jobs = append(s.Jobs, Job{Spec: sp, Pending: parts - held["b"], TasksByZone: held,
			WaitedS: float64(rapid.IntRange(0, 90).Draw(t, "waited")), Weight: 1 + 0.137*float64(i)})
	}
	for i := range s.Machines {
		if m := &s.Machines[i]; rapid.IntRange(0, 3).Draw(t, "claimed") == 0 {
			c := Reservation{wire.JobID(fmt.Sprint("req-", rapid.IntRange(0, 5).Draw(t, "claimant"))), rapid.IntRange(1, 2).Draw(t, "rank"), Resources{CPUs: float64(rapid.IntRange(1, 5).Draw(t, "claim")), MemoryGB: 2}}
			for j := range s.Jobs {
				if sp := s.Jobs[j].Spec; sp.ID == c.Job {
					c.Rank, c.Takes = sp.Priority.Rank(), ResourcesOf(sp)
				}
			}
			m.Reservations = []Reservation{c}
			m.Stopping = Resources{CPUs: float64(rapid.IntRange(0, 3).Draw(t, "stopping")), MemoryGB: 2}
		}
	}
	return s
}

// Every launch of the real pass is legal when it is made, each step gains as
// much as the best that the slow model finds in the same position, and the
// pass stops only when nothing legal is left.
func TestPassAgainstSlowModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := snapshots(t)
		model := clone(s)
		pending := make([]int, len(s.Jobs))
		for i := range s.Jobs {
			pending[i] = s.Jobs[i].Pending
		}
		res := Place(clone(s))
		for n := 0; n < len(res.Starts); {
			job := res.Starts[n].Job
			j, units := &model.Jobs[job], 1
			if j.Spec.Gang() {
				units = j.Spec.Tasks
			}
			here := clone(model)
			for i := range here.Jobs {
				here.Jobs[i].Pending = pending[i]
			}
			gains, _ := slow(here)
			u := s.Factors.Preferred
			if j.Spec.Gang() {
				limit := s.Teams[j.Spec.Team].Limit.CPUs
				if used := model.Teams[j.Spec.Team].Used.CPUs + float64(units)*j.Spec.CPUs; limit > 0 && used > limit {
					t.Fatalf("start %d: a gang of a team that may use %g makes it %g", n, limit, used)
				}
			}
			for k := range units {
				if n+k >= len(res.Starts) || res.Starts[n+k].Job != job {
					t.Fatalf("start %d: only %d of %d tasks of a gang", n, k, units)
				}
				st := res.Starts[n+k]
				if !legal(model, st.Job, st.Machine) {
					t.Fatalf("start %d is not legal: %+v", n+k, st)
				}
				if model.Machines[st.Machine].Images[j.Spec.Image] != Present {
					u = s.Factors.Fallback
				}
				apply(model, st.Job, st.Machine)
			}
			if got := u * j.Weight * (1 + j.WaitedS/s.Factors.WaitRaiseS); len(gains) == 0 || got < gains[0]-1e-9 {
				t.Fatalf("start %d gains %g, the best is %v", n, got, gains)
			}
			if pending[job] -= units; pending[job] < 0 {
				t.Fatalf("job %d was started too often", job)
			}
			n += units
		}
		for i := range model.Jobs {
			model.Jobs[i].Pending = pending[i]
		}
		if gains, _ := slow(model); len(gains) > 0 {
			t.Fatalf("the pass stopped, but %d more starts are legal", len(gains))
		}
	})
}

// The fallback is taken without waiting, and the preferred machine first.
func TestPreferredThenFallback(t *testing.T) {
	s := &Snapshot{
		Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60},
		Machines: []Machine{
			{ID: "cold", Free: Resources{4, 0, 16}, Total: Resources{4, 0, 16}, FetchGBPerS: 1},
			{ID: "warm", Free: Resources{4, 0, 16}, Total: Resources{4, 0, 16}, FetchGBPerS: 1, Images: map[wire.ImageID]Image{"i": Present}},
		},
		Jobs: []Job{{Spec: &wire.JobSpec{Team: "t", Kind: wire.KindArray, Tasks: 2, CPUs: 4, MemoryGB: 4, Image: "i"}, Pending: 2, TasksByZone: map[wire.Zone]int{}, Weight: 1}},
	}
	res := Place(s)
	if len(res.Starts) != 2 || res.Starts[0].Machine != 1 || res.Starts[1].Machine != 0 {
		t.Fatalf("starts %+v", res.Starts)
	}
}

// A machine on which the job failed is its last choice, even with the image.
// (A replica was once started four times on the machine that failed it.)
func TestAvoidsWhereItFailed(t *testing.T) {
	s := &Snapshot{
		Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60},
		Machines: []Machine{
			{ID: "failed", Free: Resources{4, 0, 16}, Total: Resources{4, 0, 16}, FetchGBPerS: 1, Services: 1, Images: map[wire.ImageID]Image{"i": Present}},
			{ID: "cold", Free: Resources{4, 0, 16}, Total: Resources{4, 0, 16}, FetchGBPerS: 1},
		},
		Jobs: []Job{{Spec: &wire.JobSpec{Team: "t", Kind: wire.KindService, Tasks: 1, CPUs: 4, MemoryGB: 4, Image: "i"}, Pending: 1, TasksByZone: map[wire.Zone]int{}, Weight: 1,
			Avoid: map[wire.MachineID]bool{"failed": true}}},
	}
	if res := Place(s); len(res.Starts) != 1 || res.Starts[0].Machine != 1 {
		t.Fatalf("starts %+v", res.Starts)
	}
}

// Room kept for services is open to services only.
func TestSpareRoom(t *testing.T) {
	mk := func(shape wire.JobKind) int {
		s := &Snapshot{
			Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60}, SpareUnits: 2, SpareUnit: Resources{1, 0, 4},
			Machines: []Machine{{ID: "m", Zone: "a", Free: Resources{4, 0, 16}, Total: Resources{4, 0, 16}}, {ID: "n", Zone: "b", Free: Resources{4, 0, 16}, Total: Resources{4, 0, 16}}},
			Jobs:     []Job{{Spec: &wire.JobSpec{Team: "t", Kind: shape, Tasks: 9, CPUs: 1, MemoryGB: 4}, Pending: 9, TasksByZone: map[wire.Zone]int{}, Weight: 1}},
		}
		return len(Place(s).Starts)
	}
	// One unit stays free in each zone. (Both in one zone once left a spread
	// service with half of its replicas for the time of a boot.)
	if a, d := mk(wire.KindArray), mk(wire.KindService); a != 6 || d != 8 {
		t.Fatalf("an array got %d units of 6, a service %d of 8", a, d)
	}
}

// One unit of an array that waits too long may use that room, and takes any other
// first. (With the cloud sold out it waited beside it for ever.)
func TestSpareRoomForWhatLingers(t *testing.T) {
	starts := func(other bool) (out []wire.MachineID) {
		s := &Snapshot{
			Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60}, SpareUnits: 2, SpareUnit: Resources{1, 0, 4},
			Machines: []Machine{{ID: "m", Zone: "a", Free: Resources{1, 0, 4}, Total: Resources{4, 0, 16}}, {ID: "n", Zone: "b", Free: Resources{1, 0, 4}, Total: Resources{4, 0, 16}}},
			Jobs:     []Job{{Spec: &wire.JobSpec{Team: "t", Kind: wire.KindArray, Tasks: 9, CPUs: 1, MemoryGB: 4, SpotAllowed: true}, Pending: 9, TasksByZone: map[wire.Zone]int{}, Weight: 1, WaitedLong: true}},
		}
		if other {
			s.Machines = append(s.Machines, Machine{ID: "o", Zone: "a", Spot: true, Free: Resources{1, 0, 4}, Total: Resources{16, 0, 64}})
		}
		for _, st := range Place(s).Starts {
			out = append(out, s.Machines[st.Machine].ID)
		}
		return out
	}
	if got := starts(false); len(got) != 1 {
		t.Errorf("%v beside kept room only", got)
	}
	if got := starts(true); len(got) != 1 || got[0] != "o" {
		t.Errorf("%v beside other room", got)
	}
}

// Preemption stops lower priorities only, where the least work is lost, and
// never for an everyday array. (Two classes of arrays once stopped each
// other's tasks in turn for minutes.)
func TestPreemption(t *testing.T) {
	mk := func(u wire.Priority, shape wire.JobKind, rank int) []Victim {
		v := func(n int, lost float64) Victim {
			return Victim{Task: wire.Task{Job: "req-1", Index: n}, Rank: rank, Uses: Resources{4, 0, 4}, LostS: lost, Team: "t"}
		}
		s := &Snapshot{Preempt: true,
			Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60},
			Machines: []Machine{{ID: "m", Total: Resources{4, 0, 16}, Victims: []Victim{v(0, 30)}}, {ID: "n", Total: Resources{4, 0, 16}, Victims: []Victim{v(1, 3)}}},
			Jobs:     []Job{{Spec: &wire.JobSpec{Team: "t", Kind: shape, Priority: u, Tasks: 1, CPUs: 2, MemoryGB: 4}, Pending: 1, TasksByZone: map[wire.Zone]int{}, Weight: 1}},
		}
		return Place(s).Preemptions
	}
	if h := mk(wire.PriorityProd, wire.KindService, wire.PriorityStandard.Rank()); len(h) != 1 || h[0].Task.Index != 1 {
		t.Errorf("a service stops %v", h)
	}
	if h := mk(wire.PriorityStandard, wire.KindService, wire.PriorityStandard.Rank()); len(h) != 0 {
		t.Errorf("the same priority is stopped: %v", h)
	}
	if h := mk(wire.PriorityStandard, wire.KindArray, wire.PriorityBestEffort.Rank()); len(h) != 0 {
		t.Errorf("an everyday array stops %v", h)
	}
}

// Room that is being made for an urgent task is kept for it until it is whole:
// two tasks of half a machine end one after the other, and a smaller job with
// more to gain does not take the half that is free first. Nothing more is
// stopped for it meanwhile, a second unit gets room of its own, and a job of a
// higher priority passes over the claim.
func TestRoomIsKeptForWhatItIsMadeFor(t *testing.T) {
	spec := func(id wire.JobID, u wire.Priority, cpus float64) *wire.JobSpec {
		return &wire.JobSpec{ID: id, Team: "t", Kind: wire.KindArray, Priority: u, Tasks: 9, CPUs: cpus, MemoryGB: 3.5 * cpus, SpotAllowed: true}
	}
	urgent, small, prod := spec("req-1", wire.PriorityUrgent, 4), spec("req-2", wire.PriorityStandard, 2), spec("req-3", wire.PriorityProd, 2)
	half := Resources{2, 0, 7}
	whole := Resources{4, 0, 16}
	snap := func(m Machine, jobs ...Job) *Snapshot {
		m.ID, m.Total, m.FetchGBPerS = "n", whole, 1
		for i := range jobs {
			jobs[i].TasksByZone = map[wire.Zone]int{}
		}
		return &Snapshot{Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60}, Preempt: true, Machines: []Machine{m}, Jobs: jobs}
	}
	victim := func(i int) Victim { return Victim{Task: wire.Task{Job: "req-9", Index: i}, Rank: 1, Uses: half} }
	claim := []Reservation{{urgent.ID, urgent.Priority.Rank(), ResourcesOf(urgent)}}
	full := Machine{Victims: []Victim{victim(0), victim(1)}, Free: Resources{0, 0, 2}}
	free := Machine{Reservations: claim, Free: Resources{2, 0, 9}, Stopping: half}
	soon := func(v Victim, in float64) Victim {
		v.RemainingS = in
		return v
	}
	twoOf := func(s *Snapshot, m Machine) *Snapshot {
		m.Total, m.FetchGBPerS = whole, 1
		s.Machines = append(s.Machines, m)
		return s
	}
	other := spec("req-4", wire.PriorityUrgent, 4)
	limit := func(s *Snapshot, cpus float64) *Snapshot {
		s.Teams["t"].Limit.CPUs = cpus
		return s
	}
	heavy := *urgent
	heavy.Image, heavy.ImageGB = "i", 1
	imaged := Job{Spec: &heavy, Pending: 1, Weight: 8, PatienceS: 5}
	patient := Job{Spec: urgent, Pending: 1, Weight: 8, PatienceS: 5}
	cases := []struct {
		name                  string
		s                     *Snapshot
		starts, halts, clears int
	}{
		{"what ends soon is awaited", snap(Machine{Victims: []Victim{soon(victim(0), 3), soon(victim(1), 4)}, Free: Resources{0, 0, 2}}, patient), 0, 0, 1},
		{"one is awaited, the other stopped", snap(Machine{Victims: []Victim{soon(victim(0), 3), soon(victim(1), 40)}, Free: Resources{0, 0, 2}}, patient), 0, 1, 1},
		{"what may not be stopped can be awaited", snap(Machine{Victims: []Victim{{Task: wire.Task{Job: "req-8"}, Rank: 2, Uses: whole, RemainingS: 2}}}, patient), 0, 0, 1},
		{"a fetch is no reason to stop two tasks", twoOf(snap(Machine{Victims: []Victim{soon(victim(0), 3), soon(victim(1), 4)}, Free: Resources{0, 0, 2}}, imaged),
			Machine{ID: "warm", Images: map[wire.ImageID]Image{"i": Present}, Victims: []Victim{soon(victim(2), 40), soon(victim(3), 40)}, Free: Resources{0, 0, 2}}), 0, 0, 1},
		{"a full machine is cleared", snap(full, Job{Spec: urgent, Pending: 1, Weight: 8}), 0, 2, 1},
		{"the half that is free is kept", snap(free, Job{Spec: urgent, Pending: 1, Weight: 8, Reservations: 1}, Job{Spec: small, Pending: 2, Weight: 99}), 0, 0, 0},
		{"the whole is used", snap(Machine{Reservations: claim, Free: whole}, Job{Spec: urgent, Pending: 1, Weight: 8, Reservations: 1}, Job{Spec: small, Pending: 2, Weight: 99}), 1, 0, 0},
		{"without a claim the small ones go", snap(Machine{Free: whole}, Job{Spec: urgent, Pending: 1, Weight: 8}, Job{Spec: small, Pending: 2, Weight: 99}), 2, 0, 0},
		{"a claimed machine is no room for a second unit", snap(free, Job{Spec: urgent, Pending: 2, Weight: 8, Reservations: 1}), 0, 0, 0},
		{"a higher priority passes over it", snap(free, Job{Spec: prod, Pending: 1, Weight: 256}), 1, 0, 0},
		{"no room is made beyond the team's limit", limit(snap(Machine{Victims: []Victim{victim(0), victim(1)}, Free: Resources{0, 0, 2}}, Job{Spec: urgent, Pending: 1, Weight: 8, Reservations: 1}, Job{Spec: other, Pending: 1, Weight: 8}), 4), 0, 0, 0},
		{"within it some is made for a second job", limit(snap(Machine{Victims: []Victim{victim(0), victim(1)}, Free: Resources{0, 0, 2}}, Job{Spec: urgent, Pending: 1, Weight: 8, Reservations: 1}, Job{Spec: other, Pending: 1, Weight: 8}), 8), 0, 2, 1},
		{"what was claimed and is used counts once", limit(snap(Machine{Reservations: claim, Free: whole, Victims: []Victim{victim(0), victim(1)}}, Job{Spec: urgent, Pending: 1, Weight: 8, Reservations: 1}, Job{Spec: other, Pending: 1, Weight: 7}), 8), 1, 2, 1},
	}
	for _, c := range cases {
		res := Place(c.s)
		if len(res.Starts) != c.starts || len(res.Preemptions) != c.halts || len(res.Reservations) != c.clears {
			t.Errorf("%s: %+v", c.name, res)
		}
	}
}

// A gang that lingers may use the room kept for replicas, and what is kept of its
// team's limit is left alone by arrays up to its rank, not by services.
func TestGangsAreNotPassedOver(t *testing.T) {
	spec := func(id wire.JobID, shape wire.JobKind, u wire.Priority, parts int) *wire.JobSpec {
		return &wire.JobSpec{ID: id, Team: "red", Kind: shape, Priority: u, Tasks: parts, CPUs: 2, MemoryGB: 1}
	}
	for name, k := range map[string]struct {
		lingers bool
		other   *wire.JobSpec
		spare   int
		free    float64
		want    int // starts
	}{
		"kept room":                      {false, nil, 2, 8, 0},
		"kept room after a while":        {true, nil, 2, 8, 4},
		"the limit, against an array":    {true, spec("a", wire.KindArray, wire.PriorityStandard, 2), 0, 6, 0},
		"the limit, against a service":   {true, spec("s", wire.KindService, wire.PriorityProd, 2), 0, 6, 2},
		"the limit, against higher rank": {true, spec("u", wire.KindArray, wire.PriorityUrgent, 2), 0, 6, 2},
	} {
		s := &Snapshot{
			Machines: []Machine{{ID: "m", Zone: "a", Total: Resources{CPUs: 16, MemoryGB: 16}, Free: Resources{CPUs: k.free, MemoryGB: 16}}},
			Teams:    map[wire.TeamID]*Team{"red": {Limit: Resources{CPUs: 9}, Reserved: Resources{CPUs: 8, MemoryGB: 4}, ReservedFor: "g", ReservedRank: wire.PriorityStandard.Rank()}},
			Factors:  Factors{Preferred: 1, Fallback: 0.5, WaitRaiseS: 30}, SpareUnits: k.spare, SpareUnit: Resources{CPUs: 1, MemoryGB: 1},
			Jobs: []Job{{Spec: spec("g", wire.KindGang, wire.PriorityStandard, 4), Pending: 4, TasksByZone: map[wire.Zone]int{}, Weight: 1, WaitedLong: k.lingers}},
		}
		if k.other != nil {
			s.Jobs = append(s.Jobs, Job{Spec: k.other, Pending: k.other.Tasks, TasksByZone: map[wire.Zone]int{}, Weight: 1})
		}
		if n := len(Place(s).Starts); n != k.want {
			t.Errorf("%s: %d starts, want %d", name, n, k.want)
		}
	}
}
