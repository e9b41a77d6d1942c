package scheduling

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

func TestCycleWithoutWaitingJobsDoesNothing(t *testing.T) {
	s := newTestScheduler(t)
	s.AddMachine("n-1", "c4", "a")
	s.AddJob(schedulingtest.Array("req-1", 1)).Cancelled = true
	if cycle := s.BeginCycle(schedulingtest.Now); cycle != nil {
		t.Errorf("cycle %+v without a waiting job, want none", cycle)
	}
	if !s.State.CycleTimer.LastAt.Equal(schedulingtest.Now) {
		t.Errorf("the last cycle was at %v, want %v", s.State.CycleTimer.LastAt, schedulingtest.Now)
	}
}

func TestCycleStartsPendingTasks(t *testing.T) {
	s := newTestScheduler(t)
	machine := s.AddMachine("n-1", "c4", "a")
	job := s.AddJob(schedulingtest.Array("req-1", 3))
	cycle := s.BeginCycle(schedulingtest.Now)
	if cycle == nil || cycle.Starts != 3 || len(cycle.Preemptions) != 0 {
		t.Fatalf("cycle %+v, want 3 starts", cycle)
	}
	s.FinishCycle(cycle)
	if job.ActiveTasks != 3 || job.UnstoredAttempts != 3 || !job.LastStartAt.Equal(schedulingtest.Now) {
		t.Errorf("%d active, %d unstored tasks, last start at %v; want 3, 3, %v", job.ActiveTasks, job.UnstoredAttempts, job.LastStartAt, schedulingtest.Now)
	}
	numbers := map[wire.AttemptNumber]bool{}
	for _, attempt := range machine.Attempts {
		numbers[attempt.Number] = true
	}
	if len(numbers) != 3 || !numbers[1] || !numbers[3] || job.Chunk(0).NextAttempt != 4 {
		t.Errorf("attempts %v, next %d; want 1 to 3, next 4", numbers, job.Chunk(0).NextAttempt)
	}
	if _, dirty := s.State.UnsavedChanges.Chunks[job.Chunk(0)]; !dirty {
		t.Error("the chunk is not marked as dirty")
	}
}

func TestCycleStartsAGangAsAWhole(t *testing.T) {
	s := newTestScheduler(t)
	s.AddMachine("n-1", "c4", "a")
	gang := s.AddJob(schedulingtest.Gang("req-1", 3))
	if cycle := s.BeginCycle(schedulingtest.Now); cycle.Starts != 0 || gang.ActiveTasks != 0 || gang.Gang != nil {
		t.Fatalf("%d starts of a gang that needs more machines, want none", cycle.Starts)
	}
	s.AddMachine("n-2", "c4", "a")
	gang.Chunk(0).NextAttempt = 5
	if cycle := s.BeginCycle(schedulingtest.Now); cycle.Starts != 3 {
		t.Fatalf("%d starts of a gang that fits, want 3", cycle.Starts)
	}
	for _, attempt := range gang.Attempts() {
		if attempt.Number != 5 || !attempt.Unstored {
			t.Errorf("task %v has attempt %d, unstored %v; want 5, true", attempt.Task(), attempt.Number, attempt.Unstored)
		}
	}
	if next := gang.Chunk(0).NextAttempt; next != 6 || gang.Gang.AttemptNumber != 5 {
		t.Errorf("gang attempt %d, next %d; want 5, 6", gang.Gang.AttemptNumber, next)
	}
}

