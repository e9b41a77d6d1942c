package scheduling

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestCycleWithoutWaitingJobsDoesNothing(t *testing.T) {
	s := newTestScheduler(t)
	s.addMachine("n-1", "c4", "a")
	s.addJob(array("req-1", 1)).Cancelled = true
	if cycle := s.BeginCycle(testNow); cycle != nil {
		t.Errorf("cycle %+v, want none", cycle)
	}
	if !s.state.Cycle.LastAt.Equal(testNow) {
		t.Errorf("the last cycle was at %v, want %v", s.state.Cycle.LastAt, testNow)
	}
}

func TestCycleStartsPendingTasks(t *testing.T) {
	s := newTestScheduler(t)
	machine := s.addMachine("n-1", "c4", "a")
	job := s.addJob(array("req-1", 3))
	cycle := s.BeginCycle(testNow)
	if cycle == nil || cycle.Starts != 3 || len(cycle.Preemptions) != 0 {
		t.Fatalf("cycle %+v, want 3 starts", cycle)
	}
	s.FinishCycle(cycle)
	if job.ActiveTasks != 3 || job.UnstoredAttempts != 3 || !job.LastStartAt.Equal(testNow) {
		t.Errorf("%d active, %d unstored tasks, last start at %v; want 3, 3, %v", job.ActiveTasks, job.UnstoredAttempts, job.LastStartAt, testNow)
	}
	numbers := map[wire.Attempt]bool{}
	for _, attempt := range machine.Tasks {
		numbers[attempt.Number] = true
	}
	if len(numbers) != 3 || !numbers[1] || !numbers[3] || job.Chunk(0).NextAttempt != 4 {
		t.Errorf("attempts %v, next %d; want 1 to 3, next 4", numbers, job.Chunk(0).NextAttempt)
	}
	if _, dirty := s.state.Unsaved.Chunks[job.Chunk(0)]; !dirty {
		t.Error("the chunk is not marked as dirty")
	}
}

func TestCycleStartsAGangAsAWhole(t *testing.T) {
	s := newTestScheduler(t)
	s.addMachine("n-1", "c4", "a")
	tooLarge := s.addJob(gang("req-1", 3))
	if cycle := s.BeginCycle(testNow); cycle.Starts != 0 || tooLarge.ActiveTasks != 0 || tooLarge.Gang != nil {
		t.Fatalf("%d starts of a gang that needs more machines, want none", cycle.Starts)
	}
	s.addMachine("n-2", "c4", "a")
	tooLarge.Chunk(0).NextAttempt = 5
	if cycle := s.BeginCycle(testNow); cycle.Starts != 3 {
		t.Fatalf("%d starts of a gang that fits, want 3", cycle.Starts)
	}
	for _, attempt := range tooLarge.Attempts() {
		if attempt.Number != 5 || !attempt.Unstored {
			t.Errorf("task %v has attempt %d, unstored %v; want 5, true", attempt.Task(), attempt.Number, attempt.Unstored)
		}
	}
	if next := tooLarge.Chunk(0).NextAttempt; next != 6 || tooLarge.Gang.Number != 5 {
		t.Errorf("gang attempt %d, next %d; want 5, 6", tooLarge.Gang.Number, next)
	}
}

func TestCyclePreemptsForAnUrgentJobAndReservesTheResources(t *testing.T) {
	s := newTestScheduler(t)
	machine := s.addMachine("n-1", "c4", "a")
	running := s.addJob(array("req-1", 4))
	for range 4 {
		s.run(running, machine, testNow.Add(-10*time.Second))
	}
	spec := array("req-2", 1)
	spec.Priority = wire.PriorityUrgent
	urgent := s.addJobAcceptedAt(spec, testNow.Add(-10*time.Second)) // its patience is over
	cycle := s.BeginCycle(testNow)
	if cycle == nil || cycle.Starts != 0 || len(cycle.Preemptions) != 1 || cycle.Preemptions[0].Task.Job != "req-1" {
		t.Fatalf("cycle %+v, want the preemption of one task of req-1", cycle)
	}
	if len(machine.Reservations) != 1 || machine.Reservations[0].Job != urgent.Spec.ID {
		t.Fatalf("reservations %+v, want one for req-2", machine.Reservations)
	}
	if want := testNow.Add(s.stopDuration(0)); !machine.Reservations[0].Until.Equal(want) {
		t.Errorf("reserved until %v, want %v", machine.Reservations[0].Until, want)
	}

	preempted := s.state.ActiveAttempt(cycle.Preemptions[0].Task)
	preempted.GracePeriod = 7
	s.ExtendReservations(preempted, testNow)
	if want := testNow.Add(s.stopDuration(7)); !machine.Reservations[0].Until.Equal(want) {
		t.Errorf("with the grace period: reserved until %v, want %v", machine.Reservations[0].Until, want)
	}

	s.state.EndAttempt(preempted, cluster.TaskPending)
	if cycle := s.BeginCycle(testNow.Add(time.Second)); cycle.Starts != 1 || urgent.ActiveTasks != 1 || len(machine.Reservations) != 0 {
		t.Errorf("%d starts, %d active tasks of req-2, reservations %+v; want 1, 1, none", cycle.Starts, urgent.ActiveTasks, machine.Reservations)
	}
}

