package reconcile

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

// Reconciler squares what the agents' heartbeats say with what is recorded, and answers
// them.
type Reconciler struct {
	*core.Loop
	state      *cluster.State
	delegate   *delegation.Delegate
	dispatcher *agents.Dispatcher
	scaler     *autoscaler.Scaler
	// EarlyHeartbeats are the newest ones that came before the records were read.
	EarlyHeartbeats map[wire.MachineID]wire.Heartbeat
}

// Why a heartbeat is not answered. The agent tries another controller.
var (
	errNotLeading           = errors.New("can't tell whether this node still leads")
	errCancellationsUnknown = errors.New("can't tell what was cancelled")
	errMachineRemoved       = errors.New("this machine was returned")
	errStaleHeartbeat       = errors.New("an older report than the last")
	errCancelPending        = errors.New("a cancelled task may still start there")
)

func NewReconciler(loop *core.Loop, state *cluster.State, delegate *delegation.Delegate, dispatcher *agents.Dispatcher, scaler *autoscaler.Scaler) *Reconciler {
	return &Reconciler{Loop: loop, state: state, delegate: delegate, dispatcher: dispatcher, scaler: scaler,
		EarlyHeartbeats: map[wire.MachineID]wire.Heartbeat{}}
}

// OnHeartbeat answers a report.
func (rc *Reconciler) OnHeartbeat(c Call) {
	c.Reply <- rc.answerHeartbeat(&c.Heartbeat, c.Relayed, time.Now())
}

func (rc *Reconciler) answerHeartbeat(rep *wire.Heartbeat, relayed bool, now time.Time) Reply {
	if !rc.Lease.Answering() {
		return Reply{Rejected: errNotLeading}
	}
	if !rc.delegate.MayRenew(now) {
		return Reply{Rejected: errCancellationsUnknown}
	}
	if _, gone := rc.state.RemovedMachines[rep.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		return Reply{Rejected: errMachineRemoved}
	}
	m := rc.state.GetOrAddMachine(rep.Machine)
	if !rc.state.Recovered {
		rc.keepEarlyHeartbeat(rep)
		m.LastMessageAt, m.LastReplyAt = now, now
		return Reply{Commands: rc.cancelledStops(rep)}
	}
	if !rep.Newer(m.Epoch, m.Sequence) {
		return rc.onStaleHeartbeat(m, rep, now)
	}
	if rc.recordHeartbeatPath(m, relayed, now) {
		return Reply{Redirect: true}
	}
	rc.checkInbound(m, rep, now)
	rc.Reconcile(m, rep, true, now)
	if rc.renewalWithheld(m, rep, now) {
		return Reply{Rejected: errCancelPending}
	}
	m.LastReplyAt = now
	m.Inbound.Answered(rc.Fencing.Token, rep.Epoch, rep.Sequence)
	answer := &wire.Commands{Token: rc.Fencing.Token}
	if rc.Lease.Deciding() {
		answer.Commands = rc.dispatcher.CommandsFor(m, rep, now)
	} else {
		answer.Commands = rc.dispatcher.StopCommands(m, rc.delegate.Halts(rep), now)
	}
	return Reply{Commands: answer}
}

// cancelledStops answers a report with no more than the halts of what is known to be
// cancelled.
func (rc *Reconciler) cancelledStops(rep *wire.Heartbeat) *wire.Commands {
	return &wire.Commands{Token: rc.Fencing.Token, Commands: rc.delegate.Halts(rep)}
}

// keepEarlyHeartbeat keeps the newest report of a machine until the records are read.
func (rc *Reconciler) keepEarlyHeartbeat(rep *wire.Heartbeat) {
	if e, ok := rc.EarlyHeartbeats[rep.Machine]; !ok || rep.Newer(e.Epoch, e.Sequence) {
		rc.EarlyHeartbeats[rep.Machine] = *rep
	}
}

