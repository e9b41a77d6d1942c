package simulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/wire"
)

// A copy of a launch has no effect while the attempt is listed, starts it again once it is forgotten,
// and is refused once its token or its epoch has passed.
func TestCopyOfLaunchIsExecutedWhileTokenAndEpochMatch(t *testing.T) {
	task := wire.TaskID{Job: "req-000001"}
	launch := wire.Commands{Token: 5, Epoch: 1, Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: task.String(), Attempt: 1}}}
	cases := []struct {
		name  string
		setup func(m *worker)
		want  CopiedCommands
	}{
		{"attempt runs", func(*worker) {}, CopiedCommands{Delivered: 1, Executed: 1}},
		{"attempt has exited", func(m *worker) { m.tasks[task].phase = wire.PhaseExited }, CopiedCommands{Delivered: 1, Executed: 1, AfterEnd: 1}},
		{"attempt is forgotten", func(m *worker) { delete(m.tasks, task) }, CopiedCommands{Delivered: 1, Executed: 1, AfterEnd: 1, Started: 1}},
		{"another attempt runs", func(m *worker) { m.tasks[task].attempt = 2 }, CopiedCommands{Delivered: 1, Executed: 1, AfterEnd: 1}},
		{"higher token", func(m *worker) { delete(m.tasks, task); m.token = 6 }, CopiedCommands{Delivered: 1, AfterEnd: 1}},
		{"next epoch", func(m *worker) { delete(m.tasks, task); m.epoch = 2 }, CopiedCommands{Delivered: 1, AfterEnd: 1}},
		{"machine is gone", func(m *worker) { m.removed = true }, CopiedCommands{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				sim := New(ctx, DefaultSettings(), 1, nil, nil)
				defer sim.Close()
				defer cancel()
				sim.RegisterJob(JobScript{Spec: wire.JobSpec{ID: task.Job, Kind: wire.KindArray, Tasks: 1, CPUs: 1, SpotAllowed: true}, RunTime: 60})
				sim.mu.Lock()
				m := sim.machines[sim.provisionMachine("c4", "a", true, time.Second)]
				sim.mu.Unlock()
				time.Sleep(2 * time.Second)
				sim.mu.Lock()
				m.execute(launch.Commands)
				sim.mu.Unlock()
				synctest.Wait() // the task runs; its goroutine would set its phase again
				sim.mu.Lock()
				tc.setup(m)
				sim.mu.Unlock()
				m.deliverCopy(wire.Encode(launch))
				if got := sim.CopiedCommands(); got != tc.want {
					t.Errorf("copies: got %+v, want %+v", got, tc.want)
				}
				var violations int
				sim.WithChecker(func(c *Checker) {
					for _, v := range c.Violations {
						if v.Rule == AttemptRepeated {
							violations++
						}
					}
				})
				if violations != tc.want.Started {
					t.Errorf("attempts that the checker saw repeated: got %d, want %d", violations, tc.want.Started)
				}
				sim.mu.Lock()
				sim.removeMachine(m.id)
				sim.mu.Unlock()
			})
		})
	}
}

func TestDelaysOfCopiesRangeFromBelowASecondToBeyondALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := New(ctx, DefaultSettings(), 1, nil, nil)
		defer sim.Close()
		defer cancel()
		sim.CopyCommandsAtRandom(1)
		lease := sim.Settings.Workers.Lease.Duration()
		const draws = 1000
		short, long := 0, 0
		for range draws {
			switch delay := sim.commandCopies.delay(); {
			case delay < time.Second:
				short++
			case delay > lease:
				long++
			}
		}
		if short < draws/10 || long < draws/10 {
			t.Errorf("delays of %d copies: got %d below a second and %d above the lease, want a tenth of each at least", draws, short, long)
		}
	})
}
