package agents

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// Client sends commands and probes to the agents. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	Mesh *peer.Mesh
	// commandSlots limits the command requests in flight, and probeSlots the probes. Each
	// request in flight uses one connection. Probes have slots of their own because those to
	// a partitioned zone hang, and launches must not wait behind them.
	commandSlots, probeSlots chan struct{}
}

const (
	// A third of a client's connections is for commands and a sixth for probes. Half of them
	// may stay open while idle. The total and each share have a minimum.
	minConnections     = 16
	minCommandSlots    = 4
	minProbeSlots      = 2
	minIdleConnections = 4
	// maxIdlePerAgent is how many connections to one agent may stay open while idle.
	maxIdlePerAgent = 2
	// dialTimeout limits the wait for a free connection and the dial together.
	dialTimeout = 2 * ProbeTimeout
	// maxResponseBytes limits the size of an agent's response.
	maxResponseBytes = 1 << 20
)

// NewClient returns a client that uses up to the given number of connections at a time, or
// minConnections if that is more.
func NewClient(network netio.Network, mesh *peer.Mesh, connections int) *Client {
	bounded := network.WithConnectionLimit(max(minConnections, connections), dialTimeout)
	return &Client{
		HTTP:         &http.Client{Transport: bounded.Transport(maxIdlePerAgent, max(minIdleConnections, connections/2))},
		Mesh:         mesh,
		commandSlots: make(chan struct{}, max(minCommandSlots, connections/3)),
		probeSlots:   make(chan struct{}, max(minProbeSlots, connections/6)),
	}
}

// Send sends commands, or a probe if there are none, to the agent at an address. It returns
// the agent's heartbeat and the HTTP status of the response. The timeout starts when a slot
// is free; until then only ctx limits the wait.
func (c *Client) Send(ctx context.Context, addr string, commands wire.Commands, timeout time.Duration) (*wire.Heartbeat, int, error) {
	if commands.Commands == nil {
		commands.Commands = []wire.Command{}
	}
	slots := c.slotsFor(&commands)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, c.HTTP, http.MethodPost, "http://"+addr+"/commands", commands, maxResponseBytes)
	if err != nil {
		return nil, 0, err
	}
	var heartbeat wire.Heartbeat
	if err := wire.Decode(raw, &heartbeat); err != nil {
		return nil, 0, fmt.Errorf("decode the response of the agent at %s: %w", addr, err)
	}
	return &heartbeat, status, nil
}

// slotsFor returns the slots for a request with these commands. A request without commands
// is a probe.
func (c *Client) slotsFor(commands *wire.Commands) chan struct{} {
	if len(commands.Commands) == 0 {
		return c.probeSlots
	}
	return c.commandSlots
}

// RelayError means that a probe through another controller returned no heartbeat of the
// agent. The probe may be retried.
type RelayError struct {
	Peer   wire.NodeID // the controller that relayed the probe
	Addr   string      // of the agent
	Status int         // HTTP status of the relaying controller's response
	Err    error       // why the response could not be decoded, if that was the cause
}

// Error names the agent, the relaying controller and the cause.
func (e *RelayError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("agent at %s: undecodable answer through %s: %v", e.Addr, e.Peer, e.Err)
	}
	return fmt.Sprintf("agent at %s not reached through %s: status %d", e.Addr, e.Peer, e.Status)
}

// Unwrap returns the decoding error, nil if there was none.
func (e *RelayError) Unwrap() error { return e.Err }

// WrongMachineError means that another machine answers at an address than the one that was asked.
type WrongMachineError struct {
	Addr      string
	Want, Got wire.MachineID
}

// Error names the address and both machines.
func (e *WrongMachineError) Error() string {
	return fmt.Sprintf("agent at %s is of machine %s, not of %s", e.Addr, e.Got, e.Want)
}

// ProbeThroughPeer probes the agent at an address through another controller. It returns the
// agent's heartbeat and the HTTP status of the response.
func (c *Client) ProbeThroughPeer(ctx context.Context, relay wire.NodeID, addr string, probe wire.Commands) (*wire.Heartbeat, int, error) {
	status, raw, err := c.Mesh.Relay(ctx, relay, "/peer/ask", relayedProbe{Addr: addr, Commands: probe})
	if err != nil {
		return nil, 0, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, status, &RelayError{Peer: relay, Addr: addr, Status: status}
	}
	var heartbeat wire.Heartbeat
	if err := wire.Decode(raw, &heartbeat); err != nil {
		return nil, status, &RelayError{Peer: relay, Addr: addr, Status: status, Err: err}
	}
	return &heartbeat, status, nil
}

// RandomConnectedPeer returns a random one of the controllers that are connected to this one,
// empty if none is.
func (c *Client) RandomConnectedPeer(now time.Time) wire.NodeID {
	var connected []wire.NodeID
	for id, node := range c.Mesh.View().Peers {
		if node.Connected(now) {
			connected = append(connected, id)
		}
	}
	if len(connected) == 0 {
		return ""
	}
	return connected[rand.IntN(len(connected))]
}
