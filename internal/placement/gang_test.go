package placement

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// crowded is a snapshot of full machines, with gangs, arrays and services that wait.
func crowded(t *rapid.T) *Snapshot {
	s := snapshots(t)
	s.Preempt = true
	for i := range s.Machines {
		m := &s.Machines[i]
		m.Reservations, m.Stopping = nil, Resources{}
		for k := range rapid.IntRange(0, 4).Draw(t, "victims") {
			v := Victim{Task: wire.Task{Job: wire.JobID(fmt.Sprint("req-9", i)), Index: k}, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Team: "blue",
				Uses: Resources{CPUs: float64(rapid.IntRange(1, 4).Draw(t, "takes")), MemoryGB: 2}, LostS: float64(rapid.IntRange(0, 60).Draw(t, "lost")), RemainingS: float64(rapid.IntRange(1, 60).Draw(t, "left"))}
			if !v.Uses.Fits(m.Free) {
				break
			}
			m.Free = m.Free.Minus(v.Uses)
			m.Victims = append(m.Victims, v)
		}
	}
	for i := range s.Jobs {
		if sp := s.Jobs[i].Spec; rapid.IntRange(0, 2).Draw(t, "gang") > 0 {
			sp.Kind, sp.Tasks, sp.MachineTypes, sp.Zone, sp.SpotAllowed = wire.KindGang, rapid.IntRange(1, 4).Draw(t, "tasks"), nil, "", true
			s.Jobs[i].Pending, s.Jobs[i].TasksByZone = sp.Tasks, map[wire.Zone]int{}
		}
		s.Jobs[i].PatienceS = float64(rapid.IntRange(0, 30).Draw(t, "patience"))
	}
	return s
}

// couldFit tells whether all of a gang would fit if all that may be stopped or
// awaited were gone: in one zone if it wants that.
func couldFit(s *Snapshot, j *Job) bool {
	team := s.Teams[j.Spec.Team]
	if team.Limit.CPUs > 0 && team.Used.CPUs+j.Spec.CPUs*float64(j.Spec.Tasks) > team.Limit.CPUs+wire.Eps {
		return false
	}
	in := map[wire.Zone]int{}
	for i := range s.Machines {
		m := &s.Machines[i]
		if !Allowed(j.Spec, m) {
			continue
		}
		room := m.Free.Plus(m.Stopping)
		for _, c := range m.Reservations {
			room = room.Minus(c.Takes)
		}
		for _, v := range m.Victims {
			if v.RemainingS <= j.PatienceS && j.PatienceS > 0 || j.Spec.Priority.Rank() >= wire.PriorityUrgent.Rank() && v.Rank < j.Spec.Priority.Rank() {
				room = room.Plus(v.Uses)
			}
		}
		in[m.Zone] += ResourcesOf(j.Spec).Units(room)
	}
	all := 0
	for _, n := range in {
		n = min(n, j.Spec.ZoneCap())
		if all += n; j.Spec.SameZone && n >= j.Spec.Tasks {
			return true
		}
	}
	return !j.Spec.SameZone && all >= j.Spec.Tasks
}

