package placement

import (
	"lilaclead/internal/wire"
)

// Resources is an amount of each resource.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf is what one task of a job takes.
func ResourcesOf(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// Fits tells whether the amount is available.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+wire.Eps && r.GPUs <= free.GPUs+wire.Eps && r.MemoryGB <= free.MemoryGB+wire.Eps
}

// Plus adds.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus subtracts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Min is the lesser of each.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemoryGB, o.MemoryGB)}
}

// Times multiplies.
func (r Resources) Times(k float64) Resources {
	return Resources{r.CPUs * k, r.GPUs * k, r.MemoryGB * k}
}

// Units is how many times the amount goes into free.
func (r Resources) Units(free Resources) int {
	n := 1 << 20
	for _, d := range [][2]float64{{r.CPUs, free.CPUs}, {r.GPUs, free.GPUs}, {r.MemoryGB, free.MemoryGB}} {
		if d[0] > 0 {
			n = min(n, int((d[1]+wire.Eps)/d[0]))
		}
	}
	return max(0, n)
}