func TestCyclePreemptsForAnUrgentJobAndReservesTheResources(t *testing.T) {
	s := newTestScheduler(t)
	machine := s.AddMachine("n-1", "c4", "a")
	running := s.AddJob(schedulingtest.Array("req-1", 4))
	for range 4 {
		s.RunTask(running, machine, schedulingtest.Now.Add(-10*time.Second))
	}
	spec := schedulingtest.Array("req-2", 1)
	spec.Priority = wire.PriorityUrgent
	urgent := s.AddJobAcceptedAt(spec, schedulingtest.Now.Add(-10*time.Second)) // its preemption delay is over
	cycle := s.BeginCycle(schedulingtest.Now)
	if cycle == nil || cycle.Starts != 0 || len(cycle.Preemptions) != 1 || cycle.Preemptions[0].Task.Job != "req-1" {
		t.Fatalf("cycle %+v, want the preemption of one task of req-1", cycle)
	}
	if len(machine.Reservations) != 1 || machine.Reservations[0].Job != urgent.Spec.ID {
		t.Fatalf("reservations %+v, want one for req-2", machine.Reservations)
	}
	if want := schedulingtest.Now.Add(s.stopDuration(0)); !machine.Reservations[0].ExpiresAt.Equal(want) {
		t.Errorf("reserved until %v, want %v", machine.Reservations[0].ExpiresAt, want)
	}

	preempted := s.State.ActiveAttempt(cycle.Preemptions[0].Task)
	preempted.GracePeriod = 7
	s.ExtendReservations(preempted, schedulingtest.Now)
	if want := schedulingtest.Now.Add(s.stopDuration(7)); !machine.Reservations[0].ExpiresAt.Equal(want) {
		t.Errorf("with the grace period: reserved until %v, want %v", machine.Reservations[0].ExpiresAt, want)
	}

	s.State.EndAttempt(preempted, cluster.TaskPending)
	if cycle := s.BeginCycle(schedulingtest.Now.Add(time.Second)); cycle.Starts != 1 || urgent.ActiveTasks != 1 || len(machine.Reservations) != 0 {
		t.Errorf("%d starts, %d active tasks of req-2, reservations %+v; want 1, 1, none", cycle.Starts, urgent.ActiveTasks, machine.Reservations)
	}
}

func TestJobWithFailuresStartsFewTasks(t *testing.T) {
	for _, c := range []struct {
		name             string
		failures, active int
		want             int
	}{
		{"no failures", 0, 0, 4},
		{"failures, no active task", 1, 0, 2},
		{"failures, one active task", 1, 1, 1},
		{"failures, several active tasks", 1, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			machine := s.AddMachine("n-1", "c16", "a")
			job := s.AddJob(schedulingtest.Array("req-1", 4+c.active))
			for range c.active {
				s.RunTask(job, machine, schedulingtest.Now)
			}
			job.TaskFailures = c.failures
			if cycle := s.BeginCycle(schedulingtest.Now); cycle.Starts != c.want {
				t.Errorf("%d starts, want %d", cycle.Starts, c.want)
			}
		})
	}
}

func TestTeamLimitIsReservedForTheGangThatHasWaitedLong(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		want   wire.JobID
		rank   int
	}{
		{"has not waited long", limitReservationDelay - 1, "", 0},
		{"has waited long", limitReservationDelay, "req-1", wire.PriorityStandard.Rank()},
		{"is overdue", 3 * time.Minute, "req-1", wire.PriorityProd.Rank()},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			job := s.AddJobAcceptedAt(schedulingtest.Gang("req-1", 3), schedulingtest.Now.Add(-c.waited))
			team := s.snapshot([]*cluster.Job{job}, schedulingtest.Now).placement.Teams["red"]
			if team.ReservedFor != c.want || team.ReservedRank != c.rank {
				t.Errorf("reserved for %q with rank %d, want %q with rank %d", team.ReservedFor, team.ReservedRank, c.want, c.rank)
			}
			if c.want != "" && team.Reserved.CPUs != 6 {
				t.Errorf("%v CPUs reserved, want 6", team.Reserved.CPUs)
			}
		})
	}
}

func TestTeamUsageCountsOrphanTasks(t *testing.T) {
	s := newTestScheduler(t)
	machine := s.AddMachine("n-1", "c4", "a")
	job := s.AddJob(schedulingtest.Array("req-1", 4))
	s.RunTask(job, machine, schedulingtest.Now)
	machine.OrphanTasks[wire.TaskID{Job: "req-1", Index: 3}] = true
	machine.OrphanTasks[wire.TaskID{Job: "unknown", Index: 0}] = true
	teams := teamUsage(s.State)
	if got := teams["red"].Used.CPUs; got != 2 {
		t.Errorf("team red uses %v CPUs, want 2", got)
	}
	if teams["red"].Limit.CPUs != 40 || teams["blue"].Used.CPUs != 0 {
		t.Errorf("limit of red %v, usage of blue %v; want 40, 0", teams["red"].Limit.CPUs, teams["blue"].Used.CPUs)
	}
}

