package simulator

import (
	"math"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// gangs is what the workers do with tasks that start together or never, by the
// page. The world's lock guards it.
type gangs struct {
	jobs   map[wire.JobID]*gangJob
	refuse map[wire.MachineID]int // launches that are refused as full
	speed  map[wire.MachineID]float64
	ticks  bool
}

// gangJob is a gang and its attempts.
type gangJob struct {
	saved    float64 // progress that is stored, in seconds of run time
	done     bool
	starts   int // times that it was complete and ran
	saves    int // orderly stops that succeeded
	falls    int // times that it fell back to its last checkpoint
	alone    int // tasks that waited in vain
	attempts map[wire.Attempt]*gangRun
}

// gangRun is one attempt of a gang.
type gangRun struct {
	members  map[int]*member
	began    bool
	at       time.Time // until when progress was counted
	progress float64
	speed    float64
	stopAt   time.Time // of the first halt
	lostAt   time.Time // of the first loss, or when the save failed
	safe     bool
}

type member struct {
	m       *worker
	x       *run
	t       wire.Task
	since   time.Time // when it had its image
	failAt  time.Time
	told    bool
	savedAt time.Time
	leaves  time.Time // when it notices that another is gone
	hung    time.Time // since when its machine hangs
}

const gangTick = 50 * time.Millisecond

func (w *World) gangOf(id wire.JobID) *gangJob {
	if w.gangs.jobs == nil {
		w.gangs.jobs = map[wire.JobID]*gangJob{}
	}
	g := w.gangs.jobs[id]
	if g == nil {
		g = &gangJob{attempts: map[wire.Attempt]*gangRun{}}
		w.gangs.jobs[id] = g
	}
	if !w.gangs.ticks {
		w.gangs.ticks = true
		w.spawn(func() {
			for w.ctx.Err() == nil {
				sleep(w.ctx, gangTick)
				w.mu.Lock()
				w.stepGangs(time.Now())
				w.mu.Unlock()
			}
		})
	}
	return g
}

// join brings a gang's task that has its image to its gang; call with the lock
// held.
func (m *worker) join(t wire.Task, x *run) {
	now := time.Now()
	g := m.w.gangOf(t.Job)
	if g.done {
		m.exit(t, x, wire.CauseDone)
		return
	}
	r := g.attempts[x.try]
	if r == nil {
		r = &gangRun{members: map[int]*member{}}
		g.attempts[x.try] = r
	}
	x.phase = wire.PhaseWaiting
	r.members[t.Index] = &member{m: m, x: x, t: t, since: now}
	m.changed()
	if r.began || len(r.members) < m.w.truths[t.Job].Spec.Tasks {
		return
	}
	r.began, r.at, r.speed, r.progress = true, now, math.Inf(1), g.saved
	g.starts++
	m.w.check.GangBegan(t.Job, now)
	for _, b := range r.members {
		b.x.phase = wire.PhaseRunning
		r.speed = min(r.speed, b.m.w.speedOf(b.m.id))
		if b.m.sick || m.w.truths[t.Job].Fails {
			b.failAt = now.Add(500 * time.Millisecond)
		}
		b.m.changed()
	}
}

func (w *World) speedOf(id wire.MachineID) float64 {
	if s, ok := w.gangs.speed[id]; ok {
		return s
	}
	return 1
}

// SlowMachine gives a machine a speed, at which it fetches; gangs go at that of
// their slowest.
func (w *World) SlowMachine(id wire.MachineID, speed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gangs.speed == nil {
		w.gangs.speed = map[wire.MachineID]float64{}
	}
	w.gangs.speed[id] = speed
}

// RefuseFull makes a machine refuse so many launches as if it were full.
func (w *World) RefuseFull(id wire.MachineID, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gangs.refuse == nil {
		w.gangs.refuse = map[wire.MachineID]int{}
	}
	w.gangs.refuse[id] = n
}

// refuses tells whether it refuses this launch as full.
func (m *worker) refuses() bool {
	if m.w.gangs.refuse[m.id] > 0 {
		m.w.gangs.refuse[m.id]--
		return true
	}
	return false
}

// gangGone notes that a task of a gang ended or is gone with its machine; call
// with the lock held.
func (w *World) gangGone(t wire.Task, x *run) {
	g := w.gangs.jobs[t.Job]
	if g == nil || g.attempts[x.try] == nil {
		return
	}
	r := g.attempts[x.try]
	b := r.members[t.Index]
	if b == nil || b.x != x {
		return // it had no image, or the gang had begun without it
	}
	now := time.Now()
	w.advance(g, r, now)
	delete(r.members, t.Index)
	if r.began && !r.safe && !g.done {
		w.fall(g, r, now)
	}
}

// advance counts progress up to now.
func (w *World) advance(g *gangJob, r *gangRun, now time.Time) {
	if !r.began || !r.lostAt.IsZero() || !r.stopAt.IsZero() {
		return
	}
	for _, b := range r.members {
		if w.odd.hung[b.m.id] != nil {
			r.at = now
		}
	}
	r.progress += now.Sub(r.at).Seconds() * r.speed
	r.at = now
}

// fall makes a gang that ran lose what it has done since its last checkpoint.
func (w *World) fall(g *gangJob, r *gangRun, now time.Time) {
	if !r.lostAt.IsZero() {
		return
	}
	r.lostAt = now
	g.falls++
	peer := w.Set.Workers.GangPeerS.Duration()
	for i, b := range r.members {
		if every := float64(w.truths[b.t.Job].Spec.CheckpointInterval); every > 0 {
			g.saved = max(g.saved, math.Floor((r.progress+wire.Eps)/every)*every)
		}
		b.leaves = now.Add(peer * time.Duration(1+(i*5+2)%9) / 10)
	}
}

// haltGang carries out a halt of a gang's task; call with the lock held.
func (m *worker) haltGang(t wire.Task, x *run, windDown *wire.Seconds) {
	now := time.Now()
	s := &m.w.truths[t.Job].Spec
	g := m.w.gangOf(t.Job)
	r := g.attempts[x.try]
	var b *member
	if r != nil {
		b = r.members[t.Index]
	}
	left := wire.Seconds(0)
	if windDown != nil {
		left = *windDown
	}
	switch {
	case b == nil || b.x != x || x.phase == wire.PhaseWaiting || x.phase == wire.PhaseFetching:
	case x.phase == wire.PhaseSaving && left > 0:
		return
	case x.phase == wire.PhaseRunning && s.CheckpointInterval > 0 && left >= s.CheckpointTime && r.lostAt.IsZero():
		m.w.advance(g, r, now)
		if r.stopAt.IsZero() {
			r.stopAt = now
		}
		b.told, b.savedAt, x.phase = true, now.Add(s.CheckpointTime.Duration()), wire.PhaseSaving
		m.changed()
		return
	}
	x.cancel()
	m.exit(t, x, wire.CauseStopped)
}

// stepGangs lets time pass for all gangs; call with the lock held.
func (w *World) stepGangs(now time.Time) {
	var ids []wire.JobID
	for id := range w.gangs.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := w.gangs.jobs[id]
		for _, r := range g.attempts {
			w.stepGang(w.truths[id], g, r, now)
		}
	}
}

