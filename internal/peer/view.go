package peer

import (
	"maps"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// View is what one node knows of all nodes. A published view is immutable. All times are of this node's
// monotonic clock.
type View struct {
	// Token is the highest fencing token that this node knows.
	Token wire.FencingToken
	// Leader is the node whose last heartbeat said that it leads with Token; empty if there is none.
	Leader wire.NodeID
	// LeaderRaisesToken is true if the leader with Token said that it raises its token when an agent
	// shows a higher one.
	LeaderRaisesToken bool
	// Peers holds the other nodes that have been in contact.
	Peers map[wire.NodeID]Peer
	// LeaderSeenAt is when this node last received a heartbeat or a delegation of a leader with the
	// highest token.
	LeaderSeenAt time.Time
	// Delegation is the delegation that this node received last.
	Delegation Delegation
}

// Peer is what this node knows of another node.
type Peer struct {
	// Heartbeat is its last heartbeat. Incarnation and ActiveVersion may also be from a later response.
	Heartbeat
	// LastContact is when its last message arrived.
	LastContact time.Time
	// AckRequestedAt is when this node sent the latest heartbeat that the other node has answered. An
	// acknowledgement is valid from then rather than from its arrival, since the other node may have
	// made it at any time in between.
	AckRequestedAt time.Time
	// AckToken is the token that the latest response acknowledged; 0 if none.
	AckToken wire.FencingToken
	// DelegationGrantedAt is when this node, as the leader, last granted the other node a delegation.
	DelegationGrantedAt time.Time
	// LastDelegatedRenewal is the latest time at which the other node's last renewal as a delegate can
	// have been: the arrival of a response, less the age of the renewal that the response stated.
	LastDelegatedRenewal time.Time
	// LatestProcessStart is the latest time at which the other node's process can have started: the
	// arrival of a response, less the uptime that the response stated. Until then, an earlier process of
	// that node may have renewed leases as a delegate, which the present process does not know of.
	LatestProcessStart time.Time
}

// Connected reports whether the node was in contact within AckLifetime.
func (p Peer) Connected(now time.Time) bool { return now.Sub(p.LastContact) < AckLifetime }

// Delegation is a leader's permission for this node to renew agents' leases on its behalf.
type Delegation struct {
	// Token is the token with which the leader led.
	Token wire.FencingToken
	// RequestedAt is when this node sent the heartbeat that was answered with the delegation, less the
	// InFlightLaunchCancelAge of the response. No launch of a job that was cancelled before RequestedAt
	// can still arrive.
	RequestedAt time.Time
}

// AckedUntil returns the time until which a quorum's acknowledgements of the token are valid. The quorum
// is a number of nodes, this one included. The result is zero if fewer nodes have acknowledged the
// token, or if a higher token is known.
func (v *View) AckedUntil(token wire.FencingToken, quorum int) time.Time {
	if v.Token > token {
		return time.Time{}
	}
	otherAcksNeeded := quorum - 1
	if otherAcksNeeded <= 0 {
		return time.Now().Add(AckLifetime)
	}
	expiries := v.ackExpiries(token)
	if len(expiries) < otherAcksNeeded {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[otherAcksNeeded-1]
}

// ackExpiries returns when the acknowledgement of each peer that has acknowledged the token expires.
func (v *View) ackExpiries(token wire.FencingToken) []time.Time {
	var expiries []time.Time
	for _, p := range v.Peers {
		if p.AckToken == token {
			expiries = append(expiries, p.AckRequestedAt.Add(AckLifetime))
		}
	}
	return expiries
}

// peerInContact returns what is known of a node from which a message has just arrived.
func (v *View) peerInContact(id wire.NodeID) Peer {
	p := v.Peers[id]
	p.LastContact = time.Now()
	return p
}

// observeToken records a token. If it is a new highest token, no leader with it is known yet.
func (v *View) observeToken(token wire.FencingToken) {
	if token > v.Token {
		v.Token, v.Leader, v.LeaderRaisesToken = token, "", false
	}
}

// observeHeartbeat records another node's heartbeat.
func (v *View) observeHeartbeat(p *Peer, heartbeat *Heartbeat) {
	p.Heartbeat = *heartbeat
	v.observeToken(heartbeat.Token)
	switch {
	case heartbeat.Leads && heartbeat.Token == v.Token:
		v.Leader, v.LeaderSeenAt, v.LeaderRaisesToken = heartbeat.From, p.LastContact, heartbeat.RaisesToken
	case v.Leader == heartbeat.From:
		v.Leader = ""
	}
}

// observeResponse records another node's response to the heartbeat that was sent at requestedAt.
func (v *View) observeResponse(p *Peer, response *Heartbeat, requestedAt time.Time) {
	p.updateFromResponse(response, requestedAt)
	// Empty values are recorded too: the node may now run a program that does not negotiate versions.
	p.Incarnation, p.ActiveVersion = response.Incarnation, response.ActiveVersion
	v.observeToken(response.Token)
	if response.Delegation > 0 && response.Delegation == v.Token {
		v.Delegation = Delegation{Token: response.Delegation, RequestedAt: requestedAt.Add(-max(0, response.InFlightLaunchCancelAge))}
		v.LeaderSeenAt = p.LastContact
	}
}

// updateFromResponse records what a response says of the other node. It ignores the response if a newer
// heartbeat is already answered: responses on an earlier stream may arrive after those on a newer one.
func (p *Peer) updateFromResponse(response *Heartbeat, requestedAt time.Time) {
	if !requestedAt.After(p.AckRequestedAt) {
		return
	}
	p.AckRequestedAt, p.AckToken = requestedAt, response.Token
	if response.SinceRenewal > 0 {
		p.LastDelegatedRenewal = p.LastContact.Add(-response.SinceRenewal)
	}
	if response.Uptime > 0 {
		p.LatestProcessStart = p.LastContact.Add(-response.Uptime)
	}
}

// clone returns a copy that does not change with the view.
func (v *View) clone() *View {
	published := *v
	published.Peers = maps.Clone(v.Peers)
	return &published
}
