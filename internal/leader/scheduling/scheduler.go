package scheduling

import (
	"log/slog"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/placement"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// Scheduler decides which tasks start where, which are preempted, and which machines
// are wanted. It changes the state that it is given and starts no I/O.
type Scheduler struct {
	state   *cluster.State
	tuning  *tuning.Current
	scaling *scaling.Tracker
	log     *slog.Logger

	ReservedMachines map[*cluster.Machine]struct{} // on which room is reserved
	recentGangs      map[gangSize]recentGang
	BacklogS         float64 // seconds in which the room there is would do what waits
}

func NewScheduler(state *cluster.State, values *tuning.Current, tracker *scaling.Tracker, log *slog.Logger) *Scheduler {
	return &Scheduler{state: state, tuning: values, scaling: tracker, log: log,
		ReservedMachines: map[*cluster.Machine]struct{}{}, recentGangs: map[gangSize]recentGang{}}
}

// cycle is one run of the scheduler over all jobs that wait.
type cycle struct {
	startedAt   time.Time
	Starts      int
	Preemptions []placement.Victim
	reserved    bool // room was reserved
}

// BeginCycle starts tasks, reserves room and names the tasks to be preempted for it;
// nil if nothing waits.
func (sc *Scheduler) BeginCycle(now time.Time) *cycle {
	sc.state.Cycle.Begin(now)
	waiting := sc.schedulableJobs(now)
	if len(waiting) == 0 {
		return nil
	}
	snapshot, machines, jobs := sc.snapshot(waiting, now)
	result := placement.Place(snapshot)
	sc.startTasks(result.Starts, machines, jobs, now)
	sc.reserve(result.Reservations, now)
	return &cycle{startedAt: now, Starts: len(result.Starts), Preemptions: result.Preemptions, reserved: len(result.Reservations) > 0}
}

// FinishCycle ends a cycle whose preemptions are under way.
func (sc *Scheduler) FinishCycle(c *cycle) {
	if c.reserved {
		sc.extendGangReservations()
	}
	sc.state.Cycle.LastDuration = time.Since(c.startedAt)
}

// schedulableJobs returns the jobs with tasks to be placed now, in no order.
func (sc *Scheduler) schedulableJobs(now time.Time) []*cluster.Job {
	var waiting []*cluster.Job
	for _, j := range sc.state.Jobs {
		if sc.Schedulable(j, now) {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// startTasks starts what was placed. A gang's tasks start together.
func (sc *Scheduler) startTasks(starts []placement.Start, machines []*cluster.Machine, jobs []*cluster.Job, now time.Time) {
	gangs := map[*cluster.Job][]*cluster.Machine{}
	for _, start := range starts {
		j, m := jobs[start.Job], machines[start.Machine]
		if j.Spec.Gang() {
			gangs[j] = append(gangs[j], m)
		} else {
			sc.StartTask(j, m, now)
		}
	}
	for j, gangMachines := range gangs {
		sc.StartGang(j, gangMachines, now)
	}
}

// Schedulable reports whether tasks of a job can be placed now. A gang is placed only
// when nothing of its last attempt is left.
func (sc *Scheduler) Schedulable(j *cluster.Job, now time.Time) bool {
	return !j.Cancelled && !j.Finished && !j.Archiving && !j.RecordOutdated && !sc.state.Quarantined(j.Spec.ID) && j.Pending() > 0 && !now.Before(j.StartNotBefore) &&
		(j.ActiveTasks == 0 || !j.Spec.Gang()) // a gang only when nothing of its last attempt is left
}

// StartTask decides on one task of the job.
func (sc *Scheduler) StartTask(j *cluster.Job, m *cluster.Machine, now time.Time) {
	sc.startAttempt(j, m, 0, now)
}

// startAttempt starts a task with an attempt's number, 0: the next one.
func (sc *Scheduler) startAttempt(j *cluster.Job, m *cluster.Machine, try wire.Attempt, now time.Time) {
	j.ForEachPending(1, func(c *cluster.Chunk, i int) {
		a := &cluster.Attempt{Job: j, Chunk: c, Index: i, Number: try, Machine: m, DecidedAt: now, Unstored: true}
		if try == 0 {
			a.Number = c.NextAttempt
			c.NextAttempt++
		}
		c.UnstoredAttempts++
		j.UnstoredAttempts++
		c.Add(a)
		j.LastStartAt = now
		if i := slices.IndexFunc(m.Reservations, func(c cluster.Reservation) bool { return c.Job == j.Spec.ID }); i >= 0 {
			m.Reservations = slices.Delete(m.Reservations, i, i+1)
		}
		sc.state.Unsaved.MarkDirty(c)
		sc.log.Debug("starts", "task", a.Task(), "attempt", a.Number, "machine", m.ID, "waited", now.Sub(j.AcceptedAt))
	})
}

// StartGang decides on all tasks of a gang at once, with a number that none of
// them has had. Nothing is sent before all of it is stored.
func (sc *Scheduler) StartGang(j *cluster.Job, ms []*cluster.Machine, now time.Time) {
	g := &cluster.Gang{Number: 1, StartedAt: now}
	n := (j.Spec.Tasks + j.TasksPerChunk - 1) / j.TasksPerChunk
	for i := range n {
		g.Number = max(g.Number, j.Chunk(i).NextAttempt)
	}
	j.Gang = g
	for _, m := range ms {
		sc.startAttempt(j, m, g.Number, now)
	}
	for i := range n {
		j.Chunks[i].NextAttempt = g.Number + 1
	}
}
