package placement

import (
	"lilaclead/internal/wire"
)

// MaxTasksPerMachine is how many tasks a machine may list in its heartbeat: those that may be
// on it, and exits that its agent has not been told to forget. The protocol limits a heartbeat to
// wire.MaxBodyBytes.
const MaxTasksPerMachine = 500

// Resources is an amount of each resource.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
	// Tasks is a number of tasks. Unlike the other resources it is the same for all machines and
	// counted from 0 down: a machine that lists no task has 0 free, one that lists n has -n.
	Tasks float64
}

// ResourcesOf returns the resources that one task of a job requests.
func ResourcesOf(s *wire.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Tasks: 1}
}

// FitsIn reports whether free has at least the amount of each resource, within
// wire.AmountTolerance.
func (r Resources) FitsIn(free Resources) bool {
	if r.Tasks > free.Tasks+MaxTasksPerMachine {
		return false
	}
	return r.CPUs <= free.CPUs+wire.AmountTolerance && r.GPUs <= free.GPUs+wire.AmountTolerance && r.MemoryGB <= free.MemoryGB+wire.AmountTolerance
}

// Plus adds each resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB, r.Tasks + o.Tasks}
}

// Minus subtracts each resource. The result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB, r.Tasks - o.Tasks}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemoryGB, o.MemoryGB), min(r.Tasks, o.Tasks)}
}

// Times multiplies each resource by a factor.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemoryGB * factor, r.Tasks * factor}
}

// maxUnits is the largest result of UnitsIn, for amounts of 0 or almost 0.
const maxUnits = 1 << 20

// UnitsIn returns how many times the amount fits into free, at most maxUnits.
func (r Resources) UnitsIn(free Resources) int {
	units := maxUnits
	if r.Tasks > 0 {
		units = int((free.Tasks + MaxTasksPerMachine) / r.Tasks)
	}
	for _, d := range [...]struct{ amount, free float64 }{{r.CPUs, free.CPUs}, {r.GPUs, free.GPUs}, {r.MemoryGB, free.MemoryGB}} {
		if d.amount > 0 {
			units = min(units, int((d.free+wire.AmountTolerance)/d.amount))
		}
	}
	return max(0, units)
}
