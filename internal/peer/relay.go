package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// ErrUnknownPeer is returned for a node that the settings file does not name.
var ErrUnknownPeer = errors.New("no such node")

// Relay sends a POST request to another node over HTTP/2. It returns the status and the body of the
// response.
func (m *Mesh) Relay(ctx context.Context, to wire.NodeID, path string, body any) (int, []byte, error) {
	p, ok := m.findPeer(to)
	if !ok {
		return 0, nil, fmt.Errorf("relay to %s: %w", to, ErrUnknownPeer)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	status, responseBody, _, err := netio.Call(ctx, m.client, http.MethodPost, "http://"+p.Addr+path, body, wire.MaxBodyBytes)
	return status, responseBody, err
}

// findPeer returns the peer with the name, if the settings file names it.
func (m *Mesh) findPeer(id wire.NodeID) (config.Peer, bool) {
	i := slices.IndexFunc(m.peers, func(p config.Peer) bool { return p.HostName == id })
	if i < 0 {
		return config.Peer{}, false
	}
	return m.peers[i], true
}
