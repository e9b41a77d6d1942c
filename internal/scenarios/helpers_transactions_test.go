package scenarios_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// faultedTransactions returns the transactions that were hit by a fault, change a key with the
// prefix and match.
func faultedTransactions(sim *simulator.Simulation, prefix string, matches func(f *simulator.TxnOutcome) bool) []simulator.TxnOutcome {
	return slices.DeleteFunc(sim.State.TxnOutcomes(), func(f simulator.TxnOutcome) bool { return !f.ChangesPrefix(prefix) || !matches(&f) })
}

// wasExecuted reports whether the transaction was executed, not refused or still on its way.
func wasExecuted(f *simulator.TxnOutcome) bool { return f.Status == http.StatusOK }

// outcomeExecuted is wasExecuted for a transaction passed by value.
func outcomeExecuted(f simulator.TxnOutcome) bool { return wasExecuted(&f) }

// failedAfterNewer reports whether the transaction arrived after newer ones of the same client
// were executed, and failed.
func failedAfterNewer(f *simulator.TxnOutcome) bool {
	return f.Late && f.NewerExecuted > 0 && f.Status != 0 && f.Status != http.StatusOK
}

// mustHaveLateTransaction checks that at least one of the transactions was executed or refused
// late: after newer ones of the same client were executed, and after all the given times. It
// fails if one of these times is zero.
func mustHaveLateTransaction(t *testing.T, what string, transactions []simulator.TxnOutcome, after ...time.Time) {
	t.Helper()
	for _, f := range transactions {
		if f.NewerExecuted > 0 && !slices.ContainsFunc(after, func(earlier time.Time) bool { return earlier.IsZero() || !f.ExecutedAt.After(earlier) }) {
			return
		}
	}
	t.Errorf("%s: no transaction arrived late, after newer ones and after %v: %+v", what, after, transactions)
}

// refusedByGuardOn returns a function that reports whether a transaction arrived after newer ones
// and failed because of a guard on a key with the prefix.
func refusedByGuardOn(prefix string) func(*simulator.TxnOutcome) bool {
	return func(f *simulator.TxnOutcome) bool {
		return failedAfterNewer(f) && slices.ContainsFunc(f.FailedKeys, func(k string) bool { return strings.HasPrefix(k, prefix) })
	}
}

// endFaultsAndWait ends all transaction faults and then waits, so that the jobs can progress.
func endFaultsAndWait(sim *simulator.Simulation, d time.Duration) {
	sim.State.InjectTxnFaults(0)
	markFaultsOver(sim)
	time.Sleep(d)
}

// isFinalRecordOf reports whether a transaction replaces the record of a job by its final record.
func isFinalRecordOf(txn *wire.Txn, id wire.JobID) bool {
	return slices.ContainsFunc(txn.Writes, func(w wire.Write) bool { return w.DeleteKey == store.JobKey(id) })
}

// isCancellationOf reports whether a transaction records a user's cancellation of a job.
func isCancellationOf(txn *wire.Txn, id wire.JobID) bool {
	return slices.ContainsFunc(txn.Writes, func(w wire.Write) bool {
		var rec store.JobRecord
		return w.PutKey == store.JobKey(id) && wire.Decode(w.Value, &rec) == nil && rec.Status == wire.StatusCancelled
	})
}
