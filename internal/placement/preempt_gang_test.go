package placement

import (
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// Resources are reserved for all units of a gang or for none, and in one zone if the gang must be
// in one zone. Tasks are preempted or awaited only for reservations, which then fit.
func TestRoomIsReservedForAllOfGangOrNone(t *testing.T) {
	gangs, victims := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		before := drawCrowdedSnapshot(t)
		after := clone(before) // Place modifies it
		res := Place(after)
		checkReservationsFit(t, before, after, res)
		for i := range before.Jobs {
			if before.Jobs[i].Spec.IsGang() && checkGang(t, after, res, i) {
				gangs++
			}
		}
		victims += len(res.Preemptions)
	})
	if gangs < 20 || victims < 20 {
		t.Errorf("resources were reserved for %d gangs, %d tasks were preempted, want at least 20 of each", gangs, victims)
	}
}

// checkReservationsFit checks that the reservations on each machine fit once the preempted
// and awaited tasks have ended, and that no task is preempted on a machine without a
// reservation.
func checkReservationsFit(t *rapid.T, before, after *Snapshot, res Result) {
	preempted, awaited := map[wire.TaskID]bool{}, map[wire.TaskID]bool{}
	for _, v := range res.Preemptions {
		preempted[v.Task] = true
	}
	for _, r := range res.Reservations {
		for _, task := range r.AwaitedTasks {
			awaited[task] = true
		}
	}
	for i := range before.Machines {
		m := &after.Machines[i]
		remaining := m.Free
		for _, v := range before.Machines[i].Victims {
			if preempted[v.Task] || awaited[v.Task] {
				remaining = remaining.Plus(v.Resources)
			}
			if preempted[v.Task] && len(m.Reservations) == 0 {
				t.Fatalf("%v is preempted on %s, which has no reservation", v.Task, m.ID)
			}
		}
		for _, r := range m.Reservations {
			remaining = remaining.Minus(r.Resources)
		}
		if remaining.CPUs < -wire.AmountTolerance || remaining.MemoryGB < -wire.AmountTolerance {
			t.Fatalf("more is reserved on %s than will be free: remaining resources %v", m.ID, remaining)
		}
	}
}

// checkGang checks the starts and reservations of a gang. It reports whether the cycle
// reserved resources for the gang.
func checkGang(t *rapid.T, after *Snapshot, res Result, job int) bool {
	spec := after.Jobs[job].Spec
	starts := 0
	for _, start := range res.Starts {
		if start.JobIndex == job {
			starts++
		}
	}
	if starts != 0 && starts != spec.Tasks {
		t.Fatalf("%d of %d tasks of a gang start", starts, spec.Tasks)
	}
	reservations, byZone := reservationsOf(after, res, spec.ID)
	if reservations != 0 && (reservations != spec.Tasks || starts > 0) {
		t.Fatalf("resources are reserved for %d of %d tasks of a gang, %d start", reservations, spec.Tasks, starts)
	}
	for zone, n := range byZone {
		if spec.SameZone && n != spec.Tasks || n > spec.MaxTasksPerZone() {
			t.Fatalf("resources are reserved for %d of a gang's %d tasks in zone %s, against its zone rules", n, spec.Tasks, zone)
		}
	}
	if team := after.Teams[spec.Team]; team.Limit.CPUs > 0 && team.Used.CPUs > team.Limit.CPUs+wire.AmountTolerance {
		t.Fatalf("team %s uses %v, its limit is %v", spec.Team, team.Used, team.Limit)
	}
	return reservations > 0
}

// reservationsOf returns the number of a job's new reservations, in total and by zone.
func reservationsOf(s *Snapshot, res Result, job wire.JobID) (int, map[wire.Zone]int) {
	zoneOf := map[wire.MachineID]wire.Zone{}
	for i := range s.Machines {
		zoneOf[s.Machines[i].ID] = s.Machines[i].Zone
	}
	total, byZone := 0, map[wire.Zone]int{}
	for _, r := range res.Reservations {
		if r.Job == job {
			total++
			byZone[zoneOf[r.Machine]]++
		}
	}
	return total, byZone
}