// recordHeartbeatPath notes by which way a report came. It tells whether the worker should
// come here by itself: one that is new, or new to this leader, is sent here first.
// If it was here before, or was sent here and turns up elsewhere again, it can't
// reach this node.
func (rc *Reconciler) recordHeartbeatPath(m *cluster.Machine, relayed bool, now time.Time) (redirect bool) {
	if !relayed {
		m.DirectHeartbeatAt = now
		m.RelayedOnly = false
		return false
	}
	first := m.DirectHeartbeatAt.IsZero() && m.RelayedHeartbeatAt.IsZero()
	m.RelayedHeartbeatAt = now
	if first {
		return true
	}
	if !m.RelayedOnly {
		rc.Log.Info("worker reaches the leader only through another node", "machine", m.ID)
	}
	m.RelayedOnly = true
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
func (rc *Reconciler) onStaleHeartbeat(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) Reply {
	crossed := now.Sub(m.LastMessageAt) < crossingWindow
	if (!crossed || rep.Epoch != m.Epoch || rep.Sequence+2 < m.Sequence) && now.Sub(m.LastVerifiedAt) > time.Second && !m.ScalingIn && rc.Lease.Deciding() {
		m.LastVerifiedAt = now
		rc.dispatcher.Probe(m)
	}
	if !crossed {
		return Reply{Rejected: errStaleHeartbeat}
	}
	m.LastReplyAt = now
	return Reply{Commands: rc.cancelledStops(rep)}
}

// onRestart takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last run.
func (rc *Reconciler) onRestart(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) {
	rc.Log.Info("machine restarted", "machine", m.ID, "tasks", len(m.Tasks), "session", rep.Epoch, "sequence", rep.Sequence, "was_session", m.Epoch, "was_sequence", m.Sequence)
	m.Epoch, m.Sequence, m.Images = 0, 0, cluster.ImageCache{}
	for _, a := range m.Tasks {
		a.ReplySequence = 0 // the answer that carried it went to the last run
	}
	rc.drainMachine(m, cluster.DrainRestarted)
	rc.Reconcile(m, rep, false, now)
	m.Restarted = true
	rc.scaler.ScaleIn(m, cluster.DrainRestarted)
}

// Reconcile takes in a report, or the answer to a command, which is the same. It tells
// whether it was newer than what was known.
func (rc *Reconciler) Reconcile(m *cluster.Machine, rep *wire.Heartbeat, sent bool, now time.Time) bool {
	if !rep.Newer(m.Epoch, m.Sequence) || m.Restarted {
		return false
	}
	rc.state.ZoneDetector.Heard(rep.Zone, sent, now)
	if m.FirstHeartbeatAt.IsZero() {
		m.FirstHeartbeatAt = now
		rc.logMachineUp(m, now)
		rc.state.RequestCycle()
	}
	rc.updateMachine(m, rep, now)
	if sent {
		m.HeartbeatsMissingSince = time.Time{}
	} else if m.HeartbeatsMissingSince.IsZero() {
		m.HeartbeatsMissingSince = now
	}
	rc.updateSpotNotice(m, rep, now)
	listed := make(map[wire.Task]bool, len(rep.Tasks)) // made here, it needs no heap
	rc.reconcileTasks(m, rep, listed, now)
	for task, a := range m.Tasks {
		if !listed[task] && !a.Unstored && !rc.state.LaunchMayTakeEffect(a, rep, sent) {
			rc.onMissingAttempt(a, rep)
		}
	}
	return true
}

// updateMachine takes in what a report says of the machine itself.
func (rc *Reconciler) updateMachine(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) {
	if rep.Epoch > m.Epoch {
		// A lease that ran out leaves the images where they are; a restart
		// begins with the first session again.
		m.EpochSince = now
	}
	m.Addr, m.MachineType, m.Zone, m.Spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.Epoch, m.Sequence = rep.Epoch, rep.Sequence
	m.LastMessageAt, m.Booting, m.UnansweredProbes = now, false, 0
	if m.Token < rc.state.FirstToken && rep.Token >= rc.state.FirstToken {
		m.TokenSeenAt = now
	}
	m.Token = max(m.Token, rep.Token)
}

// updateSpotNotice takes in that the cloud will take the machine back.
func (rc *Reconciler) updateSpotNotice(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) {
	if rep.SpotNotice == nil {
		return
	}
	if m.ReclaimAt.IsZero() {
		rc.Log.Info("spot notice", "machine", m.ID, "in", rep.SpotNotice.Duration(), "tasks", len(m.Tasks))
		rc.drainMachine(m, cluster.DrainSpotNotice)
	}
	m.ReclaimAt = now.Add(rep.SpotNotice.Duration())
}

// reconcileTasks takes in the states of the tasks in a report and notes which of ours
// are in it; what else runs there is orphaned.
func (rc *Reconciler) reconcileTasks(m *cluster.Machine, rep *wire.Heartbeat, listed map[wire.Task]bool, now time.Time) {
	clear(m.OrphanTasks)
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.Tasks[task]; a != nil && a.Number == p.Attempt {
			listed[task] = true
			rc.reconcileAttempt(a, p, now)
		} else if p.Phase != wire.PhaseExited {
			m.OrphanTasks[task] = true
		}
	}
}

