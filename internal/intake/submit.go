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

// impossible says why a job can never run.
type impossible string

// What makes a job impossible.
const (
	unknownTeam   impossible = "unknown team"
	overTeamLimit impossible = "needs more than the team's limit"
	tooLarge      impossible = "too large to be stored"
	fitsNoMachine impossible = "a task fits no allowed machine type"
)

// errUndecided is returned while the cloud's offer is not known.
var errUndecided = errors.New("machine types not known yet")

// submit accepts a job, once its record is stored.
func (in *Intake) submit(ctx context.Context, r *http.Request, _ httprouter.Params) answer {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if errors.Is(err, wire.ErrTooLarge) {
		return rejection(http.StatusRequestEntityTooLarge, err.Error())
	}
	if err != nil {
		return rejection(http.StatusBadRequest, "body not readable")
	}
	spec, err := wire.DecodeJobSpec(raw)
	if err != nil {
		var field wire.FieldError
		errors.As(err, &field)
		in.log.Info("refuses a malformed submission", "err", err)
		return answer{status: http.StatusBadRequest, body: wire.ErrorBody{Error: field.Reason, Field: field.Field}}
	}
	if s, ok := in.finals.get(spec.ID); ok {
		return summary(s.ID, s.Status)
	}
	why, err := in.judge(&spec)
	if why == "" && err == nil {
		return in.accept(ctx, &spec)
	}
	// A job that was accepted stays so, whatever is offered now.
	if a, known := in.knownJob(ctx, spec.ID); known {
		return a
	}
	if err != nil {
		return refusal(http.StatusServiceUnavailable, err.Error())
	}
	in.log.Info("refuses a job that can never run", "job", spec.ID, "why", why)
	return rejection(http.StatusUnprocessableEntity, string(why))
}

// accept stores a new job's record.
func (in *Intake) accept(ctx context.Context, spec *wire.JobSpec) answer {
	rec := store.JobRecord{
		Spec:       *spec,
		Status:     wire.Queued,
		AcceptedAt: wire.TimestampOf(time.Now()),
		Chunk:      store.ChunkTasksFor(in.settings.State.Least().ValueKB),
	}
	err := in.commit(ctx, wire.Txn{
		Guards: []wire.Guard{{Key: store.JobKey(spec.ID), Revision: 0}, {Key: store.FinalKey(spec.ID), Revision: 0}},
		Writes: []wire.Write{{Put: store.JobKey(spec.ID), Value: wire.Encode(rec)}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		in.log.Info("accepts", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
		return answer{status: http.StatusCreated, body: wire.JobSummary{ID: spec.ID, Status: wire.Queued}}
	case errors.As(err, &conflict):
		if a, known := in.knownJob(ctx, spec.ID); known {
			return a
		}
		return unavailable
	case errors.Is(err, store.ErrInvalid):
		// Its record is over the limit of a value, and will be. But it may have
		// been accepted while more was allowed, and then it stays so.
		if a, known := in.knownJob(ctx, spec.ID); known {
			return a
		}
		in.log.Info("refuses a job that can't be stored", "job", spec.ID)
		return rejection(http.StatusUnprocessableEntity, string(tooLarge))
	default:
		return unavailable
	}
}

// knownJob answers for a job that was accepted before, or that may have been as
// the state service can't be read; known is false for one that never was.
func (in *Intake) knownJob(ctx context.Context, id wire.JobID) (a answer, known bool) {
	s, err := in.state(ctx, id)
	switch {
	case err == nil:
		return summary(s.ID, s.Status), true
	case errors.Is(err, store.ErrMissing):
		return answer{}, false
	default:
		return unavailable, true
	}
}

// judge says why a job can never run, "" if it can; errUndecided while that
// can't be told.
func (in *Intake) judge(s *wire.JobSpec) (impossible, error) {
	team, ok := in.settings.Team(s.Team)
	if !ok {
		return unknownTeam, nil
	}
	tasks := float64(s.MinTogether())
	if team.CPUsMax > 0 && tasks*s.CPUs > team.CPUsMax+wire.Eps || team.GPUsMax > 0 && tasks*s.GPUs > team.GPUsMax+wire.Eps {
		return overTeamLimit, nil
	}
	now := wire.TimestampOf(time.Now())
	if !in.storable(&store.JobRecord{Spec: *s, Status: wire.Cancelled, AcceptedAt: now, CancelledAt: now, Chunk: store.ChunkSize}) {
		return tooLarge, nil
	}
	types := in.flavors()
	if types == nil {
		return "", errUndecided
	}
	for i := range types {
		if types[i].Fits(s) {
			return "", nil
		}
	}
	return fitsNoMachine, nil
}

// storable tells whether the state service takes a job's record, now and under
// the limits to come. A job is judged as it is when cancelled, which takes most.
func (in *Intake) storable(rec *store.JobRecord) bool {
	return wire.JSONSize(rec) <= int(in.settings.State.Least().ValueKB*1024)
}
