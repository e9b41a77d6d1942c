package scenarios_test

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
)

// When the response to a transaction is lost, its outcome must be read from the store and not
// be guessed.
func TestStoreResponsesLost(t *testing.T) {
	t.Parallel()
	runScenario(t, 7, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		firstArray, secondArray := array(1, 10, 10), array(2, 10, 10)
		sleepUntil(2 * time.Second)
		sim.Submit(firstArray, 0)
		sleepUntil(20 * time.Second)
		sim.State.LoseResponses(3)
		sim.Submit(secondArray, 0)
		sleepUntil(35 * time.Second)
		sim.State.LoseResponses(2)
		sleepUntil(150 * time.Second)
		mustFinish(t, sim, firstArray, secondArray)
	})
}

// The key-value store executes transactions at once but their responses are lost. Meanwhile
// users poll all controllers about what was written, and repeat their request at one controller
// after the other. The transactions are acceptances, cancellations, launches, writes of the
// leader key, or writes of final records, which replace the records of finished jobs.
func TestTransactionResponsesLostDuringReads(t *testing.T) {
	t.Parallel()
	for i, kind := range []string{"acceptance", "cancellation", "launch", "leader key", "final record", "all"} {
		prefix := map[string]string{"acceptance": store.JobPrefix, "cancellation": store.JobPrefix, "launch": store.ProgressPrefix, "leader key": store.LeaderKey, "final record": "past/"}[kind]
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(500+10*i+i), func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				firstArray, laterArray, cancelledJob, serviceJob := array(1, 10, 10), array(2, 6, 6), service(3, 3), service(4, 3)
				faults := []simulator.TxnFault{{Prefix: prefix}}
				if kind == "all" { // the first of each kind, then half of all transactions
					faults = []simulator.TxnFault{{Prefix: store.JobPrefix, MaxCount: 1}, {Prefix: store.ProgressPrefix, MaxCount: 1}, {Share: 0.5}}
				}
				var begin, end time.Time
				startFaults := func() { sim.State.InjectTxnFaults(uint64(i), faults...); begin = time.Now() }
				endFaults := func() { sim.State.InjectTxnFaults(0); end = time.Now() }
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				sim.RegisterJob(cancelledJob)
				requestUntilAnswered(t, sim, cancelledJob, false, 0)
				sleepUntil(25 * time.Second)
				sim.RegisterJob(firstArray)
				sim.RegisterJob(laterArray)
				firstReader, laterReader, cancelledReader := startReader(t, sim, firstArray.Spec.ID), startReader(t, sim, laterArray.Spec.ID), startReader(t, sim, cancelledJob.Spec.ID)
				if kind != "cancellation" {
					startFaults()
				}
				accepted, _, _ := requestUntilAnswered(t, sim, firstArray, false, i)
				if kind == "acceptance" {
					endFaults()
				}
				sleepUntil(40 * time.Second)
				if kind == "cancellation" {
					startFaults()
				}
				cancelled, _, _ := requestUntilAnswered(t, sim, cancelledJob, true, i)
				if kind == "cancellation" {
					endFaults()
				}
				sleepUntil(50 * time.Second)
				if kind == "leader key" || kind == "all" {
					leader := sim.Leader()
					if leader < 0 {
						t.Fatal("no controller leads")
					}
					sim.KillController(leader)
					time.Sleep(8 * time.Second)
					startControllers(t, sim, leader)
				}
				requestUntilAnswered(t, sim, laterArray, false, 0)
				sleepUntil(85 * time.Second)
				if end.IsZero() {
					endFaults()
				}
				endFaultsAndWait(sim, 30*time.Second)
				firstReader.stopReading()
				laterReader.stopReading()
				cancelledReader.stopReading()
				mustFinish(t, sim, firstArray, laterArray)
				mustRun(t, sim, serviceJob, "after the faults")

				// The test has tested something only if responses of executed transactions were
				// lost and users read of these transactions before the faults ended.
				executed := faultedTransactions(sim, prefix, wasExecuted)
				if len(executed) == 0 {
					t.Fatal("no executed transaction lost its response, want some")
				}
				during := func(what string, when time.Time) {
					if when.Before(executed[0].ExecutedAt) || when.After(end) || when.IsZero() {
						t.Errorf("%s %v after the faults began, want between the first lost response, after %v, and their end, after %v", what, when.Sub(begin), executed[0].ExecutedAt.Sub(begin), end.Sub(begin))
					}
				}
				switch kind {
				case "acceptance":
					during("accepted", accepted)
					during("first read as accepted", firstReader.firstSeen(simulator.KnownStatusAccepted))
				case "cancellation":
					during("cancelled", cancelled)
					during("first read as cancelled", cancelledReader.firstSeen(simulator.KnownStatusFinal))
				case "launch", "final record":
					during("first read as done", firstReader.firstSeen(simulator.KnownStatusFinal))
				case "leader key":
					if leader := sim.Leader(); leader < 0 || !slices.ContainsFunc(executed, func(f simulator.TxnOutcome) bool { return f.Client == simulator.NodeIP(leader) }) {
						t.Errorf("controller %d leads, want one whose write of the leader key lost its response", leader)
					}
					during("next leader's first job first read as done", laterReader.firstSeen(simulator.KnownStatusFinal))
				case "all":
					for _, recordPrefix := range []string{store.ProgressPrefix, store.JobPrefix} {
						if len(faultedTransactions(sim, recordPrefix, wasExecuted)) == 0 {
							t.Errorf("no executed transaction under %s lost its response, want some", recordPrefix)
						}
					}
				}
			})
		})
	}
}

