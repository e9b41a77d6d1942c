package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// gangRig is a term without I/O with a gang that saves, each of its tasks held
// and stored on a machine of its own. Chunks have two tasks.
func newGangTerm(t *testing.T, parts int, try wire.Attempt) (*term, *cluster.Job) {
	t.Helper()
	tm, _, single := newTestTerm(t)
	tm.state.EndAttempt(single, cluster.TaskPending)
	delete(tm.state.Jobs, single.Job.Spec.ID)
	tm.state.Settings.Workers.GangWait, tm.state.Settings.Workers.GangPeerTimeout = 40, 8
	j := addGangJob(tm, "req-2", parts)
	j.Spec.CheckpointInterval, j.Spec.CheckpointTime = 20, 3
	j.TasksPerChunk = 2
	j.Chunks = make([]*cluster.Chunk, (parts+1)/2)
	j.Gang = &cluster.Gang{Number: try, StartedAt: time.Now()}
	for i := range parts {
		m := addHeardMachine(tm, i)
		a := &cluster.Attempt{Job: j, Chunk: j.Chunk(i / j.TasksPerChunk), Index: i % j.TasksPerChunk, Number: try, Machine: m, DecidedAt: time.Now()}
		a.Chunk.Add(a)
		a.Chunk.NextAttempt = try + 1
	}
	return tm, j
}

func addHeardMachine(tm *term, i int) *cluster.Machine {
	m := tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprint("n-", i+1)))
	m.Epoch, m.Sequence, m.Token, m.FirstHeartbeatAt, m.LastMessageAt, m.LastReplyAt = 1, 10, tm.state.FirstToken, time.Now(), time.Now(), time.Now()
	return m
}

// member is the attempt of the gang's i-th task.
func gangAttempt(j *cluster.Job, i int) *cluster.Attempt {
	return j.Chunk(i / j.TasksPerChunk).Attempts[i%j.TasksPerChunk]
}

func countLaunches(orders []wire.Command) (n int) {
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
		setup func(tm *term, j *cluster.Job)
		may   bool
	}{
		"all stored":     {func(*term, *cluster.Job) {}, true},
		"no gang at all": {func(_ *term, j *cluster.Job) { j.Gang = nil }, true},
		"one is not yet stored": {func(_ *term, j *cluster.Job) {
			a := gangAttempt(j, 2)
			a.Unstored = true
			a.Chunk.UnstoredAttempts++
			j.UnstoredAttempts++
		}, false},
		"one is not held":       {func(tm *term, j *cluster.Job) { tm.state.EndAttempt(gangAttempt(j, 2), cluster.TaskPending) }, false},
		"one was lost":          {func(_ *term, j *cluster.Job) { j.Gang.Broken = true }, false},
		"it is told to stop":    {func(_ *term, j *cluster.Job) { j.Gang.StoppingGracefully = true }, false},
		"one has no time left":  {func(tm *term, j *cluster.Job) { tm.dispatcher.StopGang(j, 0, "makes room") }, false},
		"it was told to stop":   {func(tm *term, j *cluster.Job) { j.Gang.Ran = true; tm.dispatcher.StopGang(j, 13, "makes room") }, false},
		"its job was cancelled": {func(_ *term, j *cluster.Job) { j.Cancelled = true }, false},
	}
	for name, c := range cases {
		tm, j := newGangTerm(t, 3, 4)
		first := gangAttempt(j, 0)
		c.setup(tm, j)
		rep := heartbeatFrom(1, 11, tm.state.FirstToken)
		if sent := countLaunches(tm.dispatcher.CommandsFor(first.Machine, rep, time.Now())) == 1; sent != c.may {
			t.Errorf("%s: the first task's launch is sent: %v", name, sent)
		}
	}
}

