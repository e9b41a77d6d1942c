package scheduling

import (
	"log/slog"
	"testing"

	"lilaclead/internal/leader/scheduling/schedulingtest"
)

// testScheduler is the scheduler of a small cluster, together with that cluster.
type testScheduler struct {
	*Scheduler
	*schedulingtest.Cluster
}

func newTestScheduler(t *testing.T) *testScheduler {
	c := schedulingtest.New(t)
	scheduler := NewScheduler(c.State, c.Tuning, c.Tracker, slog.New(slog.DiscardHandler))
	return &testScheduler{Scheduler: scheduler, Cluster: c}
}
