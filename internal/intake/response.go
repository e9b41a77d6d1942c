package intake

import (
	"net/http"

	"lilaclead/internal/wire"
)

// retryAfterSeconds is the Retry-After of refused requests.
const retryAfterSeconds = 1

// response is the response to a user's request.
type response struct {
	status int
	// body is the CBOR body, unless the request was refused.
	body any
	// refusal says why the request can't be served now, and the user is asked to retry
	// it. Empty: the response is no refusal.
	refusal string
}

// refused returns a response that asks the user to retry.
func refused(status int, reason string) response {
	return response{status: status, refusal: reason}
}

// rejected returns an error response that a retry would not change.
func rejected(status int, reason string) response {
	return response{status: status, body: wire.ErrorBody{Error: reason}}
}

// summary returns a response with a job's status.
func summary(id wire.JobID, status wire.Status) response {
	return response{status: http.StatusOK, body: wire.JobSummary{ID: id, Status: status}}
}

var (
	storeUnavailable = refused(http.StatusServiceUnavailable, "state service not available")
	noSuchJob        = rejected(http.StatusNotFound, "no such job")
)

func (in *Intake) respond(w http.ResponseWriter, op Operation, resp response) {
	if in.mustCloseConnection(resp.status) {
		w.Header().Set("Connection", "close")
	}
	if resp.refusal == "" {
		wire.WriteResponse(w, resp.status, resp.body)
		return
	}
	in.log.Debug("request refused", "op", op, "status", resp.status, "reason", resp.refusal)
	wire.WriteRetryableError(w, resp.status, resp.refusal, retryAfterSeconds)
}

// mustCloseConnection reports whether the client must not use the connection again. If the
// body was too large, its rest was not read. If this node can't reach the store, a retry
// on the same connection would reach this node again; for a new connection, the load
// balancer may choose a node that can serve it.
func (in *Intake) mustCloseConnection(status int) bool {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return true
	case http.StatusServiceUnavailable:
		return !in.store.Reachable()
	default:
		return false
	}
}
