package delegation

import (
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// What a delegate keeps running ends within the cancellation timeout. Where a lease
// takes up all of that timeout there are no delegates.
func TestDelegationTimeFitsCancelTimeout(t *testing.T) {
	for _, workers := range []config.Workers{{Lease: 45, CancelTimeout: 70}, {Lease: 17.5, CancelTimeout: 42.5}, {Lease: 16, CancelTimeout: 41}} {
		got := BoundsOf(workers).MaxDelegationTime
		longestLease := workers.Lease.Duration() * 1001 / 1000
		if got < 10*time.Second || got+longestLease+2*time.Second > workers.CancelTimeout.Duration() {
			t.Errorf("%+v: delegates for %v, want 10s or more that fit in the timeout with the lease", workers, got)
		}
	}
	if got := BoundsOf(config.Workers{Lease: 45, CancelTimeout: 48}).MaxDelegationTime; got != 0 {
		t.Errorf("delegates for %v where a lease is all that the cancellation timeout leaves, want 0", got)
	}
}

// When another node can have answered a worker last, as a leader must assume before it
// treats a lease as expired.
func TestDelegateAnswersUntil(t *testing.T) {
	now := time.Now()
	bounds := Bounds{MaxDelegationTime: 20 * time.Second}
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	never := time.Time{}
	for _, c := range []struct {
		name      string
		node      peer.Peer
		storeBack time.Time
		want      time.Time
	}{
		{"in contact, never a delegate", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(0.5)}, never, never},
		{"in contact, a delegate a while ago", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(0.5), LastDelegatedRenewal: ago(12)}, never, ago(12)},
		{"in contact, started a while ago", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(0.5), LastDelegatedRenewal: ago(20), LatestStart: ago(9)}, never, ago(9)},
		{"in contact, perhaps still a delegate", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(15), LastDelegatedRenewal: ago(1)}, never, ago(-5)},
		{"lost after this leader's delegation", peer.Peer{AckRequestedAt: ago(10), AckToken: 50, DelegationGrantedAt: ago(9)}, never, ago(-11)},
		{"never heard in this term: an earlier leader's delegation", peer.Peer{AckRequestedAt: ago(90), AckToken: 40}, never, ago(40)},
		{"restarted, acknowledges nothing yet", peer.Peer{AckRequestedAt: ago(1)}, never, ago(40)},
		{"in contact, but the store is just back", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(7)}, ago(2), ago(-13)},
	} {
		t.Run(c.name, func(t *testing.T) {
			tenure := Tenure{StartedAt: now.Add(-time.Minute), FirstToken: 50, StoreAvailableSince: c.storeBack}
			if got := bounds.AnswersUntil(tenure, c.node, now); !got.Equal(c.want) {
				t.Errorf("%+v: %v, want %v", c.node, got.Sub(now), c.want.Sub(now))
			}
		})
	}
}

// fakeMesh shows a view that the test sets.
type fakeMesh struct {
	view        peer.View
	lastRenewal time.Time
	// onRenewal, if set, is called when the node records that it is a delegate.
	onRenewal func()
}

func (m *fakeMesh) View() *peer.View { return &m.view }

func (m *fakeMesh) RecordRenewal() {
	m.lastRenewal = time.Now()
	if m.onRenewal != nil {
		m.onRenewal()
	}
}

func (m *fakeMesh) SinceRenewal() time.Duration {
	if m.lastRenewal.IsZero() {
		return 0
	}
	return max(1, time.Since(m.lastRenewal))
}

// situation is what decides whether a node may be a delegate.
type situation struct {
	// How long ago the delegation was granted, the leader was heard, and all
	// cancellations were known.
	granted, leaderSeen, cancelsKnown time.Duration
	delegated                         wire.FencingToken // 0: no delegation
	newest, seenByWorker              wire.FencingToken
	ownDelegation                     bool // this node led with token 50
}

// newDelegate returns a delegate in a situation, at which the job req-7 is cancelled.
func newDelegate(s situation) (*Delegate, *fakeMesh) {
	now := time.Now()
	log := cancels.New([]wire.NodeID{"b"}, time.Minute)
	log.RecordRead(now.Add(-s.cancelsKnown))
	log.Add("req-7", 0)
	mesh := &fakeMesh{view: peer.View{
		Token:        s.newest,
		LeaderSeenAt: now.Add(-s.leaderSeen),
		Delegation:   peer.Delegation{Token: s.delegated, RequestedAt: now.Add(-s.granted)},
	}}
	d := New(Config{
		Bounds:      Bounds{MaxDelegationTime: 20 * time.Second, MaxCancelAge: 20 * time.Second},
		Mesh:        mesh,
		Cancels:     log,
		Nodes:       3,
		MaxCommands: 10,
	})
	if s.ownDelegation {
		d.GrantSelf(50, now.Add(-s.granted))
	}
	return d, mesh
}

