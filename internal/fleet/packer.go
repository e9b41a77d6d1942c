package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// packer is the state of one plan. It changes copies of the snapshot's slices.
type packer struct {
	s           *Snapshot
	bins        []bin
	offers      []Offer
	demands     []Demand // the highest rank first
	added       []addedMachine
	inZone      map[wire.Zone]int // bins
	kinds       []unitKind        // of the demands
	unitsToCome map[unitKind]int  // of the demands after the present one
	order       []int             // a buffer for the bins that a demand may use
}

// addedMachine is a machine to be added.
type addedMachine struct {
	offer int
	job   wire.JobID // for which it is added first
}

func newPacker(s *Snapshot) *packer {
	p := &packer{
		s:           s,
		bins:        make([]bin, len(s.Machines)),
		offers:      slices.Clone(s.Offers),
		demands:     slices.Clone(s.Demands),
		inZone:      map[wire.Zone]int{},
		unitsToCome: map[unitKind]int{},
	}
	for i := range s.Machines {
		p.bins[i] = s.Machines[i].newBin()
		p.inZone[s.Machines[i].Zone]++
	}
	slices.SortStableFunc(p.demands, func(a, b Demand) int { return cmp.Compare(b.Rank, a.Rank) })
	p.kinds = make([]unitKind, len(p.demands))
	for i := range p.demands {
		p.kinds[i] = kindOf(&p.demands[i])
		p.unitsToCome[p.kinds[i]] += p.demands[i].Units
	}
	return p
}

// unitKind is what units have in common that take the same room on the same machines.
type unitKind struct {
	unit        placement.Resources
	types       string
	zone        wire.Zone
	spot        bool
	sharesPrice bool // of an array that may be in any zones
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

// pack finds room for the demand's units one by one: where room is free, where it
// becomes free in time, and on machines to be added.
func (p *packer) pack(d *Demand, kind unitKind) {
	left := d.Units
	left -= p.fillFree(d, left)
	if !d.Spec.IsService() {
		left -= p.fillFreed(d, left)
	}
	for left > 0 && len(p.added) < p.s.MaxMachinesAdded {
		offer, cost, ok := p.cheapestOffer(d, kind, left)
		if !ok {
			return
		}
		if !d.Spec.IsService() && p.tooExpensive(d, cost) {
			return // it is better late than at that price
		}
		left -= p.addMachine(offer, d).fill(d, left)
	}
}

// fillFree packs units into room that is free, and returns how many.
func (p *packer) fillFree(d *Demand, most int) int {
	filled := 0
	for _, i := range p.candidates(d) {
		if filled == most {
			break
		}
		filled += p.bins[i].fill(d, most-filled)
	}
	return filled
}

// fillFreed packs units into room that running tasks will free in time, and returns how
// many.
func (p *packer) fillFreed(d *Demand, most int) int {
	filled := 0
	for i := range p.bins {
		if filled == most {
			break
		}
		if b := &p.bins[i]; b.freesInTime(d) {
			filled += b.fillFreed(d, most-filled)
		}
	}
	return filled
}

// candidates returns the bins with room for a unit, in the order in which they are
// filled.
func (p *packer) candidates(d *Demand) []int {
	unit := placement.ResourcesOf(d.Spec)
	p.order = p.order[:0]
	for i := range p.bins {
		if unit.FitsIn(p.bins[i].free) && p.bins[i].allowed(d.Spec) {
			p.order = append(p.order, i)
		}
	}
	slices.SortStableFunc(p.order, func(x, y int) int { return compareBins(d, &p.bins[x], &p.bins[y]) })
	return p.order
}

// compareBins puts services together, what is in use before what is idle, spot machines
// before ordinary ones, and the fuller before the emptier.
func compareBins(d *Demand, a, b *bin) int {
	if d.Spec.IsService() && a.services != b.services {
		return trueFirst(a.services)
	}
	if a.used != b.used {
		return trueFirst(a.used)
	}
	if a.spot != b.spot {
		return trueFirst(a.spot)
	}
	return cmp.Compare(a.free.CPUs, b.free.CPUs)
}

// trueFirst orders two values that differ in a flag, given the flag of the first.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// addMachine adds a machine of the offer to the bins.
func (p *packer) addMachine(offer int, d *Demand) *bin {
	o := &p.offers[offer]
	o.MaxCount--
	p.inZone[o.Zone]++
	p.added = append(p.added, addedMachine{offer, d.Spec.ID})
	p.bins = append(p.bins, o.newBin())
	return &p.bins[len(p.bins)-1]
}
