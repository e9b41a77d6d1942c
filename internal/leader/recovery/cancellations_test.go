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

// newTestRecords returns the records of a term with an empty model.
func newTestRecords(ctx context.Context) *Records {
	lease := election.NewLease(nil, election.Tenure{Token: 50})
	loop := core.NewLoop(lease, slog.New(slog.DiscardHandler), &core.Metrics{})
	loop.Begin(ctx)
	state := cluster.NewState(&config.Settings{}, &cluster.MachineCatalog{}, time.Now(), 50)
	return &Records{Loop: loop, State: state, Cancels: cancels.New(nil, time.Minute)}
}

// addCancelledJob adds a job of one task that was cancelled at a time, with an attempt that
// setup changes.
func addCancelledJob(r *Records, id wire.JobID, at time.Time, setup func(*cluster.Attempt)) *cluster.Job {
	spec := wire.JobSpec{ID: id, Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1}
	j := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(at)}, 1)
	j.Cancelled, j.CancelledAt = true, at
	a := &cluster.Attempt{Job: j, Chunk: j.Chunk(0), Number: 1, Machine: r.State.GetOrAddMachine("n-1"), SeenInHeartbeat: true}
	a.Chunk.AddAttempt(a)
	setup(a)
	r.State.CancelledJobs[j] = struct{}{}
	return j
}

func TestCancelIsUnconfirmedWhileALaunchMayBeInFlight(t *testing.T) {
	cases := []struct {
		name  string
		setup func(*cluster.Attempt)
		want  bool
	}{
		{"shown by the agent", func(*cluster.Attempt) {}, false},
		{"not shown by the agent", func(a *cluster.Attempt) { a.SeenInHeartbeat = false }, true},
		{"launch in flight", func(a *cluster.Attempt) { a.LaunchInFlight = true }, true},
		{"launch unanswered", func(a *cluster.Attempt) { a.LaunchUnanswered = true }, true},
		{"not stored, so never sent", func(a *cluster.Attempt) { a.Unstored, a.SeenInHeartbeat = true, false }, false},
		{"ended", func(a *cluster.Attempt) { a.SeenInHeartbeat = false; a.Detach() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRecords(t.Context())
			cancelledAt := time.Now().Add(-time.Second)
			addCancelledJob(r, "req-1", cancelledAt, c.setup)
			r.publishUnconfirmedCancel()
			want := time.Time{}
			if c.want {
				want = cancelledAt
			}
			if got := r.Published.OldestUnconfirmedCancel(); !got.Equal(want) {
				t.Errorf("oldest unconfirmed cancellation: got %v, want %v", got, want)
			}
		})
	}
}

func TestOldestUnconfirmedCancelIsPublished(t *testing.T) {
	r := newTestRecords(t.Context())
	if got := r.Published.OldestUnconfirmedCancel(); !got.IsZero() {
		t.Errorf("before the first search: got %v, want the zero time", got)
	}
	now := time.Now()
	notShown := func(a *cluster.Attempt) { a.SeenInHeartbeat = false }
	addCancelledJob(r, "req-1", now.Add(-time.Second), notShown)
	addCancelledJob(r, "req-2", now.Add(-3*time.Second), notShown)
	addCancelledJob(r, "req-3", now.Add(-5*time.Second), func(*cluster.Attempt) {})
	ended := addCancelledJob(r, "req-4", now.Add(-9*time.Second), func(a *cluster.Attempt) { a.Detach() })
	r.publishUnconfirmedCancel()
	if got, want := r.Published.OldestUnconfirmedCancel(), now.Add(-3*time.Second); !got.Equal(want) {
		t.Errorf("oldest unconfirmed cancellation: got %v, want %v", got, want)
	}
	if _, kept := r.State.CancelledJobs[ended]; kept {
		t.Error("cancelled job without active tasks: got kept, want forgotten")
	}
}
