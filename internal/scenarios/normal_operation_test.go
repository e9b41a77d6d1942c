package scenarios_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/admin"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

func TestJobsRunWithoutFailures(t *testing.T) {
	t.Parallel()
	runScenario(t, 1, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		first, second, serviceJob := array(1, 10, 15), array(2, 6, 20), service(3, 3)
		cancelledJob := service(4, 2)
		sleepUntil(2 * time.Second)
		submitAll(sim, first, serviceJob)
		sim.Submit(cancelledJob, 60*time.Second)
		sleepUntil(30 * time.Second)
		sim.Submit(second, 0)
		sleepUntil(150 * time.Second)
		mustFinish(t, sim, first, second)
		sim.WithChecker(func(c *simulator.Checker) {
			if c.TasksOnMachines(serviceJob.Spec.ID) != 3 || c.TasksOnMachines(cancelledJob.Spec.ID) != 0 {
				t.Errorf("the service has %d replicas, want 3; the cancelled one has %d, want 0", c.TasksOnMachines(serviceJob.Spec.ID), c.TasksOnMachines(cancelledJob.Spec.ID))
			}
		})
		if keys := sim.State.Keys("run/req-000001/"); len(keys) != 0 {
			t.Errorf("progress records of a finished job are left: %v", keys)
		}
		// A repeated submission of a finished job is answered with the job's status.
		status, raw, _ := sim.Ask(1, "POST", "/v1/jobs", simulator.Submission(first.Spec))
		var summary wire.JobSummary
		if status != 200 || wire.Decode(raw, &summary) != nil || summary.Status != wire.StatusDone {
			t.Errorf("repeated submission is answered %d %+v, want 200 and done", status, summary)
		}
	})
}

// Changes of the operators' settings are validated and refused if they name an old version. All
// controllers apply them without a restart, and they survive a restart of all controllers.
func TestOperatorSettings(t *testing.T) {
	t.Parallel()
	runScenario(t, 15, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(3 * time.Second)
		requestSettings := func(node int, method string, body any, out any) int {
			status, raw, _ := sim.AskAsOperator(node, method, "/admin/settings", body)
			if out != nil && wire.Decode(raw, out) != nil {
				t.Errorf("undecodable response to %s of /admin/settings (status %d)", method, status)
			}
			return status
		}
		change := func(version uint64, name string, value any) map[string]any {
			return map[string]any{"version": version, "set": map[string]any{name: value}}
		}
		var listing admin.Listing
		if status := requestSettings(0, "GET", nil, &listing); status != 200 || len(listing.Settings) != len(tuning.Fields) || listing.Version != 0 {
			t.Fatalf("list of settings is answered %d %+v, want 200 with every setting and version 0", status, listing)
		}
		var refusal wire.ErrorBody
		if status := requestSettings(0, "PUT", change(0, "round.period_s", 99.0), &refusal); status != 400 || refusal.Field != "round.period_s" || refusal.Error != "must be 0.2 to 30" {
			t.Errorf("value out of range is answered %d %+v, want 400 with the setting and its range", status, refusal)
		}
		for name, body := range map[string]any{"unknown setting": change(0, "round.colour", 1), "wrong type": change(0, "round.period_s", "fast"), "no version": map[string]any{"set": map[string]any{"log.level": "info"}}, "not a map": 7} {
			if status := requestSettings(0, "PUT", body, nil); status != 400 {
				t.Errorf("%s: answered %d, want 400", name, status)
			}
		}
		if status := requestSettings(1, "PUT", change(0, "round.period_s", 2), nil); status != 200 {
			t.Errorf("change is answered %d, want 200", status)
		}
		if status := requestSettings(2, "PUT", change(0, "round.period_s", 3), nil); status != 409 {
			t.Errorf("change with an old version is answered %d, want 409", status)
		}
		killAll(sim)
		startAll(t, sim)
		time.Sleep(8 * time.Second)
		for i := range 3 {
			if requestSettings(i, "GET", nil, &listing); listing.Settings[3].Name != "round.period_s" || fmt.Sprint(listing.Settings[3].Value) != "2" {
				t.Errorf("controller %d has %+v, want round.period_s with value 2", i, listing.Settings[3])
			}
		}
		sim.State.SetOutage(true)
		if status := requestSettings(0, "PUT", change(uint64(listing.Version), "round.period_s", 4), nil); status != 503 {
			t.Errorf("change during an outage of the key-value store is answered %d, want 503", status)
		}
		sim.State.SetOutage(false)
		sim.Submit(array(1, 1, 100), 0)
		sleepUntil(80 * time.Second)
		status, raw, _ := sim.AskAsOperator(sim.Leader(), "GET", "/metrics", nil)
		if status != 200 || !bytes.Contains(raw, []byte("lilaclead_terms_total 1")) || !bytes.Contains(raw, []byte(`lilaclead_machines{state="up"}`)) {
			t.Errorf("metrics are answered %d, want 200 with one election and the machines that are up\n%s", status, raw)
		}
		var view admin.View
		status, raw, _ = sim.AskAsOperator(sim.Leader(), "GET", "/admin/view", nil)
		if status != 200 || wire.Decode(raw, &view) != nil || !view.Leads || view.Cluster == nil || len(view.Cluster.Machines) == 0 {
			t.Errorf("leader's admin view is answered %d %+v, want 200 and a leader with machines", status, view)
		}
	})
}

