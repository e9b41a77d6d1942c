package reconcile

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// attemptOutcome is what becomes of an attempt that a heartbeat lacks.
type attemptOutcome string

const (
	attemptKept       attemptOutcome = "kept: its launch may take effect"
	attemptRelaunched attemptOutcome = "launched again"
	attemptLost       attemptOutcome = "lost: queued again and counted as an eviction"
	attemptWithdrawn  attemptOutcome = "queued again: it never started"
)

// outcomeOfAttempt returns what became of the fixture's attempt; before is a copy from before the
// heartbeat. An attempt that is launched again can be told from a kept one only if it was marked
// before as sent in a response or as an unanswered direct launch.
func (f *fixture) outcomeOfAttempt(before cluster.Attempt) attemptOutcome {
	launchCleared := !f.attempt.LaunchUnanswered && f.attempt.ResponseSequence == 0
	wasSent := before.LaunchUnanswered || before.ResponseSequence > 0
	switch {
	case f.job.ActiveTasks == 0 && slices.Equal(f.evictionReasons, []string{string(cluster.EvictedMissing)}):
		return attemptLost
	case f.job.ActiveTasks == 0 && len(f.evictionReasons) == 0:
		return attemptWithdrawn
	case f.job.ActiveTasks == 1 && launchCleared && wasSent:
		return attemptRelaunched
	case f.job.ActiveTasks == 1:
		return attemptKept
	}
	return "no known outcome"
}

func TestMissingAttemptOutcomeByLaunchState(t *testing.T) {
	sentInResponse := func(f *fixture) {
		f.attempt.LaunchSent, f.attempt.LaunchEpoch = true, 1
		f.attempt.ResponseEpoch, f.attempt.ResponseSequence = 1, 11
	}
	unanswered := func(f *fixture) {
		f.attempt.LaunchSent, f.attempt.LaunchEpoch = true, 1
		f.attempt.LaunchUnanswered, f.attempt.UnansweredLaunchToken = true, testToken
	}
	inFlight := func(f *fixture) {
		f.attempt.LaunchSent, f.attempt.LaunchEpoch, f.attempt.LaunchInFlight = true, 1, true
	}
	cases := []struct {
		name        string
		setup       func(f *fixture)
		heartbeat   *wire.Heartbeat
		fromCommand bool // the heartbeat is the response to a command
		want        attemptOutcome
	}{
		{"not stored", func(f *fixture) { f.attempt.Unstored = true }, heartbeat(1, 12, testToken), false, attemptKept},
		{"seen before", func(f *fixture) { f.attempt.SeenInHeartbeat = true }, heartbeat(1, 12, testToken), false, attemptLost},
		{"inherited, the earlier leader's token still accepted", func(f *fixture) { f.attempt.Inherited, f.machine.Token = true, testToken-1 }, heartbeat(1, 12, testToken-1), false, attemptKept},
		{"inherited, a token of this term is shown", func(f *fixture) { f.attempt.Inherited = true }, heartbeat(1, 12, testToken), false, attemptLost},
		{"direct launch in flight", inFlight, heartbeat(1, 12, testToken), false, attemptKept},
		{"direct launch in flight, a newer epoch", inFlight, heartbeat(2, 1, testToken), false, attemptLost},
		{"direct launch unanswered", unanswered, heartbeat(1, 12, testToken), false, attemptKept},
		{"direct launch unanswered, a higher token is shown", unanswered, heartbeat(1, 12, testToken+1), false, attemptRelaunched},
		{"direct launch unanswered, a newer epoch", unanswered, heartbeat(2, 1, testToken), false, attemptLost},
		{"in the response to the last heartbeat", sentInResponse, heartbeat(1, 11, testToken), false, attemptKept},
		{"in the response, a newer heartbeat", sentInResponse, heartbeat(1, 12, testToken), false, attemptRelaunched},
		{"in the response, a newer response to a command", sentInResponse, heartbeat(1, 12, testToken), true, attemptKept},
		{"in the response, a newer epoch", sentInResponse, heartbeat(2, 1, testToken), false, attemptLost},
		{"in the response, stopping", func(f *fixture) { sentInResponse(f); f.attempt.Stopping = true }, heartbeat(1, 12, testToken), false, attemptWithdrawn},
		{"in the response, machine draining", func(f *fixture) { sentInResponse(f); f.machine.DrainReason = cluster.DrainIdle }, heartbeat(1, 12, testToken), false, attemptWithdrawn},
		{"in the response, job cancelled", func(f *fixture) { sentInResponse(f); f.job.Cancelled = true }, heartbeat(1, 12, testToken), false, attemptWithdrawn},
		{"another attempt is in the heartbeat", func(f *fixture) { f.attempt.SeenInHeartbeat = true },
			heartbeat(1, 12, testToken, wire.TaskStatus{Task: testTask, Attempt: testAttempt - 1, Phase: wire.PhaseRunning}), false, attemptLost},
		{"the attempt is in the heartbeat", func(f *fixture) { f.attempt.SeenInHeartbeat = true }, heartbeat(1, 12, testToken, attemptStatus(wire.PhaseRunning, "")), false, attemptKept},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			tc.setup(f)
			before := *f.attempt
			if !f.Reconcile(f.machine, tc.heartbeat, !tc.fromCommand, time.Now()) {
				t.Fatalf("heartbeat %+v does not count as newer", tc.heartbeat)
			}
			if got := f.outcomeOfAttempt(before); got != tc.want {
				t.Errorf("heartbeat %+v: got %q, want %q (evictions %v)", tc.heartbeat, got, tc.want, f.evictionReasons)
			}
		})
	}
}

