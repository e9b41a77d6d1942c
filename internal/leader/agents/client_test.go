package agents

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// roundTripper is an http.RoundTripper that calls the function.
type roundTripper func(*http.Request) (*http.Response, error)

func (respond roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return respond(r) }

// newTestClient returns a client with one slot for commands and one for probes, whose
// requests are answered by the function.
func newTestClient(respond roundTripper) *Client {
	return &Client{
		HTTP:         &http.Client{Transport: respond},
		commandSlots: make(chan struct{}, 1),
		probeSlots:   make(chan struct{}, 1),
	}
}

func respondWith(status int, body []byte) (*http.Response, error) {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

func agentResponse(*http.Request) (*http.Response, error) {
	return respondWith(http.StatusOK, wire.Encode(wire.Heartbeat{Machine: "n-1", Epoch: 2, Sequence: 3}))
}

var (
	launches = wire.Commands{Token: testToken, Epoch: 1, Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: "req-1/0", Attempt: testAttempt}}}
	probe    = wire.Commands{Token: testToken, Epoch: 1}
)

func TestCommandsAndProbesUseSeparateSlots(t *testing.T) {
	cases := []struct {
		name     string
		occupied func(c *Client) chan struct{}
		commands wire.Commands
		wantErr  error
	}{
		{"command, no free probe slot", func(c *Client) chan struct{} { return c.probeSlots }, launches, nil},
		{"probe, no free command slot", func(c *Client) chan struct{} { return c.commandSlots }, probe, nil},
		{"command, no free command slot", func(c *Client) chan struct{} { return c.commandSlots }, launches, context.DeadlineExceeded},
		{"probe, no free probe slot", func(c *Client) chan struct{} { return c.probeSlots }, probe, context.DeadlineExceeded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestClient(agentResponse)
			occupied := tc.occupied(c)
			occupied <- struct{}{}
			ctx := t.Context()
			if tc.wantErr != nil {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, 10*time.Millisecond)
				defer cancel()
			}
			_, _, err := c.Send(ctx, "10.0.0.9:9000", tc.commands, time.Minute)
			if !errors.Is(err, tc.wantErr) {
				t.Errorf("error of Send: got %v, want %v", err, tc.wantErr)
			}
			if got := len(c.probeSlots) + len(c.commandSlots); got != 1 {
				t.Errorf("slots in use after Send: got %d, want 1, which the test occupies", got)
			}
		})
	}
}

func TestSendReturnsHeartbeatAndStatus(t *testing.T) {
	broken := errors.New("connection broken")
	cases := []struct {
		name       string
		respond    roundTripper
		wantStatus int
		wantErr    bool
	}{
		{"answered", agentResponse, http.StatusOK, false},
		{"refused with a heartbeat", func(*http.Request) (*http.Response, error) {
			return respondWith(http.StatusConflict, wire.Encode(wire.Heartbeat{Machine: "n-1", Epoch: 2, Sequence: 3}))
		}, http.StatusConflict, false},
		{"undecodable response", func(*http.Request) (*http.Response, error) { return respondWith(http.StatusOK, []byte("no heartbeat")) }, 0, true},
		{"connection broken", func(*http.Request) (*http.Response, error) { return nil, broken }, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var url, method string
			var sent wire.Commands
			c := newTestClient(func(r *http.Request) (*http.Response, error) {
				url, method = r.URL.String(), r.Method
				raw, err := io.ReadAll(r.Body)
				if err != nil || wire.Decode(raw, &sent) != nil {
					t.Errorf("decode request body %x as commands: %v", raw, err)
				}
				return tc.respond(r)
			})
			got, status, err := c.Send(t.Context(), "10.0.0.9:9000", probe, time.Minute)
			if status != tc.wantStatus || (err != nil) != tc.wantErr {
				t.Fatalf("Send: got status %d, error %v, want status %d, an error: %v", status, err, tc.wantStatus, tc.wantErr)
			}
			if err == nil && (got.Machine != "n-1" || got.Epoch != 2 || got.Sequence != 3) {
				t.Errorf("heartbeat: got %+v, want heartbeat 3 of epoch 2 of n-1", got)
			}
			if url != "http://10.0.0.9:9000/commands" || method != http.MethodPost || sent.Commands == nil {
				t.Errorf("request: got %s %s with %+v, want a POST of an empty list to /commands", method, url, sent)
			}
		})
	}
}

func TestServeRelayedProbeForwardsOnlyProbes(t *testing.T) {
	unreachable := func(*http.Request) (*http.Response, error) { return nil, errors.New("no route") }
	cases := []struct {
		name       string
		body       []byte
		agent      roundTripper
		wantStatus int
	}{
		{"probe", wire.Encode(relayedProbe{Addr: "10.0.0.9:9000", Commands: probe}), agentResponse, http.StatusOK},
		{"agent not reached", wire.Encode(relayedProbe{Addr: "10.0.0.9:9000", Commands: probe}), unreachable, http.StatusBadGateway},
		{"launch instead of a probe", wire.Encode(relayedProbe{Addr: "10.0.0.9:9000", Commands: launches}), agentResponse, http.StatusBadRequest},
		{"no address", wire.Encode(relayedProbe{Commands: probe}), agentResponse, http.StatusBadRequest},
		{"undecodable request", []byte("no probe"), agentResponse, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestClient(tc.agent)
			w := httptest.NewRecorder()
			c.ServeRelayedProbe(w, httptest.NewRequest(http.MethodPost, "/peer/ask", bytes.NewReader(tc.body)), nil)
			if w.Code != tc.wantStatus {
				t.Errorf("status of the response: got %d, want %d", w.Code, tc.wantStatus)
			}
			var got wire.Heartbeat
			if tc.wantStatus == http.StatusOK && (wire.Decode(w.Body.Bytes(), &got) != nil || got.Machine != "n-1") {
				t.Errorf("response: got %x, want the heartbeat of n-1", w.Body.Bytes())
			}
		})
	}
}
