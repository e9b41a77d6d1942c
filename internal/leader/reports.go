package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// onReport answers a report.
func (t *term) onReport(c reportCall) { c.reply <- t.answerReport(&c.report, c.relayed, time.Now()) }

func (t *term) answerReport(rep *wire.Heartbeat, relayed bool, now time.Time) reportAnswer {
	if !t.lease.Answering() {
		return reportAnswer{refused: refusedNotLeading}
	}
	if !t.l.delegate.MayRenew(now) {
		return reportAnswer{refused: refusedCancels}
	}
	if _, gone := t.gone[rep.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		return reportAnswer{refused: refusedReleased}
	}
	m := t.machine(rep.Machine)
	if !t.recovered {
		t.keepEarlyReport(rep)
		m.seenAt, m.answeredAt = now, now
		return reportAnswer{commands: t.cancelledHalts(rep)}
	}
	if !rep.Newer(m.session, m.sequence) {
		return t.onStaleReport(m, rep, now)
	}
	if t.notePath(m, relayed, now) {
		return reportAnswer{redirect: true}
	}
	t.checkInbound(m, rep, now)
	t.apply(m, rep, true, now)
	if t.renewalWithheld(m, rep, now) {
		return reportAnswer{refused: refusedCancelPends}
	}
	m.answeredAt = now
	m.inbound.Answered(t.token, rep.Epoch, rep.Sequence)
	answer := &wire.Commands{Token: t.token}
	if t.lease.Deciding() {
		answer.Commands = t.commandsFor(m, rep, now)
	} else {
		answer.Commands = t.haltCommands(m, t.l.delegate.Halts(rep), now)
	}
	return reportAnswer{commands: answer}
}

// cancelledHalts answers a report with no more than the halts of what is known to be
// cancelled.
func (t *term) cancelledHalts(rep *wire.Heartbeat) *wire.Commands {
	return &wire.Commands{Token: t.token, Commands: t.l.delegate.Halts(rep)}
}

// keepEarlyReport keeps the newest report of a machine until the records are read.
func (t *term) keepEarlyReport(rep *wire.Heartbeat) {
	if e, ok := t.earlyReports[rep.Machine]; !ok || rep.Newer(e.Epoch, e.Sequence) {
		t.earlyReports[rep.Machine] = *rep
	}
}

// notePath notes by which way a report came. It tells whether the worker should
// come here by itself: one that is new, or new to this leader, is sent here first.
// If it was here before, or was sent here and turns up elsewhere again, it can't
// reach this node.
func (t *term) notePath(m *machine, relayed bool, now time.Time) (redirect bool) {
	if !relayed {
		m.directReportAt = now
		m.relayed = false
		return false
	}
	first := m.directReportAt.IsZero() && m.relayedReportAt.IsZero()
	m.relayedReportAt = now
	if first {
		return true
	}
	if !m.relayed {
		t.log().Info("worker reaches the leader only through another node", "machine", m.id)
	}
	m.relayed = true
	return false
}

// crossing is how long after a message of a worker an older report of it may
// still be waiting for its answer: workers give up after 4 s.
const crossing = 4 * time.Second

// onStaleReport deals with a report that is not newer than what is known. Mostly it
// has crossed the answer to a direct command; it may be a copy that comes
// late, which says nothing of now, not even that the machine lives; and it
// may come from a machine that was back at once and counts anew. The machine
// itself is asked which.
func (t *term) onStaleReport(m *machine, rep *wire.Heartbeat, now time.Time) reportAnswer {
	crossed := now.Sub(m.seenAt) < crossing
	if (!crossed || rep.Epoch != m.session || rep.Sequence+2 < m.sequence) && now.Sub(m.verifiedAt) > time.Second && !m.releasing && t.lease.Deciding() {
		m.verifiedAt = now
		t.probe(m)
	}
	if !crossed {
		return reportAnswer{refused: refusedStale}
	}
	m.answeredAt = now
	return reportAnswer{commands: t.cancelledHalts(rep)}
}

// onRestart takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last run.
func (t *term) onRestart(m *machine, rep *wire.Heartbeat, now time.Time) {
	t.log().Info("machine restarted", "machine", m.id, "tasks", len(m.tasks), "session", rep.Epoch, "sequence", rep.Sequence, "was_session", m.session, "was_sequence", m.sequence)
	m.session, m.sequence, m.images = 0, 0, imageCache{}
	for _, a := range m.tasks {
		a.answerSequence = 0 // the answer that carried it went to the last run
	}
	t.drainMachine(m, drainRestarted)
	t.apply(m, rep, false, now)
	m.restarted = true
	t.release(m, drainRestarted)
}

// apply takes in a report, or the answer to a command, which is the same. It tells
// whether it was newer than what was known.
func (t *term) apply(m *machine, rep *wire.Heartbeat, sent bool, now time.Time) bool {
	if !rep.Newer(m.session, m.sequence) || m.restarted {
		return false
	}
	t.zoneDetector.Heard(rep.Zone, sent, now)
	if m.upAt.IsZero() {
		m.upAt = now
		t.noteUp(m, now)
		t.requestRound()
	}
	t.applyPosition(m, rep, now)
	if sent {
		m.reportsMissingSince = time.Time{}
	} else if m.reportsMissingSince.IsZero() {
		m.reportsMissingSince = now
	}
	t.applySpotNotice(m, rep, now)
	listed := make(map[wire.Task]bool, len(rep.Tasks)) // made here, it needs no heap
	t.applyTasks(m, rep, listed, now)
	for task, a := range m.tasks {
		if !listed[task] && !a.planned && !t.canStart(a, rep, sent) {
			t.onMissing(a, rep)
		}
	}
	return true
}

