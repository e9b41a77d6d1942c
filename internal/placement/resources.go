package placement

import (
	"lilaclead/internal/wire"
)

// Resources is an amount of each resource.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf returns what one task of a job requests.
func ResourcesOf(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// FitsIn reports whether the amount is available.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPUs <= free.CPUs+wire.AmountTolerance && r.GPUs <= free.GPUs+wire.AmountTolerance && r.MemoryGB <= free.MemoryGB+wire.AmountTolerance
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Min returns the lesser of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemoryGB, o.MemoryGB)}
}

// Times returns the amount multiplied by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemoryGB * factor}
}

// maxUnits is what UnitsIn returns for an amount of nothing.
const maxUnits = 1 << 20

// UnitsIn returns how many times the amount fits into free.
func (r Resources) UnitsIn(free Resources) int {
	units := maxUnits
	for _, d := range [...]struct{ amount, free float64 }{{r.CPUs, free.CPUs}, {r.GPUs, free.GPUs}, {r.MemoryGB, free.MemoryGB}} {
		if d.amount > 0 {
			units = min(units, int((d.free+wire.AmountTolerance)/d.amount))
		}
	}
	return max(0, units)
}
