package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// onHeartbeat answers a report.
func (t *term) onHeartbeat(c heartbeatCall) {
	c.reply <- t.answerHeartbeat(&c.heartbeat, c.relayed, time.Now())
}

func (t *term) answerHeartbeat(rep *wire.Heartbeat, relayed bool, now time.Time) heartbeatReply {
	if !t.lease.Answering() {
		return heartbeatReply{rejected: rejectedNotLeading}
	}
	if !t.leader.delegate.MayRenew(now) {
		return heartbeatReply{rejected: rejectedCancellationsUnknown}
	}
	if _, gone := t.state.removedMachines[rep.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		return heartbeatReply{rejected: rejectedMachineRemoved}
	}
	m := t.state.getOrAddMachine(rep.Machine)
	if !t.recovered {
		t.keepEarlyHeartbeat(rep)
		m.lastMessageAt, m.lastReplyAt = now, now
		return heartbeatReply{commands: t.cancelledStops(rep)}
	}
	if !rep.Newer(m.epoch, m.sequence) {
		return t.onStaleHeartbeat(m, rep, now)
	}
	if t.recordHeartbeatPath(m, relayed, now) {
		return heartbeatReply{redirect: true}
	}
	t.checkInbound(m, rep, now)
	t.reconcile(m, rep, true, now)
	if t.renewalWithheld(m, rep, now) {
		return heartbeatReply{rejected: rejectedCancelPending}
	}
	m.lastReplyAt = now
	m.inbound.Answered(t.token, rep.Epoch, rep.Sequence)
	answer := &wire.Commands{Token: t.token}
	if t.lease.Deciding() {
		answer.Commands = t.commandsFor(m, rep, now)
	} else {
		answer.Commands = t.stopCommands(m, t.leader.delegate.Halts(rep), now)
	}
	return heartbeatReply{commands: answer}
}

// cancelledStops answers a report with no more than the halts of what is known to be
// cancelled.
func (t *term) cancelledStops(rep *wire.Heartbeat) *wire.Commands {
	return &wire.Commands{Token: t.token, Commands: t.leader.delegate.Halts(rep)}
}

// keepEarlyHeartbeat keeps the newest report of a machine until the records are read.
func (t *term) keepEarlyHeartbeat(rep *wire.Heartbeat) {
	if e, ok := t.earlyHeartbeats[rep.Machine]; !ok || rep.Newer(e.Epoch, e.Sequence) {
		t.earlyHeartbeats[rep.Machine] = *rep
	}
}

// recordHeartbeatPath notes by which way a report came. It tells whether the worker should
// come here by itself: one that is new, or new to this leader, is sent here first.
// If it was here before, or was sent here and turns up elsewhere again, it can't
// reach this node.
func (t *term) recordHeartbeatPath(m *machine, relayed bool, now time.Time) (redirect bool) {
	if !relayed {
		m.directHeartbeatAt = now
		m.relayedOnly = false
		return false
	}
	first := m.directHeartbeatAt.IsZero() && m.relayedHeartbeatAt.IsZero()
	m.relayedHeartbeatAt = now
	if first {
		return true
	}
	if !m.relayedOnly {
		t.log().Info("worker reaches the leader only through another node", "machine", m.id)
	}
	m.relayedOnly = true
	return false
}

// crossingWindow is how long after a message of a worker an older report of it may
// still be waiting for its answer: workers give up after 4 s.
const crossingWindow = 4 * time.Second

// onStaleHeartbeat deals with a report that is not newer than what is known. Mostly it
// has crossed the answer to a direct command; it may be a copy that comes
// late, which says nothing of now, not even that the machine lives; and it
// may come from a machine that was back at once and counts anew. The machine
// itself is asked which.
func (t *term) onStaleHeartbeat(m *machine, rep *wire.Heartbeat, now time.Time) heartbeatReply {
	crossed := now.Sub(m.lastMessageAt) < crossingWindow
	if (!crossed || rep.Epoch != m.epoch || rep.Sequence+2 < m.sequence) && now.Sub(m.lastVerifiedAt) > time.Second && !m.scalingIn && t.lease.Deciding() {
		m.lastVerifiedAt = now
		t.probe(m)
	}
	if !crossed {
		return heartbeatReply{rejected: rejectedStale}
	}
	m.lastReplyAt = now
	return heartbeatReply{commands: t.cancelledStops(rep)}
}

