package cluster

import (
	"maps"
	"testing"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestNewJobHasNoNegativeAge(t *testing.T) {
	tests := map[string]struct {
		acceptedIn time.Duration
		wantAge    time.Duration
	}{
		"accepted a minute ago":             {-time.Minute, time.Minute},
		"accepted by a clock ahead of ours": {time.Minute, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rec := store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Tasks: 5}, TasksPerChunk: 2, AcceptedAt: wire.TimestampOf(time.Now().Add(tt.acceptedIn))}
			j := NewJob(rec, 3)
			if age := time.Since(j.AcceptedAt); age < tt.wantAge || age > tt.wantAge+time.Second {
				t.Errorf("age = %v, want about %v", age, tt.wantAge)
			}
			if len(j.Chunks) != 3 || j.TasksPerChunk != 2 || j.Revision != 3 {
				t.Errorf("%d chunks of %d tasks at revision %d, want 3 of 2 at 3", len(j.Chunks), j.TasksPerChunk, j.Revision)
			}
			if got := len(j.Chunk(2).TaskStates); got != 1 {
				t.Errorf("tasks of the last chunk = %d, want 1", got)
			}
		})
	}
}

func TestZoneCapacityLeft(t *testing.T) {
	tests := map[string]struct {
		sameZone, spread bool
		tasksInA         int
		want             map[wire.Zone]int
	}{
		"same zone, nothing placed": {sameZone: true, want: map[wire.Zone]int{"a": 4, "b": 4}},
		"same zone, one placed":     {sameZone: true, tasksInA: 1, want: map[wire.Zone]int{"a": 3, "b": 0}},
		"spread, nothing placed":    {spread: true, want: map[wire.Zone]int{"a": 2, "b": 2}},
		"spread, zone is full":      {spread: true, tasksInA: 3, want: map[wire.Zone]int{"a": 0, "b": 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, wire.KindArray, 4, 4)
			j.Spec.SameZone, j.Spec.Spread = tt.sameZone, tt.spread
			m := s.GetOrAddMachine("n-1")
			m.Zone = "a"
			for i := range tt.tasksInA {
				addTestAttempt(j, i, m, 1)
			}
			if got := j.ZoneCapacityLeft([]wire.Zone{"a", "b"}); !maps.Equal(got, tt.want) {
				t.Errorf("ZoneCapacityLeft with %d tasks in a = %v, want %v (limit %d)", tt.tasksInA, got, tt.want, j.Spec.MaxTasksPerZone())
			}
		})
	}
}

func TestStartOverdueAfterHalfOfStartWithin(t *testing.T) {
	const half = 2 * time.Minute
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		kind         wire.JobKind
		acceptedAt   time.Time
		active       bool
		done         int
		lastActiveAt time.Time
		want         bool
	}{
		"accepted recently":                 {wire.KindArray, ago(half - time.Second), false, 0, time.Time{}, false},
		"never started for long":            {wire.KindArray, ago(half + time.Second), false, 0, time.Time{}, true},
		"service":                           {wire.KindService, ago(half + time.Second), false, 0, time.Time{}, false},
		"a task of it is on a machine":      {wire.KindArray, ago(half + time.Second), true, 0, time.Time{}, false},
		"begun, and ran recently":           {wire.KindArray, ago(time.Hour), false, 1, ago(time.Second), false},
		"begun, and none has run for long":  {wire.KindArray, ago(time.Hour), false, 1, ago(half + time.Second), true},
		"begun in an earlier term, unknown": {wire.KindArray, ago(time.Hour), false, 1, time.Time{}, true},
		"nothing done, though it ran":       {wire.KindArray, ago(half + time.Second), false, 0, ago(time.Second), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			s.TermStartedAt = ago(time.Hour)
			j := addTestJob(s, tt.kind, 2, 2)
			j.AcceptedAt, j.lastActiveAt, j.DoneTasks = tt.acceptedAt, tt.lastActiveAt, tt.done
			if tt.active {
				addTestAttempt(j, 0, s.GetOrAddMachine("n-1"), 1)
			}
			if got := s.StartOverdue(j, now); got != tt.want {
				t.Errorf("StartOverdue = %v, want %v", got, tt.want)
			}
			s.TermStartedAt = now
			if got := s.StartOverdue(j, now); tt.done > 0 && got {
				t.Error("job that has begun is overdue as soon as a term starts, which cannot know when it last ran")
			}
		})
	}
}

