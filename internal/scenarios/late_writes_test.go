package scenarios_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A user's submission or cancellation gets no response from the key-value store and is executed ten
// seconds later or more, when the state of the job has changed. No job that has ended may come back
// to life, and a job that was done stays done.
func TestUserWritesExecutedLate(t *testing.T) {
	t.Parallel()
	delayWrite := func(sim *simulator.Simulation, node int, from, to time.Duration) {
		sim.State.InjectTxnFaults(1, simulator.TxnFault{Prefix: store.JobPrefix, Hosts: []string{simulator.NodeIP(node)}, MaxCount: 1, Delay: [2]time.Duration{from, to}})
	}
	delayNextWrite := func(sim *simulator.Simulation, node int) { delayWrite(sim, node, 10*time.Second, 12*time.Second) }
	// Under some schedules the job ends as late as eleven seconds after its submission.
	delayNextWriteBeyondEnd := func(sim *simulator.Simulation, node int) { delayWrite(sim, node, 20*time.Second, 22*time.Second) }
	for caseNumber, kind := range []string{"acceptance, after the job's end", "acceptance, after its cancellation", "acceptance, not retried",
		"cancellation, after the job's end", "cancellation, after a second one", "cancellation, not retried"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(600+caseNumber), func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				warmUp, job, smallJob, serviceJob := array(1, 8, 10), array(2, 2, 2), array(4, 1, 1), service(3, 3)
				if caseNumber == 2 || caseNumber == 4 || caseNumber == 5 {
					job.RunTime = 40
				}
				if caseNumber == 3 {
					job.RunTime = 5
				}
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				sim.Submit(warmUp, 0) // the machines that it leaves idle have capacity for the next jobs
				sleepUntil(27 * time.Second)
				sim.RegisterJob(job)
				reader := startReader(t, sim, job.Spec.ID)
				firstNode := caseNumber % sim.Settings.Size
				var otherAnsweredAt time.Time
				switch caseNumber {
				case 0:
					delayNextWriteBeyondEnd(sim, firstNode)
					requestUntilAnswered(t, sim, job, false, firstNode)
				case 1:
					delayNextWrite(sim, firstNode)
					requestUntilAnswered(t, sim, job, false, firstNode)
					otherAnsweredAt, _, _ = requestUntilAnswered(t, sim, job, true, firstNode+1)
				case 2:
					delayNextWrite(sim, firstNode)
					if status := requestOnce(sim, job, false, firstNode); status == 200 || status == 201 {
						t.Errorf("submission answered %d, want no success", status)
					}
				case 3:
					requestUntilAnswered(t, sim, job, false, firstNode)
					delayNextWriteBeyondEnd(sim, firstNode)
					if status := requestOnce(sim, job, true, firstNode); status == 200 {
						t.Errorf("cancellation answered %d, want no success", status)
					}
				case 4:
					requestUntilAnswered(t, sim, job, false, firstNode)
					delayNextWrite(sim, firstNode)
					otherAnsweredAt, _, _ = requestUntilAnswered(t, sim, job, true, firstNode)
				case 5:
					requestUntilAnswered(t, sim, job, false, firstNode)
					delayNextWrite(sim, firstNode)
					requestOnce(sim, job, true, firstNode)
				}
				sim.RegisterJob(smallJob) // causes a newer write of the same controller
				requestOnce(sim, smallJob, false, firstNode)
				sleepUntil(55 * time.Second)
				endFaultsAndWait(sim, 75*time.Second) // by then no task of a cancelled job may remain
				reader.stopReading()
				finalSeen := reader.firstSeen(simulator.KnownStatusFinal)
				lateWrites := faultedTransactions(sim, store.JobPrefix+string(job.Spec.ID), func(f *simulator.TxnOutcome) bool { return f.Late })
				if len(lateWrites) != 1 || lateWrites[0].ExecutedAt.IsZero() {
					t.Fatalf("late writes %+v, want one, executed or refused", lateWrites)
				}
				switch caseNumber {
				case 0:
					mustFinish(t, sim, job)
					mustHaveLateTransaction(t, kind, faultedTransactions(sim, store.JobPrefix, refusedByGuardOn("past/")), finalSeen)
				case 1, 4:
					mustHaveLateTransaction(t, kind, faultedTransactions(sim, store.JobPrefix, failedAfterNewer), finalSeen, otherAnsweredAt)
				case 2:
					mustFinish(t, sim, job)
					if lateWrites[0].Status != http.StatusOK || !reader.firstSeen(simulator.KnownStatusAccepted).After(lateWrites[0].ExecutedAt) || lateWrites[0].ExecutedAt.Sub(lateWrites[0].Sent) < 10*time.Second {
						t.Errorf("late write %+v, acceptance first seen at %v, want it executed 10 s late and seen after that", lateWrites[0], reader.firstSeen(simulator.KnownStatusAccepted))
					}
				case 3:
					mustFinish(t, sim, job)
					mustHaveLateTransaction(t, kind, faultedTransactions(sim, store.JobPrefix, refusedByGuardOn(store.JobPrefix)), finalSeen)
					if toldAt, _, toldStatus := requestUntilAnswered(t, sim, job, true, firstNode); toldAt.IsZero() || toldStatus != wire.StatusDone {
						t.Errorf("a job that was done has the status %s, want done", toldStatus)
					}
				case 5:
					if lateWrites[0].Status != http.StatusOK || !finalSeen.After(lateWrites[0].ExecutedAt) {
						t.Errorf("late write %+v, final status first seen at %v, want it executed and seen after that", lateWrites[0], finalSeen)
					}
				}
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.TasksOnMachines(job.Spec.ID); n != 0 {
						t.Errorf("%d tasks of a job that has ended on machines, want 0", n)
					}
				})
				mustRun(t, sim, serviceJob, "afterwards")
			})
		})
	}
}

