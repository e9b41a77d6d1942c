package agents

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"

	"lilaclead/internal/wire"
)

// fenceStep is one expected request of Client.Fence and the response to it.
type fenceStep struct {
	wantEpoch wire.AgentEpoch
	wantStops []string
	status    int
	heartbeat wire.Heartbeat
}

func running(tasks ...string) []wire.TaskStatus {
	statuses := []wire.TaskStatus{}
	for _, task := range tasks {
		statuses = append(statuses, wire.TaskStatus{Task: task, Attempt: testAttempt, Phase: wire.PhaseRunning})
	}
	return statuses
}

// Guards against copies of launches that a restarted machine executes: it is shown a higher token, and
// what it has started meanwhile is stopped.
func TestFenceShowsTokenAndStopsTasks(t *testing.T) {
	const token = testToken + 1
	exited := []wire.TaskStatus{{Task: "req-1/0", Attempt: testAttempt, Phase: wire.PhaseExited}}
	cases := []struct {
		name  string
		first []wire.TaskStatus // in the heartbeat that the agent sent
		steps []fenceStep
	}{
		{"no tasks", nil, []fenceStep{{1, nil, http.StatusOK, wire.Heartbeat{Epoch: 1, Token: token}}}},
		{"a task", running("req-1/0"), []fenceStep{{1, []string{"req-1/0"}, http.StatusOK, wire.Heartbeat{Epoch: 1, Token: token, Tasks: exited}}}},
		{"a task that has started since", nil, []fenceStep{
			{1, nil, http.StatusOK, wire.Heartbeat{Epoch: 1, Token: token, Tasks: running("req-1/0")}},
			{1, []string{"req-1/0"}, http.StatusOK, wire.Heartbeat{Epoch: 1, Token: token, Tasks: exited}},
		}},
		{"a later epoch", nil, []fenceStep{
			{1, nil, http.StatusConflict, wire.Heartbeat{Epoch: 2, Token: testToken}},
			{2, nil, http.StatusOK, wire.Heartbeat{Epoch: 2, Token: token}},
		}},
		{"a higher token seen", running("req-1/0"), []fenceStep{{1, []string{"req-1/0"}, http.StatusConflict, wire.Heartbeat{Epoch: 1, Token: token + 1, Tasks: running("req-1/0")}}}},
		{"tasks that do not end", running("req-1/0"), slices.Repeat([]fenceStep{
			{1, []string{"req-1/0"}, http.StatusOK, wire.Heartbeat{Epoch: 1, Token: token, Tasks: running("req-1/0")}},
		}, maxFenceRequests)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			requests := 0
			client := newTestClient(func(r *http.Request) (*http.Response, error) {
				raw, err := io.ReadAll(r.Body)
				var sent wire.Commands
				if err != nil || wire.Decode(raw, &sent) != nil || requests >= len(tc.steps) {
					t.Fatalf("request %d: %x, %v; want %d requests", requests+1, raw, err, len(tc.steps))
				}
				step := tc.steps[requests]
				requests++
				var stops []string
				for _, command := range sent.Commands {
					if command.Verb == wire.VerbStop && *command.GracePeriod == 0 && command.Attempt == testAttempt {
						stops = append(stops, command.Task)
					}
				}
				if sent.Token != token || sent.Epoch != step.wantEpoch || !slices.Equal(stops, step.wantStops) || len(stops) != len(sent.Commands) {
					t.Errorf("request %d: got %+v, want token %d, epoch %d, stops of %v", requests, sent, token, step.wantEpoch, step.wantStops)
				}
				step.heartbeat.Machine = "n-1"
				return respondWith(step.status, wire.Encode(step.heartbeat))
			})
			heartbeat := &wire.Heartbeat{Machine: "n-1", Epoch: 1, Sequence: 2, Tasks: tc.first}
			fenced, err := client.Fence(t.Context(), "10.0.0.9:9000", token, heartbeat, AnyTask)
			if err != nil || requests != len(tc.steps) || fenced.Token != tc.steps[requests-1].heartbeat.Token {
				t.Errorf("got %+v, %v after %d requests, want %d requests", fenced, err, requests, len(tc.steps))
			}
		})
	}
}

func TestFenceOfAnotherMachineIsAnError(t *testing.T) {
	client := newTestClient(func(*http.Request) (*http.Response, error) {
		return respondWith(http.StatusOK, wire.Encode(wire.Heartbeat{Machine: "n-2", Epoch: 1, Token: testToken}))
	})
	_, err := client.Fence(t.Context(), "10.0.0.9:9000", testToken, &wire.Heartbeat{Machine: "n-1", Epoch: 1}, AnyTask)
	var wrongMachine *WrongMachineError
	if !errors.As(err, &wrongMachine) || wrongMachine.Got != "n-2" {
		t.Errorf("got %v, want an error that names n-2", err)
	}
}

func TestFenceIsSentOnceAtATimeWithTheNextToken(t *testing.T) {
	f := newFixture(t)
	f.Begin(t.Context())
	tokens := make(chan wire.FencingToken, 2)
	f.Client = newTestClient(func(r *http.Request) (*http.Response, error) {
		raw, _ := io.ReadAll(r.Body)
		var sent wire.Commands
		if err := wire.Decode(raw, &sent); err != nil {
			return nil, err
		}
		tokens <- sent.Token
		return respondWith(http.StatusOK, wire.Encode(wire.Heartbeat{Machine: "n-1", Epoch: 1, Token: sent.Token}))
	})
	heartbeat := &wire.Heartbeat{Machine: "n-1", Epoch: 1}
	f.Fence(f.machine, heartbeat)
	f.Fence(f.machine, heartbeat)
	outcome, ok := (<-f.Events).(FenceOutcome)
	if !ok || outcome.Err != nil || outcome.Heartbeat.Token != testToken+1 || len(tokens) != 1 {
		t.Errorf("outcome: got %+v after %d requests, want token %d after one", outcome, len(tokens), testToken+1)
	}
}
