package netio_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// withServer runs a test in virtual time with an HTTP server at openAddr; network is the client's.
func withServer(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, network netio.Net)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simulator.NewNetwork(time.Millisecond)
		listener, err := network.Host(openIP).Listen("tcp4", openAddr)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		var wg sync.WaitGroup
		wg.Go(func() { server.Serve(listener) }) //nolint:errcheck // ends with Close
		test(t, network.Host(localIP))
		server.Close()
		wg.Wait()
		network.Close()
	})
}

// A body is sent as CBOR, or as it is if it is bytes already; the answer is read up to a limit.
func TestCall(t *testing.T) {
	encoded := wire.Encode(wire.ErrorBody{Error: "trouble"})
	tests := []struct {
		name        string
		body        any
		maxAnswer   int64
		sent        []byte
		contentType string
		err         error
	}{
		{name: "without a body", maxAnswer: 100},
		{name: "value is encoded", body: wire.ErrorBody{Error: "trouble"}, maxAnswer: 100, sent: encoded, contentType: wire.ContentType},
		{name: "bytes go as they are", body: encoded, maxAnswer: 100, sent: encoded, contentType: wire.ContentType},
		{name: "answer of the largest size", maxAnswer: int64(len("answer"))},
		{name: "answer over the limit", maxAnswer: int64(len("answer")) - 1, err: wire.ErrBodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handler := func(w http.ResponseWriter, r *http.Request) {
				got, err := wire.ReadBody(r.Body, wire.MaxBody)
				if err != nil || !bytes.Equal(got, tt.sent) || r.Header.Get("Content-Type") != tt.contentType {
					t.Errorf("received body %x, %v of type %q, want %x of type %q", got, err, r.Header.Get("Content-Type"), tt.sent, tt.contentType)
				}
				w.Header().Set("Retry-After", "7")
				w.WriteHeader(http.StatusTeapot)
				w.Write([]byte("answer")) //nolint:errcheck // the client reads it or not
			}
			withServer(t, handler, func(t *testing.T, network netio.Net) {
				client := &http.Client{Transport: network.Transport(1, 1)}
				status, answer, header, err := netio.Call(t.Context(), client, http.MethodPost, "http://"+openAddr+"/", tt.body, tt.maxAnswer)
				if !errors.Is(err, tt.err) {
					t.Fatalf("error %v, want %v", err, tt.err)
				}
				if status != http.StatusTeapot || header.Get("Retry-After") != "7" {
					t.Errorf("status %d, header %v, want 418 with Retry-After", status, header)
				}
				if tt.err == nil && string(answer) != "answer" {
					t.Errorf("answer %q, want %q", answer, "answer")
				}
			})
		})
	}
}

// A request with a body that may have been executed is not sent again, though its connection had been used before.
func TestCallNeverResendsBody(t *testing.T) {
	var received int
	handler := func(http.ResponseWriter, *http.Request) {
		received++
		if received > 1 {
			panic(http.ErrAbortHandler)
		}
	}
	withServer(t, handler, func(t *testing.T, network netio.Net) {
		client := &http.Client{Transport: network.Transport(1, 1)}
		call := func() error {
			_, _, _, err := netio.Call(t.Context(), client, http.MethodPost, "http://"+openAddr+"/", wire.ErrorBody{}, 100)
			return err
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		if err := call(); err == nil || wire.IsNotSent(err) {
			t.Errorf("error %v, want one that leaves open whether the request was executed", err)
		}
		if received != 2 {
			t.Errorf("%d requests received of 2 calls", received)
		}
	})
}

// A request beyond a host's connections waits for one of them; a call ends with its context.
func TestTransportBoundsConnectionsPerHost(t *testing.T) {
	const answerTime, calls, connections = time.Second, 6, 2
	answer := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(answerTime):
		case <-r.Context().Done():
		}
	}
	withServer(t, answer, func(t *testing.T, network netio.Net) {
		client := &http.Client{Transport: network.Transport(connections, connections)}
		begin := time.Now()
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				if _, _, _, err := netio.Call(t.Context(), client, http.MethodGet, "http://"+openAddr+"/", nil, 100); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if got, want := time.Since(begin), calls/connections*answerTime; got < want || got > want+answerTime/2 {
			t.Errorf("%d calls over %d connections took %v, want %v", calls, connections, got, want)
		}
		ctx, cancel := context.WithTimeout(t.Context(), answerTime/2)
		defer cancel()
		if _, _, _, err := netio.Call(ctx, client, http.MethodGet, "http://"+openAddr+"/", nil, 100); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

// A URL that can't be parsed fails before anything is sent.
func TestCallWithMalformedURL(t *testing.T) {
	status, _, _, err := netio.Call(t.Context(), http.DefaultClient, http.MethodGet, "http://%zz/", nil, 100)
	if err == nil || status != 0 {
		t.Errorf("status %d, error %v, want an error", status, err)
	}
}
