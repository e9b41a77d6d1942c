package election

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withState runs f with a simulated state service and a function that starts a
// process of a node.
func withState(t *testing.T, f func(ctx context.Context, st *simulator.State, process func(node int) *Candidate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := simulator.NewNetwork(time.Millisecond)
		st := simulator.NewState(12, 16)
		stop, err := network.ServeState(st)
		if err != nil {
			t.Fatal(err)
		}
		f(ctx, st, func(node int) *Candidate {
			limits := config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
			cfg := &config.Config{HostName: wire.NodeID(rune('a' + node)), Settings: config.Settings{Size: 3, State: limits}}
			client := store.New(simulator.StateAddr, limits, 3, network.Host(simulator.NodeIP(node)))
			return NewCandidate(cfg, client, slog.New(slog.NewTextHandler(io.Discard, nil)), func(context.Context, wire.FencingToken) {})
		})
		cancel()
		stop()
	})
}

// keep renews a lease in the background; what ended it is sent.
func keep(ctx context.Context, l *Lease) <-chan error {
	lost := make(chan error, 1)
	go func() { lost <- l.Keep(ctx, func(time.Time) {}) }()
	return lost
}

// A leader that can't renew stops deciding before its grant can end, also when the
// answers to its renewals came late: it counts from when it sent them. Another
// leads only after that, with a higher token.
func TestOneDecidesAtATime(t *testing.T) {
	for _, late := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
		withState(t, func(ctx context.Context, st *simulator.State, process func(int) *Candidate) {
			first := process(0).Campaign(ctx)
			lost := keep(ctx, first)
			next, other := make(chan *Lease, 1), process(1)
			go func() { next <- other.Campaign(ctx) }()
			st.DelayAnswers(simulator.NodeIP(0), late)
			time.Sleep(10 * time.Second)
			if !first.Deciding() || len(next) > 0 {
				t.Errorf("answers %v late: decides %v, followed %v", late, first.Deciding(), len(next) > 0)
			}
			st.RefuseClient(simulator.NodeIP(0), true)
			for first.Deciding() {
				if len(st.Keys(store.LeaderKey)) == 0 {
					t.Errorf("answers %v late: decides without a grant", late)
					break
				}
				time.Sleep(time.Millisecond)
			}
			second := <-next
			if first.Deciding() || !second.Deciding() || second.Token() <= first.Token() {
				t.Errorf("answers %v late: tokens %d and %d, decide %v and %v", late, first.Token(), second.Token(), first.Deciding(), second.Deciding())
			}
			st.RefuseClient(simulator.NodeIP(0), false)
			if err := <-lost; !errors.Is(err, ErrGrantGone) {
				t.Errorf("answers %v late: lost by %v", late, err)
			}
			if got := other.Holder(time.Now(), time.Second); got != "" {
				t.Errorf("the leader knows %q as another leader", got)
			}
		})
	}
}

// A fresh process ends the lease of its node's last one without waiting for the
// grant to end; what the last one would still write fails.
func TestFreshProcess(t *testing.T) {
	withState(t, func(ctx context.Context, st *simulator.State, process func(int) *Candidate) {
		first := process(0).Campaign(ctx)
		keep(ctx, first)
		began := time.Now()
		second := process(0).Campaign(ctx)
		if took := time.Since(began); took > 2*time.Second || second.Token() <= first.Token() {
			t.Errorf("leads after %v with token %d after %d", took, second.Token(), first.Token())
		}
		if _, err := first.RaiseToken(ctx, first.Token()); !errors.Is(err, ErrTaken) {
			t.Errorf("the last process raises its token: %v", err)
		}
	})
}

// A token is raised exactly once, whatever becomes of the answers; a lease that is
// no longer held can't be raised.
func TestRaiseToken(t *testing.T) {
	withState(t, func(ctx context.Context, st *simulator.State, process func(int) *Candidate) {
		lease := process(0).Campaign(ctx)
		old := lease.Token()
		for name, trouble := range map[string]func(){
			"answered":               func() {},
			"executed, answer lost":  func() { st.LoseAnswers(1) },
			"lost before it came":    func() { st.DropRequests(1) },
			"answers lost for a bit": func() { st.LoseAnswers(4) },
		} {
			trouble()
			token, err := lease.RaiseToken(ctx, old)
			if err != nil || token <= old {
				t.Errorf("%s: token %d after %d, %v", name, token, old, err)
			}
			if again, err := lease.RaiseToken(ctx, old); err != nil || again != token {
				t.Errorf("%s: raised again from the old one: %d, %v, want %d", name, again, err, token)
			}
			old = token
		}
		st.Delete(store.LeaderKey)
		if _, err := lease.RaiseToken(ctx, old); !errors.Is(err, ErrVacant) {
			t.Errorf("without a key: %v", err)
		}
		st.Put(store.LeaderKey, store.LeaderRecord{Node: "b", Nonce: "other"})
		if _, err := lease.RaiseToken(ctx, old); !errors.Is(err, ErrTaken) {
			t.Errorf("with another's key: %v", err)
		}
	})
}

// A node that resigns leaves the leadership to the others at once, and does not
// take it back before the time that it named.
func TestResign(t *testing.T) {
	withState(t, func(ctx context.Context, st *simulator.State, process func(int) *Candidate) {
		a := process(0)
		lease := a.Campaign(ctx)
		lost := keep(ctx, lease)
		until := time.Now().Add(15 * time.Second)
		lease.Resign(ctx, until)
		if err := <-lost; !errors.Is(err, ErrGrantGone) {
			t.Errorf("after resigning: %v", err)
		}
		if len(st.Keys(store.LeaderKey)) != 0 {
			t.Error("the key is still there")
		}
		if a.Campaign(ctx); time.Now().Before(until) {
			t.Errorf("leads again %v too early", time.Until(until))
		}
	})
}
