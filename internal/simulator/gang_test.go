package simulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/wire"
)

// gangSpec returns the specification of a gang.
func gangSpec(id wire.JobID, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent, Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 1,
		SameZone: true, CheckpointInterval: 20, CheckpointTime: 2, ExpectedRunTime: 50}
}

// The checker must record each rule about gangs when a case violates it.
func TestEveryGangRuleCanBeViolated(t *testing.T) {
	t0 := time.Unix(1000, 0)
	here, there := Place{Machine: "n-1", Type: "c4", Zone: "a"}, Place{Machine: "n-2", Type: "c4", Zone: "b"}
	task := func(i int) wire.TaskID { return wire.TaskID{Job: "req-000001", Index: i} }
	complete := func(c *Checker) {
		for i := range 2 {
			c.TaskStarted(task(i), here, t0)
		}
	}
	big := gangSpec("req-000002", 6)
	cases := map[string]struct {
		rule    Rule
		violate func(c *Checker)
	}{
		"runs without a task":                          {HalfRun, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.GangBegan("req-000001", t0) }},
		"waits in another zone":                        {WrongPlace, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskStarted(task(1), there, t0) }},
		"waits while an older attempt is on a machine": {RanTwice, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskStarted(task(0), there, t0) }},
		"waits over the limit": {Quota, func(c *Checker) {
			c.Limits["red"] = TeamLimit{CPUs: 3}
			complete(c)
		}},
		"called done before its end": {NotDone, func(c *Checker) {
			complete(c)
			c.GangBegan("req-000001", t0)
			c.StatusToldNow("req-000001", wire.StatusDone, t0)
		}},
		"waits after a cancellation": {RanCancelled, func(c *Checker) {
			c.CancelRequested("req-000001")
			c.StatusToldNow("req-000001", wire.StatusCancelled, t0)
			c.TaskStarted(task(0), here, t0.Add(11*time.Second))
		}},
		"accepted over the limit": {AcceptedWrongly, func(c *Checker) { c.Submitted(big); c.Accepted("req-000002", t0) }},
		"refused within the limit": {RefusedWrongly, func(c *Checker) {
			c.Submitted(gangSpec("req-000003", 5))
			c.Refused("req-000003", 422, t0)
		}},
		"never runs whole": {Unserved, func(c *Checker) {
			c.Accepted("req-000001", t0)
			complete(c)
			c.Finish(t0.Add(5 * time.Minute))
		}},
		"left waiting beside free capacity": {LeftWaiting, func(c *Checker) {
			c.Accepted("req-000001", t0)
			r := MachineCapacity{Place: here, Usable: true, CPUs: 4, MemoryGB: 16, DiskGB: 20}
			for s := range 200 {
				c.ObserveFaults(t0, true)
				c.ObserveCapacity([]MachineCapacity{r}, t0.Add(time.Duration(s)*time.Second))
			}
		}},
	}
	for name, test := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 10}})
		c.MachineSpecs = []wire.MachineSpec{{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 20, Zones: []wire.Zone{"a", "b"}}}
		c.Submitted(gangSpec("req-000001", 2))
		test.violate(c)
		found := false
		for _, violation := range c.Violations {
			found = found || violation.Rule == test.rule
		}
		if !found {
			t.Errorf("%s: recorded %v, want %s among them", name, c.Violations, test.rule)
		}
	}
}

