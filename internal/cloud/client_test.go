package cloud_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

const (
	controllerIP = "10.0.0.1"
	cloudIP      = "10.0.0.2"
	cloudAddr    = cloudIP + ":8443"
	// unlimited is a request rate that no test reaches.
	unlimited = 1000
)

// receivedRequest is a request as the cloud received it.
type receivedRequest struct {
	at    time.Time
	route string // method, path and query
	body  []byte
}

// observedCall is what Client.Observe was given.
type observedCall struct {
	operation, outcome string
	duration           time.Duration
}

// fakeCloud serves one handler as the cloud's API, on a network in memory.
type fakeCloud struct {
	network *simulator.Network
	client  *cloud.Client

	mu       sync.Mutex
	received []receivedRequest
	observed []observedCall
}

// withCloud runs a test in virtual time against a cloud that answers with the
// handler; without one nothing listens at its address.
func withCloud(t *testing.T, rps float64, handler http.HandlerFunc, test func(t *testing.T, f *fakeCloud)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCloud{network: simulator.NewNetwork(time.Millisecond)}
		f.client = cloud.New(cloudAddr, config.CloudLimits{RPS: rps}, f.network.Host(controllerIP))
		f.client.Observe = f.observe
		if handler != nil {
			defer f.serve(t, handler)()
		}
		test(t, f)
		f.network.Close()
	})
}

// serve answers requests until the function that it returns is called.
func (f *fakeCloud) serve(t *testing.T, handler http.HandlerFunc) (stop func()) {
	t.Helper()
	listener, err := f.network.Host(cloudIP).Listen("tcp4", cloudAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := wire.ReadBody(r.Body, wire.MaxBody)
		if err != nil {
			t.Errorf("%s %s: body unreadable: %v", r.Method, r.URL, err)
		}
		f.mu.Lock()
		f.received = append(f.received, receivedRequest{time.Now(), r.Method + " " + r.URL.String(), body})
		f.mu.Unlock()
		handler(w, r)
	})}
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(listener) }) //nolint:errcheck // ends with Close
	return func() {
		server.Close()
		wg.Wait()
	}
}

func (f *fakeCloud) observe(operation, outcome string, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, observedCall{operation, outcome, duration})
}

// requests returns what the cloud has received.
func (f *fakeCloud) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

// calls returns what the client has told its observer.
func (f *fakeCloud) calls() []observedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observed)
}

// routes returns the routes that the cloud was asked for.
func (f *fakeCloud) routes() []string {
	var routes []string
	for _, r := range f.requests() {
		routes = append(routes, r.route)
	}
	return routes
}

// respondWith answers every request with the status and the encoded body.
func respondWith(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { wire.WriteResponse(w, status, body) }
}

// stall answers nothing until its client has given up.
func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// grantStore is a state service of which only the end of a grant is asked.
type grantStore struct{ duty.Store }

func (grantStore) RevokeGrant(context.Context, duty.GrantID) error { return nil }

// heldLease returns a lease that is held for the given time from now.
func heldLease(duration time.Duration) *duty.Lease {
	now := time.Now()
	candidate := duty.NewCandidate(duty.Options{Key: "lead", Node: "worker-1", Store: grantStore{}})
	return duty.NewLease(candidate, duty.Acquisition{Token: 7, AcquiredAt: now, ValidUntil: now.Add(duration)})
}

func permitFor[D duty.Duty](t *testing.T, lease *duty.Lease) duty.Permit[D] {
	t.Helper()
	permit, err := duty.PermitFor[D](lease)
	if err != nil {
		t.Fatal(err)
	}
	return permit
}

// sentinels are the classes of failed calls; an error is of one of them.
var sentinels = []error{cloud.ErrNoCapacity, cloud.ErrUnavailable, cloud.ErrInvalid, cloud.ErrUnknown}

