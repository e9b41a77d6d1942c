package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// maxCordonLoad is the load below which a machine is cordoned if its tasks fit on others.
const maxCordonLoad = 0.6

// cordonCandidate is a machine with little load.
type cordonCandidate struct {
	machine int
	waste   float64 // price of the part that is not used
}

// cordon returns the machines whose load fits on the others, the most wasteful first.
func cordon(s *Snapshot, bins []bin) []wire.MachineID {
	var ids []wire.MachineID
	cordoned := map[int]bool{}
	unitsMoved := 0
	for _, c := range cordonCandidates(s, bins) {
		m := &s.Machines[c.machine]
		units := m.unitsOf(m.Total.Minus(bins[c.machine].free))
		cordoned[c.machine] = true
		if unitsOnOthers(s, bins, cordoned, m.Unit)-unitsMoved <= units {
			delete(cordoned, c.machine)
			continue
		}
		unitsMoved += units
		ids = append(ids, m.ID)
	}
	return ids
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
	return up && m.Services == 0 && m.Unit.CPUs > 0
}

// roundUp makes a division by the size of a unit count a started unit as one.
const roundUp = 0.999

// unitsOf returns how many of the machine's largest units a load is taken to be.
func (m *Machine) unitsOf(load placement.Resources) int {
	byCPU := load.CPUs / m.Unit.CPUs
	byMemory := load.MemoryGB / max(0.001, m.Unit.MemoryGB)
	return int(max(byCPU, byMemory) + roundUp)
}

// unitsOnOthers returns how many units fit on the machines that are not cordoned.
func unitsOnOthers(s *Snapshot, bins []bin, cordoned map[int]bool, unit placement.Resources) int {
	units := 0
	for i := range s.Machines {
		if !cordoned[i] && takesArrays(&s.Machines[i], &bins[i]) {
			units += unit.Units(bins[i].free)
		}
	}
	return units
}

// takesArrays reports whether tasks of arrays from cordoned machines may go to the
// machine: it is up, used in this plan, and not one that runs services alone.
func takesArrays(m *Machine, b *bin) bool {
	unused := m.Booting || m.Idle && !b.used
	servicesAlone := m.Services > 0 && m.Unit.CPUs == 0
	return !unused && !(servicesAlone && b.services && !m.Spot)
}