func TestFullMachinesAreDescribedOnDemand(t *testing.T) {
	s := newTestScheduler(t)
	s.Tuning.Set(withoutReserves(s.Tuning.Get()))
	full, free := s.AddMachine("n-1", "c4", "a"), s.AddMachine("n-2", "c4", "a")
	running := s.AddJob(schedulingtest.Array("req-1", 4))
	for range 4 {
		s.RunTask(running, full, schedulingtest.Now.Add(-time.Minute))
	}
	waiting := s.AddJob(schedulingtest.Gang("req-2", 1))
	snapshot := s.snapshot([]*cluster.Job{waiting}, schedulingtest.Now)
	if len(snapshot.machines) != 1 || snapshot.machines[0] != free || len(snapshot.placement.Machines) != 1 {
		t.Errorf("machines %v, want only n-2", snapshot.machines)
	}
	rest := snapshot.placement.FullMachines()
	if len(rest) != 1 || rest[0].ID != full.ID || len(rest[0].Victims) != 4 {
		t.Errorf("full machines %+v, want n-1 with four victims", rest)
	}
}

func TestStoppedTaskThatDoesNotEndFreesNothing(t *testing.T) {
	s := newTestScheduler(t)
	machine := s.AddMachine("n-1", "c4", "a")
	attempt := s.RunTask(s.AddJob(schedulingtest.Array("req-1", 1)), machine, schedulingtest.Now.Add(-time.Minute))
	attempt.Stopping, attempt.GracePeriod = true, 3
	waiting := s.AddJob(schedulingtest.Gang("req-2", 1))
	for _, c := range []struct {
		sinceStopRequest time.Duration
		want             float64 // CPUs that are about to be free
	}{
		{s.stopDuration(3) - 1, 1},
		{s.stopDuration(3), 0},
	} {
		attempt.StopRequestedAt = schedulingtest.Now.Add(-c.sinceStopRequest)
		view := s.snapshot([]*cluster.Job{waiting}, schedulingtest.Now).placement.Machines[0]
		if view.StoppingResources.CPUs != c.want || len(view.Victims) != 0 {
			t.Errorf("stopped for %v: %v CPUs stopping, %d victims; want %v, 0", c.sinceStopRequest, view.StoppingResources.CPUs, len(view.Victims), c.want)
		}
	}
}

// withoutReserves returns tuning values that keep no resources free for the next replicas and
// gangs.
func withoutReserves(values tuning.Values) tuning.Values {
	values.SpareReplicas, values.SpareGangs = 0, 0
	return values
}

func TestCapacityPlanKeepsAnIdleMachineForAnExpectedGang(t *testing.T) {
	for _, c := range []struct {
		name       string
		spareGangs float64
		want       int // machines scaled in
	}{
		{"resources are kept for one gang", 1, 0},
		{"none are kept", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			values := withoutReserves(s.Tuning.Get())
			values.SpareGangs = c.spareGangs
			s.Tuning.Set(values)
			s.AddMachine("n-1", "c4", "a")
			s.AddJob(schedulingtest.Gang("req-1", 2))
			s.ExpectedGangs(c.spareGangs, schedulingtest.Now)
			delete(s.State.Jobs, "req-1")
			plan := s.PlanCapacity(s.State.Catalog.Get(), true, schedulingtest.Now)
			if len(plan.ScaleIns) != c.want || len(plan.ScaleOuts) != 0 {
				t.Errorf("%s: scaled in %v, out %v; want %d in, none out", c.name, plan.ScaleIns, plan.ScaleOuts, c.want)
			}
		})
	}
}
