package scenarios_test

import (
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

// A leader's rental is carried out long after another leads. The successor goes on with
// it under its name, so that the late one rents nothing more.
func TestLateRentalOfAnEarlierLeader(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 71, func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		sim.HoldCloudRequests(40, 0, 45*time.Second)
		a := array(1, 8, 30)
		sim.Submit(a, 0)
		held := func() bool { return sim.LateCloudRequests().Held > 0 }
		waitUntil(t, 20*time.Second, "a rental on its way", held)
		killed := sim.Leader()
		sim.KillController(killed)
		sim.HoldCloudRequests(0, 0, 45*time.Second)
		awaitSuccessor(t, sim, killed)
		startControllers(t, sim, killed)
		at(100 * time.Second)
		late := sim.LateCloudRequests()
		if late.CarriedOut != late.Held {
			t.Fatalf("%d of %d were carried out late", late.CarriedOut, late.Held)
		}
		if recorded != (late.Rented == 0) {
			t.Errorf("%d machines were rented late", late.Rented)
		}
		at(140 * time.Second)
		mustFinish(t, sim, a)
	})
}

// A leader's release is carried out long after another leads. The successor returns the
// machine itself, so that nothing runs on it when the late one comes.
func TestLateReleaseOfAnEarlierLeader(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 72, func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		first := array(1, 12, 12)
		sim.Submit(first, 0)
		at(20 * time.Second)
		sim.HoldCloudRequests(0, 40, 45*time.Second)
		held := func() bool { return sim.LateCloudRequests().Held > 0 }
		waitUntil(t, 150*time.Second, "a release on its way", held)
		killed := sim.Leader()
		sim.KillController(killed)
		sim.HoldCloudRequests(0, 0, 45*time.Second)
		next := array(2, 30, 60)
		sim.Submit(next, 0)
		awaitSuccessor(t, sim, killed)
		startControllers(t, sim, killed)
		time.Sleep(60 * time.Second)
		late := sim.LateCloudRequests()
		if late.CarriedOut != late.Held {
			t.Fatalf("%d of %d were carried out late", late.CarriedOut, late.Held)
		}
		if recorded != (late.EndedTasks == 0) {
			t.Errorf("a late release took %d machines with %d tasks", late.Released, late.EndedTasks)
		}
		time.Sleep(200 * time.Second)
		mustFinish(t, sim, first, next)
	})
}

// Writes of intents are carried out without an answer, late or at once: what is rented
// and returned is still right, and nothing is left in the records.
func TestUnansweredIntents(t *testing.T) {
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
		rented := sim.RentedSoFar()
		b := array(2, 30, 30)
		sim.Submit(b, 0)
		time.Sleep(30 * time.Second)
		if n := sim.RentedSoFar(); n != rented {
			t.Errorf("%d machines were rented without a record", n-rented)
		}
		if now := sim.State.Revision("intent/renting"); now != damaged {
			t.Error("the record was overwritten")
		}
		sim.State.Delete("intent/renting")
		replaceLeader(t, sim)
		time.Sleep(150 * time.Second)
		mustFinish(t, sim, b)
		if len(sim.State.Keys(store.LeadKey)) != 1 {
			t.Error("nobody leads")
		}
	})
}

// What recording intents costs the state service on a day of rushes: at most one
// change for each time that a machine is rented or returned.
func TestCostOfIntents(t *testing.T) {
	t.Parallel()
	withAndWithoutIntents(t, 75, func(t *testing.T, recorded bool, sim *simulator.Simulation, at func(time.Duration)) {
		for i := range 8 {
			at(time.Duration(2+50*i) * time.Second)
			sim.Submit(array(i, 10+2*i, 15), 0)
		}
		at(460 * time.Second)
		machines, intents, all := sim.RentedSoFar(), sim.State.Changes("intent/"), sim.State.Changes("")
		t.Logf("%d machines rented, %d still there; %d changes of the state service, %d of them intents", machines, sim.Machines(), all, intents)
		if recorded && (intents == 0 || intents > 2*machines) || !recorded && intents > 0 {
			t.Errorf("%d changes for %d machines", intents, machines)
		}
	})
}
