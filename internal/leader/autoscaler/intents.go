package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// clearIntentsAfter is how long nothing must have been recorded before a record of
// which all is done is emptied: a write of its own, that the next intent would spare.
const clearIntentsAfter = 5 * time.Second

// ScaleOutIntent is a booking that may be on its way to the cloud, as it is stored.
type ScaleOutIntent struct {
	Request wire.ScaleOutRequest `cbor:"request"`
	Since   wire.Timestamp       `cbor:"since"`
}

// CloudIntents are what the term is about to ask of the cloud, recorded before it is
// sent (package duty). The cloud knows no tokens: a request of an earlier leader is
// carried out as well as one of ours, however late. Off, nothing is recorded.
type CloudIntents struct {
	scaleOuts *duty.Intents[duty.ScaleOut, ScaleOutIntent]
	scaleIns  *duty.Intents[duty.ScaleIn, wire.MachineID]

	// ---- of renting, owned by the loop ----
	recording  bool                       // a write is under way
	unrecorded []*scaling.PendingScaleOut // not sent yet
	recordedAt time.Time
	// ---- of returning, owned by the loop ----
	scaledInAt time.Time // when the last machines were gone
}

func newCloudIntents(lease *duty.Lease, settings *config.Settings) *CloudIntents {
	limit := int(settings.State.Least().ValueKB * 1024)
	return &CloudIntents{
		scaleOuts: duty.OpenIntents[duty.ScaleOut, ScaleOutIntent](lease, limit),
		scaleIns:  duty.OpenIntents[duty.ScaleIn, wire.MachineID](lease, limit),
	}
}

// EarlierIntents is what an earlier leader left open.
type EarlierIntents struct {
	scaleOuts []ScaleOutIntent
	ScaleIns  []wire.MachineID
}

// Load reads what an earlier leader left open. A record that can't be decoded is left
// alone, and what rests on it is refused for the whole term.
func (c *CloudIntents) Load(ctx context.Context) (EarlierIntents, error) {
	bookings, err := c.scaleOuts.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return EarlierIntents{}, err
	}
	returning, err := c.scaleIns.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return EarlierIntents{}, err
	}
	return EarlierIntents{bookings.Open, returning.Open}, nil
}

