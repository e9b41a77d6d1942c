package leader

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// The same cases every time.
func init() { flag.Set("rapid.seed", "20261202") } //nolint:errcheck // rapid defines the flag

// deps of a leader that talks to nobody.
func deps(s config.State) Dependencies {
	return Dependencies{Config: &config.Config{Settings: config.Settings{Size: 3, Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41}, State: s}},
		Cancels: known(), Tuning: tuning.NewCurrent(), Catalog: &cluster.MachineCatalog{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

// plain is a task as a model without chunks knows it.
type plain struct {
	state uint8
	try   wire.Attempt
	on    wire.MachineID
}

// shelf is what is stored, as the state service would have it.
type shelf struct {
	keys map[string]wire.Entry
	rev  wire.Revision
}

// put writes a chunk as flush does.
func (s *shelf) put(t *rapid.T, c *cluster.Chunk, most int) {
	rec := c.Record()
	if n := rec.JSONSize(); n > most {
		t.Fatalf("%s has %d bytes of %d", c.Key(), n, most)
	}
	if e := s.keys[c.Key()]; e.Revision != c.Revision {
		t.Fatalf("%s is stored at revision %d, known as %d", c.Key(), e.Revision, c.Revision)
	}
	s.rev++
	s.keys[c.Key()] = wire.Entry{Key: c.Key(), Value: wire.Encode(rec), Revision: s.rev}
	c.Revision, c.Dirty = s.rev, false
}

func (s *shelf) list() (out []wire.Entry) {
	for _, e := range s.keys {
		out = append(out, e)
	}
	return
}

// Random starts, ends, writes, drops of the limit and changes of leader, against a
// plain list of tasks: nothing is lost, no number is used twice by a task, every
// record is within the limit, and what a job has stored is listed whole.
func TestSubChunksAgainstPlainTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 700).Draw(t, "parts")
		per := rapid.SampledFrom([]int{0, 256, 200, 113, 56, 7}).Draw(t, "per")
		next := rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "next")
		spec := wire.JobSpec{ID: "req-000007", Team: "red", Kind: wire.KindArray, Tasks: parts, CPUs: 1}
		s := &shelf{keys: map[string]wire.Entry{}}
		lowered := false
		var tm *term
		var j *cluster.Job
		lead := func() {
			l := &Leader{Dependencies: deps(config.State{ValueKB: 32, TxnOps: 12, Next: &config.NextState{ValueKB: next}})}
			tm = newTerm(l, leaseFor(l, 50, 0))
			tm.state.Recovered = true
			j = cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now()), Chunk: per}, 1)
			tm.state.Jobs[spec.ID] = j
			tm.records.progress.ReadAll(s.list())
			if len(tm.writer.Orphans) > 0 {
				t.Fatalf("taken for left over: %v", tm.writer.Orphans)
			}
		}
		lead()
		now, stored := make([]plain, parts), make([]plain, parts)
		used := make([]map[wire.Attempt]bool, parts)
		same := func(want []plain, what string) {
			done, held := 0, 0
			for i, p := range want {
				c := j.Chunk(i / j.TasksPerChunk)
				a := c.Attempts[i%j.TasksPerChunk]
				switch p.state {
				case cluster.TaskDone:
					done++
				case cluster.TaskActive:
					held++
				}
				if got := c.TaskStates[i%j.TasksPerChunk]; got != p.state || (a != nil) != (p.state == cluster.TaskActive) || a != nil && (a.Number != p.try || a.Machine.ID != p.on || a.Machine.Tasks[a.Task()] != a || a.Task().Index != i) {
					t.Fatalf("%s: task %d is %d %+v, want %+v", what, i, got, a, p)
				}
			}
			if j.DoneTasks != done || j.ActiveTasks != held {
				t.Fatalf("%s: %d done, %d held, want %d and %d", what, j.DoneTasks, j.ActiveTasks, done, held)
			}
			n := 0
			for _, m := range tm.state.Machines {
				n += len(m.Tasks)
			}
			if n != held {
				t.Fatalf("%s: machines hold %d tasks, want %d", what, n, held)
			}
		}
		write := func() {
			if j.Finished {
				return
			}
			tm.writer.ValueLimitLowered = tm.writer.ValueLimitLowered || lowered // refused by itself
			tm.writer.SplitOversizedChunks()
			for c := range tm.state.Unsaved.Chunks {
				if rapid.IntRange(0, 2).Draw(t, "writes") == 0 {
					continue
				}
				s.put(t, c, tm.writer.ValueLimit())
				delete(tm.state.Unsaved.Chunks, c)
				for i := range c.TaskStates {
					stored[c.Index*j.TasksPerChunk+i] = now[c.Index*j.TasksPerChunk+i]
				}
				for _, a := range c.Attempts {
					if a.Unstored {
						a.Unstored = false
						c.UnstoredAttempts--
						j.UnstoredAttempts--
					}
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3: // starts
				n := rapid.IntRange(1, 300).Draw(t, "starts")
				m := tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprintf("n-%012d", rapid.IntRange(0, 30).Draw(t, "machine"))))
				var at []int
				j.ForEachPending(n, func(c *cluster.Chunk, i int) { at = append(at, c.Index*j.TasksPerChunk+i) })
				j.FirstPendingChunk = 0
				for _, c := range j.Chunks {
					if c != nil {
						c.FirstPending = 0
					}
				}
				for range at {
					tm.scheduler.StartTask(j, m, time.Now())
				}
				for _, i := range at {
					a := j.Chunk(i / j.TasksPerChunk).Attempts[i%j.TasksPerChunk]
					if a == nil {
						t.Fatalf("task %d was not started", i)
					}
					if used[i] == nil {
						used[i] = map[wire.Attempt]bool{}
					}
					// What was never stored was never sent, and its number is free.
					if used[i][a.Number] {
						t.Fatalf("task %d has number %d twice", i, a.Number)
					}
					now[i] = plain{cluster.TaskActive, a.Number, m.ID}
				}
			case 4, 5: // ends
				for _, a := range j.Attempts() {
					if a.Unstored || rapid.IntRange(0, 2).Draw(t, "ends") > 0 {
						continue
					}
					i := a.Task().Index
					state := rapid.SampledFrom([]uint8{cluster.TaskDone, cluster.TaskPending}).Draw(t, "end")
					tm.state.EndAttempt(a, state)
					now[i] = plain{state: state}
				}
			case 6, 7:
				write()
				for i, p := range stored {
					if p.state == cluster.TaskActive {
						if used[i] == nil {
							used[i] = map[wire.Attempt]bool{}
						}
						used[i][p.try] = true
					}
				}
			case 8: // the limit drops
				lowered = true
			case 9: // another leads, and knows what is stored
				lead()
				copy(now, stored)
				same(now, "read")
			}
			if j.DoneTasks < parts {
				same(now, "known")
			}
			done, held := 0, 0
			for _, p := range stored {
				if p.state == cluster.TaskDone {
					done++
				} else if p.state == cluster.TaskActive {
					held++
				}
			}
			if d, h := store.CountTasks(s.list()); d != done || h != held {
				t.Fatalf("counted %d done, %d held; stored are %d and %d", d, h, done, held)
			}
			if g := j.StoredGuards(); len(g) != len(s.keys) {
				t.Fatalf("%d keys known of %d", len(g), len(s.keys))
			}
			for _, g := range j.StoredGuards() {
				if s.keys[g.Key].Revision != g.Revision {
					t.Fatalf("%s known as %d, stored as %d", g.Key, g.Revision, s.keys[g.Key].Revision)
				}
			}
			if !lowered {
				for k := range s.keys {
					if strings.Count(k, "/") > 2 {
						t.Fatalf("%s is a sub-chunk, and the limits have not dropped", k)
					}
				}
			}
		}
	})
}

