package agents

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Position identifies a heartbeat of a machine. Heartbeats are ordered by epoch, then by
// sequence number.
type Position struct {
	Epoch    wire.AgentEpoch
	Sequence wire.Sequence
}

// positionOf returns the position of the newest heartbeat of a machine.
func positionOf(machine *cluster.Machine) Position {
	return Position{Epoch: machine.Epoch, Sequence: machine.Sequence}
}

// CommandAnswer is the outcome of a request to an agent. It is an event of its own for a
// request with commands, and part of ProbeAnswer for a probe.
type CommandAnswer struct {
	Machine     *cluster.Machine
	KnownBefore Position // newest heartbeat known when the request was sent
	Commands    wire.Commands
	Launched    []*cluster.Attempt // attempts whose launches are among the commands
	Heartbeat   *wire.Heartbeat    // nil if Err is set
	Status      int                // HTTP status of the response
	Err         error
}

// ProbeAnswer is an event: the outcome of a probe, direct or relayed.
type ProbeAnswer struct {
	CommandAnswer
	Relayed bool // the probe was sent through another controller
}