// AdoptIntents goes on with what an earlier leader was about to ask of the cloud, under the
// same names: what it had done already is found done, and what comes late of it
// changes nothing.
func (sl *Scaler) AdoptIntents(earlier EarlierIntents) {
	for _, id := range earlier.ScaleIns {
		if _, gone := sl.state.RemovedMachines[id]; gone {
			continue
		}
		// It takes nothing from now on, also where the lease is not held for a moment and
		// the release comes with a later look at the machine.
		m := sl.state.GetOrAddMachine(id)
		m.DrainReason = cluster.DrainAdoptedScaleIn
		sl.ScaleIn(m, cluster.DrainAdoptedScaleIn)
	}
	for _, intent := range earlier.scaleOuts {
		b := sl.Tracker.Adopt(intent.Request, intent.Since.Time())
		sl.Log.Info("goes on with an earlier leader's booking", "booking", b.Name, "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "since", time.Since(b.RequestedAt))
		sl.Spawn(func(ctx context.Context) { sl.sendScaleOut(ctx, b) })
	}
}

// mayScaleOut tells whether bookings can be recorded, or need not be.
func (sl *Scaler) mayScaleOut() bool {
	return !sl.recordsIntents() || sl.Intents.scaleOuts.Loaded()
}

// recordScaleOuts records the open bookings if some were made, or if none is left, and
// then has the new ones sent.
func (sl *Scaler) recordScaleOuts(now time.Time) {
	c := sl.Intents
	if !sl.recordsIntents() || c.recording || !c.scaleOuts.Loaded() || !sl.Lease.Deciding() {
		return
	}
	if len(c.unrecorded) == 0 && !sl.scaleOutsSettled(now) {
		return
	}
	sl.withdrawUnfitting()
	fresh, open := c.unrecorded, sl.scaleOutIntents()
	c.unrecorded, c.recording = nil, true
	sl.Spawn(func(ctx context.Context) {
		err := c.scaleOuts.Record(ctx, open)
		sl.Post(ScaleOutsRecorded{fresh, err})
	})
}

// scaleOutsSettled tells whether the record holds bookings that are all answered, for
// a while.
func (sl *Scaler) scaleOutsSettled(now time.Time) bool {
	c := sl.Intents
	return len(c.scaleOuts.Open()) > 0 && len(sl.Tracker.PendingScaleOuts()) == 0 && now.Sub(c.recordedAt) > clearIntentsAfter
}

// withdrawUnfitting withdraws the newest bookings for which the record has no room.
func (sl *Scaler) withdrawUnfitting() {
	c := sl.Intents
	for len(c.unrecorded) > 0 && !c.scaleOuts.Fits(sl.scaleOutIntents()) {
		last := len(c.unrecorded) - 1
		sl.Tracker.Withdraw(c.unrecorded[last])
		c.unrecorded = c.unrecorded[:last]
	}
}

// scaleOutIntents are the open bookings as they are stored.
func (sl *Scaler) scaleOutIntents() []ScaleOutIntent {
	out := []ScaleOutIntent{}
	for _, b := range sl.Tracker.PendingScaleOuts() {
		out = append(out, ScaleOutIntent{b.ScaleOutRequest, wire.TimestampOf(b.RequestedAt)})
	}
	return out
}

// OnScaleOutsRecorded has the bookings sent that are recorded now, or withdraws them.
func (sl *Scaler) OnScaleOutsRecorded(fresh []*scaling.PendingScaleOut, err error) {
	c := sl.Intents
	c.recording, c.recordedAt = false, time.Now()
	for _, b := range fresh {
		if err != nil {
			sl.Tracker.Withdraw(b)
			continue
		}
		sl.Spawn(func(ctx context.Context) { sl.sendScaleOut(ctx, b) })
	}
	switch {
	case errors.Is(err, duty.ErrHeldByOther):
		sl.End(err.Error())
	case err != nil:
		sl.Log.Info("bookings could not be recorded", "bookings", len(fresh), "err", err)
	}
	sl.recordScaleOuts(time.Now())
}

// recordScaleIns records that machines are to be returned, for good: nothing will run
// on them again under whatever leader. False: the term is over.
func (sl *Scaler) recordScaleIns(ctx context.Context, ids []wire.MachineID) bool {
	for {
		err := sl.Intents.scaleIns.Record(ctx, ids)
		if err == nil {
			return true
		}
		if errors.Is(err, duty.ErrHeldByOther) {
			sl.End(err.Error())
			return false
		}
		sl.Log.Debug("returns could not be recorded", "machines", len(ids), "err", err)
		if !core.Pause(ctx, maxScaleInRetry) {
			return false
		}
	}
}

// clearScaleIns empties the record of returns when all are done for a while, so that no
// later leader asks for them again.
func (sl *Scaler) clearScaleIns(now time.Time) {
	c := sl.Intents
	if !sl.recordsIntents() || !sl.Lease.Deciding() || !sl.Tracker.BeginScaleIn() {
		return
	}
	if len(c.scaleIns.Open()) == 0 || now.Sub(c.scaledInAt) <= clearIntentsAfter {
		sl.Tracker.EndScaleIn()
		return
	}
	sl.Spawn(func(ctx context.Context) {
		if sl.recordScaleIns(ctx, []wire.MachineID{}) {
			sl.Post(ScaledIn{})
		}
	})
}

// maxScaleInBatch is how many machines one record of returns has room for.
func (sl *Scaler) maxScaleInBatch() int {
	if !sl.recordsIntents() {
		return scaling.MaxScaleIn
	}
	n := scaling.MaxScaleIn
	for n > 1 && !sl.Intents.scaleIns.Fits(namesOfLength(n)) {
		n /= 2
	}
	return n
}

// namesOfLength are so many names as long as machines' names are.
func namesOfLength(n int) []wire.MachineID {
	const width = 24 // "n-000231", with room to grow
	out := make([]wire.MachineID, n)
	for i := range out {
		out[i] = wire.MachineID(fmt.Sprintf("%0*d", width, i))
	}
	return out
}