// Every answer of the cloud, and the lack of one, is of one error class, is observed under the label that dashboards know,
// and is not asked for again by the client itself.
func TestAnswerDeterminesErrorClass(t *testing.T) {
	tests := []struct {
		name     string
		respond  http.HandlerFunc
		want     error // a sentinel, or nil
		status   int   // of the error; 0: no whole answer came
		label    string
		duration time.Duration // at least, and less than a second more
	}{
		{name: "success", respond: respondWith(http.StatusOK, wire.MachineNames{}), label: "ok"},
		{name: "rate limited", respond: respondWith(http.StatusTooManyRequests, wire.ErrorBody{Error: "rate"}),
			want: cloud.ErrUnavailable, status: http.StatusTooManyRequests, label: "cloud: busy or down"},
		{name: "rate limited with Retry-After, which is the caller's matter",
			respond: func(w http.ResponseWriter, _ *http.Request) {
				wire.WriteRetryableError(w, http.StatusTooManyRequests, "rate", 7)
			},
			want: cloud.ErrUnavailable, status: http.StatusTooManyRequests, label: "cloud: busy or down"},
		{name: "no capacity", respond: respondWith(http.StatusServiceUnavailable, wire.ErrorBody{Error: "no capacity"}),
			want: cloud.ErrNoCapacity, status: http.StatusServiceUnavailable, label: "cloud: no capacity"},
		{name: "unavailable for another reason", respond: respondWith(http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"}),
			want: cloud.ErrUnavailable, status: http.StatusServiceUnavailable, label: "cloud: busy or down"},
		{name: "unavailable without a body", respond: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			want: cloud.ErrUnavailable, status: http.StatusServiceUnavailable, label: "cloud: busy or down"},
		{name: "malformed request", respond: respondWith(http.StatusBadRequest, wire.ErrorBody{Error: "malformed"}),
			want: cloud.ErrInvalid, status: http.StatusBadRequest, label: "cloud: request refused as invalid"},
		{name: "status that the API does not have", respond: respondWith(http.StatusInternalServerError, wire.ErrorBody{}),
			want: cloud.ErrUnknown, status: http.StatusInternalServerError, label: "cloud: outcome unknown: status 500"},
		{name: "body of the wrong type", respond: respondWith(http.StatusOK, "hosts"),
			want: cloud.ErrUnknown, status: http.StatusOK, label: "cloud: outcome unknown: bad answer: cbor: cannot unmarshal UTF-8 text string into Go value of type wire.MachineNames"},
		{name: "body over the limit", respond: respondWith(http.StatusOK, bytes.Repeat([]byte{0}, 5<<20)),
			want: cloud.ErrUnknown, label: "cloud: outcome unknown"},
		{name: "connection closed without an answer", respond: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want: cloud.ErrUnknown, label: "cloud: outcome unknown"},
		{name: "no answer within the timeout", respond: stall,
			want: cloud.ErrUnknown, label: "cloud: outcome unknown", duration: 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withCloud(t, unlimited, tt.respond, func(t *testing.T, f *fakeCloud) {
				permit := permitFor[duty.ScaleOut](t, heldLease(time.Hour))
				begin := time.Now()
				_, err := f.client.ScaleOut(t.Context(), permit, wire.ScaleOutRequest{Name: "b-1", Count: 1})
				elapsed := time.Since(begin)
				checkClass(t, err, tt.want)
				checkFields(t, err, cloud.OperationScaleOut, tt.status)
				checkDuration(t, elapsed, tt.duration)
				if got := f.routes(); !slices.Equal(got, []string{"POST /machines"}) {
					t.Errorf("requests %q, want one POST /machines", got)
				}
				if got, want := f.calls(), []observedCall{{"rent", tt.label, elapsed}}; !slices.Equal(got, want) {
					t.Errorf("observed %v, want %v", got, want)
				}
			})
		})
	}
}

// checkClass fails the test unless the error is the sentinel, and no other.
func checkClass(t *testing.T, err, want error) {
	t.Helper()
	if (err == nil) != (want == nil) {
		t.Errorf("error %v, want %v", err, want)
	}
	for _, sentinel := range sentinels {
		if got := errors.Is(err, sentinel); got != (sentinel == want) {
			t.Errorf("errors.Is(%q, %q) = %v, want %v", err, sentinel, got, sentinel == want)
		}
	}
}

// checkFields fails the test unless an error is of the operation with the status, and names both.
func checkFields(t *testing.T, err error, operation cloud.Operation, status int) {
	t.Helper()
	if err == nil {
		return
	}
	var failed *cloud.Error
	if !errors.As(err, &failed) {
		t.Fatalf("%T %q, want a *cloud.Error", err, err)
	}
	if failed.Operation != operation || failed.Status != status {
		t.Errorf("operation %q, status %d, want %q, %d", failed.Operation, failed.Status, operation, status)
	}
	if prefix := string(operation) + ": " + failed.Class.Error(); !strings.HasPrefix(err.Error(), prefix) {
		t.Errorf("error text %q, want it to begin with %q", err, prefix)
	}
}

// checkDuration fails the test unless a call took at least so long, and less than a second more.
func checkDuration(t *testing.T, got, least time.Duration) {
	t.Helper()
	if got < least || got >= least+time.Second {
		t.Errorf("took %v, want %v to %v", got, least, least+time.Second)
	}
}

