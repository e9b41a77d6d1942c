package reconcile

import (
	"net/http"
	"testing"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/wire"
)

// Guards against ran_twice: a heartbeat with a lower token than its machine has shown is not newer,
// whatever its epoch and sequence number, and ends no attempt.
func TestHeartbeatWithLowerTokenIsStale(t *testing.T) {
	cases := []struct {
		name     string
		old      *wire.Heartbeat
		wantSeen bool // the heartbeat counts as newer
	}{
		{"same token", heartbeat(1, 40, testToken), true},
		{"lower token, larger sequence number", heartbeat(1, 40, testToken-1), false},
		{"lower token, later epoch", heartbeat(3, 1, testToken-1), false},
		{"no token", heartbeat(1, 40, 0), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.attempt.LaunchSent, f.attempt.SeenInHeartbeat = true, true
			f.answerHeartbeat(tc.old, false, time.Now())
			if seen := f.machine.Sequence == tc.old.Sequence; seen != tc.wantSeen {
				t.Errorf("the heartbeat counts as newer: %v, want %v", seen, tc.wantSeen)
			}
			if lost := f.job.ActiveTasks == 0; lost != tc.wantSeen {
				t.Errorf("the attempt that it lacks counts as lost: %v, want %v", lost, tc.wantSeen)
			}
			if probed := !f.machine.LastVerifiedAt.IsZero(); probed == tc.wantSeen {
				t.Errorf("machine probed %v, want %v", probed, !tc.wantSeen)
			}
		})
	}
}

// Guards against a restart that goes unnoticed because the new agent has counted further than the
// one before: it shows a lower token.
func TestResponseWithLowerTokenShowsRestart(t *testing.T) {
	for _, token := range []wire.FencingToken{testToken - 1, testToken} {
		f := newFixture(t)
		f.attempt.LaunchSent, f.attempt.SeenInHeartbeat = true, true
		f.OnCommandOutcome(agents.CommandOutcome{
			Machine:             f.machine,
			LastHeartbeatBefore: wire.HeartbeatPosition{Epoch: 1, Sequence: 10, Token: testToken},
			Commands:            wire.Commands{Token: wire.MinToken, Epoch: 1},
			Heartbeat:           heartbeat(1, 40, token, attemptStatus(wire.PhaseRunning, "")),
			Status:              http.StatusOK,
		})
		if want := token < testToken; f.machine.Restarted != want {
			t.Errorf("response with token %d of a machine that has shown %d: restarted %v, want %v", token, testToken, f.machine.Restarted, want)
		}
	}
}
