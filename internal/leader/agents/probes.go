package agents

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Probe asks a worker for its report and shows it our token.
func (dp *Dispatcher) Probe(m *cluster.Machine) {
	if m.CommandInFlight || m.Addr == "" {
		return
	}
	session := max(m.Epoch, 1)
	m.CommandInFlight = true
	addr, cmd, asked := m.Addr, wire.Commands{Token: dp.Fencing.Token, Epoch: session}, Position{m.Epoch, m.Sequence}
	ask := func(ctx context.Context) (*wire.Heartbeat, int, error) {
		return dp.Agents.Send(ctx, addr, cmd, ProbeTimeout)
	}
	// What doesn't answer this node is asked once more through another one: it
	// may be only the way from here that is cut.
	relay := wire.NodeID("")
	if m.UnansweredProbes > 0 {
		if relay = dp.Agents.RandomConnectedPeer(time.Now()); relay != "" {
			ask = func(ctx context.Context) (*wire.Heartbeat, int, error) {
				return dp.Agents.ProbeThroughPeer(ctx, relay, addr, cmd)
			}
		}
	}
	dp.Spawn(func(ctx context.Context) {
		rep, status, err := ask(ctx)
		if err == nil && status == http.StatusConflict && rep.Epoch != cmd.Epoch && rep.Token <= cmd.Token {
			// Wrong session: now we know the right one.
			cmd.Epoch = rep.Epoch
			rep, status, err = ask(ctx)
		}
		dp.Post(ProbeAnswer{CommandAnswer{m, asked, cmd, nil, rep, status, err}, relay != ""})
	})
}

// relayedProbe is one that another node passes on to a worker.
type relayedProbe struct {
	Addr     string        `cbor:"addr"`
	Commands wire.Commands `cbor:"orders"`
}

// ServeRelayedProbe handles a leader's question to a worker that the leader can't reach.
// It passes on no launches: those the leader keeps account of itself.
func (c *Client) ServeRelayedProbe(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	var a relayedProbe
	if err != nil || wire.Decode(raw, &a) != nil || a.Addr == "" || len(a.Commands.Commands) > 0 {
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a question to a worker"})
		return
	}
	rep, status, err := c.Send(r.Context(), a.Addr, a.Commands, ProbeTimeout)
	if err != nil {
		wire.RefuseRetryable(w, http.StatusBadGateway, "worker not reached", 1)
		return
	}
	wire.Answer(w, status, rep)
}

// MaxProbesPerTick is how many machines are asked directly in a tenth of a second.
// All at once, those of a large deployment would hold up the renewals and the
// reports behind them.
const MaxProbesPerTick = 25

// AnnounceToken shows our token to the machines that have not seen it and whose
// address is known, so that a new leader's report round takes a moment and
// not a report's interval.
func (dp *Dispatcher) AnnounceToken() {
	if dp.TokenAnnounced || !dp.State.Recovered || !dp.Lease.Deciding() {
		return
	}
	n := 0
	for _, m := range dp.State.Machines {
		if m.Booting || m.Token >= dp.State.FirstToken || m.CommandInFlight || m.Addr == "" || m.UnansweredProbes > 0 {
			continue
		}
		if n++; n > MaxProbesPerTick {
			return
		}
		dp.Probe(m)
	}
	dp.TokenAnnounced = n == 0 && dp.State.MachineListReceived
}
