package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/internal/wire"
)

// scaler scales the cluster out and in: it asks the cloud for machines, and gives back
// those that are not needed or not trusted.
type scaler struct {
	*Loop
	state     *cluster.State
	scheduler *scheduling.Scheduler
	tracker   *scaling.Tracker
	cloud     *cloud.Client
	versioned bool          // intents are recorded only from a version on
	intents   *cloudIntents // nil: they are not recorded
}

func newScaler(loop *Loop, state *cluster.State, scheduler *scheduling.Scheduler, tracker *scaling.Tracker, d *Dependencies) *scaler {
	sl := &scaler{Loop: loop, state: state, scheduler: scheduler, tracker: tracker,
		cloud: d.Cloud, versioned: d.Versions != nil}
	if d.RecordIntents {
		sl.intents = newCloudIntents(loop.Lease.Lease, state.Settings)
	}
	return sl
}

const (
	// A booking without a final answer is sent again after a pause that grows from
	// the one to the other.
	minScaleOutRetry = 400 * time.Millisecond
	maxScaleOutRetry = 5 * time.Second
)

// requestScaleOut books machines, once that is recorded if it is to be.
func (sl *scaler) requestScaleOut(r fleet.ScaleOut) {
	b := sl.tracker.StartScaleOut(r, time.Now())
	sl.Log.Info("rents", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "for", r.For, "booking", b.Name)
	if sl.recordsIntents() {
		sl.intents.unrecorded = append(sl.intents.unrecorded, b)
		return
	}
	sl.Spawn(func(ctx context.Context) { sl.sendScaleOut(ctx, b) })
}

// sendScaleOut keeps asking for machines under the booking's name until the cloud has
// answered, and only while the lease is held.
func (sl *scaler) sendScaleOut(ctx context.Context, b *scaling.PendingScaleOut) {
	var tries scaling.RetryState
	wait := minScaleOutRetry
	for ctx.Err() == nil {
		machines, err := sl.callScaleOut(ctx, b)
		if !errors.Is(err, duty.ErrNotHeld) && tries.Final(err) {
			sl.Post(scaleOutAnswered{b, machines, err})
			return
		}
		Pause(ctx, wait+rand.N(wait/2))
		wait = min(2*wait, maxScaleOutRetry)
	}
}

// callScaleOut asks the cloud once, if the lease is held.
func (sl *scaler) callScaleOut(ctx context.Context, b *scaling.PendingScaleOut) ([]wire.MachineID, error) {
	permit, err := duty.PermitFor[duty.ScaleOut](sl.Lease.Lease)
	if err != nil {
		return nil, err
	}
	return sl.cloud.ScaleOut(ctx, permit, b.ScaleOutRequest)
}

// onScaleOutAnswered takes in the final answer to a booking.
func (sl *scaler) onScaleOutAnswered(b *scaling.PendingScaleOut, machines []wire.MachineID, err error) {
	outcome, rest := sl.tracker.Answered(b, len(machines), err, time.Now())
	switch outcome {
	case scaling.Filled, scaling.PartlyFilled:
		sl.Metrics.Fleet("rented", len(machines))
		if sl.maybeUnlisted(b) {
			sl.addProvisioned(b, machines)
		}
		if outcome == scaling.PartlyFilled {
			sl.Log.Info("booking only partly filled", "booking", b.Name, "got", len(machines), "of", b.Count)
		}
	case scaling.NoCapacity:
		sl.Log.Info("no capacity", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "again_in", rest, "err", err)
	case scaling.Unavailable:
		sl.Log.Info("cloud busy or down", "again_in", rest, "err", err)
	}
}

// listLagTimes: a list is at most so many times older than the settings say.
const listLagTimes = 2

// maybeUnlisted tells whether the machines of a booking may be in no list yet. Those
// of one that an earlier leader sent longer ago are, unless they are gone.
func (sl *scaler) maybeUnlisted(b *scaling.PendingScaleOut) bool {
	lag := sl.state.Settings.Cloud.ListLag.Duration()*listLagTimes + time.Second
	return !b.Adopted || time.Since(b.RequestedAt) < lag
}

// addProvisioned adds the machines of a booking to the inventory. They may have
// reported, or be gone again, before the booking's answer came.
func (sl *scaler) addProvisioned(b *scaling.PendingScaleOut, machines []wire.MachineID) {
	for _, id := range machines {
		if _, gone := sl.state.RemovedMachines[id]; gone {
			continue
		}
		m := sl.state.GetOrAddMachine(id)
		if m.FirstHeartbeatAt.IsZero() {
			m.MachineType, m.Zone, m.Spot, m.Booting, m.RequestedAt = b.Type, b.Zone, b.Spot, true, b.RequestedAt
		}
	}
}
