package reconcile

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

func TestTaskExitByCause(t *testing.T) {
	cases := []struct {
		cause          wire.ExitCause
		wantState      cluster.TaskState
		machineBackoff time.Duration
		jobBackoff     time.Duration
		failures       int
	}{
		{cause: wire.CauseDone, wantState: cluster.TaskDone},
		{cause: wire.CauseStopped, wantState: cluster.TaskPending},
		{cause: wire.CauseGangBroken, wantState: cluster.TaskPending},
		{cause: wire.CauseGangIncomplete, wantState: cluster.TaskPending},
		{cause: wire.CauseError, wantState: cluster.TaskPending, jobBackoff: singleMachineBackoff, failures: 1},
		{cause: wire.CauseFull, wantState: cluster.TaskPending, machineBackoff: refusedLaunchBackoff},
		{cause: wire.CauseBusy, wantState: cluster.TaskPending, machineBackoff: refusedLaunchBackoff},
		{cause: wire.CauseNoSuch, wantState: cluster.TaskPending, machineBackoff: refusedLaunchBackoff, jobBackoff: refusedLaunchBackoff},
		{cause: "unknown", wantState: cluster.TaskPending, machineBackoff: refusedLaunchBackoff},
	}
	for _, tc := range cases {
		t.Run(string(tc.cause), func(t *testing.T) {
			f := newFixture(t)
			now := time.Now()
			f.Reconcile(f.machine, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseExited, tc.cause)), true, now)
			if got := f.attempt.Chunk.TaskStates[0]; got != tc.wantState || f.job.ActiveTasks != 0 {
				t.Errorf("cause %q: task state %d with %d active tasks, want %d with 0", tc.cause, got, f.job.ActiveTasks, tc.wantState)
			}
			if got, want := f.machine.StartNotBefore, backoffEnd(now, tc.machineBackoff); !got.Equal(want) {
				t.Errorf("cause %q: machine gets no launches before %v, want %v", tc.cause, got, want)
			}
			if got, want := f.job.StartNotBefore, backoffEnd(now, tc.jobBackoff); !got.Equal(want) {
				t.Errorf("cause %q: job starts no tasks before %v, want %v", tc.cause, got, want)
			}
			if f.job.TaskFailures != tc.failures || f.machine.TaskFailures != tc.failures {
				t.Errorf("cause %q: %d failures of the job and %d of the machine, want %d", tc.cause, f.job.TaskFailures, f.machine.TaskFailures, tc.failures)
			}
		})
	}
}

// backoffEnd returns when a backoff that begins now ends, zero if there is no backoff.
func backoffEnd(now time.Time, backoff time.Duration) time.Time {
	if backoff == 0 {
		return time.Time{}
	}
	return now.Add(backoff)
}

func TestTaskDoneClearsFailuresOfJobAndMachine(t *testing.T) {
	f := newFixture(t)
	f.job.TaskFailures, f.job.FailedMachines = 3, map[wire.MachineID]bool{"n-1": true, "n-2": true}
	f.machine.TaskFailures, f.machine.FailedJobs["req-1"] = 3, true
	f.Reconcile(f.machine, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseExited, wire.CauseDone)), true, time.Now())
	if f.job.TaskFailures != 0 || len(f.job.FailedMachines) != 0 || !f.job.AnyTaskSucceeded {
		t.Errorf("job has %d failures on %v, succeeded %v; want 0 on none, true", f.job.TaskFailures, f.job.FailedMachines, f.job.AnyTaskSucceeded)
	}
	if f.machine.TaskFailures != 0 || len(f.machine.FailedJobs) != 0 {
		t.Errorf("machine has %d failures of %v, want 0 of none", f.machine.TaskFailures, f.machine.FailedJobs)
	}
}

