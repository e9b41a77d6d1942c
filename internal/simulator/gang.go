package simulator

import (
	"math"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// gangTable is what the workers do with tasks that start together or never, by the
// page. The simulation's lock guards it.
type gangTable struct {
	jobs           map[wire.JobID]*gangJob
	launchRefusals map[wire.MachineID]int // launches that are refused as full
	speed          map[wire.MachineID]float64
	ticking        bool
}

// gangJob is a gang and its attempts.
type gangJob struct {
	saved      float64 // progress that is stored, in seconds of run time
	done       bool
	starts     int // times that it was complete and ran
	saves      int // orderly stops that succeeded
	rollbacks  int // times that it fell back to its last checkpoint
	incomplete int // tasks that waited in vain
	attempts   map[wire.AttemptNumber]*gangRun
}

// gangRun is one attempt of a gang.
type gangRun struct {
	members       map[int]*gangMember
	running       bool
	countedUntil  time.Time // until when progress was counted
	progress      float64
	speed         float64
	stoppingSince time.Time // of the first stop
	brokenSince   time.Time // of the first loss, or when the save failed
	saved         bool
}

// broken reports whether the attempt has lost a member and goes back to its checkpoint.
func (r *gangRun) broken() bool { return !r.brokenSince.IsZero() }

// stopping reports whether a member was told to stop.
func (r *gangRun) stopping() bool { return !r.stoppingSince.IsZero() }

// progresses reports whether the attempt runs and is neither stopping nor broken.
func (r *gangRun) progresses() bool { return r.running && !r.broken() && !r.stopping() }

// inOrder returns the members by their tasks' indexes.
func (r *gangRun) inOrder(tasks int) []*gangMember {
	var order []*gangMember
	for i := range tasks {
		if b := r.members[i]; b != nil {
			order = append(order, b)
		}
	}
	return order
}

// gangMember is a gang's task that has its image.
type gangMember struct {
	worker       *worker
	run          *taskRun
	task         wire.TaskID
	waitingSince time.Time // when it had its image
	failAt       time.Time
	toldToStop   bool
	savedAt      time.Time
	leavesAt     time.Time // when it notices that another is gone
	hungSince    time.Time // since when its machine hangs
}

// gangTick is how often the state of gangs is looked at.
const gangTick = 50 * time.Millisecond

// gangOf returns the state of a gang, new if there is none; the caller holds the lock.
func (sim *Simulation) gangOf(id wire.JobID) *gangJob {
	if sim.gangs.jobs == nil {
		sim.gangs.jobs = map[wire.JobID]*gangJob{}
	}
	g := sim.gangs.jobs[id]
	if g == nil {
		g = &gangJob{attempts: map[wire.AttemptNumber]*gangRun{}}
		sim.gangs.jobs[id] = g
	}
	if !sim.gangs.ticking {
		sim.gangs.ticking = true
		sim.spawn(func() {
			for sim.ctx.Err() == nil {
				sleep(sim.ctx, gangTick)
				sim.mu.Lock()
				sim.stepGangs(time.Now())
				sim.mu.Unlock()
			}
		})
	}
	return g
}

// joinGang brings a gang's task that has its image to its gang; call with the lock
// held.
func (m *worker) joinGang(t wire.TaskID, x *taskRun) {
	now := time.Now()
	g := m.sim.gangOf(t.Job)
	if g.done {
		m.exitTask(t, x, wire.CauseDone)
		return
	}
	r := g.attempts[x.attempt]
	if r == nil {
		r = &gangRun{members: map[int]*gangMember{}}
		g.attempts[x.attempt] = r
	}
	x.phase = wire.PhaseWaiting
	r.members[t.Index] = &gangMember{worker: m, run: x, task: t, waitingSince: now}
	m.requestHeartbeat()
	if r.running || len(r.members) < m.sim.scripts[t.Job].Spec.Tasks {
		return
	}
	m.sim.startGang(t.Job, g, r, now)
}

// startGang starts an attempt whose members are complete, from the gang's last
// checkpoint; the caller holds the lock.
func (sim *Simulation) startGang(id wire.JobID, g *gangJob, r *gangRun, now time.Time) {
	r.running, r.countedUntil, r.speed, r.progress = true, now, math.Inf(1), g.saved
	g.starts++
	sim.checker.GangBegan(id, now)
	for _, b := range r.members {
		b.run.phase = wire.PhaseRunning
		r.speed = min(r.speed, sim.speedOf(b.worker.id))
		if b.worker.faulty || sim.scripts[id].AlwaysFails {
			b.failAt = now.Add(timeToFail)
		}
		b.worker.requestHeartbeat()
	}
}

// onGangTaskLeft notes that a task of a gang ended or is gone with its machine; call
// with the lock held.
func (sim *Simulation) onGangTaskLeft(t wire.TaskID, x *taskRun) {
	g := sim.gangs.jobs[t.Job]
	if g == nil || g.attempts[x.attempt] == nil {
		return
	}
	r := g.attempts[x.attempt]
	b := r.members[t.Index]
	if b == nil || b.run != x {
		return // it had no image, or the gang had begun without it
	}
	now := time.Now()
	sim.advance(r, now)
	delete(r.members, t.Index)
	if r.running && !r.saved && !g.done {
		sim.rollBack(g, r, now)
	}
}

// advance counts progress up to now.
func (sim *Simulation) advance(r *gangRun, now time.Time) {
	if !r.progresses() {
		return
	}
	for _, b := range r.members {
		if sim.machineFaults.hung[b.worker.id] != nil {
			r.countedUntil = now
		}
	}
	r.progress += now.Sub(r.countedUntil).Seconds() * r.speed
	r.countedUntil = now
}

// rollBack returns a running gang to its last checkpoint.
func (sim *Simulation) rollBack(g *gangJob, r *gangRun, now time.Time) {
	if r.broken() {
		return
	}
	r.brokenSince = now
	g.rollbacks++
	peer := sim.Settings.Workers.GangPeerTimeout.Duration()
	for i, b := range r.members {
		if every := float64(sim.scripts[b.task.Job].Spec.CheckpointInterval); every > 0 {
			g.saved = max(g.saved, math.Floor((r.progress+wire.AmountTolerance)/every)*every)
		}
		b.leavesAt = now.Add(peer * time.Duration(1+(i*5+2)%9) / 10)
	}
}

// stopGangTask carries out a stop of a gang's task; the caller holds the lock.
func (m *worker) stopGangTask(t wire.TaskID, x *taskRun, gracePeriod *wire.Seconds) {
	now := time.Now()
	s := &m.sim.scripts[t.Job].Spec
	g := m.sim.gangOf(t.Job)
	r := g.attempts[x.attempt]
	var b *gangMember
	if r != nil {
		b = r.members[t.Index]
	}
	left := wire.Seconds(0)
	if gracePeriod != nil {
		left = *gracePeriod
	}
	hasRun := b != nil && b.run == x && x.phase != wire.PhaseWaiting && x.phase != wire.PhaseFetching
	canSave := s.CheckpointInterval > 0 && left >= s.CheckpointTime
	switch {
	case !hasRun:
	case x.phase == wire.PhaseCheckpointing && left > 0:
		return
	case x.phase == wire.PhaseRunning && canSave && !r.broken():
		m.sim.advance(r, now)
		if !r.stopping() {
			r.stoppingSince = now
		}
		b.toldToStop, b.savedAt, x.phase = true, now.Add(s.CheckpointTime.Duration()), wire.PhaseCheckpointing
		m.requestHeartbeat()
		return
	}
	x.cancel()
	m.exitTask(t, x, wire.CauseStopped)
}

// stepGangs lets time pass for all gangs; the caller holds the lock.
func (sim *Simulation) stepGangs(now time.Time) {
	var ids []wire.JobID
	for id := range sim.gangs.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := sim.gangs.jobs[id]
		for _, r := range g.attempts {
			sim.stepGang(sim.scripts[id], g, r, now)
		}
	}
}

