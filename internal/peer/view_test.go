package peer

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// at returns the time that is the given number of seconds after a fixed one.
func at(seconds float64) time.Time {
	return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// A quorum's acknowledgements are valid for AckLifetime from when the heartbeats were sent.
func TestAckedUntilCountsFromRequest(t *testing.T) {
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
		{"quorum of two lasts as long as the newest acknowledgement", 9, 2, at(1).Add(AckLifetime)},
		{"quorum of three lasts as long as the second newest", 9, 3, at(0).Add(AckLifetime)},
		{"quorum of four is not reached", 9, 4, time.Time{}},
		{"token below the highest is invalid, even for a quorum of one", 8, 1, time.Time{}},
		{"higher token that no node has acknowledged", 10, 2, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := view.AckedUntil(tt.token, tt.quorum); !got.Equal(tt.want) {
				t.Errorf("AckedUntil(%d, %d) = %v, want %v", tt.token, tt.quorum, got, tt.want)
			}
		})
	}
}

// With a quorum of one, the node's own acknowledgement suffices.
func TestAckedUntilWithQuorumOfOne(t *testing.T) {
	before := time.Now()
	got := (&View{Token: 9}).AckedUntil(9, 1)
	if earliest, latest := before.Add(AckLifetime), time.Now().Add(AckLifetime); got.Before(earliest) || got.After(latest) {
		t.Errorf("AckedUntil(9, 1) = %v, want %v to %v", got, earliest, latest)
	}
}

// A node is connected until AckLifetime after its last message.
func TestConnectedUntilAckLifetimeAfterContact(t *testing.T) {
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
				t.Errorf("Connected() = %v for a peer with last contact at %v, want %v at %v", got, tt.peer.LastContact, tt.want, at(0))
			}
		})
	}
}

// A node whose heartbeat says that it leads is the known leader while its token is the highest.
func TestHeartbeatDeterminesLeader(t *testing.T) {
	tests := []struct {
		name       string
		heartbeat  Heartbeat
		wantToken  wire.FencingToken
		wantLeader wire.NodeID
		wantSeen   time.Time // LeaderSeenAt
	}{
		{"leader with the known token", Heartbeat{From: "b", Token: 7, Leads: true}, 7, "b", at(5)},
		{"leader that raises its token", Heartbeat{From: "b", Token: 7, Leads: true, RaisesToken: true}, 7, "b", at(5)},
		{"leader with a higher token", Heartbeat{From: "b", Token: 8, Leads: true}, 8, "b", at(5)},
		{"leader with a lower token is ignored", Heartbeat{From: "b", Token: 6, Leads: true}, 7, "a", at(1)},
		{"node that does not lead", Heartbeat{From: "b", Token: 7}, 7, "a", at(1)},
		{"higher token of a node that does not lead", Heartbeat{From: "b", Token: 8}, 8, "", at(1)},
		{"known leader that no longer leads", Heartbeat{From: "a", Token: 7}, 7, "", at(1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := &View{Token: 7, Leader: "a", LeaderSeenAt: at(1)}
			p := Peer{LastContact: at(5)}
			view.observeHeartbeat(&p, &tt.heartbeat)
			if view.Token != tt.wantToken || view.Leader != tt.wantLeader || !view.LeaderSeenAt.Equal(tt.wantSeen) {
				t.Errorf("token %d, leader %q seen at %v, want %d, %q, %v", view.Token, view.Leader, view.LeaderSeenAt, tt.wantToken, tt.wantLeader, tt.wantSeen)
			}
			if view.LeaderRaisesToken != tt.heartbeat.RaisesToken {
				t.Errorf("the leader raises its token %v, want %v", view.LeaderRaisesToken, tt.heartbeat.RaisesToken)
			}
			if p.From != tt.heartbeat.From || p.Token != tt.heartbeat.Token {
				t.Errorf("recorded heartbeat %+v, want %+v", p.Heartbeat, tt.heartbeat)
			}
		})
	}
}

