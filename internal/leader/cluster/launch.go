package cluster

import (
	"slices"

	"lilaclead/internal/wire"
)

// LaunchDelivery is what may still deliver a launch of an attempt that this term has sent:
// a direct command that is under way or was never answered, or the reply to a heartbeat.
// The dispatcher of commands and reconciliation write it.
type LaunchDelivery struct {
	// LaunchInFlight: a direct command with the launch waits for its answer.
	LaunchInFlight bool
	// LaunchUnanswered: a direct command with the launch was never answered; the last such
	// carried UnansweredLaunchToken.
	LaunchUnanswered      bool
	UnansweredLaunchToken wire.FencingToken
	// ReplyEpoch and ReplySequence identify the last heartbeat whose reply carried the
	// launch; a sequence of 0: none did, or that reply can have no effect any more.
	ReplyEpoch    wire.AgentEpoch
	ReplySequence wire.Sequence
}

// LaunchMayTakeEffect reports whether a launch of the attempt may still take effect on the
// agent after it made this heartbeat. sentByAgent tells a heartbeat that the agent sent
// by itself from one that answers a direct command.
func (s *State) LaunchMayTakeEffect(a *Attempt, heartbeat *wire.Heartbeat, sentByAgent bool) bool {
	switch {
	case a.Unstored:
		return false
	case a.Inherited && heartbeat.Token < s.FirstToken:
		// An earlier leader's launch dies only by a higher token.
		return true
	case a.LaunchInFlight && heartbeat.Epoch <= a.LaunchEpoch:
		return true
	case a.LaunchUnanswered && heartbeat.Token <= a.UnansweredLaunchToken && heartbeat.Epoch <= a.LaunchEpoch:
		// Held up on its way, it may come minutes late.
		return true
	case a.ReplySequence > 0 && a.ReplyEpoch == heartbeat.Epoch && !(sentByAgent && heartbeat.Sequence > a.ReplySequence):
		// The agent has not yet processed the reply that carried it.
		return true
	}
	return false
}

// MissesLaunch reports whether an earlier reply carried a launch that the machine should
// know of by now, and the heartbeat lacks it.
func (m *Machine) MissesLaunch(heartbeat *wire.Heartbeat) bool {
	for task, a := range m.Tasks {
		expected := !a.Observed && a.ReplySequence > 0 && a.ReplyEpoch == heartbeat.Epoch && heartbeat.Sequence > a.ReplySequence
		if expected && !listsAttempt(heartbeat, task, a.Number) {
			return true
		}
	}
	return false
}

// listsAttempt reports whether a heartbeat has a state of the attempt.
func listsAttempt(heartbeat *wire.Heartbeat, task wire.Task, number wire.Attempt) bool {
	name := task.String()
	return slices.ContainsFunc(heartbeat.Tasks, func(state wire.TaskState) bool {
		return state.Task == name && state.Attempt == number
	})
}

// UnansweredCommand is the newest direct command that was never answered.
type UnansweredCommand struct {
	Token wire.FencingToken
	Epoch wire.AgentEpoch
}

// mayArrive reports whether the command may still reach an agent that has made this
// heartbeat, and be accepted.
func (c UnansweredCommand) mayArrive(heartbeat *wire.Heartbeat) bool {
	return c.Token > 0 && heartbeat.Token <= c.Token && heartbeat.Epoch <= c.Epoch
}

// LaunchMayArrive reports whether an unanswered launch may still reach the agent.
func (m *Machine) LaunchMayArrive(heartbeat *wire.Heartbeat) bool {
	return m.UnansweredLaunch.mayArrive(heartbeat)
}
