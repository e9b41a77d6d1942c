package peer

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// at returns a time so many seconds after a fixed one.
func at(seconds float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// A quorum's acknowledgement counts from when the heartbeat was sent, for AckLifetime.
func TestAckedUntil(t *testing.T) {
	view := &View{Token: 9, Peers: map[wire.NodeID]Peer{
		"a": {AckToken: 9, AckRequestedAt: at(0)},
		"b": {AckToken: 9, AckRequestedAt: at(1)},
		"c": {AckToken: 8, AckRequestedAt: at(9)},
	}}
	tests := []struct {
		name   string
		token  wire.FencingToken
		quorum int
		want   time.Time
	}{
		{"quorum of two counts by the newest acknowledgement", 9, 2, at(1).Add(AckLifetime)},
		{"quorum of three counts by the second newest", 9, 3, at(0).Add(AckLifetime)},
		{"quorum of four is not reached", 9, 4, time.Time{}},
		{"lower token than the highest counts for nothing, even alone", 8, 1, time.Time{}},
		{"higher token that nobody has acknowledged", 10, 2, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := view.AckedUntil(tt.token, tt.quorum); !got.Equal(tt.want) {
				t.Errorf("AckedUntil(%d, %d) = %v, want %v", tt.token, tt.quorum, got, tt.want)
			}
		})
	}
}

// A node alone is a quorum of one, always.
func TestAckedUntilAlone(t *testing.T) {
	before := time.Now()
	got := (&View{Token: 9}).AckedUntil(9, 1)
	if least, most := before.Add(AckLifetime), time.Now().Add(AckLifetime); got.Before(least) || got.After(most) {
		t.Errorf("AckedUntil(9, 1) = %v, want %v to %v", got, least, most)
	}
}

// A node is connected until it has been without a message for AckLifetime.
func TestConnected(t *testing.T) {
	tests := []struct {
		name string
		peer Peer
		want bool
	}{
		{"message just now", Peer{LastContact: at(0)}, true},
		{"message just within the limit", Peer{LastContact: at(0).Add(time.Nanosecond - AckLifetime)}, true},
		{"message at the limit", Peer{LastContact: at(0).Add(-AckLifetime)}, false},
		{"no message ever", Peer{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.peer.Connected(at(0)); got != tt.want {
				t.Errorf("Connected() = %v of a peer in contact at %v, want %v at %v", got, tt.peer.LastContact, tt.want, at(0))
			}
		})
	}
}

// A node that says that it leads is known as the leader while its token is the highest one.
func TestObserveHeartbeatLeader(t *testing.T) {
	tests := []struct {
		name       string
		heartbeat  Heartbeat
		wantToken  wire.FencingToken
		wantLeader wire.NodeID
		wantSeen   time.Time // LeaderSeenAt
	}{
		{"leader with the known token", Heartbeat{From: "b", Token: 7, Leads: true}, 7, "b", at(5)},
		{"leader with a higher token", Heartbeat{From: "b", Token: 8, Leads: true}, 8, "b", at(5)},
		{"leader with a lower token is not believed", Heartbeat{From: "b", Token: 6, Leads: true}, 7, "a", at(1)},
		{"node that does not lead", Heartbeat{From: "b", Token: 7}, 7, "a", at(1)},
		{"higher token of a node that does not lead", Heartbeat{From: "b", Token: 8}, 8, "", at(1)},
		{"known leader that leads no more", Heartbeat{From: "a", Token: 7}, 7, "", at(1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := &View{Token: 7, Leader: "a", LeaderSeenAt: at(1)}
			p := Peer{LastContact: at(5)}
			view.observeHeartbeat(&p, &tt.heartbeat)
			if view.Token != tt.wantToken || view.Leader != tt.wantLeader || !view.LeaderSeenAt.Equal(tt.wantSeen) {
				t.Errorf("token %d, leader %q seen at %v, want %d, %q, %v", view.Token, view.Leader, view.LeaderSeenAt, tt.wantToken, tt.wantLeader, tt.wantSeen)
			}
			if p.From != tt.heartbeat.From || p.Token != tt.heartbeat.Token {
				t.Errorf("heartbeat %+v of the peer, want %+v", p.Heartbeat, tt.heartbeat)
			}
		})
	}
}

