package config

import "lilaclead/internal/wire"

// Settings is what holds for the whole deployment.
type Settings struct {
	// Size is the number of nodes.
	Size  int         `toml:"size"`
	Zones []wire.Zone `toml:"zones"`
	// MaxClockSkewMillis bounds, in milliseconds, how far the nodes' clocks may be off.
	MaxClockSkewMillis float64       `toml:"clock_off_ms"`
	Teams              []Team        `toml:"teams"`
	Objectives         []Objective   `toml:"objectives"`
	Workers            Workers       `toml:"workers"`
	State              StoreLimits   `toml:"state"`
	Cloud              CloudLimits   `toml:"cloud"`
	Limits             ProcessLimits `toml:"limits"`
}

// Team returns a team by its name.
func (s *Settings) Team(id wire.TeamID) (Team, bool) {
	for _, team := range s.Teams {
		if team.Name == id {
			return team, true
		}
	}
	return Team{}, false
}

// Team has a guaranteed quota of CPUs and GPUs, and a limit of each; 0 means none.
type Team struct {
	Name           wire.TeamID `toml:"name"`
	GuaranteedCPUs float64     `toml:"cpus"`
	MaxCPUs        float64     `toml:"cpus_max"`
	GuaranteedGPUs float64     `toml:"gpus"`
	MaxGPUs        float64     `toml:"gpus_max"`
}

// Objective is a service-level objective.
type Objective struct {
	Kind   string       `toml:"kind"`
	Class  string       `toml:"class"`
	Within wire.Seconds `toml:"within_s"`
	Share  float64      `toml:"share"`
	// DeadlineMultiple is the multiple of a job's own deadline that a deadline objective means.
	DeadlineMultiple float64 `toml:"times"`
}

// Workers says how worker agents behave.
type Workers struct {
	HeartbeatInterval wire.Seconds `toml:"report_s"`
	Lease             wire.Seconds `toml:"lease_s"`
	// CancelTimeout bounds the time from the confirmation of a cancellation until no
	// task of the job runs.
	CancelTimeout wire.Seconds `toml:"cancel_s"`
	// GangWait is how long a task of a gang waits for the others. GangPeerTimeout is how
	// soon the others notice that one has ended; all of them must be told to stop within
	// it. Older files lack both.
	GangWait        wire.Seconds `toml:"gang_wait_s"`
	GangPeerTimeout wire.Seconds `toml:"gang_peer_s"`
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS float64 `toml:"rps"`
	// ListLag is how old the cloud's list of machines may be.
	ListLag wire.Seconds `toml:"list_lag_s"`
}

// ProcessLimits are the limits of this process.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}
