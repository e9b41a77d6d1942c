package placement

import (
	"testing"

	"lilaclead/internal/wire"
)

// Only tasks of a lower priority are preempted, those that lose the least work first. Nothing
// is preempted for a standard array: otherwise, two classes of arrays preempt each other's
// tasks in turn for minutes.
func TestVictimsHaveLowerPriorityAndLeastLostWork(t *testing.T) {
	for _, c := range []struct {
		name           string
		priority       wire.Priority
		kind           wire.JobKind
		victimPriority wire.Priority
		wantVictims    []int // indexes of the tasks
	}{
		{"a production service preempts standard tasks", wire.PriorityProd, wire.KindService, wire.PriorityStandard, []int{1}},
		{"the same priority is not preempted", wire.PriorityStandard, wire.KindService, wire.PriorityStandard, nil},
		{"a standard array preempts nothing", wire.PriorityStandard, wire.KindArray, wire.PriorityBestEffort, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			victim := func(index int, lostWorkSeconds float64) []Victim {
				return []Victim{{Task: wire.TaskID{Job: "req-1", Index: index}, Rank: c.victimPriority.Rank(), Resources: Resources{CPUs: 4, MemoryGB: 4}, LostWorkSeconds: lostWorkSeconds, Team: "t"}}
			}
			s := &Snapshot{
				AllowPreemption: true,
				Teams:           map[wire.TeamID]*Team{"t": {}},
				Factors:         testFactors,
				Machines: []Machine{
					{ID: "m", Total: Resources{CPUs: 4, MemoryGB: 16}, Victims: victim(0, 30)},
					{ID: "n", Total: Resources{CPUs: 4, MemoryGB: 16}, Victims: victim(1, 3)},
				},
				Jobs: []Job{{Spec: &wire.JobSpec{Team: "t", Kind: c.kind, Priority: c.priority, Tasks: 1, CPUs: 2, MemoryGB: 4}, PendingTasks: 1, TasksByZone: map[wire.Zone]int{}, Weight: 1}},
			}
			got := Place(s).Preemptions
			if len(got) != len(c.wantVictims) {
				t.Fatalf("victims %v, want %v", got, c.wantVictims)
			}
			for i, index := range c.wantVictims {
				if got[i].Task.Index != index {
					t.Errorf("victims %v, want %v", got, c.wantVictims)
				}
			}
		})
	}
}

// A service within its team's guaranteed quota may preempt a task of its own priority if the
// task's team uses more than its quota.
func TestServiceReclaimsGuaranteedQuota(t *testing.T) {
	for name, c := range map[string]struct {
		kind            wire.JobKind
		withinGuarantee bool        // of the job
		beyondGuarantee bool        // of the victim
		team            wire.TeamID // of the victim
		wantVictims     int
	}{
		"the victim's team is beyond its quota": {wire.KindService, true, true, "other", 1},
		"the victim's team is within its quota": {wire.KindService, true, false, "other", 0},
		"the victim is of the job's team":       {wire.KindService, true, true, "t", 0},
		"the job is not within its quota":       {wire.KindService, false, true, "other", 0},
		"the job is an array":                   {wire.KindArray, true, true, "other", 0},
	} {
		t.Run(name, func(t *testing.T) {
			victim := fullSizeVictim(0, 5, 500)
			victim.Rank, victim.Team, victim.BeyondGuarantee = wire.PriorityUrgent.Rank(), c.team, c.beyondGuarantee
			spec := &wire.JobSpec{ID: "req-1", Team: "t", Kind: c.kind, Priority: wire.PriorityUrgent, Tasks: 1, CPUs: 4, MemoryGB: 4}
			s := snapshotOf([]Machine{machineIn("a", "m", 0, victim)}, Job{Spec: spec, WithinGuarantee: c.withinGuarantee})
			if got := Place(s).Preemptions; len(got) != c.wantVictims {
				t.Errorf("victims %v, want %d", got, c.wantVictims)
			}
		})
	}
}

