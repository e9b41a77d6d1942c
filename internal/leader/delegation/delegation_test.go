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

// A task whose lease a delegate renewed ends within the cancellation timeout. Where the lease
// takes up all of that timeout there is no delegation.
func TestDelegationTimeFitsCancelTimeout(t *testing.T) {
	for _, workers := range []config.Workers{{Lease: 45, CancelTimeout: 70}, {Lease: 17.5, CancelTimeout: 42.5}, {Lease: 16, CancelTimeout: 41}} {
		got := BoundsOf(workers).MaxDelegationTime
		longestLease := workers.Lease.Duration() * 1001 / 1000
		if got < 10*time.Second || got+longestLease+2*time.Second > workers.CancelTimeout.Duration() {
			t.Errorf("%+v: delegation time %v, want at least 10s that fit in the timeout together with the lease", workers, got)
		}
	}
	if got := BoundsOf(config.Workers{Lease: 45, CancelTimeout: 48}).MaxDelegationTime; got != 0 {
		t.Errorf("delegation time %v where the lease takes up all of the cancellation timeout, want 0", got)
	}
}

// Before a leader treats a lease as expired, it must assume the latest time at which another
// node can have answered the agent.
func TestDelegateAnswersUntil(t *testing.T) {
	now := time.Now()
	bounds := Bounds{MaxDelegationTime: 20 * time.Second}
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	never := time.Time{}
	for _, c := range []struct {
		name                string
		node                peer.Peer
		storeAvailableSince time.Time
		want                time.Time
	}{
		{"in contact, never a delegate", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(0.5)}, never, never},
		{"in contact, a delegate a while ago", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(0.5), LastDelegatedRenewal: ago(12)}, never, ago(12)},
		{"in contact, started a while ago", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(0.5), LastDelegatedRenewal: ago(20), LatestProcessStart: ago(9)}, never, ago(9)},
		{"in contact, renewed a lease just now", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(15), LastDelegatedRenewal: ago(1)}, never, ago(-5)},
		{"out of contact after this leader's delegation", peer.Peer{AckRequestedAt: ago(10), AckToken: 50, DelegationGrantedAt: ago(9)}, never, ago(-11)},
		{"last acknowledged an earlier term's token", peer.Peer{AckRequestedAt: ago(90), AckToken: 40}, never, ago(40)},
		{"restarted, has acknowledged no token yet", peer.Peer{AckRequestedAt: ago(1)}, never, ago(40)},
		{"in contact, but the store outage has just ended", peer.Peer{AckRequestedAt: ago(1), AckToken: 50, DelegationGrantedAt: ago(7)}, ago(2), ago(-13)},
	} {
		t.Run(c.name, func(t *testing.T) {
			leadership := LeadershipTerm{StartedAt: now.Add(-time.Minute), FirstToken: 50, StoreAvailableSince: c.storeAvailableSince}
			if got := bounds.DelegateAnswersUntil(leadership, c.node, now); !got.Equal(c.want) {
				t.Errorf("%+v: can answer until %v from now, want %v", c.node, got.Sub(now), c.want.Sub(now))
			}
		})
	}
}