// onRestart takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last run.
func (t *term) onRestart(m *machine, rep *wire.Heartbeat, now time.Time) {
	t.log().Info("machine restarted", "machine", m.id, "tasks", len(m.tasks), "session", rep.Epoch, "sequence", rep.Sequence, "was_session", m.epoch, "was_sequence", m.sequence)
	m.epoch, m.sequence, m.images = 0, 0, imageCache{}
	for _, a := range m.tasks {
		a.replySequence = 0 // the answer that carried it went to the last run
	}
	t.drainMachine(m, drainRestarted)
	t.reconcile(m, rep, false, now)
	m.restarted = true
	t.scaleIn(m, drainRestarted)
}

// reconcile takes in a report, or the answer to a command, which is the same. It tells
// whether it was newer than what was known.
func (t *term) reconcile(m *machine, rep *wire.Heartbeat, sent bool, now time.Time) bool {
	if !rep.Newer(m.epoch, m.sequence) || m.restarted {
		return false
	}
	t.state.zoneDetector.Heard(rep.Zone, sent, now)
	if m.firstHeartbeatAt.IsZero() {
		m.firstHeartbeatAt = now
		t.logMachineUp(m, now)
		t.state.requestCycle()
	}
	t.updateMachine(m, rep, now)
	if sent {
		m.heartbeatsMissingSince = time.Time{}
	} else if m.heartbeatsMissingSince.IsZero() {
		m.heartbeatsMissingSince = now
	}
	t.updateSpotNotice(m, rep, now)
	listed := make(map[wire.Task]bool, len(rep.Tasks)) // made here, it needs no heap
	t.reconcileTasks(m, rep, listed, now)
	for task, a := range m.tasks {
		if !listed[task] && !a.unstored && !t.state.launchMayTakeEffect(a, rep, sent) {
			t.onMissingAttempt(a, rep)
		}
	}
	return true
}

// updateMachine takes in what a report says of the machine itself.
func (t *term) updateMachine(m *machine, rep *wire.Heartbeat, now time.Time) {
	if rep.Epoch > m.epoch {
		// A lease that ran out leaves the images where they are; a restart
		// begins with the first session again.
		m.epochSince = now
	}
	m.addr, m.machineType, m.zone, m.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.epoch, m.sequence = rep.Epoch, rep.Sequence
	m.lastMessageAt, m.booting, m.unansweredProbes = now, false, 0
	if m.token < t.state.firstToken && rep.Token >= t.state.firstToken {
		m.tokenSeenAt = now
	}
	m.token = max(m.token, rep.Token)
}

// updateSpotNotice takes in that the cloud will take the machine back.
func (t *term) updateSpotNotice(m *machine, rep *wire.Heartbeat, now time.Time) {
	if rep.SpotNotice == nil {
		return
	}
	if m.reclaimAt.IsZero() {
		t.log().Info("spot notice", "machine", m.id, "in", rep.SpotNotice.Duration(), "tasks", len(m.tasks))
		t.drainMachine(m, drainSpotNotice)
	}
	m.reclaimAt = now.Add(rep.SpotNotice.Duration())
}

// reconcileTasks takes in the states of the tasks in a report and notes which of ours
// are in it; what else runs there is orphaned.
func (t *term) reconcileTasks(m *machine, rep *wire.Heartbeat, listed map[wire.Task]bool, now time.Time) {
	clear(m.orphanTasks)
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			listed[task] = true
			t.reconcileAttempt(a, p, now)
		} else if p.Phase != wire.PhaseExited {
			m.orphanTasks[task] = true
		}
	}
}