// The resources for an urgent task stay reserved until all of them are free. If two tasks of half a
// machine end one after the other, a smaller job with a larger gain does not take the half
// that is free first. Nothing more is preempted for the urgent task meanwhile. A second
// unit needs other resources, and a job of a higher priority may use the reserved ones.
func TestRoomStaysReservedUntilAllOfItIsFree(t *testing.T) {
	spec := func(id wire.JobID, priority wire.Priority, cpus float64) *wire.JobSpec {
		return &wire.JobSpec{ID: id, Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: 9, CPUs: cpus, MemoryGB: 3.5 * cpus, SpotAllowed: true}
	}
	halfSize, machineSize := Resources{CPUs: 2, MemoryGB: 7}, Resources{CPUs: 4, MemoryGB: 16}
	noFreeCPUs := Resources{CPUs: 0, MemoryGB: 2}
	snapshot := func(m Machine, jobs ...Job) *Snapshot {
		m.ID, m.Total, m.FetchGBPerSecond = "n", machineSize, 1
		for i := range jobs {
			jobs[i].TasksByZone = map[wire.Zone]int{}
		}
		return &Snapshot{Teams: map[wire.TeamID]*Team{"t": {}}, Factors: testFactors, AllowPreemption: true, Machines: []Machine{m}, Jobs: jobs}
	}
	withMachine := func(s *Snapshot, m Machine) *Snapshot {
		m.Total, m.FetchGBPerSecond = machineSize, 1
		s.Machines = append(s.Machines, m)
		return s
	}
	withLimit := func(s *Snapshot, cpus float64) *Snapshot {
		s.Teams["t"].Limit.CPUs = cpus
		return s
	}
	victim := func(i int) Victim {
		return Victim{Task: wire.TaskID{Job: "req-9", Index: i}, Rank: 1, Resources: halfSize}
	}
	endingIn := func(seconds float64, v Victim) Victim {
		v.RemainingSeconds = seconds
		return v
	}
	urgentSpec := spec("req-1", wire.PriorityUrgent, 4)
	reservations := []Reservation{{urgentSpec.ID, urgentSpec.Priority.Rank(), ResourcesOf(urgentSpec)}}
	full := func(victims ...Victim) Machine { return Machine{Victims: victims, Free: noFreeCPUs} }
	halfFree := Machine{Reservations: reservations, Free: Resources{CPUs: 2, MemoryGB: 9}, StoppingResources: halfSize}
	twoVictims := []Victim{victim(0), victim(1)}
	endingSoon := full(endingIn(3, victim(0)), endingIn(4, victim(1)))
	notPreemptible := Victim{Task: wire.TaskID{Job: "req-8"}, Rank: 2, Resources: machineSize, RemainingSeconds: 2}

	urgent := Job{Spec: urgentSpec, PendingTasks: 1, Weight: 8}
	jobWithReservation := urgent
	jobWithReservation.ReservedUnits = 1
	twoUnits := jobWithReservation
	twoUnits.PendingTasks = 2
	delayedPreemption := urgent
	delayedPreemption.PreemptionDelaySeconds = 5
	specWithImage := *urgentSpec
	specWithImage.Image, specWithImage.ImageGB = "i", 1
	delayedPreemptionWithImage := delayedPreemption
	delayedPreemptionWithImage.Spec = &specWithImage
	small := Job{Spec: spec("req-2", wire.PriorityStandard, 2), PendingTasks: 2, Weight: 99}
	prod := Job{Spec: spec("req-3", wire.PriorityProd, 2), PendingTasks: 1, Weight: 256}
	other := Job{Spec: spec("req-4", wire.PriorityUrgent, 4), PendingTasks: 1, Weight: 8}
	lighterOther := other
	lighterOther.Weight = 7
	machineWithImage := Machine{ID: "warm", Images: map[wire.ImageID]ImageState{"i": ImagePresent}, Victims: []Victim{endingIn(40, victim(2)), endingIn(40, victim(3))}, Free: noFreeCPUs}

	for _, c := range []struct {
		name                                      string
		snapshot                                  *Snapshot
		wantStarts, wantVictims, wantReservations int
	}{
		{"tasks that end soon are awaited", snapshot(endingSoon, delayedPreemption), 0, 0, 1},
		{"one task is awaited, the other preempted", snapshot(full(endingIn(3, victim(0)), endingIn(40, victim(1))), delayedPreemption), 0, 1, 1},
		{"a task that may not be preempted can be awaited", snapshot(Machine{Victims: []Victim{notPreemptible}}, delayedPreemption), 0, 0, 1},
		{"two tasks are not preempted to avoid a fetch", withMachine(snapshot(endingSoon, delayedPreemptionWithImage), machineWithImage), 0, 0, 1},
		{"a full machine is reserved", snapshot(full(twoVictims...), urgent), 0, 2, 1},
		{"the half that is free stays reserved", snapshot(halfFree, jobWithReservation, small), 0, 0, 0},
		{"the reserved resources are used", snapshot(Machine{Reservations: reservations, Free: machineSize}, jobWithReservation, small), 1, 0, 0},
		{"without a reservation the small tasks start", snapshot(Machine{Free: machineSize}, urgent, small), 2, 0, 0},
		{"a second unit does not fit on a reserved machine", snapshot(halfFree, twoUnits), 0, 0, 0},
		{"a job of a higher priority uses reserved resources", snapshot(halfFree, prod), 1, 0, 0},
		{"nothing is reserved beyond the team's limit", withLimit(snapshot(full(twoVictims...), jobWithReservation, other), 4), 0, 0, 0},
		{"within the limit resources are reserved for a second job", withLimit(snapshot(full(twoVictims...), jobWithReservation, other), 8), 0, 2, 1},
		{"a reservation that is used counts toward the limit once", withLimit(snapshot(Machine{Reservations: reservations, Free: machineSize, Victims: twoVictims}, jobWithReservation, lighterOther), 8), 1, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := Place(c.snapshot)
			if len(res.Starts) != c.wantStarts || len(res.Preemptions) != c.wantVictims || len(res.Reservations) != c.wantReservations {
				t.Errorf("%+v, want %d starts, %d victims, %d reservations", res, c.wantStarts, c.wantVictims, c.wantReservations)
			}
		})
	}
}