// A task of a gang that its machine does not have is sent there again only while
// the others may still wait for it.
func TestGangLaunchAgain(t *testing.T) {
	cases := map[string]struct {
		setup func(tm *term, j *cluster.Job, a *cluster.Attempt)
		again bool
	}{
		"the others wait":         {func(*term, *cluster.Job, *cluster.Attempt) {}, true},
		"an array's task":         {func(_ *term, j *cluster.Job, _ *cluster.Attempt) { j.Gang = nil }, false},
		"it was seen":             {func(_ *term, _ *cluster.Job, a *cluster.Attempt) { a.Observed = true }, false},
		"it is told to stop":      {func(_ *term, _ *cluster.Job, a *cluster.Attempt) { a.Stopping = true }, false},
		"the gang ran":            {func(_ *term, j *cluster.Job, _ *cluster.Attempt) { j.Gang.Ran = true }, false},
		"another was lost":        {func(_ *term, j *cluster.Job, _ *cluster.Attempt) { j.Gang.Broken = true }, false},
		"the job was cancelled":   {func(_ *term, j *cluster.Job, _ *cluster.Attempt) { j.Cancelled = true }, false},
		"its machine is drained":  {func(_ *term, _ *cluster.Job, a *cluster.Attempt) { a.Machine.DrainReason = "slow" }, false},
		"its machine is returned": {func(_ *term, _ *cluster.Job, a *cluster.Attempt) { a.Machine.ScalingIn = true }, false},
		"just before the wait ends": {func(_ *term, j *cluster.Job, _ *cluster.Attempt) {
			j.Gang.StartedAt = time.Now().Add(-39 * time.Second)
		}, true},
		"they have waited in vain": {func(_ *term, j *cluster.Job, _ *cluster.Attempt) {
			j.Gang.StartedAt = time.Now().Add(-40 * time.Second)
		}, false},
	}
	for name, c := range cases {
		tm, j := newGangTerm(t, 3, 4)
		a := gangAttempt(j, 0)
		a.Inherited, a.LaunchSent = true, true
		c.setup(tm, j, a)
		if again := tm.state.MayRelaunch(a); again != c.again {
			t.Errorf("%s: sent again %v", name, again)
		}
		if name != "the others wait" {
			continue
		}
		tm.reconciler.Reconcile(a.Machine, heartbeatFrom(1, 11, tm.state.FirstToken), true, time.Now())
		if n := countLaunches(tm.dispatcher.CommandsFor(a.Machine, heartbeatFrom(1, 11, tm.state.FirstToken), time.Now())); j.ActiveTasks != 3 || n != 1 {
			t.Errorf("%s: %d held, %d launches", name, j.ActiveTasks, n)
		}
	}
}

// halts tells how long each task of the gang is given to save, -1: not told.
func halts(j *cluster.Job) (out []wire.Seconds) {
	for i := range j.Spec.Tasks {
		switch a := gangAttempt(j, i); {
		case a == nil:
			out = append(out, -2)
		case !a.Stopping:
			out = append(out, -1)
		default:
			out = append(out, a.GracePeriod)
		}
	}
	return out
}

// All of a gang are told to stop at once, each with the same time. A later, longer
// time replaces no shorter one.
func TestGangHalt(t *testing.T) {
	cases := map[string]struct {
		setup func(g *cluster.Gang)
		told  []wire.Seconds // one after the other
		want  wire.Seconds
	}{
		"runs":                                {func(g *cluster.Gang) { g.Ran = true }, []wire.Seconds{13}, 13},
		"longer after shorter":                {func(g *cluster.Gang) { g.Ran = true }, []wire.Seconds{9, 13}, 9},
		"longer after none":                   {func(g *cluster.Gang) { g.Ran = true }, []wire.Seconds{0, 13}, 0},
		"shorter after longer":                {func(g *cluster.Gang) { g.Ran = true }, []wire.Seconds{13, 9}, 9},
		"none after some":                     {func(g *cluster.Gang) { g.Ran = true }, []wire.Seconds{13, 0}, 0},
		"has not run":                         {func(*cluster.Gang) {}, []wire.Seconds{13}, 0},
		"inherited, not known whether it ran": {func(g *cluster.Gang) { g.Inherited = true }, []wire.Seconds{13}, 13},
	}
	for name, c := range cases {
		tm, j := newGangTerm(t, 3, 4)
		c.setup(j.Gang)
		for _, windDown := range c.told {
			tm.dispatcher.Stop(gangAttempt(j, 1), windDown, "makes room")
		}
		for i, got := range halts(j) {
			if got != c.want {
				t.Errorf("%s: task %d has %v to save, want %v", name, i, got, c.want)
			}
		}
		if j.Gang.StoppingGracefully != (c.want > 0) {
			t.Errorf("%s: stops in order: %v", name, j.Gang.StoppingGracefully)
		}
	}
}

