package config

import "lilaclead/internal/wire"

// Settings are the settings that apply to the whole deployment.
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

// Team returns the team of that name, and whether there is one.
func (s *Settings) Team(name wire.TeamID) (Team, bool) {
	for _, team := range s.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Team has a guaranteed quota of CPUs and GPUs, and a limit on each. A quota of 0 guarantees
// nothing; a limit of 0 means no limit.
type Team struct {
	Name           wire.TeamID `toml:"name"`
	GuaranteedCPUs float64     `toml:"cpus"`
	MaxCPUs        float64     `toml:"cpus_max"`
	GuaranteedGPUs float64     `toml:"gpus"`
	MaxGPUs        float64     `toml:"gpus_max"`
}

// Objective is a service-level objective for the jobs of a class.
type Objective struct {
	Kind  string `toml:"kind"`
	Class string `toml:"class"`
	// Within is the time in which a job should start or be complete. Objectives of the kind
	// "deadline" use DeadlineMultiple instead.
	Within wire.Seconds `toml:"within_s"`
	// Share is the share of the class's jobs that should meet the objective.
	Share float64 `toml:"share"`
	// DeadlineMultiple is the time in which a job should be complete, as a multiple of the
	// job's own deadline.
	DeadlineMultiple float64 `toml:"times"`
}

// Workers holds the intervals and timeouts of agents.
type Workers struct {
	HeartbeatInterval wire.Seconds `toml:"report_s"`
	Lease             wire.Seconds `toml:"lease_s"`
	// CancelTimeout bounds the time from the confirmation of a cancellation until no
	// task of the job runs.
	CancelTimeout wire.Seconds `toml:"cancel_s"`
	// GangWait is how long a task of a gang waits for the other tasks of the gang. It is 0 if
	// the file is of an earlier version, which lacks it.
	GangWait wire.Seconds `toml:"gang_wait_s"`
	// GangPeerTimeout is the time within which the other tasks of a gang notice that a task has
	// ended. To stop a gang, all of its tasks must be told to stop within this time. It is 0 if
	// the file is of an earlier version, which lacks it.
	GangPeerTimeout wire.Seconds `toml:"gang_peer_s"`
}

// CloudLimits holds the limits of the cloud's API.
type CloudLimits struct {
	// RPS is the number of requests that the whole deployment may send per second.
	RPS float64 `toml:"rps"`
	// ListLag is how old the cloud's list of machines may be.
	ListLag wire.Seconds `toml:"list_lag_s"`
}

// ProcessLimits are the resource limits of the node's process.
type ProcessLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FDLimit  int     `toml:"fd_limit"`
}
