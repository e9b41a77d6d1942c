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
	runScenario(t, 1, func(sim *simulator.Simulation, at func(time.Duration)) {
		a, b, s := array(1, 10, 15), array(2, 6, 20), service(3, 3)
		cancelledJob := service(4, 2)
		at(2 * time.Second)
		submitAll(sim, a, s)
		sim.Submit(cancelledJob, 60*time.Second)
		at(30 * time.Second)
		sim.Submit(b, 0)
		at(150 * time.Second)
		mustFinish(t, sim, a, b)
		sim.WithChecker(func(c *simulator.Checker) {
			if c.OnMachines(s.Spec.ID) != 3 || c.OnMachines(cancelledJob.Spec.ID) != 0 {
				t.Errorf("service has %d of 3 replicas, the cancelled one %d of 0", c.OnMachines(s.Spec.ID), c.OnMachines(cancelledJob.Spec.ID))
			}
		})
		if keys := sim.State.Keys("run/req-000001/"); len(keys) != 0 {
			t.Errorf("progress of a finished job is left: %v", keys)
		}
		// A repeat of a finished job's submission is answered with its state.
		status, raw, _ := sim.Ask(1, "POST", "/v1/jobs", simulator.Submission(a.Spec))
		var brief wire.JobSummary
		if status != 200 || wire.Decode(raw, &brief) != nil || brief.Status != wire.StatusDone {
			t.Errorf("repeat answered %d %+v", status, brief)
		}
	})
}

// Operators' settings: checked, guarded by their version, applied by all
// nodes without a restart, and kept when all nodes end.
func TestOperatorSettings(t *testing.T) {
	t.Parallel()
	runScenario(t, 15, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(3 * time.Second)
		ask := func(i int, method string, body any, out any) int {
			status, raw, _ := sim.AskAsOperator(i, method, "/admin/settings", body)
			if out != nil && wire.Decode(raw, out) != nil {
				t.Errorf("unreadable answer to %s (%d)", method, status)
			}
			return status
		}
		set := func(version uint64, k string, v any) map[string]any {
			return map[string]any{"version": version, "set": map[string]any{k: v}}
		}
		var l admin.Listing
		if status := ask(0, "GET", nil, &l); status != 200 || len(l.Settings) != len(tuning.Fields) || l.Version != 0 {
			t.Fatalf("listing %d %+v", status, l)
		}
		var why wire.ErrorBody
		if status := ask(0, "PUT", set(0, "round.period_s", 99.0), &why); status != 400 || why.Field != "round.period_s" || why.Error != "must be 0.2 to 30" {
			t.Errorf("out of range: %d %+v", status, why)
		}
		for name, body := range map[string]any{"unknown": set(0, "round.colour", 1), "type": set(0, "round.period_s", "fast"), "no version": map[string]any{"set": map[string]any{"log.level": "info"}}, "no map": 7} {
			if status := ask(0, "PUT", body, nil); status != 400 {
				t.Errorf("%s: %d", name, status)
			}
		}
		if status := ask(1, "PUT", set(0, "round.period_s", 2), nil); status != 200 {
			t.Errorf("set: %d", status)
		}
		if status := ask(2, "PUT", set(0, "round.period_s", 3), nil); status != 409 {
			t.Errorf("set with an old version: %d", status)
		}
		killAll(sim)
		startAll(t, sim)
		time.Sleep(8 * time.Second)
		for i := range 3 {
			if ask(i, "GET", nil, &l); l.Settings[3].Name != "round.period_s" || fmt.Sprint(l.Settings[3].Value) != "2" {
				t.Errorf("node %d has %+v", i, l.Settings[3])
			}
		}
		sim.State.Outage(true)
		if status := ask(0, "PUT", set(uint64(l.Version), "round.period_s", 4), nil); status != 503 {
			t.Errorf("set in an outage: %d", status)
		}
		sim.State.Outage(false)
		sim.Submit(array(1, 1, 100), 0)
		at(80 * time.Second)
		status, raw, _ := sim.AskAsOperator(sim.Leader(), "GET", "/metrics", nil)
		if status != 200 || !bytes.Contains(raw, []byte("lilaclead_terms_total 1")) || !bytes.Contains(raw, []byte(`lilaclead_machines{state="up"}`)) {
			t.Errorf("metrics: %d\n%s", status, raw)
		}
		var v admin.View
		status, raw, _ = sim.AskAsOperator(sim.Leader(), "GET", "/admin/view", nil)
		if status != 200 || wire.Decode(raw, &v) != nil || !v.Leads || v.Term == nil || len(v.Term.Machines) == 0 {
			t.Errorf("view: %d %+v", status, v)
		}
	})
}

