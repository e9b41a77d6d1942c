package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/netio"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// machine is what the term knows of one machine.
type machine struct {
	id    wire.MachineID
	addr  string
	kit   wire.MachineType
	zone  wire.Zone
	spot  bool
	shift wire.Session
	tally wire.Sequence
	baton wire.Token

	directAt time.Time // last report that came here by itself
	sentAt   time.Time // last report through another node
	relayed  bool      // the last report came through another node
	booting  bool      // never reported, as far as we know
	rentedAt time.Time
	listed   time.Time // when a list last had it; else when it was first heard of
	seenAt   time.Time // last message from it
	tokenAt  time.Time // when it first showed a token of this term
	answered time.Time // last answer to a report of it
	muteAt   time.Time // since when it only answers direct commands; zero: it reports
	shiftAt  time.Time // when its session was first heard of
	usedAt   time.Time // last time that a task was on it
	upAt     time.Time // first report in this term
	failed   bool      // the list says that it has stopped by itself

	tasks  map[wire.Task]*attempt
	used   placement.Res      // by tasks
	strays map[wire.Task]bool // on it, but not ours to want there
	notice time.Time          // the cloud takes it then; zero: no notice
	images imageCache

	lost   lostCommand // the last launches that were never answered
	busy   bool        // a direct command is under way
	probes int         // direct tries without an answer since seenAt
	// lostToPeer: the last of these went through another node, in vain too.
	lostToPeer bool
	verified   time.Time // when it was last asked directly because of an odd report
	reborn     bool      // it began a new life with smaller counters; to be returned
	hearing    hearing
	drain      string // why it takes nothing new; empty: it does
	releasing  bool
	cordoned   bool // see fleet.Plan
	claims     []claim
	fullUntil  time.Time
	errs       map[wire.JobID]bool // jobs that failed here in a row
	errCount   int
	slow       slowStats
}

func (t *term) machine(id wire.MachineID) *machine {
	m := t.machines[id]
	if m == nil {
		now := time.Now()
		m = &machine{id: id, tasks: map[wire.Task]*attempt{}, strays: map[wire.Task]bool{}, usedAt: now, rentedAt: now, listed: now, errs: map[wire.JobID]bool{}}
		t.machines[id] = m
	}
	return m
}

// onHello answers a report.
func (t *term) onHello(h hello) {
	now := time.Now()
	if !t.answering() {
		h.reply <- reply{refused: "can't tell whether this node still leads"}
		return
	}
	if !t.l.mayRenewLeases(now) {
		h.reply <- reply{refused: "can't tell what was cancelled"}
		return
	}
	o := &wire.Commands{Token: t.token, Commands: t.l.cancelledTaskHalts(&h.rep)}
	if _, gone := t.gone[h.rep.Machine]; gone {
		// Released, and the cloud said so: only a late copy can come.
		h.reply <- reply{refused: "this machine was returned"}
		return
	}
	if !t.recovered {
		if e, ok := t.earlyReports[h.rep.Machine]; !ok || h.rep.Newer(e.Session, e.Sequence) {
			t.earlyReports[h.rep.Machine] = h.rep
		}
		m := t.machine(h.rep.Machine)
		m.seenAt, m.answered = now, now
		h.reply <- reply{orders: o}
		return
	}
	m := t.machine(h.rep.Machine)
	if !h.rep.Newer(m.shift, m.tally) {
		h.reply <- t.older(m, &h.rep, o, now)
		return
	}
	if h.relayed {
		// A worker that is new, or new to this leader, is sent here first. If
		// it was here before, or was sent here and turns up elsewhere again,
		// it can't reach this node.
		first := m.directAt.IsZero() && m.sentAt.IsZero()
		m.sentAt = now
		if first {
			h.reply <- reply{here: true}
			return
		}
		if !m.relayed {
			t.log().Info("worker reaches the leader only through another node", "machine", m.id)
		}
	} else {
		m.directAt = now
	}
	m.relayed = h.relayed
	t.listen(m, &h.rep, now)
	t.apply(m, &h.rep, true, now)
	if t.renewalWithheld(m, &h.rep, now) {
		h.reply <- reply{refused: "a cancelled task may still start there"}
		return
	}
	m.answered = now
	m.hearing.told, m.hearing.shift, m.hearing.tally = t.token, h.rep.Session, h.rep.Sequence
	if t.deciding() {
		o.Commands = t.orders(m, &h.rep, now)
	}
	h.reply <- reply{orders: o}
}

