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

// cannedResponse responds to every request with one status and body.
type cannedResponse struct {
	status int
	body   []byte
}

func (r cannedResponse) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(r.status)
	w.Write(r.body) //nolint:errcheck // the client under test is the only reader
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
		_, err := c.CreateGrant(ctx, time.Second)
		return err
	},
	"renew": func(ctx context.Context, c *store.Client) error { return c.RenewGrant(ctx, 7, time.Second) },
	"end":   func(ctx context.Context, c *store.Client) error { return c.RevokeGrant(ctx, 7) },
	"watch": func(ctx context.Context, c *store.Client) error {
		_, err := c.Watch(ctx, "job/", 5, time.Second)
		return err
	},
}

// requestKeys has the key that the error of each request names.
var requestKeys = map[string]string{"get": "job/req-1", "list": "job/", "txn": "job/req-1", "grant": "", "renew": "lease 7", "end": "lease 7", "watch": "job/"}

// For each kind of response to each kind of request, the caller must get the right error, and
// Observe the right outcome. The outcome is a label value of the metric
// lilaclead_call_seconds, which operators read; a key in it would make a time series of each
// key.
func TestResponseDeterminesErrorAndOutcomeLabel(t *testing.T) {
	cases := []struct {
		name       string
		response   cannedResponse
		outcome    string           // passed to Observe
		wantErr    error            // of every request that exceptions doesn't have; nil: none
		exceptions map[string]error // by operation; nil: none

		maybeExecuted, retryable bool // of the OpError that wraps wantErr
	}{
		{name: "no such key or lease", response: cannedResponse{status: 404}, outcome: "404", wantErr: store.ErrOutcomeUnknown, maybeExecuted: true, retryable: true,
			exceptions: map[string]error{"get": store.ErrNotFound, "renew": store.ErrNotFound, "end": nil}},
		{name: "conflict", response: cannedResponse{status: 409, body: wire.Encode(wire.TxnResponse{FailedKeys: []string{"lead"}})}, outcome: "409", wantErr: store.ErrOutcomeUnknown, maybeExecuted: true, retryable: true,
			exceptions: map[string]error{"get": store.ErrNotFound, "renew": nil, "end": nil, "txn": errConflict}},
		{name: "over the rate", response: cannedResponse{status: 429}, outcome: "state: refused: over the rate", wantErr: store.ErrRateLimited, retryable: true},
		{name: "service unavailable", response: cannedResponse{status: 503}, outcome: "state: refused", wantErr: store.ErrRefused, retryable: true},
		{name: "history compacted", response: cannedResponse{status: 410}, outcome: "state: revision too old", wantErr: store.ErrCompacted},
		{name: "malformed request", response: cannedResponse{status: 400}, outcome: "state: request refused as invalid", wantErr: store.ErrInvalidRequest},
		{name: "unexpected status", response: cannedResponse{status: 500}, outcome: "state: outcome unknown: status 500", wantErr: store.ErrOutcomeUnknown, maybeExecuted: true, retryable: true},
		{name: "response over 8 MiB", response: cannedResponse{status: 200, body: make([]byte, 8<<20+1)}, outcome: "state: answer too large", wantErr: store.ErrResponseTooLarge, maybeExecuted: true,
			exceptions: map[string]error{"watch": store.ErrCompacted}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withResponse(t, tc.response, func(ctx context.Context, c *store.Client) {
				for op, request := range requests {
					want, isException := tc.exceptions[op]
					if !isException {
						want = tc.wantErr
					}
					var gotOp, gotOutcome string
					c.Observe = func(op, outcome string, _ time.Duration) { gotOp, gotOutcome = op, outcome }
					err := request(ctx, c)
					if gotOp != op || gotOutcome != tc.outcome {
						t.Errorf("%s: observed %q with outcome %q, want outcome %q", op, gotOp, gotOutcome, tc.outcome)
					}
					if !matches(err, want) {
						t.Errorf("%s: got error %v, want %v", op, err, want)
					}
					if reachable := tc.response.status != http.StatusServiceUnavailable; c.Reachable() != reachable {
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
					if want == tc.wantErr && (opErr.MaybeExecuted() != tc.maybeExecuted || opErr.Retryable() != tc.retryable) {
						t.Errorf("%s: %v: got maybe executed %v, retryable %v, want %v, %v", op, err, opErr.MaybeExecuted(), opErr.Retryable(), tc.maybeExecuted, tc.retryable)
					}
					if isException && (opErr.MaybeExecuted() || opErr.Retryable()) {
						t.Errorf("%s: %v: got maybe executed %v, retryable %v, want neither", op, err, opErr.MaybeExecuted(), opErr.Retryable())
					}
				}
			})
		})
	}
}

// errConflict stands for a ConflictError in the table of cases.
var errConflict = errors.New("conflict")

// matches reports whether err is the error that the table of cases names.
func matches(err, want error) bool {
	if want == errConflict {
		var conflict *store.ConflictError
		return errors.As(err, &conflict) && conflict.HasKey("lead")
	}
	return errors.Is(err, want)
}

// withResponse runs f in virtual time with a client of a store that always gives the same
// response.
func withResponse(t *testing.T, response cannedResponse, f func(ctx context.Context, c *store.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		srv := serve(t, nw, response)
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

// A request that never reached the store must fail with a retryable error that names the
// operation and the key.
func TestRefusedRequestNamesOperationAndKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		defer nw.Close()
		c := newClient(nw)
		check := func(situation string, err error, wantText string, cause error) {
			t.Helper()
			var opErr *store.OpError
			if !errors.As(err, &opErr) || !errors.Is(err, cause) || opErr.MaybeExecuted() || !opErr.Retryable() || err.Error() != wantText {
				t.Errorf("%s: got %#v (%v), want a retryable error with the text %q", situation, err, err, wantText)
			}
		}
		_, err := c.Get(t.Context(), store.ClassCritical, "lead")
		check("no listener", err, "get lead: state: refused", store.ErrRefused)

		_, err = c.Commit(t.Context(), store.ClassCritical, wire.Txn{Writes: []wire.Write{{DeleteKey: "job/req-1"}, {PutKey: "past/req-1", Value: wire.Encode(1)}}})
		check("transaction of two keys", err, "txn job/req-1 and 1 more: state: refused", store.ErrRefused)

		endedCtx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err = c.List(endedCtx, store.ClassBackground, "run/")
		check("ended while waiting for the budget", err, "list run/: state: refused", store.ErrRefused)

		time.Sleep(3 * time.Second)
		_, err = c.Watch(t.Context(), "job/", 1, 0)
		check("watch without listener", err, "watch job/: state: refused", store.ErrRefused)
		_, err = c.Get(t.Context(), store.ClassUser, "past/req-1")
		check("user in an outage", err, "get past/req-1: state: refused", store.ErrRefused)
	})
}
