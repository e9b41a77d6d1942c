package scheduling

import (
	"log/slog"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/placement"
	"lilaclead/internal/tuning"
)

// Scheduler runs scheduling cycles. It is composed of the duties that the parts of a term
// call by themselves.
type Scheduler struct {
	*Eligibility
	*Starter
	*Reservations
	*Valuation
	*GangHistory
	*DemandEstimator
	*CapacityPlanner

	state  *cluster.State
	tuning *tuning.Current
}

// NewScheduler returns the scheduler of a term.
func NewScheduler(state *cluster.State, values *tuning.Current, tracker *scaling.Tracker, log *slog.Logger) *Scheduler {
	valuation := &Valuation{state: state}
	gangs := newGangHistory(state)
	demands := &DemandEstimator{state: state, tuning: values, tracker: tracker, valuation: valuation, gangs: gangs}
	return &Scheduler{
		Eligibility:     &Eligibility{state: state},
		Starter:         &Starter{state: state, log: log},
		Reservations:    newReservations(state, valuation),
		Valuation:       valuation,
		GangHistory:     gangs,
		DemandEstimator: demands,
		CapacityPlanner: &CapacityPlanner{state: state, tuning: values, tracker: tracker, demands: demands},
		state:           state,
		tuning:          values,
	}
}

// Cycle is one run of the scheduler over all waiting jobs.
type Cycle struct {
	// Starts is the number of tasks that were started.
	Starts int
	// Preemptions are the tasks to be preempted.
	Preemptions []placement.Victim

	startedAt time.Time
	reserved  bool // resources were reserved
}

// BeginCycle starts tasks, reserves resources for waiting jobs and names the tasks to be
// preempted for them. It returns nil if no job waits.
func (s *Scheduler) BeginCycle(now time.Time) *Cycle {
	s.state.Cycle.Begin(now)
	waiting := s.schedulableJobs(now)
	if len(waiting) == 0 {
		return nil
	}
	snapshot := s.snapshot(waiting, now)
	result := placement.Place(snapshot.placement)
	s.startTasks(result.Starts, snapshot, now)
	s.reserve(result.Reservations, now)
	return &Cycle{
		Starts:      len(result.Starts),
		Preemptions: result.Preemptions,
		startedAt:   now,
		reserved:    len(result.Reservations) > 0,
	}
}

// FinishCycle ends a cycle after its preemptions were requested.
func (s *Scheduler) FinishCycle(c *Cycle) {
	if c.reserved {
		s.extendGangReservations()
	}
	s.state.Cycle.LastDuration = time.Since(c.startedAt)
}

// schedulableJobs returns the jobs with tasks that can be placed now, in no order.
func (s *Scheduler) schedulableJobs(now time.Time) []*cluster.Job {
	var waiting []*cluster.Job
	for _, job := range s.state.Jobs {
		if s.Schedulable(job, now) {
			waiting = append(waiting, job)
		}
	}
	return waiting
}

// startTasks starts the tasks that were placed. The tasks of a gang start together.
func (s *Scheduler) startTasks(starts []placement.Start, snapshot *cycleSnapshot, now time.Time) {
	gangs := map[*cluster.Job][]*cluster.Machine{}
	for _, start := range starts {
		job, machine := snapshot.jobs[start.Job], snapshot.machines[start.Machine]
		if job.Spec.Gang() {
			gangs[job] = append(gangs[job], machine)
		} else {
			s.StartTask(job, machine, now)
		}
	}
	for job, machines := range gangs {
		s.StartGang(job, machines, now)
	}
}
