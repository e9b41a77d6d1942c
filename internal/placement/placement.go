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
	"cmp"
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// Factors are what operators may set of the design's open values.
type Factors struct {
	Preferred  float64 // factor of the branch over machines with the image
	Fallback   float64 // factor of the branch over any fitting machine
	WaitRaiseS float64 // waiting this long doubles a job's utility per unit
}

// Res is an amount of each resource.
type Res struct{ CPUs, Cards, RAM float64 }

// Of is what one task of a job takes.
func Of(s *wire.Spec) Res { return Res{s.CPUs, s.GPUs, s.MemoryGB} }

// Fits tells whether the amount is available.
func (r Res) Fits(free Res) bool {
	return r.CPUs <= free.CPUs+wire.Eps && r.Cards <= free.Cards+wire.Eps && r.RAM <= free.RAM+wire.Eps
}

// Plus adds.
func (r Res) Plus(o Res) Res { return Res{r.CPUs + o.CPUs, r.Cards + o.Cards, r.RAM + o.RAM} }

// Minus subtracts.
func (r Res) Minus(o Res) Res { return Res{r.CPUs - o.CPUs, r.Cards - o.Cards, r.RAM - o.RAM} }

// Times multiplies.
func (r Res) Times(k float64) Res { return Res{r.CPUs * k, r.Cards * k, r.RAM * k} }

// Units is how many times the amount goes into free.
func (r Res) Units(free Res) int {
	n := 1 << 20
	for _, d := range [][2]float64{{r.CPUs, free.CPUs}, {r.Cards, free.Cards}, {r.RAM, free.RAM}} {
		if d[0] > 0 {
			n = min(n, int((d[1]+wire.Eps)/d[0]))
		}
	}
	return max(0, n)
}

// Image as far as it is known to be on a machine.
type Image int

// What is known.
const (
	Absent   Image = iota
	Fetching       // some task there waits for it
	Present        // a task has run with it, and it was not pushed out since
)

// Victim is a task that could be stopped to make room.
type Victim struct {
	Task   wire.Task
	Rank   int
	Takes  Res
	Lost   float64 // run time that would be repeated, seconds
	Beyond bool    // its team runs beyond its own guarantee
	Team   wire.TeamID
	LeftS  float64 // in which it is expected to end by itself
	SavesS float64 // for which it saves once it is told to stop
}

// Machine that can take tasks.
type Machine struct {
	ID       wire.MachineID
	Kit      wire.MachineType
	Zone     wire.Zone
	Spot     bool
	Total    Res
	Free     Res // with everything that may still be there taken off
	PullRate float64
	PullGB   float64 // of the images that are being fetched
	Services int     // tasks of services there
	Images   map[wire.ImageID]Image
	Victims  []Victim
	Cordoned bool // takes tasks of arrays only when no other machine can
	// Claims is room that is being made here, Stopping what the tasks take that
	// are being stopped or awaited. Until a claim is used nothing of its rank or below
	// takes that room. (Two tasks of two processors were stopped for one of
	// four; they ended one after the other, and each time another of two took
	// the half that was free. One day stopped 84,361 tasks that way.)
	Claims   []Claim
	Stopping Res
	kept     int // units of spare room kept here in this round
	keeps    Res // what they take
	gangs    Res // room kept here for the next gangs
}

// Claim is room that is being made for one unit of a job.
type Claim struct {
	Job   wire.JobID
	Rank  int
	Takes Res
}

// left is the room there will be when all that is being stopped is gone and
// every claim but those that a job may pass over is used.
func (m *Machine) left(passes func(*Claim) bool) Res {
	left := m.Free.Plus(m.Stopping)
	for i := range m.Claims {
		if !passes(&m.Claims[i]) {
			left = left.Minus(m.Claims[i].Takes)
		}
	}
	return left
}

// claimed tells whether others' claims leave no room for the job here.
func (m *Machine) claimed(j *Job, take Res) bool {
	return len(m.Claims) > 0 && !take.Fits(m.left(func(c *Claim) bool {
		return c.Job == j.Spec.ID || c.Rank < j.Spec.Priority.Rank()
	}))
}