// A delegate answers only with the newest token that it knows, from a leader that it
// has not heard for a while and that delegated to it recently, and only while it knows
// all cancellations but the latest. Others can learn of it before the answer.
func TestDelegateAnswersOnlyWithRecentNewestDelegation(t *testing.T) {
	good := situation{granted: 10 * time.Second, leaderSeen: 8 * time.Second, cancelsKnown: 2 * time.Second, delegated: 50, newest: 50, seenByWorker: 50}
	for name, c := range map[string]struct {
		change func(*situation)
		want   bool
	}{
		"the leader is lost":                     {func(*situation) {}, true},
		"the worker has seen an older token":     {func(s *situation) { s.seenByWorker = 49 }, true},
		"the worker has seen a newer token":      {func(s *situation) { s.seenByWorker = 51 }, false},
		"a newer token is known":                 {func(s *situation) { s.newest = 51 }, false},
		"never granted":                          {func(s *situation) { s.delegated = 0 }, false},
		"granted just within the time":           {func(s *situation) { s.granted = 19900 * time.Millisecond }, true},
		"granted too long ago":                   {func(s *situation) { s.granted = 20 * time.Second }, false},
		"the leader is heard":                    {func(s *situation) { s.leaderSeen = time.Second }, false},
		"cancellations are not known":            {func(s *situation) { s.cancelsKnown = 21 * time.Second }, false},
		"its own delegate":                       {func(s *situation) { s.ownDelegation, s.delegated = true, 0 }, true},
		"its own delegate, granted too long ago": {func(s *situation) { s.ownDelegation, s.delegated, s.granted = true, 0, 20*time.Second }, false},
		"its own grant is older than the newest": {func(s *situation) { s.ownDelegation, s.delegated, s.newest = true, 0, 51 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Minute) // the situation began after the start of the clock
				s := good
				c.change(&s)
				testDelegateAnswer(t, s, c.want)
			})
		})
	}
}

func testDelegateAnswer(t *testing.T, s situation, want bool) {
	d, mesh := newDelegate(s)
	heartbeat := &wire.Heartbeat{Machine: "n-1", Token: s.seenByWorker, Tasks: []wire.TaskStatus{
		{Task: "req-7/0", Attempt: 1, Phase: wire.PhaseRunning},
		{Task: "req-8/0", Attempt: 1, Phase: wire.PhaseRunning},
		{Task: "req-7/1", Attempt: 2, Phase: wire.PhaseExited},
	}}
	answer := d.Answer(heartbeat)
	if (answer != nil) != want || !mesh.lastRenewal.IsZero() != want {
		t.Errorf("%+v: answers %v, recorded %v, want both %v", s, answer != nil, !mesh.lastRenewal.IsZero(), want)
	}
	if answer == nil {
		return
	}
	if answer.Token != 50 || len(answer.Commands) != 1 || answer.Commands[0].Verb != wire.VerbStop || answer.Commands[0].Task != "req-7/0" {
		t.Errorf("%+v: answers %+v, want token 50 and the stop of req-7/0", s, answer)
	}
	// A token that arrives between the record and the answer still counts.
	mesh.onRenewal = func() { mesh.view.Token = 51 }
	if d.Answer(heartbeat) != nil {
		t.Errorf("%+v: answers although a newer token arrived meanwhile", s)
	}
}

// A worker counts as returned within the time that it gives all nodes, and not on its
// first visit.
func TestWorkerReturnsWithinTimeForAllNodes(t *testing.T) {
	d := New(Config{Nodes: 3})
	now := time.Now()
	for _, c := range []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"first visit", 0, false},
		{"within the time for three nodes", 14 * time.Second, true},
		{"too late", 15 * time.Second, false},
		{"again at once", time.Second, true},
	} {
		now = now.Add(c.after)
		if got := d.Returned("n-1", now); got != c.want {
			t.Errorf("%s, after %v: returned %v, want %v", c.name, c.after, got, c.want)
		}
	}
	if d.Returned("n-2", now) {
		t.Error("another worker counts as returned on its first visit")
	}
}

func TestDelegateWasActiveLately(t *testing.T) {
	for _, c := range []struct {
		name  string
		since time.Duration // the last renewal; 0: never
		want  bool
	}{
		{"never", 0, false},
		{"just now", time.Second, true},
		{"two heartbeats ago", 8*time.Second - 1, true},
		{"longer ago", 8 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mesh := &fakeMesh{}
				if c.since > 0 {
					mesh.RecordRenewal()
					time.Sleep(c.since)
				}
				d := New(Config{Mesh: mesh, HeartbeatInterval: 2 * time.Second})
				if got := d.RenewedRecently(); got != c.want {
					t.Errorf("last renewal %v ago: %v, want %v", c.since, got, c.want)
				}
			})
		})
	}
}