// Under a steady overload of small arrays, a large array and one of the lowest priority must still
// start within four minutes.
func TestLargeAndLowPriorityJobsStartUnderOverload(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(3), 35, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		big, low := array(1, 90, 30), array(2, 4, 20)
		big.Spec.CPUs, big.Spec.MemoryGB, big.Spec.Class = 4, 16, "big"
		low.Spec.Priority, low.Spec.Class = wire.PriorityBestEffort, "low"
		sleepUntil(2 * time.Second)
		for n := range 10 {
			sim.Submit(array(100+n, 8, 20), 0)
		}
		sleepUntil(5 * time.Second)
		submitAll(sim, big, low)
		for n := range 60 {
			sleepUntil(time.Duration(6+5*n) * time.Second)
			sim.Submit(array(200+n, 10, 30), 0)
		}
		sleepUntil(310 * time.Second)
	})
}

// Jobs of one task arrive at four a second for minutes, a quarter of them is cancelled, and the
// key-value store enforces its rate limits. The backlog from the boot of the first machines must
// be cleared. After that every job must start at once, and the store must refuse no request. In the
// end only the final records of the jobs may be left.
func TestManySmallJobs(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]config.Settings{"usual": simulator.DefaultSettings(), "small": simulator.ThreeZoneSettings()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, set, 430, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.State.SetRateLimits(set.State.RPS, set.State.WriteRPS)
				users := sim.NewBurstReaders()
				users.BurstLength, users.PollInterval = 0, 3*time.Second
				sleepUntil(2 * time.Second)
				var jobs []simulator.JobScript
				refusalsBefore := 0 // refused requests until the backlog was cleared
				for n := range 600 {
					j := array(1+n, 1, 2)
					jobs = append(jobs, j)
					cancelTime, delay := simulator.NeverCancel, time.Duration(0)
					if n%4 == 0 {
						cancelTime, delay = []simulator.CancelTime{simulator.CancelAtOnce, simulator.CancelAtEnd}[n/4%2], time.Duration(n%16)*150*time.Millisecond
					}
					users.Submit(j, cancelTime, delay)
					time.Sleep(250 * time.Millisecond)
					if n == 449 {
						refusalsBefore, _ = sim.State.RateRefusals()
					}
				}
				markFaultsOver(sim)
				time.Sleep(40 * time.Second)
				done, cancelled := sim.CountEnded(jobs)
				if done+cancelled != len(jobs) || cancelled < 75 {
					t.Errorf("%d jobs are done and %d cancelled of %d, want all to have ended and 75 or more cancelled", done, cancelled, len(jobs))
				}
				longestWait := func(jobs []simulator.JobScript) (longest time.Duration) {
					sim.WithChecker(func(c *simulator.Checker) {
						for _, j := range jobs {
							if d, ok := c.TimeToStart(j.Spec.ID); ok {
								longest = max(longest, d)
							}
						}
					})
					return
				}
				if d := longestWait(jobs); d > 30*time.Second {
					t.Errorf("a job waited for %v, want 30s or less", d)
				}
				if d := longestWait(jobs[450:]); d > time.Second {
					t.Errorf("with machines up and no backlog a job waited for %v, want 1s or less", d)
				}
				switch refusals, peakRate := sim.State.RateRefusals(); {
				case refusals != refusalsBefore:
					t.Errorf("the key-value store refused %d requests without a backlog, want 0", refusals-refusalsBefore)
				case refusals > 300:
					t.Errorf("the key-value store refused %d requests, want 300 or less", refusals)
				case peakRate > int(set.State.RPS)*5/4:
					t.Errorf("%d requests within a second to the key-value store, want at most 5/4 of the limit of %v", peakRate, set.State.RPS)
				}
				mustLeaveNoKeys(t, sim)
				if n := len(sim.State.Keys("past/")); n != len(jobs) {
					t.Errorf("%d final records, want %d", n, len(jobs))
				}
			})
		})
	}
}

