package intake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// maxCancelTries bounds how often a cancellation is tried. It is tried again if the job's
// record changed between its read and its write, or is too large. The record of a live job
// changes only when the job is cancelled or ends.
const maxCancelTries = 4

var (
	// errJobChanged is returned if a job's record changed after it was read. The
	// cancellation is tried again with the record that is stored then.
	errJobChanged = errors.New("job changed")
	// errRecordTooLarge is returned if the store refused a cancelled job's record as
	// invalid. The cancellation is tried again with a smaller record.
	errRecordTooLarge = errors.New("job record too large")
)

// cancel handles a cancellation. It confirms the cancellation once it is certain that the
// job is cancelled or had ended before.
func (in *Intake) cancel(ctx context.Context, r *http.Request, params httprouter.Params) response {
	if _, err := wire.ReadBody(r.Body, wire.MaxBodyBytes); errors.Is(err, wire.ErrBodyTooLarge) {
		return rejected(http.StatusRequestEntityTooLarge, err.Error())
	}
	id := wire.JobID(params.ByName("id"))
	if !id.Valid() {
		return noSuchJob
	}
	mustShrink := false
	for range maxCancelTries {
		resp, err := in.tryCancel(ctx, id, mustShrink)
		switch {
		case err == nil:
			return resp
		case errors.Is(err, errRecordTooLarge) && !mustShrink:
			mustShrink = true
		case !errors.Is(err, errJobChanged):
			return storeUnavailable
		}
	}
	return storeUnavailable
}

// tryCancel reads the record of a job and replaces it by a cancelled one. If mustShrink is
// set, the cancelled record has fewer fields.
func (in *Intake) tryCancel(ctx context.Context, id wire.JobID, mustShrink bool) (response, error) {
	if final, ok := in.finals.get(id); ok {
		return summary(id, final.Status), nil
	}
	key := store.JobKey(id)
	entry, err := in.store.Get(ctx, store.ClassUser, key)
	if errors.Is(err, store.ErrNotFound) {
		return in.cancelWithoutRecord(ctx, id)
	}
	if err != nil {
		return response{}, err
	}
	rec, err := store.DecodeJob(key, entry.Value)
	if err != nil {
		in.UndecodableLog.LogOnce(key, err)
		return response{}, err
	}
	if rec.Status == wire.StatusCancelled {
		in.recordConfirmed(wire.JobState{ID: id, Status: wire.StatusCancelled})
		return response{}, errJobChanged // the next try responds with the final state
	}
	rec.Status, rec.CancelledAt = wire.StatusCancelled, wire.TimestampOf(time.Now())
	in.feasibility.shrinkToFit(&rec, mustShrink)
	return in.storeCancellation(ctx, &rec, entry.Revision)
}

// storeCancellation replaces a job's record, which was read at readRevision, by a cancelled
// one.
func (in *Intake) storeCancellation(ctx context.Context, rec *store.JobRecord, readRevision wire.Revision) (response, error) {
	id := rec.Spec.ID
	key := store.JobKey(id)
	err := commit(ctx, in.store, wire.Txn{
		Guards: []wire.Guard{{Key: key, Revision: readRevision}},
		Writes: []wire.Write{{PutKey: key, Value: wire.Encode(rec)}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		in.log.Info("job cancelled", "job", id)
		in.recordConfirmed(wire.JobState{ID: id, Status: wire.StatusCancelled})
		return summary(id, wire.StatusCancelled), nil
	case errors.As(err, &conflict):
		return response{}, errJobChanged // done or cancelled since the read
	case errors.Is(err, store.ErrInvalidRequest):
		return response{}, errRecordTooLarge
	default:
		return response{}, err
	}
}

// cancelWithoutRecord responds for a job that has no live record.
func (in *Intake) cancelWithoutRecord(ctx context.Context, id wire.JobID) (response, error) {
	state, err := in.state(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return noSuchJob, nil
	case err != nil:
		return response{}, err
	case state.Status.IsFinal():
		return summary(id, state.Status), nil
	default:
		return response{}, errJobChanged // submitted between the two reads
	}
}
