package cluster

import (
	"time"

	"lilaclead/internal/leader/demand"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	TaskPending uint8 = iota
	TaskActive
	TaskDone
)

type Job struct {
	Spec           wire.JobSpec
	Revision       wire.Revision
	AcceptedAt     time.Time
	Cancelled      bool
	CancelledAt    time.Time
	RecordOutdated bool // its record has changed in a way not yet read
	Finished       bool // to be archived
	Archiving      bool
	WriteNotBefore time.Time // its end is not written before: it was refused by itself
	RecordDeleted  bool      // the watch has shown that its record is gone
	Chunks         []*Chunk
	TasksPerChunk  int // tasks of a chunk
	// SubchunksPerChunk is how many chunks each one that was stored was split into, 0: none
	// was, and baseRevisions the revisions of those that were.
	SubchunksPerChunk int
	baseRevisions     []wire.Revision
	Gang              *Gang // its attempt that may be on machines; nil: none
	UnstoredAttempts  int   // attempts held that are not yet stored
	DoneTasks         int
	ActiveTasks       int
	// Faults: machines on which a task of it failed in a row.
	FailedMachines    map[wire.MachineID]bool
	Succeeded         bool
	Failures          int
	StartNotBefore    time.Time
	HasRun            bool
	lastActiveAt      time.Time // when a task of it was last on a machine
	LastStartAt       time.Time // when a task of it was started last, in this term
	RunTimes          runTimeStats
	FirstPendingChunk int // no task of an earlier chunk is pending
}

func NewJob(rec store.JobRecord, revision wire.Revision) *Job {
	j := &Job{Spec: rec.Spec, Revision: revision, AcceptedAt: rec.AcceptedAt.Time(), TasksPerChunk: rec.ChunkTasks()}
	// Steady from here on; a clock that is off makes no job wait negatively.
	if age := time.Since(j.AcceptedAt); age > 0 {
		j.AcceptedAt = time.Now().Add(-age)
	} else {
		j.AcceptedAt = time.Now()
	}
	j.Chunks = make([]*Chunk, (rec.Spec.Tasks+j.TasksPerChunk-1)/j.TasksPerChunk)
	return j
}

// FinalStatus is the status with which a job that is over is archived.
func (j *Job) FinalStatus() wire.Status {
	if j.Cancelled {
		return wire.Cancelled
	}
	return wire.Done
}

func (j *Job) Pending() int { return j.Spec.Tasks - j.DoneTasks - j.ActiveTasks }

func (j *Job) Chunk(n int) *Chunk {
	if j.Chunks[n] == nil {
		j.Chunks[n] = &Chunk{Job: j, Index: n, NextAttempt: 1,
			TaskStates: make([]uint8, min(j.TasksPerChunk, j.Spec.Tasks-n*j.TasksPerChunk)), Attempts: map[int]*Attempt{}}
	}
	return j.Chunks[n]
}

// Attempts lists what may be on machines.
func (j *Job) Attempts() []*Attempt {
	var out []*Attempt
	for _, c := range j.Chunks {
		if c != nil {
			for _, a := range c.Attempts {
				out = append(out, a)
			}
		}
	}
	return out
}

// ActiveByZone counts what may be on machines by zone; what is on a machine of an
// unknown zone counts under none.
func (j *Job) ActiveByZone() map[wire.Zone]int {
	n := map[wire.Zone]int{}
	for _, a := range j.Attempts() {
		n[a.Machine.Zone]++
	}
	return n
}

// ForEachPending calls f for up to n pending tasks.
func (j *Job) ForEachPending(n int, f func(c *Chunk, index int)) {
	for ci := j.FirstPendingChunk; ci < len(j.Chunks); ci++ {
		c := j.Chunk(ci)
		for i := c.FirstPending; i < len(c.TaskStates); i++ {
			if n == 0 {
				return
			}
			if c.TaskStates[i] == TaskPending {
				f(c, i)
				n--
			}
			c.FirstPending = i + 1
		}
		j.FirstPendingChunk = ci + 1
	}
}

// gracePeriodOf is how long a task of the job is given to save.
func gracePeriodOf(j *Job) wire.Seconds {
	if j.Spec.CheckpointInterval > 0 {
		return j.Spec.CheckpointTime + 2
	}
	return 0
}

// GracePeriodOf returns the grace of a gang: each has its time to save, and what is saved waits for the
// others.
func (s *State) GracePeriodOf(j *Job) wire.Seconds {
	w := gracePeriodOf(j)
	if w > 0 && j.Spec.Gang() {
		w += s.Settings.Workers.GangPeerTimeout
	}
	return w
}

// ZoneCapacityLeft is how many more tasks of a job that is bound to zones each may take.
func (j *Job) ZoneCapacityLeft(zones []wire.Zone) map[wire.Zone]int {
	left := map[wire.Zone]int{}
	held := j.ActiveByZone()
	for _, z := range zones {
		left[z] = max(0, j.Spec.ZoneCap()-held[z])
		if j.Spec.SameZone && j.ActiveTasks > 0 && held[z] == 0 {
			left[z] = 0
		}
	}
	return left
}

// ExpectedSeconds run time of a task: what was seen, else what the owner says.
func (j *Job) ExpectedSeconds() float64 {
	if n := len(j.RunTimes.Samples); n > 0 {
		return j.RunTimes.Median()
	}
	return float64(j.Spec.ExpectedRunTime)
}

// startWithin is when every job should have begun.
const startWithin = demand.StartWithinS * time.Second
