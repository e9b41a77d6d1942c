package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// TaskStarted records that a task started on a machine and checks the placement rules.
func (c *Checker) TaskStarted(t wire.TaskID, p Place, now time.Time) {
	c.observeTime(now)
	c.starts++
	if c.everStarted[t] {
		c.restarts++
	}
	c.everStarted[t] = true
	j := c.jobs[t.Job]
	if j == nil {
		c.violated(now, WrongPlace, "%s was never submitted", t)
		return
	}
	j.waits.end()
	if !j.cancelToldAt.IsZero() {
		c.lateStarts++
	}
	c.recordOnMachine(t, j, p, now, "starts")
	if j.startedAt.IsZero() && !j.spec.IsGang() {
		j.startedAt = now // a gang starts when all of its tasks run: see GangBegan
	}
	spec := &j.spec
	if p.Spot && !spec.SpotAllowed || spec.Zone != "" && spec.Zone != p.Zone || spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, p.Type) {
		c.violated(now, WrongPlace, "%s on %v", t, p)
	}
	inZone, elsewhere := 0, 0
	var used TeamLimit
	for other, place := range c.placeOf {
		otherJob := c.jobs[other.Job]
		if other.Job == t.Job {
			if place.Zone == p.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
		if otherJob.spec.Team == spec.Team {
			used.CPUs += otherJob.spec.CPUs
			used.GPUs += otherJob.spec.GPUs
		}
	}
	if spec.Spread && inZone > (spec.Tasks+1)/2 || spec.SameZone && elsewhere > 0 {
		c.violated(now, WrongPlace, "%s in %s with %d there and %d elsewhere", t, p.Zone, inZone-1, elsewhere)
	}
	if limit := c.Limits[spec.Team]; limit.CPUs > 0 && used.CPUs > limit.CPUs+wire.AmountTolerance || limit.GPUs > 0 && used.GPUs > limit.GPUs+wire.AmountTolerance {
		c.violated(now, Quota, "team %s uses %.1f cpus", spec.Team, used.CPUs)
	}
}

// TaskResumed records that a task resumes after its machine hung. It is checked like a start,
// except for the placement rules.
func (c *Checker) TaskResumed(t wire.TaskID, p Place, now time.Time) {
	c.observeTime(now)
	if j := c.jobs[t.Job]; j != nil {
		c.recordOnMachine(t, j, p, now, "goes on")
	}
}

// recordOnMachine records that a task starts or resumes on a machine; verb says which.
func (c *Checker) recordOnMachine(t wire.TaskID, j *jobHistory, p Place, now time.Time, verb string) {
	if place, on := c.placeOf[t]; on && place.Machine != p.Machine {
		c.violated(now, RanTwice, "%s is on %s and %s on %s", t, place.Machine, verb, p.Machine)
	}
	c.placeOf[t] = p
	if !j.cancelToldAt.IsZero() && now.Sub(j.cancelToldAt) > c.CancelTimeout {
		c.violated(now, RanCancelled, "%s %s on %s", t, verb, p.Machine)
	}
}

// AttemptRepeated records that a late copy of its launch starts an attempt that has ended on the
// machine.
func (c *Checker) AttemptRepeated(t wire.TaskID, attempt wire.AttemptNumber, m wire.MachineID, now time.Time) {
	c.observeTime(now)
	c.violated(now, AttemptRepeated, "attempt %d of %s on %s", attempt, t, m)
}

// TaskLeft records that a task is no longer on a machine; done says whether it completed.
func (c *Checker) TaskLeft(t wire.TaskID, m wire.MachineID, done bool) {
	if place, on := c.placeOf[t]; on && place.Machine == m {
		delete(c.placeOf, t)
	}
	if j := c.jobs[t.Job]; j != nil && done {
		j.completedTasks[t.Index] = true
		j.recordCompletion()
	}
}

// TaskFailed records that a task failed on a machine. The machine then no longer counts as one
// that the job could use while it waits, as the task may be retried later and elsewhere.
func (c *Checker) TaskFailed(t wire.TaskID, m wire.MachineID) {
	if j := c.jobs[t.Job]; j != nil {
		j.waits.end()
		if j.waits.failed == nil {
			j.waits.failed = map[wire.MachineID]bool{}
		}
		j.waits.failed[m] = true
	}
}

// recordCompletion records the time of completion once the last task has completed.
func (j *jobHistory) recordCompletion() {
	if len(j.completedTasks) == j.spec.Tasks && j.completion.endedAt.IsZero() {
		j.completion.endedAt = time.Now()
		if j.completion.done != nil {
			close(j.completion.done)
		}
	}
}

// Tick checks for tasks of cancelled jobs that are still on a machine after the cancel timeout,
// and records the jobs whose last task has completed.
func (c *Checker) Tick(now time.Time) {
	c.observeTime(now)
	for t, p := range c.placeOf {
		// One violation per job is enough.
		if j := c.jobs[t.Job]; !j.overstayRecorded && !j.cancelToldAt.IsZero() && now.Sub(j.cancelToldAt) > c.CancelTimeout {
			c.violated(now, RanCancelled, "%s still on %s", t, p.Machine)
			j.overstayRecorded = true
		}
	}
	for _, j := range c.jobs {
		if j.completionSeenAt.IsZero() && len(j.completedTasks) >= j.spec.Tasks {
			j.completionSeenAt = now
		}
	}
}

// GangBegan records that a gang starts to run and checks that all its tasks are on machines.
func (c *Checker) GangBegan(id wire.JobID, now time.Time) {
	c.observeTime(now)
	j := c.jobs[id]
	if j == nil {
		return
	}
	if n := c.TasksOnMachines(id); n != j.spec.Tasks {
		c.violated(now, HalfRun, "%s runs with %d of %d tasks on machines", id, n, j.spec.Tasks)
	}
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
}

// GangDone records that a gang has completed. All its tasks complete together.
func (c *Checker) GangDone(id wire.JobID) {
	if j := c.jobs[id]; j != nil {
		for i := range j.spec.Tasks {
			j.completedTasks[i] = true
		}
		j.recordCompletion()
	}
}
