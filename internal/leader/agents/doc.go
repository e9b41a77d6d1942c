// Package agents sends commands to the agents on the machines: launches of attempts that
// are stored, stops, and probes, which are commands without content.
//
// # Launches and stops
//
// A launch is sent only when its attempt is stored in the key-value store and this
// controller surely leads: a later leader must find every attempt that may run, and no
// task may run twice. A stop starts nothing, so it is also sent by a leader that answers
// heartbeats for a bounded time without the key-value store; an agent that has seen a
// higher token drops it.
//
// Commands are sent in two ways: directly, as soon as there is something to send, and in
// the answer to a heartbeat, which repeats whatever has not been shown to have arrived. At
// most one direct command to a machine is in flight. A direct launch that was not answered
// may take effect at any later time, as long as the agent has seen no higher token and no
// newer epoch; it is accounted for until then (see package reconcile).
//
// # Forgetting an outcome
//
// An agent keeps the outcome of an attempt until it is told to forget it. That is only once
// the outcome is stored, and no launch of the attempt can arrive any more: an agent that
// has forgotten an attempt would run it once more.
//
// # What a probe proves
//
// The answer to a probe proves that the machine is alive and has this leader's token, and
// it holds a heartbeat made after the probe was sent. No answer proves nothing by itself:
// a machine that did not answer this node is probed through another one, since only the
// path from here may be cut. An answer through another node proves the same as a direct
// one.
package agents
