// Package placement decides what runs where: from a snapshot of machines and
// waiting jobs to launches and halts. It is pure; it knows no clock and does
// no I/O.
//
// The ordinary path is the design's: each job has a utility tree, machines
// fall into equivalence classes, and a greedy pass grants one unit after
// another to the job that gains most utility per unit, raised by the time it
// has waited.
package placement

import (
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// Start is a launch: one unit of Jobs[Job] on Machines[Machine].
type Start struct{ Job, Machine int }

// Result of a round.
type Result struct {
	Starts       []Start
	Preemptions  []Victim
	Reservations []MachineReservation
}

// MachineReservation says for what room is made on a machine.
type MachineReservation struct {
	Machine wire.MachineID
	Reservation
	// AwaitedTasks are tasks that will end by themselves in time.
	AwaitedTasks []wire.Task
}

// Place runs one round.
func Place(s *Snapshot) Result {
	reserveSpareRoom(s)
	for _, spec := range s.ExpectedGangs {
		reserveGangRoom(s, spec)
	}
	p := newPass(s)
	p.run()
	res := Result{Starts: p.starts}
	if s.Preempt {
		res.Preemptions, res.Reservations = preempt(s)
	}
	return res
}

// pass is the greedy pass of one round.
type pass struct {
	s     *Snapshot
	gains map[int]classGains // by job
	queue []waitingJob
	// best is the best next choice of each job in the queue. Gains only fall as
	// room is taken, so what was found earlier is an upper bound: it is looked for
	// anew only when it comes first and its machine or its team has changed
	// meanwhile.
	best    []choice
	changed []int // the step that changed each machine last
	starts  []Start
}

// waitingJob is a job in the queue, and how many more choices it may get: one for
// all of a gang, else one a unit.
type waitingJob struct{ job, left int }

// classGains is what a unit of a job gains in each class.
type classGains [2]float64

func (g classGains) most() float64 { return max(g[withImage], g[without]) }

// taskGains are the gains of one task of any array or service.
func taskGains(f Factors) classGains {
	tree := TaskTree(f)
	return classGains{utility.Gain(tree, utility.Grant{}, withImage), utility.Gain(tree, utility.Grant{}, without)}
}

// gangGains are the gains per unit of a gang whose utility is raised.
func gangGains(f Factors, units int, raise float64) classGains {
	tree := GangTree(f, units)
	return classGains{
		tree.Value(utility.Grant{withImage: units}) * raise / float64(units),
		tree.Value(utility.Grant{without: units}) * raise / float64(units),
	}
}

func newPass(s *Snapshot) *pass {
	p := &pass{s: s, gains: make(map[int]classGains), changed: make([]int, len(s.Machines))}
	task := taskGains(s.Factors)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Pending == 0 || s.Teams[j.Spec.Team] == nil {
			continue
		}
		raise := j.Weight * (1 + j.WaitedS/max(1, s.Factors.WaitRaiseS))
		switch {
		case !j.Spec.Gang():
			p.enqueue(i, j.Pending, classGains{task[withImage] * raise, task[without] * raise})
		case j.Pending == j.Spec.Tasks:
			p.enqueue(i, 1, gangGains(s.Factors, j.Spec.Tasks, raise))
		}
	}
	return p
}

func (p *pass) enqueue(job, choices int, gains classGains) {
	p.gains[job] = gains
	p.queue = append(p.queue, waitingJob{job, choices})
	p.best = append(p.best, choice{machine: unknown, gain: gains.most()})
}

// run grants choices until none is left.
func (p *pass) run() {
	for step := 1; ; step++ {
		top := p.top()
		if top < 0 {
			return
		}
		if p.outdated(top) {
			p.best[top] = p.choose(p.queue[top].job)
			p.best[top].step = step
			continue
		}
		p.grant(top, step)
	}
}

// gainRounding is what gains must differ by to count as different.
const gainRounding = 1e-12

// top is the place in the queue with the largest gain, the first of equals; -1 if
// no job can get anything more.
func (p *pass) top() int {
	top := -1
	for i := range p.queue {
		if p.queue[i].left > 0 && p.best[i].machine != none && (top < 0 || p.best[i].gain > p.best[top].gain+gainRounding) {
			top = i
		}
	}
	return top
}