// The checker must record no violation for allowed behaviour of gangs.
func TestAllowedGangBehaviourIsNoViolation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	machine := func(z wire.Zone, cpus float64) MachineCapacity {
		return MachineCapacity{Place: Place{Machine: wire.MachineID("n-" + string(z)), Type: "c4", Zone: z}, Usable: true, CPUs: cpus, MemoryGB: 16, DiskGB: 20}
	}
	cases := map[string][]MachineCapacity{
		"capacity in two zones for a gang of one zone": {machine("a", 2), machine("b", 2)},
		"capacity for half of the gang":                {machine("a", 2)},
		"a task of an attempt is on the machine":       {func() MachineCapacity { m := machine("a", 4); m.Tasks = []wire.TaskID{{Job: "req-000001"}}; return m }()},
	}
	for name, capacities := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 10}})
		c.Submitted(gangSpec("req-000001", 2))
		c.Accepted("req-000001", t0)
		for s := range 200 {
			c.ObserveFaults(t0, true)
			c.ObserveCapacity(capacities, t0.Add(time.Duration(s)*time.Second))
		}
		if len(c.Violations) > 0 {
			t.Errorf("%s: recorded %v, want none", name, c.Violations)
		}
	}
}

// runWithWorkers runs a test with machines but no controllers. The test's function execute has the
// worker with an index execute commands.
func runWithWorkers(t *testing.T, machines int, run func(sim *Simulation, workers []*worker, execute func(i int, commands ...wire.Command))) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		settings := DefaultSettings()
		settings.Size = 1
		sim := New(ctx, settings, 1, nil, nil)
		var workers []*worker
		sim.mu.Lock()
		for range machines {
			workers = append(workers, sim.machines[sim.provisionMachine("c4", "a", false, 0)])
		}
		sim.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		run(sim, workers, func(i int, commands ...wire.Command) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			workers[i].leaseRenewedAt = time.Now().Add(time.Hour) // no controller renews the lease
			workers[i].execute(commands)
		})
		cancel()
		sim.Close()
	})
}

// launchCommand returns a command that launches a task of the gang under test.
func launchCommand(i int, attempt wire.AttemptNumber) wire.Command {
	return wire.Command{Verb: wire.VerbLaunch, Task: wire.TaskID{Job: "req-000001", Index: i}.String(), Attempt: attempt}
}

// stopCommand returns a command that stops a task of the gang under test.
func stopCommand(i int, attempt wire.AttemptNumber, gracePeriod wire.Seconds) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: wire.TaskID{Job: "req-000001", Index: i}.String(), Attempt: attempt, GracePeriod: &gracePeriod}
}

