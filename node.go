package lilaclead

import (
	"io"
	"log/slog"
	"os"

	"lilaclead/internal/admin"
	"lilaclead/internal/intake"
	"lilaclead/internal/leader"
	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/upgrade"
)

// Node is one controller of a deployment. New creates it, and Run serves.
type Node struct {
	cfg      *Config
	features Features
	net      netio.Network
	log      *slog.Logger
	level    logLevel
	sockets  socketBudget

	store        *store.Client
	mesh         *peer.Mesh
	versions     versionGate
	history      decisionHistory
	machineTypes machineTypeLoader
	leader       *leader.Leader
	intake       *intake.Intake
	admin        *admin.Admin
}

// Options configure a node beside its settings file. The zero value is ready for use.
type Options struct {
	// Net is the network that the node dials and listens on. If it is zero, the node uses
	// the machine's own network.
	Net netio.Network
	// Log receives the node's log; nil stands for standard error.
	Log io.Writer
	// Features says which optional features are on; the zero value has all of them off.
	Features Features
	// Versions is the range of behaviour versions (package upgrade) that this node supports.
	// It matters only where versions are negotiated. The zero value stands for all versions
	// that the program supports.
	Versions upgrade.Range
}

func (o Options) withDefaults() Options {
	if o.Net.Dial == nil {
		o.Net = netio.HostNetwork()
	}
	if o.Log == nil {
		o.Log = os.Stderr
	}
	if o.Versions == (upgrade.Range{}) {
		o.Versions = leader.SupportedVersions
	}
	return o
}

// New returns a node that does nothing until Run. It fails if the settings or features are
// invalid.
func New(cfg *Config, options Options) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b := newBuilder(cfg, options.withDefaults())
	b.connectServices()
	b.connectPeers()
	if err := b.enableFeatures(); err != nil {
		return nil, err
	}
	b.addLeader()
	b.addIntake()
	b.addAdmin()
	return b.node, nil
}
