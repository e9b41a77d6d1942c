package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

const (
	// maxOffer is what one plan asks of an offer at most: two requests.
	maxOffer = 2 * scaling.MaxScaleOut
	// maxScaleOutsPerPlan bounds one plan's scale-outs: some seconds' worth of calls.
	maxScaleOutsPerPlan = 8 * scaling.MaxScaleOut
	// maxBoots is for how many boot times a machine that has not reported is
	// counted on.
	maxBoots = 2
	// maxMissedHeartbeats is for how many report intervals one may be silent.
	maxMissedHeartbeats = 3
	// billedUpfrontS is for how many seconds every machine is paid from its start.
	billedUpfrontS = 60
)

// capacityPlan is what to scale out and in, with the machines that were considered.
type capacityPlan struct {
	fleet.Plan
	candidates []*machine
}

// planCapacity plans which machines to scale out and in, and which to cordon so that
// they empty.
func (sc *scheduler) planCapacity(specs []wire.MachineSpec, mayScaleOut bool, now time.Time) capacityPlan {
	candidates := sc.planCandidates()
	return capacityPlan{fleet.MakePlan(sc.fleetSnapshot(candidates, specs, mayScaleOut, now)), candidates}
}

// applyCordons cordons the machines that the plan names, and no others.
func (sc *scheduler) applyCordons(plan capacityPlan) {
	for _, m := range plan.candidates {
		m.cordoned = false
	}
	for _, id := range plan.Cordons {
		sc.state.machines[id].cordoned = true
	}
}

// planCandidates are the machines that a plan may use or return, in a steady order.
func (sc *scheduler) planCandidates() []*machine {
	var out []*machine
	for _, m := range sc.state.machines {
		if !m.scalingIn && m.drainReason == "" && m.machineType != "" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	return out
}

// fleetSnapshot is what a plan is made from.
func (sc *scheduler) fleetSnapshot(candidates []*machine, specs []wire.MachineSpec, mayScaleOut bool, now time.Time) *fleet.Snapshot {
	v := sc.tuning.Get()
	s := &fleet.Snapshot{MaxScaleOuts: maxScaleOutsPerPlan, PriceLimit: v.PriceLimit,
		Cheapest: func(spec *wire.JobSpec) float64 { return cheapest(specs, spec) }}
	for _, m := range candidates {
		spec := sc.state.machineSpec(m.machineType)
		if spec != nil && sc.countedOn(m, spec, now) {
			s.Machines = append(s.Machines, sc.planMachine(m, spec, v.IdleBoots, now))
		}
	}
	s.Machines = sc.appendBooked(s.Machines)
	// What an earlier leader rented last is not listed yet.
	if mayScaleOut && now.Sub(sc.state.termStartedAt) > sc.state.settings.Cloud.ListLag.Duration()+time.Second {
		s.Offers = sc.offers(specs, now)
	}
	s.Demands = sc.demands(now, v.StretchShare, v.SpareUnits)
	s.Demands = append(s.Demands, sc.gangReserves(v.SpareGangs, now)...)
	return s
}

// countedOn tells whether a machine's room may be counted on.
func (sc *scheduler) countedOn(m *machine, spec *wire.MachineSpec, now time.Time) bool {
	if m.booting && now.Sub(m.requestedAt) > spec.BootTime.Duration()*maxBoots {
		return false
	}
	if !m.booting && sc.state.sinceLastMessage(m, now) > maxMissedHeartbeats*sc.state.heartbeatInterval() {
		return false
	}
	return !sc.state.behindPartition(m, now) && !sc.state.outboundLost(m, now)
}

// planMachine is a machine as the plan sees it.
func (sc *scheduler) planMachine(m *machine, spec *wire.MachineSpec, keepBoots float64, now time.Time) fleet.Machine {
	out := fleet.Machine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: sc.state.totalResources(m), Free: sc.state.freeResources(m), Booting: m.booting,
		PaidS: billedUpfrontS - now.Sub(m.requestedAt).Seconds(), Price: spec.Price(m.spot), KeepS: keepBoots * float64(spec.BootTime)}
	for _, a := range m.tasks {
		if a.job.spec.Service() {
			out.Services++
			continue
		}
		res := a.resources()
		out.Freeing = append(out.Freeing, fleet.Freeing{InS: a.plannedRemainingSeconds(now), Room: res})
		if res.CPUs > out.Unit.CPUs {
			out.Unit = res
		}
	}
	slices.SortFunc(out.Freeing, func(a, b fleet.Freeing) int { return cmp.Compare(a.InS, b.InS) })
	if !m.booting && len(m.tasks) == 0 && len(m.orphanTasks) == 0 {
		out.Idle, out.IdleS = true, now.Sub(latest(m.lastUsedAt, m.firstHeartbeatAt)).Seconds()
	}
	return out
}

// appendBooked adds the machines of bookings that are not yet answered.
func (sc *scheduler) appendBooked(out []fleet.Machine) []fleet.Machine {
	for _, b := range sc.scaling.PendingScaleOuts() {
		spec := sc.state.machineSpec(b.Type)
		if spec == nil {
			continue
		}
		total := machineResources(spec)
		for range b.Count {
			out = append(out, fleet.Machine{Type: b.Type, Zone: b.Zone, Spot: b.Spot, Total: total, Free: total, Booting: true, Price: spec.Price(b.Spot)})
		}
	}
	return out
}

// cheapest is the lowest price of room for one task of the job.
func cheapest(types []wire.MachineSpec, s *wire.JobSpec) float64 {
	best := math.Inf(1)
	for i := range types {
		f := &types[i]
		if !f.Fits(s) {
			continue
		}
		n := placement.ResourcesOf(s).Units(machineResources(f))
		best = min(best, f.OnDemandPrice/float64(n))
		if s.SpotAllowed {
			best = min(best, f.SpotPrice/float64(n))
		}
	}
	return best
}

// offers are what may be booked now.
func (sc *scheduler) offers(specs []wire.MachineSpec, now time.Time) []fleet.Offer {
	var out []fleet.Offer
	for i := range specs {
		spec := &specs[i]
		for _, zone := range spec.Zones {
			if sc.state.partitioned(zone, now) {
				continue // what is rented there could not report
			}
			for _, spot := range []bool{false, true} {
				if sc.scaling.Available(scaling.Offer{Type: spec.Name, Zone: zone, Spot: spot}, now) {
					out = append(out, fleet.Offer{Type: spec.Name, Zone: zone, Spot: spot, Total: machineResources(spec),
						Price: spec.Price(spot), FetchGBPerS: spec.FetchGBPerS, Room: maxOffer})
				}
			}
		}
	}
	return out
}
