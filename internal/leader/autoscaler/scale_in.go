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

// A request to release that is not answered is sent again after a pause that grows
// from the one to the other.
const (
	minScaleInRetry = 500 * time.Millisecond
	maxScaleInRetry = 2 * time.Second
)

// ScaleIn returns a machine; its tasks count until the cloud has said that
// it is gone.
func (sl *Scaler) ScaleIn(m *cluster.Machine, why cluster.DrainReason) {
	if m.ScalingIn || !sl.Lease.Deciding() {
		return
	}
	m.ScalingIn = true
	if m.DrainReason == "" {
		m.DrainReason = why
	}
	sl.Log.Info("releases", "machine", m.ID, "type", m.MachineType, "zone", m.Zone, "spot", m.Spot, "why", why, "tasks", len(m.Tasks), "age", time.Since(m.RequestedAt))
	sl.Metrics.Fleet("released", 1)
	sl.Tracker.QueueScaleIn(m.ID)
	sl.sendNextScaleIn()
}

// sendNextScaleIn sends the next request to release, if none is under way, and
// repeats it until the cloud has answered.
func (sl *Scaler) sendNextScaleIn() {
	ids := sl.Tracker.NextScaleIn(sl.maxScaleInBatch())
	if len(ids) == 0 {
		return
	}
	record := sl.recordsIntents()
	sl.Spawn(func(ctx context.Context) {
		if record && !sl.recordScaleIns(ctx, ids) {
			return
		}
		if sl.sendScaleIn(ctx, ids) {
			sl.Post(ScaledIn{ids})
		}
	})
}

// sendScaleIn keeps asking the cloud until it has answered that the machines are
// gone, and only while the lease is held; false: the term is over.
func (sl *Scaler) sendScaleIn(ctx context.Context, ids []wire.MachineID) bool {
	wait := minScaleInRetry
	for ctx.Err() == nil {
		err := sl.requestScaleIn(ctx, ids)
		if err == nil {
			return true
		}
		sl.Log.Debug("release not answered", "machines", len(ids), "err", err)
		core.Pause(ctx, wait+rand.N(wait/2))
		wait = min(2*wait, maxScaleInRetry) // one request at a time, whatever waits
	}
	return false
}

// requestScaleIn asks the cloud once, if the lease is held.
func (sl *Scaler) requestScaleIn(ctx context.Context, ids []wire.MachineID) error {
	permit, err := duty.PermitFor[duty.ScaleIn](sl.Lease.Lease)
	if err != nil {
		return err
	}
	return sl.Cloud.ScaleIn(ctx, permit, ids)
}

// OnScaledIn takes in that machines are gone, and with them what ran there.
func (sl *Scaler) OnScaledIn(ids []wire.MachineID) {
	for _, id := range ids {
		sl.removeMachine(sl.state.Machines[id])
	}
	if sl.Intents != nil {
		sl.Intents.scaledInAt = time.Now()
	}
	sl.Tracker.EndScaleIn()
	sl.sendNextScaleIn()
}

func (sl *Scaler) removeMachine(m *cluster.Machine) {
	sl.state.RemovedMachines[m.ID] = time.Now()
	for _, a := range m.Tasks {
		sl.Metrics.TaskMoved(string(cluster.EvictedMachineRemoved))
		sl.state.EndAttempt(a, cluster.TaskPending)
	}
	delete(sl.state.Machines, m.ID)
	sl.state.RequestCycle()
}
