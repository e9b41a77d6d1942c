package leader

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// hearing tells whether a machine whose reports come in hears us. Answers and
// commands may be lost on their way while reports arrive: such a machine
// looks alive, but starts nothing, and its lease runs out.
type hearing struct {
	// The last answer to a report of it: the token in it, and the report's
	// place in the machine's life.
	told  wire.Token
	shift wire.Session
	tally wire.Sequence

	ignored int       // answers in a row that it seems not to have had
	fails   int       // direct commands in a row that were not answered
	deaf    time.Time // since when it is taken not to hear us; zero: it does
}

// listen compares a report with what the machine was told in the answer to
// an earlier one.
func (t *term) listen(m *machine, rep *wire.Report, now time.Time) {
	h := &m.hearing
	switch {
	case rep.Token > m.baton && m.baton > 0:
		t.hears(m)
		return
	case h.tally == 0:
		return
	case rep.Session > h.shift && now.Sub(m.answered) < t.settings.Workers.LeaseS.Duration()/2:
		h.ignored += 2 // its lease ran out although its reports were answered
	case rep.Session != h.shift || rep.Sequence <= h.tally:
		return
	case rep.Token < h.told || t.unheard(m, rep):
		h.ignored++
	default:
		return
	}
	if h.deaf.IsZero() && (h.ignored >= 2 || h.fails > 0) {
		h.deaf = now
		t.log().Info("machine reports but does not hear", "machine", m.id, "tasks", len(m.tasks))
	}
}

// unheard tells whether an earlier answer carried a launch that the machine
// should know of by now.
func (t *term) unheard(m *machine, rep *wire.Report) bool {
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

// hears notes that something of ours has reached the machine.
func (t *term) hears(m *machine) {
	if !m.hearing.deaf.IsZero() {
		t.log().Info("machine hears again", "machine", m.id)
		t.requestRound()
	}
	m.hearing.ignored, m.hearing.fails, m.hearing.deaf = 0, 0, time.Time{}
}

// watchHearing returns a machine that reports but does not hear: at once when
// something on it waits for a proof that it can't give, else when its lease
// must have run out. When many seem deaf it is rather this node that is slow.
func (t *term) watchHearing(m *machine, now time.Time) {
	if m.hearing.deaf.IsZero() || m.releasing || !t.lease.Deciding() || !t.recovered {
		return
	}
	if now.Sub(m.verified) > 2*time.Second {
		m.verified = now
		t.probe(m)
	}
	stuck := false
	for _, a := range m.tasks {
		stuck = stuck || !a.planned && (!a.reported || a.halting)
	}
	since := now.Sub(m.hearing.deaf)
	if stuck && since > report(t)/2+2*time.Second && m.hearing.fails > 0 || since > t.settings.Workers.LeaseS.Duration() {
		t.release(m, "does not hear")
	}
}

// muteFor is how long a machine has answered direct commands while no report
// of it came, neither here nor through another node, nor to one that may stand
// in.
func (t *term) muteFor(m *machine, now time.Time) time.Duration {
	if m.muteAt.IsZero() {
		return 0
	}
	return now.Sub(latest(m.muteAt, latest(t.stateBackAt, t.delegatesAnsweredUntil)))
}

// mute tells whether a machine looks alive but can't reach any controller: its
// lease runs out again and again, with all that is started there. It takes
// nothing new, and its room is not counted on. (Tasks longer than a lease were
// once started on such machines for ever and never completed.)
func (t *term) mute(m *machine, now time.Time) bool {
	return t.muteFor(m, now) > max(t.settings.Workers.LeaseS.Duration()/2, 2*report(t))
}

// watchMute returns a mute machine when its lease must have run out, so that
// nothing is lost by it, or much later when they are many: then it is rather
// the way from them, which will be back.
func (t *term) watchMute(m *machine, now time.Time, few bool) {
	lease := t.settings.Workers.LeaseS.Duration()
	if m.releasing || !t.recovered || t.muteFor(m, now) <= lease*5/4 {
		return
	}
	if few || t.muteFor(m, now) > max(lease*5/2, t.settings.Workers.CancelS.Duration()*2) {
		t.release(m, "its reports don't arrive")
	}
}
