package cluster

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
	// A machine that is faulty or slow stops tasks with its DrainReason.
)
