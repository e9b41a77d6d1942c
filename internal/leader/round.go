package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// round places what waits.
func (t *term) round(now time.Time) {
	t.lastRound, t.roundWanted = now, false
	var waiting []*job
	for _, j := range t.jobs {
		if t.canPlace(j, now) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return
	}
	s, ms, js := t.snapshot(waiting, now)
	res := placement.Place(s)
	gangs := map[*job][]*machine{}
	for _, st := range res.Starts {
		if j := js[st.Job]; j.spec.Gang() {
			gangs[j] = append(gangs[j], ms[st.Machine])
		} else {
			t.start(j, ms[st.Machine], now)
		}
	}
	for j, ms := range gangs {
		t.startGang(j, ms, now)
	}
	for _, c := range res.Clearances {
		m := t.machines[c.On]
		until := now.Add(t.haltBy(0))
		if j := t.jobs[c.Job]; j != nil && j.spec.Gang() {
			until = until.Add(wire.Seconds(t.patience(j, now)).Duration()) // for as long as the others' room takes
		}
		m.claims = append(m.claims, claim{c.Claim, c.Awaits, until})
		t.claimed[m] = struct{}{}
	}
	for _, v := range res.Halts {
		if a := t.attempt(v.Task); a != nil {
			t.halt(a, t.windDownOf(a.job), movePreempted)
			for i := range a.machine.claims { // it may take that long to save
				c := &a.machine.claims[i]
				c.until = latest(c.until, now.Add(t.haltBy(a.gracePeriod)))
			}
		}
	}
	if len(res.Clearances) > 0 {
		t.gather()
	}
	t.roundTook = time.Since(now)
	t.l.Metrics.Round(t.roundTook, len(res.Starts), len(res.Halts))
}

// gather keeps all the room that is being made for a gang until the last of it can
// be free: it needs all of it at once, and what is free first would go to others.
func (t *term) gather() {
	last := map[wire.JobID]time.Time{}
	each := func(f func(c *claim)) {
		for m := range t.claimed {
			for i := range m.claims {
				if j := t.jobs[m.claims[i].Job]; j != nil && j.spec.Gang() {
					f(&m.claims[i])
				}
			}
		}
	}
	each(func(c *claim) { last[c.Job] = latest(last[c.Job], c.until) })
	each(func(c *claim) { c.until = last[c.Job] })
}

// attempt that holds a task; nil if none does.
func (t *term) attempt(task wire.Task) *attempt {
	j := t.jobs[task.Job]
	if j == nil || j.chunks[task.Index/j.chunkTasks] == nil {
		return nil
	}
	return j.chunks[task.Index/j.chunkTasks].attempts[task.Index%j.chunkTasks]
}

// claim is room that is being made on a machine, and until when it is kept.
type claim struct {
	placement.Claim
	awaits []wire.Task // expected to end by themselves
	until  time.Time
}

// claims drops what is no longer claimed, since it took too long or the job's
// tasks found room elsewhere, and counts for how many units of each job room is
// being made.
func (t *term) claims(now time.Time) map[wire.JobID]int {
	n := map[wire.JobID]int{}
	for m := range t.claimed {
		m.claims = slices.DeleteFunc(m.claims, func(c claim) bool {
			j := t.jobs[c.Job]
			if now.After(c.until) || t.machines[m.id] != m || m.releasing || m.drainReason != "" || j == nil || j.cancelled || n[c.Job] >= j.pending() {
				return true
			}
			n[c.Job]++
			return false
		})
		if len(m.claims) == 0 {
			delete(t.claimed, m)
		}
	}
	// What is left of a gang's claims is of no use; room is made for all of it anew.
	short := func(id wire.JobID) bool {
		j := t.jobs[id]
		return j != nil && j.spec.Gang() && n[id] > 0 && n[id] < j.spec.Tasks
	}
	for m := range t.claimed {
		if m.claims = slices.DeleteFunc(m.claims, func(c claim) bool { return short(c.Job) }); len(m.claims) == 0 {
			delete(t.claimed, m)
		}
	}
	for id := range n {
		if short(id) {
			delete(n, id)
		}
	}
	return n
}