// The full machines are requested only if a job that may preempt did not start.
func TestFullMachinesAreRequestedOnlyToPreempt(t *testing.T) {
	for name, c := range map[string]struct {
		priority    wire.Priority
		freeCPUs    float64
		wantCalls   int
		wantVictims int
	}{
		"an urgent job does not fit":    {wire.PriorityUrgent, 0, 1, 1},
		"an urgent job starts":          {wire.PriorityUrgent, 4, 0, 0},
		"a standard array does not fit": {wire.PriorityStandard, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			spec := &wire.JobSpec{ID: "req-1", Team: "t", Kind: wire.KindArray, Priority: c.priority, Tasks: 1, CPUs: 4, MemoryGB: 4}
			s := snapshotOf([]Machine{machineIn("a", "m", c.freeCPUs)}, Job{Spec: spec})
			calls := 0
			s.FullMachines = func() []Machine {
				calls++
				return []Machine{machineIn("a", "full", 0, fullSizeVictim(0, 5, 500))}
			}
			res := Place(s)
			if calls != c.wantCalls || len(res.Preemptions) != c.wantVictims {
				t.Errorf("full machines requested %d times, victims %v; want %d times, %d victims", calls, res.Preemptions, c.wantCalls, c.wantVictims)
			}
		})
	}
}

// Of the tasks on a machine, those that end by themselves are chosen first, the earliest
// first. Then come those of the lowest rank, and within a rank those that lose least work.
func TestOrderOfVictimsOnMachine(t *testing.T) {
	victim := func(index, rank int, lostWorkSeconds, remainingSeconds float64) Victim {
		return Victim{Task: wire.TaskID{Job: "req-9", Index: index}, Rank: rank, Resources: Resources{CPUs: 2, MemoryGB: 2}, LostWorkSeconds: lostWorkSeconds, RemainingSeconds: remainingSeconds, Team: "t"}
	}
	for _, c := range []struct {
		name        string
		victims     [2]Victim
		wantIndex   int
		wantAwaited bool
	}{
		{"of two that end in time the earlier is awaited", [2]Victim{victim(0, 1, 5, 8), victim(1, 1, 5, 3)}, 1, true},
		{"a task that ends in time is chosen before a lower rank", [2]Victim{victim(0, 0, 0, 500), victim(1, 1, 5, 8)}, 1, true},
		{"the lowest rank is preempted", [2]Victim{victim(0, 1, 5, 500), victim(1, 0, 50, 500)}, 1, false},
		{"within a rank the task that loses least work is preempted", [2]Victim{victim(0, 1, 50, 500), victim(1, 1, 5, 500)}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := &wire.JobSpec{ID: "req-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityUrgent, Tasks: 1, CPUs: 2, MemoryGB: 2}
			res := Place(snapshotOf([]Machine{machineIn("a", "m", 0, c.victims[:]...)}, Job{Spec: spec, PreemptionDelaySeconds: 10}))
			var awaited, preempted []wire.TaskID
			for _, r := range res.Reservations {
				awaited = append(awaited, r.AwaitedTasks...)
			}
			for _, v := range res.Preemptions {
				preempted = append(preempted, v.Task)
			}
			chosen, other := preempted, awaited
			if c.wantAwaited {
				chosen, other = awaited, preempted
			}
			if len(chosen) != 1 || chosen[0].Index != c.wantIndex || len(other) != 0 {
				t.Errorf("awaited %v, preempted %v; want only task %d, awaited: %v", awaited, preempted, c.wantIndex, c.wantAwaited)
			}
		})
	}
}
