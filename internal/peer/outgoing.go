package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/internal/config"
)

// streamPath is where nodes receive each other's heartbeats.
const streamPath = "/peer/beats"

// Why a stream ends, other than by its connection or its context.
var (
	errNoAnswers        = errors.New("peer answers no heartbeat")
	errUnexpectedAnswer = errors.New("answer without a heartbeat")
	errStreamRefused    = errors.New("peer refused the stream")
)

// keepStream keeps a stream to a peer open until the context ends.
func (m *Mesh) keepStream(ctx context.Context, p config.Peer) {
	for ctx.Err() == nil {
		if err := m.runStream(ctx, p); err != nil && ctx.Err() == nil {
			m.log.Debug("heartbeat stream closed", "peer", p.HostName, "err", err)
		}
		m.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

// outgoingStream is the end of a stream that sends heartbeats.
type outgoingStream struct {
	mesh *Mesh
	peer config.Peer
	// sentAt holds when each heartbeat without an answer was sent, the oldest first: answers come in the order of heartbeats.
	sentAt chan time.Time
	// watchdog ends the stream when it has been without an answer for streamIdleTimeout. It guards against whatever hangs
	// without an error: the connection, the other process, this node's writes.
	watchdog *time.Timer
}

// runStream opens a stream to a peer, sends heartbeats and receives their answers, until either fails. It returns when the
// goroutine that sends has ended.
func (m *Mesh) runStream(ctx context.Context, p config.Peer) error {
	var sender sync.WaitGroup
	defer sender.Wait() // the last step: what is deferred below ends the sender
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, out := io.Pipe()
	defer out.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+streamPath, body)
	if err != nil {
		return err
	}
	s := &outgoingStream{mesh: m, peer: p, sentAt: make(chan time.Time, maxUnanswered)}
	s.watchdog = time.AfterFunc(streamIdleTimeout, cancel)
	defer s.watchdog.Stop()
	sender.Go(func() { s.sendHeartbeats(ctx, out) })
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %s", errStreamRefused, resp.Status)
	}
	return s.receiveAnswers(ctx, resp.Body)
}

// sendHeartbeats writes a heartbeat every heartbeatPeriod, until the context ends or the peer has left too many unanswered.
func (s *outgoingStream) sendHeartbeats(ctx context.Context, out *io.PipeWriter) {
	encoder := cbor.NewEncoder(out)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		status := s.mesh.status()
		select {
		case s.sentAt <- time.Now():
		default:
			out.CloseWithError(errNoAnswers)
			return
		}
		heartbeat := status.heartbeat(s.mesh.name, sequence, s.mesh.View().Token)
		if encoder.Encode(heartbeat) != nil {
			return
		}
		select {
		case <-ctx.Done():
			out.CloseWithError(ctx.Err())
			return
		case <-ticker.C:
		}
	}
}

// receiveAnswers reads answers until one can't be read or delivered.
func (s *outgoingStream) receiveAnswers(ctx context.Context, body io.Reader) error {
	decoder := cbor.NewDecoder(body)
	for {
		var answer Heartbeat
		if err := decoder.Decode(&answer); err != nil {
			s.mesh.logUndecodable("an answer to a heartbeat from "+string(s.peer.HostName), err)
			return err
		}
		s.watchdog.Reset(streamIdleTimeout)
		if err := s.deliver(ctx, answer); err != nil {
			return err
		}
	}
}

// deliver passes to the view the answer to the oldest heartbeat without one.
func (s *outgoingStream) deliver(ctx context.Context, answer Heartbeat) error {
	var requestedAt time.Time
	select {
	case requestedAt = <-s.sentAt:
	default:
		return errUnexpectedAnswer
	}
	s.mesh.cancels.MergeUpdate(s.peer.HostName, requestedAt, &answer.Update)
	select {
	case s.mesh.events <- answerReceived{from: s.peer.HostName, answer: answer, requestedAt: requestedAt}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
