package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/rentals"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// planFleet rents for what can't be placed and returns what is not needed.
func (t *term) planFleet(now time.Time) {
	flavors := t.l.Flavors.Get()
	if !t.recovered || !t.placing || !t.listReceived || !t.lease.Deciding() || flavors == nil || t.rentals.Paused(now) {
		return
	}
	// What an earlier leader rented last is not listed yet.
	lag := t.settings.Cloud.ListLagS.Duration()
	v := t.l.Tuning.Get()
	s := &fleet.Snapshot{MaxRents: maxRentsPerPlan, DearLimit: v.DearLimit,
		Cheapest: func(spec *wire.Spec) float64 { return cheapest(flavors, spec) }}
	var order []*machine
	for _, m := range t.machines {
		if m.releasing || m.drainReason != "" || m.machineType == "" {
			continue
		}
		order = append(order, m)
	}
	slices.SortFunc(order, func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	for _, m := range order {
		f := t.machineSpec(m.machineType)
		if f == nil {
			continue
		}
		fm := fleet.Machine{ID: m.id, Kit: m.machineType, Zone: m.zone, Spot: m.spot, Total: t.total(m), Free: t.free(m), Booting: m.booting,
			PaidS: 60 - now.Sub(m.rentedAt).Seconds(), Price: f.Price(m.spot), KeepS: v.KeepBoots * float64(f.BootTime)}
		if m.booting && now.Sub(m.rentedAt) > f.BootTime.Duration()*2 {
			continue // not to be counted on
		}
		if !m.booting && t.silence(m, now) > 3*reportInterval(t) || t.behindPartition(m, now) || t.outboundLost(m, now) {
			continue
		}
		for _, a := range m.tasks {
			if a.job.spec.Service() {
				fm.Services++
				continue
			}
			in := a.job.expected()
			if !a.runningSince.IsZero() {
				in -= now.Sub(a.runningSince).Seconds()
			}
			res := a.res()
			fm.Soon = append(fm.Soon, fleet.Soon{InS: max(in, 1), Room: res})
			if res.CPUs > fm.Unit.CPUs {
				fm.Unit = res
			}
		}
		slices.SortFunc(fm.Soon, func(a, b fleet.Soon) int { return cmp.Compare(a.InS, b.InS) })
		if !m.booting && len(m.tasks) == 0 && len(m.orphans) == 0 {
			fm.Idle, fm.IdleS = true, now.Sub(latest(m.usedAt, m.upAt)).Seconds()
		}
		s.Machines = append(s.Machines, fm)
	}
	for _, b := range t.rentals.Bookings() {
		if f := t.machineSpec(b.Type); f != nil {
			total := placementRes(f)
			for range b.Count {
				s.Machines = append(s.Machines, fleet.Machine{Kit: b.Type, Zone: b.Zone, Spot: b.Spot, Total: total, Free: total, Booting: true, Price: f.Price(b.Spot)})
			}
		}
	}
	if now.Sub(t.startedAt) > lag+time.Second {
		s.Offers = t.offers(flavors, now)
	}
	s.Demands = t.demands(now, v.StretchShare, v.SpareUnits)
	s.Demands = append(s.Demands, t.gangReserves(v.SpareGangs, now)...)
	plan := fleet.Make(s)
	for _, r := range plan.Rents {
		for left := r.Count; left > 0; left -= rentals.MaxBooking {
			r.Count = min(left, rentals.MaxBooking)
			t.rent(r)
		}
	}
	for _, m := range order {
		m.cordoned = false
	}
	for _, id := range plan.Cordons {
		t.machines[id].cordoned = true
	}
	for _, id := range plan.Releases {
		if m := t.machines[id]; m != nil && len(m.tasks) == 0 {
			t.release(m, "idle")
		}
	}
}

// cheapest is the lowest price of room for one task of the job.
func cheapest(flavors []wire.MachineSpec, s *wire.Spec) float64 {
	best := math.Inf(1)
	for i := range flavors {
		f := &flavors[i]
		if !f.Fits(s) {
			continue
		}
		n := placement.Of(s).Units(placementRes(f))
		best = min(best, f.OnDemandPrice/float64(n))
		if s.SpotAllowed {
			best = min(best, f.SpotPrice/float64(n))
		}
	}
	return best
}
