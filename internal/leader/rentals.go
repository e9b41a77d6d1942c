package leader

import (
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

const (
	// A booking without a final answer is sent again after a pause that grows from
	// the one to the other.
	minScaleOutRetry = 400 * time.Millisecond
	maxScaleOutRetry = 5 * time.Second
)

// requestScaleOut books machines, once that is recorded if it is to be.
func (t *term) requestScaleOut(r fleet.ScaleOut) {
	b := t.scaling.StartScaleOut(r, time.Now())
	t.log().Info("rents", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "for", r.For, "booking", b.Name)
	if t.recordsIntents() {
		t.intents.unrecorded = append(t.intents.unrecorded, b)
		return
	}
	go t.sendScaleOut(b)
}

// sendScaleOut keeps asking for machines under the booking's name until the cloud has
// answered, and only while the lease is held.
func (t *term) sendScaleOut(b *scaling.PendingScaleOut) {
	var tries scaling.RetryState
	wait := minScaleOutRetry
	for t.ctx.Err() == nil {
		machines, err := t.callScaleOut(b)
		if !errors.Is(err, duty.ErrNotHeld) && tries.Final(err) {
			t.post(func() { t.onScaleOutAnswered(b, machines, err) })
			return
		}
		t.pause(wait + rand.N(wait/2))
		wait = min(2*wait, maxScaleOutRetry)
	}
}

// callScaleOut asks the cloud once, if the lease is held.
func (t *term) callScaleOut(b *scaling.PendingScaleOut) ([]wire.MachineID, error) {
	permit, err := duty.PermitFor[duty.ScaleOut](t.lease.Lease)
	if err != nil {
		return nil, err
	}
	return t.leader.Cloud.ScaleOut(t.ctx, permit, b.ScaleOutRequest)
}

// onScaleOutAnswered takes in the final answer to a booking.
func (t *term) onScaleOutAnswered(b *scaling.PendingScaleOut, machines []wire.MachineID, err error) {
	outcome, rest := t.scaling.Answered(b, len(machines), err, time.Now())
	switch outcome {
	case scaling.Filled, scaling.PartlyFilled:
		t.leader.Metrics.Fleet("rented", len(machines))
		if t.maybeUnlisted(b) {
			t.addProvisioned(b, machines)
		}
		if outcome == scaling.PartlyFilled {
			t.log().Info("booking only partly filled", "booking", b.Name, "got", len(machines), "of", b.Count)
		}
	case scaling.NoCapacity:
		t.log().Info("no capacity", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "again_in", rest, "err", err)
	case scaling.Unavailable:
		t.log().Info("cloud busy or down", "again_in", rest, "err", err)
	}
}

// listLagTimes: a list is at most so many times older than the settings say.
const listLagTimes = 2

// maybeUnlisted tells whether the machines of a booking may be in no list yet. Those
// of one that an earlier leader sent longer ago are, unless they are gone.
func (t *term) maybeUnlisted(b *scaling.PendingScaleOut) bool {
	lag := t.state.settings.Cloud.ListLag.Duration()*listLagTimes + time.Second
	return !b.Adopted || time.Since(b.RequestedAt) < lag
}

// addProvisioned adds the machines of a booking to the inventory. They may have
// reported, or be gone again, before the booking's answer came.
func (t *term) addProvisioned(b *scaling.PendingScaleOut, machines []wire.MachineID) {
	for _, id := range machines {
		if _, gone := t.state.removedMachines[id]; gone {
			continue
		}
		m := t.state.getOrAddMachine(id)
		if m.firstHeartbeatAt.IsZero() {
			m.machineType, m.zone, m.spot, m.booting, m.requestedAt = b.Type, b.Zone, b.Spot, true, b.RequestedAt
		}
	}
}