// fakeMesh returns a view that the test sets.
type fakeMesh struct {
	view        peer.View
	lastRenewal time.Time
	// onRenewal, if set, is called when the node records a renewal.
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

// situation holds the conditions that decide whether a node may be a delegate.
type situation struct {
	// The times since the delegation was requested, since the leader was last seen, and since
	// all cancellations were known.
	sinceGrant, sinceLeaderSeen, sinceCancelsKnown time.Duration
	delegatedToken                                 wire.FencingToken // 0: no delegation
	newestToken, tokenSeenByAgent                  wire.FencingToken
	ownDelegation                                  bool // this node led with token 50
}

// newDelegate returns a delegate in the given situation, in which the job req-7 is cancelled.
func newDelegate(s situation) (*Delegate, *fakeMesh) {
	now := time.Now()
	log := cancels.New([]wire.NodeID{"b"}, time.Minute)
	log.RecordRead(now.Add(-s.sinceCancelsKnown))
	log.Add("req-7", 0)
	mesh := &fakeMesh{view: peer.View{
		Token:        s.newestToken,
		LeaderSeenAt: now.Add(-s.sinceLeaderSeen),
		Delegation:   peer.Delegation{Token: s.delegatedToken, RequestedAt: now.Add(-s.sinceGrant)},
	}}
	d := New(Config{
		Bounds:      Bounds{MaxDelegationTime: 20 * time.Second, MaxCancelAge: 20 * time.Second},
		Mesh:        mesh,
		Cancels:     log,
		Nodes:       3,
		MaxCommands: 10,
	})
	if s.ownDelegation {
		d.GrantSelf(50, now.Add(-s.sinceGrant))
	}
	return d, mesh
}

// A delegate answers only with the newest token that it knows. The leader must have delegated
// to it recently and then lost contact, and the delegate must know all cancellations but the
// most recent. It records the renewal before it answers, so that the other nodes can learn of
// it.
func TestDelegateAnswersOnlyWithRecentNewestDelegation(t *testing.T) {
	mayAnswer := situation{sinceGrant: 10 * time.Second, sinceLeaderSeen: 8 * time.Second, sinceCancelsKnown: 2 * time.Second, delegatedToken: 50, newestToken: 50, tokenSeenByAgent: 50}
	for name, c := range map[string]struct {
		change func(*situation)
		want   bool
	}{
		"the leader is out of contact":           {func(*situation) {}, true},
		"the agent has seen an older token":      {func(s *situation) { s.tokenSeenByAgent = 49 }, true},
		"the agent has seen a newer token":       {func(s *situation) { s.tokenSeenByAgent = 51 }, false},
		"a newer token is known":                 {func(s *situation) { s.newestToken = 51 }, false},
		"never granted":                          {func(s *situation) { s.delegatedToken = 0 }, false},
		"granted just within the time":           {func(s *situation) { s.sinceGrant = 19900 * time.Millisecond }, true},
		"granted too long ago":                   {func(s *situation) { s.sinceGrant = 20 * time.Second }, false},
		"the leader is in contact":               {func(s *situation) { s.sinceLeaderSeen = time.Second }, false},
		"cancellations are not known":            {func(s *situation) { s.sinceCancelsKnown = 21 * time.Second }, false},
		"its own delegate":                       {func(s *situation) { s.ownDelegation, s.delegatedToken = true, 0 }, true},
		"its own delegate, granted too long ago": {func(s *situation) { s.ownDelegation, s.delegatedToken, s.sinceGrant = true, 0, 20*time.Second }, false},
		"its own grant is older than the newest": {func(s *situation) { s.ownDelegation, s.delegatedToken, s.newestToken = true, 0, 51 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Minute) // keeps the times in the past after the start of the clock
				s := mayAnswer
				c.change(&s)
				testDelegateAnswer(t, s, c.want)
			})
		})
	}
}

func testDelegateAnswer(t *testing.T, s situation, want bool) {
	d, mesh := newDelegate(s)
	heartbeat := &wire.Heartbeat{Machine: "n-1", Token: s.tokenSeenByAgent, Tasks: []wire.TaskStatus{
		{Task: "req-7/0", Attempt: 1, Phase: wire.PhaseRunning},
		{Task: "req-8/0", Attempt: 1, Phase: wire.PhaseRunning},
		{Task: "req-7/1", Attempt: 2, Phase: wire.PhaseExited},
	}}
	answer := d.Answer(heartbeat)
	if (answer != nil) != want || !mesh.lastRenewal.IsZero() != want {
		t.Errorf("%+v: answered %v, renewal recorded %v, want both %v", s, answer != nil, !mesh.lastRenewal.IsZero(), want)
	}
	if answer == nil {
		return
	}
	if answer.Token != 50 || len(answer.Commands) != 1 || answer.Commands[0].Verb != wire.VerbStop || answer.Commands[0].Task != "req-7/0" {
		t.Errorf("%+v: answer %+v, want token 50 and the stop of req-7/0", s, answer)
	}
	// A token that arrives after the renewal was recorded and before the response still
	// counts.
	mesh.onRenewal = func() { mesh.view.Token = 51 }
	if d.Answer(heartbeat) != nil {
		t.Errorf("%+v: answered although a newer token arrived after the renewal was recorded", s)
	}
}

// An agent counts as returned if it comes back within the time that it takes to try all nodes,
// but not on its first heartbeat.
func TestAgentReturnsWithinTimeForAllNodes(t *testing.T) {
	d := New(Config{Nodes: 3})
	now := time.Now()
	for _, c := range []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"first heartbeat", 0, false},
		{"within the time for three nodes", 14 * time.Second, true},
		{"too late", 15 * time.Second, false},
		{"again at once", time.Second, true},
	} {
		now = now.Add(c.after)
		if got := d.ReturnedAfterRedirect("n-1", now); got != c.want {
			t.Errorf("%s, after %v: returned %v, want %v", c.name, c.after, got, c.want)
		}
	}
	if d.ReturnedAfterRedirect("n-2", now) {
		t.Error("another agent counts as returned on its first heartbeat")
	}
}

func TestRenewedRecentlyExpires(t *testing.T) {
	for _, c := range []struct {
		name         string
		sinceRenewal time.Duration // 0: never
		want         bool
	}{
		{"never", 0, false},
		{"just now", time.Second, true},
		{"just within two heartbeat intervals and two acknowledgement lifetimes", 8*time.Second - 1, true},
		{"longer ago", 8 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mesh := &fakeMesh{}
				if c.sinceRenewal > 0 {
					mesh.RecordRenewal()
					time.Sleep(c.sinceRenewal)
				}
				d := New(Config{Mesh: mesh, HeartbeatInterval: 2 * time.Second})
				if got := d.RenewedRecently(); got != c.want {
					t.Errorf("last renewal %v ago: renewed recently %v, want %v", c.sinceRenewal, got, c.want)
				}
			})
		})
	}
}
