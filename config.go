package lilaclead

import (
	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/features"
	"lilaclead/internal/netio"
	"lilaclead/internal/store"
)

// Config holds the settings of a node, as the platform's file gives them.
type Config = config.Config

// LoadConfig reads and validates a settings file. Its error names every setting that is
// wrong.
func LoadConfig(path string) (*Config, error) { return config.Load(path) }

// Features says which optional features are on.
type Features = features.Features

// LoadFeatures reads and validates a features file. If there is no such file, all
// features are off.
func LoadFeatures(path string) (Features, error) { return features.Load(path) }

// FeaturesPathBeside returns where the features file lies for a program that was built
// as deploy/service.toml says.
func FeaturesPathBeside(program string) string { return features.PathBeside(program) }

// NewStateServiceClient returns a client of the deployment's state service, for programs that
// hold a duty of their own (package duty).
func NewStateServiceClient(cfg *Config) duty.Store { return newStore(cfg, netio.Real()) }

// newStore returns a client of the state service on a network.
func newStore(cfg *Config, network netio.Net) *store.Client {
	settings := &cfg.Settings
	return store.New(cfg.Endpoints.State, settings.State.Strictest(), settings.Size, network)
}