// haltBy is how long a task that is told to stop takes to be gone, even if only
// the answer to its machine's next report tells it.
func (t *term) haltBy(windDown wire.Seconds) time.Duration {
	return windDown.Duration() + reportInterval(t)*5/4 + 2*time.Second
}

// windDownOf is how long a task of the job is given to save.
func windDownOf(j *job) wire.Seconds {
	if j.spec.CheckpointInterval > 0 {
		return j.spec.CheckpointTime + 2
	}
	return 0
}

func (t *term) canPlace(j *job, now time.Time) bool {
	return !j.cancelled && !j.finished && !j.archiving && !j.stale && !t.isAside(j.spec.ID) && j.pending() > 0 && !now.Before(j.notBefore) &&
		(j.held == 0 || !j.spec.Gang()) // a gang only when nothing of its last attempt is left
}

// start decides on one task of the job.
func (t *term) start(j *job, m *machine, now time.Time) { t.startWith(j, m, 0, now) }

// startWith starts a task with an attempt's number, 0: the next one.
func (t *term) startWith(j *job, m *machine, try wire.Attempt, now time.Time) {
	j.eachPending(1, func(c *chunk, i int) {
		a := &attempt{job: j, chunk: c, index: i, number: try, machine: m, decidedAt: now, planned: true}
		if try == 0 {
			a.number = c.nextAttempt
			c.nextAttempt++
		}
		c.unstored++
		j.unstored++
		c.hold(a)
		j.lastStartAt = now
		if i := slices.IndexFunc(m.claims, func(c claim) bool { return c.Job == j.spec.ID }); i >= 0 {
			m.claims = slices.Delete(m.claims, i, i+1)
		}
		t.writer.markPending(c)
		t.log().Debug("starts", "task", a.task(), "attempt", a.number, "machine", m.id, "waited", now.Sub(j.acceptedAt))
	})
}

// guaranteed finds the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (t *term) guaranteed() map[wire.JobID]bool {
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		if !j.cancelled && !j.finished {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	sum := map[wire.TeamID]placement.Resources{}
	out := map[wire.JobID]bool{}
	for _, j := range jobs {
		team, ok := t.settings.Team(j.spec.Team)
		if !ok {
			continue
		}
		u := sum[j.spec.Team].Plus(placement.Of(&j.spec).Times(float64(j.spec.Tasks - j.done)))
		sum[j.spec.Team] = u
		out[j.spec.ID] = u.CPUs <= team.CPUs+wire.Eps && u.GPUs <= team.GPUs+wire.Eps
	}
	return out
}

// lingerMost is how long a job may start nothing because the room that is free is
// kept for the next replicas. (With the cloud sold out it waited for ever.)
const lingerMost = time.Minute

// starvingWeight lies above that of every array and below that of services.
const starvingWeight = 100

// weight of one unit of a job: priority first, then guarantee and deadline.
func (t *term) weight(j *job, guaranteed bool, now time.Time) float64 {
	w := [4]float64{1, 2, 8, 256}[j.spec.Priority.Rank()]
	if guaranteed {
		w *= 3
	}
	if !j.spec.Service() {
		need := j.expected()
		// The job is worth something only when all of it is done: a unit of
		// a job with little left brings more.
		work := float64(j.spec.Tasks-j.done) * j.spec.CPUs * max(1, need)
		w *= 1000 / (work + 50)
		switch slack := t.slack(j, now); {
		case slack < -need/2:
			w *= 0.1 // late whatever we do
		case slack < need:
			w *= 2
		}
	}
	return w
}

// patienceMost is how long an urgent array's task may wait for others to end by
// themselves in place of being stopped.
const patienceMost = 5.0

