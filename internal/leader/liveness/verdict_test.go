package liveness

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestMachineLost(t *testing.T) {
	probed := func(_ *fixture, machine *cluster.Machine) {
		machine.UnansweredCommands, machine.RelayUnanswered = 2, true
	}
	once := func(_ *fixture, machine *cluster.Machine) { machine.UnansweredCommands = 1 }
	isolated := machineCounts{up: 10, unresponsive: 6}
	cases := []struct {
		name         string
		sinceMessage time.Duration
		setup        func(f *fixture, machine *cluster.Machine)
		counts       machineCounts
		want         bool
	}{
		{"two probes failed", 5600 * time.Millisecond, probed, machineCounts{}, true},
		{"two probes failed early", 5500 * time.Millisecond, probed, machineCounts{}, false},
		{"not probed through another node", 6 * time.Second, func(_ *fixture, machine *cluster.Machine) { machine.UnansweredCommands = 2 }, machineCounts{}, false},
		{"one probe failed", 6 * time.Second, once, machineCounts{}, false},
		{"one probe failed, long overdue", 8600 * time.Millisecond, once, machineCounts{}, true},
		{"one probe failed, just not long overdue", 8500 * time.Millisecond, once, machineCounts{}, false},
		{"never probed", time.Minute, func(*fixture, *cluster.Machine) {}, machineCounts{}, false},
		{"no address to probe", time.Minute, func(_ *fixture, machine *cluster.Machine) { machine.Addr = "" }, machineCounts{}, true},
		{"reclaimed by its notice", 3100 * time.Millisecond, func(f *fixture, machine *cluster.Machine) { machine.ReclaimAt = f.now.Add(-1100 * time.Millisecond) }, machineCounts{}, true},
		{"notice not over", 3100 * time.Millisecond, func(f *fixture, machine *cluster.Machine) { machine.ReclaimAt = f.now.Add(-900 * time.Millisecond) }, machineCounts{}, false},
		{"notice over, no heartbeat missing", 2900 * time.Millisecond, func(f *fixture, machine *cluster.Machine) { machine.ReclaimAt = f.now.Add(-time.Minute) }, machineCounts{}, false},
		{"this node is isolated", 6 * time.Second, probed, isolated, false},
		{"this node is isolated, but the lists lack the machine", 6 * time.Second, func(f *fixture, machine *cluster.Machine) {
			probed(f, machine)
			machine.ListedAt = f.now.Add(-31 * time.Second)
		}, isolated, true},
		{"its zone was partitioned lately", 6 * time.Second, func(f *fixture, machine *cluster.Machine) {
			probed(f, machine)
			f.partition("a")
		}, machineCounts{}, false},
		{"its zone was partitioned lately, which it has outlasted", 82 * time.Second, func(f *fixture, machine *cluster.Machine) {
			probed(f, machine)
			f.State.TermStartedAt = f.now.Add(-time.Hour)
			f.partition("a")
		}, machineCounts{}, true},
		{"no list yet, zone unknown", 6 * time.Second, func(f *fixture, machine *cluster.Machine) {
			probed(f, machine)
			machine.Zone, f.State.MachineListReceived = "", false
		}, machineCounts{}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(tc.sinceMessage)
			tc.setup(f, machine)
			if got := f.verdictOn(machine, &tc.counts, f.now).lost(); got != tc.want {
				t.Errorf("no message for %v, %d unanswered probes: lost %v, want %v", tc.sinceMessage, machine.UnansweredCommands, got, tc.want)
			}
		})
	}
}

func TestUnresponsiveMachineIsProbed(t *testing.T) {
	cases := []struct {
		name         string
		sinceMessage time.Duration
		setup        func(f *fixture, machine *cluster.Machine)
		want         bool
	}{
		{"overdue", 3200 * time.Millisecond, func(*fixture, *cluster.Machine) {}, true},
		{"not overdue", 3 * time.Second, func(*fixture, *cluster.Machine) {}, false},
		{"overdue, three probes failed", 4 * time.Second, func(_ *fixture, machine *cluster.Machine) { machine.UnansweredCommands = 3 }, true},
		{"overdue, four probes failed", 4 * time.Second, func(_ *fixture, machine *cluster.Machine) { machine.UnansweredCommands = 4 }, false},
		{"overdue, no address", 4 * time.Second, func(_ *fixture, machine *cluster.Machine) { machine.Addr = "" }, false},
		{"behind a partition", 4 * time.Second, func(f *fixture, _ *cluster.Machine) { f.partition("a") }, true},
		{"behind a partition, a probe failed", 4 * time.Second, func(f *fixture, machine *cluster.Machine) {
			machine.UnansweredCommands = 1
			f.partition("a")
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(tc.sinceMessage)
			tc.setup(f, machine)
			f.CheckMachine(machine, &machineCounts{up: 1}, f.now)
			if machine.CommandInFlight != tc.want {
				t.Errorf("no message for %v, %d unanswered probes: probed %v, want %v", tc.sinceMessage, machine.UnansweredCommands, machine.CommandInFlight, tc.want)
			}
		})
	}
}