// crossing is how long after a message of a worker an older report of it may
// still be waiting for its answer: workers give up after 4 s.
const crossing = 4 * time.Second

// older deals with a report that is not newer than what is known. Mostly it
// has crossed the answer to a direct command; it may be a copy that comes
// late, which says nothing of now, not even that the machine lives; and it
// may come from a machine that was back at once and counts anew. The machine
// itself is asked which.
func (t *term) older(m *machine, rep *wire.Report, o *wire.Commands, now time.Time) reply {
	crossed := now.Sub(m.seenAt) < crossing
	if (!crossed || rep.Session != m.shift || rep.Sequence+2 < m.tally) && now.Sub(m.verified) > time.Second && !m.releasing && t.deciding() {
		m.verified = now
		t.probe(m)
	}
	if !crossed {
		return reply{refused: "an older report than the last"}
	}
	m.answered = now
	return reply{orders: o}
}

// reborn takes in the answer of a machine that counts from the start again:
// it was back before anybody missed it. What its answer lacks is gone. It is
// returned, as from now on its reports can't be told from late copies of its
// last life.
func (t *term) reborn(m *machine, rep *wire.Report, now time.Time) {
	t.log().Info("machine began a new life", "machine", m.id, "tasks", len(m.tasks), "shift", rep.Session, "tally", rep.Sequence, "was_shift", m.shift, "was_tally", m.tally)
	m.shift, m.tally, m.images = 0, 0, imageCache{}
	for _, a := range m.tasks {
		a.answerSequence = 0 // the answer that carried it went to the last life
	}
	t.drainMachine(m, "began a new life")
	t.apply(m, rep, false, now)
	m.reborn = true
	t.release(m, "began a new life")
}

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

// apply takes in a report, however it came. It tells whether it was newer
// than what was known.
func (t *term) apply(m *machine, rep *wire.Report, viaHello bool, now time.Time) bool {
	if !rep.Newer(m.shift, m.tally) || m.reborn {
		return false
	}
	if viaHello {
		t.reports++
	}
	t.heard[rep.Zone] = heard{now, t.reports}
	if m.upAt.IsZero() {
		m.upAt = now
		t.fleetUp(m, now)
		t.requestRound()
	}
	if rep.Session > m.shift {
		// A lease that ran out leaves the images where they are; a new life
		// starts from the first session again.
		m.shiftAt = now
	}
	m.addr, m.kit, m.zone, m.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.shift, m.tally, m.seenAt, m.booting, m.probes = rep.Session, rep.Sequence, now, false, 0
	if m.baton < t.firstToken && rep.Token >= t.firstToken {
		m.tokenAt = now
	}
	m.baton = max(m.baton, rep.Token)
	if viaHello {
		m.muteAt = time.Time{}
	} else if m.muteAt.IsZero() {
		m.muteAt = now
	}
	if rep.SpotNotice != nil {
		at := now.Add(rep.SpotNotice.Duration())
		if m.notice.IsZero() {
			t.log().Info("spot notice", "machine", m.id, "in", rep.SpotNotice.Duration(), "tasks", len(m.tasks))
			t.drainMachine(m, "spot notice")
		}
		m.notice = at
	}
	clear(m.strays)
	listed := make(map[wire.Task]*wire.TaskState, len(rep.Tasks))
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			listed[task] = p
			t.progress(a, p, now)
		} else if p.Phase != wire.PhaseExited {
			m.strays[task] = true
		}
	}
	for task, a := range m.tasks {
		if listed[task] != nil || a.planned || t.canStart(a, rep, viaHello) {
			continue
		}
		switch {
		case t.launchAgain(a):
			a.inherited, a.sent, a.launchUnanswered, a.answerSequence = false, false, false, 0
		case a.reported, a.inherited, rep.Session > a.sentSession && a.sent:
			t.log().Info("task is gone from its machine", "task", task, "try", a.number, "machine", m.id, "shift", rep.Session)
			t.l.Metrics.Moved("gone")
			t.drop(a, taskPending)
		case a.halting, m.drain != "", a.job.cancelled:
			t.drop(a, taskPending)
		default:
			// Stored, not delivered: it is sent (again).
			a.launchUnanswered, a.answerSequence = false, 0
		}
	}
	return true
}

