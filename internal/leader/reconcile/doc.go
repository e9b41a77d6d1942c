// Package reconcile compares the heartbeats of the agents with what the leader has
// recorded, acts on the differences, and answers the heartbeats. The response to a direct
// command is a heartbeat too, and is reconciled in the same way.
//
// # When an attempt counts as missing
//
// A heartbeat that lacks an attempt proves nothing by itself: the launch may still be on
// its way. The attempt is missing only when no launch of it can take effect any more
// (cluster.State.LaunchMayTakeEffect):
//   - A launch by an earlier leader can take effect until the agent has a fencing token of this
//     term.
//   - A direct launch in flight can take effect until the agent has begun a new epoch.
//   - A direct launch that was never answered can take effect until the agent has begun a new
//     epoch or has a higher token than the launch.
//   - A launch in the response to a heartbeat can take effect until the agent has sent a newer
//     heartbeat of the same epoch, or has begun another epoch.
//
// A missing attempt of a gang is launched again if cluster.State.MayRelaunch permits it: the gang
// still waits for its tasks, and the attempt was not seen and may still start. The task of any
// other missing attempt is queued again if the attempt was seen before, inherited, or launched in
// an earlier epoch. It is also queued again if the attempt must not start any more: it is being
// stopped, its machine is draining, or its job is cancelled. Otherwise the attempt was stored and
// never delivered, and is launched again.
//
// # When a lease renewal is withheld
//
// Each response renews the lease of the machine. No heartbeat is answered while this
// controller can't tell whether it still leads, nor while it can't tell which jobs were
// cancelled. The response is also withheld while the machine may still start a cancelled task: a
// direct launch of the task may still be on its way there, the heartbeat does not show the task,
// and its job was cancelled at least MaxCancelAge ago. The lease then expires and the agent begins
// a new epoch, in which the launch can't take effect any more. A higher token has the same effect.
//
// # What a stale heartbeat means
//
// A heartbeat that is not newer than the last known one has usually crossed the response to a
// direct command. It may also be a late copy, which does not even prove that the machine is
// alive. Or it comes from a machine that restarted before its absence was noticed, and that
// numbers its heartbeats from the start again. Only the machine itself can tell which it is, so it
// is probed unless the heartbeat seems to have just crossed a response. A response to a command
// proves a restart if it is not newer than the last heartbeat known when the command was sent.
//
// # Without the key-value store
//
// A leader that can't reach the key-value store still answers heartbeats for a bounded
// time, but sends only stops. A stop starts nothing, so it does no harm to a leader that was
// elected meanwhile, whereas a launch that is not recorded could run beside another one of the
// same task.
package reconcile
