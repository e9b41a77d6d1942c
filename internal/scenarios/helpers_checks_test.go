package scenarios_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/leader"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// mustFinish checks that all tasks of the jobs have completed.
func mustFinish(t *testing.T, sim *simulator.Simulation, jobs ...simulator.JobScript) {
	t.Helper()
	sim.WithChecker(func(c *simulator.Checker) {
		for _, j := range jobs {
			if !c.Complete(j.Spec.ID) {
				t.Errorf("%s: %d of %d tasks completed, want all", j.Spec.ID, c.Completed(j.Spec.ID), j.Spec.Tasks)
			}
		}
	})
}

// mustRun checks that all replicas of a service are on machines.
func mustRun(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, when string) {
	t.Helper()
	sim.WithChecker(func(c *simulator.Checker) {
		if n := c.TasksOnMachines(j.Spec.ID); n != j.Spec.Tasks {
			t.Errorf("%s: %d of %d replicas on machines %s, want all", j.Spec.ID, n, j.Spec.Tasks, when)
		}
	})
}

// tasksOnMachines counts the tasks of a job that are on machines.
func tasksOnMachines(sim *simulator.Simulation, id wire.JobID) (n int) {
	sim.WithChecker(func(c *simulator.Checker) { n = c.TasksOnMachines(id) })
	return n
}

// mustHaveNoTasks checks that no task of a cancelled job is on a machine.
func mustHaveNoTasks(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, when string) {
	t.Helper()
	if n := tasksOnMachines(sim, j.Spec.ID); n != 0 {
		t.Errorf("%d tasks of the cancelled %s on machines %s, want 0", n, j.Spec.ID, when)
	}
}

// lostMachines counts the machines that no longer exist.
func lostMachines(sim *simulator.Simulation, ids []wire.MachineID) (n int) {
	for _, id := range ids {
		if sim.MachineIP(id) == "" {
			n++
		}
	}
	return n
}

// mustUseCPUs checks how many CPUs the tasks of a team use.
func mustUseCPUs(t *testing.T, sim *simulator.Simulation, team wire.TeamID, want float64) {
	t.Helper()
	sim.WithChecker(func(c *simulator.Checker) {
		if n := c.CPUsUsed(team); n != want {
			t.Errorf("team %s uses %.0f CPUs, want %.0f", team, n, want)
		}
	})
}

// metricValue returns the value of a metric of a controller, given its name with its labels, and
// whether the controller exposes it.
func metricValue(sim *simulator.Simulation, node int, name string) (value float64, ok bool) {
	_, raw, _ := sim.AskAsOperator(node, "GET", "/metrics", nil)
	for line := range strings.Lines(string(raw)) {
		if text, found := strings.CutPrefix(line, name+" "); found {
			value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			return value, err == nil
		}
	}
	return 0, false
}

// preemptionCount returns how many tasks the leader has preempted, according to its metrics.
func preemptionCount(t *testing.T, sim *simulator.Simulation) float64 {
	t.Helper()
	count, ok := metricValue(sim, sim.Leader(), "lilaclead_preemptions_total")
	if !ok {
		t.Fatal("the leader's metrics have no readable lilaclead_preemptions_total")
	}
	return count
}

// leftoverKeys lists the keys of job and progress records in the key-value store, except
// those of the given live jobs. Final records are not among them.
func leftoverKeys(sim *simulator.Simulation, live ...simulator.JobScript) []string {
	var out []string
	for _, k := range append(sim.State.Keys("job/"), sim.State.Keys("run/")...) {
		if !slices.ContainsFunc(live, func(j simulator.JobScript) bool { return strings.Contains(k, string(j.Spec.ID)) }) {
			out = append(out, k)
		}
	}
	return out
}

// mustLeaveNoKeys checks that the key-value store has no job and progress records, except
// those of the given live jobs.
func mustLeaveNoKeys(t *testing.T, sim *simulator.Simulation, live ...simulator.JobScript) {
	t.Helper()
	if keys := leftoverKeys(sim, live...); len(keys) > 0 {
		t.Errorf("the key-value store still holds %v, want only records of %d live jobs", keys, len(live))
	}
}

// mustRestartNoTask checks that no task was started a second time.
func mustRestartNoTask(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	sim.WithChecker(func(c *simulator.Checker) {
		if c.Restarts() != 0 {
			t.Errorf("%d tasks were started again, want 0", c.Restarts())
		}
	})
}

// mustHaveTaskInUnknownZone checks that the leader knows a task on a machine of unknown zone.
// That is a machine that the leader has not yet seen in any machine list.
func mustHaveTaskInUnknownZone(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	v, ok := adminView(sim, sim.Leader())
	unknown := func(m leader.MachineView) bool { return m.Zone == "" && m.Tasks > 0 }
	if !ok || v.Cluster == nil || !slices.ContainsFunc(v.Cluster.Machines, unknown) {
		t.Errorf("no task is on a machine of unknown zone: %+v", v.Cluster)
	}
}

