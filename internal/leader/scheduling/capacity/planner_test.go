package capacity

import (
	"math"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

// requestedMachines returns how many machines a plan requests.
func requestedMachines(plan Plan) int {
	count := 0
	for _, scaleOut := range plan.ScaleOuts {
		count += scaleOut.Count
	}
	return count
}

// dueArray returns the description of an array that needs one machine of the type c4 for
// each task at once.
func dueArray(id wire.JobID, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Kind: wire.KindArray, Tasks: tasks, CPUs: 4, MemoryGB: 4, ExpectedRunTime: 60, Deadline: 61, MachineTypes: []wire.MachineType{"c4"}}
}

func TestPlanRequestsWhatIsMissing(t *testing.T) {
	s := newTestPlanner(t)
	s.AddMachine("n-1", "c4", "a")
	s.AddJob(dueArray("req-1", 3))
	plan := s.plan(true)
	if got := requestedMachines(plan); got != 2 {
		t.Errorf("%d machines requested in %+v, want 2 in addition to the existing one", got, plan.ScaleOuts)
	}
	if plan := s.plan(false); requestedMachines(plan) != 0 {
		t.Errorf("requested %+v though no request may be made", plan.ScaleOuts)
	}
}

func TestPlanCountsPendingScaleOuts(t *testing.T) {
	for _, c := range []struct {
		name          string
		pending, want int
	}{
		{"some are pending", 2, 1},
		{"all are pending", 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			s.AddJob(dueArray("req-1", 3))
			s.Tracker.StartScaleOut(fleet.ScaleOut{Type: "c4", Zone: "a", Count: c.pending}, schedulingtest.Now)
			s.Tracker.StartScaleOut(fleet.ScaleOut{Type: "unknown", Zone: "a", Count: 9}, schedulingtest.Now)
			if got := requestedMachines(s.plan(true)); got != c.want {
				t.Errorf("%d pending of 3: %d machines requested, want %d", c.pending, got, c.want)
			}
		})
	}
}

func TestPlanRequestsNothingUntilEarlierRequestsAreListed(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{
		{5 * time.Second, 0}, // the list's lag of 4 s and a second
		{5*time.Second + 1, 1},
	} {
		s := newTestPlanner(t)
		s.State.TermStartedAt = schedulingtest.Now.Add(-c.age)
		s.AddJob(dueArray("req-1", 1))
		if got := requestedMachines(s.plan(true)); got != c.want {
			t.Errorf("%v after the term began: %d machines requested, want %d", c.age, got, c.want)
		}
	}
}

func TestPlanScalesInIdleMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *testPlanner, machine *cluster.Machine)
		want   bool
	}{
		{"idle for long", func(*testPlanner, *cluster.Machine) {}, true},
		{"idle for less than it is kept", func(_ *testPlanner, m *cluster.Machine) { m.LastUsedAt = schedulingtest.Now.Add(-time.Second) }, false},
		{"with an orphan task", func(_ *testPlanner, m *cluster.Machine) { m.OrphanTasks[wire.TaskID{Job: "req-1"}] = true }, false},
		{"scaling in already", func(_ *testPlanner, m *cluster.Machine) { m.ScalingIn = true }, false},
		{"draining", func(_ *testPlanner, m *cluster.Machine) { m.DrainReason = cluster.DrainSlow }, false},
		{"of an unknown type", func(_ *testPlanner, m *cluster.Machine) { m.MachineType = "" }, false},
		{"with a task", func(s *testPlanner, m *cluster.Machine) {
			s.RunTask(s.AddJob(schedulingtest.Array("req-1", 1)), m, schedulingtest.Now.Add(-time.Minute))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			machine := s.AddMachine("n-1", "c4", "a")
			c.change(s, machine)
			plan := s.plan(true)
			if got := slices.Contains(plan.ScaleIns, machine.ID); got != c.want {
				t.Errorf("%s: scaled in %v, want %v", c.name, got, c.want)
			}
		})
	}
}

func TestUnresponsiveMachinesAreNotDependable(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *testPlanner, machine *cluster.Machine)
		want   bool
	}{
		{"in service", func(*testPlanner, *cluster.Machine) {}, true},
		{"booting", func(_ *testPlanner, m *cluster.Machine) {
			m.Booting, m.RequestedAt = true, schedulingtest.Now.Add(-20*time.Second)
		}, true},
		{"booting for more than two boot times", func(_ *testPlanner, m *cluster.Machine) {
			m.Booting, m.RequestedAt = true, schedulingtest.Now.Add(-20*time.Second-1)
		}, false},
		{"three heartbeats missing", func(_ *testPlanner, m *cluster.Machine) { m.LastMessageAt = schedulingtest.Now.Add(-6 * time.Second) }, true},
		{"more than three missing", func(_ *testPlanner, m *cluster.Machine) { m.LastMessageAt = schedulingtest.Now.Add(-6*time.Second - 1) }, false},
		{"behind a partition", func(s *testPlanner, m *cluster.Machine) {
			s.State.ZoneDetector.CheckZone(m.Zone, detector.ZoneCounts{Machines: 4, LostMachines: 4, AllMachines: 8}, schedulingtest.Now)
		}, false},
		{"its heartbeats don't arrive", func(_ *testPlanner, m *cluster.Machine) {
			m.HeartbeatsMissingSince = schedulingtest.Now.Add(-time.Minute)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			machine := s.AddMachine("n-1", "c4", "a")
			c.change(s, machine)
			spec := s.State.MachineSpec(machine.MachineType)
			if got := s.dependable(machine, spec, schedulingtest.Now); got != c.want {
				t.Errorf("%s: dependable %v, want %v", c.name, got, c.want)
			}
		})
	}
}

