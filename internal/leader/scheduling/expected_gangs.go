package scheduling

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// recentGang is a gang of a class, and when one like it was last unfinished.
type recentGang struct {
	spec     *wire.JobSpec
	lastSeen time.Time
}

// gangSize tells the sizes of gangs of a class apart.
type gangSize struct {
	class string
	tasks int
	takes placement.Resources
}

// RecentGangLife is how long room is kept for the gangs of a class after its last one.
const RecentGangLife = 3 * time.Minute

// ExpectedGangs are the gangs for which room is kept free of arrays: the largest of
// each class seen lately, as often as operators say. Everyday gangs may stop
// nothing, and should start sooner than anything ends on a full deployment.
func (sc *Scheduler) ExpectedGangs(times float64, now time.Time) []*wire.JobSpec {
	for _, j := range sc.state.Jobs {
		if j.Spec.Gang() && !j.Cancelled && !j.Finished {
			sc.recentGangs[gangSize{string(j.Spec.Class), j.Spec.Tasks, placement.ResourcesOf(&j.Spec)}] = recentGang{&j.Spec, now}
		}
	}
	size := func(s *wire.JobSpec) float64 { return float64(s.Tasks) * (s.CPUs + s.MemoryGB/1000 + 10*s.GPUs) }
	largest := map[string]*wire.JobSpec{}
	for k, g := range sc.recentGangs {
		if now.Sub(g.lastSeen) > RecentGangLife {
			delete(sc.recentGangs, k)
		} else if l := largest[k.class]; l == nil || size(g.spec) > size(l) || size(g.spec) == size(l) && g.spec.ID < l.ID {
			largest[k.class] = g.spec
		}
	}
	var out []*wire.JobSpec
	for _, s := range largest {
		for range int(times) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *wire.JobSpec) int {
		return cmp.Or(cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.ID, b.ID))
	})
	return out
}