// patience of an urgent array: a small part of its slack, and little once it has
// waited. What is always on has none.
func (t *term) patience(j *job, now time.Time) float64 {
	if j.spec.Service() {
		return 0
	}
	if j.spec.Gang() && !placement.MayPreempt(&j.spec) {
		return min(gatherMost, patienceMost+now.Sub(j.acceptedAt).Seconds()/2)
	}
	waited := now.Sub(j.acceptedAt).Seconds()
	patience := min(patienceMost, t.slack(j, now)/8, patienceMost+1-waited)
	// While its start can still be in time it must not be given away: urgent gangs
	// with an aim of 2 s waited for tasks that were expected to end within 3 s, often
	// ended later, and kept the gangs from having anything else stopped meanwhile.
	if left := t.startAim(j.spec.Class) - waited; j.spec.Gang() && left > 0 {
		patience = min(patience, left/2)
	}
	return max(0, patience)
}

// startAim is within how many seconds the users' aims want jobs of a class
// started; 0: they don't say.
func (t *term) startAim(class string) float64 {
	for _, o := range t.settings.Objectives {
		if o.Kind == "wait" && o.Class == class {
			return float64(o.WithinS)
		}
	}
	return 0
}

// gatherMost is how long room may be kept for a gang until all of it is free. A
// gang that does not preempt would otherwise wait for ever beside arrays that take
// each task's room as it becomes free.
const gatherMost = 45.0

// left is in how many seconds a task is expected to end by itself. Until some of
// its job's tasks are done there is only its owner's word, which is often short.
func (a *attempt) left(now time.Time) float64 {
	if a.runningSince.IsZero() || a.job.spec.Service() {
		return math.Inf(1)
	}
	need := a.job.expected()
	if len(a.job.runs.seconds) == 0 {
		need *= 1.5
	}
	return max(need/10, need-now.Sub(a.runningSince).Seconds())
}

// expected run time of a task: what was seen, else what the owner says.
func (j *job) expected() float64 {
	if n := len(j.runs.seconds); n > 0 {
		return j.runs.median()
	}
	return float64(j.spec.ExpectedRunTime)
}

