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

// launchPath names the way by which a launch of an attempt may still take effect.
type launchPath int

const (
	// noLaunchPath: no launch can take effect any more, or none was sent.
	noLaunchPath launchPath = iota
	// earlierLeaderPath: an earlier leader may have sent one, which dies only by a higher
	// fencing token.
	earlierLeaderPath
	// inFlightPath: a direct command is under way.
	inFlightPath
	// unansweredPath: a direct command was never answered. Held up on its way, it may come
	// minutes late.
	unansweredPath
	// replyPath: the agent has not yet processed the reply that carried it.
	replyPath
)

// LaunchMayTakeEffect reports whether a launch of the attempt may still take effect on the
// agent after it made this heartbeat. sentByAgent tells a heartbeat that the agent sent
// by itself from one that answers a direct command.
func (s *State) LaunchMayTakeEffect(a *Attempt, heartbeat *wire.Heartbeat, sentByAgent bool) bool {
	return s.openLaunchPath(a, heartbeat, sentByAgent) != noLaunchPath
}

// openLaunchPath returns the first way by which a launch of the attempt may still take
// effect on the agent after it made this heartbeat.
func (s *State) openLaunchPath(a *Attempt, heartbeat *wire.Heartbeat, sentByAgent bool) launchPath {
	// An agent drops commands to an earlier epoch, and those with a lower token than its
	// own.
	epochReached := heartbeat.Epoch <= a.LaunchEpoch
	switch {
	case a.Unstored:
		return noLaunchPath // record, then launch
	case a.Inherited && heartbeat.Token < s.FirstToken:
		return earlierLeaderPath
	case a.LaunchInFlight && epochReached:
		return inFlightPath
	case a.LaunchUnanswered && epochReached && heartbeat.Token <= a.UnansweredLaunchToken:
		return unansweredPath
	case a.launchedByReplyTo(heartbeat.Epoch) && !a.replyProcessed(heartbeat, sentByAgent):
		return replyPath
	}
	return noLaunchPath
}

// launchedByReplyTo reports whether the reply to a heartbeat of the epoch carried the launch.
func (d *LaunchDelivery) launchedByReplyTo(epoch wire.AgentEpoch) bool {
	return d.ReplySequence > 0 && d.ReplyEpoch == epoch
}

// replyProcessed reports whether the agent was done with the reply that carried the launch
// when it made this heartbeat. An agent sends its next heartbeat only then; an answer to a
// direct command shows nothing of it, however late it is.
func (d *LaunchDelivery) replyProcessed(heartbeat *wire.Heartbeat, sentByAgent bool) bool {
	return sentByAgent && heartbeat.Sequence > d.ReplySequence
}

// MissesLaunch reports whether an earlier reply carried a launch that the machine should
// know of by now, and the heartbeat lacks it.
func (m *Machine) MissesLaunch(heartbeat *wire.Heartbeat) bool {
	for task, a := range m.Tasks {
		expected := !a.SeenInHeartbeat && a.launchedByReplyTo(heartbeat.Epoch) && heartbeat.Sequence > a.ReplySequence
		if expected && !listsAttempt(heartbeat, task, a.Number) {
			return true
		}
	}
	return false
}

// listsAttempt reports whether a heartbeat has a state of the attempt.
func listsAttempt(heartbeat *wire.Heartbeat, task wire.TaskID, number wire.AttemptNumber) bool {
	name := task.String()
	return slices.ContainsFunc(heartbeat.Tasks, func(state wire.TaskStatus) bool {
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
