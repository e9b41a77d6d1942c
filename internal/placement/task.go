package placement

import (
	"lilaclead/internal/utility"
)

// taskFit rates a machine that can take a unit of an array or a service.
type taskFit struct {
	machine int // index in Snapshot.Machines
	class   utility.Class
	score   float64
}

// lastResortGap is a score difference that only lastResortCost can cause.
const lastResortGap = lastResortCost / 2

// betterThan reports whether this machine is preferred to the other. Machines of last
// resort come last. Otherwise, the class decides, and within a class the score.
func (f *taskFit) betterThan(other *taskFit) bool {
	gap := f.score - other.score
	switch {
	case gap > lastResortGap:
		return true
	case gap <= -lastResortGap:
		return false
	case f.class != other.class:
		return f.class < other.class
	}
	return f.score > other.score
}

// chooseForTask finds the best machine for the next unit of an array or a service.
func (p *pass) chooseForTask(q *queuedJob) choice {
	j := &p.snapshot.Jobs[q.job]
	unit := ResourcesOf(j.Spec)
	if !p.snapshot.Teams[j.Spec.Team].allows(j, unit) {
		return choice{state: choiceNone}
	}
	best, found := taskFit{}, false
	for i := range p.snapshot.Machines {
		fit, ok := fitTask(j, &p.snapshot.Machines[i], unit)
		if !ok {
			continue
		}
		fit.machine = i
		if !found || fit.betterThan(&best) {
			best, found = fit, true
		}
	}
	if !found {
		return choice{state: choiceNone}
	}
	return choice{state: choiceFound, machines: []int{best.machine}, gain: q.gains[best.class]}
}

// fitTask rates a machine for a unit of the job. It returns false if the machine can't
// take one.
func fitTask(j *Job, m *Machine, unit Resources) (taskFit, bool) {
	if !canLaunch(j, m, unit) {
		return taskFit{}, false
	}
	usesHeadroom := m.usesHeadroom(j, unit)
	if usesHeadroom && !j.MayUseHeadroom {
		return taskFit{}, false
	}
	fit := taskFit{class: classOf(j, m), score: score(j, m, unit)}
	if isLastResort(j, m, usesHeadroom) {
		fit.score -= lastResortCost
	}
	return fit, true
}
