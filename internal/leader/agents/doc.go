// Package agents sends requests to the agents on the machines: launches of stored attempts,
// stops, and probes, which are requests without commands.
//
// # Launches and stops
//
// A launch is sent only once its attempt is stored in the key-value store, and only while
// this controller certainly holds the lease: a later leader must find every attempt that may
// run, and no task may run twice. A stop starts nothing. It is therefore also sent by a
// leader without the key-value store, for the bounded time in which that leader may answer
// heartbeats. An agent that has seen a higher token drops the stop.
//
// Commands are sent in two ways: directly, as soon as there is something to send, and in
// the response to a heartbeat. A heartbeat response repeats every command that no heartbeat
// has shown to have arrived. At most one direct request to a machine is in flight. A direct
// launch without a response may take effect at any later time, until the agent has seen a
// higher token or a newer epoch. The leader accounts for such a launch until then (see
// package reconcile).
//
// # Forgetting an outcome
//
// An agent keeps the outcome of an attempt until it is told to forget it. The leader does so
// only once the outcome is stored and the agent refuses every launch of the attempt that can
// still arrive. Without this, a late launch would make an agent run an attempt again that it has
// forgotten. The answer to a direct launch does not rule that out, since the network may deliver
// a copy of the request. The exit is therefore kept until the term acts under a higher token than
// the launch; the forget command brings that token to the agent. One new token serves all
// machines. A response to a heartbeat is never delivered again, so that attempts that were only
// launched in that way are forgotten at once.
//
// # Restarted machines
//
// A machine that restarts loses both the exits that it listed and the token that it had seen, and
// accepts copies of earlier launches again. It is fenced: it is shown a token above all under which
// launches were sent, and its tasks are stopped. One more than the last leader's token is enough,
// and a later leader has at least that. A leader fences a machine that it has recognised as
// restarted, and returns it to the cloud.
//
// # What a probe proves
//
// The response to a probe proves that the machine is alive and has seen this leader's token,
// and it holds a heartbeat made after the probe was sent. A missing response proves nothing
// by itself, since only the path from this node to the machine may be cut. Such a machine is
// probed through another controller. A relayed response proves the same as a direct one.
package agents
