package peer

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A majority's acknowledgement counts from when the heartbeat was sent, for
// AckLifetime.
func TestAckedUntil(t *testing.T) {
	t0 := time.Unix(100, 0)
	v := &View{Token: 9, Peers: map[wire.NodeID]Peer{
		"a": {AckToken: 9, AckSent: t0}, "b": {AckToken: 9, AckSent: t0.Add(time.Second)}, "c": {AckToken: 8, AckSent: t0.Add(9 * time.Second)}}}
	for n, want := range map[int]time.Time{2: t0.Add(time.Second + AckLifetime), 3: t0.Add(AckLifetime), 4: {}} {
		if got := v.AckedUntil(9, n); !got.Equal(want) {
			t.Errorf("%d nodes: until %v, want %v", n, got, want)
		}
	}
	if got := v.AckedUntil(8, 1); !got.IsZero() {
		t.Errorf("an older token counts until %v", got)
	}
}

// Tokens spread, the higher one wins, a fresh process acknowledges nothing
// for AckLifetime, and a cut ends the acknowledgements.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		nw := simulator.NewNetwork(time.Millisecond)
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		var servers []*http.Server
		node := func(name, other wire.NodeID, ip, otherIP string, leads bool) *Mesh {
			m := New(name, []config.Peer{{HostName: other, Addr: otherIP + ":1"}}, func() Status {
				return Status{Leads: leads, Delegation: map[bool]wire.FencingToken{true: 7}[leads], StateReachable: true}
			}, cancels.New(nil, time.Minute), nw.Host(ip), log)
			l, err := nw.Host(ip).Listen("tcp4", ip+":1")
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{Handler: m, Protocols: &protocols}
			servers = append(servers, s)
			go s.Serve(l) //nolint:errcheck // ends with Close
			go m.Run(ctx)
			return m
		}
		a, b := node("a", "b", "10.0.0.1", "10.0.0.2", true), node("b", "a", "10.0.0.2", "10.0.0.1", false)
		a.ObserveToken(ctx, 7)
		time.Sleep(1500 * time.Millisecond)
		if got := a.View().AckedUntil(7, 2); got.After(time.Now()) {
			t.Error("a fresh process acknowledges")
		}
		time.Sleep(2 * time.Second)
		if got := a.View().AckedUntil(7, 2); !got.After(time.Now()) {
			t.Error("no acknowledgement")
		}
		if v := b.View(); v.Token != 7 || v.Leader != "a" {
			t.Errorf("b knows token %d, leader %q", v.Token, v.Leader)
		}
		// The leader's delegation reaches the other, counted from its request, and
		// only under the token that both know; who renewed as a delegate says so.
		if g := b.View().Delegation; g.Token != 7 || time.Since(g.RequestedAt) > time.Second || a.View().Peers["b"].DelegatedAt.Before(g.RequestedAt) || !a.View().Peers["b"].LastRenewal.IsZero() {
			t.Errorf("delegation %+v, given %v", g, a.View().Peers["b"].DelegatedAt)
		}
		b.RecordRenewal()
		at := time.Now()
		time.Sleep(time.Second)
		if renewed := a.View().Peers["b"].LastRenewal; renewed.Before(at) || renewed.After(at.Add(100*time.Millisecond)) {
			t.Errorf("b renewed as a delegate at %v, a knows of %v", at, renewed)
		}
		b.ObserveToken(ctx, 9)
		time.Sleep(time.Second)
		if g := b.View().Delegation; g.Token != 7 || time.Since(g.RequestedAt) < 900*time.Millisecond {
			t.Errorf("delegation under an older token is renewed: %+v", g)
		}
		if got := a.View().AckedUntil(7, 1); got.After(time.Now()) || a.View().Token != 9 {
			t.Errorf("the lower token still counts until %v", got)
		}
		nw.Cut("10.0.0.1", "10.0.0.2", true)
		time.Sleep(AckLifetime + time.Second)
		if got := a.View().AckedUntil(9, 2); got.After(time.Now()) {
			t.Error("acknowledged through a cut")
		}
		nw.Cut("10.0.0.1", "10.0.0.2", false)
		time.Sleep(5 * time.Second)
		if got := a.View().AckedUntil(9, 2); !got.After(time.Now()) {
			t.Error("no acknowledgement after the cut")
		}
		cancel()
		nw.Close()
		for _, s := range servers {
			s.Close()
		}
		time.Sleep(5 * time.Second)
		nw.Close()
	})
}
