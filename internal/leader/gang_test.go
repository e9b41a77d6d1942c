package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/internal/placement"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// addGangJob adds a gang with this number of tasks to a term's model.
func addGangJob(tm *term, id wire.JobID, tasks int) *cluster.Job {
	spec := wire.JobSpec{ID: id, Class: "sweep", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityStandard, Tasks: tasks, CPUs: 2, MemoryGB: 4, SameZone: true}
	j := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now())}, 2)
	tm.state.Jobs[id] = j
	return j
}

// When a machine is removed, a gang that has a reservation on it loses all its reservations.
// Without this, no tasks are preempted for the gang until the remaining ones have ended too.
func TestReservationsOfAGangEndTogether(t *testing.T) {
	tm, m, _ := newTestTerm(t)
	addGangJob(tm, "req-2", 2)
	other := tm.state.GetOrAddMachine("n-2")
	now := time.Now()
	for _, reserved := range []*cluster.Machine{m, other} {
		reserved.Reservations = []cluster.Reservation{{Reservation: placement.Reservation{Job: "req-2", Rank: 1}, ExpiresAt: now.Add(time.Minute)}}
		tm.scheduler.ReservedMachines[reserved] = struct{}{}
	}
	if got := tm.scheduler.PruneReservations(now); got["req-2"] != 2 {
		t.Fatalf("reservations on both machines: got %v, want 2 of req-2", got)
	}
	delete(tm.state.Machines, other.ID)
	if got := tm.scheduler.PruneReservations(now); got["req-2"] != 0 || len(m.Reservations) != 0 || len(tm.scheduler.ReservedMachines) != 0 {
		t.Errorf("reservations after a machine was removed: got %v, and %v on the machine that is left, want none", got, m.Reservations)
	}
}

// Resources are kept free for the largest gang of each class, among the gangs that are
// unfinished or were so within the last three minutes.
func TestResourcesAreKeptFreeForTheLargestRecentGang(t *testing.T) {
	tm, _, _ := newTestTerm(t)
	now := time.Now()
	addGangJob(tm, "req-2", 2)
	addGangJob(tm, "req-3", 4)
	justBefore, justAfter := now.Add(scheduling.RecentGangRetention-time.Second), now.Add(scheduling.RecentGangRetention+time.Second)
	cases := []struct {
		name       string
		setup      func()
		spareGangs float64 // of each class
		at         time.Time
		want       []wire.JobID
	}{
		{"two unfinished", func() {}, 1, now, []wire.JobID{"req-3"}},
		{"two unfinished, no spare gangs", func() {}, 0, now, nil},
		{"the largest was unfinished lately", func() { delete(tm.state.Jobs, "req-3") }, 1, justBefore, []wire.JobID{"req-3"}},
		{"the largest was finished long ago", func() {}, 1, justAfter, []wire.JobID{"req-2"}},
	}
	if got := tm.scheduler.ExpectedGangs(2, now); len(got) != 2 {
		t.Errorf("two unfinished, two spare gangs: got %d gangs, want 2", len(got))
	}
	for _, c := range cases {
		c.setup()
		var got []wire.JobID
		for _, spec := range tm.scheduler.ExpectedGangs(c.spareGangs, c.at) {
			got = append(got, spec.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got resources kept free for %v, want %v", c.name, got, c.want)
		}
	}
	reserves := tm.scheduler.GangReserves(1, justAfter)
	if len(reserves) != 1 || !reserves[0].AllOrNothing || reserves[0].Units != 2 || reserves[0].Rank >= 9 {
		t.Errorf("reserves: got %+v, want one of 2 units, all or nothing, with a rank below 9", reserves)
	}
}

// While an urgent gang can still start within its class's objective, it does not wait for
// running tasks that will end by themselves after that time. Once it is late it may wait for
// them again.
func TestGangWaitsNoLongerThanItsStartObjective(t *testing.T) {
	objectives := []config.Objective{{Kind: "wait", Class: "other", Within: 1}, {Kind: "wait", Class: "sweep", Within: 2}}
	cases := []struct {
		objectives []config.Objective
		waited     time.Duration
		want       float64 // seconds
	}{
		{nil, 0, scheduling.MaxPreemptionDelaySeconds},
		{objectives, 0, 1},
		{objectives, 1500 * time.Millisecond, 0.25},
		{objectives, 2 * time.Second, scheduling.MaxPreemptionDelaySeconds + 1 - 2},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d objectives, waited %v", len(c.objectives), c.waited), func(t *testing.T) {
			tm, _, _ := newTestTerm(t)
			now := time.Now()
			gang := addGangJob(tm, "req-2", 3)
			gang.Spec.Priority, gang.Spec.ExpectedRunTime = wire.PriorityUrgent, 30
			gang.AcceptedAt = now.Add(-c.waited)
			tm.state.Settings.Objectives = c.objectives
			if got := tm.scheduler.PreemptionDelaySeconds(gang, now); got != c.want {
				t.Errorf("preemption delay: got %g s, want %g s", got, c.want)
			}
		})
	}
}
