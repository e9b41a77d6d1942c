package cluster

import (
	"slices"
	"testing"

	"lilaclead/internal/wire"
)

func TestSplitKeepsTaskStatesAttemptsAndNextNumbers(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 10, 4) // chunks of 4, 4 and 2 tasks
	m := s.GetOrAddMachine("n-1")
	stored := addTestAttempt(j, 1, m, 7)
	unstored := addTestAttempt(j, 3, m, 8)
	markUnstored(unstored)
	last := addTestAttempt(j, 9, m, 5)
	j.Chunk(0).NextAttempt, j.Chunk(2).NextAttempt = 9, 6
	j.Chunk(0).Revision, j.Chunk(2).Revision = 11, 13
	j.Chunk(0).TaskStates[0], j.DoneTasks = TaskDone, 1
	j.FirstPendingChunk = 2

	j.Split(2)

	if j.SubchunksPerChunk != 2 || j.TasksPerChunk != 2 || len(j.Chunks) != 5 || j.FirstPendingChunk != 0 {
		t.Errorf("layout: %d sub-chunks of %d tasks, %d chunks, first pending %d, want 2, 2, 5, 0", j.SubchunksPerChunk, j.TasksPerChunk, len(j.Chunks), j.FirstPendingChunk)
	}
	if j.Chunks[2] != nil || j.Chunks[3] != nil {
		t.Error("a chunk that was never used has sub-chunks")
	}
	wantStates := map[int][]TaskState{0: {TaskDone, TaskActive}, 1: {TaskPending, TaskActive}, 4: {TaskPending, TaskActive}}
	for n, want := range wantStates {
		if got := j.Chunks[n].TaskStates; !slices.Equal(got, want) {
			t.Errorf("states of sub-chunk %d = %v, want %v", n, got, want)
		}
	}
	for n, want := range map[int]wire.AttemptNumber{0: 9, 1: 9, 4: 6} {
		if c := j.Chunks[n]; c.NextAttempt != want || c.Revision != 0 {
			t.Errorf("sub-chunk %d: next attempt %d at revision %d, want %d at 0", n, c.NextAttempt, c.Revision, want)
		}
	}
	for task, a := range map[int]*Attempt{1: stored, 3: unstored, 9: last} {
		if got := s.ActiveAttempt(wire.TaskID{Job: "req-1", Index: task}); got != a || a.Task().Index != task || m.Attempts[a.Task()] != a {
			t.Errorf("attempt of task %d = %+v, want %+v as task %d", task, got, a, a.Task().Index)
		}
	}
	if j.Chunks[0].UnstoredAttempts != 0 || j.Chunks[1].UnstoredAttempts != 1 || j.UnstoredAttempts != 1 {
		t.Errorf("unstored attempts of sub-chunks 0 and 1 = %d and %d, of the job = %d, want 0, 1 and 1", j.Chunks[0].UnstoredAttempts, j.Chunks[1].UnstoredAttempts, j.UnstoredAttempts)
	}
	if j.ActiveTasks != 3 || j.DoneTasks != 1 {
		t.Errorf("active %d, done %d, want 3 and 1", j.ActiveTasks, j.DoneTasks)
	}
}

func TestKeysAndGuardsBeforeAndAfterASplit(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 8, 4)
	j.Chunk(1).Revision = 11
	guards := j.StoredGuards()
	if len(guards) != 1 || guards[0].Key != j.Chunk(1).Key() || guards[0].Revision != 11 {
		t.Errorf("guards = %+v, want the stored chunk's alone", guards)
	}
	base := j.Chunk(1).Key()

	j.Split(2)
	sub := j.Chunk(3)
	if sub.Key() == base {
		t.Errorf("sub-chunk has the key of its chunk, %q", base)
	}
	sub.Revision = 12
	want := []wire.Guard{{Key: sub.Key(), Revision: 12}, {Key: base, Revision: 11}}
	if got := j.StoredGuards(); len(got) != 2 || got[0].Key != want[0].Key || got[0].Revision != 12 || got[1].Key != base || got[1].Revision != 11 {
		t.Errorf("guards = %+v, want %+v", got, want)
	}
	if rec := sub.Record(); rec.SubchunkTasks != 2 {
		t.Errorf("tasks of a sub-chunk in its record = %d, want 2", rec.SubchunkTasks)
	}
}

func TestCanSplitIntoEqualSubchunksOnly(t *testing.T) {
	tests := map[string]struct {
		split, size int // split: the size of the sub-chunks already made, 0: none
		want        bool
	}{
		"no tasks":                  {0, 0, false},
		"negative":                  {0, -4, false},
		"a divisor":                 {0, 4, true},
		"one task each":             {0, 1, true},
		"not a divisor":             {0, 5, false},
		"the chunks themselves":     {0, 8, false},
		"larger than the chunks":    {0, 16, false},
		"already split into these":  {4, 4, true},
		"already split into others": {4, 2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			j := addTestJob(newTestState(t), wire.KindArray, 16, 8)
			if tt.split > 0 {
				j.Split(tt.split)
			}
			if got := j.CanSplitInto(tt.size); got != tt.want {
				t.Errorf("CanSplitInto(%d) of chunks of %d = %v, want %v", tt.size, j.TasksPerChunk, got, tt.want)
			}
		})
	}
}
