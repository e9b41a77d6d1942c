package scheduling

import (
	"maps"
	"math"
	"testing"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

const (
	testStretch = 0.6
	noSpare     = 0
)

// demandsOf returns the demands for a job.
func (s *testScheduler) demandsOf(id wire.JobID) []fleet.Demand {
	var demands []fleet.Demand
	for _, d := range s.Demands(testNow, testStretch, noSpare) {
		if d.Spec.ID == id {
			demands = append(demands, d)
		}
	}
	return demands
}

// withoutReserves returns values by which nothing is kept for replicas and gangs to come.
func withoutReserves(values tuning.Values) tuning.Values {
	values.SpareUnits, values.SpareGangs = 0, 0
	return values
}

func TestDemandOfEachKindOfJob(t *testing.T) {
	deadline := func(spec wire.JobSpec, d wire.Seconds) wire.JobSpec {
		spec.Deadline = d
		return spec
	}
	cases := []struct {
		name  string
		spec  wire.JobSpec
		age   time.Duration
		units int
		rank  float64
		whole bool
	}{
		{"service", service("req-1", 5), 0, 5, 3 + serviceRank, false},
		{"gang", gang("req-1", 4), 0, 4, 1, true},
		{"gang that is overdue", gang("req-1", 4), 3 * time.Minute, 4, 1 + startOverdueRank, true},
		{"array that is due at once", deadline(array("req-1", 10), 61), 0, 10, 1, false},
		{"array that can run in turns", deadline(array("req-1", 10), 600), 0, 2, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			s.addJobAcceptedAt(c.spec, testNow.Add(-c.age))
			demands := s.demandsOf("req-1")
			if len(demands) != 1 {
				t.Fatalf("demands %+v, want one", demands)
			}
			if d := demands[0]; d.Units != c.units || d.Rank != c.rank || d.AllOrNothing != c.whole {
				t.Errorf("%d units of rank %v, all or nothing %v; want %d, %v, %v", d.Units, d.Rank, d.AllOrNothing, c.units, c.rank, c.whole)
			}
		})
	}
}

func TestOverdueGangMayCostAnyPrice(t *testing.T) {
	s := newTestScheduler(t)
	s.addJobAcceptedAt(gang("req-1", 4), testNow.Add(-3*time.Minute))
	if d := s.demandsOf("req-1")[0]; !math.IsInf(d.PriceStretch, 1) {
		t.Errorf("price stretch %v, want infinity", d.PriceStretch)
	}
}

func TestOnlyTheFirstTaskOfAnOverdueArrayMayCostAnyPrice(t *testing.T) {
	s := newTestScheduler(t)
	spec := array("req-1", 10)
	spec.Deadline = 1 // late whatever is started
	s.addJobAcceptedAt(spec, testNow.Add(-3*time.Minute))
	demands := s.demandsOf("req-1")
	if len(demands) != 2 {
		t.Fatalf("demands %+v, want one for the first task and one for the rest", demands)
	}
	first, rest := demands[0], demands[1]
	if first.Units != 1 || first.Rank != 1+startOverdueRank || !math.IsInf(first.PriceStretch, 1) {
		t.Errorf("first task: %+v, want one unit of rank %v at any price", first, 1+startOverdueRank)
	}
	if rest.Units != 9 || rest.Rank != 1 || rest.PriceStretch != 1 {
		t.Errorf("rest: %+v, want nine units of rank 1 within the limit", rest)
	}
}

func TestNoDemandForJobsThatCannotRun(t *testing.T) {
	cases := []struct {
		name   string
		spec   wire.JobSpec
		change func(s *testScheduler, job *cluster.Job)
	}{
		{"cancelled", array("req-1", 2), func(_ *testScheduler, j *cluster.Job) { j.Cancelled = true }},
		{"finished", array("req-1", 2), func(_ *testScheduler, j *cluster.Job) { j.Finished = true }},
		{"nothing pending", array("req-1", 2), func(_ *testScheduler, j *cluster.Job) { j.ActiveTasks = 2 }},
		{"fails wherever it runs", array("req-1", 2), func(_ *testScheduler, j *cluster.Job) { j.Failures = maxFailuresForScaleOut }},
		{"quarantined", array("req-1", 2), func(s *testScheduler, _ *cluster.Job) { s.state.QuarantinedJobs["req-1"] = true }},
		{"of an unknown team", array("req-1", 2), func(_ *testScheduler, j *cluster.Job) { j.Spec.Team = "unknown" }},
		{"a gang whose last attempt has not ended", gang("req-1", 2), func(_ *testScheduler, j *cluster.Job) { j.ActiveTasks = 1 }},
		{"a gang beyond its team's limit", gang("req-1", 21), func(*testScheduler, *cluster.Job) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			c.change(s, s.addJob(c.spec))
			if demands := s.demandsOf("req-1"); len(demands) != 0 {
				t.Errorf("%s: demands %+v, want none", c.name, demands)
			}
		})
	}
}

