package detector

import (
	"time"

	"lilaclead/internal/wire"
)

// ignoredResponsesThreshold is how many responses must seem to have been lost, with no delivery
// known in between, for the inbound path to count as lost. A single response may be lost, or be
// crossed by an older heartbeat. One is enough if a direct command was not answered either.
const ignoredResponsesThreshold = 2

// InboundPath tells whether the inbound path of a machine works: the path from this node to a
// machine whose heartbeats arrive. Responses and commands may be lost while heartbeats still
// come in. Such a machine looks alive, but starts nothing, and its lease expires.
type InboundPath struct {
	lastResponse sentResponse
	// ignoredResponses and unansweredCommands count since a message is known to have reached
	// the machine.
	ignoredResponses   int
	unansweredCommands int
	// lostSince is when the path began to count as lost. It is zero while the path works.
	lostSince time.Time
}

// sentResponse identifies a response to a heartbeat: the token in the response, and the epoch
// and sequence number of the heartbeat.
type sentResponse struct {
	token    wire.FencingToken
	epoch    wire.AgentEpoch
	sequence wire.Sequence
}

// HeartbeatEvidence is what the caller knows of a machine when a heartbeat of it is compared
// with earlier responses.
type HeartbeatEvidence struct {
	// KnownToken is the highest token in earlier heartbeats of the machine. It is 0 if there
	// was none.
	KnownToken wire.FencingToken
	// RecentlyRenewed reports that the last response is so recent that the machine's lease
	// can't have expired if the machine received that response.
	RecentlyRenewed bool
	// LacksLaunch reports whether the heartbeat lacks a task that an earlier response
	// told the machine to start. It is called only if the result depends on it.
	LacksLaunch func() bool
}

// PathChange is how the state of an inbound path has changed.
type PathChange int

// The possible changes of a path.
const (
	PathUnchanged PathChange = iota
	PathLost
	PathRestored
)

// RecordResponse records the response that is sent to a heartbeat: the token in the response,
// and the epoch and sequence number of the heartbeat.
func (p *InboundPath) RecordResponse(token wire.FencingToken, epoch wire.AgentEpoch, sequence wire.Sequence) {
	p.lastResponse = sentResponse{token, epoch, sequence}
}

// ObserveHeartbeat compares a heartbeat with the response to an earlier one, and returns how
// the state of the path changes by it.
func (p *InboundPath) ObserveHeartbeat(heartbeat *wire.Heartbeat, evidence HeartbeatEvidence, now time.Time) PathChange {
	if heartbeat.Token > evidence.KnownToken && evidence.KnownToken > 0 {
		return p.RecordDelivery() // a new token has reached the machine
	}
	ignored := p.countIgnoredResponses(heartbeat, evidence)
	if ignored == 0 {
		return PathUnchanged
	}
	p.ignoredResponses += ignored
	thresholdReached := p.ignoredResponses >= ignoredResponsesThreshold || p.unansweredCommands > 0
	if !p.Works() || !thresholdReached {
		return PathUnchanged
	}
	p.lostSince = now
	return PathLost
}

// countIgnoredResponses returns how many responses, as the heartbeat shows, have not reached the
// machine. A lease that expired although it was renewed recently counts as enough of them for the
// path to be lost.
func (p *InboundPath) countIgnoredResponses(heartbeat *wire.Heartbeat, evidence HeartbeatEvidence) int {
	last := &p.lastResponse
	switch {
	case last.sequence == 0:
		return 0 // no response was sent yet
	case heartbeat.Epoch > last.epoch && evidence.RecentlyRenewed:
		return ignoredResponsesThreshold // the lease expired although heartbeats were answered
	case heartbeat.Epoch != last.epoch || heartbeat.Sequence <= last.sequence:
		return 0 // the heartbeat was made before the response, or in another epoch
	case heartbeat.Token < last.token || evidence.LacksLaunch():
		return 1
	}
	return 0
}

// RecordDelivery records that a message from this node has reached the machine.
func (p *InboundPath) RecordDelivery() PathChange {
	change := PathUnchanged
	if !p.Works() {
		change = PathRestored
	}
	p.ignoredResponses, p.unansweredCommands, p.lostSince = 0, 0, time.Time{}
	return change
}

// RecordUnansweredCommand records that a direct command was not answered.
func (p *InboundPath) RecordUnansweredCommand() { p.unansweredCommands++ }

// Works reports whether messages to the machine are assumed to arrive.
func (p *InboundPath) Works() bool { return p.lostSince.IsZero() }

// LostFor returns for how long the path has counted as lost, 0 if it works.
func (p *InboundPath) LostFor(now time.Time) time.Duration {
	if p.Works() {
		return 0
	}
	return now.Sub(p.lostSince)
}

// CommandUnanswered reports whether a direct command has gone unanswered since a message is
// known to have reached the machine.
func (p *InboundPath) CommandUnanswered() bool { return p.unansweredCommands > 0 }
