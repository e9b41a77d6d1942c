// Package peer links the nodes: each keeps an HTTP/2 stream to each other
// node and beats on it; every beat is answered on the same stream. The beats
// carry the highest token that a node knows, and the answers are the
// acknowledgements that let a leader serve while the state service is away.
package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

const (
	// X is how old an acknowledgement may be to count, and how long a fresh
	// process gives none: what it acknowledged in its last life is forgotten,
	// and may have been a higher token.
	AckLifetime = 2 * time.Second
	// B bounds how long a leader may serve without the state service.
	OutageLimit = 60 * time.Second

	heartbeatPeriod = 400 * time.Millisecond
	// silent is how long a stream may be silent before it is opened anew.
	silenceLimit = 3 * time.Second
)

// Beat is what goes over a stream in both directions.
type Heartbeat struct {
	From wire.NodeID `cbor:"from"`
	Seq  uint64      `cbor:"seq"`
	// Token is the highest that the sender knows; in an answer it is the
	// acknowledgement, 0 for none.
	Token wire.Token `cbor:"token"`
	// Leads: the sender leads with that token.
	Leads bool `cbor:"leads"`
	// Serves: the sender reaches the state service.
	StateReachable bool `cbor:"serves"`
	// Hears is how many workers turned to the sender lately.
	ReachableWorkers int `cbor:"hears"`
	// Grants, in an answer, is the token with which the sender surely leads:
	// who asked may stand in for it for a while, counted from asking.
	Delegation wire.Token `cbor:"grants,omitempty"`
	// Stood, in an answer, is how long ago the sender last stood in for a
	// leader; 0: never in this life.
	SinceRenewal time.Duration `cbor:"stood,omitempty"`
	// Age, in an answer, is how long ago the sender began.
	Uptime time.Duration `cbor:"age,omitempty"`
	// Unproven, in an answer with Grants, is how long ago the first of the
	// cancellations was confirmed of which a launch may still be on its way
	// unseen: the while in which to stand in is counted from then.
	UnconfirmedFor time.Duration `cbor:"unproven,omitempty"`
	// In an answer, what the sender knows of cancellations.
	cancels.Update
}

// Self is what this node tells the others.
type Status struct {
	Leads            bool
	Delegation       wire.Token
	StateReachable   bool
	ReachableWorkers int
	// Unproven since then: see Beat; zero: nothing is.
	UnconfirmedSince time.Time
}

// Other is what is known of another node. Times are steady.
type Peer struct {
	Heartbeat
	// Heard is when the last message came in.
	LastContact time.Time
	// AckSent is when the beat was sent that was answered last, and AckToken
	// the token acknowledged by it.
	AckSent  time.Time
	AckToken wire.Token
	// Granted is when this node last let the other stand in for it.
	DelegatedAt time.Time
	// Stood is when the other last stood in for a leader, at the latest, as of
	// that answer.
	LastRenewal time.Time
	// Born is when the other began, at the latest. Until then its last life may
	// have stood in, of which it knows nothing.
	StartedBy time.Time
}

// Grant is a leader's word that this node may stand in for it.
type Delegation struct {
	Token wire.Token
	// Sent is when this node asked for it, or earlier: of what was cancelled
	// before, nothing can start any more.
	RequestedAt time.Time
}

// Near tells whether the node was heard lately.
func (o Peer) Connected(now time.Time) bool { return now.Sub(o.LastContact) < AckLifetime }

// View is what one node knows of all. It is never changed once published.
type View struct {
	// Token is the highest that this node knows of.
	Token wire.Token
	// Leader is who leads with it, if a beat said so lately.
	Leader wire.NodeID
	Peers  map[wire.NodeID]Peer
	// Led is when a node last said that it leads with that token.
	LeaderSeen time.Time
	// Grant is the newest that this node has.
	Delegation Delegation
}

type event struct {
	from      wire.NodeID
	heartbeat Heartbeat
	ack       bool
	sent      time.Time
	reply     chan Heartbeat
}

// Mesh is the actor that owns the links.
type Mesh struct {
	name         wire.NodeID
	peers        []config.Peer
	status       func() Status
	cancels      *cancels.Log
	log          *slog.Logger
	events       chan event
	tokens       chan wire.Token
	view         atomic.Pointer[View]
	startedAt    time.Time
	renewedAfter atomic.Int64 // since born, of the last time that this node stood in
	client       *http.Client
}

