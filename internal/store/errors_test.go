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
		_, err := c.Get(ctx, store.Critical, "job/req-1")
		return err
	},
	"list": func(ctx context.Context, c *store.Client) error {
		_, _, err := c.List(ctx, store.Critical, "job/")
		return err
	},
	"txn": func(ctx context.Context, c *store.Client) error {
		_, err := c.Commit(ctx, store.Critical, wire.Txn{Guards: []wire.Guard{{Key: "lead", Revision: 3}}, Writes: []wire.Write{{Put: "job/req-1", Value: wire.Encode(1)}}})
		return err
	},
	"grant": func(ctx context.Context, c *store.Client) error {
		_, err := c.Grant(ctx, time.Second)
		return err
	},
	"renew": func(ctx context.Context, c *store.Client) error { return c.Renew(ctx, 7, time.Second) },
	"end":   func(ctx context.Context, c *store.Client) error { return c.EndGrant(ctx, 7) },
	"watch": func(ctx context.Context, c *store.Client) error {
		_, err := c.Watch(ctx, "job/", 5, time.Second)
		return err
	},
}

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
	}{
		{name: "no such key or lease", answer: cannedAnswer{status: 404}, outcome: "404", err: store.ErrUnknown,
			other: map[string]error{"get": store.ErrMissing, "renew": store.ErrMissing, "end": nil}},
		{name: "conflict", answer: cannedAnswer{status: 409, body: wire.Encode(wire.TxnResult{Failed: []string{"lead"}})}, outcome: "409", err: store.ErrUnknown,
			other: map[string]error{"get": store.ErrMissing, "renew": nil, "end": nil, "txn": errConflict}},
		{name: "over the rate", answer: cannedAnswer{status: 429}, outcome: "state: refused: over the rate", err: store.ErrBusy},
		{name: "service unavailable", answer: cannedAnswer{status: 503}, outcome: "state: refused", err: store.ErrRefused},
		{name: "history compacted", answer: cannedAnswer{status: 410}, outcome: "state: revision too old", err: store.ErrTooOld},
		{name: "malformed request", answer: cannedAnswer{status: 400}, outcome: "state: request refused as invalid", err: store.ErrInvalid},
		{name: "unexpected status", answer: cannedAnswer{status: 500}, outcome: "state: outcome unknown: status 500", err: store.ErrUnknown},
		{name: "answer over 8 MiB", answer: cannedAnswer{status: 200, body: make([]byte, 8<<20+1)}, outcome: "state: answer too large", err: store.ErrTooLarge,
			other: map[string]error{"watch": store.ErrTooOld}},
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
		return errors.As(err, &conflict) && conflict.Has("lead")
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
	return store.New(simulator.StateAddr, config.State{RPS: 100, WriteRPS: 10, ValueKB: 16, TxnOps: 12}, 1, nw.Host("10.0.0.1"))
}
