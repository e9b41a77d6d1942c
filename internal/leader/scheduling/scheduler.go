package scheduling

import (
	"log/slog"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling/capacity"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// Scheduler runs scheduling cycles. Other components of a term also call the methods of its
// embedded types.
type Scheduler struct {
	*Eligibility
	*Starter
	*Reservations
	*PreemptionDelay
	*GangHistory
	*capacity.Estimator
	*capacity.Planner

	state  *cluster.State
	tuning *tuning.Current
	valuer *valuation.Valuer
}

// NewScheduler returns the scheduler of a term.
func NewScheduler(state *cluster.State, values *tuning.Current, tracker *scaling.Tracker, log *slog.Logger) *Scheduler {
	valuer := valuation.NewValuer(state)
	preemptionDelay := &PreemptionDelay{state: state, valuer: valuer}
	estimator := capacity.NewEstimator(state, values, tracker, valuer)
	return &Scheduler{
		Eligibility:     &Eligibility{state: state},
		Starter:         &Starter{state: state, log: log},
		Reservations:    newReservations(state, preemptionDelay),
		PreemptionDelay: preemptionDelay,
		GangHistory:     newGangHistory(state),
		Estimator:       estimator,
		Planner:         capacity.NewPlanner(state, tracker, estimator),
		state:           state,
		tuning:          values,
		valuer:          valuer,
	}
}

// PlanCapacity plans which machines to scale out and in, and which to cordon so that they
// become empty.
func (s *Scheduler) PlanCapacity(specs []wire.MachineSpec, mayScaleOut bool, now time.Time) capacity.Plan {
	values := s.tuning.Get()
	return s.Plan(capacity.Input{
		Specs:         specs,
		MayScaleOut:   mayScaleOut,
		ExpectedGangs: s.ExpectedGangs(values.SpareGangs, now),
		Values:        values,
		Now:           now,
	})
}

// GangReserves returns the demands for the resources that are kept free for the next gangs:
// those of spareGangs gangs of each class.
func (s *Scheduler) GangReserves(spareGangs float64, now time.Time) []fleet.Demand {
	return s.ReservesFor(s.ExpectedGangs(spareGangs, now))
}

// Cycle is one run of the scheduler over all waiting jobs.
type Cycle struct {
	// Starts is the number of tasks that were started.
	Starts int
	// Preemptions are the tasks to be preempted.
	Preemptions []placement.Victim

	startedAt       time.Time
	hasReservations bool // the cycle reserved resources
}

// BeginCycle starts tasks, reserves resources for waiting jobs and selects the tasks to
// preempt for them. It returns nil if no job has tasks that can be placed now.
func (s *Scheduler) BeginCycle(now time.Time) *Cycle {
	s.state.CycleTimer.Begin(now)
	waiting := s.schedulableJobs(now)
	if len(waiting) == 0 {
		return nil
	}
	snapshot := s.snapshot(waiting, now)
	result := placement.Place(snapshot.placement)
	s.startTasks(result.Starts, snapshot, now)
	s.reserve(result.Reservations, now)
	return &Cycle{
		Starts:          len(result.Starts),
		Preemptions:     result.Preemptions,
		startedAt:       now,
		hasReservations: len(result.Reservations) > 0,
	}
}

// FinishCycle ends a cycle. The caller requests the cycle's preemptions first, because
// these extend reservations.
func (s *Scheduler) FinishCycle(c *Cycle) {
	if c.hasReservations {
		s.extendGangReservations()
	}
	s.state.CycleTimer.LastDuration = time.Since(c.startedAt)
}

// schedulableJobs returns the jobs with tasks that can be placed now, in no particular
// order.
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
	gangMachines := map[*cluster.Job][]*cluster.Machine{}
	for _, start := range starts {
		job, machine := snapshot.jobs[start.JobIndex], snapshot.machines[start.MachineIndex]
		if job.Spec.IsGang() {
			gangMachines[job] = append(gangMachines[job], machine)
		} else {
			s.StartTask(job, machine, now)
		}
	}
	for job, machines := range gangMachines {
		s.StartGang(job, machines, now)
	}
}
