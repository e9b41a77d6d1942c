// Package peer connects the nodes. Every node keeps a stream to every other, an
// HTTP/2 request of either side without end, on which it sends heartbeats and
// gets an answer to each. They carry the highest token that a node knows, its
// acknowledgement, a leader's permission to renew workers' leases on its behalf
// (a delegation) and the cancellations that users were told of.
//
// Mesh is the actor that owns these streams; View is what it knows of the other
// nodes. Election and leases, which rest on it, are in package leader.
package peer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// ErrUnknownPeer is returned for a node that the settings file doesn't name.
var ErrUnknownPeer = errors.New("no such node")

const (
	// pingTimeout is how long an HTTP/2 connection may be silent before it is
	// probed, and then how long the probe may take.
	pingTimeout = 2 * time.Second
	// eventBuffer and tokenBuffer spare streams and callers a wait for the actor.
	eventBuffer = 16
	tokenBuffer = 4
)

// Mesh is the actor that owns the links to the other nodes.
type Mesh struct {
	name    wire.NodeID
	peers   []config.Peer
	status  func() Status
	cancels *cancels.Log
	log     *slog.Logger
	events  chan event
	tokens  chan wire.FencingToken
	view    atomic.Pointer[View]
	client  *http.Client
	// LearnVersion is told of versions of the behaviour that others know to be active;
	// nil: nobody is. It is set before Run.
	LearnVersion func(version uint64)
	// undecodable is told of messages that can't be decoded.
	undecodable *undecodable.Log

	startedAt    time.Time
	renewedAfter atomic.Int64 // from startedAt to the last renewal as a delegate, in nanoseconds; 0: none
}

// event is a message of another node.
type event struct {
	from      wire.NodeID
	heartbeat Heartbeat
	sent      time.Time      // of an answer: when the heartbeat was sent that it answers
	reply     chan Heartbeat // of a heartbeat: takes its answer
}

// isAnswer tells answers from heartbeats.
func (e *event) isAnswer() bool { return e.reply == nil }

// New makes a mesh; status is asked before each heartbeat.
func New(name wire.NodeID, peers []config.Peer, status func() Status, cancelled *cancels.Log, nw netio.Net, log *slog.Logger) *Mesh {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:   &protocols,
		DialContext: nw.Dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}
	m := &Mesh{
		name:        name,
		peers:       peers,
		status:      status,
		cancels:     cancelled,
		log:         log,
		events:      make(chan event, eventBuffer),
		undecodable: undecodable.New(log),
		tokens:      make(chan wire.FencingToken, tokenBuffer),
		client:      &http.Client{Transport: transport},
		startedAt:   time.Now(),
	}
	m.view.Store(&View{})
	return m
}

// View is the newest view.
func (m *Mesh) View() *View { return m.view.Load() }

// ObserveToken tells the mesh of a token that this node has learnt of.
func (m *Mesh) ObserveToken(ctx context.Context, t wire.FencingToken) {
	select {
	case m.tokens <- t:
	case <-ctx.Done():
	}
}

// RecordRenewal notes that this node is about to renew a lease as a delegate.
// It is called before the node checks whether it may: an answer to a heartbeat
// that lacks the renewal was then made before the check, which sees that
// heartbeat.
func (m *Mesh) RecordRenewal() {
	m.renewedAfter.Store(max(1, int64(time.Since(m.startedAt))))
}

// SinceRenewal is how long ago this node last renewed a lease as a delegate; 0:
// never.
func (m *Mesh) SinceRenewal() time.Duration {
	after := m.renewedAfter.Load()
	if after == 0 {
		return 0
	}
	return max(1, time.Since(m.startedAt)-time.Duration(after))
}

// Run owns the view until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	for _, p := range m.peers {
		go m.link(ctx, p)
	}
	current := View{Peers: map[wire.NodeID]Peer{}}
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-m.tokens:
			current.observeToken(t)
			m.view.Store(current.clone())
		case e := <-m.events:
			m.handle(&current, &e)
		}
	}
}

// handle takes in a message and answers it. What an answer says is in the
// published view before it is sent.
func (m *Mesh) handle(current *View, e *event) {
	p := current.Peers[e.from]
	p.LastContact = time.Now()
	if e.heartbeat.ActiveVersion > 0 && m.LearnVersion != nil {
		m.LearnVersion(e.heartbeat.ActiveVersion)
	}
	if e.isAnswer() {
		current.observeAnswer(&p, &e.heartbeat, e.sent)
		current.Peers[e.from] = p
		m.view.Store(current.clone())
		return
	}
	current.observeHeartbeat(&p, &e.heartbeat)
	answer := m.answer(current, &p, e.heartbeat.Seq)
	current.Peers[e.from] = p
	m.view.Store(current.clone())
	e.reply <- answer
}

// answer is what the peer gets for a heartbeat.
func (m *Mesh) answer(current *View, p *Peer, seq uint64) Heartbeat {
	s := m.status()
	answer := Heartbeat{From: m.name, Seq: seq, Incarnation: s.Incarnation, ActiveVersion: s.ActiveVersion}
	if time.Since(m.startedAt) >= AckLifetime && !s.RefusesAcks {
		answer.Token = current.Token
	}
	if s.Delegation > 0 && s.Delegation == current.Token {
		answer.Delegation = s.Delegation
		p.DelegatedAt = time.Now()
		if !s.UnconfirmedSince.IsZero() {
			answer.UnconfirmedFor = max(0, time.Since(s.UnconfirmedSince))
		}
	}
	answer.SinceRenewal = m.SinceRenewal()
	answer.Uptime = max(1, time.Since(m.startedAt))
	return answer
}

// Relay asks another node over HTTP/2 and returns its answer.
func (m *Mesh) Relay(ctx context.Context, to wire.NodeID, path string, body any) (int, []byte, error) {
	p, ok := m.peer(to)
	if !ok {
		return 0, nil, ErrUnknownPeer
	}
	ctx, cancel := context.WithTimeout(ctx, AckLifetime)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, m.client, "POST", "http://"+p.Addr+path, body, wire.MaxBody)
	return status, raw, err
}

func (m *Mesh) peer(id wire.NodeID) (config.Peer, bool) {
	for _, p := range m.peers {
		if p.HostName == id {
			return p, true
		}
	}
	return config.Peer{}, false
}
