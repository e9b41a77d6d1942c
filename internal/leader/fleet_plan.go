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

// planFleet rents for what can't be placed and returns what is not needed.
func (t *term) planFleet(now time.Time) {
	specs := t.leader.Catalog.Get()
	t.recordScaleOuts(now)
	t.clearScaleIns(now)
	if !t.recovered || !t.schedulingEnabled || !t.machineListReceived || !t.lease.Deciding() || specs == nil || t.scaling.Paused(now) {
		return
	}
	candidates := t.planCandidates()
	plan := fleet.MakePlan(t.fleetSnapshot(candidates, specs, now))
	for _, r := range plan.ScaleOuts {
		for left := r.Count; left > 0; left -= scaling.MaxScaleOut {
			r.Count = min(left, scaling.MaxScaleOut)
			t.requestScaleOut(r)
		}
	}
	t.recordScaleOuts(now)
	for _, m := range candidates {
		m.cordoned = false
	}
	for _, id := range plan.Cordons {
		t.state.machines[id].cordoned = true
	}
	for _, id := range plan.ScaleIns {
		if m := t.state.machines[id]; m != nil && len(m.tasks) == 0 {
			t.scaleIn(m, drainIdle)
		}
	}
}

// planCandidates are the machines that a plan may use or return, in a steady order.
func (t *term) planCandidates() []*machine {
	var out []*machine
	for _, m := range t.state.machines {
		if !m.scalingIn && m.drainReason == "" && m.machineType != "" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	return out
}

// fleetSnapshot is what a plan is made from.
func (t *term) fleetSnapshot(candidates []*machine, specs []wire.MachineSpec, now time.Time) *fleet.Snapshot {
	v := t.leader.Tuning.Get()
	s := &fleet.Snapshot{MaxScaleOuts: maxScaleOutsPerPlan, PriceLimit: v.PriceLimit,
		Cheapest: func(spec *wire.JobSpec) float64 { return cheapest(specs, spec) }}
	for _, m := range candidates {
		spec := t.state.machineSpec(m.machineType)
		if spec != nil && t.countedOn(m, spec, now) {
			s.Machines = append(s.Machines, t.planMachine(m, spec, v.IdleBoots, now))
		}
	}
	s.Machines = t.appendBooked(s.Machines)
	// What an earlier leader rented last is not listed yet.
	if t.mayScaleOut() && now.Sub(t.state.termStartedAt) > t.state.settings.Cloud.ListLag.Duration()+time.Second {
		s.Offers = t.offers(specs, now)
	}
	s.Demands = t.demands(now, v.StretchShare, v.SpareUnits)
	s.Demands = append(s.Demands, t.gangReserves(v.SpareGangs, now)...)
	return s
}

const (
	// maxBoots is for how many boot times a machine that has not reported is
	// counted on.
	maxBoots = 2
	// maxMissedHeartbeats is for how many report intervals one may be silent.
	maxMissedHeartbeats = 3
	// billedUpfrontS is for how many seconds every machine is paid from its start.
	billedUpfrontS = 60
)

// countedOn tells whether a machine's room may be counted on.
func (t *term) countedOn(m *machine, spec *wire.MachineSpec, now time.Time) bool {
	if m.booting && now.Sub(m.requestedAt) > spec.BootTime.Duration()*maxBoots {
		return false
	}
	if !m.booting && t.state.sinceLastMessage(m, now) > maxMissedHeartbeats*t.state.heartbeatInterval() {
		return false
	}
	return !t.state.behindPartition(m, now) && !t.state.outboundLost(m, now)
}

// planMachine is a machine as the plan sees it.
func (t *term) planMachine(m *machine, spec *wire.MachineSpec, keepBoots float64, now time.Time) fleet.Machine {
	out := fleet.Machine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: t.state.totalResources(m), Free: t.state.freeResources(m), Booting: m.booting,
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

// plannedRemainingSeconds is in how many seconds the attempt is expected to end, one at least.
func (a *attempt) plannedRemainingSeconds(now time.Time) float64 {
	in := a.job.expectedSeconds()
	if !a.runningSince.IsZero() {
		in -= now.Sub(a.runningSince).Seconds()
	}
	return max(in, 1)
}

// appendBooked adds the machines of bookings that are not yet answered.
func (t *term) appendBooked(out []fleet.Machine) []fleet.Machine {
	for _, b := range t.scaling.PendingScaleOuts() {
		spec := t.state.machineSpec(b.Type)
		if spec == nil {
			continue
		}
		total := placementRes(spec)
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
		n := placement.ResourcesOf(s).Units(placementRes(f))
		best = min(best, f.OnDemandPrice/float64(n))
		if s.SpotAllowed {
			best = min(best, f.SpotPrice/float64(n))
		}
	}
	return best
}
