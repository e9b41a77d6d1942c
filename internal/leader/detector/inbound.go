package detector

import (
	"time"

	"lilaclead/internal/wire"
)

// maxIgnoredAnswers is how many answers in a row a machine may seem not to have
// received: one may be lost, or be crossed by an older heartbeat.
const maxIgnoredAnswers = 2

// Inbound judges the path from this node to a machine whose heartbeats arrive. Answers
// and commands may be lost while heartbeats still come in: such a machine looks alive,
// but starts nothing, and its lease expires.
type Inbound struct {
	lastAnswer answerMark
	// ignoredAnswers and unansweredCommands are in a row.
	ignoredAnswers     int
	unansweredCommands int
	// lostSince is when the path began to count as lost; zero: it works.
	lostSince time.Time
}

// answerMark is the last answer to a heartbeat: the token in it, and the heartbeat's
// place among those of the machine.
type answerMark struct {
	token    wire.FencingToken
	epoch    wire.AgentEpoch
	sequence wire.Sequence
}

// Evidence is what a heartbeat shows of earlier answers.
type Evidence struct {
	// KnownToken is the token that the machine had shown before.
	KnownToken wire.FencingToken
	// RecentlyRenewed: the machine's lease can't have expired if it received the last
	// answer.
	RecentlyRenewed bool
	// MissesLaunch reports whether the heartbeat lacks a task that an earlier answer
	// told the machine to start. It is called only if that matters.
	MissesLaunch func() bool
}

// Change of the verdict on a path.
type Change int

// Changes of a path.
const (
	Unchanged Change = iota
	Lost
	Restored
)

// RecordAnswer records the answer to a heartbeat.
func (p *Inbound) RecordAnswer(token wire.FencingToken, epoch wire.AgentEpoch, sequence wire.Sequence) {
	p.lastAnswer = answerMark{token, epoch, sequence}
}

// ObserveHeartbeat compares a heartbeat with what the machine was told in the answer to an
// earlier one.
func (p *Inbound) ObserveHeartbeat(heartbeat *wire.Heartbeat, evidence Evidence, now time.Time) Change {
	if heartbeat.Token > evidence.KnownToken && evidence.KnownToken > 0 {
		return p.RecordDelivery() // a new token has reached it
	}
	ignored := p.ignoredBy(heartbeat, evidence)
	if ignored == 0 {
		return Unchanged
	}
	p.ignoredAnswers += ignored
	enough := p.ignoredAnswers >= maxIgnoredAnswers || p.unansweredCommands > 0
	if !p.Works() || !enough {
		return Unchanged
	}
	p.lostSince = now
	return Lost
}

// ignoredBy returns how many answers a heartbeat shows not to have been received.
func (p *Inbound) ignoredBy(heartbeat *wire.Heartbeat, evidence Evidence) int {
	last := &p.lastAnswer
	switch {
	case last.sequence == 0:
		return 0 // none was given yet
	case heartbeat.Epoch > last.epoch && evidence.RecentlyRenewed:
		return maxIgnoredAnswers // its lease expired although its heartbeats were answered
	case heartbeat.Epoch != last.epoch || heartbeat.Sequence <= last.sequence:
		return 0 // it was made before the answer
	case heartbeat.Token < last.token || evidence.MissesLaunch():
		return 1
	}
	return 0
}

// RecordDelivery records that a message from this node has reached the machine.
func (p *Inbound) RecordDelivery() Change {
	change := Unchanged
	if !p.Works() {
		change = Restored
	}
	p.ignoredAnswers, p.unansweredCommands, p.lostSince = 0, 0, time.Time{}
	return change
}

// RecordUnansweredCommand records that a direct command was not answered.
func (p *Inbound) RecordUnansweredCommand() { p.unansweredCommands++ }

// Works reports whether messages to the machine are taken to arrive.
func (p *Inbound) Works() bool { return p.lostSince.IsZero() }

// LostFor returns how long nothing has been taken to arrive, 0 if the path works.
func (p *Inbound) LostFor(now time.Time) time.Duration {
	if p.Works() {
		return 0
	}
	return now.Sub(p.lostSince)
}

// CommandsFail reports whether the last direct command was not answered either.
func (p *Inbound) CommandsFail() bool { return p.unansweredCommands > 0 }
