package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// OnHeartbeat reconciles a heartbeat and replies to it.
func (rc *Reconciler) OnHeartbeat(call HeartbeatCall) {
	call.Response <- rc.answerHeartbeat(&call.Heartbeat, call.Relayed, time.Now())
}

func (rc *Reconciler) answerHeartbeat(heartbeat *wire.Heartbeat, relayed bool, now time.Time) HeartbeatResponse {
	if err := rc.checkAnswerable(heartbeat, now); err != nil {
		return HeartbeatResponse{Rejected: err}
	}
	machine := rc.state.GetOrAddMachine(heartbeat.Machine)
	if !rc.state.RecordsRead {
		rc.keepEarlyHeartbeat(heartbeat)
		machine.LastMessageAt, machine.LastResponseAt = now, now
		return HeartbeatResponse{Commands: rc.stopsOfCancelled(heartbeat)}
	}
	if machine.Restarted {
		return rc.rejectRestarted(machine, heartbeat)
	}
	if !machine.Precedes(heartbeat) {
		return rc.onStaleHeartbeat(machine, heartbeat, now)
	}
	if rc.recordHeartbeatPath(machine, relayed, now) {
		return HeartbeatResponse{Redirect: true}
	}
	rc.checkInboundPath(machine, heartbeat, now)
	rc.Reconcile(machine, heartbeat, true, now)
	if rc.renewalWithheld(machine, heartbeat, now) {
		return HeartbeatResponse{Rejected: errCancelPending}
	}
	machine.LastResponseAt = now
	machine.Inbound.RecordResponse(rc.Fencing.Token, heartbeat.Epoch, heartbeat.Sequence)
	return HeartbeatResponse{Commands: rc.commandsFor(machine, heartbeat, now)}
}

// checkAnswerable returns the reason why a heartbeat must not be answered, whatever it
// contains, or nil if it may be answered.
func (rc *Reconciler) checkAnswerable(heartbeat *wire.Heartbeat, now time.Time) error {
	if !rc.Lease.MayAnswerHeartbeats() {
		return errNotLeading
	}
	if !rc.delegate.MayRenew(now) {
		return errCancellationsUnknown
	}
	if _, removed := rc.state.RemovedMachines[heartbeat.Machine]; removed {
		// The cloud has confirmed the scale-in, so the heartbeat can only be a late copy.
		return errMachineRemoved
	}
	return nil
}

// commandsFor returns the commands that answer a heartbeat. They are only stops while this node
// does not certainly lead, because it can't reach the key-value store.
func (rc *Reconciler) commandsFor(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) *wire.Commands {
	response := &wire.Commands{Token: rc.Fencing.Token}
	if rc.Lease.Deciding() {
		response.Commands = rc.dispatcher.HeartbeatResponseCommands(machine, heartbeat, now)
	} else {
		response.Commands = rc.dispatcher.AppendStops(machine, rc.delegate.StopCommands(heartbeat), now)
	}
	return response
}

// stopsOfCancelled returns a response whose only commands are the stops of tasks whose jobs
// are known to be cancelled.
func (rc *Reconciler) stopsOfCancelled(heartbeat *wire.Heartbeat) *wire.Commands {
	return &wire.Commands{Token: rc.Fencing.Token, Commands: rc.delegate.StopCommands(heartbeat)}
}

// keepEarlyHeartbeat keeps the newest heartbeat of a machine until the records are read: the one
// with the highest token, and the newest of these by epoch and sequence.
func (rc *Reconciler) keepEarlyHeartbeat(heartbeat *wire.Heartbeat) {
	earlier, ok := rc.EarlyHeartbeats[heartbeat.Machine]
	if !ok || heartbeat.Token > earlier.Token || earlier.Position().Precedes(heartbeat) {
		rc.EarlyHeartbeats[heartbeat.Machine] = *heartbeat
	}
}

// recordHeartbeatPath records whether a heartbeat came directly or through another node, and
// reports whether the agent is to be redirected: asked to send its heartbeats to this node
// directly. An agent is redirected if its first heartbeat to this leader was relayed. A later
// relayed heartbeat shows that the agent can't reach this node, since it has sent heartbeats
// directly before or has been redirected.
func (rc *Reconciler) recordHeartbeatPath(machine *cluster.Machine, relayed bool, now time.Time) (redirect bool) {
	if !relayed {
		machine.DirectHeartbeatAt = now
		machine.RelayedOnly = false
		return false
	}
	firstHeartbeat := machine.DirectHeartbeatAt.IsZero() && machine.RelayedHeartbeatAt.IsZero()
	machine.RelayedHeartbeatAt = now
	if firstHeartbeat {
		return true
	}
	if !machine.RelayedOnly {
		rc.Log.Info("direct heartbeat path lost", "machine", machine.ID)
	}
	machine.RelayedOnly = true
	return false
}

