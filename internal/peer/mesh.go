// Package peer connects the controllers. Every node keeps a stream open to every other node. A stream
// is an HTTP/2 request whose request and response bodies do not end. On it, the node sends heartbeats
// and receives a response to each. The messages carry the highest fencing token that a node knows, the
// acknowledgement of that token, a leader's permission to renew agents' leases on its behalf (a
// delegation), and the cancellations that users were told of.
//
// Mesh owns the streams. View is what a node knows of the other nodes. Election and leases, which are
// built on View, are in package leader.
//
// Run owns the goroutines of the streams that this node opens, and returns when they have ended. One
// goroutine per peer opens the stream and receives the responses, and one per open stream sends the
// heartbeats. The receiving end of a stream is a request to the node's HTTP server, which owns its
// goroutine.
package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

const (
	// eventBufferSize is the number of events that streams can pass on without waiting for the
	// goroutine that owns the view.
	eventBufferSize = 16
	// tokenBufferSize is the number of tokens that callers of ObserveToken can pass on without waiting
	// for that goroutine.
	tokenBufferSize = 4
)

// Mesh owns the streams to the other nodes and the view of them. It is safe for concurrent use. Run is
// called once.
type Mesh struct {
	name    wire.NodeID
	peers   []config.Peer
	status  func() Status
	cancels *cancels.Log
	log     *slog.Logger
	client  *http.Client
	// ObserveVersion, if not nil, is called with each version of the behaviour that another node reports
	// as active. It is set before Run.
	ObserveVersion func(version uint64)
	undecodable    *undecodable.Log

	// events and tokens hold pending changes of the view. Only the goroutine of Run applies them.
	events chan event
	tokens chan wire.FencingToken
	view   atomic.Pointer[View]

	startedAt time.Time
	// uptimeAtRenewal is the time from startedAt to the last renewal as a delegate, in nanoseconds; 0 if
	// there was none.
	uptimeAtRenewal atomic.Int64
}

// New returns the mesh of a node. The mesh calls status before it sends a heartbeat or a response.
func New(name wire.NodeID, peers []config.Peer, status func() Status, cancelLog *cancels.Log, network netio.Network, log *slog.Logger) *Mesh {
	m := &Mesh{
		name:        name,
		peers:       peers,
		status:      status,
		cancels:     cancelLog,
		log:         log,
		client:      &http.Client{Transport: newTransport(network)},
		undecodable: undecodable.New(log),
		events:      make(chan event, eventBufferSize),
		tokens:      make(chan wire.FencingToken, tokenBufferSize),
		startedAt:   time.Now(),
	}
	m.view.Store(&View{})
	return m
}

// newTransport returns a transport for unencrypted HTTP/2 over the network.
func newTransport(network netio.Network) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   &protocols,
		DialContext: network.Dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}
}

// View returns the view that was published last.
func (m *Mesh) View() *View { return m.view.Load() }

// ObserveToken records a fencing token that this node learnt from another source than its peers. It
// returns without effect if the context ends first.
func (m *Mesh) ObserveToken(ctx context.Context, token wire.FencingToken) {
	select {
	case m.tokens <- token:
	case <-ctx.Done():
	}
}

// Run keeps streams to all peers open and updates the view until the context ends. It returns after the
// streams have ended.
func (m *Mesh) Run(ctx context.Context) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for _, p := range m.peers {
		streams.Go(func() { m.keepStream(ctx, p) })
	}
	m.updateView(ctx)
}

// updateView applies events and tokens to the view until the context ends.
func (m *Mesh) updateView(ctx context.Context) {
	current := View{Peers: map[wire.NodeID]Peer{}}
	for {
		select {
		case <-ctx.Done():
			return
		case token := <-m.tokens:
			current.observeToken(token)
			m.publish(&current)
		case e := <-m.events:
			e.handle(m, &current)
		}
	}
}

// publish publishes a copy of the view.
func (m *Mesh) publish(current *View) { m.view.Store(current.clone()) }

// observeVersion passes the active version that a message states, if any, to ObserveVersion.
func (m *Mesh) observeVersion(message *Heartbeat) {
	if message.ActiveVersion > 0 && m.ObserveVersion != nil {
		m.ObserveVersion(message.ActiveVersion)
	}
}

// newResponse returns the response to the heartbeat with the sequence number. The token is the highest
// one that this node knows.
func (m *Mesh) newResponse(token wire.FencingToken, sequence uint64) Heartbeat {
	status := m.status()
	response := Heartbeat{
		From:          m.name,
		Sequence:      sequence,
		Incarnation:   status.Incarnation,
		ActiveVersion: status.ActiveVersion,
		SinceRenewal:  m.SinceRenewal(),
		Uptime:        max(1, time.Since(m.startedAt)),
	}
	if m.mayAcknowledge(&status) {
		response.Token = token
	}
	if status.Delegation > 0 && status.Delegation == token {
		response.Delegation = status.Delegation
		response.InFlightLaunchCancelAge = status.inFlightLaunchCancelAge()
	}
	return response
}

// mayAcknowledge reports whether this node may acknowledge tokens. It may not if its status refuses
// that, nor in the first AckLifetime after its process started (see AckLifetime).
func (m *Mesh) mayAcknowledge(status *Status) bool {
	justStarted := time.Since(m.startedAt) < AckLifetime
	return !justStarted && !status.RefusesAcks
}
