package placement

import (
	"lilaclead/internal/utility"
)

// taskFit is a machine that can take a unit of an array or a service.
type taskFit struct {
	machine int
	class   utility.Class
	score   float64
}

// lastResortGap is a difference of scores that only lastResortCost can make.
const lastResortGap = lastResortCost / 2

// better reports whether this machine is to be taken rather than the other: one of last
// resort last, then by class, then by score.
func (f *taskFit) better(than *taskFit) bool {
	gap := f.score - than.score
	switch {
	case gap > lastResortGap:
		return true
	case gap <= -lastResortGap:
		return false
	case f.class != than.class:
		return f.class < than.class
	}
	return f.score > than.score
}

// chooseForTask finds the machine for the next unit of an array or a service: the class
// with the larger gain first, and within it the machine with the best score.
func (p *pass) chooseForTask(q *queuedJob) choice {
	j := &p.s.Jobs[q.job]
	unit := ResourcesOf(j.Spec)
	if !p.s.Teams[j.Spec.Team].allows(j, unit) {
		return choice{state: choiceNone}
	}
	best, found := taskFit{}, false
	for i := range p.s.Machines {
		fit, ok := fitTask(j, &p.s.Machines[i], unit)
		if !ok {
			continue
		}
		fit.machine = i
		if !found || fit.better(&best) {
			best, found = fit, true
		}
	}
	if !found {
		return choice{state: choiceNone}
	}
	return choice{state: choiceFound, machines: []int{best.machine}, gain: q.gains[best.class]}
}

// fitTask rates a machine for a unit of the job, if it can take one.
func fitTask(j *Job, m *Machine, unit Resources) (taskFit, bool) {
	if !canLaunch(j, m, unit) {
		return taskFit{}, false
	}
	usesHeadroom := m.usesHeadroom(j, unit)
	if usesHeadroom && !j.StartOverdue {
		return taskFit{}, false
	}
	fit := taskFit{class: classOf(j, m), score: score(j, m, unit)}
	if isLastResort(j, m, usesHeadroom) {
		fit.score -= lastResortCost
	}
	return fit, true
}
