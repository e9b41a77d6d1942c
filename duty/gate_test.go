package duty_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
)

// storePath stands for the path of every request to the store.
const storePath = "store"

// stage of a request that passes a gate.
type stage int

const (
	beforeRequest stage = iota
	beforeAnswer
)

// gate lies between a holder and the network. Closed, it keeps requests back whatever
// becomes of their senders, and lets them pass when it is opened: as a paused process
// does, or a socket.
type gate struct {
	mode freezeMode // what a closed gate keeps back

	mu     sync.Mutex
	opened *sync.Cond
	closed bool
	// closeAtPath closes the gate once a request with this path comes; empty: none.
	closeAtPath string
}

func newGate(mode freezeMode) *gate {
	g := &gate{mode: mode}
	g.opened = sync.NewCond(&g.mu)
	return g
}

// close keeps back what comes from now on or, if a path is given, from the next request
// with that path on.
func (g *gate) close(path string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closeAtPath = path == "", path
}

// open lets everything pass.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closeAtPath = false, ""
	g.opened.Broadcast()
}

// pass returns once the gate lets a request, or its answer, pass.
func (g *gate) pass(path string, at stage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if path == g.closeAtPath {
		g.closed, g.closeAtPath = true, ""
	}
	for g.closed && g.mode.keepsBack(path, at) {
		g.opened.Wait()
	}
}

// RoundTrip sends a request to the cloud or the worker.
func (g *gate) RoundTrip(request *http.Request) (*http.Response, error) {
	g.pass(request.URL.Path, beforeRequest)
	// What is in a socket is sent, though its sender has given up meanwhile.
	response, err := http.DefaultTransport.RoundTrip(request.WithContext(context.WithoutCancel(request.Context())))
	g.pass(request.URL.Path, beforeAnswer)
	return response, err
}

// gatedStore is the store behind a gate.
type gatedStore struct {
	*store.Client
	gate *gate
}

// pass lets a request to the store pass. The returned function lets its answer pass.
func (s gatedStore) pass(ctx context.Context) (context.Context, func()) {
	s.gate.pass(storePath, beforeRequest)
	return context.WithoutCancel(ctx), func() { s.gate.pass(storePath, beforeAnswer) }
}

func (s gatedStore) Grant(ctx context.Context, ttl time.Duration) (duty.GrantID, error) {
	ctx, passAnswer := s.pass(ctx)
	defer passAnswer()
	return s.Client.Grant(ctx, ttl)
}

func (s gatedStore) Renew(ctx context.Context, grant duty.GrantID, timeout time.Duration) error {
	ctx, passAnswer := s.pass(ctx)
	defer passAnswer()
	return s.Client.Renew(ctx, grant, timeout)
}

func (s gatedStore) Get(ctx context.Context, class duty.RequestClass, key string) (duty.Entry, error) {
	ctx, passAnswer := s.pass(ctx)
	defer passAnswer()
	return s.Client.Get(ctx, class, key)
}

func (s gatedStore) Commit(ctx context.Context, class duty.RequestClass, txn duty.Txn) (duty.Revision, error) {
	ctx, passAnswer := s.pass(ctx)
	defer passAnswer()
	return s.Client.Commit(ctx, class, txn)
}
