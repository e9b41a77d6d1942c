package agents

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

// loseInboundPath records evidence by which the path to a machine counts as lost.
func loseInboundPath(machine *cluster.Machine) {
	machine.Inbound.RecordResponse(0, 1, 8)
	machine.Inbound.RecordUnansweredCommand()
	machine.Inbound.ObserveHeartbeat(&wire.Heartbeat{Epoch: 1, Sequence: 9}, detector.HeartbeatEvidence{LacksLaunch: func() bool { return true }}, time.Now())
}

func TestCommandsFollowTheStateOfTheAttempt(t *testing.T) {
	launch, stop := []wire.Verb{wire.VerbLaunch}, []wire.Verb{wire.VerbStop}
	cases := []struct {
		name           string
		setup          func(f *fixture)
		wantInResponse []wire.Verb // in the response to a heartbeat
		wantDirect     []wire.Verb // sent directly
	}{
		{"stored", func(*fixture) {}, launch, launch},
		{"not stored", func(f *fixture) { f.attempt.Unstored = true }, nil, nil},
		{"not stored, stopping", func(f *fixture) { f.attempt.Unstored, f.attempt.Stopping = true, true }, nil, nil},
		{"launch sent", func(f *fixture) { f.attempt.LaunchSent = true }, launch, nil},
		{"direct launch in flight", func(f *fixture) { f.attempt.LaunchSent, f.attempt.LaunchInFlight = true, true }, nil, nil},
		{"seen in a heartbeat", func(f *fixture) { f.attempt.SeenInHeartbeat = true }, nil, nil},
		{"inherited", func(f *fixture) { f.attempt.Inherited = true }, nil, nil},
		{"job cancelled", func(f *fixture) { f.job.Cancelled = true }, nil, nil},
		{"machine draining", func(f *fixture) { f.machine.DrainReason = cluster.DrainIdle }, nil, nil},
		{"inbound path lost", func(f *fixture) { loseInboundPath(f.machine) }, nil, launch},
		{"stopping", func(f *fixture) { f.attempt.Stopping = true }, stop, stop},
		{"stopping, seen in a heartbeat, on a draining machine", func(f *fixture) {
			f.attempt.Stopping, f.attempt.SeenInHeartbeat, f.machine.DrainReason = true, true, cluster.DrainFaulty
		}, stop, stop},
		{"stop sent less than directStopInterval ago", func(f *fixture) { f.attempt.Stopping, f.attempt.StopSentAt = true, time.Now().Add(-time.Second) }, stop, nil},
		{"stop sent more than directStopInterval ago", func(f *fixture) {
			f.attempt.Stopping, f.attempt.StopSentAt = true, time.Now().Add(-directStopInterval-time.Millisecond)
		}, stop, stop},
		{"gang not fully stored", func(f *fixture) { f.job.Gang = &cluster.Gang{} }, nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name+", heartbeat response", func(t *testing.T) {
			f := newFixture(t)
			tc.setup(f)
			got := f.HeartbeatResponseCommands(f.machine, heartbeat(11), time.Now())
			if !slices.Equal(verbs(got), tc.wantInResponse) {
				t.Errorf("attempt %+v: commands in the response: got %v, want %v", *f.attempt, verbs(got), tc.wantInResponse)
			}
			if slices.Contains(tc.wantInResponse, wire.VerbLaunch) && (!f.attempt.LaunchSent || f.attempt.ResponseSequence != 11 || f.attempt.LaunchInFlight) {
				t.Errorf("attempt after the launch: got %+v, want it sent in the response to heartbeat 11", *f.attempt)
			}
		})
		t.Run(tc.name+", directly", func(t *testing.T) {
			f := newFixture(t)
			tc.setup(f)
			f.SendDueCommands(f.machine)
			if got := f.sentDirectly(t); !slices.Equal(got, tc.wantDirect) {
				t.Errorf("attempt %+v: direct commands: got %v, want %v", *f.attempt, got, tc.wantDirect)
			}
		})
	}
}

// sentDirectly returns the verbs of the direct request in flight, nil if there is none.
func (f *fixture) sentDirectly(t *testing.T) []wire.Verb {
	t.Helper()
	if !f.machine.CommandInFlight {
		return nil
	}
	outcome, ok := (<-f.Events).(CommandOutcome)
	if !ok || outcome.Machine != f.machine || outcome.Commands.Token != testToken || outcome.Err == nil {
		t.Fatalf("outcome of a direct request: got %+v, want the error of a request with token %d", outcome, testToken)
	}
	launchCount := 0
	for _, verb := range verbs(outcome.Commands.Commands) {
		if verb == wire.VerbLaunch {
			launchCount++
		}
	}
	if len(outcome.Launched) != launchCount {
		t.Errorf("attempts listed as launched: got %d, want %d, one for each launch", len(outcome.Launched), launchCount)
	}
	return verbs(outcome.Commands.Commands)
}

func TestDispatchLaunchesOnlyOnMachinesThatCanReceive(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture)
		want  bool
	}{
		{"ready", func(*fixture) {}, true},
		{"command in flight", func(f *fixture) { f.machine.CommandInFlight = true }, false},
		{"no address", func(f *fixture) { f.machine.Addr = "" }, false},
		{"no heartbeat in this term", func(f *fixture) { f.machine.FirstHeartbeatAt = time.Time{} }, false},
		{"scaling in", func(f *fixture) { f.machine.ScalingIn = true }, false},
		{"lease expired", func(f *fixture) { f.expireLease(false) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			tc.setup(f)
			f.SendDueCommands(f.machine)
			if f.attempt.LaunchSent != tc.want {
				t.Errorf("launch sent: got %v, want %v", f.attempt.LaunchSent, tc.want)
			}
		})
	}
}

