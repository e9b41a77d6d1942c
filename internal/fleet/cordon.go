package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// maxCordonLoad is the load below which a machine is cordoned if its tasks fit on others.
const maxCordonLoad = 0.6

// cordonPlan is the machines that are cordoned so far.
type cordonPlan struct {
	s          *Snapshot
	bins       []bin
	cordoned   map[int]bool
	unitsMoved int // that the other machines take from them
}

// cordon returns the machines whose load fits on the others, the most wasteful first.
func cordon(s *Snapshot, bins []bin) []wire.MachineID {
	plan := cordonPlan{s: s, bins: bins, cordoned: map[int]bool{}}
	var ids []wire.MachineID
	for _, c := range cordonCandidates(s, bins) {
		if plan.add(c.machine) {
			ids = append(ids, s.Machines[c.machine].ID)
		}
	}
	return ids
}

// add cordons a machine if its load fits on the others, and reports whether it does.
func (p *cordonPlan) add(machine int) bool {
	m := &p.s.Machines[machine]
	units := m.unitsOf(m.Total.Minus(p.bins[machine].free))
	if p.unitsOnOthers(machine)-p.unitsMoved <= units {
		return false
	}
	p.unitsMoved += units
	p.cordoned[machine] = true
	return true
}

// unitsOnOthers returns how many units of a machine fit on the others that are not
// cordoned.
func (p *cordonPlan) unitsOnOthers(machine int) int {
	unit, units := p.s.Machines[machine].LargestArrayTask, 0
	for i := range p.s.Machines {
		available := i != machine && !p.cordoned[i]
		if available && takesArrays(&p.s.Machines[i], &p.bins[i]) {
			units += unit.UnitsIn(p.bins[i].free)
		}
	}
	return units
}

// takesArrays reports whether tasks of arrays from cordoned machines may go to the
// machine: it is up, not idle unless this plan uses it, and does not run services alone.
func takesArrays(m *Machine, b *bin) bool {
	unused := m.Booting || m.Idle && !b.used
	servicesAlone := m.ServiceTasks > 0 && m.LargestArrayTask.CPUs == 0
	return !unused && !(servicesAlone && b.services && !m.Spot)
}

// cordonCandidate is a machine with little load.
type cordonCandidate struct {
	machine int
	waste   float64 // price of the part that is not used
}

// cordonCandidates returns the machines that run little and no services, the most
// wasteful first.
func cordonCandidates(s *Snapshot, bins []bin) []cordonCandidate {
	var candidates []cordonCandidate
	for i := range s.Machines {
		m := &s.Machines[i]
		if !m.runsOnlyArrays() {
			continue
		}
		load := 1 - max(0, bins[i].free.CPUs)/max(1, m.Total.CPUs)
		if load < maxCordonLoad {
			candidates = append(candidates, cordonCandidate{i, m.Price * (1 - load)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b cordonCandidate) int { return cmp.Compare(b.waste, a.waste) })
	return candidates
}

// runsOnlyArrays reports whether the machine is up and runs tasks of arrays alone.
func (m *Machine) runsOnlyArrays() bool {
	up := !m.Booting && !m.Idle
	return up && m.ServiceTasks == 0 && m.LargestArrayTask.CPUs > 0
}

// roundUp makes a division by the size of a unit count a started unit as one.
const roundUp = 0.999

// unitsOf returns how many of the machine's largest units a load is taken to be.
func (m *Machine) unitsOf(load placement.Resources) int {
	byCPU := load.CPUs / m.LargestArrayTask.CPUs
	byMemory := load.MemoryGB / max(0.001, m.LargestArrayTask.MemoryGB)
	return int(max(byCPU, byMemory) + roundUp)
}
