package leader

import (
	"errors"
	"time"

	"lilaclead/internal/wire"
)

// reconciler squares what the agents' heartbeats say with what is recorded, and answers
// them.
type reconciler struct {
	*eventLoop
	state      *State
	fencing    *fencing
	dispatcher *dispatcher
	scaler     *scaler
	// earlyHeartbeats are the newest ones that came before the records were read.
	earlyHeartbeats map[wire.MachineID]wire.Heartbeat
}

// Why a heartbeat is not answered. The agent tries another controller.
var (
	errNotLeading           = errors.New("can't tell whether this node still leads")
	errCancellationsUnknown = errors.New("can't tell what was cancelled")
	errMachineRemoved       = errors.New("this machine was returned")
	errStaleHeartbeat       = errors.New("an older report than the last")
	errCancelPending        = errors.New("a cancelled task may still start there")
)

func newReconciler(loop *eventLoop, state *State, fencing *fencing, dispatcher *dispatcher, scaler *scaler) *reconciler {
	return &reconciler{eventLoop: loop, state: state, fencing: fencing, dispatcher: dispatcher, scaler: scaler,
		earlyHeartbeats: map[wire.MachineID]wire.Heartbeat{}}
}

// onHeartbeat answers a report.
func (rc *reconciler) onHeartbeat(c heartbeatCall) {
	c.reply <- rc.answerHeartbeat(&c.heartbeat, c.relayed, time.Now())
}

func (rc *reconciler) answerHeartbeat(rep *wire.Heartbeat, relayed bool, now time.Time) heartbeatReply {
	if !rc.lease.Answering() {
		return heartbeatReply{rejected: errNotLeading}
	}
	if !rc.leader.delegate.MayRenew(now) {
		return heartbeatReply{rejected: errCancellationsUnknown}
	}
	if _, gone := rc.state.removedMachines[rep.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		return heartbeatReply{rejected: errMachineRemoved}
	}
	m := rc.state.getOrAddMachine(rep.Machine)
	if !rc.state.recovered {
		rc.keepEarlyHeartbeat(rep)
		m.lastMessageAt, m.lastReplyAt = now, now
		return heartbeatReply{commands: rc.cancelledStops(rep)}
	}
	if !rep.Newer(m.epoch, m.sequence) {
		return rc.onStaleHeartbeat(m, rep, now)
	}
	if rc.recordHeartbeatPath(m, relayed, now) {
		return heartbeatReply{redirect: true}
	}
	rc.checkInbound(m, rep, now)
	rc.reconcile(m, rep, true, now)
	if rc.renewalWithheld(m, rep, now) {
		return heartbeatReply{rejected: errCancelPending}
	}
	m.lastReplyAt = now
	m.inbound.Answered(rc.fencing.token, rep.Epoch, rep.Sequence)
	answer := &wire.Commands{Token: rc.fencing.token}
	if rc.lease.Deciding() {
		answer.Commands = rc.dispatcher.commandsFor(m, rep, now)
	} else {
		answer.Commands = rc.dispatcher.stopCommands(m, rc.leader.delegate.Halts(rep), now)
	}
	return heartbeatReply{commands: answer}
}

// cancelledStops answers a report with no more than the halts of what is known to be
// cancelled.
func (rc *reconciler) cancelledStops(rep *wire.Heartbeat) *wire.Commands {
	return &wire.Commands{Token: rc.fencing.token, Commands: rc.leader.delegate.Halts(rep)}
}

// keepEarlyHeartbeat keeps the newest report of a machine until the records are read.
func (rc *reconciler) keepEarlyHeartbeat(rep *wire.Heartbeat) {
	if e, ok := rc.earlyHeartbeats[rep.Machine]; !ok || rep.Newer(e.Epoch, e.Sequence) {
		rc.earlyHeartbeats[rep.Machine] = *rep
	}
}

