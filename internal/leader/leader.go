// Package leader is the part of the service that one node at a time runs. While a
// node leads, one term's loop owns the state of jobs and machines; it alone starts
// I/O, whose results come back to it through a channel. Around the loop (term.go):
//
//   - package election says who leads and until when, package delegation who may
//     renew leases for a leader that was lost;
//   - recovery.go, progress.go and cancellations.go read and follow the jobs'
//     records; job.go, chunk.go and attempt.go model them, with the proofs that an
//     attempt has ended;
//   - writer.go decides what is stored next, write.go executes it;
//   - reports.go and commands.go talk to workers; machines.go, liveness.go,
//     reachability.go, partitions.go and leases.go judge what they are and whether
//     their leases have run out;
//   - round.go and gang.go place tasks; demand.go and package rentals rent and
//     return machines.
package leader

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/duty"
	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/reconcile"
	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// Dependencies is what the leader works with.
type Dependencies struct {
	Config  *config.Config
	Net     netio.Net
	Store   *store.Client
	Cloud   *cloud.Client
	Mesh    *peer.Mesh
	Cancels *cancels.Log
	Tuning  *tuning.Current
	Catalog *cluster.MachineCatalog
	Log     *slog.Logger
	Metrics core.Metrics
	// Undecodable is told of records and reports that can't be decoded.
	Undecodable *undecodable.Log
	// Observe is told of what is decided under the leadership's lease; nil: nobody.
	Observe duty.Observer
	// RecordIntents has what is asked of the cloud recorded before it is sent.
	RecordIntents bool
	// Versions is this process among those that negotiate the active version; nil: the
	// part is off.
	Versions *upgrade.Member
	// Sockets is how many connections may go to workers at a time, Workers how
	// many of them one node can hold, and Needed the limit that more need.
	Sockets     int
	Workers     int
	RequiredFDs func(workers int) int
}

// Leader campaigns for the leadership and serves while it holds it.
type Leader struct {
	Dependencies
	candidate *election.Candidate
	term      atomic.Pointer[term]
	// agentContacts names each worker that reports to this node, whoever leads.
	agentContacts   chan wire.MachineID
	agentsInContact atomic.Int64
	agents          *agents.Client
	// delegationBounds bounds for how long leases may be renewed on a leader's behalf;
	// delegate is this node in that part.
	delegationBounds delegation.Bounds
	delegate         *delegation.Delegate
}

// New makes the leader's part of a node.
func New(d Dependencies) *Leader {
	l := &Leader{
		Dependencies:     d,
		candidate:        newCandidate(d),
		agentContacts:    make(chan wire.MachineID, 64),
		delegationBounds: delegation.BoundsOf(d.Config.Settings.Workers),
		agents:           agents.NewClient(d.Net, d.Mesh, d.Sockets),
	}
	l.delegate = newDelegate(d, l.delegationBounds)
	return l
}

func newCandidate(d Dependencies) *election.Candidate {
	o := election.Options(d.Config, d.Store, d.Log, d.Mesh.ObserveToken)
	o.Observe, o.Undecodable = d.Observe, d.Undecodable.Note
	if d.Versions != nil {
		o.Eligible = func() bool { return d.Versions.MayServe() == nil }
	}
	return election.New(o)
}

func newDelegate(d Dependencies, bounds delegation.Bounds) *delegation.Delegate {
	s := &d.Config.Settings
	return delegation.New(delegation.Config{
		Bounds: bounds, Mesh: d.Mesh, Cancels: d.Cancels, Nodes: s.Size, Workers: d.Workers,
		ReportEvery: s.Workers.HeartbeatInterval.Duration(), MaxCommands: agents.MaxCommands,
	})
}

// Leads tells whether this node holds the leadership now.
func (l *Leader) Leads() bool { t := l.term.Load(); return t != nil && t.Lease.Answering() }

// WorkersInContact is how many workers turned to this node lately.
func (l *Leader) WorkersInContact() int { return int(l.agentsInContact.Load()) }

// Run campaigns and serves until the context ends.
func (l *Leader) Run(ctx context.Context) {
	var counting sync.WaitGroup
	counting.Go(func() { l.countAgents(ctx) })
	defer counting.Wait()
	for ctx.Err() == nil {
		if lease := l.candidate.Campaign(ctx); lease != nil {
			l.lead(ctx, lease)
		}
	}
}

// lead serves one term of leadership until it is over.
func (l *Leader) lead(ctx context.Context, lease *election.Lease) {
	l.Mesh.ObserveToken(ctx, lease.Token())
	t := newTerm(l, lease)
	l.term.Store(t)
	l.Metrics.BecameLeader()
	l.Log.Info("became leader", "token", lease.Token())
	reason := t.run(ctx)
	l.term.Store(nil)
	l.Log.Info("lost leadership", "token", lease.Token(), "reason", reason)
	t.Wait()
}

// countAgents counts the workers that turn to this node.
func (l *Leader) countAgents(ctx context.Context) {
	seen := map[wire.MachineID]time.Time{}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-l.agentContacts:
			seen[id] = time.Now()
		case now := <-tick.C:
			for id, at := range seen {
				if now.Sub(at) > 6*time.Second {
					delete(seen, id)
				}
			}
			l.agentsInContact.Store(int64(len(seen)))
		}
	}
}

