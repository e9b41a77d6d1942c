package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// onHello answers a report.
func (t *term) onHello(h hello) {
	now := time.Now()
	if !t.lease.Answering() {
		h.reply <- reply{refused: "can't tell whether this node still leads"}
		return
	}
	if !t.l.mayRenewLeases(now) {
		h.reply <- reply{refused: "can't tell what was cancelled"}
		return
	}
	o := &wire.Commands{Token: t.token, Commands: t.l.cancelledTaskHalts(&h.rep)}
	if _, gone := t.gone[h.rep.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		h.reply <- reply{refused: "this machine was returned"}
		return
	}
	if !t.recovered {
		if e, ok := t.earlyReports[h.rep.Machine]; !ok || h.rep.Newer(e.Session, e.Sequence) {
			t.earlyReports[h.rep.Machine] = h.rep
		}
		m := t.machine(h.rep.Machine)
		m.seenAt, m.answered = now, now
		h.reply <- reply{orders: o}
		return
	}
	m := t.machine(h.rep.Machine)
	if !h.rep.Newer(m.shift, m.tally) {
		h.reply <- t.older(m, &h.rep, o, now)
		return
	}
	if h.relayed {
		// A worker that is new, or new to this leader, is sent here first. If
		// it was here before, or was sent here and turns up elsewhere again,
		// it can't reach this node.
		first := m.directAt.IsZero() && m.sentAt.IsZero()
		m.sentAt = now
		if first {
			h.reply <- reply{here: true}
			return
		}
		if !m.relayed {
			t.log().Info("worker reaches the leader only through another node", "machine", m.id)
		}
	} else {
		m.directAt = now
	}
	m.relayed = h.relayed
	t.listen(m, &h.rep, now)
	t.apply(m, &h.rep, true, now)
	if t.renewalWithheld(m, &h.rep, now) {
		h.reply <- reply{refused: "a cancelled task may still start there"}
		return
	}
	m.answered = now
	m.hearing.told, m.hearing.shift, m.hearing.tally = t.token, h.rep.Session, h.rep.Sequence
	if t.lease.Deciding() {
		o.Commands = t.orders(m, &h.rep, now)
	}
	h.reply <- reply{orders: o}
}

// crossing is how long after a message of a worker an older report of it may
// still be waiting for its answer: workers give up after 4 s.
const crossing = 4 * time.Second

// older deals with a report that is not newer than what is known. Mostly it
// has crossed the answer to a direct command; it may be a copy that comes
// late, which says nothing of now, not even that the machine lives; and it
// may come from a machine that was back at once and counts anew. The machine
// itself is asked which.
func (t *term) older(m *machine, rep *wire.Report, o *wire.Commands, now time.Time) reply {
	crossed := now.Sub(m.seenAt) < crossing
	if (!crossed || rep.Session != m.shift || rep.Sequence+2 < m.tally) && now.Sub(m.verified) > time.Second && !m.releasing && t.lease.Deciding() {
		m.verified = now
		t.probe(m)
	}
	if !crossed {
		return reply{refused: "an older report than the last"}
	}
	m.answered = now
	return reply{orders: o}
}

// reborn takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last life.
func (t *term) reborn(m *machine, rep *wire.Report, now time.Time) {
	t.log().Info("machine began a new life", "machine", m.id, "tasks", len(m.tasks), "shift", rep.Session, "tally", rep.Sequence, "was_shift", m.shift, "was_tally", m.tally)
	m.shift, m.tally, m.images = 0, 0, imageCache{}
	for _, a := range m.tasks {
		a.answerSequence = 0 // the answer that carried it went to the last life
	}
	t.drainMachine(m, "began a new life")
	t.apply(m, rep, false, now)
	m.reborn = true
	t.release(m, "began a new life")
}

