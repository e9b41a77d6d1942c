package reconcile

import (
	"net/http"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// commandOutcome says what is known of a direct command. Its values are label values of a
// metric.
type commandOutcome string

const (
	commandAnswered commandOutcome = "ok"
	// commandNotSent is the outcome of a command that certainly has not left this node.
	commandNotSent commandOutcome = "not sent"
	// commandLost is the outcome of a command that was not answered, and may have been
	// executed, or may be executed later.
	commandLost commandOutcome = "lost"
)

func outcomeOf(answer *agents.CommandAnswer) commandOutcome {
	if answer.Err != nil {
		if wire.IsNotSent(answer.Err) {
			return commandNotSent
		}
		return commandLost
	}
	// An agent answers a command of another epoch, or with an old token, by a conflict
	// that holds its heartbeat too.
	withHeartbeat := answer.Status == http.StatusOK || answer.Status == http.StatusConflict
	// At the address of a machine that was removed another one may answer.
	if withHeartbeat && answer.Heartbeat.Machine == answer.Machine.ID {
		return commandAnswered
	}
	return commandLost
}

// OnCommandAnswer handles the outcome of a direct command or of a probe.
func (rc *Reconciler) OnCommandAnswer(answer agents.CommandAnswer) {
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
		recordUnanswered(machine)
		onCommandNotSent(&answer)
	case commandLost:
		recordUnanswered(machine)
		rc.onCommandLost(&answer)
	}
	if machine.UnansweredCommands == 0 {
		rc.dispatcher.Dispatch(machine)
	}
}

// onCommandAnswered reconciles the heartbeat in the answer to a command.
func (rc *Reconciler) onCommandAnswered(answer *agents.CommandAnswer, now time.Time) {
	machine, heartbeat, known := answer.Machine, answer.Heartbeat, answer.KnownBefore
	rc.onReceived(machine)
	machine.LastMessageAt = now
	if !heartbeat.IsNewerThan(known.Epoch, known.Sequence) && !machine.Restarted {
		// Made after the command was sent, and yet not newer than what was known then.
		rc.onRestart(machine, heartbeat, now)
		return
	}
	rc.Reconcile(machine, heartbeat, false, now)
}

// recordUnanswered records that a command was not answered.
func recordUnanswered(machine *cluster.Machine) {
	machine.UnansweredCommands++
	// A machine that does not answer commands either is unresponsive, which the liveness
	// monitor handles.
	machine.HeartbeatsMissingSince = time.Time{}
	machine.Inbound.RecordUnansweredCommand()
}

// onCommandNotSent lets the launches of a command that never left be sent in the answer to
// the next heartbeat.
func onCommandNotSent(answer *agents.CommandAnswer) {
	for _, attempt := range answer.Launched {
		if !attempt.SeenInHeartbeat {
			attempt.LaunchSent = false
		}
	}
}

// onCommandLost records that the launches of a command may still take effect at any time,
// as long as the agent accepts their token and epoch.
func (rc *Reconciler) onCommandLost(answer *agents.CommandAnswer) {
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
