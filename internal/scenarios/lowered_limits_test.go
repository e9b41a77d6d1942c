package scenarios_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// loweredLimits are the limits to come.
var loweredLimits = config.NextStoreLimits{RPS: 200, WriteRPS: 25, ValueKB: 2, TxnOps: 4}

// lowering is a deployment with room for many small tasks.
func settingsBeforeLowering() config.Settings {
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 400, MaxCPUs: 400}, {Name: "blue", GuaranteedCPUs: 16}}
	s.State = config.StoreLimits{RPS: 200, WriteRPS: 60, ValueKB: 32, TxnOps: 12}
	return s
}

// upgrade restarts all nodes with settings that tell of the limits to come. Until
// then they accept jobs as the version in production does.
func announceLoweredLimits(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	for i := range sim.Settings.Size {
		sim.ChangeSettings(i, func(s *config.Settings) { s.State.Next = &loweredLimits })
		sim.KillController(i)
		time.Sleep(2 * time.Second)
		if err := sim.StartController(i); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
	}
}

func lowerLimits(sim *simulator.Simulation) {
	sim.State.LowerLimits(int(loweredLimits.ValueKB), loweredLimits.TxnOps, loweredLimits.RPS, loweredLimits.WriteRPS)
}

// grown checks that a job's progress is stored in values over the limit to come:
// else lowering them would affect nothing.
func mustExceedLoweredLimits(t *testing.T, sim *simulator.Simulation, jobs ...simulator.JobScript) {
	t.Helper()
	for _, j := range jobs {
		if n := sim.State.LargestValue(store.ProgressPrefix + string(j.Spec.ID) + "/"); n <= int(loweredLimits.ValueKB*1024) {
			t.Errorf("the largest record of %s has %d bytes: the drop meets nothing", j.Spec.ID, n)
		}
	}
}

// pieces counts what is stored in pieces.
func storedPieces(sim *simulator.Simulation) int {
	n := 0
	for _, k := range sim.State.Keys(store.ProgressPrefix) {
		if strings.Count(k, "/") == 3 {
			n++
		}
	}
	return n
}

// settled checks that nothing is left of jobs that are over.
func mustBeArchived(t *testing.T, sim *simulator.Simulation, jobs ...simulator.JobScript) {
	t.Helper()
	mustFinish(t, sim, jobs...)
	for _, j := range jobs {
		if k := sim.State.Keys(store.ProgressPrefix + string(j.Spec.ID) + "/"); len(k) > 0 {
			t.Errorf("of %s is left %v", j.Spec.ID, k)
		}
		for i := range sim.Settings.Size {
			status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
			var s wire.JobState
			if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.StatusDone || s.Done != j.Spec.Tasks {
				t.Errorf("%s is %d %+v by node %d", j.Spec.ID, status, s, i)
			}
		}
	}
}

