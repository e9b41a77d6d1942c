package duty_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// world is a simulated state service in virtual time, and processes that use it.
type world struct {
	t       *testing.T
	ctx     context.Context
	network *simulator.Network
	state   *simulator.State

	mu      sync.Mutex // guards what the processes' own goroutines append to
	events  []duty.Event
	damaged []string
}

// recordEvent is the observer of every process.
func (w *world) recordEvent(e duty.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// recordDamaged notes the key of a record that a process could not decode.
func (w *world) recordDamaged(key string, _ error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.damaged = append(w.damaged, key)
}

// observedEvents returns the events so far.
func (w *world) observedEvents() []duty.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// damagedKeys returns the keys of the undecodable records so far.
func (w *world) damagedKeys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.damaged)
}

// timing of the leases: three seconds, and no margin beyond the clocks' drift.
var timing = duty.Timing{TTL: 3 * time.Second, RenewEvery: 700 * time.Millisecond, RenewTimeout: time.Second, Poll: 100 * time.Millisecond, Drift: 0.02}

func inWorld(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, ctx: ctx, network: simulator.NewNetwork(time.Millisecond), state: simulator.NewState(12, 16)}
		stop, err := w.network.ServeState(w.state)
		if err != nil {
			t.Fatal(err)
		}
		f(w)
		cancel()
		stop()
	})
}

// candidate is a process on the host of that number.
func (w *world) candidate(host int, clock duty.Clock, timing duty.Timing) *duty.Candidate {
	limits := config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
	client := store.New(simulator.StateAddr, limits, 3, w.network.Host(simulator.NodeIP(host)))
	return duty.NewCandidate(duty.Options{Key: store.LeaderKey, Node: duty.NodeID(rune('a' + host)), Store: client, Timing: timing, Clock: clock,
		Observe: w.recordEvent, Undecodable: w.recordDamaged})
}

// keep renews a lease in the background.
func (w *world) keep(l *duty.Lease) {
	go l.Keep(w.ctx, func(time.Time) {}) //nolint:errcheck // the test looks at the lease
}

// skewedClock runs at another rate than the state service's.
type skewedClock struct {
	start time.Time
	rate  float64
}

func (c skewedClock) Now() time.Time {
	return c.start.Add(time.Duration(float64(time.Since(c.start)) * c.rate))
}

func (c skewedClock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.rate))
}

// A holder whose clock runs as slowly as it may stops before the grant ends, and so
// does every context of its acts; one that allows for no drift is seen not to.
func TestHolderStopsBeforeItsGrant(t *testing.T) {
	for _, c := range []struct {
		rate, drift float64
		before      bool
	}{{0.93, 0.08, true}, {1.07, 0.08, true}, {0.93, 0, false}} {
		inWorld(t, func(w *world) {
			terms := timing
			terms.Drift = c.drift
			lease := w.candidate(0, skewedClock{time.Now(), c.rate}, terms).Campaign(w.ctx)
			w.keep(lease)
			time.Sleep(10 * time.Second)
			act, cancel := lease.Context(w.ctx)
			defer cancel()
			w.state.RefuseClient(simulator.NodeIP(0), true)
			for len(w.state.Keys(store.LeaderKey)) > 0 && act.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			if ended := act.Err() != nil && !lease.Held(); ended != c.before {
				t.Errorf("clock at %v, allowed for %v: stopped before the grant: %v", c.rate, c.drift, ended)
			}
			if c.before && !errors.Is(context.Cause(act), duty.ErrNotHeld) {
				t.Errorf("ended by %v", context.Cause(act))
			}
		})
	}
}

