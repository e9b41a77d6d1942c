package liveness

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestCheckpointsAreWrittenBeforeReclaim(t *testing.T) {
	// A checkpoint takes 4 s, and the grace period is 2 s longer.
	cases := []struct {
		name            string
		kind            wire.JobKind
		checkpoints     bool
		remaining       time.Duration
		withoutStore    bool                   // the leader may only answer heartbeats
		notAnswering    bool                   // the leader may not even answer heartbeats
		wantReason      cluster.EvictionReason // empty: not stopped
		wantGracePeriod wire.Seconds
	}{
		{name: "array, time left", kind: wire.KindArray, checkpoints: true, remaining: 7 * time.Second},
		{name: "array, must stop now", kind: wire.KindArray, checkpoints: true, remaining: 6900 * time.Millisecond, wantReason: cluster.EvictedBeforeReclaim, wantGracePeriod: 6},
		{name: "array without checkpoints", kind: wire.KindArray, remaining: time.Second},
		{name: "gang, time left", kind: wire.KindGang, checkpoints: true, remaining: 15 * time.Second},
		{name: "gang, must stop now", kind: wire.KindGang, checkpoints: true, remaining: 14900 * time.Millisecond, wantReason: cluster.EvictedBeforeReclaim, wantGracePeriod: 14},
		{name: "service", kind: wire.KindService, remaining: time.Minute, wantReason: cluster.EvictedMachineReclaimed},
		{name: "array without the store", kind: wire.KindArray, checkpoints: true, remaining: 6 * time.Second, withoutStore: true, wantReason: cluster.EvictedBeforeReclaim, wantGracePeriod: 6},
		{name: "service without the store", kind: wire.KindService, remaining: time.Second, withoutStore: true},
		{name: "array, not answering", kind: wire.KindArray, checkpoints: true, remaining: time.Second, notAnswering: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if tc.withoutStore || tc.notAnswering {
				f.expireLease(!tc.notAnswering)
			}
			machine := f.addMachine(0)
			machine.ReclaimAt, machine.DrainReason = f.now.Add(tc.remaining), cluster.DrainSpotNotice
			job := f.addJob(tc.kind, 1)
			if tc.checkpoints {
				job.Spec.CheckpointInterval, job.Spec.CheckpointTime = 60, 4
			}
			attempt := f.addAttempt(job, 0, machine)
			if tc.kind == wire.KindGang {
				job.Gang = &cluster.Gang{AttemptNumber: attempt.Number, StartedAt: f.now, HasRun: true}
			}
			f.CheckMachine(machine, &machineCounts{up: 1}, f.now)
			if attempt.StopReason != tc.wantReason || attempt.Stopping != (tc.wantReason != "") {
				t.Errorf("%v before the reclaim: stopping %v for %q, want %q", tc.remaining, attempt.Stopping, attempt.StopReason, tc.wantReason)
			}
			if attempt.GracePeriod != tc.wantGracePeriod {
				t.Errorf("%v before the reclaim: grace period %v s, want %v s", tc.remaining, attempt.GracePeriod, tc.wantGracePeriod)
			}
		})
	}
}
