package progress

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// testToken is the fencing token of the term under test.
const testToken wire.FencingToken = 50

// newTestWriter returns a writer with at most maxOps writes in a transaction and a rate limit
// that allows remainingWrites writes.
func newTestWriter(maxOps, remainingWrites int) *Writer {
	settings := &config.Settings{State: config.StoreLimits{ValueKB: 16, TxnOps: maxOps}}
	state := cluster.NewState(settings, &cluster.MachineCatalog{}, time.Now(), testToken)
	return NewWriter(state, func() float64 { return float64(remainingWrites) }, slog.New(slog.DiscardHandler))
}

// newTestJob returns a job array that was accepted just now.
func newTestJob(id wire.JobID, priority wire.Priority, tasks int) *cluster.Job {
	spec := wire.JobSpec{ID: id, Team: "red", Kind: wire.KindArray, Tasks: tasks, CPUs: 1, Priority: priority}
	return cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
}

// addRoutineChunk adds a changed chunk without launches, the only one of a new job.
func addRoutineChunk(w *Writer, id wire.JobID) *cluster.Chunk {
	c := newTestJob(id, wire.PriorityStandard, 1).Chunk(0)
	w.state.UnsavedChanges.MarkDirty(c)
	return c
}

// addLaunchChunk adds a changed chunk, the only one of a new job, with an attempt that is
// not stored yet.
func addLaunchChunk(w *Writer, id wire.JobID, priority wire.Priority) *cluster.Chunk {
	j := newTestJob(id, priority, 1)
	c := j.Chunk(0)
	m := &cluster.Machine{ID: "n-1", Attempts: map[wire.TaskID]*cluster.Attempt{}}
	c.AddAttempt(&cluster.Attempt{Job: j, Chunk: c, Machine: m, Unstored: true})
	c.UnstoredAttempts, j.UnstoredAttempts = 1, 1
	w.state.UnsavedChanges.MarkDirty(c)
	return c
}

// describe returns the IDs of the jobs of a batch's chunks, and whether the batch is urgent.
func describe(b *batch) string {
	if b == nil {
		return "nothing"
	}
	ids := []wire.JobID{}
	for _, c := range b.chunks {
		ids = append(ids, c.Job.Spec.ID)
	}
	return fmt.Sprint(ids, " ", b.urgent)
}

// mustSelect checks that a transaction may be sent and that the next batch is as described. It
// returns the batch.
func mustSelect(t *testing.T, w *Writer, want string) *batch {
	t.Helper()
	if !w.ready(time.Now()) {
		t.Fatal("ready: got false, want true")
	}
	b := w.nextBatch(testToken, time.Now())
	if got := describe(b); got != want {
		t.Errorf("next batch: got %s, want %s", got, want)
	}
	return b
}

// commit makes the writer process the commit of a batch.
func commit(w *Writer, b *batch) {
	for _, a := range b.launches {
		a.MarkStored()
	}
	w.onRequestEnded()
	w.onCommitted(b, 7)
}

// Launches are written before routine changes, ordered by priority. Routine writes use what is
// left of the write budget, once per routineWriteInterval. After maxRoutineWriteDelay they
// exceed the budget. What a transaction has no room for waits for the next one, and no
// transaction is sent while another is in flight.
func TestLaunchesAreWrittenBeforeRoutineChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		w := newTestWriter(2, 1)
		addRoutineChunk(w, "routine-1")
		time.Sleep(time.Millisecond)
		addRoutineChunk(w, "routine-2")
		earlier := addLaunchChunk(w, "batch", wire.PriorityStandard)
		earlier.Job.AcceptedAt = earlier.Job.AcceptedAt.Add(-time.Second)
		addLaunchChunk(w, "prod", wire.PriorityProd)
		b := mustSelect(t, w, "[prod batch] true")
		if got, want := b.txn.Guards[0], (wire.Guard{Key: store.LeaderKey, Revision: wire.Revision(testToken)}); got != want {
			t.Errorf("first guard: got %+v, want %+v", got, want)
		}
		if w.ready(time.Now()) {
			t.Error("ready with a transaction in flight: got true, want false")
		}
		commit(w, b)
		time.Sleep(routineWriteInterval + time.Millisecond)
		commit(w, mustSelect(t, w, "[routine-1] false"))
		mustSelect(t, w, "nothing") // routineWriteInterval has not passed
		w.remainingWrites = func() float64 { return 0 }
		time.Sleep(routineWriteInterval + time.Millisecond)
		mustSelect(t, w, "nothing") // no write budget is left
		time.Sleep(maxRoutineWriteDelay)
		commit(w, mustSelect(t, w, "[routine-2] true"))
	})
}

func TestRevertedTransactionIsRetriedBeforeOrphansAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		w := newTestWriter(2, 0)
		w.AddOrphan(wire.Guard{Key: "run/old/0", Revision: 3})
		c := addLaunchChunk(w, "late", wire.PriorityStandard)
		b := mustSelect(t, w, "[late] true")
		w.onRequestEnded()
		w.revert(b)
		w.retryLater(time.Now())
		if ready := w.ready(time.Now()); ready || !c.Dirty || c.WriteInFlight {
			t.Errorf("after a transaction that was not executed: got ready %v, dirty %v, in flight %v, want false, true, false", ready, c.Dirty, c.WriteInFlight)
		}
		time.Sleep(writeRetryPause)
		commit(w, mustSelect(t, w, "[late] true"))
		if b = mustSelect(t, w, "[] false"); len(b.orphans) != 1 || len(w.Orphans) != 0 {
			t.Errorf("orphans: got %v in the transaction, %v waiting, want one, none", b.orphans, w.Orphans)
		}
	})
}

