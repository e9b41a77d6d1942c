// Package config reads the settings file that the platform hands over.
// Fields that it does not know are ignored; everything wrong is reported at
// once, each error with its field.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/wire"
)

// Config is the whole file.
type Config struct {
	HostName  wire.NodeID `toml:"host_name"`
	Zone      wire.Zone   `toml:"zone"`
	Front     string      `toml:"front"`
	PeerBind  string      `toml:"peer_bind"`
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
	Kind    string       `toml:"kind"`
	Class   string       `toml:"class"`
	WithinS wire.Seconds `toml:"within_s"`
	Share   float64      `toml:"share"`
	// Times is the multiple of a job's own deadline that a deadline aim means.
	Times float64 `toml:"times"`
}

// Workers says how workers behave.
type Workers struct {
	ReportS wire.Seconds `toml:"report_s"`
	LeaseS  wire.Seconds `toml:"lease_s"`
	CancelS wire.Seconds `toml:"cancel_s"`
	// GangWaitS is how long a gang's task waits for the others, GangPeerS how
	// soon the others notice that one is gone, and in which all must be told to
	// stop. Older files lack them.
	GangWaitS wire.Seconds `toml:"gang_wait_s"`
	GangPeerS wire.Seconds `toml:"gang_peer_s"`
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
	RPS      float64      `toml:"rps"`
	ListLagS wire.Seconds `toml:"list_lag_s"`
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

// Validate reports everything that is wrong, each error with its field.
func (c *Config) Validate() error {
	var errs []error
	bad := func(field, reason string) { errs = append(errs, wire.FieldError{Field: field, Reason: reason}) }
	text := func(field, v string) {
		if v == "" {
			bad(field, "missing")
		}
	}
	addr := func(field, v string) {
		if _, port, err := net.SplitHostPort(v); err != nil || port == "" {
			bad(field, "must be host:port")
		}
	}
	positive := func(field string, v float64) {
		if !(v > 0) || math.IsInf(v, 1) {
			bad(field, "must be above 0")
		}
	}
	text("host_name", string(c.HostName))
	text("zone", string(c.Zone))
	addr("front", c.Front)
	addr("peer_bind", c.PeerBind)
	seen := map[wire.NodeID]bool{c.HostName: true}
	for i, o := range c.Peers {
		at := fmt.Sprintf("others[%d].", i)
		text(at+"host_name", string(o.HostName))
		addr(at+"addr", o.Addr)
		if seen[o.HostName] {
			bad(at+"host_name", "named twice")
		}
		seen[o.HostName] = true
	}
	addr("endpoints.cloud", c.Endpoints.Cloud)
	addr("endpoints.state", c.Endpoints.State)
	s := &c.Settings
	if s.Size < 1 {
		bad("settings.size", "must be 1 or more")
	} else if s.Size != len(c.Peers)+1 {
		bad("settings.size", fmt.Sprintf("is %d, but others and this node make %d", s.Size, len(c.Peers)+1))
	}
	if len(s.Zones) == 0 {
		bad("settings.zones", "missing")
	}
	if len(s.Teams) == 0 {
		bad("settings.teams", "missing")
	}
	for i, z := range s.Zones {
		text(fmt.Sprintf("settings.zones[%d]", i), string(z))
	}
	teams := map[wire.TeamID]bool{}
	for i, t := range s.Teams {
		at := fmt.Sprintf("settings.teams[%d].", i)
		text(at+"name", string(t.Name))
		if teams[t.Name] {
			bad(at+"name", "named twice")
		}
		teams[t.Name] = true
		for _, a := range []struct {
			field string
			v     float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if !(a.v >= 0) {
				bad(at+a.field, "must be 0 or more")
			}
		}
	}
	positive("settings.workers.report_s", float64(s.Workers.ReportS))
	positive("settings.workers.lease_s", float64(s.Workers.LeaseS))
	positive("settings.workers.cancel_s", float64(s.Workers.CancelS))
	if s.Workers.LeaseS > 0 && !(s.Workers.LeaseS > s.Workers.ReportS) {
		bad("settings.workers.lease_s", "must be longer than report_s: leases would end between two reports")
	}
	if !(s.Workers.GangWaitS >= 0) || math.IsInf(float64(s.Workers.GangWaitS), 1) {
		bad("settings.workers.gang_wait_s", "must be 0 or more")
	}
	if !(s.Workers.GangPeerS >= 0) || math.IsInf(float64(s.Workers.GangPeerS), 1) {
		bad("settings.workers.gang_peer_s", "must be 0 or more")
	}
	if n := s.State.Next; n != nil {
		if !(n.RPS >= 0) {
			bad("settings.state.next.rps", "must be 0 or more")
		}
		if !(n.WriteRPS >= 0) {
			bad("settings.state.next.write_rps", "must be 0 or more")
		}
		if !(n.ValueKB >= 0) || n.ValueKB > 0 && n.ValueKB < 0.5 {
			bad("settings.state.next.value_kb", "must be 0.5 or more, to hold one job")
		}
		if n.TxnOps < 0 || n.TxnOps == 1 {
			bad("settings.state.next.txn_ops", "must be 2 or more: a job's record is replaced by its final one")
		}
	}
	positive("settings.state.rps", s.State.RPS)
	positive("settings.state.write_rps", s.State.WriteRPS)
	positive("settings.state.value_kb", s.State.ValueKB)
	if s.State.ValueKB > 0 && s.State.ValueKB < 0.5 {
		bad("settings.state.value_kb", "must be 0.5 or more, to hold one job")
	}
	if s.State.TxnOps < 2 {
		bad("settings.state.txn_ops", "must be 2 or more: a job's record is replaced by its final one")
	}
	positive("settings.cloud.rps", s.Cloud.RPS)
	if !(s.Cloud.ListLagS >= 0) {
		bad("settings.cloud.list_lag_s", "must be 0 or more")
	}
	positive("settings.limits.cores", s.Limits.Cores)
	positive("settings.limits.memory_mb", s.Limits.MemoryMB)
	if s.Limits.FDLimit < 64 {
		bad("settings.limits.fd_limit", "must be 64 or more")
	}
	return errors.Join(errs...)
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
