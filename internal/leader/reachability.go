package leader

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// inboundPath is what is known of the way from this node to a machine whose
// reports come in. Answers and
// commands may be lost on their way while reports arrive: such a machine
// looks alive, but starts nothing, and its lease runs out.
type inboundPath struct {
	// The last answer to a report of it: the token in it, and the report's
	// place in the machine's life.
	answeredToken    wire.Token
	answeredSession  wire.Session
	answeredSequence wire.Sequence

	ignoredAnswers     int       // answers in a row that it seems not to have had
	unansweredCommands int       // direct commands in a row that were not answered
	unreachableSince   time.Time // since when nothing of ours is taken to arrive; zero: it does
}

// checkInbound compares a report with what the machine was told in the answer to
// an earlier one.
func (t *term) checkInbound(m *machine, rep *wire.Report, now time.Time) {
	h := &m.inbound
	switch {
	case rep.Token > m.token && m.token > 0:
		t.inboundWorks(m)
		return
	case h.answeredSequence == 0:
		return
	case rep.Session > h.answeredSession && now.Sub(m.answeredAt) < t.settings.Workers.LeaseS.Duration()/2:
		h.ignoredAnswers += 2 // its lease ran out although its reports were answered
	case rep.Session != h.answeredSession || rep.Sequence <= h.answeredSequence:
		return
	case rep.Token < h.answeredToken || t.missesLaunch(m, rep):
		h.ignoredAnswers++
	default:
		return
	}
	if h.unreachableSince.IsZero() && (h.ignoredAnswers >= 2 || h.unansweredCommands > 0) {
		h.unreachableSince = now
		t.log().Info("machine reports but receives nothing", "machine", m.id, "tasks", len(m.tasks))
	}
}

// missesLaunch tells whether an earlier answer carried a launch that the machine
// should know of by now.
func (t *term) missesLaunch(m *machine, rep *wire.Report) bool {
	for task, a := range m.tasks {
		if a.reported || a.answerSequence == 0 || a.answerSession != rep.Session || rep.Sequence <= a.answerSequence {
			continue
		}
		name := task.String()
		if !slices.ContainsFunc(rep.Tasks, func(p wire.TaskState) bool { return p.Task == name && p.Attempt == a.number }) {
			return true
		}
	}
	return false
}

// inboundWorks notes that something of ours has reached the machine.
func (t *term) inboundWorks(m *machine) {
	if !m.inbound.unreachableSince.IsZero() {
		t.log().Info("machine receives again", "machine", m.id)
		t.requestRound()
	}
	m.inbound.ignoredAnswers, m.inbound.unansweredCommands, m.inbound.unreachableSince = 0, 0, time.Time{}
}

// watchInbound returns a machine that reports but receives nothing: at once when
// something on it waits for a proof that it can't give, else when its lease
// must have run out. When many seem so it is rather this node that is slow.
func (t *term) watchInbound(m *machine, now time.Time) {
	if m.inbound.unreachableSince.IsZero() || m.releasing || !t.lease.Deciding() || !t.recovered {
		return
	}
	if now.Sub(m.verifiedAt) > 2*time.Second {
		m.verifiedAt = now
		t.probe(m)
	}
	stuck := false
	for _, a := range m.tasks {
		stuck = stuck || !a.planned && (!a.reported || a.halting)
	}
	since := now.Sub(m.inbound.unreachableSince)
	if stuck && since > reportInterval(t)/2+2*time.Second && m.inbound.unansweredCommands > 0 || since > t.settings.Workers.LeaseS.Duration() {
		t.release(m, "receives nothing")
	}
}

// reportsMissingFor is how long a machine has answered direct commands while no report
// of it came, neither here nor through another node, nor to one that may stand
// in.
func (t *term) reportsMissingFor(m *machine, now time.Time) time.Duration {
	if m.reportsMissingSince.IsZero() {
		return 0
	}
	return now.Sub(latest(m.reportsMissingSince, latest(t.stateBackAt, t.delegatesAnsweredUntil)))
}

// outboundLost tells whether a machine looks alive but can't reach any controller: its
// lease runs out again and again, with all that is started there. It takes
// nothing new, and its room is not counted on. (Tasks longer than a lease were
// once started on such machines for ever and never completed.)
func (t *term) outboundLost(m *machine, now time.Time) bool {
	return t.reportsMissingFor(m, now) > max(t.settings.Workers.LeaseS.Duration()/2, 2*reportInterval(t))
}

// watchOutbound returns a machine whose reports are lost when its lease must have run out, so that
// nothing is lost by it, or much later when they are many: then it is rather
// the way from them, which will be back.
func (t *term) watchOutbound(m *machine, now time.Time, few bool) {
	lease := t.settings.Workers.LeaseS.Duration()
	if m.releasing || !t.recovered || t.reportsMissingFor(m, now) <= lease*5/4 {
		return
	}
	if few || t.reportsMissingFor(m, now) > max(lease*5/2, t.settings.Workers.CancelS.Duration()*2) {
		t.release(m, "its reports don't arrive")
	}
}
