package lilaclead

import (
	"lilaclead/internal/admin"
	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/intake"
	"lilaclead/internal/leader"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// builder builds a node and holds the objects that its components share.
type builder struct {
	node    *Node
	options Options

	cloud       *cloud.Client
	cancels     *cancels.Log
	catalog     *cluster.MachineCatalog
	tuning      *tuning.Current
	metrics     *admin.Metrics
	undecodable *undecodable.Log
}

// newBuilder returns a builder of a node. The settings must be valid, and the options must
// have their defaults filled in.
func newBuilder(cfg *Config, options Options) *builder {
	level := newLogLevel()
	node := &Node{
		cfg:      cfg,
		features: options.Features,
		net:      options.Net,
		log:      newLogger(options.Log, level, cfg.HostName),
		level:    level,
		sockets:  splitSockets(cfg.Settings.Limits, cfg.Settings.Size),
	}
	return &builder{
		node:        node,
		options:     options,
		cancels:     cancels.New(peerNames(cfg), cfg.Settings.Workers.CancelTimeout.Duration()),
		catalog:     &cluster.MachineCatalog{},
		tuning:      tuning.NewCurrent(),
		metrics:     admin.NewMetrics(),
		undecodable: undecodable.New(node.log),
	}
}

// peerNames returns the names of the other nodes.
func peerNames(cfg *Config) []wire.NodeID {
	var names []wire.NodeID
	for _, p := range cfg.Peers {
		names = append(names, p.HostName)
	}
	return names
}

// connectServices adds the clients of the key-value store and the cloud, with metrics of their
// calls.
func (b *builder) connectServices() {
	n := b.node
	n.store = newStore(n.cfg, n.net)
	n.store.Observe = b.metrics.ObserveCalls("state")
	b.metrics.RegisterBudget("state requests", func() float64 { requests, _ := n.store.RemainingBudget(); return requests })
	b.metrics.RegisterBudget("state changes", func() float64 { _, writes := n.store.RemainingBudget(); return writes })

	b.cloud = cloud.New(n.cfg.Endpoints.Cloud, n.cfg.Settings.Cloud, n.net)
	b.cloud.Observe = b.metrics.ObserveCalls("cloud")

	n.machineTypes = machineTypeLoader{catalog: b.catalog, store: n.store, cloud: b.cloud, undecodable: b.undecodable}
}

// connectPeers adds the streams to and from the other nodes.
func (b *builder) connectPeers() {
	n := b.node
	n.mesh = peer.New(n.cfg.HostName, n.cfg.Peers, n.status, b.cancels, n.net, n.log)
}

// enableFeatures adds the optional features that are on.
func (b *builder) enableFeatures() (err error) {
	n := b.node
	if n.history, err = newDecisionHistory(n.features, n.cfg.HostName, b.metrics); err != nil {
		return err
	}
	n.versions, err = newVersionGate(n.features, upgrade.Options{
		Node:           n.cfg.HostName,
		SupportedRange: b.options.Versions,
		Store:          n.store,
		Log:            n.log,
		Observe:        n.history.recordVersionEvent,
		OnUndecodable:  b.undecodable.LogOnce,
	})
	if err != nil {
		return err
	}
	if n.versions.negotiated() {
		n.mesh.ObserveVersion = n.versions.observeActive
	}
	return nil
}

// addLeader adds the component that campaigns for leadership, and schedules while this node
// is the leader.
func (b *builder) addLeader() {
	n := b.node
	settings := &n.cfg.Settings
	n.leader = leader.New(leader.Dependencies{
		Config:              n.cfg,
		Net:                 n.net,
		Store:               n.store,
		Cloud:               b.cloud,
		Mesh:                n.mesh,
		Cancels:             b.cancels,
		Tuning:              b.tuning,
		Catalog:             b.catalog,
		Log:                 n.log,
		Metrics:             b.metrics.LeaderMetrics(),
		UndecodableLog:      b.undecodable,
		RecordIntents:       n.features.RecordIntents,
		Observe:             n.history.recordDutyEvent,
		Versions:            n.versions.member,
		MaxAgentConnections: n.sockets.direct,
		MaxAgents:           n.sockets.maxAgents(),
		RequiredFDs:         func(agents int) int { return socketsNeeded(agents, settings.Limits, settings.Size) },
	})
}

// addIntake adds the users' API, which submits, polls and cancels jobs.
func (b *builder) addIntake() {
	n := b.node
	n.intake = intake.New(&n.cfg.Settings, n.store, b.cancels, b.catalog.Get, n.log)
	n.intake.Observe = b.metrics.ObserveRequest
	n.intake.UndecodableLog = b.undecodable
}

// addAdmin adds the operators' API.
func (b *builder) addAdmin() {
	n := b.node
	n.admin = admin.New(n.cfg, n.store, b.tuning, n.leader, n.mesh, b.metrics, n.log)
	n.admin.UndecodableLog = b.undecodable
}
