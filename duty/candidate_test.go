package duty_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
)

// A host runs one process, so the earlier one has ended: its successor doesn't wait until
// the lease expires.
func TestLeaseOfEarlierProcessOfTheNodeIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		first := acquire(t, sim.newCandidate(0))
		second := acquire(t, sim.newCandidate(0))
		if got := second.AcquiredAt().Sub(first.AcquiredAt()); got > leaseTiming.TTL/2 {
			t.Errorf("acquired after %v, want less than %v", got, leaseTiming.TTL/2)
		}
		if second.Token() <= first.Token() {
			t.Errorf("tokens: got %d after %d, want a higher one", second.Token(), first.Token())
		}
	})
}

func TestIneligibleProcessDoesNotAcquireTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		options := sim.options(0)
		options.Eligible = func() bool { return false }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if lease := duty.NewCandidate(options).Campaign(ctx); lease != nil {
			t.Errorf("got lease %+v, want none", lease)
		}
		if keys := sim.store.Keys(store.LeaderKey); len(keys) > 0 {
			t.Errorf("lease keys: got %v, want none", keys)
		}
	})
}

func TestResignedProcessDoesNotReacquireTheLeaseWhileItBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		candidate := sim.newCandidate(0)
		const backOff = time.Minute
		resignedAt := time.Now()
		acquire(t, candidate).Resign(t.Context(), resignedAt.Add(backOff))
		if got := acquire(t, candidate).AcquiredAt().Sub(resignedAt); got < backOff {
			t.Errorf("acquired again after %v, want at least %v", got, backOff)
		}
	})
}

func TestHolderReturnsOnlyAnotherNodeThatWasReadRecently(t *testing.T) {
	observedAt := time.Unix(1_000_000, 0)
	candidate := duty.NewCandidate(duty.Options{Node: "self"})
	if got := candidate.Holder(observedAt, time.Second); got != "" {
		t.Errorf("before any holder was recorded: got %q, want none", got)
	}
	for _, c := range []struct {
		name   string
		holder duty.NodeID
		age    time.Duration
		want   duty.NodeID
	}{
		{"other node, recent", "other", 999 * time.Millisecond, "other"},
		{"other node, too old", "other", time.Second, ""},
		{"this node", "self", 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidate.RecordHolder(c.holder, observedAt)
			if got := candidate.Holder(observedAt.Add(c.age), time.Second); got != c.want {
				t.Errorf("%s read %v ago: got %q, want %q", c.holder, c.age, got, c.want)
			}
		})
	}
}