// A share of all controllers' transactions is executed late, and a share of the others loses its
// response. Meanwhile users submit, cancel and poll jobs, a machine is reclaimed and the leader
// is killed.
func TestLateAndUnansweredWrites(t *testing.T) {
	t.Parallel()
	runOnAlternatingLayouts(t, 650, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		var uncancelled []simulator.JobScript
		var readers []*statusReader
		serviceJob := service(900, 3)
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(15 * time.Second)
		delay := [2]time.Duration{2 * time.Second, 12 * time.Second}
		sim.State.InjectTxnFaults(7, // the first of each kind, then a share of all transactions
			simulator.TxnFault{Prefix: store.JobPrefix, MaxCount: 1, Delay: delay}, simulator.TxnFault{Prefix: store.JobPrefix, MaxCount: 1},
			simulator.TxnFault{Prefix: store.ProgressPrefix, MaxCount: 1, Delay: delay}, simulator.TxnFault{Prefix: store.ProgressPrefix, MaxCount: 1},
			simulator.TxnFault{Share: 0.25, Delay: delay}, simulator.TxnFault{Share: 0.25})
		for n := 1; n <= 8; n++ {
			job := array(n, 1+n%4, float64(4+n%3*8))
			cancel := time.Duration(0)
			if n%3 == 0 {
				cancel = time.Duration(n) * time.Second
			} else {
				uncancelled = append(uncancelled, job)
			}
			sim.Submit(job, cancel)
			if n%2 == 0 {
				readers = append(readers, startReader(t, sim, job.Spec.ID))
			}
			time.Sleep(6 * time.Second)
			switch n {
			case 3, 6:
				leader := max(0, sim.Leader())
				sim.KillController(leader)
				time.Sleep(3 * time.Second)
				startControllers(t, sim, leader)
			case 5:
				sim.ReclaimMachines(1, func(bool, int) bool { return true })
			}
		}
		endFaultsAndWait(sim, 90*time.Second)
		for _, r := range readers {
			r.stopReading()
		}
		mustFinish(t, sim, uncancelled...)
		mustRun(t, sim, serviceJob, "after the faults")
		mustHaveLateTransaction(t, "launches", faultedTransactions(sim, store.ProgressPrefix, func(f *simulator.TxnOutcome) bool { return f.Late && !f.ExecutedAt.IsZero() }))
		for _, prefix := range []string{store.JobPrefix, store.ProgressPrefix} {
			if len(faultedTransactions(sim, prefix, func(f *simulator.TxnOutcome) bool { return f.Late && !f.ExecutedAt.IsZero() })) == 0 {
				t.Errorf("no transaction under %s was executed late, want some", prefix)
			}
			if len(faultedTransactions(sim, prefix, func(f *simulator.TxnOutcome) bool { return !f.Late && wasExecuted(f) })) == 0 {
				t.Errorf("no executed transaction under %s lost its response, want some", prefix)
			}
		}
	})
}
