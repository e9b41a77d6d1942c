package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// pass is the greedy pass of one scheduling cycle.
type pass struct {
	s     *Snapshot
	queue []queuedJob
	// changedAt is the step that changed each machine last.
	changedAt []int
	starts    []Start
}

// queuedJob is a job that waits for grants.
type queuedJob struct {
	job         int
	gains       classGains
	choicesLeft int // one for all of a gang, else one a unit
	// best is the job's best next choice. Gains only fall as room is used, so what was
	// found earlier is an upper bound: the choice is made anew only when it comes first
	// and its machine or its team has changed meanwhile.
	best choice
}

func (q *queuedJob) exhausted() bool { return q.choicesLeft == 0 || q.best.state == choiceNone }

// choiceState tells what is known of a job's best choice.
type choiceState int

const (
	choiceUnknown choiceState = iota // not looked for yet
	choiceFound
	choiceNone // no machine can take a unit
)

// choice is where a job's next unit would go, or all units of a gang.
type choice struct {
	state    choiceState
	machines []int // one for each unit
	gain     float64
	step     int // of the pass, when it was found
}

func newPass(s *Snapshot) *pass {
	p := &pass{s: s, changedAt: make([]int, len(s.Machines))}
	ofTask := taskGains(s.Factors)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.PendingTasks == 0 || s.Teams[j.Spec.Team] == nil {
			continue
		}
		raise := utilityRaise(j, s.Factors)
		switch {
		case !j.Spec.IsGang():
			p.enqueue(i, j.PendingTasks, ofTask.raisedBy(raise))
		case j.PendingTasks == j.Spec.Tasks:
			p.enqueue(i, 1, gangGains(s.Factors, j.Spec.Tasks, raise))
		}
	}
	return p
}

func (p *pass) enqueue(job, choices int, gains classGains) {
	p.queue = append(p.queue, queuedJob{job: job, gains: gains, choicesLeft: choices, best: choice{gain: gains.most()}})
}

// run grants choices until none is left.
func (p *pass) run() {
	for step := 1; ; step++ {
		top := p.top()
		if top == nil {
			return
		}
		if p.outdated(top) {
			top.best = p.choose(top)
			top.best.step = step
			continue
		}
		p.grant(top, step)
	}
}

// gainRounding is what gains must differ by to count as different.
const gainRounding = 1e-12

// top returns the queued job with the largest gain, the first of equals; nil if no job
// can be granted anything more.
func (p *pass) top() *queuedJob {
	var top *queuedJob
	for i := range p.queue {
		q := &p.queue[i]
		if q.exhausted() {
			continue
		}
		if top == nil || q.best.gain > top.best.gain+gainRounding {
			top = q
		}
	}
	return top
}

// outdated reports whether a job's best choice must be made anew.
func (p *pass) outdated(q *queuedJob) bool {
	if q.best.state == choiceUnknown {
		return true
	}
	changed := func(machine int) bool { return p.changedAt[machine] >= q.best.step }
	if slices.ContainsFunc(q.best.machines, changed) {
		return true
	}
	j := &p.s.Jobs[q.job]
	needed := ResourcesOf(j.Spec)
	if j.Spec.IsGang() {
		needed = needed.Times(float64(j.PendingTasks))
	}
	return !p.s.Teams[j.Spec.Team].allows(j, needed)
}

// grant launches what a job's best choice says.
func (p *pass) grant(q *queuedJob, step int) {
	q.choicesLeft--
	for _, machine := range q.best.machines {
		p.launch(q.job, machine, step)
	}
	j := &p.s.Jobs[q.job]
	if !j.Spec.IsGang() {
		j.StartOverdue = false // only its next unit might use headroom
		return
	}
	if team := p.s.Teams[j.Spec.Team]; team.ReservedFor == j.Spec.ID {
		team.ReservedFor = ""
	}
}

// launch grants one unit of a job on a machine.
func (p *pass) launch(job, machine, step int) {
	j, m := &p.s.Jobs[job], &p.s.Machines[machine]
	j.PendingTasks--
	j.TasksByZone[m.Zone]++
	team, unit := p.s.Teams[j.Spec.Team], ResourcesOf(j.Spec)
	team.Used = team.Used.Plus(unit)
	m.launch(j.Spec, unit)
	p.starts = append(p.starts, Start{job, machine})
	p.changedAt[machine] = step
}

// launch takes a unit's room on the machine and counts the fetch of its image.
func (m *Machine) launch(spec *wire.JobSpec, unit Resources) {
	m.Free = m.Free.Minus(unit)
	if spec.IsService() {
		m.ServiceTasks++
	}
	if m.Images[spec.Image] == ImageAbsent {
		if m.Images == nil {
			m.Images = map[wire.ImageID]ImageState{}
		}
		m.Images[spec.Image] = ImageFetching
		m.FetchingGB += spec.ImageGB
	}
	m.consumeReservation(spec.ID)
}

// choose makes the best next choice for a job.
func (p *pass) choose(q *queuedJob) choice {
	if p.s.Jobs[q.job].Spec.IsGang() {
		return p.chooseForGang(q)
	}
	return p.chooseForTask(q)
}
