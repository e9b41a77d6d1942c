package duty_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/netio"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// testTiming is that of a lease that a test can wait for.
var testTiming = duty.Timing{TTL: 300 * time.Millisecond, RenewEvery: 40 * time.Millisecond, RenewTimeout: 100 * time.Millisecond,
	Poll: 15 * time.Millisecond, PollJitter: 10 * time.Millisecond, Margin: 30 * time.Millisecond, Drift: 0.002}

// holder is a program that carries out all duties while it holds the lease, one act
// after the other, as fast as it can.
type holder struct {
	addr string
	// fenced: it asks for permits and records its intents. Without, it acts whenever
	// it believes that it holds the lease, as it found when it took it.
	fenced bool
	http   *http.Client
	store  gatedStore
	gate   *gate

	lease     *duty.Lease
	rentals   *duty.Intents[duty.ScaleOut, autoscaler.ScaleOutIntent]
	returns   *duty.Intents[duty.ScaleIn, wire.MachineID]
	machines  []string
	bookings  int
	candidate *duty.Candidate
}

// gate is on a holder's way to the network. Closed, it keeps requests back whatever
// becomes of their senders, and lets them go when it is opened: as a paused process
// does, or a socket.
type gate struct {
	mu     sync.Mutex
	cond   *sync.Cond
	closed bool
	// closesAt: it closes once a request comes with this path.
	closesAt string
	// stateOnly: only requests to the state service are kept back.
	stateOnly bool
	// answers: the requests go, their answers are kept back.
	answers bool
}

func newGate() *gate {
	g := &gate{}
	g.cond = sync.NewCond(&g.mu)
	return g
}

// close keeps back what comes from now on, or from the next request with the path on.
func (g *gate) close(at string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closesAt = at == "", at
}

// open lets everything go.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.closesAt = false, ""
	g.cond.Broadcast()
}

// toState stands for the path of all requests to the state service.
const toState = "state"

// wait keeps a request or its answer back while the gate is closed for it.
func (g *gate) wait(path string, answer bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if path == g.closesAt && path != "" {
		g.closed, g.closesAt = true, ""
	}
	for g.closed && (path == toState || !g.stateOnly) && (answer || !g.answers) {
		g.cond.Wait()
	}
}

// RoundTrip sends a request to the cloud or the worker.
func (g *gate) RoundTrip(q *http.Request) (*http.Response, error) {
	g.wait(q.URL.Path, false)
	// What is in a socket goes, though its sender has given up meanwhile.
	resp, err := http.DefaultTransport.RoundTrip(q.WithContext(context.WithoutCancel(q.Context())))
	g.wait(q.URL.Path, true)
	return resp, err
}

// gatedStore is the state service behind a gate.
type gatedStore struct {
	*store.Client
	gate *gate
}

func (s gatedStore) pass(ctx context.Context) (context.Context, func()) {
	s.gate.wait(toState, false)
	return context.WithoutCancel(ctx), func() { s.gate.wait(toState, true) }
}

func (s gatedStore) Grant(ctx context.Context, life time.Duration) (duty.GrantID, error) {
	ctx, answered := s.pass(ctx)
	defer answered()
	return s.Client.Grant(ctx, life)
}

func (s gatedStore) Renew(ctx context.Context, grant duty.GrantID, timeout time.Duration) error {
	ctx, answered := s.pass(ctx)
	defer answered()
	return s.Client.Renew(ctx, grant, timeout)
}

func (s gatedStore) Get(ctx context.Context, class duty.RequestClass, key string) (duty.Entry, error) {
	ctx, answered := s.pass(ctx)
	defer answered()
	return s.Client.Get(ctx, class, key)
}

func (s gatedStore) Commit(ctx context.Context, class duty.RequestClass, txn duty.Txn) (duty.Revision, error) {
	ctx, answered := s.pass(ctx)
	defer answered()
	return s.Client.Commit(ctx, class, txn)
}

func newHolder(node, addr string, fenced bool) *holder {
	h := &holder{addr: addr, fenced: fenced, gate: newGate()}
	h.http = &http.Client{Transport: h.gate}
	limits := config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 12}
	h.store = gatedStore{store.New(addr, limits, 1, netio.Real()), h.gate}
	h.candidate = duty.NewCandidate(duty.Options{Key: leaseKey, Node: duty.NodeID(node), Store: h.store, Timing: testTiming})
	return h
}

// run holds the lease again and again until the context ends.
func (h *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.lease = h.candidate.Campaign(ctx)
		if h.lease == nil {
			return
		}
		term, cancel := context.WithCancel(ctx)
		go func() {
			h.lease.Keep(term, func(time.Time) {}) //nolint:errcheck // what follows ends the term
			cancel()
		}()
		h.hold(term)
		cancel()
	}
}

// errTermOver ends a term.
var errTermOver = errors.New("the term is over")