// used takes away the claim that a unit of the job has used.
func (m *Machine) used(id wire.JobID) {
	if i := slices.IndexFunc(m.Claims, func(c Claim) bool { return c.Job == id }); i >= 0 {
		m.Claims = slices.Delete(slices.Clone(m.Claims), i, i+1)
	}
}

// Job with tasks that wait.
type Job struct {
	Spec     *wire.Spec
	Pending  int
	ZoneHeld map[wire.Zone]int
	WaitedS  float64
	Weight   float64 // of one unit: priority, guarantee, deadline
	// Avoid lists machines on which a task of the job failed.
	Avoid map[wire.MachineID]bool
	// Guaranteed: fits into its team's guarantee with the earlier jobs.
	Guaranteed bool
	// Lingers: has waited so long without a start that its next unit may use
	// room kept for services.
	Lingers bool
	// Claims is for how many of its units room is being made.
	Claims int
	// PatienceS is how long a unit may wait for tasks to end by themselves,
	// rather than have them stopped.
	PatienceS float64
	// StartsInS is how long it may still wait to start in time; 0: no aim says, or
	// it is late already.
	StartsInS float64
}

// Team with what its tasks take and its limit; a limit of 0 is none.
type Team struct {
	Used, Limit Res
	// Kept is what is kept of the limit for a gang of the team that has waited
	// long, KeptFor: tasks of arrays and gangs up to KeptRank leave it alone, or
	// they would take for ever what the gang needs all at once.
	Kept     Res
	KeptFor  wire.JobID
	KeptRank int
}

// Snapshot is all that a round looks at.
type Snapshot struct {
	Machines []Machine
	Jobs     []Job
	Teams    map[wire.TeamID]*Team
	Factors  Factors
	// Spare is room kept free for the next replicas, of SpareTakes each;
	// only services may use it.
	Spare      int
	SpareTakes Res
	// Gangs are those for which room is kept free of arrays.
	Gangs []*wire.Spec
	// Preempt allows to stop tasks for jobs of higher priority.
	Preempt bool
	// More, if set, adds the machines that have no room for anything that
	// waits, with their victims. It is asked only when something that may
	// preempt is left: on most rounds of a full deployment nothing is.
	More func() []Machine
}

// MayPreempt tells whether tasks may be stopped to make room for the job.
// Arrays of everyday priority wait for room: a stopped array's work is mostly
// repeated, and what makes room for one delays another.
func MayPreempt(s *wire.Spec) bool {
	return s.Service() || s.Priority.Rank() >= wire.PriorityUrgent.Rank()
}

// Start is a launch: one unit of Jobs[Job] on Machines[Machine].
type Start struct{ Job, Machine int }

// Result of a round.
type Result struct {
	Starts []Start
	Halts  []Victim
	Clears []Clear
}

// Clear says for what room is made on a machine.
type Clear struct {
	On wire.MachineID
	Claim
	// Awaits are tasks that will end by themselves in time.
	Awaits []wire.Task
}

// Allowed tells whether the job may run on the machine at all.
func Allowed(s *wire.Spec, m *Machine) bool {
	if m.Spot && !s.SpotAllowed {
		return false
	}
	if s.Zone != "" && s.Zone != m.Zone {
		return false
	}
	return s.MachineTypes == nil || slices.Contains(s.MachineTypes, m.Kit)
}

// zoneOpen tells whether one more task may start in the zone, given where
// the job's other tasks may be.
func zoneOpen(j *Job, z wire.Zone) bool {
	if j.Spec.SameZone {
		for other, n := range j.ZoneHeld {
			if n > 0 && other != z {
				return false
			}
		}
	}
	return j.ZoneHeld[z] < j.Spec.ZoneCap()
}

