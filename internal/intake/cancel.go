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

// maxCancelTries bounds how often a cancellation is tried whose record changes
// meanwhile; a live job's record changes once, when it ends.
const maxCancelTries = 4

var (
	// errChanged: the record changed meanwhile; it is read again.
	errChanged = errors.New("job changed")
	// errRecordTooLarge: the state service refused the record as invalid.
	errRecordTooLarge = errors.New("job record too large")
)

// cancel answers once the job is surely cancelled, or over.
func (in *Intake) cancel(ctx context.Context, r *http.Request, p httprouter.Params) answer {
	if _, err := wire.ReadBody(r.Body, wire.MaxBody); errors.Is(err, wire.ErrTooLarge) {
		return rejection(http.StatusRequestEntityTooLarge, err.Error())
	}
	id := wire.JobID(p.ByName("id"))
	if !id.Valid() {
		return noSuchJob
	}
	shrink := false
	for range maxCancelTries {
		a, err := in.tryCancel(ctx, id, shrink)
		switch {
		case err == nil:
			return a
		case errors.Is(err, errRecordTooLarge) && !shrink:
			shrink = true
		case !errors.Is(err, errChanged):
			return unavailable
		}
	}
	return unavailable
}

// tryCancel reads the job's record and replaces it by a cancelled one, with
// fewer fields if it is to shrink.
func (in *Intake) tryCancel(ctx context.Context, id wire.JobID, shrink bool) (answer, error) {
	if s, ok := in.finals.get(id); ok {
		return summary(id, s.Status), nil
	}
	e, err := in.store.Get(ctx, store.User, store.JobKey(id))
	if errors.Is(err, store.ErrMissing) {
		return in.cancelMissing(ctx, id)
	}
	if err != nil {
		return answer{}, err
	}
	rec, err := store.DecodeJob(store.JobKey(id), e.Value)
	if err != nil {
		in.Undecodable.Note(store.JobKey(id), err)
		return answer{}, err
	}
	if rec.Status == wire.Cancelled {
		in.confirm(wire.JobState{ID: id, Status: wire.Cancelled})
		return answer{}, errChanged
	}
	rec.Status, rec.CancelledAt = wire.Cancelled, wire.TimestampOf(time.Now())
	in.shrinkToFit(&rec, shrink)
	err = in.commit(ctx, wire.Txn{
		Guards: []wire.Guard{{Key: store.JobKey(id), Revision: e.Revision}},
		Writes: []wire.Write{{Put: store.JobKey(id), Value: wire.Encode(rec)}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		in.log.Info("cancelled by its user", "job", id)
		in.confirm(wire.JobState{ID: id, Status: wire.Cancelled})
		return summary(id, wire.Cancelled), nil
	case errors.As(err, &conflict):
		return answer{}, errChanged // done or cancelled meanwhile
	case errors.Is(err, store.ErrInvalid):
		return answer{}, errRecordTooLarge
	default:
		return answer{}, err
	}
}

// cancelMissing answers for a job without a live record.
func (in *Intake) cancelMissing(ctx context.Context, id wire.JobID) (answer, error) {
	s, err := in.state(ctx, id)
	switch {
	case errors.Is(err, store.ErrMissing):
		return noSuchJob, nil
	case err != nil:
		return answer{}, err
	case s.Status.Final():
		return summary(id, s.Status), nil
	default:
		return answer{}, errChanged // submitted between the two reads
	}
}

// shrinkToFit drops what a cancelled job can do without from a record that only
// just fitted without its end, or under former limits: nothing of the job is
// placed any more, so it needs no list of machine types.
func (in *Intake) shrinkToFit(rec *store.JobRecord, shrink bool) {
	if !shrink && in.storable(rec) {
		return
	}
	rec.Spec.MachineTypes = nil
	if !in.storable(rec) {
		rec.Spec.Class, rec.Spec.Image = "", "" // names of 120 bytes, each of which may be escaped
	}
}
