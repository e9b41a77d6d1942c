package autoscaler

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// A scale-out request without a final answer is sent again after a pause that grows from
// minScaleOutRetry to maxScaleOutRetry.
const (
	minScaleOutRetry = 400 * time.Millisecond
	maxScaleOutRetry = 5 * time.Second
)

// requestScaleOut requests machines. Where intents are recorded the request is sent once
// its record is written.
func (s *Scaler) requestScaleOut(scaleOut fleet.ScaleOut) {
	request := s.Tracker.StartScaleOut(scaleOut, time.Now())
	s.Log.Info("scale-out requested", "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "job", scaleOut.For, "request", request.Name)
	if s.recordsIntents() {
		s.Intents.unrecorded = append(s.Intents.unrecorded, request)
		return
	}
	s.Spawn(func(ctx context.Context) { s.sendScaleOut(ctx, request) })
}

// sendScaleOut repeats a request under its name until the cloud has given a final answer,
// and sends it only while the lease is held. It runs in the background.
func (s *Scaler) sendScaleOut(ctx context.Context, request *scaling.PendingScaleOut) {
	var retry scaling.RetryState
	wait := minScaleOutRetry
	for ctx.Err() == nil {
		machines, err := s.callScaleOut(ctx, request)
		if !errors.Is(err, duty.ErrNotHeld) && retry.Final(err) {
			s.Post(ScaleOutAnswered{request, machines, err})
			return
		}
		core.Pause(ctx, wait+rand.N(wait/2))
		wait = min(2*wait, maxScaleOutRetry)
	}
}

// callScaleOut sends a request once, if the lease is held.
func (s *Scaler) callScaleOut(ctx context.Context, request *scaling.PendingScaleOut) ([]wire.MachineID, error) {
	permit, err := duty.PermitFor[duty.ScaleOut](s.Lease.Lease)
	if err != nil {
		return nil, err
	}
	return s.Cloud.ScaleOut(ctx, permit, request.ScaleOutRequest)
}

// OnScaleOutAnswered handles the final answer to a scale-out request.
func (s *Scaler) OnScaleOutAnswered(request *scaling.PendingScaleOut, machines []wire.MachineID, err error) {
	outcome, backoff := s.Tracker.FinishScaleOut(request, scaling.Answer{Machines: len(machines), Err: err}, time.Now())
	switch outcome {
	case scaling.Filled:
		s.onMachinesStarted(request, machines)
	case scaling.PartlyFilled:
		s.onMachinesStarted(request, machines)
		s.Log.Info("scale-out partly filled", "request", request.Name, "started", len(machines), "count", request.Count)
	case scaling.NoCapacity:
		s.Log.Info("scale-out rejected", "reason", "no capacity", "type", request.Type, "zone", request.Zone, "spot", request.Spot, "retry_in", backoff, "err", err)
	case scaling.Unavailable:
		s.Log.Info("scale-outs paused", "reason", "cloud unavailable", "retry_in", backoff, "err", err)
	}
}

// onMachinesStarted takes in the machines that a request has started.
func (s *Scaler) onMachinesStarted(request *scaling.PendingScaleOut, machines []wire.MachineID) {
	s.Metrics.Fleet("rented", len(machines))
	if s.maybeUnlisted(request) {
		s.addProvisioned(request, machines)
	}
}

const (
	// maxListLagFactor is how many times older than its configured lag a machine list can be.
	maxListLagFactor = 2
	// listLagMargin covers the time that the request itself took.
	listLagMargin = time.Second
)

// maybeUnlisted reports whether the machines of a request may be missing from the latest
// machine list. Those of a request that an earlier leader sent longer ago are listed,
// unless they no longer exist.
func (s *Scaler) maybeUnlisted(request *scaling.PendingScaleOut) bool {
	maxLag := s.state.Settings.Cloud.ListLag.Duration()*maxListLagFactor + listLagMargin
	return !request.Adopted || time.Since(request.RequestedAt) < maxLag
}

// addProvisioned adds the machines of a request to the inventory. They may have sent a
// heartbeat, or have been removed again, before the request's answer arrived.
func (s *Scaler) addProvisioned(request *scaling.PendingScaleOut, machines []wire.MachineID) {
	for _, id := range machines {
		if _, removed := s.state.RemovedMachines[id]; removed {
			continue
		}
		machine := s.state.GetOrAddMachine(id)
		if !machine.FirstHeartbeatAt.IsZero() {
			continue
		}
		machine.MachineType, machine.Zone, machine.Spot = request.Type, request.Zone, request.Spot
		machine.Booting, machine.RequestedAt = true, request.RequestedAt
	}
}
