// Package liveness decides, by what arrives and what does not, which machines are alive
// and whose leases have expired, and acts on it.
//
// # When a machine is lost
//
// A machine that has sent nothing for longer than its heartbeats may take is probed, once
// from this node and then through another one. It is lost when it answered neither, when
// far more heartbeats are overdue than can be late, or when the cloud was to reclaim it by
// now. A probe that is answered proves that the machine is alive, and shows the leader's
// token to it; one that is not answered proves nothing by itself, since only the path may
// be cut. So a lost machine is scaled in, and its tasks count until the cloud has
// confirmed the end of the machine or its lease has expired.
//
// # What is not a fault of single machines
//
// When most machines are unresponsive it is rather this node that is isolated; if another
// controller reaches most of them, this one resigns. When all of a zone is unresponsive the
// zone is partitioned: its machines keep running what they have until their leases expire,
// and are kept until the partition has lasted for much longer than that.
//
// # When a lease has surely expired
//
// A machine stops its tasks when nobody has answered its heartbeats for the lease. The
// lease has surely expired when nobody can have answered within the lease, the drift of two
// clocks and a margin. Answers may have come from this leader (its last reply), from an
// earlier leader (until the machine showed a token of this term; if it never did, until
// Monitor.EarlierLeaderRepliesUntil), or from a delegate of either (until
// cluster.State.DelegatesRenewedUntil). A new epoch of the agent has a full lease even if no
// heartbeat of it was answered, as a launch that was sent into it may run that long.
package liveness
