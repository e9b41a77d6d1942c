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
	// commandRefused is the outcome of a command that the agent answered and did not execute,
	// because it has seen a higher token or is in another epoch.
	commandRefused outcomeKind = "refused"
	// commandNotSent is the outcome of a command that certainly has not left this node.
	commandNotSent outcomeKind = "not sent"
	// commandOutcomeUnknown is the outcome of a command that was sent and got no usable
	// response. It may have been executed, or may be executed later.
	commandOutcomeUnknown outcomeKind = "lost"
)

func outcomeKindOf(outcome *agents.CommandOutcome) outcomeKind {
	if outcome.Err != nil {
		if wire.IsNotSent(outcome.Err) {
			return commandNotSent
		}
		return commandOutcomeUnknown
	}
	hasHeartbeat := outcome.Status == http.StatusOK || outcome.Status == http.StatusConflict
	// Another machine may answer at the address of one that was removed.
	switch {
	case !hasHeartbeat || outcome.Heartbeat.Machine != outcome.Machine.ID:
		return commandOutcomeUnknown
	case outcome.Status == http.StatusConflict:
		return commandRefused
	}
	return commandAnswered
}

// OnCommandOutcome handles the outcome of a direct command or of a probe.
func (rc *Reconciler) OnCommandOutcome(outcome agents.CommandOutcome) {
	machine := outcome.Machine
	machine.CommandInFlight = false
	now := time.Now()
	for _, attempt := range outcome.Launched {
		attempt.LaunchInFlight = false
	}
	kind := outcomeKindOf(&outcome)
	rc.Metrics.Command(string(kind))
	switch kind {
	case commandAnswered:
		rc.onCommandAnswered(&outcome, now)
	case commandRefused:
		rc.logRefusal(&outcome)
		rc.onCommandAnswered(&outcome, now)
	case commandNotSent:
		recordUnansweredCommand(machine)
		onCommandNotSent(&outcome)
	case commandOutcomeUnknown:
		recordUnansweredCommand(machine)
		rc.onCommandOutcomeUnknown(&outcome)
	}
	if machine.UnansweredCommands == 0 {
		rc.dispatcher.SendDueCommands(machine)
	}
}

// logRefusal logs why an agent refused commands. Probes are left out.
func (rc *Reconciler) logRefusal(outcome *agents.CommandOutcome) {
	if len(outcome.Commands.Commands) == 0 {
		return
	}
	rc.Log.Info("commands refused", "machine", outcome.Machine.ID, "commands", len(outcome.Commands.Commands),
		"token", outcome.Commands.Token, "agent_token", outcome.Heartbeat.Token,
		"epoch", outcome.Commands.Epoch, "agent_epoch", outcome.Heartbeat.Epoch)
}

// onCommandAnswered reconciles the heartbeat in the response to a command.
func (rc *Reconciler) onCommandAnswered(outcome *agents.CommandOutcome, now time.Time) {
	machine, heartbeat := outcome.Machine, outcome.Heartbeat
	rc.onDelivery(machine)
	machine.LastMessageAt = now
	if !outcome.LastHeartbeatBefore.Precedes(heartbeat) && !machine.Restarted {
		// The response was made after the command was sent, and yet it can't be of the agent that
		// made the last heartbeat known then.
		rc.onRestart(machine, heartbeat, now)
		return
	}
	rc.Reconcile(machine, heartbeat, false, now)
}

// recordUnansweredCommand records that a direct command was not answered.
func recordUnansweredCommand(machine *cluster.Machine) {
	machine.UnansweredCommands++
	// HeartbeatsMissingSince is only for a machine that still answers commands. One that neither
	// sends heartbeats nor answers commands is unresponsive, and the liveness monitor handles it.
	machine.HeartbeatsMissingSince = time.Time{}
	machine.Inbound.RecordUnansweredCommand()
}

// onCommandNotSent marks the launches of a command that never left this node as not sent, so
// that they go out in the response to the next heartbeat. A launch whose attempt was seen in a
// heartbeat stays marked as sent.
func onCommandNotSent(outcome *agents.CommandOutcome) {
	for _, attempt := range outcome.Launched {
		if !attempt.SeenInHeartbeat {
			attempt.LaunchSent = false
		}
	}
}

// onCommandOutcomeUnknown records that the launches of a command may still take effect at any
// time, as long as the agent accepts their token and epoch.
func (rc *Reconciler) onCommandOutcomeUnknown(outcome *agents.CommandOutcome) {
	machine, sent := outcome.Machine, &outcome.Commands
	rc.Log.Debug("command not answered", "machine", machine.ID, "commands", len(sent.Commands), "err", outcome.Err, "status", outcome.Status)
	for _, attempt := range outcome.Launched {
		attempt.LaunchUnanswered, attempt.UnansweredLaunchToken = true, sent.Token
	}
	if len(outcome.Launched) > 0 {
		machine.UnansweredLaunch = cluster.UnansweredCommand{
			Token: max(machine.UnansweredLaunch.Token, sent.Token),
			Epoch: max(machine.UnansweredLaunch.Epoch, sent.Epoch),
		}
	}
}
