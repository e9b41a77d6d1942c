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

// Node is one controller.
type Node struct {
	cfg      *Config
	features Features
	net      netio.Net
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

// Options of a node. The zero value stands for the machine's own network and standard
// error, with all optional features off.
type Options struct {
	Net      netio.Net
	Log      io.Writer
	Features Features
	// Versions is the range of the behaviour's versions that this node understands,
	// where they are negotiated. The zero value stands for all that the program does.
	Versions upgrade.Range
}

func (o Options) withDefaults() Options {
	if o.Net.Dial == nil {
		o.Net = netio.Real()
	}
	if o.Log == nil {
		o.Log = os.Stderr
	}
	if o.Versions == (upgrade.Range{}) {
		o.Versions = leader.SupportedVersions
	}
	return o
}

// New returns a node, which does nothing until Run. It fails if settings or features are
// invalid.
func New(cfg *Config, opt Options) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b := newBuilder(cfg, opt.withDefaults())
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