func TestMachineThatNeverComesUpIsScaledIn(t *testing.T) {
	cases := []struct {
		name        string
		machineType wire.MachineType
		age         time.Duration
		leading     bool
		want        bool
	}{
		{"just in time", "c4", 32500 * time.Millisecond, true, false},
		{"too late", "c4", 32600 * time.Millisecond, true, true},
		{"too late, not leading", "c4", time.Hour, false, false},
		{"unknown type, just in time", "c8", 87500 * time.Millisecond, true, false},
		{"unknown type, too late", "c8", 87600 * time.Millisecond, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if !tc.leading {
				f.loseStore(true)
			}
			machine := f.addMachine(0)
			machine.Booting, machine.MachineType, machine.RequestedAt = true, tc.machineType, f.now.Add(-tc.age)
			f.CheckMachine(machine, &machineCounts{}, f.now)
			if got := machine.DrainReason == cluster.DrainBootTimeout; got != tc.want || machine.ScalingIn != tc.want {
				t.Errorf("type %s, requested %v ago: scaled in %v for %q, want %v", tc.machineType, tc.age, machine.ScalingIn, machine.DrainReason, tc.want)
			}
		})
	}
}

func TestDrainedMachineIsScaledInOnceEmptyAndStored(t *testing.T) {
	cases := []struct {
		name   string
		reason cluster.DrainReason
		setup  func(f *fixture, machine *cluster.Machine)
		want   bool
	}{
		{"empty", cluster.DrainIdle, func(*fixture, *cluster.Machine) {}, true},
		{"not draining", "", func(*fixture, *cluster.Machine) {}, false},
		{"a task is left", cluster.DrainIdle, func(f *fixture, machine *cluster.Machine) { f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine) }, false},
		{"an orphaned task is left", cluster.DrainIdle, func(_ *fixture, machine *cluster.Machine) { machine.OrphanTasks[wire.TaskID{Job: "req-9"}] = true }, false},
		{"an outcome is not stored", cluster.DrainIdle, func(f *fixture, machine *cluster.Machine) {
			f.State.UnsavedChanges.MarkDirty(f.addJob(wire.KindArray, 1).Chunk(0))
			machine.LastUsedAt = time.Now().Add(time.Second)
		}, false},
		{"adopted with a task", cluster.DrainAdoptedScaleIn, func(f *fixture, machine *cluster.Machine) { f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(0)
			machine.DrainReason = tc.reason
			tc.setup(f, machine)
			f.CheckMachine(machine, &machineCounts{up: 1}, f.now)
			if machine.ScalingIn != tc.want {
				t.Errorf("drained for %q: scaled in %v, want %v", tc.reason, machine.ScalingIn, tc.want)
			}
		})
	}
}

func TestCancelledTaskThatGoesOnHasItsMachineScaledIn(t *testing.T) {
	for name, tc := range map[string]struct {
		age       time.Duration
		recovered bool
		want      bool
	}{
		"within the time for stops":       {24600 * time.Millisecond, true, false},
		"past the time for stops":         {24700 * time.Millisecond, true, true},
		"past the time, before recovery":  {time.Minute, false, false},
		"past the time by a whole minute": {time.Minute, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.State.RecordsRead = tc.recovered
			machine := f.addMachine(0)
			job := f.addJob(wire.KindArray, 1)
			f.addAttempt(job, 0, machine)
			job.Cancelled, job.CancelledAt = true, f.now.Add(-tc.age)
			f.scaleInUncancellable(f.now)
			if machine.ScalingIn != tc.want {
				t.Errorf("cancelled %v ago, recovered %v: scaled in %v, want %v", tc.age, tc.recovered, machine.ScalingIn, tc.want)
			}
		})
	}
}

func TestUnansweredLaunchIsEndedByAHigherTokenWhereNothingMayStart(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture, attempt *cluster.Attempt)
		want  bool
	}{
		{"machine draining", func(*fixture, *cluster.Attempt) {}, true},
		{"stopping", func(_ *fixture, attempt *cluster.Attempt) {
			attempt.Machine.DrainReason, attempt.Stopping = "", true
		}, true},
		{"still wanted", func(_ *fixture, attempt *cluster.Attempt) { attempt.Machine.DrainReason = "" }, false},
		{"decided lately", func(f *fixture, attempt *cluster.Attempt) { attempt.ScheduledAt = f.now.Add(-unansweredLaunchTimeout) }, false},
		{"observed", func(_ *fixture, attempt *cluster.Attempt) { attempt.SeenInHeartbeat = true }, false},
		{"answered", func(_ *fixture, attempt *cluster.Attempt) { attempt.LaunchUnanswered = false }, false},
		{"not stored", func(_ *fixture, attempt *cluster.Attempt) { attempt.Unstored = true }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(0)
			machine.DrainReason = cluster.DrainSlow
			attempt := f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine)
			attempt.SeenInHeartbeat, attempt.LaunchUnanswered = false, true
			tc.setup(f, attempt)
			f.checkTasks(machine, f.now)
			if f.Fencing.RaiseRequested != tc.want {
				t.Errorf("attempt %+v: a higher token is requested %v, want %v", *attempt, f.Fencing.RaiseRequested, tc.want)
			}
		})
	}
}
