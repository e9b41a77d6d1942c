package leader

import (
	"math/rand/v2"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/rentals"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

const (
	// maxOffer is what one plan asks of an offer at most: two bookings.
	maxOffer = 2 * rentals.MaxBooking
	// maxRentsPerPlan bounds one plan's rentals: some seconds' worth of calls.
	maxRentsPerPlan = 8 * rentals.MaxBooking
	// A booking without a final answer is sent again after a pause that grows from
	// the one to the other.
	minBookingRetry = 400 * time.Millisecond
	maxBookingRetry = 5 * time.Second
)

// offers are what may be booked now.
func (t *term) offers(specs []wire.MachineSpec, now time.Time) []fleet.Offer {
	var out []fleet.Offer
	for i := range specs {
		spec := &specs[i]
		for _, zone := range spec.Zones {
			if t.partitioned(zone, now) {
				continue // what is rented there could not report
			}
			for _, spot := range []bool{false, true} {
				if t.rentals.Available(rentals.Offer{Type: spec.Name, Zone: zone, Spot: spot}, now) {
					out = append(out, fleet.Offer{Type: spec.Name, Zone: zone, Spot: spot, Total: placementRes(spec),
						Price: spec.Price(spot), FetchGBPerS: spec.FetchGBPerS, Room: maxOffer})
				}
			}
		}
	}
	return out
}

// placementRes is all the room of a machine of the type.
func placementRes(spec *wire.MachineSpec) placement.Resources {
	return placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// rent books machines and keeps asking under the same name until the cloud
// has answered.
func (t *term) rent(r fleet.Rent) {
	b := t.rentals.Book(r, time.Now())
	t.log().Info("rents", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "for", r.For, "booking", b.Name)
	go func() {
		var tries rentals.Tries
		wait := minBookingRetry
		for t.ctx.Err() == nil {
			machines, err := t.l.Cloud.Rent(t.ctx, b.RentalRequest)
			if tries.Final(err) {
				t.post(func() { t.onBookingAnswer(b, machines, err) })
				return
			}
			select {
			case <-t.ctx.Done():
			case <-time.After(wait + rand.N(wait/2)):
			}
			wait = min(2*wait, maxBookingRetry)
		}
	}()
}

// onBookingAnswer takes in the final answer to a booking.
func (t *term) onBookingAnswer(b *rentals.Booking, machines []wire.MachineID, err error) {
	outcome, rest := t.rentals.Answered(b, len(machines), err, time.Now())
	switch outcome {
	case rentals.Filled, rentals.PartlyFilled:
		t.l.Metrics.Fleet("rented", len(machines))
		t.addRented(b, machines)
		if outcome == rentals.PartlyFilled {
			t.log().Info("booking only partly filled", "booking", b.Name, "got", len(machines), "of", b.Count)
		}
	case rentals.NoCapacity:
		t.log().Info("no capacity", "type", b.Type, "zone", b.Zone, "spot", b.Spot, "again_in", rest, "err", err)
	case rentals.Unavailable:
		t.log().Info("cloud busy or down", "again_in", rest, "err", err)
	}
}

// addRented adds the machines of a booking to the inventory. They may have
// reported, or be gone again, before the booking's answer came.
func (t *term) addRented(b *rentals.Booking, machines []wire.MachineID) {
	for _, id := range machines {
		if _, gone := t.gone[id]; gone {
			continue
		}
		m := t.machine(id)
		if m.upAt.IsZero() {
			m.machineType, m.zone, m.spot, m.booting, m.rentedAt = b.Type, b.Zone, b.Spot, true, b.Since
		}
	}
}
