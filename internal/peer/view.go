package peer

import (
	"maps"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// Peer is what is known of another node. Times are of the monotonic clock.
type Peer struct {
	Heartbeat
	// LastContact is when the last message came in.
	LastContact time.Time
	// AckSent is when the heartbeat was sent that was answered last, and AckToken
	// the token acknowledged by it.
	AckSent  time.Time
	AckToken wire.FencingToken
	// DelegatedAt is when this node last let the other renew leases for it.
	DelegatedAt time.Time
	// LastRenewal is when the other last renewed a lease as a delegate, at the
	// latest, as of its last answer.
	LastRenewal time.Time
	// StartedBefore is when the other started, at the latest. Until then its former
	// process may have renewed leases, of which it knows nothing.
	StartedBefore time.Time
}

// Connected tells whether the node was in contact lately.
func (p Peer) Connected(now time.Time) bool { return now.Sub(p.LastContact) < AckLifetime }

// acknowledge takes in an answer to the heartbeat that was sent then. Answers
// of an earlier stream may come after those of a newer one.
func (p *Peer) acknowledge(answer *Heartbeat, sent time.Time) {
	if !sent.After(p.AckSent) {
		return
	}
	p.AckSent, p.AckToken = sent, answer.Token
	if answer.SinceRenewal > 0 {
		p.LastRenewal = p.LastContact.Add(-answer.SinceRenewal)
	}
	if answer.Uptime > 0 {
		p.StartedBefore = p.LastContact.Add(-answer.Uptime)
	}
}

// Delegation is a leader's permission for this node to renew workers' leases on
// its behalf.
type Delegation struct {
	Token wire.FencingToken
	// RequestedAt is when this node asked for it, or earlier: a launch of what
	// was cancelled before can't arrive any more.
	RequestedAt time.Time
}

// View is what one node knows of all. It is never changed once published.
type View struct {
	// Token is the highest that this node knows of.
	Token wire.FencingToken
	// Leader is who leads with it, if a heartbeat said so lately.
	Leader wire.NodeID
	Peers  map[wire.NodeID]Peer
	// LeaderSeen is when a node last said that it leads with that token.
	LeaderSeen time.Time
	// Delegation is the newest that this node has.
	Delegation Delegation
}

// AckedUntil is until when an acknowledgement of the token by so many nodes,
// this one included, is young enough to count; zero if it never was.
func (v *View) AckedUntil(t wire.FencingToken, nodes int) time.Time {
	if v.Token > t {
		return time.Time{}
	}
	var until []time.Time
	for _, p := range v.Peers {
		if p.AckToken == t {
			until = append(until, p.AckSent.Add(AckLifetime))
		}
	}
	if len(until) < nodes-1 {
		return time.Time{}
	}
	if nodes <= 1 {
		return time.Now().Add(AckLifetime)
	}
	slices.SortFunc(until, func(a, b time.Time) int { return b.Compare(a) })
	return until[nodes-2]
}

// observeToken takes in a token; nobody is known to lead with a new one.
func (v *View) observeToken(t wire.FencingToken) {
	if t > v.Token {
		v.Token, v.Leader = t, ""
	}
}

// observeAnswer takes in another node's answer to the heartbeat sent then.
func (v *View) observeAnswer(p *Peer, answer *Heartbeat, sent time.Time) {
	p.acknowledge(answer, sent)
	// Also empty: the node may have been replaced by one of a version from before.
	p.Incarnation, p.ActiveVersion = answer.Incarnation, answer.ActiveVersion
	v.observeToken(answer.Token)
	if answer.Delegation > 0 && answer.Delegation == v.Token {
		requested := sent.Add(-max(0, answer.UnconfirmedFor))
		v.Delegation = Delegation{answer.Delegation, requested}
		v.LeaderSeen = p.LastContact
	}
}

// observeHeartbeat takes in another node's heartbeat.
func (v *View) observeHeartbeat(p *Peer, h *Heartbeat) {
	p.Heartbeat = *h
	v.observeToken(h.Token)
	switch {
	case h.Leads && h.Token == v.Token:
		v.Leader, v.LeaderSeen = h.From, p.LastContact
	case v.Leader == h.From:
		v.Leader = ""
	}
}

// clone is a copy that can be published.
func (v *View) clone() *View {
	c := *v
	c.Peers = maps.Clone(v.Peers)
	return &c
}