// recordHeartbeatPath notes by which way a report came. It tells whether the worker should
// come here by itself: one that is new, or new to this leader, is sent here first.
// If it was here before, or was sent here and turns up elsewhere again, it can't
// reach this node.
func (rc *reconciler) recordHeartbeatPath(m *machine, relayed bool, now time.Time) (redirect bool) {
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
		rc.log().Info("worker reaches the leader only through another node", "machine", m.id)
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
func (rc *reconciler) onStaleHeartbeat(m *machine, rep *wire.Heartbeat, now time.Time) heartbeatReply {
	crossed := now.Sub(m.lastMessageAt) < crossingWindow
	if (!crossed || rep.Epoch != m.epoch || rep.Sequence+2 < m.sequence) && now.Sub(m.lastVerifiedAt) > time.Second && !m.scalingIn && rc.lease.Deciding() {
		m.lastVerifiedAt = now
		rc.dispatcher.probe(m)
	}
	if !crossed {
		return heartbeatReply{rejected: errStaleHeartbeat}
	}
	m.lastReplyAt = now
	return heartbeatReply{commands: rc.cancelledStops(rep)}
}

// onRestart takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last run.
func (rc *reconciler) onRestart(m *machine, rep *wire.Heartbeat, now time.Time) {
	rc.log().Info("machine restarted", "machine", m.id, "tasks", len(m.tasks), "session", rep.Epoch, "sequence", rep.Sequence, "was_session", m.epoch, "was_sequence", m.sequence)
	m.epoch, m.sequence, m.images = 0, 0, imageCache{}
	for _, a := range m.tasks {
		a.replySequence = 0 // the answer that carried it went to the last run
	}
	rc.drainMachine(m, DrainRestarted)
	rc.reconcile(m, rep, false, now)
	m.restarted = true
	rc.scaler.scaleIn(m, DrainRestarted)
}

// reconcile takes in a report, or the answer to a command, which is the same. It tells
// whether it was newer than what was known.
func (rc *reconciler) reconcile(m *machine, rep *wire.Heartbeat, sent bool, now time.Time) bool {
	if !rep.Newer(m.epoch, m.sequence) || m.restarted {
		return false
	}
	rc.state.zoneDetector.Heard(rep.Zone, sent, now)
	if m.firstHeartbeatAt.IsZero() {
		m.firstHeartbeatAt = now
		rc.logMachineUp(m, now)
		rc.state.requestCycle()
	}
	rc.updateMachine(m, rep, now)
	if sent {
		m.heartbeatsMissingSince = time.Time{}
	} else if m.heartbeatsMissingSince.IsZero() {
		m.heartbeatsMissingSince = now
	}
	rc.updateSpotNotice(m, rep, now)
	listed := make(map[wire.Task]bool, len(rep.Tasks)) // made here, it needs no heap
	rc.reconcileTasks(m, rep, listed, now)
	for task, a := range m.tasks {
		if !listed[task] && !a.unstored && !rc.state.launchMayTakeEffect(a, rep, sent) {
			rc.onMissingAttempt(a, rep)
		}
	}
	return true
}

// updateMachine takes in what a report says of the machine itself.
func (rc *reconciler) updateMachine(m *machine, rep *wire.Heartbeat, now time.Time) {
	if rep.Epoch > m.epoch {
		// A lease that ran out leaves the images where they are; a restart
		// begins with the first session again.
		m.epochSince = now
	}
	m.addr, m.machineType, m.zone, m.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.epoch, m.sequence = rep.Epoch, rep.Sequence
	m.lastMessageAt, m.booting, m.unansweredProbes = now, false, 0
	if m.token < rc.state.firstToken && rep.Token >= rc.state.firstToken {
		m.tokenSeenAt = now
	}
	m.token = max(m.token, rep.Token)
}

// updateSpotNotice takes in that the cloud will take the machine back.
func (rc *reconciler) updateSpotNotice(m *machine, rep *wire.Heartbeat, now time.Time) {
	if rep.SpotNotice == nil {
		return
	}
	if m.reclaimAt.IsZero() {
		rc.log().Info("spot notice", "machine", m.id, "in", rep.SpotNotice.Duration(), "tasks", len(m.tasks))
		rc.drainMachine(m, DrainSpotNotice)
	}
	m.reclaimAt = now.Add(rep.SpotNotice.Duration())
}

// reconcileTasks takes in the states of the tasks in a report and notes which of ours
// are in it; what else runs there is orphaned.
func (rc *reconciler) reconcileTasks(m *machine, rep *wire.Heartbeat, listed map[wire.Task]bool, now time.Time) {
	clear(m.orphanTasks)
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			listed[task] = true
			rc.reconcileAttempt(a, p, now)
		} else if p.Phase != wire.PhaseExited {
			m.orphanTasks[task] = true
		}
	}
}

