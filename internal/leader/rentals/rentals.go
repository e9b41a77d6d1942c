// Package rentals keeps account of what is asked of the cloud: bookings that are
// not yet answered, offers that were refused and rest for a while, and machines
// that wait for their release. It does no I/O and reads no clock: its owner asks it
// for the next request, sends that, and tells it the answer.
package rentals

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
	// MaxBooking and MaxRelease are the cloud's bounds for one request.
	MaxBooking = 50
	MaxRelease = 100

	// partlyFilledRest is how long an offer rests that gave less than was booked.
	partlyFilledRest = 8 * time.Second
	// An offer without capacity rests for twice as long each time, within these.
	minOfferRest = 5 * time.Second
	maxOfferRest = 40 * time.Second
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

// Booking is a request for machines that is not yet answered.
type Booking struct {
	wire.RentalRequest
	Since time.Time
	// Adopted: an earlier leader made it.
	Adopted bool
}

// Offer that the booking is for.
func (b *Booking) Offer() Offer { return Offer{b.Type, b.Zone, b.Spot} }

// backoff of one offer after it was refused.
type backoff struct {
	until time.Time
	delay time.Duration
}

// Tracker is the account of one leader. It is not safe for concurrent use.
type Tracker struct {
	token       wire.Token // makes the bookings' names unique among leaders
	sequence    int
	offers      map[Offer]*backoff
	bookings    map[string]*Booking
	pausedUntil time.Time
	pause       time.Duration
	toRelease   []wire.MachineID
	releasing   bool // a request to release is under way
}

// New makes the account of the leader with the token.
func New(token wire.Token) *Tracker {
	return &Tracker{token: token, offers: map[Offer]*backoff{}, bookings: map[string]*Booking{}}
}

// Book notes a booking of up to MaxBooking machines and returns it under a name of
// its own, to be sent until it is answered.
func (t *Tracker) Book(r fleet.Rent, now time.Time) *Booking {
	t.sequence++
	name := fmt.Sprintf("b-%d-%d", t.token, t.sequence)
	b := &Booking{RentalRequest: wire.RentalRequest{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}, Since: now}
	t.bookings[name] = b
	return b
}

// Adopt notes a booking that an earlier leader made, under the name that it gave.
func (t *Tracker) Adopt(request wire.RentalRequest, since time.Time) *Booking {
	b := &Booking{RentalRequest: request, Since: since, Adopted: true}
	t.bookings[request.Name] = b
	return b
}

// Withdraw forgets a booking that was not sent.
func (t *Tracker) Withdraw(b *Booking) { delete(t.bookings, b.Name) }

// Bookings are those that are not yet answered, in no order.
func (t *Tracker) Bookings() []*Booking {
	out := make([]*Booking, 0, len(t.bookings))
	for _, b := range t.bookings {
		out = append(out, b)
	}
	return out
}

// Available tells whether an offer may be booked: it does not rest, and no booking
// of it is unanswered.
func (t *Tracker) Available(o Offer, now time.Time) bool {
	if b := t.offers[o]; b != nil && now.Before(b.until) {
		return false
	}
	for _, b := range t.bookings {
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
func (t *Tracker) Answered(b *Booking, machines int, err error, now time.Time) (Outcome, time.Duration) {
	delete(t.bookings, b.Name)
	o := t.offers[b.Offer()]
	if o == nil {
		o = &backoff{}
		t.offers[b.Offer()] = o
	}
	switch {
	case err == nil && machines < b.Count:
		t.pause = 0
		o.delay = partlyFilledRest
		o.until = now.Add(o.delay)
		return PartlyFilled, o.delay
	case err == nil:
		t.pause = 0
		o.delay = 0
		return Filled, 0
	case refused(err):
		o.delay = min(max(minOfferRest, o.delay*2), maxOfferRest)
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

// Tries judges the answers to one booking, which is sent again under its name until
// one is final.
type Tries struct {
	unsure bool // an answer was lost: machines may have been rented
}

// Final tells whether the answer ends the booking. After a lost answer only a
// repeat tells what was rented; that the cloud is busy then tells nothing.
func (t *Tries) Final(err error) bool {
	if err != nil && !errors.Is(err, cloud.ErrBusy) && !refused(err) {
		t.unsure = true
	}
	return err == nil || refused(err) || !t.unsure
}

// Release notes that a machine is to be released.
func (t *Tracker) Release(id wire.MachineID) { t.toRelease = append(t.toRelease, id) }

// NextRelease is the request to be sent now, none if one is under way: what comes
// meanwhile shares the next one. It names most machines, or the cloud's bound.
func (t *Tracker) NextRelease(most int) []wire.MachineID {
	if len(t.toRelease) == 0 || !t.StartRelease() {
		return nil
	}
	n := min(len(t.toRelease), MaxRelease, most)
	ids := t.toRelease[:n:n]
	t.toRelease = t.toRelease[n:]
	return ids
}

// StartRelease notes that a request is under way; false: one is already.
func (t *Tracker) StartRelease() bool {
	if t.releasing {
		return false
	}
	t.releasing = true
	return true
}

// Released notes that the request under way was answered.
func (t *Tracker) Released() { t.releasing = false }