// room tells whether the team's limit allows so much more for the
// job.
func (t *Team) room(j *Job, take Res) bool {
	u := t.Used.Plus(take)
	if t.KeptFor != "" && t.KeptFor != j.Spec.ID && !j.Spec.Service() && j.Spec.Priority.Rank() <= t.KeptRank {
		u = u.Plus(t.Kept)
	}
	return (t.Limit.CPUs == 0 || u.CPUs <= t.Limit.CPUs+wire.Eps) &&
		(t.Limit.Cards == 0 || u.Cards <= t.Limit.Cards+wire.Eps)
}

// The two classes that a job's tree tells apart among the machines that its
// hard constraints allow: those whose reports imply its image, and the rest.
const (
	withImage utility.Class = iota
	without
)

// Unit is the utility tree of one task: the better of the preferred branch
// and of the fallback over any fitting machine, each a linear leaf of one
// unit. A job's tree is the Sum over its tasks. One pair of leaves for the
// whole job would make the fallback worthless as soon as some units hold
// preferred machines, and tasks would wait where the design says they don't.
func Unit(f Factors) utility.Expr {
	return utility.Max{
		utility.Scale{By: f.Preferred, Of: utility.Linear{From: utility.SetOf(withImage), K: 1, U: 1}},
		utility.Scale{By: f.Fallback, Of: utility.Linear{From: utility.SetOf(withImage, without), K: 1, U: 1}},
	}
}

// Whole is the utility tree of a gang: the better of the preferred branch and of
// the fallback, each an n Choose k leaf of its full count. It reads zero until all
// of it fits.
func Whole(f Factors, n int) utility.Expr {
	return utility.Max{
		utility.Scale{By: f.Preferred, Of: utility.Choose{From: utility.SetOf(withImage), K: n, U: float64(n)}},
		utility.Scale{By: f.Fallback, Of: utility.Choose{From: utility.SetOf(withImage, without), K: n, U: float64(n)}},
	}
}

// Place runs one round.
func Place(s *Snapshot) Result {
	var res Result
	reserve(s)
	for _, spec := range s.Gangs {
		keepGang(s, spec)
	}
	p := pass{s: s, gains: make(map[int][2]float64)}
	tree := Unit(s.Factors)
	unit := [2]float64{utility.Gain(tree, utility.Grant{}, withImage), utility.Gain(tree, utility.Grant{}, without)}
	type waiting struct {
		job  int
		left int
	}
	queue := make([]waiting, 0, len(s.Jobs))
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Pending == 0 || s.Teams[j.Spec.Team] == nil {
			continue
		}
		raise := j.Weight * (1 + j.WaitedS/max(1, s.Factors.WaitRaiseS))
		if n := j.Spec.Tasks; j.Spec.Gang() {
			if j.Pending == n {
				queue = append(queue, waiting{i, 1}) // all of it, or nothing
				whole := Whole(s.Factors, n)
				p.gains[i] = [2]float64{whole.Value(utility.Grant{withImage: n}) * raise / float64(n), whole.Value(utility.Grant{without: n}) * raise / float64(n)}
			}
			continue
		}
		queue = append(queue, waiting{i, j.Pending})
		p.gains[i] = [2]float64{unit[withImage] * raise, unit[without] * raise}
	}
	// best[i] is the job's best next unit. Gains only fall as room is taken, so
	// what was found earlier is an upper bound: it is looked for anew only when
	// it comes first and its machine or its team has changed meanwhile.
	best := make([]choice, len(queue))
	for i, w := range queue {
		best[i] = choice{machine: unknown, gain: max(p.gains[w.job][withImage], p.gains[w.job][without])}
	}
	changed := make([]int, len(s.Machines)) // the step that changed a machine last
	for step := 1; ; step++ {
		top := -1
		for i := range queue {
			if queue[i].left > 0 && best[i].machine != none && (top < 0 || best[i].gain > best[top].gain+1e-12) {
				top = i
			}
		}
		if top < 0 {
			break
		}
		ji, mi := queue[top].job, best[top].machine
		j := &s.Jobs[ji]
		take := Of(j.Spec)
		if j.Spec.Gang() {
			stale := slices.ContainsFunc(best[top].picks, func(mi int) bool { return changed[mi] >= best[top].step })
			if mi == unknown || stale || !s.Teams[j.Spec.Team].room(j, take.Times(float64(j.Pending))) {
				best[top] = p.chooseWhole(ji)
				best[top].step = step
				continue
			}
			for _, mi := range best[top].picks {
				p.take(j, &s.Machines[mi], take)
				res.Starts = append(res.Starts, Start{ji, mi})
				changed[mi] = step
			}
			j.Pending = 0
			queue[top].left = 0
			if team := s.Teams[j.Spec.Team]; team.KeptFor == j.Spec.ID {
				team.KeptFor = ""
			}
			continue
		}
		if mi == unknown || changed[mi] >= best[top].step || !s.Teams[j.Spec.Team].room(j, take) {
			best[top] = p.choose(ji)
			best[top].step = step
			continue
		}
		m := &s.Machines[mi]
		p.take(j, m, take)
		j.Lingers = false
		queue[top].left--
		j.Pending--
		res.Starts = append(res.Starts, Start{ji, mi})
		changed[mi] = step
	}
	if s.Preempt {
		res.Halts, res.Clears = preempt(s)
	}
	return res
}

