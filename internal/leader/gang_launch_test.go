package leader

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
)

// The launch of a gang's task is sent only while all attempts of the gang are stored, none
// is lost, and the gang is not being stopped.
func TestGangLaunchIsSentOnlyWhileTheGangIsComplete(t *testing.T) {
	cases := []struct {
		name     string
		setup    func(tm *term, j *cluster.Job)
		wantSent bool
	}{
		{"all stored", func(*term, *cluster.Job) {}, true},
		{"no gang at all", func(_ *term, j *cluster.Job) { j.Gang = nil }, true},
		{"one is not yet stored", func(_ *term, j *cluster.Job) {
			a := memberAttempt(j, 2)
			a.Unstored = true
			a.Chunk.UnstoredAttempts++
			j.UnstoredAttempts++
		}, false},
		{"one has no attempt", func(tm *term, j *cluster.Job) { tm.state.EndAttempt(memberAttempt(j, 2), cluster.TaskPending) }, false},
		{"one was lost", func(_ *term, j *cluster.Job) { j.Gang.Broken = true }, false},
		{"it is being stopped", func(_ *term, j *cluster.Job) { j.Gang.StoppingGracefully = true }, false},
		{"it was stopped at once", func(tm *term, j *cluster.Job) { tm.dispatcher.StopGang(j, 0, cluster.EvictedPreempted) }, false},
		{"it was stopped gracefully", func(tm *term, j *cluster.Job) {
			j.Gang.HasRun = true
			tm.dispatcher.StopGang(j, 13, cluster.EvictedPreempted)
		}, false},
		{"its job was cancelled", func(_ *term, j *cluster.Job) { j.Cancelled = true }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, j := newGangTerm(t)
			first := memberAttempt(j, 0)
			c.setup(tm, j)
			heartbeat := heartbeatFrom(1, 11, tm.state.FirstToken)
			commands := tm.dispatcher.HeartbeatResponseCommands(first.Machine, heartbeat, time.Now())
			if sent := countLaunches(commands) == 1; sent != c.wantSent {
				t.Errorf("first task's launch sent: got %v, want %v", sent, c.wantSent)
			}
		})
	}
}

// A gang's task that is missing from its machine is launched there again only while the
// gang's other tasks may still be waiting for it.
func TestGangTaskIsRelaunchedOnlyWhileTheOthersWait(t *testing.T) {
	startedAgo := func(d time.Duration) func(*cluster.Job, *cluster.Attempt) {
		return func(j *cluster.Job, _ *cluster.Attempt) { j.Gang.StartedAt = time.Now().Add(-d) }
	}
	cases := []struct {
		name  string
		setup func(j *cluster.Job, a *cluster.Attempt)
		want  bool
	}{
		{"the others wait", func(*cluster.Job, *cluster.Attempt) {}, true},
		{"an array's task", func(j *cluster.Job, _ *cluster.Attempt) { j.Gang = nil }, false},
		{"a heartbeat has shown it", func(_ *cluster.Job, a *cluster.Attempt) { a.SeenInHeartbeat = true }, false},
		{"it is being stopped", func(_ *cluster.Job, a *cluster.Attempt) { a.Stopping = true }, false},
		{"the gang ran", func(j *cluster.Job, _ *cluster.Attempt) { j.Gang.HasRun = true }, false},
		{"another was lost", func(j *cluster.Job, _ *cluster.Attempt) { j.Gang.Broken = true }, false},
		{"the job was cancelled", func(j *cluster.Job, _ *cluster.Attempt) { j.Cancelled = true }, false},
		{"its machine is drained", func(_ *cluster.Job, a *cluster.Attempt) { a.Machine.DrainReason = "slow" }, false},
		{"its machine is scaled in", func(_ *cluster.Job, a *cluster.Attempt) { a.Machine.ScalingIn = true }, false},
		{"just before the wait ends", startedAgo(39 * time.Second), true},
		{"the wait has ended", startedAgo(40 * time.Second), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, j := newGangTerm(t)
			a := memberAttempt(j, 0)
			a.Inherited, a.LaunchSent = true, true
			c.setup(j, a)
			if got := tm.state.MayRelaunch(a); got != c.want {
				t.Errorf("may relaunch: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestMissingGangTaskIsRelaunchedInTheNextResponse(t *testing.T) {
	tm, j := newGangTerm(t)
	a := memberAttempt(j, 0)
	a.Inherited, a.LaunchSent = true, true
	heartbeat := heartbeatFrom(1, 11, tm.state.FirstToken)
	tm.reconciler.Reconcile(a.Machine, heartbeat, true, time.Now())
	commands := tm.dispatcher.HeartbeatResponseCommands(a.Machine, heartbeatFrom(1, 11, tm.state.FirstToken), time.Now())
	if n := countLaunches(commands); j.ActiveTasks != 3 || n != 1 {
		t.Errorf("got %d tasks active, %d launches, want 3, 1", j.ActiveTasks, n)
	}
}

// All tasks of a gang start with the same attempt number. It is above every number that any
// of them has had, and no later attempt may have it.
func TestGangStartsWithOneUnusedAttemptNumber(t *testing.T) {
	tm, j := newTermFromRecords(t, gangChunkRecords(0, 0, 0, 0)[:2])
	j.Chunk(0).NextAttempt, j.Chunk(1).NextAttempt = 3, 7
	var machines []*cluster.Machine
	for i := range j.Spec.Tasks {
		machines = append(machines, addMachineWithHeartbeat(tm, i))
	}
	tm.scheduler.StartGang(j, machines, time.Now())
	if n := len(j.Attempts()); n != 3 || j.UnstoredAttempts != 3 || j.Gang.AttemptNumber != 7 || j.Gang.Inherited || j.GangFullyStored() {
		t.Errorf("got %d attempts, %d not stored, gang %+v, fully stored %v, want 3, 3, number 7, false", n, j.UnstoredAttempts, j.Gang, j.GangFullyStored())
	}
	for _, a := range j.Attempts() {
		if a.Number != 7 || !a.Unstored || a.MayLaunch() {
			t.Errorf("%v: got number %d, unstored %v, may launch %v, want 7, true, false", a.Task(), a.Number, a.Unstored, a.MayLaunch())
		}
	}
	for n := range j.Chunks {
		if record := j.Chunk(n).Record(); record.NextAttempt != 8 || !j.Chunk(n).Dirty {
			t.Errorf("chunk %d: got next attempt %d, dirty %v, want 8, true", n, record.NextAttempt, j.Chunk(n).Dirty)
		}
	}
}