// outdated tells whether a job's best choice must be looked for anew.
func (p *pass) outdated(at int) bool {
	best, j := &p.best[at], &p.s.Jobs[p.queue[at].job]
	if best.machine == unknown {
		return true
	}
	take := ResourcesOf(j.Spec)
	if j.Spec.Gang() {
		take = take.Times(float64(j.Pending))
		if slices.ContainsFunc(best.picks, func(mi int) bool { return p.changed[mi] >= best.step }) {
			return true
		}
	} else if p.changed[best.machine] >= best.step {
		return true
	}
	return !p.s.Teams[j.Spec.Team].allows(j, take)
}

// grant starts what a job's best choice says.
func (p *pass) grant(at, step int) {
	job, best := p.queue[at].job, &p.best[at]
	j := &p.s.Jobs[job]
	p.queue[at].left--
	if !j.Spec.Gang() {
		p.start(job, best.machine, step)
		j.WaitedLong = false
		return
	}
	for _, mi := range best.picks {
		p.start(job, mi, step)
	}
	if team := p.s.Teams[j.Spec.Team]; team.ReservedFor == j.Spec.ID {
		team.ReservedFor = ""
	}
}

// start grants one unit of a job on a machine.
func (p *pass) start(job, machine, step int) {
	j := &p.s.Jobs[job]
	p.take(j, &p.s.Machines[machine], ResourcesOf(j.Spec))
	j.Pending--
	p.starts = append(p.starts, Start{job, machine})
	p.changed[machine] = step
}

// take grants one unit on a machine.
func (p *pass) take(j *Job, m *Machine, take Resources) {
	m.Free = m.Free.Minus(take)
	team := p.s.Teams[j.Spec.Team]
	team.Used = team.Used.Plus(take)
	j.TasksByZone[m.Zone]++
	if j.Spec.Service() {
		m.Services++
	}
	if m.Images[j.Spec.Image] == Absent {
		if m.Images == nil {
			m.Images = map[wire.ImageID]Image{}
		}
		m.Images[j.Spec.Image] = Fetching
		m.FetchingGB += j.Spec.ImageGB
	}
	m.useClaim(j.Spec.ID)
}

type choice struct {
	machine int
	picks   []int // of a gang: a machine for each unit
	gain    float64
	step    int // of the pass, when it was found
}

// What a choice may say in place of a machine.
const (
	none    = -1 // no machine can take a unit
	unknown = -2 // not looked for yet
)

// choose finds the best next choice of a job.
func (p *pass) choose(ji int) choice {
	if p.s.Jobs[ji].Spec.Gang() {
		return p.chooseForGang(ji)
	}
	return p.chooseForTask(ji)
}

// chooseForTask finds the machine for the job's next unit: the class with the
// larger gain first, and within it the machine that fits best.
func (p *pass) chooseForTask(ji int) choice {
	j := &p.s.Jobs[ji]
	take := ResourcesOf(j.Spec)
	if !p.s.Teams[j.Spec.Team].allows(j, take) {
		return choice{machine: none}
	}
	best, bestScore := -1, 0.0
	bestClass := without
	for mi := range p.s.Machines {
		m := &p.s.Machines[mi]
		if !take.Fits(m.Free) || !Allowed(j.Spec, m) || !zoneOpen(j, m.Zone) {
			continue
		}
		kept := !j.Spec.Service() && usesReserved(m, take, m.spareRoom.Plus(m.gangRoom))
		if kept && !j.WaitedLong || m.claimedFor(j, take) {
			continue
		}
		class := without
		if m.Images[j.Spec.Image] == Present {
			class = withImage
		}
		score := fit(j, m, take)
		if m.Cordoned && !j.Spec.Service() || j.Avoid[m.ID] || kept {
			score -= 100 // the last choice, whatever images it has
		}
		if best < 0 || score-bestScore > 50 || score-bestScore > -50 && (class < bestClass || class == bestClass && score > bestScore) {
			best, bestScore, bestClass = mi, score, class
		}
	}
	if best < 0 {
		return choice{machine: none}
	}
	return choice{machine: best, gain: p.gains[ji][bestClass]}
}

// fit orders the machines of one class: a fetch that is under way beats a
// new one, spot beats ordinary where both are allowed, services go together,
// and then the machine that is left fullest.
func fit(j *Job, m *Machine, take Resources) float64 {
	score := 0.0
	switch m.Images[j.Spec.Image] {
	case Absent:
		score -= min(16, fetchSeconds(m, j)) * 0.25
	case Fetching:
		score -= 0.1
	}
	if m.Spot {
		score += 0.5
	}
	if j.Spec.Service() && m.Services > 0 {
		score += 1
	}
	left := m.Free.Minus(take)
	score -= left.CPUs / max(1, m.Total.CPUs)
	return score
}
