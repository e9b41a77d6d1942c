package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// MakePlan computes a plan: demands are packed into the room there is, the rest
// into the offers that are cheapest per unit that they would really hold,
// and what stays idle after that is returned.
func MakePlan(s *Snapshot) Plan {
	p := newPacker(s)
	for di := range p.demands {
		d := &p.demands[di]
		p.alike[p.kinds[di]] -= d.Units
		if d.AllOrNothing {
			p.packWhole(d)
		} else {
			p.pack(d, p.kinds[di])
		}
	}
	plan := Plan{ScaleOuts: p.rents(), ScaleIns: p.releases()}
	if len(plan.ScaleOuts) == 0 {
		plan.Cordons = cordon(s, p.bins)
	}
	return plan
}

// bin is a machine, there or to be rented, into which demands are packed.
type bin struct {
	machineType wire.MachineType
	zone        wire.Zone
	spot        bool
	free        placement.Resources
	services    bool
	used        bool
	freeing     []Freeing
}

func (b *bin) allowed(s *wire.JobSpec) bool {
	m := placement.Machine{Type: b.machineType, Zone: b.zone, Spot: b.spot}
	return placement.Allowed(s, &m)
}

// freeWithin is the room in a bin that is free, or will be in time.
func (b *bin) freeWithin(slack float64) placement.Resources {
	free := b.free
	for _, f := range b.freeing {
		if f.InS <= slack {
			free = free.Plus(f.Room)
		}
	}
	return free
}

// newBin is a machine of the offer with nothing on it.
func (o *Offer) newBin() bin {
	return bin{machineType: o.Type, zone: o.Zone, spot: o.Spot, free: o.Total}
}

// serves tells whether the offer has a machine that the job may run on.
func (o *Offer) serves(s *wire.JobSpec) bool {
	b := o.newBin()
	return o.Room > 0 && b.allowed(s) && (s.ImageGB == 0 || o.FetchGBPerS > 0)
}

// rental is one machine to rent of an offer, and for which job.
type rental struct {
	offer int
	id    wire.JobID
}

// packer is the state of one plan. It changes copies of the snapshot's slices.
type packer struct {
	s       *Snapshot
	bins    []bin
	offers  []Offer
	demands []Demand // the highest rank first
	rentals []rental
	inZone  map[wire.Zone]int // bins
	kinds   []kind            // of the demands
	alike   map[kind]int      // units of the demands that are still to come
	order   []int             // a buffer for the bins that a demand may use
}

func newPacker(s *Snapshot) *packer {
	p := &packer{
		s:       s,
		bins:    make([]bin, len(s.Machines)),
		offers:  slices.Clone(s.Offers),
		demands: slices.Clone(s.Demands),
		inZone:  map[wire.Zone]int{},
		alike:   map[kind]int{},
	}
	for i, m := range s.Machines {
		p.bins[i] = bin{m.Type, m.Zone, m.Spot, m.Free, m.Services > 0, !m.Idle && !m.Booting, slices.Clone(m.Freeing)}
		p.inZone[m.Zone]++
	}
	slices.SortStableFunc(p.demands, func(a, b Demand) int { return cmp.Compare(b.Rank, a.Rank) })
	p.kinds = make([]kind, len(p.demands))
	for i := range p.demands {
		p.kinds[i] = kindOf(&p.demands[i])
		p.alike[p.kinds[i]] += p.demands[i].Units
	}
	return p
}

// kind of a unit: what takes the same room on the same machines.
type kind struct {
	take    placement.Resources
	types   string
	zone    wire.Zone
	spot    bool
	spreads bool // an array that may be in any zones
}

func kindOf(d *Demand) kind {
	k := kind{take: placement.ResourcesOf(d.Spec), zone: d.Spec.Zone, spot: d.Spec.SpotAllowed, spreads: !d.Spec.Service() && d.ZoneLeft == nil}
	for _, t := range d.Spec.MachineTypes {
		k.types += string(t) + " "
	}
	return k
}

// zoneUnits is how many of n units the zone may still take of the demand.
func (d *Demand) zoneUnits(z wire.Zone, n int) int {
	if d.ZoneLeft == nil {
		return n
	}
	return min(n, d.ZoneLeft[z])
}

// pack finds room for the demand's units one by one: where room is free, where
// it becomes free in time, and on machines to rent.
func (p *packer) pack(d *Demand, k kind) {
	left := d.Units
	for _, i := range p.candidates(d) {
		if left == 0 {
			break
		}
		left -= p.fill(&p.bins[i], d, left)
	}
	if !d.Spec.Service() {
		left -= waitFor(p.bins, d, placement.ResourcesOf(d.Spec), left)
	}
	for left > 0 && len(p.rentals) < p.s.MaxScaleOuts {
		best, cost := p.cheapestOffer(d, k, left)
		if best < 0 {
			return
		}
		if !d.Spec.Service() && p.tooDear(d, cost) {
			return // it is better late than at that price
		}
		left -= p.fill(p.rent(best, d), d, left)
	}
}