// Machines are provisioned for many jobs of one small task together, since many of them fit on the
// smallest machine. For a single such job every machine would be too expensive: without this, a
// hundred of them wait for two minutes, until the first is treated as starving.
func TestSmallJobsShareScaleOutCost(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.DefaultSettings(), 470, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		users := sim.NewBurstReaders()
		users.BurstLength, users.PollInterval = 0, 3*time.Second
		sleepUntil(2 * time.Second)
		var jobs []simulator.JobScript
		for n := range 160 {
			j := array(1+n, 1, 2)
			j.Spec.CPUs = 1
			jobs = append(jobs, j)
			users.Submit(j, simulator.NeverCancel, 0)
			time.Sleep(250 * time.Millisecond)
		}
		sleepUntil(90 * time.Second)
		mustFinish(t, sim, jobs...)
		longestWait := time.Duration(0)
		sim.WithChecker(func(c *simulator.Checker) {
			for _, j := range jobs {
				if d, ok := c.TimeToStart(j.Spec.ID); ok {
					longestWait = max(longestWait, d)
				}
			}
		})
		if longestWait > 40*time.Second {
			t.Errorf("a job waited for %v, want 40s or less", longestWait)
		}
	})
}

// The largest array that the protocol allows can be stored, run, polled and cancelled within the
// limits of the key-value store.
func TestLargestArray(t *testing.T) {
	t.Parallel()
	runScenario(t, 36, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		large, serviceJob := array(1, wire.MaxTasks, 20), service(2, 3)
		large.Spec.ExpectedRunTime = 2
		sleepUntil(2 * time.Second)
		sim.Submit(large, 100*time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(60 * time.Second)
		status, raw, _ := sim.Ask(1, "GET", "/v1/jobs/req-000001", nil)
		var state wire.JobState
		if status != 200 || wire.Decode(raw, &state) != nil || state.Running == 0 {
			t.Errorf("poll is answered %d %+v, want 200 and running tasks", status, state)
		}
		sleepUntil(150 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if tasks, replicas := c.TasksOnMachines(large.Spec.ID), c.TasksOnMachines(serviceJob.Spec.ID); tasks != 0 || replicas != 3 {
				t.Errorf("%d tasks of the cancelled array are on machines, want 0; %d replicas, want 3", tasks, replicas)
			}
		})
	})
}

// With values limited to 4 KiB, the progress records of an array whose tasks all run at once stay
// within the limit, and the array goes on after a change of leader. Otherwise the store refuses
// one record over the limit again and again, and nothing else is written.
func TestSmallValueLimit(t *testing.T) {
	t.Parallel()
	runOnUnevenLayout(t, 52, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		wide, other := array(1, 300, 60), array(2, 3, 10)
		wide.Spec.CPUs, wide.Spec.MemoryGB = 0.1, 0.1
		sleepUntil(2 * time.Second)
		sim.Submit(wide, 0)
		sleepUntil(45 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.TasksOnMachines(wide.Spec.ID); n != 300 {
				t.Errorf("%d of 300 tasks are on machines, want all", n)
			}
		})
		sim.Submit(other, 0)
		sim.KillController(sim.Leader())
		sleepUntil(140 * time.Second)
		mustFinish(t, sim, wide, other)
	})
}

// A deployment works with the smallest limits of the key-value store: two changes in a transaction,
// values of 1 KiB and a few requests a second. Its agent leases are too short for delegates.
func TestMinimalDeployment(t *testing.T) {
	t.Parallel()
	set := simulator.ThreeZoneSettings()
	set.State = config.StoreLimits{RPS: 12, WriteRPS: 8, ValueKB: 1, TxnOps: 2}
	set.Workers = config.Workers{HeartbeatInterval: 4, Lease: 8, CancelTimeout: 12}
	set.Limits = config.ProcessLimits{Cores: 0.1, MemoryMB: 40, FDLimit: 100}
	runWithControllersIn(t, set, unevenZones, 53, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		first, second, cancelledJob := array(1, 40, 20), array(2, 6, 10), array(3, 10, 60)
		sleepUntil(3 * time.Second)
		sim.Submit(first, 0)
		sim.Submit(cancelledJob, 45*time.Second)
		sleepUntil(30 * time.Second)
		sim.Submit(second, 0)
		sleepUntil(60 * time.Second)
		sim.KillController(sim.Leader())
		sleepUntil(240 * time.Second)
		mustFinish(t, sim, first, second)
	})
}
