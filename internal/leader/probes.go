package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// probe asks a worker for its report and shows it our token.
func (dp *dispatcher) probe(m *cluster.Machine) {
	if m.CommandInFlight || m.Addr == "" {
		return
	}
	session := max(m.Epoch, 1)
	m.CommandInFlight = true
	addr, cmd, asked := m.Addr, wire.Commands{Token: dp.fencing.token, Epoch: session}, heartbeatPosition{m.Epoch, m.Sequence}
	ask := func(ctx context.Context) (*wire.Heartbeat, int, error) {
		return dp.leader.sendCommands(ctx, addr, cmd, probeTimeout)
	}
	// What doesn't answer this node is asked once more through another one: it
	// may be only the way from here that is cut.
	relay := wire.NodeID("")
	if m.UnansweredProbes > 0 {
		if relay = dp.leader.randomConnectedPeer(time.Now()); relay != "" {
			ask = func(ctx context.Context) (*wire.Heartbeat, int, error) {
				return dp.leader.probeThroughPeer(ctx, relay, addr, cmd)
			}
		}
	}
	dp.spawn(func(ctx context.Context) {
		rep, status, err := ask(ctx)
		if err == nil && status == http.StatusConflict && rep.Epoch != cmd.Epoch && rep.Token <= cmd.Token {
			// Wrong session: now we know the right one.
			cmd.Epoch = rep.Epoch
			rep, status, err = ask(ctx)
		}
		dp.post(probeAnswer{commandAnswer{m, asked, cmd, nil, rep, status, err}, relay != ""})
	})
}

// relayedProbe is one that another node passes on to a worker.
type relayedProbe struct {
	Addr     string        `cbor:"addr"`
	Commands wire.Commands `cbor:"orders"`
}

// randomConnectedPeer is some other node that is linked to this one.
func (l *Leader) randomConnectedPeer(now time.Time) wire.NodeID {
	var near []wire.NodeID
	for id, o := range l.Mesh.View().Peers {
		if o.Connected(now) {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// probeThroughPeer asks a worker for its report through another node.
func (l *Leader) probeThroughPeer(ctx context.Context, node wire.NodeID, addr string, cmd wire.Commands) (*wire.Heartbeat, int, error) {
	status, raw, err := l.Mesh.Relay(ctx, node, "/peer/ask", relayedProbe{addr, cmd})
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Heartbeat
	if status != http.StatusOK && status != http.StatusConflict || wire.Decode(raw, &rep) != nil {
		return nil, status, errors.New("not reached through " + string(node))
	}
	return &rep, status, nil
}

// ServeRelayedProbe handles a leader's question to a worker that the leader can't reach.
// It passes on no launches: those the leader keeps account of itself.
func (l *Leader) ServeRelayedProbe(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	var a relayedProbe
	if err != nil || wire.Decode(raw, &a) != nil || a.Addr == "" || len(a.Commands.Commands) > 0 {
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a question to a worker"})
		return
	}
	rep, status, err := l.sendCommands(r.Context(), a.Addr, a.Commands, probeTimeout)
	if err != nil {
		wire.RefuseRetryable(w, http.StatusBadGateway, "worker not reached", 1)
		return
	}
	wire.Answer(w, status, rep)
}

// maxProbesPerTick is how many machines are asked directly in a tenth of a second.
// All at once, those of a large deployment would hold up the renewals and the
// reports behind them.
const maxProbesPerTick = 25

// announceToken shows our token to the machines that have not seen it and whose
// address is known, so that a new leader's report round takes a moment and
// not a report's interval.
func (dp *dispatcher) announceToken() {
	if dp.tokenAnnounced || !dp.state.Recovered || !dp.lease.Deciding() {
		return
	}
	n := 0
	for _, m := range dp.state.Machines {
		if m.Booting || m.Token >= dp.state.FirstToken || m.CommandInFlight || m.Addr == "" || m.UnansweredProbes > 0 {
			continue
		}
		if n++; n > maxProbesPerTick {
			return
		}
		dp.probe(m)
	}
	dp.tokenAnnounced = n == 0 && dp.state.MachineListReceived
}
