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

// loweredLimits are the announced limits of the key-value store.
var loweredLimits = config.NextStoreLimits{RPS: 200, WriteRPS: 25, ValueKB: 2, TxnOps: 4}

// settingsBeforeLowering are settings with the larger limits, and with team limits that allow many
// small tasks.
func settingsBeforeLowering() config.Settings {
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 400, MaxCPUs: 400}, {Name: "blue", GuaranteedCPUs: 16}}
	s.State = config.StoreLimits{RPS: 200, WriteRPS: 60, ValueKB: 32, TxnOps: 12}
	return s
}

// announceLoweredLimits restarts all controllers, one after the other, with settings that announce the
// lowered limits. Until then they accept jobs by the larger limits, as the version in production does.
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

// lowerLimits makes the key-value store apply the lowered limits.
func lowerLimits(sim *simulator.Simulation) {
	sim.State.LowerLimits(int(loweredLimits.ValueKB), loweredLimits.TxnOps, loweredLimits.RPS, loweredLimits.WriteRPS)
}

// mustExceedLoweredLimits checks that the progress of each job is stored in values larger than the
// lowered limit. Otherwise lowering the limit would not affect the job.
func mustExceedLoweredLimits(t *testing.T, sim *simulator.Simulation, jobs ...simulator.JobScript) {
	t.Helper()
	for _, j := range jobs {
		if bytes := sim.State.LargestValue(store.ProgressPrefix + string(j.Spec.ID) + "/"); bytes <= int(loweredLimits.ValueKB*1024) {
			t.Errorf("the largest record of %s has %d bytes, want more than the lowered limit", j.Spec.ID, bytes)
		}
	}
}

// storedSubchunks counts the records of sub-chunks. Their keys have three slashes, those of
// chunks two.
func storedSubchunks(sim *simulator.Simulation) int {
	n := 0
	for _, k := range sim.State.Keys(store.ProgressPrefix) {
		if strings.Count(k, "/") == 3 {
			n++
		}
	}
	return n
}

// mustBeArchived checks that the jobs are done, that every controller answers so, and that no
// record of their progress is left.
func mustBeArchived(t *testing.T, sim *simulator.Simulation, jobs ...simulator.JobScript) {
	t.Helper()
	mustFinish(t, sim, jobs...)
	for _, j := range jobs {
		if keys := sim.State.Keys(store.ProgressPrefix + string(j.Spec.ID) + "/"); len(keys) > 0 {
			t.Errorf("%s: progress records %v are left, want none", j.Spec.ID, keys)
		}
		for i := range sim.Settings.Size {
			status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
			var state wire.JobState
			if status != 200 || wire.Decode(raw, &state) != nil || state.Status != wire.StatusDone || state.Done != j.Spec.Tasks {
				t.Errorf("poll about %s was answered %d %+v by controller %d, want 200, done and all tasks", j.Spec.ID, status, state, i)
			}
		}
	}
}