// onMissingAttempt deals with an attempt that its machine's report lacks and that can't
// start there any more by what was sent.
func (rc *reconciler) onMissingAttempt(a *attempt, rep *wire.Heartbeat) {
	m := a.machine
	switch {
	case rc.state.mayRelaunch(a):
		a.inherited, a.launchSent, a.launchUnanswered, a.replySequence = false, false, false, 0
	case a.observed, a.inherited, rep.Epoch > a.launchEpoch && a.launchSent:
		rc.log().Info("task is gone from its machine", "task", a.task(), "attempt", a.number, "machine", m.id, "session", rep.Epoch)
		rc.leader.Metrics.TaskMoved(string(EvictedMissing))
		rc.state.endAttempt(a, TaskPending)
	case a.stopping, m.drainReason != "", a.job.cancelled:
		rc.state.endAttempt(a, TaskPending)
	default:
		// Stored, not delivered: it is sent (again).
		a.launchUnanswered, a.replySequence = false, 0
	}
}

// refusedStartBackoff is how long a machine that refused a start, or a job whose image was
// not there, gets no further one.
const refusedStartBackoff = 2 * time.Second

// reconcileAttempt takes in the state of an attempt of ours.
func (rc *reconciler) reconcileAttempt(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	if a.launchSent && !a.observed {
		rc.inboundWorks(m)
	}
	a.observed = true
	if hasImage(a, p) {
		m.images.touch(j.spec.Image, j.spec.ImageGB, rc.state.imageCacheGB(m.machineType), now)
		if a.imageReadyAt.IsZero() {
			a.imageReadyAt = now
		}
	}
	if p.Phase == wire.PhaseRunning && a.runningSince.IsZero() {
		a.runningSince = now
		if !j.hasRun {
			j.hasRun = true
			rc.leader.Metrics.StartDelay(j.spec.Class, now.Sub(j.acceptedAt).Seconds())
		}
	}
	a.phase = p.Phase
	rc.reconcileGang(a, p)
	if p.Phase == wire.PhaseExited {
		rc.onTaskExit(a, p, now)
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
func (rc *reconciler) reconcileGang(a *attempt, p *wire.TaskState) {
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
		rc.dispatcher.stopGang(j, rc.state.gracePeriodOf(j), EvictedByEarlierLeader)
	}
}

// onTaskExit takes in that an attempt has ended.
func (rc *reconciler) onTaskExit(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	switch p.Cause {
	case wire.CauseDone:
		rc.onTaskDone(a, now)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		rc.state.endAttempt(a, TaskPending)
	case wire.CauseError:
		rc.onTaskFailure(a, now)
		rc.state.endAttempt(a, TaskPending)
	default:
		rc.log().Info("start refused", "task", a.task(), "attempt", a.number, "machine", m.id, "cause", p.Cause)
		m.refusedUntil = now.Add(refusedStartBackoff)
		if p.Cause == wire.CauseNoSuch {
			j.startNotBefore = now.Add(refusedStartBackoff)
		}
		rc.state.endAttempt(a, TaskPending)
	}
}

// onTaskDone takes in that a task is complete.
func (rc *reconciler) onTaskDone(a *attempt, now time.Time) {
	m, j := a.machine, a.job
	if !a.runningSince.IsZero() && !j.spec.Gang() { // a gang goes at its slowest machine's speed
		rc.recordRunTime(a, now)
	}
	j.succeeded, j.failures = true, 0
	clear(j.failedMachines)
	clear(m.failedJobs)
	m.failures = 0
	if j.spec.Gang() {
		rc.state.completeGang(j)
		return
	}
	rc.state.endAttempt(a, TaskDone)
}

// logMachineUp notes that a machine reports for the first time.
func (rc *reconciler) logMachineUp(m *machine, now time.Time) {
	if m.booting {
		rc.log().Info("machine up", "machine", m.id, "type", m.machineType, "zone", m.zone, "spot", m.spot, "after", now.Sub(m.requestedAt))
		m.lastUsedAt = now
	}
}
