package autoscaler

import (
	"context"
	"errors"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// mayScaleOut reports whether scale-out requests can be recorded, or need not be.
func (s *Scaler) mayScaleOut() bool {
	return !s.recordsIntents() || s.Intents.scaleOuts.Loaded()
}

// recordScaleOuts records the pending scale-out requests if there are new ones, or if none
// is left. The new ones are sent when the record is written.
func (s *Scaler) recordScaleOuts(now time.Time) {
	if !s.recordsIntents() || !s.Intents.scaleOutsWritable() || !s.Lease.Deciding() {
		return
	}
	intents := s.Intents
	if len(intents.unrecorded) == 0 && !intents.scaleOutsClearable(s.Tracker, now) {
		return
	}
	intents.withdrawOversized(s.Tracker)
	fresh, pending := intents.unrecorded, scaleOutIntents(s.Tracker)
	intents.unrecorded, intents.recording = nil, true
	s.Spawn(func(ctx context.Context) {
		err := intents.scaleOuts.Record(ctx, pending)
		s.Post(ScaleOutsRecorded{fresh, err})
	})
}

// OnScaleOutsRecorded sends the requests that are recorded now, or withdraws them if they
// could not be recorded.
func (s *Scaler) OnScaleOutsRecorded(fresh []*scaling.PendingScaleOut, err error) {
	s.Intents.recording, s.Intents.recordedAt = false, time.Now()
	for _, request := range fresh {
		if err != nil {
			s.Tracker.Withdraw(request)
			continue
		}
		s.Spawn(func(ctx context.Context) { s.sendScaleOut(ctx, request) })
	}
	switch {
	case errors.Is(err, duty.ErrHeldByOther):
		s.End(err.Error())
	case err != nil:
		s.Log.Info("scale-out intents not recorded", "requests", len(fresh), "err", err)
	}
	s.recordScaleOuts(time.Now())
}

// scaleOutsWritable reports whether the record of scale-out requests was read, and no write
// of it is in flight.
func (c *CloudIntents) scaleOutsWritable() bool { return !c.recording && c.scaleOuts.Loaded() }

// scaleOutsClearable reports whether the record holds only requests that have been
// answered, and has not been written for a while.
func (c *CloudIntents) scaleOutsClearable(tracker *scaling.Tracker, now time.Time) bool {
	recorded := len(c.scaleOuts.OpenIntents()) > 0
	answered := len(tracker.PendingScaleOuts()) == 0
	return recorded && answered && now.Sub(c.recordedAt) > clearIntentsAfter
}

// withdrawOversized withdraws the newest requests that exceed the size of the record.
func (c *CloudIntents) withdrawOversized(tracker *scaling.Tracker) {
	for len(c.unrecorded) > 0 && !c.scaleOuts.Fits(scaleOutIntents(tracker)) {
		last := len(c.unrecorded) - 1
		tracker.Withdraw(c.unrecorded[last])
		c.unrecorded = c.unrecorded[:last]
	}
}

// scaleOutIntents returns the stored form of the pending requests.
func scaleOutIntents(tracker *scaling.Tracker) []ScaleOutIntent {
	intents := []ScaleOutIntent{} // not nil: an empty list is stored as one
	for _, request := range tracker.PendingScaleOuts() {
		intents = append(intents, ScaleOutIntent{request.ScaleOutRequest, wire.TimestampOf(request.RequestedAt)})
	}
	return intents
}
