package lilaclead

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
)

// At the limit of connections the one that has been idle longest is closed,
// users' before workers'; when none is idle, the next waits without a spin.
func TestBoundedListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		l, err := nw.Host("10.0.0.1").Listen("tcp4", "10.0.0.1:8080")
		if err != nil {
			t.Fatal(err)
		}
		d := newBoundedListener(l, 4, slog.New(slog.NewTextHandler(io.Discard, nil)))
		hold := make(chan struct{})
		srv := &http.Server{ConnState: d.connState, ConnContext: d.connContext, Handler: d.classify(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("hold") {
				<-hold
			}
		}))}
		go srv.Serve(d) //nolint:errcheck // ends with Close
		client := func() func(path string) bool {
			host := nw.Host("10.1.0.1")
			hc := &http.Client{Transport: netio.Net{Dial: host.Dial}.Transport(1, 1)}
			return func(path string) bool {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				status, _, _, err := netio.Call(ctx, hc, "GET", "http://10.0.0.1:8080"+path, nil, 100)
				time.Sleep(10 * time.Millisecond)
				return err == nil && status == 200
			}
		}
		idle := func(kind clientKind) int { d.mu.Lock(); defer d.mu.Unlock(); return d.idle[kind].Len() }
		open := func() int { d.mu.Lock(); defer d.mu.Unlock(); return d.open }
		worker1, worker2, user1, user2 := client(), client(), client(), client()
		for i, ask := range []func(string) bool{worker1, worker2} {
			if !ask("/hello") || !(i == 0 && user1("/v1/jobs/x") || i == 1 && user2("/v1/jobs/x")) {
				t.Fatal("not served")
			}
		}
		// Full but for the place that is kept for the next.
		if !client()("/ready") || idle(userClient) == 0 || idle(workerClient) != 2 {
			t.Errorf("a health check at the limit; idle: %d users', %d workers'", idle(userClient), idle(workerClient))
		}
		var more []func(string) bool
		for range 6 {
			c := client()
			more = append(more, c)
			if !c("/hello") {
				t.Error("a worker is not served at the limit")
			}
		}
		if idle(userClient) != 0 || open() > 4 {
			t.Errorf("%d users' connections stay beside workers', %d open", idle(userClient), open())
		}
		for _, c := range more[3:] {
			go c("/hello?hold")
		}
		go client()("/hello?hold")
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		if client()("/ready") || time.Since(begin) < time.Second {
			t.Error("served beyond the limit")
		}
		close(hold)
		time.Sleep(100 * time.Millisecond)
		if !client()("/ready") {
			t.Error("not served when there is room again")
		}
		srv.Close()
		nw.Close()
		time.Sleep(time.Minute)
	})
}

// The split of the sockets follows from the limit and serves the machines that
// a deployment of that limit may have; a limit that is too small is told with
// the figure that is needed.
func TestSplitSockets(t *testing.T) {
	for _, c := range []struct {
		fd      int
		mb      float64
		nodes   int
		workers int // that it must hold
	}{{4296, 322, 5, 2870}, {2900, 322, 7, 1170}, {5000, 342, 5, 3300}, {900, 98, 7, 370}, {900, 98, 3, 48}, {64, 98, 3, 10}, {4296, 60, 5, 500}} {
		lim := config.Limits{FDLimit: c.fd, MemoryMB: c.mb}
		s := splitSockets(lim, c.nodes)
		if s.workers() < c.workers || s.accepted+s.direct+s.internal > max(c.fd, 70) {
			t.Errorf("%+v: %+v holds %d workers", c, s, s.workers())
		}
		if n := socketsNeeded(3*s.workers(), lim, c.nodes); n <= c.fd && c.mb > 90 {
			t.Errorf("%+v: %d sockets are called enough for %d workers", c, n, 3*s.workers())
		}
		if tight := c.mb < 90; tight != (s.memoryNeeded > c.mb) {
			t.Errorf("%+v: %.0f MB needed", c, s.memoryNeeded)
		}
	}
}
