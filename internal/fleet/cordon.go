package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// maxCordonLoad is the share of a machine's CPUs in use below which the machine is cordoned if its
// tasks fit on others.
const maxCordonLoad = 0.6

// cordonPlan collects the machines to be cordoned. Machines are given by their index in the
// snapshot.
type cordonPlan struct {
	snapshot   *Snapshot
	bins       []bin
	cordoned   map[int]bool
	unitsMoved int // number of units on the cordoned machines, which the other machines will run
}

// planCordons returns the machines whose load fits on the others. Those whose unused part costs
// most come first.
func planCordons(s *Snapshot, bins []bin) []wire.MachineID {
	plan := cordonPlan{snapshot: s, bins: bins, cordoned: map[int]bool{}}
	var ids []wire.MachineID
	for _, c := range cordonCandidates(s, bins) {
		if plan.tryAdd(c.machine) {
			ids = append(ids, s.Machines[c.machine].ID)
		}
	}
	return ids
}

// tryAdd cordons a machine if its load fits on the machines that are not cordoned, with a unit to
// spare, and reports whether it does.
func (p *cordonPlan) tryAdd(machine int) bool {
	m := &p.snapshot.Machines[machine]
	units := m.unitsOf(m.Total.Minus(p.bins[machine].free))
	if p.unitsFittingOnOthers(machine)-p.unitsMoved <= units {
		return false
	}
	p.unitsMoved += units
	p.cordoned[machine] = true
	return true
}

// unitsFittingOnOthers returns how many units of the size of a machine's largest task fit on the
// other machines that are not cordoned.
func (p *cordonPlan) unitsFittingOnOthers(machine int) int {
	unit, units := p.snapshot.Machines[machine].LargestBatchTask, 0
	for i := range p.snapshot.Machines {
		available := i != machine && !p.cordoned[i]
		if available && takesArrays(&p.snapshot.Machines[i], &p.bins[i]) {
			units += unit.UnitsIn(p.bins[i].free)
		}
	}
	return units
}

// takesArrays reports whether array and gang tasks from cordoned machines can be moved to the
// machine: it is up, is not idle unless this plan uses it, and is not an on-demand machine that
// runs only services.
func takesArrays(m *Machine, b *bin) bool {
	unused := m.Booting || m.Idle && !b.used
	runsOnlyServices := m.ServiceTasks > 0 && m.LargestBatchTask.CPUs == 0
	return !unused && !(runsOnlyServices && b.runsServices && !m.Spot)
}

// cordonCandidate is a machine whose load is below maxCordonLoad.
type cordonCandidate struct {
	machine int
	waste   float64 // price per hour of the CPUs that are not used
}

// cordonCandidates returns the machines that run only arrays or gangs and whose load is below
// maxCordonLoad, those with the highest waste first.
func cordonCandidates(s *Snapshot, bins []bin) []cordonCandidate {
	var candidates []cordonCandidate
	for i := range s.Machines {
		m := &s.Machines[i]
		if !m.runsOnlyArrays() {
			continue
		}
		load := 1 - max(0, bins[i].free.CPUs)/max(1, m.Total.CPUs)
		if load < maxCordonLoad {
			candidates = append(candidates, cordonCandidate{i, m.PricePerHour * (1 - load)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b cordonCandidate) int { return cmp.Compare(b.waste, a.waste) })
	return candidates
}

// runsOnlyArrays reports whether the machine is up and runs tasks of arrays or gangs, but no
// services.
func (m *Machine) runsOnlyArrays() bool {
	up := !m.Booting && !m.Idle
	return up && m.ServiceTasks == 0 && m.LargestBatchTask.CPUs > 0
}

// roundUp is added before a number of units is truncated to an integer, so that a part of a unit
// counts as one. It is less than 1, so that whole numbers stay as they are.
const roundUp = 0.999

// unitsOf returns a load on the machine as a number of units of the size of its largest task,
// rounded up.
func (m *Machine) unitsOf(load placement.Resources) int {
	byCPU := load.CPUs / m.LargestBatchTask.CPUs
	byMemory := load.MemoryGB / max(0.001, m.LargestBatchTask.MemoryGB)
	return int(max(byCPU, byMemory) + roundUp)
}
