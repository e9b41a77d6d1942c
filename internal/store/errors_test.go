package store_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// cannedAnswer answers every request with one status and body.
type cannedAnswer struct {
	status int
	body   []byte
}

func (a cannedAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(a.status)
	w.Write(a.body) //nolint:errcheck // the client under test is the only reader
}

// requests makes one request of each kind.
var requests = map[string]func(ctx context.Context, c *store.Client) error{
	"get": func(ctx context.Context, c *store.Client) error {
		_, err := c.Get(ctx, store.ClassCritical, "job/req-1")
		return err
	},
	"list": func(ctx context.Context, c *store.Client) error {
		_, _, err := c.List(ctx, store.ClassCritical, "job/")
		return err
	},
	"txn": func(ctx context.Context, c *store.Client) error {
		_, err := c.Commit(ctx, store.ClassCritical, wire.Txn{Guards: []wire.Guard{{Key: "lead", Revision: 3}}, Writes: []wire.Write{{PutKey: "job/req-1", Value: wire.Encode(1)}}})
		return err
	},
	"grant": func(ctx context.Context, c *store.Client) error {
		_, err := c.Grant(ctx, time.Second)
		return err
	},
	"renew": func(ctx context.Context, c *store.Client) error { return c.Renew(ctx, 7, time.Second) },
	"end":   func(ctx context.Context, c *store.Client) error { return c.RevokeGrant(ctx, 7) },
	"watch": func(ctx context.Context, c *store.Client) error {
		_, err := c.Watch(ctx, "job/", 5, time.Second)
		return err
	},
}

// requestKeys are what the requests are about, as errors name it.
var requestKeys = map[string]string{"get": "job/req-1", "list": "job/", "txn": "job/req-1", "grant": "", "renew": "lease 7", "end": "lease 7", "watch": "job/"}

// TestRequestOutcomes checks what each kind of answer makes of each kind of request: the
// error that the caller gets, and the outcome that is a label value of the metric
// lilaclead_call_seconds. The label values are part of what operators read, and a key in
// one would make a time series of each key.
func TestRequestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		answer  cannedAnswer
		outcome string           // as observed
		err     error            // of most requests; nil: none
		other   map[string]error // of requests for which it differs

		maybeExecuted, retryable bool // by an error that is err
	}{
		{name: "no such key or lease", answer: cannedAnswer{status: 404}, outcome: "404", err: store.ErrOutcomeUnknown, maybeExecuted: true, retryable: true,
			other: map[string]error{"get": store.ErrNotFound, "renew": store.ErrNotFound, "end": nil}},
		{name: "conflict", answer: cannedAnswer{status: 409, body: wire.Encode(wire.TxnResponse{FailedKeys: []string{"lead"}})}, outcome: "409", err: store.ErrOutcomeUnknown, maybeExecuted: true, retryable: true,
			other: map[string]error{"get": store.ErrNotFound, "renew": nil, "end": nil, "txn": errConflict}},
		{name: "over the rate", answer: cannedAnswer{status: 429}, outcome: "state: refused: over the rate", err: store.ErrRateLimited, retryable: true},
		{name: "service unavailable", answer: cannedAnswer{status: 503}, outcome: "state: refused", err: store.ErrRefused, retryable: true},
		{name: "history compacted", answer: cannedAnswer{status: 410}, outcome: "state: revision too old", err: store.ErrCompacted},
		{name: "malformed request", answer: cannedAnswer{status: 400}, outcome: "state: request refused as invalid", err: store.ErrInvalidRequest},
		{name: "unexpected status", answer: cannedAnswer{status: 500}, outcome: "state: outcome unknown: status 500", err: store.ErrOutcomeUnknown, maybeExecuted: true, retryable: true},
		{name: "answer over 8 MiB", answer: cannedAnswer{status: 200, body: make([]byte, 8<<20+1)}, outcome: "state: answer too large", err: store.ErrResponseTooLarge, maybeExecuted: true,
			other: map[string]error{"watch": store.ErrCompacted}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withAnswer(t, tc.answer, func(ctx context.Context, c *store.Client) {
				for op, request := range requests {
					want, differs := tc.other[op]
					if !differs {
						want = tc.err
					}
					var gotOp, gotOutcome string
					c.Observe = func(op, outcome string, _ time.Duration) { gotOp, gotOutcome = op, outcome }
					err := request(ctx, c)
					if gotOp != op || gotOutcome != tc.outcome {
						t.Errorf("%s: observed %q with outcome %q, want outcome %q", op, gotOp, gotOutcome, tc.outcome)
					}
					if !isError(err, want) {
						t.Errorf("%s: got error %v, want %v", op, err, want)
					}
					if reachable := tc.answer.status != http.StatusServiceUnavailable; c.Reachable() != reachable {
						t.Errorf("%s: got reachable %v, want %v", op, c.Reachable(), reachable)
					}
					if want == nil || want == errConflict {
						continue
					}
					var opErr *store.OpError
					if !errors.As(err, &opErr) || opErr.Op != op || opErr.Key != requestKeys[op] {
						t.Errorf("%s: got error %#v, want an OpError of %s on %q", op, err, op, requestKeys[op])
						continue
					}
					if want == tc.err && (opErr.MaybeExecuted() != tc.maybeExecuted || opErr.Retryable() != tc.retryable) {
						t.Errorf("%s: %v: got maybe executed %v, retryable %v, want %v, %v", op, err, opErr.MaybeExecuted(), opErr.Retryable(), tc.maybeExecuted, tc.retryable)
					}
					if differs && (opErr.MaybeExecuted() || opErr.Retryable()) {
						t.Errorf("%s: %v: got maybe executed %v, retryable %v, want neither", op, err, opErr.MaybeExecuted(), opErr.Retryable())
					}
				}
			})
		})
	}
}

