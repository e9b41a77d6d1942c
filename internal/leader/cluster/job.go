package cluster

import (
	"time"

	"lilaclead/internal/leader/demand"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// startWithin is the time from its acceptance within which every job should have begun.
const startWithin = demand.StartWithinSeconds * time.Second

// Job is a job that is accepted and not archived yet.
type Job struct {
	Spec       wire.JobSpec
	AcceptedAt time.Time
	Gang       *Gang // the current attempt of a gang; nil: there is none
	JobRecordState
	ChunkLayout
	TaskCounts
	StartHistory
	JobFailures
}

// JobRecordState is the state of a job with regard to its record in the key-value store.
// Recovery, the watch on job records and cancellations write it. The writer and the
// committer of progress records write the fields that concern the job's end.
type JobRecordState struct {
	Revision       wire.Revision
	RecordOutdated bool // the stored record has changed in a way that is not read yet
	RecordDeleted  bool // the watch has shown that the record is gone
	Cancelled      bool
	CancelledAt    time.Time
	Finished       bool // to be archived
	Archiving      bool // the transaction that archives it is under way
	// WriteNotBefore: the job's end is not written before this time, because the store
	// refused to write it in a transaction of its own.
	WriteNotBefore time.Time
}

// TaskCounts counts the tasks of a job by state. Chunk.AddAttempt, Chunk.ResetTasks,
// Attempt.Detach, EndAttempt and CompleteGang update it. So do the scheduler, which counts
// what it starts as unstored, the committer, which counts it as stored, and the reader of
// progress records, which counts the tasks that are done.
type TaskCounts struct {
	DoneTasks        int
	ActiveTasks      int
	UnstoredAttempts int // active tasks whose attempt is not stored yet
	// FirstPendingChunk: no task of an earlier chunk is pending.
	FirstPendingChunk int
}

// StartHistory is what this term knows of the starts and runs of a job's tasks.
type StartHistory struct {
	HasRun       bool         // a task of it was seen running; set by reconciliation
	LastStartAt  time.Time    // when the scheduler last decided on a task of it
	RunTimes     runTimeStats // of completed tasks; written by reconciliation
	lastActiveAt time.Time    // when a task of it was last on a machine; set by EndAttempt
}

// JobFailures is the evidence that a job fails wherever it runs, as opposed to failing on a
// faulty machine. Reconciliation writes it as tasks exit. StartNotBefore is also set when a
// machine refuses a start, or when an attempt is withdrawn because the chunk's record is too
// large.
type JobFailures struct {
	// FailedMachines are those on which a task of the job failed since the last success. They stay
	// here when they are drained as faulty: on how many machines a job fails tells whether it is at
	// fault itself.
	FailedMachines   map[wire.MachineID]bool
	TaskFailures     int  // since the last success
	AnyTaskSucceeded bool // a task of it has completed in this term
	// StartNotBefore: no task of the job is started before this time.
	StartNotBefore time.Time
}

// NewJob returns the job that a record describes, without any progress.
func NewJob(rec store.JobRecord, revision wire.Revision) *Job {
	chunkTasks := rec.EffectiveTasksPerChunk()
	return &Job{
		Spec:           rec.Spec,
		AcceptedAt:     monotonicTime(rec.AcceptedAt.Time()),
		JobRecordState: JobRecordState{Revision: revision},
		ChunkLayout: ChunkLayout{
			TasksPerChunk: chunkTasks,
			Chunks:        make([]*Chunk, chunkCount(rec.Spec.Tasks, chunkTasks)),
		},
	}
}

// monotonicTime gives a stored time a monotonic clock reading, so that later changes of the
// wall clock do not affect the time since. A time in the future, from a clock that is wrong,
// counts as now: no job has waited for a negative time.
func monotonicTime(stored time.Time) time.Time {
	now := time.Now()
	age := max(now.Sub(stored), 0)
	return now.Add(-age)
}

// FinalStatus returns the status with which a finished job is archived.
func (j *Job) FinalStatus() wire.Status {
	if j.Cancelled {
		return wire.StatusCancelled
	}
	return wire.StatusDone
}

// PendingTasks returns how many tasks are neither done nor have an attempt.
func (j *Job) PendingTasks() int { return j.Spec.Tasks - j.DoneTasks - j.ActiveTasks }

// maxFailingJobTasks limits the active tasks of a job with failures since its last success.
// If that many are active already, a cycle may still start one more.
const maxFailingJobTasks = 2

// StartableTasks returns how many of its pending tasks a scheduling cycle may start. A job
// that fails is retried with few tasks at a time, but never with none: its success alone
// shows that the machines were at fault. A gang starts with all its tasks.
func (j *Job) StartableTasks() int {
	pending := j.PendingTasks()
	if j.TaskFailures == 0 || j.Spec.IsGang() {
		return pending
	}
	return min(pending, max(1, maxFailingJobTasks-j.ActiveTasks))
}

// Attempts returns the attempts that may be on machines.
func (j *Job) Attempts() []*Attempt {
	var out []*Attempt
	for _, c := range j.Chunks {
		if c == nil {
			continue
		}
		for _, a := range c.Attempts {
			out = append(out, a)
		}
	}
	return out
}

// ActiveByZone counts the attempts that may be on machines by zone; one on a machine of
// an unknown zone counts under the empty zone.
func (j *Job) ActiveByZone() map[wire.Zone]int {
	counts := map[wire.Zone]int{}
	for _, a := range j.Attempts() {
		counts[a.Machine.Zone]++
	}
	return counts
}

// ZoneCapacityLeft returns how many more of the job's tasks may be placed in each zone, for
// a job with SameZone or Spread set.
func (j *Job) ZoneCapacityLeft(zones []wire.Zone) map[wire.Zone]int {
	left := map[wire.Zone]int{}
	active := j.ActiveByZone()
	for _, zone := range zones {
		boundElsewhere := j.Spec.SameZone && j.ActiveTasks > 0 && active[zone] == 0
		if boundElsewhere {
			left[zone] = 0
			continue
		}
		left[zone] = max(0, j.Spec.MaxTasksPerZone()-active[zone])
	}
	return left
}

// SinceLastStart returns the time since the last start of a task of the job, or since its
// acceptance if there was none. What happened before this term is not known, so the result
// is at most the time since the term began.
func (s *State) SinceLastStart(j *Job, now time.Time) time.Duration {
	return now.Sub(LaterOf(LaterOf(j.AcceptedAt, j.LastStartAt), s.TermStartedAt))
}

// StartOverdue reports whether a job has waited so long that its first task goes before
// everything but services. Services are never overdue, nor is a job with an active task.
//
// A job without a completed task is overdue once half of startWithin has passed since its
// acceptance. Jobs that are not overdue are ordered by how little work is left, by price and
// by priority, which alone would keep a large or cheap job waiting for ever under a steady
// overload.
//
// A job with completed tasks is overdue only if, in addition, none of its tasks has been on a
// machine for as long, counted within this term. If such a job were never overdue, the rest
// of it would never run once its spot machines are reclaimed and no more are to be had.
func (s *State) StartOverdue(j *Job, now time.Time) bool {
	if j.Spec.IsService() || j.ActiveTasks > 0 {
		return false
	}
	if now.Sub(j.AcceptedAt) <= startWithin/2 {
		return false
	}
	begun := j.DoneTasks > 0
	return !begun || now.Sub(LaterOf(j.lastActiveAt, s.TermStartedAt)) > startWithin/2
}
