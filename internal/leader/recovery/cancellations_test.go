package recovery

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// newTestRecords returns the Records of a term with an empty model.
func newTestRecords(ctx context.Context) *Records {
	lease := election.NewLease(nil, election.Acquisition{Token: 50})
	loop := core.NewLoop(lease, slog.New(slog.DiscardHandler), &core.Metrics{})
	loop.Begin(ctx)
	state := cluster.NewState(&config.Settings{}, &cluster.MachineCatalog{}, time.Now(), 50)
	return &Records{Loop: loop, State: state, Cancels: cancels.New(nil, time.Minute)}
}

// addCancelledJob adds a cancelled job with one task. Its attempt was seen in a heartbeat;
// setup may change that.
func addCancelledJob(r *Records, id wire.JobID, cancelledAt time.Time, setup func(*cluster.Attempt)) *cluster.Job {
	spec := wire.JobSpec{ID: id, Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1}
	job := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(cancelledAt)}, 1)
	job.Cancelled, job.CancelledAt = true, cancelledAt
	attempt := &cluster.Attempt{Job: job, Chunk: job.Chunk(0), Number: 1, Machine: r.State.GetOrAddMachine("n-1"), SeenInHeartbeat: true}
	attempt.Chunk.AddAttempt(attempt)
	setup(attempt)
	r.State.CancelledJobs[job] = struct{}{}
	return job
}

func TestCancelIsPublishedWhileALaunchMayBeInFlight(t *testing.T) {
	cases := []struct {
		name          string
		setup         func(*cluster.Attempt)
		wantPublished bool
	}{
		{"seen in a heartbeat", func(*cluster.Attempt) {}, false},
		{"not seen in a heartbeat", func(attempt *cluster.Attempt) { attempt.SeenInHeartbeat = false }, true},
		{"launch in flight", func(attempt *cluster.Attempt) { attempt.LaunchInFlight = true }, true},
		{"launch unanswered", func(attempt *cluster.Attempt) { attempt.LaunchUnanswered = true }, true},
		{"not stored, so never sent", func(attempt *cluster.Attempt) { attempt.Unstored, attempt.SeenInHeartbeat = true, false }, false},
		{"attempt ended", func(attempt *cluster.Attempt) { attempt.SeenInHeartbeat = false; attempt.Detach() }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestRecords(t.Context())
			cancelledAt := time.Now().Add(-time.Second)
			addCancelledJob(r, "req-1", cancelledAt, tc.setup)
			r.publishInFlightLaunchCancel()
			want := time.Time{}
			if tc.wantPublished {
				want = cancelledAt
			}
			if got := r.Published.OldestInFlightLaunchCancel(); !got.Equal(want) {
				t.Errorf("oldest cancellation with a launch in flight: got %v, want %v", got, want)
			}
		})
	}
}

func TestOldestInFlightLaunchCancelIsPublished(t *testing.T) {
	r := newTestRecords(t.Context())
	if got := r.Published.OldestInFlightLaunchCancel(); !got.IsZero() {
		t.Errorf("before the first publication: got %v, want the zero time", got)
	}
	now := time.Now()
	notSeen := func(attempt *cluster.Attempt) { attempt.SeenInHeartbeat = false }
	addCancelledJob(r, "req-1", now.Add(-time.Second), notSeen)
	addCancelledJob(r, "req-2", now.Add(-3*time.Second), notSeen)
	addCancelledJob(r, "req-3", now.Add(-5*time.Second), func(*cluster.Attempt) {})
	ended := addCancelledJob(r, "req-4", now.Add(-9*time.Second), func(attempt *cluster.Attempt) { attempt.Detach() })
	r.publishInFlightLaunchCancel()
	if got, want := r.Published.OldestInFlightLaunchCancel(), now.Add(-3*time.Second); !got.Equal(want) {
		t.Errorf("oldest cancellation with a launch in flight: got %v, want %v", got, want)
	}
	if _, listed := r.State.CancelledJobs[ended]; listed {
		t.Error("cancelled job without active tasks: still in CancelledJobs, want it removed")
	}
}
