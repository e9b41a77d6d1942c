package cluster

import (
	"testing"

	"lilaclead/internal/wire"
)

func TestLaunchMayTakeEffectWhileAPathToTheAgentIsOpen(t *testing.T) {
	const oldToken = testToken - 1
	tests := map[string]struct {
		prepare     func(a *Attempt)
		heartbeat   wire.Heartbeat
		sentByAgent bool
		want        launchPath
	}{
		"nothing was sent": {
			prepare:   func(a *Attempt) {},
			heartbeat: wire.Heartbeat{Epoch: 1, Sequence: 5, Token: testToken},
		},
		"nothing was sent and the agent has an old token": {
			prepare:   func(a *Attempt) {},
			heartbeat: wire.Heartbeat{Epoch: 1, Sequence: 5, Token: oldToken},
		},
		"not stored, whatever else is set": {
			prepare: func(a *Attempt) {
				a.Unstored, a.Inherited, a.LaunchInFlight, a.LaunchEpoch = true, true, true, 1
			},
			heartbeat: wire.Heartbeat{Epoch: 1, Sequence: 5, Token: oldToken},
		},
		"inherited and the agent has an earlier leader's token": {
			prepare:   func(a *Attempt) { a.Inherited = true },
			heartbeat: wire.Heartbeat{Epoch: 1, Sequence: 5, Token: oldToken},
			want:      earlierLeaderPath,
		},
		"inherited and the agent has this term's token": {
			prepare:   func(a *Attempt) { a.Inherited = true },
			heartbeat: wire.Heartbeat{Epoch: 1, Sequence: 5, Token: testToken},
		},
		"in flight to the agent's epoch": {
			prepare:   func(a *Attempt) { a.LaunchInFlight, a.LaunchEpoch = true, 2 },
			heartbeat: wire.Heartbeat{Epoch: 2, Sequence: 5, Token: testToken},
			want:      inFlightPath,
		},
		"in flight to an earlier epoch": {
			prepare:   func(a *Attempt) { a.LaunchInFlight, a.LaunchEpoch = true, 2 },
			heartbeat: wire.Heartbeat{Epoch: 3, Sequence: 5, Token: testToken},
		},
		"unanswered with the agent's token and epoch": {
			prepare:   func(a *Attempt) { a.LaunchUnanswered, a.UnansweredLaunchToken, a.LaunchEpoch = true, testToken, 2 },
			heartbeat: wire.Heartbeat{Epoch: 2, Sequence: 5, Token: testToken},
			want:      unansweredPath,
		},
		"unanswered and the agent has a higher token": {
			prepare:   func(a *Attempt) { a.LaunchUnanswered, a.UnansweredLaunchToken, a.LaunchEpoch = true, testToken, 2 },
			heartbeat: wire.Heartbeat{Epoch: 2, Sequence: 5, Token: testToken + 1},
		},
		"unanswered and the agent has a later epoch": {
			prepare:   func(a *Attempt) { a.LaunchUnanswered, a.UnansweredLaunchToken, a.LaunchEpoch = true, testToken, 2 },
			heartbeat: wire.Heartbeat{Epoch: 3, Sequence: 5, Token: testToken},
		},
		"in a response, and a later heartbeat answers a command": {
			prepare:   func(a *Attempt) { a.ResponseEpoch, a.ResponseSequence = 2, 5 },
			heartbeat: wire.Heartbeat{Epoch: 2, Sequence: 6, Token: testToken},
			want:      responsePath,
		},
		"in a response, and the heartbeat that it answered arrives again": {
			prepare:     func(a *Attempt) { a.ResponseEpoch, a.ResponseSequence = 2, 5 },
			heartbeat:   wire.Heartbeat{Epoch: 2, Sequence: 5, Token: testToken},
			sentByAgent: true,
			want:        responsePath,
		},
		"in a response, and the agent has sent its next heartbeat": {
			prepare:     func(a *Attempt) { a.ResponseEpoch, a.ResponseSequence = 2, 5 },
			heartbeat:   wire.Heartbeat{Epoch: 2, Sequence: 6, Token: testToken},
			sentByAgent: true,
		},
		"in a response to another epoch": {
			prepare:   func(a *Attempt) { a.ResponseEpoch, a.ResponseSequence = 2, 5 },
			heartbeat: wire.Heartbeat{Epoch: 3, Sequence: 1, Token: testToken},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			a := addTestAttempt(addTestJob(s, wire.KindArray, 1, 1), 0, s.GetOrAddMachine("n-1"), 7)
			tt.prepare(a)
			if got := s.openLaunchPath(a, &tt.heartbeat, tt.sentByAgent); got != tt.want {
				t.Errorf("openLaunchPath(%+v, sent by the agent %v) = %v, want %v", tt.heartbeat, tt.sentByAgent, got, tt.want)
			}
			want := tt.want != noLaunchPath
			if got := s.LaunchMayTakeEffect(a, &tt.heartbeat, tt.sentByAgent); got != want {
				t.Errorf("LaunchMayTakeEffect(%+v, sent by the agent %v) = %v, want %v", tt.heartbeat, tt.sentByAgent, got, want)
			}
		})
	}
}

