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

// How long a node may be a delegate: what it lets live on is gone within the time
// for cancellations, and where there is no such time it never is.
func TestDelegationTime(t *testing.T) {
	for _, w := range []config.Workers{{Lease: 45, CancelTimeout: 70}, {Lease: 17.5, CancelTimeout: 42.5}, {Lease: 16, CancelTimeout: 41}} {
		d := BoundsOf(w).Time
		if d < 10*time.Second || d+w.Lease.Duration()*1001/1000+2*time.Second > w.CancelTimeout.Duration() {
			t.Errorf("%+v: delegates for %v", w, d)
		}
	}
	if d := BoundsOf(config.Workers{Lease: 45, CancelTimeout: 48}).Time; d != 0 {
		t.Errorf("delegates for %v where a lease is all that the time for cancellations leaves", d)
	}
}

// When another node can have answered a worker last, as a leader must count it
// before it takes a lease for run out.
func TestDelegateAnswersUntil(t *testing.T) {
	now := time.Now()
	bounds := Bounds{Time: 20 * time.Second}
	tenure := Tenure{Began: now.Add(-time.Minute), FirstToken: 50}
	ago := func(s float64) time.Time { return now.Add(-time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name string
		o    peer.Peer
		back time.Time
		want time.Time
	}{
		{"in touch, never a delegate", peer.Peer{AckSent: ago(1), AckToken: 50, DelegatedAt: ago(0.5)}, time.Time{}, time.Time{}},
		{"in touch, a delegate a while ago", peer.Peer{AckSent: ago(1), AckToken: 50, DelegatedAt: ago(0.5), LastRenewal: ago(12)}, time.Time{}, ago(12)},
		{"in touch, began a while ago", peer.Peer{AckSent: ago(1), AckToken: 50, DelegatedAt: ago(0.5), LastRenewal: ago(20), StartedBefore: ago(9)}, time.Time{}, ago(9)},
		{"in touch, and perhaps still at it", peer.Peer{AckSent: ago(1), AckToken: 50, DelegatedAt: ago(15), LastRenewal: ago(1)}, time.Time{}, ago(-5)},
		{"lost after our grant", peer.Peer{AckSent: ago(10), AckToken: 50, DelegatedAt: ago(9)}, time.Time{}, ago(-11)},
		{"never heard in this term: an earlier leader's grant", peer.Peer{AckSent: ago(90), AckToken: 40}, time.Time{}, ago(40)},
		{"fresh, acknowledges nothing yet", peer.Peer{AckSent: ago(1)}, time.Time{}, ago(40)},
		{"in touch, but we did not lead until now", peer.Peer{AckSent: ago(1), AckToken: 50, DelegatedAt: ago(7)}, ago(2), ago(-13)},
	}
	for _, c := range cases {
		tenure.StateBack = c.back
		if got := bounds.AnswersUntil(tenure, c.o, now); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got.Sub(now), c.want.Sub(now))
		}
	}
}

// fakeMesh shows a view that the test sets.
type fakeMesh struct {
	view  peer.View
	stood time.Time
	// onRenewal is called when the node notes that it is a delegate.
	onRenewal func()
}

func (m *fakeMesh) View() *peer.View { return &m.view }

func (m *fakeMesh) RecordRenewal() {
	m.stood = time.Now()
	if m.onRenewal != nil {
		m.onRenewal()
	}
}

func (m *fakeMesh) SinceRenewal() time.Duration {
	if m.stood.IsZero() {
		return 0
	}
	return max(1, time.Since(m.stood))
}

// A delegate answers only with the newest token that it knows, from a leader that
// it has not heard for a while and that granted it lately, and only while it knows
// of all cancellations but the last; others can know of it before the answer.
func TestWhoMayBeADelegate(t *testing.T) {
	type setting struct {
		granted, led, known time.Duration // ago
		token, newest, seen wire.FencingToken
		own                 bool
	}
	good := setting{granted: 10 * time.Second, led: 8 * time.Second, known: 2 * time.Second, token: 50, newest: 50, seen: 50}
	for name, c := range map[string]struct {
		change func(*setting)
		want   bool
	}{
		"the leader is lost":                     {func(*setting) {}, true},
		"the worker has seen an older token":     {func(s *setting) { s.seen = 49 }, true},
		"the worker has seen a newer token":      {func(s *setting) { s.seen = 51 }, false},
		"a newer token is known":                 {func(s *setting) { s.newest = 51 }, false},
		"never granted":                          {func(s *setting) { s.token = 0 }, false},
		"granted just within the time":           {func(s *setting) { s.granted = 19900 * time.Millisecond }, true},
		"granted too long ago":                   {func(s *setting) { s.granted = 20 * time.Second }, false},
		"the leader is heard":                    {func(s *setting) { s.led = time.Second }, false},
		"cancellations are not known":            {func(s *setting) { s.known = 21 * time.Second }, false},
		"its own delegate":                       {func(s *setting) { s.own, s.token = true, 0 }, true},
		"its own delegate, granted too long ago": {func(s *setting) { s.own, s.token, s.granted = true, 0, 20*time.Second }, false},
		"its own grant is older than the newest": {func(s *setting) { s.own, s.token, s.newest = true, 0, 51 }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(time.Minute)
			s := good
			c.change(&s)
			now := time.Now()
			ledger := cancels.New([]wire.NodeID{"b"}, time.Minute)
			ledger.RecordRead(now.Add(-s.known))
			ledger.Add("req-7", 0)
			mesh := &fakeMesh{view: peer.View{Token: s.newest, LeaderSeen: now.Add(-s.led), Delegation: peer.Delegation{Token: s.token, RequestedAt: now.Add(-s.granted)}}}
			d := New(Config{Bounds: Bounds{Time: 20 * time.Second, MaxCancelAge: 20 * time.Second}, Mesh: mesh, Cancels: ledger, Nodes: 3, MaxCommands: 10})
			if s.own {
				d.GrantSelf(50, now.Add(-s.granted))
			}
			rep := &wire.Heartbeat{Machine: "n-1", Token: s.seen, Tasks: []wire.TaskState{
				{Task: "req-7/0", Attempt: 1, Phase: wire.PhaseRunning}, {Task: "req-8/0", Attempt: 1, Phase: wire.PhaseRunning}, {Task: "req-7/1", Attempt: 2, Phase: wire.PhaseExited}}}
			answer := d.Answer(rep)
			if (answer != nil) != c.want || !mesh.stood.IsZero() != c.want {
				t.Errorf("%s: answers %v, noted %v", name, answer != nil, !mesh.stood.IsZero())
			}
			if answer == nil {
				return
			}
			if answer.Token != 50 || len(answer.Commands) != 1 || answer.Commands[0].Verb != wire.Stop || answer.Commands[0].Task != "req-7/0" {
				t.Errorf("%s: answers %+v", name, answer)
			}
			// News that comes between the note and the answer still counts.
			mesh.onRenewal = func() { mesh.view.Token = 51 }
			if d.Answer(rep) != nil {
				t.Errorf("%s: answers though a newer token came meanwhile", name)
			}
		})
	}
}

// A worker counts as returned within the time that it gives all nodes, and not
// on its first visit.
func TestReturned(t *testing.T) {
	d := New(Config{Nodes: 3})
	now := time.Now()
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {14 * time.Second, true}, {15 * time.Second, false}, {time.Second, true}} {
		now = now.Add(c.after)
		if got := d.Returned("n-1", now); got != c.want {
			t.Errorf("after %v: %v", c.after, got)
		}
	}
	if d.Returned("n-2", now) {
		t.Error("another worker counts as returned on its first visit")
	}
}
