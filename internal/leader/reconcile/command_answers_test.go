package reconcile

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestCommandOutcomes(t *testing.T) {
	notSent := &net.OpError{Op: "dial", Err: errors.New("refused")}
	connectionReset := &net.OpError{Op: "read", Err: errors.New("reset")}
	response := heartbeat(1, 12, testToken, attemptStatus(wire.PhaseFetching, ""))
	otherMachine := &wire.Heartbeat{Machine: "n-2", Epoch: 1, Sequence: 12, Token: testToken}
	cases := []struct {
		name           string
		status         int
		heartbeat      *wire.Heartbeat
		err            error
		want           outcomeKind
		wantSent       bool // the launch counts as sent
		wantUnanswered bool // the launch may take effect at any time
	}{
		{"answered", http.StatusOK, response, nil, commandAnswered, true, false},
		{"answered with a conflict", http.StatusConflict, response, nil, commandRefused, true, false},
		{"answered with another status", http.StatusServiceUnavailable, response, nil, commandOutcomeUnknown, true, true},
		{"answered by another machine", http.StatusOK, otherMachine, nil, commandOutcomeUnknown, true, true},
		{"not connected", 0, nil, notSent, commandNotSent, false, false},
		{"connection broken", 0, nil, connectionReset, commandOutcomeUnknown, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.attempt.LaunchSent, f.attempt.LaunchEpoch, f.attempt.LaunchInFlight = true, 1, true
			f.machine.CommandInFlight, f.machine.HeartbeatsMissingSince = true, time.Now()
			f.OnCommandOutcome(agents.CommandOutcome{
				Machine:             f.machine,
				LastHeartbeatBefore: wire.HeartbeatPosition{Epoch: 1, Sequence: 10},
				Commands:            wire.Commands{Token: testToken, Epoch: 1},
				Launched:            []*cluster.Attempt{f.attempt},
				Heartbeat:           tc.heartbeat,
				Status:              tc.status,
				Err:                 tc.err,
			})
			if !slices.Equal(f.commandOutcomes, []string{string(tc.want)}) {
				t.Errorf("status %d, err %v: outcomes %v, want %q", tc.status, tc.err, f.commandOutcomes, tc.want)
			}
			if f.machine.CommandInFlight || f.attempt.LaunchInFlight {
				t.Errorf("command in flight %v, launch in flight %v; want neither", f.machine.CommandInFlight, f.attempt.LaunchInFlight)
			}
			if f.attempt.LaunchSent != tc.wantSent || f.attempt.LaunchUnanswered != tc.wantUnanswered {
				t.Errorf("launch sent %v, unanswered %v; want %v, %v", f.attempt.LaunchSent, f.attempt.LaunchUnanswered, tc.wantSent, tc.wantUnanswered)
			}
			wantLaunch := cluster.UnansweredCommand{}
			if tc.wantUnanswered {
				wantLaunch = cluster.UnansweredCommand{Token: testToken, Epoch: 1}
			}
			if f.machine.UnansweredLaunch != wantLaunch {
				t.Errorf("unanswered launch %+v, want %+v", f.machine.UnansweredLaunch, wantLaunch)
			}
			answered := tc.want == commandAnswered || tc.want == commandRefused
			if got := f.machine.UnansweredCommands == 0; got != answered || f.attempt.SeenInHeartbeat != answered {
				t.Errorf("%d unanswered commands, attempt seen in heartbeat %v; want answered %v", f.machine.UnansweredCommands, f.attempt.SeenInHeartbeat, answered)
			}
			if got := !f.machine.HeartbeatsMissingSince.IsZero(); got != answered {
				t.Errorf("heartbeats counted as missing: %v, want %v", got, answered)
			}
		})
	}
}

func TestRestartedMachineIsScaledInAndItsTasksAreLost(t *testing.T) {
	f := newFixture(t)
	f.attempt.LaunchSent, f.attempt.SeenInHeartbeat = true, true
	f.OnCommandOutcome(agents.CommandOutcome{
		Machine:             f.machine,
		LastHeartbeatBefore: wire.HeartbeatPosition{Epoch: 1, Sequence: 10},
		Commands:            wire.Commands{Token: testToken, Epoch: 1},
		Heartbeat:           heartbeat(1, 2, testToken),
		Status:              http.StatusOK,
	})
	if !f.machine.Restarted || !f.machine.ScalingIn || f.machine.DrainReason != cluster.DrainRestarted {
		t.Errorf("restarted %v, scaling in %v, drained for %q; want true, true, the restart", f.machine.Restarted, f.machine.ScalingIn, f.machine.DrainReason)
	}
	if f.job.ActiveTasks != 0 || !slices.Equal(f.evictionReasons, []string{string(cluster.EvictedMissing)}) {
		t.Errorf("%d active tasks, evictions %v; want 0, one missing", f.job.ActiveTasks, f.evictionReasons)
	}
	if f.Reconcile(f.machine, heartbeat(1, 11, testToken), true, time.Now()) {
		t.Error("a heartbeat of a restarted machine counts as newer")
	}
}

func TestResponseOvertakenByHeartbeatIsNoRestart(t *testing.T) {
	f := newFixture(t)
	f.attempt.SeenInHeartbeat = true
	f.machine.Sequence = 15 // heartbeats came in while the command was in flight
	f.OnCommandOutcome(agents.CommandOutcome{
		Machine:             f.machine,
		LastHeartbeatBefore: wire.HeartbeatPosition{Epoch: 1, Sequence: 10},
		Commands:            wire.Commands{Token: testToken, Epoch: 1},
		Heartbeat:           heartbeat(1, 12, testToken),
		Status:              http.StatusOK,
	})
	if f.machine.Restarted || f.machine.Sequence != 15 || f.job.ActiveTasks != 1 {
		t.Errorf("restarted %v, sequence %d, %d active tasks; want false, 15, 1", f.machine.Restarted, f.machine.Sequence, f.job.ActiveTasks)
	}
}

func TestLaunchSeenInHeartbeatStaysSentWhenCommandIsNotSent(t *testing.T) {
	f := newFixture(t)
	f.attempt.LaunchSent, f.attempt.SeenInHeartbeat = true, true // by the response to a heartbeat
	f.OnCommandOutcome(agents.CommandOutcome{
		Machine:  f.machine,
		Commands: wire.Commands{Token: testToken, Epoch: 1},
		Launched: []*cluster.Attempt{f.attempt},
		Err:      &net.OpError{Op: "dial", Err: errors.New("refused")},
	})
	if !f.attempt.LaunchSent {
		t.Error("an attempt that a heartbeat has shown counts as not sent")
	}
}
