package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// packer is the state while one plan is made. It works on copies of the snapshot's slices, but
// lowers the demands' ZoneCapacityLeft in place.
type packer struct {
	snapshot        *Snapshot
	bins            []bin
	offers          []Offer
	demands         []Demand // the highest rank first
	added           []addedMachine
	unmet           []UnmetDemand
	binsByZone      map[wire.Zone]int // number of bins, those of added machines included
	kinds           []unitKind        // of the demands, by the same index
	laterUnits      map[unitKind]int  // number of units of the demands after the current one
	candidateBuffer []int             // reused by candidates, to save allocations
}

// addedMachine is a machine that the plan adds.
type addedMachine struct {
	offer int        // an index of packer.offers
	job   wire.JobID // the job for which it is added; units of others may be packed into it too
}

func newPacker(s *Snapshot) *packer {
	p := &packer{
		snapshot:   s,
		bins:       make([]bin, len(s.Machines)),
		offers:     slices.Clone(s.Offers),
		demands:    slices.Clone(s.Demands),
		binsByZone: map[wire.Zone]int{},
		laterUnits: map[unitKind]int{},
	}
	for i := range s.Machines {
		p.bins[i] = s.Machines[i].newBin()
		p.binsByZone[s.Machines[i].Zone]++
	}
	slices.SortStableFunc(p.demands, func(a, b Demand) int { return cmp.Compare(b.Rank, a.Rank) })
	p.kinds = make([]unitKind, len(p.demands))
	for i := range p.demands {
		p.kinds[i] = kindOf(&p.demands[i])
		p.laterUnits[p.kinds[i]] += p.demands[i].Units
	}
	return p
}

// unitKind identifies units that need the same resources on the same kinds of machines.
type unitKind struct {
	unit  placement.Resources
	types string // the allowed machine types, separated by spaces; empty if any
	zone  wire.Zone
	spot  bool
	// sharesPrice means that units of later demands of this kind count when the price per unit of a
	// machine is computed. It is not set for services, nor for units that are limited by zone.
	sharesPrice bool
}

func kindOf(d *Demand) unitKind {
	kind := unitKind{
		unit:        placement.ResourcesOf(d.Spec),
		zone:        d.Spec.Zone,
		spot:        d.Spec.SpotAllowed,
		sharesPrice: !d.Spec.IsService() && d.ZoneCapacityLeft == nil,
	}
	for _, t := range d.Spec.MachineTypes {
		kind.types += string(t) + " "
	}
	return kind
}

// pack assigns the units of a demand, which need not all fit, to free resources, then to resources
// that are expected to be released in time (not for services), then to machines that it adds.
func (p *packer) pack(d *Demand, kind unitKind) {
	left := d.Units
	left -= p.packIntoFree(d, left)
	if !d.Spec.IsService() {
		left -= p.packIntoExpectedReleases(d, left)
	}
	for left > 0 && len(p.added) < p.snapshot.MaxMachinesAdded {
		offer, cost, ok := p.cheapestOffer(d, kind, left)
		if !ok {
			p.addUnmet(d, UnmetByOffers)
			return
		}
		if !d.Spec.IsService() && p.tooExpensive(d, cost) {
			p.addUnmet(d, UnmetByPrice) // running late is preferred to paying more than the price limit
			return
		}
		left -= p.addMachine(offer, d).fill(d, left)
	}
}

// addUnmet records that the plan leaves a demand unmet.
func (p *packer) addUnmet(d *Demand, reason UnmetReason) {
	if !d.Reserve {
		p.unmet = append(p.unmet, UnmetDemand{Job: d.Spec.ID, Reason: reason})
	}
}

// packIntoFree assigns up to maxUnits units to free resources, and returns how many.
func (p *packer) packIntoFree(d *Demand, maxUnits int) int {
	filled := 0
	for _, i := range p.candidates(d) {
		if filled == maxUnits {
			break
		}
		filled += p.bins[i].fill(d, maxUnits-filled)
	}
	return filled
}

// packIntoExpectedReleases assigns up to maxUnits units to resources that running tasks are
// expected to release in time, and returns how many.
func (p *packer) packIntoExpectedReleases(d *Demand, maxUnits int) int {
	filled := 0
	for i := range p.bins {
		if filled == maxUnits {
			break
		}
		if b := &p.bins[i]; b.releasesInTime(d) {
			filled += b.fillExpectedReleases(d, maxUnits-filled)
		}
	}
	return filled
}

// candidates returns the indices of the bins that have free resources for a unit, in the order in
// which they are filled. The result is valid until the next call.
func (p *packer) candidates(d *Demand) []int {
	unit := placement.ResourcesOf(d.Spec)
	p.candidateBuffer = p.candidateBuffer[:0]
	for i := range p.bins {
		if unit.FitsIn(p.bins[i].free) && p.bins[i].usable(d) {
			p.candidateBuffer = append(p.candidateBuffer, i)
		}
	}
	slices.SortStableFunc(p.candidateBuffer, func(x, y int) int { return compareBins(d, &p.bins[x], &p.bins[y]) })
	return p.candidateBuffer
}

// compareBins orders the bins for a demand: used before unused ones, spot before on-demand
// machines, and those with fewer free CPUs first. For a service, bins that run services come before
// all others.
func compareBins(d *Demand, a, b *bin) int {
	if d.Spec.IsService() && a.runsServices != b.runsServices {
		return trueFirst(a.runsServices)
	}
	if a.used != b.used {
		return trueFirst(a.used)
	}
	if a.spot != b.spot {
		return trueFirst(a.spot)
	}
	return cmp.Compare(a.free.CPUs, b.free.CPUs)
}

// trueFirst compares two values that differ in a flag: the one whose flag is set comes first. The
// argument is the flag of the first value.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// addMachine adds a machine of the offer for the demand's job, and returns its empty bin.
func (p *packer) addMachine(offer int, d *Demand) *bin {
	o := &p.offers[offer]
	o.MaxCount--
	p.binsByZone[o.Zone]++
	p.added = append(p.added, addedMachine{offer, d.Spec.ID})
	p.bins = append(p.bins, o.newBin())
	return &p.bins[len(p.bins)-1]
}