// Cancelling gives no time, also to a gang that is saving.
func TestGangCancelledWhileSaving(t *testing.T) {
	tm, j := newGangTerm(t, 3, 4)
	j.Gang.Ran = true
	tm.dispatcher.Stop(gangAttempt(j, 1), 13, "makes room")
	tm.dispatcher.StopCancelledJob(j)
	if got := halts(j); got[0] != 0 || got[1] != 0 || got[2] != 0 {
		t.Errorf("time to save %v", got)
	}
}

// What is left of a gang that lost a task is stopped, unless it is stopping in
// order; when nothing is left it may be placed anew.
func TestMendGangs(t *testing.T) {
	tm, j := newGangTerm(t, 3, 4)
	j.Gang.Ran = true
	tm.dispatcher.StopBrokenGangs()
	if got := halts(j); got[0] != -1 || got[1] != -1 || got[2] != -1 {
		t.Errorf("nothing is lost, and yet %v", got)
	}
	tm.state.EndAttempt(gangAttempt(j, 1), cluster.TaskPending)
	tm.dispatcher.StopBrokenGangs()
	if got := halts(j); got[0] != 0 || got[1] != -2 || got[2] != 0 || !j.Gang.Broken {
		t.Errorf("one is lost: %v", got)
	}
	if tm.scheduler.Schedulable(j, time.Now()) {
		t.Error("placed while two of its tasks are left")
	}
	tm.state.EndAttempt(gangAttempt(j, 0), cluster.TaskPending)
	tm.state.EndAttempt(gangAttempt(j, 2), cluster.TaskPending)
	tm.state.Cycle.Requested = false
	tm.dispatcher.StopBrokenGangs()
	if j.Gang != nil || !tm.state.Cycle.Requested || !tm.scheduler.Schedulable(j, time.Now()) {
		t.Errorf("nothing is left: gang %+v, round wanted %v, may be placed %v", j.Gang, tm.state.Cycle.Requested, tm.scheduler.Schedulable(j, time.Now()))
	}

	tm, j = newGangTerm(t, 3, 4)
	j.Gang.Ran = true
	tm.dispatcher.Stop(gangAttempt(j, 0), 13, "makes room")
	tm.state.EndAttempt(gangAttempt(j, 1), cluster.TaskPending)
	tm.dispatcher.StopBrokenGangs()
	if got := halts(j); got[0] != 13 || got[2] != 13 {
		t.Errorf("the first has saved and exited, the others have %v", got)
	}
}

// When one task of a gang is done all are, whatever the others show.
func TestGangDone(t *testing.T) {
	tm, j := newGangTerm(t, 3, 4)
	m := gangAttempt(j, 1).Machine
	tm.reconciler.Reconcile(m, &wire.Heartbeat{Machine: m.ID, Epoch: 1, Sequence: 11, Token: tm.state.FirstToken,
		Tasks: []wire.TaskState{{Task: "req-2/1", Attempt: 4, Phase: wire.PhaseExited, Cause: wire.CauseDone}}}, true, time.Now())
	tm.dispatcher.StopBrokenGangs()
	checkGangDone(t, "one reported done", tm, j)
}

func checkGangDone(t *testing.T, name string, tm *term, j *cluster.Job) {
	t.Helper()
	if j.DoneTasks != j.Spec.Tasks || j.ActiveTasks != 0 || j.Gang != nil || !j.Finished {
		t.Errorf("%s: %d done, %d held, gang %+v, over %v", name, j.DoneTasks, j.ActiveTasks, j.Gang, j.Finished)
	}
	for n := range j.Chunks {
		c := j.Chunk(n)
		if rec := c.Record(); len(rec.Active) > 0 || !c.Dirty {
			t.Errorf("%s: chunk %d holds %v, to be written %v", name, n, rec.Active, c.Dirty)
		}
		for i, s := range c.TaskStates {
			if s != cluster.TaskDone {
				t.Errorf("%s: task %d of chunk %d is %d", name, i, n, s)
			}
		}
	}
	for _, m := range tm.state.Machines {
		if len(m.Tasks) > 0 {
			t.Errorf("%s: %v are on %s", name, m.Tasks, m.ID)
		}
	}
}