// Without a lease that is surely held nothing is done: neither with a permit that no
// lease gave, nor with one from before the lease was given up.
func TestPermits(t *testing.T) {
	inWorld(t, func(w *world) {
		var none duty.Permit[duty.ScaleIn]
		if err := none.Do(w.ctx, func(context.Context) error { t.Error("done without a permit"); return nil }); !errors.Is(err, duty.ErrNoPermit) {
			t.Errorf("no permit: %v", err)
		}
		first := w.candidate(0, nil, timing).Campaign(w.ctx)
		permit, err := duty.PermitFor[duty.Cleanup](first)
		if err != nil || permit.Token() != first.Token() || permit.Name() != "cleanup" {
			t.Fatalf("%+v, %v", permit, err)
		}
		put := duty.Txn{Writes: []duty.Write{{Put: "fact/x", Value: wire.Encode(1)}}}
		if _, err := permit.Commit(w.ctx, store.Critical, put); err != nil {
			t.Errorf("held: %v", err)
		}
		act, cancel := first.Context(w.ctx)
		defer cancel()
		first.Resign(w.ctx, time.Now().Add(time.Minute))
		second := w.candidate(1, nil, timing).Campaign(w.ctx)
		if took := second.TakenAt().Sub(first.TakenAt()); took > time.Second || second.Token() <= first.Token() {
			t.Errorf("after resigning: token %d after %d, taken %v later", second.Token(), first.Token(), took)
		}
		if _, err := permit.Commit(w.ctx, store.Critical, put); !errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("resigned: %v", err)
		}
		if _, err := duty.PermitFor[duty.ScaleOut](first); !errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("resigned: %v", err)
		}
		time.Sleep(4 * time.Second)
		if !errors.Is(context.Cause(act), duty.ErrNotHeld) {
			t.Errorf("an act under way goes on: %v", context.Cause(act))
		}
	})
}

// One process wins the lease twice in quick succession. What it sent under the first
// token fails, though it is the same process that holds the lease.
func TestWonTwice(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.candidate(0, nil, timing)
		first := c.Campaign(w.ctx)
		permit, err := duty.PermitFor[duty.Cleanup](first)
		if err != nil {
			t.Fatal(err)
		}
		w.state.DelayTransactions(func(*wire.Txn) time.Duration { return 700 * time.Millisecond })
		late := make(chan error, 1)
		go func() {
			_, err := permit.Commit(w.ctx, store.Critical, duty.Txn{Writes: []duty.Write{{Put: "fact/late", Value: wire.Encode(1)}}})
			late <- err
		}()
		time.Sleep(10 * time.Millisecond)
		w.state.DelayTransactions(nil)
		first.Resign(w.ctx, time.Now())
		second := c.Campaign(w.ctx)
		var conflict *duty.ConflictError
		if err := <-late; !errors.As(err, &conflict) || !conflict.Has(store.LeaderKey) {
			t.Errorf("sent under token %d, with %d in force: %v", first.Token(), second.Token(), err)
		}
		if first.Held() || !second.Held() || second.Token() <= first.Token() {
			t.Errorf("tokens %d and %d; held %v and %v", first.Token(), second.Token(), first.Held(), second.Held())
		}
	})
}

// Intents are recorded exactly, whatever becomes of the answers, and by the lease's
// holder alone; its successor finds them.
func TestIntents(t *testing.T) {
	inWorld(t, func(w *world) {
		first := w.candidate(0, nil, timing).Campaign(w.ctx)
		w.keep(first)
		intents := duty.OpenIntents[duty.ScaleIn, string](first, 200)
		if err := intents.Record(w.ctx, []string{"early"}); !errors.Is(err, duty.ErrNoPermit) {
			t.Errorf("before the record was read: %v", err)
		}
		if rec, err := intents.Load(w.ctx); err != nil || len(rec.Open) > 0 {
			t.Fatalf("%+v, %v", rec, err)
		}
		if err := intents.Record(w.ctx, []string{strings.Repeat("x", 200)}); !errors.Is(err, duty.ErrTooLarge) {
			t.Errorf("too large: %v", err)
		}
		for name, trouble := range map[string]func(){
			"answered":               func() {},
			"executed, answer lost":  func() { w.state.LoseAnswers(1) },
			"lost before it came":    func() { w.state.DropRequests(1) },
			"answers lost for a bit": func() { w.state.LoseAnswers(3) },
			"raised meanwhile": func() {
				if _, err := first.RaiseToken(w.ctx, first.Token()); err != nil {
					t.Error(err)
				}
			},
		} {
			trouble()
			if err := intents.Record(w.ctx, []string{name}); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			next := duty.OpenIntents[duty.ScaleIn, string](first, 200)
			if rec, err := next.Load(w.ctx); err != nil || len(rec.Open) != 1 || rec.Open[0] != name || rec.Token != first.Token() {
				t.Errorf("%s: recorded %+v, %v", name, rec, err)
			}
		}
		first.Resign(w.ctx, time.Now().Add(time.Minute))
		second := w.candidate(1, nil, timing).Campaign(w.ctx)
		if err := intents.Record(w.ctx, nil); !errors.Is(err, duty.ErrNotHeld) {
			t.Errorf("by the earlier holder: %v", err)
		}
		w.state.Put(duty.IntentKey("returning"), "not a record")
		damaged := duty.OpenIntents[duty.ScaleIn, string](second, 200)
		if _, err := damaged.Load(w.ctx); !errors.Is(err, duty.ErrUndecodable) || len(w.damagedKeys()) != 1 {
			t.Errorf("undecodable: %v, noted %v", err, w.damagedKeys())
		}
		if err := damaged.Record(w.ctx, nil); err == nil {
			t.Error("an undecodable record was overwritten")
		}
	})
}

