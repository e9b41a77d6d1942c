package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// gangRig is a term without I/O with a gang that saves, each of its tasks held
// and stored on a machine of its own. Chunks have two tasks.
func gangRig(t *testing.T, parts int, try wire.Attempt) (*term, *job) {
	t.Helper()
	tm, _, single := rig(t)
	tm.state.endAttempt(single, TaskPending)
	delete(tm.state.jobs, single.job.spec.ID)
	tm.state.settings.Workers.GangWait, tm.state.settings.Workers.GangPeerTimeout = 40, 8
	j := gangJob(tm, "req-2", parts)
	j.spec.CheckpointInterval, j.spec.CheckpointTime = 20, 3
	j.tasksPerChunk = 2
	j.chunks = make([]*chunk, (parts+1)/2)
	j.gang = &gang{number: try, startedAt: time.Now()}
	for i := range parts {
		m := gangMachine(tm, i)
		a := &attempt{job: j, chunk: j.chunk(i / j.tasksPerChunk), index: i % j.tasksPerChunk, number: try, machine: m, decidedAt: time.Now()}
		a.chunk.add(a)
		a.chunk.nextAttempt = try + 1
	}
	return tm, j
}

func gangMachine(tm *term, i int) *machine {
	m := tm.state.getOrAddMachine(wire.MachineID(fmt.Sprint("n-", i+1)))
	m.epoch, m.sequence, m.token, m.firstHeartbeatAt, m.lastMessageAt, m.lastReplyAt = 1, 10, tm.state.firstToken, time.Now(), time.Now(), time.Now()
	return m
}

// member is the attempt of the gang's i-th task.
func member(j *job, i int) *attempt { return j.chunk(i / j.tasksPerChunk).attempts[i%j.tasksPerChunk] }

func launches(orders []wire.Command) (n int) {
	for _, o := range orders {
		if o.Verb == wire.Launch {
			n++
		}
	}
	return n
}

// The launch of a gang's task is sent only while all of the gang is stored, none
// of it is lost, and it is not told to stop.
func TestGangMayLaunch(t *testing.T) {
	cases := map[string]struct {
		setup func(tm *term, j *job)
		may   bool
	}{
		"all stored":     {func(*term, *job) {}, true},
		"no gang at all": {func(_ *term, j *job) { j.gang = nil }, true},
		"one is not yet stored": {func(_ *term, j *job) {
			a := member(j, 2)
			a.unstored = true
			a.chunk.unstoredAttempts++
			j.unstoredAttempts++
		}, false},
		"one is not held":       {func(tm *term, j *job) { tm.state.endAttempt(member(j, 2), TaskPending) }, false},
		"one was lost":          {func(_ *term, j *job) { j.gang.broken = true }, false},
		"it is told to stop":    {func(_ *term, j *job) { j.gang.stoppingGracefully = true }, false},
		"one has no time left":  {func(tm *term, j *job) { tm.dispatcher.stopGang(j, 0, "makes room") }, false},
		"it was told to stop":   {func(tm *term, j *job) { j.gang.ran = true; tm.dispatcher.stopGang(j, 13, "makes room") }, false},
		"its job was cancelled": {func(_ *term, j *job) { j.cancelled = true }, false},
	}
	for name, c := range cases {
		tm, j := gangRig(t, 3, 4)
		first := member(j, 0)
		c.setup(tm, j)
		rep := said(1, 11, tm.state.firstToken)
		if sent := launches(tm.dispatcher.commandsFor(first.machine, rep, time.Now())) == 1; sent != c.may {
			t.Errorf("%s: the first task's launch is sent: %v", name, sent)
		}
	}
}

