package leader

import (
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/internal/placement"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func gangJob(tm *term, id wire.JobID, parts int) *cluster.Job {
	j := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: id, Class: "sweep", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityStandard, Tasks: parts, CPUs: 2, MemoryGB: 4, SameZone: true}, AcceptedAt: wire.TimestampOf(time.Now())}, 2)
	tm.state.Jobs[id] = j
	return j
}

// A gang whose claims lapse in part, with a machine, keeps none of them: with the
// rest no room was made for it until they had lapsed too.
func TestClaimsOfAGangLapseTogether(t *testing.T) {
	tm, m, _ := rig(t)
	gangJob(tm, "req-2", 2)
	other := tm.state.GetOrAddMachine("n-2")
	now := time.Now()
	for _, x := range []*cluster.Machine{m, other} {
		x.Reservations = []cluster.Reservation{{Reservation: placement.Reservation{Job: "req-2", Rank: 1}, Until: now.Add(time.Minute)}}
		tm.scheduler.ReservedMachines[x] = struct{}{}
	}
	if n := tm.scheduler.PruneReservations(now); n["req-2"] != 2 {
		t.Fatalf("claims %v", n)
	}
	delete(tm.state.Machines, other.ID)
	if n := tm.scheduler.PruneReservations(now); n["req-2"] != 0 || len(m.Reservations) != 0 || len(tm.scheduler.ReservedMachines) != 0 {
		t.Errorf("claims %v, on the machine that is left %v", n, m.Reservations)
	}
}

// Room is kept for the largest gang of each class that is unfinished or was so in
// the last three minutes.
func TestNextGangs(t *testing.T) {
	tm, _, _ := rig(t)
	now := time.Now()
	names := func(times float64, at time.Time) (out []wire.JobID) {
		for _, s := range tm.scheduler.ExpectedGangs(times, at) {
			out = append(out, s.ID)
		}
		return
	}
	gangJob(tm, "req-2", 2)
	gangJob(tm, "req-3", 4)
	if got := names(1, now); len(got) != 1 || got[0] != "req-3" {
		t.Errorf("room for %v", got)
	}
	if got := names(2, now); len(got) != 2 {
		t.Errorf("twice: room for %v", got)
	}
	if got := names(0, now); len(got) != 0 {
		t.Errorf("none: room for %v", got)
	}
	delete(tm.state.Jobs, "req-3")
	if got := names(1, now.Add(scheduling.RecentGangLife-time.Second)); len(got) != 1 || got[0] != "req-3" {
		t.Errorf("lately: room for %v", got)
	}
	if got := names(1, now.Add(scheduling.RecentGangLife+time.Second)); len(got) != 1 || got[0] != "req-2" {
		t.Errorf("later: room for %v", got)
	}
	ds := tm.scheduler.GangReserves(1, now.Add(scheduling.RecentGangLife+time.Second))
	if len(ds) != 1 || !ds[0].AllOrNothing || ds[0].Units != 2 || ds[0].Rank >= 9 {
		t.Errorf("demands %+v", ds)
	}
}

// While an urgent gang can still start within its class's aim it does not wait for
// tasks that will end by themselves later than that; once it is late it may again.
func TestPatienceEndsWithTheStartObjective(t *testing.T) {
	tm, _, _ := rig(t)
	now := time.Now()
	gang := gangJob(tm, "req-2", 3)
	gang.Spec.Priority, gang.Spec.ExpectedRunTime = wire.PriorityUrgent, 30
	after := func(waited time.Duration) float64 {
		gang.AcceptedAt = now.Add(-waited)
		return tm.scheduler.PatienceSeconds(gang, now)
	}
	if got := after(0); got != scheduling.MaxPatienceS {
		t.Errorf("without an aim: %g s", got)
	}
	tm.state.Settings.Objectives = []config.Objective{{Kind: "wait", Class: "other", Within: 1}, {Kind: "wait", Class: gang.Spec.Class, Within: 2}}
	if got := after(0); got != 1 {
		t.Errorf("at once: %g s of 2 s", got)
	}
	if got := after(1500 * time.Millisecond); got != 0.25 {
		t.Errorf("after 1.5 s: %g s of the last 0.5 s", got)
	}
	if got := after(2 * time.Second); got != scheduling.MaxPatienceS+1-2 {
		t.Errorf("late: %g s", got)
	}
}