// Room is made for all of a gang or for none of it, in one zone if it wants that,
// and nothing is stopped or awaited but for what is then claimed and fits.
func TestRoomIsMadeForWholeGangs(t *testing.T) {
	made, stopped := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := crowded(t)
		after := clone(s) // Place works on it
		res := Place(after)
		starts := map[int]int{}
		for _, st := range res.Starts {
			starts[st.Job]++
		}
		halted := map[wire.Task]Victim{}
		for _, v := range res.Preemptions {
			halted[v.Task] = v
		}
		type on struct {
			job  wire.JobID
			zone wire.Zone
		}
		clears, inZone, reason := map[wire.JobID]int{}, map[on]int{}, map[wire.Task]bool{}
		byID := map[wire.MachineID]*Machine{}
		for i := range after.Machines {
			byID[after.Machines[i].ID] = &after.Machines[i]
		}
		for _, c := range res.Reservations {
			clears[c.Job]++
			inZone[on{c.Job, byID[c.Machine].Zone}]++
			for _, task := range c.AwaitedTasks {
				reason[task] = true
			}
		}
		for i := range s.Machines {
			was, m := &s.Machines[i], &after.Machines[i]
			// All that is claimed fits once all that is ending has ended, and
			// what is ending is what was stopped or awaited.
			room := m.Free
			for _, v := range was.Victims {
				_, stops := halted[v.Task]
				if stops || reason[v.Task] {
					room = room.Plus(v.Uses)
				}
				if stops && len(m.Reservations) == 0 {
					t.Fatalf("%v is stopped on %s, for nothing", v.Task, m.ID)
				}
			}
			for _, c := range m.Reservations {
				room = room.Minus(c.Takes)
			}
			if room.CPUs < -wire.Eps || room.MemoryGB < -wire.Eps {
				t.Fatalf("more is claimed on %s than will be free: %v", m.ID, room)
			}
		}
		for i := range s.Jobs {
			j := &s.Jobs[i]
			sp := j.Spec
			if !sp.Gang() {
				continue
			}
			if n := starts[i]; n != 0 && n != sp.Tasks {
				t.Fatalf("%d of %d tasks start", n, sp.Tasks)
			}
			n := clears[sp.ID]
			if n != 0 && (n != sp.Tasks || starts[i] > 0) {
				t.Fatalf("room is made for %d of %d tasks, %d start", n, sp.Tasks, starts[i])
			}
			for at, k := range inZone {
				if at.job == sp.ID && (sp.SameZone && k != sp.Tasks || k > sp.ZoneCap()) {
					t.Fatalf("room for %d of %d tasks in zone %s", k, sp.Tasks, at.zone)
				}
			}
			if n > 0 {
				made++
			}
			if team := after.Teams[sp.Team]; team.Limit.CPUs > 0 && team.Used.CPUs > team.Limit.CPUs+wire.Eps {
				t.Fatalf("%s uses %v of %v", sp.Team, team.Used, team.Limit)
			}
		}
		stopped += len(res.Preemptions)
	})
	if made < 20 || stopped < 20 {
		t.Errorf("room was made for %d gangs, %d tasks were stopped: too few to tell", made, stopped)
	}
}

// For a gang that waits alone room is made whenever it can be made for all of it.
func TestRoomIsMadeWhereItCanBe(t *testing.T) {
	made, not := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := crowded(t)
		i := 0
		for ; i < len(s.Jobs) && !s.Jobs[i].Spec.Gang(); i++ {
		}
		if i == len(s.Jobs) {
			return
		}
		s.Jobs = s.Jobs[i : i+1]
		could := couldFit(s, &s.Jobs[0])
		res := Place(clone(s))
		if got := len(res.Starts)+len(res.Reservations) > 0; got != could {
			t.Fatalf("starts %v, clears %v, but it could fit: %v", res.Starts, res.Reservations, could)
		}
		if len(res.Reservations) > 0 {
			made++
		} else if !could {
			not++
		}
	})
	if made < 5 || not < 5 {
		t.Errorf("room could be made %d times, %d times not: too few to tell", made, not)
	}
}

func gangSpec(id wire.JobID, u wire.Priority, parts int, cpus float64) *wire.JobSpec {
	return &wire.JobSpec{ID: id, Team: "t", Kind: wire.KindGang, Priority: u, Tasks: parts, CPUs: cpus, MemoryGB: cpus, SameZone: true, SpotAllowed: true, Image: "i"}
}

func inZone(id wire.MachineID, z wire.Zone, free float64, vs ...Victim) Machine {
	return Machine{ID: id, Zone: z, Total: Resources{4, 0, 16}, Free: Resources{free, 0, 16}, FetchGBPerS: 1, Victims: vs}
}

func snapOf(ms []Machine, jobs ...Job) *Snapshot {
	for i := range jobs {
		jobs[i].Pending, jobs[i].TasksByZone = jobs[i].Spec.Tasks, map[wire.Zone]int{}
		if jobs[i].Weight == 0 {
			jobs[i].Weight = 1
		}
	}
	return &Snapshot{Teams: map[wire.TeamID]*Team{"t": {}}, Factors: Factors{1, 0.5, 60}, Preempt: true, Machines: ms, Jobs: jobs}
}

