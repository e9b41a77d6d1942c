package scheduling

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// reserveFor adds a reservation for one task of a job on a machine.
func (s *testScheduler) reserveFor(id wire.JobID, machine *cluster.Machine, expiresAt time.Time) {
	machine.Reservations = append(machine.Reservations, cluster.Reservation{Reservation: placement.Reservation{Job: id}, ExpiresAt: expiresAt})
	s.ReservedMachines[machine] = struct{}{}
}

func TestReservationsAreKeptWhileTheyAreNeeded(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *testScheduler, job *cluster.Job, machine *cluster.Machine)
		want   int // reservations that are kept
	}{
		{"needed", func(*testScheduler, *cluster.Job, *cluster.Machine) {}, 1},
		{"expires now", func(_ *testScheduler, _ *cluster.Job, m *cluster.Machine) {
			m.Reservations[0].ExpiresAt = schedulingtest.Now
		}, 1},
		{"expired", func(_ *testScheduler, _ *cluster.Job, m *cluster.Machine) {
			m.Reservations[0].ExpiresAt = schedulingtest.Now.Add(-1)
		}, 0},
		{"machine removed", func(s *testScheduler, _ *cluster.Job, m *cluster.Machine) { delete(s.State.Machines, m.ID) }, 0},
		{"machine replaced", func(s *testScheduler, _ *cluster.Job, m *cluster.Machine) {
			delete(s.State.Machines, m.ID)
			s.State.GetOrAddMachine(m.ID)
		}, 0},
		{"machine scaling in", func(_ *testScheduler, _ *cluster.Job, m *cluster.Machine) { m.ScalingIn = true }, 0},
		{"machine draining", func(_ *testScheduler, _ *cluster.Job, m *cluster.Machine) { m.DrainReason = cluster.DrainSlow }, 0},
		{"job unknown", func(s *testScheduler, j *cluster.Job, _ *cluster.Machine) { delete(s.State.Jobs, j.Spec.ID) }, 0},
		{"job cancelled", func(_ *testScheduler, j *cluster.Job, _ *cluster.Machine) { j.Cancelled = true }, 0},
		{"no pending task", func(_ *testScheduler, j *cluster.Job, _ *cluster.Machine) { j.DoneTasks = j.Spec.Tasks }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			machine, job := s.AddMachine("n-1", "c4", "a"), s.AddJob(schedulingtest.Array("req-1", 2))
			s.reserveFor("req-1", machine, schedulingtest.Now.Add(time.Minute))
			c.change(s, job, machine)
			reserved := s.PruneReservations(schedulingtest.Now)
			if reserved["req-1"] != c.want || len(machine.Reservations) != c.want || len(s.ReservedMachines) != c.want {
				t.Errorf("%s: %d tasks, %d reservations, %d machines; want %d of each",
					c.name, reserved["req-1"], len(machine.Reservations), len(s.ReservedMachines), c.want)
			}
		})
	}
}

func TestSurplusReservationsAreDropped(t *testing.T) {
	s := newTestScheduler(t)
	s.AddJob(schedulingtest.Array("req-1", 2))
	for _, id := range []wire.MachineID{"n-1", "n-2", "n-3"} {
		s.reserveFor("req-1", s.AddMachine(id, "c4", "a"), schedulingtest.Now.Add(time.Minute))
	}
	if reserved := s.PruneReservations(schedulingtest.Now); reserved["req-1"] != 2 || len(s.ReservedMachines) != 2 {
		t.Errorf("%d tasks on %d machines, want 2 on 2", reserved["req-1"], len(s.ReservedMachines))
	}
}

func TestReservationsOfAnIncompleteGangAreDropped(t *testing.T) {
	s := newTestScheduler(t)
	s.AddJob(schedulingtest.Gang("req-1", 2))
	s.AddJob(schedulingtest.Array("req-2", 2))
	first, second := s.AddMachine("n-1", "c4", "a"), s.AddMachine("n-2", "c4", "a")
	for _, machine := range []*cluster.Machine{first, second} {
		s.reserveFor("req-1", machine, schedulingtest.Now.Add(time.Minute))
	}
	s.reserveFor("req-2", first, schedulingtest.Now.Add(time.Minute))
	if reserved := s.PruneReservations(schedulingtest.Now); reserved["req-1"] != 2 || reserved["req-2"] != 1 {
		t.Fatalf("complete: reserved %v, want 2 and 1", reserved)
	}
	second.DrainReason = cluster.DrainSlow
	reserved := s.PruneReservations(schedulingtest.Now)
	if _, kept := reserved["req-1"]; kept || reserved["req-2"] != 1 {
		t.Errorf("incomplete: reserved %v, want only one of req-2", reserved)
	}
	if len(first.Reservations) != 1 || first.Reservations[0].Job != "req-2" || len(s.ReservedMachines) != 1 {
		t.Errorf("reservations %+v on %d machines, want that of req-2 on one", first.Reservations, len(s.ReservedMachines))
	}
}

func TestReservationsOfAGangAreExtendedToTheLatest(t *testing.T) {
	s := newTestScheduler(t)
	s.AddJob(schedulingtest.Gang("req-1", 2))
	s.AddJob(schedulingtest.Array("req-2", 2))
	first, second := s.AddMachine("n-1", "c4", "a"), s.AddMachine("n-2", "c4", "a")
	early, late := schedulingtest.Now.Add(time.Second), schedulingtest.Now.Add(time.Minute)
	s.reserveFor("req-1", first, early)
	s.reserveFor("req-2", first, early)
	s.reserveFor("req-1", second, late)
	s.reserveFor("req-2", second, late)
	s.extendGangReservations()
	for i, want := range []time.Time{late, early} {
		if got := first.Reservations[i]; !got.ExpiresAt.Equal(want) {
			t.Errorf("%s: reserved until %v, want %v", got.Job, got.ExpiresAt, want)
		}
	}
}

func TestReservationOfAGangOutlastsItsPreemptionDelay(t *testing.T) {
	s := newTestScheduler(t)
	s.AddMachine("n-1", "c4", "a")
	s.AddJob(schedulingtest.Array("req-1", 1))
	waitingGang := s.AddJob(schedulingtest.Gang("req-2", 1))
	delay := time.Duration(s.PreemptionDelaySeconds(waitingGang, schedulingtest.Now) * float64(time.Second))
	if delay <= 0 {
		t.Fatalf("the gang has a preemption delay of %v, want one above 0", delay)
	}
	s.reserve([]placement.MachineReservation{
		{Machine: "n-1", Reservation: placement.Reservation{Job: "req-1"}},
		{Machine: "n-1", Reservation: placement.Reservation{Job: "req-2"}},
	}, schedulingtest.Now)
	reservations := s.State.Machines["n-1"].Reservations
	arrayUntil, gangUntil := schedulingtest.Now.Add(s.stopDuration(0)), schedulingtest.Now.Add(s.stopDuration(0)+delay)
	if !reservations[0].ExpiresAt.Equal(arrayUntil) || !reservations[1].ExpiresAt.Equal(gangUntil) {
		t.Errorf("reserved until %v and %v, want %v and %v", reservations[0].ExpiresAt, reservations[1].ExpiresAt, arrayUntil, gangUntil)
	}
}

func TestStopDurationCoversALateHeartbeat(t *testing.T) {
	s := newTestScheduler(t)
	if got, want := s.stopDuration(3), 3*time.Second+2500*time.Millisecond+stopMargin; got != want {
		t.Errorf("grace period 3 s, heartbeats every 2 s: stop duration %v, want %v", got, want)
	}
}
