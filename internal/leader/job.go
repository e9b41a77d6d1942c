package leader

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

type job struct {
	spec           wire.JobSpec
	revision       wire.Revision
	acceptedAt     time.Time
	cancelled      bool
	cancelledAt    time.Time
	recordOutdated bool // its record has changed in a way not yet read
	finished       bool // to be archived
	archiving      bool
	writeNotBefore time.Time // its end is not written before: it was refused by itself
	recordDeleted  bool      // the watch has shown that its record is gone
	chunks         []*chunk
	tasksPerChunk  int // tasks of a chunk
	// subchunksPerChunk is how many chunks each one that was stored was split into, 0: none
	// was, and baseRevisions the revisions of those that were.
	subchunksPerChunk int
	baseRevisions     []wire.Revision
	gang              *gang // its attempt that may be on machines; nil: none
	unstoredAttempts  int   // attempts held that are not yet stored
	doneTasks         int
	activeTasks       int
	// Faults: machines on which a task of it failed in a row.
	failedMachines    map[wire.MachineID]bool
	succeeded         bool
	failures          int
	startNotBefore    time.Time
	hasRun            bool
	lastActiveAt      time.Time // when a task of it was last on a machine
	lastStartAt       time.Time // when a task of it was started last, in this term
	runTimes          runTimeStats
	firstPendingChunk int // no task of an earlier chunk is pending
}

func newJob(rec store.JobRecord, revision wire.Revision) *job {
	j := &job{spec: rec.Spec, revision: revision, acceptedAt: rec.AcceptedAt.Time(), tasksPerChunk: rec.ChunkTasks()}
	// Steady from here on; a clock that is off makes no job wait negatively.
	if age := time.Since(j.acceptedAt); age > 0 {
		j.acceptedAt = time.Now().Add(-age)
	} else {
		j.acceptedAt = time.Now()
	}
	j.chunks = make([]*chunk, (rec.Spec.Tasks+j.tasksPerChunk-1)/j.tasksPerChunk)
	return j
}

// finalStatus is the status with which a job that is over is archived.
func (j *job) finalStatus() wire.Status {
	if j.cancelled {
		return wire.Cancelled
	}
	return wire.Done
}

func (j *job) pending() int { return j.spec.Tasks - j.doneTasks - j.activeTasks }

func (j *job) chunk(n int) *chunk {
	if j.chunks[n] == nil {
		j.chunks[n] = &chunk{job: j, index: n, nextAttempt: 1,
			taskStates: make([]uint8, min(j.tasksPerChunk, j.spec.Tasks-n*j.tasksPerChunk)), attempts: map[int]*attempt{}}
	}
	return j.chunks[n]
}

// attempts lists what may be on machines.
func (j *job) attempts() []*attempt {
	var out []*attempt
	for _, c := range j.chunks {
		if c != nil {
			for _, a := range c.attempts {
				out = append(out, a)
			}
		}
	}
	return out
}

// activeByZone counts what may be on machines by zone; what is on a machine of an
// unknown zone counts under none.
func (j *job) activeByZone() map[wire.Zone]int {
	n := map[wire.Zone]int{}
	for _, a := range j.attempts() {
		n[a.machine.zone]++
	}
	return n
}

// forEachPending calls f for up to n pending tasks.
func (j *job) forEachPending(n int, f func(c *chunk, index int)) {
	for ci := j.firstPendingChunk; ci < len(j.chunks); ci++ {
		c := j.chunk(ci)
		for i := c.firstPending; i < len(c.taskStates); i++ {
			if n == 0 {
				return
			}
			if c.taskStates[i] == TaskPending {
				f(c, i)
				n--
			}
			c.firstPending = i + 1
		}
		j.firstPendingChunk = ci + 1
	}
}

// gracePeriodOf is how long a task of the job is given to save.
func gracePeriodOf(j *job) wire.Seconds {
	if j.spec.CheckpointInterval > 0 {
		return j.spec.CheckpointTime + 2
	}
	return 0
}

// grace of a gang: each has its time to save, and what is saved waits for the
// others.
func (s *State) gracePeriodOf(j *job) wire.Seconds {
	w := gracePeriodOf(j)
	if w > 0 && j.spec.Gang() {
		w += s.settings.Workers.GangPeerTimeout
	}
	return w
}

// zoneCapacityLeft is how many more tasks of a job that is bound to zones each may take.
func (j *job) zoneCapacityLeft(zones []wire.Zone) map[wire.Zone]int {
	left := map[wire.Zone]int{}
	held := j.activeByZone()
	for _, z := range zones {
		left[z] = max(0, j.spec.ZoneCap()-held[z])
		if j.spec.SameZone && j.activeTasks > 0 && held[z] == 0 {
			left[z] = 0
		}
	}
	return left
}

// expectedSeconds run time of a task: what was seen, else what the owner says.
func (j *job) expectedSeconds() float64 {
	if n := len(j.runTimes.samples); n > 0 {
		return j.runTimes.median()
	}
	return float64(j.spec.ExpectedRunTime)
}

// startWithin is when every job should have begun.
const startWithin = demand.StartWithinS * time.Second
