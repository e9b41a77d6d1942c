package valuation

import (
	"maps"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

func TestGuaranteedJobsFitIntoTheTeamsQuota(t *testing.T) {
	s := schedulingtest.New(t) // red is guaranteed 16 CPUs, blue 8
	ago := func(seconds int) time.Time { return schedulingtest.Now.Add(-time.Duration(seconds) * time.Second) }
	s.AddJobAcceptedAt(schedulingtest.Array("req-1", 10), ago(9))
	s.AddJobAcceptedAt(schedulingtest.Array("req-2", 6), ago(8))
	s.AddJobAcceptedAt(schedulingtest.Array("req-3", 1), ago(7))
	s.AddJobAcceptedAt(schedulingtest.Array("req-4", 30), ago(20)).Cancelled = true
	blue := schedulingtest.Array("req-5", 8)
	blue.Team = "blue"
	s.AddJob(blue)
	unknown := schedulingtest.Array("req-6", 1)
	unknown.Team = "unknown"
	s.AddJob(unknown)
	want := map[wire.JobID]bool{"req-1": true, "req-2": true, "req-3": false, "req-5": true}
	for range schedulingtest.MapOrderRepeats {
		if got := NewValuer(s.State).Guaranteed(); !maps.Equal(got, want) {
			t.Fatalf("guaranteed %v, want %v", got, want)
		}
	}
	s.State.Jobs["req-1"].DoneTasks = 1
	if got := NewValuer(s.State).Guaranteed(); !got["req-3"] {
		t.Errorf("with a task of req-1 done: guaranteed %v, want req-3 too", got)
	}
}

func TestUtilityWeightFollowsPriorityQuotaWorkAndSlack(t *testing.T) {
	spec := func(change func(*wire.JobSpec)) wire.JobSpec {
		s := schedulingtest.Array("req-1", 5) // 300 CPU seconds
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
		{"late even if started now", spec(func(*wire.JobSpec) {}), 1100 * time.Second, false, 0.2 * 1000 / 350.0},
		{"service", schedulingtest.Service("req-1", 5), 0, false, 256},
		{"guaranteed service", schedulingtest.Service("req-1", 5), 0, true, 768},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulingtest.New(t)
			job := s.AddJobAcceptedAt(c.spec, schedulingtest.Now.Add(-c.age))
			if got := NewValuer(s.State).UtilityWeight(job, c.guaranteed, schedulingtest.Now); !closeTo(got, c.want) {
				t.Errorf("%+v of age %v: weight %v, want %v", c.spec, c.age, got, c.want)
			}
		})
	}
}

// closeTo reports whether two numbers are equal but for rounding.
func closeTo(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestSortByAcceptanceBreaksTiesByID(t *testing.T) {
	s := schedulingtest.New(t)
	late := s.AddJobAcceptedAt(schedulingtest.Array("req-1", 1), schedulingtest.Now)
	second := s.AddJobAcceptedAt(schedulingtest.Array("req-3", 1), schedulingtest.Now.Add(-time.Second))
	first := s.AddJobAcceptedAt(schedulingtest.Array("req-2", 1), schedulingtest.Now.Add(-time.Second))
	jobs := []*cluster.Job{late, second, first}
	SortByAcceptance(jobs)
	if jobs[0] != first || jobs[1] != second || jobs[2] != late {
		t.Errorf("order %s, %s, %s; want req-2, req-3, req-1", jobs[0].Spec.ID, jobs[1].Spec.ID, jobs[2].Spec.ID)
	}
}
