package scenarios_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// fleetSize returns how many machines the test of a busy fleet uses: 120, or as many as
// SCENARIO_MACHINES asks for.
func fleetSize() int {
	const smallFleet = 120
	if asked, err := strconv.Atoi(os.Getenv("SCENARIO_MACHINES")); err == nil && asked > 0 {
		return asked
	}
	return smallFleet
}

// busyFleetSettings returns settings for thousands of machines, with the intervals of the largest
// deployment.
func busyFleetSettings() config.Settings {
	settings := simulator.DefaultSettings()
	settings.Size = 5
	settings.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	settings.Workers.HeartbeatInterval, settings.Workers.Lease, settings.Workers.CancelTimeout = 10, 45, 70
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB = 700, 70, 32
	settings.Cloud.RPS = 12
	settings.Limits = config.ProcessLimits{Cores: 1, MemoryMB: 2000, FDLimit: 20000}
	return settings
}

// commandCount returns the value of lilaclead_commands_total for an outcome on all controllers.
func commandCount(sim *simulator.Simulation, outcome string) (count float64) {
	for i := range sim.Settings.Size {
		n, _ := metricValue(sim, i, `lilaclead_commands_total{outcome="`+outcome+`"}`)
		count += n
	}
	return count
}

// A fleet runs one task after the other on each machine for some minutes. The test reports what the
// exits cost that are kept until a higher token: heartbeats, writes, tokens and refused commands.
// SCENARIO_MACHINES asks for another number of machines.
func TestHeartbeatsStayWithinLimitOnBusyFleet(t *testing.T) {
	t.Parallel()
	const taskSeconds, measured = 25, 6 * time.Minute
	settings, machines := busyFleetSettings(), fleetSize()
	tasksPerArray := max(30, machines/10)
	runWithSettings(t, settings, 660, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sim.SetCapacity(machines / 2) // in each of two zones
		var jobs []simulator.JobScript
		submitArray := func(runSeconds float64) {
			j := array(1+len(jobs), tasksPerArray, runSeconds)
			j.Spec.CPUs, j.Spec.SpotAllowed, j.Spec.MachineTypes = 4, false, []wire.MachineType{"c4"}
			j.Spec.Priority = wire.PriorityUrgent
			jobs = append(jobs, j)
			sim.Submit(j, 0)
		}
		sleepUntil(2 * time.Second)
		begin := time.Now()
		tokens, lastToken, firstRevision := 0, wire.FencingToken(0), sim.State.LastRevision()
		for time.Since(begin) < measured {
			waiting := 0
			sim.WithChecker(func(c *simulator.Checker) {
				for _, j := range jobs {
					waiting += j.Spec.Tasks - c.Completed(j.Spec.ID) - c.TasksOnMachines(j.Spec.ID)
				}
			})
			for ; waiting < machines; waiting += tasksPerArray {
				submitArray(taskSeconds)
			}
			if _, token := sim.LeaderAndToken(); token > lastToken {
				tokens, lastToken = tokens+1, token
			}
			time.Sleep(time.Second)
		}
		bytes, tasks := sim.LargestHeartbeat()
		starts := 0
		sim.WithChecker(func(c *simulator.Checker) { starts = c.Starts() })
		minutes := time.Since(begin).Minutes()
		t.Logf("%d machines, %.0f starts a minute: largest heartbeat %d bytes with %d tasks, %.0f transactions and %.1f tokens a minute, commands: %.0f ok, %.0f refused, %.0f lost",
			sim.Machines(), float64(starts)/minutes, bytes, tasks, float64(sim.State.LastRevision()-firstRevision)/minutes, float64(tokens)/minutes,
			commandCount(sim, "ok"), commandCount(sim, "refused"), commandCount(sim, "lost"))
		if bytes > wire.MaxBodyBytes {
			t.Errorf("largest heartbeat: got %d bytes, want at most %d", bytes, wire.MaxBodyBytes)
		}
		waitUntil(t, 6*time.Minute, "all jobs are complete", func() bool { return allComplete(sim, jobs) })
	})
}
