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
	if !s.mayRecordScaleOuts() {
		return
	}
	intents := s.Intents
	if len(intents.unrecorded) == 0 && !s.scaleOutsClearable(now) {
		return
	}
	s.withdrawOversized()
	fresh, pending := intents.unrecorded, s.scaleOutIntents()
	intents.unrecorded, intents.recording = nil, true
	s.Spawn(func(ctx context.Context) {
		err := intents.scaleOuts.Record(ctx, pending)
		s.Post(ScaleOutsRecorded{fresh, err})
	})
}

// mayRecordScaleOuts reports whether the record of scale-out requests may be written now.
func (s *Scaler) mayRecordScaleOuts() bool {
	writable := s.recordsIntents() && !s.Intents.recording && s.Intents.scaleOuts.Loaded()
	return writable && s.Lease.Deciding()
}

// scaleOutsClearable reports whether the record holds only requests that have been
// answered, and has not been written for a while.
func (s *Scaler) scaleOutsClearable(now time.Time) bool {
	recorded := len(s.Intents.scaleOuts.Open()) > 0
	answered := len(s.Tracker.PendingScaleOuts()) == 0
	return recorded && answered && now.Sub(s.Intents.recordedAt) > clearIntentsAfter
}

// withdrawOversized withdraws the newest requests that exceed the size of the record.
func (s *Scaler) withdrawOversized() {
	intents := s.Intents
	for len(intents.unrecorded) > 0 && !intents.scaleOuts.Fits(s.scaleOutIntents()) {
		last := len(intents.unrecorded) - 1
		s.Tracker.Withdraw(intents.unrecorded[last])
		intents.unrecorded = intents.unrecorded[:last]
	}
}

// scaleOutIntents returns the stored form of the pending requests.
func (s *Scaler) scaleOutIntents() []ScaleOutIntent {
	intents := []ScaleOutIntent{} // not nil: an empty list is stored as one
	for _, request := range s.Tracker.PendingScaleOuts() {
		intents = append(intents, ScaleOutIntent{request.ScaleOutRequest, wire.TimestampOf(request.RequestedAt)})
	}
	return intents
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
