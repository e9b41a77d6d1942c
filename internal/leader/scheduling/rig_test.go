package scheduling

import (
	"log/slog"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

const testToken wire.FencingToken = 50

// mapOrders is how often a decision is repeated that must not depend on the order of a map.
const mapOrders = 50

// testNow is the time of all decisions of a test.
var testNow = time.Now()

// testScheduler is a scheduler of a small cluster.
type testScheduler struct {
	*Scheduler
	t       *testing.T
	tracker *scaling.Tracker
	values  *tuning.Current
}

// newTestScheduler returns the scheduler of a term that began ten minutes ago, with two
// machine types and no jobs or machines.
func newTestScheduler(t *testing.T) *testScheduler {
	t.Helper()
	settings := &config.Settings{
		Size:  3,
		Zones: []wire.Zone{"a", "b"},
		Teams: []config.Team{
			{Name: "red", CPUs: 16, CPUsMax: 40, GPUsMax: 4},
			{Name: "blue", CPUs: 8},
		},
		Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41, GangWait: 45, GangPeerTimeout: 8},
		Cloud:   config.Cloud{ListLag: 4},
	}
	catalog := &cluster.MachineCatalog{}
	catalog.Set([]wire.MachineSpec{
		{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 50, FetchGBPerS: 1, OnDemandPrice: 0.4, SpotPrice: 0.1, BootTime: 10, Zones: settings.Zones},
		{Name: "c16", CPUs: 16, MemoryGB: 64, DiskGB: 50, FetchGBPerS: 2, OnDemandPrice: 1.2, SpotPrice: 0.8, BootTime: 20, Zones: []wire.Zone{"a"}},
	})
	state := cluster.NewState(settings, catalog, testNow.Add(-10*time.Minute), testToken)
	tracker, values := scaling.New(testToken), tuning.NewCurrent()
	scheduler := NewScheduler(state, values, tracker, slog.New(slog.DiscardHandler))
	return &testScheduler{Scheduler: scheduler, t: t, tracker: tracker, values: values}
}

// addMachine adds a usable machine.
func (s *testScheduler) addMachine(id wire.MachineID, machineType wire.MachineType, zone wire.Zone) *cluster.Machine {
	machine := s.state.GetOrAddMachine(id)
	machine.MachineType, machine.Zone, machine.Token = machineType, zone, testToken
	machine.RequestedAt, machine.FirstHeartbeatAt = testNow.Add(-5*time.Minute), testNow.Add(-4*time.Minute)
	machine.LastUsedAt, machine.LastMessageAt = testNow.Add(-time.Minute), testNow.Add(-time.Second)
	return machine
}

// addJob adds a job that was accepted just now. Without a team or priority it is a standard
// one of the team red.
func (s *testScheduler) addJob(spec wire.JobSpec) *cluster.Job {
	return s.addJobAcceptedAt(spec, testNow)
}

func (s *testScheduler) addJobAcceptedAt(spec wire.JobSpec, acceptedAt time.Time) *cluster.Job {
	if spec.Team == "" {
		spec.Team = "red"
	}
	if spec.Priority == "" {
		spec.Priority = wire.PriorityStandard
	}
	job := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(acceptedAt)}, 1)
	job.AcceptedAt = acceptedAt
	s.state.Jobs[spec.ID] = job
	return job
}

// run makes a pending task of a job run on a machine since a time.
func (s *testScheduler) run(job *cluster.Job, machine *cluster.Machine, since time.Time) *cluster.Attempt {
	s.t.Helper()
	before := len(machine.Tasks)
	s.StartTask(job, machine, since)
	if len(machine.Tasks) != before+1 {
		s.t.Fatalf("no task of %s is pending", job.Spec.ID)
	}
	for _, attempt := range machine.Tasks {
		if attempt.Job == job && attempt.Unstored {
			attempt.Unstored, attempt.RunningSince, attempt.ImageReadyAt = false, since, since
			job.UnstoredAttempts--
			attempt.Chunk.UnstoredAttempts--
			return attempt
		}
	}
	s.t.Fatalf("the started task of %s is not on %s", job.Spec.ID, machine.ID)
	return nil
}

// array returns the description of a job array with tasks of one CPU.
func array(id wire.JobID, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Kind: wire.KindArray, Tasks: tasks, CPUs: 1, MemoryGB: 1, ExpectedRunTime: 60}
}

// gang returns the description of a gang with tasks of two CPUs.
func gang(id wire.JobID, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "sweep", Kind: wire.KindGang, Tasks: tasks, CPUs: 2, MemoryGB: 4, ExpectedRunTime: 60}
}

// service returns the description of a production service with replicas of two CPUs.
func service(id wire.JobID, replicas int) wire.JobSpec {
	return wire.JobSpec{ID: id, Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: replicas, CPUs: 2, MemoryGB: 4}
}
