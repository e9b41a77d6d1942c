package agents

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// ProbeTimeout is how long a probe waits for its response. It is shorter than for a command,
// because the failure of a machine is detected by two failed probes in a row.
const ProbeTimeout = 1200 * time.Millisecond

// firstEpoch is the first epoch of an agent, assumed while its epoch is not known.
const firstEpoch = 1

// Probe asks an agent for its heartbeat and shows it this leader's token. A probe that is
// refused only for its epoch is repeated once with the agent's epoch. The outcome is posted
// to the term's loop.
func (dp *Dispatcher) Probe(machine *cluster.Machine) {
	dp.ProbeWithToken(machine, dp.Fencing.Token)
}

// ProbeWithToken is Probe with a given token.
func (dp *Dispatcher) ProbeWithToken(machine *cluster.Machine, token wire.FencingToken) {
	if machine.CommandInFlight || machine.Addr == "" {
		return
	}
	machine.CommandInFlight = true
	addr, lastPosition := machine.Addr, machine.HeartbeatPosition
	probe := wire.Commands{Token: token, Epoch: max(machine.Epoch, firstEpoch)}
	relay := dp.relayFor(machine)
	dp.Spawn(func(ctx context.Context) {
		heartbeat, status, err := dp.Client.probeThrough(ctx, relay, addr, probe)
		if err == nil && refusedForEpoch(status, heartbeat, &probe) {
			probe.Epoch = heartbeat.Epoch
			heartbeat, status, err = dp.Client.probeThrough(ctx, relay, addr, probe)
		}
		dp.Post(ProbeOutcome{
			CommandOutcome: CommandOutcome{
				Machine:             machine,
				LastHeartbeatBefore: lastPosition,
				Commands:            probe,
				Heartbeat:           heartbeat,
				Status:              status,
				Err:                 err,
			},
			Relayed: relay != "",
		})
	})
}

// relayFor returns the controller through which a machine is to be probed, empty for a direct
// probe. A machine that did not answer this node is probed again through another controller,
// if one is connected, since only the path from this node to the machine may be cut.
func (dp *Dispatcher) relayFor(machine *cluster.Machine) wire.NodeID {
	if machine.UnansweredCommands == 0 {
		return ""
	}
	return dp.Client.RandomConnectedPeer(time.Now())
}

// probeThrough probes the agent at an address through another controller, or directly if
// relay is empty.
func (c *Client) probeThrough(ctx context.Context, relay wire.NodeID, addr string, probe wire.Commands) (*wire.Heartbeat, int, error) {
	if relay == "" {
		return c.Send(ctx, addr, probe, ProbeTimeout)
	}
	return c.ProbeThroughPeer(ctx, relay, addr, probe)
}

// refusedForEpoch reports whether an agent refused a probe only for its epoch: its token is
// not too low.
func refusedForEpoch(status int, heartbeat *wire.Heartbeat, probe *wire.Commands) bool {
	return status == http.StatusConflict && heartbeat.Epoch != probe.Epoch && heartbeat.Token <= probe.Token
}

// MaxProbesPerTick is how many machines are probed per tick, which is a tenth of a second, to
// announce the token. Probes of all machines of a large cluster at once would delay the lease
// renewals and heartbeats behind them.
const MaxProbesPerTick = 25

// AnnounceToken probes the machines that have not seen this leader's token and whose addresses
// are known. Without this, a new leader would wait a whole heartbeat interval for the first
// round of heartbeats.
func (dp *Dispatcher) AnnounceToken() {
	if dp.TokenAnnounced || !dp.State.RecordsRead || !dp.Lease.Deciding() {
		return
	}
	needToken := 0
	for _, machine := range dp.State.Machines {
		if !dp.needsToken(machine) {
			continue
		}
		if needToken++; needToken > MaxProbesPerTick {
			return
		}
		dp.Probe(machine)
	}
	dp.TokenAnnounced = needToken == 0 && dp.State.MachineListReceived
}

// needsToken reports whether a machine has not seen a token of this term and can be probed.
func (dp *Dispatcher) needsToken(machine *cluster.Machine) bool {
	lacksToken := !machine.Booting && machine.Token < dp.State.FirstToken
	return lacksToken && !machine.CommandInFlight && machine.Addr != "" && machine.UnansweredCommands == 0
}
