package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// newIntakeWithoutStore returns an Intake that can't reach the key-value store, and the
// handler of its routes.
func newIntakeWithoutStore(t *testing.T) (*Intake, http.Handler) {
	t.Helper()
	limits := config.StoreLimits{RPS: 100, WriteRPS: 100, TxnOps: 12, ValueKB: 16}
	settings := &config.Settings{Teams: []config.Team{{Name: "red"}}, State: limits, Limits: config.ProcessLimits{FDLimit: 900}}
	unreachable := netio.Network{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}}
	client := store.New("10.2.0.1:2379", limits, 1, unreachable)
	noMachineTypes := func() []wire.MachineSpec { return nil }
	in := New(settings, client, cancels.New(nil, time.Minute), noMachineTypes, slog.New(slog.NewTextHandler(io.Discard, nil)))
	router := httprouter.New()
	in.Routes(router)
	go in.Run(t.Context())
	return in, router
}

// request sends a request to a handler and returns the recorded response.
func request(h http.Handler, method, path string, body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return w
}

func TestRequestOverInFlightLimitIsRefusedWithRetryAfter(t *testing.T) {
	in, h := newIntakeWithoutStore(t)
	for range cap(in.inFlight) {
		in.inFlight <- struct{}{}
	}
	w := request(h, "GET", "/v1/jobs/req-1", nil)
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") == "" {
		t.Errorf("at the limit of requests in flight: got %d, Retry-After %q, want 429 with Retry-After", w.Code, w.Header().Get("Retry-After"))
	}
	<-in.inFlight
	w = request(h, "GET", "/v1/jobs/req-1", nil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("below the limit, with an unreachable store: got %d, Retry-After %q, want 503 with Retry-After", w.Code, w.Header().Get("Retry-After"))
	}
	if got, want := len(in.inFlight), cap(in.inFlight)-1; got != want {
		t.Errorf("requests in flight after the request: got %d, want %d", got, want)
	}
}

// Without the store, a node still reports final states, since they never change. It must
// not report a job as unknown (404) whose record it can't read, and it can't check the
// feasibility of a submission: both get 503.
func TestUnreachableStoreAllowsOnlyFinalStates(t *testing.T) {
	in, h := newIntakeWithoutStore(t)
	in.finals.put(wire.JobState{ID: "req-1", Status: wire.StatusDone, Done: 3})
	in.finals.put(wire.JobState{ID: "req-2", Status: wire.StatusRunning})
	spec := wire.Encode(map[string]any{"nameId": "req-3", "lane": "l", "owner": "red", "shape": "sweep", "urgency": "prod", "parts": 2, "cpus": 4.0, "cards": 0.0,
		"ramGb": 1.0, "bundle": "b", "imageGb": 0.5, "samePlace": false, "apart": false, "standby": false, "expectedS": 1.0, "snapshotEveryS": 0.0, "snapshotS": 0.0})
	for _, tt := range []struct {
		name, method, path string
		body               []byte
		want               int
	}{
		{"poll of a job with a final state", "GET", "/v1/jobs/req-1", nil, http.StatusOK},
		{"cancellation of a finished job", "POST", "/v1/jobs/req-1/cancel", nil, http.StatusOK},
		{"poll of a job whose state may change", "GET", "/v1/jobs/req-2", nil, http.StatusServiceUnavailable},
		{"submission whose feasibility is unknown", "POST", "/v1/jobs", spec, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := request(h, tt.method, tt.path, tt.body).Code; got != tt.want {
				t.Errorf("%s %s: got %d, want %d", tt.method, tt.path, got, tt.want)
			}
		})
	}
}

// On a new connection, the user's next request may reach a node that can serve it.
func TestUnreachableStoreClosesConnection(t *testing.T) {
	_, h := newIntakeWithoutStore(t)
	w := request(h, "GET", "/v1/jobs/req-4", nil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") == "" {
		t.Errorf("poll: got %d %v, want 503 with Connection: close and Retry-After", w.Code, w.Header())
	}
}

func TestFinalStatesAreBoundedAndKeepTheNewest(t *testing.T) {
	var finals finalStates
	id := func(n int) wire.JobID { return wire.JobID("req-" + strconv.Itoa(n)) }
	for n := range 5 * maxStatesPerGeneration {
		finals.put(wire.JobState{ID: id(n), Status: wire.StatusDone})
	}
	if got, limit := len(finals.young)+len(finals.old), 2*maxStatesPerGeneration; got > limit {
		t.Errorf("states kept: got %d, want at most %d", got, limit)
	}
	newest := id(5*maxStatesPerGeneration - 1)
	if _, ok := finals.get(newest); !ok {
		t.Errorf("the newest state, of %s, is not kept", newest)
	}
}
