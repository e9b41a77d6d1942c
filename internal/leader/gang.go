package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// gang is the one attempt of a gang's tasks that may be on machines. All of them
// carry one number, by which they find each other, and start together when the
// last has its image.
type gang struct {
	try  wire.Attempt
	from time.Time // when it was decided on, or inherited
	ran  bool      // a task of it ran: it was complete
	// lost: a task of it is gone, or was never there. The rest is stopped, and
	// the gang is queued again when nothing of it is left.
	lost bool
	// told: all were told to stop, with so much time to save; stopping: with any.
	told, stopping bool
	windDown       wire.Seconds
}

// startGang decides on all tasks of a gang at once, with a number that none of
// them has had. Nothing is sent before all of it is stored.
func (t *term) startGang(j *job, ms []*machine, now time.Time) {
	g := &gang{try: 1, from: now}
	n := (j.spec.Parts + j.per - 1) / j.per
	for i := range n {
		g.try = max(g.try, j.chunk(i).next)
	}
	j.gang = g
	for i := range n {
		j.chunks[i].next = g.try
	}
	for _, m := range ms {
		t.startWith(j, m, g.try, now)
	}
	for i := range n {
		j.chunks[i].next = g.try + 1
	}
}

// complete tells whether every task of the gang has an attempt that is stored.
func (j *job) complete() bool { return j.held == j.spec.Parts && j.plans == 0 }

// mayLaunch tells whether the attempt's launch may be sent. A gang's may once all
// of the gang is stored, and no more once a task of it is lost.
func (a *attempt) mayLaunch() bool {
	g := a.job.gang
	return g == nil || a.job.complete() && !g.lost && !g.stopping
}

// launchAgain tells whether a gang's task that its machine surely does not have,
// nor can get any more, is to be sent there again: the others wait for it, and
// its record stands. A leader may have ended between the first launch and the
// last. Once the gang has run it is lost with that task.
func (t *term) launchAgain(a *attempt) bool {
	g := a.job.gang
	wait := t.set.Workers.GangWaitS.Duration()
	return g != nil && !a.seen && !a.halting && !g.ran && a.mayLaunch() && !a.job.cancelled && a.m.drain == "" && !a.m.releasing &&
		time.Since(g.from) < wait
}

// haltGang stops all tasks of a gang, all of them at once: those that are told
// late don't save.
func (t *term) haltGang(j *job, windDown wire.Seconds, why string) {
	g := j.gang
	if !g.ran {
		windDown = 0 // there is nothing to save
	}
	if g.told && g.windDown <= windDown {
		return
	}
	g.told, g.windDown, g.stopping = true, windDown, windDown > 0
	for _, a := range j.attempts() {
		t.haltOne(a, windDown, why)
	}
}

// mendGangs looks after the gangs that have lost a task: what is left of one can
// do nothing, and is stopped. Those that were told to stop in order end by
// themselves.
func (t *term) mendGangs() {
	for j := range t.lacking {
		delete(t.lacking, j)
		g := j.gang
		switch {
		case g == nil:
		case j.held == 0:
			j.gang = nil
			t.wantRound()
		case !g.lost:
			g.lost = true
			if !g.stopping {
				for _, a := range j.attempts() {
					t.haltOne(a, 0, "its gang is not complete")
				}
			}
		}
	}
}

// gangDone notes that a task of a gang has completed: they complete together.
func (t *term) gangDone(j *job) {
	for _, a := range j.attempts() {
		t.drop(a, taskDone)
	}
	for n := range j.chunks {
		c := j.chunk(n)
		for i, s := range c.state {
			if s != taskDone {
				c.state[i] = taskDone
				j.done++
				t.mark(c)
			}
		}
	}
	j.gang = nil
	t.checkOver(j)
}

// readGang finds out how the attempt of a gang stands that an earlier leader
// recorded: whole, in part, or completed in part of the record.
func (t *term) readGang(j *job) {
	if !j.spec.Gang() {
		return
	}
	if j.done > 0 && j.done < j.spec.Parts {
		t.gangDone(j)
		return
	}
	if j.held == 0 {
		return
	}
	j.gang = &gang{from: t.born}
	for _, a := range j.attempts() {
		j.gang.try = max(j.gang.try, a.try)
	}
	for _, a := range j.attempts() {
		if a.try != j.gang.try || !j.complete() {
			t.lacking[j] = struct{}{}
		}
	}
}

// windDown of a gang: each has its time to save, and what is saved waits for the
// others.
func (t *term) windDownOf(j *job) wire.Seconds {
	w := windDownOf(j)
	if w > 0 && j.spec.Gang() {
		w += t.set.Workers.GangPeerS
	}
	return w
}