// withLowerLimit is a desk whose state service has dropped to 2 KiB and 4 changes, with
// jobs that were accepted before.
func withLowerLimit(t *testing.T, f func(tm *term, m *cluster.Machine, st *simulator.State, job func(id wire.JobID, parts, per int) *cluster.Job, settle func())) {
	t.Helper()
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		tm.state.Settings.State = config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12, Next: &config.NextState{ValueKB: 2, TxnOps: 4}}
		st.LowerLimits(2, 4, 1000, 1000)
		f(tm, m, st, func(id wire.JobID, parts, per int) *cluster.Job {
			rec := store.JobRecord{Spec: wire.JobSpec{ID: id, Team: "red", Kind: wire.KindArray, Tasks: parts, CPUs: 1}, AcceptedAt: wire.TimestampOf(time.Now()), Chunk: per}
			j := cluster.NewJob(rec, st.Put(store.JobKey(id), rec))
			tm.state.Jobs[id] = j
			return j
		}, settle)
	})
}

// hold puts so many tasks of a chunk on a machine, as an earlier leader did.
func hold(tm *term, j *cluster.Job, n, tasks int, m *cluster.Machine) {
	c := j.Chunk(n)
	for i := range tasks {
		c.Add(&cluster.Attempt{Job: j, Chunk: c, Index: i, Number: c.NextAttempt, Machine: m, Observed: true})
		c.NextAttempt++
	}
	tm.state.Unsaved.MarkDirty(c)
}

// A large chunk and a small one of the same job are to be written, the small one
// first, as it holds a launch. (A job was not split while its small chunk was in
// the transaction. By reading, two that start nothing could be refused together
// for ever, in the order of their marks; in virtual time these are equal, and the
// former code came through this test.)
func TestSmallChunkBesideALargeOne(t *testing.T) {
	withLowerLimit(t, func(tm *term, m *cluster.Machine, st *simulator.State, job func(wire.JobID, int, int) *cluster.Job, settle func()) {
		j := job("req-2", 512, 256)
		hold(tm, j, 1, 250, m)
		tm.scheduler.StartTask(j, m, time.Now())
		settle()
		if len(tm.state.Unsaved.Chunks) > 0 || j.UnstoredAttempts > 0 || j.ActiveTasks != 251 || j.SubchunksPerChunk == 0 || ended(tm) {
			t.Errorf("%d chunks not written, sub-chunks %d, term over: %v", len(tm.state.Unsaved.Chunks), j.SubchunksPerChunk, ended(tm))
		}
		if n := st.LargestValue(store.ProgressPrefix); n > 2048 || n == 0 {
			t.Errorf("the largest record has %d bytes", n)
		}
	})
}

