package cluster

import "lilaclead/internal/wire"

// LaunchDelivery tracks the messages of this term that may still deliver a launch of an
// attempt: a direct command that is under way or was never answered, or the response to a
// heartbeat. The dispatcher of commands and reconciliation write it.
type LaunchDelivery struct {
	// LaunchInFlight: a direct command with the launch waits for its response.
	LaunchInFlight bool
	// LaunchUnanswered: a direct command with the launch was never answered. The last such
	// command carried UnansweredLaunchToken.
	LaunchUnanswered      bool
	UnansweredLaunchToken wire.FencingToken
	// ResponseEpoch and ResponseSequence identify the last heartbeat whose response carried
	// the launch. A sequence of 0: no response did, or it can have no effect any more.
	ResponseEpoch    wire.AgentEpoch
	ResponseSequence wire.Sequence
}

// launchPath is the path by which a launch of an attempt may still take effect.
type launchPath int

const (
	// noLaunchPath: no launch can take effect any more, or none was sent.
	noLaunchPath launchPath = iota
	// earlierLeaderPath: an earlier leader may have sent one, which the agent rejects only
	// once it has a higher fencing token.
	earlierLeaderPath
	// inFlightPath: a direct command with the launch is under way.
	inFlightPath
	// unansweredPath: a direct command with the launch was never answered. The network may
	// delay it, so that it arrives minutes late.
	unansweredPath
	// responsePath: the agent has not yet processed the response that carried the launch.
	responsePath
)

// LaunchMayTakeEffect reports whether a launch of the attempt may still take effect on the
// agent after the agent made this heartbeat. sentByAgent is true if the agent sent the
// heartbeat by itself, and false if it is the response to a direct command.
func (s *State) LaunchMayTakeEffect(a *Attempt, heartbeat *wire.Heartbeat, sentByAgent bool) bool {
	return s.openLaunchPath(a, heartbeat, sentByAgent) != noLaunchPath
}

// openLaunchPath returns the first path, in the order of the constants, by which a launch of
// the attempt may still take effect on the agent after the agent made this heartbeat.
func (s *State) openLaunchPath(a *Attempt, heartbeat *wire.Heartbeat, sentByAgent bool) launchPath {
	// An agent drops a command to an earlier epoch than its own, and one with a lower token
	// than its own.
	acceptsEpoch := heartbeat.Epoch <= a.LaunchEpoch
	switch {
	case a.Unstored:
		return noLaunchPath // a launch is sent only after the attempt is stored
	case a.Inherited && heartbeat.Token < s.FirstToken:
		return earlierLeaderPath
	case a.LaunchInFlight && acceptsEpoch:
		return inFlightPath
	case a.LaunchUnanswered && acceptsEpoch && heartbeat.Token <= a.UnansweredLaunchToken:
		return unansweredPath
	case a.launchedByResponseTo(heartbeat.Epoch) && !a.responseProcessed(heartbeat, sentByAgent):
		return responsePath
	}
	return noLaunchPath
}

// launchedByResponseTo reports whether the response to a heartbeat of the epoch carried the
// launch.
func (d *LaunchDelivery) launchedByResponseTo(epoch wire.AgentEpoch) bool {
	return d.ResponseSequence > 0 && d.ResponseEpoch == epoch
}

// responseProcessed reports whether the agent had processed the response that carried the
// launch when it made this heartbeat. An agent sends its next heartbeat only after it has
// processed the response to the last one. A heartbeat that answers a direct command proves
// nothing about that, however late it is.
func (d *LaunchDelivery) responseProcessed(heartbeat *wire.Heartbeat, sentByAgent bool) bool {
	return sentByAgent && heartbeat.Sequence > d.ResponseSequence
}

// LacksLaunch reports whether the heartbeat lacks an attempt whose launch was in the response
// to an earlier heartbeat, so that the machine should know of it.
func (m *Machine) LacksLaunch(heartbeat *wire.Heartbeat) bool {
	for task, a := range m.Attempts {
		expected := !a.SeenInHeartbeat && a.launchedByResponseTo(heartbeat.Epoch) && heartbeat.Sequence > a.ResponseSequence
		if expected && !heartbeat.Lists(task, a.Number) {
			return true
		}
	}
	return false
}

// UnansweredCommand identifies the newest direct command that was never answered; a token
// of 0: there is none.
type UnansweredCommand struct {
	Token wire.FencingToken
	Epoch wire.AgentEpoch
}

// mayArrive reports whether the command may still reach the agent that made this heartbeat,
// and be accepted.
func (c UnansweredCommand) mayArrive(heartbeat *wire.Heartbeat) bool {
	return c.Token > 0 && heartbeat.Token <= c.Token && heartbeat.Epoch <= c.Epoch
}

// LaunchMayArrive reports whether a launch that was never answered may still reach the agent
// that made this heartbeat, and be accepted.
func (m *Machine) LaunchMayArrive(heartbeat *wire.Heartbeat) bool {
	return m.UnansweredLaunch.mayArrive(heartbeat)
}
