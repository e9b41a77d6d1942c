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

// streamPath is the path of the endpoint at which nodes receive each other's heartbeats.
const streamPath = "/peer/beats"

// Errors that end a stream, besides those of its connection and its context.
var (
	errTooManyUnanswered  = errors.New("too many heartbeats without a response")
	errUnexpectedResponse = errors.New("response without an outstanding heartbeat")
	errStreamRefused      = errors.New("peer refused the stream")
)

// keepStream keeps a stream to a peer open until the context ends. It reopens a stream that has ended.
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

// outgoingStream is the sending end of a stream: it sends heartbeats and receives responses.
type outgoingStream struct {
	mesh *Mesh
	peer config.Peer
	// sentAt holds the times at which the unanswered heartbeats were sent, the oldest first. Responses
	// arrive in the order of their heartbeats.
	sentAt chan time.Time
	// watchdog ends the stream if no response arrives for streamIdleTimeout. It detects hangs that
	// cause no error: of the connection, the other process or this node's writes.
	watchdog *time.Timer
}

// runStream opens a stream to a peer, sends heartbeats and receives their responses until one of the
// two fails. It returns after the goroutine that sends the heartbeats has ended.
func (m *Mesh) runStream(ctx context.Context, p config.Peer) error {
	var sender sync.WaitGroup
	defer sender.Wait() // runs last: the calls deferred below end the sender
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, out := io.Pipe()
	defer out.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+streamPath, body)
	if err != nil {
		return err
	}
	s := &outgoingStream{mesh: m, peer: p, sentAt: make(chan time.Time, maxUnansweredHeartbeats)}
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
	return s.receiveResponses(ctx, resp.Body)
}

// sendHeartbeats writes a heartbeat every heartbeatPeriod until the context ends, a write fails or too
// many heartbeats are unanswered.
func (s *outgoingStream) sendHeartbeats(ctx context.Context, out *io.PipeWriter) {
	encoder := cbor.NewEncoder(out)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		status := s.mesh.status()
		select {
		case s.sentAt <- time.Now():
		default:
			out.CloseWithError(errTooManyUnanswered)
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

// receiveResponses reads responses and delivers each to the view, until a read or a delivery fails.
func (s *outgoingStream) receiveResponses(ctx context.Context, body io.Reader) error {
	decoder := cbor.NewDecoder(body)
	for {
		var response Heartbeat
		if err := decoder.Decode(&response); err != nil {
			s.mesh.logUndecodable("an answer to a heartbeat from "+string(s.peer.HostName), err)
			return err
		}
		s.watchdog.Reset(streamIdleTimeout)
		if err := s.deliverResponse(ctx, response); err != nil {
			return err
		}
	}
}

// deliverResponse merges the cancellations of a response and passes the response to the goroutine that
// owns the view. The response belongs to the oldest unanswered heartbeat.
func (s *outgoingStream) deliverResponse(ctx context.Context, response Heartbeat) error {
	var requestedAt time.Time
	select {
	case requestedAt = <-s.sentAt:
	default:
		return errUnexpectedResponse
	}
	s.mesh.cancels.MergeUpdate(s.peer.HostName, requestedAt, &response.Update)
	select {
	case s.mesh.events <- responseReceived{from: s.peer.HostName, response: response, requestedAt: requestedAt}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
