package leader

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/peer"
	"lilaclead/internal/placement"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// hello is a report with the channel for its answer.
type hello struct {
	rep     wire.Report
	relayed bool // by another node
	reply   chan reply
}

// reply to a report.
type reply struct {
	orders  *wire.Commands // the answer; nil: none
	here    bool           // the worker should come to this node itself
	refused string         // why the report is not answered
}

// term is one period of leadership. Its loop owns everything below the line; the
// helpers that do I/O hand their results back through the inbox.
type term struct {
	l               *Leader
	lease           *election.Lease
	startedAt       time.Time
	delegationToken atomic.Uint64 // the token under which others may renew leases; 0: none yet
	// unprovenCancelSince: see Leader.UnprovenCancelSince.
	unprovenCancelSince atomic.Pointer[time.Time]
	hellos              chan hello
	inbox               chan func()
	over                chan struct{}
	endOnce             sync.Once
	endReason           string

	// ---- owned by the loop ----
	ctx                    context.Context
	settings               *config.Settings
	token                  wire.Token // also the revision of the leader's key
	firstToken             wire.Token // the token at the start of the term
	raising                bool
	recovered              bool
	placing                bool      // the first report round is over
	listed                 bool      // a machine list has come in
	listAt                 time.Time // when the last one was asked for
	earlyReports           map[wire.MachineID]wire.Report
	jobs                   map[wire.JobID]*job
	archived               map[wire.JobID]bool // archived, and news of them may still come
	machines               map[wire.MachineID]*machine
	gone                   map[wire.MachineID]time.Time // released, answered 200
	probed                 bool                         // every machine of the first list has been asked
	cutAt                  map[wire.Zone]time.Time      // when a zone last seemed cut off
	heard                  map[wire.Zone]heard          // what last came from each zone
	reports                int                          // that came in, in all
	delegatesAnsweredUntil time.Time                    // when another node can last have answered as a delegate
	stateAwaySince         time.Time                    // since when the state service is away; zero: it is not
	stateBackAt            time.Time                    // when it was last back
	majorityAckedAt        time.Time                    // when a majority first held our token

	pendingWrites     map[*chunk]struct{} // differ from what is stored
	finishedJobs      map[*job]struct{}   // can be archived
	incompleteGangs   map[*job]struct{}   // gangs of which a task was lost, not yet looked after
	gangsSeen         map[gangKind]gangSeen
	cancelledJobs     map[*job]struct{} // cancelled, with attempts that may be on machines
	cancelCursor      uint64            // what of the ledger of cancellations has been taken in
	writing           bool
	valueLimitLowered bool      // the state service has refused what the former limits allowed
	singleWrites      int       // so many transactions hold one thing each, to find what is refused
	writeStartedAt    time.Time // when the last write began
	retryAt           time.Time
	routineWriteAt    time.Time // when routine writes may go out again
	raiseAt           time.Time
	raiseWanted       bool
	claimed           map[*machine]struct{} // on which room is being made
	roundWanted       bool
	lastRound         time.Time
	roundAfter        time.Time
	roundTook         time.Duration // the last one

	fleet fleetState
}

func newTerm(l *Leader, lease *election.Lease) *term {
	t := &term{
		l: l, lease: lease, startedAt: lease.TakenAt(), token: lease.Token(), firstToken: lease.Token(),
		settings: &l.Config.Settings,
		hellos:   make(chan hello, 32), inbox: make(chan func(), 32), over: make(chan struct{}),
		earlyReports: map[wire.MachineID]wire.Report{}, jobs: map[wire.JobID]*job{}, archived: map[wire.JobID]bool{},
		machines: map[wire.MachineID]*machine{}, gone: map[wire.MachineID]time.Time{},
		cutAt: map[wire.Zone]time.Time{}, heard: map[wire.Zone]heard{}, pendingWrites: map[*chunk]struct{}{}, finishedJobs: map[*job]struct{}{},
		claimed: map[*machine]struct{}{}, cancelledJobs: map[*job]struct{}{}, incompleteGangs: map[*job]struct{}{}, gangsSeen: map[gangKind]gangSeen{},
	}
	t.fleet.init()
	return t
}

// end ends the term; safe from any goroutine.
func (t *term) end(why string) {
	t.endOnce.Do(func() {
		t.endReason = why
		close(t.over)
	})
}

// post hands a result to the loop.
func (t *term) post(f func()) {
	select {
	case t.inbox <- f:
	case <-t.over:
	}
}

func (t *term) log() *slog.Logger { return t.l.Log }

