package simulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/wire"
)

// gangSpec is a gang of so many tasks.
func gangSpec(id wire.JobID, parts int) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent, Tasks: parts, CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 1,
		SameZone: true, CheckpointInterval: 20, CheckpointTime: 2, ExpectedRunTime: 50}
}

// Each check that gangs brought is broken here once, deliberately.
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
		rule Rule
		do   func(c *Checker)
	}{
		"runs by half":                       {HalfRun, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.GangBegan("req-000001", t0) }},
		"waits in another zone":              {WrongPlace, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskStarted(task(1), there, t0) }},
		"waits while an older attempt is on": {RanTwice, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskStarted(task(0), there, t0) }},
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
		"left waiting beside room": {LeftWaiting, func(c *Checker) {
			c.Accepted("req-000001", t0)
			r := MachineRoom{Place: here, Usable: true, CPUs: 4, MemoryGB: 16, DiskGB: 20}
			for s := range 200 {
				c.ObserveFaults(t0, true)
				c.ObserveRoom([]MachineRoom{r}, t0.Add(time.Duration(s)*time.Second))
			}
		}},
	}
	for name, k := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 10}})
		c.MachineSpecs = []wire.MachineSpec{{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 20, Zones: []wire.Zone{"a", "b"}}}
		c.Submitted(gangSpec("req-000001", 2))
		k.do(c)
		found := false
		for _, b := range c.Violations {
			found = found || b.Rule == k.rule
		}
		if !found {
			t.Errorf("%s: noted %v, want %s", name, c.Violations, k.rule)
		}
	}
}

// What breaks no rule of gangs must not be noted.
func TestAllowedGangBehaviourIsNoViolation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	room := func(z wire.Zone, cpus float64) MachineRoom {
		return MachineRoom{Place: Place{Machine: wire.MachineID("n-" + string(z)), Type: "c4", Zone: z}, Usable: true, CPUs: cpus, MemoryGB: 16, DiskGB: 20}
	}
	cases := map[string][]MachineRoom{
		"room in two zones for one place": {room("a", 2), room("b", 2)},
		"room for half of it":             {room("a", 2)},
		"an attempt is there":             {func() MachineRoom { r := room("a", 4); r.Tasks = []wire.TaskID{{Job: "req-000001"}}; return r }()},
	}
	for name, rooms := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 10}})
		c.Submitted(gangSpec("req-000001", 2))
		c.Accepted("req-000001", t0)
		for s := range 200 {
			c.ObserveFaults(t0, true)
			c.ObserveRoom(rooms, t0.Add(time.Duration(s)*time.Second))
		}
		if len(c.Violations) > 0 {
			t.Errorf("%s: noted %v", name, c.Violations)
		}
	}
}

// runWithWorkers runs a test with some machines without controllers, whose workers are told what to do.
func runWithWorkers(t *testing.T, n int, do func(sim *Simulation, ms []*worker, order func(i int, o ...wire.Command))) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		set := DefaultSettings()
		set.Size = 1
		sim := New(ctx, set, 1, nil, nil)
		var ms []*worker
		sim.mu.Lock()
		for range n {
			ms = append(ms, sim.machines[sim.provisionMachine("c4", "a", false, 0)])
		}
		sim.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		do(sim, ms, func(i int, o ...wire.Command) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			ms[i].leaseRenewedAt = time.Now().Add(time.Hour) // nobody answers here
			ms[i].execute(o)
		})
		cancel()
		sim.Close()
	})
}

// launchCommand starts a task of the tests' gang.
func launchCommand(i int, try wire.AttemptNumber) wire.Command {
	return wire.Command{Verb: wire.VerbLaunch, Task: wire.TaskID{Job: "req-000001", Index: i}.String(), Attempt: try}
}

// stopCommand stops one.
func stopCommand(i int, try wire.AttemptNumber, gracePeriod wire.Seconds) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: wire.TaskID{Job: "req-000001", Index: i}.String(), Attempt: try, GracePeriod: &gracePeriod}
}

