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

// withStore runs a test with a simulated key-value store and a function that starts a
// process of a node.
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

// renewInBackground renews a lease and sends what ended it.
func renewInBackground(ctx context.Context, lease *Lease) <-chan error {
	lost := make(chan error, 1)
	go func() { lost <- lease.KeepAlive(ctx, func(time.Time) {}) }()
	return lost
}

// pollSettings are the settings of a cluster of so many controllers whose key-value
// store allows so many calls a second.
func pollSettings(size int, rps float64) config.Settings {
	return config.Settings{Size: size, State: config.StoreLimits{RPS: rps}}
}

// A leader that can't renew stops deciding before its grant can end, also when the
// answers to its renewals arrive late: it counts from when it sent them. Another
// leads only after that, with a higher token.
func TestSuccessorLeadsOnlyAfterLeaderStopsDeciding(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration // of the answers to renewals
	}{
		{"prompt answers", 0},
		{"late answers", 400 * time.Millisecond},
		{"answers just before the timeout", 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withStore(t, func(ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate) {
				testSuccession(t, ctx, state, newProcess, c.delay)
			})
		})
	}
}

func testSuccession(t *testing.T, ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate, delay time.Duration) {
	first := newProcess(0).Campaign(ctx)
	lost := renewInBackground(ctx, first)
	elected, other := make(chan *Lease, 1), newProcess(1)
	go func() { elected <- other.Campaign(ctx) }()
	state.DelayAnswers(simulator.NodeIP(0), delay)
	time.Sleep(10 * time.Second)
	if !first.Deciding() || len(elected) > 0 {
		t.Errorf("answers %v late: decides %v, succeeded %v, want true, false", delay, first.Deciding(), len(elected) > 0)
	}
	state.RefuseClient(simulator.NodeIP(0), true)
	for first.Deciding() {
		if len(state.Keys(store.LeaderKey)) == 0 {
			t.Errorf("answers %v late: decides without a grant", delay)
			break
		}
		time.Sleep(time.Millisecond)
	}
	second := <-elected
	if first.Deciding() || !second.Deciding() || second.Token() <= first.Token() {
		t.Errorf("answers %v late: tokens %d and %d, decide %v and %v, want a higher token and false, true",
			delay, first.Token(), second.Token(), first.Deciding(), second.Deciding())
	}
	state.RefuseClient(simulator.NodeIP(0), false)
	if err := <-lost; !errors.Is(err, ErrGrantExpired) {
		t.Errorf("answers %v late: lost by %v, want %v", delay, err, ErrGrantExpired)
	}
	if got := other.Holder(time.Now(), time.Second); got != "" {
		t.Errorf("the leader knows %q as another leader, want none", got)
	}
}

// A new process takes over the lease of its node's former one without waiting for the
// grant to end. What the former process would still write fails.
func TestNewProcessReplacesFormerOneOfItsNode(t *testing.T) {
	withStore(t, func(ctx context.Context, _ *simulator.KVStore, newProcess func(int) *Candidate) {
		first := newProcess(0).Campaign(ctx)
		renewInBackground(ctx, first)
		startedAt := time.Now()
		second := newProcess(0).Campaign(ctx)
		if took := time.Since(startedAt); took > 2*time.Second || second.Token() <= first.Token() {
			t.Errorf("leads after %v with token %d after %d, want within 2s with a higher one", took, second.Token(), first.Token())
		}
		if _, err := first.RaiseToken(ctx, first.Token()); !errors.Is(err, ErrHeldByOther) {
			t.Errorf("the former process raises its token: %v, want %v", err, ErrHeldByOther)
		}
	})
}

// A token is raised exactly once, whatever happens to the answers. A lease that is
// no longer held can't be raised.
func TestRaiseTokenIsIdempotent(t *testing.T) {
	withStore(t, func(ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate) {
		lease := newProcess(0).Campaign(ctx)
		old := lease.Token()
		for name, injectFault := range map[string]func(){
			"answered":                 func() {},
			"executed, answer lost":    func() { state.LoseAnswers(1) },
			"request lost":             func() { state.DropRequests(1) },
			"several answers are lost": func() { state.LoseAnswers(4) },
		} {
			injectFault()
			token, err := lease.RaiseToken(ctx, old)
			if err != nil || token <= old {
				t.Errorf("%s: token %d after %d, %v, want a higher one", name, token, old, err)
			}
			if again, err := lease.RaiseToken(ctx, old); err != nil || again != token {
				t.Errorf("%s: raised again from the old one: %d, %v, want %d", name, again, err, token)
			}
			old = token
		}
		state.Delete(store.LeaderKey)
		if _, err := lease.RaiseToken(ctx, old); !errors.Is(err, ErrNoHolder) {
			t.Errorf("without a key: %v, want %v", err, ErrNoHolder)
		}
		state.Put(store.LeaderKey, store.LeaderRecord{Node: "b", Nonce: "other"})
		if _, err := lease.RaiseToken(ctx, old); !errors.Is(err, ErrHeldByOther) {
			t.Errorf("with another's key: %v, want %v", err, ErrHeldByOther)
		}
	})
}

// A node that resigns leaves the leadership to the others at once, and does not
// take it back before the time that it named.
func TestResignedNodeBacksOff(t *testing.T) {
	withStore(t, func(ctx context.Context, state *simulator.KVStore, newProcess func(int) *Candidate) {
		candidate := newProcess(0)
		lease := candidate.Campaign(ctx)
		lost := renewInBackground(ctx, lease)
		until := time.Now().Add(15 * time.Second)
		lease.Resign(ctx, until)
		if err := <-lost; !errors.Is(err, ErrGrantExpired) {
			t.Errorf("after resigning: %v, want %v", err, ErrGrantExpired)
		}
		if keys := state.Keys(store.LeaderKey); len(keys) != 0 {
			t.Errorf("after resigning: keys %v, want none", keys)
		}
		if candidate.Campaign(ctx); time.Now().Before(until) {
			t.Errorf("leads again %v too early", time.Until(until))
		}
	})
}