// A request that could not be sent was certainly not executed.
func TestUnreachableCloud(t *testing.T) {
	tests := []struct {
		name     string
		powerOff bool
		duration time.Duration
	}{
		{name: "connection refused"},
		{name: "host does not answer", powerOff: true, duration: 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withCloud(t, unlimited, nil, func(t *testing.T, f *fakeCloud) {
				f.network.SetPowerOff(cloudIP, tt.powerOff)
				begin := time.Now()
				_, err := f.client.List(t.Context())
				elapsed := time.Since(begin)
				checkClass(t, err, cloud.ErrUnavailable)
				checkFields(t, err, cloud.OperationList, 0)
				checkDuration(t, elapsed, tt.duration)
				if got, want := f.calls(), []observedCall{{"list", "cloud: busy or down", elapsed}}; !slices.Equal(got, want) {
					t.Errorf("observed %v, want %v", got, want)
				}
			})
		})
	}
}

// A caller's deadline ends a call before the client's own timeout, and its request may have been executed.
func TestCallerDeadlineLeavesOutcomeUnknown(t *testing.T) {
	withCloud(t, unlimited, stall, func(t *testing.T, f *fakeCloud) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err := f.client.MachineSpecs(ctx)
		checkClass(t, err, cloud.ErrUnknown)
		checkDuration(t, time.Since(begin), 1500*time.Millisecond)
	})
}

// Requests beyond a burst are spread over time at the node's share of the rate.
func TestRateBudgetDelaysRequests(t *testing.T) {
	const (
		rps   = 4
		rate  = 0.85 * rps // a second
		burst = 5          // 1.5 seconds' worth
		calls = 12
	)
	withCloud(t, rps, respondWith(http.StatusOK, wire.MachinePage{}), func(t *testing.T, f *fakeCloud) {
		begin := time.Now()
		for i := range calls {
			if _, err := f.client.List(t.Context()); err != nil {
				t.Errorf("call %d: %v", i, err)
			}
		}
		for i, r := range f.requests() {
			least := time.Duration(max(0, float64(i+1-burst)/rate) * float64(time.Second))
			if got := r.at.Sub(begin); got < least || got > least+100*time.Millisecond {
				t.Errorf("request %d after %v, want %v", i, got, least)
			}
		}
	})
}

// A call that the budget would delay beyond the call's timeout is refused at once, unsent.
func TestRateBudgetExhausted(t *testing.T) {
	withCloud(t, 1, respondWith(http.StatusOK, wire.MachinePage{}), func(t *testing.T, f *fakeCloud) {
		// One in 1.18 s: the first goes at once, three more wait up to 3.53 s, and the others would wait for more than 4 s.
		const calls, wantSent = 6, 4
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for range calls {
			wg.Go(func() {
				if _, err := f.client.List(t.Context()); errors.Is(err, cloud.ErrUnavailable) {
					mu.Lock()
					defer mu.Unlock()
					refused++
				}
			})
		}
		wg.Wait()
		if got := len(f.requests()); got != wantSent {
			t.Errorf("%d of %d requests sent, want %d", got, calls, wantSent)
		}
		if refused != calls-wantSent {
			t.Errorf("%d calls refused, want %d", refused, calls-wantSent)
		}
	})
}

// The permit is checked before a request leaves, also after the wait for the rate budget.
func TestRequestWithoutPermitIsNotSent(t *testing.T) {
	tests := []struct {
		name string
		// lose loses the lease, a second into the wait for the budget.
		lose func(ctx context.Context, lease *duty.Lease)
		hold time.Duration
		want error
	}{
		{name: "lease resigned during the wait", hold: time.Hour, want: duty.ErrNotHeld,
			lose: func(ctx context.Context, lease *duty.Lease) { lease.Resign(ctx, time.Now()) }},
		{name: "lease expired during the wait", hold: time.Second, want: cloud.ErrUnavailable,
			lose: func(context.Context, *duty.Lease) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withCloud(t, 0.1, respondWith(http.StatusOK, wire.MachinePage{}), func(t *testing.T, f *fakeCloud) {
				if _, err := f.client.List(t.Context()); err != nil { // takes the whole burst
					t.Fatal(err)
				}
				lease := heldLease(tt.hold)
				permit := permitFor[duty.ScaleOut](t, lease)
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(time.Second)
					tt.lose(t.Context(), lease)
				})
				_, err := f.client.ScaleOut(t.Context(), permit, wire.ScaleOutRequest{Name: "b-1", Count: 1})
				wg.Wait()
				if !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
				if got := f.routes(); len(got) != 1 {
					t.Errorf("requests %q, want the list alone", got)
				}
			})
		})
	}
}

