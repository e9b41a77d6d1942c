package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/wire"
)

// probe asks a worker for its report and shows it our token.
func (t *term) probe(m *machine) {
	if m.busy || m.addr == "" {
		return
	}
	shift := max(m.shift, 1)
	m.busy = true
	addr, cmd, asked := m.addr, wire.Commands{Token: t.token, Session: shift}, position{m.shift, m.tally}
	ask := func() (*wire.Report, int, error) { return t.l.post(t.ctx, addr, cmd, probeTimeout) }
	// What doesn't answer this node is asked once more through another one: it
	// may be only the way from here that is cut.
	helper := wire.NodeID("")
	if m.probes > 0 {
		if helper = t.l.helper(time.Now()); helper != "" {
			ask = func() (*wire.Report, int, error) { return t.l.askVia(t.ctx, helper, addr, cmd) }
		}
	}
	go func() {
		rep, status, err := ask()
		if err == nil && status == http.StatusConflict && rep.Session != cmd.Session && rep.Token <= cmd.Token {
			// Wrong session: now we know the right one.
			cmd.Session = rep.Session
			rep, status, err = ask()
		}
		t.post(func() {
			t.commanded(m, asked, cmd, nil, rep, status, err)
			m.lostToPeer = err != nil && helper != ""
		})
	}()
}

// question is one that another node passes on to a worker.
type question struct {
	Addr   string        `cbor:"addr"`
	Orders wire.Commands `cbor:"orders"`
}

// helper is some other node that is linked to this one.
func (l *Leader) helper(now time.Time) wire.NodeID {
	var near []wire.NodeID
	for id, o := range l.Mesh.View().Others {
		if o.Near(now) {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// askVia asks a worker for its report through another node.
func (l *Leader) askVia(ctx context.Context, node wire.NodeID, addr string, cmd wire.Commands) (*wire.Report, int, error) {
	status, raw, err := l.Mesh.Relay(ctx, node, "/peer/ask", question{addr, cmd})
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Report
	if status != http.StatusOK && status != http.StatusConflict || wire.Decode(raw, &rep) != nil {
		return nil, status, errors.New("not reached through " + string(node))
	}
	return &rep, status, nil
}

// Ask handles a leader's question to a worker that the leader can't reach.
// It passes on no launches: those the leader keeps account of itself.
func (l *Leader) Ask(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	var a question
	if err != nil || wire.Decode(raw, &a) != nil || a.Addr == "" || len(a.Orders.Commands) > 0 {
		wire.Answer(w, http.StatusBadRequest, wire.Reason{Error: "not a question to a worker"})
		return
	}
	rep, status, err := l.post(r.Context(), a.Addr, a.Orders, probeTimeout)
	if err != nil {
		wire.Refuse(w, http.StatusBadGateway, "worker not reached", 1)
		return
	}
	wire.Answer(w, status, rep)
}

// probesMost is how many machines are asked directly in a tenth of a second.
// All at once, those of a large deployment would hold up the renewals and the
// reports behind them.
const probesMost = 25

// probeSome shows our token to the machines that have not seen it and whose
// address is known, so that a new leader's report round takes a moment and
// not a report's interval.
func (t *term) probeSome() {
	if t.probed || !t.recovered || !t.lease.Deciding() {
		return
	}
	n := 0
	for _, m := range t.machines {
		if m.booting || m.baton >= t.firstToken || m.busy || m.addr == "" || m.probes > 0 {
			continue
		}
		if n++; n > probesMost {
			return
		}
		t.probe(m)
	}
	t.probed = n == 0 && t.listed
}
