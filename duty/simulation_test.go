package duty_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
)

// simulation is a simulated key-value store in virtual time, with the events and undecodable
// keys that its candidates have reported.
type simulation struct {
	network *simulator.Network
	store   *simulator.KVStore

	mu              sync.Mutex // candidates report from several goroutines
	events          []duty.Event
	undecodableKeys []string
}

// newSimulation serves a simulated store until the test ends. It must be called inside
// synctest.Test.
func newSimulation(t *testing.T) *simulation {
	t.Helper()
	s := &simulation{network: simulator.NewNetwork(time.Millisecond), store: simulator.NewKVStore(12, 16)}
	stop, err := s.network.ServeKVStore(s.store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return s
}

// leaseTiming is the timing of a lease without a margin: its holder stops early only by the
// allowance for clock drift.
var leaseTiming = duty.Timing{
	TTL:          3 * time.Second,
	RenewEvery:   700 * time.Millisecond,
	RenewTimeout: time.Second,
	Poll:         100 * time.Millisecond,
	Drift:        0.02,
}

// options returns the options of a candidate on the host with this number.
func (s *simulation) options(host int) duty.Options {
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
	return duty.Options{
		Key:           store.LeaderKey,
		Node:          nodeOn(host),
		Store:         store.New(simulator.KVStoreAddr, limits, 3, s.network.Host(simulator.NodeIP(host))),
		Timing:        leaseTiming,
		Observe:       s.recordEvent,
		OnUndecodable: s.recordUndecodable,
	}
}

// nodeOn returns the name of the node on the host with this number.
func nodeOn(host int) duty.NodeID { return duty.NodeID(rune('a' + host)) }

// newCandidate returns a candidate on the host with this number, as a new process of it.
func (s *simulation) newCandidate(host int) *duty.Candidate {
	return duty.NewCandidate(s.options(host))
}

func (s *simulation) recordEvent(e duty.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

func (s *simulation) recordUndecodable(key string, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undecodableKeys = append(s.undecodableKeys, key)
}

func (s *simulation) recordedEvents() []duty.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

func (s *simulation) recordedUndecodableKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.undecodableKeys)
}

// acquire campaigns until the candidate holds the lease.
func acquire(t *testing.T, c *duty.Candidate) *duty.Lease {
	t.Helper()
	lease := c.Campaign(t.Context())
	if lease == nil {
		t.Fatalf("%s: got no lease, want one", c.Node)
	}
	return lease
}

// renewInBackground renews a lease until the test ends or the lease is lost.
func renewInBackground(t *testing.T, l *duty.Lease) {
	t.Helper()
	go l.KeepAlive(t.Context(), func(time.Time) {}) //nolint:errcheck // the test asks the lease itself
}

// skewedClock differs in its rate from the store's clock.
type skewedClock struct {
	start time.Time
	rate  float64 // seconds of this clock for each second of the store's
}

func (c skewedClock) Now() time.Time {
	return c.start.Add(time.Duration(float64(time.Since(c.start)) * c.rate))
}

func (c skewedClock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.rate))
}
