package detector

import (
	"time"

	"lilaclead/internal/wire"
)

// maxIgnoredAnswers is how many answers in a row a machine may seem not to have
// had: one may be lost, or be answered by an older report.
const maxIgnoredAnswers = 2

// Inbound judges the way from this node to a machine whose reports come in. Answers
// and commands may be lost while reports arrive: such a machine looks alive, but
// starts nothing, and its lease runs out.
type Inbound struct {
	// The last answer to a report: the token in it, and the report's place in the
	// machine's sessions.
	token    wire.FencingToken
	session  wire.AgentEpoch
	sequence wire.Sequence

	ignoredAnswers     int       // in a row
	unansweredCommands int       // in a row
	lostSince          time.Time // since when nothing is taken to arrive; zero: it does
}

// Evidence is what a report shows of earlier answers.
type Evidence struct {
	KnownToken wire.FencingToken // that the machine had shown before
	// RenewedLately: its lease can't have run out if it had the last answer.
	RenewedLately bool
	// MissesLaunch tells whether the report lacks a task that an earlier answer
	// told it to start. It is asked only if that matters.
	MissesLaunch func() bool
}

// Change of what is believed of a path.
type Change int

// Changes of a path.
const (
	Unchanged Change = iota
	Lost
	Restored
)

// Answered notes that a report is answered.
func (p *Inbound) Answered(token wire.FencingToken, session wire.AgentEpoch, sequence wire.Sequence) {
	p.token, p.session, p.sequence = token, session, sequence
}

// Reported compares a report with what the machine was told in the answer to an
// earlier one.
func (p *Inbound) Reported(r *wire.Heartbeat, e Evidence, now time.Time) Change {
	switch {
	case r.Token > e.KnownToken && e.KnownToken > 0:
		return p.Received()
	case p.sequence == 0:
		return Unchanged
	case r.Epoch > p.session && e.RenewedLately:
		p.ignoredAnswers += maxIgnoredAnswers // its lease ran out although its reports were answered
	case r.Epoch != p.session || r.Sequence <= p.sequence:
		return Unchanged
	case r.Token < p.token || e.MissesLaunch():
		p.ignoredAnswers++
	default:
		return Unchanged
	}
	if p.Works() && (p.ignoredAnswers >= maxIgnoredAnswers || p.unansweredCommands > 0) {
		p.lostSince = now
		return Lost
	}
	return Unchanged
}

// Received notes that something of ours has reached the machine.
func (p *Inbound) Received() Change {
	change := Unchanged
	if !p.Works() {
		change = Restored
	}
	p.ignoredAnswers, p.unansweredCommands, p.lostSince = 0, 0, time.Time{}
	return change
}

// Unanswered notes that a direct command was not answered.
func (p *Inbound) Unanswered() { p.unansweredCommands++ }

// Works tells whether what is sent to the machine is taken to arrive.
func (p *Inbound) Works() bool { return p.lostSince.IsZero() }

// LostFor is for how long nothing has been taken to arrive, 0 if it does.
func (p *Inbound) LostFor(now time.Time) time.Duration {
	if p.Works() {
		return 0
	}
	return now.Sub(p.lostSince)
}

// CommandsFail tells whether the last direct command was not answered either.
func (p *Inbound) CommandsFail() bool { return p.unansweredCommands > 0 }
