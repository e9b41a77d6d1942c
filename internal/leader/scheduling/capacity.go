package scheduling

import (
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

const (
	// maxOffer is the most machines that one plan requests of an offer: two requests.
	maxOffer = 2 * scaling.MaxScaleOut
	// maxScaleOutsPerPlan bounds the machines that one plan requests: a few seconds' worth
	// of calls.
	maxScaleOutsPerPlan = 8 * scaling.MaxScaleOut
)

// CapacityPlanner plans which machines to scale out and in.
type CapacityPlanner struct {
	state   *cluster.State
	tuning  *tuning.Current
	tracker *scaling.Tracker
	demands *DemandEstimator
}

// CapacityPlan is what to scale out and in, with the machines that were considered.
type CapacityPlan struct {
	fleet.Plan
	candidates []*cluster.Machine
}

// planInput is what a plan is made for.
type planInput struct {
	candidates  []*cluster.Machine
	specs       []wire.MachineSpec
	mayScaleOut bool
	now         time.Time
}

// PlanCapacity plans which machines to scale out and in, and which to cordon so that they
// become empty.
func (p *CapacityPlanner) PlanCapacity(specs []wire.MachineSpec, mayScaleOut bool, now time.Time) CapacityPlan {
	input := planInput{candidates: p.planCandidates(), specs: specs, mayScaleOut: mayScaleOut, now: now}
	plan := fleet.MakePlan(p.fleetSnapshot(input))
	return CapacityPlan{Plan: plan, candidates: input.candidates}
}

// ApplyCordons cordons the machines that the plan names, and uncordons all others that were
// considered.
func (p *CapacityPlanner) ApplyCordons(plan CapacityPlan) {
	for _, machine := range plan.candidates {
		machine.Cordoned = false
	}
	for _, id := range plan.Cordons {
		p.state.Machines[id].Cordoned = true
	}
}

// planCandidates returns the machines that a plan may use or scale in, sorted by name.
func (p *CapacityPlanner) planCandidates() []*cluster.Machine {
	var candidates []*cluster.Machine
	for _, machine := range p.state.Machines {
		if !machine.ScalingIn && machine.DrainReason == "" && machine.MachineType != "" {
			candidates = append(candidates, machine)
		}
	}
	sortByID(candidates)
	return candidates
}

// fleetSnapshot returns what a plan is made from.
func (p *CapacityPlanner) fleetSnapshot(input planInput) *fleet.Snapshot {
	values := p.tuning.Get()
	snapshot := &fleet.Snapshot{
		MaxScaleOuts: maxScaleOutsPerPlan,
		PriceLimit:   values.PriceLimit,
		Cheapest:     func(job *wire.JobSpec) float64 { return cheapestUnit(input.specs, job) },
	}
	for _, machine := range input.candidates {
		spec := p.state.MachineSpec(machine.MachineType)
		if spec != nil && p.dependable(machine, spec, input.now) {
			snapshot.Machines = append(snapshot.Machines, p.planMachine(machine, spec, values.IdleBoots, input.now))
		}
	}
	snapshot.Machines = p.appendPending(snapshot.Machines)
	if input.mayScaleOut && p.earlierRequestsListed(input.now) {
		snapshot.Offers = p.Offers(input.specs, input.now)
	}
	snapshot.Demands = p.demands.Demands(input.now, values.StretchShare, values.SpareUnits)
	snapshot.Demands = append(snapshot.Demands, p.demands.GangReserves(values.SpareGangs, input.now)...)
	return snapshot
}

// listLagMargin is added to the lag of machine lists, for the time that a list takes.
const listLagMargin = time.Second

// earlierRequestsListed reports whether a machine list shows the machines that an earlier
// leader requested last. Before that they would be requested once more.
func (p *CapacityPlanner) earlierRequestsListed(now time.Time) bool {
	return now.Sub(p.state.TermStartedAt) > p.state.Settings.Cloud.ListLag.Duration()+listLagMargin
}
