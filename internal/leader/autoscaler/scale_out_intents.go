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

// recordScaleOuts records the pending scale-out requests if some of them are not recorded yet. These
// are sent once the record is written. If all requests are answered, it empties the record
// clearIntentsAfter its last write.
func (s *Scaler) recordScaleOuts(now time.Time) {
	if !s.recordsIntents() || !s.Intents.scaleOutsWritable() || !s.Lease.Deciding() {
		return
	}
	intents := s.Intents
	if len(intents.unrecordedScaleOuts) == 0 && !intents.scaleOutsClearable(s.Tracker, now) {
		return
	}
	intents.withdrawNewest(s.Tracker)
	newRequests, pending := intents.unrecordedScaleOuts, scaleOutIntents(s.Tracker)
	intents.unrecordedScaleOuts, intents.recordingScaleOuts = nil, true
	s.Spawn(func(ctx context.Context) {
		err := intents.scaleOuts.Record(ctx, pending)
		s.Post(ScaleOutsRecorded{newRequests, err})
	})
}

// OnScaleOutsRecorded sends the newly recorded requests, or withdraws them if the write failed.
func (s *Scaler) OnScaleOutsRecorded(newRequests []*scaling.PendingScaleOut, err error) {
	s.Intents.recordingScaleOuts, s.Intents.scaleOutsRecordedAt = false, time.Now()
	for _, request := range newRequests {
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
		s.Log.Info("scale-out intents not recorded", "requests", len(newRequests), "err", err)
	}
	s.recordScaleOuts(time.Now())
}

// scaleOutsWritable reports whether the record of scale-out requests has been read and no write of
// it is in flight.
func (c *CloudIntents) scaleOutsWritable() bool { return !c.recordingScaleOuts && c.scaleOuts.Loaded() }

// scaleOutsClearable reports whether the record holds requests, all of them are answered, and it was
// last written more than clearIntentsAfter ago.
func (c *CloudIntents) scaleOutsClearable(tracker *scaling.Tracker, now time.Time) bool {
	recorded := len(c.scaleOuts.OpenIntents()) > 0
	allAnswered := len(tracker.PendingScaleOuts()) == 0
	return recorded && allAnswered && now.Sub(c.scaleOutsRecordedAt) > clearIntentsAfter
}

// withdrawNewest withdraws the newest unrecorded requests until the pending ones fit in one
// record.
func (c *CloudIntents) withdrawNewest(tracker *scaling.Tracker) {
	for len(c.unrecordedScaleOuts) > 0 && !c.scaleOuts.Fits(scaleOutIntents(tracker)) {
		last := len(c.unrecordedScaleOuts) - 1
		tracker.Withdraw(c.unrecordedScaleOuts[last])
		c.unrecordedScaleOuts = c.unrecordedScaleOuts[:last]
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