// After a transaction of several records is rejected, each record is written in a transaction
// of its own. The record that is rejected again is held back, and the others are stored.
func TestInvalidRecordIsHeldBackAndOthersAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		w := newTestWriter(12, 100)
		rejected := addLaunchChunk(w, "bad", wire.PriorityStandard)
		for _, id := range []wire.JobID{"good-1", "good-2"} {
			addLaunchChunk(w, id, wire.PriorityStandard)
		}
		stored := map[wire.JobID]bool{}
		rejectedAlone := false
		var rejectedAt time.Time
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			b := w.nextBatch(testToken, time.Now())
			if b == nil {
				continue
			}
			w.onRequestEnded()
			if !slices.Contains(b.chunks, rejected) {
				w.onCommitted(b, 7)
				for _, c := range b.chunks {
					stored[c.Job.Spec.ID] = true
				}
				continue
			}
			if age := time.Since(rejectedAt); !rejectedAt.IsZero() && age < rejectedRecordPause {
				t.Fatalf("rejected record: got another write after %v, want none for %v", age, rejectedRecordPause)
			}
			w.revert(b)
			if w.onRejected(b, time.Now()) {
				rejectedAlone, rejectedAt = len(b.chunks) == 1, time.Now()
			}
		}
		if !rejectedAlone || len(stored) != 2 || w.ValueLimitLowered {
			t.Errorf("after rejections: got rejected alone %v, stored %v, limit lowered %v, want true, two jobs, false", rejectedAlone, stored, w.ValueLimitLowered)
		}
		if !w.AllStored(time.Now(), time.Now()) {
			t.Error("AllStored with only the rejected record unsaved: got false, want true")
		}
	})
}

func TestRejectedChunkBetweenTheLimitsShowsThatTheLimitWasLowered(t *testing.T) {
	cases := []struct {
		name                 string
		chunks               int
		largestValueBytes    int
		lowered              bool
		wantHeldBack         bool
		wantLowered          bool
		wantSingleRecordTxns int
	}{
		{name: "between the limits", chunks: 1, largestValueBytes: 3 << 10, wantLowered: true},
		{name: "within the next limit", chunks: 1, largestValueBytes: 2 << 10, wantHeldBack: true},
		{name: "over the former limit", chunks: 1, largestValueBytes: 16<<10 + 1, wantHeldBack: true},
		{name: "already lowered", chunks: 1, largestValueBytes: 3 << 10, lowered: true, wantHeldBack: true, wantLowered: true},
		{name: "beside another record", chunks: 2, largestValueBytes: 3 << 10, wantSingleRecordTxns: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestWriter(12, 100)
			w.state.Settings.State.Next = &config.NextStoreLimits{ValueKB: 2, TxnOps: 4}
			w.ValueLimitLowered = c.lowered
			b := newBatch(testToken, 12, false)
			b.largestValueBytes = c.largestValueBytes
			for i := range c.chunks {
				b.chunks = append(b.chunks, addRoutineChunk(w, wire.JobID(fmt.Sprint("req-", i))))
			}
			heldBack := w.onRejected(b, time.Now())
			if heldBack != c.wantHeldBack || w.ValueLimitLowered != c.wantLowered {
				t.Errorf("rejected transaction: got held back %v, limit lowered %v, want %v, %v", heldBack, w.ValueLimitLowered, c.wantHeldBack, c.wantLowered)
			}
			if got := w.singleRecordTxns; got != c.wantSingleRecordTxns {
				t.Errorf("transactions with a single record: got %d, want %d", got, c.wantSingleRecordTxns)
			}
		})
	}
}

func TestWriterIsNotReadyUntilAnUnknownOutcomeIsRead(t *testing.T) {
	w := newTestWriter(12, 100)
	addLaunchChunk(w, "req-1", wire.PriorityStandard)
	w.nextBatch(testToken, time.Now())
	steps := []struct {
		name string
		step func()
		want bool
	}{
		{"in flight", func() {}, false},
		{"answered, outcome unknown", func() { w.onRequestEnded(); w.awaitOutcome() }, false},
		{"outcome read", w.onOutcomeRead, true},
	}
	for _, s := range steps {
		s.step()
		if got := w.ready(time.Now()); got != s.want {
			t.Errorf("%s: got ready %v, want %v", s.name, got, s.want)
		}
	}
}

func TestSubchunksAreOfEqualSizeWithinMaxTasks(t *testing.T) {
	for _, c := range []struct{ tasksPerChunk, maxTasks, want int }{{256, 256, 1}, {256, 100, 4}, {256, 56, 8}, {7, 3, 7}, {200, 60, 4}} {
		if got := subchunksPerChunk(c.tasksPerChunk, c.maxTasks); got != c.want {
			t.Errorf("sub-chunks of %d tasks with at most %d: got %d, want %d", c.tasksPerChunk, c.maxTasks, got, c.want)
		}
	}
}
