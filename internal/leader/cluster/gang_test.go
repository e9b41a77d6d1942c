package cluster

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

func TestRestoreGangFromRecords(t *testing.T) {
	all := []wire.AttemptNumber{4, 4, 4}
	tests := map[string]struct {
		kind         wire.JobKind
		attempts     []wire.AttemptNumber // by task; 0: it has none
		done         int                  // how many of the last tasks are done by the records
		quarantined  bool
		wantGang     wire.AttemptNumber // number of the gang's attempt; 0: none is restored
		wantBroken   bool
		wantFinished bool
	}{
		"not a gang":                     {kind: wire.KindArray, attempts: all},
		"never started":                  {kind: wire.KindGang, attempts: []wire.AttemptNumber{0, 0, 0}},
		"all attempts of one number":     {kind: wire.KindGang, attempts: all, wantGang: 4},
		"one attempt is missing":         {kind: wire.KindGang, attempts: []wire.AttemptNumber{4, 0, 4}, wantGang: 4, wantBroken: true},
		"one attempt of an older number": {kind: wire.KindGang, attempts: []wire.AttemptNumber{3, 4, 4}, wantGang: 4, wantBroken: true},
		"one is missing, quarantined":    {kind: wire.KindGang, attempts: []wire.AttemptNumber{4, 0, 4}, quarantined: true, wantGang: 4},
		"some tasks are done":            {kind: wire.KindGang, attempts: []wire.AttemptNumber{4, 4, 0}, done: 1, wantFinished: true},
		"some are done, none is active":  {kind: wire.KindGang, attempts: []wire.AttemptNumber{0, 0, 0}, done: 2, wantFinished: true},
		"all tasks are done":             {kind: wire.KindGang, attempts: []wire.AttemptNumber{0, 0, 0}, done: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, tt.kind, 3, 2)
			for task, number := range tt.attempts {
				if number > 0 {
					addTestAttempt(j, task, s.GetOrAddMachine("n-1"), number).Inherited = true
				}
			}
			for task := 3 - tt.done; task < 3; task++ {
				j.Chunk(task / 2).TaskStates[task%2] = TaskDone
				j.DoneTasks++
			}
			s.QuarantinedJobs[j.Spec.ID] = tt.quarantined

			s.RestoreGang(j)

			switch {
			case (j.Gang != nil) != (tt.wantGang > 0):
				t.Errorf("gang = %+v, want number %d", j.Gang, tt.wantGang)
			case j.Gang != nil && (j.Gang.AttemptNumber != tt.wantGang || !j.Gang.Inherited || !j.Gang.StartedAt.Equal(s.TermStartedAt)):
				t.Errorf("gang = %+v, want number %d inherited at %v", j.Gang, tt.wantGang, s.TermStartedAt)
			}
			if _, broken := s.BrokenGangs[j]; broken != tt.wantBroken {
				t.Errorf("broken gang = %v, want %v", broken, tt.wantBroken)
			}
			if j.Finished != tt.wantFinished {
				t.Errorf("finished = %v, want %v", j.Finished, tt.wantFinished)
			}
			if tt.wantFinished && (j.DoneTasks != 3 || j.ActiveTasks != 0) {
				t.Errorf("done %d, active %d, want 3 and 0", j.DoneTasks, j.ActiveTasks)
			}
		})
	}
}

func TestCompleteGangCompletesTasksWithAndWithoutAttempt(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindGang, 9, 2)
	m := s.GetOrAddMachine("n-1")
	for _, task := range []int{0, 1, 3} {
		addTestAttempt(j, task, m, 4)
	}
	j.Gang = &Gang{AttemptNumber: 4}
	j.Chunk(4).TaskStates[0], j.DoneTasks = TaskDone, 1 // chunks 2 and 3 were never used

	s.CompleteGang(j)

	if j.DoneTasks != 9 || j.ActiveTasks != 0 || len(m.Attempts) != 0 || j.Gang != nil {
		t.Errorf("done %d, active %d, on the machine %v, gang %+v, want 9, 0, none, nil", j.DoneTasks, j.ActiveTasks, m.Attempts, j.Gang)
	}
	for task := range 9 {
		if got := j.Chunk(task / 2).TaskStates[task%2]; got != TaskDone {
			t.Errorf("state of task %d = %d, want %d", task, got, TaskDone)
		}
	}
	if _, marked := s.UnsavedChanges.FinishedJobs[j]; !j.Finished || !marked {
		t.Errorf("finished = %v, to be archived = %v, want both", j.Finished, marked)
	}
	for n, want := range []bool{true, true, true, true, false} {
		if got := j.Chunk(n).Dirty; got != want {
			t.Errorf("chunk %d to be written = %v, want %v", n, got, want)
		}
	}
}

