package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// onHello answers a report.
func (t *term) onReport(h reportCall) {
	now := time.Now()
	if !t.lease.Answering() {
		h.reply <- reportAnswer{refused: "can't tell whether this node still leads"}
		return
	}
	if !t.l.mayRenewLeases(now) {
		h.reply <- reportAnswer{refused: "can't tell what was cancelled"}
		return
	}
	if _, gone := t.gone[h.report.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		h.reply <- reportAnswer{refused: "this machine was returned"}
		return
	}
	if !t.recovered {
		if e, ok := t.earlyReports[h.report.Machine]; !ok || h.report.Newer(e.Session, e.Sequence) {
			t.earlyReports[h.report.Machine] = h.report
		}
		m := t.machine(h.report.Machine)
		m.seenAt, m.answeredAt = now, now
		h.reply <- reportAnswer{commands: t.cancelsFor(&h.report)}
		return
	}
	m := t.machine(h.report.Machine)
	if !h.report.Newer(m.session, m.sequence) {
		h.reply <- t.onStaleReport(m, &h.report, now)
		return
	}
	if h.relayed {
		// A worker that is new, or new to this leader, is sent here first. If
		// it was here before, or was sent here and turns up elsewhere again,
		// it can't reach this node.
		first := m.directReportAt.IsZero() && m.relayedReportAt.IsZero()
		m.relayedReportAt = now
		if first {
			h.reply <- reportAnswer{redirect: true}
			return
		}
		if !m.relayed {
			t.log().Info("worker reaches the leader only through another node", "machine", m.id)
		}
	} else {
		m.directReportAt = now
	}
	m.relayed = h.relayed
	t.checkInbound(m, &h.report, now)
	t.apply(m, &h.report, true, now)
	if t.renewalWithheld(m, &h.report, now) {
		h.reply <- reportAnswer{refused: "a cancelled task may still start there"}
		return
	}
	m.answeredAt = now
	m.inbound.answeredToken, m.inbound.answeredSession, m.inbound.answeredSequence = t.token, h.report.Session, h.report.Sequence
	answer := &wire.Commands{Token: t.token}
	if t.lease.Deciding() {
		answer.Commands = t.commandsFor(m, &h.report, now)
	} else {
		answer.Commands = t.haltCommands(m, t.l.cancelledTaskHalts(&h.report), now)
	}
	h.reply <- reportAnswer{commands: answer}
}

// cancelsFor answers a report with no more than the halts of what is known to be
// cancelled.
func (t *term) cancelsFor(rep *wire.Report) *wire.Commands {
	return &wire.Commands{Token: t.token, Commands: t.l.cancelledTaskHalts(rep)}
}

// crossing is how long after a message of a worker an older report of it may
// still be waiting for its answer: workers give up after 4 s.
const crossing = 4 * time.Second

// onStaleReport deals with a report that is not newer than what is known. Mostly it
// has crossed the answer to a direct command; it may be a copy that comes
// late, which says nothing of now, not even that the machine lives; and it
// may come from a machine that was back at once and counts anew. The machine
// itself is asked which.
func (t *term) onStaleReport(m *machine, rep *wire.Report, now time.Time) reportAnswer {
	crossed := now.Sub(m.seenAt) < crossing
	if (!crossed || rep.Session != m.session || rep.Sequence+2 < m.sequence) && now.Sub(m.verifiedAt) > time.Second && !m.releasing && t.lease.Deciding() {
		m.verifiedAt = now
		t.probe(m)
	}
	if !crossed {
		return reportAnswer{refused: "an older report than the last"}
	}
	m.answeredAt = now
	return reportAnswer{commands: t.cancelsFor(rep)}
}

// restarted takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last life.
func (t *term) onRestart(m *machine, rep *wire.Report, now time.Time) {
	t.log().Info("machine restarted", "machine", m.id, "tasks", len(m.tasks), "session", rep.Session, "sequence", rep.Sequence, "was_session", m.session, "was_sequence", m.sequence)
	m.session, m.sequence, m.images = 0, 0, imageCache{}
	for _, a := range m.tasks {
		a.answerSequence = 0 // the answer that carried it went to the last life
	}
	t.drainMachine(m, "restarted")
	t.apply(m, rep, false, now)
	m.restarted = true
	t.release(m, "restarted")
}

// apply takes in a report, however it came. It tells whether it was newer
// than what was known.
func (t *term) apply(m *machine, rep *wire.Report, viaHello bool, now time.Time) bool {
	if !rep.Newer(m.session, m.sequence) || m.restarted {
		return false
	}
	if viaHello {
		t.reportCount++
	}
	t.lastFromZone[rep.Zone] = zoneContact{now, t.reportCount}
	if m.upAt.IsZero() {
		m.upAt = now
		t.noteUp(m, now)
		t.requestRound()
	}
	if rep.Session > m.session {
		// A lease that ran out leaves the images where they are; a new life
		// starts from the first session again.
		m.sessionSince = now
	}
	m.addr, m.machineType, m.zone, m.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.session, m.sequence, m.seenAt, m.booting, m.unansweredProbes = rep.Session, rep.Sequence, now, false, 0
	if m.token < t.firstToken && rep.Token >= t.firstToken {
		m.tokenShownAt = now
	}
	m.token = max(m.token, rep.Token)
	if viaHello {
		m.reportsMissingSince = time.Time{}
	} else if m.reportsMissingSince.IsZero() {
		m.reportsMissingSince = now
	}
	if rep.SpotNotice != nil {
		at := now.Add(rep.SpotNotice.Duration())
		if m.takenBackAt.IsZero() {
			t.log().Info("spot notice", "machine", m.id, "in", rep.SpotNotice.Duration(), "tasks", len(m.tasks))
			t.drainMachine(m, "spot notice")
		}
		m.takenBackAt = at
	}
	clear(m.orphans)
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
			m.orphans[task] = true
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
			t.log().Info("task is gone from its machine", "task", task, "attempt", a.number, "machine", m.id, "session", rep.Session)
			t.l.Metrics.Moved("gone")
			t.drop(a, taskPending)
		case a.halting, m.drainReason != "", a.job.cancelled:
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
		t.inboundWorks(m)
	}
	a.reported = true
	if p.Phase != wire.PhaseFetching && p.Cause != wire.CauseFull && p.Cause != wire.CauseBusy && p.Cause != wire.CauseNoSuch &&
		!(p.Phase == wire.PhaseExited && a.phase == wire.PhaseFetching && (p.Cause == wire.CauseStopped || p.Cause == wire.CauseGangBroken || p.Cause == wire.CauseGangIncomplete)) {
		m.images.touch(j.spec.Image, j.spec.ImageGB, t.imageCacheGB(m.machineType), now)
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
			t.onCompletion(a, now)
		}
		j.succeeded, j.failures = true, 0
		clear(j.failedOn)
		clear(m.failedJobs)
		m.failures = 0
		if j.spec.Gang() {
			t.gangDone(j)
			break
		}
		t.drop(a, taskDone)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		t.drop(a, taskPending)
	case wire.CauseError:
		t.onFailure(a, now)
		t.drop(a, taskPending)
	default:
		t.log().Info("start refused", "task", a.task(), "attempt", a.number, "machine", m.id, "cause", p.Cause)
		m.fullUntil = now.Add(2 * time.Second)
		if p.Cause == wire.CauseNoSuch {
			j.notBefore = now.Add(2 * time.Second)
		}
		t.drop(a, taskPending)
	}
}