// take grants one unit on a machine.
func (p *pass) take(j *Job, m *Machine, take Res) {
	m.Free = m.Free.Minus(take)
	team := p.s.Teams[j.Spec.Team]
	team.Used = team.Used.Plus(take)
	j.ZoneHeld[m.Zone]++
	if j.Spec.Service() {
		m.Services++
	}
	if m.Images[j.Spec.Image] == Absent {
		if m.Images == nil {
			m.Images = map[wire.ImageID]Image{}
		}
		m.Images[j.Spec.Image] = Fetching
		m.PullGB += j.Spec.ImageGB
	}
	m.used(j.Spec.ID)
}

type pass struct {
	s     *Snapshot
	gains map[int][2]float64
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

// choose finds the machine for the job's next unit: the class with the
// larger gain first, and within it the machine that fits best.
func (p *pass) choose(ji int) choice {
	j := &p.s.Jobs[ji]
	take := Of(j.Spec)
	if !p.s.Teams[j.Spec.Team].room(j, take) {
		return choice{machine: none}
	}
	best, bestScore := -1, 0.0
	bestClass := without
	for mi := range p.s.Machines {
		m := &p.s.Machines[mi]
		if !take.Fits(m.Free) || !Allowed(j.Spec, m) || !zoneOpen(j, m.Zone) {
			continue
		}
		kept := !j.Spec.Service() && spoils(m, take, m.keeps.Plus(m.gangs))
		if kept && !j.Lingers || m.claimed(j, take) {
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

// groups are the sets of machines that a gang may be spread over: those of one
// zone each if all of it must be in one place, else all.
func groups(s *Snapshot, j *Job) [][]int {
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
	return 1 + int(fetchS(m, j)/fetchStep)
}

// chooseWhole finds machines for all units of a gang: in the preferred class
// alone if all of it fits there, else anywhere, where the last image is there
// soonest, as the others wait for it. (Fewest fetches went first: a gang went to
// one full machine type that fetches slowly rather than to two that are quick.)
func (p *pass) chooseWhole(ji int) choice {
	j := &p.s.Jobs[ji]
	take := Of(j.Spec)
	out := choice{machine: none}
	if !p.s.Teams[j.Spec.Team].room(j, take.Times(float64(j.Pending))) {
		return out
	}
	type seat struct {
		mi    int
		class utility.Class
		last  bool
		steps int // for which it waits for its image
		score float64
	}
	bestSteps, bestFetch, bestScore := 0, 0, 0.0
	for _, g := range groups(p.s, j) {
		var seats []seat
		for _, mi := range g {
			m := &p.s.Machines[mi]
			kept := spoils(m, take, m.keeps)
			if !take.Fits(m.Free) || !Allowed(j.Spec, m) || !zoneOpen(j, m.Zone) || kept && !j.Lingers || m.claimed(j, take) {
				continue
			}
			st := seat{mi, without, m.Cordoned || j.Avoid[m.ID] || kept, fetchSteps(m, j), fit(j, m, take)}
			if m.Images[j.Spec.Image] == Present {
				st.class = withImage
			}
			seats = append(seats, st)
		}
		slices.SortStableFunc(seats, func(a, b seat) int {
			switch {
			case a.last != b.last && a.last:
				return 1
			case a.last != b.last:
				return -1
			}
			return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.steps, b.steps), cmp.Compare(b.score, a.score))
		})
		var picks []int
		steps, fetch, score := 0, 0, 0.0
		inZone := map[wire.Zone]int{}
		for _, st := range seats {
			m := p.s.Machines[st.mi] // a copy, from which units are taken
			first := true
			for len(picks) < j.Pending && take.Fits(m.Free) && (j.Lingers || !spoils(&m, take, m.keeps)) && !m.claimed(j, take) && j.ZoneHeld[m.Zone]+inZone[m.Zone] < j.Spec.ZoneCap() {
				m.Free = m.Free.Minus(take)
				m.used(j.Spec.ID)
				inZone[m.Zone]++
				picks = append(picks, st.mi)
				steps = max(steps, st.steps)
				if st.class == without && first {
					fetch++
				}
				first = false
				score += st.score
				if st.last {
					score -= 100
				}
			}
		}
		if len(picks) < j.Pending {
			continue
		}
		if out.machine == none || cmp.Or(cmp.Compare(steps, bestSteps), cmp.Compare(fetch, bestFetch), cmp.Compare(bestScore, score)) < 0 {
			class := withImage
			if fetch > 0 {
				class = without
			}
			out, bestSteps, bestFetch, bestScore = choice{machine: picks[0], picks: picks, gain: p.gains[ji][class]}, steps, fetch, score
		}
	}
	return out
}

// fit orders the machines of one class: a fetch that is under way beats a
// new one, spot beats ordinary where both are allowed, services go together,
// and then the machine that is left fullest.
func fit(j *Job, m *Machine, take Res) float64 {
	score := 0.0
	switch m.Images[j.Spec.Image] {
	case Absent:
		score -= min(16, fetchS(m, j)) * 0.25
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

// reserve marks the spare room: Spare times SpareTakes, on the ordinary
// machines where a service would go first.
func reserve(s *Snapshot) {
	if s.Spare <= 0 {
		return
	}
	order := make([]int, 0, len(s.Machines))
	for i := range s.Machines {
		if !s.Machines[i].Spot {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ma, mb := &s.Machines[a], &s.Machines[b]
		return cmp.Or(cmp.Compare(mb.Services, ma.Services), cmp.Compare(ma.Free.CPUs, mb.Free.CPUs))
	})
	left := s.Spare
	zones := map[wire.Zone]int{}
	for _, i := range order {
		m := &s.Machines[i]
		// Half of it in one zone at most, as services that are spread need.
		n := min(left, s.SpareTakes.Units(m.Free), (s.Spare+1)/2-zones[m.Zone])
		if len(m.Claims) > 0 {
			// Not what was made for others: room that urgent gangs had tasks stopped for
			// was kept from them as soon as it was free, for as long as their claims held.
			n = min(n, s.SpareTakes.Units(m.left(func(*Claim) bool { return false })))
		}
		m.kept, m.keeps = n, s.SpareTakes.Times(float64(n))
		left -= n
		zones[m.Zone] += n
	}
}

// keepGang marks room for a gang, where most of it fits: what it lacks is kept as
// it becomes free. Machines with its image go first, then the fullest.
func keepGang(s *Snapshot, spec *wire.Spec) {
	j, take := &Job{Spec: spec}, Of(spec)
	var best map[int]int // units by machine
	bestUnits, bestWarm := 0, 0
	for _, g := range groups(s, j) {
		units := map[int]int{}
		var order []int
		for _, mi := range g {
			m := &s.Machines[mi]
			if m.Cordoned || !Allowed(spec, m) {
				continue
			}
			held := m.keeps.Plus(m.gangs)
			n := take.Units(m.Free.Minus(held))
			if len(m.Claims) > 0 {
				n = min(n, take.Units(m.left(func(*Claim) bool { return false }).Minus(held)))
			}
			if n > 0 {
				units[mi] = n
				order = append(order, mi)
			}
		}
		cold := func(mi int) int {
			if s.Machines[mi].Images[spec.Image] == Present {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Or(cold(a)-cold(b), cmp.Compare(s.Machines[a].Free.CPUs, s.Machines[b].Free.CPUs))
		})
		left, warm, inZone := spec.Tasks, 0, map[wire.Zone]int{}
		for _, mi := range order {
			z := s.Machines[mi].Zone
			n := min(left, units[mi], spec.ZoneCap()-inZone[z])
			units[mi] = n
			left -= n
			inZone[z] += n
			warm += n * (1 - cold(mi))
		}
		if got := spec.Tasks - left; got > bestUnits || got == bestUnits && warm > bestWarm {
			best, bestUnits, bestWarm = units, got, warm
		}
	}
	for mi, n := range best {
		s.Machines[mi].gangs = s.Machines[mi].gangs.Plus(take.Times(float64(n)))
	}
}

// spoils tells whether a task would take room that is kept from it.
func spoils(m *Machine, take, keep Res) bool {
	return keep != (Res{}) && !take.Plus(keep).Fits(m.Free)
}

// preempt picks tasks to stop so that what still waits with a higher
// priority finds room: the machine where the least work is lost.
func preempt(s *Snapshot) (halts []Victim, clears []Clear) {
	waiting := make([]int, 0)
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if s.Teams[j.Spec.Team] == nil || j.Pending <= j.Claims {
			continue
		}
		if j.Spec.Gang() {
			// Room is made for all of it or for none.
			if j.Claims == 0 && j.Pending == j.Spec.Tasks && (MayPreempt(j.Spec) || j.PatienceS > 0) {
				waiting = append(waiting, i)
			}
		} else if MayPreempt(j.Spec) {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 {
		return nil, nil
	}
	if s.More != nil {
		s.Machines = append(s.Machines, s.More()...)
	}
	slices.SortStableFunc(waiting, func(a, b int) int {
		return cmp.Compare(s.Jobs[b].Spec.Priority.Rank(), s.Jobs[a].Spec.Priority.Rank())
	})
	offers := make([]clearing, len(s.Machines))
	claimed := claimedBy(s)
	for _, ji := range waiting {
		j := &s.Jobs[ji]
		take := Of(j.Spec)
		if j.Spec.Gang() {
			if s.Teams[j.Spec.Team].room(j, take.Times(float64(j.Pending)).Plus(claimed[j.Spec.Team][j.Spec.Priority.Rank()])) {
				for _, mi := range clearWhole(s, j, take) {
					halts, clears = clear1(s, j, take, mi, clearFor(&s.Machines[mi], j, take), halts, clears)
				}
			}
			continue
		}
		for mi := range s.Machines {
			offers[mi] = clearFor(&s.Machines[mi], j, take)
		}
		for range min(j.Pending-j.Claims, 8) {
			if !s.Teams[j.Spec.Team].room(j, take.Plus(claimed[j.Spec.Team][j.Spec.Priority.Rank()])) {
				break
			}
			mi := -1
			for i := range offers {
				if offers[i].ok && (mi < 0 || offers[i].lost < offers[mi].lost) && zoneOpen(j, s.Machines[i].Zone) {
					mi = i
				}
			}
			if mi < 0 {
				break
			}
			halts, clears = clear1(s, j, take, mi, offers[mi], halts, clears)
			offers[mi] = clearFor(&s.Machines[mi], j, take)
		}
	}
	return halts, clears
}

// clear1 makes room for one unit on a machine.
func clear1(s *Snapshot, j *Job, take Res, mi int, o clearing, halts []Victim, clears []Clear) ([]Victim, []Clear) {
	m := &s.Machines[mi]
	var awaits []wire.Task
	var kept []Victim
	for vi, v := range m.Victims {
		switch {
		case !slices.Contains(o.picks, vi):
			kept = append(kept, v)
			continue
		case ends(j, &v):
			awaits = append(awaits, v.Task)
		default:
			halts = append(halts, v)
		}
		m.Stopping = m.Stopping.Plus(v.Takes)
	}
	c := Claim{j.Spec.ID, j.Spec.Priority.Rank(), take}
	m.Victims, m.Claims = kept, append(slices.Clone(m.Claims), c)
	clears = append(clears, Clear{m.ID, c, awaits})
	s.Teams[j.Spec.Team].Used = s.Teams[j.Spec.Team].Used.Plus(take)
	j.ZoneHeld[m.Zone]++
	return halts, clears
}

// clearWhole finds where room for all units of a gang costs least, a machine for
// each unit; nil if it can't be made for all of them.
func clearWhole(s *Snapshot, j *Job, take Res) []int {
	var best []int
	bestLost := 0.0
	for _, g := range groups(s, j) {
		ms := make(map[int]*Machine, len(g)) // as it would be with what is picked so far
		offers := make(map[int]clearing, len(g))
		for _, mi := range g {
			if o := clearFor(&s.Machines[mi], j, take); o.ok {
				offers[mi] = o
			}
		}
		var picks []int
		lost := 0.0
		inZone := map[wire.Zone]int{}
		for len(picks) < j.Pending {
			at := -1
			for _, mi := range g {
				o, ok := offers[mi]
				z := s.Machines[mi].Zone
				if ok && o.ok && (at < 0 || o.lost < offers[at].lost) && zoneOpen(j, z) && j.ZoneHeld[z]+inZone[z] < j.Spec.ZoneCap() {
					at = mi
				}
			}
			if at < 0 {
				break
			}
			m := ms[at]
			if m == nil {
				c := s.Machines[at]
				m = &c
				ms[at] = m
			}
			o := offers[at]
			picks = append(picks, at)
			lost += o.lost
			inZone[m.Zone]++
			var kept []Victim
			for vi, v := range m.Victims {
				if slices.Contains(o.picks, vi) {
					m.Stopping = m.Stopping.Plus(v.Takes)
				} else {
					kept = append(kept, v)
				}
			}
			m.Victims, m.Claims = kept, append(slices.Clone(m.Claims), Claim{j.Spec.ID, j.Spec.Priority.Rank(), take})
			offers[at] = clearFor(m, j, take)
		}
		if len(picks) == j.Pending && (best == nil || lost < bestLost) {
			best, bestLost = picks, lost
		}
	}
	return best
}

// claimedBy is what each team will use once the room that is being made for its
// jobs of a rank or above it is used. The team's limit must hold for that too:
// ten urgent tasks of a team that had room for one once had others' work stopped
// for all ten, one after the other, before the first of them had started.
func claimedBy(s *Snapshot) map[wire.TeamID]*[4]Res {
	out := make(map[wire.TeamID]*[4]Res, len(s.Teams))
	for id := range s.Teams {
		out[id] = &[4]Res{}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		n := min(j.Claims, j.Pending)
		if n <= 0 || out[j.Spec.Team] == nil {
			continue
		}
		for r := 0; r <= j.Spec.Priority.Rank(); r++ {
			c := &out[j.Spec.Team][r]
			*c = c.Plus(Of(j.Spec).Times(float64(n)))
		}
	}
	return out
}

// ends tells whether the task is worth waiting for: it is expected to end by
// itself within the job's patience. That needs no leave, whatever its priority.
func ends(j *Job, v *Victim) bool { return j.PatienceS > 0 && v.LeftS <= j.PatienceS }

// mayStop is the page's rule: a lower priority, or for a team's guarantee
// what another team runs beyond its own.
func mayStop(j *Job, v *Victim) bool {
	return v.Rank < j.Spec.Priority.Rank() || j.Guaranteed && v.Beyond && v.Team != j.Spec.Team && j.Spec.Service()
}

// hurries tells whether the job is a gang that others are stopped for and that can
// still start in time.
func hurries(j *Job) bool { return j.Spec.Gang() && MayPreempt(j.Spec) && j.StartsInS > 0 }

// outlasts tells whether the task would still be saving when a gang that hurries
// should have started. (Urgent gangs with an aim of 2 s stopped tasks of the lowest priority,
// which take 3 s to save, beside others that would have ended at once.)
func outlasts(j *Job, v *Victim) bool {
	return hurries(j) && v.SavesS > j.StartsInS
}

// fetchWeight is how many seconds of repeated work a second of waiting, for an
// image or for what saves, may cost a service, or a gang that hurries: on a full
// deployment most replicas start in room that was made for them, and the image
// decides whether they start in time.
const fetchWeight = 20

func fetchCost(m *Machine, j *Job) float64 {
	if m.Images[j.Spec.Image] == Present {
		return 0
	}
	if j.Spec.Service() || hurries(j) {
		return fetchWeight * fetchS(m, j)
	}
	return fetchS(m, j)
}

// fetchS is how long a machine takes to fetch the job's image beside those
// that it fetches already: they share its rate. (Replicas of four services,
// started on one machine after a zone's loss, waited 16 s for their images.)
func fetchS(m *Machine, j *Job) float64 {
	if m.PullRate <= 0 {
		return 0
	}
	return (m.PullGB + j.Spec.ImageGB) / m.PullRate
}

// clearing is what room for one unit costs on a machine.
type clearing struct {
	ok    bool
	lost  float64
	picks []int
}

// clearFor finds the tasks to await or stop on a machine for one unit of the job,
// those with the least work lost first. (Urgent tasks on full machines once
// stopped what would have ended in a moment, most of it of the lowest priority,
// whose jobs were then late by what was stopped again and again.)
func clearFor(m *Machine, j *Job, take Res) clearing {
	if !take.Fits(m.Total) || !Allowed(j.Spec, m) {
		return clearing{}
	}
	c := clearing{lost: fetchCost(m, j)}
	free := m.left(func(*Claim) bool { return false })
	if j.Spec.Gang() && !j.Lingers {
		free = free.Minus(m.keeps) // it may not use that, and would claim it for ever
	}
	if c.ok = take.Fits(free); c.ok {
		return c
	}
	order := make([]int, 0, len(m.Victims))
	for vi := range m.Victims {
		if v := &m.Victims[vi]; ends(j, v) || MayPreempt(j.Spec) && mayStop(j, v) {
			order = append(order, vi)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := &m.Victims[a], &m.Victims[b]
		switch ea, eb := ends(j, va), ends(j, vb); {
		case ea && eb:
			return cmp.Compare(va.LeftS, vb.LeftS)
		case ea:
			return -1
		case eb:
			return 1
		}
		switch oa, ob := outlasts(j, va), outlasts(j, vb); {
		case oa && !ob:
			return 1
		case ob && !oa:
			return -1
		}
		return cmp.Or(cmp.Compare(va.Rank, vb.Rank), cmp.Compare(va.Lost, vb.Lost))
	})
	for _, vi := range order {
		if take.Fits(free) {
			break
		}
		free = free.Plus(m.Victims[vi].Takes)
		if v := &m.Victims[vi]; ends(j, v) {
			c.lost += v.LeftS
		} else {
			c.lost += v.Lost + 5
			if outlasts(j, v) {
				c.lost += fetchWeight * v.SavesS
			}
		}
		c.picks = append(c.picks, vi)
	}
	c.ok = take.Fits(free)
	return c
}
