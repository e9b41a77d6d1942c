package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/internal/config"
	"lilaclead/internal/undecodable"
)

var (
	errNoAnswers        = errors.New("peer answers nothing")
	errUnexpectedAnswer = errors.New("answer without a heartbeat")
)

// link keeps a stream to one other node open.
func (m *Mesh) link(ctx context.Context, p config.Peer) {
	for ctx.Err() == nil {
		if err := m.stream(ctx, p); err != nil && ctx.Err() == nil {
			m.log.Debug("link down", "peer", p.HostName, "err", err)
		}
		m.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

// stream sends heartbeats to one other node and takes in its answers, until
// either fails or the node is silent.
func (m *Mesh) stream(ctx context.Context, p config.Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, out := io.Pipe()
	defer out.Close()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.Addr+"/peer/beats", body)
	if err != nil {
		return err
	}
	// Guards against whatever hangs without an error: the connection, the other
	// process, our own writes.
	watchdog := time.AfterFunc(silenceLimit, cancel)
	defer watchdog.Stop()
	sent := make(chan time.Time, maxUnanswered)
	go m.sendHeartbeats(ctx, out, sent)
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	answers := cbor.NewDecoder(resp.Body)
	for {
		var answer Heartbeat
		if err := answers.Decode(&answer); err != nil {
			m.noteUndecodable("an answer to a heartbeat from "+string(p.HostName), err)
			return err
		}
		watchdog.Reset(silenceLimit)
		if err := m.receive(ctx, p, answer, sent); err != nil {
			return err
		}
	}
}

// sendHeartbeats writes a heartbeat every heartbeatPeriod and passes on when
// each was sent, in order, until the context ends or the peer answers none.
func (m *Mesh) sendHeartbeats(ctx context.Context, out *io.PipeWriter, sent chan<- time.Time) {
	encoder := cbor.NewEncoder(out)
	tick := time.NewTicker(heartbeatPeriod)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		s := m.status()
		select {
		case sent <- time.Now():
		default:
			out.CloseWithError(errNoAnswers)
			return
		}
		h := Heartbeat{
			From: m.name, Seq: seq, Token: m.View().Token,
			Leads: s.Leads, StateReachable: s.StateReachable, ReachableWorkers: s.ReachableWorkers,
			Incarnation: s.Incarnation, ActiveVersion: s.ActiveVersion,
		}
		if encoder.Encode(h) != nil {
			return
		}
		select {
		case <-ctx.Done():
			out.CloseWithError(ctx.Err())
			return
		case <-tick.C:
		}
	}
}

// receive takes in the answer to the oldest heartbeat without one.
func (m *Mesh) receive(ctx context.Context, p config.Peer, answer Heartbeat, sent <-chan time.Time) error {
	var at time.Time
	select {
	case at = <-sent:
	default:
		return errUnexpectedAnswer
	}
	m.cancels.Apply(p.HostName, at, &answer.Update)
	select {
	case m.events <- event{from: p.HostName, heartbeat: answer, sent: at}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP is the receiving end of a stream.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if control.Flush() != nil {
		return
	}
	heartbeats, answers := cbor.NewDecoder(r.Body), cbor.NewEncoder(w)
	replies := make(chan Heartbeat, 1)
	cursor := uint64(0) // up to where the log of cancellations was sent on this stream
	for {
		control.SetReadDeadline(time.Now().Add(silenceLimit)) //nolint:errcheck // then the stream ends later, by itself
		var h Heartbeat
		if err := heartbeats.Decode(&h); err != nil {
			m.noteUndecodable("a heartbeat from "+undecodable.Sender(r), err)
			return
		}
		if _, ok := m.peer(h.From); !ok {
			return
		}
		select {
		case m.events <- event{from: h.From, heartbeat: h, reply: replies}:
		case <-r.Context().Done():
			return
		}
		select {
		case answer := <-replies:
			answer.Update, cursor = m.cancels.UpdateSince(cursor)
			if answers.Encode(answer) != nil || control.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// noteUndecodable logs a message that has arrived and can't be decoded. Its stream is
// opened anew, and links to other nodes go on.
func (m *Mesh) noteUndecodable(what string, err error) {
	var wrongType *cbor.UnmarshalTypeError
	var malformed *cbor.SyntaxError
	if errors.As(err, &wrongType) || errors.As(err, &malformed) {
		m.undecodable.Note(what, err)
	}
}