// snapshot is what a round looks at, with the machines and jobs that its
// indexes stand for.
func (t *term) snapshot(js []*job, now time.Time) (*placement.Snapshot, []*machine, []*job) {
	v := t.l.Tuning.Get()
	s := &placement.Snapshot{
		Teams:   map[wire.TeamID]*placement.Team{},
		Factors: placement.Factors{Preferred: v.Preferred, Fallback: v.Fallback, WaitRaiseS: v.WaitRaiseS},
		Preempt: true,
	}
	for _, team := range t.settings.Teams {
		s.Teams[team.Name] = &placement.Team{Limit: placement.Resources{CPUs: team.CPUsMax, GPUs: team.GPUsMax}}
	}
	for _, j := range t.jobs {
		if team := s.Teams[j.spec.Team]; team != nil {
			team.Used = team.Used.Plus(placement.Of(&j.spec).Times(float64(j.held)))
		}
	}
	for _, m := range t.machines {
		for task := range m.orphans {
			if j := t.jobs[task.Job]; j != nil && m.tasks[task] == nil {
				if team := s.Teams[j.spec.Team]; team != nil {
					team.Used = team.Used.Plus(placement.Of(&j.spec))
				}
			}
		}
	}
	// What has no room for the smallest thing that waits is left out: in a full
	// deployment these are nearly all machines.
	least := placement.Of(&js[0].spec)
	for _, j := range js {
		o := placement.Of(&j.spec)
		least = placement.Resources{CPUs: min(least.CPUs, o.CPUs), GPUs: min(least.GPUs, o.GPUs), MemoryGB: min(least.MemoryGB, o.MemoryGB)}
	}
	next := t.nextGangs(v.SpareGangs, now)
	for _, g := range next { // its room may be smaller than all that waits takes
		o := placement.Of(g)
		least = placement.Resources{CPUs: min(least.CPUs, o.CPUs), GPUs: min(least.GPUs, o.GPUs), MemoryGB: min(least.MemoryGB, o.MemoryGB)}
	}
	var ms, full []*machine
	for _, m := range t.machines {
		switch {
		case !t.usable(m, now):
		case least.Fits(t.free(m)):
			ms = append(ms, m)
		default:
			full = append(full, m)
		}
	}
	byID := func(a, b *machine) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(ms, byID)
	beyond := func(j *job) bool {
		team, _ := t.settings.Team(j.spec.Team)
		u := s.Teams[j.spec.Team]
		return u != nil && (u.Used.CPUs > team.CPUs+wire.Eps || u.Used.GPUs > team.GPUs+wire.Eps)
	}
	// A gang that does not preempt waits for others to end, which are looked at too.
	preempts := slices.ContainsFunc(js, func(j *job) bool { return placement.MayPreempt(&j.spec) || j.spec.Gang() })
	claims := t.claims(now)
	view := func(m *machine) placement.Machine {
		pm := placement.Machine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: t.total(m), Free: t.free(m), Cordoned: m.cordoned,
			Images: make(map[wire.ImageID]placement.Image, len(m.images.images)+len(m.tasks))}
		if f := t.machineSpec(m.machineType); f != nil {
			pm.FetchGBPerS = f.FetchGBPerS
		}
		var awaited []wire.Task
		for _, c := range m.claims {
			pm.Claims = append(pm.Claims, c.Claim)
			awaited = append(awaited, c.awaits...)
		}
		for _, a := range m.tasks {
			if a.job.spec.Service() {
				pm.Services++
			}
			// What was told to stop and does not end is no room to count on.
			ending := slices.Contains(awaited, a.task())
			if a.halting {
				ending = !a.planned && now.Sub(a.haltAt) < t.haltBy(a.gracePeriod)
			}
			if ending {
				pm.Stopping = pm.Stopping.Plus(a.res())
			}
			if a.fetchedAt.IsZero() && pm.Images[a.job.spec.Image] == placement.Absent {
				pm.Images[a.job.spec.Image] = placement.Fetching
				if !m.images.has(a.job.spec.Image) {
					pm.FetchingGB += a.job.spec.ImageGB
				}
			}
			if !preempts || a.planned || a.halting || ending || a.job.spec.Service() && a.job.spec.Priority == wire.PriorityProd {
				continue
			}
			lost, saves := 0.0, 0.0
			if !a.runningSince.IsZero() {
				saves = float64(a.job.spec.CheckpointTime)
				lost = now.Sub(a.runningSince).Seconds()
				if every := float64(a.job.spec.CheckpointInterval); every > 0 {
					lost = min(lost, float64(a.job.spec.CheckpointTime))
				}
			}
			if a.job.spec.Gang() { // it costs all of the gang
				lost = (lost + 5) * float64(a.job.spec.Tasks)
			}
			pm.Victims = append(pm.Victims, placement.Victim{Task: a.task(), Rank: a.job.spec.Priority.Rank(), Uses: a.res(),
				LostS: lost, LeftS: a.left(now), SavesS: saves, BeyondGuarantee: beyond(a.job), Team: a.job.spec.Team})
		}
		slices.SortFunc(pm.Victims, func(a, b placement.Victim) int {
			return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Index-b.Task.Index)
		})
		for id := range m.images.images {
			pm.Images[id] = placement.Present
		}
		return pm
	}
	for _, m := range ms {
		s.Machines = append(s.Machines, view(m))
	}
	s.FullMachines = func() []placement.Machine {
		slices.SortFunc(full, byID)
		out := make([]placement.Machine, len(full))
		for i, m := range full {
			out[i] = view(m)
		}
		return out
	}
	slices.SortFunc(js, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	sure, zones := t.guaranteed(), t.zones()
	kept := js[:0]
	for _, j := range js {
		pj := placement.Job{Spec: &j.spec, Pending: j.pending(), TasksByZone: map[wire.Zone]int{},
			WaitedS: now.Sub(j.acceptedAt).Seconds(), Avoid: j.failedOn, Guaranteed: sure[j.spec.ID], Claims: claims[j.spec.ID], PatienceS: t.patience(j, now), StartsInS: max(0, t.startAim(j.spec.Class)-now.Sub(j.acceptedAt).Seconds()), Weight: t.weight(j, sure[j.spec.ID], now),
			WaitedLong: now.Sub(latest(latest(j.acceptedAt, j.lastStartAt), t.startedAt)) > lingerMost}
		if t.startOverdue(j, now) {
			pj.Weight = starvingWeight
			if !j.spec.Gang() {
				pj.Pending = 1
			}
		}
		if j.failures > 0 && !j.spec.Gang() {
			pj.Pending = min(pj.Pending, max(1, 2-j.held)) // try a suspect job with little
		}
		if j.spec.Spread || j.spec.SameZone {
			pj.TasksByZone = j.zones()
			unknown := pj.TasksByZone[""]
			if unknown > 0 && j.spec.SameZone {
				continue // where its tasks are is not known yet
			}
			// Each of these may be in any zone, so it counts in all.
			for _, z := range zones {
				pj.TasksByZone[z] += unknown
			}
		}
		s.Jobs = append(s.Jobs, pj)
		kept = append(kept, j)
	}
	t.keepLimits(s, kept, now)
	s.SpareUnits, s.SpareUnit = t.spare(v.SpareUnits)
	s.ExpectedGangs = next
	return s, ms, kept
}

