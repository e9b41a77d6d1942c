// Package lilaclead is a cluster scheduler as a library: a Node is one
// controller, which takes users' jobs, talks to workers, cloud and state
// service, and, while it leads, decides what runs where.
package lilaclead

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"lilaclead/duty"
	"lilaclead/history"
	"lilaclead/internal/admin"
	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/features"
	"lilaclead/internal/intake"
	"lilaclead/internal/leader"
	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// Config of a node, as the platform's file gives it.
type Config = config.Config

// LoadConfig reads and checks a settings file.
func LoadConfig(path string) (*Config, error) { return config.Load(path) }

// Features says which optional parts are on.
type Features = features.Features

// LoadFeatures reads and checks a file of optional parts; without one all are off.
func LoadFeatures(path string) (Features, error) { return features.Load(path) }

// FeaturesPathBeside is where that file lies for a program that was built as
// deploy/service.toml says.
func FeaturesPathBeside(program string) string { return features.PathBeside(program) }

// StateService is a client of the deployment's state service, for programs that hold
// a duty of their own (package duty).
func StateService(cfg *Config) duty.Store {
	return store.New(cfg.Endpoints.State, cfg.Settings.State.Least(), cfg.Settings.Size, netio.Real())
}

// Node is one controller.
type Node struct {
	cfg         *config.Config
	net         netio.Net
	features    Features
	log         *slog.Logger
	level       *slog.LevelVar
	base        slog.Level
	store       *store.Client
	cloud       *cloud.Client
	mesh        *peer.Mesh
	leader      *leader.Leader
	intake      *intake.Intake
	flavors     *leader.MachineCatalog
	tuning      *tuning.Current
	admin       *admin.Admin
	sockets     socketBudget
	undecodable *undecodable.Log
	history     *history.Recorder // nil: nothing is recorded
	versions    *upgrade.Member   // nil: versions are not negotiated
}

// Options of a node; the zero value is the machine's own network and standard
// error, with all optional parts off.
type Options struct {
	Net      netio.Net
	Log      io.Writer
	Features Features
	// Versions of the behaviour that this node understands, where they are negotiated;
	// zero: all that the program does.
	Versions upgrade.Range
}

// New makes a node; it does nothing until Run.
func New(cfg *Config, opt Options) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if opt.Net.Dial == nil {
		opt.Net = netio.Real()
	}
	if opt.Log == nil {
		opt.Log = os.Stderr
	}
	n := &Node{cfg: cfg, net: opt.Net, features: opt.Features, level: &slog.LevelVar{}, flavors: &leader.MachineCatalog{}, tuning: tuning.NewCurrent()}
	n.base = Level(os.Getenv("LOG_LEVEL"))
	n.level.Set(n.base)
	n.log = slog.New(slog.NewTextHandler(opt.Log, &slog.HandlerOptions{Level: n.level})).With("node", cfg.HostName)
	settings := &cfg.Settings
	n.store = store.New(cfg.Endpoints.State, settings.State.Least(), settings.Size, n.net)
	n.cloud = cloud.New(cfg.Endpoints.Cloud, settings.Cloud, n.net)
	cancelled := cancels.New(peerNames(cfg), settings.Workers.CancelTimeout.Duration())
	n.mesh = peer.New(cfg.HostName, cfg.Peers, n.status, cancelled, n.net, n.log)
	n.sockets = splitSockets(settings.Limits, settings.Size)
	metrics := admin.NewMetrics()
	n.store.Observe = metrics.Call("state")
	n.cloud.Observe = metrics.Call("cloud")
	metrics.Budget("state requests", func() float64 { calls, _ := n.store.Budget(); return calls })
	metrics.Budget("state changes", func() float64 { _, writes := n.store.Budget(); return writes })
	n.undecodable = undecodable.New(n.log)
	if err := n.openHistory(metrics); err != nil {
		return nil, err
	}
	if err := n.joinVersions(opt.Versions); err != nil {
		return nil, err
	}
	n.leader = leader.New(leader.Dependencies{
		Config: cfg, Net: n.net, Store: n.store, Cloud: n.cloud, Mesh: n.mesh, Cancels: cancelled,
		Tuning: n.tuning, Catalog: n.flavors, Log: n.log, Metrics: metrics.Leader(), Undecodable: n.undecodable,
		RecordIntents: opt.Features.RecordIntents, Observe: n.recordDuty, Versions: n.versions,
		Sockets: n.sockets.direct, Workers: n.sockets.workers(),
		RequiredFDs: func(workers int) int { return socketsNeeded(workers, settings.Limits, settings.Size) },
	})
	n.intake = intake.New(settings, n.store, cancelled, n.flavors.Get, n.log)
	n.intake.Observe = metrics.Request
	n.intake.Undecodable = n.undecodable
	n.admin = admin.New(cfg, n.store, n.tuning, n.leader, n.mesh, metrics, n.log)
	n.admin.Undecodable = n.undecodable
	return n, nil
}