// A gang that starts nothing and of which some room's making has ended too early
// is not left with the rest: what is still claimed for it is claimed anew with
// what it lacks.
func TestGangsDontWaitForEachOther(t *testing.T) {
	task := func(i int, left float64) Victim {
		return Victim{Task: wire.Task{Job: "req-9", Index: i}, Rank: 1, Uses: Resources{4, 0, 4}, RemainingS: left, LostS: 9, Team: "t"}
	}
	// Two everyday gangs of two, two machines: the earlier claims both, the later
	// neither of them and none in part.
	ms := []Machine{inZone("m", "a", 0, task(0, 3)), inZone("n", "a", 0, task(1, 5))}
	res := Place(snapOf(ms, Job{Spec: gangSpec("req-1", wire.PriorityStandard, 2, 4), PatienceS: 9}, Job{Spec: gangSpec("req-2", wire.PriorityStandard, 2, 4), PatienceS: 9}))
	if len(res.Reservations) != 2 || res.Reservations[0].Job != "req-1" || res.Reservations[1].Job != "req-1" || len(res.Preemptions) != 0 {
		t.Fatalf("clears %+v, halts %v", res.Reservations, res.Preemptions)
	}
	// The first machine is free, the second not yet: neither the later gang nor an
	// array gets the half.
	claim := func(id wire.JobID) []Reservation { return []Reservation{{id, 1, Resources{4, 0, 4}}} }
	array := &wire.JobSpec{ID: "req-3", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: 1, CPUs: 4, MemoryGB: 4, SpotAllowed: true}
	half := func() []Machine {
		a, b := inZone("m", "a", 4), inZone("n", "a", 0)
		a.Reservations, b.Reservations, b.Stopping = claim("req-1"), claim("req-1"), Resources{4, 0, 4}
		return []Machine{a, b}
	}
	res = Place(snapOf(half(), Job{Spec: gangSpec("req-1", wire.PriorityStandard, 2, 4), Reservations: 2, PatienceS: 9}, Job{Spec: array, Weight: 50}, Job{Spec: gangSpec("req-2", wire.PriorityStandard, 1, 4), PatienceS: 9, Weight: 9}))
	if len(res.Starts)+len(res.Reservations)+len(res.Preemptions) != 0 {
		t.Fatalf("beside a gang's claims %+v", res)
	}
	// An urgent gang passes over them.
	res = Place(snapOf(half(), Job{Spec: gangSpec("req-1", wire.PriorityStandard, 2, 4), Reservations: 2, PatienceS: 9}, Job{Spec: gangSpec("req-2", wire.PriorityUrgent, 1, 4)}))
	if len(res.Starts) != 1 || res.Starts[0].Job != 1 {
		t.Fatalf("an urgent gang beside a lower one's claims: %+v", res)
	}
	// Both free: it starts, whatever gains more.
	both := half()
	both[1].Free, both[1].Stopping = Resources{4, 0, 16}, Resources{}
	res = Place(snapOf(both, Job{Spec: gangSpec("req-1", wire.PriorityStandard, 2, 4), Reservations: 2, PatienceS: 9}, Job{Spec: array, Weight: 50}))
	if len(res.Starts) != 2 || res.Starts[0].Job != 0 {
		t.Fatalf("with all its room free %+v", res)
	}
}

// Room kept for the next replicas is none that can be made for a gang: it claimed
// it, could not use it, and waited beside it for ever. One that lingers uses it.
func TestGangBesideKeptRoom(t *testing.T) {
	task := Victim{Task: wire.Task{Job: "req-9"}, Rank: 0, Uses: Resources{4, 0, 4}, LostS: 9, RemainingS: 99, Team: "t"}
	ms := func() []Machine { return []Machine{inZone("m", "a", 4), inZone("n", "a", 0, task)} }
	urgent := Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 1, 4)}
	s := snapOf(ms(), urgent)
	s.SpareUnits, s.SpareUnit = 1, Resources{4, 0, 4}
	if res := Place(s); len(res.Starts) != 0 || len(res.Reservations) != 1 || res.Reservations[0].Machine != "n" || len(res.Preemptions) != 1 {
		t.Errorf("an urgent gang: %+v", res)
	}
	everyday := Job{Spec: gangSpec("req-1", wire.PriorityStandard, 1, 4), PatienceS: 5}
	s = snapOf(ms(), everyday)
	s.SpareUnits, s.SpareUnit = 1, Resources{4, 0, 4}
	if res := Place(s); len(res.Starts) != 0 || len(res.Reservations) != 0 {
		t.Errorf("an everyday gang: %+v", res)
	}
	everyday.WaitedLong = true
	s = snapOf(ms(), everyday)
	s.SpareUnits, s.SpareUnit = 1, Resources{4, 0, 4}
	if res := Place(s); len(res.Starts) != 1 {
		t.Errorf("one that lingers: %+v", res)
	}
	s = snapOf(append(ms(), inZone("o", "a", 4)), everyday)
	s.SpareUnits, s.SpareUnit = 1, Resources{4, 0, 4}
	if res := Place(s); len(res.Starts) != 1 || res.Starts[0].Machine != 2 {
		t.Errorf("one that lingers, beside other room: %+v", res)
	}
}