// hold takes over and then acts until the lease is lost.
func (h *holder) hold(ctx context.Context) {
	h.rentals = duty.OpenIntents[duty.ScaleOut, autoscaler.ScaleOutIntent](h.lease, 16<<10)
	h.returns = duty.OpenIntents[duty.ScaleIn, wire.MachineID](h.lease, 16<<10)
	h.machines, h.bookings = nil, 0
	if h.takeOver(ctx) != nil {
		return
	}
	for n := 0; ctx.Err() == nil; n++ {
		var err error
		switch n % 4 {
		case 0:
			h.bookings++
			err = h.rent(ctx, fmt.Sprintf("b-%d-%d", h.lease.Token(), h.bookings))
		case 1:
			err = h.reclaim(ctx)
		case 2:
			err = h.cleanUp(ctx)
		case 3:
			if len(h.machines) > 2 {
				id := h.machines[0]
				h.machines = h.machines[1:]
				err = h.giveBack(ctx, wire.MachineID(id))
			}
		}
		if errors.Is(err, duty.ErrNotHeld) || errors.Is(err, duty.ErrHeldByOther) || errors.Is(err, errTermOver) {
			return
		}
	}
}

// takeOver shows its token, goes on with what an earlier holder left open, and uses
// all other machines.
func (h *holder) takeOver(ctx context.Context) error {
	if err := h.reclaim(ctx); err != nil {
		return err
	}
	var rentals duty.IntentRecord[autoscaler.ScaleOutIntent]
	var returns duty.IntentRecord[wire.MachineID]
	if h.fenced {
		var err error
		if rentals, err = h.rentals.Load(ctx); err != nil {
			return err
		}
		if returns, err = h.returns.Load(ctx); err != nil {
			return err
		}
	}
	for _, i := range rentals.Open {
		if err := h.rent(ctx, i.Request.Name); err != nil {
			return err
		}
	}
	for _, id := range returns.Open {
		if err := h.giveBack(ctx, id); err != nil {
			return err
		}
	}
	listed, err := h.ask(ctx, "/cloud/list", "")
	if err != nil {
		return err
	}
	h.machines = listed
	// Recorded, then launched.
	if err := h.cleanUp(ctx); err != nil {
		return err
	}
	for _, id := range listed {
		if _, err := h.ask(ctx, "/cloud/use", id); err != nil {
			return err
		}
	}
	return nil
}

// permitted carries out an act under a permit, or, unfenced, just carries it out.
func permitted[D duty.Duty](ctx context.Context, h *holder, act func(context.Context) error) error {
	if !h.fenced {
		return act(ctx)
	}
	permit, err := duty.PermitFor[D](h.lease)
	if err != nil {
		return err
	}
	return permit.Do(ctx, act)
}

func (h *holder) rent(ctx context.Context, booking string) error {
	if h.fenced {
		// One booking is open at a time; an earlier holder's was this one, or is done.
		request := wire.ScaleOutRequest{Name: booking, Type: "c4", Zone: "a", Count: 2}
		if err := h.rentals.Record(ctx, []autoscaler.ScaleOutIntent{{Request: request}}); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		err := permitted[duty.ScaleOut](ctx, h, func(ctx context.Context) error {
			made, err := h.ask(ctx, "/cloud/rent", booking)
			h.machines = append(h.machines, made...)
			return err
		})
		if err == nil || errors.Is(err, duty.ErrNotHeld) {
			return err
		}
	}
	return errTermOver
}

func (h *holder) giveBack(ctx context.Context, id wire.MachineID) error {
	if h.fenced {
		if err := h.returns.Record(ctx, []wire.MachineID{id}); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		err := permitted[duty.ScaleIn](ctx, h, func(ctx context.Context) error {
			_, err := h.ask(ctx, "/cloud/return", string(id))
			return err
		})
		if err == nil || errors.Is(err, duty.ErrNotHeld) {
			return err
		}
	}
	return errTermOver
}

func (h *holder) reclaim(ctx context.Context) error {
	return permitted[duty.Preemption](ctx, h, func(ctx context.Context) error {
		_, err := h.ask(ctx, "/worker/halt", "task")
		return err
	})
}

func (h *holder) cleanUp(ctx context.Context) error {
	txn := duty.Txn{Writes: []duty.Write{{Put: factPrefix + strconv.FormatUint(uint64(h.lease.FirstToken()), 10), Value: wire.Encode(time.Now().UnixNano())}}}
	if !h.fenced {
		_, err := h.store.Commit(ctx, store.Critical, txn)
		return err
	}
	permit, err := duty.PermitFor[duty.Cleanup](h.lease)
	if err != nil {
		return err
	}
	_, err = permit.Commit(ctx, store.Critical, txn)
	return err
}

// ask sends one request to the cloud or the worker.
func (h *holder) ask(ctx context.Context, path, name string) (answer []string, err error) {
	raw, err := json.Marshal(request{name})
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.addr+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	q.Header.Set(tokenHeader, strconv.FormatUint(uint64(h.lease.Token()), 10))
	resp, err := h.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}
