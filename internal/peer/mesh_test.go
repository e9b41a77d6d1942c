package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

const (
	ipA, ipB = "10.0.0.1", "10.0.0.2"
	port     = ":1"
	// leaderToken is the token with which node a leads.
	leaderToken = 7
	// connectTime is long enough for two newly started nodes to acknowledge tokens.
	connectTime = AckLifetime + 1500*time.Millisecond
)

// pair is two nodes on an in-memory network. Node a leads with leaderToken, and b learns the token from
// a.
type pair struct {
	network *simulator.Network
	ctx     context.Context
	a, b    *Mesh
	// logs holds the log lines of both nodes.
	logs lockedBuffer
	// cancelsA and cancelsB are the nodes' logs of cancellations.
	cancelsA, cancelsB *cancels.Log

	mu      sync.Mutex
	statusB Status
}

// setStatusB changes the status that node b states.
func (p *pair) setStatusB(s Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statusB = s
}

func (p *pair) statusOfB() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statusB
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// withPair runs a test in virtual time with two nodes that have just started.
func withPair(t *testing.T, test func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{network: simulator.NewNetwork(time.Millisecond), statusB: Status{StateReachable: true}}
		ctx, cancel := context.WithCancel(t.Context())
		p.ctx = ctx
		var running sync.WaitGroup
		var stops []func()
		start := func(name, other wire.NodeID, ip, otherIP string, status func() Status) (*Mesh, *cancels.Log) {
			cancelLog := cancels.New([]wire.NodeID{other}, time.Minute)
			log := slog.New(slog.NewTextHandler(&p.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
			m := New(name, []config.Peer{{HostName: other, Addr: otherIP + port}}, status, cancelLog, p.network.Host(ip), log)
			stops = append(stops, serveHTTP2(t, p.network, ip, m))
			running.Go(func() { m.Run(ctx) })
			return m, cancelLog
		}
		statusA := Status{Leads: true, Delegation: leaderToken, StateReachable: true}
		p.a, p.cancelsA = start("a", "b", ipA, ipB, func() Status { return statusA })
		p.b, p.cancelsB = start("b", "a", ipB, ipA, p.statusOfB)
		p.a.ObserveToken(ctx, leaderToken)
		test(t, p)
		cancel()
		p.network.Close()
		running.Wait()
		for _, stop := range stops {
			stop()
		}
		p.network.Close()
	})
}

// serveHTTP2 serves a handler on a host until the returned function is called.
func serveHTTP2(t *testing.T, network *simulator.Network, ip string, handler http.Handler) (stop func()) {
	t.Helper()
	listener, err := network.Host(ip).Listen("tcp4", ip+port)
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: &protocols}
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(listener) }) //nolint:errcheck // ends with Close
	return func() {
		server.Close()
		wg.Wait()
	}
}

// acked reports whether, in the view of a, both nodes currently acknowledge the token.
func (p *pair) acked(token wire.FencingToken) bool {
	return p.a.View().AckedUntil(token, 2).After(time.Now())
}

