// Package cluster is the leader's in-memory model of the cluster: jobs, the chunks of
// their progress, attempts to run tasks, machines, gangs, changes that are not saved yet,
// and the timer of scheduling cycles. The other packages below internal/leader read and
// change it; the rules that several of them depend on are methods here.
//
// A [State] belongs to one term of leadership. The goroutine of the term's loop owns it
// and all that it refers to, except the [MachineCatalog], which is shared between
// goroutines. Nothing here is safe for concurrent use, starts I/O, blocks, or reads
// anything but the clock. A successor builds its own State from the stored records and
// from heartbeats.
//
// # Invariants
//
// A chunk's record lists, at any time, every attempt that may be on a machine or may
// still get there. From this follows the order of all changes:
//
//   - Record, then launch. An attempt is added to its chunk as unstored
//     (Attempt.Unstored), and its launch is sent only after the chunk's record has been
//     committed with it. A gang's launches wait until all of the gang is committed.
//   - An attempt ends in memory before it leaves the record, and only on proof: it was
//     never sent; its machine reports its exit; its machine's heartbeat lacks it and no
//     launch that was sent may still take effect ([State.LaunchMayTakeEffect]); the
//     machine's lease has expired; or the cloud has confirmed that the machine is gone.
//     [State.EndAttempt] is the only way to end an attempt, and its caller must have the
//     proof.
//   - Attempt numbers are never reused. Chunk.NextAttempt only grows and is stored with
//     the attempts that it numbered; a number that was not stored was never sent either.
//     All members of a gang carry one number, which none of their tasks has had before.
//
// # Transitions of a task
//
//	pending → active   Chunk.AddAttempt: by the scheduler for a new attempt, and by the
//	                   reader of progress records for one that an earlier leader recorded
//	active  → pending  State.EndAttempt: the task is to run again
//	active  → done     State.EndAttempt: its agent has reported that it completed
//	pending → done     State.CompleteGang: the tasks of a gang complete together; also
//	                   the reader, for tasks that the record lists as done
//	any     → pending  Chunk.ResetTasks: only during recovery, before a sub-chunk's record
//	                   replaces what the chunk's record said
//
// Every transition except those of the reader marks the chunk as one to be written
// (UnsavedChanges.MarkDirty).
package cluster
