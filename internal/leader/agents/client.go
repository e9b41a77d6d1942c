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

// Client sends commands to the agents. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	Mesh *peer.Mesh
	// commandSlots bounds the commands in flight and probeSlots the probes, each with a
	// connection of its own: those to a partitioned zone hang, and launches must not wait
	// behind them.
	commandSlots, probeSlots chan struct{}
}

const (
	// Of a client's connections a third is for commands and a sixth for probes, and half
	// may stay open while idle; each has a minimum.
	minConnections     = 16
	minCommandSlots    = 4
	minProbeSlots      = 2
	minIdleConnections = 4
	// maxIdlePerAgent is how many connections to one agent may stay open while idle.
	maxIdlePerAgent = 2
	// dialTimeout bounds the wait for a connection.
	dialTimeout = 2 * ProbeTimeout
	// maxAnswerBytes bounds the size of an agent's answer.
	maxAnswerBytes = 1 << 20
)

// NewClient returns a client that uses up to the given number of connections at a time.
func NewClient(network netio.Net, mesh *peer.Mesh, connections int) *Client {
	bounded := network.Bounded(max(minConnections, connections), dialTimeout)
	return &Client{
		HTTP:         &http.Client{Transport: bounded.Transport(maxIdlePerAgent, max(minIdleConnections, connections/2))},
		Mesh:         mesh,
		commandSlots: make(chan struct{}, max(minCommandSlots, connections/3)),
		probeSlots:   make(chan struct{}, max(minProbeSlots, connections/6)),
	}
}

// Send sends commands to the agent at an address and returns its heartbeat and the HTTP
// status of its answer. The timeout counts from when a slot is free.
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
	status, raw, _, err := netio.Call(ctx, c.HTTP, http.MethodPost, "http://"+addr+"/commands", commands, maxAnswerBytes)
	if err != nil {
		return nil, 0, err
	}
	var heartbeat wire.Heartbeat
	if err := wire.Decode(raw, &heartbeat); err != nil {
		return nil, 0, fmt.Errorf("decode the answer of the agent at %s: %w", addr, err)
	}
	return &heartbeat, status, nil
}

// slotsFor returns the slots that bound commands like these: a probe has no content.
func (c *Client) slotsFor(commands *wire.Commands) chan struct{} {
	if len(commands.Commands) == 0 {
		return c.probeSlots
	}
	return c.commandSlots
}

// RelayError says that an agent was not reached through another controller. The probe may
// be tried again.
type RelayError struct {
	Peer   wire.NodeID
	Addr   string // of the agent
	Status int    // with which the other controller answered
	Err    error  // why the answer could not be decoded, if that was the cause
}

// Error returns what was not reached, and through which controller.
func (e *RelayError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("agent at %s: undecodable answer through %s: %v", e.Addr, e.Peer, e.Err)
	}
	return fmt.Sprintf("agent at %s not reached through %s: status %d", e.Addr, e.Peer, e.Status)
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Err }

// ProbeThroughPeer probes the agent at an address through another controller and returns
// its heartbeat and the HTTP status of its answer.
func (c *Client) ProbeThroughPeer(ctx context.Context, node wire.NodeID, addr string, probe wire.Commands) (*wire.Heartbeat, int, error) {
	status, raw, err := c.Mesh.Relay(ctx, node, "/peer/ask", relayedProbe{Addr: addr, Commands: probe})
	if err != nil {
		return nil, 0, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, status, &RelayError{Peer: node, Addr: addr, Status: status}
	}
	var heartbeat wire.Heartbeat
	if err := wire.Decode(raw, &heartbeat); err != nil {
		return nil, status, &RelayError{Peer: node, Addr: addr, Status: status, Err: err}
	}
	return &heartbeat, status, nil
}

// RandomConnectedPeer returns another controller that is connected to this one, empty if
// none is.
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
