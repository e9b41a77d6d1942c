package liveness

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestVerdictOnUnresponsiveMachine(t *testing.T) {
	twoProbesFailed := func(_ *fixture, machine *cluster.Machine) {
		machine.UnansweredCommands, machine.LastRelayUnanswered = 2, true
	}
	oneProbeFailed := func(_ *fixture, machine *cluster.Machine) { machine.UnansweredCommands = 1 }
	isolated := machineCounts{up: 10, unresponsive: 6}
	cases := []struct {
		name         string
		sinceMessage time.Duration
		setup        func(f *fixture, machine *cluster.Machine)
		counts       machineCounts
		want         bool
	}{
		{"two probes failed", 5600 * time.Millisecond, twoProbesFailed, machineCounts{}, true},
		{"two probes failed early", 5500 * time.Millisecond, twoProbesFailed, machineCounts{}, false},
		{"two probes failed, none through another node", 6 * time.Second, func(_ *fixture, machine *cluster.Machine) { machine.UnansweredCommands = 2 }, machineCounts{}, false},
		{"one probe failed", 6 * time.Second, oneProbeFailed, machineCounts{}, false},
		{"one probe failed, long overdue", 8600 * time.Millisecond, oneProbeFailed, machineCounts{}, true},
		{"one probe failed, just not long overdue", 8500 * time.Millisecond, oneProbeFailed, machineCounts{}, false},
		{"never probed", time.Minute, func(*fixture, *cluster.Machine) {}, machineCounts{}, false},
		{"no address to probe", time.Minute, func(_ *fixture, machine *cluster.Machine) { machine.Addr = "" }, machineCounts{}, true},
		{"reclaim time has passed, heartbeat missing", 3100 * time.Millisecond, func(f *fixture, machine *cluster.Machine) { machine.ReclaimAt = f.now.Add(-1100 * time.Millisecond) }, machineCounts{}, true},
		{"reclaim time may not have passed", 3100 * time.Millisecond, func(f *fixture, machine *cluster.Machine) { machine.ReclaimAt = f.now.Add(-900 * time.Millisecond) }, machineCounts{}, false},
		{"reclaim time has passed, no heartbeat missing", 2900 * time.Millisecond, func(f *fixture, machine *cluster.Machine) { machine.ReclaimAt = f.now.Add(-time.Minute) }, machineCounts{}, false},
		{"this node is isolated", 6 * time.Second, twoProbesFailed, isolated, false},
		{"this node is isolated, but the machine is unlisted", 6 * time.Second, func(f *fixture, machine *cluster.Machine) {
			twoProbesFailed(f, machine)
			machine.ListedAt = f.now.Add(-31 * time.Second)
		}, isolated, true},
		{"its zone was recently partitioned", 6 * time.Second, func(f *fixture, machine *cluster.Machine) {
			twoProbesFailed(f, machine)
			f.partition("a")
		}, machineCounts{}, false},
		{"its zone was recently partitioned, waited for long enough", 82 * time.Second, func(f *fixture, machine *cluster.Machine) {
			twoProbesFailed(f, machine)
			f.State.TermStartedAt = f.now.Add(-time.Hour)
			f.partition("a")
		}, machineCounts{}, true},
		{"no machine list yet, zone unknown", 6 * time.Second, func(f *fixture, machine *cluster.Machine) {
			twoProbesFailed(f, machine)
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

func TestMachineThatFailsToBootIsScaledIn(t *testing.T) {
	cases := []struct {
		name        string
		machineType wire.MachineType
		age         time.Duration // since the machine was requested
		deciding    bool
		want        bool
	}{
		{"within the limit", "c4", 32500 * time.Millisecond, true, false},
		{"past the limit", "c4", 32600 * time.Millisecond, true, true},
		{"past the limit, not deciding", "c4", time.Hour, false, false},
		{"unknown type, within the limit", "c8", 87500 * time.Millisecond, true, false},
		{"unknown type, past the limit", "c8", 87600 * time.Millisecond, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if !tc.deciding {
				f.expireLease(true)
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
		{"a task is still active", cluster.DrainIdle, func(f *fixture, machine *cluster.Machine) { f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine) }, false},
		{"an orphaned task is still active", cluster.DrainIdle, func(_ *fixture, machine *cluster.Machine) { machine.OrphanTasks[wire.TaskID{Job: "req-9"}] = true }, false},
		{"an outcome is not stored", cluster.DrainIdle, func(f *fixture, machine *cluster.Machine) {
			f.State.UnsavedChanges.MarkDirty(f.addJob(wire.KindArray, 1).Chunk(0))
			machine.LastUsedAt = time.Now().Add(time.Second)
		}, false},
		{"scale-in begun by an earlier leader, a task is still active", cluster.DrainAdoptedScaleIn, func(f *fixture, machine *cluster.Machine) { f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine) }, true},
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

func TestMachineOfUnstoppableCancelledTaskIsScaledIn(t *testing.T) {
	for name, tc := range map[string]struct {
		sinceCancel time.Duration
		recordsRead bool
		want        bool
	}{
		"within the time for stops":                 {24600 * time.Millisecond, true, false},
		"past the time for stops":                   {24700 * time.Millisecond, true, true},
		"past the time for stops, records not read": {time.Minute, false, false},
		"past the time for stops by far":            {time.Minute, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.State.RecordsRead = tc.recordsRead
			machine := f.addMachine(0)
			job := f.addJob(wire.KindArray, 1)
			f.addAttempt(job, 0, machine)
			job.Cancelled, job.CancelledAt = true, f.now.Add(-tc.sinceCancel)
			f.scaleInUncancellable(f.now)
			if machine.ScalingIn != tc.want {
				t.Errorf("cancelled %v ago, records read %v: scaled in %v, want %v", tc.sinceCancel, tc.recordsRead, machine.ScalingIn, tc.want)
			}
		})
	}
}

func TestHigherTokenIsRequestedAgainstUnwantedLaunch(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture, attempt *cluster.Attempt)
		want  bool
	}{
		{"machine draining", func(*fixture, *cluster.Attempt) {}, true},
		{"stopping", func(_ *fixture, attempt *cluster.Attempt) {
			attempt.Machine.DrainReason, attempt.Stopping = "", true
		}, true},
		{"launch still wanted", func(_ *fixture, attempt *cluster.Attempt) { attempt.Machine.DrainReason = "" }, false},
		{"scheduled recently", func(f *fixture, attempt *cluster.Attempt) { attempt.ScheduledAt = f.now.Add(-unansweredLaunchTimeout) }, false},
		{"seen in a heartbeat", func(_ *fixture, attempt *cluster.Attempt) { attempt.SeenInHeartbeat = true }, false},
		{"launch answered", func(_ *fixture, attempt *cluster.Attempt) { attempt.LaunchUnanswered = false }, false},
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
				t.Errorf("attempt %+v: higher token requested %v, want %v", *attempt, f.Fencing.RaiseRequested, tc.want)
			}
		})
	}
}