// progress takes in the state of an attempt of ours.
func (t *term) progress(a *attempt, p *wire.TaskState, now time.Time) {
	m, j := a.machine, a.job
	if a.sent && !a.reported {
		t.hears(m)
	}
	a.reported = true
	if p.Phase != wire.PhaseFetching && p.Cause != wire.CauseFull && p.Cause != wire.CauseBusy && p.Cause != wire.CauseNoSuch &&
		!(p.Phase == wire.PhaseExited && a.phase == wire.PhaseFetching && (p.Cause == wire.CauseStopped || p.Cause == wire.CauseGangBroken || p.Cause == wire.CauseGangIncomplete)) {
		m.images.touch(j.spec.Image, j.spec.ImageGB, t.localGB(m.kit), now)
		if a.fetchedAt.IsZero() {
			a.fetchedAt = now
		}
	}
	if p.Phase == wire.PhaseRunning && a.runningSince.IsZero() {
		a.runningSince = now
		if !j.started {
			j.started = true
			t.l.Metrics.Waited(j.spec.Class, now.Sub(j.acceptedAt).Seconds())
		}
	}
	a.phase = p.Phase
	if j.gang != nil && (p.Phase == wire.PhaseRunning || p.Phase == wire.PhaseSaving || p.Cause == wire.CauseGangBroken) {
		j.gang.ran = true
	}
	if g := j.gang; g != nil && p.Phase == wire.PhaseSaving && !g.told && !g.lost && !j.cancelled && a.inherited {
		// An earlier leader began to stop it, and may not have told all. Those
		// that don't hear of it in time don't save.
		t.haltGang(j, t.windDownOf(j), "an earlier leader stops its gang")
	}
	if p.Phase != wire.PhaseExited {
		return
	}
	switch p.Cause {
	case wire.CauseDone:
		if !a.runningSince.IsZero() && !j.spec.Gang() { // a gang goes at its slowest machine's speed
			t.timed(a, now)
		}
		j.succeeded, j.failures = true, 0
		clear(j.failedOn)
		clear(m.errs)
		m.errCount = 0
		if j.spec.Gang() {
			t.gangDone(j)
			break
		}
		t.drop(a, taskDone)
	case wire.CauseStopped, wire.CauseGangBroken, wire.CauseGangIncomplete:
		t.drop(a, taskPending)
	case wire.CauseError:
		t.failed(a, now)
		t.drop(a, taskPending)
	default:
		t.log().Info("start refused", "task", a.task(), "try", a.number, "machine", m.id, "cause", p.Cause)
		m.fullUntil = now.Add(2 * time.Second)
		if p.Cause == wire.CauseNoSuch {
			j.notBefore = now.Add(2 * time.Second)
		}
		t.drop(a, taskPending)
	}
}

// mostOrders keeps an answer, or a command, within the size that workers take.
const mostOrders = 400

