package fleet

import (
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

const (
	// zonePenalty is how much more expensive an offer is taken to be in a zone that has
	// all machines, so that the loss of a zone takes fewer with it.
	zonePenalty = 0.4
	// zonePenaltyMachines keeps the first machines of a small cluster from counting
	// much.
	zonePenaltyMachines = 20
)

// cheapestOffer returns the offer of which the next machine for the demand is added, and
// what a unit costs there.
func (p *packer) cheapestOffer(d *Demand, kind unitKind, left int) (offer int, unitCost float64, ok bool) {
	bestRank := 0.0
	for i := range p.offers {
		o := &p.offers[i]
		units := p.unitsSharing(o, d, kind, left)
		if units <= 0 || !o.suits(d.Spec) {
			continue
		}
		cost := o.Price / float64(units)
		// The penalty orders the offers only: as part of the price it once made all zones
		// of a large cluster too expensive.
		rank := cost * p.zoneFactor(o.Zone)
		if !ok || rank < bestRank {
			offer, unitCost, bestRank, ok = i, cost, rank, true
		}
	}
	return offer, unitCost, ok
}

// unitsSharing returns how many units share the price of a machine of the offer: those
// that are left of the demand, and what waits beside it.
func (p *packer) unitsSharing(o *Offer, d *Demand, kind unitKind, left int) int {
	capacity := placement.ResourcesOf(d.Spec).UnitsIn(o.Total)
	units := d.zoneUnits(o.Zone, min(left, capacity))
	if units <= 0 || !kind.sharesPrice {
		return units
	}
	return min(units+p.unitsToCome[kind], capacity)
}

// zoneFactor returns the factor by which an offer in the zone is taken to be more
// expensive: it prefers the zone that has fewer machines.
func (p *packer) zoneFactor(zone wire.Zone) float64 {
	return 1 + zonePenalty*float64(p.inZone[zone])/float64(len(p.bins)+zonePenaltyMachines)
}

// suits reports whether the offer has a machine that the job may run on.
func (o *Offer) suits(spec *wire.JobSpec) bool {
	b := o.newBin()
	canFetchImage := spec.ImageGB == 0 || o.FetchGBPerSecond > 0
	return o.MaxCount > 0 && b.allowed(spec) && canFetchImage
}

// tooExpensive reports whether a unit of the demand is not worth that price.
func (p *packer) tooExpensive(d *Demand, unitCost float64) bool {
	if p.s.LowestPrice == nil {
		return false
	}
	limit := p.s.PriceLimit * max(1, d.PriceLimitFactor) * p.s.LowestPrice(d.Spec)
	return unitCost > limit
}
