package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilaclead/duty"
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

// cloudIntents are what the term is about to ask of the cloud, recorded before it is
// sent (package duty). The cloud knows no tokens: a request of an earlier leader is
// carried out as well as one of ours, however late. Off, nothing is recorded.
type cloudIntents struct {
	scaleOuts *duty.Intents[duty.ScaleOut, ScaleOutIntent]
	scaleIns  *duty.Intents[duty.ScaleIn, wire.MachineID]

	// ---- of renting, owned by the loop ----
	recording  bool                       // a write is under way
	unrecorded []*scaling.PendingScaleOut // not sent yet
	recordedAt time.Time
	// ---- of returning, owned by the loop ----
	scaledInAt time.Time // when the last machines were gone
}

func newCloudIntents(t *term) *cloudIntents {
	limit := int(t.state.settings.State.Least().ValueKB * 1024)
	return &cloudIntents{
		scaleOuts: duty.OpenIntents[duty.ScaleOut, ScaleOutIntent](t.lease.Lease, limit),
		scaleIns:  duty.OpenIntents[duty.ScaleIn, wire.MachineID](t.lease.Lease, limit),
	}
}

// earlierIntents is what an earlier leader left open.
type earlierIntents struct {
	scaleOuts []ScaleOutIntent
	scaleIns  []wire.MachineID
}

// load reads what an earlier leader left open. A record that can't be decoded is left
// alone, and what rests on it is refused for the whole term.
func (c *cloudIntents) load(ctx context.Context) (earlierIntents, error) {
	bookings, err := c.scaleOuts.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return earlierIntents{}, err
	}
	returning, err := c.scaleIns.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return earlierIntents{}, err
	}
	return earlierIntents{bookings.Open, returning.Open}, nil
}

// adoptIntents goes on with what an earlier leader was about to ask of the cloud, under the
// same names: what it had done already is found done, and what comes late of it
// changes nothing.
func (t *term) adoptIntents(earlier earlierIntents) {
	for _, id := range earlier.scaleIns {
		if _, gone := t.state.removedMachines[id]; gone {
			continue
		}
		// It takes nothing from now on, also where the lease is not held for a moment and
		// the release comes with a later look at the machine.
		m := t.state.getOrAddMachine(id)
		m.drainReason = drainAdoptedScaleIn
		t.scaleIn(m, drainAdoptedScaleIn)
	}
	for _, intent := range earlier.scaleOuts {
		b := t.scaling.Adopt(intent.Request, intent.Since.Time())
		t.log().Info("goes on with an earlier leader's booking", "booking", b.Name, "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "since", time.Since(b.RequestedAt))
		go t.sendScaleOut(b)
	}
}

// mayScaleOut tells whether bookings can be recorded, or need not be.
func (t *term) mayScaleOut() bool { return !t.recordsIntents() || t.intents.scaleOuts.Loaded() }

// recordScaleOuts records the open bookings if some were made, or if none is left, and
// then has the new ones sent.
func (t *term) recordScaleOuts(now time.Time) {
	c := t.intents
	if !t.recordsIntents() || c.recording || !c.scaleOuts.Loaded() || !t.lease.Deciding() {
		return
	}
	if len(c.unrecorded) == 0 && !t.scaleOutsSettled(now) {
		return
	}
	t.withdrawUnfitting()
	fresh, open := c.unrecorded, t.scaleOutIntents()
	c.unrecorded, c.recording = nil, true
	go func() {
		err := c.scaleOuts.Record(t.ctx, open)
		t.post(func() { t.onScaleOutsRecorded(fresh, err) })
	}()
}

// scaleOutsSettled tells whether the record holds bookings that are all answered, for
// a while.
func (t *term) scaleOutsSettled(now time.Time) bool {
	c := t.intents
	return len(c.scaleOuts.Open()) > 0 && len(t.scaling.PendingScaleOuts()) == 0 && now.Sub(c.recordedAt) > clearIntentsAfter
}

// withdrawUnfitting withdraws the newest bookings for which the record has no room.
func (t *term) withdrawUnfitting() {
	c := t.intents
	for len(c.unrecorded) > 0 && !c.scaleOuts.Fits(t.scaleOutIntents()) {
		last := len(c.unrecorded) - 1
		t.scaling.Withdraw(c.unrecorded[last])
		c.unrecorded = c.unrecorded[:last]
	}
}

// scaleOutIntents are the open bookings as they are stored.
func (t *term) scaleOutIntents() []ScaleOutIntent {
	out := []ScaleOutIntent{}
	for _, b := range t.scaling.PendingScaleOuts() {
		out = append(out, ScaleOutIntent{b.ScaleOutRequest, wire.TimestampOf(b.RequestedAt)})
	}
	return out
}

// onScaleOutsRecorded has the bookings sent that are recorded now, or withdraws them.
func (t *term) onScaleOutsRecorded(fresh []*scaling.PendingScaleOut, err error) {
	c := t.intents
	c.recording, c.recordedAt = false, time.Now()
	for _, b := range fresh {
		if err != nil {
			t.scaling.Withdraw(b)
			continue
		}
		go t.sendScaleOut(b)
	}
	switch {
	case errors.Is(err, duty.ErrHeldByOther):
		t.end(err.Error())
	case err != nil:
		t.log().Info("bookings could not be recorded", "bookings", len(fresh), "err", err)
	}
	t.recordScaleOuts(time.Now())
}

// recordScaleIns records that machines are to be returned, for good: nothing will run
// on them again under whatever leader. False: the term is over.
func (t *term) recordScaleIns(ids []wire.MachineID) bool {
	for {
		err := t.intents.scaleIns.Record(t.ctx, ids)
		if err == nil {
			return true
		}
		if errors.Is(err, duty.ErrHeldByOther) {
			t.end(err.Error())
			return false
		}
		t.log().Debug("returns could not be recorded", "machines", len(ids), "err", err)
		if !t.pause(maxScaleInRetry) {
			return false
		}
	}
}

// clearScaleIns empties the record of returns when all are done for a while, so that no
// later leader asks for them again.
func (t *term) clearScaleIns(now time.Time) {
	c := t.intents
	if !t.recordsIntents() || !t.lease.Deciding() || !t.scaling.BeginScaleIn() {
		return
	}
	if len(c.scaleIns.Open()) == 0 || now.Sub(c.scaledInAt) <= clearIntentsAfter {
		t.scaling.EndScaleIn()
		return
	}
	go func() {
		if t.recordScaleIns([]wire.MachineID{}) {
			t.post(func() { t.onScaledIn(nil) })
		}
	}()
}

// maxScaleInBatch is how many machines one record of returns has room for.
func (t *term) maxScaleInBatch() int {
	if !t.recordsIntents() {
		return scaling.MaxScaleIn
	}
	n := scaling.MaxScaleIn
	for n > 1 && !t.intents.scaleIns.Fits(namesOfLength(n)) {
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

// pause waits; false: the term is over.
func (t *term) pause(d time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