// mustLeaveNothingWaiting watches all jobs for a time. Within it no job may wait for more than
// 90 s with the same number of waiting tasks while a machine has capacity for one of them and the
// job's team is below its limit.
func mustLeaveNothingWaiting(t *testing.T, sim *simulator.Simulation, d time.Duration) {
	t.Helper()
	type wait struct {
		tasks int
		since time.Time
	}
	waits := map[wire.JobID]wait{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		waitingWithCapacity := sim.JobsWithCapacity()
		for id, current := range waits {
			if waitingWithCapacity[id] != current.tasks {
				delete(waits, id)
			}
		}
		for id, tasks := range waitingWithCapacity {
			current, ok := waits[id]
			if !ok {
				waits[id] = wait{tasks, time.Now()}
			} else if time.Since(current.since) > 90*time.Second {
				t.Errorf("%d tasks of %s wait for 90 s although a machine has capacity", tasks, id)
				waits[id] = wait{tasks, time.Now()}
			}
		}
	}
}

// mustRecover checks that the deployment recovers; call it when all faults have ended. It looks at
// all accepted jobs that nobody cancelled: within 75 s every controller must answer about each of
// them, and after 90 s each must be complete or have a task on a machine. After that it checks
// that the given jobs complete or, if they are services, run.
func mustRecover(t *testing.T, sim *simulator.Simulation, size int, jobs ...simulator.JobScript) {
	t.Helper()
	faultsOver := time.Now()
	mustAnswerAll(t, sim, size, faultsOver)
	time.Sleep(time.Until(faultsOver.Add(90 * time.Second)))
	sim.WithChecker(func(c *simulator.Checker) {
		for _, id := range c.AcceptedAndNotCancelled() {
			if !c.Complete(id) && c.TasksOnMachines(id) == 0 {
				t.Errorf("%s neither runs nor is complete 90 s after the end of all faults", id)
			}
		}
	})
	// The result is ignored: the loop below reports each job that is not complete.
	poll(100*time.Second, time.Second, func() bool { return allComplete(sim, jobs) })
	time.Sleep(4 * time.Second)
	for _, j := range jobs {
		if j.Spec.IsService() {
			mustRun(t, sim, j, "at the end")
			continue
		}
		mustFinish(t, sim, j)
		mustBeAnsweredDone(t, sim, size, j.Spec.ID)
	}
}

// mustAnswerAll checks that within 75 s after the end of all faults every controller answers about
// every accepted job that nobody cancelled.
func mustAnswerAll(t *testing.T, sim *simulator.Simulation, size int, faultsOver time.Time) {
	t.Helper()
	var ids []wire.JobID
	sim.WithChecker(func(c *simulator.Checker) { c.FaultsOver(faultsOver); ids = c.AcceptedAndNotCancelled() })
	for i := range size {
		for _, id := range ids {
			waitUntil(t, 75*time.Second-time.Since(faultsOver), fmt.Sprintf("controller %d answers about %s", i, id), func() bool {
				sentAt := time.Now()
				status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
				var state wire.JobState
				if status != 200 || wire.Decode(raw, &state) != nil {
					time.Sleep(time.Second)
					return false
				}
				sim.WithChecker(func(c *simulator.Checker) { c.PollAnswered(id, status, state.Status, sentAt, time.Now()) })
				return true
			})
		}
	}
}

// allComplete reports whether all jobs except services have completed.
func allComplete(sim *simulator.Simulation, jobs []simulator.JobScript) bool {
	complete := true
	sim.WithChecker(func(c *simulator.Checker) {
		for _, j := range jobs {
			complete = complete && (j.Spec.IsService() || c.Complete(j.Spec.ID))
		}
	})
	return complete
}

// mustBeAnsweredDone checks that every controller answers a poll of a job with status done.
func mustBeAnsweredDone(t *testing.T, sim *simulator.Simulation, size int, id wire.JobID) {
	t.Helper()
	for i := range size {
		status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
		var state wire.JobState
		if status != 200 || wire.Decode(raw, &state) != nil || state.Status != wire.StatusDone {
			t.Errorf("controller %d answers %d %+v about %s, want 200 and %s", i, status, state, id, wire.StatusDone)
		}
	}
}

// storedChunks counts the keys in the key-value store under which a job's progress is stored.
func storedChunks(sim *simulator.Simulation, j simulator.JobScript) int {
	return len(sim.State.Keys("run/" + string(j.Spec.ID) + "/"))
}