// Of two machines with one task each the cheaper is cleared: a gang's task costs
// what all of its gang loses, which the leader counts.
func TestGangIsClearedLast(t *testing.T) {
	v := func(i int, lost float64) Victim {
		return Victim{Task: wire.Task{Job: "req-9", Index: i}, Rank: 1, Uses: Resources{4, 0, 4}, LostS: lost, RemainingS: 99, Team: "t"}
	}
	s := snapOf([]Machine{inZone("m", "a", 0, v(0, 4*(10+5))), inZone("n", "a", 0, v(1, 40))}, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 1, 4)})
	if res := Place(s); len(res.Preemptions) != 1 || res.Preemptions[0].Task.Index != 1 {
		t.Errorf("halts %+v", res.Preemptions)
	}
}

// Room for the next gang is kept from arrays, all of it in one zone, where its
// image is; services and gangs use it, and an array that lingers.
func TestRoomForTheNextGang(t *testing.T) {
	place := func(spec *wire.JobSpec, lingers, alone bool) map[wire.MachineID]int {
		ms := []Machine{inZone("m", "a", 4), inZone("n", "b", 4), inZone("o", "a", 2), inZone("p", "b", 4)}
		if alone {
			ms = ms[1:2]
		}
		ms[min(1, len(ms)-1)].Images = map[wire.ImageID]Image{"i": Present}
		s := snapOf(ms, Job{Spec: spec, WaitedLong: lingers})
		s.Preempt, s.ExpectedGangs = false, []*wire.JobSpec{gangSpec("req-9", wire.PriorityStandard, 3, 2)}
		got := map[wire.MachineID]int{}
		for _, st := range Place(s).Starts {
			got[s.Machines[st.Machine].ID]++
		}
		return got
	}
	of := func(shape wire.JobKind, parts int) *wire.JobSpec {
		return &wire.JobSpec{ID: "req-1", Team: "t", Kind: shape, Tasks: parts, CPUs: 2, MemoryGB: 2, SpotAllowed: true}
	}
	// Two of three units are kept on n, which has the image, one on p.
	if got := place(of(wire.KindArray, 9), false, false); got["n"] != 0 || got["p"] != 1 || got["m"] != 2 || got["o"] != 1 {
		t.Errorf("an array takes %v", got)
	}
	// What there is of the room is kept, though it is not all; one unit of an array
	// that lingers and finds no other room uses it.
	for lingers, want := range map[bool]int{false: 0, true: 1} {
		if got := place(of(wire.KindArray, 9), lingers, true); got["n"] != want {
			t.Errorf("lingers %v: an array takes %v", lingers, got)
		}
	}
	for _, shape := range []wire.JobKind{wire.KindService, wire.KindGang} {
		if got := place(of(shape, 7), false, false); got["n"] != 2 || got["p"] != 2 || got["m"] != 2 || got["o"] != 1 {
			t.Errorf("%s takes %v", shape, got)
		}
	}
}

// A gang that must fetch goes where its last image is there soonest: neither where
// the fewest machines fetch, nor where it leaves the least room.
func TestGangFetchesWhereItIsQuickest(t *testing.T) {
	at := func(id wire.MachineID, z wire.Zone, free, rate float64, image Image) Machine {
		m := inZone(id, z, free)
		m.FetchGBPerS, m.Images = rate, map[wire.ImageID]Image{"i": image}
		return m
	}
	place := func(ms ...Machine) map[wire.MachineID]int {
		spec := gangSpec("req-1", wire.PriorityUrgent, 2, 2)
		spec.ImageGB = 1.4
		for i := range ms {
			ms[i].Images = maps.Clone(ms[i].Images) // the pass notes its fetches there
		}
		s := snapOf(ms, Job{Spec: spec})
		got := map[wire.MachineID]int{}
		for _, st := range Place(s).Starts {
			got[s.Machines[st.Machine].ID]++
		}
		return got
	}
	slow, quick, other := at("m", "a", 4, 0.3, Absent), at("n", "a", 2, 1, Absent), at("o", "a", 2, 1, Absent)
	if got := place(slow, quick, other); got["n"] != 1 || got["o"] != 1 {
		t.Errorf("beside a slow one that has room for both: %v", got)
	}
	quick.Zone, other.Zone = "b", "b"
	if got := place(slow, quick, other); got["n"] != 1 || got["o"] != 1 {
		t.Errorf("in another zone: %v", got)
	}
	busy := other
	busy.FetchingGB = 3 // of other images, which share its rate
	if got := place(slow, quick, busy); got["m"] != 0 || got["n"] != 1 || got["o"] != 1 {
		t.Errorf("4.4 s against 4.7 s: %v", got)
	}
	busy.FetchingGB = 4
	if got := place(slow, quick, busy); got["m"] != 2 {
		t.Errorf("5.4 s against 4.7 s: %v", got)
	}
	if got := place(at("m", "a", 4, 0.3, Present), quick, other); got["m"] != 2 {
		t.Errorf("beside one that holds the image: %v", got)
	}
	if got := place(at("m", "a", 2, 0.3, Fetching), at("n", "a", 2, 0.8, Absent), at("o", "a", 2, 1, Absent)); got["n"] != 0 {
		t.Errorf("beside one that fetches the image already: %v", got)
	}
}

