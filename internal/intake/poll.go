package intake

import (
	"context"
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// poll responds with the state of a job.
func (in *Intake) poll(ctx context.Context, _ *http.Request, params httprouter.Params) response {
	id := wire.JobID(params.ByName("id"))
	if !id.Valid() {
		return noSuchJob
	}
	state, err := in.state(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return noSuchJob
	case err != nil:
		return storeUnavailable
	case state.Status == wire.StatusQueued:
		state = in.withTaskCounts(ctx, state)
	}
	return response{status: http.StatusOK, body: state}
}

// withTaskCounts returns the state of a live job with the numbers of its tasks.
func (in *Intake) withTaskCounts(ctx context.Context, state wire.JobState) wire.JobState {
	count := in.counts.getOrRead(ctx, state.ID)
	// While the tasks were counted, this node may have confirmed to a user that the job
	// has ended. No poll may then report an earlier state.
	if final, ok := in.finals.get(state.ID); ok {
		return final
	}
	state.Done, state.Running = count.done, count.running
	if state.Running > 0 {
		state.Status = wire.StatusRunning
	}
	return state
}
