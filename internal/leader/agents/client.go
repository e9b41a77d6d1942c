package agents

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// Client sends commands to the agents on the machines. It is safe for concurrent
// use.
type Client struct {
	HTTP *http.Client
	Mesh *peer.Mesh
	// commandSlots bounds the commands under way and probeSlots the probes, each with a
	// connection of its own: those to a zone that is cut off hang, and launches must not
	// wait behind them.
	commandSlots, probeSlots chan struct{}
}

// NewClient returns a client that uses so many connections at a time.
func NewClient(network netio.Net, mesh *peer.Mesh, connections int) *Client {
	return &Client{
		HTTP:         &http.Client{Transport: network.Bounded(max(16, connections), 2*ProbeTimeout).Transport(2, max(4, connections/2))},
		Mesh:         mesh,
		commandSlots: make(chan struct{}, max(4, connections/3)),
		probeSlots:   make(chan struct{}, max(2, connections/6)),
	}
}

// Send sends a command to a worker.
func (c *Client) Send(ctx context.Context, addr string, cmd wire.Commands, timeout time.Duration) (*wire.Heartbeat, int, error) {
	if cmd.Commands == nil {
		cmd.Commands = []wire.Command{}
	}
	line := c.commandSlots
	if len(cmd.Commands) == 0 {
		line = c.probeSlots
	}
	select {
	case line <- struct{}{}:
		defer func() { <-line }()
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, c.HTTP, "POST", "http://"+addr+"/commands", cmd, 1<<20)
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Heartbeat
	if err := wire.Decode(raw, &rep); err != nil {
		return nil, 0, err
	}
	return &rep, status, nil
}

// ProbeThroughPeer asks a worker for its report through another node.
func (c *Client) ProbeThroughPeer(ctx context.Context, node wire.NodeID, addr string, cmd wire.Commands) (*wire.Heartbeat, int, error) {
	status, raw, err := c.Mesh.Relay(ctx, node, "/peer/ask", relayedProbe{addr, cmd})
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Heartbeat
	if status != http.StatusOK && status != http.StatusConflict || wire.Decode(raw, &rep) != nil {
		return nil, status, errors.New("not reached through " + string(node))
	}
	return &rep, status, nil
}

// RandomConnectedPeer is some other node that is linked to this one.
func (c *Client) RandomConnectedPeer(now time.Time) wire.NodeID {
	var near []wire.NodeID
	for id, o := range c.Mesh.View().Peers {
		if o.Connected(now) {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}
