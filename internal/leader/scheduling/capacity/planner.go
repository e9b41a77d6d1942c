package capacity

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

const (
	// maxMachinesPerOffer bounds the machines of one offer that one plan requests, to those
	// of two requests.
	maxMachinesPerOffer = 2 * scaling.MaxScaleOut
	// maxMachinesPerPlan bounds the machines that one plan requests, to those that a few
	// seconds of calls to the cloud can request.
	maxMachinesPerPlan = 8 * scaling.MaxScaleOut
)

// Planner plans which machines to scale out and in.
type Planner struct {
	state     *cluster.State
	tracker   *scaling.Tracker
	estimator *Estimator
}

// NewPlanner returns the capacity planner of a cluster.
func NewPlanner(state *cluster.State, tracker *scaling.Tracker, estimator *Estimator) *Planner {
	return &Planner{state: state, tracker: tracker, estimator: estimator}
}

// Plan is what to scale out and in and what to cordon, with the machines that were considered.
type Plan struct {
	fleet.Plan
	// Holds are the jobs for which the plan requests no machines.
	Holds      Holds
	candidates []*cluster.Machine
}

// Input holds the parameters of one plan.
type Input struct {
	// Specs are the machine types that the cloud offers.
	Specs []wire.MachineSpec
	// MayScaleOut means that machines may be requested.
	MayScaleOut bool
	// ExpectedGangs are the gangs for which resources are kept.
	ExpectedGangs []*wire.JobSpec
	// Values are the tuning values that apply.
	Values tuning.Values
	// Now is the time of the plan.
	Now time.Time
}

// Plan plans which machines to scale out and in, and which to cordon so that they become
// empty.
func (p *Planner) Plan(input Input) Plan {
	candidates := p.candidates()
	plan := fleet.MakePlan(p.snapshot(candidates, input))
	p.estimator.Holds.addUnmet(plan.Unmet)
	return Plan{Plan: plan, Holds: p.estimator.Holds, candidates: candidates}
}

// ApplyCordons cordons the machines that the plan names, and uncordons all others that were
// considered.
func (p *Planner) ApplyCordons(plan Plan) {
	for _, machine := range plan.candidates {
		machine.Cordoned = false
	}
	for _, id := range plan.Cordons {
		p.state.Machines[id].Cordoned = true
	}
}

// candidates returns the machines that a plan may use or scale in, sorted by ID.
func (p *Planner) candidates() []*cluster.Machine {
	var candidates []*cluster.Machine
	for _, machine := range p.state.Machines {
		if !machine.ScalingIn && machine.DrainReason == "" && machine.MachineType != "" {
			candidates = append(candidates, machine)
		}
	}
	slices.SortFunc(candidates, func(a, b *cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// snapshot returns the input of a plan for package fleet.
func (p *Planner) snapshot(candidates []*cluster.Machine, input Input) *fleet.Snapshot {
	values := input.Values
	snapshot := &fleet.Snapshot{
		MaxMachinesAdded: maxMachinesPerPlan,
		MaxPriceRatio:    values.PriceLimit,
		LowestUnitPrice:  func(job *wire.JobSpec) float64 { return lowestTaskPrice(input.Specs, job) },
	}
	for _, machine := range candidates {
		spec := p.state.MachineSpec(machine.MachineType)
		if spec != nil && p.dependable(machine, spec, input.Now) {
			snapshot.Machines = append(snapshot.Machines, p.planMachine(machine, spec, values.IdleBootTimes, input.Now))
		}
	}
	snapshot.Machines = p.appendPendingScaleOuts(snapshot.Machines)
	if input.MayScaleOut && p.earlierRequestsListed(input.Now) {
		snapshot.Offers = p.Offers(input.Specs, input.Now)
	}
	snapshot.Demands = p.estimator.Demands(input.Now, values.StretchShare, values.SpareReplicas)
	snapshot.Demands = append(snapshot.Demands, p.estimator.ReservesFor(input.ExpectedGangs)...)
	return snapshot
}

// listLagMargin is added to the lag of machine lists, for the duration of a list request.
const listLagMargin = time.Second

// earlierRequestsListed reports whether machine lists already include the machines that an
// earlier leader requested last. A plan made before that would request them once more.
func (p *Planner) earlierRequestsListed(now time.Time) bool {
	return now.Sub(p.state.TermStartedAt) > p.state.Settings.Cloud.ListLag.Duration()+listLagMargin
}
