package scheduling

import (
	"maps"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestGuaranteedJobsFitIntoTheTeamsQuota(t *testing.T) {
	s := newTestScheduler(t) // red is guaranteed 16 CPUs, blue 8
	ago := func(seconds int) time.Time { return testNow.Add(-time.Duration(seconds) * time.Second) }
	s.addJobAcceptedAt(array("req-1", 10), ago(9))
	s.addJobAcceptedAt(array("req-2", 6), ago(8))
	s.addJobAcceptedAt(array("req-3", 1), ago(7))
	s.addJobAcceptedAt(array("req-4", 30), ago(20)).Cancelled = true
	blue := array("req-5", 8)
	blue.Team = "blue"
	s.addJob(blue)
	unknown := array("req-6", 1)
	unknown.Team = "unknown"
	s.addJob(unknown)
	want := map[wire.JobID]bool{"req-1": true, "req-2": true, "req-3": false, "req-5": true}
	for range mapOrders {
		if got := s.guaranteed(); !maps.Equal(got, want) {
			t.Fatalf("guaranteed %v, want %v", got, want)
		}
	}
	s.state.Jobs["req-1"].DoneTasks = 1
	if got := s.guaranteed(); !got["req-3"] {
		t.Errorf("with a task of req-1 done: guaranteed %v, want req-3 too", got)
	}
}

func TestUtilityWeight(t *testing.T) {
	spec := func(change func(*wire.JobSpec)) wire.JobSpec {
		s := array("req-1", 5) // 300 CPU seconds
		s.Deadline = 1000
		change(&s)
		return s
	}
	cases := []struct {
		name       string
		spec       wire.JobSpec
		age        time.Duration
		guaranteed bool
		want       float64
	}{
		{"standard", spec(func(*wire.JobSpec) {}), 0, false, 2 * 1000 / 350.0},
		{"best effort", spec(func(s *wire.JobSpec) { s.Priority = wire.PriorityBestEffort }), 0, false, 1000 / 350.0},
		{"urgent", spec(func(s *wire.JobSpec) { s.Priority = wire.PriorityUrgent }), 0, false, 8 * 1000 / 350.0},
		{"guaranteed", spec(func(*wire.JobSpec) {}), 0, true, 6 * 1000 / 350.0},
		{"with less work", spec(func(s *wire.JobSpec) { s.Tasks = 1 }), 0, false, 2 * 1000 / 110.0},
		{"due soon", spec(func(*wire.JobSpec) {}), 900 * time.Second, false, 4 * 1000 / 350.0},
		{"too late", spec(func(*wire.JobSpec) {}), 1100 * time.Second, false, 0.2 * 1000 / 350.0},
		{"service", service("req-1", 5), 0, false, 256},
		{"guaranteed service", service("req-1", 5), 0, true, 768},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			job := s.addJobAcceptedAt(c.spec, testNow.Add(-c.age))
			if got := s.utilityWeight(job, c.guaranteed, testNow); !closeTo(got, c.want) {
				t.Errorf("%+v of age %v: weight %v, want %v", c.spec, c.age, got, c.want)
			}
		})
	}
}

// closeTo reports whether two numbers are equal but for rounding.
func closeTo(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestPatience(t *testing.T) {
	urgent := func(spec wire.JobSpec) wire.JobSpec {
		spec.Priority, spec.Deadline = wire.PriorityUrgent, 10000
		return spec
	}
	cases := []struct {
		name string
		spec wire.JobSpec
		age  time.Duration
		want float64
	}{
		{"service", service("req-1", 1), 0, 0},
		{"urgent array, new", urgent(array("req-1", 1)), 0, MaxPatienceS},
		{"urgent array, has waited", urgent(array("req-1", 1)), 4 * time.Second, 2},
		{"urgent array, has waited long", urgent(array("req-1", 1)), time.Minute, 0},
		{"ordinary gang, new", gang("req-1", 2), 0, MaxPatienceS},
		{"ordinary gang, has waited", gang("req-1", 2), 20 * time.Second, 15},
		{"ordinary gang, has waited long", gang("req-1", 2), time.Hour, maxGangPatienceS},
		{"urgent gang, in time", urgent(gang("req-1", 2)), time.Second, 0.5},
		{"urgent gang, late", urgent(gang("req-1", 2)), 3 * time.Second, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			s.state.Settings.Objectives = []config.Objective{{Kind: "wait", Class: "sweep", Within: 2}}
			job := s.addJobAcceptedAt(c.spec, testNow.Add(-c.age))
			if got := s.PatienceSeconds(job, testNow); got != c.want {
				t.Errorf("age %v: patience of %v s, want %v s", c.age, got, c.want)
			}
		})
	}
}

func TestPatienceIsASmallPartOfTheSlack(t *testing.T) {
	s := newTestScheduler(t)
	spec := array("req-1", 1)
	spec.Priority, spec.Deadline = wire.PriorityUrgent, 76 // 16 s more than it runs
	job := s.addJob(spec)
	if got := s.PatienceSeconds(job, testNow); got != 2 {
		t.Errorf("slack of 16 s: patience of %v s, want 2 s", got)
	}
}

func TestSpareReplicas(t *testing.T) {
	for _, c := range []struct {
		name     string
		services []wire.JobSpec
		minUnits float64
		count    int
		cpus     float64
	}{
		{"no services", nil, 2, 0, 0},
		{"as many as set", []wire.JobSpec{service("req-1", 2)}, 3, 3, 2},
		{"half of the largest service", []wire.JobSpec{service("req-1", 2), service("req-2", 9)}, 2, 5, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			spot := service("req-8", 50)
			spot.SpotAllowed = true
			for _, spec := range append(c.services, spot, array("req-9", 99)) {
				s.addJob(spec)
			}
			if got := spareReplicasOf(s.state, c.minUnits); got.count != c.count || got.takes.CPUs != c.cpus {
				t.Errorf("spare replicas %+v, want %d of %v CPUs", got, c.count, c.cpus)
			}
		})
	}
}

func TestSortByAcceptance(t *testing.T) {
	s := newTestScheduler(t)
	late := s.addJobAcceptedAt(array("req-1", 1), testNow)
	second := s.addJobAcceptedAt(array("req-3", 1), testNow.Add(-time.Second))
	first := s.addJobAcceptedAt(array("req-2", 1), testNow.Add(-time.Second))
	jobs := []*cluster.Job{late, second, first}
	sortByAcceptance(jobs)
	if jobs[0] != first || jobs[1] != second || jobs[2] != late {
		t.Errorf("order %s, %s, %s; want req-2, req-3, req-1", jobs[0].Spec.ID, jobs[1].Spec.ID, jobs[2].Spec.ID)
	}
}
