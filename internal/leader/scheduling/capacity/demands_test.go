package capacity

import (
	"maps"
	"math"
	"testing"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

const (
	testStretchShare = 0.6
	noSpareReplicas  = 0
)

// demandsOf returns the demands for a job.
func (s *testPlanner) demandsOf(id wire.JobID) []fleet.Demand {
	var demands []fleet.Demand
	for _, d := range s.Demands(schedulingtest.Now, testStretchShare, noSpareReplicas) {
		if d.Spec.ID == id {
			demands = append(demands, d)
		}
	}
	return demands
}

func TestDemandFollowsKindOfJobAndDeadline(t *testing.T) {
	withDeadline := func(spec wire.JobSpec, deadline wire.Seconds) wire.JobSpec {
		spec.Deadline = deadline
		return spec
	}
	cases := []struct {
		name         string
		spec         wire.JobSpec
		age          time.Duration
		units        int
		rank         float64
		allOrNothing bool
	}{
		{"service", schedulingtest.Service("req-1", 5), 0, 5, 3 + serviceRank, false},
		{"gang", schedulingtest.Gang("req-1", 4), 0, 4, 1, true},
		{"gang that is overdue", schedulingtest.Gang("req-1", 4), 3 * time.Minute, 4, 1 + startOverdueRank, true},
		{"array that is due at once", withDeadline(schedulingtest.Array("req-1", 10), 61), 0, 10, 1, false},
		{"array that can run in several rounds", withDeadline(schedulingtest.Array("req-1", 10), 600), 0, 2, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			s.AddJobAcceptedAt(c.spec, schedulingtest.Now.Add(-c.age))
			demands := s.demandsOf("req-1")
			if len(demands) != 1 {
				t.Fatalf("demands %+v, want one", demands)
			}
			if d := demands[0]; d.Units != c.units || d.Rank != c.rank || d.AllOrNothing != c.allOrNothing {
				t.Errorf("%d units of rank %v, all or nothing %v; want %d, %v, %v", d.Units, d.Rank, d.AllOrNothing, c.units, c.rank, c.allOrNothing)
			}
		})
	}
}

func TestOverdueGangMayCostAnyPrice(t *testing.T) {
	s := newTestPlanner(t)
	s.AddJobAcceptedAt(schedulingtest.Gang("req-1", 4), schedulingtest.Now.Add(-3*time.Minute))
	if d := s.demandsOf("req-1")[0]; !math.IsInf(d.PriceLimitFactor, 1) {
		t.Errorf("price limit factor %v, want infinity", d.PriceLimitFactor)
	}
}

func TestOnlyTheFirstTaskOfAnOverdueArrayMayCostAnyPrice(t *testing.T) {
	s := newTestPlanner(t)
	spec := schedulingtest.Array("req-1", 10)
	spec.Deadline = 1 // late even if it starts now
	s.AddJobAcceptedAt(spec, schedulingtest.Now.Add(-3*time.Minute))
	demands := s.demandsOf("req-1")
	if len(demands) != 2 {
		t.Fatalf("demands %+v, want one for the first task and one for the rest", demands)
	}
	first, rest := demands[0], demands[1]
	if first.Units != 1 || first.Rank != 1+startOverdueRank || !math.IsInf(first.PriceLimitFactor, 1) {
		t.Errorf("first task: %+v, want one unit of rank %v at any price", first, 1+startOverdueRank)
	}
	if rest.Units != 9 || rest.Rank != 1 || rest.PriceLimitFactor != 1 {
		t.Errorf("rest: %+v, want nine units of rank 1 within the limit", rest)
	}
}

func TestNoDemandForJobsThatCannotRun(t *testing.T) {
	cases := []struct {
		name   string
		spec   wire.JobSpec
		change func(s *testPlanner, job *cluster.Job)
		hold   HoldReason
	}{
		{"cancelled", schedulingtest.Array("req-1", 2), func(_ *testPlanner, j *cluster.Job) { j.Cancelled = true }, ""},
		{"finished", schedulingtest.Array("req-1", 2), func(_ *testPlanner, j *cluster.Job) { j.Finished = true }, ""},
		{"nothing pending", schedulingtest.Array("req-1", 2), func(_ *testPlanner, j *cluster.Job) { j.ActiveTasks = 2 }, ""},
		{"quarantined", schedulingtest.Array("req-1", 2), func(s *testPlanner, _ *cluster.Job) { s.State.QuarantinedJobs["req-1"] = true }, HeldByQuarantine},
		{"of an unknown team", schedulingtest.Array("req-1", 2), func(_ *testPlanner, j *cluster.Job) { j.Spec.Team = "unknown" }, HeldByTeamLimit},
		{"a gang whose last attempt has not ended", schedulingtest.Gang("req-1", 2), func(_ *testPlanner, j *cluster.Job) { j.ActiveTasks = 1 }, HeldByLastAttempt},
		{"a gang beyond its team's limit", schedulingtest.Gang("req-1", 21), func(*testPlanner, *cluster.Job) {}, HeldByTeamLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			c.change(s, s.AddJob(c.spec))
			if demands := s.demandsOf("req-1"); len(demands) != 0 {
				t.Errorf("%s: demands %+v, want none", c.name, demands)
			}
			if hold := s.Holds["req-1"]; hold != c.hold {
				t.Errorf("%s: held for reason %q, want %q", c.name, hold, c.hold)
			}
		})
	}
}

