package scenarios_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lilaclead"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
)

// withAndWithoutIntents runs a script twice: with intents recorded, and without them as a control.
// In the control a late request does harm, which shows that the script can detect it.
func withAndWithoutIntents(t *testing.T, seed uint64, script func(t *testing.T, recorded bool, sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	for _, recorded := range []bool{true, false} {
		name := map[bool]string{true: "recorded", false: "control"}[recorded]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithFeatures(t, lilaclead.Features{RecordIntents: recorded}, seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				script(t, recorded, sim, sleepUntil)
			})
		})
	}
}

// A leader's scale-out request is executed long after another controller became leader. The
// successor repeats the request under the same name, so that the late one provisions nothing.
func TestScaleOutOfFormerLeaderExecutedLate(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 71, func(t *testing.T, recorded bool, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		sim.DelayCloudRequests(40, 0, 45*time.Second)
		job := array(1, 8, 30)
		sim.Submit(job, 0)
		requestDelayed := func() bool { return sim.LateCloudRequests().Delayed > 0 }
		waitUntil(t, 20*time.Second, "a scale-out request on its way", requestDelayed)
		killed := sim.Leader()
		sim.KillController(killed)
		sim.DelayCloudRequests(0, 0, 45*time.Second)
		awaitSuccessor(t, sim, killed)
		startControllers(t, sim, killed)
		sleepUntil(100 * time.Second)
		late := sim.LateCloudRequests()
		if late.Executed != late.Delayed {
			t.Fatalf("%d of %d delayed scale-out requests were executed, want all", late.Executed, late.Delayed)
		}
		if recorded != (late.Provisioned == 0) {
			t.Errorf("%d machines were provisioned late, want 0 with recorded intents, some in the control", late.Provisioned)
		}
		sleepUntil(140 * time.Second)
		mustFinish(t, sim, job)
	})
}

// A leader's scale-in request is executed long after another controller became leader. The
// successor returns the machine itself, so that no task runs on it when the late request is
// executed.
func TestScaleInOfFormerLeaderExecutedLate(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 72, func(t *testing.T, recorded bool, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		first := array(1, 12, 12)
		sim.Submit(first, 0)
		sleepUntil(20 * time.Second)
		sim.DelayCloudRequests(0, 40, 45*time.Second)
		requestDelayed := func() bool { return sim.LateCloudRequests().Delayed > 0 }
		waitUntil(t, 150*time.Second, "a scale-in request on its way", requestDelayed)
		killed := sim.Leader()
		sim.KillController(killed)
		sim.DelayCloudRequests(0, 0, 45*time.Second)
		next := array(2, 30, 60)
		sim.Submit(next, 0)
		awaitSuccessor(t, sim, killed)
		startControllers(t, sim, killed)
		time.Sleep(60 * time.Second)
		late := sim.LateCloudRequests()
		if late.Executed != late.Delayed {
			t.Fatalf("%d of %d delayed scale-in requests were executed, want all", late.Executed, late.Delayed)
		}
		if recorded != (late.KilledTasks == 0) {
			t.Errorf("late scale-in requests returned %d machines on which %d tasks ran, want no tasks with recorded intents, some in the control", late.ScaledIn, late.KilledTasks)
		}
		time.Sleep(200 * time.Second)
		mustFinish(t, sim, first, next)
	})
}

// Writes of intents are executed without a response, late or at once. All jobs must still finish,
// and no machine may be left afterwards.
func TestIntentWritesUnanswered(t *testing.T) {
	t.Parallel()
	runWithFeatures(t, lilaclead.Features{RecordIntents: true}, 73, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		sim.State.InjectTxnFaults(5, simulator.TxnFault{Prefix: "intent/", Share: 0.6, Delay: [2]time.Duration{time.Second, 8 * time.Second}},
			simulator.TxnFault{Prefix: "intent/", Share: 0.6})
		job := array(1, 24, 12)
		sim.Submit(job, 0)
		sleepUntil(60 * time.Second)
		restartLeader(t, sim, 2*time.Second)
		sleepUntil(150 * time.Second)
		hit := faultedTransactions(sim, "intent/", func(*simulator.TxnOutcome) bool { return true })
		if len(hit) < 2 {
			t.Fatalf("%d writes of intents were hit by a fault, want 2 or more", len(hit))
		}
		endFaultsAndWait(sim, 60*time.Second)
		mustFinish(t, sim, job)
		if n := sim.Machines(); n > 0 {
			t.Errorf("%d machines are left with no job to run, want 0", n)
		}
	})
}

// Records of intents that can't be decoded are never overwritten. While such a record exists, no
// machine is provisioned; scheduling goes on.
func TestUndecodableIntents(t *testing.T) {
	t.Parallel()
	runWithFeatures(t, lilaclead.Features{RecordIntents: true}, 74, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		first := array(1, 4, 10)
		sim.Submit(first, 0)
		sleepUntil(60 * time.Second)
		mustFinish(t, sim, first)
		damaged := sim.State.Put("intent/renting", "no record of intents")
		replaceLeader(t, sim)
		provisioned := sim.ProvisionedSoFar()
		second := array(2, 30, 30)
		sim.Submit(second, 0)
		time.Sleep(30 * time.Second)
		if n := sim.ProvisionedSoFar(); n != provisioned {
			t.Errorf("%d machines were provisioned although the record of intents can't be decoded", n-provisioned)
		}
		if now := sim.State.Revision("intent/renting"); now != damaged {
			t.Error("the record of intents was overwritten")
		}
		sim.State.Delete("intent/renting")
		replaceLeader(t, sim)
		time.Sleep(150 * time.Second)
		mustFinish(t, sim, second)
		if len(sim.State.Keys(store.LeaderKey)) != 1 {
			t.Error("no controller leads")
		}
	})
}

