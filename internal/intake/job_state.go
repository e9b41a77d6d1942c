package intake

import (
	"context"
	"errors"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// state returns the state of a job, no older than the store at the time of the call. It is
// read from the live record if there is one, else from the final one; the package comment
// says why. The error is store.ErrNotFound if the job was never accepted.
func (in *Intake) state(ctx context.Context, id wire.JobID) (wire.JobState, error) {
	if final, ok := in.finals.get(id); ok {
		return final, nil
	}
	job, err := in.jobs.Get(ctx, id)
	if errors.Is(err, store.ErrNotFound) {
		return in.readFinalState(ctx, id)
	}
	if err != nil {
		return wire.JobState{}, err
	}
	live := wire.JobState{ID: id, Status: job.Status}
	in.recordConfirmed(live)
	return live, nil
}

// readFinalState reads the final record of a job and remembers its state.
func (in *Intake) readFinalState(ctx context.Context, id wire.JobID) (wire.JobState, error) {
	key := store.FinalKey(id)
	entry, err := in.store.Get(ctx, store.ClassUser, key)
	if err != nil {
		return wire.JobState{}, err
	}
	var rec store.FinalRecord
	if err := wire.Decode(entry.Value, &rec); err != nil {
		in.UndecodableLog.LogOnce(key, err)
		return wire.JobState{}, err
	}
	final := wire.JobState{ID: id, Status: rec.Status, Done: rec.Done}
	in.finals.put(final)
	return final, nil
}

// recordConfirmed records a state before it is confirmed to a user. A cancellation is added
// to the cancellation log first, because the updates that this node sends to its peers
// must contain every cancellation that it has confirmed.
func (in *Intake) recordConfirmed(state wire.JobState) {
	if state.Status == wire.StatusCancelled {
		in.cancelLog.Add(state.ID, 0)
	}
	in.finals.put(state)
}
