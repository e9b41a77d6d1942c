package lilaclead

import (
	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/features"
	"lilaclead/internal/netio"
	"lilaclead/internal/store"
)

// Config holds a node's settings, as read from the platform's settings file.
type Config = config.Config

// LoadConfig reads and validates a settings file. The error names every invalid setting.
func LoadConfig(path string) (*Config, error) { return config.Load(path) }

// Features says which optional features are on.
type Features = features.Features

// LoadFeatures reads and validates a features file. If there is no such file, all
// features are off.
func LoadFeatures(path string) (Features, error) { return features.Load(path) }

// FeaturesFilePathFor returns the path of the features file for a program that was built as
// deploy/service.toml says, given the path of its executable. The file is
// deploy/features.toml, beside the executable's folder.
func FeaturesFilePathFor(program string) string { return features.FilePathFor(program) }

// NewStateServiceClient returns a client of the deployment's key-value store, for programs
// that hold a duty of their own (package duty).
func NewStateServiceClient(cfg *Config) duty.Store { return newStore(cfg, netio.HostNetwork()) }

// newStore returns a client that reaches the key-value store through the network.
func newStore(cfg *Config, network netio.Network) *store.Client {
	settings := &cfg.Settings
	return store.New(cfg.Endpoints.State, settings.State.Strictest(), settings.Size, network)
}
