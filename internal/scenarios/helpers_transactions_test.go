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

// faultedTransactions are those that a fault hit, that change a key with the prefix
// and pass the test.
func faultedTransactions(sim *simulator.Simulation, prefix string, which func(f *simulator.TxnOutcome) bool) []simulator.TxnOutcome {
	return slices.DeleteFunc(sim.State.TxnOutcomes(), func(f simulator.TxnOutcome) bool { return !f.ChangesPrefix(prefix) || !which(&f) })
}

// wasExecuted reports whether the transaction changed what is stored.
func wasExecuted(f *simulator.TxnOutcome) bool { return f.Status == http.StatusOK }

// wasExecutedValue is wasExecuted for values.
func wasExecutedValue(f simulator.TxnOutcome) bool { return wasExecuted(&f) }

// failedAfterNewer reports whether the transaction came after newer ones of the same
// client and failed.
func failedAfterNewer(f *simulator.TxnOutcome) bool {
	return f.Late && f.Newer > 0 && f.Status != 0 && f.Status != http.StatusOK
}

// mustBeExecutedLate checks that one of the transactions was executed, or refused,
// after newer ones of the same client had been executed, and after all the times
// given.
func mustBeExecutedLate(t *testing.T, what string, hit []simulator.TxnOutcome, after ...time.Time) {
	t.Helper()
	for _, f := range hit {
		if f.Newer > 0 && !slices.ContainsFunc(after, func(x time.Time) bool { return x.IsZero() || !f.Done.After(x) }) {
			return
		}
	}
	t.Errorf("%s: none came late, after newer ones and after %v: %+v", what, after, hit)
}

// refusedByGuardOn are the transactions that came after newer ones and failed at a
// guard on a key with the prefix.
func refusedByGuardOn(prefix string) func(*simulator.TxnOutcome) bool {
	return func(f *simulator.TxnOutcome) bool {
		return failedAfterNewer(f) && slices.ContainsFunc(f.Failed, func(k string) bool { return strings.HasPrefix(k, prefix) })
	}
}

// endFaultsAndWait ends all faults of transactions, and gives the jobs some time.
func endFaultsAndWait(sim *simulator.Simulation, d time.Duration) {
	sim.State.InjectTxnFaults(0)
	markFaultsOver(sim)
	time.Sleep(d)
}

// isFinalRecordOf reports whether a transaction replaces a job by its final record.
func isFinalRecordOf(x *wire.Txn, id wire.JobID) bool {
	return slices.ContainsFunc(x.Writes, func(w wire.Write) bool { return w.DeleteKey == store.JobKey(id) })
}

// isCancellationOf reports whether a transaction is a user's cancellation of a job.
func isCancellationOf(x *wire.Txn, id wire.JobID) bool {
	return slices.ContainsFunc(x.Writes, func(w wire.Write) bool {
		var rec store.JobRecord
		return w.PutKey == store.JobKey(id) && wire.Decode(w.Value, &rec) == nil && rec.Status == wire.StatusCancelled
	})
}