// An answer counts by when its heartbeat was sent; what it says of the other node's past counts from when it came in.
func TestObserveAnswer(t *testing.T) {
	known := Peer{AckRequestedAt: at(3), AckToken: 7, LastDelegatedRenewal: at(1), LatestStart: at(0), LastContact: at(10)}
	tests := []struct {
		name        string
		answer      Heartbeat
		requestedAt time.Time
		want        Peer
		wantToken   wire.FencingToken
		delegation  Delegation
	}{
		{name: "acknowledgement of the known token", answer: Heartbeat{Token: 7}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestStart: at(0)}, wantToken: 7},
		{name: "no acknowledgement", answer: Heartbeat{}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), LastDelegatedRenewal: at(1), LatestStart: at(0)}, wantToken: 7},
		{name: "acknowledgement of a higher token", answer: Heartbeat{Token: 8}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 8, LastDelegatedRenewal: at(1), LatestStart: at(0)}, wantToken: 8},
		{name: "renewal and uptime are ages", answer: Heartbeat{Token: 7, SinceRenewal: 2 * time.Second, Uptime: 6 * time.Second}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(8), LatestStart: at(4)}, wantToken: 7},
		{name: "late answer of an earlier stream", answer: Heartbeat{Token: 6, SinceRenewal: 2 * time.Second, Uptime: 6 * time.Second}, requestedAt: at(2),
			want: known, wantToken: 7},
		{name: "delegation", answer: Heartbeat{Token: 7, Delegation: 7}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestStart: at(0)}, wantToken: 7, delegation: Delegation{7, at(9)}},
		{name: "delegation counts from the oldest unconfirmed cancellation", requestedAt: at(9),
			answer: Heartbeat{Token: 7, Delegation: 7, UnconfirmedCancelAge: 4 * time.Second},
			want:   Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestStart: at(0)}, wantToken: 7, delegation: Delegation{7, at(5)}},
		{name: "delegation under a lower token", answer: Heartbeat{Token: 7, Delegation: 6}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestStart: at(0)}, wantToken: 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := &View{Token: 7}
			p := known
			view.observeAnswer(&p, &tt.answer, tt.requestedAt)
			if !p.AckRequestedAt.Equal(tt.want.AckRequestedAt) || p.AckToken != tt.want.AckToken {
				t.Errorf("acknowledgement of %d, asked for at %v, want %d at %v", p.AckToken, p.AckRequestedAt, tt.want.AckToken, tt.want.AckRequestedAt)
			}
			if !p.LastDelegatedRenewal.Equal(tt.want.LastDelegatedRenewal) || !p.LatestStart.Equal(tt.want.LatestStart) {
				t.Errorf("last renewal at %v, start before %v, want %v and %v", p.LastDelegatedRenewal, p.LatestStart, tt.want.LastDelegatedRenewal, tt.want.LatestStart)
			}
			if view.Token != tt.wantToken || view.Delegation != tt.delegation {
				t.Errorf("token %d, delegation %+v, want %d, %+v", view.Token, view.Delegation, tt.wantToken, tt.delegation)
			}
			if delegated := view.LeaderSeenAt.Equal(p.LastContact); delegated != (tt.delegation != Delegation{}) {
				t.Errorf("leader seen at %v after a delegation %+v", view.LeaderSeenAt, tt.delegation)
			}
		})
	}
}

// A published view does not change with the one that it was made from.
func TestCloneIsIndependent(t *testing.T) {
	view := &View{Token: 7, Peers: map[wire.NodeID]Peer{"a": {AckToken: 7}}}
	published := view.clone()
	view.Token, view.Peers["a"], view.Peers["b"] = 8, Peer{AckToken: 8}, Peer{}
	if published.Token != 7 || len(published.Peers) != 1 || published.Peers["a"].AckToken != 7 {
		t.Errorf("published view changed to %+v", published)
	}
}
