package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// recordScaleIns records that machines are to be returned. This is final: no leader runs
// anything on them again. It returns false if the term has ended before. It runs in the
// background.
func (s *Scaler) recordScaleIns(ctx context.Context, machines []wire.MachineID) bool {
	for {
		err := s.Intents.scaleIns.Record(ctx, machines)
		if err == nil {
			return true
		}
		if errors.Is(err, duty.ErrHeldByOther) {
			s.End(err.Error())
			return false
		}
		s.Log.Debug("scale-in intents not recorded", "machines", len(machines), "err", err)
		if !core.Pause(ctx, maxScaleInRetry) {
			return false
		}
	}
}

// clearScaleIns empties the record of scale-ins when all of them have been confirmed for a
// while, so that no later leader repeats them.
func (s *Scaler) clearScaleIns(now time.Time) {
	if !s.recordsIntents() || !s.Lease.Deciding() || !s.Tracker.BeginScaleIn() {
		return
	}
	if !s.scaleInsClearable(now) {
		s.Tracker.EndScaleIn()
		return
	}
	s.Spawn(func(ctx context.Context) {
		if s.recordScaleIns(ctx, []wire.MachineID{}) {
			s.Post(ScaledIn{})
		}
	})
}

// scaleInsClearable reports whether the record holds scale-ins, and none was confirmed for
// a while. It is called while no scale-in is in flight.
func (s *Scaler) scaleInsClearable(now time.Time) bool {
	return len(s.Intents.scaleIns.Open()) > 0 && now.Sub(s.Intents.scaledInAt) > clearIntentsAfter
}

// maxScaleInBatch returns how many machines one request may return: as many as the cloud
// accepts and as fit in one record.
func (s *Scaler) maxScaleInBatch() int {
	if !s.recordsIntents() {
		return scaling.MaxScaleIn
	}
	size := scaling.MaxScaleIn
	for size > 1 && !s.Intents.scaleIns.Fits(longMachineIDs(size)) {
		size /= 2
	}
	return size
}

// maxMachineIDLength is the assumed length of a machine's name, such as "n-000231", with
// room to grow.
const maxMachineIDLength = 24

// longMachineIDs returns distinct names of the length maxMachineIDLength.
func longMachineIDs(count int) []wire.MachineID {
	ids := make([]wire.MachineID, count)
	for i := range ids {
		ids[i] = wire.MachineID(fmt.Sprintf("%0*d", maxMachineIDLength, i))
	}
	return ids
}
