package autoscaler

import (
	"context"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/wire"
)

// A scale-in request that is not confirmed is sent again after a pause that grows from
// minScaleInRetry to maxScaleInRetry.
const (
	minScaleInRetry = 500 * time.Millisecond
	maxScaleInRetry = 2 * time.Second
)

// ScaleIn returns a machine to the cloud. Its tasks count as active until the cloud has
// confirmed that the machine no longer exists.
func (s *Scaler) ScaleIn(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.ScalingIn || !s.Lease.Deciding() {
		return
	}
	machine.ScalingIn = true
	if machine.DrainReason == "" {
		machine.DrainReason = reason
	}
	s.Log.Info("scale-in requested", "machine", machine.ID, "type", machine.MachineType, "zone", machine.Zone, "spot", machine.Spot, "reason", reason, "tasks", len(machine.Tasks), "age", time.Since(machine.RequestedAt))
	s.Metrics.Fleet("released", 1)
	s.Tracker.QueueScaleIn(machine.ID)
	s.sendNextScaleIn()
}

// sendNextScaleIn sends the next batch of scale-ins, unless one is in flight, and repeats
// it until the cloud has confirmed it.
func (s *Scaler) sendNextScaleIn() {
	machines := s.Tracker.NextScaleIn(s.maxScaleInBatch())
	if len(machines) == 0 {
		return
	}
	record := s.recordsIntents()
	s.Spawn(func(ctx context.Context) {
		if record && !s.recordScaleIns(ctx, machines) {
			return
		}
		if s.sendScaleIn(ctx, machines) {
			s.Post(ScaledIn{machines})
		}
	})
}

// sendScaleIn repeats a scale-in request until the cloud has confirmed it, and sends it
// only while the lease is held. It returns false if the term has ended before. It runs in
// the background.
func (s *Scaler) sendScaleIn(ctx context.Context, machines []wire.MachineID) bool {
	wait := minScaleInRetry
	for ctx.Err() == nil {
		err := s.callScaleIn(ctx, machines)
		if err == nil {
			return true
		}
		s.Log.Debug("scale-in not confirmed", "machines", len(machines), "err", err)
		core.Pause(ctx, wait+rand.N(wait/2))
		// Only one request is in flight at a time, however many machines are queued.
		wait = min(2*wait, maxScaleInRetry)
	}
	return false
}

// callScaleIn sends a scale-in request once, if the lease is held.
func (s *Scaler) callScaleIn(ctx context.Context, machines []wire.MachineID) error {
	permit, err := duty.PermitFor[duty.ScaleIn](s.Lease.Lease)
	if err != nil {
		return err
	}
	return s.Cloud.ScaleIn(ctx, permit, machines)
}

// OnScaledIn handles the confirmation that machines no longer exist, nor what ran there.
func (s *Scaler) OnScaledIn(machines []wire.MachineID) {
	for _, id := range machines {
		s.removeMachine(s.state.Machines[id])
	}
	if s.Intents != nil {
		s.Intents.scaledInAt = time.Now()
	}
	s.Tracker.EndScaleIn()
	s.sendNextScaleIn()
}

// removeMachine removes a machine from the inventory and makes its tasks pending.
func (s *Scaler) removeMachine(machine *cluster.Machine) {
	s.state.RemovedMachines[machine.ID] = time.Now()
	for _, attempt := range machine.Tasks {
		s.Metrics.TaskMoved(string(cluster.EvictedMachineRemoved))
		s.state.EndAttempt(attempt, cluster.TaskPending)
	}
	delete(s.state.Machines, machine.ID)
	s.state.RequestCycle()
}
