package autoscaler

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// Scaler scales the cluster out and in: it asks the cloud for machines, and gives back
// those that are not needed or not trusted.
type Scaler struct {
	*core.Loop
	state     *cluster.State
	scheduler *scheduling.Scheduler
	Tracker   *scaling.Tracker
	Cloud     *cloud.Client
	versioned bool          // intents are recorded only from a version on
	Intents   *CloudIntents // nil: they are not recorded
}

// Options of a scaler.
type Options struct {
	Cloud *cloud.Client
	// RecordIntents has requests recorded before they are sent; Versioned: only from
	// VersionIntents on.
	RecordIntents, Versioned bool
}

// NewScaler returns the scaler of a term.
func NewScaler(loop *core.Loop, state *cluster.State, scheduler *scheduling.Scheduler, tracker *scaling.Tracker, options Options) *Scaler {
	sl := &Scaler{Loop: loop, state: state, scheduler: scheduler, Tracker: tracker, Cloud: options.Cloud, versioned: options.Versioned}
	if options.RecordIntents {
		sl.Intents = newCloudIntents(loop.Lease.Lease, state.Settings)
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
func (sl *Scaler) requestScaleOut(r fleet.ScaleOut) {
	b := sl.Tracker.StartScaleOut(r, time.Now())
	sl.Log.Info("rents", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "for", r.For, "booking", b.Name)
	if sl.recordsIntents() {
		sl.Intents.unrecorded = append(sl.Intents.unrecorded, b)
		return
	}
	sl.Spawn(func(ctx context.Context) { sl.sendScaleOut(ctx, b) })
}

// sendScaleOut keeps asking for machines under the booking's name until the cloud has
// answered, and only while the lease is held.
func (sl *Scaler) sendScaleOut(ctx context.Context, b *scaling.PendingScaleOut) {
	var tries scaling.RetryState
	wait := minScaleOutRetry
	for ctx.Err() == nil {
		machines, err := sl.callScaleOut(ctx, b)
		if !errors.Is(err, duty.ErrNotHeld) && tries.Final(err) {
			sl.Post(ScaleOutAnswered{b, machines, err})
			return
		}
		core.Pause(ctx, wait+rand.N(wait/2))
		wait = min(2*wait, maxScaleOutRetry)
	}
}

// callScaleOut asks the cloud once, if the lease is held.
func (sl *Scaler) callScaleOut(ctx context.Context, b *scaling.PendingScaleOut) ([]wire.MachineID, error) {
	permit, err := duty.PermitFor[duty.ScaleOut](sl.Lease.Lease)
	if err != nil {
		return nil, err
	}
	return sl.Cloud.ScaleOut(ctx, permit, b.ScaleOutRequest)
}

// OnScaleOutAnswered takes in the final answer to a booking.
func (sl *Scaler) OnScaleOutAnswered(b *scaling.PendingScaleOut, machines []wire.MachineID, err error) {
	outcome, rest := sl.Tracker.FinishScaleOut(b, scaling.Answer{Machines: len(machines), Err: err}, time.Now())
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
func (sl *Scaler) maybeUnlisted(b *scaling.PendingScaleOut) bool {
	lag := sl.state.Settings.Cloud.ListLag.Duration()*listLagTimes + time.Second
	return !b.Adopted || time.Since(b.RequestedAt) < lag
}

// addProvisioned adds the machines of a booking to the inventory. They may have
// reported, or be gone again, before the booking's answer came.
func (sl *Scaler) addProvisioned(b *scaling.PendingScaleOut, machines []wire.MachineID) {
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

// recordsIntents tells whether intents are recorded now: the part is on and, where
// versions are negotiated, every controller understands it.
func (sl *Scaler) recordsIntents() bool {
	return sl.Intents != nil && (!sl.versioned || sl.state.ActiveVersion >= VersionIntents)
}

// VersionIntents is the version from which on intents are recorded.
const VersionIntents upgrade.Version = 2