// Under bursts of jobs, recording intents costs the key-value store at most one change for each
// time that a machine is provisioned or returned.
func TestIntentWriteCost(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 75, func(t *testing.T, recorded bool, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		for i := range 8 {
			sleepUntil(time.Duration(2+50*i) * time.Second)
			sim.Submit(array(i, 10+2*i, 15), 0)
		}
		sleepUntil(460 * time.Second)
		machines, intents, all := sim.ProvisionedSoFar(), sim.State.Changes("intent/"), sim.State.Changes("")
		t.Logf("%d machines provisioned, %d of them left; %d changes of the key-value store, %d of them of intents", machines, sim.Machines(), all, intents)
		if recorded && (intents == 0 || intents > 2*machines) || !recorded && intents > 0 {
			t.Errorf("%d changes of intents for %d provisioned machines, want 1 or more but at most twice the machines, none in the control", intents, machines)
		}
	})
}

// mustScaleOutInTokenOrder checks that no leader provisioned machines after its successor did so.
// The name of a scale-out request contains the fencing token of the leader that decided on it.
func mustScaleOutInTokenOrder(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	highest := uint64(0)
	for _, name := range sim.ScaleOutNames() {
		var token, number uint64
		if _, err := fmt.Sscanf(name, "b-%d-%d", &token, &number); err != nil {
			t.Fatalf("a scale-out request is named %q, want b-TOKEN-NUMBER", name)
		}
		if token < highest {
			t.Errorf("scale-out request %s was filled after one with token %d", name, highest)
		}
		highest = max(highest, token)
	}
}

// A partition cuts the leader off from the key-value store and its peers, in each mode, but not
// from agents and the cloud. Another controller becomes leader, and both have jobs that need more
// machines. Only one of them may provision, and no machine may be leaked.
func TestOnlyOneSideOfPartitionScalesOut(t *testing.T) {
	t.Parallel()
	for i, mode := range simulator.CutModes {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			runWithFeatures(t, lilaclead.Features{RecordIntents: true}, uint64(110+i), func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sleepUntil(6 * time.Second)
				first := array(1, 16, 20)
				sim.Submit(first, 0)
				sleepUntil(8 * time.Second)
				isolated := sim.Leader()
				sim.IsolateController(isolated, mode, true)
				second := array(2, 16, 20)
				sim.Submit(second, 0)
				awaitOtherLeader(t, sim, isolated, 30*time.Second)
				time.Sleep(40 * time.Second)
				sim.IsolateController(isolated, mode, false)
				time.Sleep(120 * time.Second)
				mustScaleOutInTokenOrder(t, sim)
				mustFinish(t, sim, first, second)
				time.Sleep(60 * time.Second)
				if n := sim.Machines(); n > 0 {
					t.Errorf("%d machines are left, want 0", n)
				}
			})
		})
	}
}

// The leader is killed in the middle of a scale-out or scale-in. Either the cloud executed a request
// and its response was lost, or an intent was recorded and the request could not be sent: the cloud
// is down, or the response of the key-value store was lost. The successor must leak no machine and
// provision none twice.
func TestLeaderKilledDuringScaling(t *testing.T) {
	t.Parallel()
	steps := map[string]struct {
		begin, end func(sim *simulator.Simulation)
	}{
		"provisioned, response lost":                {func(sim *simulator.Simulation) { sim.LoseScaleOutResponses(100) }, func(sim *simulator.Simulation) { sim.LoseScaleOutResponses(0) }},
		"returned, response lost":                   {func(sim *simulator.Simulation) { sim.LoseScaleInResponses(100) }, func(sim *simulator.Simulation) { sim.LoseScaleInResponses(0) }},
		"recorded, cloud down":                      {func(sim *simulator.Simulation) { sim.SetCloudOutage(true) }, func(sim *simulator.Simulation) { sim.SetCloudOutage(false) }},
		"recorded, two responses of the store lost": {func(sim *simulator.Simulation) { sim.State.LoseResponses(2) }, func(*simulator.Simulation) {}},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithFeatures(t, lilaclead.Features{RecordIntents: true}, 120, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sleepUntil(8 * time.Second)
				early := array(1, 8, 6)
				sim.Submit(early, 0)
				sleepUntil(30 * time.Second)
				step.begin(sim)
				late := array(2, 10, 15)
				sim.Submit(late, 0)
				sleepUntil(45 * time.Second)
				restartLeader(t, sim, 5*time.Second)
				step.end(sim)
				sleepUntil(150 * time.Second)
				mustFinish(t, sim, early, late)
				mustScaleOutInTokenOrder(t, sim)
				sleepUntil(230 * time.Second)
				if n := sim.Machines(); n > 0 {
					t.Errorf("%d machines are left, want 0", n)
				}
			})
		})
	}
}

// A job's record is replaced by its final record, under another key, while a controller reads both
// keys slowly. The controller must find the job under one of them.
func TestJobArchivedDuringSlowRead(t *testing.T) {
	t.Parallel()
	runScenario(t, 130, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		sim.State.DelayReads(func(key string) time.Duration {
			if strings.HasPrefix(key, "past/") || strings.HasPrefix(key, "job/") {
				return 400 * time.Millisecond
			}
			return 0
		})
		var jobs []simulator.JobScript
		for i := range 6 {
			jobs = append(jobs, array(i+1, 1, 3+float64(i)))
			sim.Submit(jobs[i], 0)
		}
		polls := startBackgroundPolls(sim, 0, jobs...)
		sleepUntil(60 * time.Second)
		polls.stopPolling()
		if polls.answered() == 0 {
			t.Error("no poll was answered")
		}
		sim.State.DelayReads(nil)
		mustFinish(t, sim, jobs...)
	})
}