// Under a steady overload of small arrays a large one and one of the lowest
// priority must begin within four minutes all the same.
func TestLargestJobStartsUnderOverload(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(3), 35, func(sim *simulator.Simulation, at func(time.Duration)) {
		big, low := array(1, 90, 30), array(2, 4, 20)
		big.Spec.CPUs, big.Spec.MemoryGB, big.Spec.Class = 4, 16, "big"
		low.Spec.Priority, low.Spec.Class = wire.PriorityBestEffort, "low"
		at(2 * time.Second)
		for n := range 10 {
			sim.Submit(array(100+n, 8, 20), 0)
		}
		at(5 * time.Second)
		submitAll(sim, big, low)
		for n := range 60 {
			at(time.Duration(6+5*n) * time.Second)
			sim.Submit(array(200+n, 10, 30), 0)
		}
		at(310 * time.Second)
	})
}

// One-task jobs come four a second for minutes, a quarter is cancelled, and the
// key-value store holds to its rates. What has gathered while the first machines
// boot must be worked off, then all must begin at once and nothing be refused any
// more; and nothing may be left of them but their final records.
func TestManySmallJobs(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]config.Settings{"usual": simulator.DefaultSettings(), "small": simulator.GasSettings()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, set, 430, func(sim *simulator.Simulation, at func(time.Duration)) {
				sim.State.SetRateLimits(set.State.RPS, set.State.WriteRPS)
				l := sim.NewBurstReaders()
				l.BurstLength, l.PollInterval = 0, 3*time.Second
				at(2 * time.Second)
				var all []simulator.JobScript
				before := 0
				for n := range 600 {
					j := array(1+n, 1, 2)
					all = append(all, j)
					c, after := simulator.NeverCancel, time.Duration(0)
					if n%4 == 0 {
						c, after = []simulator.CancelTime{simulator.CancelAtOnce, simulator.CancelAtEnd}[n/4%2], time.Duration(n%16)*150*time.Millisecond
					}
					l.Submit(j, c, after)
					time.Sleep(250 * time.Millisecond)
					if n == 449 {
						before, _ = sim.State.RateRefusals()
					}
				}
				markFaultsOver(sim)
				time.Sleep(40 * time.Second)
				done, cancelled := sim.CountEnded(all)
				if done+cancelled != len(all) || cancelled < 75 {
					t.Errorf("%d done, %d cancelled of %d", done, cancelled, len(all))
				}
				longest := func(jobs []simulator.JobScript) (longest time.Duration) {
					sim.WithChecker(func(c *simulator.Checker) {
						for _, j := range jobs {
							if d, ok := c.TimeToStart(j.Spec.ID); ok {
								longest = max(longest, d)
							}
						}
					})
					return
				}
				if d := longest(all); d > 30*time.Second {
					t.Errorf("a job waited for %v", d)
				}
				if d := longest(all[450:]); d > time.Second {
					t.Errorf("with machines up and nothing gathered a job waited for %v", d)
				}
				switch refusals, most := sim.State.RateRefusals(); {
				case refusals != before:
					t.Errorf("the state service refuses %d requests with nothing gathered", refusals-before)
				case refusals > 300:
					t.Errorf("the state service refused %d requests", refusals)
				case most > int(set.State.RPS)*5/4:
					t.Errorf("%d requests in a second to a state service for %v", most, set.State.RPS)
				}
				mustLeaveNoKeys(t, sim)
				if n := len(sim.State.Keys("past/")); n != len(all) {
					t.Errorf("%d final records of %d", n, len(all))
				}
			})
		})
	}
}