// Without a lease nothing is sent, nor counted as a call.
func TestZeroPermitIsRefused(t *testing.T) {
	withCloud(t, unlimited, respondWith(http.StatusOK, wire.MachineNames{}), func(t *testing.T, f *fakeCloud) {
		if _, err := f.client.ScaleOut(t.Context(), duty.Permit[duty.ScaleOut]{}, wire.ScaleOutRequest{}); !errors.Is(err, duty.ErrNoPermit) {
			t.Errorf("ScaleOut: %v, want %v", err, duty.ErrNoPermit)
		}
		if err := f.client.ScaleIn(t.Context(), duty.Permit[duty.ScaleIn]{}, nil); !errors.Is(err, duty.ErrNoPermit) {
			t.Errorf("ScaleIn: %v, want %v", err, duty.ErrNoPermit)
		}
		if got := f.routes(); len(got) != 0 {
			t.Errorf("requests %q, want none", got)
		}
		if got := f.calls(); len(got) != 0 {
			t.Errorf("observed %v, want nothing", got)
		}
	})
}

// A request under way ends with the lease; it may have been executed.
func TestLeaseExpiryEndsRequest(t *testing.T) {
	withCloud(t, unlimited, stall, func(t *testing.T, f *fakeCloud) {
		permit := permitFor[duty.ScaleIn](t, heldLease(2*time.Second))
		begin := time.Now()
		err := f.client.ScaleIn(t.Context(), permit, []wire.MachineID{"n-1"})
		checkClass(t, err, cloud.ErrUnknown)
		checkDuration(t, time.Since(begin), 2*time.Second)
		if errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("error %v is %q, which says that the request was not sent", err, duty.ErrNotHeld)
		}
	})
}

// What is asked and answered is encoded as the cloud's API says.
func TestOperations(t *testing.T) {
	machineTypes := []wire.MachineSpec{{Name: "g8", GPUs: 8}}
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /flavors":
			wire.WriteResponse(w, http.StatusOK, wire.MachineSpecs{Types: machineTypes})
		case "POST /machines":
			wire.WriteResponse(w, http.StatusOK, wire.MachineNames{Machines: []wire.MachineID{"n-1", "n-2"}})
		case "POST /machines/release":
			wire.WriteResponse(w, http.StatusOK, struct{}{})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}
	withCloud(t, unlimited, handler, func(t *testing.T, f *fakeCloud) {
		lease := heldLease(time.Hour)
		request := wire.ScaleOutRequest{Name: "b-1", Type: "g8", Zone: "a", Spot: true, Count: 2}
		if got, err := f.client.MachineSpecs(t.Context()); err != nil || len(got) != 1 || got[0].Name != "g8" || got[0].GPUs != 8 {
			t.Errorf("MachineSpecs: %v, %v, want %v", got, err, machineTypes)
		}
		got, err := f.client.ScaleOut(t.Context(), permitFor[duty.ScaleOut](t, lease), request)
		if want := []wire.MachineID{"n-1", "n-2"}; err != nil || !slices.Equal(got, want) {
			t.Errorf("ScaleOut: %v, %v, want %v", got, err, want)
		}
		if err := f.client.ScaleIn(t.Context(), permitFor[duty.ScaleIn](t, lease), []wire.MachineID{"n-1"}); err != nil {
			t.Errorf("ScaleIn: %v", err)
		}
		want := []receivedRequest{
			{route: "GET /flavors"},
			{route: "POST /machines", body: wire.Encode(request)},
			{route: "POST /machines/release", body: wire.Encode(wire.MachineNames{Machines: []wire.MachineID{"n-1"}})},
		}
		requests := f.requests()
		if len(requests) != len(want) {
			t.Fatalf("requests %q, want %d", f.routes(), len(want))
		}
		for i, r := range requests {
			if r.route != want[i].route || !bytes.Equal(r.body, want[i].body) {
				t.Errorf("request %d: %s with body %x, want %s with body %x", i, r.route, r.body, want[i].route, want[i].body)
			}
		}
		var operations []string
		for _, c := range f.calls() {
			operations = append(operations, c.operation+" "+c.outcome)
		}
		if want := []string{"flavors ok", "rent ok", "release ok"}; !slices.Equal(operations, want) {
			t.Errorf("observed %q, want %q", operations, want)
		}
	})
}

