package liveness

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

// breakInboundPath makes the inbound path of a machine count as lost since the given time ago.
func (f *fixture) breakInboundPath(machine *cluster.Machine, ago time.Duration, commandUnanswered bool) {
	lacksLaunch := detector.HeartbeatEvidence{LacksLaunch: func() bool { return true }}
	machine.Inbound.RecordResponse(0, 1, 8)
	if commandUnanswered {
		machine.Inbound.RecordUnansweredCommand()
	}
	for _, sequence := range []wire.Sequence{9, 10} {
		machine.Inbound.ObserveHeartbeat(&wire.Heartbeat{Epoch: 1, Sequence: sequence}, lacksLaunch, f.now.Add(-ago))
	}
}

func TestMachineThatReceivesNothingIsScaledIn(t *testing.T) {
	cases := []struct {
		name              string
		lostFor           time.Duration
		commandUnanswered bool
		setup             func(f *fixture, attempt *cluster.Attempt)
		want              bool
	}{
		{"a launch is unconfirmed", 3100 * time.Millisecond, true, func(_ *fixture, attempt *cluster.Attempt) { attempt.SeenInHeartbeat = false }, true},
		{"a stop is unconfirmed", 3100 * time.Millisecond, true, func(_ *fixture, attempt *cluster.Attempt) { attempt.Stopping = true }, true},
		{"a launch is unconfirmed, path lost only recently", 3 * time.Second, true, func(_ *fixture, attempt *cluster.Attempt) { attempt.SeenInHeartbeat = false }, false},
		{"a launch is unconfirmed, no command failed", 3100 * time.Millisecond, false, func(_ *fixture, attempt *cluster.Attempt) { attempt.SeenInHeartbeat = false }, false},
		{"a launch is unconfirmed, attempt not stored", 3100 * time.Millisecond, true, func(_ *fixture, attempt *cluster.Attempt) { attempt.SeenInHeartbeat, attempt.Unstored = false, true }, false},
		{"nothing is unconfirmed", 16 * time.Second, true, func(*fixture, *cluster.Attempt) {}, false},
		{"nothing is unconfirmed, the lease has expired", 16100 * time.Millisecond, false, func(*fixture, *cluster.Attempt) {}, true},
		{"the lease has expired, not deciding", time.Minute, true, func(f *fixture, _ *cluster.Attempt) { f.expireLease(true) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(0)
			attempt := f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine)
			f.breakInboundPath(machine, tc.lostFor, tc.commandUnanswered)
			if machine.Inbound.Works() {
				t.Fatal("the inbound path is not lost")
			}
			tc.setup(f, attempt)
			f.checkInboundPath(machine, f.now)
			if got := machine.DrainReason == cluster.DrainInboundConnectivityLost; got != tc.want {
				t.Errorf("lost for %v, command unanswered %v: scaled in %v, want %v", tc.lostFor, tc.commandUnanswered, got, tc.want)
			}
		})
	}
}

func TestMachineWhoseHeartbeatsDontArriveIsScaledIn(t *testing.T) {
	for name, tc := range map[string]struct {
		missingFor  time.Duration
		singleFault bool
		want        bool
	}{
		"the lease may not have expired":           {20 * time.Second, true, false},
		"the lease has expired":                    {20100 * time.Millisecond, true, true},
		"the lease has expired, many machines":     {20100 * time.Millisecond, false, false},
		"within the partition wait, many machines": {82 * time.Second, false, false},
		"past the partition wait, many machines":   {82100 * time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(0)
			machine.HeartbeatsMissingSince = f.now.Add(-tc.missingFor)
			f.checkOutboundPath(machine, f.now, tc.singleFault)
			if got := machine.DrainReason == cluster.DrainOutboundConnectivityLost; got != tc.want {
				t.Errorf("missing for %v, single fault %v: scaled in %v, want %v", tc.missingFor, tc.singleFault, got, tc.want)
			}
		})
	}
}

func TestStopWithoutEffectIsRepeated(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture, attempt *cluster.Attempt)
		want  bool
	}{
		{"never sent", func(*fixture, *cluster.Attempt) {}, true},
		{"retry interval has passed", func(f *fixture, attempt *cluster.Attempt) { attempt.StopSentAt = f.now.Add(-2100 * time.Millisecond) }, true},
		{"retry interval has not passed", func(f *fixture, attempt *cluster.Attempt) { attempt.StopSentAt = f.now.Add(-2 * time.Second) }, false},
		{"not stopping", func(_ *fixture, attempt *cluster.Attempt) { attempt.Stopping = false }, false},
		{"not stored", func(_ *fixture, attempt *cluster.Attempt) { attempt.Unstored = true }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(0)
			attempt := f.addAttempt(f.addJob(wire.KindArray, 1), 0, machine)
			attempt.Stopping = true
			tc.setup(f, attempt)
			f.repeatStops(machine, f.now)
			if machine.CommandInFlight != tc.want {
				t.Errorf("attempt %+v: sent again %v, want %v", *attempt, machine.CommandInFlight, tc.want)
			}
		})
	}
}
