package demand

import (
	"maps"
	"math"
	"testing"

	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

// The owner's deadline and the objectives of the class determine when a job is due: at the
// earliest of these times that can still be met, else at the latest.
func TestJobIsDueAtEarliestMeetableTime(t *testing.T) {
	within := func(seconds wire.Seconds) config.Objective {
		return config.Objective{Kind: "finished", Class: "batch", Within: seconds, Share: 0.8}
	}
	times := func(factor float64) config.Objective {
		return config.Objective{Kind: "deadline", Class: "batch", DeadlineMultiple: factor, Share: 0.95}
	}
	otherClass := config.Objective{Kind: "finished", Class: "other", Within: 1}
	otherKind := config.Objective{Kind: "started", Class: "batch", Within: 1}
	for name, c := range map[string]struct {
		timing     JobTiming
		objectives []config.Objective
		want       float64
	}{
		"no deadline or objective": {JobTiming{ExpectedRunSeconds: 10}, nil, 60},
		"objectives of others":     {JobTiming{ExpectedRunSeconds: 10}, []config.Objective{otherClass, otherKind}, 60},
		"its owner's deadline":     {JobTiming{ExpectedRunSeconds: 10, DeadlineSeconds: 100}, []config.Objective{otherClass}, 100},
		"an objective":             {JobTiming{ExpectedRunSeconds: 10}, []config.Objective{within(70)}, 70},
		"the earlier of two":       {JobTiming{ExpectedRunSeconds: 10}, []config.Objective{within(300), within(70)}, 70},
		"the earlier is missed":    {JobTiming{ExpectedRunSeconds: 10, AgeSeconds: 65}, []config.Objective{within(70), within(300)}, 300},
		"all are missed":           {JobTiming{ExpectedRunSeconds: 10, AgeSeconds: 500}, []config.Objective{within(300), within(70)}, 300},
		"twice its deadline":       {JobTiming{ExpectedRunSeconds: 10, DeadlineSeconds: 100, AgeSeconds: 95}, []config.Objective{times(2)}, 200},
		"its deadline can be met":  {JobTiming{ExpectedRunSeconds: 10, DeadlineSeconds: 100, AgeSeconds: 50}, []config.Objective{times(2)}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			c.timing.Class = "batch"
			if got := dueSeconds(c.timing, c.objectives); got != c.want {
				t.Errorf("%+v: due after %v s, want %v", c.timing, got, c.want)
			}
			if got, want := SlackSeconds(c.timing, c.objectives), c.want-c.timing.AgeSeconds-c.timing.ExpectedRunSeconds; got != want {
				t.Errorf("%+v: slack %v s, want %v", c.timing, got, want)
			}
		})
	}
}

// Enough tasks run at a time to complete all of them, one round after the other, within the
// share of the time that is left. All run at once if that is too short for two rounds.
func TestParallelTasksFitIntoShareOfTimeLeft(t *testing.T) {
	for name, c := range map[string]struct {
		waiting              int
		expected, age, share float64
		want                 int
	}{
		"ten rounds":                  {100, 10, 0, 1, 10},
		"one task over ten rounds":    {101, 10, 0, 1, 11},
		"half of the time":            {100, 10, 0, 0.5, 20},
		"half of the time has passed": {100, 10, 50, 1, 20},
		"too short for two rounds":    {100, 60, 0, 1, 100},
		"already late":                {100, 10, 200, 1, 100},
		"a single task":               {1, 1, 0, 1, 1},
		"tasks of less than a second": {100, 0.1, 0, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			timing := JobTiming{DeadlineSeconds: 100, ExpectedRunSeconds: c.expected, AgeSeconds: c.age}
			if got := ParallelTasks(c.waiting, timing, nil, c.share); got != c.want {
				t.Errorf("%+v: %d tasks at a time, want %d", c, got, c.want)
			}
		})
	}
}

// A job's machines may exceed the price limit only if the job would be late on cheap machines
// and in time on expensive ones. A job of a lenient class must also have waited for
// cheapOnlySeconds.
func TestLateJobMayExceedThePriceLimit(t *testing.T) {
	strict := []config.Objective{{Kind: "deadline", Class: "batch", DeadlineMultiple: 1, Share: 0.95}}
	lenient := []config.Objective{{Kind: "deadline", Class: "batch", DeadlineMultiple: 1, Share: 0.9}}
	for name, c := range map[string]struct {
		objectives      []config.Objective
		age, wait, boot float64
		want            float64
	}{
		"cheap machines are in time":        {strict, 0, 800, 30, 1},
		"expensive machines are in time":    {strict, 0, 950, 30, LatePriceLimitFactor},
		"no machines are in time":           {strict, 900, 950, 30, 1},
		"no machine type fits":              {strict, 0, 950, math.Inf(1), 1},
		"its class is lenient":              {lenient, 0, 950, 30, 1},
		"lenient, but it has waited long":   {lenient, StartWithinSeconds / 2, 950, 30, LatePriceLimitFactor},
		"it has waited long and is in time": {lenient, StartWithinSeconds / 2, 100, 30, 1},
	} {
		t.Run(name, func(t *testing.T) {
			timing := JobTiming{Class: "batch", DeadlineSeconds: 1000, ExpectedRunSeconds: 100, AgeSeconds: c.age}
			if got := PriceLimitFactor(timing, c.objectives, c.wait, c.boot); got != c.want {
				t.Errorf("%+v, waits %v s, boots in %v s: price limit factor %v, want %v", timing, c.wait, c.boot, got, c.want)
			}
		})
	}
}

// Jobs wait in the order of their weights, highest first, and those of equal weight in the
// order of their IDs, in whatever order the queue lists them.
func TestWaitsFollowWeightThenID(t *testing.T) {
	for _, c := range []struct {
		name        string
		queue       []QueuedJob
		cpus        float64
		want        map[wire.JobID]float64
		wantBacklog float64
	}{
		{"three jobs", []QueuedJob{{"c", 1, 40}, {"b", 2, 100}, {"a", 1, 20}}, 10, map[wire.JobID]float64{"b": 5, "a": 11, "c": 14}, 16},
		{"no CPUs", []QueuedJob{{"a", 1, 20}}, -5, map[wire.JobID]float64{"a": 10}, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			waits, backlog := PredictWaits(c.queue, c.cpus)
			if !maps.Equal(waits, c.want) {
				t.Errorf("waits %v, want %v", waits, c.want)
			}
			if backlog != c.wantBacklog {
				t.Errorf("backlog %v s, want %v", backlog, c.wantBacklog)
			}
		})
	}
}