// If a gang is the only pending job, resources are reserved whenever all of the gang can be
// made to fit.
func TestRoomIsReservedWheneverAllOfGangCouldFit(t *testing.T) {
	reserved, impossible := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawCrowdedSnapshot(t)
		i := 0
		for ; i < len(s.Jobs) && !s.Jobs[i].Spec.IsGang(); i++ {
		}
		if i == len(s.Jobs) {
			return
		}
		s.Jobs = s.Jobs[i : i+1]
		want := gangCouldFit(s, &s.Jobs[0])
		res := Place(clone(s))
		if got := len(res.Starts)+len(res.Reservations) > 0; got != want {
			t.Fatalf("starts %v, reservations %v, but the gang could fit: %v", res.Starts, res.Reservations, want)
		}
		if len(res.Reservations) > 0 {
			reserved++
		} else if !want {
			impossible++
		}
	})
	if reserved < 5 || impossible < 5 {
		t.Errorf("reservations were made %d times and impossible %d times, want at least 5 of each", reserved, impossible)
	}
}

// Two gangs don't block each other with partial reservations: the earlier has all of its
// reservations, the later none. While a gang waits for its reserved resources, no other job
// of its rank or below takes a part of them.
func TestGangsDontWaitForEachOther(t *testing.T) {
	gang := func(id wire.JobID, priority wire.Priority, tasks int) Job {
		return Job{Spec: gangSpec(id, priority, tasks, 4), PreemptionDelaySeconds: 9}
	}
	array := Job{Weight: 50, Spec: &wire.JobSpec{ID: "req-3", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: 1, CPUs: 4, MemoryGB: 4, SpotAllowed: true}}
	withReservations := gang("req-1", wire.PriorityStandard, 2)
	withReservations.ReservedUnits = 2

	// Two standard gangs of two, two machines.
	machines := []Machine{machineIn("a", "m", 0, fullSizeVictim(0, 9, 3)), machineIn("a", "n", 0, fullSizeVictim(1, 9, 5))}
	res := Place(snapshotOf(machines, gang("req-1", wire.PriorityStandard, 2), gang("req-2", wire.PriorityStandard, 2)))
	if len(res.Reservations) != 2 || res.Reservations[0].Job != "req-1" || res.Reservations[1].Job != "req-1" || len(res.Preemptions) != 0 {
		t.Fatalf("reservations %+v, preemptions %v, want two reservations for req-1", res.Reservations, res.Preemptions)
	}

	// The first machine is free, the second not yet: neither the later gang nor an array
	// starts on the first.
	halfFree := func() []Machine {
		free, full := machineIn("a", "m", 4), machineIn("a", "n", 0)
		free.Reservations = fullSizeReservation("req-1", wire.PriorityStandard)
		full.Reservations = fullSizeReservation("req-1", wire.PriorityStandard)
		full.StoppingResources = Resources{CPUs: 4, MemoryGB: 4}
		return []Machine{free, full}
	}
	later := gang("req-2", wire.PriorityStandard, 1)
	later.Weight = 9
	res = Place(snapshotOf(halfFree(), withReservations, array, later))
	if len(res.Starts)+len(res.Reservations)+len(res.Preemptions) != 0 {
		t.Fatalf("array and later gang beside a gang's reservations: %+v, want nothing", res)
	}

	urgent := Job{Spec: gangSpec("req-2", wire.PriorityUrgent, 1, 4)}
	res = Place(snapshotOf(halfFree(), withReservations, urgent))
	if len(res.Starts) != 1 || res.Starts[0].JobIndex != 1 {
		t.Fatalf("urgent gang beside a standard gang's reservations: %+v, want its start", res)
	}

	// Both machines are free: the gang starts, although the array has a larger gain.
	bothFree := halfFree()
	bothFree[1].Free, bothFree[1].StoppingResources = Resources{CPUs: 4, MemoryGB: 16}, Resources{}
	res = Place(snapshotOf(bothFree, withReservations, array))
	if len(res.Starts) != 2 || res.Starts[0].JobIndex != 0 {
		t.Fatalf("gang with all reserved resources free: %+v, want its two starts", res)
	}
}