func TestMissingGangTaskIsLaunchedAgainBeforeGangRuns(t *testing.T) {
	for name, tc := range map[string]struct {
		gangHasRun bool
		wantLost   bool
	}{
		"the gang has not run": {gangHasRun: false, wantLost: false},
		"the gang has run":     {gangHasRun: true, wantLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			gang := f.addJob("req-2", wire.KindGang, 2)
			gang.Gang = &cluster.Gang{AttemptNumber: testAttempt, StartedAt: time.Now(), Inherited: true, HasRun: tc.gangHasRun}
			attempt := f.addAttempt(gang, 0, f.machine)
			f.addAttempt(gang, 1, f.addMachine("n-2"))
			attempt.Inherited, attempt.LaunchSent, attempt.LaunchEpoch = true, true, 1
			f.Reconcile(f.machine, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseRunning, "")), true, time.Now())
			if got := gang.ActiveTasks == 1; got != tc.wantLost {
				t.Errorf("gang has run %v: task lost %v, want %v", tc.gangHasRun, got, tc.wantLost)
			}
			if attempt.Inherited != tc.wantLost || attempt.LaunchSent != tc.wantLost {
				t.Errorf("gang has run %v: attempt inherited %v, launch sent %v; want both %v", tc.gangHasRun, attempt.Inherited, attempt.LaunchSent, tc.wantLost)
			}
		})
	}
}

func TestTaskWithoutRecordIsOrphanedWhileItRuns(t *testing.T) {
	f := newFixture(t)
	running := wire.TaskStatus{Task: "req-9/0", Attempt: 1, Phase: wire.PhaseRunning}
	exited := wire.TaskStatus{Task: "req-9/1", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseDone}
	undecodable := wire.TaskStatus{Task: "no task", Attempt: 1, Phase: wire.PhaseRunning}
	f.Reconcile(f.machine, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseRunning, ""), running, exited, undecodable), true, time.Now())
	if len(f.machine.OrphanTasks) != 1 || !f.machine.OrphanTasks[wire.TaskID{Job: "req-9", Index: 0}] {
		t.Errorf("orphaned tasks %v, want req-9/0 alone", f.machine.OrphanTasks)
	}
	f.Reconcile(f.machine, heartbeat(1, 12, testToken, attemptStatus(wire.PhaseRunning, "")), true, time.Now())
	if len(f.machine.OrphanTasks) != 0 {
		t.Errorf("orphaned tasks %v after a heartbeat without them, want none", f.machine.OrphanTasks)
	}
}
