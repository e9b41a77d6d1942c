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

// gateStage is one of the two points at which a gate can hold back a request.
type gateStage int

const (
	beforeRequest gateStage = iota
	beforeResponse
)

// gate lies between a holder and the network. While it is closed it holds back requests or
// responses, and lets them pass once it is opened, even if the sender has given up
// meanwhile. A paused process and a socket buffer delay requests in the same way.
type gate struct {
	mode freezeMode // determines what a closed gate holds back

	mu     sync.Mutex
	opened *sync.Cond
	closed bool
	// closeAtPath is the path of the request at which the gate closes; empty if it is closed
	// already or is to stay open.
	closeAtPath string
}

func newGate(mode freezeMode) *gate {
	g := &gate{mode: mode}
	g.opened = sync.NewCond(&g.mu)
	return g
}

// close closes the gate now or, if a path is given, when the next request with that path
// arrives.
func (g *gate) close(path string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closeAtPath = path == "", path
}

// open opens the gate and lets everything pass that it holds back.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closeAtPath = false, ""
	g.opened.Broadcast()
}

// pass returns once the gate lets the request, or its response, pass.
func (g *gate) pass(path string, stage gateStage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if path == g.closeAtPath {
		g.closed, g.closeAtPath = true, ""
	}
	for g.closed && g.mode.holdsBack(path, stage) {
		g.opened.Wait()
	}
}

// RoundTrip sends a request to the cloud or the worker.
func (g *gate) RoundTrip(request *http.Request) (*http.Response, error) {
	g.pass(request.URL.Path, beforeRequest)
	// A request in a socket buffer is sent even if its sender has given up meanwhile.
	response, err := http.DefaultTransport.RoundTrip(request.WithContext(context.WithoutCancel(request.Context())))
	g.pass(request.URL.Path, beforeResponse)
	return response, err
}

// gatedStore is a client of the store whose requests and responses pass a gate.
type gatedStore struct {
	*store.Client
	gate *gate
}

// passRequest returns once the gate lets a request to the store pass, with a context that
// the sender can't cancel. The returned function does the same for the response.
func (s gatedStore) passRequest(ctx context.Context) (context.Context, func()) {
	s.gate.pass(storePath, beforeRequest)
	return context.WithoutCancel(ctx), func() { s.gate.pass(storePath, beforeResponse) }
}

func (s gatedStore) CreateGrant(ctx context.Context, ttl time.Duration) (duty.GrantID, error) {
	ctx, passResponse := s.passRequest(ctx)
	defer passResponse()
	return s.Client.CreateGrant(ctx, ttl)
}

func (s gatedStore) RenewGrant(ctx context.Context, grant duty.GrantID, timeout time.Duration) error {
	ctx, passResponse := s.passRequest(ctx)
	defer passResponse()
	return s.Client.RenewGrant(ctx, grant, timeout)
}

func (s gatedStore) Get(ctx context.Context, class duty.RequestClass, key string) (duty.Entry, error) {
	ctx, passResponse := s.passRequest(ctx)
	defer passResponse()
	return s.Client.Get(ctx, class, key)
}

func (s gatedStore) Commit(ctx context.Context, class duty.RequestClass, txn duty.Txn) (duty.Revision, error) {
	ctx, passResponse := s.passRequest(ctx)
	defer passResponse()
	return s.Client.Commit(ctx, class, txn)
}