// Of two machines with one task each, the task that loses less work is preempted. The lost
// work of a gang's task, which the caller of Place supplies, is that of the whole gang.
func TestTaskOfGangIsPreemptedLast(t *testing.T) {
	ofGang, other := fullSizeVictim(0, 4*(10+5), 99), fullSizeVictim(1, 40, 99)
	s := snapshotOf([]Machine{machineIn("a", "m", 0, ofGang), machineIn("a", "n", 0, other)}, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 1, 4)})
	if got := Place(s).Preemptions; len(got) != 1 || got[0].Task.Index != 1 {
		t.Errorf("victims %+v, want task 1", got)
	}
}

// If two zones can hold a gang that must be in one zone, room is made in the zone where the
// least work is lost, in whichever order the zones come.
func TestRoomForGangIsMadeInCheaperZone(t *testing.T) {
	for _, first := range []wire.Zone{"expensive", "cheap"} {
		t.Run(string(first)+" zone first", func(t *testing.T) {
			expensive := []Machine{
				machineIn("expensive", "e1", 0, fullSizeVictim(0, 30, 500)),
				machineIn("expensive", "e2", 0, fullSizeVictim(1, 30, 500)),
			}
			// One task in the cheap zone loses more work than any task in the expensive zone.
			cheap := []Machine{
				machineIn("cheap", "c1", 0, fullSizeVictim(2, 35, 500)),
				machineIn("cheap", "c2", 0, fullSizeVictim(3, 5, 500)),
			}
			machines := append(expensive, cheap...)
			if first == "cheap" {
				machines = append(cheap, expensive...)
			}
			res := Place(snapshotOf(machines, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 4)}))
			if len(res.Preemptions) != 2 || len(res.Reservations) != 2 {
				t.Fatalf("victims %v for reservations %v, want two of each", res.Preemptions, res.Reservations)
			}
			for _, v := range res.Preemptions {
				if v.Task.Index < 2 {
					t.Errorf("victims %v, which lose 60 s of work, want those that lose 40 s", res.Preemptions)
				}
			}
		})
	}
}

// Nothing more is reserved for a gang that has reservations. If only a part of them is left,
// these have to expire first.
func TestGangWithReservationsGetsNoMore(t *testing.T) {
	for _, c := range []struct {
		name               string
		reservations, want int
	}{
		{"no reservations", 0, 2},
		{"a part of the reservations is left", 1, 0},
		{"all reservations", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var machines []Machine
			for i, id := range []wire.MachineID{"m", "n", "o", "p"} {
				machines = append(machines, machineIn("a", id, 0, fullSizeVictim(i, 5, 500)))
			}
			for i := range c.reservations {
				machines[i].Victims, machines[i].StoppingResources = nil, Resources{CPUs: 4, MemoryGB: 4}
				machines[i].Reservations = fullSizeReservation("req-1", wire.PriorityUrgent)
			}
			res := Place(snapshotOf(machines, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 4), ReservedUnits: c.reservations}))
			if len(res.Reservations) != c.want || len(res.Preemptions) != c.want {
				t.Errorf("victims %v for reservations %v, want %d of each", res.Preemptions, res.Reservations, c.want)
			}
		})
	}
}

