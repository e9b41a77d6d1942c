package liveness

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// expiredAfterRenewal is the time after the last possible renewal at which a lease of 16 s has
// certainly expired.
const expiredAfterRenewal = 16*time.Second + 32*time.Millisecond + 1500*time.Millisecond

func TestLeaseExpiresAfterTheLastPossibleRenewal(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture, machine *cluster.Machine)
		want  time.Duration // from the start of the term to the last possible renewal
	}{
		{"answered by this leader", func(f *fixture, machine *cluster.Machine) {
			machine.LastResponseAt = f.State.TermStartedAt.Add(7 * time.Second)
		}, 7 * time.Second},
		{"token of this term shown after the last response", func(f *fixture, machine *cluster.Machine) {
			machine.TokenSeenAt = f.State.TermStartedAt.Add(8 * time.Second)
		}, 8 * time.Second},
		{"new epoch without a response", func(f *fixture, machine *cluster.Machine) {
			machine.EpochSince = f.State.TermStartedAt.Add(9 * time.Second)
		}, 9 * time.Second},
		{"a delegate renewed it", func(f *fixture, _ *cluster.Machine) {
			f.State.DelegatesRenewedUntil = f.State.TermStartedAt.Add(10 * time.Second)
		}, 10 * time.Second},
		{"an earlier leader, a quorum acknowledged the token", func(f *fixture, machine *cluster.Machine) {
			machine.Token = testToken - 1
			f.State.QuorumAckedAt = f.State.TermStartedAt.Add(11 * time.Second)
		}, 11*time.Second + peer.AckLifetime},
		{"an earlier leader, no quorum, delegation enabled", func(f *fixture, machine *cluster.Machine) {
			machine.Token = testToken - 1
			f.State.Delegation.MaxDelegationTime = 22 * time.Second
		}, 22 * time.Second},
		{"an earlier leader, no quorum, delegation disabled", func(_ *fixture, machine *cluster.Machine) {
			machine.Token = testToken - 1
		}, peer.OutageLimit},
		{"an earlier leader until the quorum, a delegate later", func(f *fixture, machine *cluster.Machine) {
			machine.Token = testToken - 1
			f.State.QuorumAckedAt = f.State.TermStartedAt.Add(time.Second)
			f.State.DelegatesRenewedUntil = f.State.TermStartedAt.Add(12 * time.Second)
		}, 12 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(0)
			machine.LastResponseAt = f.State.TermStartedAt
			job := f.addJob(wire.KindArray, 1)
			f.addAttempt(job, 0, machine)
			tc.setup(f, machine)
			expired := f.State.TermStartedAt.Add(tc.want + expiredAfterRenewal)
			if f.ExpireLease(machine, expired.Add(-time.Millisecond)); job.ActiveTasks != 1 {
				t.Errorf("expired %v after the last possible renewal, want %v", expiredAfterRenewal-time.Millisecond, expiredAfterRenewal)
			}
			if f.ExpireLease(machine, expired); job.ActiveTasks != 0 {
				t.Errorf("not expired %v after the last possible renewal", expiredAfterRenewal)
			}
			if want := []string{string(cluster.EvictedLeaseExpired)}; !slices.Equal(f.evicted, want) {
				t.Errorf("evictions %v, want %v", f.evicted, want)
			}
		})
	}
}

func TestLeaseExpirySparesAttemptsThatMayStillStart(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *fixture, attempt *cluster.Attempt)
		want  int // active tasks
	}{
		{"running", func(*fixture, *cluster.Attempt) {}, 0},
		{"not stored", func(_ *fixture, attempt *cluster.Attempt) { attempt.Unstored = true }, 1},
		{"direct launch in flight", func(_ *fixture, attempt *cluster.Attempt) { attempt.LaunchInFlight = true }, 1},
		{"records not read", func(f *fixture, _ *cluster.Attempt) { f.State.RecordsRead = false }, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine(time.Hour)
			job := f.addJob(wire.KindArray, 1)
			tc.setup(f, f.addAttempt(job, 0, machine))
			f.ExpireLease(machine, f.now)
			if job.ActiveTasks != tc.want {
				t.Errorf("%d active tasks, want %d", job.ActiveTasks, tc.want)
			}
		})
	}
}

func TestEarlierLeaderAnswersUntil(t *testing.T) {
	cases := []struct {
		// Times are counted from the start of the term.
		name              string
		maxDelegationTime time.Duration
		quorumAcked       time.Duration // 0: never
		want              time.Duration
	}{
		{"never acknowledged, delegation disabled", 0, 0, peer.OutageLimit},
		{"never acknowledged, delegation enabled", 22 * time.Second, 0, 22 * time.Second},
		{"never acknowledged, delegation for less time than empty acknowledgements count", 5 * time.Second, 0, 7 * time.Second},
		{"acknowledged early", 22 * time.Second, 3 * time.Second, 5 * time.Second},
		{"acknowledged late", 22 * time.Second, 30 * time.Second, 22 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.State.Delegation.MaxDelegationTime = tc.maxDelegationTime
			if tc.quorumAcked > 0 {
				f.State.QuorumAckedAt = f.State.TermStartedAt.Add(tc.quorumAcked)
			}
			if got := f.EarlierLeaderAnswersUntil().Sub(f.State.TermStartedAt); got != tc.want {
				t.Errorf("delegation for up to %v, acknowledged after %v: got %v, want %v", tc.maxDelegationTime, tc.quorumAcked, got, tc.want)
			}
		})
	}
}