// orders for the answer to a report: whatever has not been shown to have
// arrived is repeated.
func (t *term) orders(m *machine, rep *wire.Report, now time.Time) []wire.Command {
	out := []wire.Command{}
	for task, a := range m.tasks {
		if len(out) >= mostOrders {
			return out
		}
		if a.halting && !a.planned {
			out = append(out, haltOrder(task, a))
			a.haltSent = now
		} else if !a.planned && !a.reported && !a.launchInFlight && m.drain == "" && !a.job.cancelled && !a.inherited && m.hearing.deaf.IsZero() && a.mayLaunch() {
			out = append(out, wire.Command{Verb: wire.Launch, Task: task.String(), Attempt: a.number})
			a.sent, a.sentSession, a.answerSession, a.answerSequence = true, rep.Session, rep.Session, rep.Sequence
		}
	}
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		if len(out) >= mostOrders {
			return out
		}
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			continue
		}
		switch {
		case p.Phase != wire.PhaseExited:
			zero := wire.Seconds(0)
			out = append(out, wire.Command{Verb: wire.Halt, Task: p.Task, Attempt: p.Attempt, GracePeriod: &zero})
		case t.mayForget(m, task, rep):
			out = append(out, wire.Command{Verb: wire.Forget, Task: p.Task, Attempt: p.Attempt})
		}
	}
	return out
}

// mayForget: the outcome is stored, and no launch that could start the
// attempt again is under way to the worker. A forgotten attempt that is
// launched late would run once more.
func (t *term) mayForget(m *machine, task wire.Task, rep *wire.Report) bool {
	if m.lostAt(rep) {
		t.raiseWanted = true // a new token ends what may still be on its way
		return false
	}
	if m.busy || rep.Token < t.firstToken {
		return false
	}
	j := t.jobs[task.Job]
	if j == nil {
		return true
	}
	if j.finished || j.archiving {
		return false
	}
	n := task.Index / j.chunkTasks
	if n >= len(j.chunks) {
		return true
	}
	c := j.chunks[n]
	return c == nil || !c.changed && !c.beingWritten
}

func haltOrder(task wire.Task, a *attempt) wire.Command {
	w := a.gracePeriod
	return wire.Command{Verb: wire.Halt, Task: task.String(), Attempt: a.number, GracePeriod: &w}
}

// dispatch sends what is new for a machine straight to it.
func (t *term) dispatch(m *machine) {
	// Without the state service what is cancelled is still halted.
	blind := !t.deciding()
	if m.busy || m.addr == "" || m.upAt.IsZero() || m.releasing || blind && !t.answering() {
		return
	}
	now := time.Now()
	cmd := wire.Commands{Token: t.token, Session: m.shift}
	var launched []*attempt
	for task, a := range m.tasks {
		switch {
		case a.planned || len(cmd.Commands) >= mostOrders || blind && !a.job.cancelled:
		case a.halting:
			if now.Sub(a.haltSent) > 1500*time.Millisecond {
				cmd.Commands = append(cmd.Commands, haltOrder(task, a))
				a.haltSent = now
			}
		case !blind && a.mayLaunch() && !a.sent && !a.inherited && !a.reported && m.drain == "" && !a.job.cancelled:
			cmd.Commands = append(cmd.Commands, wire.Command{Verb: wire.Launch, Task: task.String(), Attempt: a.number})
			a.sent, a.sentSession, a.launchInFlight = true, m.shift, true
			launched = append(launched, a)
		}
	}
	if len(cmd.Commands) > 0 {
		t.command(m, cmd, launched)
	}
}

// command sends a direct command and takes in its answer.
func (t *term) command(m *machine, cmd wire.Commands, launched []*attempt) {
	m.busy = true
	addr, asked := m.addr, position{m.shift, m.tally}
	go func() {
		rep, status, err := t.l.post(t.ctx, addr, cmd, commandTimeout)
		t.post(func() { t.commanded(m, asked, cmd, launched, rep, status, err) })
	}()
}

// position in a machine's life.
type position struct {
	shift wire.Session
	tally wire.Sequence
}

