package fleet

import (
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// packWhole finds room for all units of a demand, or for none of them.
func (p *packer) packWhole(d *Demand) {
	for _, offer := range p.rentsForWhole(d) {
		p.rent(offer, d).used = true
	}
	fillWhole(d, p.bins)
}

// zonesForWhole lists the zones that a whole demand may be packed into, "" for
// all together.
func zonesForWhole(d *Demand, bins []bin, offers []Offer) []wire.Zone {
	if !d.Spec.SameZone {
		return []wire.Zone{""}
	}
	var out []wire.Zone
	add := func(z wire.Zone) {
		if !slices.Contains(out, z) && d.zoneUnits(z, d.Units) == d.Units && (d.Spec.Zone == "" || d.Spec.Zone == z) {
			out = append(out, z)
		}
	}
	for i := range bins {
		add(bins[i].zone)
	}
	for i := range offers {
		add(offers[i].Zone)
	}
	slices.Sort(out)
	return out
}

// placedUnits counts the units of a whole demand that are placed.
type placedUnits struct {
	d      *Demand
	left   int
	inZone map[wire.Zone]int
}

func newPlacedUnits(d *Demand) *placedUnits {
	return &placedUnits{d, d.Units, map[wire.Zone]int{}}
}

// most is how many units the zone may take of those for which there is room.
func (u *placedUnits) most(z wire.Zone, room int) int {
	if u.d.ZoneLeft != nil {
		room = min(room, u.d.ZoneLeft[z]-u.inZone[z])
	}
	return min(u.left, room)
}

func (u *placedUnits) place(z wire.Zone, n int) {
	u.left -= n
	u.inZone[z] += n
}

// placeWhole places units of a whole demand in the bins of a zone ("": of any),
// where room is free within the demand's slack, and tells each use of a bin.
func placeWhole(u *placedUnits, bins []bin, z wire.Zone, use func(b *bin, units int)) {
	take := placement.ResourcesOf(u.d.Spec)
	for i := range bins {
		b := &bins[i]
		if u.left == 0 {
			return
		}
		if z != "" && b.zone != z || !b.allowed(u.d.Spec) {
			continue
		}
		n := u.most(b.zone, take.Units(b.freeWithin(u.d.SlackS)))
		if n <= 0 {
			continue
		}
		use(b, n)
		u.place(b.zone, n)
	}
}

// rentsForWhole finds the offers to rent for a whole demand, one entry a machine,
// where that costs least; none if there is room, or if not all of it can be had:
// half of it would help nobody.
func (p *packer) rentsForWhole(d *Demand) []int {
	var best []int
	bestCost, found := 0.0, false
	for _, z := range zonesForWhole(d, p.bins, p.offers) {
		rents, cost, ok := p.rentsIn(z, d)
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = rents, cost, true
		}
	}
	return best
}

// rentsIn finds the offers of a zone ("": of any) to rent for what of a whole
// demand has no room there.
func (p *packer) rentsIn(z wire.Zone, d *Demand) (rents []int, cost float64, ok bool) {
	units := newPlacedUnits(d)
	placeWhole(units, p.bins, z, func(*bin, int) {})
	taken := map[int]int{}
	for units.left > 0 && len(p.rentals)+len(rents) < p.s.MaxScaleOuts {
		pick, n := p.cheapestWhole(z, units, taken)
		if pick < 0 {
			break
		}
		o := &p.offers[pick]
		taken[pick]++
		rents = append(rents, pick)
		units.place(o.Zone, n)
		cost += o.Price
	}
	// The price counts for all of it: its last unit alone is dear on any machine.
	if units.left > 0 || p.tooDear(d, cost/float64(d.Units)) {
		return nil, 0, false
	}
	return rents, cost, true
}

// cheapestWhole is the offer that is cheapest for a unit of what is left of a
// whole demand, and how many units its machine takes; -1 if there is none.
func (p *packer) cheapestWhole(z wire.Zone, units *placedUnits, taken map[int]int) (pick, pickUnits int) {
	take := placement.ResourcesOf(units.d.Spec)
	pick, pickCost := -1, 0.0
	for i := range p.offers {
		o := &p.offers[i]
		n := units.most(o.Zone, take.Units(o.Total))
		if z != "" && o.Zone != z || o.Room <= taken[i] || n <= 0 || !o.serves(units.d.Spec) {
			continue
		}
		if cost := o.Price / float64(n); pick < 0 || cost < pickCost {
			pick, pickUnits, pickCost = i, n, cost
		}
	}
	return pick, pickUnits
}

// fillWhole takes the room of a whole demand, in the first zone where all of it is
// found.
func fillWhole(d *Demand, bins []bin) {
	take := placement.ResourcesOf(d.Spec)
	for _, z := range zonesForWhole(d, bins, nil) {
		units := newPlacedUnits(d)
		placeWhole(units, bins, z, func(*bin, int) {})
		if units.left > 0 {
			continue
		}
		placeWhole(newPlacedUnits(d), bins, z, func(b *bin, n int) {
			b.free = b.free.Minus(take.Times(float64(n)))
			b.used = true
		})
		return
	}
}
