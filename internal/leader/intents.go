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
	renting   *duty.Intents[duty.ScaleOut, ScaleOutIntent]
	returning *duty.Intents[duty.ScaleIn, wire.MachineID]

	// ---- of renting, owned by the loop ----
	recording  bool                       // a write is under way
	unrecorded []*scaling.PendingScaleOut // not sent yet
	recordedAt time.Time
	// ---- of returning, owned by the loop ----
	returnedAt time.Time // when the last machines were gone
}

func newCloudIntents(t *term) *cloudIntents {
	limit := int(t.settings.State.Least().ValueKB * 1024)
	return &cloudIntents{
		renting:   duty.OpenIntents[duty.ScaleOut, ScaleOutIntent](t.lease.Lease, limit),
		returning: duty.OpenIntents[duty.ScaleIn, wire.MachineID](t.lease.Lease, limit),
	}
}

// earlierIntents is what an earlier leader left open.
type earlierIntents struct {
	bookings  []ScaleOutIntent
	returning []wire.MachineID
}

// load reads what an earlier leader left open. A record that can't be decoded is left
// alone, and what rests on it is refused for the whole term.
func (c *cloudIntents) load(ctx context.Context) (earlierIntents, error) {
	bookings, err := c.renting.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return earlierIntents{}, err
	}
	returning, err := c.returning.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return earlierIntents{}, err
	}
	return earlierIntents{bookings.Open, returning.Open}, nil
}

// adopt goes on with what an earlier leader was about to ask of the cloud, under the
// same names: what it had done already is found done, and what comes late of it
// changes nothing.
func (t *term) adopt(earlier earlierIntents) {
	for _, id := range earlier.returning {
		if _, gone := t.gone[id]; gone {
			continue
		}
		// It takes nothing from now on, also where the lease is not held for a moment and
		// the release comes with a later look at the machine.
		m := t.machine(id)
		m.drainReason = drainReturning
		t.release(m, drainReturning)
	}
	for _, intent := range earlier.bookings {
		b := t.scaling.Adopt(intent.Request, intent.Since.Time())
		t.log().Info("goes on with an earlier leader's booking", "booking", b.Name, "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "since", time.Since(b.RequestedAt))
		go t.book(b)
	}
}

// mayRent tells whether bookings can be recorded, or need not be.
func (t *term) mayRent() bool { return !t.recordsIntents() || t.intents.renting.Loaded() }

// recordBookings records the open bookings if some were made, or if none is left, and
// then has the new ones sent.
func (t *term) recordBookings(now time.Time) {
	c := t.intents
	if !t.recordsIntents() || c.recording || !c.renting.Loaded() || !t.lease.Deciding() {
		return
	}
	if len(c.unrecorded) == 0 && !t.bookingsSettled(now) {
		return
	}
	t.withdrawUnfitting()
	fresh, open := c.unrecorded, t.rentIntents()
	c.unrecorded, c.recording = nil, true
	go func() {
		err := c.renting.Record(t.ctx, open)
		t.post(func() { t.bookingsRecorded(fresh, err) })
	}()
}

// bookingsSettled tells whether the record holds bookings that are all answered, for
// a while.
func (t *term) bookingsSettled(now time.Time) bool {
	c := t.intents
	return len(c.renting.Open()) > 0 && len(t.scaling.PendingScaleOuts()) == 0 && now.Sub(c.recordedAt) > clearIntentsAfter
}

// withdrawUnfitting withdraws the newest bookings for which the record has no room.
func (t *term) withdrawUnfitting() {
	c := t.intents
	for len(c.unrecorded) > 0 && !c.renting.Fits(t.rentIntents()) {
		last := len(c.unrecorded) - 1
		t.scaling.Withdraw(c.unrecorded[last])
		c.unrecorded = c.unrecorded[:last]
	}
}

// rentIntents are the open bookings as they are stored.
func (t *term) rentIntents() []ScaleOutIntent {
	out := []ScaleOutIntent{}
	for _, b := range t.scaling.PendingScaleOuts() {
		out = append(out, ScaleOutIntent{b.ScaleOutRequest, wire.TimestampOf(b.RequestedAt)})
	}
	return out
}

// bookingsRecorded has the bookings sent that are recorded now, or withdraws them.
func (t *term) bookingsRecorded(fresh []*scaling.PendingScaleOut, err error) {
	c := t.intents
	c.recording, c.recordedAt = false, time.Now()
	for _, b := range fresh {
		if err != nil {
			t.scaling.Withdraw(b)
			continue
		}
		go t.book(b)
	}
	switch {
	case errors.Is(err, duty.ErrHeldByOther):
		t.end(err.Error())
	case err != nil:
		t.log().Info("bookings could not be recorded", "bookings", len(fresh), "err", err)
	}
	t.recordBookings(time.Now())
}

// recordReturns records that machines are to be returned, for good: nothing will run
// on them again under whatever leader. False: the term is over.
func (t *term) recordReturns(ids []wire.MachineID) bool {
	for {
		err := t.intents.returning.Record(t.ctx, ids)
		if err == nil {
			return true
		}
		if errors.Is(err, duty.ErrHeldByOther) {
			t.end(err.Error())
			return false
		}
		t.log().Debug("returns could not be recorded", "machines", len(ids), "err", err)
		if !t.pause(maxReleaseRetry) {
			return false
		}
	}
}

// clearReturns empties the record of returns when all are done for a while, so that no
// later leader asks for them again.
func (t *term) clearReturns(now time.Time) {
	c := t.intents
	if !t.recordsIntents() || !t.lease.Deciding() || !t.scaling.BeginScaleIn() {
		return
	}
	if len(c.returning.Open()) == 0 || now.Sub(c.returnedAt) <= clearIntentsAfter {
		t.scaling.EndScaleIn()
		return
	}
	go func() {
		if t.recordReturns([]wire.MachineID{}) {
			t.post(func() { t.onReleased(nil) })
		}
	}()
}

// returnsAtOnce is how many machines one record of returns has room for.
func (t *term) returnsAtOnce() int {
	if !t.recordsIntents() {
		return scaling.MaxScaleIn
	}
	n := scaling.MaxScaleIn
	for n > 1 && !t.intents.returning.Fits(namesOfLength(n)) {
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