func TestDemandsStayWithinTheTeamsLimit(t *testing.T) {
	s := newTestScheduler(t) // red may use 40 CPUs
	first := array("req-1", 30)
	first.Deadline = 61
	s.addJobAcceptedAt(first, testNow.Add(-time.Second))
	second := array("req-2", 30)
	second.Deadline = 61
	s.addJob(second)
	for range mapOrders {
		if d := s.demandsOf("req-1"); len(d) != 1 || d[0].Units != 30 {
			t.Fatalf("first job: demands %+v, want 30 units", d)
		}
		if d := s.demandsOf("req-2"); len(d) != 1 || d[0].Units != 10 {
			t.Fatalf("second job: demands %+v, want 10 units", d)
		}
	}
	blue := array("req-3", 99)
	blue.Team, blue.Deadline = "blue", 61
	s.addJob(blue)
	if d := s.demandsOf("req-3"); len(d) != 1 || d[0].Units != 99 {
		t.Errorf("team without a limit: demands %+v, want 99 units", d)
	}
}

func TestDemandForSpareReplicasIsSpreadOverZones(t *testing.T) {
	s := newTestScheduler(t)
	replicas := s.addJob(service("req-1", 5))
	replicas.ActiveTasks = 5
	demands := s.Demands(testNow, testStretch, 2)
	if len(demands) != 1 {
		t.Fatalf("demands %+v, want one for the spare replicas", demands)
	}
	want := map[wire.Zone]int{"a": 2, "b": 2}
	if d := demands[0]; d.Units != 3 || d.Rank != spareRank || d.Spec.CPUs != 2 || !maps.Equal(d.ZoneLeft, want) {
		t.Errorf("demand %+v of %v CPUs, want 3 units of 2 CPUs, rank %v, zones %v", d, d.Spec.CPUs, spareRank, want)
	}
}

func TestDemandForExpectedGangs(t *testing.T) {
	s := newTestScheduler(t)
	spec := gang("req-1", 5)
	spec.Spread = true
	s.addJob(spec)
	reserves := s.GangReserves(2, testNow)
	if len(reserves) != 2 {
		t.Fatalf("demands %+v, want the gang twice", reserves)
	}
	for _, d := range reserves {
		if d.Units != 5 || d.Rank != gangReserveRank || !d.AllOrNothing || d.ZoneLeft["a"] != spec.ZoneCap() || d.ZoneLeft["b"] != spec.ZoneCap() {
			t.Errorf("demand %+v, want five units, all or nothing, rank %v, at most %d in a zone", d, gangReserveRank, spec.ZoneCap())
		}
	}
}

func TestPriceStretchOfAJobThatWouldBeLate(t *testing.T) {
	s := newTestScheduler(t)
	spec := array("req-1", 1)
	spec.Deadline, spec.ImageGB = 400, 3
	age := 130 * time.Second // no longer waits for cheap machines first
	job := s.addJobAcceptedAt(spec, testNow.Add(-age))
	for _, c := range []struct {
		waitS, want float64
	}{
		{200, 1},                       // still in time
		{220, demand.LatePriceStretch}, // late, and a new machine would be in time
	} {
		if got := s.PriceStretch(job, c.waitS, testNow); got != c.want {
			t.Errorf("age %v, wait %v s: price stretch %v, want %v", age, c.waitS, got, c.want)
		}
	}
	if got := s.PriceStretch(s.addJob(service("req-2", 1)), 1e6, testNow); got != 1 {
		t.Errorf("service: price stretch %v, want 1", got)
	}
}

func TestBootSecondsIncludeTheFetchOfTheImage(t *testing.T) {
	s := newTestScheduler(t)
	for _, c := range []struct {
		name string
		spec wire.JobSpec
		want float64
	}{
		{"no image", wire.JobSpec{CPUs: 1}, 10},
		{"an image of 4 GB", wire.JobSpec{CPUs: 1, ImageGB: 4}, 14},
		{"an image that the slower boot fetches faster", wire.JobSpec{CPUs: 1, ImageGB: 40}, 40},
		{"only a large type fits", wire.JobSpec{CPUs: 8}, 20},
		{"no type fits", wire.JobSpec{CPUs: 99}, math.Inf(1)},
	} {
		if got := s.bootSeconds(&c.spec); got != c.want {
			t.Errorf("%s: %v s, want %v s", c.name, got, c.want)
		}
	}
}

func TestBacklogIsTheWaitingWorkOverTheBatchCPUs(t *testing.T) {
	s := newTestScheduler(t)
	s.addMachine("n-1", "c4", "a")
	s.addMachine("n-2", "c4", "a").ScalingIn = true
	s.addMachine("n-3", "c4", "a").DrainReason = cluster.DrainSlow
	s.tracker.StartScaleOut(fleet.ScaleOut{Type: "c4", Zone: "a", Count: 2}, testNow)
	s.addJob(service("req-1", 1))
	s.addJob(array("req-2", 5)) // 300 CPU seconds
	if got := s.batchCPUs(); got != 10 {
		t.Errorf("%v CPUs, want 10: 4 of a machine and 8 pending without 2 of a service", got)
	}
	s.Demands(testNow, testStretch, noSpare)
	if s.BacklogS != 30 {
		t.Errorf("backlog of %v s, want 30 s", s.BacklogS)
	}
}
