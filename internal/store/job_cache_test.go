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

// cacheEnv is a job cache with the key-value store and the network beneath it.
type cacheEnv struct {
	network *simulator.Network
	state   *simulator.KVStore
	client  *store.Client
	cache   *store.JobCache
}

// withCache runs f in virtual time with a cache under so many requests per second.
func withCache(t *testing.T, rps float64, f func(ctx context.Context, t *testing.T, env cacheEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env := cacheEnv{network: simulator.NewNetwork(time.Millisecond), state: simulator.NewKVStore(12, 16)}
		server := serve(t, env.network, env.state)
		env.client = store.New(simulator.KVStoreAddr, config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}, 1, env.network.Host("10.0.0.1"))
		env.cache = store.NewJobCache(env.client, cancels.New(nil, time.Minute), rps, 1)
		var running sync.WaitGroup
		running.Go(func() { env.cache.Run(ctx) })
		f(ctx, t, env)
		cancel()
		running.Wait()
		env.network.Close()
		server.Close()
		time.Sleep(5 * time.Second)
		env.network.Close()
	})
}

// The cache against the plain model, a map: whatever was written before a
// request is in its answer; requests that come together share a refresh; and
// with the service away they are refused soon.
func TestCacheIsNeverStale(t *testing.T) {
	withCache(t, 40, func(ctx context.Context, t *testing.T, env cacheEnv) { // a refresh every tenth of a second at most
		network, state, client, cache := env.network, env.state, env.client, env.cache
		var calls sync.Map
		client.Observe = func(string, string, time.Duration) {
			calls.Store(time.Now().UnixNano()+int64(rand.Uint32()%1000), true)
		}

		model := map[wire.JobID]wire.Status{}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 800 {
			id := wire.JobID("req-" + strconv.Itoa(rng.IntN(12)))
			switch _, live := model[id]; {
			case !live:
				model[id] = wire.StatusQueued
				state.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: wire.StatusQueued})
			case rng.IntN(2) == 0:
				model[id] = wire.StatusCancelled
				state.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: wire.StatusCancelled})
			default:
				delete(model, id)
				if _, err := client.Commit(ctx, store.ClassCritical, wire.Txn{Writes: []wire.Write{{DeleteKey: store.JobKey(id)}}}); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(2) == 0 {
				continue // several changes of a key may come with one refresh
			}
			ask := wire.JobID("req-" + strconv.Itoa(rng.IntN(12)))
			got, err := cache.Get(ctx, ask)
			want, live := model[ask]
			if live && (err != nil || got.Status != want) || !live && !errors.Is(err, store.ErrNotFound) {
				t.Fatalf("%s: got %v %v, want %v, live %v", ask, got, err, want, live)
			}
		}

		count := func() (n int) {
			calls.Range(func(any, any) bool { n++; return true })
			return
		}
		before := count()
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() { cache.Get(ctx, "req-1") }) //nolint:errcheck // only counted
		}
		wg.Wait()
		if n := count() - before; n > 2 {
			t.Errorf("30 polls at a time: got %d requests, want at most 2", n)
		}
		network.Cut("10.0.0.1", "10.2.0.1", true)
		begin := time.Now()
		if _, err := cache.Get(ctx, "req-1"); err == nil || errors.Is(err, store.ErrNotFound) || time.Since(begin) > 1500*time.Millisecond {
			t.Errorf("service cut off: got %v after %v, want a refusal within 1.5s", err, time.Since(begin))
		}
	})
}

// A list of several pages is older at its beginning than at its end: what changes
// meanwhile on a page that was read already must be seen by the next refresh.
func TestCacheListedWhileJobsChange(t *testing.T) {
	withCache(t, 1000, func(ctx context.Context, t *testing.T, env cacheEnv) {
		state, cache := env.state, env.cache
		put := func(id wire.JobID, s wire.Status) {
			state.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: s})
		}
		for _, id := range []wire.JobID{"req-1", "req-2", "req-3", "req-4", "req-5"} {
			put(id, wire.StatusQueued)
		}
		state.LimitHistory(0, 2)
		pages := 0
		state.DelayLists(func() time.Duration {
			if pages++; pages == 1 {
				put("req-1", wire.StatusCancelled) // listed already
				put("req-3", wire.StatusCancelled) // not yet
				state.Delete(store.JobKey("req-2"))
				state.Delete(store.JobKey("req-4"))
				return 50 * time.Millisecond
			}
			return 0
		})
		if got, err := cache.Get(ctx, "req-5"); err != nil || got.Status != wire.StatusQueued || pages != 2 {
			t.Errorf("req-5: got %v %v after %d pages, want %q after 2", got, err, pages, wire.StatusQueued)
		}
		for id, want := range map[wire.JobID]wire.Status{"req-1": wire.StatusCancelled, "req-2": "", "req-3": wire.StatusCancelled, "req-4": "", "req-5": wire.StatusQueued} {
			got, err := cache.Get(ctx, id)
			if got.Status != want || errors.Is(err, store.ErrNotFound) != (want == "") {
				t.Errorf("%s: got %v %v, want %q", id, got, err, want)
			}
		}
	})
}

// The simulated service keeps or drops the changes of a revision together: where one of them is no
// longer kept, the cache must be told to list. (It once was given the rest, and
// took a job that had ended for a live one.)
func TestCacheAfterCompaction(t *testing.T) {
	withCache(t, 1000, func(ctx context.Context, t *testing.T, env cacheEnv) {
		state, client, cache := env.state, env.client, env.cache
		state.LimitHistory(2, 0)
		state.Put(store.JobKey("req-1"), store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Tasks: 1}, Status: wire.StatusQueued})
		if got, err := cache.Get(ctx, "req-1"); err != nil || got.Status != wire.StatusQueued {
			t.Errorf("live job: got %v %v, want %q", got, err, wire.StatusQueued)
		}
		if _, err := client.Commit(ctx, store.ClassCritical, wire.Txn{Writes: []wire.Write{{DeleteKey: store.JobKey("req-1")},
			{PutKey: store.FinalKey("req-1"), Value: wire.Encode(store.FinalRecord{Status: wire.StatusDone})}, {DeleteKey: store.ChunkKey("req-1", 0)}}}); err != nil {
			t.Fatal(err)
		}
		if got, err := cache.Get(ctx, "req-1"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("ended job: got %v %v, want %v", got, err, store.ErrNotFound)
		}
	})
}