// stepGang lets time pass for one attempt of a gang; the caller holds the lock.
func (sim *Simulation) stepGang(script *JobScript, g *gangJob, r *gangRun, now time.Time) {
	sim.advance(r, now)
	order := r.inOrder(script.Spec.Tasks)
	sim.breakOnHungMember(g, r, order, now)
	allTold := r.running && len(order) == script.Spec.Tasks && !slices.ContainsFunc(order, func(b *gangMember) bool { return !b.toldToStop })
	if allTold && !r.broken() && !r.saved && sim.anySaved(order, now) {
		r.saved, g.saved = true, max(g.saved, r.progress)
		g.saves++
	}
	if !allTold && sim.stopTimedOut(r, now) {
		sim.rollBack(g, r, now)
		for _, b := range order {
			b.leavesAt = now
		}
	}
	if r.progresses() && r.progress >= script.RunTime {
		g.done = true
		sim.checker.GangDone(script.Spec.ID)
	}
	for _, b := range order {
		if !sim.hangs(b.worker) && r.members[b.task.Index] == b {
			sim.stepMember(g, r, b, now)
		}
	}
}

// anySaved reports whether a member that does not hang has had its time to save.
func (sim *Simulation) anySaved(order []*gangMember, now time.Time) bool {
	return slices.ContainsFunc(order, func(b *gangMember) bool { return !sim.hangs(b.worker) && !now.Before(b.savedAt) })
}

