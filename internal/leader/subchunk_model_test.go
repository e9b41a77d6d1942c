package leader

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// The fixed seed makes every run test the same cases.
func init() { flag.Set("rapid.seed", "20261202") } //nolint:errcheck // rapid defines the flag

// expectedTask is the expected state of a task in the plain list that has no chunks.
type expectedTask struct {
	state   cluster.TaskState
	attempt wire.AttemptNumber
	machine wire.MachineID
}

// recordStore holds the stored records in place of the key-value store.
type recordStore struct {
	entries  map[string]wire.Entry
	revision wire.Revision
}

// put writes a chunk's record. It checks what the key-value store checks of the committer's
// writes: that the size is within the limit, and that the known revision is the stored one.
func (s *recordStore) put(t *rapid.T, c *cluster.Chunk, limit int) {
	record := c.Record()
	if n := record.MaxJSONSize(); n > limit {
		t.Fatalf("record %s: got %d bytes, want at most %d", c.Key(), n, limit)
	}
	if e := s.entries[c.Key()]; e.Revision != c.Revision {
		t.Fatalf("record %s: got known revision %d, want the stored %d", c.Key(), c.Revision, e.Revision)
	}
	s.revision++
	s.entries[c.Key()] = wire.Entry{Key: c.Key(), Value: wire.Encode(record), Revision: s.revision}
	c.Revision, c.Dirty = s.revision, false
}

// list returns all entries, in no particular order.
func (s *recordStore) list() []wire.Entry {
	var entries []wire.Entry
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	return entries
}

// subchunkModel compares a job whose chunks may be split into sub-chunks with a plain list of
// its tasks.
type subchunkModel struct {
	t             *rapid.T
	spec          wire.JobSpec
	tasksPerChunk int
	nextValueKB   float64
	limitLowered  bool

	store *recordStore
	tm    *term
	j     *cluster.Job

	// current is what the job should show of its tasks, stored what its records should show.
	current, stored []expectedTask
	// storedNumbers are the numbers of each task's attempts that were stored at any time.
	storedNumbers []map[wire.AttemptNumber]bool
}

func newSubchunkModel(t *rapid.T) *subchunkModel {
	tasks := rapid.IntRange(1, 700).Draw(t, "tasks")
	m := &subchunkModel{
		t:             t,
		spec:          wire.JobSpec{ID: "req-000007", Team: "red", Kind: wire.KindArray, Tasks: tasks, CPUs: 1},
		tasksPerChunk: rapid.SampledFrom([]int{0, 256, 200, 113, 56, 7}).Draw(t, "tasks per chunk"),
		nextValueKB:   rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "next limit"),
		store:         &recordStore{entries: map[string]wire.Entry{}},
		current:       make([]expectedTask, tasks),
		stored:        make([]expectedTask, tasks),
		storedNumbers: make([]map[wire.AttemptNumber]bool, tasks),
	}
	m.changeLeader()
	return m
}

// changeLeader begins a new term, which loads what is stored.
func (m *subchunkModel) changeLeader() {
	limits := config.StoreLimits{ValueKB: 32, TxnOps: 12, Next: &config.NextStoreLimits{ValueKB: m.nextValueKB}}
	l := &Leader{Dependencies: testDependencies(limits)}
	m.tm = newTerm(l, newLease(l, 50, 0))
	m.tm.state.RecordsRead = true
	m.j = cluster.NewJob(store.JobRecord{Spec: m.spec, AcceptedAt: wire.TimestampOf(time.Now()), TasksPerChunk: m.tasksPerChunk}, 1)
	m.tm.state.Jobs[m.spec.ID] = m.j
	m.tm.records.Progress.ReadAll(m.store.list())
	if orphans := m.tm.writer.Orphans; len(orphans) > 0 {
		m.t.Fatalf("orphans: got %v, want none", orphans)
	}
}

// attempt returns the active attempt of a task, nil if there is none.
func (m *subchunkModel) attempt(task int) *cluster.Attempt {
	return m.j.Chunk(task / m.j.TasksPerChunk).Attempts[task%m.j.TasksPerChunk]
}

// startTasks starts up to n pending tasks on a machine.
func (m *subchunkModel) startTasks(n int, machine *cluster.Machine) {
	var pending []int
	m.j.ForEachPendingTask(n, func(c *cluster.Chunk, i int) { pending = append(pending, c.Index*m.j.TasksPerChunk+i) })
	// The iteration has moved the job past these tasks. It goes back, so that they can start.
	m.j.FirstPendingChunk = 0
	for _, c := range m.j.Chunks {
		if c != nil {
			c.FirstPendingIndex = 0
		}
	}
	for range pending {
		m.tm.scheduler.StartTask(m.j, machine, time.Now())
	}
	for _, task := range pending {
		a := m.attempt(task)
		if a == nil {
			m.t.Fatalf("task %d: got no attempt, want one", task)
		}
		// An attempt that was never stored was never sent, so its number may be used again.
		if m.storedNumbers[task][a.Number] {
			m.t.Fatalf("task %d: got number %d twice, want a new one", task, a.Number)
		}
		m.current[task] = expectedTask{cluster.TaskActive, a.Number, machine.ID}
	}
}

// endTasks ends some of the stored attempts, chosen at random.
func (m *subchunkModel) endTasks() {
	for _, a := range m.j.Attempts() {
		if a.Unstored || rapid.IntRange(0, 2).Draw(m.t, "ends") > 0 {
			continue
		}
		task := a.Task().Index
		state := rapid.SampledFrom([]cluster.TaskState{cluster.TaskDone, cluster.TaskPending}).Draw(m.t, "end")
		m.tm.state.EndAttempt(a, state)
		m.current[task] = expectedTask{state: state}
	}
}