// run serves the term until it is over and says why.
func (t *term) run(parent context.Context) string {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	t.ctx = ctx
	go t.keepLease(ctx)
	go t.recover(ctx)
	go t.listHosts(ctx)
	go t.watchFlavors(ctx)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	slow := 0
	for {
		select {
		case <-t.over:
			return t.endReason
		case <-parent.Done():
			t.end("stopped")
			return t.endReason
		case h := <-t.hellos:
			t.onHello(h)
		case f := <-t.inbox:
			f()
		case now := <-tick.C:
			t.watchLeadership(now)
			t.probeSome()
			if slow++; slow%5 == 0 {
				t.watchMachines(now)
			}
			if slow%10 == 0 {
				t.planFleet(now)
			}
			if slow%100 == 0 {
				t.logStatus(now)
			}
		}
		t.settle(time.Now())
	}
}

// settle does what has become due after an event: a round, a write.
func (t *term) settle(now time.Time) {
	if !t.recovered || !t.lease.Deciding() {
		return
	}
	t.mendGangs()
	v := t.l.Tuning.Get()
	if t.placing && (t.roundWanted && now.After(t.roundAfter) || now.Sub(t.lastRound) >= wire.Seconds(v.RoundS).Duration()) {
		t.round(now)
	}
	t.flush(now)
}