// The workers do with gangs what the page says.
func TestWorkersRunGangs(t *testing.T) {
	const s = time.Second
	all := func(order func(int, ...wire.Command), n int, try wire.AttemptNumber) {
		for i := range n {
			order(i, launchCommand(i, try))
		}
	}
	cases := map[string]func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(i int, p wire.TaskPhase, c wire.ExitCause, saved bool)){
		"start and end together at the slowest speed": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			sim.SetMachineSpeed(ms[1].id, 0.5)
			all(order, 3, 1)
			time.Sleep(1500 * time.Millisecond)
			is(0, wire.PhaseWaiting, "", false)
			is(1, wire.PhaseFetching, "", false)
			time.Sleep(s)
			is(0, wire.PhaseRunning, "", false)
			time.Sleep(98 * s)
			is(2, wire.PhaseRunning, "", false)
			time.Sleep(3 * s)
			for i := range 3 {
				is(i, wire.PhaseExited, wire.CauseDone, false)
			}
		},
		"alone": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 2, 1)
			time.Sleep(45 * s)
			is(0, wire.PhaseWaiting, "", false)
			time.Sleep(3 * s)
			is(0, wire.PhaseExited, wire.CauseGangIncomplete, false)
		},
		"a replacement completes it, another attempt does not": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 2, 1)
			order(2, launchCommand(2, 2))
			time.Sleep(5 * s)
			is(0, wire.PhaseWaiting, "", false)
			is(2, wire.PhaseWaiting, "", false)
			order(2, stopCommand(2, 2, 10), launchCommand(2, 1))
			time.Sleep(2 * s)
			is(0, wire.PhaseRunning, "", false)
		},
		"a loss": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 3, 1)
			time.Sleep(32 * s)
			sim.ReclaimMachine(ms[0].id)
			is(1, wire.PhaseRunning, "", false)
			time.Sleep(9 * s)
			is(1, wire.PhaseExited, wire.CauseGangBroken, false)
			if g := sim.GangState("req-000001"); g.Saved != 20 {
				t.Errorf("%+v, want 20 s kept", g)
			}
		},
		"a hung machine": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 3, 1)
			time.Sleep(10 * s)
			sim.HangMachines(true, ms[0].id)
			time.Sleep(13 * s)
			is(1, wire.PhaseExited, wire.CauseGangBroken, false)
			is(0, wire.PhaseRunning, "", false)
			sim.HangMachines(false, ms[0].id)
			time.Sleep(s)
			is(0, wire.PhaseExited, wire.CauseGangBroken, false)
		},
		"an orderly stop": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 3, 1)
			time.Sleep(11 * s)
			order(0, stopCommand(0, 1, 2))
			time.Sleep(6 * s)
			is(0, wire.PhaseCheckpointing, "", false)
			order(1, stopCommand(1, 1, 2))
			order(2, stopCommand(2, 1, 2))
			time.Sleep(3 * s)
			for i := range 3 {
				is(i, wire.PhaseExited, wire.CauseStopped, true)
			}
			all(order, 3, 2) // goes on from there
			time.Sleep(35 * s)
			is(0, wire.PhaseRunning, "", false)
			time.Sleep(6 * s)
			is(0, wire.PhaseExited, wire.CauseDone, false)
		},
		"told too late": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 3, 1)
			time.Sleep(11 * s)
			order(0, stopCommand(0, 1, 2))
			order(1, stopCommand(1, 1, 2))
			time.Sleep(9 * s)
			is(2, wire.PhaseExited, wire.CauseGangBroken, false)
			if g := sim.GangState("req-000001"); g.Saved != 0 || g.Rollbacks != 1 {
				t.Errorf("%+v, want nothing kept", g)
			}
		},
		"too little grace": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 3, 1)
			time.Sleep(11 * s)
			order(0, stopCommand(0, 1, 2))
			order(1, stopCommand(1, 1, 1))
			is(1, wire.PhaseExited, wire.CauseStopped, false)
			time.Sleep(9 * s)
			is(2, wire.PhaseExited, wire.CauseGangBroken, false)
			if g := sim.GangState("req-000001"); g.Saved != 0 || g.Rollbacks != 1 {
				t.Errorf("%+v, want nothing kept", g)
			}
		},
		"stopped while it waits": func(t *testing.T, sim *Simulation, ms []*worker, order func(int, ...wire.Command), is func(int, wire.TaskPhase, wire.ExitCause, bool)) {
			all(order, 2, 1)
			time.Sleep(3 * s)
			order(0, stopCommand(0, 1, 30))
			is(0, wire.PhaseExited, wire.CauseStopped, false)
			is(1, wire.PhaseWaiting, "", false)
		},
	}
	for name, do := range cases {
		t.Run(name, func(t *testing.T) {
			runWithWorkers(t, 3, func(sim *Simulation, ms []*worker, order func(int, ...wire.Command)) {
				truth := JobScript{RunTime: 50, Spec: gangSpec("req-000001", 3)}
				sim.RegisterJob(truth)
				do(t, sim, ms, order, func(i int, p wire.TaskPhase, c wire.ExitCause, saved bool) {
					t.Helper()
					sim.mu.Lock()
					defer sim.mu.Unlock()
					x := ms[i].tasks[wire.TaskID{Job: "req-000001", Index: i}]
					if x == nil || x.phase != p || x.cause != c || x.checkpointed != saved {
						t.Errorf("task %d is %+v, want %s %s %v", i, x, p, c, saved)
					}
				})
			})
		})
	}
}
