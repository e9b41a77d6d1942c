package store_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// serve runs a server for requests to the key-value store until it is closed.
func serve(t *testing.T, nw *simulator.Network, handler http.Handler) *http.Server {
	l, err := nw.Host("10.2.0.1").Listen("tcp4", simulator.KVStoreAddr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: handler}
	go srv.Serve(l) //nolint:errcheck // ends with Close
	return srv
}

// withStore runs f in virtual time with a client of the simulated key-value store. The store
// accepts connections once f calls listen.
func withStore(t *testing.T, f func(t *testing.T, env *storeEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		env := &storeEnv{network: nw, kvStore: simulator.NewKVStore(12, 16), client: newClient(nw)}
		f(t, env)
		nw.Close()
		if env.server != nil {
			env.server.Close()
		}
		time.Sleep(3 * time.Second)
		nw.Close()
	})
}

// storeEnv is a client with its key-value store and the network between them.
type storeEnv struct {
	network *simulator.Network
	kvStore *simulator.KVStore
	client  *store.Client
	server  *http.Server
}

func (e *storeEnv) listen(t *testing.T) { e.server = serve(t, e.network, e.kvStore) }

// cut breaks or restores the link between the client and the key-value store.
func (e *storeEnv) cut(isCut bool) { e.network.Cut("10.0.0.1", "10.2.0.1", isCut) }

// A caller must be able to tell a request that was certainly refused from one with an unknown
// outcome, and both from one that conflicts with the stored data.
func TestRequestErrorIdentifiesOutcome(t *testing.T) {
	withStore(t, func(t *testing.T, env *storeEnv) {
		ctx, c, kvStore := t.Context(), env.client, env.kvStore
		if _, err := c.Get(ctx, store.ClassBackground, "k"); !errors.Is(err, store.ErrRefused) {
			t.Errorf("no listener: got %v, want %v", err, store.ErrRefused)
		}
		env.listen(t)
		put := wire.Txn{Guards: []wire.Guard{{Key: "k"}}, Writes: []wire.Write{{PutKey: "k", Value: wire.Encode(1)}}}
		if _, err := c.Commit(ctx, store.ClassBackground, put); err != nil {
			t.Errorf("first put: got %v, want no error", err)
		}
		var conflict *store.ConflictError
		if _, err := c.Commit(ctx, store.ClassBackground, put); !errors.As(err, &conflict) || !conflict.HasKey("k") {
			t.Errorf("second put: got %v, want a conflict on k", err)
		}
		if _, err := c.Get(ctx, store.ClassBackground, "none"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("no such key: got %v, want %v", err, store.ErrNotFound)
		}
		kvStore.SetOutage(true)
		if _, err := c.Commit(ctx, store.ClassBackground, put); !errors.Is(err, store.ErrRefused) || c.Reachable() {
			t.Errorf("outage: got %v, reachable %v, want %v, false", err, c.Reachable(), store.ErrRefused)
		}
		kvStore.SetOutage(false)
		kvStore.LoseResponses(1)
		if _, err := c.Commit(ctx, store.ClassBackground, wire.Txn{Writes: []wire.Write{{DeleteKey: "k"}}}); !errors.Is(err, store.ErrOutcomeUnknown) {
			t.Errorf("response lost: got %v, want %v", err, store.ErrOutcomeUnknown)
		}
		if keys := kvStore.Keys("k"); len(keys) != 0 {
			t.Errorf("deletion with the response lost: got keys %v, want none", keys)
		}
	})
}

// A user isn't kept waiting for a store that does not respond.
func TestUserIsRefusedAtOnceInOutage(t *testing.T) {
	withStore(t, func(t *testing.T, env *storeEnv) {
		ctx, c := t.Context(), env.client
		env.listen(t)
		if _, err := c.Get(ctx, store.ClassUser, "k"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("before the cut: got %v, want %v", err, store.ErrNotFound)
		}
		env.cut(true)
		for range 2 {
			c.Get(ctx, store.ClassCritical, "k") //nolint:errcheck // fails, as the store is cut off
		}
		begin := time.Now()
		if _, err := c.Get(ctx, store.ClassUser, "k"); !errors.Is(err, store.ErrRefused) || time.Since(begin) > 0 {
			t.Errorf("store cut off: got %v after %v, want %v at once", err, time.Since(begin), store.ErrRefused)
		}
		env.cut(false)
		c.Get(ctx, store.ClassCritical, "k") //nolint:errcheck // shows the client that the store is back
		if _, err := c.Get(ctx, store.ClassUser, "k"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("after the cut: got %v, want %v", err, store.ErrNotFound)
		}
	})
}

// A budget that is used up refuses users and lets critical requests pass. The writes of the
// node itself don't count against its users: otherwise a leader that launches many tasks
// refuses every submission that comes to it.
func TestBudgetRefusesUsersOnly(t *testing.T) {
	withStore(t, func(t *testing.T, env *storeEnv) {
		env.listen(t)
		write := func(class store.RequestClass) error {
			_, err := env.client.Commit(t.Context(), class, wire.Txn{Writes: []wire.Write{{PutKey: "x", Value: wire.Encode(1)}}})
			return err
		}
		for range 30 {
			if err := write(store.ClassCritical); err != nil {
				t.Fatalf("critical: got %v, want no error", err)
			}
		}
		if err := write(store.ClassUser); err != nil {
			t.Errorf("user after many launches: got %v, want no error", err)
		}
		var lastErr error
		for range 30 {
			lastErr = write(store.ClassUser)
		}
		if !errors.Is(lastErr, store.ErrRateLimited) {
			t.Errorf("user over the budget: got %v, want %v", lastErr, store.ErrRateLimited)
		}
	})
}

// A watch whose changes are too large for one response must not be repeated for ever. It fails
// with ErrCompacted, and the caller lists the keys page by page instead.
func TestWatchWithOversizedResponseFailsAsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, kvStore := simulator.NewNetwork(time.Millisecond), simulator.NewKVStore(12, 16)
		c := newClient(nw)
		stop, err := nw.ServeKVStore(kvStore)
		if err != nil {
			t.Fatal(err)
		}
		kvStore.Put("job/a", 1)
		for range 600 {
			kvStore.Put("job/b", make([]byte, 15<<10))
		}
		if _, err := c.Watch(t.Context(), "job/", 0, time.Second); !errors.Is(err, store.ErrCompacted) {
			t.Errorf("9 MB of changes: got %v, want %v", err, store.ErrCompacted)
		}
		if entries, _, err := c.List(t.Context(), store.ClassBackground, "job/"); err != nil || len(entries) != 2 {
			t.Errorf("list: got %d keys, %v, want 2", len(entries), err)
		}
		stop()
	})
}