// For an urgent gang that can still start in time what would save for longer is
// stopped only where nothing else can be; one without an aim, or late already, stops
// the lowest priority first.
func TestGangInTimeStopsWhatLeavesAtOnce(t *testing.T) {
	saving := Victim{Task: wire.Task{Job: "req-8"}, Rank: 0, Uses: Resources{4, 0, 4}, LostS: 3, RemainingS: 99, CheckpointS: 3, Team: "t"}
	atOnce := Victim{Task: wire.Task{Job: "req-9"}, Rank: 1, Uses: Resources{4, 0, 4}, LostS: 30, RemainingS: 99, Team: "t"}
	full := func(vs ...Victim) Machine {
		m := inZone("m", "a", 0, vs...)
		m.Total = Resources{4 * float64(len(vs)), 0, 32}
		return m
	}
	other := inZone("n", "a", 0, atOnce)
	for name, c := range map[string]struct {
		ms       []Machine
		priority wire.Priority
		startsIn float64
		want     wire.JobID
	}{
		"no aim, one machine":        {[]Machine{full(saving, atOnce)}, wire.PriorityUrgent, 0, "req-8"},
		"no aim, two machines":       {[]Machine{full(saving), other}, wire.PriorityUrgent, 0, "req-8"},
		"in time, one machine":       {[]Machine{full(saving, atOnce)}, wire.PriorityUrgent, 2, "req-9"},
		"in time, two machines":      {[]Machine{full(saving), other}, wire.PriorityUrgent, 2, "req-9"},
		"there is time to save":      {[]Machine{full(saving, atOnce)}, wire.PriorityUrgent, 4, "req-8"},
		"nothing else can be":        {[]Machine{full(saving)}, wire.PriorityUrgent, 2, "req-8"},
		"an everyday gang, of these": {[]Machine{full(saving, atOnce), other}, wire.PriorityStandard, 2, ""},
	} {
		res := Place(snapOf(c.ms, Job{Spec: gangSpec("req-1", c.priority, 1, 4), StartsInS: c.startsIn}))
		switch {
		case c.want == "" && len(res.Preemptions) == 0:
		case len(res.Preemptions) != 1 || res.Preemptions[0].Task.Job != c.want:
			t.Errorf("%s: halts %+v, want %q", name, res.Preemptions, c.want)
		}
	}
}

// Room that was made for a gang is not kept for the next replicas when it becomes
// free; what is free beside it is.
func TestRoomMadeForAGangIsItsOwn(t *testing.T) {
	for free, spare := range map[float64]int{4: 0, 5: 1, 9: 2} {
		m := inZone("m", "a", free)
		m.Reservations = []Reservation{{"req-1", wire.PriorityUrgent.Rank(), Resources{2, 0, 2}}, {"req-1", wire.PriorityUrgent.Rank(), Resources{2, 0, 2}}}
		s := snapOf([]Machine{m}, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 2), Reservations: 2})
		s.SpareUnits, s.SpareUnit = 4, Resources{1, 0, 1} // half of it in one zone at most
		if n := len(Place(s).Starts); n != 2 {
			t.Errorf("%g free: %d of 2 tasks start in the room made for them", free, n)
		}
		if n := s.Machines[0].serviceHeadroomUnits; n != spare {
			t.Errorf("%g free: room for %d replicas is kept, want %d", free, n, spare)
		}
	}
}
