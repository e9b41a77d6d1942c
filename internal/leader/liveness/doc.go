// Package liveness decides which machines are alive and whose leases have expired, from the
// messages that arrive and those that are missing, and acts on it.
//
// # When a machine is lost
//
// A machine whose heartbeat is overdue is probed, first from this node and then through
// another one. It is lost when neither probe is answered, when its heartbeats are overdue by
// more than any delay explains, or when the time at which the cloud reclaims it has passed.
// An answered probe proves that the machine is alive, and shows it the leader's token. An
// unanswered probe alone proves nothing, since only the network path may be cut. A lost
// machine is therefore scaled in, but its tasks count as active until the cloud has confirmed
// the end of the machine or its lease has expired.
//
// # Faults that affect many machines
//
// When most machines are unresponsive, this node is probably isolated. If another controller
// reaches most of them, this one resigns. When most machines of a zone are lost, or none of them
// has sent a message for a while, the zone counts as partitioned. Its machines keep running
// their tasks until their leases expire. They are scaled in only if the partition lasts much
// longer than that.
//
// # When a lease has certainly expired
//
// A machine stops its tasks when none of its heartbeats has been answered for the length of
// the lease. The lease has certainly expired when nobody can have answered for that length,
// plus the drift of two clocks and a margin. A response may have come from:
//
//   - this leader, at its last response;
//   - an earlier leader, until the machine showed a token of this term; if it never did, until
//     Monitor.EarlierLeaderAnswersUntil;
//   - a delegate of either, until cluster.State.DelegatesRenewedUntil.
//
// A new epoch of the agent has a full lease even if none of its heartbeats was answered, as a
// task launched into that epoch may run that long.
package liveness
