package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
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
	candidates []*cluster.Machine
}

// PlanCapacity plans which machines to scale out and in, and which to cordon so that
// they empty.
func (sc *Scheduler) PlanCapacity(specs []wire.MachineSpec, mayScaleOut bool, now time.Time) capacityPlan {
	candidates := sc.planCandidates()
	return capacityPlan{fleet.MakePlan(sc.fleetSnapshot(candidates, specs, mayScaleOut, now)), candidates}
}

// ApplyCordons cordons the machines that the plan names, and no others.
func (sc *Scheduler) ApplyCordons(plan capacityPlan) {
	for _, m := range plan.candidates {
		m.Cordoned = false
	}
	for _, id := range plan.Cordons {
		sc.state.Machines[id].Cordoned = true
	}
}

// planCandidates are the machines that a plan may use or return, in a steady order.
func (sc *Scheduler) planCandidates() []*cluster.Machine {
	var out []*cluster.Machine
	for _, m := range sc.state.Machines {
		if !m.ScalingIn && m.DrainReason == "" && m.MachineType != "" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// fleetSnapshot is what a plan is made from.
func (sc *Scheduler) fleetSnapshot(candidates []*cluster.Machine, specs []wire.MachineSpec, mayScaleOut bool, now time.Time) *fleet.Snapshot {
	v := sc.tuning.Get()
	s := &fleet.Snapshot{MaxScaleOuts: maxScaleOutsPerPlan, PriceLimit: v.PriceLimit,
		Cheapest: func(spec *wire.JobSpec) float64 { return cheapest(specs, spec) }}
	for _, m := range candidates {
		spec := sc.state.MachineSpec(m.MachineType)
		if spec != nil && sc.countedOn(m, spec, now) {
			s.Machines = append(s.Machines, sc.planMachine(m, spec, v.IdleBoots, now))
		}
	}
	s.Machines = sc.appendBooked(s.Machines)
	// What an earlier leader rented last is not listed yet.
	if mayScaleOut && now.Sub(sc.state.TermStartedAt) > sc.state.Settings.Cloud.ListLag.Duration()+time.Second {
		s.Offers = sc.Offers(specs, now)
	}
	s.Demands = sc.Demands(now, v.StretchShare, v.SpareUnits)
	s.Demands = append(s.Demands, sc.GangReserves(v.SpareGangs, now)...)
	return s
}

// countedOn tells whether a machine's room may be counted on.
func (sc *Scheduler) countedOn(m *cluster.Machine, spec *wire.MachineSpec, now time.Time) bool {
	if m.Booting && now.Sub(m.RequestedAt) > spec.BootTime.Duration()*maxBoots {
		return false
	}
	if !m.Booting && sc.state.SinceLastMessage(m, now) > maxMissedHeartbeats*sc.state.HeartbeatInterval() {
		return false
	}
	return !sc.state.BehindPartition(m, now) && !sc.state.OutboundLost(m, now)
}

// planMachine is a machine as the plan sees it.
func (sc *Scheduler) planMachine(m *cluster.Machine, spec *wire.MachineSpec, keepBoots float64, now time.Time) fleet.Machine {
	out := fleet.Machine{ID: m.ID, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Total: sc.state.TotalResources(m), Free: sc.state.FreeResources(m), Booting: m.Booting,
		PaidS: billedUpfrontS - now.Sub(m.RequestedAt).Seconds(), Price: spec.Price(m.Spot), KeepS: keepBoots * float64(spec.BootTime)}
	for _, a := range m.Tasks {
		if a.Job.Spec.Service() {
			out.Services++
			continue
		}
		res := a.Resources()
		out.Freeing = append(out.Freeing, fleet.Freeing{InS: a.PlannedRemainingSeconds(now), Room: res})
		if res.CPUs > out.Unit.CPUs {
			out.Unit = res
		}
	}
	slices.SortFunc(out.Freeing, func(a, b fleet.Freeing) int { return cmp.Compare(a.InS, b.InS) })
	if !m.Booting && len(m.Tasks) == 0 && len(m.OrphanTasks) == 0 {
		out.Idle, out.IdleS = true, now.Sub(cluster.Latest(m.LastUsedAt, m.FirstHeartbeatAt)).Seconds()
	}
	return out
}

// appendBooked adds the machines of bookings that are not yet answered.
func (sc *Scheduler) appendBooked(out []fleet.Machine) []fleet.Machine {
	for _, b := range sc.scaling.PendingScaleOuts() {
		spec := sc.state.MachineSpec(b.Type)
		if spec == nil {
			continue
		}
		total := cluster.MachineResources(spec)
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
		n := placement.ResourcesOf(s).Units(cluster.MachineResources(f))
		best = min(best, f.OnDemandPrice/float64(n))
		if s.SpotAllowed {
			best = min(best, f.SpotPrice/float64(n))
		}
	}
	return best
}

// Offers are what may be booked now.
func (sc *Scheduler) Offers(specs []wire.MachineSpec, now time.Time) []fleet.Offer {
	var out []fleet.Offer
	for i := range specs {
		spec := &specs[i]
		for _, zone := range spec.Zones {
			if sc.state.Partitioned(zone, now) {
				continue // what is rented there could not report
			}
			for _, spot := range []bool{false, true} {
				if sc.scaling.Available(scaling.Offer{Type: spec.Name, Zone: zone, Spot: spot}, now) {
					out = append(out, fleet.Offer{Type: spec.Name, Zone: zone, Spot: spot, Total: cluster.MachineResources(spec),
						Price: spec.Price(spot), FetchGBPerS: spec.FetchGBPerS, Room: maxOffer})
				}
			}
		}
	}
	return out
}
