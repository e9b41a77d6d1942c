package reconcile

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// failOn makes a task of the job fail on a machine.
func (f *fixture) failOn(job *cluster.Job, machine *cluster.Machine, now time.Time) {
	attempt := &cluster.Attempt{Job: job, Chunk: job.Chunk(0), Index: 0, Number: testAttempt, Machine: machine}
	f.faults.onTaskFailure(attempt, now)
}

func TestRepeatedFailuresDrainFaultyMachineOrBackOffJob(t *testing.T) {
	// failure holds the index of the job that fails, and of the machine it fails on: one of six.
	type failure struct{ job, machine int }
	cases := []struct {
		name        string
		succeeded   bool // the first job has completed a task elsewhere
		failures    []failure
		wantDrained []int
		wantBackoff time.Duration // of the first job
		wantCleared bool          // no machine is charged with the first job's failures any more
	}{
		{"one failure", false, []failure{{0, 0}}, nil, singleMachineBackoff, false},
		{"two failures of one job on one machine", false, []failure{{0, 0}, {0, 0}}, nil, singleMachineBackoff, false},
		{"three failures of one job on one machine", false, []failure{{0, 0}, {0, 0}, {0, 0}}, []int{0}, singleMachineBackoff, false},
		{"two jobs fail on one machine", false, []failure{{1, 0}, {0, 0}}, []int{0}, singleMachineBackoff, false},
		{"a job that succeeded fails twice on one machine", true, []failure{{0, 0}, {0, 0}}, []int{0}, singleMachineBackoff, false},
		{"a job fails on two machines", false, []failure{{0, 0}, {0, 1}}, nil, 4 * time.Second, false},
		{"a job fails on three machines", false, []failure{{0, 0}, {0, 1}, {0, 2}}, nil, 8 * time.Second, true},
		{"a job fails often on many machines", false, []failure{{0, 0}, {0, 1}, {0, 2}, {0, 3}, {0, 4}, {0, 0}, {0, 1}, {0, 2}}, nil, 64 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			machines := []*cluster.Machine{f.machine}
			for i := 2; i <= 6; i++ {
				machines = append(machines, f.addMachine(wire.MachineID(fmt.Sprintf("n-%d", i))))
			}
			jobs := []*cluster.Job{f.job, f.addJob("req-2", wire.KindArray, 1)}
			f.job.AnyTaskSucceeded = tc.succeeded
			now := time.Now()
			for _, failed := range tc.failures {
				f.failOn(jobs[failed.job], machines[failed.machine], now)
			}
			var drained []int
			charged := false
			for i, machine := range machines {
				if machine.DrainReason == cluster.DrainFaulty {
					drained = append(drained, i)
				}
				charged = charged || machine.FailedJobs["req-1"]
			}
			if fmt.Sprint(drained) != fmt.Sprint(tc.wantDrained) {
				t.Errorf("failures %v: machines %v are drained, want %v", tc.failures, drained, tc.wantDrained)
			}
			if got := f.job.StartNotBefore.Sub(now); got != tc.wantBackoff {
				t.Errorf("failures %v: backoff %v, want %v", tc.failures, got, tc.wantBackoff)
			}
			if charged == tc.wantCleared {
				t.Errorf("failures %v: machines are charged %v, want %v", tc.failures, charged, !tc.wantCleared)
			}
		})
	}
}

func TestDrainsOnSuspicionAreLimitedToAQuarterOfMachines(t *testing.T) {
	f := newFixture(t)
	var others []*cluster.Machine
	for i := 2; i <= 8; i++ {
		others = append(others, f.addMachine(wire.MachineID(fmt.Sprintf("n-%d", i))))
	}
	for i, want := range []bool{true, true, false} {
		if got := f.MayDrainSuspectMachine(); got != want {
			t.Errorf("%d of 8 machines drained on suspicion: may drain another %v, want %v", i, got, want)
		}
		others[i].DrainReason = []cluster.DrainReason{cluster.DrainFaulty, cluster.DrainSlow, cluster.DrainFaulty}[i]
	}
}