func TestUnansweredCommandMayArriveUntilFenced(t *testing.T) {
	tests := map[string]struct {
		unanswered UnansweredCommand
		heartbeat  wire.Heartbeat
		want       bool
	}{
		"none unanswered":             {UnansweredCommand{}, wire.Heartbeat{}, false},
		"agent at its token":          {UnansweredCommand{Token: 50, Epoch: 2}, wire.Heartbeat{Token: 50, Epoch: 2}, true},
		"agent before its epoch":      {UnansweredCommand{Token: 50, Epoch: 2}, wire.Heartbeat{Token: 49, Epoch: 1}, true},
		"agent with a higher token":   {UnansweredCommand{Token: 50, Epoch: 2}, wire.Heartbeat{Token: 51, Epoch: 2}, false},
		"agent in a later epoch":      {UnansweredCommand{Token: 50, Epoch: 2}, wire.Heartbeat{Token: 50, Epoch: 3}, false},
		"agent past both":             {UnansweredCommand{Token: 50, Epoch: 2}, wire.Heartbeat{Token: 51, Epoch: 3}, false},
		"agent restarted, same token": {UnansweredCommand{Token: 50, Epoch: 0}, wire.Heartbeat{Token: 50, Epoch: 1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := &Machine{ID: "n-1"}
			m.UnansweredLaunch = tt.unanswered
			if got := m.LaunchMayArrive(&tt.heartbeat); got != tt.want {
				t.Errorf("LaunchMayArrive(%+v) after %+v = %v, want %v", tt.heartbeat, tt.unanswered, got, tt.want)
			}
		})
	}
}

func TestLacksLaunchOnceALaterHeartbeatLacksIt(t *testing.T) {
	tests := map[string]struct {
		prepare   func(a *Attempt)
		heartbeat wire.Heartbeat
		want      bool
	}{
		"launch was in no response":   {func(a *Attempt) { a.ResponseSequence = 0 }, wire.Heartbeat{Epoch: 2, Sequence: 6}, false},
		"already listed before":       {func(a *Attempt) { a.SeenInHeartbeat = true }, wire.Heartbeat{Epoch: 2, Sequence: 6}, false},
		"heartbeat that was answered": {func(a *Attempt) {}, wire.Heartbeat{Epoch: 2, Sequence: 5}, false},
		"heartbeat of another epoch":  {func(a *Attempt) {}, wire.Heartbeat{Epoch: 3, Sequence: 6}, false},
		"later heartbeat lacks it":    {func(a *Attempt) {}, wire.Heartbeat{Epoch: 2, Sequence: 6}, true},
		"later heartbeat lists it":    {func(a *Attempt) {}, wire.Heartbeat{Epoch: 2, Sequence: 6, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: 7}}}, false},
		"lists another attempt":       {func(a *Attempt) {}, wire.Heartbeat{Epoch: 2, Sequence: 6, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: 6}}}, true},
		"lists another task":          {func(a *Attempt) {}, wire.Heartbeat{Epoch: 2, Sequence: 6, Tasks: []wire.TaskStatus{{Task: "req-1/1", Attempt: 7}}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			m := s.GetOrAddMachine("n-1")
			a := addTestAttempt(addTestJob(s, wire.KindArray, 1, 1), 0, m, 7)
			a.ResponseEpoch, a.ResponseSequence = 2, 5
			tt.prepare(a)
			if got := m.LacksLaunch(&tt.heartbeat); got != tt.want {
				t.Errorf("LacksLaunch(%+v) = %v, want %v", tt.heartbeat, got, tt.want)
			}
		})
	}
}
