package leader

import (
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
	for _, c := range res.Reservations {
		m := t.machines[c.Machine]
		until := now.Add(t.haltTime(0))
		if j := t.jobs[c.Job]; j != nil && j.spec.Gang() {
			until = until.Add(wire.Seconds(t.patience(j, now)).Duration()) // for as long as the others' room takes
		}
		m.claims = append(m.claims, claim{c.Reservation, c.AwaitedTasks, until})
		t.claimed[m] = struct{}{}
	}
	for _, v := range res.Preemptions {
		if a := t.attempt(v.Task); a != nil {
			t.halt(a, t.gracePeriodOf(a.job), movePreempted)
			for i := range a.machine.claims { // it may take that long to save
				c := &a.machine.claims[i]
				c.until = latest(c.until, now.Add(t.haltTime(a.gracePeriod)))
			}
		}
	}
	if len(res.Reservations) > 0 {
		t.extendGangClaims()
	}
	t.roundTook = time.Since(now)
	t.l.Metrics.SchedulingCycle(t.roundTook, len(res.Starts), len(res.Preemptions))
}

// extendGangClaims keeps all the room that is being made for a gang until the last of it can
// be free: it needs all of it at once, and what is free first would go to others.
func (t *term) extendGangClaims() {
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
	placement.Reservation
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

// haltTime is how long a task that is told to stop takes to be gone, even if only
// the answer to its machine's next report tells it.
func (t *term) haltTime(grace wire.Seconds) time.Duration {
	return grace.Duration() + reportInterval(t)*5/4 + 2*time.Second
}

// gracePeriodOf is how long a task of the job is given to save.
func gracePeriodOf(j *job) wire.Seconds {
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
