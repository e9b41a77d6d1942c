package fleet

import (
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// packAllOrNothing finds room for all units of a demand, or for none of them.
func (p *packer) packAllOrNothing(d *Demand) {
	for _, offer := range p.cheapestScaleOut(d) {
		p.addMachine(offer, d).used = true
	}
	p.fillAllOrNothing(d)
}

// fillAllOrNothing takes the room of a demand in the first zone that has room for all of
// it.
func (p *packer) fillAllOrNothing(d *Demand) {
	unit := placement.ResourcesOf(d.Spec)
	for _, zone := range p.zonesFor(d, nil) {
		units := newUnitCount(d)
		fills := p.placeInBins(units, zone)
		if units.left > 0 {
			continue
		}
		for _, f := range fills {
			p.bins[f.bin].take(unit, f.units)
		}
		return
	}
}

// anyZone stands for all zones together.
const anyZone wire.Zone = ""

func inZone(zone, allowed wire.Zone) bool { return allowed == anyZone || zone == allowed }

// zonesFor returns the zones of the bins and offers that may take all units of a demand;
// anyZone if they may be spread over several.
func (p *packer) zonesFor(d *Demand, offers []Offer) []wire.Zone {
	if !d.Spec.SameZone {
		return []wire.Zone{anyZone}
	}
	var zones []wire.Zone
	add := func(zone wire.Zone) {
		if !slices.Contains(zones, zone) && d.mayBeIn(zone) {
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

// mayBeIn reports whether all units of the demand may be in the zone.
func (d *Demand) mayBeIn(zone wire.Zone) bool {
	return d.zoneUnits(zone, d.Units) == d.Units && inZone(zone, d.Spec.Zone)
}

// unitCount counts the units of a demand that are placed.
type unitCount struct {
	d      *Demand
	left   int
	inZone map[wire.Zone]int
}

func newUnitCount(d *Demand) *unitCount {
	return &unitCount{d, d.Units, map[wire.Zone]int{}}
}

// most returns how many more units the zone may take of those for which there is room.
func (c *unitCount) most(zone wire.Zone, room int) int {
	if c.d.ZoneCapacityLeft != nil {
		room = min(room, c.d.ZoneCapacityLeft[zone]-c.inZone[zone])
	}
	return min(c.left, room)
}

func (c *unitCount) add(zone wire.Zone, units int) {
	c.left -= units
	c.inZone[zone] += units
}

// binUnits is how many units go into a bin.
type binUnits struct{ bin, units int }

// placeInBins finds places for units in the bins of a zone, where room is free within the
// demand's slack. It changes no bin.
func (p *packer) placeInBins(count *unitCount, zone wire.Zone) []binUnits {
	unit := placement.ResourcesOf(count.d.Spec)
	var fills []binUnits
	for i := range p.bins {
		if count.left == 0 {
			break
		}
		b := &p.bins[i]
		if !inZone(b.zone, zone) || !b.allowed(count.d.Spec) {
			continue
		}
		units := count.most(b.zone, unit.UnitsIn(b.freeWithin(count.d.SlackSeconds)))
		if units <= 0 {
			continue
		}
		fills = append(fills, binUnits{i, units})
		count.add(b.zone, units)
	}
	return fills
}

// offerPicks is a choice of offers, one entry for each machine to be added.
type offerPicks struct {
	offers  []int
	byOffer map[int]int // machines
	cost    float64
}

func (o *offerPicks) add(offer int, price float64) {
	o.offers = append(o.offers, offer)
	o.byOffer[offer]++
	o.cost += price
}

// cheapestScaleOut returns the offers that add room for all of a demand at the least
// cost, one entry for each machine; none if there is room already, or if not all of the
// demand can be met: half of it would help nobody.
func (p *packer) cheapestScaleOut(d *Demand) []int {
	var best *offerPicks
	for _, zone := range p.zonesFor(d, p.offers) {
		picks := p.scaleOutIn(zone, d)
		if picks != nil && (best == nil || picks.cost < best.cost) {
			best = picks
		}
	}
	if best == nil {
		return nil
	}
	return best.offers
}

// scaleOutIn picks offers of a zone for those units of a demand that have no room there;
// nil if they can't be had, or not at that price.
func (p *packer) scaleOutIn(zone wire.Zone, d *Demand) *offerPicks {
	count := newUnitCount(d)
	p.placeInBins(count, zone)
	picks := &offerPicks{byOffer: map[int]int{}}
	for count.left > 0 && len(p.added)+len(picks.offers) < p.s.MaxMachinesAdded {
		offer, units, ok := p.cheapestOfferIn(zone, count, picks)
		if !ok {
			break
		}
		o := &p.offers[offer]
		picks.add(offer, o.Price)
		count.add(o.Zone, units)
	}
	// The price counts for all units: the last one alone is expensive on any machine.
	if count.left > 0 || p.tooExpensive(d, picks.cost/float64(d.Units)) {
		return nil
	}
	return picks
}

// cheapestOfferIn returns the offer of a zone that is cheapest for a unit of those that
// are left, and how many units its machine takes.
func (p *packer) cheapestOfferIn(zone wire.Zone, count *unitCount, picks *offerPicks) (offer, offerUnits int, ok bool) {
	unit := placement.ResourcesOf(count.d.Spec)
	bestCost := 0.0
	for i := range p.offers {
		o := &p.offers[i]
		available := o.MaxCount > picks.byOffer[i] && o.suits(count.d.Spec)
		units := count.most(o.Zone, unit.UnitsIn(o.Total))
		if !inZone(o.Zone, zone) || !available || units <= 0 {
			continue
		}
		if cost := o.Price / float64(units); !ok || cost < bestCost {
			offer, offerUnits, bestCost, ok = i, units, cost, true
		}
	}
	return offer, offerUnits, ok
}
