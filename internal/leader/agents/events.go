package agents

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Position of a report among all of a machine's.
type Position struct {
	Epoch    wire.AgentEpoch
	Sequence wire.Sequence
}

// CommandAnswer is the outcome of a direct command to an agent, or of a probe.
type CommandAnswer struct {
	Machine     *cluster.Machine
	KnownBefore Position // newest heartbeat known when the command was sent
	Commands    wire.Commands
	Launched    []*cluster.Attempt
	Heartbeat   *wire.Heartbeat
	Status      int
	Err         error
}

// ProbeAnswer is the outcome of a probe.
type ProbeAnswer struct {
	CommandAnswer
	Relayed bool // through another controller
}
