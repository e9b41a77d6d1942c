package fleet

import (
	"cmp"
	"slices"

	"lilaclead/internal/wire"
)

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
		need := int(max(load.CPUs/m.Unit.CPUs, load.MemoryGB/max(0.001, m.Unit.MemoryGB)) + 0.999)
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