// A write of intents without an answer is executed late, after a newer one: the newer
// one holds.
func TestLateIntents(t *testing.T) {
	inWorld(t, func(w *world) {
		lease := w.candidate(0, nil, timing).Campaign(w.ctx)
		w.keep(lease)
		intents := duty.OpenIntents[duty.ScaleIn, string](lease, 200)
		if _, err := intents.Load(w.ctx); err != nil {
			t.Fatal(err)
		}
		w.state.InjectTxnFaults(1, simulator.TxnFault{Prefix: "intent/", Most: 1, Hang: true, Late: [2]time.Duration{4 * time.Second, 5 * time.Second}})
		for _, name := range []string{"first", "second"} {
			if err := intents.Record(w.ctx, []string{name}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		outcomes := w.state.TxnOutcomes()
		if len(outcomes) != 1 || outcomes[0].Status != http.StatusConflict {
			t.Errorf("the late write: %+v", outcomes)
		}
		if rec, err := intents.Load(w.ctx); err != nil || len(rec.Open) != 1 || rec.Open[0] != "second" {
			t.Errorf("recorded %+v, %v", rec, err)
		}
	})
}

// A lease's record that can't be decoded is somebody's: nobody takes the lease, and it
// is not overwritten.
func TestUndecodableLease(t *testing.T) {
	inWorld(t, func(w *world) {
		revision := w.state.Put(store.LeaderKey, "no holder")
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		if lease := w.candidate(0, nil, timing).Campaign(ctx); lease != nil || w.state.Revision(store.LeaderKey) != revision || len(w.damagedKeys()) == 0 {
			t.Errorf("lease %+v, revision %d, noted %v", lease, w.state.Revision(store.LeaderKey), w.damagedKeys())
		}
	})
}

// What happens to a lease is told, each with the token.
func TestEvents(t *testing.T) {
	inWorld(t, func(w *world) {
		lease := w.candidate(0, nil, timing).Campaign(w.ctx)
		permit, err := duty.PermitFor[duty.ScaleOut](lease)
		if err != nil {
			t.Fatal(err)
		}
		if err := permit.Do(w.ctx, func(context.Context) error { return nil }); err != nil {
			t.Error(err)
		}
		if _, err := lease.RaiseToken(w.ctx, lease.Token()); err != nil {
			t.Error(err)
		}
		lease.Resign(w.ctx, time.Now())
		if permit.Check() == nil {
			t.Error("permitted after resigning")
		}
		var got []string
		for _, e := range w.observedEvents() {
			got = append(got, string(e.Kind)+" "+string(e.Duty))
			if e.Token == 0 || e.At.IsZero() {
				t.Errorf("%+v lacks token or time", e)
			}
		}
		if want := "acquired |act accepted renting|token raised |resigned |act refused renting"; strings.Join(got, "|") != want {
			t.Errorf("told %q, want %q", got, want)
		}
	})
}

// Times that can't work are named, all of them.
func TestTimingValidate(t *testing.T) {
	if err := timing.Validate(); err != nil {
		t.Error(err)
	}
	err := duty.Timing{TTL: time.Second, RenewEvery: 2 * time.Second, Drift: 1.5}.Validate()
	for _, field := range []string{"RenewTimeout", "Poll", "Drift", "TTL"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v does not name %s", err, field)
		}
	}
}