// requestRound asks for a round soon; a few events are gathered first.
func (t *term) requestRound() {
	if !t.roundWanted {
		t.roundWanted = true
		// At most a fifth of the time goes to rounds, however large they are.
		pause := max(100*time.Millisecond, 4*t.roundTook)
		t.roundAfter = latest(time.Now().Add(10*time.Millisecond), t.lastRound.Add(pause))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// watchLeadership yields to a higher token and bounds the service without the
// state service.
func (t *term) watchLeadership(now time.Time) {
	v := t.l.Mesh.View()
	if v.Token > t.token && !t.raising {
		// Our own raised token comes back through the peers only after we
		// know of it, or while raising is set.
		t.end("a higher token is known")
		return
	}
	until := v.AckedUntil(t.token, t.settings.Size/2+1)
	acked := now.Before(until)
	if acked && t.majorityAckedAt.IsZero() {
		t.majorityAckedAt = now
	}
	t.lease.Acknowledged(until, t.oldestAck(v, now), t.l.delegationTime)
	t.applyCancellations()
	if t.lease.Deciding() {
		if !t.stateAwaySince.IsZero() {
			t.log().Info("state service back", "token", t.token, "away", now.Sub(t.stateAwaySince))
			t.stateAwaySince, t.stateBackAt = time.Time{}, now
			t.requestRound()
		}
	} else {
		if t.stateAwaySince.IsZero() {
			t.stateAwaySince = now
			t.log().Info("state service away; keeps answering reports while a majority agrees", "token", t.token, "agrees", acked)
		}
	}
	if !t.placing && t.recovered {
		bound := t.settings.Workers.ReportS.Duration()*5/4 + 1500*time.Millisecond
		if t.enoughMachinesReported(now) || now.Sub(t.startedAt) > bound {
			t.placing = true
			t.log().Info("places", "machines", len(t.machines), "jobs", len(t.jobs), "after", now.Sub(t.startedAt))
			t.requestRound()
		}
	}
}

// oldestAck is when the oldest of the other nodes' last acknowledgements was asked
// for.
func (t *term) oldestAck(v *peer.View, now time.Time) time.Time {
	oldest := now
	for _, o := range t.l.Config.Others {
		if at := v.Others[o.HostName].AckSent; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// keepLease renews the leadership and ends the term when it is lost.
func (t *term) keepLease(ctx context.Context) {
	if err := t.lease.Keep(ctx, t.leaseRenewed); err != nil {
		t.end(err.Error())
	}
}

// enoughMachinesReported tells whether the machines that should be up have reported with
// our token: all of a small deployment, and half of a large one, where
// showing the token to the last takes seconds. One that is in no list or did
// not answer a probe is not waited for. What was not heard takes nothing new,
// and its tasks count until it is known to be gone. Without a list (the
// cloud's interface may be down for minutes) it is the machines of which
// something is stored that are waited for.
func (t *term) enoughMachinesReported(now time.Time) bool {
	if !t.listed && now.Sub(t.startedAt) < time.Second {
		return false
	}
	heard, missing := 0, 0
	for _, m := range t.machines {
		switch {
		case m.booting:
		case m.baton >= t.firstToken:
			heard++
		case m.probes == 0 && (m.addr != "" || !t.listed):
			missing++
		}
	}
	return missing == 0 || missing <= heard && heard > 4*probesMost
}

// recover reads everything from the state service.
func (t *term) recover(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		jobs, rev, err := t.l.Store.List(ctx, store.Duty, store.JobPrefix)
		if err == nil {
			var runs []wire.Entry
			if runs, _, err = t.l.Store.List(ctx, store.Duty, store.RunPrefix); err == nil {
				t.post(func() {
					t.loadRecords(jobs, runs)
					t.l.Cancels.Read(began)
				})
				t.follow(ctx, rev)
				return
			}
		}
		t.log().Info("recovery: state service refuses", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// followFor is how long one watch is open. What it shows is only known to be as
// new as its beginning, and leases are renewed by that.
const followFor = time.Second

// follow watches the jobs.
func (t *term) follow(ctx context.Context, rev wire.Revision) {
	for ctx.Err() == nil {
		began := time.Now()
		ch, err := t.l.Store.Watch(ctx, store.JobPrefix, rev, followFor)
		if errors.Is(err, store.ErrTooOld) {
			t.end("fell behind the changes")
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
			continue
		}
		if ch.Revision > rev {
			rev = ch.Revision
		}
		t.post(func() {
			t.applyChanges(ch.Events)
			t.l.Cancels.Read(began)
		})
	}
}

// applyChanges takes in what has changed among the jobs' records.
func (t *term) applyChanges(changes []wire.Change) {
	for _, c := range changes {
		if c.Put != "" {
			t.applyJobRecord(c.Value, c.Revision)
			continue
		}
		// The last that comes of a job.
		id := wire.JobID(strings.TrimPrefix(c.Delete, store.JobPrefix))
		if delete(t.archived, id); t.jobs[id] != nil {
			t.jobs[id].recordGone = true
		}
	}
}

// loadRecords builds the term's picture from what was read.
func (t *term) loadRecords(jobs, runs []wire.Entry) {
	for _, e := range jobs {
		t.applyJobRecord(e.Value, e.Revision)
	}
	t.readProgress(runs)
	for _, j := range t.jobs {
		t.readGang(j)
	}
	t.recovered = true
	t.log().Info("recovered", "jobs", len(t.jobs), "machines", len(t.machines), "took", time.Since(t.startedAt))
	for _, j := range t.jobs {
		if j.cancelled {
			t.haltCancelled(j)
		}
		t.checkFinished(j)
	}
	for _, rep := range t.earlyReports {
		t.apply(t.machine(rep.Machine), &rep, true, time.Now())
	}
	t.earlyReports = nil
	t.cancelCursor = 0
	t.applyCancellations()
	t.delegationToken.Store(uint64(t.token)) // only now cancellations are known
	t.probeSome()
}

// applyJobRecord takes in a job record that is new or has changed.
func (t *term) applyJobRecord(v wire.Raw, revision wire.Revision) {
	var rec store.JobRecord
	if err := wire.Decode(v, &rec); err != nil {
		t.log().Error("undecodable job record", "revision", revision, "err", err)
		return
	}
	j := t.jobs[rec.Spec.ID]
	if j == nil {
		if t.archived[rec.Spec.ID] {
			return // late news of a job that is over
		}
		j = newJob(rec, revision)
		t.jobs[rec.Spec.ID] = j
		t.requestRound()
	}
	if revision < j.revision {
		return
	}
	j.revision, j.stale = revision, j.cancelled && rec.Status != wire.Cancelled
	rec.Tell(t.l.Cancels)
	if rec.Status == wire.Cancelled && !j.cancelled {
		j.cancelled = true
		j.cancelledAt = time.Now().Add(-rec.Cancelled())
		if t.recovered {
			t.haltCancelled(j)
		}
	}
}

// haltCancelled stops what is left of a cancelled job. For a job that is read
// during recovery this comes only once its attempts have been read too: before, it
// looks as if nothing of it were left.
func (t *term) haltCancelled(j *job) {
	t.log().Info("cancels", "job", j.spec.ID, "held", j.held)
	t.cancelledJobs[j] = struct{}{}
	for _, a := range j.attempts() {
		t.haltOne(a, 0, "cancelled")
	}
	t.checkFinished(j)
}

// checkFinished notes that a job can be archived.
func (t *term) checkFinished(j *job) {
	if j.cancelled && j.held == 0 || j.done == j.spec.Tasks {
		j.finished = true
		t.finishedJobs[j] = struct{}{}
	}
}

// ---- jobs and attempts ----

const (
	taskPending uint8 = iota
	taskHeld
	taskDone
)

type job struct {
	spec        wire.Spec
	revision    wire.Revision
	acceptedAt  time.Time
	cancelled   bool
	cancelledAt time.Time
	stale       bool // its record has changed in a way not yet read
	finished    bool // to be archived
	archiving   bool
	writeAfter  time.Time // its end is not written before: it was refused by itself
	recordGone  bool      // the watch has shown that its record is gone
	chunks      []*chunk
	chunkTasks  int // tasks of a chunk
	// subChunks is how many chunks each one that was stored was split into, 0: none
	// was, and baseRevisions the revisions of those that were.
	subChunks     int
	baseRevisions []wire.Revision
	gang          *gang // its attempt that may be on machines; nil: none
	unstored      int   // attempts held that are not yet stored
	done          int
	held          int
	// Faults: machines on which a task of it failed in a row.
	failedOn          map[wire.MachineID]bool
	succeeded         bool
	failures          int
	notBefore         time.Time
	started           bool
	lastHeldAt        time.Time // when a task of it was last on a machine
	lastStartAt       time.Time // when a task of it was started last, in this term
	runs              runStats
	firstPendingChunk int // no task of an earlier chunk is pending
}

func newJob(rec store.JobRecord, revision wire.Revision) *job {
	j := &job{spec: rec.Spec, revision: revision, acceptedAt: rec.At.Time(), chunkTasks: rec.ChunkTasks()}
	// Steady from here on; a clock that is off makes no job wait negatively.
	if age := time.Since(j.acceptedAt); age > 0 {
		j.acceptedAt = time.Now().Add(-age)
	} else {
		j.acceptedAt = time.Now()
	}
	j.chunks = make([]*chunk, (rec.Spec.Tasks+j.chunkTasks-1)/j.chunkTasks)
	return j
}

func (j *job) pending() int { return j.spec.Tasks - j.done - j.held }

func (j *job) chunk(n int) *chunk {
	if j.chunks[n] == nil {
		j.chunks[n] = &chunk{job: j, index: n, nextAttempt: 1,
			taskStates: make([]uint8, min(j.chunkTasks, j.spec.Tasks-n*j.chunkTasks)), attempts: map[int]*attempt{}}
	}
	return j.chunks[n]
}

// attempts lists what may be on machines.
func (j *job) attempts() []*attempt {
	var out []*attempt
	for _, c := range j.chunks {
		if c != nil {
			for _, a := range c.attempts {
				out = append(out, a)
			}
		}
	}
	return out
}

// zones counts what may be on machines by zone; what is on a machine of an
// unknown zone counts under none.
func (j *job) zones() map[wire.Zone]int {
	n := map[wire.Zone]int{}
	for _, a := range j.attempts() {
		n[a.machine.zone]++
	}
	return n
}

// eachPending calls f for up to n pending tasks.
func (j *job) eachPending(n int, f func(c *chunk, index int)) {
	for ci := j.firstPendingChunk; ci < len(j.chunks); ci++ {
		c := j.chunk(ci)
		for i := c.firstPending; i < len(c.taskStates); i++ {
			if n == 0 {
				return
			}
			if c.taskStates[i] == taskPending {
				f(c, i)
				n--
			}
			c.firstPending = i + 1
		}
		j.firstPendingChunk = ci + 1
	}
}

type chunk struct {
	job          *job
	index        int
	revision     wire.Revision
	nextAttempt  wire.Attempt
	taskStates   []uint8
	firstPending int       // no earlier task is pending
	unstored     int       // attempts held that are not yet stored
	changedAt    time.Time // when it came to differ from what is stored
	attempts     map[int]*attempt
	changed      bool // differs from what is stored or being stored
	beingWritten bool // being written
	// writeAfter: it is not written before, as it was refused by itself.
	writeAfter time.Time
}

func (c *chunk) hold(a *attempt) {
	c.taskStates[a.index] = taskHeld
	c.attempts[a.index] = a
	c.job.held++
	a.machine.tasks[a.task()] = a
	a.machine.used = a.machine.used.Plus(a.res())
}

// markPending notes that a chunk must be written.
func (t *term) markPending(c *chunk) {
	if !c.changed {
		c.changedAt = time.Now()
	}
	c.changed = true
	t.pendingWrites[c] = struct{}{}
}

// record is the chunk as it is stored.
func (c *chunk) record() store.ChunkRecord {
	done := make([]bool, len(c.taskStates))
	for i, s := range c.taskStates {
		done[i] = s == taskDone
	}
	rec := store.ChunkRecord{Next: c.nextAttempt, Done: store.Ranges(done), Held: []store.Held{}}
	if c.job.subChunks > 0 {
		rec.Size = c.job.chunkTasks
	}
	for i, a := range c.attempts {
		rec.Held = append(rec.Held, store.Held{Task: i, Try: a.number, On: a.machine.id})
	}
	slices.SortFunc(rec.Held, func(a, b store.Held) int { return a.Task - b.Task })
	return rec
}

// attempt is one start of a task that may be on its machine, or may still
// get there.
type attempt struct {
	job       *job
	chunk     *chunk
	index     int
	number    wire.Attempt
	machine   *machine
	decidedAt time.Time // when it was decided on

	planned      bool // not yet stored; must not be sent
	inherited    bool // stored by an earlier leader, who may have sent it
	reported     bool // was in a report in this term
	phase        wire.TaskPhase
	runningSince time.Time // first seen running
	fetchedAt    time.Time // when it was first seen past its fetch

	// What of ours may still deliver its launch.
	sent             bool
	sentSession      wire.Session
	launchInFlight   bool
	launchUnanswered bool // a direct launch was never answered
	unansweredToken  wire.Token
	answerSession    wire.Session
	answerSequence   wire.Sequence

	halting     bool
	haltAt      time.Time // since when
	gracePeriod wire.Seconds
	haltSent    time.Time
	haltReason  string
}

func (a *attempt) task() wire.Task {
	return wire.Task{Job: a.job.spec.ID, Index: a.chunk.index*a.job.chunkTasks + a.index}
}

// canStart tells whether a launch of the attempt may still take effect on
// the worker after it made this report.
func (t *term) canStart(a *attempt, rep *wire.Report, viaHello bool) bool {
	switch {
	case a.planned:
		return false
	case a.inherited && rep.Token < t.firstToken:
		// An earlier leader's launch dies only by a higher token.
		return true
	case a.launchInFlight && rep.Session <= a.sentSession:
		return true
	case a.launchUnanswered && rep.Token <= a.unansweredToken && rep.Session <= a.sentSession:
		// Held up on its way, it may come minutes late.
		return true
	case a.answerSequence > 0 && a.answerSession == rep.Session && !(viaHello && rep.Sequence > a.answerSequence):
		// The worker has not yet done with the answer that carried it.
		return true
	}
	return false
}

// drop ends an attempt: nothing of it is on its machine, nor can get there.
func (t *term) drop(a *attempt, state uint8) {
	c := a.chunk
	if c.attempts[a.index] != a {
		return
	}
	delete(c.attempts, a.index)
	if a.planned {
		a.planned = false
		c.unstored--
		a.job.unstored--
	}
	if a.machine.tasks[a.task()] == a {
		delete(a.machine.tasks, a.task())
		a.machine.used = a.machine.used.Minus(a.res())
		if len(a.machine.tasks) == 0 {
			a.machine.used = placement.Res{} // sums of decimals drift
		}
	}
	c.taskStates[a.index] = state
	if state == taskPending {
		c.firstPending, a.job.firstPendingChunk = min(c.firstPending, a.index), min(a.job.firstPendingChunk, c.index)
	}
	t.markPending(c)
	a.job.held--
	if state == taskPending && a.job.spec.Gang() {
		t.incompleteGangs[a.job] = struct{}{}
	}
	if state == taskDone {
		a.job.done++
	}
	a.machine.usedAt = time.Now()
	a.job.lastHeldAt = a.machine.usedAt
	t.checkFinished(a.job)
	t.requestRound()
}

// halt wants the attempt stopped, and with a gang's task all of the gang.
func (t *term) halt(a *attempt, windDown wire.Seconds, why string) {
	if a.job.gang != nil {
		t.haltGang(a.job, windDown, why)
		return
	}
	t.haltOne(a, windDown, why)
}

func (t *term) haltOne(a *attempt, windDown wire.Seconds, why string) {
	if a.planned {
		if !a.chunk.beingWritten {
			t.drop(a, taskPending)
		} else {
			a.halting, a.gracePeriod, a.haltReason = true, windDown, why
		}
		return
	}
	if a.halting && a.gracePeriod <= windDown {
		return
	}
	if !a.halting {
		a.haltAt = time.Now()
	}
	a.halting, a.gracePeriod, a.haltReason, a.haltSent = true, windDown, why, time.Time{}
	if why != "cancelled" {
		t.log().Info("stops", "task", a.task(), "try", a.number, "machine", a.machine.id, "why", why)
		t.l.Metrics.Moved(why)
	}
	t.dispatch(a.machine)
}

// res of the attempt.
func (a *attempt) res() placement.Res { return placement.Of(&a.job.spec) }
