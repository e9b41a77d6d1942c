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
	// refusal says why the request can't be served now, so that the user should
	// retry it; empty: the response is not a refusal.
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

// respond writes a response.
func (in *Intake) respond(w http.ResponseWriter, op Operation, resp response) {
	if in.endsConnection(resp.status) {
		w.Header().Set("Connection", "close")
	}
	if resp.refusal == "" {
		wire.WriteResponse(w, resp.status, resp.body)
		return
	}
	in.log.Debug("request refused", "op", op, "status", resp.status, "reason", resp.refusal)
	wire.WriteRetryableError(w, resp.status, resp.refusal, retryAfterSeconds)
}

// endsConnection reports whether the connection must not be used again: a body
// that is too large was not read to its end, and a user who is refused since this
// node can't reach the store would retry here on the same connection, while on a
// new one the load balancer may choose a node that can serve.
func (in *Intake) endsConnection(status int) bool {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return true
	case http.StatusServiceUnavailable:
		return !in.store.Reachable()
	default:
		return false
	}
}
