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

// withServer runs a test in virtual time with an HTTP server at openAddr. The test gets the network of
// its client.
func withServer(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, network netio.Network)) {
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

// A request body is sent as CBOR, a []byte unchanged. A response body over the limit is an error.
func TestCallEncodesRequestAndLimitsResponse(t *testing.T) {
	encoded := wire.Encode(wire.ErrorBody{Error: "trouble"})
	tests := []struct {
		name        string
		body        any
		maxResponse int64 // bytes
		sent        []byte
		contentType string
		wantErr     error
	}{
		{name: "without a body", maxResponse: 100},
		{name: "value is encoded", body: wire.ErrorBody{Error: "trouble"}, maxResponse: 100, sent: encoded, contentType: wire.ContentType},
		{name: "bytes are sent unchanged", body: encoded, maxResponse: 100, sent: encoded, contentType: wire.ContentType},
		{name: "response of the largest size", maxResponse: int64(len("answer"))},
		{name: "response over the limit", maxResponse: int64(len("answer")) - 1, wantErr: wire.ErrBodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handler := func(w http.ResponseWriter, r *http.Request) {
				got, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
				if err != nil || !bytes.Equal(got, tt.sent) || r.Header.Get("Content-Type") != tt.contentType {
					t.Errorf("received body %x, error %v, type %q, want body %x, type %q", got, err, r.Header.Get("Content-Type"), tt.sent, tt.contentType)
				}
				w.Header().Set("Retry-After", "7")
				w.WriteHeader(http.StatusTeapot)
				w.Write([]byte("answer")) //nolint:errcheck // the client reads it or not
			}
			withServer(t, handler, func(t *testing.T, network netio.Network) {
				client := &http.Client{Transport: network.Transport(1, 1)}
				status, response, header, err := netio.Call(t.Context(), client, http.MethodPost, "http://"+openAddr+"/", tt.body, tt.maxResponse)
				if !errors.Is(err, tt.wantErr) {
					t.Fatalf("Call: error %v, want %v", err, tt.wantErr)
				}
				if status != http.StatusTeapot || header.Get("Retry-After") != "7" {
					t.Errorf("status %d, header %v, want 418 with Retry-After", status, header)
				}
				if tt.wantErr == nil && string(response) != "answer" {
					t.Errorf("response %q, want %q", response, "answer")
				}
			})
		})
	}
}

// A request with a body is not sent again when a reused connection fails without a response, since it
// may have been executed.
func TestCallNeverResendsBody(t *testing.T) {
	var received int
	handler := func(http.ResponseWriter, *http.Request) {
		received++
		if received > 1 {
			panic(http.ErrAbortHandler)
		}
	}
	withServer(t, handler, func(t *testing.T, network netio.Network) {
		client := &http.Client{Transport: network.Transport(1, 1)}
		call := func() error {
			_, _, _, err := netio.Call(t.Context(), client, http.MethodPost, "http://"+openAddr+"/", wire.ErrorBody{}, 100)
			return err
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		if err := call(); err == nil || wire.IsNotSent(err) {
			t.Errorf("second Call: error %v, want one for which IsNotSent is false", err)
		}
		if received != 2 {
			t.Errorf("%d requests received from 2 calls, want 2", received)
		}
	})
}

// A request waits while the limit of connections to its host is reached. A call ends with its context.
func TestTransportBoundsConnectionsPerHost(t *testing.T) {
	const responseTime, calls, connections = time.Second, 6, 2
	respond := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(responseTime):
		case <-r.Context().Done():
		}
	}
	withServer(t, respond, func(t *testing.T, network netio.Network) {
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
		if got, want := time.Since(begin), calls/connections*responseTime; got < want || got > want+responseTime/2 {
			t.Errorf("%d calls over %d connections took %v, want %v", calls, connections, got, want)
		}
		ctx, cancel := context.WithTimeout(t.Context(), responseTime/2)
		defer cancel()
		if _, _, _, err := netio.Call(ctx, client, http.MethodGet, "http://"+openAddr+"/", nil, 100); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Call whose context ends: error %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

// A URL that can't be parsed fails before anything is sent.
func TestCallWithMalformedURL(t *testing.T) {
	status, _, _, err := netio.Call(t.Context(), http.DefaultClient, http.MethodGet, "http://%zz/", nil, 100)
	if err == nil || status != 0 {
		t.Errorf("Call with a malformed URL: status %d, error %v, want status 0 and an error", status, err)
	}
}