// keepLimitAfter is how long a gang waits before its part of its team's limit is
// kept for it. Most start at once, or as soon as there is room.
const keepLimitAfter = 30 * time.Second

// keepLimits keeps part of each team's limit for the gang of it that comes first
// among those that have waited long. After two minutes even higher priorities,
// but for services, leave it alone.
func (t *term) keepLimits(s *placement.Snapshot, js []*job, now time.Time) {
	for _, j := range js { // the oldest first
		team := s.Teams[j.spec.Team]
		if team == nil || !j.spec.Gang() || now.Sub(latest(latest(j.acceptedAt, j.lastStartAt), t.startedAt)) < keepLimitAfter {
			continue
		}
		rank := j.spec.Priority.Rank()
		if t.startOverdue(j, now) {
			rank = wire.PriorityProd.Rank()
		}
		if team.ReservedFor == "" || rank > team.ReservedRank {
			team.Reserved, team.ReservedFor, team.ReservedRank = placement.Of(&j.spec).Times(float64(j.spec.Tasks)), j.spec.ID, rank
		}
	}
}

// usable tells whether a machine may take a launch now.
func (t *term) usable(m *machine, now time.Time) bool {
	return !m.booting && !m.upAt.IsZero() && m.drainReason == "" && !m.releasing && m.token >= t.firstToken && m.unansweredProbes == 0 && m.inbound.Works() && !t.behindPartition(m, now) && !t.outboundLost(m, now) &&
		!now.Before(m.fullUntil) && now.Sub(m.seenAt) < 2*t.settings.Workers.ReportS.Duration()+time.Second
}

// spare is the room to keep for the next replicas: the largest replica that
// services now have, as often as operators say, and at least for half of the
// largest service.
func (t *term) spare(units float64) (int, placement.Resources) {
	var r placement.Resources
	largest := 0
	for _, j := range t.jobs {
		if j.spec.Service() && !j.spec.SpotAllowed {
			largest = max(largest, j.spec.Tasks)
			o := placement.Of(&j.spec)
			r = placement.Resources{CPUs: max(r.CPUs, o.CPUs), GPUs: 0, MemoryGB: max(r.MemoryGB, o.MemoryGB)}
		}
	}
	if r.CPUs == 0 {
		return 0, r
	}
	return max(int(units), (largest+1)/2), r
}