// openHistory makes the recorder of what is decided, if that is on.
func (n *Node) openHistory(metrics *admin.Metrics) error {
	if n.features.HistoryDir == "" {
		return nil
	}
	const megabyte = 1 << 20
	recorder, err := history.NewRecorder(history.Options{Dir: n.features.HistoryDir, Controller: string(n.cfg.HostName),
		LimitBytes: int64(n.features.HistoryLimitMB * megabyte)})
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	n.history = recorder
	metrics.History(recorder.Counts)
	return nil
}

// joinVersions makes this process one of those that negotiate the active version, if
// that is on.
func (n *Node) joinVersions(supports upgrade.Range) error {
	if !n.features.NegotiateVersions {
		return nil
	}
	if supports == (upgrade.Range{}) {
		supports = leader.SupportedVersions
	}
	member, err := upgrade.NewMember(upgrade.Options{Node: n.cfg.HostName, Supports: supports, Store: n.store, Log: n.log,
		Observe: n.recordVersion, Undecodable: n.undecodable.Note})
	if err != nil {
		return err
	}
	n.versions = member
	n.mesh.LearnVersion = func(v uint64) { member.Learn(upgrade.Version(v)) }
	return nil
}

// recordVersion records an event of package upgrade.
func (n *Node) recordVersion(e upgrade.Event) {
	n.history.Record(history.Event{At: e.At, Kind: string(e.Kind), Token: uint64(e.Token), Version: uint64(e.Version), Reason: e.Reason})
}

// recordDuty records an event of package duty.
func (n *Node) recordDuty(e duty.Event) {
	n.history.Record(history.Event{At: e.At, Kind: string(e.Kind), Duty: string(e.Duty), Token: uint64(e.Token), Reason: e.Reason})
}

// status is what the other nodes are told of this one.
func (n *Node) status() peer.Status {
	s := peer.Status{
		Leads:            n.leader.Leads(),
		Delegation:       n.leader.DelegationToken(),
		StateReachable:   n.store.Reachable(),
		ReachableWorkers: n.leader.WorkersInContact(),
		UnconfirmedSince: n.leader.UnconfirmedCancelSince(),
	}
	if n.versions != nil {
		s.Incarnation, s.ActiveVersion = n.versions.Incarnation(), uint64(n.versions.Active())
		s.RefusesAcks = n.versions.Understands() != nil
	}
	return s
}

func peerNames(cfg *Config) []wire.NodeID {
	var names []wire.NodeID
	for _, p := range cfg.Peers {
		names = append(names, p.HostName)
	}
	return names
}

const (
	// processorThreads: a controller is given one core or less.
	processorThreads = 1
	// heapShare is the part of memory_mb for the heap; stacks and the runtime take
	// the rest.
	heapShare = 0.7
	// collectorPercent: the heap may triple between collections below its limit.
	collectorPercent = 200
)

// LimitProcess fits the Go runtime into the limits of the settings file. It
// is for a process that is a node and nothing else.
func LimitProcess(cfg *Config) {
	runtime.GOMAXPROCS(processorThreads)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemoryMB * heapShare * (1 << 20)))
	debug.SetGCPercent(collectorPercent)
}

