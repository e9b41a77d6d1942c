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

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/admin"
	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/intake"
	"lilaclead/internal/leader"
	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// Config of a node, as the platform's file gives it.
type Config = config.Config

// LoadConfig reads and checks a settings file.
func LoadConfig(path string) (*Config, error) { return config.Load(path) }

// Node is one controller.
type Node struct {
	cfg         *config.Config
	net         netio.Net
	log         *slog.Logger
	level       *slog.LevelVar
	base        slog.Level
	store       *store.Client
	cloud       *cloud.Client
	mesh        *peer.Mesh
	leader      *leader.Leader
	intake      *intake.Intake
	flavors     *leader.FlavorBox
	tuning      *tuning.Box
	admin       *admin.Admin
	undecodable *undecodable.Log
	sockets     sockets
}

// Options of a node; the zero value is the machine's own network and standard
// error.
type Options struct {
	Net netio.Net
	Log io.Writer
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
	n := &Node{cfg: cfg, net: opt.Net, level: &slog.LevelVar{}, flavors: &leader.FlavorBox{}, tuning: tuning.NewBox()}
	n.base = Level(os.Getenv("LOG_LEVEL"))
	n.level.Set(n.base)
	n.log = slog.New(slog.NewTextHandler(opt.Log, &slog.HandlerOptions{Level: n.level})).With("node", cfg.HostName)
	set := &cfg.Settings
	n.store = store.New(cfg.Endpoints.State, set.State.Least(), set.Size, n.net)
	n.cloud = cloud.New(cfg.Endpoints.Cloud, set.Cloud, n.net)
	var others []wire.NodeID
	for _, o := range cfg.Peers {
		others = append(others, o.HostName)
	}
	cancelled := cancels.New(others, set.Workers.CancelS.Duration())
	n.mesh = peer.New(cfg.HostName, cfg.Peers, func() peer.Status {
		return peer.Status{Leads: n.leader.Leads(), Delegation: n.leader.DelegationToken(), StateReachable: n.store.Reachable(), ReachableWorkers: n.leader.WorkersInContact(), UnconfirmedSince: n.leader.UnprovenCancelSince()}
	}, cancelled, n.net, n.log)
	n.sockets = splitSockets(set.Limits, set.Size)
	met := admin.NewMetrics()
	n.store.Observe = met.Call("state")
	n.cloud.Observe = met.Call("cloud")
	met.Budget("state requests", func() float64 { calls, _ := n.store.Left(); return calls })
	met.Budget("state changes", func() float64 { _, writes := n.store.Left(); return writes })
	n.undecodable = undecodable.New(n.log)
	n.leader = leader.New(leader.Deps{
		Config: cfg, Net: n.net, Store: n.store, Cloud: n.cloud, Mesh: n.mesh, Cancels: cancelled, Tuning: n.tuning, Flavors: n.flavors, Log: n.log, Metrics: met.Leader(), Undecodable: n.undecodable,
		Sockets: n.sockets.direct, Workers: n.sockets.workers(), Needed: func(workers int) int { return needed(workers, set.Limits, set.Size) },
	})
	n.intake = intake.New(set, n.store, cancelled, n.flavors.Get, n.log)
	n.intake.Observe, n.intake.Undecodable = met.Request, n.undecodable
	n.admin = admin.New(cfg, n.store, n.tuning, n.leader, n.mesh, met, n.log)
	n.admin.Undecodable = n.undecodable
	return n, nil
}

// LimitProcess fits the Go runtime into the limits of the settings file. It
// is for a process that is a node and nothing else.
func LimitProcess(cfg *Config) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Settings.Limits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(200)
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

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lim := n.cfg.Settings.Limits
	front, err := n.net.Listen("tcp4", n.cfg.Front)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	peers, err := n.net.Listen("tcp4", n.cfg.PeerBind)
	if err != nil {
		front.Close()
		return fmt.Errorf("peer_bind: %w", err)
	}
	split := n.sockets
	n.log.Info("sockets", "limit", lim.FDLimit, "split", split, "workers_alone", split.workers())
	if split.memoryNeeded > lim.MemoryMB {
		n.log.Warn("memory_mb is too small for fd_limit: fewer connections are accepted", "memory_mb", lim.MemoryMB, "needed", int(split.memoryNeeded))
	}
	door := newDoor(front, split.front, n.log)
	frontSrv := &http.Server{
		Handler: door.knows(n.frontRoutes()), ConnState: door.state, ConnContext: door.context, ReadHeaderTimeout: 4 * time.Second, ReadTimeout: 8 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerSrv := &http.Server{Handler: n.peerRoutes(), Protocols: &protocols, ReadHeaderTimeout: 4 * time.Second,
		IdleTimeout: 60 * time.Second, MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
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
	errs := make(chan error, 2)
	go func() { errs <- frontSrv.Serve(door) }()
	go func() { errs <- peerSrv.Serve(peers) }()
	n.log.Info("serves", "front", n.cfg.Front, "peers", n.cfg.PeerBind)
	select {
	case err = <-errs:
	case <-ctx.Done():
		err = nil
	}
	cancel()
	frontSrv.Close()
	peerSrv.Close()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

func (n *Node) frontRoutes() http.Handler {
	r := router()
	n.intake.Routes(r)
	r.POST("/hello", n.leader.Report)
	r.GET("/ready", n.ready)
	return r
}

func (n *Node) peerRoutes() http.Handler {
	r := router()
	r.Handler("POST", "/peer/beats", n.mesh)
	r.POST("/peer/hello", n.leader.RelayReport)
	r.POST("/peer/ask", n.leader.RelayProbe)
	n.admin.Routes(r)
	return r
}

func router() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleOPTIONS = false, false, false
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Answer(w, http.StatusNotFound, wire.Reason{Error: "no such path"})
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Answer(w, http.StatusMethodNotAllowed, wire.Reason{Error: "method not allowed"})
	})
	return r
}

// ready fails only when this node can't serve and another says that it can,
// or may, since none is heard: in an outage that all share, every node stays
// ready and refuses fast.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !n.store.Reachable() {
		now := time.Now()
		hears := len(n.cfg.Peers) == 0
		for _, o := range n.mesh.View().Peers {
			if !o.Connected(now) {
				continue
			}
			hears = true
			if o.StateReachable {
				wire.Refuse(w, http.StatusServiceUnavailable, "state service not reachable from here", 1)
				return
			}
		}
		if !hears {
			wire.Refuse(w, http.StatusServiceUnavailable, "neither state service nor another node reachable from here", 1)
			return
		}
	}
	wire.Answer(w, http.StatusOK, struct {
		Ready bool `cbor:"ready"`
	}{true})
}

// learnFlavors finds the machine types, from the state service where an
// earlier leader left them, or from the cloud.
func (n *Node) learnFlavors(ctx context.Context) {
	for n.flavors.Get() == nil {
		var f wire.MachineSpecs
		e, err := n.store.Get(ctx, store.Duty, store.FlavorsKey)
		if err == nil {
			if err = wire.Decode(e.Value, &f); err != nil {
				n.undecodable.Note(store.FlavorsKey, err)
				err = store.ErrMissing
			}
		}
		if err == nil && len(f.Types) > 0 {
			n.flavors.Set(f.Types)
			return
		}
		if errors.Is(err, store.ErrMissing) {
			if fs, err := n.cloud.Flavors(ctx); err == nil {
				n.flavors.Set(fs)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