// A cloud that offers nothing is not believed: the machine types that are known stay.
func TestEmptyMachineSpecsAreUnknown(t *testing.T) {
	withCloud(t, unlimited, respondWith(http.StatusOK, wire.MachineSpecs{}), func(t *testing.T, f *fakeCloud) {
		got, err := f.client.MachineSpecs(t.Context())
		checkClass(t, err, cloud.ErrUnknown)
		if len(got) != 0 {
			t.Errorf("machine types %v, want none", got)
		}
	})
}

// machinesFrom returns so many listed machines, numbered from first.
func machinesFrom(first, count int) []wire.ListedMachine {
	var machines []wire.ListedMachine
	for i := range count {
		machines = append(machines, wire.ListedMachine{Name: wire.MachineID(fmt.Sprintf("n-%04d", first+i)), State: wire.ListedRunning})
	}
	return machines
}

// The machine list is read page by page, each after the last machine of the one before.
func TestListReadsPages(t *testing.T) {
	const firstPage, nextPage = "GET /machines?page=500", "GET /machines?after=n-0499&page=500"
	full := wire.MachinePage{Machines: machinesFrom(0, 500), Truncated: true}
	tests := []struct {
		name   string
		pages  map[string]wire.MachinePage // by route; others fail
		routes []string
		want   int // machines
		err    error
	}{
		{name: "no machines", pages: map[string]wire.MachinePage{firstPage: {}}, routes: []string{firstPage}},
		{name: "one page", pages: map[string]wire.MachinePage{firstPage: {Machines: machinesFrom(0, 3)}}, routes: []string{firstPage}, want: 3},
		{name: "two pages", pages: map[string]wire.MachinePage{firstPage: full, nextPage: {Machines: machinesFrom(500, 20)}},
			routes: []string{firstPage, nextPage}, want: 520},
		{name: "truncated page without machines ends the list", pages: map[string]wire.MachinePage{firstPage: full, nextPage: {Truncated: true}},
			routes: []string{firstPage, nextPage}, want: 500},
		{name: "failed page fails the list", pages: map[string]wire.MachinePage{firstPage: full},
			routes: []string{firstPage, nextPage}, err: cloud.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handler := func(w http.ResponseWriter, r *http.Request) {
				page, ok := tt.pages[r.Method+" "+r.URL.String()]
				if !ok {
					wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"})
					return
				}
				wire.WriteResponse(w, http.StatusOK, page)
			}
			withCloud(t, unlimited, handler, func(t *testing.T, f *fakeCloud) {
				got, err := f.client.List(t.Context())
				checkClass(t, err, tt.err)
				if len(got) != tt.want {
					t.Errorf("%d machines, want %d", len(got), tt.want)
				}
				for i, m := range got {
					if want := fmt.Sprintf("n-%04d", i); string(m.Name) != want {
						t.Errorf("machine %d is %s, want %s", i, m.Name, want)
					}
				}
				if routes := f.routes(); !slices.Equal(routes, tt.routes) {
					t.Errorf("requests %q, want %q", routes, tt.routes)
				}
			})
		})
	}
}

// Only a request without a usable answer may have been executed, and only an invalid one can't succeed later.
func TestErrorSaysWhatACallerMayDo(t *testing.T) {
	tests := []struct {
		class                    error
		maybeExecuted, retryable bool
	}{
		{class: cloud.ErrNoCapacity, retryable: true},
		{class: cloud.ErrUnavailable, retryable: true},
		{class: cloud.ErrInvalid},
		{class: cloud.ErrUnknown, maybeExecuted: true, retryable: true},
	}
	for _, tt := range tests {
		t.Run(tt.class.Error(), func(t *testing.T) {
			err := &cloud.Error{Operation: cloud.OperationScaleIn, Class: tt.class}
			if got := err.MaybeExecuted(); got != tt.maybeExecuted {
				t.Errorf("MaybeExecuted() = %v, want %v", got, tt.maybeExecuted)
			}
			if got := err.Retryable(); got != tt.retryable {
				t.Errorf("Retryable() = %v, want %v", got, tt.retryable)
			}
		})
	}
}

// Errors of the client name the cloud, for logs that hold those of other services too.
func TestSentinelsNameTheCloud(t *testing.T) {
	for _, sentinel := range sentinels {
		if !strings.HasPrefix(sentinel.Error(), "cloud: ") {
			t.Errorf("%q does not name the cloud", sentinel)
		}
	}
}