// applyPosition takes in what a report says of the machine itself.
func (t *term) applyPosition(m *machine, rep *wire.Heartbeat, now time.Time) {
	if rep.Epoch > m.session {
		// A lease that ran out leaves the images where they are; a restart
		// begins with the first session again.
		m.sessionSince = now
	}
	m.addr, m.machineType, m.zone, m.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.session, m.sequence = rep.Epoch, rep.Sequence
	m.seenAt, m.booting, m.unansweredProbes = now, false, 0
	if m.token < t.firstToken && rep.Token >= t.firstToken {
		m.tokenShownAt = now
	}
	m.token = max(m.token, rep.Token)
}

// applySpotNotice takes in that the cloud will take the machine back.
func (t *term) applySpotNotice(m *machine, rep *wire.Heartbeat, now time.Time) {
	if rep.SpotNotice == nil {
		return
	}
	if m.takenBackAt.IsZero() {
		t.log().Info("spot notice", "machine", m.id, "in", rep.SpotNotice.Duration(), "tasks", len(m.tasks))
		t.drainMachine(m, drainSpotNotice)
	}
	m.takenBackAt = now.Add(rep.SpotNotice.Duration())
}

// applyTasks takes in the states of the tasks in a report and notes which of ours
// are in it; what else runs there is orphaned.
func (t *term) applyTasks(m *machine, rep *wire.Heartbeat, listed map[wire.Task]bool, now time.Time) {
	clear(m.orphans)
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			listed[task] = true
			t.progress(a, p, now)
		} else if p.Phase != wire.PhaseExited {
			m.orphans[task] = true
		}
	}
}

// onMissing deals with an attempt that its machine's report lacks and that can't
// start there any more by what was sent.
func (t *term) onMissing(a *attempt, rep *wire.Heartbeat) {
	m := a.machine
	switch {
	case t.launchAgain(a):
		a.inherited, a.sent, a.launchUnanswered, a.answerSequence = false, false, false, 0
	case a.reported, a.inherited, rep.Epoch > a.sentSession && a.sent:
		t.log().Info("task is gone from its machine", "task", a.task(), "attempt", a.number, "machine", m.id, "session", rep.Epoch)
		t.l.Metrics.TaskMoved(string(moveGone))
		t.drop(a, taskPending)
	case a.halting, m.drainReason != "", a.job.cancelled:
		t.drop(a, taskPending)
	default:
		// Stored, not delivered: it is sent (again).
		a.launchUnanswered, a.answerSequence = false, 0
	}
}

// refusedRest is how long a machine that refused a start, or a job whose image was
// not there, gets no further one.
const refusedRest = 2 * time.Second

// progress takes in the state of an attempt of ours.
func (t *term) progress(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	if a.sent && !a.reported {
		t.inboundWorks(m)
	}
	a.reported = true
	if hasImage(a, p) {
		m.images.touch(j.spec.Image, j.spec.ImageGB, t.imageCacheGB(m.machineType), now)
		if a.fetchedAt.IsZero() {
			a.fetchedAt = now
		}
	}
	if p.Phase == wire.PhaseRunning && a.runningSince.IsZero() {
		a.runningSince = now
		if !j.started {
			j.started = true
			t.l.Metrics.StartDelay(j.spec.Class, now.Sub(j.acceptedAt).Seconds())
		}
	}
	a.phase = p.Phase
	t.gangProgress(a, p)
	if p.Phase == wire.PhaseExited {
		t.onExit(a, p, now)
	}
}

// hasImage tells whether an attempt's state shows that its image is on the machine.
func hasImage(a *attempt, p *wire.TaskState) bool {
	if p.Phase == wire.PhaseFetching {
		return false
	}
	switch p.Cause {
	case wire.CauseFull, wire.CauseBusy, wire.CauseNoSuch:
		return false
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		return p.Phase != wire.PhaseExited || a.phase != wire.PhaseFetching
	}
	return true
}

// gangProgress notes what the state of a task says of its gang.
func (t *term) gangProgress(a *attempt, p *wire.TaskState) {
	j, g := a.job, a.job.gang
	if g == nil {
		return
	}
	if p.Phase == wire.PhaseRunning || p.Phase == wire.PhaseSaving || p.Cause == wire.CauseGangBroken {
		g.ran = true
	}
	if p.Phase == wire.PhaseSaving && !g.haltSent && !g.lost && !j.cancelled && a.inherited {
		// An earlier leader began to stop it, and may not have told all. Those
		// that don't learn of it in time don't save.
		t.haltGang(j, t.gracePeriodOf(j), moveEarlierLeader)
	}
}

// onExit takes in that an attempt has ended.
func (t *term) onExit(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	switch p.Cause {
	case wire.CauseDone:
		t.onDone(a, now)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		t.drop(a, taskPending)
	case wire.CauseError:
		t.onFailure(a, now)
		t.drop(a, taskPending)
	default:
		t.log().Info("start refused", "task", a.task(), "attempt", a.number, "machine", m.id, "cause", p.Cause)
		m.fullUntil = now.Add(refusedRest)
		if p.Cause == wire.CauseNoSuch {
			j.notBefore = now.Add(refusedRest)
		}
		t.drop(a, taskPending)
	}
}

// onDone takes in that a task is complete.
func (t *term) onDone(a *attempt, now time.Time) {
	m, j := a.machine, a.job
	if !a.runningSince.IsZero() && !j.spec.Gang() { // a gang goes at its slowest machine's speed
		t.onCompletion(a, now)
	}
	j.succeeded, j.failures = true, 0
	clear(j.failedOn)
	clear(m.failedJobs)
	m.failures = 0
	if j.spec.Gang() {
		t.gangDone(j)
		return
	}
	t.drop(a, taskDone)
}