// held is the record of a gang's tasks on machines n-1 and on, by their attempts'
// numbers; 0: none.
func activeRecords(tries ...wire.Attempt) (recs []store.ChunkRecord) {
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
		"whole":                  {activeRecords(4, 4, 4), true, false},
		"in part":                {activeRecords(4, 4, 0), true, true},
		"one has another number": {activeRecords(4, 3, 4), true, true},
		"the last has another":   {activeRecords(4, 4, 3), true, true},
		"nothing":                {activeRecords(0, 0, 0), false, false},
	}
	for name, c := range cases {
		tm, j := newTermFromRecords(t, c.recs)
		if (j.Gang != nil) != c.gang {
			t.Errorf("%s: gang %+v", name, j.Gang)
			continue
		}
		if c.gang && (j.Gang.Number != 4 || !j.Gang.Inherited || j.Gang.Ran) {
			t.Errorf("%s: %+v", name, j.Gang)
		}
		tm.dispatcher.StopBrokenGangs()
		if c.gang && j.Gang.Broken != c.mend {
			t.Errorf("%s: lost %v", name, j.Gang.Broken)
		}
		for _, a := range j.Attempts() {
			if a.Stopping != c.mend || a.MayLaunch() == c.mend {
				t.Errorf("%s: %v is told to stop: %v, may be sent: %v", name, a.Task(), a.Stopping, a.MayLaunch())
			}
		}
	}
	for name, recs := range map[string][]store.ChunkRecord{
		"one is recorded as done, the others as held": activeRecords(4, 0, 4),
		"one as done, one as held":                    activeRecords(4, 0, 0),
		"one as done, nothing as held":                activeRecords(0, 0, 0),
	} {
		recs[0].Done = store.PackRanges([]bool{false, true})
		tm, j := newTermFromRecords(t, recs)
		checkGangDone(t, name, tm, j)
	}
}

// readRig is a term that has read a gang of three and these records.
func newTermFromRecords(t *testing.T, recs []store.ChunkRecord) (*term, *cluster.Job) {
	t.Helper()
	tm, j := newGangTerm(t, 3, 4)
	for _, a := range j.Attempts() {
		a.Detach()
		a.Chunk.TaskStates[a.Index] = cluster.TaskPending
	}
	j.Gang = nil
	for n := range recs {
		tm.records.progress.ReadChunk(j.Chunk(n), wire.Revision(40+n), &recs[n])
	}
	tm.state.RestoreGang(j)
	return tm, j
}

// A gang starts with one number for all, above every number that any of its tasks
// has had, and no later one may have it.
func TestStartGangNumber(t *testing.T) {
	tm, j := newTermFromRecords(t, activeRecords(0, 0, 0, 0)[:2])
	j.Chunk(0).NextAttempt, j.Chunk(1).NextAttempt = 3, 7
	var ms []*cluster.Machine
	for i := range j.Spec.Tasks {
		ms = append(ms, addHeardMachine(tm, i))
	}
	tm.scheduler.StartGang(j, ms, time.Now())
	if len(j.Attempts()) != 3 || j.UnstoredAttempts != 3 || j.Gang.Number != 7 || j.Gang.Inherited || j.FullyStored() {
		t.Errorf("%d attempts, %d to be stored, gang %+v, complete %v", len(j.Attempts()), j.UnstoredAttempts, j.Gang, j.FullyStored())
	}
	for _, a := range j.Attempts() {
		if a.Number != 7 || !a.Unstored || a.MayLaunch() {
			t.Errorf("%v: number %d, to be stored %v, may be sent %v", a.Task(), a.Number, a.Unstored, a.MayLaunch())
		}
	}
	for n := range j.Chunks {
		if rec := j.Chunk(n).Record(); rec.NextAttempt != 8 || !j.Chunk(n).Dirty {
			t.Errorf("chunk %d: next %d, to be written %v", n, rec.NextAttempt, j.Chunk(n).Dirty)
		}
	}
}

