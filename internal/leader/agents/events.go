package agents

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Position is the place of a heartbeat among all heartbeats of a machine.
type Position struct {
	Epoch    wire.AgentEpoch
	Sequence wire.Sequence
}

// positionOf returns the position of the newest heartbeat of a machine.
func positionOf(machine *cluster.Machine) Position {
	return Position{Epoch: machine.Epoch, Sequence: machine.Sequence}
}

// CommandAnswer is the outcome of a direct command to an agent, or of a probe.
type CommandAnswer struct {
	Machine     *cluster.Machine
	KnownBefore Position // newest heartbeat known when the command was sent
	Commands    wire.Commands
	Launched    []*cluster.Attempt // whose launches the command holds
	Heartbeat   *wire.Heartbeat    // nil if Err is set
	Status      int
	Err         error
}

// ProbeAnswer is the outcome of a probe.
type ProbeAnswer struct {
	CommandAnswer
	Relayed bool // the probe was sent through another controller
}
