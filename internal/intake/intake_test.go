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

// newIntakeWithoutStore returns an Intake whose key-value store can't be reached, and
// the handler of its routes.
func newIntakeWithoutStore(t *testing.T) (*Intake, http.Handler) {
	t.Helper()
	limits := config.State{RPS: 100, WriteRPS: 100, TxnOps: 12, ValueKB: 16}
	settings := &config.Settings{Teams: []config.Team{{Name: "red"}}, State: limits, Limits: config.Limits{FDLimit: 900}}
	unreachable := netio.Net{Dial: func(context.Context, string, string) (net.Conn, error) {
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

// request sends a request to a handler and returns what it wrote.
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
		t.Errorf("with all slots taken: got %d, Retry-After %q, want 429 with Retry-After", w.Code, w.Header().Get("Retry-After"))
	}
	<-in.inFlight
	w = request(h, "GET", "/v1/jobs/req-1", nil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("with a free slot and an unreachable store: got %d, Retry-After %q, want 503 with Retry-After", w.Code, w.Header().Get("Retry-After"))
	}
	if got, want := len(in.inFlight), cap(in.inFlight)-1; got != want {
		t.Errorf("slots taken after the request: got %d, want %d", got, want)
	}
}

// A final state is served without the store, forever; what can't be read is 503 and
// never 404; what can't be judged yet is 503.
func TestUnreachableStoreAllowsOnlyFinalStates(t *testing.T) {
	in, h := newIntakeWithoutStore(t)
	in.finals.put(wire.JobState{ID: "req-1", Status: wire.Done, Done: 3})
	in.finals.put(wire.JobState{ID: "req-2", Status: wire.Running})
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
		{"submission that can't be judged yet", "POST", "/v1/jobs", spec, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := request(h, tt.method, tt.path, tt.body).Code; got != tt.want {
				t.Errorf("%s %s: got %d, want %d", tt.method, tt.path, got, tt.want)
			}
		})
	}
}

// The user's next request should reach a node that can serve it.
func TestUnreachableStoreEndsConnection(t *testing.T) {
	_, h := newIntakeWithoutStore(t)
	w := request(h, "GET", "/v1/jobs/req-4", nil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") == "" {
		t.Errorf("poll: got %d %v, want 503 with Connection: close and Retry-After", w.Code, w.Header())
	}
}

func TestFinalStatesAreBoundedAndKeepTheNewest(t *testing.T) {
	var finals finalStates
	id := func(n int) wire.JobID { return wire.JobID("req-" + strconv.Itoa(n)) }
	for n := range 5 * maxFinalStates {
		finals.put(wire.JobState{ID: id(n), Status: wire.Done})
	}
	if got, limit := len(finals.young)+len(finals.old), 2*maxFinalStates; got > limit {
		t.Errorf("states kept: got %d, want at most %d", got, limit)
	}
	newest := id(5*maxFinalStates - 1)
	if _, ok := finals.get(newest); !ok {
		t.Errorf("the newest state, of %s, is not kept", newest)
	}
}

func TestTaskCountIsReadAgainAfterItsLifetime(t *testing.T) {
	counts := newTaskCounts(100, 3)
	if count, fresh := counts.get("req-1"); fresh || count != (taskCount{}) {
		t.Errorf("before any read: got %+v, fresh %t, want nothing", count, fresh)
	}
	young := taskCount{done: 1, running: 2, readAt: time.Now()}
	counts.put("req-1", young)
	if count, fresh := counts.get("req-1"); !fresh || count != young {
		t.Errorf("just read: got %+v, fresh %t, want %+v, fresh", count, fresh, young)
	}
	old := taskCount{done: 1, readAt: time.Now().Add(-taskCountLifetime)}
	counts.put("req-1", old)
	if count, fresh := counts.get("req-1"); fresh || count != old {
		t.Errorf("read long ago: got %+v, fresh %t, want %+v, not fresh", count, fresh, old)
	}
}

func TestTaskCountsAreBounded(t *testing.T) {
	counts := newTaskCounts(100, 3)
	for n := range 2*maxTaskCounts + 1 {
		counts.put(wire.JobID("req-"+strconv.Itoa(n)), taskCount{done: n})
		if len(counts.byJob) > maxTaskCounts {
			t.Fatalf("counts kept after %d: got %d, want at most %d", n+1, len(counts.byJob), maxTaskCounts)
		}
	}
}

func TestTaskCountReadsShareTheStoresRate(t *testing.T) {
	for _, tt := range []struct {
		name     string
		storeRPS float64
		nodes    int
		want     float64
	}{
		{"one node has the whole share", 100, 1, 15},
		{"three nodes have a third each", 100, 3, 5},
		{"a low limit leaves the minimum", 1, 3, minTaskCountRate},
		{"an unknown number of nodes counts as one", 100, 0, 15},
	} {
		t.Run(tt.name, func(t *testing.T) {
			counts := newTaskCounts(tt.storeRPS, tt.nodes)
			if got := float64(counts.reads.Limit()); got != tt.want {
				t.Errorf("newTaskCounts(%g, %d): got %g reads a second, want %g", tt.storeRPS, tt.nodes, got, tt.want)
			}
		})
	}
}

