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

// withAndWithoutIntents runs a script with intents recorded, and as a control without:
// what a late request then does shows that the script measures something.
func withAndWithoutIntents(t *testing.T, seed uint64, script func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	for _, recorded := range []bool{true, false} {
		name := map[bool]string{true: "recorded", false: "control"}[recorded]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithFeatures(t, lilaclead.Features{RecordIntents: recorded}, seed, func(sim *simulator.Simulation, at func(time.Duration)) {
				script(t, recorded, sim, at)
			})
		})
	}
}

// A leader's scale-out request is carried out long after another leads. The successor goes on with
// it under its name, so that the late one rents nothing more.
func TestScaleOutOfFormerLeaderExecutedLate(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 71, func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		sim.DelayCloudRequests(40, 0, 45*time.Second)
		a := array(1, 8, 30)
		sim.Submit(a, 0)
		requestDelayed := func() bool { return sim.LateCloudRequests().Delayed > 0 }
		waitUntil(t, 20*time.Second, "a rental on its way", requestDelayed)
		killed := sim.Leader()
		sim.KillController(killed)
		sim.DelayCloudRequests(0, 0, 45*time.Second)
		awaitSuccessor(t, sim, killed)
		startControllers(t, sim, killed)
		at(100 * time.Second)
		late := sim.LateCloudRequests()
		if late.CarriedOut != late.Delayed {
			t.Fatalf("%d of %d were carried out late", late.CarriedOut, late.Delayed)
		}
		if recorded != (late.Provisioned == 0) {
			t.Errorf("%d machines were rented late", late.Provisioned)
		}
		at(140 * time.Second)
		mustFinish(t, sim, a)
	})
}

// A leader's scale-in request is carried out long after another leads. The successor returns the
// machine itself, so that nothing runs on it when the late one comes.
func TestScaleInOfFormerLeaderExecutedLate(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 72, func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		first := array(1, 12, 12)
		sim.Submit(first, 0)
		at(20 * time.Second)
		sim.DelayCloudRequests(0, 40, 45*time.Second)
		requestDelayed := func() bool { return sim.LateCloudRequests().Delayed > 0 }
		waitUntil(t, 150*time.Second, "a release on its way", requestDelayed)
		killed := sim.Leader()
		sim.KillController(killed)
		sim.DelayCloudRequests(0, 0, 45*time.Second)
		next := array(2, 30, 60)
		sim.Submit(next, 0)
		awaitSuccessor(t, sim, killed)
		startControllers(t, sim, killed)
		time.Sleep(60 * time.Second)
		late := sim.LateCloudRequests()
		if late.CarriedOut != late.Delayed {
			t.Fatalf("%d of %d were carried out late", late.CarriedOut, late.Delayed)
		}
		if recorded != (late.EndedTasks == 0) {
			t.Errorf("a late release took %d machines with %d tasks", late.ScaledIn, late.EndedTasks)
		}
		time.Sleep(200 * time.Second)
		mustFinish(t, sim, first, next)
	})
}

// Writes of intents are carried out without an answer, late or at once: what is provisioned
// and returned is still right, and nothing is left in the records.
func TestIntentWritesUnanswered(t *testing.T) {
	t.Parallel()
	runWithFeatures(t, lilaclead.Features{RecordIntents: true}, 73, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		sim.State.InjectTxnFaults(5, simulator.TxnFault{Prefix: "intent/", Share: 0.6, Late: [2]time.Duration{time.Second, 8 * time.Second}},
			simulator.TxnFault{Prefix: "intent/", Share: 0.6})
		a := array(1, 24, 12)
		sim.Submit(a, 0)
		at(60 * time.Second)
		restartLeader(t, sim, 2*time.Second)
		at(150 * time.Second)
		hit := faultedTransactions(sim, "intent/", func(*simulator.TxnOutcome) bool { return true })
		if len(hit) < 2 {
			t.Fatalf("%d writes of intents were hit", len(hit))
		}
		endFaultsAndWait(sim, 60*time.Second)
		mustFinish(t, sim, a)
		if n := sim.Machines(); n > 0 {
			t.Errorf("%d machines are kept for nothing", n)
		}
	})
}

// Records of intents that can't be decoded are never overwritten. What rests on them is
// refused, and all else goes on.
func TestUndecodableIntents(t *testing.T) {
	t.Parallel()
	runWithFeatures(t, lilaclead.Features{RecordIntents: true}, 74, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		a := array(1, 4, 10)
		sim.Submit(a, 0)
		at(60 * time.Second)
		mustFinish(t, sim, a)
		damaged := sim.State.Put("intent/renting", "no record of intents")
		replaceLeader(t, sim)
		provisioned := sim.ProvisionedSoFar()
		b := array(2, 30, 30)
		sim.Submit(b, 0)
		time.Sleep(30 * time.Second)
		if n := sim.ProvisionedSoFar(); n != provisioned {
			t.Errorf("%d machines were rented without a record", n-provisioned)
		}
		if now := sim.State.Revision("intent/renting"); now != damaged {
			t.Error("the record was overwritten")
		}
		sim.State.Delete("intent/renting")
		replaceLeader(t, sim)
		time.Sleep(150 * time.Second)
		mustFinish(t, sim, b)
		if len(sim.State.Keys(store.LeaderKey)) != 1 {
			t.Error("nobody leads")
		}
	})
}

