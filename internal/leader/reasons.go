package leader

// rejection says why a report is not answered. The worker tries another node.
type rejection string

const (
	rejectedNotLeading           rejection = "can't tell whether this node still leads"
	rejectedCancellationsUnknown rejection = "can't tell what was cancelled"
	rejectedMachineRemoved       rejection = "this machine was returned"
	rejectedStale                rejection = "an older report than the last"
	rejectedCancelPending        rejection = "a cancelled task may still start there"
)

// drainReason says why a machine takes nothing new, or is returned; empty: it
// serves.
type drainReason string

const (
	drainFaulty         drainReason = "faulty" // tasks fail on it
	drainSlow           drainReason = "slow"
	drainSpotNotice     drainReason = "spot notice"
	drainRestarted      drainReason = "restarted"
	drainIdle           drainReason = "idle"
	drainFailed         drainReason = "failed" // by the cloud's list
	drainUnresponsive   drainReason = "silent"
	drainNeverUp        drainReason = "never came up"
	drainInboundLost    drainReason = "receives nothing"
	drainOutboundLost   drainReason = "its reports don't arrive"
	drainLeaseExpiring  drainReason = "its lease ends while its zone is partitioned"
	drainAdoptedScaleIn drainReason = "an earlier leader was returning it"
	drainUncancellable  drainReason = "a cancelled task could not be stopped"
)

// EvictionReason says why a task left its machine, or is stopped there. It is a label of
// lilaclead_moves_total.
type EvictionReason string

const (
	EvictedMissing          EvictionReason = "gone" // its machine no longer reports it
	EvictedMachineRemoved   EvictionReason = "machine gone"
	EvictedLeaseExpired     EvictionReason = "lease ran out"
	EvictedCancelled        EvictionReason = "cancelled"
	EvictedPreempted        EvictionReason = "makes room"
	EvictedBeforeReclaim    EvictionReason = "saves before its machine is taken"
	EvictedMachineReclaimed EvictionReason = "its machine is taken"
	EvictedGangIncomplete   EvictionReason = "its gang is not complete"
	EvictedByEarlierLeader  EvictionReason = "an earlier leader stops its gang"
	// A machine that is faulty or slow stops tasks with its drainReason.
)
