// Package leader runs the cluster while this controller is the leader. A Leader campaigns
// for the leadership; for each term that it wins, one goroutine, the term's loop, owns
// the model of jobs and machines. All I/O runs in other goroutines, whose results come
// back to the loop as events.
//
// Data moves through a term in one direction:
//
//	heartbeat -> reconciliation -> model -> scheduling cycle -> writer -> commands
//
// Each step is a package:
//
//   - reconcile compares heartbeats and command responses with the model, and decides which
//     attempts run, have ended or are lost;
//   - cluster is the model: jobs, chunks, attempts, gangs and machines;
//   - scheduling assigns pending tasks to machines and selects what is preempted for
//     them, by the rules in demand;
//   - progress writes what the model changed to the key-value store, in transactions that
//     the fencing token guards;
//   - agents sends commands to the agents once what they depend on is stored.
//
// Other packages act beside that path. Package election holds the leadership and says
// until when it may be used; recovery reads the records at the start of a term and follows
// those of the jobs; delegation lets followers renew agents' leases for a leader that they
// have lost contact with; restarts fences agents of restarted machines that no leader
// answers. Package liveness detects failed machines and expired leases, by the rules in
// detector; autoscaler scales out and in, and scaling keeps account of its requests to the
// cloud. Package core is what all of them share: the event loop, the lease and the fencing
// token.
//
// This package itself holds the campaign, the loop and its events, the machine inventory,
// version switches, the operators' view and the HTTP handlers.
package leader

import (
	"log/slog"
	"sync/atomic"

	"lilaclead/duty"
	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/restarts"
	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/upgrade"
)

// Dependencies are the parts of the node that its leader uses, and its options.
type Dependencies struct {
	Config  *config.Config
	Tuning  *tuning.Current
	Log     *slog.Logger
	Metrics core.Metrics

	Net     netio.Network
	Store   *store.Client
	Cloud   *cloud.Client
	Mesh    *peer.Mesh
	Cancels *cancels.Log
	Catalog *cluster.MachineCatalog
	// UndecodableLog logs records and heartbeats that can't be decoded.
	UndecodableLog *undecodable.Log
	// Observe receives the events of the leader's lease and of the duties done under it. It
	// may be nil.
	Observe duty.Observer
	// Versions negotiates the active version for this process. Nil turns negotiation off.
	Versions *upgrade.Member

	// RecordIntents records each request to the cloud before it is sent.
	RecordIntents bool
	// MaxAgentConnections limits the concurrent connections to agents.
	MaxAgentConnections int
	// MaxAgents is the number of agents that one controller's file descriptors suffice for.
	MaxAgents int
	// RequiredFDs returns the limit on file descriptors that a number of agents needs.
	RequiredFDs func(agentCount int) int
}

// Leader campaigns for the leadership and runs the cluster while it holds it.
type Leader struct {
	Dependencies
	candidate *election.Candidate
	// term is the current term, nil while another node leads.
	term     atomic.Pointer[term]
	contacts *agentContacts
	agents   *agents.Client
	// restarts fences agents of restarted machines that no leader answers.
	restarts *restarts.Guard
	// delegationBounds limit how long delegates renew leases without contact with the leader.
	delegationBounds delegation.Bounds
	// delegate lets this node renew leases for a leader that it has lost contact with.
	delegate *delegation.Delegate
}

// New returns the leader of a node. It does nothing before Run.
func New(d Dependencies) *Leader {
	bounds := delegation.BoundsOf(d.Config.Settings.Workers)
	client := agents.NewClient(d.Net, d.Mesh, d.MaxAgentConnections)
	return &Leader{
		Dependencies:     d,
		candidate:        newCandidate(d),
		contacts:         newAgentContacts(),
		agents:           client,
		restarts:         newGuard(d, client),
		delegationBounds: bounds,
		delegate:         newDelegate(d, bounds),
	}
}

func newGuard(d Dependencies, client *agents.Client) *restarts.Guard {
	return restarts.NewGuard(restarts.Config{
		Mesh:     d.Mesh,
		Store:    d.Store,
		Agents:   client,
		Cancels:  d.Cancels,
		StoreRPS: d.Config.Settings.State.RPS,
		Log:      d.Log,
	})
}

func newCandidate(d Dependencies) *election.Candidate {
	o := election.Options(d.Config, d.Store, d.Log, d.Mesh.ObserveToken)
	o.Observe = d.Observe
	o.OnUndecodable = d.UndecodableLog.LogOnce
	if d.Versions != nil {
		o.Eligible = func() bool { return d.Versions.CheckServe() == nil }
	}
	return election.New(o)
}

func newDelegate(d Dependencies, bounds delegation.Bounds) *delegation.Delegate {
	settings := &d.Config.Settings
	return delegation.New(delegation.Config{
		Bounds:            bounds,
		Mesh:              d.Mesh,
		Cancels:           d.Cancels,
		Nodes:             settings.Size,
		Workers:           d.MaxAgents,
		HeartbeatInterval: settings.Workers.HeartbeatInterval.Duration(),
		MaxCommands:       agents.MaxCommands,
	})
}
