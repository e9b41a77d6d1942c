// Package fleet decides which machines to rent and which to return: from a
// snapshot of demand, machines and offers to bookings and releases. It is
// pure; it knows no clock and does no I/O.
package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Offer is a type, zone and kind that may be rented now.
type Offer struct {
	Kit   wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Total placement.Res
	Price float64 // per hour, now
	// PullRate in GB a second.
	PullRate float64
	// Room is how many more may be asked for at once.
	Room int
}

// Machine that we have, or that is on its way.
type Machine struct {
	ID   wire.MachineID
	Kit  wire.MachineType
	Zone wire.Zone
	Spot bool
	// Free room; of a machine that still boots, all of it.
	Free, Total placement.Res
	Booting     bool
	// Idle: up, with nothing on it for IdleS.
	Idle  bool
	IdleS float64
	// KeepS is how long it is kept with nothing to do.
	KeepS float64
	// PaidS is how much longer it is paid for whatever we do.
	PaidS float64
	Price float64
	// Services on it.
	Services int
	// Soon is room that tasks of arrays there are expected to free.
	Soon []Soon
	// Unit is the largest task of an array there.
	Unit placement.Res
}

// Soon is room that is expected to be free in a while.
type Soon struct {
	InS  float64
	Room placement.Res
}

// Demand is a number of equal units that should run at the same time.
type Demand struct {
	Spec  *wire.Spec
	Units int
	// Rank orders demands, the highest first.
	Rank float64
	// ZoneLeft is how many units each zone may still take; nil: any number.
	ZoneLeft map[wire.Zone]int
	// SlackS is how long the units may wait for room and still be in time.
	SlackS float64
	// Whole: all of the units or none, in one zone if the job wants that.
	Whole bool
	// Dear stretches the limit on the price; 0 leaves it as it is.
	Dear float64
}

// Snapshot is all that a plan looks at.
type Snapshot struct {
	Machines []Machine
	Offers   []Offer
	Demands  []Demand
	// DearLimit is how many times the cheapest price that the types have for
	// a unit may be paid for a unit of an array.
	DearLimit float64
	// Cheapest is the lowest nominal price of a unit's worth of any type,
	// spot or not as the job allows; nil: no limit.
	Cheapest func(*wire.Spec) float64
	// MaxRents bounds the machines rented by one plan.
	MaxRents int
}

// Rent asks for machines of one offer.
type Rent struct {
	Kit   wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Count int
	For   wire.JobID
}

// Plan is what to do.
type Plan struct {
	Rents    []Rent
	Releases []wire.MachineID
	// Cordons are machines that should take tasks only when no other can:
	// what runs there would fit on the others, so that they can be returned.
	Cordons []wire.MachineID
}

type bin struct {
	kit      wire.MachineType
	zone     wire.Zone
	spot     bool
	free     placement.Res
	services bool
	used     bool
	soon     []Soon
}

func (b *bin) allowed(s *wire.Spec) bool {
	m := placement.Machine{Kit: b.kit, Zone: b.zone, Spot: b.spot}
	return placement.Allowed(s, &m)
}