// The limits of the key-value store are lowered while jobs run whose progress was stored under the
// larger limits, alone and with other faults.
func TestStoreLimitsLowered(t *testing.T) {
	t.Parallel()
	faults := map[string]func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)){
		"quiet": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) { lowerLimits(sim) },
		"outage": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			sim.State.SetOutage(true)
			time.Sleep(5 * time.Second)
			lowerLimits(sim)
			time.Sleep(15 * time.Second)
			sim.State.SetOutage(false)
		},
		"change of leader": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			leader := sim.Leader()
			sim.KillController(leader)
			time.Sleep(time.Second)
			if sim.Leader() != leader {
				t.Error("the leader changed before the limits were lowered")
			}
			lowerLimits(sim)
			awaitSuccessor(t, sim, leader)
		},
		"recovery": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			leader := sim.Leader()
			sim.KillController(leader)
			sim.State.DelayLists(func() time.Duration { return 300 * time.Millisecond }) // for each of the two lists that a new leader reads
			begin := time.Now()
			for n := sim.Leader(); n == leader || n < 0; n = sim.Leader() {
				if time.Since(begin) > 15*time.Second {
					t.Fatal("no new leader within 15 s")
				}
				time.Sleep(2 * time.Millisecond)
			}
			lowerLimits(sim) // the new leader is elected, and reads for 0.6 s
			time.Sleep(3 * time.Second)
			sim.State.DelayLists(nil)
			if err := sim.StartController(leader); err != nil {
				t.Fatal(err)
			}
		},
		"changes of leader afterwards": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			lowerLimits(sim)
			for begin := time.Now(); storedSubchunks(sim) == 0 && time.Since(begin) < time.Minute; {
				time.Sleep(100 * time.Millisecond)
			}
			for range 5 {
				if storedSubchunks(sim) == 0 {
					t.Error("no sub-chunks are stored for the next leader to read")
				}
				replaceLeader(t, sim)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"answers lost": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			sim.State.InjectTxnFaults(7, simulator.TxnFault{Prefix: store.ProgressPrefix, Share: 0.3})
			lowerLimits(sim)
			time.Sleep(20 * time.Second)
			sim.State.InjectTxnFaults(0)
		},
		"all controllers end": func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			lowerLimits(sim)
			time.Sleep(1500 * time.Millisecond)
			killAll(sim)
			time.Sleep(5 * time.Second)
			startAll(t, sim)
		},
	}
	faults["cancellations"] = func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		lowerLimits(sim)
		if !cancelWithin(t, sim, "req-000006", 10*time.Second) {
			t.Error("req-000006 was not cancelled within 10 s")
		}
	}
	names := []string{}
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsBeforeLowering(), uint64(700+i)+100*seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					largeArray, smallArray := arrayOfSmallTasks(1, 600, 60), arrayOfSmallTasks(2, 250, 75)
					nextJob, serviceJob, cancelledJob := arrayOfSmallTasks(3, 100, 10), service(4, 3), service(5, 2)
					sleepUntil(2 * time.Second)
					submitAll(sim, largeArray, smallArray, serviceJob)
					laterArray := arrayOfSmallTasks(6, 250, 80)
					sim.Submit(laterArray, 0)
					sleepUntil(30 * time.Second)
					announceLoweredLimits(t, sim)
					sim.Submit(cancelledJob, 20*time.Second)
					mustExceedLoweredLimits(t, sim, largeArray, smallArray, laterArray)
					if n := storedSubchunks(sim); n > 0 || sim.State.OversizeRefusals() > 0 {
						t.Errorf("%d sub-chunks, %d transactions refused before the limits were lowered, want 0", n, sim.State.OversizeRefusals())
					}
					sim.WithChecker(func(c *simulator.Checker) {
						if n := c.TasksOnMachines(largeArray.Spec.ID) + c.TasksOnMachines(smallArray.Spec.ID) + c.TasksOnMachines(laterArray.Spec.ID); n < 500 {
							t.Errorf("%d tasks on machines, want at least 500", n)
						}
					})
					faults[name](t, sim, sleepUntil)
					sim.Submit(nextJob, 0)
					maxSubchunks := 0
					for range 300 {
						time.Sleep(500 * time.Millisecond)
						maxSubchunks = max(maxSubchunks, storedSubchunks(sim))
					}
					if maxSubchunks == 0 {
						t.Error("no sub-chunk was written")
					}
					if sim.State.OversizeRefusals() == 0 {
						t.Error("no transaction was refused for its size under the lowered limits")
					}
					refusals, _ := sim.State.RateRefusals()
					t.Logf("%d transactions refused for their size, %d requests for the rate, %d sub-chunks", sim.State.OversizeRefusals(), refusals, maxSubchunks)
					mustBeArchived(t, sim, largeArray, smallArray, nextJob)
					if name != "cancellations" {
						mustBeArchived(t, sim, laterArray)
					}
					mustRun(t, sim, serviceJob, "after the limits were lowered")
					sim.WithChecker(func(c *simulator.Checker) {
						if c.TasksOnMachines(cancelledJob.Spec.ID) != 0 || c.TasksOnMachines("req-000006") != 0 {
							t.Error("tasks of cancelled jobs still run, want none")
						}
						if c.Restarts() > 0 && name != "answers lost" && name != "all controllers end" {
							t.Errorf("%d tasks were started again, want 0", c.Restarts())
						}
					})
				})
			})
		}
	}
}