// The leader's writes get no response from the key-value store and are executed seconds later: after
// newer transactions, or after the leader was killed, while its grant still exists or when another
// leader has been elected.
func TestLeaderWritesExecutedLate(t *testing.T) {
	t.Parallel()
	type delayRange = [2]time.Duration
	shortDelay, longDelay := delayRange{2 * time.Second, 2100 * time.Millisecond}, delayRange{6 * time.Second, 12 * time.Second}
	for caseNumber, tc := range []struct {
		name, prefix                string
		delay                       delayRange
		leaderKilled, leaderKeyLate bool // leaderKeyLate: the first writes of the leader's key are late too
	}{
		{"launch", store.ProgressPrefix, delayRange{2 * time.Second, 12 * time.Second}, false, false},
		{"launch, and the new token", store.ProgressPrefix, longDelay, false, true},
		{"launch, under a dead leader's grant", store.ProgressPrefix, shortDelay, true, false},
		{"launch, after the next election", store.ProgressPrefix, longDelay, true, false},
		{"final record", "past/", longDelay, false, false},
		{"final record, and the new token", "past/", longDelay, false, true},
		{"final record, under a dead leader's grant", "past/", shortDelay, true, false},
		{"final record, after the next election", "past/", longDelay, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(620+caseNumber), func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				warmUp, job, nextJob, serviceJob := array(1, 8, 10), array(2, 8, 8), array(4, 4, 5), service(3, 3)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, warmUp)
				sleepUntil(27 * time.Second)
				leader := sim.Leader()
				if leader < 0 {
					t.Fatal("no controller leads")
				}
				maxFaults := 1
				if !tc.leaderKilled {
					maxFaults = 3
				}
				faults := []simulator.TxnFault{{Prefix: tc.prefix, Hosts: []string{simulator.NodeIP(leader)}, MaxCount: maxFaults, Delay: tc.delay, Hang: tc.leaderKilled}}
				if tc.leaderKeyLate {
					faults = append(faults, simulator.TxnFault{Prefix: store.LeaderKey, Hosts: []string{simulator.NodeIP(leader)}, MaxCount: 2, Delay: tc.delay})
				}
				sim.State.InjectTxnFaults(uint64(caseNumber), faults...)
				sim.RegisterJob(job)
				reader := startReader(t, sim, job.Spec.ID)
				var user sync.WaitGroup
				user.Go(func() { requestUntilAnswered(t, sim, job, false, caseNumber) })
				var killedAt, nextElectedAt time.Time
				if tc.leaderKilled {
					for begin := time.Now(); len(sim.State.TxnOutcomes()) == 0 && time.Since(begin) < 30*time.Second; {
						time.Sleep(5 * time.Millisecond)
					}
					sim.KillController(leader)
					killedAt = time.Now()
					for time.Since(killedAt) < 6*time.Second {
						time.Sleep(50 * time.Millisecond)
						if n := sim.Leader(); nextElectedAt.IsZero() && n >= 0 && n != leader {
							nextElectedAt = time.Now()
						}
					}
					startControllers(t, sim, leader)
				}
				user.Wait()
				time.Sleep(10 * time.Second)
				sim.Submit(nextJob, 0)
				time.Sleep(20 * time.Second)
				endFaultsAndWait(sim, 20*time.Second)
				reader.stopReading()
				mustFinish(t, sim, job, nextJob)
				mustRun(t, sim, serviceJob, "afterwards")
				if reader.firstSeen(simulator.KnownStatusFinal).IsZero() {
					t.Errorf("nobody was told that the job is done")
				}
				lateWrites := faultedTransactions(sim, tc.prefix, func(f *simulator.TxnOutcome) bool { return f.Late && !f.ExecutedAt.IsZero() })
				switch {
				case len(lateWrites) == 0:
					t.Fatal("no write was executed late")
				case tc.leaderKilled && tc.delay == shortDelay:
					// Executed between the leader's end and the next election. The next leader learns
					// from the write what no user was told.
					if f := lateWrites[0]; f.Status != http.StatusOK || !f.ExecutedAt.After(killedAt) || !f.ExecutedAt.Before(nextElectedAt) {
						t.Errorf("leader killed at %v, next one elected at %v: late write %+v, want it executed in between", killedAt, nextElectedAt, f)
					}
				case tc.leaderKilled:
					if f := lateWrites[0]; f.Status == http.StatusOK || !f.ExecutedAt.After(nextElectedAt) || nextElectedAt.IsZero() {
						t.Errorf("leader killed at %v, next one elected at %v: late write %+v, want it refused after the election", killedAt, nextElectedAt, f)
					}
				default:
					mustHaveLateTransaction(t, tc.name, faultedTransactions(sim, tc.prefix, refusedByGuardOn(store.LeaderKey)))
				}
				if tc.leaderKeyLate {
					mustHaveLateTransaction(t, "the new token", faultedTransactions(sim, store.LeaderKey, refusedByGuardOn(store.LeaderKey)))
				}
			})
		})
	}
}

