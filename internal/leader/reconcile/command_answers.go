package reconcile

import (
	"net/http"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// outcomeKind says what is known of a direct command. Its values are label values of a
// metric.
type outcomeKind string

const (
	commandAnswered outcomeKind = "ok"
	// commandNotSent is the outcome of a command that certainly has not left this node.
	commandNotSent outcomeKind = "not sent"
	// commandOutcomeUnknown is the outcome of a command that was sent and got no usable
	// response. It may have been executed, or may be executed later.
	commandOutcomeUnknown outcomeKind = "lost"
)

func outcomeOf(answer *agents.CommandOutcome) outcomeKind {
	if answer.Err != nil {
		if wire.IsNotSent(answer.Err) {
			return commandNotSent
		}
		return commandOutcomeUnknown
	}
	// An agent rejects a command of another epoch, or with an old token, by the status
	// "conflict". That response holds its heartbeat too.
	hasHeartbeat := answer.Status == http.StatusOK || answer.Status == http.StatusConflict
	// Another machine may answer at the address of one that was removed.
	if hasHeartbeat && answer.Heartbeat.Machine == answer.Machine.ID {
		return commandAnswered
	}
	return commandOutcomeUnknown
}

// OnCommandOutcome handles the outcome of a direct command or of a probe.
func (rc *Reconciler) OnCommandOutcome(answer agents.CommandOutcome) {
	machine := answer.Machine
	machine.CommandInFlight = false
	now := time.Now()
	for _, attempt := range answer.Launched {
		attempt.LaunchInFlight = false
	}
	outcome := outcomeOf(&answer)
	rc.Metrics.Command(string(outcome))
	switch outcome {
	case commandAnswered:
		rc.onCommandAnswered(&answer, now)
	case commandNotSent:
		recordUnansweredCommand(machine)
		onCommandNotSent(&answer)
	case commandOutcomeUnknown:
		recordUnansweredCommand(machine)
		rc.onCommandOutcomeUnknown(&answer)
	}
	if machine.UnansweredCommands == 0 {
		rc.dispatcher.SendDueCommands(machine)
	}
}

// onCommandAnswered reconciles the heartbeat in the response to a command.
func (rc *Reconciler) onCommandAnswered(answer *agents.CommandOutcome, now time.Time) {
	machine, heartbeat, known := answer.Machine, answer.Heartbeat, answer.LastHeartbeatBefore
	rc.onDelivery(machine)
	machine.LastMessageAt = now
	if !heartbeat.IsNewerThan(known.Epoch, known.Sequence) && !machine.Restarted {
		// The response was made after the command was sent, and yet it is not newer than the
		// last heartbeat known then.
		rc.onRestart(machine, heartbeat, now)
		return
	}
	rc.Reconcile(machine, heartbeat, false, now)
}

// recordUnansweredCommand records that a direct command was not answered.
func recordUnansweredCommand(machine *cluster.Machine) {
	machine.UnansweredCommands++
	// A machine that neither sends heartbeats nor answers commands is unresponsive, and the
	// liveness monitor handles it.
	machine.HeartbeatsMissingSince = time.Time{}
	machine.Inbound.RecordUnansweredCommand()
}

// onCommandNotSent marks the launches of a command that never left this node as not sent, so
// that they go out in the response to the next heartbeat.
func onCommandNotSent(answer *agents.CommandOutcome) {
	for _, attempt := range answer.Launched {
		if !attempt.SeenInHeartbeat {
			attempt.LaunchSent = false
		}
	}
}

// onCommandOutcomeUnknown records that the launches of a command may still take effect at any
// time, as long as the agent accepts their token and epoch.
func (rc *Reconciler) onCommandOutcomeUnknown(answer *agents.CommandOutcome) {
	machine, sent := answer.Machine, &answer.Commands
	rc.Log.Debug("command not answered", "machine", machine.ID, "commands", len(sent.Commands), "err", answer.Err, "status", answer.Status)
	for _, attempt := range answer.Launched {
		attempt.LaunchUnanswered, attempt.UnansweredLaunchToken = true, sent.Token
	}
	if len(answer.Launched) > 0 {
		machine.UnansweredLaunch = cluster.UnansweredCommand{
			Token: max(machine.UnansweredLaunch.Token, sent.Token),
			Epoch: max(machine.UnansweredLaunch.Epoch, sent.Epoch),
		}
	}
}
