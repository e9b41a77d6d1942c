package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// zoneGroups returns the sets of machines that a gang may be spread over: those of one
// zone each if all of it must be in one zone, else all.
func zoneGroups(s *Snapshot, spec *wire.JobSpec) [][]int {
	var groups [][]int
	groupOf := map[wire.Zone]int{}
	for i := range s.Machines {
		zone := wire.Zone("")
		if spec.SameZone {
			zone = s.Machines[i].Zone
		}
		group, ok := groupOf[zone]
		if !ok {
			group = len(groups)
			groupOf[zone], groups = group, append(groups, nil)
		}
		groups[group] = append(groups[group], i)
	}
	return groups
}

// chooseForGang finds machines for all units of a gang: in the preferred class alone if
// all of it fits there, else anywhere, where the last image is there soonest, as the
// others wait for it. (Fewest fetches went first: a gang went to one full machine type
// that fetches slowly rather than to two that are quick.)
func (p *pass) chooseForGang(q *queuedJob) choice {
	j := &p.s.Jobs[q.job]
	if !p.s.Teams[j.Spec.Team].allows(j, ResourcesOf(j.Spec).Times(float64(j.PendingTasks))) {
		return choice{state: choiceNone}
	}
	best, found := gangFit{}, false
	for _, group := range zoneGroups(p.s, j.Spec) {
		fit, ok := p.fitGang(j, p.candidates(j, group))
		if !ok || found && !fit.better(&best) {
			continue
		}
		best, found = fit, true
	}
	if !found {
		return choice{state: choiceNone}
	}
	class := withImage
	if best.fetches > 0 {
		class = withoutImage
	}
	return choice{state: choiceFound, machines: best.machines, gain: q.gains[class]}
}

// preference orders candidates before anything else.
type preference int

const (
	ordinary preference = iota
	lastResort
)

// candidate is a machine that can take units of a gang.
type candidate struct {
	machine    int
	preference preference
	class      utility.Class
	fetchSteps int // that a unit there waits for its image
	score      float64
}

// candidates returns the machines of a group that can take units, the best first.
func (p *pass) candidates(j *Job, group []int) []candidate {
	unit := ResourcesOf(j.Spec)
	var out []candidate
	for _, i := range group {
		m := &p.s.Machines[i]
		usesHeadroom := m.usesHeadroom(j, unit)
		if !canLaunch(j, m, unit) || usesHeadroom && !j.StartOverdue {
			continue
		}
		c := candidate{machine: i, class: classOf(j, m), fetchSteps: fetchSteps(j, m), score: score(j, m, unit)}
		if isLastResort(j, m, usesHeadroom) {
			c.preference = lastResort
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.preference, b.preference),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.fetchSteps, b.fetchSteps),
			cmp.Compare(b.score, a.score),
		)
	})
	return out
}

// fetchStepSeconds is what fetches may differ by and count as equally long: the rate of
// each is only known to a third.
const fetchStepSeconds = 0.25

// fetchSteps returns how many steps a unit of a gang would wait for its image on a
// machine. A fetch that is under way may be nearly over, or have just begun.
func fetchSteps(j *Job, m *Machine) int {
	switch m.Images[j.Spec.Image] {
	case ImagePresent:
		return 0
	case ImageFetching:
		return 1
	}
	return 1 + int(m.fetchSeconds(j)/fetchStepSeconds)
}

// gangFit is a set of machines that take units of a gang.
type gangFit struct {
	machines   []int // one for each unit
	inZone     map[wire.Zone]int
	fetchSteps int // until the last image is there
	fetches    int
	score      float64
}

// better reports whether this fit is to be taken rather than the other.
func (f *gangFit) better(than *gangFit) bool {
	return cmp.Or(
		cmp.Compare(f.fetchSteps, than.fetchSteps),
		cmp.Compare(f.fetches, than.fetches),
		cmp.Compare(than.score, f.score),
	) < 0
}

// fitGang packs all units of a gang into the candidates, if they fit.
func (p *pass) fitGang(j *Job, candidates []candidate) (gangFit, bool) {
	fit := gangFit{inZone: map[wire.Zone]int{}}
	for i := range candidates {
		c := &candidates[i]
		fit.fill(j, c, p.s.Machines[c.machine])
	}
	return fit, len(fit.machines) == j.PendingTasks
}

// fill packs as many units of the gang as can be into a candidate. It works on a copy of
// the machine.
func (f *gangFit) fill(j *Job, c *candidate, m Machine) {
	unit := ResourcesOf(j.Spec)
	filled := false
	for len(f.machines) < j.PendingTasks && f.fitsOneMore(j, &m, unit) {
		filled = true
		m.Free = m.Free.Minus(unit)
		m.consumeReservation(j.Spec.ID)
		f.inZone[m.Zone]++
		f.machines = append(f.machines, c.machine)
		f.score += c.score
		if c.preference == lastResort {
			f.score -= lastResortCost
		}
	}
	if !filled {
		return
	}
	f.fetchSteps = max(f.fetchSteps, c.fetchSteps)
	if c.class == withoutImage {
		f.fetches++
	}
}

// fitsOneMore reports whether the machine can take another unit of the gang beside those
// that are packed.
func (f *gangFit) fitsOneMore(j *Job, m *Machine, unit Resources) bool {
	if !unit.FitsIn(m.Free) || m.reservedForOthers(j, unit) {
		return false
	}
	if !j.StartOverdue && m.usesHeadroom(j, unit) {
		return false
	}
	return j.TasksByZone[m.Zone]+f.inZone[m.Zone] < j.Spec.MaxTasksPerZone()
}