const (
	// crossingWindow is the time after a message from an agent in which the agent may still wait
	// for the response to an older heartbeat. Agents stop waiting for a response after 4 s.
	crossingWindow = 4 * time.Second
	// maxCrossedSequences limits how far a heartbeat that crossed the response to a direct command
	// may be behind that response, in sequence numbers.
	maxCrossedSequences = 2
	// staleProbeInterval is the minimum time between two probes of a machine because of stale
	// heartbeats.
	staleProbeInterval = time.Second
)

// onStaleHeartbeat handles a heartbeat that is not newer than the last known one. Usually it
// has crossed the response to a direct command. It may also be a late copy, which says nothing
// of the present, not even that the machine is alive. Or it comes from a machine that
// restarted at once and numbers its heartbeats from the start again. If the heartbeat has not
// just crossed a response, the machine is probed to find out. The heartbeat is answered with stops
// within crossingWindow, and rejected after it.
func (rc *Reconciler) onStaleHeartbeat(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) HeartbeatResponse {
	inCrossingWindow := now.Sub(machine.LastMessageAt) < crossingWindow
	crossedResponse := inCrossingWindow && justBehind(machine, heartbeat)
	if !crossedResponse && now.Sub(machine.LastVerifiedAt) > staleProbeInterval {
		machine.LastVerifiedAt = now
		rc.probeStale(machine, heartbeat)
	}
	if !inCrossingWindow {
		return HeartbeatResponse{Rejected: errStaleHeartbeat}
	}
	machine.LastResponseAt = now
	return HeartbeatResponse{Commands: rc.stopsOfCancelled(heartbeat)}
}

// justBehind reports whether a heartbeat is as little older than the last known one as one that
// crossed the response to a direct command.
func justBehind(machine *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	older := !heartbeat.IsNewerThan(machine.Epoch, machine.Sequence)
	return older && heartbeat.Epoch == machine.Epoch && heartbeat.Sequence+maxCrossedSequences >= machine.Sequence
}

// probeStale probes a machine because of a heartbeat that is not newer than the last known one. If
// only its token is lower, the probe carries that token: an agent that has not restarted refuses it
// and shows the token that it has, and one that has restarted shows the lower one.
func (rc *Reconciler) probeStale(machine *cluster.Machine, heartbeat *wire.Heartbeat) {
	if heartbeat.IsNewerThan(machine.Epoch, machine.Sequence) {
		rc.dispatcher.ProbeWithToken(machine, max(heartbeat.Token, wire.MinToken))
		return
	}
	rc.dispatcher.Probe(machine)
}

// renewalWithheld reports whether the machine's lease must not be renewed: a direct launch of
// a cancelled task that the heartbeat does not show may still be on its way there. Only the
// end of the agent's epoch, or a higher token than the launch's, keeps that launch from taking
// effect.
func (rc *Reconciler) renewalWithheld(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) bool {
	cancelCutoff := now.Add(-rc.state.Delegation.MaxCancelAge)
	for task, attempt := range machine.Attempts {
		if cancelledBefore(cancelCutoff, attempt) && directLaunchMayArrive(attempt, rc.Fencing.Token) && !heartbeat.Lists(task, attempt.Number) {
			return true
		}
	}
	return false
}

// cancelledBefore reports whether an attempt is stored and its job was cancelled at the cutoff
// or earlier: so long ago that no controller may renew the lease of a machine on which the attempt
// may still start.
func cancelledBefore(cutoff time.Time, attempt *cluster.Attempt) bool {
	return attempt.Job.Cancelled && !attempt.Unstored && !attempt.Job.CancelledAt.After(cutoff)
}

// directLaunchMayArrive reports whether a direct launch of the attempt may still take effect,
// given the token of this controller: the launch is in flight, or it was never answered and
// its token is not lower. Agents refuse a launch with a lower token.
func directLaunchMayArrive(attempt *cluster.Attempt, token wire.FencingToken) bool {
	if attempt.LaunchInFlight {
		return true
	}
	return attempt.LaunchUnanswered && token <= attempt.UnansweredLaunchToken
}
