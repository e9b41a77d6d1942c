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

// mustRun checks that all replicas of a service run.
func mustRun(t *testing.T, sim *simulator.Simulation, s simulator.JobScript, when string) {
	t.Helper()
	sim.WithChecker(func(c *simulator.Checker) {
		if n := c.OnMachines(s.Spec.ID); n != s.Spec.Tasks {
			t.Errorf("%s: %d of %d replicas on machines %s, want all", s.Spec.ID, n, s.Spec.Tasks, when)
		}
	})
}

// tasksOnMachines is how many tasks of a job are on machines.
func tasksOnMachines(sim *simulator.Simulation, id wire.JobID) (n int) {
	sim.WithChecker(func(c *simulator.Checker) { n = c.OnMachines(id) })
	return n
}

// mustBeGone checks that nothing of a cancelled job is left.
func mustBeGone(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, when string) {
	t.Helper()
	if n := tasksOnMachines(sim, j.Spec.ID); n != 0 {
		t.Errorf("%d tasks of the cancelled %s on machines %s, want 0", n, j.Spec.ID, when)
	}
}

// lostMachines counts the machines that exist no more.
func lostMachines(sim *simulator.Simulation, ids []wire.MachineID) (n int) {
	for _, id := range ids {
		if sim.MachineIP(id) == "" {
			n++
		}
	}
	return n
}

// mustUseCPUs checks how many processors the tasks of a team use.
func mustUseCPUs(t *testing.T, sim *simulator.Simulation, team wire.TeamID, want float64) {
	t.Helper()
	sim.WithChecker(func(c *simulator.Checker) {
		if n := c.CPUsUsed(team); n != want {
			t.Errorf("team %s uses %.0f processors, want %.0f", team, n, want)
		}
	})
}

// preemptionCount is how many tasks the leader has preempted.
func preemptionCount(t *testing.T, sim *simulator.Simulation) float64 {
	t.Helper()
	_, raw, _ := sim.AskAsOperator(sim.Leader(), "GET", "/metrics", nil)
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "lilaclead_preemptions_total "); ok {
			if n, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil {
				return n
			}
		}
	}
	t.Fatal("the leader counts no preemptions")
	return 0
}

// leftoverKeys lists the records of live jobs and of their progress that the state
// service still has, but for those of the jobs named.
func leftoverKeys(sim *simulator.Simulation, live ...simulator.JobScript) []string {
	var out []string
	for _, k := range append(sim.State.Keys("job/"), sim.State.Keys("run/")...) {
		if !slices.ContainsFunc(live, func(j simulator.JobScript) bool { return strings.Contains(k, string(j.Spec.ID)) }) {
			out = append(out, k)
		}
	}
	return out
}

// mustLeaveNoKeys checks that the key-value store has no records of live jobs and of
// their progress, but for those of the jobs named.
func mustLeaveNoKeys(t *testing.T, sim *simulator.Simulation, live ...simulator.JobScript) {
	t.Helper()
	if keys := leftoverKeys(sim, live...); len(keys) > 0 {
		t.Errorf("the key-value store still holds %v, want no records but those of %d live jobs", keys, len(live))
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

// mustHaveTaskInUnknownZone checks that the leader knows of a task on a machine
// that no list has shown to it, so that it can't tell its zone.
func mustHaveTaskInUnknownZone(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	v, ok := adminView(sim, sim.Leader())
	unknown := func(m leader.MachineView) bool { return m.Zone == "" && m.Tasks > 0 }
	if !ok || v.Term == nil || !slices.ContainsFunc(v.Term.Machines, unknown) {
		t.Errorf("no task is on a machine of unknown zone: %+v", v.Term)
	}
}

// mustLeaveNothingWaiting lets time pass, after which no job may have waited for 90 s
// without a start while a machine had room for it and its team was under its limit.
func mustLeaveNothingWaiting(t *testing.T, sim *simulator.Simulation, d time.Duration) {
	t.Helper()
	type wait struct {
		n     int
		since time.Time
	}
	waits := map[wire.JobID]wait{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		could := sim.JobsWithRoom()
		for id, x := range waits {
			if could[id] != x.n {
				delete(waits, id)
			}
		}
		for id, n := range could {
			x, ok := waits[id]
			if !ok {
				waits[id] = wait{n, time.Now()}
			} else if time.Since(x.since) > 90*time.Second {
				t.Errorf("%d tasks of %s wait for 90 s although there is room", n, id)
				waits[id] = wait{n, time.Now()}
			}
		}
	}
}

// mustRecover checks, once all faults are over, that every accepted job which
// nobody cancelled is answered by every controller within 75 s and runs or is done
// within 90 s, and that all of them, and those named, come to their end.
func mustRecover(t *testing.T, sim *simulator.Simulation, size int, all ...simulator.JobScript) {
	t.Helper()
	calm := time.Now()
	mustAnswerAll(t, sim, size, calm)
	time.Sleep(time.Until(calm.Add(90 * time.Second)))
	sim.WithChecker(func(c *simulator.Checker) {
		for _, id := range c.AcceptedAndNotCancelled() {
			if !c.Complete(id) && c.OnMachines(id) == 0 {
				t.Errorf("%s neither runs nor is done 90 s after the troubles", id)
			}
		}
	})
	// What does not complete in time is found by the check below.
	poll(100*time.Second, time.Second, func() bool { return allComplete(sim, all) })
	time.Sleep(4 * time.Second)
	for _, j := range all {
		if j.Spec.IsService() {
			mustRun(t, sim, j, "at the end")
			continue
		}
		mustFinish(t, sim, j)
		mustBeAnsweredDone(t, sim, size, j.Spec.ID)
	}
}

// mustAnswerAll checks that every controller answers about every accepted job that
// nobody cancelled, within 75 s of the end of all faults.
func mustAnswerAll(t *testing.T, sim *simulator.Simulation, size int, calm time.Time) {
	t.Helper()
	var owed []wire.JobID
	sim.WithChecker(func(c *simulator.Checker) { c.FaultsOver(calm); owed = c.AcceptedAndNotCancelled() })
	for i := range size {
		for _, id := range owed {
			waitUntil(t, 75*time.Second-time.Since(calm), fmt.Sprintf("node %d answers about %s", i, id), func() bool {
				status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
				var s wire.JobState
				if status != 200 || wire.Decode(raw, &s) != nil {
					time.Sleep(time.Second)
					return false
				}
				sim.WithChecker(func(c *simulator.Checker) { c.PollAnsweredNow(id, status, s.Status, time.Now()) })
				return true
			})
		}
	}
}

// allComplete reports whether all jobs but services have completed.
func allComplete(sim *simulator.Simulation, jobs []simulator.JobScript) bool {
	all := true
	sim.WithChecker(func(c *simulator.Checker) {
		for _, j := range jobs {
			all = all && (j.Spec.IsService() || c.Complete(j.Spec.ID))
		}
	})
	return all
}

// mustBeAnsweredDone checks that every controller tells users that a job is done.
func mustBeAnsweredDone(t *testing.T, sim *simulator.Simulation, size int, id wire.JobID) {
	t.Helper()
	for i := range size {
		status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
		var s wire.JobState
		if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.StatusDone {
			t.Errorf("node %d answers %d %+v about %s, want 200 and %s", i, status, s, id, wire.StatusDone)
		}
	}
}

// storedChunks counts the chunks that are stored of a job's progress.
func storedChunks(sim *simulator.Simulation, j simulator.JobScript) int {
	return len(sim.State.Keys("run/" + string(j.Spec.ID) + "/"))
}
