package reconcile

import (
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// OnHeartbeat reconciles a heartbeat and replies to it.
func (rc *Reconciler) OnHeartbeat(call Call) {
	call.Reply <- rc.answerHeartbeat(&call.Heartbeat, call.Relayed, time.Now())
}

func (rc *Reconciler) answerHeartbeat(heartbeat *wire.Heartbeat, relayed bool, now time.Time) Reply {
	if err := rc.checkAnswerable(heartbeat, now); err != nil {
		return Reply{Rejected: err}
	}
	machine := rc.state.GetOrAddMachine(heartbeat.Machine)
	if !rc.state.RecordsRead {
		rc.keepEarlyHeartbeat(heartbeat)
		machine.LastMessageAt, machine.LastReplyAt = now, now
		return Reply{Commands: rc.cancelledStops(heartbeat)}
	}
	if !heartbeat.IsNewerThan(machine.Epoch, machine.Sequence) {
		return rc.onStaleHeartbeat(machine, heartbeat, now)
	}
	if rc.recordHeartbeatPath(machine, relayed, now) {
		return Reply{Redirect: true}
	}
	rc.checkInbound(machine, heartbeat, now)
	rc.Reconcile(machine, heartbeat, true, now)
	if rc.renewalWithheld(machine, heartbeat, now) {
		return Reply{Rejected: errCancelPending}
	}
	machine.LastReplyAt = now
	machine.Inbound.RecordAnswer(rc.Fencing.Token, heartbeat.Epoch, heartbeat.Sequence)
	return Reply{Commands: rc.commandsFor(machine, heartbeat, now)}
}

// checkAnswerable returns why a heartbeat must not be answered, whatever it says; nil if
// it may be.
func (rc *Reconciler) checkAnswerable(heartbeat *wire.Heartbeat, now time.Time) error {
	if !rc.Lease.MayAnswerHeartbeats() {
		return errNotLeading
	}
	if !rc.delegate.MayRenew(now) {
		return errCancellationsUnknown
	}
	if _, removed := rc.state.RemovedMachines[heartbeat.Machine]; removed {
		// The cloud has confirmed the scale-in: this can only be a late copy.
		return errMachineRemoved
	}
	return nil
}

// commandsFor returns the commands that answer a heartbeat: stops alone while the
// key-value store can't be reached.
func (rc *Reconciler) commandsFor(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) *wire.Commands {
	answer := &wire.Commands{Token: rc.Fencing.Token}
	if rc.Lease.Deciding() {
		answer.Commands = rc.dispatcher.CommandsFor(machine, heartbeat, now)
	} else {
		answer.Commands = rc.dispatcher.StopCommands(machine, rc.delegate.StopCommands(heartbeat), now)
	}
	return answer
}

// cancelledStops returns an answer with no commands but the stops of tasks whose jobs are
// known to be cancelled.
func (rc *Reconciler) cancelledStops(heartbeat *wire.Heartbeat) *wire.Commands {
	return &wire.Commands{Token: rc.Fencing.Token, Commands: rc.delegate.StopCommands(heartbeat)}
}

// keepEarlyHeartbeat keeps the newest heartbeat of a machine until the records are read.
func (rc *Reconciler) keepEarlyHeartbeat(heartbeat *wire.Heartbeat) {
	earlier, ok := rc.EarlyHeartbeats[heartbeat.Machine]
	if !ok || heartbeat.IsNewerThan(earlier.Epoch, earlier.Sequence) {
		rc.EarlyHeartbeats[heartbeat.Machine] = *heartbeat
	}
}

// recordHeartbeatPath records by which path a heartbeat came, and reports whether the
// agent should send its heartbeats here directly: one that is new, or new to this leader,
// is redirected first. If it was here before, or was redirected and comes through another
// node again, it can't reach this node.
func (rc *Reconciler) recordHeartbeatPath(machine *cluster.Machine, relayed bool, now time.Time) (redirect bool) {
	if !relayed {
		machine.DirectHeartbeatAt = now
		machine.RelayedOnly = false
		return false
	}
	first := machine.DirectHeartbeatAt.IsZero() && machine.RelayedHeartbeatAt.IsZero()
	machine.RelayedHeartbeatAt = now
	if first {
		return true
	}
	if !machine.RelayedOnly {
		rc.Log.Info("direct heartbeat path lost", "machine", machine.ID)
	}
	machine.RelayedOnly = true
	return false
}

const (
	// crossingWindow is for how long after a message of an agent an older heartbeat of it
	// may still be waiting for its answer: agents give up after 4 s.
	crossingWindow = 4 * time.Second
	// maxCrossedSequences is by how much the sequence number of a heartbeat that crossed
	// the answer to a direct command may lie below that answer's.
	maxCrossedSequences = 2
	// staleProbeInterval is the least time between two probes of a machine because of
	// stale heartbeats.
	staleProbeInterval = time.Second
)

// onStaleHeartbeat handles a heartbeat that is not newer than what is known. Mostly it has
// crossed the answer to a direct command. It may be a late copy, which says nothing of the
// present, not even that the machine is alive; or it may come from a machine that restarted
// at once and counts from the start again. The machine itself is probed to find out.
func (rc *Reconciler) onStaleHeartbeat(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) Reply {
	inWindow := now.Sub(machine.LastMessageAt) < crossingWindow
	justBehind := heartbeat.Epoch == machine.Epoch && heartbeat.Sequence+maxCrossedSequences >= machine.Sequence
	crossed := inWindow && justBehind
	mayProbe := now.Sub(machine.LastVerifiedAt) > staleProbeInterval && !machine.ScalingIn
	if !crossed && mayProbe && rc.Lease.Deciding() {
		machine.LastVerifiedAt = now
		rc.dispatcher.Probe(machine)
	}
	if !inWindow {
		return Reply{Rejected: errStaleHeartbeat}
	}
	machine.LastReplyAt = now
	return Reply{Commands: rc.cancelledStops(heartbeat)}
}

// renewalWithheld reports whether the machine's lease must not be renewed any more: a
// launch of a cancelled task that the heartbeat does not show may be on its way there, and
// only the end of the agent's epoch, or a token above the launch's, keeps it from starting
// too late.
func (rc *Reconciler) renewalWithheld(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) bool {
	oldestRenewable := now.Add(-rc.state.Delegation.MaxCancelAge)
	for task, attempt := range machine.Tasks {
		if cancelledBefore(oldestRenewable, attempt) && directLaunchMayArrive(attempt, rc.Fencing.Token) && !lists(heartbeat, task, attempt.Number) {
			return true
		}
	}
	return false
}

// cancelledBefore reports whether the job of a stored attempt was cancelled at a time or
// before: so long ago that no controller may renew the lease of what runs of it.
func cancelledBefore(at time.Time, attempt *cluster.Attempt) bool {
	return attempt.Job.Cancelled && !attempt.Unstored && !attempt.Job.CancelledAt.After(at)
}

// directLaunchMayArrive reports whether a direct launch of the attempt may still take
// effect while this controller has a token: it is in flight, or was never answered and has
// no older token, which the agent would refuse.
func directLaunchMayArrive(attempt *cluster.Attempt, token wire.FencingToken) bool {
	if attempt.LaunchInFlight {
		return true
	}
	return attempt.LaunchUnanswered && token <= attempt.UnansweredLaunchToken
}

// lists reports whether a heartbeat contains an attempt of a task.
func lists(heartbeat *wire.Heartbeat, task wire.TaskID, number wire.AttemptNumber) bool {
	name := task.String()
	return slices.ContainsFunc(heartbeat.Tasks, func(state wire.TaskStatus) bool {
		return state.Task == name && state.Attempt == number
	})
}
