package reconcile

import (
	"errors"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/wire"
)

// expireLease lets the leader's lease expire. If answering is set, the leader may still answer
// heartbeats.
func (f *fixture) expireLease(answering bool) {
	now := time.Now()
	f.Lease = election.NewLease(nil, election.Acquisition{Token: testToken, AcquiredAt: now, ValidUntil: now.Add(-time.Millisecond)})
	if answering {
		f.Lease.RecordAcks(now.Add(time.Hour), now, 0)
	}
}

func TestHeartbeatIsRejected(t *testing.T) {
	cases := []struct {
		name      string
		setup     func(f *fixture)
		heartbeat *wire.Heartbeat
		want      error
	}{
		{"no reason", func(*fixture) {}, heartbeat(1, 11, testToken), nil},
		{"not leading", func(f *fixture) { f.expireLease(false) }, heartbeat(1, 11, testToken), errNotLeading},
		{"without the store, still answering", func(f *fixture) { f.expireLease(true) }, heartbeat(1, 11, testToken), nil},
		{"cancellations unknown", func(f *fixture) {
			f.delegate = delegation.New(delegation.Config{Bounds: f.state.Delegation, Cancels: cancels.New([]wire.NodeID{"b"}, time.Minute)})
		}, heartbeat(1, 11, testToken), errCancellationsUnknown},
		{"machine removed", func(f *fixture) { f.state.RemovedMachines["n-1"] = time.Now() }, heartbeat(1, 11, testToken), errMachineRemoved},
		{"stale, within the crossing window", func(f *fixture) { f.machine.LastMessageAt = time.Now().Add(-crossingWindow + time.Second) }, heartbeat(1, 10, testToken), nil},
		{"stale, a late copy", func(f *fixture) { f.machine.LastMessageAt = time.Now().Add(-crossingWindow) }, heartbeat(1, 10, testToken), errStaleHeartbeat},
		{"a cancelled task may start", func(f *fixture) {
			f.job.Cancelled, f.job.CancelledAt, f.attempt.LaunchInFlight, f.attempt.LaunchEpoch = true, time.Now().Add(-maxCancelAge), true, 1
		}, heartbeat(1, 11, testToken), errCancelPending},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			tc.setup(f)
			response := f.answerHeartbeat(tc.heartbeat, false, time.Now())
			if !errors.Is(response.Rejected, tc.want) {
				t.Errorf("rejected with %v, want %v", response.Rejected, tc.want)
			}
			if answered := response.Commands != nil; answered != (tc.want == nil) {
				t.Errorf("answered %v, rejected with %v", answered, response.Rejected)
			}
		})
	}
}

func TestHeartbeatBeforeRecordsAreReadIsKeptAndAnsweredWithStopsOnly(t *testing.T) {
	f := newFixture(t)
	f.state.RecordsRead = false
	f.cancels.Add("req-1", 0)
	running := attemptStatus(wire.PhaseRunning, "")
	for _, sequence := range []wire.Sequence{12, 11} {
		response := f.answerHeartbeat(heartbeat(1, sequence, testToken, running), false, time.Now())
		if response.Commands == nil || len(response.Commands.Commands) != 1 || response.Commands.Commands[0].Verb != wire.VerbStop {
			t.Errorf("sequence %d: response %+v, want the stop of the cancelled task", sequence, response)
		}
	}
	if got := f.EarlyHeartbeats["n-1"].Sequence; got != 12 {
		t.Errorf("the kept heartbeat has sequence %d, want the newest, 12", got)
	}
}

func TestResponseHoldsLaunchesOnlyWhileStoreIsReachable(t *testing.T) {
	for name, tc := range map[string]struct {
		setup func(f *fixture)
		want  int
	}{
		"the store is reachable":     {func(*fixture) {}, 1},
		"the store is not reachable": {func(f *fixture) { f.expireLease(true) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			tc.setup(f)
			response := f.answerHeartbeat(heartbeat(1, 11, testToken), false, time.Now())
			if response.Commands == nil || len(response.Commands.Commands) != tc.want {
				t.Errorf("response %+v, want %d launches", response, tc.want)
			}
		})
	}
}

func TestRelayedHeartbeatIsRedirectedOnce(t *testing.T) {
	f := newFixture(t)
	steps := []struct {
		name            string
		relayed         bool
		wantRedirect    bool
		wantRelayedOnly bool
	}{
		{"first, through another node", true, true, false},
		{"again through another node", true, false, true},
		{"directly", false, false, false},
		{"through another node after a direct one", true, false, true},
	}
	for _, step := range steps {
		redirect := f.recordHeartbeatPath(f.machine, step.relayed, time.Now())
		if redirect != step.wantRedirect || f.machine.RelayedOnly != step.wantRelayedOnly {
			t.Errorf("%s: redirect %v, relayed only %v; want %v, %v", step.name, redirect, f.machine.RelayedOnly, step.wantRedirect, step.wantRelayedOnly)
		}
	}
}

