package leader

import (
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// runCycle places what waits.
func (t *term) runCycle(now time.Time) {
	t.state.cycle.begin(now)
	var waiting []*job
	for _, j := range t.state.jobs {
		if t.schedulable(j, now) {
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
			t.startTask(j, ms[st.Machine], now)
		}
	}
	for j, ms := range gangs {
		t.startGang(j, ms, now)
	}
	for _, c := range res.Reservations {
		m := t.state.machines[c.Machine]
		until := now.Add(t.stopDuration(0))
		if j := t.state.jobs[c.Job]; j != nil && j.spec.Gang() {
			until = until.Add(wire.Seconds(t.patienceSeconds(j, now)).Duration()) // for as long as the others' room takes
		}
		m.reservations = append(m.reservations, reservation{c.Reservation, c.AwaitedTasks, until})
		t.reservedMachines[m] = struct{}{}
	}
	for _, v := range res.Preemptions {
		if a := t.state.activeAttempt(v.Task); a != nil {
			t.stop(a, t.state.gracePeriodOf(a.job), EvictedPreempted)
			for i := range a.machine.reservations { // it may take that long to save
				c := &a.machine.reservations[i]
				c.until = latest(c.until, now.Add(t.stopDuration(a.gracePeriod)))
			}
		}
	}
	if len(res.Reservations) > 0 {
		t.extendGangReservations()
	}
	t.state.cycle.lastDuration = time.Since(now)
	t.leader.Metrics.SchedulingCycle(t.state.cycle.lastDuration, len(res.Starts), len(res.Preemptions))
}

// extendGangReservations keeps all the room that is being made for a gang until the last of it can
// be free: it needs all of it at once, and what is free first would go to others.
func (t *term) extendGangReservations() {
	last := map[wire.JobID]time.Time{}
	each := func(f func(c *reservation)) {
		for m := range t.reservedMachines {
			for i := range m.reservations {
				if j := t.state.jobs[m.reservations[i].Job]; j != nil && j.spec.Gang() {
					f(&m.reservations[i])
				}
			}
		}
	}
	each(func(c *reservation) { last[c.Job] = latest(last[c.Job], c.until) })
	each(func(c *reservation) { c.until = last[c.Job] })
}

// attempt that holds a task; nil if none does.
func (s *State) activeAttempt(task wire.Task) *attempt {
	j := s.jobs[task.Job]
	if j == nil || j.chunks[task.Index/j.tasksPerChunk] == nil {
		return nil
	}
	return j.chunks[task.Index/j.tasksPerChunk].attempts[task.Index%j.tasksPerChunk]
}

// reservation is room that is being made on a machine, and until when it is kept.
type reservation struct {
	placement.Reservation
	awaitedTasks []wire.Task // expected to end by themselves
	until        time.Time
}

// pruneReservations drops what is no longer claimed, since it took too long or the job's
// tasks found room elsewhere, and counts for how many units of each job room is
// being made.
func (t *term) pruneReservations(now time.Time) map[wire.JobID]int {
	n := map[wire.JobID]int{}
	for m := range t.reservedMachines {
		m.reservations = slices.DeleteFunc(m.reservations, func(c reservation) bool {
			j := t.state.jobs[c.Job]
			if now.After(c.until) || t.state.machines[m.id] != m || m.scalingIn || m.drainReason != "" || j == nil || j.cancelled || n[c.Job] >= j.pending() {
				return true
			}
			n[c.Job]++
			return false
		})
		if len(m.reservations) == 0 {
			delete(t.reservedMachines, m)
		}
	}
	// What is left of a gang's claims is of no use; room is made for all of it anew.
	short := func(id wire.JobID) bool {
		j := t.state.jobs[id]
		return j != nil && j.spec.Gang() && n[id] > 0 && n[id] < j.spec.Tasks
	}
	for m := range t.reservedMachines {
		if m.reservations = slices.DeleteFunc(m.reservations, func(c reservation) bool { return short(c.Job) }); len(m.reservations) == 0 {
			delete(t.reservedMachines, m)
		}
	}
	for id := range n {
		if short(id) {
			delete(n, id)
		}
	}
	return n
}

// stopDuration is how long a task that is told to stop takes to be gone, even if only
// the answer to its machine's next report tells it.
func (t *term) stopDuration(grace wire.Seconds) time.Duration {
	return grace.Duration() + t.state.heartbeatInterval()*5/4 + 2*time.Second
}

// gracePeriodOf is how long a task of the job is given to save.
func gracePeriodOf(j *job) wire.Seconds {
	if j.spec.CheckpointInterval > 0 {
		return j.spec.CheckpointTime + 2
	}
	return 0
}

func (t *term) schedulable(j *job, now time.Time) bool {
	return !j.cancelled && !j.finished && !j.archiving && !j.recordOutdated && !t.state.quarantined(j.spec.ID) && j.pending() > 0 && !now.Before(j.startNotBefore) &&
		(j.activeTasks == 0 || !j.spec.Gang()) // a gang only when nothing of its last attempt is left
}

// startTask decides on one task of the job.
func (t *term) startTask(j *job, m *machine, now time.Time) { t.startAttempt(j, m, 0, now) }

// startAttempt starts a task with an attempt's number, 0: the next one.
func (t *term) startAttempt(j *job, m *machine, try wire.Attempt, now time.Time) {
	j.forEachPending(1, func(c *chunk, i int) {
		a := &attempt{job: j, chunk: c, index: i, number: try, machine: m, decidedAt: now, unstored: true}
		if try == 0 {
			a.number = c.nextAttempt
			c.nextAttempt++
		}
		c.unstoredAttempts++
		j.unstoredAttempts++
		c.add(a)
		j.lastStartAt = now
		if i := slices.IndexFunc(m.reservations, func(c reservation) bool { return c.Job == j.spec.ID }); i >= 0 {
			m.reservations = slices.Delete(m.reservations, i, i+1)
		}
		t.state.unsaved.markDirty(c)
		t.log().Debug("starts", "task", a.task(), "attempt", a.number, "machine", m.id, "waited", now.Sub(j.acceptedAt))
	})
}
