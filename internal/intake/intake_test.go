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

func newIntake(t *testing.T) (*Intake, http.Handler) {
	set := &config.Settings{Teams: []config.Team{{Name: "red"}}, State: config.State{RPS: 100, WriteRPS: 100, TxnOps: 12, ValueKB: 16}, Limits: config.Limits{FDLimit: 900}}
	away := netio.Net{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}}
	st := store.New("10.2.0.1:2379", config.State{RPS: 100, WriteRPS: 100, TxnOps: 12, ValueKB: 16}, 1, away)
	in := New(set, st, cancels.New(nil, time.Minute), func() []wire.MachineSpec { return nil }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r := httprouter.New()
	in.Routes(r)
	go in.Run(t.Context())
	return in, r
}

// Beyond the requests in work more are refused at once, with when to come back.
func TestTooManyInFlight(t *testing.T) {
	in, h := newIntake(t)
	for range cap(in.inFlight) {
		in.inFlight <- struct{}{}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/jobs/req-1", nil))
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") == "" {
		t.Errorf("answered %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	<-in.inFlight
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/jobs/req-1", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("with room, and the state service away: %d", w.Code)
	}
	if len(in.inFlight) != cap(in.inFlight)-1 {
		t.Error("the request's place was not given back")
	}
}

// A final state is answered without the state service, forever; what can't
// be read is 503 and never 404; what can't be judged yet is 503.
func TestAnswersWithoutTheStateService(t *testing.T) {
	in, h := newIntake(t)
	in.finals.put(wire.JobState{ID: "req-1", Status: wire.Done, Done: 3})
	in.finals.put(wire.JobState{ID: "req-2", Status: wire.Running})
	ask := func(method, path string, body []byte) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
		return w.Code
	}
	if got := ask("GET", "/v1/jobs/req-1", nil); got != 200 {
		t.Errorf("a final state: %d", got)
	}
	if got := ask("POST", "/v1/jobs/req-1/cancel", nil); got != 200 {
		t.Errorf("cancel of a finished job: %d", got)
	}
	if got := ask("GET", "/v1/jobs/req-2", nil); got != 503 {
		t.Errorf("a state that may change was remembered: %d", got)
	}
	spec := wire.Encode(map[string]any{"nameId": "req-3", "lane": "l", "owner": "red", "shape": "sweep", "urgency": "prod", "parts": 2, "cpus": 4.0, "cards": 0.0,
		"ramGb": 1.0, "bundle": "b", "imageGb": 0.5, "samePlace": false, "apart": false, "standby": false, "expectedS": 1.0, "snapshotEveryS": 0.0, "snapshotS": 0.0})
	if got := ask("POST", "/v1/jobs", spec); got != 503 {
		t.Errorf("a submission that can't be judged: %d", got)
	}
	// The user's next question should go to a node that can answer: this
	// connection ends.
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/jobs/req-4", nil))
	if w.Code != 503 || w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") == "" {
		t.Errorf("a poll with the state service away: %d %v", w.Code, w.Header())
	}
}

// The memory of final states is bounded and keeps the newest.
func TestFinalStatesAreBounded(t *testing.T) {
	var f finalStates
	id := func(n int) wire.JobID { return wire.JobID("req-" + strconv.Itoa(n)) }
	for n := range 5 * maxFinalStates {
		f.put(wire.JobState{ID: id(n), Status: wire.Done})
	}
	if len(f.young)+len(f.old) > 2*maxFinalStates {
		t.Errorf("%d states are kept", len(f.young)+len(f.old))
	}
	if _, ok := f.get(id(5*maxFinalStates - 1)); !ok {
		t.Error("the newest is gone")
	}
}
