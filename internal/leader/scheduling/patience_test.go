package scheduling

import (
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

func TestPreemptionDelayFollowsKindOfJobAndAge(t *testing.T) {
	urgent := func(spec wire.JobSpec) wire.JobSpec {
		spec.Priority, spec.Deadline = wire.PriorityUrgent, 10000
		return spec
	}
	cases := []struct {
		name string
		spec wire.JobSpec
		age  time.Duration
		want float64 // seconds
	}{
		{"service", schedulingtest.Service("req-1", 1), 0, 0},
		{"urgent array, new", urgent(schedulingtest.Array("req-1", 1)), 0, MaxPreemptionDelaySeconds},
		{"urgent array, has waited", urgent(schedulingtest.Array("req-1", 1)), 4 * time.Second, 2},
		{"urgent array, has waited long", urgent(schedulingtest.Array("req-1", 1)), time.Minute, 0},
		{"ordinary gang, new", schedulingtest.Gang("req-1", 2), 0, MaxPreemptionDelaySeconds},
		{"ordinary gang, has waited", schedulingtest.Gang("req-1", 2), 20 * time.Second, 15},
		{"ordinary gang, has waited long", schedulingtest.Gang("req-1", 2), time.Hour, maxGangPreemptionDelaySeconds},
		{"urgent gang, objective can be met", urgent(schedulingtest.Gang("req-1", 2)), time.Second, 0.5},
		{"urgent gang, objective missed", urgent(schedulingtest.Gang("req-1", 2)), 3 * time.Second, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			s.State.Settings.Objectives = []config.Objective{{Kind: "wait", Class: "sweep", Within: 2}}
			job := s.AddJobAcceptedAt(c.spec, schedulingtest.Now.Add(-c.age))
			if got := s.PreemptionDelaySeconds(job, schedulingtest.Now); got != c.want {
				t.Errorf("age %v: preemption delay of %v s, want %v s", c.age, got, c.want)
			}
		})
	}
}

func TestPreemptionDelayIsASmallPartOfTheSlack(t *testing.T) {
	s := newTestScheduler(t)
	spec := schedulingtest.Array("req-1", 1)
	spec.Priority, spec.Deadline = wire.PriorityUrgent, 76 // 16 s more than it runs
	job := s.AddJob(spec)
	if got := s.PreemptionDelaySeconds(job, schedulingtest.Now); got != 2 {
		t.Errorf("slack of 16 s: preemption delay of %v s, want 2 s", got)
	}
}
