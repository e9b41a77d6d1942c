package autoscaler

import (
	"context"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// requestScaleOut requests machines. If intents are recorded, the request is sent once its record is
// written.
func (s *Scaler) requestScaleOut(scaleOut fleet.ScaleOut) {
	request := s.Tracker.StartScaleOut(scaleOut, time.Now())
	s.Log.Info("scale-out requested", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"count", request.Count, "job", scaleOut.ForJob, "request", request.Name)
	if s.recordsIntents() {
		s.Intents.unrecordedScaleOuts = append(s.Intents.unrecordedScaleOuts, request)
		return
	}
	s.Spawn(func(ctx context.Context) { s.sendScaleOut(ctx, request) })
}

// OnScaleOutAnswered handles the final response to a scale-out request.
func (s *Scaler) OnScaleOutAnswered(request *scaling.PendingScaleOut, machines []wire.MachineID, err error) {
	outcome, backoff := s.Tracker.FinishScaleOut(request, scaling.Answer{Machines: len(machines), Err: err}, time.Now())
	switch outcome {
	case scaling.Filled:
		s.onMachinesStarted(request, machines)
	case scaling.PartlyFilled:
		s.onMachinesStarted(request, machines)
		s.Log.Info("scale-out partly filled", "request", request.Name, "started", len(machines), "count", request.Count)
	case scaling.NoCapacity:
		s.Log.Info("scale-out rejected", "reason", "no capacity", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
			"retry_in", backoff, "err", err)
	case scaling.Unavailable:
		s.Log.Info("scale-outs paused", "reason", "cloud unavailable", "retry_in", backoff, "err", err)
	}
}

// onMachinesStarted adds the machines that a request has started to the inventory, unless they must
// already be in the machine list.
func (s *Scaler) onMachinesStarted(request *scaling.PendingScaleOut, machines []wire.MachineID) {
	s.Metrics.FleetChange("rented", len(machines))
	if s.inventory.maybeUnlisted(request) {
		s.inventory.add(request, machines)
	}
}