func TestPlanMachineDescribesResourcesCostAndTasks(t *testing.T) {
	s := newTestPlanner(t)
	machine := s.AddMachine("n-1", "c16", "a")
	machine.Spot, machine.RequestedAt = true, schedulingtest.Now.Add(-50*time.Second)
	large := schedulingtest.Array("req-1", 1)
	large.CPUs = 3
	s.RunTask(s.AddJob(large), machine, schedulingtest.Now.Add(-10*time.Second))
	s.RunTask(s.AddJob(schedulingtest.Array("req-2", 1)), machine, schedulingtest.Now.Add(-40*time.Second))
	s.RunTask(s.AddJob(schedulingtest.Service("req-3", 1)), machine, schedulingtest.Now.Add(-40*time.Second))
	got := s.planMachine(machine, s.State.MachineSpec("c16"), 0.5, schedulingtest.Now)
	if got.Total.CPUs != 16 || got.Free.CPUs != 10 || got.PricePerHour != 0.8 || got.PrepaidSeconds != 10 || got.KeepIdleSeconds != 10 || got.Idle {
		t.Errorf("machine %+v, want 10 of 16 CPUs free, price 0.8, paid for and kept for 10 s, not idle", got)
	}
	if got.ServiceTasks != 1 || got.LargestBatchTask.CPUs != 3 {
		t.Errorf("%d services, largest task of %v CPUs; want 1, 3", got.ServiceTasks, got.LargestBatchTask.CPUs)
	}
	if len(got.ExpectedReleases) != 2 || got.ExpectedReleases[0].InSeconds != 20 || got.ExpectedReleases[1].InSeconds != 50 {
		t.Errorf("expected releases %+v, want one in 20 s and one in 50 s", got.ExpectedReleases)
	}
}

func TestOffersLeaveOutWhatCannotBeRequested(t *testing.T) {
	s := newTestPlanner(t)
	specs := s.State.Catalog.Get()
	if offers := s.Offers(specs, schedulingtest.Now); len(offers) != 6 {
		t.Fatalf("%d offers, want 6: c4 in two zones and c16 in one, on demand and spot", len(offers))
	}
	refused := s.Tracker.StartScaleOut(fleet.ScaleOut{Type: "c4", Zone: "a", Spot: true, Count: 1}, schedulingtest.Now)
	if got := len(s.Offers(specs, schedulingtest.Now)); got != 5 {
		t.Errorf("a request is pending: %d offers, want 5", got)
	}
	s.Tracker.FinishScaleOut(refused, scaling.Answer{Err: cloud.ErrNoCapacity}, schedulingtest.Now)
	if got := len(s.Offers(specs, schedulingtest.Now)); got != 5 {
		t.Errorf("an offer was refused: %d offers, want 5", got)
	}
	s.State.ZoneDetector.CheckZone("a", detector.ZoneCounts{Machines: 4, LostMachines: 4, AllMachines: 8}, schedulingtest.Now)
	offers := s.Offers(specs, schedulingtest.Now)
	if len(offers) != 2 {
		t.Fatalf("zone a is partitioned: offers %+v, want 2", offers)
	}
	for i, spot := range []bool{false, true} {
		if o := offers[i]; o.Type != "c4" || o.Zone != "b" || o.Spot != spot || o.MaxCount != maxMachinesPerOffer || o.Total.CPUs != 4 {
			t.Errorf("offer %+v, want c4 in zone b, spot %v", o, spot)
		}
	}
}

func TestLowestTaskPriceIsOfTheCheapestFittingType(t *testing.T) {
	s := newTestPlanner(t)
	specs := s.State.Catalog.Get()
	for _, c := range []struct {
		name string
		spec wire.JobSpec
		want float64
	}{
		{"on demand", wire.JobSpec{CPUs: 1}, 1.2 / 16},
		{"spot allowed", wire.JobSpec{CPUs: 1, SpotAllowed: true}, 0.1 / 4},
		{"only a large type fits", wire.JobSpec{CPUs: 8, SpotAllowed: true}, 0.8 / 2},
		{"no type fits", wire.JobSpec{CPUs: 99}, math.Inf(1)},
	} {
		if got := lowestTaskPrice(specs, &c.spec); got != c.want {
			t.Errorf("%s: lowest price %v per hour, want %v", c.name, got, c.want)
		}
	}
}

func TestCordonsFollowThePlan(t *testing.T) {
	s := newTestPlanner(t)
	considered, named, other := s.AddMachine("n-1", "c4", "a"), s.AddMachine("n-2", "c4", "a"), s.AddMachine("n-3", "c4", "a")
	considered.Cordoned, other.Cordoned = true, true
	s.ApplyCordons(Plan{
		Plan:       fleet.Plan{Cordons: []wire.MachineID{named.ID}},
		candidates: []*cluster.Machine{considered, named},
	})
	if considered.Cordoned || !named.Cordoned || !other.Cordoned {
		t.Errorf("cordoned: considered %v, named %v, other %v; want false, true, true", considered.Cordoned, named.Cordoned, other.Cordoned)
	}
}
