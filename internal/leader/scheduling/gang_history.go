package scheduling

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// RecentGangRetention is how long resources are kept free for the next gang of a class and
// size after the last one was seen unfinished.
const RecentGangRetention = 3 * time.Minute

// GangHistory records the recent gangs, which serve as an estimate of the next ones.
type GangHistory struct {
	state  *cluster.State
	recent map[gangShape]recentGang
}

// gangShape identifies gangs of one class and size.
type gangShape struct {
	class         string
	tasks         int
	taskResources placement.Resources
}

// recentGang is a gang, and when a gang of its shape was last seen unfinished.
type recentGang struct {
	spec     *wire.JobSpec
	lastSeen time.Time
}

func newGangHistory(state *cluster.State) *GangHistory {
	return &GangHistory{state: state, recent: map[gangShape]recentGang{}}
}

// ExpectedGangs returns the gangs for which resources are kept free of job arrays: the
// largest recent gang of each class, spareGangs times. Gangs that may not preempt need these
// resources because they should start sooner than tasks end on a full deployment.
func (h *GangHistory) ExpectedGangs(spareGangs float64, now time.Time) []*wire.JobSpec {
	h.recordUnfinished(now)
	h.removeExpired(now)
	var expected []*wire.JobSpec
	for _, spec := range h.largestByClass() {
		for range int(spareGangs) {
			expected = append(expected, spec)
		}
	}
	slices.SortFunc(expected, func(a, b *wire.JobSpec) int {
		return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.ID, b.ID))
	})
	return expected
}

// recordUnfinished records the gangs that are unfinished now.
func (h *GangHistory) recordUnfinished(now time.Time) {
	for _, job := range h.state.Jobs {
		if job.Spec.IsGang() && !job.Cancelled && !job.Finished {
			shape := gangShape{job.Spec.Class, job.Spec.Tasks, placement.ResourcesOf(&job.Spec)}
			h.recent[shape] = recentGang{&job.Spec, now}
		}
	}
}

// removeExpired removes the gangs that were last seen more than RecentGangRetention ago.
func (h *GangHistory) removeExpired(now time.Time) {
	for shape, gang := range h.recent {
		if now.Sub(gang.lastSeen) > RecentGangRetention {
			delete(h.recent, shape)
		}
	}
}

func (h *GangHistory) largestByClass() map[string]*wire.JobSpec {
	largest := map[string]*wire.JobSpec{}
	for shape, gang := range h.recent {
		if other := largest[shape.class]; other == nil || largerGang(gang.spec, other) {
			largest[shape.class] = gang.spec
		}
	}
	return largest
}

// largerGang reports whether a gang is larger than another. Of gangs of equal size, the one
// with the lower job ID counts as larger.
func largerGang(spec, other *wire.JobSpec) bool {
	size, otherSize := gangSize(spec), gangSize(other)
	return size > otherSize || size == otherSize && spec.ID < other.ID
}

const (
	// gigabytesPerCPU is how many GB of memory count as one CPU in the size of a gang.
	gigabytesPerCPU = 1000
	// cpusPerGPU is how many CPUs a GPU counts as in the size of a gang.
	cpusPerGPU = 10
)

// gangSize returns the resources that a gang takes as one number, in CPUs.
func gangSize(spec *wire.JobSpec) float64 {
	return float64(spec.Tasks) * (spec.CPUs + spec.MemoryGB/gigabytesPerCPU + cpusPerGPU*spec.GPUs)
}
