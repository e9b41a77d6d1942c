package agents

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/wire"
)

// relayedProbe is the request by which a leader asks another controller to probe an agent.
type relayedProbe struct {
	Addr     string        `cbor:"addr"`
	Commands wire.Commands `cbor:"orders"`
}

// relayRetrySeconds is the Retry-After time of the response to a probe that did not reach the
// agent.
const relayRetrySeconds = 1

// ServeRelayedProbe forwards a probe to an agent that the leader can't reach itself, and
// returns the agent's response. It refuses requests with commands: a leader sends its
// launches itself, as it has to account for them.
func (c *Client) ServeRelayedProbe(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	probe, ok := readRelayedProbe(r)
	if !ok {
		wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a question to a worker"})
		return
	}
	heartbeat, status, err := c.Send(r.Context(), probe.Addr, probe.Commands, ProbeTimeout)
	if err != nil {
		wire.WriteRetryableError(w, http.StatusBadGateway, "worker not reached", relayRetrySeconds)
		return
	}
	wire.WriteResponse(w, status, heartbeat)
}

// readRelayedProbe reads a probe from a request. ok is false if the request can't be read, has
// no address of an agent, or contains commands.
func readRelayedProbe(r *http.Request) (probe relayedProbe, ok bool) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
	if err != nil || wire.Decode(raw, &probe) != nil {
		return relayedProbe{}, false
	}
	return probe, probe.Addr != "" && len(probe.Commands.Commands) == 0
}