func TestDispatchSendsOnlyStopsWithoutTheStore(t *testing.T) {
	f := newFixture(t)
	stopping := f.addAttempt(f.job, 1, f.machine)
	stopping.Stopping, stopping.SeenInHeartbeat = true, true
	f.expireLease(true)
	f.SendDueCommands(f.machine)
	if got, want := f.sentDirectly(t), []wire.Verb{wire.VerbStop}; !slices.Equal(got, want) {
		t.Errorf("direct commands without the store: got %v, want %v", got, want)
	}
	if f.attempt.LaunchSent {
		t.Error("launch marked as sent without the store: got true, want false")
	}
}

func TestCommandsAreLimitedToMaxCommands(t *testing.T) {
	f := newFixture(t)
	for _, id := range []wire.JobID{"req-2", "req-3", "req-4"} {
		job := f.addJob(id, wire.KindArray, MaxCommands/2)
		for index := range MaxCommands / 2 {
			f.addAttempt(job, index, f.machine)
		}
	}
	if len(f.machine.Attempts) <= MaxCommands {
		t.Fatalf("attempts on the machine: got %d, want more than MaxCommands", len(f.machine.Attempts))
	}
	f.SendDueCommands(f.machine)
	if got := len(f.sentDirectly(t)); got != MaxCommands {
		t.Errorf("direct commands: got %d, want %d", got, MaxCommands)
	}
	if got := len(f.HeartbeatResponseCommands(f.machine, heartbeat(11), time.Now())); got > MaxCommands {
		t.Errorf("commands in a heartbeat response: got %d, want at most %d", got, MaxCommands)
	}
}

func TestUnrecordedAttemptsAreStoppedOrForgotten(t *testing.T) {
	running := wire.TaskStatus{Task: "req-1/1", Attempt: 3, Phase: wire.PhaseRunning}
	exited := wire.TaskStatus{Task: "req-1/1", Attempt: 3, Phase: wire.PhaseExited, Cause: wire.CauseDone}
	cases := []struct {
		name      string
		setup     func(f *fixture)
		heartbeat *wire.Heartbeat
		want      []wire.Verb
		wantRaise bool // a higher token is requested
	}{
		{"running", func(*fixture) {}, heartbeat(11, running), []wire.Verb{wire.VerbStop}, false},
		{"running, of a quarantined job", func(f *fixture) { f.State.QuarantinedJobs["req-1"] = true }, heartbeat(11, running), nil, false},
		{"another attempt of a recorded task", func(f *fixture) { f.addAttempt(f.job, 1, f.machine).SeenInHeartbeat = true }, heartbeat(11, running), []wire.Verb{wire.VerbStop}, false},
		{"the recorded attempt", func(f *fixture) {
			attempt := f.addAttempt(f.job, 1, f.machine)
			attempt.SeenInHeartbeat, attempt.Number = true, 3
		}, heartbeat(11, exited), nil, false},
		{"outcome stored", func(*fixture) {}, heartbeat(11, exited), []wire.Verb{wire.VerbForget}, false},
		{"outcome of an archived job", func(f *fixture) { delete(f.State.Jobs, "req-1") }, heartbeat(11, exited), []wire.Verb{wire.VerbForget}, false},
		{"outcome beyond the chunks", func(*fixture) {}, heartbeat(11, wire.TaskStatus{Task: "req-1/99999", Attempt: 3, Phase: wire.PhaseExited}), []wire.Verb{wire.VerbForget}, false},
		{"outcome not stored", func(f *fixture) { f.job.Chunk(0).Dirty = true }, heartbeat(11, exited), nil, false},
		{"outcome being stored", func(f *fixture) { f.job.Chunk(0).WriteInFlight = true }, heartbeat(11, exited), nil, false},
		{"job to be archived", func(f *fixture) { f.job.Finished = true }, heartbeat(11, exited), nil, false},
		{"job being archived", func(f *fixture) { f.job.Archiving = true }, heartbeat(11, exited), nil, false},
		{"command in flight", func(f *fixture) { f.machine.CommandInFlight = true }, heartbeat(11, exited), nil, false},
		{"heartbeat with an older token", func(f *fixture) { f.State.FirstToken = testToken + 1 }, heartbeat(11, exited), nil, false},
		{"an unanswered launch may arrive", func(f *fixture) {
			f.machine.UnansweredLaunch = cluster.UnansweredCommand{Token: testToken, Epoch: 1}
		}, heartbeat(11, exited), nil, true},
		{"an unanswered launch has an older token", func(f *fixture) {
			f.machine.UnansweredLaunch = cluster.UnansweredCommand{Token: testToken - 1, Epoch: 1}
		}, heartbeat(11, exited), []wire.Verb{wire.VerbForget}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.attempt.SeenInHeartbeat = true
			tc.setup(f)
			got := f.HeartbeatResponseCommands(f.machine, tc.heartbeat, time.Now())
			if !slices.Equal(verbs(got), tc.want) || f.Fencing.RaiseRequested != tc.wantRaise {
				t.Errorf("response to heartbeat %+v: got commands %v, higher token requested %v, want %v, %v",
					tc.heartbeat.Tasks, verbs(got), f.Fencing.RaiseRequested, tc.want, tc.wantRaise)
			}
			for _, command := range got {
				if command.Verb == wire.VerbStop && (command.GracePeriod == nil || *command.GracePeriod != 0) {
					t.Errorf("stop of an unrecorded attempt: got %+v, want a grace period of 0 s", command)
				}
			}
		})
	}
}
