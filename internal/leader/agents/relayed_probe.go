package agents

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/wire"
)

// relayedProbe is a probe that another controller passes on to an agent.
type relayedProbe struct {
	Addr     string        `cbor:"addr"`
	Commands wire.Commands `cbor:"orders"`
}

// relayRetrySeconds is after how many seconds a leader may send a probe again that did not
// reach the agent.
const relayRetrySeconds = 1

// ServeRelayedProbe passes a probe on to an agent that the leader can't reach itself. It
// passes on no launches: the leader accounts for those itself.
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

// readRelayedProbe reads a probe from a request; ok is false if it is none.
func readRelayedProbe(r *http.Request) (probe relayedProbe, ok bool) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if err != nil || wire.Decode(raw, &probe) != nil {
		return relayedProbe{}, false
	}
	return probe, probe.Addr != "" && len(probe.Commands.Commands) == 0
}
