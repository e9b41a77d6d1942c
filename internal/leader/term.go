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

// term is one time in office. Its loop owns everything below the line; the
// helpers that do I/O hand their results back through the inbox.
type term struct {
	l      *Leader
	permit wire.GrantID
	born   time.Time
	until  atomic.Int64  // since born
	blind  atomic.Int64  // since born: until then reports may be answered without the state service
	grants atomic.Uint64 // the token under which others may stand in; 0: none yet
	// unproven: see Leader.Unproven.
	unproven atomic.Pointer[time.Time]
	hellos   chan hello
	inbox    chan func()
	over     chan struct{}
	endOnce  sync.Once
	why      string

	// ---- owned by the loop ----
	ctx       context.Context
	set       *config.Settings
	token     wire.Token // also the revision of the leader's key
	first     wire.Token // the token at the start of the term
	raising   bool
	recovered bool
	placing   bool      // the first report round is over
	listed    bool      // a machine list has come in
	listAt    time.Time // when the last one was asked for
	early     map[wire.MachineID]wire.Report
	jobs      map[wire.JobID]*job
	past      map[wire.JobID]bool // archived, and news of them may still come
	machines  map[wire.MachineID]*machine
	gone      map[wire.MachineID]time.Time // released, answered 200
	probed    bool                         // every machine of the first list has been asked
	cutAt     map[wire.Zone]time.Time      // when a zone last seemed cut off
	heard     map[wire.Zone]heard          // what last came from each zone
	reports   int                          // that came in, in all
	stood     time.Time                    // when another node can last have stood in for a leader
	blindAt   time.Time                    // since when the state service is away; zero: it is not
	backAt    time.Time                    // when it was last back
	acked     time.Time                    // when a majority first held our token

	dirty      map[*chunk]struct{} // differ from what is stored
	closing    map[*job]struct{}   // can be archived
	lacking    map[*job]struct{}   // gangs of which a task was lost, not yet looked after
	gangsSeen  map[gangKind]gangSeen
	chasing    map[*job]struct{} // cancelled, with attempts that may be on machines
	noted      uint64            // what of the ledger of cancellations has been taken in
	writing    bool
	lowered    bool      // the state service has refused what the former limits allowed
	alone      int       // so many transactions hold one thing each, to find what is refused
	writeAt    time.Time // when the last write began
	retryAt    time.Time
	bookAt     time.Time // when bookkeeping may be written again
	raiseAt    time.Time
	wantRaise  bool
	claimed    map[*machine]struct{} // on which room is being made
	roundWant  bool
	lastRound  time.Time
	roundAfter time.Time
	roundTook  time.Duration // the last one

	fleet fleetState
}

func newTerm(l *Leader, o office) *term {
	t := &term{
		l: l, permit: o.permit, born: o.at, token: o.token, first: o.token,
		set:    &l.Config.Settings,
		hellos: make(chan hello, 32), inbox: make(chan func(), 32), over: make(chan struct{}),
		early: map[wire.MachineID]wire.Report{}, jobs: map[wire.JobID]*job{}, past: map[wire.JobID]bool{},
		machines: map[wire.MachineID]*machine{}, gone: map[wire.MachineID]time.Time{},
		cutAt: map[wire.Zone]time.Time{}, heard: map[wire.Zone]heard{}, dirty: map[*chunk]struct{}{}, closing: map[*job]struct{}{},
		claimed: map[*machine]struct{}{}, chasing: map[*job]struct{}{}, lacking: map[*job]struct{}{}, gangsSeen: map[gangKind]gangSeen{},
	}
	t.until.Store(int64(o.until.Sub(o.at)))
	t.fleet.init()
	return t
}

