package agents

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// addGang adds a running gang with a task on each of three machines.
func (f *fixture) addGang() *cluster.Job {
	job := f.addJob("req-2", wire.KindGang, 3)
	job.Gang = &cluster.Gang{AttemptNumber: testAttempt, StartedAt: time.Now(), HasRun: true}
	for index, id := range []wire.MachineID{"n-1", "n-2", "n-3"} {
		f.addAttempt(job, index, f.addMachine(id)).SeenInHeartbeat = true
	}
	return job
}

func TestStopOfOneTaskStopsTheWholeGang(t *testing.T) {
	cases := []struct {
		name            string
		setup           func(gang *cluster.Gang)
		gracePeriod     wire.Seconds
		wantGracePeriod wire.Seconds
	}{
		{"the gang has run", func(*cluster.Gang) {}, 13, 13},
		{"an earlier leader's gang may have run", func(gang *cluster.Gang) { gang.HasRun, gang.Inherited = false, true }, 13, 13},
		{"the gang has not run", func(gang *cluster.Gang) { gang.HasRun = false }, 13, 0},
		{"without a grace period", func(*cluster.Gang) {}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			job := f.addGang()
			tc.setup(job.Gang)
			f.Stop(job.Attempts()[0], tc.gracePeriod, cluster.EvictedPreempted)
			for _, attempt := range job.Attempts() {
				if !attempt.Stopping || attempt.GracePeriod != tc.wantGracePeriod || attempt.StopSentAt.IsZero() {
					t.Errorf("%v: got stopping %v with %v s, sent %v, want true with %v s, true",
						attempt.Task(), attempt.Stopping, attempt.GracePeriod, !attempt.StopSentAt.IsZero(), tc.wantGracePeriod)
				}
			}
			if len(f.evicted) != 3 || job.Gang.StoppingGracefully != (tc.wantGracePeriod > 0) {
				t.Errorf("got evictions %v, stopping gracefully %v, want 3, %v", f.evicted, job.Gang.StoppingGracefully, tc.wantGracePeriod > 0)
			}
		})
	}
}

func TestRepeatedStopOfAGangOnlyShortensTheGracePeriod(t *testing.T) {
	f := newFixture(t)
	job := f.addGang()
	for _, step := range []struct{ requested, want wire.Seconds }{{10, 10}, {20, 10}, {4, 4}, {10, 4}} {
		f.StopGang(job, step.requested, cluster.EvictedPreempted)
		if job.Gang.GracePeriod != step.want {
			t.Errorf("grace period after a stop with %v s: got %v s, want %v s", step.requested, job.Gang.GracePeriod, step.want)
		}
	}
}

func TestRepeatedStopOnlyShortensTheGracePeriod(t *testing.T) {
	f := newFixture(t)
	f.attempt.SeenInHeartbeat = true
	for _, step := range []struct{ requested, want wire.Seconds }{{10, 10}, {20, 10}, {10, 10}, {4, 4}} {
		f.Stop(f.attempt, step.requested, cluster.EvictedPreempted)
		if f.attempt.GracePeriod != step.want {
			t.Errorf("grace period after a stop with %v s: got %v s, want %v s", step.requested, f.attempt.GracePeriod, step.want)
		}
	}
	if len(f.evicted) != 2 {
		t.Errorf("evictions: got %v, want one for each stop that took effect", f.evicted)
	}
}

func TestStopOfAnUnstoredAttemptEndsItUnlessItIsBeingWritten(t *testing.T) {
	for name, tc := range map[string]struct {
		writeInFlight bool
		wantActive    int
		wantStopping  bool
	}{
		"not being written": {false, 0, false},
		"being written":     {true, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.attempt.Unstored, f.attempt.Chunk.WriteInFlight = true, tc.writeInFlight
			f.Stop(f.attempt, 10, cluster.EvictedPreempted)
			if f.job.ActiveTasks != tc.wantActive || f.attempt.Stopping != tc.wantStopping {
				t.Errorf("got %d active tasks, stopping %v, want %d, %v", f.job.ActiveTasks, f.attempt.Stopping, tc.wantActive, tc.wantStopping)
			}
			if f.machine.CommandInFlight || len(f.evicted) != 0 {
				t.Errorf("got command in flight %v, evictions %v, want neither", f.machine.CommandInFlight, f.evicted)
			}
		})
	}
}

func TestBrokenGangIsStoppedUnlessItStopsGracefully(t *testing.T) {
	for name, tc := range map[string]struct {
		graceful     bool
		wantStopping bool
	}{
		"running":             {false, true},
		"stopping gracefully": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			job := f.addGang()
			job.Gang.StoppingGracefully = tc.graceful
			f.State.EndAttempt(job.Attempts()[0], cluster.TaskPending)
			f.StopBrokenGangs()
			for _, attempt := range job.Attempts() {
				if attempt.Stopping != tc.wantStopping || tc.wantStopping && attempt.StopReason != cluster.EvictedGangIncomplete {
					t.Errorf("%v: got stopping %v for %q, want %v", attempt.Task(), attempt.Stopping, attempt.StopReason, tc.wantStopping)
				}
			}
			if !job.Gang.Broken || len(f.State.BrokenGangs) != 0 {
				t.Errorf("got broken %v, %d gangs left to handle, want true, 0", job.Gang.Broken, len(f.State.BrokenGangs))
			}
			for _, attempt := range job.Attempts() {
				f.State.EndAttempt(attempt, cluster.TaskPending)
			}
			f.StopBrokenGangs()
			if job.Gang != nil {
				t.Error("gang without remaining tasks: got kept, want queued again")
			}
		})
	}
}

func TestCancelledJobIsStoppedWithoutGracePeriod(t *testing.T) {
	f := newFixture(t)
	f.attempt.SeenInHeartbeat = true
	f.job.Cancelled = true
	f.StopCancelledJob(f.job)
	if !f.attempt.Stopping || f.attempt.GracePeriod != 0 || f.attempt.StopReason != cluster.EvictedCancelled {
		t.Errorf("got stopping %v with a grace period of %v s for %q, want a stop at once as cancelled", f.attempt.Stopping, f.attempt.GracePeriod, f.attempt.StopReason)
	}
	if _, ok := f.State.CancelledJobs[f.job]; !ok || f.job.Finished {
		t.Errorf("got listed as cancelled %v, finished %v, want true, false", ok, f.job.Finished)
	}
	if len(f.evicted) != 0 {
		t.Errorf("evictions after a cancellation: got %v, want none", f.evicted)
	}
	if got, want := f.sentDirectly(t), []wire.Verb{wire.VerbStop}; !slices.Equal(got, want) {
		t.Errorf("direct commands: got %v, want %v", got, want)
	}
}
