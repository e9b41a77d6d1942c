package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// firstCommitRetry and lastCommitRetry are the first and the last pause before a
// transaction is retried that was refused for the rate alone. The pauses double.
const (
	firstCommitRetry = 50 * time.Millisecond
	lastCommitRetry  = 200 * time.Millisecond
)

// state returns the state of a job, as new as the store is now: from the live
// record if there is one, else from the final one (the package comment has the
// reasons). The error is store.ErrMissing if the job was never accepted.
func (in *Intake) state(ctx context.Context, id wire.JobID) (wire.JobState, error) {
	if final, ok := in.finals.get(id); ok {
		return final, nil
	}
	job, err := in.jobs.Get(ctx, id)
	if errors.Is(err, store.ErrMissing) {
		return in.readFinalState(ctx, id)
	}
	if err != nil {
		return wire.JobState{}, err
	}
	live := wire.JobState{ID: id, Status: job.Status}
	in.confirm(live)
	return live, nil
}

// readFinalState reads the final record of a job and remembers its state.
func (in *Intake) readFinalState(ctx context.Context, id wire.JobID) (wire.JobState, error) {
	key := store.FinalKey(id)
	entry, err := in.store.Get(ctx, store.User, key)
	if err != nil {
		return wire.JobState{}, err
	}
	var rec store.FinalRecord
	if err := wire.Decode(entry.Value, &rec); err != nil {
		in.Undecodable.Note(key, err)
		return wire.JobState{}, err
	}
	final := wire.JobState{ID: id, Status: rec.Status, Done: rec.Done}
	in.finals.put(final)
	return final, nil
}

// confirm remembers a state that is about to be confirmed to a user. A
// cancellation is added to the log first, so that the updates which this node
// sends to its peers cover it.
func (in *Intake) confirm(state wire.JobState) {
	if state.Status == wire.Cancelled {
		in.cancels.Add(state.ID, 0)
	}
	in.finals.put(state)
}

// commit executes a user's transaction. A refusal for the rate alone passes within
// a fraction of a second, so it is retried a few times, well within the time in
// which users expect a response; every other error is returned at once.
func (in *Intake) commit(ctx context.Context, txn wire.Txn) error {
	for pause := firstCommitRetry; ; pause *= 2 {
		_, err := in.store.Commit(ctx, store.User, txn)
		if !errors.Is(err, store.ErrBusy) || pause > lastCommitRetry {
			return err
		}
		jitter := rand.N(pause / 2)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause + jitter):
		}
	}
}
