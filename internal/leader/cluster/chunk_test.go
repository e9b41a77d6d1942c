package cluster

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestChunkRecordHoldsEveryAttempt(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 8, 8)
	addTestAttempt(j, 5, s.GetOrAddMachine("n-2"), 9)
	markUnstored(addTestAttempt(j, 2, s.GetOrAddMachine("n-1"), 8))
	c := j.Chunk(0)
	c.NextAttempt = 10
	c.TaskStates[0], c.TaskStates[1], c.TaskStates[7] = TaskDone, TaskDone, TaskDone

	rec := c.Record()
	if want := []int{0, 2, 7, 8}; !slices.Equal(rec.Done, want) {
		t.Errorf("done ranges = %v, want %v", rec.Done, want)
	}
	wantActive := []store.ActiveAttempt{{Task: 2, Attempt: 8, Machine: "n-1"}, {Task: 5, Attempt: 9, Machine: "n-2"}}
	if !slices.Equal(rec.Active, wantActive) {
		t.Errorf("active = %+v, want %+v", rec.Active, wantActive)
	}
	if rec.NextAttempt != 10 || rec.SubchunkTasks != 0 {
		t.Errorf("next attempt = %d, tasks of a sub-chunk = %d, want 10 and 0", rec.NextAttempt, rec.SubchunkTasks)
	}
}

func TestChunkRecordOfNoAttemptsHasAnEmptyList(t *testing.T) {
	s := newTestState(t)
	if rec := addTestJob(s, wire.KindArray, 2, 2).Chunk(0).Record(); rec.Active == nil || len(rec.Active) != 0 {
		t.Errorf("active = %#v, want an empty list that is not nil", rec.Active)
	}
}

func TestResetForgetsAttemptsAndCompletions(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 4, 2)
	m := s.GetOrAddMachine("n-1")
	addTestAttempt(j, 0, m, 1)
	ofOtherChunk := addTestAttempt(j, 2, m, 1)
	j.Chunk(0).TaskStates[1], j.DoneTasks = TaskDone, 1

	j.Chunk(0).ResetTasks()

	if got := j.Chunk(0).TaskStates; !slices.Equal(got, []TaskState{TaskPending, TaskPending}) {
		t.Errorf("states = %v, want all pending", got)
	}
	if j.DoneTasks != 0 || j.ActiveTasks != 1 || len(m.Attempts) != 1 || m.Attempts[ofOtherChunk.Task()] != ofOtherChunk {
		t.Errorf("done %d, active %d, on the machine %v, want only the other chunk's attempt", j.DoneTasks, j.ActiveTasks, m.Attempts)
	}
}

func TestWithdrawUnstoredAttemptEndsAtMostOne(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		unstored, stored int
		want             bool
	}{
		"no attempts":        {0, 0, false},
		"only stored ones":   {0, 2, false},
		"one unstored":       {1, 1, true},
		"several unstored":   {3, 0, true},
		"several of both":    {2, 2, true},
		"only one, unstored": {1, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, wire.KindArray, 4, 4)
			for i := range tt.unstored + tt.stored {
				a := addTestAttempt(j, i, s.GetOrAddMachine("n-1"), 1)
				if i < tt.unstored {
					markUnstored(a)
				}
			}
			if got := s.WithdrawUnstoredAttempt(j.Chunk(0), now); got != tt.want {
				t.Errorf("withdrawn = %v, want %v", got, tt.want)
			}
			wantUnstored := max(tt.unstored-1, 0)
			if j.UnstoredAttempts != wantUnstored || j.ActiveTasks != wantUnstored+tt.stored {
				t.Errorf("unstored %d, active %d, want %d and %d", j.UnstoredAttempts, j.ActiveTasks, wantUnstored, wantUnstored+tt.stored)
			}
			wantBackoff := time.Time{}
			if tt.want {
				wantBackoff = now.Add(time.Second)
			}
			if !j.StartNotBefore.Equal(wantBackoff) {
				t.Errorf("starts not before %v, want %v", j.StartNotBefore, wantBackoff)
			}
		})
	}
}

func TestForEachPendingTaskResumesAfterVisitedTasks(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 7, 3)
	m := s.GetOrAddMachine("n-1")
	j.Chunk(0).TaskStates[1], j.DoneTasks = TaskDone, 1
	visit := func(limit int) (visited []int) {
		j.ForEachPendingTask(limit, func(c *Chunk, index int) {
			task := c.Index*j.TasksPerChunk + index
			visited = append(visited, task)
			addTestAttempt(j, task, m, 1)
		})
		return visited
	}
	if got, want := visit(3), []int{0, 2, 3}; !slices.Equal(got, want) {
		t.Errorf("first three pending = %v, want %v", got, want)
	}
	if got, want := visit(10), []int{4, 5, 6}; !slices.Equal(got, want) {
		t.Errorf("remaining pending = %v, want %v", got, want)
	}
	if got := visit(1); got != nil {
		t.Errorf("visited with none pending = %v, want none", got)
	}
	for n, want := range []int{3, 3, 1} {
		if got := j.Chunk(n).FirstPendingIndex; got != want || j.FirstPendingChunk != 3 {
			t.Errorf("first pending task of chunk %d = %d, first pending chunk %d, want %d and 3", n, got, j.FirstPendingChunk, want)
		}
	}
	s.EndAttempt(j.Chunk(1).Attempts[1], TaskPending)
	if got, want := visit(10), []int{4}; !slices.Equal(got, want) {
		t.Errorf("pending after one attempt ended = %v, want %v", got, want)
	}
}

func TestMarkDirtyKeepsTheTimeOfTheFirstChange(t *testing.T) {
	s := newTestState(t)
	c := addTestJob(s, wire.KindArray, 1, 1).Chunk(0)
	s.UnsavedChanges.MarkDirty(c)
	first := c.DirtySince
	c.DirtySince = first.Add(-time.Second)
	s.UnsavedChanges.MarkDirty(c)
	if want := first.Add(-time.Second); !c.DirtySince.Equal(want) {
		t.Errorf("dirty since %v after a second change, want %v", c.DirtySince, want)
	}
}