// Make computes a plan: demands are packed into the room there is, the rest
// into the offers that are cheapest per unit that they would really hold,
// and what stays idle after that is returned.
func Make(s *Snapshot) Plan {
	bins := make([]bin, len(s.Machines))
	for i, m := range s.Machines {
		bins[i] = bin{m.Kit, m.Zone, m.Spot, m.Free, m.Services > 0, !m.Idle && !m.Booting, slices.Clone(m.Soon)}
	}
	offers := slices.Clone(s.Offers)
	demands := slices.Clone(s.Demands)
	slices.SortStableFunc(demands, func(a, b Demand) int { return cmp.Compare(b.Rank, a.Rank) })
	type want struct {
		offer int
		id    wire.JobID
	}
	var wants []want
	var order []int // a buffer for the bins that a demand may use
	inZone := map[wire.Zone]int{}
	for i := range bins {
		inZone[bins[i].zone]++
	}
	kinds, alike := make([]kind, len(demands)), map[kind]int{} // units that are still to come
	for i := range demands {
		kinds[i] = kindOf(&demands[i])
		alike[kinds[i]] += demands[i].Units
	}
	for di := range demands {
		d := &demands[di]
		take := placement.Of(d.Spec)
		left := d.Units
		alike[kinds[di]] -= left
		if d.Whole {
			for _, i := range gather(s, d, bins, offers, len(wants)) {
				wants = append(wants, want{i, d.Spec.ID})
				o := &offers[i]
				o.Room--
				inZone[o.Zone]++
				b := bin{kit: o.Kit, zone: o.Zone, spot: o.Spot, free: o.Total, used: true}
				bins = append(bins, b)
			}
			fillWhole(d, bins)
			continue
		}
		zone := func(z wire.Zone, n int) int {
			if d.ZoneLeft != nil {
				n = min(n, d.ZoneLeft[z])
			}
			return n
		}
		settle := func(b *bin) {
			n := zone(b.zone, min(left, take.Units(b.free)))
			if n <= 0 || !b.allowed(d.Spec) {
				return
			}
			b.free = b.free.Minus(take.Times(float64(n)))
			b.used = true
			b.services = b.services || d.Spec.Service()
			left -= n
			if d.ZoneLeft != nil {
				d.ZoneLeft[b.zone] -= n
			}
		}
		order = order[:0]
		for i := range bins {
			if take.Fits(bins[i].free) && bins[i].allowed(d.Spec) {
				order = append(order, i)
			}
		}
		// Fill what is in use before what stands idle, the cheap before the
		// dear, the fuller before the emptier.
		slices.SortStableFunc(order, func(x, y int) int {
			a, b := &bins[x], &bins[y]
			if d.Spec.Service() && a.services != b.services {
				if a.services {
					return -1
				}
				return 1
			}
			if a.used != b.used {
				if a.used {
					return -1
				}
				return 1
			}
			if a.spot != b.spot {
				if a.spot {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.free.CPUs, b.free.CPUs)
		})
		for _, i := range order {
			if left == 0 {
				break
			}
			settle(&bins[i])
		}
		if !d.Spec.Service() {
			left -= waitFor(bins, d, take, left)
		}
		for left > 0 && len(wants) < s.MaxRents {
			best, bestCost, bestRank := -1, 0.0, 0.0
			for i := range offers {
				o := &offers[i]
				b := bin{kit: o.Kit, zone: o.Zone, spot: o.Spot}
				n := zone(o.Zone, min(left, take.Units(o.Total)))
				if o.Room <= 0 || n <= 0 || !b.allowed(d.Spec) || d.Spec.ImageGB > 0 && o.PullRate <= 0 {
					continue
				}
				if kinds[di].spreads {
					// What waits beside it will share the machine and its price.
					n = min(n+alike[kinds[di]], take.Units(o.Total))
				}
				cost := o.Price / float64(n)
				// Prefer the zone that has fewer machines, so that a zone's
				// loss takes less with it. That orders the offers only: it once
				// made all zones of a large deployment too dear.
				rank := cost * (1 + 0.4*float64(inZone[o.Zone])/float64(len(bins)+20))
				if best < 0 || rank < bestRank {
					best, bestCost, bestRank = i, cost, rank
				}
			}
			if best < 0 {
				break
			}
			if !d.Spec.Service() && s.Cheapest != nil && bestCost > s.DearLimit*max(1, d.Dear)*s.Cheapest(d.Spec) {
				break // it is better late than at that price
			}
			o := &offers[best]
			o.Room--
			wants = append(wants, want{best, d.Spec.ID})
			bins = append(bins, bin{kit: o.Kit, zone: o.Zone, spot: o.Spot, free: o.Total})
			inZone[o.Zone]++
			settle(&bins[len(bins)-1])
		}
	}
	var plan Plan
	for _, w := range wants {
		o := &offers[w.offer]
		at := slices.IndexFunc(plan.Rents, func(r Rent) bool { return r.Kit == o.Kit && r.Zone == o.Zone && r.Spot == o.Spot })
		if at < 0 {
			plan.Rents = append(plan.Rents, Rent{o.Kit, o.Zone, o.Spot, 0, w.id})
			at = len(plan.Rents) - 1
		}
		plan.Rents[at].Count++
	}
	for i, m := range s.Machines {
		if m.Idle && !bins[i].used && m.IdleS >= m.KeepS && m.PaidS <= 0 {
			plan.Releases = append(plan.Releases, m.ID)
		}
	}
	if len(plan.Rents) == 0 {
		plan.Cordons = cordon(s, bins)
	}
	return plan
}

// kind of a unit: what takes the same room on the same machines.
type kind struct {
	take    placement.Res
	kits    string
	site    wire.Zone
	standby bool
	spreads bool // an array that may be in any zones
}

func kindOf(d *Demand) kind {
	k := kind{take: placement.Of(d.Spec), site: d.Spec.Zone, standby: d.Spec.SpotAllowed, spreads: !d.Spec.Service() && d.ZoneLeft == nil}
	for _, t := range d.Spec.MachineTypes {
		k.kits += string(t) + " "
	}
	return k
}

// oneZone lists the zones that a whole demand may be packed into, "" for all
// together.
func oneZone(d *Demand, bins []bin, offers []Offer) []wire.Zone {
	if !d.Spec.SameZone {
		return []wire.Zone{""}
	}
	var out []wire.Zone
	add := func(z wire.Zone) {
		if !slices.Contains(out, z) && (d.ZoneLeft == nil || d.ZoneLeft[z] >= d.Units) && (d.Spec.Zone == "" || d.Spec.Zone == z) {
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

// soonFree is the room in a bin that is free, or will be in time.
func (b *bin) soonFree(slack float64) placement.Res {
	free := b.free
	for _, f := range b.soon {
		if f.InS <= slack {
			free = free.Plus(f.Room)
		}
	}
	return free
}

// zoneRoom is how many more units a zone may take of a whole demand.
func (d *Demand) zoneRoom(z wire.Zone, used map[wire.Zone]int) int {
	if d.ZoneLeft == nil {
		return d.Units
	}
	return d.ZoneLeft[z] - used[z]
}

// missing is how many units of a whole demand find no room in a zone ("": in any)
// within the demand's slack.
func missing(d *Demand, bins []bin, z wire.Zone, used map[wire.Zone]int) int {
	take, left := placement.Of(d.Spec), d.Units
	for i := range bins {
		b := &bins[i]
		if left == 0 {
			break
		}
		if z != "" && b.zone != z || !b.allowed(d.Spec) {
			continue
		}
		n := min(left, take.Units(b.soonFree(d.SlackS)), d.zoneRoom(b.zone, used))
		if n > 0 {
			left -= n
			used[b.zone] += n
		}
	}
	return left
}

// gather finds the offers to rent for a whole demand, one entry a machine, where
// that costs least; none if there is room, or if not all of it can be had: half
// of it would help nobody.
func gather(s *Snapshot, d *Demand, bins []bin, offers []Offer, wants int) []int {
	take := placement.Of(d.Spec)
	var best []int
	bestCost, found := 0.0, false
	for _, z := range oneZone(d, bins, offers) {
		used := map[wire.Zone]int{}
		left, cost := missing(d, bins, z, used), 0.0
		var rents []int
		taken := map[int]int{}
		for left > 0 {
			pick, pickCost := -1, 0.0
			for i := range offers {
				o := &offers[i]
				b := bin{kit: o.Kit, zone: o.Zone, spot: o.Spot}
				n := min(left, take.Units(o.Total), d.zoneRoom(o.Zone, used))
				if z != "" && o.Zone != z || o.Room-taken[i] <= 0 || n <= 0 || !b.allowed(d.Spec) || d.Spec.ImageGB > 0 && o.PullRate <= 0 {
					continue
				}
				if c := o.Price / float64(n); pick < 0 || c < pickCost {
					pick, pickCost = i, c
				}
			}
			if pick < 0 || wants+len(rents) >= s.MaxRents {
				break
			}
			o := &offers[pick]
			n := min(left, take.Units(o.Total), d.zoneRoom(o.Zone, used))
			taken[pick]++
			rents = append(rents, pick)
			used[o.Zone] += n
			left -= n
			cost += o.Price
		}
		// The price counts for all of it: its last unit alone is dear on any machine.
		if s.Cheapest != nil && cost/float64(d.Units) > s.DearLimit*max(1, d.Dear)*s.Cheapest(d.Spec) {
			continue
		}
		if left == 0 && (!found || cost < bestCost) {
			best, bestCost, found = rents, cost, true
		}
	}
	return best
}

// fillWhole takes the room of a whole demand, where all of it is found.
func fillWhole(d *Demand, bins []bin) {
	take := placement.Of(d.Spec)
	for _, z := range oneZone(d, bins, nil) {
		if missing(d, bins, z, map[wire.Zone]int{}) > 0 {
			continue
		}
		left, used := d.Units, map[wire.Zone]int{}
		for i := range bins {
			b := &bins[i]
			if left == 0 {
				return
			}
			if z != "" && b.zone != z || !b.allowed(d.Spec) {
				continue
			}
			n := min(left, take.Units(b.soonFree(d.SlackS)), d.zoneRoom(b.zone, used))
			if n <= 0 {
				continue
			}
			b.free, b.used = b.free.Minus(take.Times(float64(n))), true
			left -= n
			used[b.zone] += n
		}
		return
	}
}

// waitFor counts the units that room which running tasks will free in time
// can take, and takes it.
func waitFor(bins []bin, d *Demand, take placement.Res, left int) int {
	got := 0
	for i := range bins {
		b := &bins[i]
		if got == left {
			break
		}
		if len(b.soon) == 0 || b.soon[0].InS > d.SlackS || !b.allowed(d.Spec) {
			continue
		}
		// Neighbouring tasks of a machine may have to end together to make
		// room for a larger one.
		var sum placement.Res
		kept := b.soon[:0]
		for _, f := range b.soon {
			if f.InS > d.SlackS || got == left {
				kept = append(kept, f)
				continue
			}
			sum = sum.Plus(f.Room)
			if n := min(left-got, take.Units(sum)); n > 0 {
				got += n
				sum = placement.Res{}
			}
		}
		b.soon = kept
	}
	return got
}

// cordon picks machines whose load fits on the others, the most wasteful
// first.
func cordon(s *Snapshot, bins []bin) []wire.MachineID {
	type candidate struct {
		i     int
		waste float64
	}
	var cands []candidate
	for i, m := range s.Machines {
		if m.Booting || m.Services > 0 || m.Unit.CPUs <= 0 || m.Idle {
			continue
		}
		share := 1 - max(0, bins[i].free.CPUs)/max(1, m.Total.CPUs)
		if share < 0.6 {
			cands = append(cands, candidate{i, m.Price * (1 - share)})
		}
	}
	slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(b.waste, a.waste) })
	out := map[int]bool{}
	var ids []wire.MachineID
	taken := 0
	for _, c := range cands {
		m := &s.Machines[c.i]
		load := m.Total.Minus(bins[c.i].free)
		need := int(max(load.CPUs/m.Unit.CPUs, load.RAM/max(0.001, m.Unit.RAM)) + 0.999)
		room := 0
		for i := range s.Machines {
			if i == c.i || out[i] || s.Machines[i].Booting || s.Machines[i].Idle && !bins[i].used {
				continue
			}
			if s.Machines[i].Services > 0 && !s.Machines[i].Spot && bins[i].services && s.Machines[i].Unit.CPUs == 0 {
				continue // a services' machine is no place for arrays
			}
			room += m.Unit.Units(bins[i].free)
		}
		if room-taken > need {
			taken += need
			out[c.i] = true
			ids = append(ids, m.ID)
		}
	}
	return ids
}