// A task of a gang that its machine does not have is sent there again only while
// the others may still wait for it.
func TestGangLaunchAgain(t *testing.T) {
	cases := map[string]struct {
		setup func(tm *term, j *job, a *attempt)
		again bool
	}{
		"the others wait":           {func(*term, *job, *attempt) {}, true},
		"an array's task":           {func(_ *term, j *job, _ *attempt) { j.gang = nil }, false},
		"it was seen":               {func(_ *term, _ *job, a *attempt) { a.observed = true }, false},
		"it is told to stop":        {func(_ *term, _ *job, a *attempt) { a.stopping = true }, false},
		"the gang ran":              {func(_ *term, j *job, _ *attempt) { j.gang.ran = true }, false},
		"another was lost":          {func(_ *term, j *job, _ *attempt) { j.gang.broken = true }, false},
		"the job was cancelled":     {func(_ *term, j *job, _ *attempt) { j.cancelled = true }, false},
		"its machine is drained":    {func(_ *term, _ *job, a *attempt) { a.machine.drainReason = "slow" }, false},
		"its machine is returned":   {func(_ *term, _ *job, a *attempt) { a.machine.scalingIn = true }, false},
		"just before the wait ends": {func(_ *term, j *job, _ *attempt) { j.gang.startedAt = time.Now().Add(-39 * time.Second) }, true},
		"they have waited in vain":  {func(_ *term, j *job, _ *attempt) { j.gang.startedAt = time.Now().Add(-40 * time.Second) }, false},
	}
	for name, c := range cases {
		tm, j := gangRig(t, 3, 4)
		a := member(j, 0)
		a.inherited, a.launchSent = true, true
		c.setup(tm, j, a)
		if again := tm.state.mayRelaunch(a); again != c.again {
			t.Errorf("%s: sent again %v", name, again)
		}
		if name != "the others wait" {
			continue
		}
		tm.reconciler.reconcile(a.machine, said(1, 11, tm.state.firstToken), true, time.Now())
		if n := launches(tm.dispatcher.commandsFor(a.machine, said(1, 11, tm.state.firstToken), time.Now())); j.activeTasks != 3 || n != 1 {
			t.Errorf("%s: %d held, %d launches", name, j.activeTasks, n)
		}
	}
}

// halts tells how long each task of the gang is given to save, -1: not told.
func halts(j *job) (out []wire.Seconds) {
	for i := range j.spec.Tasks {
		switch a := member(j, i); {
		case a == nil:
			out = append(out, -2)
		case !a.stopping:
			out = append(out, -1)
		default:
			out = append(out, a.gracePeriod)
		}
	}
	return out
}

// All of a gang are told to stop at once, each with the same time. A later, longer
// time replaces no shorter one.
func TestGangHalt(t *testing.T) {
	cases := map[string]struct {
		setup func(g *gang)
		told  []wire.Seconds // one after the other
		want  wire.Seconds
	}{
		"runs":                                {func(g *gang) { g.ran = true }, []wire.Seconds{13}, 13},
		"longer after shorter":                {func(g *gang) { g.ran = true }, []wire.Seconds{9, 13}, 9},
		"longer after none":                   {func(g *gang) { g.ran = true }, []wire.Seconds{0, 13}, 0},
		"shorter after longer":                {func(g *gang) { g.ran = true }, []wire.Seconds{13, 9}, 9},
		"none after some":                     {func(g *gang) { g.ran = true }, []wire.Seconds{13, 0}, 0},
		"has not run":                         {func(*gang) {}, []wire.Seconds{13}, 0},
		"inherited, not known whether it ran": {func(g *gang) { g.inherited = true }, []wire.Seconds{13}, 13},
	}
	for name, c := range cases {
		tm, j := gangRig(t, 3, 4)
		c.setup(j.gang)
		for _, windDown := range c.told {
			tm.dispatcher.stop(member(j, 1), windDown, "makes room")
		}
		for i, got := range halts(j) {
			if got != c.want {
				t.Errorf("%s: task %d has %v to save, want %v", name, i, got, c.want)
			}
		}
		if j.gang.stoppingGracefully != (c.want > 0) {
			t.Errorf("%s: stops in order: %v", name, j.gang.stoppingGracefully)
		}
	}
}