func (t *term) commanded(m *machine, asked position, cmd wire.Commands, launched []*attempt, rep *wire.Report, status int, err error) {
	m.busy = false
	now := time.Now()
	for _, a := range launched {
		a.launchInFlight = false
	}
	switch {
	case err == nil && (status == http.StatusOK || status == http.StatusConflict) && rep.Machine == m.id:
		t.l.Metrics.Command("ok")
		t.hears(m)
		m.seenAt = now
		if !rep.Newer(asked.shift, asked.tally) && !m.reborn {
			// Made after we asked, and yet not newer than what we had then.
			t.reborn(m, rep, now)
			break
		}
		t.apply(m, rep, false, now)
	case err != nil && wire.NotSent(err):
		t.l.Metrics.Command("not sent")
		m.probes++
		m.muteAt = time.Time{} // silent, which is looked after otherwise
		m.hearing.fails++
		for _, a := range launched {
			if !a.reported {
				a.sent = false // certainly never left; the next report's answer carries it
			}
		}
	default:
		t.l.Metrics.Command("lost")
		m.probes++
		m.muteAt = time.Time{}
		m.hearing.fails++
		t.log().Debug("command not answered", "machine", m.id, "orders", len(cmd.Commands), "err", err, "status", status)
		for _, a := range launched {
			a.launchUnanswered, a.unansweredToken = true, cmd.Token
		}
		if len(launched) > 0 {
			m.lost = lostCommand{max(m.lost.token, cmd.Token), max(m.lost.shift, cmd.Session)}
		}
	}
	if m.probes == 0 {
		t.dispatch(m)
	}
}

const (
	// commandTimeout is how long a command's answer is waited for. What is
	// not answered may still be executed: launches are careful with it.
	commandTimeout = 2500 * time.Millisecond
	// probeTimeout is shorter, as two in a row tell a machine's end.
	probeTimeout = 1200 * time.Millisecond
)

// post sends a command to a worker.
func (l *Leader) post(ctx context.Context, addr string, cmd wire.Commands, timeout time.Duration) (*wire.Report, int, error) {
	if cmd.Commands == nil {
		cmd.Commands = []wire.Command{}
	}
	line := l.commandSlots
	if len(cmd.Commands) == 0 {
		line = l.probeSlots
	}
	select {
	case line <- struct{}{}:
		defer func() { <-line }()
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, l.workerClient, "POST", "http://"+addr+"/commands", cmd, 1<<20)
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Report
	if err := wire.Decode(raw, &rep); err != nil {
		return nil, 0, err
	}
	return &rep, status, nil
}

// probe asks a worker for its report and shows it our token.
func (t *term) probe(m *machine) {
	if m.busy || m.addr == "" {
		return
	}
	shift := max(m.shift, 1)
	m.busy = true
	addr, cmd, asked := m.addr, wire.Commands{Token: t.token, Session: shift}, position{m.shift, m.tally}
	ask := func() (*wire.Report, int, error) { return t.l.post(t.ctx, addr, cmd, probeTimeout) }
	// What doesn't answer this node is asked once more through another one: it
	// may be only the way from here that is cut.
	helper := wire.NodeID("")
	if m.probes > 0 {
		if helper = t.l.helper(time.Now()); helper != "" {
			ask = func() (*wire.Report, int, error) { return t.l.askVia(t.ctx, helper, addr, cmd) }
		}
	}
	go func() {
		rep, status, err := ask()
		if err == nil && status == http.StatusConflict && rep.Session != cmd.Session && rep.Token <= cmd.Token {
			// Wrong session: now we know the right one.
			cmd.Session = rep.Session
			rep, status, err = ask()
		}
		t.post(func() {
			t.commanded(m, asked, cmd, nil, rep, status, err)
			m.lostToPeer = err != nil && helper != ""
		})
	}()
}

// question is one that another node passes on to a worker.
type question struct {
	Addr   string        `cbor:"addr"`
	Orders wire.Commands `cbor:"orders"`
}