func TestSuspectJobStartsFewTasks(t *testing.T) {
	for _, c := range []struct {
		name             string
		failures, active int
		want             int
	}{
		{"never failed", 0, 0, 4},
		{"failed, nothing active", 1, 0, 2},
		{"failed, one active", 1, 1, 1},
		{"failed, several active", 1, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			machine := s.addMachine("n-1", "c16", "a")
			job := s.addJob(array("req-1", 4+c.active))
			for range c.active {
				s.run(job, machine, testNow)
			}
			job.Failures = c.failures
			if cycle := s.BeginCycle(testNow); cycle.Starts != c.want {
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
		{"just accepted", reserveLimitAfter - 1, "", 0},
		{"has waited long", reserveLimitAfter, "req-1", wire.PriorityStandard.Rank()},
		{"is overdue", 3 * time.Minute, "req-1", wire.PriorityProd.Rank()},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			job := s.addJobAcceptedAt(gang("req-1", 3), testNow.Add(-c.waited))
			team := s.snapshot([]*cluster.Job{job}, testNow).placement.Teams["red"]
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
	machine := s.addMachine("n-1", "c4", "a")
	job := s.addJob(array("req-1", 4))
	s.run(job, machine, testNow)
	machine.OrphanTasks[wire.Task{Job: "req-1", Index: 3}] = true
	machine.OrphanTasks[wire.Task{Job: "unknown", Index: 0}] = true
	teams := teamUsage(s.state)
	if got := teams["red"].Used.CPUs; got != 2 {
		t.Errorf("team red uses %v CPUs, want 2", got)
	}
	if teams["red"].Limit.CPUs != 40 || teams["blue"].Used.CPUs != 0 {
		t.Errorf("limit of red %v, usage of blue %v; want 40, 0", teams["red"].Limit.CPUs, teams["blue"].Used.CPUs)
	}
}

func TestFullMachinesAreDescribedOnDemand(t *testing.T) {
	s := newTestScheduler(t)
	s.values.Set(withoutReserves(s.values.Get()))
	full, free := s.addMachine("n-1", "c4", "a"), s.addMachine("n-2", "c4", "a")
	running := s.addJob(array("req-1", 4))
	for range 4 {
		s.run(running, full, testNow.Add(-time.Minute))
	}
	waiting := s.addJob(gang("req-2", 1))
	snapshot := s.snapshot([]*cluster.Job{waiting}, testNow)
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
	machine := s.addMachine("n-1", "c4", "a")
	attempt := s.run(s.addJob(array("req-1", 1)), machine, testNow.Add(-time.Minute))
	attempt.Stopping, attempt.GracePeriod = true, 3
	waiting := s.addJob(gang("req-2", 1))
	for _, c := range []struct {
		since time.Duration
		want  float64
	}{
		{s.stopDuration(3) - 1, 1},
		{s.stopDuration(3), 0},
	} {
		attempt.StopRequestedAt = testNow.Add(-c.since)
		view := s.snapshot([]*cluster.Job{waiting}, testNow).placement.Machines[0]
		if view.Stopping.CPUs != c.want || len(view.Victims) != 0 {
			t.Errorf("stopped for %v: %v CPUs stopping, %d victims; want %v, 0", c.since, view.Stopping.CPUs, len(view.Victims), c.want)
		}
	}
}
