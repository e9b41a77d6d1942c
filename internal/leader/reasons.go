package leader

// refusal says why a report is not answered. The worker tries another node.
type refusal string

const (
	refusedNotLeading  refusal = "can't tell whether this node still leads"
	refusedCancels     refusal = "can't tell what was cancelled"
	refusedReleased    refusal = "this machine was returned"
	refusedStale       refusal = "an older report than the last"
	refusedCancelPends refusal = "a cancelled task may still start there"
)

// drainReason says why a machine takes nothing new, or is returned; empty: it
// serves.
type drainReason string

const (
	drainFaulty        drainReason = "faulty" // tasks fail on it
	drainSlow          drainReason = "slow"
	drainSpotNotice    drainReason = "spot notice"
	drainRestarted     drainReason = "restarted"
	drainIdle          drainReason = "idle"
	drainFailed        drainReason = "failed" // by the cloud's list
	drainSilent        drainReason = "silent"
	drainNeverUp       drainReason = "never came up"
	drainInboundLost   drainReason = "receives nothing"
	drainOutboundLost  drainReason = "its reports don't arrive"
	drainLeaseEnds     drainReason = "its lease ends while its zone is partitioned"
	drainReturning     drainReason = "an earlier leader was returning it"
	drainUncancellable drainReason = "a cancelled task could not be stopped"
)

// moveCause says why a task left its machine, or is stopped there. It is a label of
// lilaclead_moves_total.
type moveCause string

const (
	moveGone          moveCause = "gone" // its machine no longer reports it
	moveMachineGone   moveCause = "machine gone"
	moveLeaseEnded    moveCause = "lease ran out"
	moveCancelled     moveCause = "cancelled"
	movePreempted     moveCause = "makes room"
	moveSaves         moveCause = "saves before its machine is taken"
	moveMachineTaken  moveCause = "its machine is taken"
	moveGangLacks     moveCause = "its gang is not complete"
	moveEarlierLeader moveCause = "an earlier leader stops its gang"
	// A machine that is faulty or slow stops tasks with its drainReason.
)