// A job that fails repeatedly must not get machines for all of its tasks, but it must always be able
// to get one on which it has not failed yet: it may have met faulty machines only.
func TestDemandOfJobThatFailsRepeatedlyIsForItsRetryOnOtherMachines(t *testing.T) {
	for _, c := range []struct {
		name             string
		spec             wire.JobSpec
		failures, active int
		units            int
		hold             HoldReason
	}{
		{"array, one failure less", schedulingtest.Array("req-1", 10), repeatedFailures - 1, 0, 10, ""},
		{"array", schedulingtest.Array("req-1", 10), repeatedFailures, 0, 2, HeldByFailures},
		{"array with active tasks", schedulingtest.Array("req-1", 10), 100, 3, 1, HeldByFailures},
		{"array of one task", schedulingtest.Array("req-1", 1), 100, 0, 1, ""},
		{"service", schedulingtest.Service("req-1", 5), 100, 0, 2, HeldByFailures},
		{"service with active replicas", schedulingtest.Service("req-1", 5), 100, 4, 1, ""},
		{"gang", schedulingtest.Gang("req-1", 4), 100, 0, 4, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			c.spec.Deadline = 61
			job := s.AddJob(c.spec)
			job.TaskFailures, job.ActiveTasks = c.failures, c.active
			job.FailedMachines = map[wire.MachineID]bool{"n-1": true}
			demands := s.demandsOf("req-1")
			if len(demands) != 1 {
				t.Fatalf("demands %+v, want one", demands)
			}
			if d := demands[0]; d.Units != c.units || d.AvoidMachines["n-1"] != (c.failures >= repeatedFailures) {
				t.Errorf("%d units, avoiding %v; want %d units, avoiding n-1 %v", d.Units, d.AvoidMachines, c.units, c.failures >= repeatedFailures)
			}
			if hold := s.Holds["req-1"]; hold != c.hold {
				t.Errorf("held for reason %q, want %q", hold, c.hold)
			}
		})
	}
}

func TestDemandsStayWithinTheTeamsLimit(t *testing.T) {
	s := newTestPlanner(t) // red may use 40 CPUs
	first := schedulingtest.Array("req-1", 30)
	first.Deadline = 61
	s.AddJobAcceptedAt(first, schedulingtest.Now.Add(-time.Second))
	second := schedulingtest.Array("req-2", 30)
	second.Deadline = 61
	s.AddJob(second)
	for range schedulingtest.MapOrderRepeats {
		if d := s.demandsOf("req-1"); len(d) != 1 || d[0].Units != 30 {
			t.Fatalf("first job: demands %+v, want 30 units", d)
		}
		if d := s.demandsOf("req-2"); len(d) != 1 || d[0].Units != 10 {
			t.Fatalf("second job: demands %+v, want 10 units", d)
		}
	}
	blue := schedulingtest.Array("req-3", 99)
	blue.Team, blue.Deadline = "blue", 61
	s.AddJob(blue)
	if d := s.demandsOf("req-3"); len(d) != 1 || d[0].Units != 99 {
		t.Errorf("team without a limit: demands %+v, want 99 units", d)
	}
}

func TestDemandForSpareReplicasIsSpreadOverZones(t *testing.T) {
	s := newTestPlanner(t)
	replicas := s.AddJob(schedulingtest.Service("req-1", 5))
	replicas.ActiveTasks = 5
	demands := s.Demands(schedulingtest.Now, testStretchShare, 2)
	if len(demands) != 1 {
		t.Fatalf("demands %+v, want one for the spare replicas", demands)
	}
	want := map[wire.Zone]int{"a": 2, "b": 2}
	if d := demands[0]; d.Units != 3 || d.Rank != spareReplicaRank || d.Spec.CPUs != 2 || !maps.Equal(d.ZoneCapacityLeft, want) {
		t.Errorf("demand %+v of %v CPUs, want 3 units of 2 CPUs, rank %v, zones %v", d, d.Spec.CPUs, spareReplicaRank, want)
	}
}

func TestReservesForExpectedGangsAreAllOrNothingAndSpread(t *testing.T) {
	s := newTestPlanner(t)
	spec := schedulingtest.Gang("req-1", 5)
	spec.Spread = true
	reserves := s.ReservesFor([]*wire.JobSpec{&spec, &spec})
	if len(reserves) != 2 {
		t.Fatalf("demands %+v, want the gang twice", reserves)
	}
	for _, d := range reserves {
		if d.Units != 5 || d.Rank != gangReserveRank || !d.AllOrNothing || d.ZoneCapacityLeft["a"] != spec.MaxTasksPerZone() || d.ZoneCapacityLeft["b"] != spec.MaxTasksPerZone() {
			t.Errorf("demand %+v, want five units, all or nothing, rank %v, at most %d in a zone", d, gangReserveRank, spec.MaxTasksPerZone())
		}
	}
}