// Heartbeats and responses spread tokens, acknowledgements, status and cancellations.
func TestHeartbeatsSpreadTokensAndStatus(t *testing.T) {
	tests := []struct {
		name string
		test func(t *testing.T, p *pair)
	}{
		{"newly started process acknowledges nothing for AckLifetime", func(t *testing.T, p *pair) {
			time.Sleep(AckLifetime - 500*time.Millisecond)
			if p.acked(leaderToken) {
				t.Error("acknowledged by a newly started process")
			}
			time.Sleep(2 * time.Second)
			if !p.acked(leaderToken) {
				t.Error("no acknowledgement after AckLifetime")
			}
		}},
		{"node that refuses acknowledgements acknowledges nothing", func(t *testing.T, p *pair) {
			p.setStatusB(Status{RefusesAcks: true})
			time.Sleep(connectTime)
			if p.acked(leaderToken) {
				t.Error("acknowledged by a node that refuses to")
			}
			if token := p.b.View().Token; token != leaderToken {
				t.Errorf("b knows token %d, want %d", token, leaderToken)
			}
		}},
		{"token and leader become known", func(t *testing.T, p *pair) {
			time.Sleep(connectTime)
			if v := p.b.View(); v.Token != leaderToken || v.Leader != "a" {
				t.Errorf("b knows token %d, leader %q, want %d, a", v.Token, v.Leader, leaderToken)
			}
		}},
		{"higher token ends acknowledgements of the lower one", func(t *testing.T, p *pair) {
			time.Sleep(connectTime)
			p.b.ObserveToken(p.ctx, 9)
			time.Sleep(time.Second)
			if got := p.a.View().AckedUntil(leaderToken, 1); got.After(time.Now()) {
				t.Errorf("lower token acknowledged until %v, want not acknowledged", got)
			}
			if token := p.a.View().Token; token != 9 {
				t.Errorf("a knows token %d, want 9", token)
			}
		}},
		{"partition ends acknowledgements until it heals", func(t *testing.T, p *pair) {
			time.Sleep(connectTime)
			if !p.acked(leaderToken) {
				t.Error("no acknowledgement before the partition")
			}
			p.network.Cut(ipA, ipB, true)
			time.Sleep(AckLifetime + time.Second)
			if p.acked(leaderToken) {
				t.Error("acknowledged during a partition")
			}
			p.network.Cut(ipA, ipB, false)
			time.Sleep(5 * time.Second)
			if !p.acked(leaderToken) {
				t.Error("no acknowledgement after the partition has healed")
			}
		}},
		{"status becomes known", func(t *testing.T, p *pair) {
			p.setStatusB(Status{StateReachable: true, ReachableAgents: 12, Incarnation: "c0ffee", ActiveVersion: 2})
			time.Sleep(time.Second)
			got := p.a.View().Peers["b"]
			if !got.StateReachable || got.ReachableAgents != 12 || got.Incarnation != "c0ffee" || got.ActiveVersion != 2 {
				t.Errorf("a knows heartbeat %+v of b, want the status that b states", got.Heartbeat)
			}
		}},
		{"upper bound of the start becomes known", func(t *testing.T, p *pair) {
			started := time.Now()
			time.Sleep(connectTime)
			if got := p.a.View().Peers["b"].LatestProcessStart; got.Before(started) || got.After(started.Add(100*time.Millisecond)) {
				t.Errorf("latest start of b is %v, want at most 100 ms after %v", got, started)
			}
		}},
		{"cancellations become known", func(t *testing.T, p *pair) {
			p.cancelsB.Add("req-1", 0)
			time.Sleep(time.Second)
			if _, ok := p.cancelsA.ConfirmedAt("req-1"); !ok {
				t.Error("a does not know of a cancellation that b confirmed")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { withPair(t, tt.test) })
	}
}

// A leader's delegation reaches the other node. The leader learns when that node renewed leases as a
// delegate.
func TestDelegationsAndRenewalsBecomeKnown(t *testing.T) {
	tests := []struct {
		name string
		test func(t *testing.T, p *pair)
	}{
		{"delegation counts from the request, and the leader records it later", func(t *testing.T, p *pair) {
			time.Sleep(connectTime)
			got := p.b.View().Delegation
			if got.Token != leaderToken || time.Since(got.RequestedAt) > time.Second {
				t.Errorf("delegation %+v, want token %d and a request less than a second before %v", got, leaderToken, time.Now())
			}
			if granted := p.a.View().Peers["b"].DelegationGrantedAt; granted.Before(got.RequestedAt) {
				t.Errorf("granted at %v, want no earlier than the request at %v", granted, got.RequestedAt)
			}
		}},
		{"no delegation under a token that is not the highest", func(t *testing.T, p *pair) {
			time.Sleep(connectTime)
			p.b.ObserveToken(p.ctx, 9)
			time.Sleep(time.Second)
			if got := p.b.View().Delegation; got.Token != leaderToken || time.Since(got.RequestedAt) < 900*time.Millisecond {
				t.Errorf("delegation under a lower token granted again: %+v at %v", got, time.Now())
			}
		}},
		{"renewal as a delegate becomes known", func(t *testing.T, p *pair) {
			time.Sleep(connectTime)
			if got := p.a.View().Peers["b"].LastDelegatedRenewal; !got.IsZero() {
				t.Errorf("renewal known at %v, want none", got)
			}
			p.b.RecordRenewal()
			renewed := time.Now()
			time.Sleep(time.Second)
			if got := p.a.View().Peers["b"].LastDelegatedRenewal; got.Before(renewed) || got.After(renewed.Add(100*time.Millisecond)) {
				t.Errorf("latest renewal known at %v, want at most 100 ms after %v", got, renewed)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { withPair(t, tt.test) })
	}
}

// The age of the last renewal is 0 before the first renewal and positive afterwards.
func TestSinceRenewalIsZeroBeforeFirstRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", nil, func() Status { return Status{} }, cancels.New(nil, time.Minute), simulator.NewNetwork(0).Host(ipA), discardLog())
		if got := m.SinceRenewal(); got != 0 {
			t.Errorf("SinceRenewal() = %v before the first renewal, want 0", got)
		}
		m.RecordRenewal()
		if got := m.SinceRenewal(); got <= 0 || got > time.Millisecond {
			t.Errorf("SinceRenewal() = %v right after a renewal, want above 0 and at most 1 ms", got)
		}
		time.Sleep(time.Minute)
		if got := m.SinceRenewal(); got < time.Minute-time.Millisecond || got > time.Minute {
			t.Errorf("SinceRenewal() = %v a minute after a renewal, want a minute", got)
		}
	})
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// The active version is learnt from heartbeats and from responses. Without negotiation, neither states
// one.
func TestVersionIsLearntFromHeartbeatsAndResponses(t *testing.T) {
	tests := []struct {
		name    string
		message Heartbeat
		want    []uint64
	}{
		{"active version", Heartbeat{From: "b", ActiveVersion: 2}, []uint64{2, 2}},
		{"version not negotiated", Heartbeat{From: "b"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New("a", nil, func() Status { return Status{} }, cancels.New(nil, time.Minute), simulator.NewNetwork(0).Host(ipA), discardLog())
			var learnt []uint64
			m.ObserveVersion = func(version uint64) { learnt = append(learnt, version) }
			view := &View{Peers: map[wire.NodeID]Peer{}}
			heartbeatReceived{tt.message, make(chan Heartbeat, 1)}.handle(m, view)
			responseReceived{"b", tt.message, time.Now()}.handle(m, view)
			if len(learnt) != len(tt.want) || len(learnt) > 0 && learnt[0] != tt.want[0] {
				t.Errorf("learnt %v, want %v", learnt, tt.want)
			}
		})
	}
}

// Run returns only after the goroutines of its streams have ended.
func TestRunWaitsForItsStreams(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc // of the peer; nil: nothing listens
	}{
		{"peer does not listen", nil},
		{"peer refuses the stream", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }},
		{"peer does not respond to the stream request", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"peer accepts the stream and answers no heartbeat", func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush() //nolint:errcheck // then the stream ends
			<-r.Context().Done()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := simulator.NewNetwork(time.Millisecond)
				if tt.handler != nil {
					defer serveHTTP2(t, network, ipB, tt.handler)()
				}
				m := New("a", []config.Peer{{HostName: "b", Addr: ipB + port}}, func() Status { return Status{} },
					cancels.New(nil, time.Minute), network.Host(ipA), discardLog())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begin := time.Now()
				m.Run(ctx)
				if got := time.Since(begin); got != time.Second {
					t.Errorf("Run returned after %v, want with the end of the context after %v", got, time.Second)
				}
				if running := streamGoroutines(); running > 0 {
					t.Errorf("%d goroutines of streams still run after Run, want 0", running)
				}
				network.Close()
			})
		})
	}
}