// writeChunks writes some of the changed chunks, chosen at random.
func (m *subchunkModel) writeChunks() {
	if m.j.Finished {
		return
	}
	writer := m.tm.writer
	writer.ValueLimitLowered = writer.ValueLimitLowered || m.limitLowered // as after a single record was rejected
	writer.SplitOversizedChunks()
	for c := range m.tm.state.UnsavedChanges.Chunks {
		if rapid.IntRange(0, 2).Draw(m.t, "writes") == 0 {
			continue
		}
		m.store.put(m.t, c, writer.ValueLimitBytes())
		delete(m.tm.state.UnsavedChanges.Chunks, c)
		m.markStored(c)
	}
}

// markStored updates the model and the job after a chunk was written.
func (m *subchunkModel) markStored(c *cluster.Chunk) {
	first := c.Index * m.j.TasksPerChunk
	copy(m.stored[first:first+len(c.TaskStates)], m.current[first:])
	for _, a := range c.Attempts {
		if a.Unstored {
			a.Unstored = false
			c.UnstoredAttempts--
			m.j.UnstoredAttempts--
		}
	}
}

// recordStoredNumbers adds the attempt numbers that are stored now to storedNumbers.
func (m *subchunkModel) recordStoredNumbers() {
	for task, expected := range m.stored {
		if expected.state != cluster.TaskActive {
			continue
		}
		if m.storedNumbers[task] == nil {
			m.storedNumbers[task] = map[wire.AttemptNumber]bool{}
		}
		m.storedNumbers[task][expected.attempt] = true
	}
}

// countTasks counts the tasks that are done and active.
func countTasks(tasks []expectedTask) (done, active int) {
	for _, task := range tasks {
		switch task.state {
		case cluster.TaskDone:
			done++
		case cluster.TaskActive:
			active++
		}
	}
	return done, active
}

// checkJob compares the job and the tasks on the machines with the expected tasks.
func (m *subchunkModel) checkJob(want []expectedTask, situation string) {
	for i, expected := range want {
		m.checkTask(i, expected, situation)
	}
	done, active := countTasks(want)
	if m.j.DoneTasks != done || m.j.ActiveTasks != active {
		m.t.Fatalf("%s: got %d tasks done, %d active, want %d and %d", situation, m.j.DoneTasks, m.j.ActiveTasks, done, active)
	}
	onMachines := 0
	for _, machine := range m.tm.state.Machines {
		onMachines += len(machine.Attempts)
	}
	if onMachines != active {
		m.t.Fatalf("%s: got %d tasks on machines, want %d", situation, onMachines, active)
	}
}

func (m *subchunkModel) checkTask(task int, want expectedTask, situation string) {
	c := m.j.Chunk(task / m.j.TasksPerChunk)
	a := m.attempt(task)
	state := c.TaskStates[task%m.j.TasksPerChunk]
	if state != want.state || (a != nil) != (want.state == cluster.TaskActive) {
		m.t.Fatalf("%s: task %d: got state %d, attempt %+v, want %+v", situation, task, state, a, want)
	}
	if a == nil {
		return
	}
	asExpected := a.Number == want.attempt && a.Machine.ID == want.machine
	linked := a.Machine.Attempts[a.Task()] == a && a.Task().Index == task
	if !asExpected || !linked {
		m.t.Fatalf("%s: task %d: got attempt %+v, want %+v", situation, task, a, want)
	}
}

// checkStore compares the stored records with the tasks that were written, and the keys and
// revisions that the job knows with the stored ones. Before the limit drops no sub-chunk may
// be stored.
func (m *subchunkModel) checkStore() {
	done, active := countTasks(m.stored)
	if d, a := store.CountTasks(m.store.list()); d != done || a != active {
		m.t.Fatalf("stored tasks: got %d done, %d active, want %d and %d", d, a, done, active)
	}
	guards := m.j.StoredGuards()
	if len(guards) != len(m.store.entries) {
		m.t.Fatalf("known keys: got %d, want %d", len(guards), len(m.store.entries))
	}
	for _, g := range guards {
		if stored := m.store.entries[g.Key].Revision; stored != g.Revision {
			m.t.Fatalf("known revision of %s: got %d, want %d", g.Key, g.Revision, stored)
		}
	}
	if m.limitLowered {
		return
	}
	for key := range m.store.entries {
		if strings.Count(key, "/") > 2 {
			m.t.Fatalf("before the limit drops: got sub-chunk %s, want none", key)
		}
	}
}

// step performs one random operation.
func (m *subchunkModel) step() {
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0, 1, 2, 3:
		n := rapid.IntRange(1, 300).Draw(m.t, "starts")
		name := fmt.Sprintf("n-%012d", rapid.IntRange(0, 30).Draw(m.t, "machine"))
		m.startTasks(n, m.tm.state.GetOrAddMachine(wire.MachineID(name)))
	case 4, 5:
		m.endTasks()
	case 6, 7:
		m.writeChunks()
		m.recordStoredNumbers()
	case 8:
		m.limitLowered = true
	case 9:
		m.changeLeader()
		copy(m.current, m.stored)
		m.checkJob(m.current, "after a change of leader")
	}
}

// After random starts and ends of tasks, writes, drops of the size limit and changes of
// leader, nothing that was stored is lost, no task uses a stored attempt number twice, every
// record is within the limit, and the job knows all of its stored records.
func TestSplitChunksAgreeWithPlainTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSubchunkModel(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.step()
			if m.j.DoneTasks < m.spec.Tasks {
				m.checkJob(m.current, "after a step")
			}
			m.checkStore()
		}
	})
}
