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
func mustFinish(t *testing.T, w *simulator.World, jobs ...simulator.Truth) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
		for _, j := range jobs {
			if !c.Complete(j.Spec.ID) {
				t.Errorf("%s is not complete", j.Spec.ID)
			}
		}
	})
}

// mustRun checks that all replicas of a service run.
func mustRun(t *testing.T, w *simulator.World, s simulator.Truth, when string) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
		if n := c.On(s.Spec.ID); n != s.Spec.Tasks {
			t.Errorf("%d of %d replicas %s", n, s.Spec.Tasks, when)
		}
	})
}

// tasksOnMachines is how many tasks of a job are on machines.
func tasksOnMachines(w *simulator.World, id wire.JobID) (n int) {
	w.Checked(func(c *simulator.Checker) { n = c.On(id) })
	return n
}

// mustBeGone checks that nothing of a cancelled job is left.
func mustBeGone(t *testing.T, w *simulator.World, j simulator.Truth, when string) {
	t.Helper()
	if n := tasksOnMachines(w, j.Spec.ID); n != 0 {
		t.Errorf("%d tasks of the cancelled %s %s", n, j.Spec.ID, when)
	}
}

// lostMachines counts the machines that exist no more.
func lostMachines(w *simulator.World, ids []wire.MachineID) (n int) {
	for _, id := range ids {
		if w.IP(id) == "" {
			n++
		}
	}
	return n
}

// mustUseCPUs checks how many processors the tasks of a team use.
func mustUseCPUs(t *testing.T, w *simulator.World, team wire.TeamID, want float64) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
		if n := c.Uses(team); n != want {
			t.Errorf("team %s uses %.0f processors, want %.0f", team, n, want)
		}
	})
}

// preemptionCount is how many tasks the leader has preempted.
func preemptionCount(t *testing.T, w *simulator.World) float64 {
	t.Helper()
	_, raw, _ := w.Operate(w.Leader(), "GET", "/metrics", nil)
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
func leftoverKeys(w *simulator.World, live ...simulator.Truth) []string {
	var out []string
	for _, k := range append(w.State.Keys("job/"), w.State.Keys("run/")...) {
		if !slices.ContainsFunc(live, func(j simulator.Truth) bool { return strings.Contains(k, string(j.Spec.ID)) }) {
			out = append(out, k)
		}
	}
	return out
}

// mustLeaveNoKeys checks that the state service has no records of live jobs and of
// their progress, but for those of the jobs named.
func mustLeaveNoKeys(t *testing.T, w *simulator.World, live ...simulator.Truth) {
	t.Helper()
	if keys := leftoverKeys(w, live...); len(keys) > 0 {
		t.Errorf("left over: %v", keys)
	}
}

// mustRestartNoTask checks that no task was started a second time.
func mustRestartNoTask(t *testing.T, w *simulator.World) {
	t.Helper()
	w.Checked(func(c *simulator.Checker) {
		if c.Again() != 0 {
			t.Errorf("%d tasks were started again", c.Again())
		}
	})
}

// mustHaveTaskInUnknownZone checks that the leader knows of a task on a machine
// that no list has shown to it, so that it can't tell its zone.
func mustHaveTaskInUnknownZone(t *testing.T, w *simulator.World) {
	t.Helper()
	v, ok := adminView(w, w.Leader())
	unknown := func(m leader.MachineView) bool { return m.Zone == "" && m.Tasks > 0 }
	if !ok || v.Term == nil || !slices.ContainsFunc(v.Term.Machines, unknown) {
		t.Errorf("no task is on a machine of unknown zone: %+v", v.Term)
	}
}

// mustLeaveNothingWaiting lets time pass, after which no job may have waited for 90 s
// without a start while a machine had room for it and its team was under its limit.
func mustLeaveNothingWaiting(t *testing.T, w *simulator.World, d time.Duration) {
	t.Helper()
	type wait struct {
		n     int
		since time.Time
	}
	waits := map[wire.JobID]wait{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		could := w.CouldRun()
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
func mustRecover(t *testing.T, w *simulator.World, size int, all ...simulator.Truth) {
	t.Helper()
	calm := time.Now()
	mustAnswerAll(t, w, size, calm)
	time.Sleep(time.Until(calm.Add(90 * time.Second)))
	w.Checked(func(c *simulator.Checker) {
		for _, id := range c.Owed() {
			if !c.Complete(id) && c.On(id) == 0 {
				t.Errorf("%s neither runs nor is done 90 s after the troubles", id)
			}
		}
	})
	// What does not complete in time is found by the check below.
	poll(100*time.Second, time.Second, func() bool { return allComplete(w, all) })
	time.Sleep(4 * time.Second)
	for _, j := range all {
		if j.Spec.Service() {
			mustRun(t, w, j, "at the end")
			continue
		}
		mustFinish(t, w, j)
		mustBeAnsweredDone(t, w, size, j.Spec.ID)
	}
}

// mustAnswerAll checks that every controller answers about every accepted job that
// nobody cancelled, within 75 s of the end of all faults.
func mustAnswerAll(t *testing.T, w *simulator.World, size int, calm time.Time) {
	t.Helper()
	var owed []wire.JobID
	w.Checked(func(c *simulator.Checker) { c.Calm(calm); owed = c.Owed() })
	for i := range size {
		for _, id := range owed {
			waitUntil(t, 75*time.Second-time.Since(calm), fmt.Sprintf("node %d answers about %s", i, id), func() bool {
				status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
				var s wire.JobState
				if status != 200 || wire.Decode(raw, &s) != nil {
					time.Sleep(time.Second)
					return false
				}
				w.Checked(func(c *simulator.Checker) { c.Polled(id, status, s.Status, time.Now()) })
				return true
			})
		}
	}
}

// allComplete tells whether all jobs but services have completed.
func allComplete(w *simulator.World, jobs []simulator.Truth) bool {
	all := true
	w.Checked(func(c *simulator.Checker) {
		for _, j := range jobs {
			all = all && (j.Spec.Service() || c.Complete(j.Spec.ID))
		}
	})
	return all
}

// mustBeAnsweredDone checks that every controller tells users that a job is done.
func mustBeAnsweredDone(t *testing.T, w *simulator.World, size int, id wire.JobID) {
	t.Helper()
	for i := range size {
		status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(id), nil)
		var s wire.JobState
		if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.Done {
			t.Errorf("node %d answers %d %+v about %s, which is done", i, status, s, id)
		}
	}
}

// storedChunks counts the chunks that are stored of a job's progress.
func storedChunks(w *simulator.World, j simulator.Truth) int {
	return len(w.State.Keys("run/" + string(j.Spec.ID) + "/"))
}