// Cancelling gives no time, also to a gang that is saving.
func TestGangCancelledWhileSaving(t *testing.T) {
	tm, j := gangRig(t, 3, 4)
	j.gang.ran = true
	tm.dispatcher.stop(member(j, 1), 13, "makes room")
	tm.dispatcher.stopCancelledJob(j)
	if got := halts(j); got[0] != 0 || got[1] != 0 || got[2] != 0 {
		t.Errorf("time to save %v", got)
	}
}

// What is left of a gang that lost a task is stopped, unless it is stopping in
// order; when nothing is left it may be placed anew.
func TestMendGangs(t *testing.T) {
	tm, j := gangRig(t, 3, 4)
	j.gang.ran = true
	tm.dispatcher.stopBrokenGangs()
	if got := halts(j); got[0] != -1 || got[1] != -1 || got[2] != -1 {
		t.Errorf("nothing is lost, and yet %v", got)
	}
	tm.state.endAttempt(member(j, 1), TaskPending)
	tm.dispatcher.stopBrokenGangs()
	if got := halts(j); got[0] != 0 || got[1] != -2 || got[2] != 0 || !j.gang.broken {
		t.Errorf("one is lost: %v", got)
	}
	if tm.scheduler.schedulable(j, time.Now()) {
		t.Error("placed while two of its tasks are left")
	}
	tm.state.endAttempt(member(j, 0), TaskPending)
	tm.state.endAttempt(member(j, 2), TaskPending)
	tm.state.cycle.requested = false
	tm.dispatcher.stopBrokenGangs()
	if j.gang != nil || !tm.state.cycle.requested || !tm.scheduler.schedulable(j, time.Now()) {
		t.Errorf("nothing is left: gang %+v, round wanted %v, may be placed %v", j.gang, tm.state.cycle.requested, tm.scheduler.schedulable(j, time.Now()))
	}

	tm, j = gangRig(t, 3, 4)
	j.gang.ran = true
	tm.dispatcher.stop(member(j, 0), 13, "makes room")
	tm.state.endAttempt(member(j, 1), TaskPending)
	tm.dispatcher.stopBrokenGangs()
	if got := halts(j); got[0] != 13 || got[2] != 13 {
		t.Errorf("the first has saved and exited, the others have %v", got)
	}
}

// When one task of a gang is done all are, whatever the others show.
func TestGangDone(t *testing.T) {
	tm, j := gangRig(t, 3, 4)
	m := member(j, 1).machine
	tm.reconciler.reconcile(m, &wire.Heartbeat{Machine: m.id, Epoch: 1, Sequence: 11, Token: tm.state.firstToken,
		Tasks: []wire.TaskState{{Task: "req-2/1", Attempt: 4, Phase: wire.PhaseExited, Cause: wire.CauseDone}}}, true, time.Now())
	tm.dispatcher.stopBrokenGangs()
	mustBeDone(t, "one reported done", tm, j)
}

func mustBeDone(t *testing.T, name string, tm *term, j *job) {
	t.Helper()
	if j.doneTasks != j.spec.Tasks || j.activeTasks != 0 || j.gang != nil || !j.finished {
		t.Errorf("%s: %d done, %d held, gang %+v, over %v", name, j.doneTasks, j.activeTasks, j.gang, j.finished)
	}
	for n := range j.chunks {
		c := j.chunk(n)
		if rec := c.record(); len(rec.Active) > 0 || !c.dirty {
			t.Errorf("%s: chunk %d holds %v, to be written %v", name, n, rec.Active, c.dirty)
		}
		for i, s := range c.taskStates {
			if s != TaskDone {
				t.Errorf("%s: task %d of chunk %d is %d", name, i, n, s)
			}
		}
	}
	for _, m := range tm.state.machines {
		if len(m.tasks) > 0 {
			t.Errorf("%s: %v are on %s", name, m.tasks, m.id)
		}
	}
}

