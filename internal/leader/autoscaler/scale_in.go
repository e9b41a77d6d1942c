package autoscaler

import (
	"context"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// ScaleIn returns a machine to the cloud. Its tasks count as active until the cloud has
// confirmed that the machine no longer exists. ScaleIn does nothing if the machine is already
// being scaled in, or if the lease is not held.
func (s *Scaler) ScaleIn(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.ScalingIn || !s.Lease.Deciding() {
		return
	}
	machine.ScalingIn = true
	if machine.DrainReason == "" {
		machine.DrainReason = reason
	}
	s.Log.Info("scale-in requested", "machine", machine.ID, "type", machine.MachineType, "zone", machine.Zone, "spot", machine.Spot,
		"reason", reason, "tasks", len(machine.Attempts), "age", time.Since(machine.RequestedAt))
	s.Metrics.FleetChange("released", 1)
	s.Tracker.QueueScaleIn(machine.ID)
	s.sendNextScaleIn()
}

// sendNextScaleIn sends the next batch of queued scale-ins, unless one is in flight, and retries it
// until the cloud has confirmed it.
func (s *Scaler) sendNextScaleIn() {
	machines := s.Tracker.NextScaleIn(s.maxScaleInBatch())
	if len(machines) == 0 {
		return
	}
	record := s.recordsIntents()
	s.Spawn(func(ctx context.Context) {
		if record && !s.Intents.recordScaleIns(ctx, machines) {
			return
		}
		if s.sendScaleIn(ctx, machines) {
			s.Post(ScaledIn{machines})
		}
	})
}

// maxScaleInBatch returns how many machines one request may return.
func (s *Scaler) maxScaleInBatch() int {
	if !s.recordsIntents() {
		return scaling.MaxScaleIn
	}
	return s.Intents.maxScaleInBatch()
}

// OnScaledIn handles the confirmation that machines no longer exist: their tasks become pending, and
// the next batch is sent. Without machines it ends the clearing of the record of scale-ins.
func (s *Scaler) OnScaledIn(machines []wire.MachineID) {
	for _, id := range machines {
		s.inventory.remove(s.state.Machines[id])
	}
	if s.Intents != nil {
		s.Intents.scaleInConfirmedAt = time.Now()
	}
	s.Tracker.EndScaleIn()
	s.sendNextScaleIn()
}

// clearScaleIns empties the record of scale-ins clearIntentsAfter the last confirmation, so that no
// later leader repeats them.
func (s *Scaler) clearScaleIns(now time.Time) {
	if !s.recordsIntents() || !s.Lease.Deciding() || !s.Tracker.BeginScaleIn() {
		return
	}
	if !s.Intents.scaleInsClearable(now) {
		s.Tracker.EndScaleIn()
		return
	}
	s.Spawn(func(ctx context.Context) {
		if s.Intents.recordScaleIns(ctx, []wire.MachineID{}) {
			s.Post(ScaledIn{})
		}
	})
}
