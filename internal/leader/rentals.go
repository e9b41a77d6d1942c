package leader

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

const (
	// maxBooking and maxRelease are the cloud's bounds for one request.
	maxBooking = 50
	maxRelease = 100
	// maxOffer is what one plan asks of an offer at most: two bookings.
	maxOffer = 2 * maxBooking
	// maxRentsPerPlan bounds one plan's rentals: some seconds' worth of calls.
	maxRentsPerPlan = 8 * maxBooking
)

// offerID names what can be rented.
type offerID struct {
	machineType wire.MachineType
	zone        wire.Zone
	spot        bool
}

// backoff of one offer after it was refused.
type backoff struct {
	until time.Time
	delay time.Duration
}

// booking that is not yet answered.
type booking struct {
	wire.RentalRequest
	since time.Time
}

type rentals struct {
	offers      map[offerID]*backoff
	bookings    map[string]*booking
	sequence    int
	pausedUntil time.Time // no plans before
	pause       time.Duration
	orphans     []wire.Guard
	toRelease   []*machine // not yet asked for
	releasing   bool       // a request to release is under way
	backlogS    float64    // seconds in which the room there is would do what waits
}

func (f *rentals) init() {
	f.offers = map[offerID]*backoff{}
	f.bookings = map[string]*booking{}
}

func (t *term) offers(flavors []wire.MachineSpec, now time.Time) []fleet.Offer {
	var out []fleet.Offer
	for _, f := range flavors {
		for _, z := range f.Zones {
			for _, spot := range []bool{false, true} {
				if b := t.fleet.offers[offerID{f.Name, z, spot}]; b != nil && now.Before(b.until) || t.partitioned(z, now) {
					continue // refused, or not to be heard of for now
				}
				if t.booked(offerID{f.Name, z, spot}) {
					continue // one unresolved booking for each
				}
				out = append(out, fleet.Offer{Kit: f.Name, Zone: z, Spot: spot, Total: placement.Res{CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB},
					Price: f.Price(spot), PullRate: f.FetchGBPerS, Room: maxOffer})
			}
		}
	}
	return out
}

func (t *term) booked(o offerID) bool {
	for _, b := range t.fleet.bookings {
		if (offerID{b.Type, b.Zone, b.Spot}) == o {
			return true
		}
	}
	return false
}

// rent books machines and keeps asking under the same name until the cloud
// has answered.
func (t *term) rent(r fleet.Rent) {
	t.fleet.sequence++
	b := &booking{RentalRequest: wire.RentalRequest{Name: fmt.Sprintf("b-%d-%d", t.firstToken, t.fleet.sequence), Type: r.Kit, Zone: r.Zone, Spot: r.Spot, Count: r.Count}, since: time.Now()}
	t.fleet.bookings[b.Name] = b
	t.log().Info("rents", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "for", r.For, "booking", b.Name)
	go func() {
		wait := 400 * time.Millisecond
		unsure := false
		for t.ctx.Err() == nil {
			hosts, err := t.l.Cloud.Rent(t.ctx, b.RentalRequest)
			// After a lost answer only a repeat under the same name tells
			// what was rented; a refusal of the repeat tells nothing.
			unsure = unsure || err != nil && !errors.Is(err, cloud.ErrBusy) && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrInvalid)
			if err == nil || !unsure || errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalid) {
				t.post(func() { t.onBookingAnswer(b, hosts, err) })
				return
			}
			select {
			case <-t.ctx.Done():
			case <-time.After(wait + rand.N(wait/2)):
			}
			wait = min(2*wait, 5*time.Second)
		}
	}()
}

func (t *term) onBookingAnswer(b *booking, hosts []wire.MachineID, err error) {
	now := time.Now()
	delete(t.fleet.bookings, b.Name)
	id := offerID{b.Type, b.Zone, b.Spot}
	o := t.fleet.offers[id]
	if o == nil {
		o = &backoff{}
		t.fleet.offers[id] = o
	}
	switch {
	case err == nil:
		t.l.Metrics.Fleet("rented", len(hosts))
		t.fleet.pause = 0
		for _, h := range hosts {
			if _, gone := t.gone[h]; gone {
				continue
			}
			m := t.machine(h)
			if m.upAt.IsZero() {
				m.machineType, m.zone, m.spot, m.booting, m.rentedAt = b.Type, b.Zone, b.Spot, true, b.since
			}
		}
		if len(hosts) < b.Count {
			o.delay = 8 * time.Second
			o.until = now.Add(o.delay)
			t.log().Info("booking only partly filled", "booking", b.Name, "got", len(hosts), "of", b.Count)
		} else {
			o.delay = 0
		}
	case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrInvalid):
		o.delay = min(max(5*time.Second, o.delay*2), 40*time.Second)
		o.until = now.Add(o.delay + rand.N(o.delay/4))
		t.log().Info("no capacity", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "again_in", o.delay, "err", err)
	case now.Before(t.fleet.pausedUntil):
		// Asked beside one that was refused before: the same trouble. (The
		// bookings of one plan once made each other wait for ten seconds.)
	default:
		// Busy or down: certainly not rented; the want is judged anew later.
		t.fleet.pause = min(max(500*time.Millisecond, t.fleet.pause*2), 5*time.Second)
		t.fleet.pausedUntil = now.Add(t.fleet.pause + rand.N(t.fleet.pause))
		t.log().Info("cloud busy or down", "again_in", t.fleet.pause, "err", err)
	}
}
