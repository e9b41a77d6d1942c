package agents

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// exitedStatus is the status of attempt 3 of the fixture's second task, of which there is no record.
var exitedStatus = wire.TaskStatus{Task: "req-1/1", Attempt: 3, Phase: wire.PhaseExited, Cause: wire.CauseError}

// recordLaunch records a direct launch of the task of exitedStatus.
func (f *fixture) recordLaunch(attempt wire.AttemptNumber, token wire.FencingToken, epoch wire.AgentEpoch) {
	f.machine.RecordDirectLaunch(wire.TaskID{Job: "req-1", Index: 1}, cluster.DirectLaunch{Attempt: attempt, Token: token, Epoch: epoch})
}

func TestExitIsKeptWhileACopyOfItsLaunchIsAccepted(t *testing.T) {
	cases := []struct {
		name      string
		setup     func(f *fixture)
		want      []wire.Verb
		wantRaise bool // a higher token is to be acquired within maxForgetDelay
	}{
		{"launched directly under the present token", func(f *fixture) { f.recordLaunch(3, testToken, 1) }, nil, true},
		{"launched directly under a lower token", func(f *fixture) { f.recordLaunch(3, testToken-1, 1) }, []wire.Verb{wire.VerbForget}, false},
		{"launched directly into an earlier epoch", func(f *fixture) { f.recordLaunch(3, testToken, 0) }, []wire.Verb{wire.VerbForget}, false},
		{"not launched directly", func(*fixture) {}, []wire.Verb{wire.VerbForget}, false},
		{"of an archived job", func(f *fixture) { f.recordLaunch(3, testToken, 1); delete(f.State.Jobs, "req-1") }, nil, true},
		{"outcome not stored", func(f *fixture) { f.recordLaunch(3, testToken, 1); f.job.Chunk(0).Dirty = true }, nil, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.attempt.SeenInHeartbeat = true
			tc.setup(f)
			now := time.Now()
			got := f.HeartbeatResponseCommands(f.machine, heartbeat(11, exitedStatus), now)
			if !slices.Equal(verbs(got), tc.want) {
				t.Errorf("commands: got %v, want %v", verbs(got), tc.want)
			}
			if f.Fencing.RaiseDue(now.Add(maxForgetDelay)) != tc.wantRaise || f.Fencing.RaiseDue(now.Add(maxForgetDelay-time.Second)) {
				t.Errorf("higher token due after the delay: got %v, want %v, and not earlier", !tc.wantRaise, tc.wantRaise)
			}
		})
	}
}

func TestManyKeptExitsRequestAHigherTokenAtOnce(t *testing.T) {
	f := newFixture(t)
	f.attempt.SeenInHeartbeat = true
	var exits []wire.TaskStatus
	for index := range manyKeptExits {
		task := wire.TaskID{Job: "req-2", Index: index}
		f.machine.RecordDirectLaunch(task, cluster.DirectLaunch{Attempt: 1, Token: testToken, Epoch: 1})
		exits = append(exits, wire.TaskStatus{Task: task.String(), Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseDone})
	}
	f.HeartbeatResponseCommands(f.machine, heartbeat(11, exits[1:]...), time.Now())
	if f.Fencing.RaiseDue(time.Now()) {
		t.Errorf("higher token due with %d kept exits: got true, want false", len(exits)-1)
	}
	f.HeartbeatResponseCommands(f.machine, heartbeat(12, exits...), time.Now())
	if !f.Fencing.RaiseDue(time.Now()) {
		t.Errorf("higher token due with %d kept exits: got false, want true", len(exits))
	}
}

// An agent may list only the last attempt of a task. Then a new attempt makes it forget the exit of
// the one before.
func TestLaunchWaitsWhileACopyOfAnEarlierAttemptIsAccepted(t *testing.T) {
	f := newFixture(t)
	f.attempt.SeenInHeartbeat = true
	next := f.addAttempt(f.job, 1, f.machine)
	f.recordLaunch(3, testToken, 1)
	f.SendDueCommands(f.machine)
	commands := f.HeartbeatResponseCommands(f.machine, heartbeat(11), time.Now())
	if next.LaunchSent || len(commands) > 0 {
		t.Errorf("launch sent under the token of an earlier attempt: got %v, commands %v, want none", next.LaunchSent, verbs(commands))
	}
	if !f.Fencing.RaiseDue(time.Now()) {
		t.Error("higher token due: got false, want true")
	}
	f.Fencing.Token++
	f.ContactWaitingMachines()
	if !next.LaunchSent {
		t.Error("launch sent under a higher token: got false, want true")
	}
	f.Fencing.Token--
	if !f.machine.DirectLaunchAcceptedWith(next.Task(), testToken+1, 1) || f.machine.OtherDirectLaunchAcceptedWith(next.Task(), testAttempt, testToken, 1) {
		t.Error("recorded launch: got that of the earlier attempt, want that of the new one with the higher token")
	}
	<-f.Events // the outcome of the request, which is not sent
}
