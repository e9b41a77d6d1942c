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

// cacheEnv is a job cache with its key-value store and the network between them.
type cacheEnv struct {
	network *simulator.Network
	kvStore *simulator.KVStore
	client  *store.Client
	cache   *store.JobCache
}

// withCache runs f in virtual time with a cache under a limit of rps requests per second.
func withCache(t *testing.T, rps float64, f func(ctx context.Context, t *testing.T, env cacheEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env := cacheEnv{network: simulator.NewNetwork(time.Millisecond), kvStore: simulator.NewKVStore(12, 16)}
		server := serve(t, env.network, env.kvStore)
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

// Get must return everything that was written before the call; the model is a map. Concurrent
// calls must share a refresh, and while the store is cut off a call must fail soon.
func TestCacheIsNeverStale(t *testing.T) {
	withCache(t, 40, func(ctx context.Context, t *testing.T, env cacheEnv) { // at most one refresh every tenth of a second
		network, kvStore, client, cache := env.network, env.kvStore, env.client, env.cache
		var requests sync.Map
		client.Observe = func(string, string, time.Duration) {
			requests.Store(time.Now().UnixNano()+int64(rand.Uint32()%1000), true)
		}

		model := map[wire.JobID]wire.Status{}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 800 {
			id := wire.JobID("req-" + strconv.Itoa(rng.IntN(12)))
			switch _, live := model[id]; {
			case !live:
				model[id] = wire.StatusQueued
				kvStore.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: wire.StatusQueued})
			case rng.IntN(2) == 0:
				model[id] = wire.StatusCancelled
				kvStore.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: wire.StatusCancelled})
			default:
				delete(model, id)
				if _, err := client.Commit(ctx, store.ClassCritical, wire.Txn{Writes: []wire.Write{{DeleteKey: store.JobKey(id)}}}); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(2) == 0 {
				continue // so that one refresh may get several changes of a key
			}
			asked := wire.JobID("req-" + strconv.Itoa(rng.IntN(12)))
			got, err := cache.Get(ctx, asked)
			want, live := model[asked]
			if live && (err != nil || got.Status != want) || !live && !errors.Is(err, store.ErrNotFound) {
				t.Fatalf("Get of %s: got %v %v, want %v, live %v", asked, got, err, want, live)
			}
		}

		countRequests := func() (n int) {
			requests.Range(func(any, any) bool { n++; return true })
			return
		}
		before := countRequests()
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() { cache.Get(ctx, "req-1") }) //nolint:errcheck // only counted
		}
		wg.Wait()
		if n := countRequests() - before; n > 2 {
			t.Errorf("30 polls at a time: got %d requests, want at most 2", n)
		}
		network.Cut("10.0.0.1", "10.2.0.1", true)
		begin := time.Now()
		if _, err := cache.Get(ctx, "req-1"); err == nil || errors.Is(err, store.ErrNotFound) || time.Since(begin) > 1500*time.Millisecond {
			t.Errorf("store cut off: got %v after %v, want a refusal within 1.5s", err, time.Since(begin))
		}
	})
}

// The first page of a list is older than the last. If a job on a page that was read already
// changes meanwhile, the next refresh must see the change.
func TestCacheSeesChangesMadeWhileItLists(t *testing.T) {
	withCache(t, 1000, func(ctx context.Context, t *testing.T, env cacheEnv) {
		kvStore, cache := env.kvStore, env.cache
		put := func(id wire.JobID, status wire.Status) {
			kvStore.Put(store.JobKey(id), store.JobRecord{Spec: wire.JobSpec{ID: id, Tasks: 1}, Status: status})
		}
		for _, id := range []wire.JobID{"req-1", "req-2", "req-3", "req-4", "req-5"} {
			put(id, wire.StatusQueued)
		}
		kvStore.LimitHistory(0, 2)
		pages := 0
		kvStore.DelayLists(func() time.Duration {
			if pages++; pages == 1 {
				put("req-1", wire.StatusCancelled) // on the first page, which was read already
				put("req-3", wire.StatusCancelled) // on a later page
				kvStore.Delete(store.JobKey("req-2"))
				kvStore.Delete(store.JobKey("req-4"))
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

// The simulated store keeps or drops all changes of one revision together. If one of them is
// dropped, it must tell the cache to list the jobs: a cache that gets only the others takes a
// job that has ended for a live one.
func TestCacheListsJobsAfterCompaction(t *testing.T) {
	withCache(t, 1000, func(ctx context.Context, t *testing.T, env cacheEnv) {
		kvStore, client, cache := env.kvStore, env.client, env.cache
		kvStore.LimitHistory(2, 0)
		kvStore.Put(store.JobKey("req-1"), store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Tasks: 1}, Status: wire.StatusQueued})
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
