package lilaclead

import (
	"context"
	"fmt"
	"time"

	"lilaclead/duty"
	"lilaclead/history"
	"lilaclead/internal/admin"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// historyFlushTimeout bounds the wait for the disk when a node stops.
const historyFlushTimeout = 2 * time.Second

// decisionHistory records this node's decisions, if that feature is on.
type decisionHistory struct {
	recorder *history.Recorder // nil: nothing is recorded
}

// newDecisionHistory returns the history that the features configure, and registers metrics
// of its events.
func newDecisionHistory(features Features, controller wire.NodeID, metrics *admin.Metrics) (decisionHistory, error) {
	if features.HistoryDir == "" {
		return decisionHistory{}, nil
	}
	recorder, err := history.NewRecorder(history.Options{
		Dir:        features.HistoryDir,
		Controller: string(controller),
		LimitBytes: int64(features.HistoryLimitMB * bytesPerMegabyte),
	})
	if err != nil {
		return decisionHistory{}, fmt.Errorf("history: %w", err)
	}
	metrics.RegisterHistory(recorder.Counts)
	return decisionHistory{recorder}, nil
}

// recordVersionEvent records an event of package upgrade.
func (h decisionHistory) recordVersionEvent(e upgrade.Event) {
	h.recorder.Record(history.Event{
		At:      e.At,
		Kind:    string(e.Kind),
		Token:   uint64(e.Token),
		Version: uint64(e.Version),
		Reason:  e.Reason,
	})
}

// recordDutyEvent records an event of package duty.
func (h decisionHistory) recordDutyEvent(e duty.Event) {
	h.recorder.Record(history.Event{
		At:     e.At,
		Kind:   string(e.Kind),
		Duty:   string(e.Duty),
		Token:  uint64(e.Token),
		Reason: e.Reason,
	})
}

// start starts writing recorded events, until the context ends. The function that it returns
// waits until all of them are written, for at most historyFlushTimeout.
func (h decisionHistory) start(ctx context.Context) (wait func()) {
	if h.recorder == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.recorder.Run(ctx)
	}()
	return func() {
		select {
		case <-done:
		case <-time.After(historyFlushTimeout):
		}
	}
}