// end ends the term; safe from any goroutine.
func (t *term) end(why string) {
	t.endOnce.Do(func() {
		t.why = why
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
	go t.renew(ctx)
	go t.recover(ctx)
	go t.listHosts(ctx)
	go t.watchFlavors(ctx)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	slow := 0
	for {
		select {
		case <-t.over:
			return t.why
		case <-parent.Done():
			t.end("stopped")
			return t.why
		case h := <-t.hellos:
			t.onHello(h)
		case f := <-t.inbox:
			f()
		case now := <-tick.C:
			t.watchOffice(now)
			t.probeSome()
			if slow++; slow%5 == 0 {
				t.watchMachines(now)
			}
			if slow%10 == 0 {
				t.planFleet(now)
			}
			if slow%100 == 0 {
				t.standing(now)
			}
		}
		t.settle(time.Now())
	}
}

// settle does what has become due after an event: a round, a write.
func (t *term) settle(now time.Time) {
	if !t.recovered || !t.deciding() {
		return
	}
	t.mendGangs()
	v := t.l.Tuning.Get()
	if t.placing && (t.roundWant && now.After(t.roundAfter) || now.Sub(t.lastRound) >= wire.Seconds(v.RoundS).Duration()) {
		t.round(now)
	}
	t.flush(now)
}

// wantRound asks for a round soon; a few events are gathered first.
func (t *term) wantRound() {
	if !t.roundWant {
		t.roundWant = true
		// At most a fifth of the time goes to rounds, however large they are.
		pause := max(100*time.Millisecond, 4*t.roundTook)
		t.roundAfter = later(time.Now().Add(10*time.Millisecond), t.lastRound.Add(pause))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// watchOffice yields to a higher token and keeps the blind service in its
// bounds.
func (t *term) watchOffice(now time.Time) {
	v := t.l.Mesh.View()
	if v.Token > t.token && !t.raising {
		// Our own raised token comes back through the peers only after we
		// know of it, or while raising is set.
		t.end("a higher token is known")
		return
	}
	until := v.AckedUntil(t.token, t.set.Size/2+1)
	acked := now.Before(until)
	if acked && t.acked.IsZero() {
		t.acked = now
	}
	t.blind.Store(int64(min(until.Sub(t.born), t.blindFor(v, now))))
	t.learnCancels()
	if t.deciding() {
		if !t.blindAt.IsZero() {
			t.log().Info("state service back", "token", t.token, "away", now.Sub(t.blindAt))
			t.blindAt, t.backAt = time.Time{}, now
			t.wantRound()
		}
	} else {
		if t.blindAt.IsZero() {
			t.blindAt = now
			t.log().Info("state service away; keeps answering reports while a majority agrees", "token", t.token, "agrees", acked)
		}
	}
	if !t.placing && t.recovered {
		bound := t.set.Workers.ReportS.Duration()*5/4 + 1500*time.Millisecond
		if t.enoughHeard(now) || now.Sub(t.born) > bound {
			t.placing = true
			t.log().Info("places", "machines", len(t.machines), "jobs", len(t.jobs), "after", now.Sub(t.born))
			t.wantRound()
		}
	}
}

// blindFor bounds, since the term began, for how long reports may be answered
// without the state service, by B from the end of the grant, so that a successor
// knows when this node answered last, at the latest. While not all nodes
// acknowledge it may be no outage but a cut, behind which another leads and users
// cancel jobs: then it is no longer than a node may stand in for a leader. A
// successor counts on that, since one that it never had acknowledged its token
// has had no acknowledgement from it either. (Counted by when they were asked,
// not heard: what was held up on its way says nothing of now.)
func (t *term) blindFor(v *peer.View, now time.Time) time.Duration {
	until := time.Duration(t.until.Load())
	if t.l.standFor == 0 {
		return until + peer.B - haste
	}
	oldest := now
	for _, o := range t.l.Config.Others {
		if at := v.Others[o.HostName].AckSent; at.Before(oldest) {
			oldest = at
		}
	}
	alone := until - (grantLife - haste) + t.l.standFor
	return min(until+peer.B-haste, max(alone, oldest.Add(2*peer.X).Sub(t.born)))
}

// enoughHeard tells whether the machines that should be up have reported with
// our token: all of a small deployment, and half of a large one, where
// showing the token to the last takes seconds. One that is in no list or did
// not answer a probe is not waited for. What was not heard takes nothing new,
// and its tasks count until it is known to be gone. Without a list (the
// cloud's interface may be down for minutes) it is the machines of which
// something is stored that are waited for.
func (t *term) enoughHeard(now time.Time) bool {
	if !t.listed && now.Sub(t.born) < time.Second {
		return false
	}
	heard, missing := 0, 0
	for _, m := range t.machines {
		switch {
		case m.booting:
		case m.baton >= t.first:
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
					t.take(jobs, runs)
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
			t.news(ch.Events)
			t.l.Cancels.Read(began)
		})
	}
}

// news takes in what has changed among the jobs' records.
func (t *term) news(changes []wire.Change) {
	for _, c := range changes {
		if c.Put != "" {
			t.learn(c.Value, c.Revision)
			continue
		}
		// The last that comes of a job.
		id := wire.JobID(strings.TrimPrefix(c.Delete, store.JobPrefix))
		if delete(t.past, id); t.jobs[id] != nil {
			t.jobs[id].dropped = true
		}
	}
}

// take builds the term's picture from what was read.
func (t *term) take(jobs, runs []wire.Entry) {
	for _, e := range jobs {
		t.learn(e.Value, e.Revision)
	}
	t.readRuns(runs)
	for _, j := range t.jobs {
		t.readGang(j)
	}
	t.recovered = true
	t.log().Info("recovered", "jobs", len(t.jobs), "machines", len(t.machines), "took", time.Since(t.born))
	for _, j := range t.jobs {
		if j.cancelled {
			t.chase(j)
		}
		t.checkOver(j)
	}
	for _, rep := range t.early {
		t.apply(t.machine(rep.Machine), &rep, true, time.Now())
	}
	t.early = nil
	t.noted = 0
	t.learnCancels()
	t.grants.Store(uint64(t.token)) // only now cancellations are known
	t.probeSome()
}

// learn takes in a job record that is new or has changed.
func (t *term) learn(v wire.Raw, stamp wire.Revision) {
	var rec store.JobRecord
	if err := wire.Decode(v, &rec); err != nil {
		t.log().Error("undecodable job record", "stamp", stamp, "err", err)
		return
	}
	j := t.jobs[rec.Spec.ID]
	if j == nil {
		if t.past[rec.Spec.ID] {
			return // late news of a job that is over
		}
		j = newJob(rec, stamp)
		t.jobs[rec.Spec.ID] = j
		t.wantRound()
	}
	if stamp < j.stamp {
		return
	}
	j.stamp, j.stale = stamp, j.cancelled && rec.Status != wire.Cancelled
	rec.Tell(t.l.Cancels)
	if rec.Status == wire.Cancelled && !j.cancelled {
		j.cancelled = true
		j.cancelAt = time.Now().Add(-rec.Cancelled())
		if t.recovered {
			t.chase(j)
		}
	}
}

// chase stops what is left of a cancelled job. A job that is read during
// recovery is chased only once its attempts have been read too: before, it
// looks as if nothing of it were left.
func (t *term) chase(j *job) {
	t.log().Info("cancels", "job", j.spec.ID, "held", j.held)
	t.chasing[j] = struct{}{}
	for _, a := range j.attempts() {
		t.haltOne(a, 0, "cancelled")
	}
	t.checkOver(j)
}

// checkOver notes that a job can be archived.
func (t *term) checkOver(j *job) {
	if j.cancelled && j.held == 0 || j.done == j.spec.Tasks {
		j.over = true
		t.closing[j] = struct{}{}
	}
}

// ---- jobs and attempts ----

const (
	taskPending uint8 = iota
	taskHeld
	taskDone
)

type job struct {
	spec      wire.Spec
	stamp     wire.Revision
	at        time.Time
	cancelled bool
	cancelAt  time.Time
	stale     bool // its record has changed in a way not yet read
	over      bool // to be archived
	archiving bool
	barred    time.Time // its end is not written before: it was refused by itself
	dropped   bool      // the watch has shown that its record is gone
	chunks    []*chunk
	per       int // tasks of a chunk
	// pieces is how many chunks each one that was stored was split into, 0: none
	// was, and bases the stamps of those that were.
	pieces int
	bases  []wire.Revision
	gang   *gang // its attempt that may be on machines; nil: none
	plans  int   // attempts held that are not yet stored
	done   int
	held   int
	// Faults: machines on which a task of it failed in a row.
	failedOn  map[wire.MachineID]bool
	succeeded bool
	fails     int
	notBefore time.Time
	started   bool
	leftAt    time.Time // when a task of it was last on a machine
	moved     time.Time // when a task of it was started last, in this term
	runs      runStats
	from      int // no task of an earlier chunk is pending
}

func newJob(rec store.JobRecord, stamp wire.Revision) *job {
	j := &job{spec: rec.Spec, stamp: stamp, at: rec.At.Time(), per: rec.ChunkTasks()}
	// Steady from here on; a clock that is off makes no job wait negatively.
	if age := time.Since(j.at); age > 0 {
		j.at = time.Now().Add(-age)
	} else {
		j.at = time.Now()
	}
	j.chunks = make([]*chunk, (rec.Spec.Tasks+j.per-1)/j.per)
	return j
}

func (j *job) pending() int { return j.spec.Tasks - j.done - j.held }

func (j *job) chunk(n int) *chunk {
	if j.chunks[n] == nil {
		j.chunks[n] = &chunk{job: j, n: n, next: 1,
			state: make([]uint8, min(j.per, j.spec.Tasks-n*j.per)), holds: map[int]*attempt{}}
	}
	return j.chunks[n]
}

// attempts lists what may be on machines.
func (j *job) attempts() []*attempt {
	var out []*attempt
	for _, c := range j.chunks {
		if c != nil {
			for _, a := range c.holds {
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
		n[a.m.zone]++
	}
	return n
}

// eachPending calls f for up to n pending tasks.
func (j *job) eachPending(n int, f func(c *chunk, index int)) {
	for ci := j.from; ci < len(j.chunks); ci++ {
		c := j.chunk(ci)
		for i := c.from; i < len(c.state); i++ {
			if n == 0 {
				return
			}
			if c.state[i] == taskPending {
				f(c, i)
				n--
			}
			c.from = i + 1
		}
		j.from = ci + 1
	}
}

type chunk struct {
	job   *job
	n     int
	stamp wire.Revision
	next  wire.Attempt
	state []uint8
	from  int       // no earlier task is pending
	plans int       // attempts held that are not yet stored
	since time.Time // when it came to differ from what is stored
	holds map[int]*attempt
	dirty bool // differs from what is stored or being stored
	busy  bool // being written
	// barred: it is not written before, as it was refused by itself.
	barred time.Time
}

func (c *chunk) hold(a *attempt) {
	c.state[a.index] = taskHeld
	c.holds[a.index] = a
	c.job.held++
	a.m.tasks[a.task()] = a
	a.m.used = a.m.used.Plus(a.res())
}

// mark notes that a chunk must be written.
func (t *term) mark(c *chunk) {
	if !c.dirty {
		c.since = time.Now()
	}
	c.dirty = true
	t.dirty[c] = struct{}{}
}

// record is the chunk as it is stored.
func (c *chunk) record() store.ChunkRecord {
	done := make([]bool, len(c.state))
	for i, s := range c.state {
		done[i] = s == taskDone
	}
	rec := store.ChunkRecord{Next: c.next, Done: store.Ranges(done), Held: []store.Held{}}
	if c.job.pieces > 0 {
		rec.Size = c.job.per
	}
	for i, a := range c.holds {
		rec.Held = append(rec.Held, store.Held{Task: i, Try: a.try, On: a.m.id})
	}
	slices.SortFunc(rec.Held, func(a, b store.Held) int { return a.Task - b.Task })
	return rec
}

// attempt is one start of a task that may be on its machine, or may still
// get there.
type attempt struct {
	job   *job
	chunk *chunk
	index int
	try   wire.Attempt
	m     *machine
	at    time.Time // when it was decided on

	planned   bool // not yet stored; must not be sent
	inherited bool // stored by an earlier leader, who may have sent it
	seen      bool // was in a report in this term
	phase     wire.TaskPhase
	runAt     time.Time // first seen running
	ready     time.Time // when it was first seen past its fetch

	// What of ours may still deliver its launch.
	sent       bool
	sentShift  wire.Session
	directBusy bool
	lost       bool // a direct launch was never answered
	lostToken  wire.Token
	helloShift wire.Session
	helloTally wire.Sequence

	halting  bool
	haltAt   time.Time // since when
	windDown wire.Seconds
	haltSent time.Time
	haltWhy  string
}

func (a *attempt) task() wire.Task {
	return wire.Task{Job: a.job.spec.ID, Index: a.chunk.n*a.job.per + a.index}
}

// canStart tells whether a launch of the attempt may still take effect on
// the worker after it made this report.
func (t *term) canStart(a *attempt, rep *wire.Report, viaHello bool) bool {
	switch {
	case a.planned:
		return false
	case a.inherited && rep.Token < t.first:
		// An earlier leader's launch dies only by a higher token.
		return true
	case a.directBusy && rep.Session <= a.sentShift:
		return true
	case a.lost && rep.Token <= a.lostToken && rep.Session <= a.sentShift:
		// Held up on its way, it may come minutes late.
		return true
	case a.helloTally > 0 && a.helloShift == rep.Session && !(viaHello && rep.Sequence > a.helloTally):
		// The worker has not yet done with the answer that carried it.
		return true
	}
	return false
}

// drop ends an attempt: nothing of it is on its machine, nor can get there.
func (t *term) drop(a *attempt, state uint8) {
	c := a.chunk
	if c.holds[a.index] != a {
		return
	}
	delete(c.holds, a.index)
	if a.planned {
		a.planned = false
		c.plans--
		a.job.plans--
	}
	if a.m.tasks[a.task()] == a {
		delete(a.m.tasks, a.task())
		a.m.used = a.m.used.Minus(a.res())
		if len(a.m.tasks) == 0 {
			a.m.used = placement.Res{} // sums of decimals drift
		}
	}
	c.state[a.index] = state
	if state == taskPending {
		c.from, a.job.from = min(c.from, a.index), min(a.job.from, c.n)
	}
	t.mark(c)
	a.job.held--
	if state == taskPending && a.job.spec.Gang() {
		t.lacking[a.job] = struct{}{}
	}
	if state == taskDone {
		a.job.done++
	}
	a.m.usedAt = time.Now()
	a.job.leftAt = a.m.usedAt
	t.checkOver(a.job)
	t.wantRound()
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
		if !a.chunk.busy {
			t.drop(a, taskPending)
		} else {
			a.halting, a.windDown, a.haltWhy = true, windDown, why
		}
		return
	}
	if a.halting && a.windDown <= windDown {
		return
	}
	if !a.halting {
		a.haltAt = time.Now()
	}
	a.halting, a.windDown, a.haltWhy, a.haltSent = true, windDown, why, time.Time{}
	if why != "cancelled" {
		t.log().Info("stops", "task", a.task(), "try", a.try, "machine", a.m.id, "why", why)
		t.l.Metrics.Moved(why)
	}
	t.dispatch(a.m)
}

// res of the attempt.
func (a *attempt) res() placement.Res { return placement.Of(&a.job.spec) }
