package placement

import (
	"cmp"
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// zoneGroups are the sets of machines that a gang may be spread over: those of one
// zone each if all of it must be in one place, else all.
func zoneGroups(s *Snapshot, j *Job) [][]int {
	var out [][]int
	at := map[wire.Zone]int{}
	for mi := range s.Machines {
		z := wire.Zone("")
		if j.Spec.SameZone {
			z = s.Machines[mi].Zone
		}
		g, ok := at[z]
		if !ok {
			g = len(out)
			at[z], out = g, append(out, nil)
		}
		out[g] = append(out[g], mi)
	}
	return out
}

// fetchStep is what fetches may differ by, in seconds, and count as equally long:
// the rate of each is only known to a third.
const fetchStep = 0.25

// fetchSteps is how many steps a unit of a gang would wait for its image on a
// machine. A fetch that is under way may be nearly over, or have just begun.
func fetchSteps(m *Machine, j *Job) int {
	switch m.Images[j.Spec.Image] {
	case Present:
		return 0
	case Fetching:
		return 1
	}
	return 1 + int(fetchSeconds(m, j)/fetchStep)
}

// chooseForGang finds machines for all units of a gang: in the preferred class
// alone if all of it fits there, else anywhere, where the last image is there
// soonest, as the others wait for it. (Fewest fetches went first: a gang went to
// one full machine type that fetches slowly rather than to two that are quick.)
func (p *pass) chooseForGang(ji int) choice {
	j := &p.s.Jobs[ji]
	out := choice{machine: none}
	if !p.s.Teams[j.Spec.Team].allows(j, ResourcesOf(j.Spec).Times(float64(j.Pending))) {
		return out
	}
	var best gangFit
	for _, group := range zoneGroups(p.s, j) {
		fit, ok := p.fitGang(j, p.candidates(j, group))
		if !ok || out.machine != none && !fit.better(&best) {
			continue
		}
		class := withImage
		if fit.fetches > 0 {
			class = without
		}
		best = fit
		out = choice{machine: fit.picks[0], picks: fit.picks, gain: p.gains[ji][class]}
	}
	return out
}

// candidate is a machine that can take units of a gang.
type candidate struct {
	machine    int
	class      utility.Class
	lastResort bool
	fetchSteps int // for which a unit there waits for its image
	score      float64
}

// candidates of a group of machines, the best first.
func (p *pass) candidates(j *Job, group []int) []candidate {
	take := ResourcesOf(j.Spec)
	var out []candidate
	for _, mi := range group {
		m := &p.s.Machines[mi]
		reserved := usesReserved(m, take, m.spareRoom)
		if !take.Fits(m.Free) || !Allowed(j.Spec, m) || !zoneOpen(j, m.Zone) || reserved && !j.WaitedLong || m.claimedFor(j, take) {
			continue
		}
		c := candidate{mi, without, m.Cordoned || j.Avoid[m.ID] || reserved, fetchSteps(m, j), fit(j, m, take)}
		if m.Images[j.Spec.Image] == Present {
			c.class = withImage
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		if a.lastResort != b.lastResort {
			if a.lastResort {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.fetchSteps, b.fetchSteps), cmp.Compare(b.score, a.score))
	})
	return out
}

// gangFit is a set of machines that hold all of a gang, one entry a unit.
type gangFit struct {
	picks      []int
	fetchSteps int // until the last image is there
	fetches    int
	score      float64
}

// better tells whether this fit is to be taken rather than another.
func (f *gangFit) better(than *gangFit) bool {
	return cmp.Or(cmp.Compare(f.fetchSteps, than.fetchSteps), cmp.Compare(f.fetches, than.fetches), cmp.Compare(than.score, f.score)) < 0
}

// lastResortCost keeps a machine that is the last choice behind all others.
const lastResortCost = 100

// fitGang packs all units of a gang into the candidates, if they fit.
func (p *pass) fitGang(j *Job, candidates []candidate) (f gangFit, ok bool) {
	take := ResourcesOf(j.Spec)
	inZone := map[wire.Zone]int{}
	for _, c := range candidates {
		m := p.s.Machines[c.machine] // a copy, from which units are taken
		units := 0
		for len(f.picks) < j.Pending && take.Fits(m.Free) && (j.WaitedLong || !usesReserved(&m, take, m.spareRoom)) &&
			!m.claimedFor(j, take) && j.TasksByZone[m.Zone]+inZone[m.Zone] < j.Spec.ZoneCap() {
			m.Free = m.Free.Minus(take)
			m.useClaim(j.Spec.ID)
			inZone[m.Zone]++
			units++
			f.picks = append(f.picks, c.machine)
			f.score += c.score
			if c.lastResort {
				f.score -= lastResortCost
			}
		}
		if units > 0 {
			f.fetchSteps = max(f.fetchSteps, c.fetchSteps)
		}
		if units > 0 && c.class == without {
			f.fetches++
		}
	}
	return f, len(f.picks) == j.Pending
}
