package placement

import (
	"lilaclead/internal/wire"
)

// Resources is an amount of each resource.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf returns the resources that one task of a job requests.
func ResourcesOf(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// FitsIn reports whether free has at least the amount of each resource, within
// wire.AmountTolerance.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPUs <= free.CPUs+wire.AmountTolerance && r.GPUs <= free.GPUs+wire.AmountTolerance && r.MemoryGB <= free.MemoryGB+wire.AmountTolerance
}

// Plus adds each resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus subtracts each resource. The result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemoryGB, o.MemoryGB)}
}

// Times multiplies each resource by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemoryGB * factor}
}

// maxUnits is the largest result of UnitsIn, for amounts of 0 or almost 0.
const maxUnits = 1 << 20

// UnitsIn returns how many times the amount fits into free, at most maxUnits.
func (r Resources) UnitsIn(free Resources) int {
	units := maxUnits
	for _, d := range [...]struct{ amount, free float64 }{{r.CPUs, free.CPUs}, {r.GPUs, free.GPUs}, {r.MemoryGB, free.MemoryGB}} {
		if d.amount > 0 {
			units = min(units, int((d.free+wire.AmountTolerance)/d.amount))
		}
	}
	return max(0, units)
}