// onMissingAttempt deals with an attempt that its machine's report lacks and that can't
// start there any more by what was sent.
func (rc *Reconciler) onMissingAttempt(a *cluster.Attempt, rep *wire.Heartbeat) {
	m := a.Machine
	switch {
	case rc.state.MayRelaunch(a):
		a.Inherited, a.LaunchSent, a.LaunchUnanswered, a.ReplySequence = false, false, false, 0
	case a.Observed, a.Inherited, rep.Epoch > a.LaunchEpoch && a.LaunchSent:
		rc.Log.Info("task is gone from its machine", "task", a.Task(), "attempt", a.Number, "machine", m.ID, "session", rep.Epoch)
		rc.Metrics.TaskMoved(string(cluster.EvictedMissing))
		rc.state.EndAttempt(a, cluster.TaskPending)
	case a.Stopping, m.DrainReason != "", a.Job.Cancelled:
		rc.state.EndAttempt(a, cluster.TaskPending)
	default:
		// Stored, not delivered: it is sent (again).
		a.LaunchUnanswered, a.ReplySequence = false, 0
	}
}

// refusedStartBackoff is how long a machine that refused a start, or a job whose image was
// not there, gets no further one.
const refusedStartBackoff = 2 * time.Second

// reconcileAttempt takes in the state of an attempt of ours.
func (rc *Reconciler) reconcileAttempt(a *cluster.Attempt, p *wire.TaskState, now time.Time) {
	m, j := a.Machine, a.Job
	if a.LaunchSent && !a.Observed {
		rc.inboundWorks(m)
	}
	a.Observed = true
	if hasImage(a, p) {
		m.Images.Touch(j.Spec.Image, j.Spec.ImageGB, rc.state.ImageCacheGB(m.MachineType), now)
		if a.ImageReadyAt.IsZero() {
			a.ImageReadyAt = now
		}
	}
	if p.Phase == wire.PhaseRunning && a.RunningSince.IsZero() {
		a.RunningSince = now
		if !j.HasRun {
			j.HasRun = true
			rc.Metrics.StartDelay(j.Spec.Class, now.Sub(j.AcceptedAt).Seconds())
		}
	}
	a.Phase = p.Phase
	rc.reconcileGang(a, p)
	if p.Phase == wire.PhaseExited {
		rc.onTaskExit(a, p, now)
	}
}

// hasImage tells whether an attempt's state shows that its image is on the machine.
func hasImage(a *cluster.Attempt, p *wire.TaskState) bool {
	if p.Phase == wire.PhaseFetching {
		return false
	}
	switch p.Cause {
	case wire.CauseFull, wire.CauseBusy, wire.CauseNoSuch:
		return false
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		return p.Phase != wire.PhaseExited || a.Phase != wire.PhaseFetching
	}
	return true
}

// reconcileGang notes what the state of a task says of its gang.
func (rc *Reconciler) reconcileGang(a *cluster.Attempt, p *wire.TaskState) {
	j, g := a.Job, a.Job.Gang
	if g == nil {
		return
	}
	if p.Phase == wire.PhaseRunning || p.Phase == wire.PhaseSaving || p.Cause == wire.CauseGangBroken {
		g.Ran = true
	}
	if p.Phase == wire.PhaseSaving && !g.StopRequested && !g.Broken && !j.Cancelled && a.Inherited {
		// An earlier leader began to stop it, and may not have told all. Those
		// that don't learn of it in time don't save.
		rc.dispatcher.StopGang(j, rc.state.GracePeriodOf(j), cluster.EvictedByEarlierLeader)
	}
}

// onTaskExit takes in that an attempt has ended.
func (rc *Reconciler) onTaskExit(a *cluster.Attempt, p *wire.TaskState, now time.Time) {
	m, j := a.Machine, a.Job
	switch p.Cause {
	case wire.CauseDone:
		rc.onTaskDone(a, now)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		rc.state.EndAttempt(a, cluster.TaskPending)
	case wire.CauseError:
		rc.onTaskFailure(a, now)
		rc.state.EndAttempt(a, cluster.TaskPending)
	default:
		rc.Log.Info("start refused", "task", a.Task(), "attempt", a.Number, "machine", m.ID, "cause", p.Cause)
		m.RefusedUntil = now.Add(refusedStartBackoff)
		if p.Cause == wire.CauseNoSuch {
			j.StartNotBefore = now.Add(refusedStartBackoff)
		}
		rc.state.EndAttempt(a, cluster.TaskPending)
	}
}

// onTaskDone takes in that a task is complete.
func (rc *Reconciler) onTaskDone(a *cluster.Attempt, now time.Time) {
	m, j := a.Machine, a.Job
	if !a.RunningSince.IsZero() && !j.Spec.Gang() { // a gang goes at its slowest machine's speed
		rc.recordRunTime(a, now)
	}
	j.Succeeded, j.Failures = true, 0
	clear(j.FailedMachines)
	clear(m.FailedJobs)
	m.Failures = 0
	if j.Spec.Gang() {
		rc.state.CompleteGang(j)
		return
	}
	rc.state.EndAttempt(a, cluster.TaskDone)
}

