package reconcile

import (
	"errors"
	"testing"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// launchDirectly marks the fixture's attempt as launched by a direct command that was answered.
func (f *fixture) launchDirectly() {
	f.attempt.LaunchSent, f.attempt.LaunchEpoch = true, 1
	f.machine.RecordDirectLaunch(f.attempt.Task(), cluster.DirectLaunch{Attempt: testAttempt, Token: testToken, Epoch: 1})
}

func TestMissingAttemptIsKeptWhileACopyOfItsLaunchIsAccepted(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture)
		token wire.FencingToken // in the heartbeat that lacks the attempt
		want  attemptOutcome
	}{
		{"was seen, same token", func(f *fixture) { f.attempt.SeenInHeartbeat = true }, testToken, attemptKept},
		{"was seen, higher token", func(f *fixture) { f.attempt.SeenInHeartbeat = true }, testToken + 1, attemptLost},
		{"was seen, same token, a higher one is acquired", func(f *fixture) { f.attempt.SeenInHeartbeat, f.Fencing.Token = true, testToken+1 }, testToken, attemptKept},
		{"to be stopped, same token", func(f *fixture) { f.attempt.Stopping = true }, testToken, attemptKept},
		{"to be stopped, higher token", func(f *fixture) { f.attempt.Stopping = true }, testToken + 1, attemptWithdrawn},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.launchDirectly()
			tc.setup(f)
			before := *f.attempt
			f.Reconcile(f.machine, heartbeat(1, 12, tc.token), true, time.Now())
			if got := f.outcomeOfAttempt(before); got != tc.want {
				t.Errorf("attempt: got %q, want %q", got, tc.want)
			}
			if wantRaise := tc.want == attemptKept && f.Fencing.Token == testToken; f.Fencing.RaiseRequested != wantRaise {
				t.Errorf("higher token requested: got %v, want %v", f.Fencing.RaiseRequested, wantRaise)
			}
		})
	}
}

// A machine that restarted accepts copies of launches from before, until it is returned or its lease
// expires.
func TestTasksOfRestartedMachineAreKeptAndItsLeaseIsNotRenewed(t *testing.T) {
	f := newFixture(t)
	f.launchDirectly()
	f.attempt.SeenInHeartbeat = true
	f.OnCommandOutcome(agents.CommandOutcome{
		Machine:             f.machine,
		LastHeartbeatBefore: wire.HeartbeatPosition{Epoch: 1, Sequence: 10},
		Commands:            wire.Commands{Token: testToken, Epoch: 1},
		Heartbeat:           heartbeat(1, 2, testToken),
		Status:              200,
	})
	if !f.machine.Restarted || f.job.ActiveTasks != 1 {
		t.Errorf("machine restarted %v, active tasks %d; want true and 1", f.machine.Restarted, f.job.ActiveTasks)
	}
	renewedAt := f.machine.LastResponseAt
	response := f.answerHeartbeat(heartbeat(1, 30, testToken), false, time.Now())
	if !errors.Is(response.Rejected, errMachineRestarted) || !f.machine.LastResponseAt.Equal(renewedAt) {
		t.Errorf("response to a heartbeat: got %+v, want rejected because of the restart", response)
	}
}
