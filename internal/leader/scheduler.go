package leader

import (
	"log/slog"
	"slices"
	"time"

	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/placement"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// scheduler decides which tasks start where, which are preempted, and which machines
// are wanted. It changes the state that it is given and starts no I/O.
type scheduler struct {
	state   *State
	tuning  *tuning.Current
	scaling *scaling.Tracker
	log     *slog.Logger

	reservedMachines map[*machine]struct{} // on which room is reserved
	recentGangs      map[gangSize]recentGang
	backlogS         float64 // seconds in which the room there is would do what waits
}

func newScheduler(state *State, values *tuning.Current, tracker *scaling.Tracker, log *slog.Logger) *scheduler {
	return &scheduler{state: state, tuning: values, scaling: tracker, log: log,
		reservedMachines: map[*machine]struct{}{}, recentGangs: map[gangSize]recentGang{}}
}

// cycle is one run of the scheduler over all jobs that wait.
type cycle struct {
	startedAt   time.Time
	starts      int
	preemptions []placement.Victim
	reserved    bool // room was reserved
}

// beginCycle starts tasks, reserves room and names the tasks to be preempted for it;
// nil if nothing waits.
func (sc *scheduler) beginCycle(now time.Time) *cycle {
	sc.state.cycle.begin(now)
	waiting := sc.schedulableJobs(now)
	if len(waiting) == 0 {
		return nil
	}
	snapshot, machines, jobs := sc.snapshot(waiting, now)
	result := placement.Place(snapshot)
	sc.startTasks(result.Starts, machines, jobs, now)
	sc.reserve(result.Reservations, now)
	return &cycle{startedAt: now, starts: len(result.Starts), preemptions: result.Preemptions, reserved: len(result.Reservations) > 0}
}

// finishCycle ends a cycle whose preemptions are under way.
func (sc *scheduler) finishCycle(c *cycle) {
	if c.reserved {
		sc.extendGangReservations()
	}
	sc.state.cycle.lastDuration = time.Since(c.startedAt)
}

// schedulableJobs returns the jobs with tasks to be placed now, in no order.
func (sc *scheduler) schedulableJobs(now time.Time) []*job {
	var waiting []*job
	for _, j := range sc.state.jobs {
		if sc.schedulable(j, now) {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// startTasks starts what was placed. A gang's tasks start together.
func (sc *scheduler) startTasks(starts []placement.Start, machines []*machine, jobs []*job, now time.Time) {
	gangs := map[*job][]*machine{}
	for _, start := range starts {
		j, m := jobs[start.Job], machines[start.Machine]
		if j.spec.Gang() {
			gangs[j] = append(gangs[j], m)
		} else {
			sc.startTask(j, m, now)
		}
	}
	for j, gangMachines := range gangs {
		sc.startGang(j, gangMachines, now)
	}
}

// schedulable reports whether tasks of a job can be placed now. A gang is placed only
// when nothing of its last attempt is left.
func (sc *scheduler) schedulable(j *job, now time.Time) bool {
	return !j.cancelled && !j.finished && !j.archiving && !j.recordOutdated && !sc.state.quarantined(j.spec.ID) && j.pending() > 0 && !now.Before(j.startNotBefore) &&
		(j.activeTasks == 0 || !j.spec.Gang()) // a gang only when nothing of its last attempt is left
}

// startTask decides on one task of the job.
func (sc *scheduler) startTask(j *job, m *machine, now time.Time) { sc.startAttempt(j, m, 0, now) }

// startAttempt starts a task with an attempt's number, 0: the next one.
func (sc *scheduler) startAttempt(j *job, m *machine, try wire.Attempt, now time.Time) {
	j.forEachPending(1, func(c *chunk, i int) {
		a := &attempt{job: j, chunk: c, index: i, number: try, machine: m, decidedAt: now, unstored: true}
		if try == 0 {
			a.number = c.nextAttempt
			c.nextAttempt++
		}
		c.unstoredAttempts++
		j.unstoredAttempts++
		c.add(a)
		j.lastStartAt = now
		if i := slices.IndexFunc(m.reservations, func(c reservation) bool { return c.Job == j.spec.ID }); i >= 0 {
			m.reservations = slices.Delete(m.reservations, i, i+1)
		}
		sc.state.unsaved.markDirty(c)
		sc.log.Debug("starts", "task", a.task(), "attempt", a.number, "machine", m.id, "waited", now.Sub(j.acceptedAt))
	})
}

// startGang decides on all tasks of a gang at once, with a number that none of
// them has had. Nothing is sent before all of it is stored.
func (sc *scheduler) startGang(j *job, ms []*machine, now time.Time) {
	g := &gang{number: 1, startedAt: now}
	n := (j.spec.Tasks + j.tasksPerChunk - 1) / j.tasksPerChunk
	for i := range n {
		g.number = max(g.number, j.chunk(i).nextAttempt)
	}
	j.gang = g
	for _, m := range ms {
		sc.startAttempt(j, m, g.number, now)
	}
	for i := range n {
		j.chunks[i].nextAttempt = g.number + 1
	}
}
