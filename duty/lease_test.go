package duty_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A holder whose clock rate differs by no more than its timing allows for stops before its
// grant expires, and so does the context of an act. In the case that allows for no drift it
// stops too late, which shows that the test can fail.
func TestHolderStopsBeforeItsGrantExpires(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, drift float64
		wantStopped bool // before the grant expires
	}{
		{"slow clock, drift allowed for", 0.93, 0.08, true},
		{"fast clock, drift allowed for", 1.07, 0.08, true},
		{"slow clock, no drift allowed for", 0.93, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				options := sim.options(0)
				options.Clock = skewedClock{time.Now(), c.rate}
				options.Timing.Drift = c.drift
				lease := acquire(t, duty.NewCandidate(options))
				renewInBackground(t, lease)
				time.Sleep(10 * time.Second)
				actCtx, cancel := lease.Context(t.Context())
				defer cancel()
				sim.store.RefuseClient(simulator.NodeIP(0), true)
				for len(sim.store.Keys(store.LeaderKey)) > 0 && actCtx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				if got := actCtx.Err() != nil && !lease.Held(); got != c.wantStopped {
					t.Errorf("clock at %v, drift %v: stopped before the grant expired: got %v, want %v", c.rate, c.drift, got, c.wantStopped)
				}
				if c.wantStopped && !errors.Is(context.Cause(actCtx), duty.ErrNotHeld) {
					t.Errorf("clock at %v, drift %v: context ended by %v, want %v", c.rate, c.drift, context.Cause(actCtx), duty.ErrNotHeld)
				}
			})
		})
	}
}

// One process acquires the lease twice in quick succession. A write that it sent under the
// first token fails, though the same process holds the lease again.
func TestWriteUnderFirstTokenFailsWhenSameProcessReacquires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		candidate := sim.newCandidate(0)
		first := acquire(t, candidate)
		permit, err := duty.PermitFor[duty.Cleanup](first)
		if err != nil {
			t.Fatal(err)
		}
		sim.store.DelayTransactions(func(*wire.Txn) time.Duration { return 700 * time.Millisecond })
		lateResult := make(chan error, 1)
		go func() {
			_, err := permit.Commit(t.Context(), store.ClassCritical, unguardedWrite)
			lateResult <- err
		}()
		time.Sleep(10 * time.Millisecond)
		sim.store.DelayTransactions(nil)
		first.Resign(t.Context(), time.Now())
		second := acquire(t, candidate)
		var conflict *duty.ConflictError
		if err := <-lateResult; !errors.As(err, &conflict) || !conflict.HasKey(store.LeaderKey) {
			t.Errorf("sent under token %d with %d in force: got %v, want a conflict at %s", first.Token(), second.Token(), err, store.LeaderKey)
		}
		if first.Held() || !second.Held() {
			t.Errorf("held: got %v and %v, want false and true", first.Held(), second.Held())
		}
		if second.Token() <= first.Token() {
			t.Errorf("tokens: got %d after %d, want a higher one", second.Token(), first.Token())
		}
	})
}

// A lease counts as held if its record can't be decoded.
func TestUndecodableLeaseIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		want := sim.store.Put(store.LeaderKey, "no holder")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if lease := sim.newCandidate(0).Campaign(ctx); lease != nil {
			t.Errorf("got lease %+v, want none", lease)
		}
		if got := sim.store.Revision(store.LeaderKey); got != want {
			t.Errorf("revision of %s: got %d, want %d", store.LeaderKey, got, want)
		}
		if len(sim.recordedUndecodableKeys()) == 0 {
			t.Errorf("undecodable keys: got none, want %s", store.LeaderKey)
		}
	})
}

func TestOperationsOnALeaseEmitEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		lease := acquire(t, sim.newCandidate(0))
		permit, err := duty.PermitFor[duty.ScaleOut](lease)
		if err != nil {
			t.Fatal(err)
		}
		if err := permit.Do(t.Context(), func(context.Context) error { return nil }); err != nil {
			t.Error(err)
		}
		if _, err := lease.RaiseToken(t.Context(), lease.Token()); err != nil {
			t.Error(err)
		}
		lease.Resign(t.Context(), time.Now())
		if permit.Check() == nil {
			t.Error("check of the permit after resigning: got nil, want an error")
		}
		var kinds []string
		for _, e := range sim.recordedEvents() {
			kinds = append(kinds, string(e.Kind)+" "+string(e.Duty))
			if e.Token == 0 || e.At.IsZero() {
				t.Errorf("event %+v: got no token or no time, want both", e)
			}
		}
		const want = "acquired |act accepted renting|token raised |resigned |act refused renting"
		if got := strings.Join(kinds, "|"); got != want {
			t.Errorf("events: got %q, want %q", got, want)
		}
	})
}

// The error names the lease, so that a caller that holds several knows which one it lost.
func TestKeepAliveNamesTheLeaseWhoseGrantExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		lease := acquire(t, sim.newCandidate(0))
		time.Sleep(2 * leaseTiming.TTL)
		err := lease.KeepAlive(t.Context(), func(time.Time) { t.Error("renewed a grant that has expired") })
		var failure *duty.LeaseError
		if !errors.As(err, &failure) || !errors.Is(err, duty.ErrGrantExpired) {
			t.Fatalf("got %v, want a LeaseError that is %v", err, duty.ErrGrantExpired)
		}
		if failure.Key != store.LeaderKey || failure.Token != lease.Token() {
			t.Errorf("got lease %q, token %d, want %q, %d", failure.Key, failure.Token, store.LeaderKey, lease.Token())
		}
	})
}

func TestRaiseTokenFailsOnceTheLeaseIsNotHeld(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(sim *simulation)
		want    error
	}{
		{"nobody holds the lease", func(sim *simulation) { sim.store.Delete(store.LeaderKey) }, duty.ErrNoHolder},
		{"another process holds the lease", func(sim *simulation) {
			sim.store.Put(store.LeaderKey, store.LeaseRecord{Node: nodeOn(1), Nonce: "another"})
		}, duty.ErrHeldByOther},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				lease := acquire(t, sim.newCandidate(0))
				c.prepare(sim)
				if _, err := lease.RaiseToken(t.Context(), lease.Token()); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
			})
		})
	}
}
