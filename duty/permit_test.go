package duty_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// unguardedWrite is a transaction without guards of its own.
var unguardedWrite = duty.Txn{Writes: []duty.Write{{PutKey: "fact/x", Value: wire.Encode(1)}}}

func TestZeroPermitRefusesActsAndCommits(t *testing.T) {
	var permit duty.Permit[duty.ScaleIn]
	act := func(context.Context) error {
		t.Error("an act was carried out without a permit")
		return nil
	}
	if err := permit.Do(t.Context(), act); !errors.Is(err, duty.ErrNoPermit) {
		t.Errorf("Do: got %v, want %v", err, duty.ErrNoPermit)
	}
	if _, err := permit.Commit(t.Context(), store.ClassCritical, unguardedWrite); !errors.Is(err, duty.ErrNoPermit) {
		t.Errorf("Commit: got %v, want %v", err, duty.ErrNoPermit)
	}
	if got := permit.Token(); got != 0 {
		t.Errorf("token: got %d, want 0", got)
	}
}

// A permit is valid only as long as its lease is held. After the lease was resigned, the
// context of an act that is under way ends by the time the lease would have expired.
func TestPermitEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		first := acquire(t, sim.newCandidate(0))
		permit, err := duty.PermitFor[duty.Cleanup](first)
		if err != nil || permit.Token() != first.Token() || permit.Name() != "cleanup" {
			t.Fatalf("held: got permit %+v, error %v, want one for cleanup under token %d", permit, err, first.Token())
		}
		if _, err := permit.Commit(t.Context(), store.ClassCritical, unguardedWrite); err != nil {
			t.Errorf("held: got %v, want nil", err)
		}
		actCtx, cancel := first.Context(t.Context())
		defer cancel()

		first.Resign(t.Context(), time.Now().Add(time.Minute))
		second := acquire(t, sim.newCandidate(1))
		if got := second.AcquiredAt().Sub(first.AcquiredAt()); got > time.Second || second.Token() <= first.Token() {
			t.Errorf("after resigning: got token %d after %d, acquired %v later, want a higher one within 1 s", second.Token(), first.Token(), got)
		}
		if _, err := permit.Commit(t.Context(), store.ClassCritical, unguardedWrite); !errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("commit after resigning: got %v, want %v", err, duty.ErrNotHeld)
		}
		if _, err := duty.PermitFor[duty.ScaleOut](first); !errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("new permit after resigning: got %v, want %v", err, duty.ErrNotHeld)
		}
		time.Sleep(4 * time.Second)
		if got := context.Cause(actCtx); !errors.Is(got, duty.ErrNotHeld) {
			t.Errorf("an act under way ended by %v, want %v", got, duty.ErrNotHeld)
		}
	})
}