// New makes a mesh; self is asked before each beat.
func New(name wire.NodeID, peers []config.Peer, status func() Status, cancelled *cancels.Log, nw netio.Net, log *slog.Logger) *Mesh {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	m := &Mesh{
		name: name, peers: peers, status: status, cancels: cancelled, log: log,
		events: make(chan event, 16), tokens: make(chan wire.Token, 4), startedAt: time.Now(),
		client: &http.Client{Transport: &http.Transport{
			Protocols:   &protocols,
			DialContext: nw.Dial,
			HTTP2:       &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 2 * time.Second},
		}},
	}
	m.view.Store(&View{})
	return m
}

// View is the newest view.
func (m *Mesh) View() *View { return m.view.Load() }

// Raise tells the mesh of a token that this node has learnt of.
func (m *Mesh) ObserveToken(ctx context.Context, t wire.Token) {
	select {
	case m.tokens <- t:
	case <-ctx.Done():
	}
}

// StandsIn notes that this node is about to stand in for a leader. It is told
// before the node looks whether it may: an answer to a beat that lacks it was
// then made before the look, which sees that beat.
func (m *Mesh) RecordRenewal() { m.renewedAfter.Store(max(1, int64(time.Since(m.startedAt)))) }

// Stood is how long ago this node last stood in for a leader; 0: never.
func (m *Mesh) SinceRenewal() time.Duration {
	if at := m.renewedAfter.Load(); at > 0 {
		return max(1, time.Since(m.startedAt)-time.Duration(at))
	}
	return 0
}

// AckedUntil is until when an acknowledgement of the token by so many nodes,
// this one included, is young enough to count; zero if it never was.
func (v *View) AckedUntil(t wire.Token, nodes int) time.Time {
	if v.Token > t {
		return time.Time{}
	}
	var at []time.Time
	for _, o := range v.Peers {
		if o.AckToken == t {
			at = append(at, o.AckSent.Add(AckLifetime))
		}
	}
	if len(at) < nodes-1 {
		return time.Time{}
	}
	if nodes <= 1 {
		return time.Now().Add(AckLifetime)
	}
	slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
	return at[nodes-2]
}

// Run owns the view until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	for _, o := range m.peers {
		go m.link(ctx, o)
	}
	cur := View{Peers: map[wire.NodeID]Peer{}}
	for {
		var reply chan Heartbeat
		var answer Heartbeat
		select {
		case <-ctx.Done():
			return
		case t := <-m.tokens:
			if t > cur.Token {
				cur.Token, cur.Leader = t, ""
			}
		case e := <-m.events:
			o := cur.Peers[e.from]
			o.LastContact = time.Now()
			if e.ack {
				if e.sent.After(o.AckSent) {
					o.AckSent, o.AckToken = e.sent, e.heartbeat.Token
					if e.heartbeat.SinceRenewal > 0 {
						o.LastRenewal = o.LastContact.Add(-e.heartbeat.SinceRenewal)
					}
					if e.heartbeat.Uptime > 0 {
						o.StartedBy = o.LastContact.Add(-e.heartbeat.Uptime)
					}
				}
			} else {
				o.Heartbeat = e.heartbeat
			}
			if e.heartbeat.Token > cur.Token {
				cur.Token, cur.Leader = e.heartbeat.Token, ""
			}
			if e.ack && e.heartbeat.Delegation > 0 && e.heartbeat.Delegation == cur.Token {
				cur.Delegation, cur.LeaderSeen = Delegation{e.heartbeat.Delegation, e.sent.Add(-max(0, e.heartbeat.UnconfirmedFor))}, o.LastContact
			}
			if !e.ack && e.heartbeat.Leads && e.heartbeat.Token == cur.Token {
				cur.Leader, cur.LeaderSeen = e.from, o.LastContact
			} else if !e.ack && cur.Leader == e.from {
				cur.Leader = ""
			}
			if e.reply != nil {
				reply, answer = e.reply, Heartbeat{From: m.name, Seq: e.heartbeat.Seq}
				if time.Since(m.startedAt) >= AckLifetime {
					answer.Token = cur.Token
				}
				if s := m.status(); s.Delegation > 0 && s.Delegation == cur.Token {
					answer.Delegation, o.DelegatedAt = s.Delegation, time.Now()
					if !s.UnconfirmedSince.IsZero() {
						answer.UnconfirmedFor = max(0, time.Since(s.UnconfirmedSince))
					}
				}
				answer.SinceRenewal, answer.Uptime = m.SinceRenewal(), max(1, time.Since(m.startedAt))
			}
			cur.Peers[e.from] = o
		}
		next := View{Token: cur.Token, Leader: cur.Leader, LeaderSeen: cur.LeaderSeen, Delegation: cur.Delegation, Peers: make(map[wire.NodeID]Peer, len(cur.Peers))}
		for k, o := range cur.Peers {
			next.Peers[k] = o
		}
		m.view.Store(&next)
		if reply != nil {
			reply <- answer // only now: what it says is in the view
		}
	}
}

