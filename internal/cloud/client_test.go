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
	// unlimitedRate is a request rate, per second, that no test reaches.
	unlimitedRate = 1000
)

// receivedRequest is a request as the cloud received it.
type receivedRequest struct {
	at    time.Time
	route string // method, path and query
	body  []byte
}

// observedCall holds the arguments of one call of Client.Observe.
type observedCall struct {
	operation, outcome string
	duration           time.Duration
}

// fakeCloud serves one handler as the cloud's API on an in-memory network.
type fakeCloud struct {
	network *simulator.Network
	client  *cloud.Client

	mu       sync.Mutex
	received []receivedRequest
	observed []observedCall
}

// withCloud runs a test in virtual time against a cloud that responds with the handler. If the handler
// is nil, nothing listens at the cloud's address.
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

// serve responds to requests with the handler until the returned function is called.
func (f *fakeCloud) serve(t *testing.T, handler http.HandlerFunc) (stop func()) {
	t.Helper()
	listener, err := f.network.Host(cloudIP).Listen("tcp4", cloudAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
		if err != nil {
			t.Errorf("%s %s: read request body: %v", r.Method, r.URL, err)
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

// requests returns the requests that the cloud has received.
func (f *fakeCloud) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

// calls returns the calls that the client has reported to Observe.
func (f *fakeCloud) calls() []observedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observed)
}

// routes returns the routes of the requests that the cloud has received.
func (f *fakeCloud) routes() []string {
	var routes []string
	for _, r := range f.requests() {
		routes = append(routes, r.route)
	}
	return routes
}

// respondWith responds to every request with the status and the encoded body.
func respondWith(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { wire.WriteResponse(w, status, body) }
}

// stall sends no response until the client cancels its request.
func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// grantStore is a key-value store that implements only RevokeGrant.
type grantStore struct{ duty.Store }

func (grantStore) RevokeGrant(context.Context, duty.GrantID) error { return nil }

// heldLease returns a lease that is held from now on for the given duration.
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

// sentinels are the classes of failed calls. Every error has exactly one of them.
var sentinels = []error{cloud.ErrNoCapacity, cloud.ErrUnavailable, cloud.ErrInvalidRequest, cloud.ErrOutcomeUnknown}

// The response, or the lack of one, determines the one class of the error. The call is observed under
// the label that dashboards match, and the client doesn't retry by itself.
func TestResponseDeterminesErrorClass(t *testing.T) {
	tests := []struct {
		name     string
		respond  http.HandlerFunc
		want     error // a sentinel, or nil
		status   int   // Error.Status; 0: no complete response
		label    string
		duration time.Duration // of the call, at least; less than a second more
	}{
		{name: "success", respond: respondWith(http.StatusOK, wire.MachineNames{}), label: "ok"},
		{name: "rate limited", respond: respondWith(http.StatusTooManyRequests, wire.ErrorBody{Error: "rate"}),
			want: cloud.ErrUnavailable, status: http.StatusTooManyRequests, label: "cloud: busy or down"},
		{name: "rate limited with Retry-After, which the client ignores",
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
			want: cloud.ErrInvalidRequest, status: http.StatusBadRequest, label: "cloud: request refused as invalid"},
		{name: "status that the API does not define", respond: respondWith(http.StatusInternalServerError, wire.ErrorBody{}),
			want: cloud.ErrOutcomeUnknown, status: http.StatusInternalServerError, label: "cloud: outcome unknown: status 500"},
		{name: "body of the wrong type", respond: respondWith(http.StatusOK, "hosts"),
			want: cloud.ErrOutcomeUnknown, status: http.StatusOK, label: "cloud: outcome unknown: bad answer: cbor: cannot unmarshal UTF-8 text string into Go value of type wire.MachineNames"},
		{name: "body over the limit", respond: respondWith(http.StatusOK, bytes.Repeat([]byte{0}, 5<<20)),
			want: cloud.ErrOutcomeUnknown, label: "cloud: outcome unknown"},
		{name: "connection closed without a response", respond: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want: cloud.ErrOutcomeUnknown, label: "cloud: outcome unknown"},
		{name: "no response within the timeout", respond: stall,
			want: cloud.ErrOutcomeUnknown, label: "cloud: outcome unknown", duration: 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withCloud(t, unlimitedRate, tt.respond, func(t *testing.T, f *fakeCloud) {
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

// checkClass fails the test unless the error is the wanted sentinel and no other. If want is nil, the
// error must be nil.
func checkClass(t *testing.T, err, want error) {
	t.Helper()
	if (err == nil) != (want == nil) {
		t.Errorf("call of the cloud: got error %v, want %v", err, want)
	}
	for _, sentinel := range sentinels {
		if got := errors.Is(err, sentinel); got != (sentinel == want) {
			t.Errorf("errors.Is(%q, %q) = %v, want %v", err, sentinel, got, sentinel == want)
		}
	}
}

// checkFields fails the test unless an error is nil or has the operation and the status. Its text must
// begin with the operation and the class.
func checkFields(t *testing.T, err error, operation cloud.Operation, status int) {
	t.Helper()
	if err == nil {
		return
	}
	var callErr *cloud.Error
	if !errors.As(err, &callErr) {
		t.Fatalf("error of type %T: %q, want a *cloud.Error", err, err)
	}
	if callErr.Operation != operation || callErr.Status != status {
		t.Errorf("operation %q, status %d, want %q, %d", callErr.Operation, callErr.Status, operation, status)
	}
	if prefix := string(operation) + ": " + callErr.Class.Error(); !strings.HasPrefix(err.Error(), prefix) {
		t.Errorf("error text %q, want it to begin with %q", err, prefix)
	}
}

// checkDuration fails the test unless a call took at least the minimum, and less than a second more.
func checkDuration(t *testing.T, got, minimum time.Duration) {
	t.Helper()
	if got < minimum || got >= minimum+time.Second {
		t.Errorf("call took %v, want %v to %v", got, minimum, minimum+time.Second)
	}
}

// A request that could not be sent was certainly not executed.
func TestUnreachableCloudIsUnavailable(t *testing.T) {
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
			withCloud(t, unlimitedRate, nil, func(t *testing.T, f *fakeCloud) {
				f.network.SetPowerOff(cloudIP, tt.powerOff)
				begin := time.Now()
				_, err := f.client.ListMachines(t.Context())
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

// A caller's deadline that precedes the client's own timeout ends the call. The request may have been
// executed.
func TestCallerDeadlineLeavesOutcomeUnknown(t *testing.T) {
	withCloud(t, unlimitedRate, stall, func(t *testing.T, f *fakeCloud) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err := f.client.MachineSpecs(ctx)
		checkClass(t, err, cloud.ErrOutcomeUnknown)
		checkDuration(t, time.Since(begin), 1500*time.Millisecond)
	})
}

// Requests beyond a burst are delayed so that they are sent at the node's share of the rate.
func TestRateBudgetDelaysRequests(t *testing.T) {
	const (
		rps   = 4
		rate  = 0.85 * rps // requests per second
		burst = 5          // requests in 1.5 s at the rate
		calls = 12
	)
	withCloud(t, rps, respondWith(http.StatusOK, wire.MachinePage{}), func(t *testing.T, f *fakeCloud) {
		begin := time.Now()
		for i := range calls {
			if _, err := f.client.ListMachines(t.Context()); err != nil {
				t.Errorf("call %d: %v", i, err)
			}
		}
		for i, r := range f.requests() {
			earliest := time.Duration(max(0, float64(i+1-burst)/rate) * float64(time.Second))
			if got := r.at.Sub(begin); got < earliest || got > earliest+100*time.Millisecond {
				t.Errorf("request %d received after %v, want %v", i, got, earliest)
			}
		}
	})
}

// A call that the rate budget would delay beyond the call's timeout fails at once, and its request is
// not sent.
func TestCallFailsAtOnceIfRateBudgetIsExhausted(t *testing.T) {
	withCloud(t, 1, respondWith(http.StatusOK, wire.MachinePage{}), func(t *testing.T, f *fakeCloud) {
		// The budget is one request per 1.18 s. The first is sent at once and three more after up to
		// 3.53 s. The others would wait for more than 4 s.
		const calls, wantSent = 6, 4
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for range calls {
			wg.Go(func() {
				if _, err := f.client.ListMachines(t.Context()); errors.Is(err, cloud.ErrUnavailable) {
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

// A request is not sent if the permit is lost during the wait for the rate budget.
func TestRequestWithoutPermitIsNotSent(t *testing.T) {
	tests := []struct {
		name string
		// endLease is called one second into the wait for the rate budget.
		endLease func(ctx context.Context, lease *duty.Lease)
		validFor time.Duration // of the lease
		want     error
	}{
		{name: "lease resigned during the wait", validFor: time.Hour, want: duty.ErrNotHeld,
			endLease: func(ctx context.Context, lease *duty.Lease) { lease.Resign(ctx, time.Now()) }},
		{name: "lease expired during the wait", validFor: time.Second, want: cloud.ErrUnavailable,
			endLease: func(context.Context, *duty.Lease) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withCloud(t, 0.1, respondWith(http.StatusOK, wire.MachinePage{}), func(t *testing.T, f *fakeCloud) {
				if _, err := f.client.ListMachines(t.Context()); err != nil { // uses up the whole burst
					t.Fatal(err)
				}
				lease := heldLease(tt.validFor)
				permit := permitFor[duty.ScaleOut](t, lease)
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(time.Second)
					tt.endLease(t.Context(), lease)
				})
				_, err := f.client.ScaleOut(t.Context(), permit, wire.ScaleOutRequest{Name: "b-1", Count: 1})
				wg.Wait()
				if !errors.Is(err, tt.want) {
					t.Errorf("ScaleOut: got error %v, want %v", err, tt.want)
				}
				if got := f.routes(); len(got) != 1 {
					t.Errorf("requests %q, want only the list", got)
				}
			})
		})
	}
}

// With a zero permit nothing is sent, and no call is observed.
func TestZeroPermitIsRefused(t *testing.T) {
	withCloud(t, unlimitedRate, respondWith(http.StatusOK, wire.MachineNames{}), func(t *testing.T, f *fakeCloud) {
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

// A request that is in flight when the lease expires is cancelled. It may have been executed.
func TestLeaseExpiryEndsRequest(t *testing.T) {
	withCloud(t, unlimitedRate, stall, func(t *testing.T, f *fakeCloud) {
		permit := permitFor[duty.ScaleIn](t, heldLease(2*time.Second))
		begin := time.Now()
		err := f.client.ScaleIn(t.Context(), permit, []wire.MachineID{"n-1"})
		checkClass(t, err, cloud.ErrOutcomeUnknown)
		checkDuration(t, time.Since(begin), 2*time.Second)
		if errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("error %v is %q, which says that the request was not sent", err, duty.ErrNotHeld)
		}
	})
}

// Requests and responses are encoded as the cloud's API requires.
func TestOperationsMatchTheAPI(t *testing.T) {
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
	withCloud(t, unlimitedRate, handler, func(t *testing.T, f *fakeCloud) {
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

// An empty list of machine types is an error, so that the caller keeps the types that it knows.
func TestEmptyMachineSpecsAreUnknown(t *testing.T) {
	withCloud(t, unlimitedRate, respondWith(http.StatusOK, wire.MachineSpecs{}), func(t *testing.T, f *fakeCloud) {
		got, err := f.client.MachineSpecs(t.Context())
		checkClass(t, err, cloud.ErrOutcomeUnknown)
		if len(got) != 0 {
			t.Errorf("MachineSpecs: got machine types %v, want none", got)
		}
	})
}

// machinesFrom returns count listed machines, numbered from first.
func machinesFrom(first, count int) []wire.ListedMachine {
	var machines []wire.ListedMachine
	for i := range count {
		machines = append(machines, wire.ListedMachine{Name: wire.MachineID(fmt.Sprintf("n-%04d", first+i)), State: wire.ListedRunning})
	}
	return machines
}

// The machine list is read page by page. Each page begins after the last machine of the previous
// one.
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
			withCloud(t, unlimitedRate, handler, func(t *testing.T, f *fakeCloud) {
				got, err := f.client.ListMachines(t.Context())
				checkClass(t, err, tt.err)
				if len(got) != tt.want {
					t.Errorf("ListMachines: got %d machines, want %d", len(got), tt.want)
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

// Only a request with an unknown outcome may have been executed. Only an invalid one can't succeed
// later.
func TestErrorClassDeterminesExecutionAndRetry(t *testing.T) {
	tests := []struct {
		class                    error
		maybeExecuted, retryable bool
	}{
		{class: cloud.ErrNoCapacity, retryable: true},
		{class: cloud.ErrUnavailable, retryable: true},
		{class: cloud.ErrInvalidRequest},
		{class: cloud.ErrOutcomeUnknown, maybeExecuted: true, retryable: true},
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

// Error texts name the cloud, since logs also hold errors of other services.
func TestSentinelsNameTheCloud(t *testing.T) {
	for _, sentinel := range sentinels {
		if !strings.HasPrefix(sentinel.Error(), "cloud: ") {
			t.Errorf("%q does not name the cloud", sentinel)
		}
	}
}