// Jobs whose records exceed the lowered limit are cancelled or finish after the limits were lowered.
// One of them is submitted again before and after that, and is still known. A new job that could not
// be stored under the lowered limits is refused as soon as these are announced.
func TestLargeJobRecordsAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsBeforeLowering(), 720, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		jobWithLargeRecord := func(n int) simulator.JobScript {
			j := arrayOfSmallTasks(n, 300, 200)
			for i := range 60 {
				j.Spec.MachineTypes = append(j.Spec.MachineTypes, wire.MachineType(fmt.Sprintf("kit-%s-%03d", strings.Repeat("x", 36), i)))
			}
			j.Spec.MachineTypes = append(j.Spec.MachineTypes, "c4", "c16")
			return j
		}
		cancelledLarge, finishingLarge, cancelledTwoTasks, cancelledSmall, refusedJob := jobWithLargeRecord(1), jobWithLargeRecord(2), jobWithLargeRecord(3), arrayOfSmallTasks(4, 300, 200), jobWithLargeRecord(5)
		finishingLarge.RunTime, cancelledTwoTasks.Spec.Tasks = 60, 2
		sleepUntil(2 * time.Second)
		submitAll(sim, cancelledLarge, finishingLarge, cancelledTwoTasks, cancelledSmall)
		sleepUntil(20 * time.Second)
		announceLoweredLimits(t, sim)
		for _, when := range []string{"before", "after"} {
			status, _, _ := sim.Ask(1, "POST", "/v1/jobs", simulator.Submission(refusedJob.Spec))
			if status != 422 {
				t.Errorf("submission of a job over the lowered limit answered %d %s the limits were lowered, want 422", status, when)
			}
			for i := range sim.Settings.Size {
				if status, raw, _ := sim.Ask(i, "POST", "/v1/jobs", simulator.Submission(cancelledLarge.Spec)); status != 200 {
					t.Errorf("repeated submission of an accepted job %s the limits were lowered answered %d %x, want 200", when, status, raw)
				}
			}
			if when == "before" {
				lowerLimits(sim)
			}
		}
		for _, j := range []simulator.JobScript{cancelledLarge, cancelledTwoTasks, cancelledSmall} {
			mustCancel(t, sim, j)
		}
		time.Sleep(30 * time.Second)
		replaceLeader(t, sim)
		time.Sleep(120 * time.Second)
		mustBeArchived(t, sim, finishingLarge)
		sim.WithChecker(func(c *simulator.Checker) {
			for _, j := range []simulator.JobScript{cancelledLarge, cancelledTwoTasks, cancelledSmall} {
				if c.TasksOnMachines(j.Spec.ID) != 0 {
					t.Errorf("%d tasks of the cancelled %s on machines, want 0", c.TasksOnMachines(j.Spec.ID), j.Spec.ID)
				}
			}
		})
		if keys := sim.State.Keys(store.JobPrefix); len(keys) > 0 {
			t.Errorf("records of ended jobs are left: %v", keys)
		}
	})
}

// A job of 100,000 tasks runs while the limits are lowered, and another one is submitted after that.
// Once both are cancelled, no records of their progress may be left.
func TestLargestJobAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsBeforeLowering(), 730, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		submittedBefore, submittedAfter := arrayOfSmallTasks(1, 100_000, 30), arrayOfSmallTasks(2, 100_000, 30)
		submittedBefore.Spec.CPUs, submittedAfter.Spec.CPUs = 0.5, 0.5
		sleepUntil(2 * time.Second)
		sim.Submit(submittedBefore, 0)
		sleepUntil(30 * time.Second)
		announceLoweredLimits(t, sim)
		lowerLimits(sim)
		sim.Submit(submittedAfter, 0)
		time.Sleep(60 * time.Second)
		replaceLeader(t, sim)
		time.Sleep(60 * time.Second)
		done := 0
		status, raw, _ := sim.Ask(0, "GET", "/v1/jobs/"+string(submittedBefore.Spec.ID), nil)
		var state wire.JobState
		if status != 200 || wire.Decode(raw, &state) != nil {
			t.Errorf("poll answered %d, want 200 and a job state", status)
		}
		if done = state.Done; done < 300 {
			t.Errorf("%d tasks done, want at least 300", done)
		}
		for _, j := range []simulator.JobScript{submittedBefore, submittedAfter} {
			mustCancel(t, sim, j)
		}
		time.Sleep(150 * time.Second)
		if keys := sim.State.Keys(store.ProgressPrefix); len(keys) > 0 {
			t.Errorf("%d progress records of ended jobs are left, want 0", len(keys))
		}
	})
}