// Machines on which a job fails are not kept as headroom for its like either: they would never be
// returned, and where the cloud has no others the job would never run.
func TestReservesAvoidMachinesOnWhichJobsFailRepeatedly(t *testing.T) {
	for _, spec := range []wire.JobSpec{schedulingtest.Gang("req-1", 2), schedulingtest.Service("req-1", 2)} {
		for _, failures := range []int{repeatedFailures - 1, repeatedFailures} {
			s := newTestPlanner(t)
			job := s.AddJob(spec)
			job.TaskFailures, job.FailedMachines = failures, map[wire.MachineID]bool{"n-1": true}
			demands := s.Demands(schedulingtest.Now, testStretchShare, 1)
			if spec.IsGang() {
				demands = append(demands, s.ReservesFor([]*wire.JobSpec{&job.Spec})...)
			}
			reserves := 0
			for _, d := range demands {
				if !d.Reserve {
					continue
				}
				reserves++
				if d.AvoidMachines["n-1"] != (failures >= repeatedFailures) {
					t.Errorf("%s with %d failures: reserve avoids %v", spec.Kind, failures, d.AvoidMachines)
				}
			}
			if reserves != 1 {
				t.Errorf("%s: %d reserves, want one", spec.Kind, reserves)
			}
		}
	}
}

func TestPriceLimitFactorRisesForAJobThatWouldBeLate(t *testing.T) {
	s := newTestPlanner(t)
	spec := schedulingtest.Array("req-1", 1)
	spec.Deadline, spec.ImageGB = 400, 3
	age := 130 * time.Second // no longer waits for cheap machines first
	job := s.AddJobAcceptedAt(spec, schedulingtest.Now.Add(-age))
	for _, c := range []struct {
		waitSeconds, want float64
	}{
		{200, 1},                           // still in time
		{220, demand.LatePriceLimitFactor}, // late, and a new machine would be in time
	} {
		if got := s.PriceLimitFactor(job, c.waitSeconds, schedulingtest.Now); got != c.want {
			t.Errorf("age %v, wait %v s: price limit factor %v, want %v", age, c.waitSeconds, got, c.want)
		}
	}
	if got := s.PriceLimitFactor(s.AddJob(schedulingtest.Service("req-2", 1)), 1e6, schedulingtest.Now); got != 1 {
		t.Errorf("service: price limit factor %v, want 1", got)
	}
}

func TestBootAndFetchSecondsOfTheFastestType(t *testing.T) {
	s := newTestPlanner(t)
	for _, c := range []struct {
		name string
		spec wire.JobSpec
		want float64
	}{
		{"no image", wire.JobSpec{CPUs: 1}, 10},
		{"an image of 4 GB", wire.JobSpec{CPUs: 1, ImageGB: 4}, 14},
		{"a large image that the slower-booting type fetches faster", wire.JobSpec{CPUs: 1, ImageGB: 40}, 40},
		{"only a large type fits", wire.JobSpec{CPUs: 8}, 20},
		{"no type fits", wire.JobSpec{CPUs: 99}, math.Inf(1)},
	} {
		if got := s.bootAndFetchSeconds(&c.spec); got != c.want {
			t.Errorf("%s: boots and fetches in %v s, want %v s", c.name, got, c.want)
		}
	}
}

func TestBacklogCountsOnlyTheRetryOfAJobThatFailsRepeatedly(t *testing.T) {
	s := newTestPlanner(t)
	s.AddMachine("n-1", "c4", "a")
	s.AddJob(schedulingtest.Array("req-1", 100)).TaskFailures = repeatedFailures // 120 CPU seconds
	s.Demands(schedulingtest.Now, testStretchShare, noSpareReplicas)
	if s.BacklogSeconds != 30 {
		t.Errorf("backlog of %v s, want 30 s", s.BacklogSeconds)
	}
}

func TestBacklogIsTheWaitingWorkOverTheBatchCPUs(t *testing.T) {
	s := newTestPlanner(t)
	s.AddMachine("n-1", "c4", "a")
	s.AddMachine("n-2", "c4", "a").ScalingIn = true
	s.AddMachine("n-3", "c4", "a").DrainReason = cluster.DrainSlow
	s.Tracker.StartScaleOut(fleet.ScaleOut{Type: "c4", Zone: "a", Count: 2}, schedulingtest.Now)
	s.AddJob(schedulingtest.Service("req-1", 1))
	s.AddJob(schedulingtest.Array("req-2", 5)) // 300 CPU seconds
	if got := s.batchCPUs(); got != 10 {
		t.Errorf("%v batch CPUs, want 10: 4 of a machine and 8 pending without 2 of a service", got)
	}
	s.Demands(schedulingtest.Now, testStretchShare, noSpareReplicas)
	if s.BacklogSeconds != 30 {
		t.Errorf("backlog of %v s, want 30 s", s.BacklogSeconds)
	}
}
