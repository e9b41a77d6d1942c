package progress

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// testWriter is a writer whose rate limit leaves so many changes.
func testWriter(maxOps, budget int) *Writer {
	settings := &config.Settings{State: config.State{ValueKB: 16, TxnOps: maxOps}}
	state := cluster.NewState(settings, &cluster.MachineCatalog{}, time.Now(), 50)
	return NewWriter(state, func() float64 { return float64(budget) }, slog.New(slog.DiscardHandler))
}

// pendingChunk is the only chunk of a job, with a start that is not stored yet if
// it launches.
func pendingChunk(w *Writer, id string, priority wire.Priority, launches bool) *cluster.Chunk {
	spec := wire.JobSpec{ID: wire.JobID(id), Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1, Priority: priority}
	j := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
	c := j.Chunk(0)
	if launches {
		c.Add(&cluster.Attempt{Job: j, Chunk: c, Machine: &cluster.Machine{ID: "n-1", Tasks: map[wire.Task]*cluster.Attempt{}}, Unstored: true})
		c.UnstoredAttempts, j.UnstoredAttempts = 1, 1
	}
	w.state.Unsaved.MarkDirty(c)
	return c
}

// writes lists the jobs of a batch's chunks.
func writes(b *batch) string {
	if b == nil {
		return "nothing"
	}
	ids := []wire.JobID{}
	for _, c := range b.chunks {
		ids = append(ids, c.Job.Spec.ID)
	}
	return fmt.Sprint(ids, " ", b.urgent)
}

// Launches go before routine writes, by priority; routine writes take what the
// budget has left, at their own pace, and go at its expense when they have waited
// long; what a transaction has no room for waits for the next, and nothing goes out
// while one is under way.
func TestOrderOfWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		w := testWriter(2, 1)
		next := func(want string) *batch {
			t.Helper()
			if !w.ready(time.Now()) {
				t.Fatal("not ready")
			}
			b := w.nextBatch(50, time.Now())
			if got := writes(b); got != want {
				t.Errorf("writes %s, want %s", got, want)
			}
			return b
		}
		done := func(b *batch) {
			for _, a := range b.launches {
				a.Unstored = false
				a.Chunk.UnstoredAttempts, a.Job.UnstoredAttempts = 0, 0
			}
			w.onAnswer()
			w.onCommitted(b, 7)
		}
		pendingChunk(w, "routine-1", wire.PriorityStandard, false)
		time.Sleep(time.Millisecond)
		pendingChunk(w, "routine-2", wire.PriorityStandard, false)
		earlier := pendingChunk(w, "batch", wire.PriorityStandard, true)
		earlier.Job.AcceptedAt = earlier.Job.AcceptedAt.Add(-time.Second)
		pendingChunk(w, "prod", wire.PriorityProd, true)
		b := next("[prod batch] true")
		if g := b.txn.Guards[0]; g != (wire.Guard{Key: store.LeaderKey, Revision: 50}) {
			t.Errorf("the first guard is %+v", g)
		}
		if w.ready(time.Now()) {
			t.Error("ready while a transaction is under way")
		}
		done(b)
		time.Sleep(routineWriteInterval + time.Millisecond)
		done(next("[routine-1] false"))
		next("nothing") // too soon
		w.remainingWrites = func() float64 { return 0 }
		time.Sleep(routineWriteInterval + time.Millisecond)
		next("nothing") // no budget
		time.Sleep(maxRoutineWriteDelay)
		done(next("[routine-2] true"))
		w.AddOrphan(wire.Guard{Key: "run/old/0", Revision: 3})
		c := pendingChunk(w, "late", wire.PriorityStandard, true)
		b = next("[late] true")
		w.onAnswer()
		w.revert(b)
		w.retryLater(time.Now())
		if w.ready(time.Now()) || !c.Dirty || c.WriteInFlight {
			t.Errorf("after a transaction that was not executed: ready %v, %+v", w.ready(time.Now()), c)
		}
		time.Sleep(writeRetryPause)
		done(next("[late] true"))
		if b = next("[] false"); len(b.orphans) != 1 || len(w.Orphans) != 0 {
			t.Errorf("left over: %v in the transaction, %v waiting", b.orphans, w.Orphans)
		}
	})
}

// Of records that are refused together each is tried by itself; the one that is
// refused then is left alone for a while, and the others are stored.
func TestRefusedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		w := testWriter(12, 100)
		bad := pendingChunk(w, "bad", wire.PriorityStandard, true)
		for _, id := range []string{"good-1", "good-2"} {
			pendingChunk(w, id, wire.PriorityStandard, true)
		}
		stored, alone := map[wire.JobID]bool{}, false
		refusedAt := time.Time{}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			b := w.nextBatch(50, time.Now())
			if b == nil {
				continue
			}
			w.onAnswer()
			refused := false
			for _, c := range b.chunks {
				refused = refused || c == bad
			}
			if !refused {
				w.onCommitted(b, 7)
				for _, c := range b.chunks {
					stored[c.Job.Spec.ID] = true
				}
				continue
			}
			if !refusedAt.IsZero() && time.Since(refusedAt) < rejectedRecordPause {
				t.Fatalf("tried again after %v", time.Since(refusedAt))
			}
			w.revert(b)
			if w.onRejected(b, time.Now()) {
				alone, refusedAt = len(b.chunks) == 1, time.Now()
			}
		}
		if !alone || len(stored) != 2 || w.ValueLimitLowered {
			t.Errorf("refused by itself: %v, stored %v, limit lowered: %v", alone, stored, w.ValueLimitLowered)
		}
		if w.AllStored(time.Now(), time.Now()) != true {
			t.Error("a record that is left alone keeps machines")
		}
	})
}
