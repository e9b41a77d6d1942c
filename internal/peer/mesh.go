// Package peer connects the controllers. Every node keeps a stream to every other, an HTTP/2 request whose body and answer do
// not end, on which it sends heartbeats and receives an answer to each. They carry the highest fencing token that a node
// knows, its acknowledgement, a leader's permission to renew workers' leases on its behalf (a delegation), and the
// cancellations that users were told of.
//
// Mesh owns these streams, and View is what a node knows of the others. Election and leases, which rest on it, are in package
// leader.
//
// Run owns the goroutines of the streams that this node opens, one for each peer and one more for each stream's heartbeats, and
// returns when they have ended. The receiving ends are requests of the node's HTTP server, which owns their goroutines.
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
	// eventBuffer spares streams a wait for the goroutine that owns the view.
	eventBuffer = 16
	// tokenBuffer spares callers of ObserveToken that wait.
	tokenBuffer = 4
)

// Mesh is the actor that owns the streams to the other nodes and the view of them. It is safe for concurrent use; Run is called once.
type Mesh struct {
	name    wire.NodeID
	peers   []config.Peer
	status  func() Status
	cancels *cancels.Log
	log     *slog.Logger
	client  *http.Client
	// LearnVersion, if not nil, is called with versions of the behaviour that others know to be active. It is set before Run.
	LearnVersion func(version uint64)
	// undecodable logs messages that can't be decoded.
	undecodable *undecodable.Log

	// events and tokens are what changes the view, which the goroutine of Run alone does.
	events chan event
	tokens chan wire.FencingToken
	view   atomic.Pointer[View]

	startedAt time.Time
	// renewedAfter is the time from startedAt to the last renewal as a delegate, in nanoseconds; 0 if there was none.
	renewedAfter atomic.Int64
}

// New returns a mesh of a node with its peers. It asks for the status before each message that it sends.
func New(name wire.NodeID, peers []config.Peer, status func() Status, cancelled *cancels.Log, network netio.Net, log *slog.Logger) *Mesh {
	m := &Mesh{
		name:        name,
		peers:       peers,
		status:      status,
		cancels:     cancelled,
		log:         log,
		client:      &http.Client{Transport: newTransport(network)},
		undecodable: undecodable.New(log),
		events:      make(chan event, eventBuffer),
		tokens:      make(chan wire.FencingToken, tokenBuffer),
		startedAt:   time.Now(),
	}
	m.view.Store(&View{})
	return m
}

// newTransport returns a transport for unencrypted HTTP/2 over the network.
func newTransport(network netio.Net) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   &protocols,
		DialContext: network.Dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}
}

// View returns the newest view.
func (m *Mesh) View() *View { return m.view.Load() }

// ObserveToken records a fencing token that this node has learnt of elsewhere.
func (m *Mesh) ObserveToken(ctx context.Context, token wire.FencingToken) {
	select {
	case m.tokens <- token:
	case <-ctx.Done():
	}
}

// Run keeps streams to all peers and owns the view, until the context ends and the streams have ended with it.
func (m *Mesh) Run(ctx context.Context) {
	var links sync.WaitGroup
	defer links.Wait()
	for _, p := range m.peers {
		links.Go(func() { m.keepStream(ctx, p) })
	}
	m.ownView(ctx)
}

// ownView applies events and tokens to the view until the context ends.
func (m *Mesh) ownView(ctx context.Context) {
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

// publish makes a copy of the view the newest one.
func (m *Mesh) publish(current *View) { m.view.Store(current.clone()) }

// learnVersion reports the version that a message says is active to LearnVersion.
func (m *Mesh) learnVersion(message *Heartbeat) {
	if message.ActiveVersion > 0 && m.LearnVersion != nil {
		m.LearnVersion(message.ActiveVersion)
	}
}

// answer returns the answer to a heartbeat, from a node that knows the token.
func (m *Mesh) answer(token wire.FencingToken, sequence uint64) Heartbeat {
	status := m.status()
	answer := Heartbeat{
		From:          m.name,
		Sequence:      sequence,
		Incarnation:   status.Incarnation,
		ActiveVersion: status.ActiveVersion,
		SinceRenewal:  m.SinceRenewal(),
		Uptime:        max(1, time.Since(m.startedAt)),
	}
	if m.mayAcknowledge(&status) {
		answer.Token = token
	}
	if status.Delegation > 0 && status.Delegation == token {
		answer.Delegation = status.Delegation
		answer.UnconfirmedCancelAge = status.unconfirmedCancelAge()
	}
	return answer
}

// mayAcknowledge reports whether this node may acknowledge tokens: not when it refuses to, nor as a fresh process (see
// AckLifetime).
func (m *Mesh) mayAcknowledge(status *Status) bool {
	fresh := time.Since(m.startedAt) < AckLifetime
	return !fresh && !status.RefusesAcks
}
