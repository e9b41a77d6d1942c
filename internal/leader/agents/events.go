package agents

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// CommandOutcome is the outcome of a request to an agent. It is an event of its own for a
// request with commands, and part of ProbeOutcome for a probe.
type CommandOutcome struct {
	Machine             *cluster.Machine
	LastHeartbeatBefore wire.HeartbeatPosition // newest heartbeat known when the request was sent
	Commands            wire.Commands
	Launched            []*cluster.Attempt // attempts whose launches are among the commands
	Heartbeat           *wire.Heartbeat    // nil if Err is set
	Status              int                // HTTP status of the response
	Err                 error
}

// ProbeOutcome is an event: the outcome of a probe, direct or relayed.
type ProbeOutcome struct {
	CommandOutcome
	Relayed bool // the probe was sent through another controller
}