// A stream that ends before its context returns only after its sending goroutine has ended.
func TestStreamWaitsForItsSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulator.NewNetwork(time.Millisecond)
		defer serveHTTP2(t, network, ipB, http.NotFoundHandler())()
		p := config.Peer{HostName: "b", Addr: ipB + port}
		m := New("a", []config.Peer{p}, func() Status { return Status{} }, cancels.New(nil, time.Minute), network.Host(ipA), discardLog())
		if err := m.runStream(t.Context(), p); !errors.Is(err, errStreamRefused) {
			t.Errorf("runStream: error %v, want %v", err, errStreamRefused)
		}
		if running := streamGoroutines(); running > 0 {
			t.Errorf("%d goroutines of the stream still run after runStream, want 0", running)
		}
		network.Close()
	})
}

// streamGoroutines returns how many goroutines run outgoing streams, by the functions on their stacks.
func streamGoroutines() int {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	return strings.Count(string(stacks), "(*outgoingStream).sendHeartbeats(") + strings.Count(string(stacks), "(*Mesh).runStream(")
}

// A stream on which no responses arrive is closed and reopened.
func TestIdleStreamIsReopened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simulator.NewNetwork(time.Millisecond)
		var mu sync.Mutex
		var opened []time.Time
		defer serveHTTP2(t, network, ipB, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			opened = append(opened, time.Now())
			mu.Unlock()
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush() //nolint:errcheck // then the stream ends
			<-r.Context().Done()
		}))()
		m := New("a", []config.Peer{{HostName: "b", Addr: ipB + port}}, func() Status { return Status{} },
			cancels.New(nil, time.Minute), network.Host(ipA), discardLog())
		ctx, cancel := context.WithTimeout(t.Context(), 3*streamIdleTimeout)
		defer cancel()
		m.Run(ctx)
		mu.Lock()
		defer mu.Unlock()
		if len(opened) != 3 {
			t.Fatalf("%d streams opened in %v, want 3", len(opened), 3*streamIdleTimeout)
		}
		for i, next := range opened[1:] {
			want := streamIdleTimeout + heartbeatPeriod
			if got := next.Sub(opened[i]); got < want || got > want+100*time.Millisecond {
				t.Errorf("stream %d opened %v after the previous one, want %v", i+2, got, want)
			}
		}
		network.Close()
	})
}