// fill takes as much room in a bin as the demand may use of it, and tells how many
// units that is.
func (p *packer) fill(b *bin, d *Demand, left int) int {
	take := placement.ResourcesOf(d.Spec)
	n := d.zoneUnits(b.zone, min(left, take.Units(b.free)))
	if n <= 0 || !b.allowed(d.Spec) {
		return 0
	}
	b.free = b.free.Minus(take.Times(float64(n)))
	b.used = true
	b.services = b.services || d.Spec.Service()
	if d.ZoneLeft != nil {
		d.ZoneLeft[b.zone] -= n
	}
	return n
}

// candidates lists the bins with room for a unit: what is in use before what
// stands idle, the cheap before the dear, the fuller before the emptier.
func (p *packer) candidates(d *Demand) []int {
	take := placement.ResourcesOf(d.Spec)
	p.order = p.order[:0]
	for i := range p.bins {
		if take.Fits(p.bins[i].free) && p.bins[i].allowed(d.Spec) {
			p.order = append(p.order, i)
		}
	}
	slices.SortStableFunc(p.order, func(x, y int) int {
		a, b := &p.bins[x], &p.bins[y]
		if d.Spec.Service() && a.services != b.services {
			return trueFirst(a.services)
		}
		if a.used != b.used {
			return trueFirst(a.used)
		}
		if a.spot != b.spot {
			return trueFirst(a.spot)
		}
		return cmp.Compare(a.free.CPUs, b.free.CPUs)
	})
	return p.order
}

// trueFirst orders two that differ by a flag, given the first one's.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// zoneSpread is how much dearer an offer is taken to be in a zone that has all
// machines, so that a zone's loss takes less with it.
const zoneSpread = 0.4

// zoneSpreadFrom keeps the first machines of a small deployment from counting much.
const zoneSpreadFrom = 20

// cheapestOffer finds the offer to rent next for the demand, and what a unit
// costs there; -1 if there is none.
func (p *packer) cheapestOffer(d *Demand, k kind, left int) (best int, bestCost float64) {
	take := placement.ResourcesOf(d.Spec)
	best, bestRank := -1, 0.0
	for i := range p.offers {
		o := &p.offers[i]
		n := d.zoneUnits(o.Zone, min(left, take.Units(o.Total)))
		if n <= 0 || !o.serves(d.Spec) {
			continue
		}
		if k.spreads {
			// What waits beside it will share the machine and its price.
			n = min(n+p.alike[k], take.Units(o.Total))
		}
		cost := o.Price / float64(n)
		// Prefer the zone that has fewer machines. That orders the offers only:
		// it once made all zones of a large deployment too dear.
		rank := cost * (1 + zoneSpread*float64(p.inZone[o.Zone])/float64(len(p.bins)+zoneSpreadFrom))
		if best < 0 || rank < bestRank {
			best, bestCost, bestRank = i, cost, rank
		}
	}
	return best, bestCost
}

// tooDear tells whether a unit of the demand is not worth that price.
func (p *packer) tooDear(d *Demand, cost float64) bool {
	return p.s.Cheapest != nil && cost > p.s.PriceLimit*max(1, d.PriceStretch)*p.s.Cheapest(d.Spec)
}

// rent adds a machine of the offer to the bins.
func (p *packer) rent(offer int, d *Demand) *bin {
	o := &p.offers[offer]
	o.Room--
	p.inZone[o.Zone]++
	p.rentals = append(p.rentals, rental{offer, d.Spec.ID})
	p.bins = append(p.bins, o.newBin())
	return &p.bins[len(p.bins)-1]
}

// waitFor counts the units that room which running tasks will free in time
// can take, and takes it.
func waitFor(bins []bin, d *Demand, take placement.Resources, left int) int {
	got := 0
	for i := range bins {
		b := &bins[i]
		if got == left {
			break
		}
		if len(b.freeing) == 0 || b.freeing[0].InS > d.SlackS || !b.allowed(d.Spec) {
			continue
		}
		// Neighbouring tasks of a machine may have to end together to make
		// room for a larger one.
		var sum placement.Resources
		kept := b.freeing[:0]
		for _, f := range b.freeing {
			if f.InS > d.SlackS || got == left {
				kept = append(kept, f)
				continue
			}
			sum = sum.Plus(f.Room)
			if n := min(left-got, take.Units(sum)); n > 0 {
				got += n
				sum = placement.Resources{}
			}
		}
		b.freeing = kept
	}
	return got
}

// rents gathers the rentals of each offer.
func (p *packer) rents() []ScaleOut {
	var out []ScaleOut
	for _, r := range p.rentals {
		o := &p.offers[r.offer]
		at := slices.IndexFunc(out, func(r ScaleOut) bool { return r.Type == o.Type && r.Zone == o.Zone && r.Spot == o.Spot })
		if at < 0 {
			out = append(out, ScaleOut{o.Type, o.Zone, o.Spot, 0, r.id})
			at = len(out) - 1
		}
		out[at].Count++
	}
	return out
}

// releases lists the machines that stand idle, are paid for no longer and have no
// use in this plan.
func (p *packer) releases() []wire.MachineID {
	var out []wire.MachineID
	for i, m := range p.s.Machines {
		if m.Idle && !p.bins[i].used && m.IdleS >= m.KeepS && m.PaidS <= 0 {
			out = append(out, m.ID)
		}
	}
	return out
}
