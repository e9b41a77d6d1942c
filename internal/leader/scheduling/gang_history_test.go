package scheduling

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

// expectedIDs returns the job IDs of the expected gangs.
func (s *testScheduler) expectedIDs(spareGangs float64, at time.Time) []wire.JobID {
	ids := []wire.JobID{}
	for _, spec := range s.ExpectedGangs(spareGangs, at) {
		ids = append(ids, spec.ID)
	}
	return ids
}

func TestLargestGangOfEachClassIsExpected(t *testing.T) {
	s := newTestScheduler(t)
	s.AddJob(schedulingtest.Gang("req-1", 2))
	s.AddJob(schedulingtest.Gang("req-2", 4))
	s.AddJob(schedulingtest.Array("req-3", 9))
	otherClass := schedulingtest.Gang("req-4", 1)
	otherClass.Class, otherClass.Priority = "train", wire.PriorityUrgent
	s.AddJob(otherClass)
	cancelled := schedulingtest.Gang("req-5", 8)
	s.AddJob(cancelled).Cancelled = true
	for _, c := range []struct {
		spareGangs float64
		want       []wire.JobID
	}{
		{0, []wire.JobID{}},
		{1, []wire.JobID{"req-4", "req-2"}},
		{2, []wire.JobID{"req-4", "req-4", "req-2", "req-2"}},
	} {
		if got := s.expectedIDs(c.spareGangs, schedulingtest.Now); !slices.Equal(got, c.want) {
			t.Errorf("%v spare gangs of each class: expected gangs %v, want %v", c.spareGangs, got, c.want)
		}
	}
}

func TestGangIsExpectedForAWhileAfterItsEnd(t *testing.T) {
	s := newTestScheduler(t)
	s.AddJob(schedulingtest.Gang("req-1", 2))
	s.expectedIDs(1, schedulingtest.Now)
	delete(s.State.Jobs, "req-1")
	if got := s.expectedIDs(1, schedulingtest.Now.Add(RecentGangRetention)); !slices.Equal(got, []wire.JobID{"req-1"}) {
		t.Errorf("%v after its end: expected gangs %v, want req-1", RecentGangRetention, got)
	}
	if got := s.expectedIDs(1, schedulingtest.Now.Add(RecentGangRetention+1)); len(got) != 0 {
		t.Errorf("longer after its end: expected gangs %v, want none", got)
	}
}

func TestGangSizeCountsGPUsAndMemory(t *testing.T) {
	for _, c := range []struct {
		name          string
		larger, other wire.JobSpec
	}{
		{"more tasks", wire.JobSpec{ID: "b", Tasks: 3, CPUs: 1}, wire.JobSpec{ID: "a", Tasks: 2, CPUs: 1}},
		{"a GPU beside nine CPUs", wire.JobSpec{ID: "b", Tasks: 1, GPUs: 1}, wire.JobSpec{ID: "a", Tasks: 1, CPUs: 9}},
		{"memory decides among equals", wire.JobSpec{ID: "b", Tasks: 1, CPUs: 1, MemoryGB: 2}, wire.JobSpec{ID: "a", Tasks: 1, CPUs: 1, MemoryGB: 1}},
		{"equal size, lower job ID", wire.JobSpec{ID: "a", Tasks: 1, CPUs: 1}, wire.JobSpec{ID: "b", Tasks: 1, CPUs: 1}},
	} {
		if !largerGang(&c.larger, &c.other) || largerGang(&c.other, &c.larger) {
			t.Errorf("%s: %+v is not larger than %+v", c.name, c.larger, c.other)
		}
	}
}
