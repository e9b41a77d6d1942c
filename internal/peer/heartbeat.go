package peer

import (
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/wire"
)

// Heartbeat is the message of a stream, in both directions: one node sends heartbeats, the other answers each with a Heartbeat
// of its own. Ages, rather than times of day, are sent, since the nodes' clocks are not compared.
type Heartbeat struct {
	// From is the sender.
	From wire.NodeID `cbor:"from"`
	// Sequence numbers the heartbeats of a stream from 1; an answer has the number of its heartbeat.
	Sequence uint64 `cbor:"seq"`
	// Token is the highest fencing token that the sender knows. In an answer it is the acknowledgement; 0 acknowledges none.
	Token wire.FencingToken `cbor:"token"`
	// Leads means that the sender is the leader with that token.
	Leads bool `cbor:"leads"`
	// StateReachable means that the sender reaches the state service.
	StateReachable bool `cbor:"serves"`
	// ReachableWorkers is the number of workers in contact with the sender.
	ReachableWorkers int `cbor:"hears"`
	// Delegation, in an answer, is the token with which the sender surely leads: the receiver may renew workers' leases on its
	// behalf for a while, counted from when the receiver sent the heartbeat.
	Delegation wire.FencingToken `cbor:"grants,omitempty"`
	// SinceRenewal, in an answer, is how long ago the sender last renewed a worker's lease as a delegate; 0 if it has not since
	// it started.
	SinceRenewal time.Duration `cbor:"stood,omitempty"`
	// Uptime, in an answer, is how long ago the sender started. What its predecessor on the same node renewed as a delegate it
	// does not know.
	Uptime time.Duration `cbor:"age,omitempty"`
	// UnconfirmedCancelAge, in an answer with a Delegation, is the age of the oldest confirmed cancellation whose job may still be
	// started by a launch that is on its way; 0 if there is none. No worker's heartbeat shows such a task yet, so a delegate
	// can't stop it: the time for which it may renew leases is counted from that cancellation.
	UnconfirmedCancelAge time.Duration `cbor:"unproven,omitempty"`
	// Incarnation identifies the sender's process among those of its node; empty where versions are not negotiated.
	Incarnation string `cbor:"process,omitempty"`
	// ActiveVersion is the version of the behaviour that the sender knows to be active; 0 where versions are not negotiated.
	ActiveVersion uint64 `cbor:"version,omitempty"`
	// Update, in an answer, is what the sender knows of cancellations.
	cancels.Update
}

// Status is this node's part of the heartbeats and answers that it sends. The fields are as in Heartbeat, where not described.
type Status struct {
	Leads            bool
	Delegation       wire.FencingToken
	StateReachable   bool
	ReachableWorkers int
	// UnconfirmedCancelSince is when the oldest cancellation was confirmed whose job may still be started by a launch that is on its
	// way; zero if there is none.
	UnconfirmedCancelSince time.Time
	Incarnation            string
	ActiveVersion          uint64
	// RefusesAcks means that this node must not acknowledge any token, as it may not understand the active version.
	RefusesAcks bool
}

// heartbeat returns the heartbeat that a stream sends.
func (s *Status) heartbeat(from wire.NodeID, sequence uint64, token wire.FencingToken) Heartbeat {
	return Heartbeat{
		From:             from,
		Sequence:         sequence,
		Token:            token,
		Leads:            s.Leads,
		StateReachable:   s.StateReachable,
		ReachableWorkers: s.ReachableWorkers,
		Incarnation:      s.Incarnation,
		ActiveVersion:    s.ActiveVersion,
	}
}

// unconfirmedCancelAge returns the age of the oldest cancellation of UnconfirmedCancelSince; 0 if there is none.
func (s *Status) unconfirmedCancelAge() time.Duration {
	if s.UnconfirmedCancelSince.IsZero() {
		return 0
	}
	return max(0, time.Since(s.UnconfirmedCancelSince))
}
