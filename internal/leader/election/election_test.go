package election

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withStore runs a test with a simulated key-value store and a function that creates the
// candidate of a new process of a node.
func withStore(t *testing.T, test func(ctx context.Context, state *simulator.KVStore, newProcess func(node int) *Candidate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := simulator.NewNetwork(time.Millisecond)
		state := simulator.NewKVStore(12, 16)
		stop, err := network.ServeKVStore(state)
		if err != nil {
			t.Fatal(err)
		}
		test(ctx, state, func(node int) *Candidate {
			limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
			cfg := &config.Config{HostName: wire.NodeID(rune('a' + node)), Settings: config.Settings{Size: 3, State: limits}}
			client := store.New(simulator.KVStoreAddr, limits, 3, network.Host(simulator.NodeIP(node)))
			return NewCandidate(cfg, client, slog.New(slog.DiscardHandler), func(context.Context, wire.FencingToken) {})
		})
		cancel()
		stop()
	})
}

// renewInBackground renews a lease and sends the error that ended the renewals.
func renewInBackground(ctx context.Context, lease *Lease) <-chan error {
	leaseLost := make(chan error, 1)
	go func() { leaseLost <- lease.KeepAlive(ctx, func(time.Time) {}) }()
	return leaseLost
}

// pollSettings returns the settings of a cluster with size controllers, whose key-value store
// permits rps calls a second.
func pollSettings(size int, rps float64) config.Settings {
	return config.Settings{Size: size, State: config.StoreLimits{RPS: rps}}
}

// A leader that can't renew its lease stops deciding before its grant can end. This holds even
// when the responses to its renewals arrive late, since a lease counts from when the request
// was sent. Another node leads only after that, with a higher token.
func TestSuccessorLeadsOnlyAfterLeaderStopsDeciding(t *testing.T) {
	for _, c := range []struct {
		name          string
		responseDelay time.Duration // of the responses to renewals
	}{
		{"prompt responses", 0},
		{"late responses", 400 * time.Millisecond},
		{"responses just before the timeout", 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withStore(t, func(ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate) {
				testSuccession(t, ctx, state, newProcess, c.responseDelay)
			})
		})
	}
}

func testSuccession(t *testing.T, ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate, responseDelay time.Duration) {
	first := newProcess(0).Campaign(ctx)
	leaseLost := renewInBackground(ctx, first)
	elected, other := make(chan *Lease, 1), newProcess(1)
	go func() { elected <- other.Campaign(ctx) }()
	state.DelayResponses(simulator.NodeIP(0), responseDelay)
	time.Sleep(10 * time.Second)
	if !first.Deciding() || len(elected) > 0 {
		t.Errorf("responses %v late: deciding %v, successor elected %v, want true, false", responseDelay, first.Deciding(), len(elected) > 0)
	}
	state.RefuseClient(simulator.NodeIP(0), true)
	for first.Deciding() {
		if len(state.Keys(store.LeaderKey)) == 0 {
			t.Errorf("responses %v late: deciding after the grant has ended", responseDelay)
			break
		}
		time.Sleep(time.Millisecond)
	}
	second := <-elected
	if first.Deciding() || !second.Deciding() || second.Token() <= first.Token() {
		t.Errorf("responses %v late: tokens %d and %d, deciding %v and %v, want a higher second token and false, true",
			responseDelay, first.Token(), second.Token(), first.Deciding(), second.Deciding())
	}
	state.RefuseClient(simulator.NodeIP(0), false)
	if err := <-leaseLost; !errors.Is(err, ErrGrantExpired) {
		t.Errorf("responses %v late: the first lease ended with %v, want %v", responseDelay, err, ErrGrantExpired)
	}
	if got := other.Holder(time.Now(), time.Second); got != "" {
		t.Errorf("the elected candidate reports %q as another leader, want none", got)
	}
}

// A new process of a node replaces the lease of the node's previous process without waiting for
// the grant to end. Later writes of the previous process fail.
func TestNewProcessReplacesLeaseOfPreviousProcess(t *testing.T) {
	withStore(t, func(ctx context.Context, _ *simulator.KVStore, newProcess func(int) *Candidate) {
		first := newProcess(0).Campaign(ctx)
		renewInBackground(ctx, first)
		startedAt := time.Now()
		second := newProcess(0).Campaign(ctx)
		if elapsed := time.Since(startedAt); elapsed > 2*time.Second || second.Token() <= first.Token() {
			t.Errorf("leads after %v with token %d after %d, want within 2s with a higher one", elapsed, second.Token(), first.Token())
		}
		if _, err := first.RaiseToken(ctx, first.Token()); !errors.Is(err, ErrHeldByOther) {
			t.Errorf("the previous process raises its token: error %v, want %v", err, ErrHeldByOther)
		}
	})
}

// A request to raise the token takes effect exactly once, even if requests or responses are lost
// and the request is repeated. The token of a lease that is no longer held can't be raised.
func TestRaiseTokenIsIdempotent(t *testing.T) {
	withStore(t, func(ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate) {
		lease := newProcess(0).Campaign(ctx)
		old := lease.Token()
		for name, injectFault := range map[string]func(){
			"answered":                   func() {},
			"executed, response lost":    func() { state.LoseResponses(1) },
			"request lost":               func() { state.DropRequests(1) },
			"several responses are lost": func() { state.LoseResponses(4) },
		} {
			injectFault()
			token, err := lease.RaiseToken(ctx, old)
			if err != nil || token <= old {
				t.Errorf("%s: token %d after %d, error %v, want a higher token", name, token, old, err)
			}
			if again, err := lease.RaiseToken(ctx, old); err != nil || again != token {
				t.Errorf("%s: raised again from the old token: %d, error %v, want %d", name, again, err, token)
			}
			old = token
		}
		state.Delete(store.LeaderKey)
		if _, err := lease.RaiseToken(ctx, old); !errors.Is(err, ErrNoHolder) {
			t.Errorf("raise the token without a leader key: error %v, want %v", err, ErrNoHolder)
		}
		state.Put(store.LeaderKey, store.LeaseRecord{Node: "b", Nonce: "other"})
		if _, err := lease.RaiseToken(ctx, old); !errors.Is(err, ErrHeldByOther) {
			t.Errorf("raise the token with the leader key of another node: error %v, want %v", err, ErrHeldByOther)
		}
	})
}

// A node that resigns frees the leadership at once, and does not acquire it again before the
// time that it gave.
func TestResignedNodeBacksOff(t *testing.T) {
	withStore(t, func(ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate) {
		candidate := newProcess(0)
		lease := candidate.Campaign(ctx)
		leaseLost := renewInBackground(ctx, lease)
		until := time.Now().Add(15 * time.Second)
		lease.Resign(ctx, until)
		if err := <-leaseLost; !errors.Is(err, ErrGrantExpired) {
			t.Errorf("after resigning: renewals ended with %v, want %v", err, ErrGrantExpired)
		}
		if keys := state.Keys(store.LeaderKey); len(keys) != 0 {
			t.Errorf("after resigning: keys %v, want none", keys)
		}
		if candidate.Campaign(ctx); time.Now().Before(until) {
			t.Errorf("leads again %v too early", time.Until(until))
		}
	})
}