// Replicas of a service never complete. Without another success to clear them, the failures of
// all machines that a service ever met would add up, and delay its replicas ever more.
func TestReplicaThatRunsClearsFailuresOfServiceAndMachine(t *testing.T) {
	for _, tc := range []struct {
		name      string
		kind      wire.JobKind
		ranFor    time.Duration
		wantClear bool
	}{
		{"a replica that has just started", wire.KindService, replicaSuccessTime - 2*time.Second, false},
		{"a replica that has run", wire.KindService, replicaSuccessTime, true},
		{"a task of an array that has run", wire.KindArray, time.Hour, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			now := time.Now()
			f.job.Spec.Kind = tc.kind
			f.attempt.SeenInHeartbeat, f.attempt.RunningSince = true, now.Add(-tc.ranFor)
			f.failOn(f.job, f.addMachine("n-2"), now)
			f.failOn(f.job, f.machine, now)
			f.Reconcile(f.machine, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseRunning, "")), true, now)
			jobCleared := f.job.TaskFailures == 0 && len(f.job.FailedMachines) == 0 && f.job.AnyTaskSucceeded
			machineCleared := f.machine.TaskFailures == 0 && len(f.machine.FailedJobs) == 0
			if jobCleared != tc.wantClear || machineCleared != tc.wantClear {
				t.Fatalf("failures of the job cleared %v, of the machine %v; want both %v", jobCleared, machineCleared, tc.wantClear)
			}
			f.failOn(f.job, f.addMachine("n-3"), now)
			f.Reconcile(f.machine, heartbeat(1, 12, testToken, attemptStatus(wire.PhaseRunning, "")), true, now.Add(time.Second))
			if f.job.TaskFailures == 0 {
				t.Error("a failure after the success of a replica is cleared by the same replica")
			}
		})
	}
}

func TestGangTaskDoneCompletesGang(t *testing.T) {
	f := newFixture(t)
	gang := f.addJob("req-2", wire.KindGang, 2)
	gang.Gang = &cluster.Gang{AttemptNumber: testAttempt}
	f.addAttempt(gang, 0, f.machine)
	f.addAttempt(gang, 1, f.addMachine("n-2"))
	f.Reconcile(f.machine, heartbeat(1, 11, testToken, attemptStatus(wire.PhaseRunning, ""),
		wire.TaskStatus{Task: "req-2/0", Attempt: testAttempt, Phase: wire.PhaseExited, Cause: wire.CauseDone}), true, time.Now())
	if gang.DoneTasks != 2 || gang.ActiveTasks != 0 || gang.Gang != nil {
		t.Errorf("gang has %d done and %d active tasks, attempt %+v; want 2 and 0, none", gang.DoneTasks, gang.ActiveTasks, gang.Gang)
	}
}

func TestImageOnMachineByTaskStatus(t *testing.T) {
	cases := []struct {
		name     string
		previous wire.TaskPhase
		status   wire.TaskStatus
		want     bool
	}{
		{"fetching", "", attemptStatus(wire.PhaseFetching, ""), false},
		{"waiting for its gang", wire.PhaseFetching, attemptStatus(wire.PhaseWaiting, ""), true},
		{"running", wire.PhaseFetching, attemptStatus(wire.PhaseRunning, ""), true},
		{"done", wire.PhaseRunning, attemptStatus(wire.PhaseExited, wire.CauseDone), true},
		{"failed", wire.PhaseRunning, attemptStatus(wire.PhaseExited, wire.CauseError), true},
		{"refused: full", "", attemptStatus(wire.PhaseExited, wire.CauseFull), false},
		{"refused: busy", "", attemptStatus(wire.PhaseExited, wire.CauseBusy), false},
		{"refused: no such image", wire.PhaseFetching, attemptStatus(wire.PhaseExited, wire.CauseNoSuch), false},
		{"stopped while fetching", wire.PhaseFetching, attemptStatus(wire.PhaseExited, wire.CauseStopped), false},
		{"stopped while running", wire.PhaseRunning, attemptStatus(wire.PhaseExited, wire.CauseStopped), true},
		{"gang incomplete while fetching", wire.PhaseFetching, attemptStatus(wire.PhaseExited, wire.CauseGangIncomplete), false},
		{"gang broken while running", wire.PhaseRunning, attemptStatus(wire.PhaseExited, wire.CauseGangBroken), true},
		{"writing a checkpoint because it is stopped", wire.PhaseRunning, attemptStatus(wire.PhaseCheckpointing, wire.CauseStopped), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			attempt := &cluster.Attempt{Phase: tc.previous}
			if got := hasImage(attempt, &tc.status); got != tc.want {
				t.Errorf("previous phase %q, status %+v: image on the machine %v, want %v", tc.previous, tc.status, got, tc.want)
			}
		})
	}
}