// logMachineUp notes that a machine reports for the first time.
func (rc *Reconciler) logMachineUp(m *cluster.Machine, now time.Time) {
	if m.Booting {
		rc.Log.Info("machine up", "machine", m.ID, "type", m.MachineType, "zone", m.Zone, "spot", m.Spot, "after", now.Sub(m.RequestedAt))
		m.LastUsedAt = now
	}
}

func (rc *Reconciler) OnCommandAnswer(e agents.CommandAnswer) {
	m, asked, cmd, launched, rep, status, err := e.Machine, e.AskedAt, e.Commands, e.Launched, e.Heartbeat, e.Status, e.Err
	m.CommandInFlight = false
	now := time.Now()
	for _, a := range launched {
		a.LaunchInFlight = false
	}
	switch {
	case err == nil && (status == http.StatusOK || status == http.StatusConflict) && rep.Machine == m.ID:
		rc.Metrics.Command("ok")
		rc.inboundWorks(m)
		m.LastMessageAt = now
		if !rep.Newer(asked.Epoch, asked.Sequence) && !m.Restarted {
			// Made after we asked, and yet not newer than what we had then.
			rc.onRestart(m, rep, now)
			break
		}
		rc.Reconcile(m, rep, false, now)
	case err != nil && wire.NotSent(err):
		rc.Metrics.Command("not sent")
		m.UnansweredProbes++
		m.HeartbeatsMissingSince = time.Time{} // silent, which is looked after otherwise
		m.Inbound.Unanswered()
		for _, a := range launched {
			if !a.Observed {
				a.LaunchSent = false // certainly never left; the next report's answer carries it
			}
		}
	default:
		rc.Metrics.Command("lost")
		m.UnansweredProbes++
		m.HeartbeatsMissingSince = time.Time{}
		m.Inbound.Unanswered()
		rc.Log.Debug("command not answered", "machine", m.ID, "commands", len(cmd.Commands), "err", err, "status", status)
		for _, a := range launched {
			a.LaunchUnanswered, a.UnansweredLaunchToken = true, cmd.Token
		}
		if len(launched) > 0 {
			m.UnansweredLaunch = cluster.UnansweredCommand{
				Token: max(m.UnansweredLaunch.Token, cmd.Token),
				Epoch: max(m.UnansweredLaunch.Epoch, cmd.Epoch),
			}
		}
	}
	if m.UnansweredProbes == 0 {
		rc.dispatcher.Dispatch(m)
	}
}

// Call is a report with the channel for its answer.
type Call struct {
	Heartbeat wire.Heartbeat
	Relayed   bool // by another node
	Reply     chan Reply
}

// Reply to a report.
type Reply struct {
	Commands *wire.Commands // the answer; nil: none
	Redirect bool           // the worker should come to this node itself
	Rejected error          // why the heartbeat is not answered
}

// renewalWithheld tells whether a machine's lease must not be renewed any more: a
// launch of a cancelled task may be on its way there that its report does not
// show, and that only the end of the session, or a token above the launch's,
// can keep from starting too late.
func (rc *Reconciler) renewalWithheld(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) bool {
	for task, a := range m.Tasks {
		if !a.Job.Cancelled || a.Unstored || now.Sub(a.Job.CancelledAt) < rc.state.Delegation.MaxCancelAge || !a.LaunchInFlight && !(a.LaunchUnanswered && rc.Fencing.Token <= a.UnansweredLaunchToken) {
			continue
		}
		name := task.String()
		if !slices.ContainsFunc(rep.Tasks, func(p wire.TaskState) bool { return p.Task == name && p.Attempt == a.Number }) {
			return true
		}
	}
	return false
}

// checkInbound compares a report with what the machine was told in the answer to
// an earlier one.
func (rc *Reconciler) checkInbound(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) {
	evidence := detector.Evidence{
		KnownToken:    m.Token,
		RenewedLately: now.Sub(m.LastReplyAt) < rc.state.Settings.Workers.Lease.Duration()/2,
		MissesLaunch:  func() bool { return m.MissesLaunch(rep) },
	}
	rc.inboundChanged(m, m.Inbound.Reported(rep, evidence, now))
}

// inboundWorks notes that something of ours has reached the machine.
func (rc *Reconciler) inboundWorks(m *cluster.Machine) { rc.inboundChanged(m, m.Inbound.Received()) }

func (rc *Reconciler) inboundChanged(m *cluster.Machine, change detector.Change) {
	switch change {
	case detector.Lost:
		rc.Log.Info("machine reports but receives nothing", "machine", m.ID, "tasks", len(m.Tasks))
	case detector.Restored:
		rc.Log.Info("machine receives again", "machine", m.ID)
		rc.state.RequestCycle()
	}
}
