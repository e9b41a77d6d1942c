package reconcile

import (
	"errors"
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

// withAddr adds an address to a heartbeat, so that its machine can be asked.
func withAddr(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Addr = "10.0.0.9:9000"
	return heartbeat
}

// restart has the fixture's machine recognised as restarted, and returns as soon as it is to be fenced.
func (f *fixture) restart(t *testing.T) {
	t.Helper()
	f.onRestart(f.machine, withAddr(heartbeat(1, 2, testToken)), time.Now())
	if !f.machine.Restarted || !f.machine.FenceInFlight || f.Fencing.RaiseRequested {
		t.Fatalf("restarted %v, fence in flight %v, higher token requested %v; want true, true, false", f.machine.Restarted, f.machine.FenceInFlight, f.Fencing.RaiseRequested)
	}
}

// Guards against tasks that wait for the return of their restarted machine: once it is fenced, no copy
// can start them there.
func TestTasksOfRestartedMachineAreLostOnceItIsFenced(t *testing.T) {
	cases := []struct {
		name     string
		outcome  agents.FenceOutcome
		wantLost bool
	}{
		{"fenced", agents.FenceOutcome{Heartbeat: heartbeat(1, 3, testToken+1)}, true},
		{"not reached", agents.FenceOutcome{Err: errors.New("refused")}, false},
		{"the epoch was another one each time", agents.FenceOutcome{Heartbeat: heartbeat(1, 5, testToken)}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.launchDirectly()
			f.attempt.SeenInHeartbeat = true
			f.restart(t)
			tc.outcome.Machine = f.machine
			f.OnFenceOutcome(tc.outcome)
			if lost := f.job.ActiveTasks == 0; lost != tc.wantLost || f.machine.FenceInFlight {
				t.Errorf("task lost %v, fence in flight %v; want %v, false", lost, f.machine.FenceInFlight, tc.wantLost)
			}
		})
	}
}

func TestRestartedMachineIsFencedAgainWhenItsHeartbeatsDemandIt(t *testing.T) {
	cases := []struct {
		name      string
		heartbeat *wire.Heartbeat
		want      bool
	}{
		{"fenced", heartbeat(1, 4, testToken+1), false},
		{"fenced, a task has exited", heartbeat(1, 4, testToken+1, attemptStatus(wire.PhaseExited, wire.CauseStopped)), false},
		{"accepts launches of this term", heartbeat(1, 4, testToken), true},
		{"restarted again", heartbeat(1, 1, 0), true},
		{"runs a task", heartbeat(1, 4, testToken+1, attemptStatus(wire.PhaseFetching, "")), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.restart(t)
			f.OnFenceOutcome(agents.FenceOutcome{Machine: f.machine, Heartbeat: withAddr(heartbeat(1, 3, testToken+1))})
			response := f.answerHeartbeat(tc.heartbeat, false, time.Now())
			if !errors.Is(response.Rejected, errMachineRestarted) || f.machine.FenceInFlight != tc.want {
				t.Errorf("got %+v, fence in flight %v; want a rejection, %v", response, f.machine.FenceInFlight, tc.want)
			}
		})
	}
}
