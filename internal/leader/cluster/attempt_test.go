package cluster

import (
	"math"
	"testing"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

func TestEndAttemptUpdatesTaskJobAndMachine(t *testing.T) {
	tests := map[string]struct {
		kind         wire.JobKind
		tasks        int
		prepare      func(a *Attempt)
		state        TaskState
		wantDone     int
		wantFinished bool
		wantBroken   bool
	}{
		"stored, task to be run again":           {kind: wire.KindArray, tasks: 2, state: TaskPending},
		"unstored, task to be run again":         {kind: wire.KindArray, tasks: 2, prepare: markUnstored, state: TaskPending},
		"completed, others pending":              {kind: wire.KindArray, tasks: 2, state: TaskDone, wantDone: 1},
		"completed, last task of its job":        {kind: wire.KindArray, tasks: 1, state: TaskDone, wantDone: 1, wantFinished: true},
		"last active attempt of a cancelled job": {kind: wire.KindArray, tasks: 2, prepare: func(a *Attempt) { a.Job.Cancelled = true }, state: TaskPending, wantFinished: true},
		"task of a gang lost":                    {kind: wire.KindGang, tasks: 2, state: TaskPending, wantBroken: true},
		"task of a gang completed":               {kind: wire.KindGang, tasks: 2, state: TaskDone, wantDone: 1},
		"unstored task of a gang withdrawn":      {kind: wire.KindGang, tasks: 2, prepare: markUnstored, state: TaskPending, wantBroken: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, tt.kind, tt.tasks, tt.tasks)
			m := s.GetOrAddMachine("n-1")
			m.LastUsedAt = time.Time{}
			a := addTestAttempt(j, 0, m, 7)
			if tt.prepare != nil {
				tt.prepare(a)
			}
			c := j.Chunk(0)
			c.FirstPendingIndex, j.FirstPendingChunk = tt.tasks, 1

			s.EndAttempt(a, tt.state)

			if got := c.TaskStates[0]; got != tt.state {
				t.Errorf("state of the task = %d, want %d", got, tt.state)
			}
			if c.Attempts[0] != nil || m.Attempts[a.Task()] != nil || j.ActiveTasks != 0 {
				t.Errorf("attempt is not detached: chunk %v, machine %v, active %d", c.Attempts, m.Attempts, j.ActiveTasks)
			}
			if a.Unstored || c.UnstoredAttempts != 0 || j.UnstoredAttempts != 0 {
				t.Errorf("unstored = %v, unstored attempts of the chunk = %d, of the job = %d, want none", a.Unstored, c.UnstoredAttempts, j.UnstoredAttempts)
			}
			if j.DoneTasks != tt.wantDone {
				t.Errorf("done tasks = %d, want %d", j.DoneTasks, tt.wantDone)
			}
			if _, broken := s.BrokenGangs[j]; broken != tt.wantBroken {
				t.Errorf("broken gang = %v, want %v", broken, tt.wantBroken)
			}
			if _, marked := s.UnsavedChanges.FinishedJobs[j]; j.Finished != tt.wantFinished || marked != tt.wantFinished {
				t.Errorf("finished = %v, to be archived = %v, want %v", j.Finished, marked, tt.wantFinished)
			}
			if _, unsaved := s.UnsavedChanges.Chunks[c]; !unsaved || !c.Dirty || c.DirtySince.IsZero() {
				t.Errorf("chunk to be written = %v, dirty = %v since %v, want both true and a time", unsaved, c.Dirty, c.DirtySince)
			}
			if pending := tt.state == TaskPending; (c.FirstPendingIndex == 0) != pending || (j.FirstPendingChunk == 0) != pending {
				t.Errorf("first pending = %d of chunk %d, want the task itself: %v", c.FirstPendingIndex, j.FirstPendingChunk, pending)
			}
			if m.LastUsedAt.IsZero() || !m.LastUsedAt.Equal(j.lastActiveAt) {
				t.Errorf("machine last used at %v, job last active at %v, want the same time, not zero", m.LastUsedAt, j.lastActiveAt)
			}
			if !s.CycleTimer.Requested {
				t.Error("no scheduling cycle was requested")
			}
		})
	}
}