// Jobs of one small task each, many of which fit on the smallest machine, are
// provisioned for together: for one of them alone every machine would be too dear. (A
// hundred of them waited two minutes, until the first was taken for starving.)
func TestSmallJobsShareScaleOutCost(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.DefaultSettings(), 470, func(sim *simulator.Simulation, at func(time.Duration)) {
		l := sim.NewBurstReaders()
		l.BurstLength, l.PollInterval = 0, 3*time.Second
		at(2 * time.Second)
		var all []simulator.JobScript
		for n := range 160 {
			j := array(1+n, 1, 2)
			j.Spec.CPUs = 1
			all = append(all, j)
			l.Submit(j, simulator.NeverCancel, 0)
			time.Sleep(250 * time.Millisecond)
		}
		at(90 * time.Second)
		mustFinish(t, sim, all...)
		longest := time.Duration(0)
		sim.WithChecker(func(c *simulator.Checker) {
			for _, j := range all {
				if d, ok := c.TimeToStart(j.Spec.ID); ok {
					longest = max(longest, d)
				}
			}
		})
		if longest > 40*time.Second {
			t.Errorf("a job waited for %v", longest)
		}
	})
}

// The largest array that the protocol allows is stored, run, polled and
// cancelled within the limits of the key-value store.
func TestHundredThousandTasks(t *testing.T) {
	t.Parallel()
	runScenario(t, 36, func(sim *simulator.Simulation, at func(time.Duration)) {
		j, s := array(1, wire.MaxTasks, 20), service(2, 3)
		j.Spec.ExpectedRunTime = 2
		at(2 * time.Second)
		sim.Submit(j, 100*time.Second)
		sim.Submit(s, 0)
		at(60 * time.Second)
		status, raw, _ := sim.Ask(1, "GET", "/v1/jobs/req-000001", nil)
		var st wire.JobState
		if status != 200 || wire.Decode(raw, &st) != nil || st.Running == 0 {
			t.Errorf("poll answered %d %+v", status, st)
		}
		at(150 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n, r := c.OnMachines(j.Spec.ID), c.OnMachines(s.Spec.ID); n != 0 || r != 3 {
				t.Errorf("%d tasks of the cancelled array, %d of 3 replicas", n, r)
			}
		})
	})
}

// Values of 4 KiB: the progress of an array whose tasks are all on machines at
// once stays within them, and starts again after a change of leader. (One record
// over the limit was refused again and again, and nothing else was written.)
func TestSmallValueLimit(t *testing.T) {
	t.Parallel()
	runOnUnevenLayout(t, 52, func(sim *simulator.Simulation, at func(time.Duration)) {
		wide, other := array(1, 300, 60), array(2, 3, 10)
		wide.Spec.CPUs, wide.Spec.MemoryGB = 0.1, 0.1
		at(2 * time.Second)
		sim.Submit(wide, 0)
		at(45 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.OnMachines(wide.Spec.ID); n != 300 {
				t.Errorf("%d of 300 tasks run", n)
			}
		})
		sim.Submit(other, 0)
		sim.KillController(sim.Leader())
		at(140 * time.Second)
		mustFinish(t, sim, wide, other)
	})
}

// The smallest key-value store that can work: two changes a transaction, values of
// 1 KiB, a few requests a second, and leases that leave no time for delegates. It
// starts and serves.
func TestMinimalDeployment(t *testing.T) {
	t.Parallel()
	set := simulator.GasSettings()
	set.State = config.StoreLimits{RPS: 12, WriteRPS: 8, ValueKB: 1, TxnOps: 2}
	set.Workers = config.Workers{HeartbeatInterval: 4, Lease: 8, CancelTimeout: 12}
	set.Limits = config.ProcessLimits{Cores: 0.1, MemoryMB: 40, FDLimit: 100}
	runWithControllersIn(t, set, unevenZones, 53, func(sim *simulator.Simulation, at func(time.Duration)) {
		a, b, cancelledJob := array(1, 40, 20), array(2, 6, 10), array(3, 10, 60)
		at(3 * time.Second)
		sim.Submit(a, 0)
		sim.Submit(cancelledJob, 45*time.Second)
		at(30 * time.Second)
		sim.Submit(b, 0)
		at(60 * time.Second)
		sim.KillController(sim.Leader())
		at(240 * time.Second)
		mustFinish(t, sim, a, b)
	})
}
