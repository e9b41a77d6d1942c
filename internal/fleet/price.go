package fleet

import (
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

const (
	// zonePenalty is the share of its price that is added to an offer in a zone that has all
	// machines. In other zones the surcharge is smaller, in proportion to their machines. It
	// affects only the ranking of offers. It spreads the machines over the zones, so that the loss
	// of one zone affects fewer of them.
	zonePenalty = 0.4
	// zonePenaltyMachines is added to the number of all machines when a zone's share of them is
	// computed. In a small cluster a few machines in one zone thus cause only a small penalty.
	zonePenaltyMachines = 20
)

// cheapestOffer returns the index of the offer from which the next machine for the demand is added,
// and the price per hour of a unit there; left is the number of units that are not placed yet.
func (p *packer) cheapestOffer(d *Demand, kind unitKind, left int) (offer int, unitCost float64, ok bool) {
	bestRank := 0.0
	for i := range p.offers {
		o := &p.offers[i]
		units := p.unitsSharingPrice(o, d, kind, left)
		if units <= 0 || !o.suits(d.Spec) {
			continue
		}
		cost := o.PricePerHour / float64(units)
		// The zone penalty affects only the order of the offers. As part of unitCost it would make
		// all zones of a large cluster exceed the price limit.
		rank := cost * p.zoneFactor(o.Zone)
		if !ok || rank < bestRank {
			offer, unitCost, bestRank, ok = i, cost, rank, true
		}
	}
	return offer, unitCost, ok
}

// unitsSharingPrice returns how many units share the price of a machine of the offer: the left
// units of the demand and, for kinds that share prices, equal units of later demands.
func (p *packer) unitsSharingPrice(o *Offer, d *Demand, kind unitKind, left int) int {
	capacity := placement.ResourcesOf(d.Spec).UnitsIn(o.Total)
	units := d.zoneUnits(o.Zone, min(left, capacity))
	if units <= 0 || !kind.sharesPrice {
		return units
	}
	return min(units+p.laterUnits[kind], capacity)
}

// zoneFactor returns the factor on the price with which offers in the zone are ranked. It prefers
// zones that have fewer machines.
func (p *packer) zoneFactor(zone wire.Zone) float64 {
	return 1 + zonePenalty*float64(p.binsByZone[zone])/float64(len(p.bins)+zonePenaltyMachines)
}

// suits reports whether a machine of the offer can still be added and may run the job.
func (o *Offer) suits(spec *wire.JobSpec) bool {
	b := o.newBin()
	canFetchImage := spec.ImageGB == 0 || o.FetchGBPerSecond > 0
	return o.MaxCount > 0 && b.allowed(spec) && canFetchImage
}

// tooExpensive reports whether unitCost exceeds the price limit of the demand.
func (p *packer) tooExpensive(d *Demand, unitCost float64) bool {
	if p.snapshot.LowestUnitPrice == nil {
		return false
	}
	limit := p.snapshot.MaxPriceRatio * max(1, d.PriceLimitFactor) * p.snapshot.LowestUnitPrice(d.Spec)
	return unitCost > limit
}
