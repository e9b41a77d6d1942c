// Package config reads the settings file that the platform hands over: the
// node's own addresses, its peers and what holds for the whole deployment. Fields
// that it does not know are ignored; everything wrong is reported at once, each
// error with its field.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/wire"
)

// Config is the whole file.
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

// Endpoints are the outside services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Settings is what holds for the whole deployment.
type Settings struct {
	Size       int         `toml:"size"`
	Zones      []wire.Zone `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    wire.TeamID `toml:"name"`
	CPUs    float64     `toml:"cpus"`
	CPUsMax float64     `toml:"cpus_max"`
	GPUs    float64     `toml:"gpus"`
	GPUsMax float64     `toml:"gpus_max"`
}

// Objective restates one aim of the users.
type Objective struct {
	Kind   string       `toml:"kind"`
	Class  string       `toml:"class"`
	Within wire.Seconds `toml:"within_s"`
	Share  float64      `toml:"share"`
	// Times is the multiple of a job's own deadline that a deadline aim means.
	Times float64 `toml:"times"`
}

// Workers says how workers behave.
type Workers struct {
	HeartbeatInterval wire.Seconds `toml:"report_s"`
	Lease             wire.Seconds `toml:"lease_s"`
	CancelTimeout     wire.Seconds `toml:"cancel_s"`
	// GangWait is how long a gang's task waits for the others, GangPeerTimeout how
	// soon the others notice that one is gone, and in which all must be told to
	// stop. Older files lack them.
	GangWait        wire.Seconds `toml:"gang_wait_s"`
	GangPeerTimeout wire.Seconds `toml:"gang_peer_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits that the service will have from some moment on,
	// without notice; what is not named stays.
	Next *NextState `toml:"next"`
}

// NextState are limits to come; 0: as before.
type NextState struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Least are the limits that hold whether the next ones are in force already or
// not yet: what is written within them is taken either way.
func (s State) Least() State {
	if n := s.Next; n != nil {
		least := func(now, next float64) float64 {
			if next > 0 {
				return min(now, next)
			}
			return now
		}
		s.RPS, s.WriteRPS, s.ValueKB = least(s.RPS, n.RPS), least(s.WriteRPS, n.WriteRPS), least(s.ValueKB, n.ValueKB)
		s.TxnOps = int(least(float64(s.TxnOps), float64(n.TxnOps)))
	}
	s.Next = nil
	return s
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS     float64      `toml:"rps"`
	ListLag wire.Seconds `toml:"list_lag_s"`
}

// Limits of this process.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// Load reads and checks a file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks the text of a file.
func Parse(b []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(b, &c); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("settings file, line %d, column %d: %w", row, col, err)
		}
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return &c, c.Validate()
}

// Team finds a team.
func (s *Settings) Team(id wire.TeamID) (Team, bool) {
	for _, t := range s.Teams {
		if t.Name == id {
			return t, true
		}
	}
	return Team{}, false
}