func (w *World) stepGang(truth *Truth, g *gangJob, r *gangRun, now time.Time) {
	wait, peer := w.Set.Workers.GangWaitS.Duration(), w.Set.Workers.GangPeerS.Duration()
	w.advance(g, r, now)
	var order []*member
	for i := range truth.Spec.Tasks {
		if b := r.members[i]; b != nil {
			order = append(order, b)
		}
	}
	hangs := func(b *member) bool { return w.odd.hung[b.m.id] != nil || b.m.stalled }
	end := func(b *member, c wire.ExitCause, saved bool) {
		b.x.saved = saved
		b.x.cancel()
		b.m.exit(b.t, b.x, c)
	}
	told := r.began && len(order) == truth.Spec.Tasks
	for _, b := range order {
		if !hangs(b) {
			b.hung = time.Time{}
		} else if b.hung.IsZero() {
			b.hung = now
		} else if r.began && !r.safe && now.Sub(b.hung) > peer/2 {
			w.fall(g, r, now)
		}
		told = told && b.told
	}
	if told && r.lostAt.IsZero() && !r.safe {
		for _, b := range order {
			if !hangs(b) && !now.Before(b.savedAt) {
				r.safe, g.saved = true, max(g.saved, r.progress)
				g.saves++
				break
			}
		}
	}
	if !r.stopAt.IsZero() && !r.safe && now.Sub(r.stopAt) > peer && !told {
		w.fall(g, r, now)
		for _, b := range order {
			b.leaves = now
		}
	}
	if r.began && r.lostAt.IsZero() && r.stopAt.IsZero() && r.progress >= truth.RunS {
		g.done = true
		w.check.GangDone(truth.Spec.ID)
	}
	for _, b := range order {
		switch {
		case hangs(b) || r.members[b.t.Index] != b:
		case g.done && b.x.phase != wire.PhaseWaiting:
			end(b, wire.CauseDone, false)
		case b.x.phase == wire.PhaseWaiting:
			if now.Sub(b.since) > wait {
				g.alone++
				end(b, wire.CauseGangIncomplete, false)
			}
		case r.safe:
			if b.told && !now.Before(b.savedAt) {
				end(b, wire.CauseStopped, true)
			}
		case !r.lostAt.IsZero():
			if !now.Before(b.leaves) {
				end(b, wire.CauseGangBroken, false)
			}
		case !b.failAt.IsZero() && !now.Before(b.failAt):
			end(b, wire.CauseError, false)
		}
	}
}

