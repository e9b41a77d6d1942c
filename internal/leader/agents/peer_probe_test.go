package agents

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

func TestProbeThroughPeerReturnsHeartbeatOrRelayError(t *testing.T) {
	encoded := wire.Encode(wire.Heartbeat{Machine: "n-1", Epoch: 2, Sequence: 3})
	cases := []struct {
		name            string
		peer            wire.NodeID
		status          int
		body            []byte
		wantStatus      int
		wantRelayError  bool // the error is a RelayError
		wantDecodeError bool // the RelayError has a decoding error as its cause
		wantErr         error
	}{
		{"answered", "b", http.StatusOK, encoded, http.StatusOK, false, false, nil},
		{"refused with a heartbeat", "b", http.StatusConflict, encoded, http.StatusConflict, false, false, nil},
		{"agent not reached", "b", http.StatusBadGateway, nil, http.StatusBadGateway, true, false, nil},
		{"undecodable response", "b", http.StatusOK, []byte("no heartbeat"), http.StatusOK, true, true, nil},
		{"unknown peer", "c", http.StatusOK, encoded, 0, false, false, peer.ErrUnknownPeer},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := simulator.NewNetwork(time.Millisecond)
				listener, err := network.Host("10.0.0.2").Listen("tcp4", "10.0.0.2:8081")
				if err != nil {
					t.Fatal(err)
				}
				var path string
				var protocols http.Protocols
				protocols.SetUnencryptedHTTP2(true)
				server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					path = r.URL.Path
					w.WriteHeader(tc.status)
					w.Write(tc.body) //nolint:errcheck // the client's side is checked
				})}
				go server.Serve(listener) //nolint:errcheck // ends with Close
				f := newFixture(t)
				mesh := peer.New("a", []config.Peer{{HostName: "b", Addr: "10.0.0.2:8081"}}, func() peer.Status { return peer.Status{} },
					cancels.New(nil, time.Minute), network.Host("10.0.0.1"), f.Log)
				client := &Client{Mesh: mesh}

				got, status, err := client.ProbeThroughPeer(t.Context(), tc.peer, "10.1.0.9:9000", probe)
				if status != tc.wantStatus {
					t.Errorf("status of the response: got %d, want %d", status, tc.wantStatus)
				}
				var relayError *RelayError
				if isRelayError := errors.As(err, &relayError); isRelayError != tc.wantRelayError {
					t.Errorf("error %v is a RelayError: got %v, want %v", err, isRelayError, tc.wantRelayError)
				} else if isRelayError && (relayError.Peer != tc.peer || relayError.Addr != "10.1.0.9:9000" || (errors.Unwrap(relayError) != nil) != tc.wantDecodeError) {
					t.Errorf("relay error: got %+v, want one for 10.1.0.9:9000 through %s, with a decoding error: %v", relayError, tc.peer, tc.wantDecodeError)
				}
				if tc.wantErr != nil && !errors.Is(err, tc.wantErr) {
					t.Errorf("error of ProbeThroughPeer: got %v, want %v", err, tc.wantErr)
				}
				if wire.IsNotSent(err) {
					t.Errorf("error %v: got one that means that nothing was sent, want one after which the request may have arrived", err)
				}
				if wantHeartbeat := !tc.wantRelayError && tc.wantErr == nil; wantHeartbeat && (err != nil || got.Machine != "n-1" || path != "/peer/ask") {
					t.Errorf("got heartbeat %+v by a request to %s, error %v, want that of n-1 by a request to /peer/ask", got, path, err)
				}
				server.Close()
				network.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
