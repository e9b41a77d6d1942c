package scheduling

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// RecentGangLife is how long resources are kept for the gangs of a class after its last one.
const RecentGangLife = 3 * time.Minute

// GangHistory remembers the recent gangs, as an estimate of the next ones.
type GangHistory struct {
	state  *cluster.State
	recent map[gangShape]recentGang
}

// gangShape identifies gangs of one class and size.
type gangShape struct {
	class string
	tasks int
	takes placement.Resources
}

// recentGang is a gang, and when one of its shape was last unfinished.
type recentGang struct {
	spec     *wire.JobSpec
	lastSeen time.Time
}

func newGangHistory(state *cluster.State) *GangHistory {
	return &GangHistory{state: state, recent: map[gangShape]recentGang{}}
}

// ExpectedGangs returns the gangs for which resources are kept free of job arrays: the
// largest of each class that was seen lately, as many times as operators have set.
// Ordinary gangs may not preempt, and should start sooner than anything ends on a full
// deployment.
func (h *GangHistory) ExpectedGangs(times float64, now time.Time) []*wire.JobSpec {
	h.observe(now)
	h.forgetOld(now)
	var expected []*wire.JobSpec
	for _, spec := range h.largestByClass() {
		for range int(times) {
			expected = append(expected, spec)
		}
	}
	slices.SortFunc(expected, func(a, b *wire.JobSpec) int {
		return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.ID, b.ID))
	})
	return expected
}

// observe adds the unfinished gangs.
func (h *GangHistory) observe(now time.Time) {
	for _, job := range h.state.Jobs {
		if job.Spec.IsGang() && !job.Cancelled && !job.Finished {
			shape := gangShape{job.Spec.Class, job.Spec.Tasks, placement.ResourcesOf(&job.Spec)}
			h.recent[shape] = recentGang{&job.Spec, now}
		}
	}
}

// forgetOld removes the gangs that were seen too long ago.
func (h *GangHistory) forgetOld(now time.Time) {
	for shape, gang := range h.recent {
		if now.Sub(gang.lastSeen) > RecentGangLife {
			delete(h.recent, shape)
		}
	}
}

// largestByClass returns the largest gang of each class.
func (h *GangHistory) largestByClass() map[string]*wire.JobSpec {
	largest := map[string]*wire.JobSpec{}
	for shape, gang := range h.recent {
		if other := largest[shape.class]; other == nil || largerGang(gang.spec, other) {
			largest[shape.class] = gang.spec
		}
	}
	return largest
}

// largerGang reports whether a gang is larger than another; of equal ones the job's name
// decides.
func largerGang(spec, other *wire.JobSpec) bool {
	size, otherSize := gangSize(spec), gangSize(other)
	return size > otherSize || size == otherSize && spec.ID < other.ID
}

const (
	// gigabytesPerCPU is how much memory counts as one CPU in the size of a gang.
	gigabytesPerCPU = 1000
	// cpusPerGPU is how many CPUs a GPU counts as.
	cpusPerGPU = 10
)

// gangSize returns a measure of the resources that a gang takes.
func gangSize(spec *wire.JobSpec) float64 {
	return float64(spec.Tasks) * (spec.CPUs + spec.MemoryGB/gigabytesPerCPU + cpusPerGPU*spec.GPUs)
}