// Gang is what the workers make of a gang.
type Gang struct {
	Pulling, Waiting, Running, Saving int
	Starts, Saves, Falls, Alone       int
	Saved                             float64
	Tries                             int // attempts of which tasks are on machines
	Done                              bool
}

// Gang tells how a gang stands.
func (w *World) Gang(id wire.JobID) Gang {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out Gang
	tries := map[wire.Attempt]bool{}
	for _, m := range w.machines {
		for t, x := range m.tasks {
			if t.Job != id {
				continue
			}
			switch x.phase {
			case wire.PhaseFetching:
				out.Pulling++
			case wire.PhaseWaiting:
				out.Waiting++
			case wire.PhaseRunning:
				out.Running++
			case wire.PhaseSaving:
				out.Saving++
			case wire.PhaseExited:
				continue
			}
			tries[x.try] = true
		}
	}
	out.Tries = len(tries)
	if g := w.gangs.jobs[id]; g != nil {
		out.Starts, out.Saves, out.Falls, out.Alone, out.Saved, out.Done = g.starts, g.saves, g.falls, g.alone, g.saved, g.done
	}
	return out
}

// Members lists the machines that have tasks of a job, whatever they do.
func (w *World) Members(id wire.JobID) []wire.MachineID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.MachineID
	for _, m := range w.machines {
		for t, x := range m.tasks {
			if t.Job == id && x.phase != wire.PhaseExited && !slices.Contains(out, m.id) {
				out = append(out, m.id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// TakeMachine makes the cloud take a machine back without notice.
func (w *World) TakeMachine(id wire.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(id)
	w.shaken = time.Now()
}

// GangBegan notes that a gang runs: all its tasks are on machines.
func (c *Checker) GangBegan(id wire.JobID, now time.Time) {
	c.clock(now)
	j := c.jobs[id]
	if j == nil {
		return
	}
	if n := c.On(id); n != j.spec.Tasks {
		c.broke(now, HalfRun, "%s runs with %d of %d tasks on machines", id, n, j.spec.Tasks)
	}
	if j.began.IsZero() {
		j.began = now
	}
}

// GangDone notes that a gang has completed: its tasks complete together.
func (c *Checker) GangDone(id wire.JobID) {
	if j := c.jobs[id]; j != nil {
		for i := range j.spec.Tasks {
			j.done[i] = true
		}
		j.finish()
	}
}

// gangFits tells whether all tasks of a gang would fit on the open machines.
func gangFits(rooms []Room, s *wire.Spec, not map[wire.MachineID]bool) bool {
	zones := map[wire.Zone]int{}
	for i := range rooms {
		r := rooms[i]
		for n := 0; r.Open && !not[r.Machine] && n < s.Tasks && r.takes(s, nil); n++ {
			r.CPUs, r.Cards, r.RAM = r.CPUs-s.CPUs, r.Cards-s.GPUs, r.RAM-s.MemoryGB
			zones[r.Zone]++
		}
	}
	all := 0
	for _, n := range zones {
		if s.SameZone && n >= s.Tasks {
			return true
		}
		if s.Spread {
			n = min(n, s.ZoneCap())
		}
		all += n
	}
	return !s.SameZone && all >= s.Tasks
}