func TestMayLaunchOnlyWhileTheGangIsStoredAndNotEnding(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *State, j *Job)
		want    bool
	}{
		"all stored":               {func(*State, *Job) {}, true},
		"not a gang's":             {func(_ *State, j *Job) { j.Gang = nil; j.Spec.Tasks++ }, true},
		"one attempt unstored":     {func(_ *State, j *Job) { markUnstored(j.Chunk(0).Attempts[1]) }, false},
		"one task without attempt": {func(s *State, j *Job) { s.EndAttempt(j.Chunk(0).Attempts[1], TaskPending) }, false},
		"broken":                   {func(_ *State, j *Job) { j.Gang.Broken = true }, false},
		"stopping gracefully":      {func(_ *State, j *Job) { j.Gang.StopRequested, j.Gang.StoppingGracefully = true, true }, false},
		"stopping without grace":   {func(_ *State, j *Job) { j.Gang.StopRequested = true }, true},
		"running":                  {func(_ *State, j *Job) { j.Gang.HasRun = true }, true},
		"inherited":                {func(_ *State, j *Job) { j.Gang.Inherited = true }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestGang(s, 3)
			a := j.Chunk(0).Attempts[0]
			tt.prepare(s, j)
			if got := a.MayLaunch(); got != tt.want {
				t.Errorf("MayLaunch with gang %+v = %v, want %v", j.Gang, got, tt.want)
			}
		})
	}
}

func TestMayRelaunchOnlyWhileTheGangWaitsForTheTask(t *testing.T) {
	tests := map[string]struct {
		prepare func(j *Job, a *Attempt)
		want    bool
	}{
		"gang waits for it":          {func(*Job, *Attempt) {}, true},
		"not a gang's":               {func(j *Job, _ *Attempt) { j.Gang = nil }, false},
		"a heartbeat listed it":      {func(_ *Job, a *Attempt) { a.SeenInHeartbeat = true }, false},
		"it is being stopped":        {func(_ *Job, a *Attempt) { a.Stopping = true }, false},
		"the gang has run":           {func(j *Job, _ *Attempt) { j.Gang.HasRun = true }, false},
		"the gang is broken":         {func(j *Job, _ *Attempt) { j.Gang.Broken = true }, false},
		"the job is cancelled":       {func(j *Job, _ *Attempt) { j.Cancelled = true }, false},
		"its machine is drained":     {func(_ *Job, a *Attempt) { a.Machine.DrainReason = DrainSlow }, false},
		"its machine is scaled in":   {func(_ *Job, a *Attempt) { a.Machine.ScalingIn = true }, false},
		"the gang wait is over":      {func(j *Job, _ *Attempt) { j.Gang.StartedAt = time.Now().Add(-31 * time.Second) }, false},
		"the gang wait is not over":  {func(j *Job, _ *Attempt) { j.Gang.StartedAt = time.Now().Add(-20 * time.Second) }, true},
		"a heartbeat listed another": {func(j *Job, _ *Attempt) { j.Chunk(0).Attempts[1].SeenInHeartbeat = true }, true},
		"another machine is drained": {func(j *Job, _ *Attempt) {
			j.Chunk(0).Attempts[1].Machine.DrainReason = DrainSlow
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestGang(s, 3)
			a := j.Chunk(0).Attempts[0]
			tt.prepare(j, a)
			if got := s.MayRelaunch(a); got != tt.want {
				t.Errorf("MayRelaunch with gang %+v = %v, want %v", j.Gang, got, tt.want)
			}
		})
	}
}

func TestGracePeriodCoversTheCheckpointAndTheGang(t *testing.T) {
	tests := map[string]struct {
		kind                     wire.JobKind
		interval, checkpointTime wire.Seconds
		want                     wire.Seconds
	}{
		"no checkpoints":           {wire.KindArray, 0, 3, 0},
		"gang without checkpoints": {wire.KindGang, 0, 3, 0},
		"array with checkpoints":   {wire.KindArray, 20, 3, 5},
		"gang with checkpoints":    {wire.KindGang, 20, 3, 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, tt.kind, 2, 2)
			j.Spec.CheckpointInterval, j.Spec.CheckpointTime = tt.interval, tt.checkpointTime
			if got := s.GracePeriodOf(j); got != tt.want {
				t.Errorf("GracePeriodOf = %v, want %v", got, tt.want)
			}
		})
	}
}