func TestCheckFeasible(t *testing.T) {
	const maxTextBytes = 120
	types := []wire.MachineSpec{{Name: "small", CPUs: 8, MemoryGB: 16, DiskGB: 100, Zones: []wire.Zone{"a"}}}
	valid := wire.JobSpec{ID: "req-1", Class: "batch", Team: "red", Kind: wire.KindArray, Tasks: 10, CPUs: 4, MemoryGB: 8}
	for _, tt := range []struct {
		name   string
		change func(*wire.JobSpec)
		types  []wire.MachineSpec
		want   error
	}{
		{"array of which one task fits the team's limit", func(*wire.JobSpec) {}, types, nil},
		{"unknown team", func(s *wire.JobSpec) { s.Team = "blue" }, types, errUnknownTeam},
		{"task over the CPU limit", func(s *wire.JobSpec) { s.CPUs = 20.5 }, types, errOverTeamLimit},
		{"gang over the CPU limit", func(s *wire.JobSpec) { s.Kind = wire.KindGang }, types, errOverTeamLimit},
		{"service over the CPU limit", func(s *wire.JobSpec) { s.Kind = wire.KindService }, types, errOverTeamLimit},
		{"gang at the CPU limit", func(s *wire.JobSpec) { s.Kind, s.Tasks = wire.KindGang, 5 }, types, nil},
		{"task over the GPU limit", func(s *wire.JobSpec) { s.GPUs = 3 }, types, errOverTeamLimit},
		{"record over the store's limit", func(s *wire.JobSpec) {
			for range 64 {
				s.MachineTypes = append(s.MachineTypes, wire.MachineType(bytes.Repeat([]byte{'x'}, maxTextBytes)))
			}
		}, types, errRecordOverLimit},
		{"machine types unknown", func(*wire.JobSpec) {}, nil, errMachineTypesUnknown},
		{"no machine type at all", func(*wire.JobSpec) {}, []wire.MachineSpec{}, errFitsNoMachine},
		{"task larger than every machine", func(s *wire.JobSpec) { s.MemoryGB = 17 }, types, errFitsNoMachine},
		{"no allowed machine type", func(s *wire.JobSpec) { s.MachineTypes = []wire.MachineType{"large"} }, types, errFitsNoMachine},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in, _ := newIntakeWithoutStore(t)
			in.settings.Teams = []config.Team{{Name: "red", CPUsMax: 20, GPUsMax: 2}}
			in.settings.State.ValueKB = 4
			in.machineTypes = func() []wire.MachineSpec { return tt.types }
			spec := valid
			tt.change(&spec)
			if got := in.checkFeasible(&spec); !errors.Is(got, tt.want) {
				t.Errorf("checkFeasible(%+v): got %v, want %v", spec, got, tt.want)
			}
		})
	}
}

func TestShrinkToFitDropsOnlyWhatIsTooMuch(t *testing.T) {
	in, _ := newIntakeWithoutStore(t)
	in.settings.State.ValueKB = 1
	manyTypes := make([]wire.MachineType, 64)
	for i := range manyTypes {
		manyTypes[i] = "a-machine-type-with-a-long-name"
	}
	longName := string(bytes.Repeat([]byte{1}, 120)) // six bytes each in JSON
	for _, tt := range []struct {
		name                string
		spec                wire.JobSpec
		mustShrink          bool
		wantTypes, wantText bool
	}{
		{"small record", wire.JobSpec{Class: "batch", Image: "image", MachineTypes: manyTypes[:1]}, false, true, true},
		{"small record that the store refused", wire.JobSpec{Class: "batch", Image: "image", MachineTypes: manyTypes[:1]}, true, false, true},
		{"too many machine types", wire.JobSpec{Class: "batch", Image: "image", MachineTypes: manyTypes}, false, false, true},
		{"names too long as well", wire.JobSpec{Class: longName, Image: wire.ImageID(longName), MachineTypes: manyTypes}, false, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rec := store.JobRecord{Spec: tt.spec, Status: wire.Cancelled}
			in.shrinkToFit(&rec, tt.mustShrink)
			if got := rec.Spec.MachineTypes != nil; got != tt.wantTypes {
				t.Errorf("machine types kept: got %t, want %t", got, tt.wantTypes)
			}
			if got := rec.Spec.Class != "" && rec.Spec.Image != ""; got != tt.wantText {
				t.Errorf("class and image kept: got %t, want %t", got, tt.wantText)
			}
			if !in.recordFits(&rec) {
				t.Errorf("the record is still too large: %+v", rec)
			}
		})
	}
}
