package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// zoneGroups returns the groups of machines that each may take all of a gang, as indexes:
// one group for each zone if the gang must be in one zone, else one group of all machines.
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

// chooseForGang finds machines for all units of a gang. It prefers machines that all have
// the image, else those where the last image is present soonest, because all tasks of the
// gang wait for it. If the number of fetches counted first, a gang would go to one
// machine that fetches slowly instead of two that fetch quickly.
func (p *pass) chooseForGang(q *queuedJob) choice {
	j := &p.snapshot.Jobs[q.job]
	if !p.snapshot.Teams[j.Spec.Team].allows(j, ResourcesOf(j.Spec).Times(float64(j.PendingTasks))) {
		return choice{state: choiceNone}
	}
	best, found := gangFit{}, false
	for _, group := range zoneGroups(p.snapshot, j.Spec) {
		fit, ok := p.fitGang(j, p.candidates(j, group))
		if !ok || found && !fit.betterThan(&best) {
			continue
		}
		best, found = fit, true
	}
	if !found {
		return choice{state: choiceNone}
	}
	class := withImage
	if best.fetchingMachines > 0 {
		class = withoutImage
	}
	return choice{state: choiceFound, machines: best.machines, gain: q.gains[class]}
}

// preference is the first criterion of the order of candidates.
type preference int

const (
	ordinary preference = iota
	lastResort
)

// candidate is a machine that can take units of a gang.
type candidate struct {
	machine    int // index in Snapshot.Machines
	preference preference
	class      utility.Class
	fetchSteps int // number of steps that a unit would wait for its image
	score      float64
}

// candidates returns the machines of a group that can take units of the gang, the best
// first.
func (p *pass) candidates(j *Job, group []int) []candidate {
	unit := ResourcesOf(j.Spec)
	var found []candidate
	for _, i := range group {
		m := &p.snapshot.Machines[i]
		usesHeadroom := m.usesHeadroom(j, unit)
		if !canLaunch(j, m, unit) || usesHeadroom && !j.MayUseHeadroom {
			continue
		}
		c := candidate{machine: i, class: classOf(j, m), fetchSteps: fetchSteps(j, m), score: score(j, m, unit)}
		if isLastResort(j, m, usesHeadroom) {
			c.preference = lastResort
		}
		found = append(found, c)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.preference, b.preference),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.fetchSteps, b.fetchSteps),
			cmp.Compare(b.score, a.score),
		)
	})
	return found
}

// fetchStepSeconds is the step to which fetch times are rounded. Fetch rates are known only
// to within a third, so that smaller differences mean nothing.
const fetchStepSeconds = 0.25

// fetchSteps returns how long a unit of a gang would wait for its image on a machine, in
// steps of fetchStepSeconds. A fetch in progress counts as one step, because it is unknown
// how much of it is left.
func fetchSteps(j *Job, m *Machine) int {
	switch m.Images[j.Spec.Image] {
	case ImagePresent:
		return 0
	case ImageFetching:
		return 1
	}
	return 1 + int(m.fetchSeconds(j)/fetchStepSeconds)
}

// gangFit is an assignment of a gang's units to machines.
type gangFit struct {
	machines         []int // index of the machine of each unit
	unitsByZone      map[wire.Zone]int
	maxFetchSteps    int // until the last machine has the image
	fetchingMachines int
	score            float64
}

// betterThan reports whether this fit is preferred to the other: first by the time of the
// last fetch, then by the number of fetches, then by score.
func (f *gangFit) betterThan(other *gangFit) bool {
	return cmp.Or(
		cmp.Compare(f.maxFetchSteps, other.maxFetchSteps),
		cmp.Compare(f.fetchingMachines, other.fetchingMachines),
		cmp.Compare(other.score, f.score),
	) < 0
}

// fitGang packs the units of a gang into the candidates. It returns false if not all of
// them fit.
func (p *pass) fitGang(j *Job, candidates []candidate) (gangFit, bool) {
	fit := gangFit{unitsByZone: map[wire.Zone]int{}}
	for i := range candidates {
		c := &candidates[i]
		fit.packUnits(j, c, p.snapshot.Machines[c.machine])
	}
	return fit, len(fit.machines) == j.PendingTasks
}

// packUnits packs as many of the gang's remaining units as fit into a candidate. The machine
// is a copy, which it modifies.
func (f *gangFit) packUnits(j *Job, c *candidate, m Machine) {
	unit := ResourcesOf(j.Spec)
	used := false
	for len(f.machines) < j.PendingTasks && f.fitsOneMore(j, &m, unit) {
		used = true
		m.Free = m.Free.Minus(unit)
		m.consumeReservation(j.Spec.ID)
		f.unitsByZone[m.Zone]++
		f.machines = append(f.machines, c.machine)
		f.score += c.score
		if c.preference == lastResort {
			f.score -= lastResortCost
		}
	}
	if !used {
		return
	}
	f.maxFetchSteps = max(f.maxFetchSteps, c.fetchSteps)
	if c.class == withoutImage {
		f.fetchingMachines++
	}
}

// fitsOneMore reports whether the machine can take another unit of the gang in addition to
// those packed so far.
func (f *gangFit) fitsOneMore(j *Job, m *Machine, unit Resources) bool {
	if !unit.FitsIn(m.Free) || m.reservedForOthers(j, unit) {
		return false
	}
	if !j.MayUseHeadroom && m.usesHeadroom(j, unit) {
		return false
	}
	return j.TasksByZone[m.Zone]+f.unitsByZone[m.Zone] < j.Spec.MaxTasksPerZone()
}