// Candidates' writes of the leader's key are executed late: while another controller leads, or while
// nobody leads yet and the candidate has given up the grant. Such a write may make nobody the leader.
func TestLeaderKeyWrittenLate(t *testing.T) {
	t.Parallel()
	for caseNumber, maxFaults := range []int{1, 6} {
		t.Run(fmt.Sprint(maxFaults), func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(640+caseNumber), func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob := service(1, 3), array(2, 6, 15)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, arrayJob)
				sleepUntil(30 * time.Second)
				for round := range 2 {
					leader := sim.Leader()
					if leader < 0 {
						t.Fatal("no controller leads")
					}
					sim.State.InjectTxnFaults(uint64(10*caseNumber+round), simulator.TxnFault{Prefix: store.LeaderKey, MaxCount: maxFaults, Delay: [2]time.Duration{2 * time.Second, 12 * time.Second}})
					sim.KillController(leader)
					time.Sleep(20 * time.Second)
					startControllers(t, sim, leader)
					time.Sleep(10 * time.Second)
				}
				sim.Submit(array(3, 4, 5), 0)
				endFaultsAndWait(sim, 45*time.Second)
				mustFinish(t, sim, arrayJob, array(3, 4, 5))
				mustRun(t, sim, serviceJob, "afterwards")
				lateWrites := faultedTransactions(sim, store.LeaderKey, func(f *simulator.TxnOutcome) bool { return f.Late && !f.ExecutedAt.IsZero() })
				rejected := faultedTransactions(sim, store.LeaderKey, func(f *simulator.TxnOutcome) bool { return f.Status == http.StatusBadRequest })
				if len(lateWrites) < 2*maxFaults || len(rejected) == 0 || slices.ContainsFunc(lateWrites, outcomeExecuted) {
					t.Errorf("%d late writes of the leader's key, %d rejected for their grant, want as many late ones as faults in two rounds, some rejected and none executed: %+v", len(lateWrites), len(rejected), lateWrites)
				}
			})
		})
	}
}