// An acknowledgement or delegation counts from when the answered heartbeat was sent. The ages that a
// response states count from its arrival.
func TestObserveResponseTimesAcksFromRequestAndAgesFromArrival(t *testing.T) {
	known := Peer{AckRequestedAt: at(3), AckToken: 7, LastDelegatedRenewal: at(1), LatestProcessStart: at(0), LastContact: at(10)}
	tests := []struct {
		name           string
		response       Heartbeat
		requestedAt    time.Time
		want           Peer
		wantToken      wire.FencingToken
		wantDelegation Delegation
	}{
		{name: "acknowledgement of the known token", response: Heartbeat{Token: 7}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestProcessStart: at(0)}, wantToken: 7},
		{name: "no acknowledgement", response: Heartbeat{}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), LastDelegatedRenewal: at(1), LatestProcessStart: at(0)}, wantToken: 7},
		{name: "acknowledgement of a higher token", response: Heartbeat{Token: 8}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 8, LastDelegatedRenewal: at(1), LatestProcessStart: at(0)}, wantToken: 8},
		{name: "renewal and uptime are ages", response: Heartbeat{Token: 7, SinceRenewal: 2 * time.Second, Uptime: 6 * time.Second}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(8), LatestProcessStart: at(4)}, wantToken: 7},
		{name: "late response on an earlier stream", response: Heartbeat{Token: 6, SinceRenewal: 2 * time.Second, Uptime: 6 * time.Second}, requestedAt: at(2),
			want: known, wantToken: 7},
		{name: "delegation", response: Heartbeat{Token: 7, Delegation: 7}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestProcessStart: at(0)}, wantToken: 7, wantDelegation: Delegation{7, at(9)}},
		{name: "delegation counts from the oldest cancellation with a launch in flight", requestedAt: at(9),
			response: Heartbeat{Token: 7, Delegation: 7, InFlightLaunchCancelAge: 4 * time.Second},
			want:     Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestProcessStart: at(0)}, wantToken: 7, wantDelegation: Delegation{7, at(5)}},
		{name: "delegation under a lower token", response: Heartbeat{Token: 7, Delegation: 6}, requestedAt: at(9),
			want: Peer{AckRequestedAt: at(9), AckToken: 7, LastDelegatedRenewal: at(1), LatestProcessStart: at(0)}, wantToken: 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := &View{Token: 7}
			p := known
			view.observeResponse(&p, &tt.response, tt.requestedAt)
			if !p.AckRequestedAt.Equal(tt.want.AckRequestedAt) || p.AckToken != tt.want.AckToken {
				t.Errorf("acknowledged token %d, requested at %v, want %d at %v", p.AckToken, p.AckRequestedAt, tt.want.AckToken, tt.want.AckRequestedAt)
			}
			if !p.LastDelegatedRenewal.Equal(tt.want.LastDelegatedRenewal) || !p.LatestProcessStart.Equal(tt.want.LatestProcessStart) {
				t.Errorf("last renewal at %v, latest start %v, want %v and %v", p.LastDelegatedRenewal, p.LatestProcessStart, tt.want.LastDelegatedRenewal, tt.want.LatestProcessStart)
			}
			if view.Token != tt.wantToken || view.Delegation != tt.wantDelegation {
				t.Errorf("token %d, delegation %+v, want %d, %+v", view.Token, view.Delegation, tt.wantToken, tt.wantDelegation)
			}
			if leaderSeen := view.LeaderSeenAt.Equal(p.LastContact); leaderSeen != (tt.wantDelegation != Delegation{}) {
				t.Errorf("leader seen at %v with delegation %+v", view.LeaderSeenAt, tt.wantDelegation)
			}
		})
	}
}

// A published view does not change when the original changes.
func TestCloneIsIndependent(t *testing.T) {
	view := &View{Token: 7, Peers: map[wire.NodeID]Peer{"a": {AckToken: 7}}}
	published := view.clone()
	view.Token, view.Peers["a"], view.Peers["b"] = 8, Peer{AckToken: 8}, Peer{}
	if published.Token != 7 || len(published.Peers) != 1 || published.Peers["a"].AckToken != 7 {
		t.Errorf("published view changed to %+v", published)
	}
}

// Guards against agents that their leader can't use: what a leader said of its token says nothing of the
// next one.
func TestHigherTokenEndsWhatLeaderSaid(t *testing.T) {
	view := &View{}
	view.observeHeartbeat(&Peer{}, &Heartbeat{From: "a", Token: 7, Leads: true, RaisesToken: true})
	view.observeToken(7)
	if !view.LeaderRaisesToken {
		t.Error("the leader raises its token: false after its heartbeat, want true")
	}
	view.observeToken(8)
	if view.LeaderRaisesToken {
		t.Error("the leader raises its token: true after a higher token, want false")
	}
}