// link keeps a stream to one other node open.
func (m *Mesh) link(ctx context.Context, o config.Peer) {
	for ctx.Err() == nil {
		if err := m.stream(ctx, o); err != nil && ctx.Err() == nil {
			m.log.Debug("link down", "peer", o.HostName, "err", err)
		}
		m.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (m *Mesh) stream(ctx context.Context, o config.Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pr, pw := io.Pipe()
	defer pw.Close()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+o.Addr+"/peer/beats", pr)
	if err != nil {
		return err
	}
	// Whatever hangs is cut by the watchdog.
	dog := time.AfterFunc(silenceLimit, cancel)
	defer dog.Stop()
	sent := make(chan time.Time, 32) // of the beats not yet answered, in order
	go func() {
		enc := cbor.NewEncoder(pw)
		tick := time.NewTicker(heartbeatPeriod)
		defer tick.Stop()
		for seq := uint64(1); ; seq++ {
			s := m.status()
			now := time.Now()
			select {
			case sent <- now:
			default:
				pw.CloseWithError(errors.New("peer answers nothing"))
				return
			}
			v := m.View()
			if enc.Encode(Heartbeat{From: m.name, Seq: seq, Token: v.Token, Leads: s.Leads, StateReachable: s.StateReachable, ReachableWorkers: s.ReachableWorkers}) != nil {
				return
			}
			select {
			case <-ctx.Done():
				pw.CloseWithError(ctx.Err())
				return
			case <-tick.C:
			}
		}
	}()
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	dec := cbor.NewDecoder(resp.Body)
	for {
		var b Heartbeat
		if err := dec.Decode(&b); err != nil {
			return err
		}
		dog.Reset(silenceLimit)
		select {
		case at := <-sent:
			m.cancels.Apply(o.HostName, at, &b.Update)
			select {
			case m.events <- event{from: o.HostName, heartbeat: b, ack: true, sent: at}:
			case <-ctx.Done():
				return ctx.Err()
			}
		default:
			return errors.New("answer without a beat")
		}
	}
}

// ServeHTTP is the receiving end of a stream.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if rc.Flush() != nil {
		return
	}
	dec, enc := cbor.NewDecoder(r.Body), cbor.NewEncoder(w)
	reply := make(chan Heartbeat, 1)
	told := uint64(0) // what the other was told of cancellations on this stream
	for {
		rc.SetReadDeadline(time.Now().Add(silenceLimit)) //nolint:errcheck // then the stream ends later, by itself
		var b Heartbeat
		if dec.Decode(&b) != nil || !m.isPeer(b.From) {
			return
		}
		select {
		case m.events <- event{from: b.From, heartbeat: b, reply: reply}:
		case <-r.Context().Done():
			return
		}
		select {
		case a := <-reply:
			a.Update, told = m.cancels.UpdateSince(told)
			if enc.Encode(a) != nil || rc.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// Relay asks another node over HTTP/2 and returns its answer.
func (m *Mesh) Relay(ctx context.Context, to wire.NodeID, path string, body any) (int, []byte, error) {
	for _, o := range m.peers {
		if o.HostName != to {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, AckLifetime)
		defer cancel()
		status, raw, _, err := netio.Call(ctx, m.client, "POST", "http://"+o.Addr+path, body, wire.MaxBody)
		return status, raw, err
	}
	return 0, nil, errors.New("no such node")
}

func (m *Mesh) isPeer(id wire.NodeID) bool {
	for _, o := range m.peers {
		if o.HostName == id {
			return true
		}
	}
	return false
}