func TestDrainStopsOrEndsTasksByReasonAndKind(t *testing.T) {
	cases := []struct {
		reason    cluster.DrainReason
		kind      wire.JobKind
		setup     func(attempt *cluster.Attempt)
		wantStop  bool
		wantEnded bool
	}{
		{cluster.DrainFaulty, wire.KindArray, func(a *cluster.Attempt) { a.LaunchSent = true }, true, false},
		{cluster.DrainFaulty, wire.KindArray, func(a *cluster.Attempt) { a.Inherited = true }, true, false},
		{cluster.DrainFaulty, wire.KindArray, func(*cluster.Attempt) {}, false, true},
		{cluster.DrainFaulty, wire.KindArray, func(a *cluster.Attempt) { a.Unstored = true }, false, false},
		{cluster.DrainSlow, wire.KindArray, func(a *cluster.Attempt) { a.LaunchSent = true }, false, false},
		{cluster.DrainSlow, wire.KindService, func(a *cluster.Attempt) { a.LaunchSent = true }, true, false},
		{cluster.DrainSpotNotice, wire.KindService, func(a *cluster.Attempt) { a.LaunchSent = true }, false, false},
		{cluster.DrainSpotNotice, wire.KindArray, func(*cluster.Attempt) {}, false, true},
	}
	for i, tc := range cases {
		t.Run(fmt.Sprintf("%d %s %s", i, tc.reason, tc.kind), func(t *testing.T) {
			f := newFixture(t)
			f.job.Spec.Kind = tc.kind
			tc.setup(f.attempt)
			f.drain(f.machine, tc.reason)
			if f.machine.DrainReason != tc.reason || f.drainCount != 1 {
				t.Errorf("drain reason %q, counted %d times; want %q, once", f.machine.DrainReason, f.drainCount, tc.reason)
			}
			if f.attempt.Stopping != tc.wantStop || tc.wantStop && f.attempt.StopReason != cluster.EvictionReason(tc.reason) {
				t.Errorf("stopping %v for %q, want %v", f.attempt.Stopping, f.attempt.StopReason, tc.wantStop)
			}
			if ended := f.job.ActiveTasks == 0; ended != tc.wantEnded {
				t.Errorf("ended %v, want %v", ended, tc.wantEnded)
			}
			f.drain(f.machine, cluster.DrainIdle)
			if f.machine.DrainReason != tc.reason || f.drainCount != 1 {
				t.Errorf("after a second drain: reason %q, counted %d times; want the first reason, once", f.machine.DrainReason, f.drainCount)
			}
		})
	}
}

func TestMachineWithMostlySlowRunsIsDrained(t *testing.T) {
	cases := []struct {
		name        string
		runs        []time.Duration // run times on the machine, of a job whose other runs take 10 s
		wantDrained bool
	}{
		{"two slow runs", []time.Duration{30 * time.Second, 30 * time.Second}, false},
		{"three slow runs", []time.Duration{30 * time.Second, 30 * time.Second, 30 * time.Second}, true},
		{"three runs just within the limit", []time.Duration{18 * time.Second, 18 * time.Second, 18 * time.Second}, false},
		{"three slow runs and a normal one", []time.Duration{10 * time.Second, 30 * time.Second, 30 * time.Second, 30 * time.Second}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			for range 12 {
				f.job.RunTimes.Add(10)
			}
			now := time.Now()
			for _, run := range tc.runs {
				f.attempt.RunningSince = now.Add(-run)
				f.faults.recordRunTime(f.attempt, now)
			}
			if drained := f.machine.DrainReason == cluster.DrainSlow; drained != tc.wantDrained {
				t.Errorf("runs %v: drained %v (%+v), want %v", tc.runs, drained, f.machine.RunSpeedCounts, tc.wantDrained)
			}
		})
	}
}

func TestJobForgetsMachinesThatNoLongerExist(t *testing.T) {
	f := newFixture(t)
	for i := range 3 * maxFailedMachines {
		machine := f.addMachine(wire.MachineID(fmt.Sprintf("n-%03d", i)))
		f.failOn(f.job, machine, time.Now())
		delete(f.state.Machines, machine.ID)
	}
	existing := f.addMachine("n-existing")
	f.failOn(f.job, existing, time.Now())
	f.failOn(f.job, f.addMachine("n-last"), time.Now())
	if n := len(f.job.FailedMachines); n != maxFailedMachines || !f.job.FailedMachines[existing.ID] {
		t.Errorf("%d machines remembered, the existing one %v; want %d with it", n, f.job.FailedMachines[existing.ID], maxFailedMachines)
	}
}