// What recording intents costs the key-value store on a day of rushes: at most one
// change for each time that a machine is provisioned or returned.
func TestCostOfIntents(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 75, func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration)) {
		for i := range 8 {
			at(time.Duration(2+50*i) * time.Second)
			sim.Submit(array(i, 10+2*i, 15), 0)
		}
		at(460 * time.Second)
		machines, intents, all := sim.ProvisionedSoFar(), sim.State.Changes("intent/"), sim.State.Changes("")
		t.Logf("%d machines rented, %d still there; %d changes of the state service, %d of them intents", machines, sim.Machines(), all, intents)
		if recorded && (intents == 0 || intents > 2*machines) || !recorded && intents > 0 {
			t.Errorf("%d changes for %d machines", intents, machines)
		}
	})
}

// mustScaleOutInTokenOrder checks that no leader provisioned once its successor had: a scale-out request's name
// tells under which token it was decided on.
func mustScaleOutInTokenOrder(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	highest := uint64(0)
	for _, name := range sim.ScaleOutNames() {
		var token, number uint64
		if _, err := fmt.Sscanf(name, "b-%d-%d", &token, &number); err != nil {
			t.Fatalf("a booking is named %q", name)
		}
		if token < highest {
			t.Errorf("%s was filled after one of token %d", name, highest)
		}
		highest = max(highest, token)
	}
}

// The leader is cut off from key-value store and peers, in each way, but not from workers
// and the cloud; another leads on the other side, and both have work to rent for. Only
// one of them rents, and no machine is leaked.
func TestOnlyOneSideOfPartitionScalesOut(t *testing.T) {
	t.Parallel()
	for i, mode := range simulator.CutModes {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			runWithFeatures(t, lilaclead.Features{RecordIntents: true}, uint64(110+i), func(sim *simulator.Simulation, at func(time.Duration)) {
				at(6 * time.Second)
				first := array(1, 16, 20)
				sim.Submit(first, 0)
				at(8 * time.Second)
				old := sim.Leader()
				sim.IsolateController(old, mode, true)
				second := array(2, 16, 20)
				sim.Submit(second, 0)
				awaitOtherLeader(t, sim, old, 30*time.Second)
				time.Sleep(40 * time.Second)
				sim.IsolateController(old, mode, false)
				time.Sleep(120 * time.Second)
				mustScaleOutInTokenOrder(t, sim)
				mustFinish(t, sim, first, second)
				time.Sleep(60 * time.Second)
				if n := sim.Machines(); n > 0 {
					t.Errorf("%d machines are left", n)
				}
			})
		})
	}
}

// The leader ends with each step half done: provisioned and not answered, returned and not
// answered, recorded and never sent (the cloud is away). Its successor leaks nothing and
// rents nothing twice.
func TestLeaderEndsWithScalingHalfDone(t *testing.T) {
	t.Parallel()
	steps := map[string]struct {
		begin, end func(sim *simulator.Simulation)
	}{
		"rented":          {func(sim *simulator.Simulation) { sim.LoseScaleOutAnswers(100) }, func(sim *simulator.Simulation) { sim.LoseScaleOutAnswers(0) }},
		"returned":        {func(sim *simulator.Simulation) { sim.LoseScaleInAnswers(100) }, func(sim *simulator.Simulation) { sim.LoseScaleInAnswers(0) }},
		"only recorded":   {func(sim *simulator.Simulation) { sim.CloudOutage(true) }, func(sim *simulator.Simulation) { sim.CloudOutage(false) }},
		"recorded, twice": {func(sim *simulator.Simulation) { sim.State.LoseAnswers(2) }, func(*simulator.Simulation) {}},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithFeatures(t, lilaclead.Features{RecordIntents: true}, 120, func(sim *simulator.Simulation, at func(time.Duration)) {
				at(8 * time.Second)
				early := array(1, 8, 6)
				sim.Submit(early, 0)
				at(30 * time.Second)
				step.begin(sim)
				a := array(2, 10, 15)
				sim.Submit(a, 0)
				at(45 * time.Second)
				restartLeader(t, sim, 5*time.Second)
				step.end(sim)
				at(150 * time.Second)
				mustFinish(t, sim, early, a)
				mustScaleOutInTokenOrder(t, sim)
				at(230 * time.Second)
				if n := sim.Machines(); n > 0 {
					t.Errorf("%d machines are left", n)
				}
			})
		})
	}
}

// A job is cleaned up while it is read slowly: between the two keys under which it may
// lie. The reader finds it in one of them.
func TestJobArchivedDuringSlowRead(t *testing.T) {
	t.Parallel()
	runScenario(t, 130, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
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
		at(60 * time.Second)
		polls.stopPolling()
		if polls.answered() == 0 {
			t.Error("no poll was answered")
		}
		sim.State.DelayReads(nil)
		mustFinish(t, sim, jobs...)
	})
}
