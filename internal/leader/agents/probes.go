package agents

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// ProbeTimeout is how long the answer to a probe is waited for: less than for a command,
// as two failed probes in a row tell the end of a machine.
const ProbeTimeout = 1200 * time.Millisecond

// firstEpoch is the epoch with which an agent begins.
const firstEpoch = 1

// Probe asks an agent for its heartbeat and shows it this leader's token. Its outcome is
// posted to the term's loop.
func (dp *Dispatcher) Probe(machine *cluster.Machine) {
	if machine.CommandInFlight || machine.Addr == "" {
		return
	}
	machine.CommandInFlight = true
	addr, known := machine.Addr, positionOf(machine)
	probe := wire.Commands{Token: dp.Fencing.Token, Epoch: max(machine.Epoch, firstEpoch)}
	relay := dp.relayFor(machine)
	dp.Spawn(func(ctx context.Context) {
		heartbeat, status, err := dp.Client.probeThrough(ctx, relay, addr, probe)
		if err == nil && wrongEpoch(status, heartbeat, &probe) {
			probe.Epoch = heartbeat.Epoch // the right one, by the answer
			heartbeat, status, err = dp.Client.probeThrough(ctx, relay, addr, probe)
		}
		dp.Post(ProbeAnswer{
			CommandAnswer: CommandAnswer{
				Machine:     machine,
				KnownBefore: known,
				Commands:    probe,
				Heartbeat:   heartbeat,
				Status:      status,
				Err:         err,
			},
			Relayed: relay != "",
		})
	})
}

// relayFor returns the controller through which a machine is probed; empty: directly. A
// machine that did not answer this node is probed once more through another one, if one is
// connected: only the path from here may be cut.
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

// wrongEpoch reports whether an agent has refused a probe for its epoch alone.
func wrongEpoch(status int, heartbeat *wire.Heartbeat, probe *wire.Commands) bool {
	return status == http.StatusConflict && heartbeat.Epoch != probe.Epoch && heartbeat.Token <= probe.Token
}

// MaxProbesPerTick is how many machines are probed in a tenth of a second to announce the
// token. All at once, those of a large cluster would hold up the renewals and the
// heartbeats behind them.
const MaxProbesPerTick = 25

// AnnounceToken shows this leader's token to the machines that have not seen it and whose
// addresses are known, so that the first round of heartbeats of a new leader takes a moment
// and not a heartbeat interval.
func (dp *Dispatcher) AnnounceToken() {
	if dp.TokenAnnounced || !dp.State.RecordsRead || !dp.Lease.Deciding() {
		return
	}
	uninformed := 0
	for _, machine := range dp.State.Machines {
		if !dp.needsToken(machine) {
			continue
		}
		if uninformed++; uninformed > MaxProbesPerTick {
			return
		}
		dp.Probe(machine)
	}
	dp.TokenAnnounced = uninformed == 0 && dp.State.MachineListReceived
}

// needsToken reports whether a machine has not seen a token of this term and can be probed.
func (dp *Dispatcher) needsToken(machine *cluster.Machine) bool {
	uninformed := !machine.Booting && machine.Token < dp.State.FirstToken
	return uninformed && !machine.CommandInFlight && machine.Addr != "" && machine.UnansweredCommands == 0
}
