package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// StopRequest is a request to stop an attempt. The dispatcher of commands writes it. It
// stands until the attempt has ended, and is replaced only by one with a shorter grace
// period.
type StopRequest struct {
	Stopping        bool
	StopRequestedAt time.Time // when the stop was first requested
	StopSentAt      time.Time // when the command was last sent; zero: it is to be sent
	GracePeriod     wire.Seconds
	StopReason      EvictionReason
}

// EvictionReason says why a task left its machine, or is stopped there. It is a label of
// lilaclead_moves_total. Tasks that are stopped because their machine is faulty or slow have
// the machine's DrainReason as the reason.
type EvictionReason string

// The reasons of evictions.
const (
	// EvictedMissing: its machine no longer reports it.
	EvictedMissing          EvictionReason = "gone"
	EvictedMachineRemoved   EvictionReason = "machine gone"
	EvictedLeaseExpired     EvictionReason = "lease ran out"
	EvictedCancelled        EvictionReason = "cancelled"
	EvictedPreempted        EvictionReason = "makes room"
	EvictedBeforeReclaim    EvictionReason = "saves before its machine is taken"
	EvictedMachineReclaimed EvictionReason = "its machine is taken"
	EvictedGangIncomplete   EvictionReason = "its gang is not complete"
	EvictedByEarlierLeader  EvictionReason = "an earlier leader stops its gang"
)

// checkpointMargin is the time by which a grace period exceeds the time to save a checkpoint.
const checkpointMargin wire.Seconds = 2

// GracePeriodOf returns how long a task of the job is given to save a checkpoint; 0 if it
// saves none. A task of a gang is given GangPeerTimeout more: each task needs its own time
// to save, and a saved checkpoint waits for those of the other tasks.
func (s *State) GracePeriodOf(j *Job) wire.Seconds {
	if j.Spec.CheckpointInterval <= 0 {
		return 0
	}
	grace := j.Spec.CheckpointTime + checkpointMargin
	if j.Spec.IsGang() {
		grace += s.Settings.Workers.GangPeerTimeout
	}
	return grace
}