// A heartbeat that can't be decoded or is from an unknown node ends its stream. Only one that arrived
// completely and can't be decoded is logged as an error.
func TestInvalidHeartbeatEndsItsStream(t *testing.T) {
	tests := []struct {
		name    string
		body    []byte
		wantLog string
	}{
		{name: "wrong type", body: wire.Encode("heartbeat"), wantLog: "level=ERROR msg=\"undecodable input rejected\" source=\"a heartbeat from " + ipA},
		{name: "malformed", body: []byte{0xff}, wantLog: "level=ERROR msg=\"undecodable input rejected\" source=\"a heartbeat from " + ipA},
		{name: "cut short", body: wire.Encode(Heartbeat{From: "a"})[:3]},
		{name: "unknown sender", body: wire.Encode(Heartbeat{From: "unknown"})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withPair(t, func(t *testing.T, p *pair) {
				client := &http.Client{Transport: newTransport(p.network.Host(ipA))}
				defer client.CloseIdleConnections()
				resp, err := client.Post("http://"+ipB+port+streamPath, wire.ContentType, bytes.NewReader(tt.body))
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				received, err := io.ReadAll(resp.Body)
				if err != nil || len(received) > 0 {
					t.Errorf("response body %x, error %v, want the end of the stream", received, err)
				}
				logs := p.logs.String()
				if tt.wantLog == "" && strings.Contains(logs, "level=ERROR") {
					t.Errorf("logged %q, want no error", logs)
				}
				if !strings.Contains(logs, tt.wantLog) {
					t.Errorf("logged %q, want %q", logs, tt.wantLog)
				}
				time.Sleep(connectTime)
				if !p.acked(leaderToken) {
					t.Error("no acknowledgement on the streams between the nodes")
				}
			})
		})
	}
}

// A request is relayed to a node that the settings file names, and fails after relayTimeout.
func TestRelayReturnsResponseOrFails(t *testing.T) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		body, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
		if err != nil {
			t.Errorf("read request body: %v", err)
		}
		w.WriteHeader(http.StatusConflict)
		w.Write(append([]byte(r.Method+" "+r.URL.Path+" "), body...)) //nolint:errcheck // the client reads it or not
	}
	tests := []struct {
		name       string
		to         wire.NodeID
		handler    http.HandlerFunc
		wantStatus int
		wantBody   string
		wantErr    error
		duration   time.Duration
	}{
		{name: "response is returned", to: "b", handler: respond, wantStatus: http.StatusConflict, wantBody: "POST /peer/ask question"},
		{name: "node that the settings file does not name", to: "unknown", handler: respond, wantErr: ErrUnknownPeer},
		{name: "no response in time", to: "b", handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			wantErr: context.DeadlineExceeded, duration: relayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := simulator.NewNetwork(0)
				defer serveHTTP2(t, network, ipB, tt.handler)()
				m := New("a", []config.Peer{{HostName: "b", Addr: ipB + port}}, func() Status { return Status{} },
					cancels.New(nil, time.Minute), network.Host(ipA), discardLog())
				begin := time.Now()
				status, got, err := m.Relay(t.Context(), tt.to, "/peer/ask", []byte("question"))
				if status != tt.wantStatus || string(got) != tt.wantBody || !errors.Is(err, tt.wantErr) {
					t.Errorf("Relay to %s: status %d, body %q, error %v, want %d, %q, %v", tt.to, status, got, err, tt.wantStatus, tt.wantBody, tt.wantErr)
				}
				if elapsed := time.Since(begin); elapsed < tt.duration || elapsed > tt.duration+500*time.Millisecond {
					t.Errorf("Relay took %v, want %v", elapsed, tt.duration)
				}
				network.Close()
			})
		})
	}
}
