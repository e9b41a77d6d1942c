// Package reconcile compares the heartbeats of the agents with what the leader has
// recorded, acts on the differences, and answers the heartbeats. The answer to a direct
// command is a heartbeat too, and is reconciled in the same way.
//
// # When an attempt counts as missing
//
// A heartbeat that lacks an attempt proves nothing by itself: the launch may still be on
// its way. The attempt is missing only when no launch of it can take effect any more
// (cluster.State.LaunchMayTakeEffect): a launch by an earlier leader ends with a higher
// fencing token, a direct launch whose answer was lost ends with a higher token or a new
// agent epoch, and a launch in the answer to a heartbeat ends when the agent has sent a
// newer heartbeat of the same epoch, or has begun another epoch. What is missing then was
// either seen before, inherited, or launched in an earlier epoch, and is queued again; or
// it was stored and never delivered, and is launched again.
//
// # When a lease renewal is withheld
//
// Each answer renews the lease of the machine. No heartbeat is answered while this
// controller can't tell whether it still leads, nor while it can't tell which jobs were
// cancelled. Beyond that, the answer is withheld while a launch of a job that was
// cancelled long enough ago may still be on its way to the machine and the heartbeat does
// not show it: the end of the agent's epoch, which follows the expiry of the lease, keeps
// such a launch from taking effect, as a higher token does.
//
// # What a stale heartbeat says
//
// A heartbeat that is not newer than the last one has mostly crossed the answer to a
// direct command. It may also be a late copy, which does not even prove that the machine
// is alive, or come from a machine that restarted before anybody missed it and counts from
// the start again. Only the machine itself can tell, so it is probed. The answer to a
// command that was sent after the last known heartbeat and yet is not newer proves a
// restart.
//
// # Without the key-value store
//
// A leader that can't reach the key-value store still answers heartbeats for a bounded
// time, but sends stops only: a stop starts nothing, so a leader elected meanwhile loses
// nothing by it, while a launch that is not recorded could run beside another one.
package reconcile
