package store_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// rig is a cache that a node asks, with the state service and network beneath it.
type rig struct {
	nw *simulator.Network
	st *simulator.State
	c  *store.Client
	y  *store.JobCache
}

// withCache runs f in virtual time with a cache for so many requests a second.
func withCache(t *testing.T, rps float64, f func(t *testing.T, ctx context.Context, r rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := rig{nw: simulator.NewNetwork(time.Millisecond), st: simulator.NewState(12, 16)}
		srv := serve(t, r.nw, r.st)
		r.c = store.New(simulator.StateAddr, config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}, 1, r.nw.Host("10.0.0.1"))
		r.y = store.NewJobCache(r.c, cancels.New(nil, time.Minute), rps, 1)
		go r.y.Run(ctx)
		f(t, ctx, r)
		cancel()
		r.nw.Close()
		srv.Close()
		time.Sleep(5 * time.Second)
		r.nw.Close()
	})
}

// The cache against the plain model, a map: whatever was written before a
// question is in its answer; questions that come together share a refresh; and
// with the service away they are refused soon.
func TestCacheIsNeverStale(t *testing.T) {
	withCache(t, 40, func(t *testing.T, ctx context.Context, r rig) { // a refresh every tenth of a second at most
		nw, st, c, y := r.nw, r.st, r.c, r.y
		var calls sync.Map
		c.Observe = func(string, string, time.Duration) {
			calls.Store(time.Now().UnixNano()+int64(rand.Uint32()%1000), true)
		}

		model := map[wire.JobID]wire.Status{}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 800 {
			id := wire.JobID("req-" + strconv.Itoa(rng.IntN(12)))
			switch _, live := model[id]; {
			case !live:
				model[id] = wire.Queued
				st.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: wire.Queued})
			case rng.IntN(2) == 0:
				model[id] = wire.Cancelled
				st.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: wire.Cancelled})
			default:
				delete(model, id)
				if _, err := c.Commit(ctx, store.Critical, wire.Txn{Writes: []wire.Write{{Delete: store.JobKey(id)}}}); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(2) == 0 {
				continue // several changes of a key may come with one refresh
			}
			ask := wire.JobID("req-" + strconv.Itoa(rng.IntN(12)))
			got, err := y.Get(ctx, ask)
			want, live := model[ask]
			if live && (err != nil || got.Status != want) || !live && !errors.Is(err, store.ErrMissing) {
				t.Fatalf("%s: %v %v, want %v %v", ask, got, err, want, live)
			}
		}

		count := func() (n int) {
			calls.Range(func(any, any) bool { n++; return true })
			return
		}
		before := count()
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() { y.Get(ctx, "req-1") }) //nolint:errcheck // only counted
		}
		wg.Wait()
		if n := count() - before; n > 2 {
			t.Errorf("30 questions at a time cost %d requests", n)
		}
		nw.Cut("10.0.0.1", "10.2.0.1", true)
		begin := time.Now()
		if _, err := y.Get(ctx, "req-1"); err == nil || errors.Is(err, store.ErrMissing) || time.Since(begin) > 1500*time.Millisecond {
			t.Errorf("with the service away: %v after %v", err, time.Since(begin))
		}
	})
}

// A list of several pages is older at its beginning than at its end: what changes
// meanwhile on a page that was read already must be seen by the next refresh.
func TestCacheListedWhileJobsChange(t *testing.T) {
	withCache(t, 1000, func(t *testing.T, ctx context.Context, r rig) {
		st, y := r.st, r.y
		put := func(id wire.JobID, s wire.Status) {
			st.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: s})
		}
		for _, id := range []wire.JobID{"req-1", "req-2", "req-3", "req-4", "req-5"} {
			put(id, wire.Queued)
		}
		st.LimitHistory(0, 2)
		pages := 0
		st.DelayLists(func() time.Duration {
			if pages++; pages == 1 {
				put("req-1", wire.Cancelled) // listed already
				put("req-3", wire.Cancelled) // not yet
				st.Delete(store.JobKey("req-2"))
				st.Delete(store.JobKey("req-4"))
				return 50 * time.Millisecond
			}
			return 0
		})
		if got, err := y.Get(ctx, "req-5"); err != nil || got.Status != wire.Queued || pages != 2 {
			t.Errorf("req-5: %v %v after %d pages", got, err, pages)
		}
		for id, want := range map[wire.JobID]wire.Status{"req-1": wire.Cancelled, "req-2": "", "req-3": wire.Cancelled, "req-4": "", "req-5": wire.Queued} {
			got, err := y.Get(ctx, id)
			if got.Status != want || errors.Is(err, store.ErrMissing) != (want == "") {
				t.Errorf("%s: %v %v, want %q", id, got, err, want)
			}
		}
	})
}

// The simulated service keeps the changes of a revision whole: where one of them is no
// longer kept, the cache must be told to list. (It once was given the rest, and
// took a job that had ended for a live one.)
func TestCacheAfterCompaction(t *testing.T) {
	withCache(t, 1000, func(t *testing.T, ctx context.Context, r rig) {
		st, c, y := r.st, r.c, r.y
		st.LimitHistory(2, 0)
		st.Put(store.JobKey("req-1"), store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Tasks: 1}, Status: wire.Queued})
		if got, err := y.Get(ctx, "req-1"); err != nil || got.Status != wire.Queued {
			t.Errorf("%v %v", got, err)
		}
		if _, err := c.Commit(ctx, store.Critical, wire.Txn{Writes: []wire.Write{{Delete: store.JobKey("req-1")},
			{Put: store.FinalKey("req-1"), Value: wire.Encode(store.FinalRecord{Status: wire.Done})}, {Delete: store.ChunkKey("req-1", 0)}}}); err != nil {
			t.Fatal(err)
		}
		if got, err := y.Get(ctx, "req-1"); !errors.Is(err, store.ErrMissing) {
			t.Errorf("%v %v", got, err)
		}
	})
}