// Level reads a log level's name.
func Level(name string) slog.Level {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// Limits of time and size of the servers for users, workers and peers.
const (
	headerTimeout   = 4 * time.Second
	requestTimeout  = 8 * time.Second
	responseTimeout = 10 * time.Second
	// idleTimeout outlives the longest pause between two reports.
	idleTimeout     = 75 * time.Second
	peerIdleTimeout = 60 * time.Second
	maxHeaderBytes  = 16 << 10
	// historyTimeout bounds the wait for a disk at the end.
	historyTimeout = 2 * time.Second
)

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	front, err := n.net.Listen("tcp4", n.cfg.UserAddr)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	peers, err := n.net.Listen("tcp4", n.cfg.PeerAddr)
	if err != nil {
		front.Close()
		return fmt.Errorf("peer_bind: %w", err)
	}
	n.logLimits()
	bounded := newBoundedListener(front, n.sockets.accepted, n.log)
	frontServer, peerServer := n.frontServer(bounded), n.peerServer()
	n.startActors(ctx)
	defer n.runHistory(ctx)()
	errs := make(chan error, 2)
	go func() { errs <- frontServer.Serve(bounded) }()
	go func() { errs <- peerServer.Serve(peers) }()
	n.log.Info("serves", "front", n.cfg.UserAddr, "peers", n.cfg.PeerAddr, "features", n.features)
	select {
	case err = <-errs:
	case <-ctx.Done():
		err = nil
	}
	cancel()
	frontServer.Close()
	peerServer.Close()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// runHistory writes what is recorded until the context ends; the function that it
// returns waits until all is written.
func (n *Node) runHistory(ctx context.Context) (wait func()) {
	if n.history == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.history.Run(ctx)
	}()
	return func() {
		select {
		case <-done:
		case <-time.After(historyTimeout):
		}
	}
}

// startActors starts what runs until the context ends.
func (n *Node) startActors(ctx context.Context) {
	if n.versions != nil {
		go n.versions.Run(ctx)
	}
	go n.mesh.Run(ctx)
	go n.leader.Run(ctx)
	go n.intake.Run(ctx)
	go n.learnFlavors(ctx)
	go n.admin.Follow(ctx, func(v tuning.Values) {
		n.level.Set(n.base)
		if v.LogLevel != "" {
			n.level.Set(Level(v.LogLevel))
		}
	})
}

// logLimits logs how the sockets are split, and limits that don't fit each other.
func (n *Node) logLimits() {
	limits := n.cfg.Settings.Limits
	n.log.Info("sockets", "limit", limits.FDLimit, "split", n.sockets, "workers_alone", n.sockets.workers())
	if n.sockets.memoryNeeded > limits.MemoryMB {
		n.log.Warn("memory_mb is too small for fd_limit: fewer connections are accepted", "memory_mb", limits.MemoryMB, "needed", int(n.sockets.memoryNeeded))
	}
}

// frontServer serves users and workers.
func (n *Node) frontServer(l *boundedListener) *http.Server {
	return &http.Server{
		Handler:           l.classify(n.frontRoutes()),
		ConnState:         l.connState,
		ConnContext:       l.connContext,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// peerServer serves the other nodes, whose streams have no end, and operators.
func (n *Node) peerServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           n.peerRoutes(),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// flavorsRetry is the pause before the machine types are asked for again.
const flavorsRetry = 500 * time.Millisecond

// learnFlavors finds the machine types, from the state service where an
// earlier leader left them, or from the cloud.
func (n *Node) learnFlavors(ctx context.Context) {
	for n.flavors.Get() == nil {
		var stored wire.MachineSpecs
		e, err := n.store.Get(ctx, store.Background, store.MachineSpecsKey)
		if err == nil {
			if err = wire.Decode(e.Value, &stored); err != nil {
				n.undecodable.Note(store.MachineSpecsKey, err)
				err = store.ErrMissing
			}
		}
		if err == nil && len(stored.Types) > 0 {
			n.flavors.Set(stored.Types)
			return
		}
		if errors.Is(err, store.ErrMissing) {
			if offered, err := n.cloud.MachineSpecs(ctx); err == nil {
				n.flavors.Set(offered)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flavorsRetry):
		}
	}
}