// The fake workers must run gangs as the protocol says.
func TestWorkersRunGangs(t *testing.T) {
	const second = time.Second
	launchAll := func(execute func(int, ...wire.Command), n int, attempt wire.AttemptNumber) {
		for i := range n {
			execute(i, launchCommand(i, attempt))
		}
	}
	cases := map[string]func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(i int, phase wire.TaskPhase, cause wire.ExitCause, saved bool)){
		"start and end together at the slowest speed": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			sim.SetMachineSpeed(workers[1].id, 0.5)
			launchAll(execute, 3, 1)
			time.Sleep(1500 * time.Millisecond)
			check(0, wire.PhaseWaiting, "", false)
			check(1, wire.PhaseFetching, "", false)
			time.Sleep(second)
			check(0, wire.PhaseRunning, "", false)
			time.Sleep(98 * second)
			check(2, wire.PhaseRunning, "", false)
			time.Sleep(3 * second)
			for i := range 3 {
				check(i, wire.PhaseExited, wire.CauseDone, false)
			}
		},
		"a member times out alone": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 2, 1)
			time.Sleep(45 * second)
			check(0, wire.PhaseWaiting, "", false)
			time.Sleep(3 * second)
			check(0, wire.PhaseExited, wire.CauseGangIncomplete, false)
		},
		"a replacement completes it, another attempt does not": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 2, 1)
			execute(2, launchCommand(2, 2))
			time.Sleep(5 * second)
			check(0, wire.PhaseWaiting, "", false)
			check(2, wire.PhaseWaiting, "", false)
			execute(2, stopCommand(2, 2, 10), launchCommand(2, 1))
			time.Sleep(2 * second)
			check(0, wire.PhaseRunning, "", false)
		},
		"a lost machine breaks the gang": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 3, 1)
			time.Sleep(32 * second)
			sim.ReclaimMachine(workers[0].id)
			check(1, wire.PhaseRunning, "", false)
			time.Sleep(9 * second)
			check(1, wire.PhaseExited, wire.CauseGangBroken, false)
			if state := sim.GangState("req-000001"); state.SavedSeconds != 20 {
				t.Errorf("GangState() = %+v, want 20 s saved", state)
			}
		},
		"a hung machine breaks the gang": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 3, 1)
			time.Sleep(10 * second)
			sim.HangMachines(true, workers[0].id)
			time.Sleep(13 * second)
			check(1, wire.PhaseExited, wire.CauseGangBroken, false)
			check(0, wire.PhaseRunning, "", false)
			sim.HangMachines(false, workers[0].id)
			time.Sleep(second)
			check(0, wire.PhaseExited, wire.CauseGangBroken, false)
		},
		"a stop of all members saves a checkpoint": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 3, 1)
			time.Sleep(11 * second)
			execute(0, stopCommand(0, 1, 2))
			time.Sleep(6 * second)
			check(0, wire.PhaseCheckpointing, "", false)
			execute(1, stopCommand(1, 1, 2))
			execute(2, stopCommand(2, 1, 2))
			time.Sleep(3 * second)
			for i := range 3 {
				check(i, wire.PhaseExited, wire.CauseStopped, true)
			}
			launchAll(execute, 3, 2) // continues from the checkpoint
			time.Sleep(35 * second)
			check(0, wire.PhaseRunning, "", false)
			time.Sleep(6 * second)
			check(0, wire.PhaseExited, wire.CauseDone, false)
		},
		"a stop of some members breaks the gang": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 3, 1)
			time.Sleep(11 * second)
			execute(0, stopCommand(0, 1, 2))
			execute(1, stopCommand(1, 1, 2))
			time.Sleep(9 * second)
			check(2, wire.PhaseExited, wire.CauseGangBroken, false)
			if state := sim.GangState("req-000001"); state.SavedSeconds != 0 || state.Rollbacks != 1 {
				t.Errorf("GangState() = %+v, want nothing saved and 1 rollback", state)
			}
		},
		"a grace period too short to save breaks the gang": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 3, 1)
			time.Sleep(11 * second)
			execute(0, stopCommand(0, 1, 2))
			execute(1, stopCommand(1, 1, 1))
			check(1, wire.PhaseExited, wire.CauseStopped, false)
			time.Sleep(9 * second)
			check(2, wire.PhaseExited, wire.CauseGangBroken, false)
			if state := sim.GangState("req-000001"); state.SavedSeconds != 0 || state.Rollbacks != 1 {
				t.Errorf("GangState() = %+v, want nothing saved and 1 rollback", state)
			}
		},
		"a stop while waiting": func(t *testing.T, sim *Simulation, workers []*worker, execute func(int, ...wire.Command), check func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			launchAll(execute, 2, 1)
			time.Sleep(3 * second)
			execute(0, stopCommand(0, 1, 30))
			check(0, wire.PhaseExited, wire.CauseStopped, false)
			check(1, wire.PhaseWaiting, "", false)
		},
	}
	for name, do := range cases {
		t.Run(name, func(t *testing.T) {
			runWithWorkers(t, 3, func(sim *Simulation, workers []*worker, execute func(int, ...wire.Command)) {
				script := JobScript{RunTime: 50, Spec: gangSpec("req-000001", 3)}
				sim.RegisterJob(script)
				do(t, sim, workers, execute, func(i int, phase wire.TaskPhase, cause wire.ExitCause, saved bool) {
					t.Helper()
					sim.mu.Lock()
					defer sim.mu.Unlock()
					run := workers[i].tasks[wire.TaskID{Job: "req-000001", Index: i}]
					if run == nil || run.phase != phase || run.cause != cause || run.checkpointed != saved {
						t.Errorf("task %d is %+v, want phase %s, cause %s, checkpointed %v", i, run, phase, cause, saved)
					}
				})
			})
		})
	}
}