// A gang with a notice is told early enough that who hears of it gang_peer_s late
// has saved too; an array needs only its own time. Both are told also while the
// state service is away and a majority agrees, else not; nothing is launched then.
func TestSaveBeforeNotice(t *testing.T) {
	for _, deciding := range []bool{true, false} {
		tm, j := newGangTerm(t, 3, 4)
		j.Gang.Ran = true
		m := gangAttempt(j, 0).Machine
		single := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-3", Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 1, CheckpointInterval: 20, CheckpointTime: 3}, AcceptedAt: wire.TimestampOf(time.Now())}, 2)
		tm.state.Jobs["req-3"] = single
		array := &cluster.Attempt{Job: single, Chunk: single.Chunk(0), Number: 2, Machine: m, Observed: true}
		array.Chunk.Add(array)
		waiting := &cluster.Attempt{Job: single, Chunk: single.Chunk(0), Index: 1, Number: 3, Machine: gangAttempt(j, 1).Machine}
		waiting.Chunk.Add(waiting)
		if !deciding {
			tm.Lease = newLease(tm.leader, tm.Fencing.Token, -time.Millisecond)
		}
		watch := func(left time.Duration) {
			now := time.Now()
			m.ReclaimAt, m.DrainReason = now.Add(left), cluster.DrainSpotNotice
			tm.monitor.CheckMachine(m, tm.monitor.CountMachines(now), now)
		}
		if !deciding {
			if watch(time.Second); array.Stopping || gangAttempt(j, 0).Stopping {
				t.Error("stopped by a leader that no majority agrees with")
			}
			tm.Lease.Acknowledged(time.Now().Add(time.Hour), time.Now(), 0)
		}
		if watch(14100 * time.Millisecond); halts(j)[0] != -1 {
			t.Errorf("deciding %v: told %v at 14.1 s", deciding, halts(j))
		}
		if watch(13900 * time.Millisecond); halts(j)[0] != 13 || halts(j)[1] != 13 || halts(j)[2] != 13 || array.Stopping {
			t.Errorf("deciding %v: told %v at 13.9 s, the array %v", deciding, halts(j), array.Stopping)
		}
		if watch(5900 * time.Millisecond); !array.Stopping || array.GracePeriod != 5 {
			t.Errorf("deciding %v: the array is told %v, %v to save", deciding, array.Stopping, array.GracePeriod)
		}
		other := gangAttempt(j, 1).Machine
		tm.leader.Cancels.RecordRead(time.Now())
		r := sendHeartbeat(tm, &wire.Heartbeat{Machine: other.ID, Epoch: 1, Sequence: 11, Token: tm.state.FirstToken,
			Tasks: []wire.TaskState{{Task: "req-2/1", Attempt: 4, Phase: wire.PhaseRunning}}})
		told := 0
		if r.Commands != nil {
			for _, o := range r.Commands.Commands {
				if o.Verb == wire.Stop && o.Task == "req-2/1" && *o.GracePeriod == 13 {
					told++
				}
			}
		}
		if !deciding {
			termOver, end := context.WithCancel(t.Context())
			end() // the command itself goes nowhere
			tm.Begin(termOver)
			other.Addr = "10.1.0.1:9000"
			gangAttempt(j, 1).StopSentAt = time.Time{}
			if tm.dispatcher.Dispatch(other); waiting.LaunchSent || gangAttempt(j, 1).StopSentAt.IsZero() {
				t.Errorf("a direct command without the state service: launches %v, halts %v", waiting.LaunchSent, !gangAttempt(j, 1).StopSentAt.IsZero())
			}
		}
		if n := countLaunches(r.Commands.Commands); told != 1 || (n == 1) != deciding {
			t.Errorf("deciding %v: the answer to another machine has %d halts and %d launches", deciding, told, n)
		}
	}
}
