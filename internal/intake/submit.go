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

// submit handles a submission. The job is accepted once its record is stored.
func (in *Intake) submit(ctx context.Context, r *http.Request, _ httprouter.Params) response {
	raw, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
	if errors.Is(err, wire.ErrBodyTooLarge) {
		return rejected(http.StatusRequestEntityTooLarge, err.Error())
	}
	if err != nil {
		return rejected(http.StatusBadRequest, "body not readable")
	}
	spec, err := wire.DecodeJobSpec(raw)
	if err != nil {
		return in.rejectMalformed(err)
	}
	if final, ok := in.finals.get(spec.ID); ok {
		return summary(final.ID, final.Status)
	}
	if err := in.feasibility.check(&spec); err != nil {
		return in.declineUnlessKnown(ctx, spec.ID, err)
	}
	return in.accept(ctx, &spec)
}

// rejectMalformed responds to a submission that is not a valid job spec.
func (in *Intake) rejectMalformed(err error) response {
	in.log.Info("job rejected", "reason", "malformed submission", "err", err)
	var invalid wire.FieldError
	errors.As(err, &invalid)
	body := wire.ErrorBody{Error: invalid.Reason, Field: invalid.Field}
	return response{status: http.StatusBadRequest, body: body}
}

// declineUnlessKnown rejects a submission that is infeasible, and refuses one whose
// feasibility can't be decided now. A job that was accepted before stays accepted, though
// limits and machine types may have changed, so its repeated submission gets the job's
// status.
func (in *Intake) declineUnlessKnown(ctx context.Context, id wire.JobID, err error) response {
	if resp, known := in.knownJob(ctx, id); known {
		return resp
	}
	var infeasible infeasibleError
	if !errors.As(err, &infeasible) {
		return refused(http.StatusServiceUnavailable, err.Error())
	}
	in.log.Info("job rejected", "job", id, "reason", infeasible)
	return rejected(http.StatusUnprocessableEntity, infeasible.Error())
}

// accept stores the record of a new job. If the job is already known, the response is the
// job's status.
func (in *Intake) accept(ctx context.Context, spec *wire.JobSpec) response {
	err := in.createRecord(ctx, spec)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		in.log.Info("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
		return response{status: http.StatusCreated, body: wire.JobSummary{ID: spec.ID, Status: wire.StatusQueued}}
	case errors.As(err, &conflict):
		if resp, known := in.knownJob(ctx, spec.ID); known {
			return resp
		}
		return storeUnavailable
	case errors.Is(err, store.ErrInvalidRequest):
		// The record exceeds the store's limit on the size of a value, and a retry would
		// not change that. But the job may have been accepted under a higher limit, and
		// then it stays accepted.
		return in.declineUnlessKnown(ctx, spec.ID, errRecordOverLimit)
	default:
		return storeUnavailable
	}
}

// createRecord stores the record of a new job, unless the job has a live or a final
// record.
func (in *Intake) createRecord(ctx context.Context, spec *wire.JobSpec) error {
	const absent wire.Revision = 0
	rec := store.JobRecord{
		Spec:          *spec,
		Status:        wire.StatusQueued,
		AcceptedAt:    wire.TimestampOf(time.Now()),
		TasksPerChunk: store.TasksPerChunkForLimit(in.settings.State.Strictest().ValueKB),
	}
	return commit(ctx, in.store, wire.Txn{
		Guards: []wire.Guard{
			{Key: store.JobKey(spec.ID), Revision: absent},
			{Key: store.FinalKey(spec.ID), Revision: absent},
		},
		Writes: []wire.Write{{PutKey: store.JobKey(spec.ID), Value: wire.Encode(rec)}},
	})
}

// knownJob responds with the status of a job that was accepted before. For a job that
// never was, known is false. While the store can't be read, the job may have been
// accepted: known is true, and the response is a refusal.
func (in *Intake) knownJob(ctx context.Context, id wire.JobID) (resp response, known bool) {
	state, err := in.state(ctx, id)
	switch {
	case err == nil:
		return summary(state.ID, state.Status), true
	case errors.Is(err, store.ErrNotFound):
		return response{}, false
	default:
		return storeUnavailable, true
	}
}