func TestExpectedRunSecondsPrefersMeasuredRunTimes(t *testing.T) {
	j := addTestJob(newTestState(t), wire.KindArray, 1, 1)
	j.Spec.ExpectedRunTime = 30
	if got := j.ExpectedRunSeconds(); got != 30 {
		t.Errorf("ExpectedRunSeconds with only the owner's estimate = %v, want 30", got)
	}
	for _, seconds := range []float64{50, 10, 40} {
		j.RunTimes.Add(seconds)
	}
	if got := j.ExpectedRunSeconds(); got != 40 {
		t.Errorf("ExpectedRunSeconds with three run times = %v, want their median 40", got)
	}
	for range 15 {
		j.RunTimes.Add(7)
	}
	if got := j.ExpectedRunSeconds(); got != 7 || len(j.RunTimes.Samples) != 15 {
		t.Errorf("ExpectedRunSeconds after 15 further run times = %v of %d samples, want 7 of 15", got, len(j.RunTimes.Samples))
	}
}

func TestMarkIfFinished(t *testing.T) {
	tests := map[string]struct {
		done, active int
		cancelled    bool
		want         bool
		wantStatus   wire.Status
	}{
		"a task pending":            {1, 0, false, false, wire.StatusDone},
		"all done":                  {2, 0, false, true, wire.StatusDone},
		"cancelled, one is active":  {0, 1, true, false, wire.StatusCancelled},
		"cancelled, none is active": {0, 0, true, true, wire.StatusCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, wire.KindArray, 2, 2)
			j.DoneTasks, j.ActiveTasks, j.Cancelled = tt.done, tt.active, tt.cancelled
			s.MarkIfFinished(j)
			if _, marked := s.UnsavedChanges.FinishedJobs[j]; j.Finished != tt.want || marked != tt.want {
				t.Errorf("finished = %v, to be archived = %v, want %v", j.Finished, marked, tt.want)
			}
			if got := j.FinalStatus(); got != tt.wantStatus {
				t.Errorf("final status = %v, want %v", got, tt.wantStatus)
			}
			if got, want := j.PendingTasks(), 2-tt.done-tt.active; got != want {
				t.Errorf("pending = %d, want %d", got, want)
			}
		})
	}
}

func TestSinceLastStartCountsFromTheLatestKnownTime(t *testing.T) {
	s := newTestState(t)
	now := s.TermStartedAt.Add(time.Minute)
	j := addTestJob(s, wire.KindArray, 1, 1)
	tests := []struct {
		name                string
		acceptedAt, startAt time.Time
		want                time.Duration
	}{
		{"before the term, nothing started", now.Add(-time.Hour), time.Time{}, time.Minute},
		{"in the term, nothing started", now.Add(-20 * time.Second), time.Time{}, 20 * time.Second},
		{"started in the term", now.Add(-time.Hour), now.Add(-5 * time.Second), 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j.AcceptedAt, j.LastStartAt = tt.acceptedAt, tt.startAt
			if got := s.SinceLastStart(j, now); got != tt.want {
				t.Errorf("SinceLastStart = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestJobWithFailuresIsRetriedWithFewTasks(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		kind                    wire.JobKind
		failures, active, tasks int
		want                    int
	}{
		{"no failures", wire.KindArray, 0, 2, 9, 7},
		{"failures, no active task", wire.KindArray, 1, 0, 9, 2},
		{"failures, many active tasks", wire.KindArray, 100, 5, 9, 1},
		{"failures, one pending task", wire.KindService, 100, 0, 1, 1},
		{"failures, nothing pending", wire.KindService, 100, 9, 9, 0},
		{"a gang starts with all its tasks", wire.KindGang, 100, 0, 9, 9},
	} {
		job := &Job{Spec: wire.JobSpec{Kind: tc.kind, Tasks: tc.tasks}}
		job.TaskFailures, job.ActiveTasks = tc.failures, tc.active
		if got := job.StartableTasks(); got != tc.want {
			t.Errorf("%s: %d startable tasks, want %d", tc.name, got, tc.want)
		}
	}
}
