package demand

import (
	"math"
	"testing"

	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

// The owner's deadline and the aims of the class say when a job is due: the
// earliest that can still be met, else the latest.
func TestDue(t *testing.T) {
	within := func(s wire.Seconds) config.Objective {
		return config.Objective{Kind: "finished", Class: "batch", Within: s, Share: 0.8}
	}
	times := func(x float64) config.Objective {
		return config.Objective{Kind: "deadline", Class: "batch", Times: x, Share: 0.95}
	}
	other := config.Objective{Kind: "finished", Class: "other", Within: 1}
	begun := config.Objective{Kind: "started", Class: "batch", Within: 1}
	for name, c := range map[string]struct {
		work Work
		aims []config.Objective
		want float64
	}{
		"nothing said":             {Work{ExpectedS: 10}, nil, 60},
		"aims of others":           {Work{ExpectedS: 10}, []config.Objective{other, begun}, 60},
		"its deadline":             {Work{ExpectedS: 10, DeadlineS: 100}, []config.Objective{other}, 100},
		"an aim":                   {Work{ExpectedS: 10}, []config.Objective{within(70)}, 70},
		"the earlier of two":       {Work{ExpectedS: 10}, []config.Objective{within(300), within(70)}, 70},
		"the first is missed":      {Work{ExpectedS: 10, AgeS: 65}, []config.Objective{within(70), within(300)}, 300},
		"all are missed":           {Work{ExpectedS: 10, AgeS: 500}, []config.Objective{within(300), within(70)}, 300},
		"twice its deadline":       {Work{ExpectedS: 10, DeadlineS: 100, AgeS: 95}, []config.Objective{times(2)}, 200},
		"its deadline can be kept": {Work{ExpectedS: 10, DeadlineS: 100, AgeS: 50}, []config.Objective{times(2)}, 100},
	} {
		c.work.Class = "batch"
		if got := DueS(c.work, c.aims); got != c.want {
			t.Errorf("%s: due after %v s, want %v", name, got, c.want)
		}
		if got, want := SlackS(c.work, c.aims), c.want-c.work.AgeS-c.work.ExpectedS; got != want {
			t.Errorf("%s: slack %v s, want %v", name, got, want)
		}
	}
}

// So many run at a time that all are done within the share of what is left, one
// round after the other, and all at once when that is too short for two rounds.
func TestParallelTasks(t *testing.T) {
	for _, c := range []struct {
		waiting           int
		expected, age, of float64
		want              int
	}{
		{100, 10, 0, 1, 10}, {101, 10, 0, 1, 11}, {100, 10, 0, 0.5, 20}, {100, 10, 50, 1, 20},
		{100, 60, 0, 1, 100}, {100, 10, 200, 1, 100}, {1, 1, 0, 1, 1}, {100, 0.1, 0, 1, 1},
	} {
		w := Work{DeadlineS: 100, ExpectedS: c.expected, AgeS: c.age}
		if got := ParallelTasks(c.waiting, w, nil, c.of); got != c.want {
			t.Errorf("%+v: %d at a time", c, got)
		}
	}
}

// A job may pay more only if cheap room comes too late and dear room in time; one
// whose class may often be late only when it has waited long.
func TestPriceStretch(t *testing.T) {
	strict := []config.Objective{{Kind: "deadline", Class: "batch", Times: 1, Share: 0.95}}
	lax := []config.Objective{{Kind: "deadline", Class: "batch", Times: 1, Share: 0.9}}
	for name, c := range map[string]struct {
		aims            []config.Objective
		age, wait, boot float64
		want            float64
	}{
		"cheap room is in time":    {strict, 0, 800, 30, 1},
		"dear room is in time":     {strict, 0, 950, 30, LatePriceStretch},
		"nothing is in time":       {strict, 900, 950, 30, 1},
		"nothing fits":             {strict, 0, 950, math.Inf(1), 1},
		"it may be late":           {lax, 0, 950, 30, 1},
		"it has waited for long":   {lax, StartWithinS / 2, 950, 30, LatePriceStretch},
		"it has waited, and is on": {lax, StartWithinS / 2, 100, 30, 1},
	} {
		w := Work{Class: "batch", DeadlineS: 1000, ExpectedS: 100, AgeS: c.age}
		if got := PriceStretch(w, c.aims, c.wait, c.boot); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// The heavier go first, equals by name, whatever the order they are named in.
func TestWaits(t *testing.T) {
	waits, all := WaitsS([]Queued{{"c", 1, 40}, {"b", 2, 100}, {"a", 1, 20}}, 10)
	if want := map[wire.JobID]float64{"b": 5, "a": 11, "c": 14}; len(waits) != 3 || waits["a"] != want["a"] || waits["b"] != want["b"] || waits["c"] != want["c"] || all != 16 {
		t.Errorf("waits %v, all %v", waits, all)
	}
	if waits, all := WaitsS([]Queued{{"a", 1, 20}}, -5); waits["a"] != 10 || all != 20 {
		t.Errorf("without room: %v, all %v", waits, all)
	}
}