// held is the record of a gang's tasks on machines n-1 and on, by their attempts'
// numbers; 0: none.
func heldRecords(tries ...wire.Attempt) (recs []store.ChunkRecord) {
	for i, try := range tries {
		if i%2 == 0 {
			recs = append(recs, store.ChunkRecord{NextAttempt: 1, Active: []store.ActiveAttempt{}})
		}
		if rec := &recs[i/2]; try > 0 {
			rec.NextAttempt = max(rec.NextAttempt, try+1)
			rec.Active = append(rec.Active, store.ActiveAttempt{Task: i % 2, Attempt: try, Machine: wire.MachineID(fmt.Sprint("n-", i+1))})
		}
	}
	return recs
}

// How a new leader takes the attempt of a gang that it finds recorded.
func TestReadGang(t *testing.T) {
	cases := map[string]struct {
		recs []store.ChunkRecord
		gang bool
		mend bool // it is stopped, and begins anew
	}{
		"whole":                  {heldRecords(4, 4, 4), true, false},
		"in part":                {heldRecords(4, 4, 0), true, true},
		"one has another number": {heldRecords(4, 3, 4), true, true},
		"the last has another":   {heldRecords(4, 4, 3), true, true},
		"nothing":                {heldRecords(0, 0, 0), false, false},
	}
	for name, c := range cases {
		tm, j := readRig(t, c.recs)
		if (j.gang != nil) != c.gang {
			t.Errorf("%s: gang %+v", name, j.gang)
			continue
		}
		if c.gang && (j.gang.number != 4 || !j.gang.inherited || j.gang.ran) {
			t.Errorf("%s: %+v", name, j.gang)
		}
		tm.dispatcher.stopBrokenGangs()
		if c.gang && j.gang.broken != c.mend {
			t.Errorf("%s: lost %v", name, j.gang.broken)
		}
		for _, a := range j.attempts() {
			if a.stopping != c.mend || a.mayLaunch() == c.mend {
				t.Errorf("%s: %v is told to stop: %v, may be sent: %v", name, a.task(), a.stopping, a.mayLaunch())
			}
		}
	}
	for name, recs := range map[string][]store.ChunkRecord{
		"one is recorded as done, the others as held": heldRecords(4, 0, 4),
		"one as done, one as held":                    heldRecords(4, 0, 0),
		"one as done, nothing as held":                heldRecords(0, 0, 0),
	} {
		recs[0].Done = store.PackRanges([]bool{false, true})
		tm, j := readRig(t, recs)
		mustBeDone(t, name, tm, j)
	}
}

// readRig is a term that has read a gang of three and these records.
func readRig(t *testing.T, recs []store.ChunkRecord) (*term, *job) {
	t.Helper()
	tm, j := gangRig(t, 3, 4)
	for _, a := range j.attempts() {
		a.detach()
		a.chunk.taskStates[a.index] = TaskPending
	}
	j.gang = nil
	for n := range recs {
		tm.records.readChunk(j.chunk(n), wire.Revision(40+n), &recs[n])
	}
	tm.state.restoreGang(j)
	return tm, j
}

// A gang starts with one number for all, above every number that any of its tasks
// has had, and no later one may have it.
func TestStartGangNumber(t *testing.T) {
	tm, j := readRig(t, heldRecords(0, 0, 0, 0)[:2])
	j.chunk(0).nextAttempt, j.chunk(1).nextAttempt = 3, 7
	var ms []*machine
	for i := range j.spec.Tasks {
		ms = append(ms, gangMachine(tm, i))
	}
	tm.scheduler.startGang(j, ms, time.Now())
	if len(j.attempts()) != 3 || j.unstoredAttempts != 3 || j.gang.number != 7 || j.gang.inherited || j.fullyStored() {
		t.Errorf("%d attempts, %d to be stored, gang %+v, complete %v", len(j.attempts()), j.unstoredAttempts, j.gang, j.fullyStored())
	}
	for _, a := range j.attempts() {
		if a.number != 7 || !a.unstored || a.mayLaunch() {
			t.Errorf("%v: number %d, to be stored %v, may be sent %v", a.task(), a.number, a.unstored, a.mayLaunch())
		}
	}
	for n := range j.chunks {
		if rec := j.chunk(n).record(); rec.NextAttempt != 8 || !j.chunk(n).dirty {
			t.Errorf("chunk %d: next %d, to be written %v", n, rec.NextAttempt, j.chunk(n).dirty)
		}
	}
}