// ServeHeartbeat handles a worker's report.
func (l *Leader) ServeHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if err != nil {
		w.Header().Set("Connection", "close")
		wire.Answer(w, http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: err.Error()})
		return
	}
	var rep wire.Heartbeat
	if err := wire.Decode(raw, &rep); err != nil || rep.Machine == "" {
		l.Undecodable.Note("a report from "+undecodable.Sender(r), err)
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a report"})
		return
	}
	select {
	case l.agentContacts <- rep.Machine:
	default:
	}
	t := l.term.Load()
	if t == nil || !t.Lease.Answering() {
		l.Metrics.Heartbeat("elsewhere")
		if lead := l.currentLeader(time.Now()); lead != "" {
			now := time.Now()
			if !l.delegate.Lately() && l.Mesh.View().Peers[lead].Connected(now) && l.relayHeartbeat(r.Context(), w, lead, &rep) {
				return
			}
			if l.delegate.Returned(rep.Machine, now) && l.answerAsDelegate(w, &rep) {
				return
			}
			wire.Answer(w, http.StatusMisdirectedRequest, wire.Redirect{ReportsTo: lead})
			return
		}
		if l.answerAsDelegate(w, &rep) {
			return
		}
		wire.RefuseRetryable(w, http.StatusServiceUnavailable, "no leader known", 1)
		return
	}
	l.answerFromTerm(r.Context(), w, t, rep, false)
}

// answerAsDelegate renews a worker's lease for a lost leader, if it may.
func (l *Leader) answerAsDelegate(w http.ResponseWriter, rep *wire.Heartbeat) bool {
	o := l.delegate.Answer(rep)
	if o == nil {
		return false
	}
	l.Metrics.Heartbeat("by a delegate")
	wire.Answer(w, http.StatusOK, o)
	return true
}

// currentLeader is the node that leads as far as this node knows of late: by a beat,
// or, when the links between the nodes are down, by the state service. What
// it knew before it was cut off from both is no help: workers would be sent
// to and fro between it and a node that leads no more.
func (l *Leader) currentLeader(now time.Time) wire.NodeID {
	v := l.Mesh.View()
	if v.Leader != "" && now.Sub(v.Peers[v.Leader].LastContact) < 2*peer.AckLifetime {
		return v.Leader
	}
	return l.candidate.Holder(now, peer.AckLifetime)
}

// answerFromTerm has the term's loop answer a report.
func (l *Leader) answerFromTerm(ctx context.Context, w http.ResponseWriter, t *term, rep wire.Heartbeat, relayed bool) {
	ask := reconcile.Call{Heartbeat: rep, Relayed: relayed, Reply: make(chan reconcile.Reply, 1)}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	select {
	case t.heartbeatCalls <- ask:
	case <-t.Done:
	case <-ctx.Done():
	}
	select {
	case a := <-ask.Reply:
		switch {
		case a.Redirect:
			l.Metrics.Heartbeat("sent here")
			wire.Answer(w, http.StatusMisdirectedRequest, wire.Redirect{ReportsTo: l.Config.HostName})
		case a.Commands == nil:
			l.Metrics.Heartbeat("refused")
			wire.RefuseRetryable(w, http.StatusServiceUnavailable, a.Rejected.Error(), 1)
		default:
			l.Metrics.Heartbeat("ok")
			wire.Answer(w, http.StatusOK, a.Commands)
		}
	case <-t.Done:
		wire.RefuseRetryable(w, http.StatusServiceUnavailable, "no longer leads", 1)
	case <-ctx.Done():
		wire.RefuseRetryable(w, http.StatusServiceUnavailable, "busy", 1)
	}
}

// relayHeartbeat passes a report on to the leader, which answers it if the worker
// seems unable to reach the leader itself. A worker that is cut off from the
// leader only would otherwise go to and fro until its lease ends.
func (l *Leader) relayHeartbeat(ctx context.Context, w http.ResponseWriter, to wire.NodeID, rep *wire.Heartbeat) bool {
	status, raw, err := l.Mesh.Relay(ctx, to, "/peer/hello", rep)
	if err != nil || status != http.StatusOK {
		return false
	}
	var o wire.Commands
	if wire.Decode(raw, &o) != nil {
		return false
	}
	l.Metrics.Heartbeat("relayed")
	wire.Answer(w, http.StatusOK, o)
	return true
}

// ServeRelayedHeartbeat handles a report that another node passes on.
func (l *Leader) ServeRelayedHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	var rep wire.Heartbeat
	if err == nil {
		err = wire.Decode(raw, &rep)
	}
	if err != nil || rep.Machine == "" {
		l.Undecodable.Note("a relayed report from "+undecodable.Sender(r), err)
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a report"})
		return
	}
	t := l.term.Load()
	if t == nil || !t.Lease.Answering() {
		wire.RefuseRetryable(w, http.StatusServiceUnavailable, "does not lead", 1)
		return
	}
	l.answerFromTerm(r.Context(), w, t, rep, true)
}

// ServeRelayedProbe handles a leader's question to an agent that the leader can't reach.
func (l *Leader) ServeRelayedProbe(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	l.agents.ServeRelayedProbe(w, r, params)
}
