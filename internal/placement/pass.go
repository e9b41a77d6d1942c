package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// pass is the greedy pass of one scheduling cycle.
type pass struct {
	snapshot *Snapshot
	queue    []queuedJob
	// lastChangeStep is the step that last launched a unit on each machine.
	lastChangeStep []int
	starts         []Start
}

// queuedJob is a job of the pass with its best next choice.
type queuedJob struct {
	job              int // index in Snapshot.Jobs
	gains            classGains
	remainingChoices int // 1 for a gang, which starts as a whole, else the number of pending units
	// best is the job's best next choice. Gains only fall as resources are used, so that the
	// gain of an earlier choice is an upper bound. A choice is made anew only if it has the
	// largest gain of all jobs and no longer holds (see needsNewChoice).
	best choice
}

func (q *queuedJob) exhausted() bool { return q.remainingChoices == 0 || q.best.state == choiceNone }

// choiceState tells whether a job's best choice is known.
type choiceState int

const (
	choiceUnknown choiceState = iota // not searched yet; the gain is an upper bound
	choiceFound
	choiceNone // no machine can take a unit
)

// choice says on which machines a job's next unit, or all units of a gang, would be launched.
type choice struct {
	state    choiceState
	machines []int   // index of the machine of each unit
	gain     float64 // per unit
	step     int     // step of the pass that made the choice
}

func newPass(s *Snapshot) *pass {
	p := &pass{snapshot: s, lastChangeStep: make([]int, len(s.Machines))}
	gainsPerTask := taskGains(s.Factors)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.PendingTasks == 0 || s.Teams[j.Spec.Team] == nil {
			continue
		}
		multiplier := utilityMultiplier(j, s.Factors)
		switch {
		case !j.Spec.IsGang():
			p.enqueue(i, j.PendingTasks, gainsPerTask.multipliedBy(multiplier))
		case j.PendingTasks == j.Spec.Tasks:
			p.enqueue(i, 1, gangGains(s.Factors, j.Spec.Tasks, multiplier))
		}
	}
	return p
}

func (p *pass) enqueue(job, choices int, gains classGains) {
	p.queue = append(p.queue, queuedJob{job: job, gains: gains, remainingChoices: choices, best: choice{gain: gains.largest()}})
}

// run grants choices until no job has one left.
func (p *pass) run() {
	for step := 1; ; step++ {
		top := p.topJob()
		if top == nil {
			return
		}
		if p.needsNewChoice(top) {
			top.best = p.chooseMachines(top)
			top.best.step = step
			continue
		}
		p.grant(top, step)
	}
}

// gainRounding is the largest difference of gains that counts as a rounding error.
const gainRounding = 1e-12

// topJob returns the queued job with the largest gain, and of equal ones the first. It
// returns nil if no job can be granted anything more.
func (p *pass) topJob() *queuedJob {
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

// needsNewChoice reports whether a job has no choice yet, one of its chosen machines has
// changed since, or its team's limit no longer allows the choice.
func (p *pass) needsNewChoice(q *queuedJob) bool {
	if q.best.state == choiceUnknown {
		return true
	}
	changed := func(machine int) bool { return p.lastChangeStep[machine] >= q.best.step }
	if slices.ContainsFunc(q.best.machines, changed) {
		return true
	}
	j := &p.snapshot.Jobs[q.job]
	needed := ResourcesOf(j.Spec)
	if j.Spec.IsGang() {
		needed = needed.Times(float64(j.PendingTasks))
	}
	return !p.snapshot.Teams[j.Spec.Team].allows(j, needed)
}

// grant launches the units of a job's best choice.
func (p *pass) grant(q *queuedJob, step int) {
	q.remainingChoices--
	for _, machine := range q.best.machines {
		p.launchUnit(q.job, machine, step)
	}
	j := &p.snapshot.Jobs[q.job]
	if !j.Spec.IsGang() {
		j.MayUseHeadroom = false // only its next unit may use headroom
		return
	}
	if team := p.snapshot.Teams[j.Spec.Team]; team.ReservedFor == j.Spec.ID {
		team.ReservedFor = ""
	}
}

// launchUnit launches one unit of a job on a machine.
func (p *pass) launchUnit(job, machine, step int) {
	j, m := &p.snapshot.Jobs[job], &p.snapshot.Machines[machine]
	j.PendingTasks--
	j.TasksByZone[m.Zone]++
	team, unit := p.snapshot.Teams[j.Spec.Team], ResourcesOf(j.Spec)
	team.Used = team.Used.Plus(unit)
	m.allocateUnit(j.Spec, unit)
	p.starts = append(p.starts, Start{job, machine})
	p.lastChangeStep[machine] = step
}

// allocateUnit allocates resources for a unit on the machine, starts the fetch of its image if the
// image is absent, and consumes a reservation of the job.
func (m *Machine) allocateUnit(spec *wire.JobSpec, unit Resources) {
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

// chooseMachines finds the best next choice for a job.
func (p *pass) chooseMachines(q *queuedJob) choice {
	if p.snapshot.Jobs[q.job].Spec.IsGang() {
		return p.chooseForGang(q)
	}
	return p.chooseForTask(q)
}