// stopTimedOut reports whether some members were told to stop and the others were not
// in the time in which peers wait for each other.
func (sim *Simulation) stopTimedOut(r *gangRun, now time.Time) bool {
	return r.stopping() && !r.saved && now.Sub(r.stoppingSince) > sim.Settings.Workers.GangPeerTimeout.Duration()
}

// hangs reports whether a machine hangs; the caller holds the lock.
func (sim *Simulation) hangs(m *worker) bool {
	return sim.machineFaults.hung[m.id] != nil || m.stalled
}

// breakOnHungMember breaks a running gang of which a member hangs for long.
func (sim *Simulation) breakOnHungMember(g *gangJob, r *gangRun, order []*gangMember, now time.Time) {
	peer := sim.Settings.Workers.GangPeerTimeout.Duration()
	for _, b := range order {
		if !sim.hangs(b.worker) {
			b.hungSince = time.Time{}
		} else if b.hungSince.IsZero() {
			b.hungSince = now
		} else if r.running && !r.saved && now.Sub(b.hungSince) > peer/2 {
			sim.rollBack(g, r, now)
		}
	}
}

// stepMember ends a gang's task if it is time for that.
func (sim *Simulation) stepMember(g *gangJob, r *gangRun, b *gangMember, now time.Time) {
	end := func(c wire.ExitCause, saved bool) {
		b.run.checkpointed = saved
		b.run.cancel()
		b.worker.exitTask(b.task, b.run, c)
	}
	switch {
	case g.done && b.run.phase != wire.PhaseWaiting:
		end(wire.CauseDone, false)
	case b.run.phase == wire.PhaseWaiting:
		if now.Sub(b.waitingSince) > sim.Settings.Workers.GangWait.Duration() {
			g.incomplete++
			end(wire.CauseGangIncomplete, false)
		}
	case r.saved:
		if b.toldToStop && !now.Before(b.savedAt) {
			end(wire.CauseStopped, true)
		}
	case r.broken():
		if !now.Before(b.leavesAt) {
			end(wire.CauseGangBroken, false)
		}
	case !b.failAt.IsZero() && !now.Before(b.failAt):
		end(wire.CauseError, false)
	}
}

// GangState is the progress of a gang on its machines.
type GangState struct {
	Fetching, Waiting, Running, Saving   int
	Starts, Saves, Rollbacks, Incomplete int
	Saved                                float64
	Attempts                             int // attempts of which tasks are on machines
	Done                                 bool
}

// GangState returns the progress of a gang.
func (sim *Simulation) GangState(id wire.JobID) GangState {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out GangState
	tries := map[wire.AttemptNumber]bool{}
	for _, m := range sim.machines {
		for t, x := range m.tasks {
			if t.Job != id {
				continue
			}
			switch x.phase {
			case wire.PhaseFetching:
				out.Fetching++
			case wire.PhaseWaiting:
				out.Waiting++
			case wire.PhaseRunning:
				out.Running++
			case wire.PhaseCheckpointing:
				out.Saving++
			case wire.PhaseExited:
				continue
			}
			tries[x.attempt] = true
		}
	}
	out.Attempts = len(tries)
	if g := sim.gangs.jobs[id]; g != nil {
		out.Starts, out.Saves, out.Rollbacks, out.Incomplete, out.Saved, out.Done = g.starts, g.saves, g.rollbacks, g.incomplete, g.saved, g.done
	}
	return out
}