// The limits drop while jobs are under way whose progress was stored under the
// larger ones, alone and with other faults.
func TestStateLimitsLowered(t *testing.T) {
	t.Parallel()
	kinds := map[string]func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)){
		"quiet": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) { lowerLimits(sim) },
		"outage": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			sim.State.Outage(true)
			time.Sleep(5 * time.Second)
			lowerLimits(sim)
			time.Sleep(15 * time.Second)
			sim.State.Outage(false)
		},
		"change of leader": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			l := sim.Leader()
			sim.KillController(l)
			time.Sleep(time.Second)
			if sim.Leader() != l {
				t.Error("leadership passed on before the drop")
			}
			lowerLimits(sim)
			awaitSuccessor(t, sim, l)
		},
		"recovery": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			l := sim.Leader()
			sim.KillController(l)
			sim.State.DelayLists(func() time.Duration { return 300 * time.Millisecond }) // both lists
			begin := time.Now()
			for n := sim.Leader(); n == l || n < 0; n = sim.Leader() {
				if time.Since(begin) > 15*time.Second {
					t.Fatal("nobody followed")
				}
				time.Sleep(2 * time.Millisecond)
			}
			lowerLimits(sim) // it is elected, and reads for 0.6 s
			time.Sleep(3 * time.Second)
			sim.State.DelayLists(nil)
			if err := sim.StartController(l); err != nil {
				t.Fatal(err)
			}
		},
		"changes of leader after it": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			lowerLimits(sim)
			for begin := time.Now(); storedPieces(sim) == 0 && time.Since(begin) < time.Minute; {
				time.Sleep(100 * time.Millisecond)
			}
			for range 5 {
				if storedPieces(sim) == 0 {
					t.Error("there are no pieces for the next leader to read")
				}
				replaceLeader(t, sim)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"answers lost": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			sim.State.InjectTxnFaults(7, simulator.TxnFault{Prefix: store.ProgressPrefix, Share: 0.3})
			lowerLimits(sim)
			time.Sleep(20 * time.Second)
			sim.State.InjectTxnFaults(0)
		},
		"all controllers end": func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
			lowerLimits(sim)
			time.Sleep(1500 * time.Millisecond)
			killAll(sim)
			time.Sleep(5 * time.Second)
			startAll(t, sim)
		},
	}
	kinds["cancellations"] = func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		lowerLimits(sim)
		if !cancelWithin(t, sim, "req-000006", 10*time.Second) {
			t.Error("not cancelled")
		}
	}
	names := []string{}
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsBeforeLowering(), uint64(700+i)+100*seed, func(sim *simulator.Simulation, at func(time.Duration)) {
					a, b := arrayOfSmallTasks(1, 600, 60), arrayOfSmallTasks(2, 250, 75)
					after, s, cancelledJob := arrayOfSmallTasks(3, 100, 10), service(4, 3), service(5, 2)
					at(2 * time.Second)
					submitAll(sim, a, b, s)
					c := arrayOfSmallTasks(6, 250, 80)
					sim.Submit(c, 0)
					at(30 * time.Second)
					announceLoweredLimits(t, sim)
					sim.Submit(cancelledJob, 20*time.Second)
					mustExceedLoweredLimits(t, sim, a, b, c)
					if n := storedPieces(sim); n > 0 || sim.State.OversizeRefusals() > 0 {
						t.Errorf("%d pieces, %d refused before the limits drop", n, sim.State.OversizeRefusals())
					}
					sim.WithChecker(func(ck *simulator.Checker) {
						if n := ck.OnMachines(a.Spec.ID) + ck.OnMachines(b.Spec.ID) + ck.OnMachines(c.Spec.ID); n < 500 {
							t.Errorf("only %d tasks are under way", n)
						}
					})
					kinds[name](t, sim, at)
					sim.Submit(after, 0)
					most := 0
					for range 300 {
						time.Sleep(500 * time.Millisecond)
						most = max(most, storedPieces(sim))
					}
					if most == 0 {
						t.Error("nothing was written in pieces")
					}
					if sim.State.OversizeRefusals() == 0 {
						t.Error("nothing was refused by the lower limits")
					}
					refusals, _ := sim.State.RateRefusals()
					t.Logf("%d transactions refused for their size, %d requests for the rate, %d pieces", sim.State.OversizeRefusals(), refusals, most)
					mustBeArchived(t, sim, a, b, after)
					if name != "cancellations" {
						mustBeArchived(t, sim, c)
					}
					mustRun(t, sim, s, "after the drop")
					sim.WithChecker(func(c *simulator.Checker) {
						if c.OnMachines(cancelledJob.Spec.ID) != 0 || c.OnMachines("req-000006") != 0 {
							t.Error("what was cancelled still runs")
						}
						if c.Restarts() > 0 && name != "answers lost" && name != "all controllers end" {
							t.Errorf("%d tasks were started again", c.Restarts())
						}
					})
				})
			})
		}
	}
}

