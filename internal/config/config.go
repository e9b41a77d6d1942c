// Package config reads the settings file that the platform hands over: the node's own
// addresses, its peers, and what holds for the whole deployment. Unknown fields are
// ignored. Everything that is wrong is reported at once, each error with its field.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/wire"
)

// Config is the content of the file.
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
	// State is the key-value store.
	State string `toml:"state"`
}

// Load reads and validates a file.
func Load(path string) (*Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return Parse(content)
}

// Parse reads and validates the content of a file. If it is not valid, Parse returns
// both what it has read and the error of Validate.
func Parse(content []byte) (*Config, error) {
	var cfg Config
	err := toml.Unmarshal(content, &cfg)
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return &cfg, cfg.Validate()
	case errors.As(err, &syntax):
		line, column := syntax.Position()
		return nil, fmt.Errorf("settings file, line %d, column %d: %w", line, column, err)
	default:
		return nil, fmt.Errorf("settings file: %w", err)
	}
}
