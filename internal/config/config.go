// Package config reads and validates the settings file that the platform provides to a node:
// the node's own addresses, its peers, and the settings of the whole deployment. Unknown
// fields are ignored. Validation reports all wrong fields at once, each by its name.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/wire"
)

// Config is the content of a settings file.
type Config struct {
	HostName  wire.NodeID `toml:"host_name"`
	Zone      wire.Zone   `toml:"zone"`
	UserAddr  string      `toml:"front"`
	PeerAddr  string      `toml:"peer_bind"`
	Peers     []Peer      `toml:"others"`
	Endpoints Endpoints   `toml:"endpoints"`
	Settings  Settings    `toml:"settings"`
}

// Peer is another node.
type Peer struct {
	HostName wire.NodeID `toml:"host_name"`
	Zone     wire.Zone   `toml:"zone"`
	Addr     string      `toml:"addr"`
}

// Endpoints are the addresses of the external services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	// State is the address of the key-value store.
	State string `toml:"state"`
}

// Load reads and validates a settings file, as Parse does.
func Load(path string) (*Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return Parse(content)
}

// Parse decodes and validates the content of a settings file. If the content can be decoded
// but is not valid, Parse returns both the Config and the error of Validate.
func Parse(content []byte) (*Config, error) {
	var cfg Config
	err := toml.Unmarshal(content, &cfg)
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return &cfg, cfg.Validate()
	case errors.As(err, &decodeErr):
		line, column := decodeErr.Position()
		return nil, fmt.Errorf("settings file, line %d, column %d: %w", line, column, err)
	default:
		return nil, fmt.Errorf("settings file: %w", err)
	}
}
