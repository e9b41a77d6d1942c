// Package scaling keeps account of what is asked of the cloud: bookings that are
// not yet answered, offers that were refused and rest for a while, and machines
// that wait for their release. It does no I/O and reads no clock: its owner asks it
// for the next request, sends that, and tells it the answer.
package scaling

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/wire"
)

const (
	// MaxScaleOut and MaxScaleIn are the cloud's bounds for one request.
	MaxScaleOut = 50
	MaxScaleIn  = 100

	// partlyFilledBackoff is how long an offer rests that gave less than was booked.
	partlyFilledBackoff = 8 * time.Second
	// An offer without capacity rests for twice as long each time, within these.
	minOfferBackoff = 5 * time.Second
	maxOfferBackoff = 40 * time.Second
	// So does the cloud as a whole when it is busy or down.
	minPause = 500 * time.Millisecond
	maxPause = 5 * time.Second
)

// Offer names what can be rented.
type Offer struct {
	Type wire.MachineType
	Zone wire.Zone
	Spot bool
}

// PendingScaleOut is a request for machines that is not yet answered.
type PendingScaleOut struct {
	wire.ScaleOutRequest
	RequestedAt time.Time
	// Adopted: an earlier leader made it.
	Adopted bool
}

// Offer that the booking is for.
func (b *PendingScaleOut) Offer() Offer { return Offer{b.Type, b.Zone, b.Spot} }

// backoff of one offer after it was refused.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Tracker is the account of one leader. It is not safe for concurrent use.
type Tracker struct {
	token         wire.FencingToken // makes the bookings' names unique among leaders
	sequence      int
	backoffs      map[Offer]*backoff
	pending       map[string]*PendingScaleOut
	pausedUntil   time.Time
	pause         time.Duration
	scaleInQueue  []wire.MachineID
	scaleInActive bool // a request to release is under way
}

// New makes the account of the leader with the token.
func New(token wire.FencingToken) *Tracker {
	return &Tracker{token: token, backoffs: map[Offer]*backoff{}, pending: map[string]*PendingScaleOut{}}
}

// StartScaleOut notes a booking of up to MaxScaleOut machines and returns it under a name of
// its own, to be sent until it is answered.
func (t *Tracker) StartScaleOut(r fleet.ScaleOut, now time.Time) *PendingScaleOut {
	t.sequence++
	name := fmt.Sprintf("b-%d-%d", t.token, t.sequence)
	b := &PendingScaleOut{ScaleOutRequest: wire.ScaleOutRequest{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}, RequestedAt: now}
	t.pending[name] = b
	return b
}

// Adopt notes a booking that an earlier leader made, under the name that it gave.
func (t *Tracker) Adopt(request wire.ScaleOutRequest, since time.Time) *PendingScaleOut {
	b := &PendingScaleOut{ScaleOutRequest: request, RequestedAt: since, Adopted: true}
	t.pending[request.Name] = b
	return b
}

// Withdraw forgets a booking that was not sent.
func (t *Tracker) Withdraw(b *PendingScaleOut) { delete(t.pending, b.Name) }

// PendingScaleOuts are those that are not yet answered, in no order.
func (t *Tracker) PendingScaleOuts() []*PendingScaleOut {
	out := make([]*PendingScaleOut, 0, len(t.pending))
	for _, b := range t.pending {
		out = append(out, b)
	}
	return out
}

// Available tells whether an offer may be booked: it does not rest, and no booking
// of it is unanswered.
func (t *Tracker) Available(o Offer, now time.Time) bool {
	if b := t.backoffs[o]; b != nil && now.Before(b.until) {
		return false
	}
	for _, b := range t.pending {
		if b.Offer() == o {
			return false
		}
	}
	return true
}

// Paused tells whether the cloud is left alone, as it was busy or down.
func (t *Tracker) Paused(now time.Time) bool { return now.Before(t.pausedUntil) }

// Outcome of a booking.
type Outcome int

// Outcomes of a booking.
const (
	Filled       Outcome = iota
	PartlyFilled         // the offer rests
	NoCapacity           // the offer rests
	Unavailable          // the cloud is busy or down, and is left alone
	AlreadyKnown         // as Unavailable, and an answer before told so
)

// Answered ends a booking with the cloud's final answer, which is err or so many
// machines. It returns what came of it and how long the offer or the cloud rests.
func (t *Tracker) Answered(b *PendingScaleOut, machines int, err error, now time.Time) (Outcome, time.Duration) {
	delete(t.pending, b.Name)
	o := t.backoffs[b.Offer()]
	if o == nil {
		o = &backoff{}
		t.backoffs[b.Offer()] = o
	}
	switch {
	case err == nil && machines < b.Count:
		t.pause = 0
		o.delay = partlyFilledBackoff
		o.until = now.Add(o.delay)
		return PartlyFilled, o.delay
	case err == nil:
		t.pause = 0
		o.delay = 0
		return Filled, 0
	case refused(err):
		o.delay = min(max(minOfferBackoff, o.delay*2), maxOfferBackoff)
		o.until = now.Add(o.delay + rand.N(o.delay/4))
		return NoCapacity, o.delay
	case t.Paused(now):
		// Asked beside one that was refused before: the same trouble. (The
		// bookings of one plan once made each other wait for ten seconds.)
		return AlreadyKnown, 0
	}
	// Certainly not rented; the want is judged anew later.
	t.pause = min(max(minPause, t.pause*2), maxPause)
	t.pausedUntil = now.Add(t.pause + rand.N(t.pause))
	return Unavailable, t.pause
}

// refused tells whether the cloud has turned down the offer itself.
func refused(err error) bool {
	return errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalid)
}

// RetryState judges the answers to one booking, which is sent again under its name until
// one is final.
type RetryState struct {
	outcomeUnknown bool // an answer was lost: machines may have been rented
}

// Final tells whether the answer ends the booking. After a lost answer only a
// repeat tells what was rented; that the cloud is busy then tells nothing.
func (t *RetryState) Final(err error) bool {
	if err != nil && !errors.Is(err, cloud.ErrBusy) && !refused(err) {
		t.outcomeUnknown = true
	}
	return err == nil || refused(err) || !t.outcomeUnknown
}

// QueueScaleIn notes that a machine is to be released.
func (t *Tracker) QueueScaleIn(id wire.MachineID) { t.scaleInQueue = append(t.scaleInQueue, id) }

// NextScaleIn is the request to be sent now, none if one is under way: what comes
// meanwhile shares the next one. It names most machines, or the cloud's bound.
func (t *Tracker) NextScaleIn(most int) []wire.MachineID {
	if len(t.scaleInQueue) == 0 || !t.BeginScaleIn() {
		return nil
	}
	n := min(len(t.scaleInQueue), MaxScaleIn, most)
	ids := t.scaleInQueue[:n:n]
	t.scaleInQueue = t.scaleInQueue[n:]
	return ids
}

// BeginScaleIn notes that a request is under way; false: one is already.
func (t *Tracker) BeginScaleIn() bool {
	if t.scaleInActive {
		return false
	}
	t.scaleInActive = true
	return true
}

// EndScaleIn notes that the request under way was answered.
func (t *Tracker) EndScaleIn() { t.scaleInActive = false }