// A gang with a notice is told early enough that who hears of it gang_peer_s late
// has saved too; an array needs only its own time. Both are told also while the
// state service is away and a majority agrees, else not; nothing is launched then.
func TestSaveBeforeNotice(t *testing.T) {
	for _, deciding := range []bool{true, false} {
		tm, j := gangRig(t, 3, 4)
		j.gang.ran = true
		m := member(j, 0).machine
		single := newJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-3", Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 1, CheckpointInterval: 20, CheckpointTime: 3}, AcceptedAt: wire.TimestampOf(time.Now())}, 2)
		tm.state.jobs["req-3"] = single
		array := &attempt{job: single, chunk: single.chunk(0), number: 2, machine: m, observed: true}
		array.chunk.add(array)
		waiting := &attempt{job: single, chunk: single.chunk(0), index: 1, number: 3, machine: member(j, 1).machine}
		waiting.chunk.add(waiting)
		if !deciding {
			tm.lease = leaseFor(tm.leader, tm.fencing.token, -time.Millisecond)
		}
		watch := func(left time.Duration) {
			now := time.Now()
			m.reclaimAt, m.drainReason = now.Add(left), DrainSpotNotice
			tm.monitor.checkMachine(m, tm.monitor.countMachines(now), now)
		}
		if !deciding {
			if watch(time.Second); array.stopping || member(j, 0).stopping {
				t.Error("stopped by a leader that no majority agrees with")
			}
			tm.lease.Acknowledged(time.Now().Add(time.Hour), time.Now(), 0)
		}
		if watch(14100 * time.Millisecond); halts(j)[0] != -1 {
			t.Errorf("deciding %v: told %v at 14.1 s", deciding, halts(j))
		}
		if watch(13900 * time.Millisecond); halts(j)[0] != 13 || halts(j)[1] != 13 || halts(j)[2] != 13 || array.stopping {
			t.Errorf("deciding %v: told %v at 13.9 s, the array %v", deciding, halts(j), array.stopping)
		}
		if watch(5900 * time.Millisecond); !array.stopping || array.gracePeriod != 5 {
			t.Errorf("deciding %v: the array is told %v, %v to save", deciding, array.stopping, array.gracePeriod)
		}
		other := member(j, 1).machine
		tm.leader.Cancels.RecordRead(time.Now())
		r := tm.tell(&wire.Heartbeat{Machine: other.id, Epoch: 1, Sequence: 11, Token: tm.state.firstToken,
			Tasks: []wire.TaskState{{Task: "req-2/1", Attempt: 4, Phase: wire.PhaseRunning}}})
		told := 0
		if r.commands != nil {
			for _, o := range r.commands.Commands {
				if o.Verb == wire.Stop && o.Task == "req-2/1" && *o.GracePeriod == 13 {
					told++
				}
			}
		}
		if !deciding {
			ended, end := context.WithCancel(t.Context())
			end() // the command itself goes nowhere
			tm.ctx, other.addr = ended, "10.1.0.1:9000"
			member(j, 1).stopSentAt = time.Time{}
			if tm.dispatcher.dispatch(other); waiting.launchSent || member(j, 1).stopSentAt.IsZero() {
				t.Errorf("a direct command without the state service: launches %v, halts %v", waiting.launchSent, !member(j, 1).stopSentAt.IsZero())
			}
		}
		if n := launches(r.commands.Commands); told != 1 || (n == 1) != deciding {
			t.Errorf("deciding %v: the answer to another machine has %d halts and %d launches", deciding, told, n)
		}
	}
}