func TestEndAttemptIgnoresAnAttemptThatHasEnded(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 1, 1)
	m := s.GetOrAddMachine("n-1")
	ended := addTestAttempt(j, 0, m, 7)
	s.EndAttempt(ended, TaskPending)
	next := addTestAttempt(j, 0, m, 8)
	s.EndAttempt(ended, TaskDone)
	if got := j.Chunk(0).Attempts[0]; got != next || j.DoneTasks != 0 || j.ActiveTasks != 1 {
		t.Errorf("attempt = %+v, done %d, active %d, want the next attempt to remain", got, j.DoneTasks, j.ActiveTasks)
	}
}

func TestDetachOfTheLastAttemptLeavesNoResourcesUsed(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 3, 3)
	j.Spec.CPUs = 0.1
	m := s.GetOrAddMachine("n-1")
	var attempts []*Attempt
	for i := range 3 {
		attempts = append(attempts, addTestAttempt(j, i, m, 1))
	}
	for _, a := range attempts {
		a.Detach()
	}
	if m.usedResources != (placement.Resources{}) {
		t.Errorf("used = %+v, want none", m.usedResources)
	}
}

func TestDetachLeavesANewerAttemptOnTheMachine(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 1, 1)
	m := s.GetOrAddMachine("n-1")
	older := addTestAttempt(j, 0, m, 1)
	newer := &Attempt{Job: j, Chunk: j.Chunk(0), Number: 2, Machine: m}
	m.Attempts[newer.Task()] = newer
	used := m.usedResources
	older.Detach()
	if m.Attempts[newer.Task()] != newer || m.usedResources != used {
		t.Errorf("attempts on the machine = %+v, used %+v, want %+v and %+v", m.Attempts, m.usedResources, newer, used)
	}
}

func TestActiveAttemptByTask(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 4, 2)
	active := addTestAttempt(j, 2, s.GetOrAddMachine("n-1"), 7)
	tests := map[string]struct {
		task wire.TaskID
		want *Attempt
	}{
		"of an unknown job":         {wire.TaskID{Job: "req-9", Index: 0}, nil},
		"of a chunk never used":     {wire.TaskID{Job: "req-1", Index: 0}, nil},
		"of a task without one":     {wire.TaskID{Job: "req-1", Index: 3}, nil},
		"of a task with an attempt": {wire.TaskID{Job: "req-1", Index: 2}, active},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := s.ActiveAttempt(tt.task); got != tt.want {
				t.Errorf("ActiveAttempt(%v) = %+v, want %+v", tt.task, got, tt.want)
			}
		})
	}
}

func TestRemainingTimeOfAnAttempt(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		kind         wire.JobKind
		runningFor   time.Duration // 0: it does not run yet
		runTimes     []float64
		wantExpected float64
		wantPlanned  float64
	}{
		"does not run yet":                 {wire.KindArray, 0, nil, math.Inf(1), 100},
		"service":                          {wire.KindService, 10 * time.Second, nil, math.Inf(1), 90},
		"owner's estimate only":            {wire.KindArray, 10 * time.Second, nil, 140, 90},
		"measured run times":               {wire.KindArray, 10 * time.Second, []float64{40, 60, 50}, 40, 40},
		"runs longer than estimated":       {wire.KindArray, 500 * time.Second, nil, 15, 1},
		"runs longer than other tasks did": {wire.KindArray, 500 * time.Second, []float64{50}, 5, 1},
		"measured, does not run yet":       {wire.KindArray, 0, []float64{50}, math.Inf(1), 50},
		"half a second of estimate left":   {wire.KindArray, 99500 * time.Millisecond, nil, 50.5, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, tt.kind, 1, 1)
			j.Spec.ExpectedRunTime = 100
			for _, sample := range tt.runTimes {
				j.RunTimes.Add(sample)
			}
			a := addTestAttempt(j, 0, s.GetOrAddMachine("n-1"), 1)
			if tt.runningFor > 0 {
				a.RunningSince = now.Add(-tt.runningFor)
			}
			if got := a.ExpectedRemainingSeconds(now); got != tt.wantExpected {
				t.Errorf("ExpectedRemainingSeconds = %v, want %v", got, tt.wantExpected)
			}
			if got := a.PlannedRemainingSeconds(now); got != tt.wantPlanned {
				t.Errorf("PlannedRemainingSeconds = %v, want %v", got, tt.wantPlanned)
			}
		})
	}
}