// A gang's reservations count toward its team's limit as soon as they are made: nothing is
// reserved for the team's next gang beyond the limit.
func TestReservationsOfGangCountTowardLimit(t *testing.T) {
	for limit, want := range map[float64]int{12: 0, 16: 2} {
		victims := []Victim{fullSizeVictim(2, 5, 500), fullSizeVictim(3, 5, 500)}
		for i := range victims {
			victims[i].Team = "other"
		}
		machines := []Machine{machineIn("a", "m", 0), machineIn("a", "n", 0), machineIn("a", "o", 0, victims[0]), machineIn("a", "p", 0, victims[1])}
		for i := range 2 {
			machines[i].StoppingResources = Resources{CPUs: 4, MemoryGB: 4}
			machines[i].Reservations = fullSizeReservation("req-1", wire.PriorityUrgent)
		}
		s := snapshotOf(machines, Job{Spec: gangSpec("req-1", wire.PriorityUrgent, 2, 4), ReservedUnits: 2}, Job{Spec: gangSpec("req-2", wire.PriorityUrgent, 2, 4)})
		s.Teams["t"].Limit = Resources{CPUs: limit}
		if res := Place(s); len(res.Reservations) != want || len(res.Preemptions) != want {
			t.Errorf("limit %g: victims %v for reservations %v, want %d of each", limit, res.Preemptions, res.Reservations, want)
		}
	}
}

// For an urgent gang that can still start in time, tasks whose checkpoint would take too long
// are preempted only if no others can be. For a gang that has no start objective, or is
// late already, the lowest priority is preempted first.
func TestGangInTimePreemptsTasksThatStopAtOnce(t *testing.T) {
	savingVictim := Victim{Task: wire.TaskID{Job: "req-8"}, Rank: 0, Resources: Resources{CPUs: 4, MemoryGB: 4}, LostWorkSeconds: 3, RemainingSeconds: 99, CheckpointSeconds: 3, Team: "t"}
	immediateVictim := Victim{Task: wire.TaskID{Job: "req-9"}, Rank: 1, Resources: Resources{CPUs: 4, MemoryGB: 4}, LostWorkSeconds: 30, RemainingSeconds: 99, Team: "t"}
	full := func(victims ...Victim) Machine {
		m := machineIn("a", "m", 0, victims...)
		m.Total = Resources{CPUs: 4 * float64(len(victims)), MemoryGB: 32}
		return m
	}
	other := machineIn("a", "n", 0, immediateVictim)
	for name, c := range map[string]struct {
		machines          []Machine
		priority          wire.Priority
		startSlackSeconds float64
		wantVictim        wire.JobID // "": none
	}{
		"no objective, one machine":        {[]Machine{full(savingVictim, immediateVictim)}, wire.PriorityUrgent, 0, "req-8"},
		"no objective, two machines":       {[]Machine{full(savingVictim), other}, wire.PriorityUrgent, 0, "req-8"},
		"in time, one machine":             {[]Machine{full(savingVictim, immediateVictim)}, wire.PriorityUrgent, 2, "req-9"},
		"in time, two machines":            {[]Machine{full(savingVictim), other}, wire.PriorityUrgent, 2, "req-9"},
		"in time to save the checkpoint":   {[]Machine{full(savingVictim, immediateVictim)}, wire.PriorityUrgent, 4, "req-8"},
		"in time, no other victim":         {[]Machine{full(savingVictim)}, wire.PriorityUrgent, 2, "req-8"},
		"a standard gang preempts nothing": {[]Machine{full(savingVictim, immediateVictim), other}, wire.PriorityStandard, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := Place(snapshotOf(c.machines, Job{Spec: gangSpec("req-1", c.priority, 1, 4), StartSlackSeconds: c.startSlackSeconds})).Preemptions
			if c.wantVictim == "" && len(got) == 0 {
				return
			}
			if len(got) != 1 || got[0].Task.Job != c.wantVictim {
				t.Errorf("victims %+v, want one task of job %q", got, c.wantVictim)
			}
		})
	}
}
