package capacity

import (
	"math"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Offers returns what may be requested from the cloud now: the machine types in each of their
// zones, on demand and as spot machines.
func (p *Planner) Offers(specs []wire.MachineSpec, now time.Time) []fleet.Offer {
	var offers []fleet.Offer
	for i := range specs {
		spec := &specs[i]
		for _, zone := range spec.Zones {
			if p.state.ZonePartitioned(zone, now) {
				continue // no heartbeat of a machine there would arrive
			}
			for _, spot := range []bool{false, true} {
				offer := scaling.Offer{Type: spec.Name, Zone: zone, Spot: spot}
				if p.tracker.Available(offer, now) {
					offers = append(offers, planOffer(spec, offer))
				}
			}
		}
	}
	return offers
}

// planOffer returns an offer of a machine type in the form that package fleet plans with.
func planOffer(spec *wire.MachineSpec, offer scaling.Offer) fleet.Offer {
	return fleet.Offer{
		Type:             offer.Type,
		Zone:             offer.Zone,
		Spot:             offer.Spot,
		Total:            cluster.ResourcesOfMachineType(spec),
		PricePerHour:     spec.Price(offer.Spot),
		FetchGBPerSecond: spec.FetchGBPerSecond,
		MaxCount:         maxMachinesPerOffer,
	}
}

// lowestTaskPrice returns the lowest price per hour of the share of a machine that one task of
// a job takes; infinity if no machine type fits the job.
func lowestTaskPrice(specs []wire.MachineSpec, job *wire.JobSpec) float64 {
	cheapest := math.Inf(1)
	for i := range specs {
		spec := &specs[i]
		if !spec.CanRun(job) {
			continue
		}
		units := float64(placement.ResourcesOf(job).UnitsIn(cluster.ResourcesOfMachineType(spec)))
		cheapest = min(cheapest, spec.OnDemandPrice/units)
		if job.SpotAllowed {
			cheapest = min(cheapest, spec.SpotPrice/units)
		}
	}
	return cheapest
}
