package peer

import (
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/wire"
)

// Heartbeat is the message type of a stream in both directions: one node sends heartbeats, and the
// other responses each with a Heartbeat of its own. It states ages instead of times, since times of
// different nodes' clocks can't be compared.
type Heartbeat struct {
	// From is the sender.
	From wire.NodeID `cbor:"from"`
	// Sequence numbers the heartbeats of a stream from 1. A response has the number of its heartbeat.
	Sequence uint64 `cbor:"seq"`
	// Token is the highest fencing token that the sender knows. In a response it is the token that the
	// sender acknowledges, 0 if none.
	Token wire.FencingToken `cbor:"token"`
	// Leads means that the sender is the leader with Token.
	Leads bool `cbor:"leads"`
	// RaisesToken means that the sender leads, and raises its token when an agent shows a higher one.
	RaisesToken bool `cbor:"raises,omitempty"`
	// StateReachable means that the sender reaches the key-value store.
	StateReachable bool `cbor:"serves"`
	// ReachableAgents is the number of agents in contact with the sender.
	ReachableAgents int `cbor:"hears"`
	// Delegation, in a response, is the token with which the sender certainly leads; 0 if there is no
	// delegation. The receiver may renew agents' leases on the sender's behalf for a limited time,
	// which counts from when the receiver sent the heartbeat.
	Delegation wire.FencingToken `cbor:"grants,omitempty"`
	// SinceRenewal, in a response, is how long ago the sender last renewed an agent's lease as a
	// delegate; 0 if it has not done so since it started.
	SinceRenewal time.Duration `cbor:"stood,omitempty"`
	// Uptime, in a response, is how long ago the sender's process started. The sender does not know
	// which leases the previous process of its node renewed as a delegate.
	Uptime time.Duration `cbor:"age,omitempty"`
	// InFlightLaunchCancelAge, in a response with a Delegation, is the age of the oldest cancellation
	// that a user was told of and of whose job a launch may still be in flight; 0 if there is none. No
	// agent's heartbeat shows such a task yet, so a delegate can't stop it. The time for which the
	// delegate may renew leases therefore counts from that cancellation.
	InFlightLaunchCancelAge time.Duration `cbor:"unproven,omitempty"`
	// Incarnation identifies the sender's process among those of its node; empty if versions are not
	// negotiated.
	Incarnation string `cbor:"process,omitempty"`
	// ActiveVersion is the version of the behaviour that the sender knows to be active; 0 if versions
	// are not negotiated.
	ActiveVersion uint64 `cbor:"version,omitempty"`
	// Update, in a response, is what the sender knows of cancellations.
	cancels.Update
}

// Status is what a node states of itself in its heartbeats and responses. Fields without a comment are
// as in Heartbeat.
type Status struct {
	Leads           bool
	Delegation      wire.FencingToken
	StateReachable  bool
	ReachableAgents int
	// InFlightLaunchCancelSince is the time of the oldest cancellation that a user was told of and of
	// whose job a launch may still be in flight; zero if there is none.
	InFlightLaunchCancelSince time.Time
	Incarnation               string
	ActiveVersion             uint64
	// RefusesAcks means that the node must not acknowledge any token, since it may not understand the
	// active version.
	RefusesAcks bool
}

// heartbeat returns the heartbeat to be sent on a stream.
func (s *Status) heartbeat(from wire.NodeID, sequence uint64, token wire.FencingToken) Heartbeat {
	return Heartbeat{
		From:            from,
		Sequence:        sequence,
		Token:           token,
		Leads:           s.Leads,
		RaisesToken:     s.Leads,
		StateReachable:  s.StateReachable,
		ReachableAgents: s.ReachableAgents,
		Incarnation:     s.Incarnation,
		ActiveVersion:   s.ActiveVersion,
	}
}

// inFlightLaunchCancelAge returns how long ago InFlightLaunchCancelSince was; 0 if it is zero.
func (s *Status) inFlightLaunchCancelAge() time.Duration {
	if s.InFlightLaunchCancelSince.IsZero() {
		return 0
	}
	return max(0, time.Since(s.InFlightLaunchCancelSince))
}
