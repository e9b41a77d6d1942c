package duty_test

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/simulator"
)

// maxIntentRecordBytes is the size limit for a record of intents in these tests.
const maxIntentRecordBytes = 200

// scaleInIntents returns the intents to scale in under a lease. Each intent is a name.
func scaleInIntents(l *duty.Lease) *duty.Intents[duty.ScaleIn, string] {
	return duty.NewIntents[duty.ScaleIn, string](l, maxIntentRecordBytes)
}

func load(t *testing.T, intents *duty.Intents[duty.ScaleIn, string]) duty.IntentRecord[string] {
	t.Helper()
	record, err := intents.Load(t.Context())
	if err != nil {
		t.Fatalf("load: got %v, want nil", err)
	}
	return record
}

// newLoadedIntents acquires a lease that is renewed until the test ends, and returns it with
// its loaded intents.
func newLoadedIntents(t *testing.T, sim *simulation) (*duty.Lease, *duty.Intents[duty.ScaleIn, string]) {
	t.Helper()
	lease := acquire(t, sim.newCandidate(0))
	renewInBackground(t, lease)
	intents := scaleInIntents(lease)
	load(t, intents)
	return lease, intents
}

func TestIntentsAreRefusedUntilLoadedAndWhenTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		lease := acquire(t, sim.newCandidate(0))
		renewInBackground(t, lease)
		intents := scaleInIntents(lease)
		if err := intents.Record(t.Context(), []string{"early"}); !errors.Is(err, duty.ErrNoPermit) {
			t.Errorf("before the record was loaded: got %v, want %v", err, duty.ErrNoPermit)
		}
		if record := load(t, intents); len(record.Open) > 0 {
			t.Fatalf("open intents: got %v, want none", record.Open)
		}
		tooLarge := []string{strings.Repeat("x", maxIntentRecordBytes)}
		if err := intents.Record(t.Context(), tooLarge); !errors.Is(err, duty.ErrIntentsTooLarge) {
			t.Errorf("too large: got %v, want %v", err, duty.ErrIntentsTooLarge)
		}
	})
}

// Record stores exactly the given intents under the current token, even if requests or
// responses are lost or the token was raised. The cases share one Intents and run one
// after the other, in any order.
func TestRecordWritesTheIntentsDespiteLostRequestsAndResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		lease, intents := newLoadedIntents(t, sim)
		for name, injectFault := range map[string]func(){
			"no fault":                func() {},
			"executed, response lost": func() { sim.store.LoseResponses(1) },
			"request lost":            func() { sim.store.DropRequests(1) },
			"three responses lost":    func() { sim.store.LoseResponses(3) },
			"token raised": func() {
				if _, err := lease.RaiseToken(t.Context(), lease.Token()); err != nil {
					t.Error(err)
				}
			},
		} {
			injectFault()
			want := []string{name}
			if err := intents.Record(t.Context(), want); err != nil {
				t.Errorf("%s: got %v, want nil", name, err)
			}
			record, err := scaleInIntents(lease).Load(t.Context())
			if err != nil || !slices.Equal(record.Open, want) {
				t.Errorf("%s: recorded %v, error %v, want %v", name, record.Open, err, want)
			}
			if record.Token != lease.Token() {
				t.Errorf("%s: recorded under token %d, want %d", name, record.Token, lease.Token())
			}
		}
	})
}

func TestEarlierHolderCannotRecordIntents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		first := acquire(t, sim.newCandidate(0))
		earlier := scaleInIntents(first)
		load(t, earlier)
		if err := earlier.Record(t.Context(), []string{"open"}); err != nil {
			t.Fatal(err)
		}
		first.Resign(t.Context(), time.Now().Add(time.Minute))
		successor := scaleInIntents(acquire(t, sim.newCandidate(1)))
		if err := earlier.Record(t.Context(), nil); !errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("by the earlier holder: got %v, want %v", err, duty.ErrNotHeld)
		}
		if got := load(t, successor).Open; !slices.Equal(got, []string{"open"}) {
			t.Errorf("the successor found %v, want [open]", got)
		}
	})
}

func TestUndecodableIntentsAreNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		key := duty.IntentKey("returning")
		sim.store.Put(key, "not a record")
		intents := scaleInIntents(acquire(t, sim.newCandidate(0)))
		_, err := intents.Load(t.Context())
		var undecodable *duty.UndecodableError
		if !errors.As(err, &undecodable) || !errors.Is(err, duty.ErrUndecodable) || undecodable.Key != key {
			t.Errorf("load: got %v, want an UndecodableError for %s", err, key)
		}
		if got := sim.recordedUndecodableKeys(); !slices.Equal(got, []string{key}) {
			t.Errorf("undecodable keys: got %v, want [%s]", got, key)
		}
		if err := intents.Record(t.Context(), nil); err == nil {
			t.Error("record: got nil, want an error: an undecodable record was overwritten")
		}
	})
}

// A write of intents gets no response and is executed late, after a newer write. It fails
// and leaves the newer record unchanged.
func TestLateWriteDoesNotOverwriteNewerIntents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		_, intents := newLoadedIntents(t, sim)
		sim.store.InjectTxnFaults(1, simulator.TxnFault{
			Prefix:   "intent/",
			MaxCount: 1,
			Hang:     true,
			Delay:    [2]time.Duration{4 * time.Second, 5 * time.Second},
		})
		for _, name := range []string{"first", "second"} {
			if err := intents.Record(t.Context(), []string{name}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		outcomes := sim.store.TxnOutcomes()
		if len(outcomes) != 1 || outcomes[0].Status != http.StatusConflict {
			t.Errorf("the late write: got %+v, want one conflict", outcomes)
		}
		if got := load(t, intents).Open; !slices.Equal(got, []string{"second"}) {
			t.Errorf("recorded: got %v, want [second]", got)
		}
	})
}