// A record that is refused for ever, for whatever reason, holds up nothing else:
// launches, routine writes, ends and left-over records of others go on.
func TestBadRecordHoldsUpNothing(t *testing.T) {
	withLowerLimit(t, func(tm *term, m *cluster.Machine, st *simulator.State, job func(wire.JobID, int, int) *cluster.Job, settle func()) {
		odd := tm.state.GetOrAddMachine(wire.MachineID("n-" + strings.Repeat("9", 3000)))
		odd.FirstHeartbeatAt = time.Now()
		bad, worse := job("req-3", 4, 1), job("req-4", 4, 1)
		hold(tm, bad, 0, 1, odd)
		tm.scheduler.StartTask(worse, odd, time.Now()) // a launch that can't be stored
		launch, routine, end := job("req-5", 2, 56), job("req-6", 2, 56), job("req-7", 1, 56)
		tm.scheduler.StartTask(launch, m, time.Now())
		hold(tm, routine, 0, 2, m)
		hold(tm, end, 0, 1, m)
		for _, a := range end.Attempts() {
			tm.state.EndAttempt(a, cluster.TaskDone)
		}
		orphan := store.ChunkKey("req-8", 0)
		tm.writer.AddOrphan(wire.Guard{Key: orphan, Revision: st.Put(orphan, store.ChunkRecord{NextAttempt: 2})})
		settle()
		if launch.UnstoredAttempts > 0 || len(st.Keys(store.ProgressPrefix+"req-5/")) == 0 {
			t.Error("a launch is held up")
		}
		if n := len(st.Keys(store.ProgressPrefix + "req-6/")); n == 0 {
			t.Error("routine writes are held up")
		}
		if len(st.Keys(store.FinalKey("req-7"))) == 0 {
			t.Error("a job's end is held up")
		}
		if len(st.Keys(orphan)) > 0 {
			t.Error("a left-over record is held up")
		}
		if worse.ActiveTasks > 0 || bad.ActiveTasks != 1 || ended(tm) {
			t.Errorf("held %d and %d, term over: %v", worse.ActiveTasks, bad.ActiveTasks, ended(tm))
		}
		if n := st.OversizeRefusals(); n > 30 {
			t.Errorf("%d transactions were refused", n)
		}
	})
}

// Before a chunk over the limit to come was refused by itself no sub-chunk is
// written: an earlier version would drop it.
func TestNoSubChunkBeforeTheDrop(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		tm.state.Settings.State = config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12, Next: &config.NextState{ValueKB: 2, TxnOps: 4}}
		rec := store.JobRecord{Spec: wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindArray, Tasks: 256, CPUs: 1}, AcceptedAt: wire.TimestampOf(time.Now())}
		j := cluster.NewJob(rec, st.Put(store.JobKey("req-2"), rec))
		tm.state.Jobs["req-2"] = j
		hold(tm, j, 0, 250, m)
		bad := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-3", Team: "red", Tasks: 1, CPUs: 1}}, st.Put(store.JobKey("req-3"), rec))
		tm.state.Jobs["req-3"] = bad
		hold(tm, bad, 0, 1, tm.state.GetOrAddMachine(wire.MachineID("n-"+strings.Repeat("9", 20_000))))
		settle()
		if k := st.Keys(store.ProgressPrefix + "req-2/"); len(k) != 1 || k[0] != store.ChunkKey("req-2", 0) {
			t.Errorf("stored %v", k)
		}
		if st.OversizeRefusals() == 0 {
			t.Error("nothing was refused")
		}
	})
}

// A machine that is drained is kept until the end of what was on it is stored.
// (The next leader took 37 tasks that were done for lost with their machine.)
func TestDrainedMachineWaitsForItsWrites(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		settle()
		j := tm.state.Jobs["req-1"]
		tm.scheduler.StartTask(j, m, time.Now())
		settle()
		if !tm.writer.AllStored(m.LastUsedAt, time.Now()) {
			t.Error("all is stored")
		}
		time.Sleep(time.Second)
		for _, a := range j.Attempts() {
			tm.state.EndAttempt(a, cluster.TaskDone)
		}
		if len(m.Tasks) > 0 || tm.writer.AllStored(m.LastUsedAt, time.Now()) {
			t.Error("released before its progress is written")
		}
		tm.committer.Flush(time.Now())
		if !tm.writer.InFlight() || tm.writer.AllStored(m.LastUsedAt, time.Now()) {
			t.Error("released while its progress is being written")
		}
		settle()
		if !tm.writer.AllStored(m.LastUsedAt, time.Now()) || len(st.Keys(store.FinalKey("req-1"))) == 0 {
			t.Error("kept for ever")
		}
	})
}