// Jobs whose records are over the limit to come are cancelled after the drop, and
// asked about and submitted again; what could not be stored is refused at once,
// before the drop too.
func TestLargeJobRecordsAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsBeforeLowering(), 720, func(sim *simulator.Simulation, at func(time.Duration)) {
		large := func(n int) simulator.JobScript {
			j := arrayOfSmallTasks(n, 300, 200)
			for i := range 60 {
				j.Spec.MachineTypes = append(j.Spec.MachineTypes, wire.MachineType(fmt.Sprintf("kit-%s-%03d", strings.Repeat("x", 36), i)))
			}
			j.Spec.MachineTypes = append(j.Spec.MachineTypes, "c4", "c16")
			return j
		}
		a, b, c, plain, never := large(1), large(2), large(3), arrayOfSmallTasks(4, 300, 200), large(5)
		b.RunTime, c.Spec.Tasks = 60, 2
		at(2 * time.Second)
		submitAll(sim, a, b, c, plain)
		at(20 * time.Second)
		announceLoweredLimits(t, sim)
		for _, when := range []string{"before", "after"} {
			status, _, _ := sim.Ask(1, "POST", "/v1/jobs", simulator.Submission(never.Spec))
			if status != 422 {
				t.Errorf("what can't be stored is answered %d %s the drop", status, when)
			}
			for i := range sim.Settings.Size {
				if status, raw, _ := sim.Ask(i, "POST", "/v1/jobs", simulator.Submission(a.Spec)); status != 200 {
					t.Errorf("an accepted job submitted again %s the drop is answered %d %x", when, status, raw)
				}
			}
			if when == "before" {
				lowerLimits(sim)
			}
		}
		for _, j := range []simulator.JobScript{a, c, plain} {
			mustCancel(t, sim, j)
		}
		time.Sleep(30 * time.Second)
		replaceLeader(t, sim)
		time.Sleep(120 * time.Second)
		mustBeArchived(t, sim, b)
		sim.WithChecker(func(ck *simulator.Checker) {
			for _, j := range []simulator.JobScript{a, c, plain} {
				if ck.OnMachines(j.Spec.ID) != 0 {
					t.Errorf("%d tasks of %s are left", ck.OnMachines(j.Spec.ID), j.Spec.ID)
				}
			}
		})
		if k := sim.State.Keys(store.JobPrefix); len(k) > 0 {
			t.Errorf("jobs that are over are left: %v", k)
		}
	})
}

// A job of 100,000 tasks goes through the drop, and its cancellation leaves
// nothing behind.
func TestLargestJobAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsBeforeLowering(), 730, func(sim *simulator.Simulation, at func(time.Duration)) {
		old, young := arrayOfSmallTasks(1, 100_000, 30), arrayOfSmallTasks(2, 100_000, 30)
		old.Spec.CPUs, young.Spec.CPUs = 0.5, 0.5
		at(2 * time.Second)
		sim.Submit(old, 0)
		at(30 * time.Second)
		announceLoweredLimits(t, sim)
		lowerLimits(sim)
		sim.Submit(young, 0)
		time.Sleep(60 * time.Second)
		replaceLeader(t, sim)
		time.Sleep(60 * time.Second)
		done := 0
		status, raw, _ := sim.Ask(0, "GET", "/v1/jobs/"+string(old.Spec.ID), nil)
		var s wire.JobState
		if status != 200 || wire.Decode(raw, &s) != nil {
			t.Errorf("answered %d", status)
		}
		if done = s.Done; done < 300 {
			t.Errorf("%d tasks done", done)
		}
		for _, j := range []simulator.JobScript{old, young} {
			mustCancel(t, sim, j)
		}
		time.Sleep(150 * time.Second)
		if k := sim.State.Keys(store.ProgressPrefix); len(k) > 0 {
			t.Errorf("%d records are left of jobs that are over", len(k))
		}
	})
}