// errConflict stands for a ConflictError in a table of expectations.
var errConflict = errors.New("conflict")

func isError(err, want error) bool {
	if want == errConflict {
		var conflict *store.ConflictError
		return errors.As(err, &conflict) && conflict.HasKey("lead")
	}
	return errors.Is(err, want)
}

// withAnswer runs f in virtual time with a client of a service that gives one answer.
func withAnswer(t *testing.T, answer cannedAnswer, f func(ctx context.Context, c *store.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		srv := serve(t, nw, answer)
		f(t.Context(), newClient(nw))
		nw.Close()
		srv.Close()
		time.Sleep(3 * time.Second)
		nw.Close()
	})
}

func newClient(nw *simulator.Network) *store.Client {
	return store.New(simulator.KVStoreAddr, config.StoreLimits{RPS: 100, WriteRPS: 10, ValueKB: 16, TxnOps: 12}, 1, nw.Host("10.0.0.1"))
}

// TestRefusedRequestNamesOperationAndKey checks the error of requests that never reached
// the service, and its text.
func TestRefusedRequestNamesOperationAndKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		defer nw.Close()
		c := newClient(nw)
		check := func(situation string, err error, want string, cause error) {
			t.Helper()
			var opErr *store.OpError
			if !errors.As(err, &opErr) || !errors.Is(err, cause) || opErr.MaybeExecuted() || !opErr.Retryable() || err.Error() != want {
				t.Errorf("%s: got %#v (%v), want a retryable error that says %q", situation, err, err, want)
			}
		}
		_, err := c.Get(t.Context(), store.ClassCritical, "lead")
		check("no listener", err, "get lead: state: refused", store.ErrRefused)

		_, err = c.Commit(t.Context(), store.ClassCritical, wire.Txn{Writes: []wire.Write{{DeleteKey: "job/req-1"}, {PutKey: "past/req-1", Value: wire.Encode(1)}}})
		check("transaction of two keys", err, "txn job/req-1 and 1 more: state: refused", store.ErrRefused)

		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err = c.List(ended, store.ClassBackground, "run/")
		check("ended while waiting for the budget", err, "list run/: state: refused", store.ErrRefused)

		time.Sleep(3 * time.Second)
		_, err = c.Watch(t.Context(), "job/", 1, 0)
		check("watch without listener", err, "watch job/: state: refused", store.ErrRefused)
		_, err = c.Get(t.Context(), store.ClassUser, "past/req-1")
		check("user in an outage", err, "get past/req-1: state: refused", store.ErrRefused)
	})
}