// helper is some other node that is linked to this one.
func (l *Leader) helper(now time.Time) wire.NodeID {
	var near []wire.NodeID
	for id, o := range l.Mesh.View().Others {
		if o.Near(now) {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// askVia asks a worker for its report through another node.
func (l *Leader) askVia(ctx context.Context, node wire.NodeID, addr string, cmd wire.Commands) (*wire.Report, int, error) {
	status, raw, err := l.Mesh.Relay(ctx, node, "/peer/ask", question{addr, cmd})
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Report
	if status != http.StatusOK && status != http.StatusConflict || wire.Decode(raw, &rep) != nil {
		return nil, status, errors.New("not reached through " + string(node))
	}
	return &rep, status, nil
}

// Ask handles a leader's question to a worker that the leader can't reach.
// It passes on no launches: those the leader keeps account of itself.
func (l *Leader) Ask(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	var a question
	if err != nil || wire.Decode(raw, &a) != nil || a.Addr == "" || len(a.Orders.Commands) > 0 {
		wire.Answer(w, http.StatusBadRequest, wire.Reason{Error: "not a question to a worker"})
		return
	}
	rep, status, err := l.post(r.Context(), a.Addr, a.Orders, probeTimeout)
	if err != nil {
		wire.Refuse(w, http.StatusBadGateway, "worker not reached", 1)
		return
	}
	wire.Answer(w, status, rep)
}

// probesMost is how many machines are asked directly in a tenth of a second.
// All at once, those of a large deployment would hold up the renewals and the
// reports behind them.
const probesMost = 25

// probeSome shows our token to the machines that have not seen it and whose
// address is known, so that a new leader's report round takes a moment and
// not a report's interval.
func (t *term) probeSome() {
	if t.probed || !t.recovered || !t.deciding() {
		return
	}
	n := 0
	for _, m := range t.machines {
		if m.booting || m.baton >= t.firstToken || m.busy || m.addr == "" || m.probes > 0 {
			continue
		}
		if n++; n > probesMost {
			return
		}
		t.probe(m)
	}
	t.probed = n == 0 && t.listed
}

type lostCommand struct {
	token wire.Token
	shift wire.Session
}

// lostAt tells whether an unanswered launch may still reach the worker.
func (m *machine) lostAt(rep *wire.Report) bool {
	l := m.lost
	return l.token > 0 && rep.Token <= l.token && rep.Session <= l.shift
}

// imageCache is what the reports imply of a machine's images: an image is
// there once a task of it got past its fetch, until later ones push it out.
type imageCache struct {
	has map[wire.ImageID]image
}

type image struct {
	gb float64
	at time.Time
}

func (c *imageCache) touch(id wire.ImageID, gb, room float64, now time.Time) {
	if c.has == nil {
		c.has = map[wire.ImageID]image{}
	}
	c.has[id] = image{gb, now}
	for room > 0 {
		sum, oldest := 0.0, id
		for k, i := range c.has {
			sum += i.gb
			if i.at.Before(c.has[oldest].at) {
				oldest = k
			}
		}
		if sum <= room || oldest == id {
			return
		}
		delete(c.has, oldest)
	}
}

// localGB is the size of a type's image cache.
func (t *term) localGB(k wire.MachineType) float64 {
	if f := t.flavor(k); f != nil {
		return f.DiskGB
	}
	return 0
}

func (t *term) flavor(k wire.MachineType) *wire.MachineSpec {
	fs := t.l.Flavors.Get()
	for i := range fs {
		if fs[i].Name == k {
			return &fs[i]
		}
	}
	return nil
}

// total and free room of a machine. What the cloud's list of types does not
// name can hold nothing.
func (t *term) total(m *machine) placement.Res {
	if f := t.flavor(m.kit); f != nil {
		return placement.Res{CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB}
	}
	return placement.Res{}
}

func (t *term) free(m *machine) placement.Res {
	free := t.total(m).Minus(m.used)
	for task := range m.strays {
		j := t.jobs[task.Job]
		if j == nil {
			return placement.Res{} // of unknown size
		}
		if m.tasks[task] == nil {
			free = free.Minus(placement.Of(&j.spec))
		}
	}
	return free
}