func TestRelayedHeartbeatAfterDirectOneIsNotRedirected(t *testing.T) {
	f := newFixture(t)
	f.recordHeartbeatPath(f.machine, false, time.Now())
	if f.recordHeartbeatPath(f.machine, true, time.Now()) || !f.machine.RelayedOnly {
		t.Errorf("redirected, or relayed only %v; want no redirect and relayed only true", f.machine.RelayedOnly)
	}
}

func TestMachineIsProbedOnStaleHeartbeatThatCrossedNoResponse(t *testing.T) {
	cases := []struct {
		name      string
		setup     func(f *fixture, now time.Time)
		heartbeat *wire.Heartbeat
		want      bool
	}{
		{"crossed a response", func(*fixture, time.Time) {}, heartbeat(1, 8, testToken), false},
		{"further behind", func(*fixture, time.Time) {}, heartbeat(1, 7, testToken), true},
		{"of an earlier epoch", func(f *fixture, _ time.Time) { f.machine.Epoch = 2 }, heartbeat(1, 10, testToken), true},
		{"outside the crossing window", func(f *fixture, now time.Time) { f.machine.LastMessageAt = now.Add(-crossingWindow) }, heartbeat(1, 10, testToken), true},
		{"probed recently", func(f *fixture, now time.Time) { f.machine.LastVerifiedAt = now.Add(-staleProbeInterval) }, heartbeat(1, 7, testToken), false},
		{"scaling in", func(f *fixture, _ time.Time) { f.machine.ScalingIn = true }, heartbeat(1, 7, testToken), true},
		{"without the store, still answering", func(f *fixture, _ time.Time) { f.expireLease(true) }, heartbeat(1, 7, testToken), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.machine.Addr = "10.0.0.9:9000"
			now := time.Now()
			f.machine.LastMessageAt = now
			tc.setup(f, now)
			f.onStaleHeartbeat(f.machine, tc.heartbeat, now)
			if f.machine.CommandInFlight != tc.want {
				t.Errorf("heartbeat %+v behind epoch %d, sequence %d: probed %v, want %v", tc.heartbeat, f.machine.Epoch, f.machine.Sequence, f.machine.CommandInFlight, tc.want)
			}
		})
	}
}

func TestRenewalWithheldWhileCancelledLaunchMayArrive(t *testing.T) {
	cases := []struct {
		name      string
		setup     func(f *fixture)
		heartbeat *wire.Heartbeat
		want      bool
	}{
		{"launch in flight", func(f *fixture) { f.attempt.LaunchInFlight = true }, heartbeat(1, 11, testToken), true},
		{"launch unanswered", func(f *fixture) { f.attempt.LaunchUnanswered, f.attempt.UnansweredLaunchToken = true, testToken }, heartbeat(1, 11, testToken), true},
		{"launch unanswered, this leader has a higher token", func(f *fixture) {
			f.attempt.LaunchUnanswered, f.attempt.UnansweredLaunchToken = true, testToken
			f.Fencing.Token = testToken + 1
		}, heartbeat(1, 11, testToken), false},
		{"no direct launch", func(*fixture) {}, heartbeat(1, 11, testToken), false},
		{"shown by the heartbeat", func(f *fixture) { f.attempt.LaunchInFlight = true }, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseRunning, "")), false},
		{"not cancelled", func(f *fixture) { f.attempt.LaunchInFlight, f.job.Cancelled = true, false }, heartbeat(1, 11, testToken), false},
		{"cancelled recently", func(f *fixture) { f.attempt.LaunchInFlight, f.job.CancelledAt = true, time.Now() }, heartbeat(1, 11, testToken), false},
		{"not stored", func(f *fixture) { f.attempt.LaunchInFlight, f.attempt.Unstored = true, true }, heartbeat(1, 11, testToken), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			now := time.Now()
			f.job.Cancelled, f.job.CancelledAt = true, now.Add(-maxCancelAge)
			tc.setup(f)
			if got := f.renewalWithheld(f.machine, tc.heartbeat, now); got != tc.want {
				t.Errorf("attempt %+v: withheld %v, want %v", *f.attempt, got, tc.want)
			}
		})
	}
}

func TestSpotNoticesDrainOnceAndUpdateReclaimTime(t *testing.T) {
	f := newFixture(t)
	f.attempt.LaunchSent, f.attempt.SeenInHeartbeat = true, true
	now := time.Now()
	for i, remaining := range []wire.Seconds{30, 20} {
		receivedAt := now.Add(time.Duration(i) * time.Second)
		notice := heartbeat(1, wire.Sequence(11+i), testToken, attemptStatus(wire.PhaseRunning, ""))
		notice.SpotNotice = &remaining
		f.Reconcile(f.machine, notice, true, receivedAt)
		if want := receivedAt.Add(remaining.Duration()); !f.machine.ReclaimAt.Equal(want) {
			t.Errorf("notice %d: reclaimed at %v, want %v", i, f.machine.ReclaimAt, want)
		}
	}
	if f.machine.DrainReason != cluster.DrainSpotNotice || f.drainCount != 1 || f.attempt.Stopping {
		t.Errorf("drained for %q, counted %d times, task stopping %v; want a spot notice, once, false", f.machine.DrainReason, f.drainCount, f.attempt.Stopping)
	}
}
