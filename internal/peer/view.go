package peer

import (
	"maps"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// View is what one node knows of all. It is never changed once published. Times are of this node's monotonic clock.
type View struct {
	// Token is the highest fencing token that this node knows.
	Token wire.FencingToken
	// Leader is the node that leads with Token, if its last heartbeat said so; empty if none is known.
	Leader wire.NodeID
	// Peers holds the other nodes that have been in contact.
	Peers map[wire.NodeID]Peer
	// LeaderSeenAt is when a node last said that it leads with the highest token, in a heartbeat or by a delegation.
	LeaderSeenAt time.Time
	// Delegation is the newest that this node has.
	Delegation Delegation
}

// Peer is what is known of another node.
type Peer struct {
	// Heartbeat is its last one.
	Heartbeat
	// LastContact is when its last message came in.
	LastContact time.Time
	// AckRequestedAt is when this node sent the heartbeat that the other has answered last. An acknowledgement counts from then, and
	// not from when it came in, since the other may have made it at any time in between.
	AckRequestedAt time.Time
	// AckToken is the token that the last answer acknowledged; 0 if none.
	AckToken wire.FencingToken
	// DelegationGrantedAt is when this node, as the leader, last granted the other a delegation.
	DelegationGrantedAt time.Time
	// LastDelegatedRenewal is when the other last renewed a lease as a delegate, at the latest: when its last answer came in, less the
	// age of the renewal that it stated.
	LastDelegatedRenewal time.Time
	// LatestStart is when the other's process started, at the latest: when its last answer came in, less the uptime that it
	// stated. Until then an earlier process may have renewed leases as a delegate, of which this one knows nothing.
	LatestStart time.Time
}

// Connected reports whether the node was in contact within AckLifetime.
func (p Peer) Connected(now time.Time) bool { return now.Sub(p.LastContact) < AckLifetime }

// Delegation is a leader's permission for this node to renew workers' leases on its behalf.
type Delegation struct {
	// Token is the token with which the leader led.
	Token wire.FencingToken
	// RequestedAt is when this node sent the heartbeat that was answered with the delegation, or earlier by the age of the
	// oldest cancellation whose job may still be started: no launch of a job that was cancelled before can arrive any more.
	RequestedAt time.Time
}

// AckedUntil returns until when acknowledgements of the token by a quorum of so many nodes, this one included, count; zero if
// there are none, or if a higher token is known.
func (v *View) AckedUntil(token wire.FencingToken, quorum int) time.Time {
	if v.Token > token {
		return time.Time{}
	}
	others := quorum - 1
	if others <= 0 {
		return time.Now().Add(AckLifetime)
	}
	expiries := v.ackExpiries(token)
	if len(expiries) < others {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[others-1]
}

// ackExpiries returns until when each acknowledgement of the token counts.
func (v *View) ackExpiries(token wire.FencingToken) []time.Time {
	var expiries []time.Time
	for _, p := range v.Peers {
		if p.AckToken == token {
			expiries = append(expiries, p.AckRequestedAt.Add(AckLifetime))
		}
	}
	return expiries
}

// peerInContact returns what is known of a node that a message has just come from.
func (v *View) peerInContact(id wire.NodeID) Peer {
	p := v.Peers[id]
	p.LastContact = time.Now()
	return p
}

// observeToken records a token. Nobody is known to lead with a new one.
func (v *View) observeToken(token wire.FencingToken) {
	if token > v.Token {
		v.Token, v.Leader = token, ""
	}
}

// observeHeartbeat records another node's heartbeat.
func (v *View) observeHeartbeat(p *Peer, heartbeat *Heartbeat) {
	p.Heartbeat = *heartbeat
	v.observeToken(heartbeat.Token)
	switch {
	case heartbeat.Leads && heartbeat.Token == v.Token:
		v.Leader, v.LeaderSeenAt = heartbeat.From, p.LastContact
	case v.Leader == heartbeat.From:
		v.Leader = ""
	}
}

// observeAnswer records another node's answer to the heartbeat that was sent at requestedAt.
func (v *View) observeAnswer(p *Peer, answer *Heartbeat, requestedAt time.Time) {
	p.observeAck(answer, requestedAt)
	// Also if they are empty: the node may have been replaced by one of a version that does not negotiate.
	p.Incarnation, p.ActiveVersion = answer.Incarnation, answer.ActiveVersion
	v.observeToken(answer.Token)
	if answer.Delegation > 0 && answer.Delegation == v.Token {
		v.Delegation = Delegation{Token: answer.Delegation, RequestedAt: requestedAt.Add(-max(0, answer.UnconfirmedCancelAge))}
		v.LeaderSeenAt = p.LastContact
	}
}

// observeAck records what an answer says of the other node, unless a newer heartbeat was answered before: answers of an
// earlier stream may come after those of a newer one.
func (p *Peer) observeAck(answer *Heartbeat, requestedAt time.Time) {
	if !requestedAt.After(p.AckRequestedAt) {
		return
	}
	p.AckRequestedAt, p.AckToken = requestedAt, answer.Token
	if answer.SinceRenewal > 0 {
		p.LastDelegatedRenewal = p.LastContact.Add(-answer.SinceRenewal)
	}
	if answer.Uptime > 0 {
		p.LatestStart = p.LastContact.Add(-answer.Uptime)
	}
}

// clone returns a copy that can be published.
func (v *View) clone() *View {
	published := *v
	published.Peers = maps.Clone(v.Peers)
	return &published
}
