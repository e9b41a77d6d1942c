package peer

import (
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/wire"
)

const (
	// AckLifetime is how old an acknowledgement may be to count, and how long a
	// fresh process gives none: what it acknowledged before its restart is
	// forgotten, and may have been a higher token.
	AckLifetime = 2 * time.Second
	// OutageLimit is how long a leader may serve without the state service.
	OutageLimit = 60 * time.Second

	// heartbeatPeriod leaves room for several heartbeats within AckLifetime.
	heartbeatPeriod = 400 * time.Millisecond
	// silenceLimit is how long a stream may be silent before it is opened anew.
	silenceLimit = 3 * time.Second
	// maxUnanswered is how many heartbeats of a stream may be without an answer
	// before the stream is given up; silenceLimit is mostly reached before.
	maxUnanswered = 32
)

// Heartbeat is what goes over a stream in both directions: one side sends
// heartbeats, the other answers each with one of its own.
type Heartbeat struct {
	From wire.NodeID `cbor:"from"`
	Seq  uint64      `cbor:"seq"`
	// Token is the highest that the sender knows; in an answer it is the
	// acknowledgement, 0 for none.
	Token wire.FencingToken `cbor:"token"`
	// Leads: the sender leads with that token.
	Leads bool `cbor:"leads"`
	// StateReachable: the sender reaches the state service.
	StateReachable bool `cbor:"serves"`
	// ReachableWorkers is how many workers reported to the sender lately.
	ReachableWorkers int `cbor:"hears"`
	// Delegation, in an answer, is the token with which the sender surely leads:
	// the receiver may renew workers' leases on its behalf for a while, counted
	// from when it sent the heartbeat.
	Delegation wire.FencingToken `cbor:"grants,omitempty"`
	// SinceRenewal, in an answer, is how long ago the sender last renewed a lease
	// as a delegate; 0: never since it started.
	SinceRenewal time.Duration `cbor:"stood,omitempty"`
	// Uptime, in an answer, is how long ago the sender started.
	Uptime time.Duration `cbor:"age,omitempty"`
	// UnconfirmedFor, in an answer with a Delegation, is the age of the oldest
	// cancellation of which a launch may still be on its way: the time for which
	// a delegate may renew leases is counted from then.
	UnconfirmedFor time.Duration `cbor:"unproven,omitempty"`
	// Incarnation tells the sender's process from others of its node, and
	// ActiveVersion is the version of the behaviour that it knows to be active; empty and
	// 0 where versions are not negotiated.
	Incarnation   string `cbor:"process,omitempty"`
	ActiveVersion uint64 `cbor:"version,omitempty"`
	// Update, in an answer, is what the sender knows of cancellations.
	cancels.Update
}

// Status is what this node tells the others of itself.
type Status struct {
	Leads            bool
	Delegation       wire.FencingToken
	StateReachable   bool
	ReachableWorkers int
	// UnconfirmedSince is when the oldest cancellation was confirmed of which a
	// launch may still be on its way; zero: there is none.
	UnconfirmedSince time.Time
	// Incarnation and ActiveVersion: see Heartbeat.
	Incarnation   string
	ActiveVersion uint64
	// RefusesAcks: this node must not acknowledge any token, as it may not understand what
	// is active.
	RefusesAcks bool
}