// onMissingAttempt deals with an attempt that its machine's report lacks and that can't
// start there any more by what was sent.
func (t *term) onMissingAttempt(a *attempt, rep *wire.Heartbeat) {
	m := a.machine
	switch {
	case t.state.mayRelaunch(a):
		a.inherited, a.launchSent, a.launchUnanswered, a.replySequence = false, false, false, 0
	case a.observed, a.inherited, rep.Epoch > a.launchEpoch && a.launchSent:
		t.log().Info("task is gone from its machine", "task", a.task(), "attempt", a.number, "machine", m.id, "session", rep.Epoch)
		t.leader.Metrics.TaskMoved(string(EvictedMissing))
		t.state.endAttempt(a, taskPending)
	case a.stopping, m.drainReason != "", a.job.cancelled:
		t.state.endAttempt(a, taskPending)
	default:
		// Stored, not delivered: it is sent (again).
		a.launchUnanswered, a.replySequence = false, 0
	}
}

// refusedStartBackoff is how long a machine that refused a start, or a job whose image was
// not there, gets no further one.
const refusedStartBackoff = 2 * time.Second

// reconcileAttempt takes in the state of an attempt of ours.
func (t *term) reconcileAttempt(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	if a.launchSent && !a.observed {
		t.inboundWorks(m)
	}
	a.observed = true
	if hasImage(a, p) {
		m.images.touch(j.spec.Image, j.spec.ImageGB, t.state.imageCacheGB(m.machineType), now)
		if a.imageReadyAt.IsZero() {
			a.imageReadyAt = now
		}
	}
	if p.Phase == wire.PhaseRunning && a.runningSince.IsZero() {
		a.runningSince = now
		if !j.hasRun {
			j.hasRun = true
			t.leader.Metrics.StartDelay(j.spec.Class, now.Sub(j.acceptedAt).Seconds())
		}
	}
	a.phase = p.Phase
	t.reconcileGang(a, p)
	if p.Phase == wire.PhaseExited {
		t.onTaskExit(a, p, now)
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

// reconcileGang notes what the state of a task says of its gang.
func (t *term) reconcileGang(a *attempt, p *wire.TaskState) {
	j, g := a.job, a.job.gang
	if g == nil {
		return
	}
	if p.Phase == wire.PhaseRunning || p.Phase == wire.PhaseSaving || p.Cause == wire.CauseGangBroken {
		g.ran = true
	}
	if p.Phase == wire.PhaseSaving && !g.stopRequested && !g.broken && !j.cancelled && a.inherited {
		// An earlier leader began to stop it, and may not have told all. Those
		// that don't learn of it in time don't save.
		t.stopGang(j, t.state.gracePeriodOf(j), EvictedByEarlierLeader)
	}
}

// onTaskExit takes in that an attempt has ended.
func (t *term) onTaskExit(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	switch p.Cause {
	case wire.CauseDone:
		t.onTaskDone(a, now)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		t.state.endAttempt(a, taskPending)
	case wire.CauseError:
		t.onTaskFailure(a, now)
		t.state.endAttempt(a, taskPending)
	default:
		t.log().Info("start refused", "task", a.task(), "attempt", a.number, "machine", m.id, "cause", p.Cause)
		m.refusedUntil = now.Add(refusedStartBackoff)
		if p.Cause == wire.CauseNoSuch {
			j.startNotBefore = now.Add(refusedStartBackoff)
		}
		t.state.endAttempt(a, taskPending)
	}
}

// onTaskDone takes in that a task is complete.
func (t *term) onTaskDone(a *attempt, now time.Time) {
	m, j := a.machine, a.job
	if !a.runningSince.IsZero() && !j.spec.Gang() { // a gang goes at its slowest machine's speed
		t.recordRunTime(a, now)
	}
	j.succeeded, j.failures = true, 0
	clear(j.failedMachines)
	clear(m.failedJobs)
	m.failures = 0
	if j.spec.Gang() {
		t.state.completeGang(j)
		return
	}
	t.state.endAttempt(a, taskDone)
}