// apply takes in a report, however it came. It tells whether it was newer
// than what was known.
func (t *term) apply(m *machine, rep *wire.Report, viaHello bool, now time.Time) bool {
	if !rep.Newer(m.shift, m.tally) || m.reborn {
		return false
	}
	if viaHello {
		t.reports++
	}
	t.heard[rep.Zone] = heard{now, t.reports}
	if m.upAt.IsZero() {
		m.upAt = now
		t.fleetUp(m, now)
		t.requestRound()
	}
	if rep.Session > m.shift {
		// A lease that ran out leaves the images where they are; a new life
		// starts from the first session again.
		m.shiftAt = now
	}
	m.addr, m.kit, m.zone, m.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.shift, m.tally, m.seenAt, m.booting, m.probes = rep.Session, rep.Sequence, now, false, 0
	if m.baton < t.firstToken && rep.Token >= t.firstToken {
		m.tokenAt = now
	}
	m.baton = max(m.baton, rep.Token)
	if viaHello {
		m.muteAt = time.Time{}
	} else if m.muteAt.IsZero() {
		m.muteAt = now
	}
	if rep.SpotNotice != nil {
		at := now.Add(rep.SpotNotice.Duration())
		if m.notice.IsZero() {
			t.log().Info("spot notice", "machine", m.id, "in", rep.SpotNotice.Duration(), "tasks", len(m.tasks))
			t.drainMachine(m, "spot notice")
		}
		m.notice = at
	}
	clear(m.strays)
	listed := make(map[wire.Task]*wire.TaskState, len(rep.Tasks))
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			listed[task] = p
			t.progress(a, p, now)
		} else if p.Phase != wire.PhaseExited {
			m.strays[task] = true
		}
	}
	for task, a := range m.tasks {
		if listed[task] != nil || a.planned || t.canStart(a, rep, viaHello) {
			continue
		}
		switch {
		case t.launchAgain(a):
			a.inherited, a.sent, a.launchUnanswered, a.answerSequence = false, false, false, 0
		case a.reported, a.inherited, rep.Session > a.sentSession && a.sent:
			t.log().Info("task is gone from its machine", "task", task, "try", a.number, "machine", m.id, "shift", rep.Session)
			t.l.Metrics.Moved("gone")
			t.drop(a, taskPending)
		case a.halting, m.drain != "", a.job.cancelled:
			t.drop(a, taskPending)
		default:
			// Stored, not delivered: it is sent (again).
			a.launchUnanswered, a.answerSequence = false, 0
		}
	}
	return true
}

// progress takes in the state of an attempt of ours.
func (t *term) progress(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	if a.sent && !a.reported {
		t.hears(m)
	}
	a.reported = true
	if p.Phase != wire.PhaseFetching && p.Cause != wire.CauseFull && p.Cause != wire.CauseBusy && p.Cause != wire.CauseNoSuch &&
		!(p.Phase == wire.PhaseExited && a.phase == wire.PhaseFetching && (p.Cause == wire.CauseStopped || p.Cause == wire.CauseGangBroken || p.Cause == wire.CauseGangIncomplete)) {
		m.images.touch(j.spec.Image, j.spec.ImageGB, t.localGB(m.kit), now)
		if a.fetchedAt.IsZero() {
			a.fetchedAt = now
		}
	}
	if p.Phase == wire.PhaseRunning && a.runningSince.IsZero() {
		a.runningSince = now
		if !j.started {
			j.started = true
			t.l.Metrics.Waited(j.spec.Class, now.Sub(j.acceptedAt).Seconds())
		}
	}
	a.phase = p.Phase
	if j.gang != nil && (p.Phase == wire.PhaseRunning || p.Phase == wire.PhaseSaving || p.Cause == wire.CauseGangBroken) {
		j.gang.ran = true
	}
	if g := j.gang; g != nil && p.Phase == wire.PhaseSaving && !g.told && !g.lost && !j.cancelled && a.inherited {
		// An earlier leader began to stop it, and may not have told all. Those
		// that don't hear of it in time don't save.
		t.haltGang(j, t.windDownOf(j), "an earlier leader stops its gang")
	}
	if p.Phase != wire.PhaseExited {
		return
	}
	switch p.Cause {
	case wire.CauseDone:
		if !a.runningSince.IsZero() && !j.spec.Gang() { // a gang goes at its slowest machine's speed
			t.timed(a, now)
		}
		j.succeeded, j.failures = true, 0
		clear(j.failedOn)
		clear(m.errs)
		m.errCount = 0
		if j.spec.Gang() {
			t.gangDone(j)
			break
		}
		t.drop(a, taskDone)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		t.drop(a, taskPending)
	case wire.CauseError:
		t.failed(a, now)
		t.drop(a, taskPending)
	default:
		t.log().Info("start refused", "task", a.task(), "try", a.number, "machine", m.id, "cause", p.Cause)
		m.fullUntil = now.Add(2 * time.Second)
		if p.Cause == wire.CauseNoSuch {
			j.notBefore = now.Add(2 * time.Second)
		}
		t.drop(a, taskPending)
	}
}
