package fleet

import (
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// packAllOrNothing reserves resources for all units of a demand or for none. Where the free ones
// don't suffice, it adds machines.
func (p *packer) packAllOrNothing(d *Demand) {
	offers, unmetReason := p.cheapestOffersForAll(d)
	for _, offer := range offers {
		p.addMachine(offer, d).used = true
	}
	if !p.reserveAllOrNothing(d) {
		p.addUnmet(d, unmetReason)
	}
}

// reserveAllOrNothing reserves resources for all units of a demand, in the first zone that has
// enough of them. If no zone has, it reserves nothing and returns false.
func (p *packer) reserveAllOrNothing(d *Demand) bool {
	unit := placement.ResourcesOf(d.Spec)
	for _, zone := range p.zonesFor(d, nil) {
		count := newUnitCount(d)
		fills := p.placeInBins(count, zone)
		if count.left > 0 {
			continue
		}
		for _, f := range fills {
			p.bins[f.bin].reserve(unit, f.units)
		}
		return true
	}
	return false
}

// anyZone is used in place of a zone where units may be spread over all zones.
const anyZone wire.Zone = ""

func inZone(zone, allowed wire.Zone) bool { return allowed == anyZone || zone == allowed }

// zonesFor returns the zones of the bins and offers that may run all units of a demand, sorted. It
// returns only anyZone if the units may be in different zones.
func (p *packer) zonesFor(d *Demand, offers []Offer) []wire.Zone {
	if !d.Spec.SameZone {
		return []wire.Zone{anyZone}
	}
	var zones []wire.Zone
	add := func(zone wire.Zone) {
		if !slices.Contains(zones, zone) && d.allUnitsAllowedIn(zone) {
			zones = append(zones, zone)
		}
	}
	for i := range p.bins {
		add(p.bins[i].zone)
	}
	for i := range offers {
		add(offers[i].Zone)
	}
	slices.Sort(zones)
	return zones
}

// allUnitsAllowedIn reports whether all units of the demand may be in the zone.
func (d *Demand) allUnitsAllowedIn(zone wire.Zone) bool {
	return d.zoneUnits(zone, d.Units) == d.Units && inZone(zone, d.Spec.Zone)
}

// unitCount counts the units of a demand while places for them are sought.
type unitCount struct {
	demand       *Demand
	left         int // units without a place
	placedByZone map[wire.Zone]int
}

func newUnitCount(d *Demand) *unitCount {
	return &unitCount{d, d.Units, map[wire.Zone]int{}}
}

// placeable returns how many units can be placed on a machine in the zone that has resources for
// fitting units: no more than are left, nor than the zone may still take.
func (c *unitCount) placeable(zone wire.Zone, fitting int) int {
	if c.demand.ZoneCapacityLeft != nil {
		fitting = min(fitting, c.demand.ZoneCapacityLeft[zone]-c.placedByZone[zone])
	}
	return min(c.left, fitting)
}

func (c *unitCount) add(zone wire.Zone, units int) {
	c.left -= units
	c.placedByZone[zone] += units
}

// binUnits is the number of units that are placed in a bin, given by its index.
type binUnits struct{ bin, units int }

// placeInBins finds places for the units that are left, in the bins of a zone that have resources
// free within the demand's slack. It updates the count, but reserves nothing.
func (p *packer) placeInBins(count *unitCount, zone wire.Zone) []binUnits {
	unit := placement.ResourcesOf(count.demand.Spec)
	var fills []binUnits
	for i := range p.bins {
		if count.left == 0 {
			break
		}
		b := &p.bins[i]
		if !inZone(b.zone, zone) || !b.usable(count.demand) {
			continue
		}
		units := count.placeable(b.zone, unit.UnitsIn(b.freeWithin(count.demand.SlackSeconds)))
		if units <= 0 {
			continue
		}
		fills = append(fills, binUnits{i, units})
		count.add(b.zone, units)
	}
	return fills
}

// offerPicks are the offers from which machines are to be added.
type offerPicks struct {
	offers          []int       // index of the offer of each machine
	machinesByOffer map[int]int // number of machines by index of the offer
	cost            float64     // price of all machines per hour
}

func (o *offerPicks) add(offer int, price float64) {
	o.offers = append(o.offers, offer)
	o.machinesByOffer[offer]++
	o.cost += price
}

// cheapestOffersForAll returns the offers from which machines are added at the lowest cost until
// all units of a demand fit, one index for each machine. It returns none if all units fit already,
// or if they can't all be placed: a part of such a demand is of no use. The reason says why they
// can't be placed.
func (p *packer) cheapestOffersForAll(d *Demand) ([]int, UnmetReason) {
	var best *offerPicks
	reason := UnmetByOffers
	for _, zone := range p.zonesFor(d, p.offers) {
		picks := p.pickOffersIn(zone, d)
		if picks == nil {
			continue
		}
		// The cost is divided by all units, including those that fit on present machines: for the
		// last unit alone, any machine would be too expensive.
		if p.tooExpensive(d, picks.cost/float64(d.Units)) {
			reason = UnmetByPrice
			continue
		}
		if best == nil || picks.cost < best.cost {
			best = picks
		}
	}
	if best == nil {
		return nil, reason
	}
	return best.offers, reason
}

// pickOffersIn picks offers in a zone for the units of a demand that the bins there can't hold. It
// returns nil if the offers can't hold them either.
func (p *packer) pickOffersIn(zone wire.Zone, d *Demand) *offerPicks {
	count := newUnitCount(d)
	p.placeInBins(count, zone)
	picks := &offerPicks{machinesByOffer: map[int]int{}}
	for count.left > 0 && len(p.added)+len(picks.offers) < p.snapshot.MaxMachinesAdded {
		offer, units, ok := p.cheapestOfferIn(zone, count, picks)
		if !ok {
			break
		}
		o := &p.offers[offer]
		picks.add(offer, o.PricePerHour)
		count.add(o.Zone, units)
	}
	if count.left > 0 {
		return nil
	}
	return picks
}

// cheapestOfferIn returns the index of the offer in a zone that costs least per unit that would
// be placed there, and how many of the units that are left its machine holds.
func (p *packer) cheapestOfferIn(zone wire.Zone, count *unitCount, picks *offerPicks) (offer, offerUnits int, ok bool) {
	unit := placement.ResourcesOf(count.demand.Spec)
	bestCost := 0.0
	for i := range p.offers {
		o := &p.offers[i]
		available := o.MaxCount > picks.machinesByOffer[i] && o.suits(count.demand.Spec)
		units := count.placeable(o.Zone, unit.UnitsIn(o.Total))
		if !inZone(o.Zone, zone) || !available || units <= 0 {
			continue
		}
		if cost := o.PricePerHour / float64(units); !ok || cost < bestCost {
			offer, offerUnits, bestCost, ok = i, units, cost, true
		}
	}
	return offer, offerUnits, ok
}
