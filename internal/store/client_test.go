package store_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// serve answers requests to the key-value store until the server is closed.
func serve(t *testing.T, nw *simulator.Network, service http.Handler) *http.Server {
	l, err := nw.Host("10.2.0.1").Listen("tcp4", simulator.StateAddr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: service}
	go srv.Serve(l) //nolint:errcheck // ends with Close
	return srv
}

// What a caller learns of a call: refused for sure, unknown, or in conflict;
// and a user isn't kept waiting for a service that answers nothing.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		nw, st := simulator.NewNetwork(time.Millisecond), simulator.NewState(12, 16)
		c := newClient(nw)
		if _, err := c.Get(ctx, store.Background, "k"); !errors.Is(err, store.ErrRefused) {
			t.Errorf("no listener: %v", err)
		}
		srv := serve(t, nw, st)
		put := wire.Txn{Guards: []wire.Guard{{Key: "k"}}, Writes: []wire.Write{{Put: "k", Value: wire.Encode(1)}}}
		if _, err := c.Commit(ctx, store.Background, put); err != nil {
			t.Errorf("first put: %v", err)
		}
		var conflict *store.ConflictError
		if _, err := c.Commit(ctx, store.Background, put); !errors.As(err, &conflict) || !conflict.Has("k") {
			t.Errorf("second put: %v", err)
		}
		if _, err := c.Get(ctx, store.Background, "none"); !errors.Is(err, store.ErrMissing) {
			t.Errorf("no such key: %v", err)
		}
		st.Outage(true)
		if _, err := c.Commit(ctx, store.Background, put); !errors.Is(err, store.ErrRefused) || c.Reachable() {
			t.Errorf("outage: %v, reachable %v", err, c.Reachable())
		}
		st.Outage(false)
		st.LoseAnswers(1)
		if _, err := c.Commit(ctx, store.Background, wire.Txn{Writes: []wire.Write{{Delete: "k"}}}); !errors.Is(err, store.ErrUnknown) {
			t.Errorf("answer lost: %v", err)
		}
		if n := st.Keys("k"); len(n) != 0 {
			t.Errorf("the lost change left %v", n)
		}
		nw.Cut("10.0.0.1", "10.2.0.1", true)
		for range 2 {
			c.Get(ctx, store.Critical, "k") //nolint:errcheck // it can't work
		}
		begin := time.Now()
		if _, err := c.Get(ctx, store.User, "k"); !errors.Is(err, store.ErrRefused) || time.Since(begin) > 0 {
			t.Errorf("a user waits %v for a silent service: %v", time.Since(begin), err)
		}
		nw.Cut("10.0.0.1", "10.2.0.1", false)
		c.Get(ctx, store.Critical, "k") //nolint:errcheck // makes it known that the service is back
		if _, err := c.Get(ctx, store.User, "k"); !errors.Is(err, store.ErrMissing) {
			t.Errorf("after the cut: %v", err)
		}
		// The budget refuses users and lets vital calls pass; and what the
		// node's duties write does not shut out its users. (A leader that
		// launched much once refused every submission that came to it.)
		write := func(class store.RequestClass) error {
			_, err := c.Commit(ctx, class, wire.Txn{Writes: []wire.Write{{Put: "x", Value: wire.Encode(1)}}})
			return err
		}
		for range 30 {
			if err := write(store.Critical); err != nil {
				t.Fatalf("vital: %v", err)
			}
		}
		if err := write(store.User); err != nil {
			t.Errorf("a user after many launches: %v", err)
		}
		var last error
		for range 30 {
			last = write(store.User)
		}
		if !errors.Is(last, store.ErrBusy) {
			t.Errorf("over the budget: %v", last)
		}
		nw.Close()
		srv.Close()
		time.Sleep(3 * time.Second)
		nw.Close()
	})
}

// Changes that are too many for one answer are not asked for again and again: who
// follows them reads the keys anew, page by page.
func TestChangesTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, st := simulator.NewNetwork(time.Millisecond), simulator.NewState(12, 16)
		c := newClient(nw)
		stop, err := nw.ServeState(st)
		if err != nil {
			t.Fatal(err)
		}
		st.Put("job/a", 1)
		for range 600 {
			st.Put("job/b", make([]byte, 15<<10))
		}
		if _, err := c.Watch(t.Context(), "job/", 0, time.Second); !errors.Is(err, store.ErrTooOld) {
			t.Errorf("9 MB of changes: %v", err)
		}
		if all, _, err := c.List(t.Context(), store.Background, "job/"); err != nil || len(all) != 2 {
			t.Errorf("read anew: %d keys, %v", len(all), err)
		}
		stop()
	})
}
